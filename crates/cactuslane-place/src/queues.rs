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
    /// Number of requests that each target ran and that waited there, with the time of the answer.
    told: BTreeMap<TargetId, (u32, Millis)>,
    /// Moving averages of the time of answers that did not wait, in milliseconds.
    work: BTreeMap<ServiceName, f64>,
}

impl TargetQueues {
    /// Records how many requests a target ran and how many waited there, as its answer tells.
    pub fn observe(&mut self, target: &str, running: u32, waiting: u32, now: Millis) {
        let told = (running.saturating_add(waiting), now);
        self.told.insert(target.to_owned(), told);
    }

    /// Records the time of an answer of a service, in milliseconds, at a target that takes
    /// `capacity` requests well.
    ///
    /// It counts only if the target had no more of them when it answered: other times hold the wait.
    pub fn observe_work(&mut self, target: &Target, elapsed_ms: f64, capacity: f64, now: Millis) {
        let told = self.told.get(&target.id);
        let is_full = |count: u32| f64::from(count) > capacity;
        if told.is_none_or(|(count, at)| *at + TOLD_LIFETIME < now || is_full(*count)) {
            return;
        }
        let work = self.work.entry(target.service.clone());
        let work = work.or_insert(elapsed_ms);
        *work += (elapsed_ms - *work) * WORK_WEIGHT;
    }

    /// Returns the time that a request takes at a target of a service without a queue, in
    /// milliseconds; `None` if it was not measured.
    #[must_use]
    pub fn work_ms(&self, service: &str) -> Option<f64> {
        self.work.get(service).copied()
    }

    /// Returns whether a target told of its queue recently.
    #[must_use]
    pub fn is_told(&self, target: &str, now: Millis) -> bool {
        let told = self.told.get(target);
        told.is_some_and(|(_, at)| now.saturating_sub(*at) <= TOLD_LIFETIME)
    }

    /// Returns the expected number of requests that run or wait at a target, of which instances
    /// know `known`.
    #[must_use]
    pub fn count(&self, target: &str, known: u32, now: Millis) -> f64 {
        let known = f64::from(known);
        let Some((told, at)) = self.told.get(target) else {
            return known;
        };
        let age = now.saturating_sub(*at);
        if age > TOLD_LIFETIME {
            return known;
        }
        let weight = (-(age as f64) / TOLD_TIME).exp();
        known + (f64::from(*told) - known) * weight
    }

    /// Forgets a target that is gone or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.told.remove(target);
    }
}
