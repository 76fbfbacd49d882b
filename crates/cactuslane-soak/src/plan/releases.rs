//! Releases of a service beside instances that do not see them, and instances without links to
//! targets, drawn from a seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Action, LinkFault, PathFault, PlanStep, ProcessFault, RECOVERY_SHARE, Scope, WARM_UP,
    choose_from, is_planned_only,
};

/// Part of the seed of releases that tells it from that of the other steps.
const RELEASES_SEED: u64 = 0x7265_6c65_6173;
/// Part of the seed of cuts from all targets that tells it from that of the other steps.
const CUTS_SEED: u64 = 0x6375_7473_0000;
/// Range of the start of a release as a share of the run.
const RELEASE_START: std::ops::Range<f64> = 0.22..0.3;
/// Range of the times between the ends of two targets in a release, in seconds.
const TARGET_GAP: std::ops::Range<f64> = 0.05..0.3;
/// Time from the end of the last target to the end of the release, in which its successor starts.
const SUCCESSOR_TIME: Duration = Duration::from_secs(2);
/// Range of the times by which an instance loses sight of the deployment before a release, in seconds.
const LEAD: std::ops::Range<f64> = 0.1..0.6;
/// Time before a release in which its targets and instances have no other disturbance.
const QUIET_TIME: Duration = Duration::from_millis(2_500);
/// Time after a release in which streams of the second version begin, as it is listed.
const LISTED_TIME: Duration = Duration::from_secs(3);
/// Range of the times from a release to the end of the stop of an instance, in seconds.
const THAW_SECONDS: std::ops::Range<f64> = 0.5..3.0;
/// Range of the durations of cuts from all targets, in seconds.
const CUT_SECONDS: std::ops::Range<f64> = 2.0..4.0;
/// Shortest duration of the last one.
const SHORTEST_CUT: Duration = Duration::from_millis(1_500);
/// Time in which an instance notices that it is cut off from all targets.
const NOTICE_TIME: Duration = Duration::from_millis(800);
/// Time after the end of a disturbance in which an instance may still have an old view.
const AFTER_TIME: Duration = Duration::from_millis(1_500);

/// A release of a service, whose targets have the first version before, beside an instance that is
/// silently cut off from the store and the others, and one that is stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    /// Time since the start of the run at which the first target ends.
    pub from: Duration,
    /// Time at which all targets that are processes have the second version.
    pub to: Duration,
    /// Time at which the last instance sees the deployment again.
    pub until: Duration,
    /// Number of the instance that is cut off.
    pub cut: usize,
    /// Number of the instance that is stopped.
    pub frozen: usize,
    /// Steps of the release and the disturbances beside it, in the order of their times.
    pub steps: Vec<PlanStep>,
}

impl Release {
    /// Draws the release of the targets with some numbers; `None` if the plan with the same seed
    /// consists of planned changes alone, if there are fewer than three instances or no such targets,
    /// or if the run is too short.
    ///
    /// It has a random generator of its own, so that the other steps do not depend on it.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, instances: usize, targets: &[usize]) -> Option<Self> {
        if is_planned_only(seed) || instances < 3 || targets.is_empty() {
            return None;
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ RELEASES_SEED);
        let from = length.mul_f64(rng.random_range(RELEASE_START)).max(WARM_UP);
        let (mut at, mut steps) = (from, Vec::new());
        for target in targets {
            let (fault, seconds) = if rng.random_bool(0.6) {
                (ProcessFault::Leave, 0.5..1.2)
            } else {
                (ProcessFault::Rename, 0.05..0.4)
            };
            let time = Duration::from_secs_f64(rng.random_range(seconds));
            let action = Action::Process(*target, fault, time);
            steps.push(PlanStep { at, action });
            at += Duration::from_secs_f64(rng.random_range(TARGET_GAP));
        }
        let to = at + SUCCESSOR_TIME;
        let until = to + LISTED_TIME;
        if until > length.mul_f64(1.0 - RECOVERY_SHARE) {
            return None;
        }
        let cut = rng.random_range(0..instances);
        let frozen = (cut + rng.random_range(1..instances)) % instances;
        let mut lead = || from.saturating_sub(Duration::from_secs_f64(rng.random_range(LEAD)));
        let (at_cut, at_freeze) = (lead(), lead());
        let time = until.saturating_sub(at_cut);
        let thaw = to + Duration::from_secs_f64(rng.random_range(THAW_SECONDS));
        let frozen_time = thaw.saturating_sub(at_freeze);
        let beside = [
            (at_cut, Action::StoreLink(cut, LinkFault::Silent, time)),
            (
                at_cut,
                Action::Path(Scope::Peers(cut), PathFault::Silent, time),
            ),
            (at_freeze, Action::Freeze(frozen, frozen_time)),
        ];
        steps.extend(beside.map(|(at, action)| PlanStep { at, action }));
        steps.sort_by_key(|step| step.at);
        Some(Self {
            from,
            to,
            until,
            cut,
            frozen,
            steps,
        })
    }

    /// Adds the release to other steps, of which those are removed that would let its targets have
    /// two versions before, or end or hide it or what is beside it.
    pub fn join(&self, steps: &mut Vec<PlanStep>, targets: &[usize]) {
        let quiet = self.from.saturating_sub(QUIET_TIME)..self.until;
        steps.retain(|step| {
            let end = step.at + step.action.duration();
            let is_beside = step.at < quiet.end && end >= quiet.start;
            match &step.action {
                Action::Process(target, fault, _) if targets.contains(target) => {
                    step.at >= self.to || fault.keeps_version() && !is_beside
                }
                Action::KillAll(_) => !is_beside,
                Action::Kill(instance, _)
                | Action::Stop(instance)
                | Action::Freeze(instance, _)
                | Action::StoreLink(instance, ..) => {
                    !is_beside || ![self.cut, self.frozen].contains(instance)
                }
                _ => true,
            }
        });
        steps.extend(self.steps.iter().cloned());
    }

    /// Returns whether a time since the start of the run is within the release, or just after it.
    #[must_use]
    pub fn is_at(&self, at: Duration) -> bool {
        (self.from..self.until + AFTER_TIME).contains(&at)
    }
}

/// Draws cuts of one instance after the other from all targets; none if the plan with the same seed
/// consists of planned changes alone.
#[must_use]
pub fn draw_cuts(
    seed: u64,
    length: Duration,
    instances: usize,
    release: Option<&Release>,
) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ CUTS_SEED);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let faults = [PathFault::Refused, PathFault::Silent, PathFault::CutDown];
    let (mut at, mut steps, mut last) = (WARM_UP, Vec::new(), None);
    while !is_planned_only(seed) && at + SHORTEST_CUT <= end {
        let time = Duration::from_secs_f64(rng.random_range(CUT_SECONDS));
        let time = time.min(end.saturating_sub(at));
        let beside = release.filter(|release| at < release.until && at + time >= release.from);
        let is_free = |instance: &usize| {
            let is_blind = |release: &Release| [release.cut, release.frozen].contains(instance);
            last != Some(*instance) && !beside.is_some_and(is_blind)
        };
        let free: Vec<usize> = (0..instances).filter(is_free).collect();
        let fault = choose_from(&mut rng, &faults);
        // Some instance without a disturbance is left.
        if let Some(instance) = free.choose(&mut rng).filter(|_| free.len() > 1) {
            let action = Action::Path(Scope::Targets(*instance), fault, time);
            steps.push(PlanStep { at, action });
            last = Some(*instance);
        }
        // The next cut is noticed as this one ends.
        at += time.saturating_sub(NOTICE_TIME);
    }
    steps
}

/// Returns the instances that are cut off from all targets at a time since the start of the run, and
/// have noticed it.
#[must_use]
pub fn cut_off(steps: &[PlanStep], at: Duration) -> Vec<usize> {
    let cut = |step: &PlanStep| match step.action {
        Action::Path(Scope::Targets(instance), fault, time) if fault.cuts() => {
            let is_cut = step.at + NOTICE_TIME <= at && at < step.at + time;
            is_cut.then_some(instance)
        }
        _ => None,
    };
    steps.iter().filter_map(cut).collect()
}

/// Returns the instances that are stopped or cut off from the store at a time since the start of the
/// run, or were so just before.
#[must_use]
pub fn blind(steps: &[PlanStep], at: Duration) -> Vec<usize> {
    let blind = |step: &PlanStep| match step.action {
        Action::Freeze(instance, time) | Action::StoreLink(instance, LinkFault::Silent, time) => {
            (step.at..step.at + time + AFTER_TIME)
                .contains(&at)
                .then_some(instance)
        }
        _ => None,
    };
    steps.iter().filter_map(blind).collect()
}
