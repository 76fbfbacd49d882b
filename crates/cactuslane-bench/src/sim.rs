//! One run of a scenario under a policy, in virtual time.

mod entry;
mod run;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use cactuslane_roles::Change;
use cactuslane_route::{Choice, Plan, Speed, Verdict};
use cactuslane_standin::{BatchEvent, EngineParams, Work};
use cactuslane_types::{Role, TargetId};

use crate::fleet::SimEngine;
use crate::outcome::Outcome;
use crate::planners::{CHANGE_MS, PLAN_INTERVAL, RolePlanner};
use crate::policy::Policy;
use crate::scenario::{Fault, Scenario};
use crate::trace::Request;
use entry::SimEntry;
use run::{Run, Stage};

/// Number of failure domains.
const DOMAINS: usize = 3;
/// Time between two looks at a queue, in microseconds.
const LOOK_INTERVAL: u64 = 10_000;
/// Time between two load reports of an engine to an entry, in microseconds.
const POLL_INTERVAL: u64 = 1_000_000;
/// Time after which all entries know a planned change, in microseconds.
const SPREAD_TIME: u64 = 1_500_000;
/// Time after which all entries know of a lost engine from the list, in microseconds.
const LIST_TIME: u64 = 5_000_000;
/// Number of times that a refused caller comes back.
const COME_BACKS: u32 = 3;
/// Number of requests at the head of a queue that may be sent out of order.
const QUEUE_HEAD: usize = 4;
/// Time for which a run goes on after the trace, in microseconds.
const TAIL: u64 = 60_000_000;

/// Is a run in progress.
pub struct Sim<'t> {
    /// Is the scenario.
    scenario: &'t Scenario,
    /// Is the policy.
    policy: Policy,
    /// Is the trace.
    trace: &'t [Request],
    /// Is the time, in microseconds.
    now: u64,
    /// Holds the engines.
    engines: Vec<SimEngine>,
    /// Holds the names of the engines.
    names: Vec<TargetId>,
    /// Holds the entry instances.
    entries: Vec<SimEntry>,
    /// Holds what is to come, by time and order.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Is the number of events so far.
    order: u64,
    /// Holds the requests' runs.
    runs: Vec<Run>,
    /// Plans roles.
    planner: RolePlanner,
    /// Is the work that arrived since the last plan.
    demand: (f64, f64),
    /// Counts.
    outcome: Outcome,
}

/// Is something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives, for the first time or again.
    Arrive(usize),
    /// An engine's step ends.
    Step(usize, u64),
    /// An entry reads an engine's load.
    Poll(usize, usize),
    /// An entry looks at its queue.
    Look(usize),
    /// A KV cache has arrived at the engine that generates.
    Transfer(usize, u32),
    /// An entry tells the others what it has in progress.
    Tell(usize),
    /// An entry tells the others of a dispatch.
    TellSoon(usize),
    /// Entries learn an engine's state.
    Learn(usize),
    /// An engine has changed its role.
    Changed(usize),
    /// Roles are planned.
    Plan,
    /// A step of the scenario's fault.
    Fault(u32),
}

/// Runs a trace of a scenario under a policy.
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy, trace: &[Request], seed: u64) -> Outcome {
    let mut sim = Sim::new(scenario, policy, trace, seed);
    sim.schedule();
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        if at > scenario.seconds * 1_000_000 + TAIL {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    sim.finish()
}

/// Returns the speed that the product assumes for engines of some parameters.
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
        piece_tokens: 64,
        pieces: params.pieces,
    }
}

impl<'t> Sim<'t> {
    /// Creates a run before its first event.
    fn new(scenario: &'t Scenario, policy: Policy, trace: &'t [Request], seed: u64) -> Self {
        let assumed = speed_of(&scenario.params);
        let count = scenario.fleet.engines;
        let engines: Vec<SimEngine> = (0..count)
            .map(|index| {
                let role = initial_role(policy, index, count);
                SimEngine::new(scenario.params, index % DOMAINS, role)
            })
            .collect();
        let names: Vec<TargetId> = (0..count)
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
            names,
            entries: entries.collect(),
            events: BinaryHeap::new(),
            order: 0,
            runs: trace.iter().map(|_| Run::default()).collect(),
            planner: RolePlanner::new(policy, scenario, &assumed),
            demand: (0.0, 0.0),
            outcome: Outcome::new(scenario.seconds as f64),
        };
        for engine in 0..count {
            sim.learn(engine);
        }
        sim
    }

    /// Schedules what is known from the start.
    fn schedule(&mut self) {
        for (index, request) in self.trace.iter().enumerate() {
            self.at(request.at, Event::Arrive(index));
        }
        for entry in 0..self.entries.len() {
            for engine in 0..self.engines.len() {
                // Instances poll at different moments.
                let offset = (entry * 137_000 + engine * 71_000) as u64 % POLL_INTERVAL;
                self.at(offset, Event::Poll(entry, engine));
            }
        }
        if self.scenario.tell_ms > 0 && self.entries.len() > 1 {
            for entry in 0..self.entries.len() {
                self.at(entry as u64 * 9_000, Event::Tell(entry));
            }
        }
        self.at(PLAN_INTERVAL, Event::Plan);
        let third = self.scenario.seconds * 1_000_000 / 3;
        if self.scenario.fault != Fault::None {
            self.at(third, Event::Fault(0));
        }
    }

    /// Adds an event.
    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Does what an event calls for.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Step(engine, epoch) => self.end_step(engine, epoch),
            Event::Poll(entry, engine) => self.poll(entry, engine),
            Event::Look(entry) => self.look(entry),
            Event::Transfer(request, attempt) => self.transferred(request, attempt),
            Event::Tell(entry) => {
                self.tell(entry);
                self.at(self.now + self.scenario.tell_ms * 1000, Event::Tell(entry));
            }
            Event::TellSoon(entry) => self.tell(entry),
            Event::Learn(engine) => self.learn(engine),
            Event::Changed(engine) => self.changed(engine),
            Event::Plan => self.plan(),
            Event::Fault(step) => self.fault(step),
        }
    }

    /// Counts what was left at the end.
    fn finish(mut self) -> Outcome {
        for run in &self.runs {
            if run.stage != Stage::Ended {
                self.outcome.late += 1;
                self.outcome.wasted += u64::from(run.tokens);
            }
        }
        self.outcome
    }

    /// Returns the time in milliseconds.
    fn now_ms(&self) -> u64 {
        self.now / 1000
    }
}

/// Requests.
impl Sim<'_> {
    /// Takes in a request.
    fn arrive(&mut self, index: usize) {
        let request = &self.trace[index];
        let entry = index % self.entries.len();
        let run = &mut self.runs[index];
        run.arrived = self.now;
        run.entry = entry;
        if run.come_backs == 0 {
            self.outcome.offered += 1;
            self.outcome.callers[request.caller].0 += 1;
        }
        self.demand.0 += f64::from(request.prompt);
        let expected = self.entries[entry].reserve(request);
        self.demand.1 += f64::from(expected);
        if self.policy.routes() {
            self.entries[entry].push(index, request, 0);
            self.look(entry);
            return;
        }
        let chosen = self.entries[entry].choose_simply(self.policy, self.scenario.fleet.engines);
        self.dispatch(
            index,
            &Choice {
                plan: Plan::Whole(self.names[chosen].clone()),
                first_token: 1.0,
                wait: 0.0,
                shortage: 0.0,
                cached: 0,
                work: cactuslane_route::Work::default(),
                decode_work: cactuslane_route::Work::default(),
            },
        );
    }

    /// Looks at an entry's queue.
    fn look(&mut self, entry: usize) {
        if self.policy == Policy::Clairvoyant {
            self.report_all();
        }
        let now = self.now_ms();
        let waiting: Vec<(u64, usize)> = self.entries[entry].head(QUEUE_HEAD * 2);
        let mut sent = 0;
        for (ticket, index) in waiting {
            if sent >= QUEUE_HEAD {
                break;
            }
            let run = &self.runs[index];
            let waited = (self.now - run.arrived) as f64 / 1000.0;
            let waited = if run.tokens > 0 { 0.0 } else { waited };
            let request = &self.trace[index];
            let exact = self.policy == Policy::Clairvoyant;
            let ask = self.entries[entry].ask(request, run, &self.scenario.fleet, exact, now);
            match self.entries[entry].router.decide(&ask, waited, now) {
                Verdict::Run(choice) => {
                    self.entries[entry].remove(ticket, true);
                    self.entries[entry].admitted(&self.trace[index], now);
                    self.dispatch(index, &choice);
                    sent += 1;
                }
                Verdict::Refuse(wait) => {
                    self.entries[entry].remove(ticket, false);
                    self.refuse(index, wait.as_micros() as u64);
                }
                Verdict::NoTarget if waited > 1_000.0 => {
                    self.entries[entry].remove(ticket, false);
                    self.refuse(index, 1_000_000);
                }
                Verdict::Wait | Verdict::NoTarget => {}
            }
        }
        if !self.entries[entry].queue.is_empty() && self.now >= self.entries[entry].next_look {
            let next = self.now + LOOK_INTERVAL;
            self.entries[entry].next_look = next;
            self.at(next, Event::Look(entry));
        }
    }

    /// Refuses a request; the caller comes back a few times.
    fn refuse(&mut self, index: usize, wait: u64) {
        self.outcome.refused += 1;
        let run = &mut self.runs[index];
        if run.come_backs >= COME_BACKS || run.tokens > 0 {
            run.stage = Stage::Ended;
            self.outcome.turned_away += 1;
            self.outcome.wasted += u64::from(run.tokens);
            return;
        }
        run.come_backs += 1;
        self.at(self.now + wait, Event::Arrive(index));
    }

    /// Sends a request to the engines of a choice.
    fn dispatch(&mut self, index: usize, choice: &Choice) {
        let now = self.now_ms();
        let entry = self.runs[index].entry;
        let (first, second) = match &choice.plan {
            Plan::Whole(target) => (target.clone(), None),
            Plan::Split { prefill, decode } => (prefill.clone(), Some(decode.clone())),
        };
        let engine = self.engine_of(&first);
        let picture = &mut self.entries[entry].router.picture;
        let id = picture.sent(&first, choice.work, choice.first_token, now);
        let second = second.map(|target| {
            let id = picture.sent(&target, choice.decode_work, choice.first_token, now);
            (target, id)
        });
        let run = &mut self.runs[index];
        run.attempt += 1;
        run.stage = Stage::Sent;
        run.first = Some((engine, id));
        run.second = second.map(|(target, id)| (index_of(&self.names, &target), id));
        if !self.engines[engine].up {
            self.broke(index);
            return;
        }
        let request = &self.trace[index];
        let work = Work {
            id: run.stream(index),
            priority: 0,
            prompt: request.prompt + run.tokens,
            blocks: request.blocks.clone(),
            output: request.output - run.tokens,
            imported: 0,
            prefill_only: run.second.is_some(),
        };
        self.engines[engine].add(work);
        self.start_step(engine);
        self.tell_soon(entry);
    }

    /// Starts the part of a request that another engine generates.
    fn transferred(&mut self, index: usize, attempt: u32) {
        let run = &mut self.runs[index];
        let Some((engine, _)) = run.second.filter(|_| run.attempt == attempt) else {
            return;
        };
        if !self.engines[engine].up {
            self.broke(index);
            return;
        }
        let request = &self.trace[index];
        let work = Work {
            id: run.stream(index),
            priority: 0,
            prompt: request.prompt + run.tokens,
            blocks: Vec::new(),
            output: request.output - run.tokens,
            imported: request.prompt + run.tokens,
            prefill_only: false,
        };
        self.engines[engine].add(work);
        self.start_step(engine);
    }

    /// Sends a request whose engine broke to another one, from the token where it broke.
    fn broke(&mut self, index: usize) {
        let now = self.now_ms();
        let run = &mut self.runs[index];
        self.outcome.cut += 1;
        let entry = run.entry;
        let picture = &mut self.entries[entry].router.picture;
        for (engine, id) in run.first.take().into_iter().chain(run.second.take()) {
            if self.engines[engine].up {
                picture.done(id);
            } else {
                picture.failed(id, now);
            }
        }
        run.attempt += 1;
        run.stage = Stage::Waiting;
        if self.policy.routes() {
            let request = &self.trace[index];
            let tokens = run.tokens;
            self.entries[entry].push(index, request, tokens);
            self.look(entry);
        } else {
            self.at(self.now + 50_000, Event::Arrive(index));
        }
    }

    /// Records a token.
    fn token(&mut self, index: usize, engine: usize) {
        let now = self.now;
        let run = &mut self.runs[index];
        let request = &self.trace[index];
        let entry = run.entry;
        if run.tokens == 0 {
            run.first_ms = (now - run.arrived) as f64 / 1000.0;
            self.outcome
                .first
                .saturating_record(run.first_ms.max(1.0) as u64);
        } else if (now - run.last) as f64 / 1000.0 > self.scenario.fleet.between_bound {
            run.slow_gaps += 1;
        }
        run.tokens += 1;
        run.last = now;
        if !run.answered {
            run.answered = true;
            let dispatch = run.second.or(run.first);
            if let Some((_, id)) = dispatch {
                self.entries[entry]
                    .router
                    .picture
                    .first_token(id, now / 1000);
            }
        }
        if run.tokens >= request.output {
            self.end(index, engine);
        }
    }

    /// Ends a request whose answer is whole.
    fn end(&mut self, index: usize, engine: usize) {
        let run = &mut self.runs[index];
        let request = &self.trace[index];
        run.stage = Stage::Ended;
        let entry = &mut self.entries[run.entry];
        for (_, id) in run.first.take().into_iter().chain(run.second.take()) {
            entry.router.picture.done(id);
        }
        entry.finished(request, &self.names[engine], self.now / 1000);
        let bound = self.scenario.fleet.first_bound;
        let smooth = f64::from(run.slow_gaps) <= f64::from(run.tokens) * 0.05;
        if run.first_ms <= bound && smooth {
            self.outcome.good += 1;
            self.outcome.callers[request.caller].1 += 1;
        } else {
            self.outcome.late += 1;
            self.outcome.wasted += u64::from(run.tokens);
        }
    }
}

/// Engines.
impl Sim<'_> {
    /// Starts an engine's step, if it is idle and has work.
    fn start_step(&mut self, engine: usize) {
        if let Some(length) = self.engines[engine].start_step() {
            let epoch = self.engines[engine].epoch;
            self.at(self.now + length, Event::Step(engine, epoch));
        }
    }

    /// Ends an engine's step.
    fn end_step(&mut self, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        for event in self.engines[engine].end_step() {
            match event {
                BatchEvent::Token(id, _) => {
                    let index = Run::index(id);
                    if self.runs[index].stream(index) == id {
                        self.token(index, engine);
                    }
                }
                BatchEvent::Done(id) => self.prompt_done(id, engine),
            }
        }
        self.engines[engine].sample(self.now);
        self.start_step(engine);
        self.try_change(engine);
    }

    /// Moves the KV cache of a prompt that another engine generates for.
    fn prompt_done(&mut self, id: u64, engine: usize) {
        let index = Run::index(id);
        let run = &mut self.runs[index];
        if run.stream(index) != id || run.second.is_none() || run.stage != Stage::Sent {
            return;
        }
        if run.first.is_none_or(|(first, _)| first != engine) {
            return;
        }
        let prompt = f64::from(self.trace[index].prompt + run.tokens);
        let entry = run.entry;
        if let Some((_, dispatch)) = run.first.take() {
            let now = self.now / 1000;
            let picture = &mut self.entries[entry].router.picture;
            picture.first_token(dispatch, now);
            picture.done(dispatch);
            let blocks = &self.trace[index].blocks;
            self.entries[entry]
                .router
                .prefixes
                .stored(&self.names[engine], blocks, now);
        }
        let time = self.scenario.params.transfer_ms * prompt / 1000.0;
        let attempt = self.runs[index].attempt;
        self.at(
            self.now + (time * 1000.0) as u64,
            Event::Transfer(index, attempt),
        );
    }

    /// Gives an entry an engine's load report.
    fn poll(&mut self, entry: usize, engine: usize) {
        /// Age that the product takes a report to have, in milliseconds.
        const ASSUMED_AGE: u64 = 500;
        let now = self.now;
        let lag = self.scenario.lag_ms * 1000;
        self.engines[engine].sample(now);
        if self.engines[engine].up
            && let Some(load) = self.engines[engine].sampled(now, lag)
        {
            let measured = (now / 1000).saturating_sub(ASSUMED_AGE);
            let name = &self.names[engine];
            self.entries[entry]
                .router
                .picture
                .report(name, load, measured);
        }
        self.at(now + POLL_INTERVAL, Event::Poll(entry, engine));
    }

    /// Tells the other entries of a dispatch before their next turn, but not too often.
    fn tell_soon(&mut self, entry: usize) {
        let soonest = self.entries[entry].told_at + self.scenario.tell_least_ms * 1000;
        let state = &mut self.entries[entry];
        if self.scenario.tell_ms == 0 || state.tell_soon || state.peers == 1 {
            return;
        }
        state.tell_soon = true;
        let at = soonest.max(self.now + 1_000);
        self.at(at, Event::TellSoon(entry));
    }

    /// Tells the other entries what one has in progress, where that has changed.
    fn tell(&mut self, entry: usize) {
        let now = self.now / 1000;
        let name = format!("entry-{entry}");
        self.entries[entry].told_at = self.now;
        self.entries[entry].tell_soon = false;
        let mut changed = Vec::new();
        for target in &self.names {
            let share = self.entries[entry].router.picture.own_share(target);
            let told = self.entries[entry].told.insert(target.clone(), share);
            if told != Some(share) {
                changed.push((target.clone(), share));
            }
        }
        for (other, state) in self.entries.iter_mut().enumerate() {
            if other != entry {
                state.router.picture.heard(&name, &changed, now);
            }
        }
    }

    /// Gives the only entry the load of all engines as it is.
    fn report_all(&mut self) {
        let now = self.now / 1000;
        for (engine, name) in self.engines.iter().zip(&self.names) {
            let picture = &mut self.entries[0].router.picture;
            picture.report(name, engine.load(), now);
        }
        // Nobody else dispatches: what the only instance has in progress is all there is.
        self.entries[0].router.picture.heard("nobody", &[], now);
    }

    /// Tells all entries what an engine is.
    fn learn(&mut self, engine: usize) {
        let state = &self.engines[engine];
        let facts = cactuslane_route::TargetFacts {
            domain: format!("domain-{}", state.domain),
            service: entry::MODEL.to_owned(),
            role: state.role,
            serving: state.up && state.wanted && state.next_role.is_none(),
        };
        for entry in &mut self.entries {
            entry.router.picture.set(&self.names[engine], facts.clone());
            entry.serving.insert(engine, facts.serving);
        }
    }

    /// Plans roles.
    fn plan(&mut self) {
        let interval = PLAN_INTERVAL as f64 / 1000.0;
        let demand = (self.demand.0 / interval, self.demand.1 / interval);
        self.demand = (0.0, 0.0);
        let changing = self.engines.iter().any(|engine| engine.next_role.is_some());
        let mut roles = BTreeMap::new();
        for (engine, name) in self.engines.iter().zip(&self.names) {
            if engine.up && engine.wanted {
                roles.insert(name.clone(), (engine.role, engine.batch.ids().len()));
            }
        }
        let change = self.planner.plan(demand, &roles, self.trace, self.now);
        if let Some(Change { target, role }) = change.filter(|_| !changing) {
            let engine = self.engine_of(&target);
            self.engines[engine].next_role = Some(role);
            self.outcome.changes += 1;
            self.at(self.now + SPREAD_TIME, Event::Learn(engine));
            self.at(self.now + SPREAD_TIME, Event::Changed(engine));
        }
        if self.now < self.scenario.seconds * 1_000_000 {
            self.at(self.now + PLAN_INTERVAL, Event::Plan);
        }
    }

    /// Starts an engine's change of role when it is drained.
    fn try_change(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let learnt = !self.entries[0]
            .serving
            .get(&engine)
            .copied()
            .unwrap_or(true);
        if state.next_role.is_none() || !state.batch.is_idle() || !state.up || !learnt {
            return;
        }
        state.up = false;
        state.epoch += 1;
        self.at(
            self.now + (CHANGE_MS * 1000.0) as u64,
            Event::Changed(engine),
        );
    }

    /// Ends an engine's change of role.
    fn changed(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let Some(role) = state.next_role else { return };
        if state.up {
            self.try_change(engine);
            return;
        }
        state.next_role = None;
        state.up = true;
        state.crash();
        state.set_role(role);
        self.at(self.now + SPREAD_TIME, Event::Learn(engine));
    }

    /// Does a step of the scenario's fault.
    fn fault(&mut self, step: u32) {
        let third = self.scenario.seconds * 1_000_000 / 3;
        match (self.scenario.fault, step) {
            (Fault::DomainLost, 0) => {
                for engine in 0..self.engines.len() {
                    if self.engines[engine].domain == 1 {
                        self.lose(engine);
                    }
                }
                self.at(self.now + third, Event::Fault(1));
            }
            (Fault::DomainLost, _) => {
                for engine in 0..self.engines.len() {
                    self.engines[engine].up = true;
                    self.at(self.now + LIST_TIME, Event::Learn(engine));
                }
            }
            (Fault::Leaving, step) => self.leave(step),
            (Fault::SlowEngine, _) => self.engines[0].slowness = 6.0,
            (Fault::None, _) => {}
        }
    }

    /// Loses an engine with its streams.
    fn lose(&mut self, engine: usize) {
        self.engines[engine].up = false;
        let cut = self.engines[engine].crash();
        self.at(self.now + LIST_TIME, Event::Learn(engine));
        for id in cut {
            let index = Run::index(id);
            if self.runs[index].stream(index) == id {
                self.broke(index);
            }
        }
    }

    /// Lets one engine after another leave and come back.
    fn leave(&mut self, step: u32) {
        /// Time for which an engine is away, in microseconds.
        const AWAY: u64 = 40_000_000;
        let before = (step as usize).checked_sub(1);
        if let Some(engine) = before.filter(|engine| *engine < self.engines.len()) {
            self.engines[engine].wanted = true;
            self.at(self.now + SPREAD_TIME, Event::Learn(engine));
        }
        let engine = step as usize;
        if engine < self.engines.len().min(6) {
            self.engines[engine].wanted = false;
            self.at(self.now + SPREAD_TIME, Event::Learn(engine));
            self.at(self.now + AWAY, Event::Fault(step + 1));
        }
    }

    /// Returns the number of an engine.
    fn engine_of(&self, name: &str) -> usize {
        index_of(&self.names, name)
    }
}

/// Returns the place of a name in a sorted list that holds it.
fn index_of(names: &[TargetId], name: &str) -> usize {
    names
        .binary_search_by(|known| known.as_str().cmp(name))
        .unwrap_or_default()
}

/// Returns the role with which an engine starts.
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
