//! The faults and planned changes of one run, drawn from a seed.

mod behind;
mod paths;
mod releases;
mod targets;

use std::time::Duration;

use cactuslane_platform_standin::process::Mood;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

pub use self::behind::Behind;
pub use self::paths::{PathFault, Scope, domain, draw_paths};
pub use self::releases::{Release, blind, cut_off, draw_cuts};
pub use targets::{ENTRY_DELAY, draw_late_ends, draw_moods, draw_releases, draw_successions};

/// Mean time between two steps of a plan; each gap is uniformly distributed from 0.1 to 1.9 times
/// this.
const MEAN_GAP: Duration = Duration::from_millis(900);
/// Time at the start of a run without faults or planned changes, in which the load starts; the
/// instances have started before.
pub const WARM_UP: Duration = Duration::from_secs(2);
/// Range of the times for which a target names a limit, in seconds.
const LIMIT_SECONDS: std::ops::Range<f64> = 9.0..14.0;
/// Time between two limits, so that the end of one is not taken for that of the next one of the same
/// target.
const LIMIT_GAP: Duration = Duration::from_secs(1);
/// Range of the limits, in requests a second.
const LIMIT_RATE: std::ops::Range<f64> = 0.3..6.0;
/// Part of the seed of the limits that tells it from that of the other steps.
const LIMITS_SEED: u64 = 0x6c69_6d69_7473;
/// Part of the seed of the faults of target processes that tells it from that of the other steps.
const PROCESSES_SEED: u64 = 0x7072_6f63_6573;
/// Part of the seed of the silences that tells it from that of the other steps.
const SILENCES_SEED: u64 = 0x7369_6c65_6e74;
/// Range of the times from the start of a silence to that of the next one, in seconds.
const SILENCE_GAP: std::ops::Range<f64> = 2.5..4.5;
/// Range of the durations of silences, in seconds.
const SILENCE_SECONDS: std::ops::Range<f64> = 1.0..1.3;
/// Range of the times from a change of the probed routes to the silence beside it, in seconds.
const SILENCE_DELAY: std::ops::Range<f64> = 0.0..0.8;
/// Range of the times between two faults of a target process, in seconds.
const PROCESS_GAP: std::ops::Range<f64> = 0.4..1.6;
/// Part of the seed of the losses of all instances that tells it from that of the other steps.
const LOSSES_SEED: u64 = 0x6c6f_7373_6573;
/// Range of the times between two losses of all instances, in seconds.
const LOSS_GAP: std::ops::Range<f64> = 1.0..4.0;
/// Range of the times for which all instances are lost, in seconds.
const LOSS_SECONDS: std::ops::Range<f64> = 0.1..1.0;
/// Time beyond which a target process is not stopped altogether, but slowed down.
const SLOW_TIME: Duration = Duration::from_millis(2_500);
/// Share of the plans that consist of planned changes alone, so that no fault excuses an answer that
/// is cut.
const PLANNED_SHARE: f64 = 0.25;
/// Share of a run at its end without faults or planned changes, in which the system recovers.
const RECOVERY_SHARE: f64 = 0.3;

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanStep {
    /// Time since the start of the run.
    pub at: Duration,
    /// Fault or planned change that starts then.
    pub action: Action,
}

/// A fault or planned change; numbers are indexes of instances or targets, starting at 0.
///
/// Reports contain the names of the variants, in JSON and in their `Debug` form.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// Kills the process of an instance, and starts it again after a time.
    Kill(usize, Duration),
    /// Kills the processes of all instances at once, and starts them again after a time.
    KillAll(Duration),
    /// Sends SIGTERM to an instance, and starts it again once its process has exited.
    Stop(usize),
    /// Stops an instance with SIGSTOP, and resumes it with SIGCONT after a time.
    Freeze(usize, Duration),
    /// Changes an instance's settings file and sends SIGHUP.
    Reload(usize),
    /// Makes the store misbehave for a time.
    Store(StoreFault, Duration),
    /// Deletes the store's history of changes, so that watches after an earlier revision fail.
    Compact,
    /// Disturbs the connections between an instance and the store for a time.
    StoreLink(usize, LinkFault, Duration),
    /// Disturbs the connections to a target for a time.
    TargetLink(usize, LinkFault, Duration),
    /// Disturbs the paths of a scope for a time.
    Path(Scope, PathFault, Duration),
    /// Makes a target misbehave on the given number of requests, one fault for each.
    Target(usize, TargetFault, u32),
    /// Sets the state of a target to draining, and back to ready after a time.
    Drain(usize, Duration),
    /// Lets a target name a limit of this number of requests a second for a time.
    Limit(usize, f64, Duration),
    /// Disturbs a target that runs as a process for a time.
    Process(usize, ProcessFault, Duration),
    /// Lets a target that runs as a process deviate from correct behaviour for a time.
    Mood(usize, Mood, Duration),
    /// Writes a configuration with the next version number.
    Configure,
    /// Writes a configuration with the next version number and a change of the probed routes.
    Change(Change),
    /// Stops this number of the targets of the probed routes with SIGSTOP for a time.
    Silence(usize, Duration),
}

/// A change of the probed routes or of the limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Change {
    /// A route is added, or removed if it is there.
    Presence,
    /// A route moves to the other service.
    Service,
    /// The time-out of a route becomes the other one.
    Timeout,
    /// The limit on the idle time of callers' connections becomes the other one.
    Idle,
}

/// How a target that runs as a process is disturbed, in the middle of an answer if it sends one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessFault {
    /// It is killed with SIGKILL, and another process serves its id at its address.
    Kill,
    /// It is killed with SIGKILL, and a process with another id serves at its address.
    Rename,
    /// It is stopped with SIGSTOP and resumed with SIGCONT.
    Freeze,
    /// It is stopped and resumed over and over, so that it runs for a quarter of the time.
    Slow,
    /// It is stopped with SIGSTOP for good and killed at the end of the fault, and a process with
    /// another id serves at another address.
    Dark,
    /// It is draining and ends with open connections at the end of the fault, and a process with
    /// another id serves at another address.
    Leave,
    /// It is killed with SIGKILL, and a process of another version serves its id at its address,
    /// whose entry is written this much later.
    Upgrade(Duration),
    /// It is killed with SIGKILL, and a process with another id serves at an address that another
    /// target had.
    Move,
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum StoreFault {
    /// It refuses calls with status 503.
    Busy,
    /// It neither executes nor answers calls.
    Silent,
    /// It executes updates and lease grants without answering them, and answers other calls.
    Losing,
}

/// How a target misbehaves on a request.
///
/// Prefill engines only apply `Reject`; plain workers ignore `Break` and `Late`, and decode engines ignore
/// `Lose`, `Cross` and `Unsigned`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum TargetFault {
    /// It does not run the request, and states so in its answer.
    Reject,
    /// It runs the request and answers with status 500.
    Fail,
    /// It runs the request and closes the connection without an answer.
    Lose,
    /// It runs the request and answers with the id of another one.
    Cross,
    /// It closes the connection in the middle of an event.
    Break,
    /// It runs the request and does not sign its answer.
    Unsigned,
    /// It delays its answer, or the first event of a stream, beyond the latency target of the plain
    /// service.
    Slow,
    /// It sends a stream slowly and ends it in due form at the deadline.
    Late,
}

/// A network fault, applied to all connections through one proxy, which goes on accepting
/// connections and forwarding the ends of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum LinkFault {
    /// Resets the open connections; new ones work.
    Reset,
    /// Stops the open connections from passing any more bytes, permanently; new ones work.
    Stall,
    /// Discards all bytes in both directions, on open and new connections.
    Silent,
    /// Discards the bytes from the client to the server.
    CutUp,
    /// Discards the bytes from the server to the client.
    CutDown,
    /// Delays each block of bytes by this time.
    Late(Duration),
}

impl ProcessFault {
    /// Returns whether the target has the same id and version afterwards.
    #[must_use]
    pub fn keeps_version(self) -> bool {
        matches!(self, Self::Kill | Self::Freeze | Self::Slow)
    }
}

impl Action {
    /// Returns whether the action is a planned change, which is a routine operation of the
    /// platform's operators that must not cut answers, rather than a fault.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::Reload(_) | Self::Drain(..) | Self::Configure | Self::Change(_)
        )
    }

    /// Returns the duration of the action; zero if it is instantaneous or ends at an unknown time.
    #[must_use]
    pub fn duration(&self) -> Duration {
        match self {
            Self::Kill(_, time)
            | Self::KillAll(time)
            | Self::Freeze(_, time)
            | Self::Store(_, time)
            | Self::StoreLink(_, _, time)
            | Self::TargetLink(_, _, time)
            | Self::Path(_, _, time)
            | Self::Limit(_, _, time)
            | Self::Process(_, _, time)
            | Self::Mood(_, _, time)
            | Self::Silence(_, time)
            | Self::Drain(_, time) => *time,
            Self::Stop(_)
            | Self::Reload(_)
            | Self::Compact
            | Self::Target(..)
            | Self::Configure
            | Self::Change(_) => Duration::ZERO,
        }
    }
}

/// Draws the plan of a run of the given length and numbers of instances and targets.
///
/// The same arguments always give the same plan.
#[must_use]
pub fn draw(seed: u64, length: Duration, instances: usize, targets: usize) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let mut steps = Vec::new();
    let mut at = WARM_UP;
    let planned_only = rng.random_bool(PLANNED_SHARE);
    loop {
        at += MEAN_GAP.mul_f64(rng.random_range(0.1..1.9));
        if at >= end {
            break;
        }
        // At about a fifth of the times three actions start together, so that faults and changes
        // overlap.
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
    steps.extend(draw_limits(seed, end, targets));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws the steps in which targets name limits, one after the other until `end`.
///
/// They have a random generator of their own, so that the other steps do not depend on them.
fn draw_limits(seed: u64, end: Duration, targets: usize) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ LIMITS_SEED);
    let mut steps = Vec::new();
    let mut at = WARM_UP;
    loop {
        let time = Duration::from_secs_f64(rng.random_range(LIMIT_SECONDS));
        if at + time > end {
            return steps;
        }
        let rate = rng.random_range(LIMIT_RATE);
        let target = rng.random_range(0..targets);
        let action = Action::Limit(target, rate, time);
        steps.push(PlanStep { at, action });
        at += time + LIMIT_GAP;
    }
}

/// Returns whether the plan with a seed consists of planned changes alone.
#[must_use]
pub fn is_planned_only(seed: u64) -> bool {
    // The first number that the plan draws.
    Pcg64Mcg::seed_from_u64(seed).random_bool(PLANNED_SHARE)
}

/// Draws the faults of the targets that run as processes, in the order of their times; none if the
/// plan with the same seed consists of planned changes alone.
///
/// They have a random generator of their own, so that the other steps do not depend on them.
#[must_use]
pub fn draw_processes(seed: u64, length: Duration, processes: usize) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    if is_planned_only(seed) {
        return steps;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ PROCESSES_SEED);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    for process in 0..processes {
        let mut at = WARM_UP;
        loop {
            at += Duration::from_secs_f64(rng.random_range(PROCESS_GAP));
            let (fault, seconds) = match rng.random_range(0..6) {
                0..3 => (ProcessFault::Kill, 0.05..0.8),
                3 => (ProcessFault::Rename, 0.05..0.8),
                _ => (ProcessFault::Freeze, 0.1..4.5),
            };
            let time = Duration::from_secs_f64(rng.random_range(seconds));
            if at + time > end {
                break;
            }
            let slows = fault == ProcessFault::Freeze && time > SLOW_TIME;
            let fault = if slows { ProcessFault::Slow } else { fault };
            let action = Action::Process(process, fault, time);
            steps.push(PlanStep { at, action });
            at += time;
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws the losses of all instances in a run, which half of the plans have that do not consist of
/// planned changes alone.
#[must_use]
pub fn draw_losses(seed: u64, length: Duration) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ LOSSES_SEED);
    let mut steps = Vec::new();
    if is_planned_only(seed) || rng.random_bool(0.5) {
        return steps;
    }
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let mut at = WARM_UP;
    loop {
        at += Duration::from_secs_f64(rng.random_range(LOSS_GAP));
        let time = Duration::from_secs_f64(rng.random_range(LOSS_SECONDS));
        if at + time > end {
            return steps;
        }
        let action = Action::KillAll(time);
        steps.push(PlanStep { at, action });
        at += time;
    }
}

/// Draws the silences of all or two thirds of the `targets` of the probed routes, each beside a
/// change of these routes, in the order of their times.
///
/// They have a random generator of their own, so that the other steps do not depend on them.
#[must_use]
pub fn draw_silences(seed: u64, length: Duration, targets: usize) -> Vec<PlanStep> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SILENCES_SEED);
    let end = length.mul_f64(1.0 - RECOVERY_SHARE);
    let changes = [
        Change::Presence,
        Change::Service,
        Change::Timeout,
        Change::Idle,
    ];
    let mut steps = Vec::new();
    let mut at = WARM_UP;
    loop {
        let mut seconds = |range| Duration::from_secs_f64(rng.random_range(range));
        let (delay, time, gap) = (
            seconds(SILENCE_DELAY),
            seconds(SILENCE_SECONDS),
            seconds(SILENCE_GAP),
        );
        if at + delay + time > end {
            return steps;
        }
        let action = Action::Change(choose_from(&mut rng, &changes));
        steps.push(PlanStep { at, action });
        let count = if rng.random_bool(0.5) {
            targets
        } else {
            targets * 2 / 3
        };
        let action = Action::Silence(count, time);
        let at_silence = at + delay;
        steps.push(PlanStep {
            at: at_silence,
            action,
        });
        at += gap;
    }
}

/// Returns whether a step drains a target that is still draining: the end of the first drain would
/// set the target to ready during the second one.
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

/// Draws one action; planned changes have the numbers below 4.
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

/// Draws a network fault.
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

/// Returns a random element of a slice that is not empty.
fn choose_from<T: Copy>(rng: &mut Pcg64Mcg, items: &[T]) -> T {
    *items.choose(rng).expect("the slice is not empty")
}
