//! The targets as one entry instance knows them: delayed reports, corrected by work in progress.

mod estimate_errors;
mod work;

use std::collections::BTreeMap;

use cactuslane_types::{DomainName, InstanceId, Millis, Role, ServiceName, TargetId};

use crate::health::{Availability, Health};
use crate::speed::Speed;
use estimate_errors::EstimateErrors;
pub use estimate_errors::WaitEstimates;
pub use work::WorkInProgress;

/// The id of a dispatch, unique among those of one [`FleetView`].
pub type DispatchId = u64;

/// Time constant (to 1/e, about a third) of a report's weight against the mean queue, in ms.
const REPORT_DECAY: f64 = 4_000.0;
/// Weight of a new interval in the moving average of the inflow.
const INFLOW_WEIGHT: f64 = 0.1;
/// Least length of the intervals over which the inflow is measured, in milliseconds.
const INFLOW_INTERVAL: Millis = 500;

/// The known state of all targets that this instance routes to.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The targets by id.
    targets: BTreeMap<TargetId, Target>,
    /// This instance's dispatches in progress.
    dispatches: BTreeMap<DispatchId, Dispatch>,
    /// The last dispatch id that was given out.
    last_id: DispatchId,
    /// The number of alive instances, this one included; all are taken to use the same targets.
    pub instances: usize,
    /// The moving average of the dispatched prompt tokens per millisecond, without cached ones.
    inflow: f64,
    /// The prompt tokens dispatched in the current interval, without cached ones.
    interval_tokens: f64,
    /// The start of the current interval.
    interval_start: Millis,
    /// The mean queue in the last reports of the targets that have reported, in prompt tokens.
    mean_queue: f64,
    /// The work in progress of each other instance, with the time its last update was received.
    peers: BTreeMap<InstanceId, (Millis, BTreeMap<TargetId, WorkInProgress>)>,
    /// Whether the work in progress of all other instances is known and recent.
    peers_complete: bool,
    /// The errors of both estimates that are used while not all peers' work is known.
    errors: EstimateErrors,
    /// Both estimates of the wait for the last single-target choice, until the next dispatch.
    estimates: Option<WaitEstimates>,
}

/// The properties of a target by the instance list, the configuration and the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetFacts {
    /// The failure domain in which the target runs.
    pub domain: DomainName,
    /// The model or plain service that the target serves.
    pub service: ServiceName,
    /// The work that the target may do: prompts, generation or both.
    pub role: Role,
    /// Whether the target may get new work.
    pub serving: bool,
}

/// The load of an engine as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of prompt tokens that are still to be computed.
    pub queued: u64,
    /// The number of generating streams.
    pub running: u32,
    /// The number of free KV blocks.
    pub free: u32,
    /// The number of tokens in the contexts of all streams.
    pub context: u64,
}

/// The work that a dispatch adds to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The number of prompt tokens to compute, without the cached ones.
    pub prefill: u32,
    /// The number of context tokens of the stream, 0 if it generates elsewhere.
    pub context: u32,
    /// The number of KV blocks that are reserved for it.
    pub blocks: u32,
    /// Whether the target generates the output.
    pub decodes: bool,
}

/// The state of one target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The properties that are set from outside this crate.
    pub facts: TargetFacts,
    /// The last load report, if there was one.
    load: Option<Load>,
    /// The time at which the last report was measured, on this instance's clock.
    measured: Millis,
    /// This instance's dispatches in progress: time sent, work, whether the first token came.
    own: BTreeMap<DispatchId, (Millis, Work, bool)>,
    /// The sum of the work of `own`.
    own_work: WorkInProgress,
    /// The sum of the work that the other instances reported to have in progress here.
    peer_work: WorkInProgress,
    /// The health by the outcomes of this instance's dispatches.
    pub health: Health,
}

/// A dispatch in progress.
#[derive(Clone, Debug)]
struct Dispatch {
    /// The target to which it was sent.
    target: TargetId,
    /// The time at which it was sent.
    sent: Millis,
    /// The expected time to the first token, in milliseconds.
    expected: f64,
    /// Both estimates of the wait, if they were recorded for this target.
    estimates: Option<WaitEstimates>,
}

/// An estimate of a target's current load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The number of prompt tokens queued ahead of a new request.
    pub queued: f64,
    /// The number of generating streams; some estimates count own ones from their dispatch on.
    pub running: f64,
    /// The number of tokens in the contexts of all streams; of dispatches, only the prompts.
    pub context: f64,
    /// The number of free KV blocks; negative if more are reserved than exist.
    pub free: f64,
    /// The age of the report, in ms; `REPORT_DECAY` or 0 if unused; scales the selection noise.
    pub age: f64,
}

impl Default for FleetView {
    fn default() -> Self {
        Self {
            targets: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            last_id: 0,
            instances: 1,
            inflow: 0.0,
            interval_tokens: 0.0,
            interval_start: 0,
            mean_queue: 0.0,
            peers: BTreeMap::new(),
            peers_complete: false,
            errors: EstimateErrors::default(),
            estimates: None,
        }
    }
}

/// Updates.
impl FleetView {
    /// Adds a target, or updates the facts of a known one.
    pub fn set(&mut self, id: &str, facts: TargetFacts) {
        if let Some(target) = self.targets.get_mut(id) {
            target.facts = facts;
        } else {
            let target = Target {
                facts,
                load: None,
                measured: 0,
                own: BTreeMap::new(),
                own_work: WorkInProgress::default(),
                peer_work: self.peer_work(id),
                health: Health::default(),
            };
            self.targets.insert(id.to_owned(), target);
        }
    }

    /// Removes the targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|id, _| keep(id));
    }

    /// Records a load report; ignores it if it was measured before the last one.
    pub fn report(&mut self, id: &str, load: Load, measured: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.load.is_some() && measured < target.measured {
            return;
        }
        target.load = Some(load);
        target.measured = measured;
        let loads: Vec<u64> = self
            .targets
            .values()
            .filter_map(|target| Some(target.load?.queued))
            .collect();
        self.mean_queue = loads.iter().sum::<u64>() as f64 / loads.len().max(1) as f64;
    }

    /// Records a dispatch with the expected time to its first token, in milliseconds.
    pub fn sent(&mut self, id: &str, work: Work, expected: f64, now: Millis) -> DispatchId {
        self.last_id += 1;
        let dispatch = Dispatch {
            target: id.to_owned(),
            sent: now,
            expected,
            estimates: self.estimates.take().filter(|last| last.target == id),
        };
        self.dispatches.insert(self.last_id, dispatch);
        if let Some(target) = self.targets.get_mut(id) {
            target.own.insert(self.last_id, (now, work, false));
            target.own_work.add(&WorkInProgress::of(&work, false));
        }
        self.count_inflow(f64::from(work.prefill), now);
        self.last_id
    }

    /// Records the first token of a dispatch, or the answer of a plain service.
    pub fn first_token(&mut self, id: DispatchId, now: Millis) {
        let Some(dispatch) = self.dispatches.get(&id) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&dispatch.target) else {
            return;
        };
        let observed = now.saturating_sub(dispatch.sent) as f64;
        target.health.answered(observed, dispatch.expected, now);
        if let Some(estimates) = &dispatch.estimates {
            self.errors.observe(estimates, observed);
        }
        if let Some((_, work, answered)) = target.own.get_mut(&id)
            && !*answered
        {
            *answered = true;
            target.own_work.subtract(&WorkInProgress::of(work, false));
            target.own_work.add(&WorkInProgress::of(work, true));
        }
    }

    /// Records the end of a dispatch, whether it completed or the caller cancelled it.
    pub fn done(&mut self, id: DispatchId) {
        let Some(dispatch) = self.dispatches.remove(&id) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&dispatch.target)
            && let Some((_, work, answered)) = target.own.remove(&id)
        {
            target
                .own_work
                .subtract(&WorkInProgress::of(&work, answered));
        }
    }

    /// Records that the target failed a dispatch, and ends the dispatch.
    pub fn failed(&mut self, id: DispatchId, now: Millis) {
        let Some(dispatch) = self.dispatches.get(&id) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&dispatch.target) {
            target.health.failed(now);
        }
        self.done(id);
    }

    /// Replaces the known work in progress of another instance at the targets in `work`.
    pub fn record_peer_work(
        &mut self,
        from: &str,
        work: &[(TargetId, WorkInProgress)],
        now: Millis,
    ) {
        let known = self.peers.entry(from.to_owned()).or_default();
        known.0 = now;
        for (id, sum) in work {
            let old = known.1.insert(id.clone(), *sum).unwrap_or_default();
            if let Some(target) = self.targets.get_mut(id) {
                target.peer_work.subtract(&old);
                target.peer_work.add(sum);
            }
        }
    }

    /// Removes the work in progress of another instance.
    pub fn remove_peer(&mut self, from: &str) {
        let Some((_, by_target)) = self.peers.remove(from) else {
            return;
        };
        for (id, work) in &by_target {
            if let Some(target) = self.targets.get_mut(id) {
                target.peer_work.subtract(work);
            }
        }
    }

    /// Drops peers without a recent update; called before each decision.
    pub fn refresh(&mut self, now: Millis) {
        /// Age of a peer's last update at which its work is dropped, in milliseconds.
        const PEER_WORK_MAX_AGE: Millis = 3_000;
        let old = |received: Millis| now.saturating_sub(received) >= PEER_WORK_MAX_AGE;
        while let Some(id) = self.peers.iter().find(|(_, (received, _))| old(*received)) {
            let id = id.0.clone();
            self.remove_peer(&id);
        }
        // A lone instance gets no updates, and a restart may have lost its state: no full sum.
        self.peers_complete = self.instances > 1 && self.peers.len() + 1 >= self.instances;
    }

    /// Returns the sum of the other instances' work in progress at a target.
    fn peer_work(&self, id: &str) -> WorkInProgress {
        let mut sum = WorkInProgress::default();
        for (_, by_target) in self.peers.values() {
            if let Some(work) = by_target.get(id) {
                sum.add(work);
            }
        }
        sum
    }

    /// Adds dispatched prompt tokens to the measured inflow.
    fn count_inflow(&mut self, tokens: f64, now: Millis) {
        let passed = now.saturating_sub(self.interval_start);
        if passed >= INFLOW_INTERVAL {
            let rate = self.interval_tokens / passed as f64;
            self.inflow += (rate - self.inflow) * INFLOW_WEIGHT;
            self.interval_tokens = 0.0;
            self.interval_start = now;
        }
        self.interval_tokens += tokens;
    }
}

/// Queries.
impl FleetView {
    /// Returns all targets, sorted by id.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        self.targets.iter()
    }

    /// Returns the state of one target.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns the number of this instance's dispatches in progress at a target.
    #[must_use]
    pub fn outstanding(&self, id: &str) -> usize {
        self.targets.get(id).map_or(0, |target| target.own.len())
    }

    /// Returns whether a target may take one more dispatch.
    #[must_use]
    pub fn takes_work(&self, target: &Target, now: Millis) -> bool {
        if !target.facts.serving {
            return false;
        }
        match target.health.availability(now) {
            Availability::Available => true,
            Availability::Probe => target.own.is_empty(),
            Availability::Paused => false,
        }
    }

    /// Returns the mean error of the estimate in use, in ms; 0 while all peers' work is known.
    #[must_use]
    pub fn mean_error(&self) -> f64 {
        if self.peers_complete {
            0.0
        } else {
            self.errors.own.min(self.errors.report)
        }
    }

    /// Returns the work in progress of this instance at a target.
    #[must_use]
    pub fn own_work(&self, id: &str) -> WorkInProgress {
        self.targets
            .get(id)
            .map(|target| target.own_work)
            .unwrap_or_default()
    }

    /// Estimates a target's current load.
    ///
    /// While the work of all peers is known, its sum with the own work is newer than any report.
    /// Otherwise the estimate with the smaller error is used: the last report carried forward, or
    /// this instance's own dispatches scaled to all instances.
    #[must_use]
    pub fn estimate(&self, target: &Target, speed: &Speed, now: Millis) -> Estimate {
        if !self.peers_complete && self.errors.own < self.errors.report {
            return self.estimate_own(target, speed);
        }
        if !self.peers_complete {
            return self.estimate_report(target, speed, now);
        }
        let mut sum = target.own_work;
        sum.add(&target.peer_work);
        Estimate {
            queued: f64::from(sum.queued),
            running: f64::from(sum.running),
            context: f64::from(sum.context),
            free: f64::from(speed.blocks) - f64::from(sum.blocks),
            age: 0.0,
        }
    }

    /// Records both estimates of the wait at a chosen target, to measure their errors later.
    pub fn record_estimates(&mut self, id: &str, speed: &Speed, service_time: f64, now: Millis) {
        self.estimates = None;
        let Some(target) = self.targets.get(id).filter(|_| !self.peers_complete) else {
            return;
        };
        let wait = |estimate: &Estimate| {
            estimate.queued / speed.mixed_rate(estimate.running, estimate.context)
        };
        self.estimates = Some(WaitEstimates {
            target: id.to_owned(),
            by_report: wait(&self.estimate_report(target, speed, now)),
            by_own: wait(&self.estimate_own(target, speed)),
            service_time,
        });
    }

    /// Estimates a target's load from its last report and the prompts computed and sent since.
    fn estimate_report(&self, target: &Target, speed: &Speed, now: Millis) -> Estimate {
        let Some(load) = target.load else {
            return self.estimate_own(target, speed);
        };
        let age = now.saturating_sub(target.measured) as f64;
        let weight = (-age / REPORT_DECAY).exp();
        let queued = load.queued as f64 * weight + self.mean_queue * (1.0 - weight);
        let (running, context) = (f64::from(load.running), load.context as f64);
        let drained = speed.mixed_rate(running, context) * age;
        let arrived = self.others_inflow() * age;
        let mut estimate = Estimate {
            queued: (queued + arrived - drained).max(0.0),
            running,
            context,
            free: f64::from(load.free),
            age,
        };
        for (sent, work, _) in target.own.values() {
            if *sent > target.measured {
                estimate.add(work);
            }
        }
        // At least the prompts of own unanswered dispatches are queued, even if less is reported.
        estimate.queued = estimate.queued.max(own_queue(target));
        estimate
    }

    /// Estimates a target's load from own dispatches; all but `free` is scaled to all instances.
    fn estimate_own(&self, target: &Target, speed: &Speed) -> Estimate {
        let free = f64::from(speed.blocks);
        let mut estimate = Estimate {
            free,
            age: REPORT_DECAY,
            ..Estimate::default()
        };
        let instances = self.instances as f64;
        for (_, work, _) in target.own.values() {
            estimate.add(work);
        }
        estimate.queued = own_queue(target) * instances;
        estimate.running *= instances;
        estimate.context *= instances;
        estimate
    }

    /// Returns the others' prompt tokens per ms and serving target, if each sends like this one.
    fn others_inflow(&self) -> f64 {
        let serving = self
            .targets
            .values()
            .filter(|target| target.facts.serving)
            .count();
        self.inflow * (self.instances.saturating_sub(1)) as f64 / serving.max(1) as f64
    }
}

impl Estimate {
    /// Adds the work of a dispatch.
    fn add(&mut self, work: &Work) {
        self.queued += f64::from(work.prefill);
        self.context += f64::from(work.context);
        self.free -= f64::from(work.blocks);
        if work.decodes {
            self.running += 1.0;
        }
    }
}

/// Returns the prompt tokens of this instance's dispatches that await their first token.
fn own_queue(target: &Target) -> f64 {
    let waiting = target.own.values().filter(|(_, _, answered)| !answered);
    waiting.map(|(_, work, _)| f64::from(work.prefill)).sum()
}
