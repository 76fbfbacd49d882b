//! The disruptions of targets that run as processes, beside the faults that all plans have.

use std::time::Duration;

use cactuslane_platform_standin::process::{Mood, Trouble};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Action, PROCESS_GAP, PlanStep, ProcessFault, RECOVERY_SHARE, WARM_UP, choose_from,
    is_planned_only,
};

/// Part of the seed of successions that tells it from that of the other steps.
const SUCCESSIONS_SEED: u64 = 0x7375_6363_6573;
/// Part of the seed of deviations that tells it from that of the other steps.
const MOODS_SEED: u64 = 0x6d6f_6f64_7300;
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
