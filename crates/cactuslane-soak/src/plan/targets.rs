//! The disruptions of targets that run as processes, beside the faults that all plans have.

use std::time::Duration;

use cactuslane_platform_standin::process::{Mood, Trouble};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Action, PROCESS_GAP, PlanStep, ProcessFault, RECOVERY_SHARE, TargetFault, WARM_UP, choose_from,
    is_planned_only,
};

/// Part of the seed of successions that tells it from that of the other steps.
const SUCCESSIONS_SEED: u64 = 0x7375_6363_6573;
/// Part of the seed of deviations that tells it from that of the other steps.
const MOODS_SEED: u64 = 0x6d6f_6f64_7300;
/// Part of the seed of releases that tells it from that of the other steps.
const RELEASES_SEED: u64 = 0x7265_6c65_6173;
/// Part of the seed of late ends that tells it from that of the other steps.
const LATE_ENDS_SEED: u64 = 0x6c61_7465_7300;
/// Longest time from the start of a target with another version under its id to its entry.
pub const ENTRY_DELAY: Duration = Duration::from_millis(800);
/// Range of the times between two releases, in seconds.
const RELEASE_GAP: std::ops::Range<f64> = 0.3..2.0;
/// Range of the times between two targets of a release, in seconds.
const RELEASE_STEP: std::ops::Range<f64> = 0.2..0.8;
/// Range of the times for which a target is down in a release, in seconds.
const RELEASE_SECONDS: std::ops::Range<f64> = 0.05..0.8;
/// Range of the times between two steps by which a target ends streams at the deadline, in seconds.
const LATE_GAP: std::ops::Range<f64> = 0.3..1.5;
/// Range of the numbers of requests of such a step.
const LATE_COUNT: std::ops::Range<u32> = 1..5;
/// Time before the end of all faults of the last such step, whose streams no fault cuts any more.
const LAST_LATE: Duration = Duration::from_millis(500);
/// Number of requests of that step.
const LAST_COUNT: u32 = 15;
/// Range of the times between two deviations of a target, in seconds.
const MOOD_GAP: std::ops::Range<f64> = 1.0..7.0;
/// Range of the durations of deviations, in seconds.
const MOOD_SECONDS: std::ops::Range<f64> = 0.5..4.0;
/// Range of the shares of requests that meet a deviation, in percent.
const MOOD_PERCENT: std::ops::Range<u32> = 3..60;

/// Deviations of all targets.
const TROUBLES: [Trouble; 10] = [
    Trouble::Errors,
    Trouble::Shed,
    Trouble::Hang,
    Trouble::Reset,
    Trouble::Mute,
    Trouble::Break,
    Trouble::Extra,
    Trouble::Copy,
    Trouble::Cross,
    Trouble::Pause,
];
/// Deviations of targets that compute prompts, of which half of theirs are.
const PROMPT_TROUBLES: [Trouble; 2] = [Trouble::Lapse, Trouble::SlowHandover];

/// Draws the faults of the targets with the numbers `targets`, most of which end with another
/// process; none if the plan with the same seed consists of planned changes alone.
///
/// With `entry_delay` some start again under their ids with another version, which their entries state
/// up to that time later.
#[must_use]
pub fn draw_successions(
    seed: u64,
    length: Duration,
    targets: std::ops::Range<usize>,
    entry_delay: Option<Duration>,
) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SUCCESSIONS_SEED);
    let kinds = if entry_delay.is_some() { 8 } else { 5 };
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let mut steps = Vec::new();
    for target in targets {
        let mut at = WARM_UP;
        while !is_planned_only(seed) {
            at += Duration::from_secs_f64(rng.random_range(PROCESS_GAP));
            let (fault, seconds) = match rng.random_range(0..kinds) {
                0 => (ProcessFault::Kill, 0.05..0.8),
                1 => (ProcessFault::Freeze, 0.1..2.0),
                2 => (ProcessFault::Dark, 0.5..4.0),
                3 => (ProcessFault::Leave, 1.0..4.0),
                4 => (ProcessFault::Move, 0.05..0.8),
                _ => {
                    let delay = entry_delay.unwrap_or_default();
                    let delay = delay.mul_f64(rng.random_range(0.0..1.0));
                    (ProcessFault::Upgrade(delay), 0.05..0.8)
                }
            };
            let time = Duration::from_secs_f64(rng.random_range(seconds));
            if at + time > end {
                break;
            }
            let action = Action::Process(target, fault, time);
            steps.push(PlanStep { at, action });
            at += time;
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws the deviations of the targets with the numbers below `targets`, of which those from
/// `prompts` on compute prompts; none if the plan with the same seed consists of planned changes
/// alone.
#[must_use]
pub fn draw_moods(seed: u64, length: Duration, targets: usize, prompts: usize) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ MOODS_SEED);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let mut steps = Vec::new();
    for target in 0..targets {
        let mut at = WARM_UP;
        while !is_planned_only(seed) {
            at += Duration::from_secs_f64(rng.random_range(MOOD_GAP));
            let time = Duration::from_secs_f64(rng.random_range(MOOD_SECONDS));
            let of_prompts = target >= prompts && rng.random_bool(0.5);
            let trouble = if of_prompts {
                choose_from(&mut rng, &PROMPT_TROUBLES)
            } else {
                choose_from(&mut rng, &TROUBLES)
            };
            let percent = rng.random_range(MOOD_PERCENT);
            if at + time > end {
                break;
            }
            let action = Action::Mood(target, Mood { trouble, percent }, time);
            steps.push(PlanStep { at, action });
            at += time;
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws releases, in each of which the targets with the numbers `targets` start again one after the
/// other under their ids with another version, which their entries state up to `delay` later; none if
/// the plan with the same seed consists of planned changes alone.
#[must_use]
pub fn draw_releases(
    seed: u64,
    length: Duration,
    targets: &[usize],
    delay: Duration,
) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ RELEASES_SEED);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let mut steps = Vec::new();
    let mut at = WARM_UP;
    while !is_planned_only(seed) && at < end {
        let mut seconds = |range| Duration::from_secs_f64(rng.random_range(range));
        at += seconds(RELEASE_GAP);
        for target in targets {
            at += seconds(RELEASE_STEP);
            let (time, late) = (
                seconds(RELEASE_SECONDS),
                delay.mul_f64(seconds(0.0..1.0).as_secs_f64()),
            );
            if at + time + late <= end {
                let action = Action::Process(*target, ProcessFault::Upgrade(late), time);
                steps.push(PlanStep { at, action });
            }
        }
    }
    steps
}

/// Draws the requests whose streams the targets with the numbers `targets` end in due form at the
/// deadline; none if the plan with the same seed consists of planned changes alone.
#[must_use]
pub fn draw_late_ends(seed: u64, length: Duration, targets: &[usize]) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ LATE_ENDS_SEED);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let mut steps = Vec::new();
    for target in targets {
        let mut at = WARM_UP;
        while !is_planned_only(seed) {
            at += Duration::from_secs_f64(rng.random_range(LATE_GAP));
            if at >= end {
                break;
            }
            let action = Action::Target(*target, TargetFault::Late, rng.random_range(LATE_COUNT));
            steps.push(PlanStep { at, action });
        }
        if !is_planned_only(seed) {
            let at = end.saturating_sub(LAST_LATE);
            let action = Action::Target(*target, TargetFault::Late, LAST_COUNT);
            steps.push(PlanStep { at, action });
        }
    }
    steps
}
