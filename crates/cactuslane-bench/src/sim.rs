//! Discrete-event simulation of a scenario under a policy, in virtual time.

mod engines;
mod entry;
mod requests;
mod run;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cactuslane_route::Speed;
use cactuslane_standin::EngineParams;
use cactuslane_types::{Role, TargetId};

use crate::fleet::SimEngine;
use crate::outcome::Outcome;
use crate::planners::{PLAN_INTERVAL, RolePlanner};
use crate::policy::Policy;
use crate::scenario::{Fault, Scenario};
use crate::trace::Request;
use entry::SimEntry;
use run::{RequestState, Stage};

/// Number of failure domains over which the engines are spread.
const DOMAINS: usize = 3;
/// Time between two load reports of an engine to an entry instance, in microseconds.
const POLL_INTERVAL: u64 = 1_000_000;
/// Time for which the simulation goes on after the trace, so that open requests can end, in
/// microseconds.
const DRAIN_TIME: u64 = 60_000_000;

/// Simulation in progress. Engines, entry instances and requests are named by their indices.
pub struct Sim<'t> {
    /// Scenario that is simulated.
    scenario: &'t Scenario,
    /// Policy that routes requests and plans roles.
    policy: Policy,
    /// Requests by arrival time.
    trace: &'t [Request],
    /// Virtual time since the start of the trace, in microseconds.
    now: u64,
    /// Engines by index.
    engines: Vec<SimEngine>,
    /// Target ids of the engines; sorted, as [`index_of`] needs them.
    engine_ids: Vec<TargetId>,
    /// Entry instances by index.
    entries: Vec<SimEntry>,
    /// Future events with their times in microseconds; events of the same time take place in the
    /// order in which they were scheduled.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled so far.
    event_count: u64,
    /// States of the requests, by index in the trace.
    states: Vec<RequestState>,
    /// Planner of the engines' roles.
    planner: RolePlanner,
    /// Prompt tokens and expected output tokens of the requests that arrived since the last plan,
    /// retries included.
    demand: (f64, f64),
    /// Results so far.
    outcome: Outcome,
}

/// Simulated event; numbers are indices of requests, engines or entry instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives, for the first time or as a retry.
    Arrive(usize),
    /// An engine's step ends, if the engine is still in the given epoch.
    StepEnd(usize, u64),
    /// An entry instance (first number) gets the load report of an engine (second number).
    Poll(usize, usize),
    /// An entry instance decides on the requests in its queue.
    CheckQueue(usize),
    /// The KV cache of a request's given attempt has arrived at the engine that generates.
    TransferEnd(usize, u32),
    /// An entry instance publishes its work in progress at the regular interval.
    Publish(usize),
    /// An entry instance publishes its work in progress early, after a dispatch.
    PublishSoon(usize),
    /// All entry instances learn the domain, role and availability of an engine.
    UpdateFacts(usize),
    /// An engine's role change starts, if the engine is drained, or completes.
    ChangeRole(usize),
    /// Roles are planned for the demand of the last interval.
    Plan,
    /// The fault of the scenario advances to the given step, from 0.
    Fault(u32),
}

/// Simulates a trace of a scenario under a policy. The same arguments give the same outcome.
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy, trace: &[Request], seed: u64) -> Outcome {
    let mut sim = Sim::new(scenario, policy, trace, seed);
    sim.schedule_initial();
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        if at > scenario.seconds * 1_000_000 + DRAIN_TIME {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    sim.finish()
}

/// Returns the engine speed that the product's router and planner assume for engine parameters.
#[must_use]
pub fn speed_of(params: &EngineParams) -> Speed {
    Speed {
        step_ms: params.step_ms,
        prefill_ms: params.prefill_ms,
        decode_ms: params.decode_ms,
        context_ms: params.context_ms,
        mixing: params.mixing,
        chunk: f64::from(params.mixed_chunk),
        large_chunk: f64::from(params.prefill_chunk),
        transfer_ms: params.transfer_ms,
        block_tokens: 64,
        blocks: params.blocks,
    }
}

impl<'t> Sim<'t> {
    /// Creates a simulation without events. Under [`Policy::Clairvoyant`] there is only one entry
    /// instance.
    fn new(scenario: &'t Scenario, policy: Policy, trace: &'t [Request], seed: u64) -> Self {
        let assumed = speed_of(&scenario.params);
        let count = scenario.fleet.engines;
        let engines: Vec<SimEngine> = (0..count)
            .map(|index| {
                let role = initial_role(policy, index, count);
                SimEngine::new(scenario.params, index % DOMAINS, role)
            })
            .collect();
        let engine_ids: Vec<TargetId> = (0..count)
            .map(|index| format!("engine-{index:03}"))
            .collect();
        let peers = if policy == Policy::Clairvoyant {
            1
        } else {
            scenario.fleet.entries
        };
        let entries =
            (0..peers).map(|index| SimEntry::new(policy, assumed, peers, seed + index as u64));
        let mut sim = Self {
            scenario,
            policy,
            trace,
            now: 0,
            engines,
            engine_ids,
            entries: entries.collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            states: trace.iter().map(|_| RequestState::default()).collect(),
            planner: RolePlanner::new(policy, scenario, &assumed),
            demand: (0.0, 0.0),
            outcome: Outcome::new(scenario.seconds as f64),
        };
        for engine in 0..count {
            sim.update_facts(engine);
        }
        sim
    }

    /// Schedules the arrivals and the first of each kind of periodic event and of the fault.
    fn schedule_initial(&mut self) {
        for (index, request) in self.trace.iter().enumerate() {
            self.push_event(request.at, Event::Arrive(index));
        }
        for entry in 0..self.entries.len() {
            for engine in 0..self.engines.len() {
                // Spreads the load reports over the interval.
                let offset = (entry * 137_000 + engine * 71_000) as u64 % POLL_INTERVAL;
                self.push_event(offset, Event::Poll(entry, engine));
            }
        }
        if self.scenario.update_ms > 0 && self.entries.len() > 1 {
            for entry in 0..self.entries.len() {
                self.push_event(entry as u64 * 9_000, Event::Publish(entry));
            }
        }
        self.push_event(PLAN_INTERVAL, Event::Plan);
        let third = self.scenario.seconds * 1_000_000 / 3;
        if self.scenario.fault != Fault::None {
            self.push_event(third, Event::Fault(0));
        }
    }

    /// Schedules an event at a time in microseconds.
    fn push_event(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Performs an event at the current time.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::StepEnd(engine, epoch) => self.end_step(engine, epoch),
            Event::Poll(entry, engine) => self.poll(entry, engine),
            Event::CheckQueue(entry) => self.check_queue(entry),
            Event::TransferEnd(request, attempt) => self.finish_transfer(request, attempt),
            Event::Publish(entry) => {
                self.publish(entry);
                self.push_event(
                    self.now + self.scenario.update_ms * 1000,
                    Event::Publish(entry),
                );
            }
            Event::PublishSoon(entry) => self.publish(entry),
            Event::UpdateFacts(engine) => self.update_facts(engine),
            Event::ChangeRole(engine) => self.continue_role_change(engine),
            Event::Plan => self.plan(),
            Event::Fault(step) => self.fault(step),
        }
    }

    /// Counts the requests that have not ended as late, and returns the results.
    fn finish(mut self) -> Outcome {
        for state in &self.states {
            if state.stage != Stage::Ended {
                self.outcome.late += 1;
                self.outcome.wasted_tokens += u64::from(state.tokens);
            }
        }
        self.outcome
    }

    /// Returns the virtual time, in milliseconds.
    fn now_ms(&self) -> u64 {
        self.now / 1000
    }
}

/// Returns the index of a name in a sorted list; 0 if the list does not hold it.
fn index_of(names: &[TargetId], name: &str) -> usize {
    names
        .binary_search_by(|known| known.as_str().cmp(name))
        .unwrap_or_default()
}

/// Returns the role with which the engine `index` of `count` starts.
fn initial_role(policy: Policy, index: usize, count: usize) -> Role {
    let (prefill, decode) = match policy {
        Policy::StaticRoles(prefill, decode) => (prefill, decode),
        Policy::Threshold => (count / 3, count - count / 3),
        _ => (0, 0),
    };
    if index < prefill {
        Role::Prefill
    } else if index < prefill + decode {
        Role::Decode
    } else {
        Role::Mixed
    }
}
