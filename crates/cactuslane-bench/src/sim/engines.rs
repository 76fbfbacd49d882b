//! Events of engines: steps, load reports, work updates, role changes and faults.

use std::collections::BTreeMap;

use cactuslane_roles::RoleAssignment;
use cactuslane_standin::BatchEvent;

use super::run::RequestState;
use super::{Event, POLL_INTERVAL, Sim, Stage, entry, index_of};
use crate::planners::{CHANGE_MS, PLAN_INTERVAL};
use crate::scenario::Fault;

/// Time until all entry instances know a change of an engine's role or service state from the
/// plan, in microseconds.
const PROPAGATION_TIME: u64 = 1_500_000;
/// Time until all entry instances know from the instance list that an engine crashed or came back,
/// in microseconds.
const LIST_DELAY: u64 = 5_000_000;

impl Sim<'_> {
    /// Starts an engine's next step, if it has work and no step is in progress.
    pub(super) fn start_step(&mut self, engine: usize) {
        if let Some(length) = self.engines[engine].start_step() {
            let epoch = self.engines[engine].epoch;
            self.push_event(self.now + length, Event::StepEnd(engine, epoch));
        }
    }

    /// Ends an engine's step: handles its events, samples the load and starts what comes next.
    /// Ignores a step of an earlier epoch.
    pub(super) fn end_step(&mut self, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        for event in self.engines[engine].end_step() {
            match event {
                BatchEvent::Token(id, _) => {
                    let index = RequestState::request_index(id);
                    if self.states[index].stream_id(index) == id {
                        self.record_token(index, engine);
                    }
                }
                BatchEvent::Done(id) => self.prompt_done(id, engine),
            }
        }
        self.engines[engine].sample(self.now);
        self.start_step(engine);
        self.start_role_change(engine);
    }

    /// Starts the transfer of a prompt's KV cache from `engine` to the engine that generates, if
    /// the request is split between two.
    pub(super) fn prompt_done(&mut self, id: u64, engine: usize) {
        let index = RequestState::request_index(id);
        let state = &mut self.states[index];
        if state.stream_id(index) != id
            || state.decode_dispatch.is_none()
            || state.stage != Stage::Sent
        {
            return;
        }
        if state
            .first_dispatch
            .is_none_or(|(first, _)| first != engine)
        {
            return;
        }
        let prompt = f64::from(self.trace[index].prompt + state.tokens);
        let entry = state.entry;
        if let Some((_, dispatch)) = state.first_dispatch.take() {
            let now = self.now / 1000;
            let fleet = &mut self.entries[entry].router.fleet;
            fleet.first_token(dispatch, now);
            fleet.done(dispatch);
            let blocks = &self.trace[index].block_hashes;
            self.entries[entry]
                .router
                .prefixes
                .stored(&self.engine_ids[engine], blocks, now);
        }
        let time = self.scenario.params.transfer_ms * prompt / 1000.0;
        let attempt = self.states[index].attempt;
        self.push_event(
            self.now + (time * 1000.0) as u64,
            Event::TransferEnd(index, attempt),
        );
    }

    /// Delivers an engine's load report to an entry instance, with the lag of the scenario.
    pub(super) fn poll(&mut self, entry: usize, engine: usize) {
        /// Age that the product assumes for a load report, whatever the lag is, in milliseconds.
        const ASSUMED_AGE: u64 = 500;
        let now = self.now;
        let lag = self.scenario.lag_ms * 1000;
        self.engines[engine].sample(now);
        if self.engines[engine].up
            && let Some(load) = self.engines[engine].delayed_load(now, lag)
        {
            let measured = (now / 1000).saturating_sub(ASSUMED_AGE);
            let name = &self.engine_ids[engine];
            self.entries[entry]
                .router
                .fleet
                .report(name, load, measured);
        }
        self.push_event(now + POLL_INTERVAL, Event::Poll(entry, engine));
    }

    /// Schedules an early update of an entry instance's work in progress after a dispatch: at least
    /// `min_update_ms` after its last update, and at least 1 ms from now.
    pub(super) fn publish_soon(&mut self, entry: usize) {
        let soonest = self.entries[entry].published_at + self.scenario.min_update_ms * 1000;
        let state = &mut self.entries[entry];
        if self.scenario.update_ms == 0 || state.publish_pending || state.instances == 1 {
            return;
        }
        state.publish_pending = true;
        let at = soonest.max(self.now + 1_000);
        self.push_event(at, Event::PublishSoon(entry));
    }

    /// Publishes an entry instance's work in progress to the others, without delay: at the targets
    /// where it differs from the last update.
    pub(super) fn publish(&mut self, entry: usize) {
        let now = self.now / 1000;
        let name = format!("entry-{entry}");
        self.entries[entry].published_at = self.now;
        self.entries[entry].publish_pending = false;
        let mut changed = Vec::new();
        for target in &self.engine_ids {
            let work = self.entries[entry].router.fleet.own_work(target);
            let published = self.entries[entry].published.insert(target.clone(), work);
            if published != Some(work) {
                changed.push((target.clone(), work));
            }
        }
        for (other, state) in self.entries.iter_mut().enumerate() {
            if other != entry {
                state.router.fleet.record_peer_work(&name, &changed, now);
            }
        }
    }

    /// Reports the current load of all engines to the only entry instance.
    pub(super) fn report_exact_loads(&mut self) {
        let now = self.now / 1000;
        for (engine, name) in self.engines.iter().zip(&self.engine_ids) {
            let fleet = &mut self.entries[0].router.fleet;
            fleet.report(name, engine.load(), now);
        }
        // No other instance dispatches. The router expects two instances, so an empty update from a
        // second one makes the known work in progress complete: that of the only instance.
        self.entries[0]
            .router
            .fleet
            .record_peer_work("nobody", &[], now);
    }

    /// Updates the domain, role and availability of an engine at all entry instances.
    pub(super) fn update_facts(&mut self, engine: usize) {
        let state = &self.engines[engine];
        let facts = cactuslane_route::TargetFacts {
            domain: format!("domain-{}", state.domain),
            service: entry::MODEL.to_owned(),
            role: state.role,
            serving: state.up && state.in_service && state.next_role.is_none(),
        };
        for entry in &mut self.entries {
            entry
                .router
                .fleet
                .set(&self.engine_ids[engine], facts.clone());
            entry.serving.insert(engine, facts.serving);
        }
    }

    /// Plans roles for the demand since the last plan, and starts the planned change unless
    /// `max_changes` are in progress.
    pub(super) fn plan(&mut self) {
        let interval = PLAN_INTERVAL as f64 / 1000.0;
        let demand = (self.demand.0 / interval, self.demand.1 / interval);
        self.demand = (0.0, 0.0);
        let changing = self
            .engines
            .iter()
            .filter(|engine| engine.next_role.is_some());
        let allowed = changing.count() < self.scenario.max_changes;
        let mut roles = BTreeMap::new();
        for (engine, name) in self.engines.iter().zip(&self.engine_ids) {
            // An engine whose role is changing counts in its future role.
            if (engine.up && engine.in_service) || engine.next_role.is_some() {
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
            let engine = self.engine_index(&target);
            self.engines[engine].next_role = Some(role);
            self.outcome.role_changes += 1;
            self.push_event(self.now + PROPAGATION_TIME, Event::UpdateFacts(engine));
            self.push_event(self.now + PROPAGATION_TIME, Event::ChangeRole(engine));
        }
        if self.now < self.scenario.seconds * 1_000_000 {
            self.push_event(self.now + PLAN_INTERVAL, Event::Plan);
        }
    }

    /// Takes an engine down for its planned role change, once it is drained and the entry instances
    /// no longer send it work.
    pub(super) fn start_role_change(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let excluded = !self.entries[0]
            .serving
            .get(&engine)
            .copied()
            .unwrap_or(true);
        if state.next_role.is_none() || !state.batch.is_idle() || !state.up || !excluded {
            return;
        }
        state.up = false;
        state.epoch += 1;
        self.push_event(
            self.now + (CHANGE_MS * 1000.0) as u64,
            Event::ChangeRole(engine),
        );
    }

    /// Continues an engine's role change: starts it if the engine is still up and drained;
    /// completes it, with an empty prefix cache, if the engine is down.
    pub(super) fn continue_role_change(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let Some(role) = state.next_role else { return };
        if state.up {
            self.start_role_change(engine);
            return;
        }
        state.next_role = None;
        state.up = true;
        state.crash();
        state.set_role(role);
        self.push_event(self.now + PROPAGATION_TIME, Event::UpdateFacts(engine));
    }

    /// Performs a step of the scenario's fault and schedules the next one.
    pub(super) fn fault(&mut self, step: u32) {
        let third = self.scenario.seconds * 1_000_000 / 3;
        match (self.scenario.fault, step) {
            (Fault::DomainLost, 0) => {
                for engine in 0..self.engines.len() {
                    if self.engines[engine].domain == 1 {
                        self.crash_engine(engine);
                    }
                }
                self.push_event(self.now + third, Event::Fault(1));
            }
            (Fault::DomainLost, _) => {
                for engine in 0..self.engines.len() {
                    self.engines[engine].up = true;
                    self.push_event(self.now + LIST_DELAY, Event::UpdateFacts(engine));
                }
            }
            (Fault::Leaving, step) => self.leave_next(step),
            (Fault::SlowEngine, _) => self.engines[0].slowdown = 6.0,
            (Fault::None, _) => {}
        }
    }

    /// Crashes an engine; its requests are dispatched again.
    pub(super) fn crash_engine(&mut self, engine: usize) {
        self.engines[engine].up = false;
        let cut = self.engines[engine].crash();
        self.push_event(self.now + LIST_DELAY, Event::UpdateFacts(engine));
        for id in cut {
            let index = RequestState::request_index(id);
            if self.states[index].stream_id(index) == id {
                self.retry_broken(index);
            }
        }
    }

    /// Puts the previous engine back in service and takes the next one out, up to six in all.
    pub(super) fn leave_next(&mut self, step: u32) {
        /// Time for which an engine is out of service, in microseconds.
        const ABSENCE: u64 = 40_000_000;
        let before = (step as usize).checked_sub(1);
        if let Some(engine) = before.filter(|engine| *engine < self.engines.len()) {
            self.engines[engine].in_service = true;
            self.push_event(self.now + PROPAGATION_TIME, Event::UpdateFacts(engine));
        }
        let engine = step as usize;
        if engine < self.engines.len().min(6) {
            self.engines[engine].in_service = false;
            self.push_event(self.now + PROPAGATION_TIME, Event::UpdateFacts(engine));
            self.push_event(self.now + ABSENCE, Event::Fault(step + 1));
        }
    }

    /// Returns the index of an engine by its target id.
    pub(super) fn engine_index(&self, name: &str) -> usize {
        index_of(&self.engine_ids, name)
    }
}
