//! Faults of the paths between callers, instances and targets, drawn from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::{Action, PlanStep, RECOVERY_SHARE, WARM_UP, choose_from, is_planned_only};

/// Part of the seed of these faults that tells it from that of the other steps.
const PATHS_SEED: u64 = 0x7061_7468_7300;
/// Range of the times between the starts of two faults, in seconds, which may overlap.
const GAP: std::ops::Range<f64> = 0.3..3.0;
/// Range of the durations of cuts, in seconds.
const CUT_SECONDS: std::ops::Range<f64> = 1.0..5.5;
/// Duration of faults of open connections, in which the ends notice them.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Failure domains of the instances, in turn.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The paths that a fault applies to; numbers are those of instances and failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Scope {
    /// From an instance to all targets.
    Targets(usize),
    /// From all instances but one to all targets.
    OthersTargets(usize),
    /// Between an instance and all others.
    Peers(usize),
    /// From an instance to all targets and between it and all others.
    Instance(usize),
    /// From callers to an instance.
    Callers(usize),
    /// From callers to all instances; of open connections, this share in percent.
    AllCallers(u8),
    /// All of the instances of a failure domain, except for those to the store.
    Domain(&'static str),
    /// All; of open connections, this share in percent.
    All(u8),
}

/// A fault of a path, which has an open end, at which connections are made, and a far end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum PathFault {
    /// Nothing arrives at either end, and connections are not made; what was sent on open
    /// connections arrives later.
    Silent,
    /// The same, but what the far end sends arrives on open connections.
    CutUp,
    /// The same, but what the open end sends arrives on open connections.
    CutDown,
    /// Open connections are reset and new ones refused.
    Refused,
    /// Open connections are reset; new ones work.
    Reset,
    /// Open connections carry nothing any more; new ones work.
    Stall,
    /// This share of the datagrams in percent is lost, and this share of the blocks of bytes late.
    Lossy(u8),
    /// Datagrams and blocks of bytes arrive later by this time.
    Late(Duration),
}

impl PathFault {
    /// Returns whether no new connection is made.
    #[must_use]
    pub fn cuts(self) -> bool {
        matches!(
            self,
            Self::Silent | Self::CutUp | Self::CutDown | Self::Refused
        )
    }
}

/// Draws the faults of paths, in the order of their times; none if the plan with the same seed
/// consists of planned changes alone.
///
/// They have a random generator of their own, so that the other steps do not depend on them.
#[must_use]
pub fn draw_paths(seed: u64, length: Duration, instances: usize) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    if is_planned_only(seed) {
        return steps;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ PATHS_SEED);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let mut at = WARM_UP;
    loop {
        at += Duration::from_secs_f64(rng.random_range(GAP));
        if at >= end {
            return steps;
        }
        let (scope, fault) = draw_fault(&mut rng, instances);
        let cut = Duration::from_secs_f64(rng.random_range(CUT_SECONDS));
        let is_momentary = matches!(fault, PathFault::Reset | PathFault::Stall);
        let time = if is_momentary { NOTICE_TIME } else { cut };
        if at + time <= end {
            let action = Action::Path(scope, fault, time);
            steps.push(PlanStep { at, action });
        }
    }
}

/// Returns the failure domain of the instance with a number, if the paths have links.
#[must_use]
pub fn domain(instance: usize) -> &'static str {
    DOMAINS[instance % DOMAINS.len()]
}

/// Draws the paths of a fault and the fault.
fn draw_fault(rng: &mut Pcg64Mcg, instances: usize) -> (Scope, PathFault) {
    let instance = rng.random_range(0..instances);
    let share = rng.random_range(20..=100);
    let cuts = [
        PathFault::Silent,
        PathFault::Refused,
        PathFault::CutUp,
        PathFault::CutDown,
    ];
    let breaks = [PathFault::Reset, PathFault::Stall];
    let harm = if rng.random_bool(0.5) {
        PathFault::Lossy(rng.random_range(2..15))
    } else {
        PathFault::Late(Duration::from_millis(rng.random_range(5..120)))
    };
    match rng.random_range(0..13) {
        12 => (Scope::OthersTargets(instance), choose_from(rng, &cuts)),
        0..4 => (Scope::Targets(instance), choose_from(rng, &cuts)),
        4 | 5 => (Scope::Peers(instance), choose_from(rng, &cuts)),
        6 => (Scope::Instance(instance), choose_from(rng, &cuts)),
        7 => (Scope::Callers(instance), choose_from(rng, &cuts)),
        8 => (Scope::AllCallers(share), choose_from(rng, &breaks)),
        9 => (Scope::All(share), choose_from(rng, &breaks)),
        _ => (Scope::Domain(domain(instance)), harm),
    }
}
