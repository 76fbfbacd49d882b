//! Choice of the targets of plain services, and what admission needs to know of a choice.

use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_types::{Millis, TargetId};
use rand::Rng;

use super::{Placer, Plan, RANDOM_COST};

/// Time between an instance's updates among few instances, and the number of instances per which
/// it grows by as much.
const VIEW_AGE: (Duration, u32) = (Duration::from_millis(100), 60);

/// Expected times of a request at the chosen target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Time from now to the answer, or the first event, without a queue, in milliseconds.
    pub service_ms: f64,
    /// Time in the queue, in milliseconds.
    pub wait_ms: f64,
    /// Time at the target for which others wait behind the request, in milliseconds.
    pub target_ms: f64,
    /// Number of other instances for each target.
    pub rivals: f64,
    /// Age of the view of the targets.
    pub view_age: Duration,
}

impl Placer {
    /// Returns the target with the lowest cost for a request to a plain service, which has no model
    /// engines; `None` if there is no target that was not tried before.
    pub fn place_plain(
        &mut self,
        targets: &[&Target],
        tried: &[TargetId],
        now: Millis,
    ) -> Option<TargetId> {
        self.load_view.expire(now);
        self.paces.refresh(targets, now);
        let usable = self.usable(targets, tried, now);
        let room = self.room(&usable, now);
        let mut best: Option<(f64, &Target)> = None;
        for target in usable {
            let (cost, spread) = self.plain_cost(target, room, now);
            let cost = cost + self.random.random_range(0.0..spread);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, target));
            }
        }
        best.map(|(_, target)| target.id.clone())
    }

    /// Returns the expected number of requests that run or wait at a target of a plain service.
    #[must_use]
    pub fn count_plain(&self, target: &str, now: Millis) -> f64 {
        let load = self.load_view.load(target, now);
        self.queues.count(target, load.running, now)
    }

    /// Returns the cost of a request at a target of a plain service, in milliseconds, and the range
    /// of the random cost that is added; `room` is the share of the targets' capacity that is free.
    pub(super) fn plain_cost(&self, target: &Target, room: f64, now: Millis) -> (f64, f64) {
        let work = self.queues.work_ms(&target.service).unwrap_or_default();
        let count = self.count_plain(&target.id, now);
        let capacity = self.paces.capacity(target);
        // The cost is 100 ms for the last request that a target takes well.
        let slot_cost = 100.0 / capacity;
        // Instances see the same old loads. While targets are busy, those that differ by less
        // than one request are equal, so that not all instances take the same one.
        let spread = if self.queues.is_told(&target.id, now) {
            RANDOM_COST.max(slot_cost * (count / capacity).min(1.0))
        } else {
            RANDOM_COST
        };
        // Callers wait longer at a slow target, which counts as far as there is room elsewhere.
        let factor = self.paces.service_factor(&target.id, now);
        let longer_ms = work * room * (factor - 1.0);
        let cost = (count + 1.0) * slot_cost * self.plain_slowdown(&target.id, now)
            + self.domain_cost(target)
            + longer_ms;
        (cost, spread)
    }

    /// Records a successful answer of a target of a plain service, when which was sent `ahead`
    /// requests were expected there: its time, and the time that would be usual for its route at a
    /// target that works as fast as usual, both in milliseconds.
    ///
    /// The health counts only what neither the target's figure nor its load explains. Nothing is
    /// learnt of a target whose queue is not told.
    pub fn answered_plain(
        &mut self,
        target: &Target,
        elapsed_ms: f64,
        usual_ms: f64,
        ahead: f64,
        now: Millis,
    ) {
        if self.queues.is_told(&target.id, now) {
            let known = self.load_view.load(&target.id, now).running;
            self.paces.observe_answer(target, elapsed_ms, known, now);
        }
        let factor = self.paces.service_factor(&target.id, now);
        let capacity = self.paces.capacity(target);
        // A queue does not make a target slow.
        let queued_ms = self.queues.expected_ms(target, ahead, capacity);
        let expected_ms = usual_ms.max(queued_ms) * factor;
        self.queues
            .observe_work(target, elapsed_ms / factor, ahead, capacity, now);
        self.answered(&target.id, elapsed_ms, expected_ms, now);
    }

    /// Returns the expected times of a request at a target of a plain service with `targets`
    /// targets; without a queue if the work time was not measured yet.
    #[must_use]
    pub fn forecast_plain(&self, target: &Target, targets: usize, now: Millis) -> Forecast {
        let Some(work) = self.queues.work_ms(&target.service) else {
            return Forecast::default();
        };
        let work = work * self.plain_slowdown(&target.id, now);
        let count = self.count_plain(&target.id, now);
        let capacity = self.paces.capacity(target);
        let (rivals, view_age) = self.rivals(targets, now);
        Forecast {
            service_ms: work,
            wait_ms: (count + 1.0 - capacity).max(0.0) * work / capacity,
            target_ms: work / capacity,
            rivals,
            view_age,
        }
    }

    /// Returns the expected times of a generation by its plan, in a service with `targets` targets.
    #[must_use]
    pub fn forecast_generation(&self, plan: &Plan, targets: usize, now: Millis) -> Forecast {
        let (ahead, uncached) = (f64::from(plan.ahead), f64::from(plan.uncached));
        let (wait, own) = if plan.prefill.is_some() {
            (
                self.speed.prefill_ms(ahead),
                self.speed.prefill_ms(uncached),
            )
        } else {
            (self.speed.direct_ms(ahead), self.speed.direct_ms(uncached))
        };
        let (rivals, view_age) = self.rivals(targets, now);
        let wait_ms = wait.min(plan.expected);
        Forecast {
            service_ms: plan.expected - wait_ms,
            wait_ms,
            target_ms: own,
            rivals,
            view_age,
        }
    }

    /// Returns the share of the requests that targets take well for which there is room; 0 if none
    /// of them tells its speed.
    pub(super) fn room(&self, targets: &[&Target], now: Millis) -> f64 {
        if !targets.iter().any(|target| self.paces.tells(&target.id)) {
            return 0.0;
        }
        let (mut taken, mut all) = (0.0, 0.0);
        for target in targets {
            let load = self.load_view.load(&target.id, now);
            let capacity = self.paces.capacity(target);
            let count = self.queues.count(&target.id, load.running, now);
            taken += count.min(capacity);
            all += capacity;
        }
        1.0 - taken / f64::max(all, 1.0)
    }

    /// Returns the factor by which answers of a target of a plain service take longer than usual:
    /// by its figure and its answers over a while, and by its health.
    fn plain_slowdown(&self, target: &str, now: Millis) -> f64 {
        self.slowdown(target, now) * self.paces.service_factor(target, now)
    }

    /// Returns the number of other instances for each of some targets, and the age of what they
    /// tell.
    fn rivals(&self, targets: usize, now: Millis) -> (f64, Duration) {
        let (peers, _) = self.load_view.update_age(now);
        let (interval, scale) = VIEW_AGE;
        let view_age = interval.mul_f64(1.0 + peers as f64 / f64::from(scale));
        (peers as f64 / targets.max(1) as f64, view_age)
    }
}
