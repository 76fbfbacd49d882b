//! The faults and planned changes of one run, drawn from a seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Mean time between two steps of the plan.
const MEAN_GAP: Duration = Duration::from_millis(900);
/// Time at the start without faults, in which everything starts.
pub const WARM_UP: Duration = Duration::from_secs(2);
/// Part of the run at its end without faults, in which everything recovers.
const RECOVERY_SHARE: f64 = 0.3;

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanStep {
    /// Its time since the start.
    pub at: Duration,
    /// What is done.
    pub action: Action,
}

/// What a step does; numbers count instances and targets from 0.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// An instance is killed, and starts again after a time.
    Kill(usize, Duration),
    /// An instance is told to stop, and starts again when it has.
    Stop(usize),
    /// An instance is frozen for a time.
    Freeze(usize, Duration),
    /// An instance's settings change, and it is told so.
    Reload(usize),
    /// The store treats calls in a way for a time.
    Store(StoreFault, Duration),
    /// The store forgets its history.
    Compact,
    /// The connections between an instance and the store are harmed for a time.
    StoreLink(usize, LinkFault, Duration),
    /// The connections to a target are harmed for a time.
    TargetLink(usize, LinkFault, Duration),
    /// The next requests at a target go wrong.
    Target(usize, TargetFault, u32),
    /// A target is drained, and serves again after a time.
    Drain(usize, Duration),
    /// A new configuration is written.
    Configure,
}

/// How the store treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum StoreFault {
    /// It refuses them.
    Busy,
    /// It does not answer them.
    Silent,
    /// It executes updates and does not answer them.
    Losing,
}

/// What a target does to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum TargetFault {
    /// It does not run it, and says so.
    Reject,
    /// It runs it and answers with a failure.
    Fail,
    /// It runs it and closes the connection without an answer.
    Lose,
    /// It answers for another request.
    Cross,
    /// It breaks off in the middle of an event.
    Break,
    /// It does not sign its answer.
    Unsigned,
    /// It takes longer than callers like.
    Slow,
}

/// What happens to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum LinkFault {
    /// Those that are open are reset; new ones work.
    Reset,
    /// Those that are open stall for good; new ones work.
    Stall,
    /// Nothing passes either way.
    Silent,
    /// Nothing passes to the server.
    CutUp,
    /// Nothing passes from the server.
    CutDown,
    /// Everything comes late by this time.
    Late(Duration),
}

impl Action {
    /// Returns whether operators do this as a matter of course.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::Reload(_) | Self::Drain(..) | Self::Configure
        )
    }

    /// Returns how long it lasts, as far as that is known before.
    #[must_use]
    pub fn duration(&self) -> Duration {
        match self {
            Self::Kill(_, time)
            | Self::Freeze(_, time)
            | Self::Store(_, time)
            | Self::StoreLink(_, _, time)
            | Self::TargetLink(_, _, time)
            | Self::Drain(_, time) => *time,
            Self::Stop(_)
            | Self::Reload(_)
            | Self::Compact
            | Self::Target(..)
            | Self::Configure => Duration::ZERO,
        }
    }
}

/// Draws the plan of a run of some length with some instances and targets.
///
/// The same seed gives the same plan.
#[must_use]
pub fn draw(seed: u64, length: Duration, instances: usize, targets: usize) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let mut steps = Vec::new();
    let mut at = WARM_UP;
    // Some runs have planned changes alone.
    let planned_only = rng.random_bool(0.25);
    loop {
        at += MEAN_GAP.mul_f64(rng.random_range(0.1..1.9));
        if at >= end {
            return steps;
        }
        // Some steps come in series, and overlap.
        let group_size = if rng.random_bool(0.2) { 3 } else { 1 };
        for _ in 0..group_size {
            let action = draw_action(&mut rng, instances, targets, planned_only);
            let remaining = end.saturating_sub(at);
            let step = PlanStep { at, action };
            if step.action.duration() <= remaining && !overlaps_drain(&steps, &step) {
                steps.push(step);
            }
        }
    }
}

/// Returns whether a step drains a target that is leaving already: the end of the first time would
/// have it serve within the second.
fn overlaps_drain(steps: &[PlanStep], step: &PlanStep) -> bool {
    let Action::Drain(target, _) = step.action else {
        return false;
    };
    let overlaps = |earlier: &PlanStep| match earlier.action {
        Action::Drain(other, time) => other == target && step.at <= earlier.at + time,
        _ => false,
    };
    steps.iter().any(overlaps)
}

/// Draws one action.
fn draw_action(rng: &mut Pcg64Mcg, instances: usize, targets: usize, planned_only: bool) -> Action {
    let instance = rng.random_range(0..instances);
    let target = rng.random_range(0..targets);
    let mut draw_time =
        |range: std::ops::Range<f64>| Duration::from_secs_f64(rng.random_range(range));
    let (short, long) = (draw_time(0.1..1.5), draw_time(0.5..4.0));
    let kind = rng.random_range(0..if planned_only { 4 } else { 12 });
    match kind {
        0 => Action::Stop(instance),
        1 => Action::Reload(instance),
        2 => Action::Drain(target, long + Duration::from_secs(3)),
        3 => Action::Configure,
        4 => Action::Kill(instance, short),
        5 => Action::Freeze(instance, long),
        6 => {
            let faults = [StoreFault::Busy, StoreFault::Silent, StoreFault::Losing];
            Action::Store(choose_from(rng, &faults), long)
        }
        7 => Action::Compact,
        8 => Action::StoreLink(instance, draw_link_fault(rng), long),
        9 => Action::TargetLink(target, draw_link_fault(rng), short),
        _ => {
            let faults = [
                TargetFault::Reject,
                TargetFault::Fail,
                TargetFault::Lose,
                TargetFault::Cross,
                TargetFault::Break,
                TargetFault::Unsigned,
                TargetFault::Slow,
            ];
            let fault = choose_from(rng, &faults);
            Action::Target(target, fault, rng.random_range(1..12))
        }
    }
}

/// Draws what happens to connections.
fn draw_link_fault(rng: &mut Pcg64Mcg) -> LinkFault {
    let late = Duration::from_millis(rng.random_range(5..200));
    let faults = [
        LinkFault::Reset,
        LinkFault::Stall,
        LinkFault::Silent,
        LinkFault::CutUp,
        LinkFault::CutDown,
        LinkFault::Late(late),
    ];
    choose_from(rng, &faults)
}

/// Returns one of some things.
fn choose_from<T: Copy>(rng: &mut Pcg64Mcg, items: &[T]) -> T {
    *items.choose(rng).expect("there are some")
}
