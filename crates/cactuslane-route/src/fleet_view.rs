//! What one entry instance knows of the targets: late reports, corrected by its own dispatches.

mod estimate_errors;
mod work;

use std::collections::BTreeMap;

use cactuslane_types::{DomainName, InstanceId, Millis, Role, ServiceName, TargetId};

use crate::health::{Availability, Health};
use crate::speed::Speed;
use estimate_errors::EstimateErrors;
pub use estimate_errors::WaitEstimates;
pub use work::WorkInProgress;

/// Identifies one dispatch of this instance.
pub type DispatchId = u64;

/// Time in which a report loses two thirds of its worth, in milliseconds.
const REPORT_DECAY: f64 = 4_000.0;
/// Weight of a new observation of the inflow.
const INFLOW_WEIGHT: f64 = 0.1;
/// Length of the intervals over which the inflow is measured, in milliseconds.
const INFLOW_INTERVAL: Millis = 500;

/// Holds what is known of all targets.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// Holds the targets.
    targets: BTreeMap<TargetId, Target>,
    /// Holds the dispatches in progress.
    dispatches: BTreeMap<DispatchId, Dispatch>,
    /// The last dispatch id.
    last_id: DispatchId,
    /// The number of instances that dispatch to the same targets, this one included.
    pub instances: usize,
    /// The prompt tokens a millisecond that this instance dispatches.
    inflow: f64,
    /// The prompt tokens dispatched in the current interval.
    interval_tokens: f64,
    /// The start of the current interval.
    interval_start: Millis,
    /// The mean of the reported queues.
    mean_queue: f64,
    /// Holds what other instances have in progress, with the time it was heard.
    peers: BTreeMap<InstanceId, (Millis, BTreeMap<TargetId, WorkInProgress>)>,
    /// Says whether all other instances have told lately what they have in progress.
    peers_complete: bool,
    /// Measures which estimate to trust without tellings.
    errors: EstimateErrors,
    /// What each estimate says of the wait at the target chosen last.
    estimates: Option<WaitEstimates>,
}

/// What the instance list and the configuration say of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetFacts {
    /// The failure domain.
    pub domain: DomainName,
    /// The model or plain service that it serves.
    pub service: ServiceName,
    /// The role.
    pub role: Role,
    /// Says whether it takes new work.
    pub serving: bool,
}

/// A report of a target's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of prompt tokens still to compute.
    pub queued: u64,
    /// The number of streams that generate.
    pub running: u32,
    /// The number of free pieces of memory.
    pub free: u32,
    /// The number of tokens in all contexts.
    pub context: u64,
}

/// The work that a dispatch gives a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The number of prompt tokens to compute there.
    pub prefill: u32,
    /// The number of tokens of context.
    pub context: u32,
    /// The number of pieces of memory it will hold.
    pub blocks: u32,
    /// Says whether it generates there.
    pub decodes: bool,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// What is decided elsewhere.
    pub facts: TargetFacts,
    /// The last report; none before the first.
    load: Option<Load>,
    /// The time that the last report describes.
    measured: Millis,
    /// Holds this instance's dispatches in progress there.
    own: BTreeMap<DispatchId, (Millis, Work, bool)>,
    /// Their sum.
    own_work: WorkInProgress,
    /// The sum of what the other instances have told.
    peer_work: WorkInProgress,
    /// What its answers say.
    pub health: Health,
}

/// One dispatch in progress.
#[derive(Clone, Debug)]
struct Dispatch {
    /// Where it went.
    target: TargetId,
    /// When it was sent.
    sent: Millis,
    /// The time that was expected to the first token, in milliseconds.
    expected: f64,
    /// What each estimate said of the wait, if both were asked.
    estimates: Option<WaitEstimates>,
}

/// An estimate of a target's load now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The number of prompt tokens before a new one.
    pub queued: f64,
    /// The number of streams that generate.
    pub running: f64,
    /// The number of tokens in all contexts.
    pub context: f64,
    /// The number of free pieces.
    pub free: f64,
    /// The age of the report, in milliseconds.
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

/// Changes of what is known.
impl FleetView {
    /// Sets the facts of a target, new or known.
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

    /// Removes the targets that a test does not keep.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|id, _| keep(id));
    }

    /// Records a report that describes a time; an older one than the last is dropped.
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

    /// Records a dispatch.
    pub fn sent(&mut self, id: &str, work: Work, expected: f64, now: Millis) -> DispatchId {
        self.last_id += 1;
        let dispatch = Dispatch {
            target: id.to_owned(),
            sent: now,
            expected,
            estimates: self
                .estimates
                .take()
                .filter(|estimates| estimates.target == id),
        };
        self.dispatches.insert(self.last_id, dispatch);
        if let Some(target) = self.targets.get_mut(id) {
            target.own.insert(self.last_id, (now, work, false));
            target.own_work.add(&WorkInProgress::of(&work, false));
        }
        self.count_inflow(f64::from(work.prefill), now);
        self.last_id
    }

    /// Records the first token of a dispatch.
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

    /// Records the end of a dispatch, whole or by the caller's will.
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

    /// Records the failure of a dispatch.
    pub fn failed(&mut self, id: DispatchId, now: Millis) {
        let Some(dispatch) = self.dispatches.get(&id) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&dispatch.target) {
            target.health.failed(now);
        }
        self.done(id);
    }

    /// Takes in what another instance has in progress at the targets it names.
    pub fn record_peer_work(
        &mut self,
        from: &str,
        peer_work: &[(TargetId, WorkInProgress)],
        now: Millis,
    ) {
        let known = self.peers.entry(from.to_owned()).or_default();
        known.0 = now;
        for (id, work) in peer_work {
            let old = known.1.insert(id.clone(), *work).unwrap_or_default();
            if let Some(target) = self.targets.get_mut(id) {
                target.peer_work.subtract(&old);
                target.peer_work.add(work);
            }
        }
    }

    /// Forgets another instance that is gone.
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

    /// Forgets instances that have not told for long, before a decision.
    pub fn refresh(&mut self, now: Millis) {
        /// Age after which what an instance has told is no longer used, in milliseconds.
        const PEER_WORK_MAX_AGE: Millis = 3_000;
        let old = |received: Millis| now.saturating_sub(received) >= PEER_WORK_MAX_AGE;
        while let Some(id) = self.peers.iter().find(|(_, (received, _))| old(*received)) {
            let id = id.0.clone();
            self.remove_peer(&id);
        }
        // An instance that is alone has nobody to hear, and may have lost what it knew itself.
        self.peers_complete = self.instances > 1 && self.peers.len() + 1 >= self.instances;
    }

    /// Returns the sum of what the other instances have told of a target.
    fn peer_work(&self, id: &str) -> WorkInProgress {
        let mut sum = WorkInProgress::default();
        for (_, by_target) in self.peers.values() {
            if let Some(work) = by_target.get(id) {
                sum.add(work);
            }
        }
        sum
    }

    /// Adds prompt tokens to the measured inflow.
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

/// Readings.
impl FleetView {
    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        self.targets.iter()
    }

    /// Returns one target.
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

    /// Returns the mean error of the estimate in use, in milliseconds; 0 with tellings.
    #[must_use]
    pub fn mean_error(&self) -> f64 {
        if self.peers_complete {
            0.0
        } else {
            self.errors.own.min(self.errors.report)
        }
    }

    /// Returns what this instance has in progress at a target.
    #[must_use]
    pub fn own_work(&self, id: &str) -> WorkInProgress {
        self.targets
            .get(id)
            .map(|target| target.own_work)
            .unwrap_or_default()
    }

    /// Estimates a target's load now.
    ///
    /// Where all other instances have told lately what they have in progress, their sum is newer
    /// than any report; else the last report is carried forward.
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

    /// Remembers what each estimate says of a chosen target, to learn which is better.
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

    /// Estimates a target's load from its last report and what has happened since.
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
        // This instance's own unanswered work is a floor that no report can hide.
        estimate.queued = estimate.queued.max(own_queue(target));
        estimate
    }

    /// Estimates a target's load from this instance's dispatches alone.
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

    /// Returns the prompt tokens a millisecond that other instances send to one target.
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
    /// Adds the work of one dispatch.
    fn add(&mut self, work: &Work) {
        self.queued += f64::from(work.prefill);
        self.context += f64::from(work.context);
        self.free -= f64::from(work.blocks);
        if work.decodes {
            self.running += 1.0;
        }
    }
}

/// Returns the prompt tokens that this instance waits for at a target.
fn own_queue(target: &Target) -> f64 {
    let waiting = target.own.values().filter(|(_, _, answered)| !answered);
    waiting.map(|(_, work, _)| f64::from(work.prefill)).sum()
}
