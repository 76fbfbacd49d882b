//! Queues at the targets of plain services, and the time that requests take there.

use std::collections::BTreeMap;

use cactuslane_flight::target::Target;
use cactuslane_types::{Millis, ServiceName, TargetId};

/// Time constant of the weight of what a target told of its queue, in milliseconds; the rest of the
/// weight is on the load that instances tell each other.
const TOLD_TIME: f64 = 250.0;
/// Age from which what a target told no longer counts, in milliseconds.
const TOLD_LIFETIME: Millis = 1_500;
/// Weight of a new answer in the moving average of the work time.
const WORK_WEIGHT: f64 = 0.05;

/// What targets told of their queues, and the measured work times of services.
#[derive(Clone, Debug, Default)]
pub struct TargetQueues {
    /// What each target told last.
    told: BTreeMap<TargetId, Told>,
    /// Moving averages of the time of answers that did not wait, in milliseconds.
    work: BTreeMap<ServiceName, f64>,
    /// Moving averages of the work times that answers after a wait lead to, in milliseconds, of
    /// services without an answer that did not wait.
    inferred: BTreeMap<ServiceName, f64>,
}

/// What a target told of its queue.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Number of requests that it ran and that waited there.
    count: u32,
    /// Number of them that instances knew of.
    known: u32,
    /// Time of the answer.
    at: Millis,
}

impl TargetQueues {
    /// Records how many requests a target ran and how many waited there, as its answer tells, and
    /// of how many instances know.
    pub fn observe(&mut self, target: &str, running: u32, waiting: u32, known: u32, now: Millis) {
        let told = Told {
            count: running.saturating_add(waiting),
            known,
            at: now,
        };
        self.told.insert(target.to_owned(), told);
    }

    /// Records the time of an answer of a service, in milliseconds; `ahead` requests were expected at
    /// the target, which takes `capacity` well, when the request was sent.
    ///
    /// It counts as measured only if nothing waited at the target when the request was sent and
    /// when it was answered: other times hold the wait. They count, less what `ahead` explains, until
    /// one was measured: where every answer waits, as after a start under overload, the overload
    /// would else never be noticed.
    pub fn observe_work(
        &mut self,
        target: &Target,
        elapsed_ms: f64,
        ahead: f64,
        capacity: f64,
        now: Millis,
    ) {
        let told = self.told.get(&target.id);
        let Some(told) = told.filter(|told| told.at + TOLD_LIFETIME >= now) else {
            return;
        };
        let rounds = rounds(capacity, ahead);
        let is_measured = f64::from(told.count) <= capacity && rounds <= 1.0;
        if !is_measured && self.work.contains_key(&target.service) {
            return;
        }
        let times = if is_measured {
            self.inferred.remove(&target.service);
            &mut self.work
        } else {
            &mut self.inferred
        };
        let work_ms = elapsed_ms / rounds;
        let work = times.entry(target.service.clone()).or_insert(work_ms);
        *work += (work_ms - *work) * WORK_WEIGHT;
    }

    /// Returns the time that a request with `ahead` others before it takes at a target by the work
    /// time of its service, in milliseconds; 0 if that is not known.
    #[must_use]
    pub fn expected_ms(&self, target: &Target, ahead: f64, capacity: f64) -> f64 {
        let work = self.work_ms(&target.service).unwrap_or_default();
        work * rounds(capacity, ahead)
    }

    /// Returns the time that a request takes at a target of a service without a queue, in
    /// milliseconds; `None` if no answer of one that tells of its queue was seen.
    #[must_use]
    pub fn work_ms(&self, service: &str) -> Option<f64> {
        let measured = self.work.get(service);
        measured.or_else(|| self.inferred.get(service)).copied()
    }

    /// Returns whether a target told of its queue recently.
    #[must_use]
    pub fn is_told(&self, target: &str, now: Millis) -> bool {
        let told = self.told.get(target);
        told.is_some_and(|told| now.saturating_sub(told.at) <= TOLD_LIFETIME)
    }

    /// Returns the expected number of requests that run or wait at a target, of which instances
    /// know `known`.
    ///
    /// What the target told corrects what was known then; what was sent since counts in full.
    #[must_use]
    pub fn count(&self, target: &str, known: u32, now: Millis) -> f64 {
        let known = f64::from(known);
        let Some(told) = self.told.get(target) else {
            return known;
        };
        let age = now.saturating_sub(told.at);
        if age > TOLD_LIFETIME {
            return known;
        }
        let weight = (-(age as f64) / TOLD_TIME).exp();
        let unknown = f64::from(told.count) - f64::from(told.known);
        (known + unknown * weight).max(0.0)
    }

    /// Forgets a target that is gone or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.told.remove(target);
    }
}

/// Returns how often a target that takes `capacity` requests well is filled before a request with
/// `ahead` others before it is done; at least 1.
fn rounds(capacity: f64, ahead: f64) -> f64 {
    ((ahead + 1.0) / capacity).max(1.0)
}
