//! The engines of a run: steps, reports, roles and faults.

use std::collections::BTreeMap;

use cactuslane_roles::RoleAssignment;
use cactuslane_standin::BatchEvent;

use super::run::Run;
use super::{Event, POLL_INTERVAL, Sim, Stage, entry, index_of};
use crate::planners::{CHANGE_MS, PLAN_INTERVAL};
use crate::scenario::Fault;

/// Time after which all entries know a planned change, in microseconds.
const SPREAD_TIME: u64 = 1_500_000;
/// Time after which all entries know of a lost engine from the list, in microseconds.
const LIST_TIME: u64 = 5_000_000;

impl Sim<'_> {
    /// Starts an engine's step, if it is idle and has work.
    pub(super) fn start_step(&mut self, engine: usize) {
        if let Some(length) = self.engines[engine].start_step() {
            let epoch = self.engines[engine].epoch;
            self.at(self.now + length, Event::Step(engine, epoch));
        }
    }

    /// Ends an engine's step.
    pub(super) fn end_step(&mut self, engine: usize, epoch: u64) {
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
    pub(super) fn prompt_done(&mut self, id: u64, engine: usize) {
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
            let fleet = &mut self.entries[entry].router.fleet;
            fleet.first_token(dispatch, now);
            fleet.done(dispatch);
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
    pub(super) fn poll(&mut self, entry: usize, engine: usize) {
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
                .fleet
                .report(name, load, measured);
        }
        self.at(now + POLL_INTERVAL, Event::Poll(entry, engine));
    }

    /// Tells the other entries of a dispatch before their next turn, but not too often.
    pub(super) fn tell_soon(&mut self, entry: usize) {
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
    pub(super) fn tell(&mut self, entry: usize) {
        let now = self.now / 1000;
        let name = format!("entry-{entry}");
        self.entries[entry].told_at = self.now;
        self.entries[entry].tell_soon = false;
        let mut changed = Vec::new();
        for target in &self.names {
            let work = self.entries[entry].router.fleet.own_work(target);
            let told = self.entries[entry].told.insert(target.clone(), work);
            if told != Some(work) {
                changed.push((target.clone(), work));
            }
        }
        for (other, state) in self.entries.iter_mut().enumerate() {
            if other != entry {
                state.router.fleet.record_peer_work(&name, &changed, now);
            }
        }
    }

    /// Gives the only entry the load of all engines as it is.
    pub(super) fn report_all(&mut self) {
        let now = self.now / 1000;
        for (engine, name) in self.engines.iter().zip(&self.names) {
            let fleet = &mut self.entries[0].router.fleet;
            fleet.report(name, engine.load(), now);
        }
        // Nobody else dispatches: what the only instance has in progress is all there is.
        self.entries[0]
            .router
            .fleet
            .record_peer_work("nobody", &[], now);
    }

    /// Tells all entries what an engine is.
    pub(super) fn learn(&mut self, engine: usize) {
        let state = &self.engines[engine];
        let facts = cactuslane_route::TargetFacts {
            domain: format!("domain-{}", state.domain),
            service: entry::MODEL.to_owned(),
            role: state.role,
            serving: state.up && state.wanted && state.next_role.is_none(),
        };
        for entry in &mut self.entries {
            entry.router.fleet.set(&self.names[engine], facts.clone());
            entry.serving.insert(engine, facts.serving);
        }
    }

    /// Plans roles.
    pub(super) fn plan(&mut self) {
        let interval = PLAN_INTERVAL as f64 / 1000.0;
        let demand = (self.demand.0 / interval, self.demand.1 / interval);
        self.demand = (0.0, 0.0);
        let underway = self
            .engines
            .iter()
            .filter(|engine| engine.next_role.is_some());
        let allowed = underway.count() < self.scenario.at_once;
        let mut roles = BTreeMap::new();
        for (engine, name) in self.engines.iter().zip(&self.names) {
            // An engine that changes counts as what it will be.
            if (engine.up && engine.wanted) || engine.next_role.is_some() {
                let role = engine.next_role.unwrap_or(engine.role);
                roles.insert(name.clone(), (role, engine.batch.ids().len()));
            }
        }
        self.planner.observe(demand);
        let change = if allowed {
            self.planner.plan(&roles, self.trace, self.now)
        } else {
            None
        };
        if let Some(RoleAssignment { target, role }) = change {
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
    pub(super) fn try_change(&mut self, engine: usize) {
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
    pub(super) fn changed(&mut self, engine: usize) {
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
    pub(super) fn fault(&mut self, step: u32) {
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
    pub(super) fn lose(&mut self, engine: usize) {
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
    pub(super) fn leave(&mut self, step: u32) {
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
    pub(super) fn engine_of(&self, name: &str) -> usize {
        index_of(&self.names, name)
    }
}
