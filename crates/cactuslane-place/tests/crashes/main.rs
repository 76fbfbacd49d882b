//! Prompt parts and requests on which targets crash: decisions of one instance, and of fleets with faults.

mod fleet;
mod times;

use std::time::Duration;

use cactuslane_flight::request_info::PartId;
use cactuslane_place::PermitAnswer;
use cactuslane_place::crashes::{
    Attempt, CrashTracker, HoldChange, Screening, StoredSuspect, Suspect,
};
use cactuslane_types::Millis;
use yare::parameterized;

use self::fleet::{CONTACT, Cause, DEADLY, Fleet, SHARED, info};

/// Number of requests with the part that may arrive late.
const ALLOWED: usize = 3;

/// Runs a fleet through a fault while deadly requests come, and checks the bound.
fn check_fleet(
    cause: Cause,
    instances: usize,
    deadly: f64,
    seed: u64,
    fault: fn(&mut Fleet),
) -> Fleet {
    let (engines, sound) = match cause {
        Cause::PlainRequest => (3, 25.0),
        _ if instances < 10 => (12, 60.0),
        _ => (140, 90.0),
    };
    let mut fleet = Fleet::new(cause, instances, engines, deadly, sound, seed);
    let before = fleet.sound_share(0, fleet.now);
    fault(&mut fleet);
    fleet.run(30_000);
    let late = fleet.late_arrivals();
    assert!(
        late <= ALLOWED,
        "{late} late, seed {seed}, {:?}",
        fleet.crashes
    );
    if let Some(last) = fleet.last_allowed().or(fleet.crashes.last().copied()) {
        let after = fleet.sound_share(last + 2 * CONTACT, fleet.now);
        let least = if cause == Cause::Part { 0.9 } else { 0.5 };
        assert!(after >= before * least, "{after} of {before}, seed {seed}");
    }
    fleet
}

/// A fault of instances or engines.
type Fault = fn(&mut Fleet);

/// Returns a fault by its name.
fn fault(name: &str) -> Fault {
    match name {
        "none" => |fleet| fleet.run(10_000),
        "cut" => |fleet| {
            fleet.cut(1, 8_000);
            fleet.cut(2, 12_000);
            fleet.run(10_000);
        },
        "frozen" => |fleet| {
            fleet.run(2_000);
            fleet.freeze(1, 6_000);
            fleet.freeze(3, 9_000);
            fleet.run(10_000);
        },
        "restarted in turn" => |fleet| {
            for number in 0..6 {
                fleet.run(2_500);
                fleet.restart(number);
            }
        },
        "all restarted" => |fleet| {
            fleet.run(9_000);
            for number in 0..fleet.instances.len() {
                fleet.restart(number);
            }
            fleet.run(5_000);
        },
        "targets killed" => |fleet| {
            for engine in 0..10 {
                fleet.kill_engine(engine);
                fleet.run(700);
            }
        },
        other => panic!("there is no fault {other}"),
    }
}

#[parameterized(
    none = { "none" },
    cut = { "cut" },
    frozen = { "frozen" },
    restarted_in_turn = { "restarted in turn" },
    all_restarted = { "all restarted" },
    engines_killed = { "targets killed" },
)]
fn requests_with_a_deadly_part_stop_in_all_instances_together(name: &str) {
    let fault = fault(name);
    for seed in 0..6 {
        for rate in [0.8, 4.0] {
            check_fleet(Cause::Part, 7, rate, seed, fault);
        }
    }
    check_fleet(Cause::Part, 85, 8.0, 0, fault);
}

/// Guards against a request that goes on crashing targets under other ids, at other instances.
#[parameterized(
    none = { "none" },
    cut = { "cut" },
    frozen = { "frozen" },
    restarted_in_turn = { "restarted in turn" },
    all_restarted = { "all restarted" },
    targets_killed = { "targets killed" },
)]
fn equal_requests_that_crash_targets_stop_in_all_instances_together(name: &str) {
    let fault = fault(name);
    for cause in [Cause::Request, Cause::PlainRequest] {
        for seed in 0..6 {
            for rate in [0.8, 4.0] {
                let fleet = check_fleet(cause, 7, rate, seed, fault);
                // What instances lost that are cut off is not known to the others.
                let known = fleet.instances.iter().all(|instance| instance.cut == 0);
                assert!(fleet.withheld == 0 || !known, "seed {seed}, {cause:?}");
            }
        }
        check_fleet(cause, 85, 8.0, 0, fault);
    }
}

#[parameterized(
    in_turn = { 1, 900 },
    often = { 1, 500 },
    very_often = { 1, 300 },
    many_at_once = { 5, 4_000 },
)]
fn crashes_of_another_cause_hold_no_part_that_is_begun(at_once: usize, pause: Millis) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(Cause::Part, 7, 12, 0.0, 60.0, seed);
        let mut engine = 0;
        let end = fleet.now + 30_000;
        while fleet.now < end {
            for _ in 0..at_once {
                fleet.kill_engine(engine % 12);
                engine += 1;
            }
            fleet.run(pause);
        }
        assert!(!fleet.wrongly_held.contains(&Suspect::Part(SHARED)));
        let share = fleet.sound_share(0, fleet.now);
        assert!(share >= 0.98, "{share}, seed {seed}");
    }
}

/// Returns the attempt of a request with this fingerprint and these shared parts, sent now.
fn attempt(request: u64, parts: &[PartId], now: Millis) -> Attempt {
    Attempt::new(&info(request, parts), now)
}

/// Returns these parts as suspects.
fn suspects(parts: &[PartId]) -> Vec<Suspect> {
    parts.iter().map(|part| Suspect::Part(*part)).collect()
}

/// Reports crashes of targets that had begun requests with these parts, no two alike, one a second.
fn crash(tracker: &mut CrashTracker, parts: &[PartId], count: u64, now: &mut Millis) {
    for _ in 0..count {
        *now += 1_000;
        let target = format!("i-{now}");
        tracker.record_crash(&target, Some(*now), &attempt(*now, parts, *now), *now, *now);
    }
    *now += 600;
    tracker.sweep(*now);
}

#[test]
fn a_part_is_held_after_three_crashes_and_longer_after_each_failed_trial() {
    let (mut tracker, mut now) = (CrashTracker::default(), 1_000);
    crash(&mut tracker, &[1, DEADLY], 2, &mut now);
    assert_eq!(tracker.screen(&suspects(&[DEADLY]), now), Screening::Clear);
    tracker.record_begun(&suspects(&[1]), now, now);
    crash(&mut tracker, &[1, DEADLY], 1, &mut now);
    let mut held = Vec::new();
    for _ in 0..4 {
        let Screening::Held(Suspect::Part(DEADLY), wait) =
            tracker.screen(&suspects(&[1, DEADLY]), now)
        else {
            panic!("it is not held");
        };
        assert_eq!(tracker.screen(&suspects(&[1]), now), Screening::Clear);
        held.push(wait.as_secs());
        now += wait.as_millis() as Millis;
        assert_eq!(
            tracker.screen(&suspects(&[DEADLY]), now),
            Screening::Trial(Suspect::Part(DEADLY))
        );
        assert_eq!(
            tracker.grant_trial(Suspect::Part(DEADLY), now),
            PermitAnswer::Granted
        );
        assert_ne!(
            tracker.grant_trial(Suspect::Part(DEADLY), now),
            PermitAnswer::Granted
        );
        crash(&mut tracker, &[1, DEADLY], 1, &mut now);
    }
    assert_eq!(held, [9, 299, 14_399, 86_399]);
}

#[test]
fn a_part_that_a_target_begins_is_released_at_all_instances() {
    let (mut one, mut other) = (CrashTracker::default(), CrashTracker::default());
    let mut now = 1_000;
    crash(&mut one, &[DEADLY], 3, &mut now);
    other.apply(&one.update(now), now);
    assert!(matches!(
        other.screen(&suspects(&[DEADLY]), now),
        Screening::Held(..)
    ));
    now += 10_000;
    one.record_begun(&suspects(&[DEADLY]), now, now);
    assert_eq!(one.sweep(now), [HoldChange::Begun(Suspect::Part(DEADLY))]);
    other.apply(&one.update(now), now);
    other.sweep(now);
    assert_eq!(other.screen(&suspects(&[DEADLY]), now), Screening::Clear);
    // An older notice of a part that was released does not hold it again.
    let mut late = CrashTracker::default();
    late.record_stored(
        StoredSuspect {
            suspect: Suspect::Part(DEADLY),
            crashes: 3,
            failed: 0,
            age: Duration::from_secs(10),
        },
        now,
    );
    one.apply(&late.update(now), now);
    assert_eq!(one.screen(&suspects(&[DEADLY]), now), Screening::Clear);
}

#[test]
fn targets_that_crash_at_the_same_moment_hold_no_part() {
    let mut tracker = CrashTracker::default();
    for target in 0..10 {
        let lost = attempt(target, &[7], 900);
        tracker.record_crash(&format!("i-{target}"), Some(1), &lost, 1_000, 1_000);
    }
    tracker.sweep(2_000);
    assert_eq!(tracker.screen(&suspects(&[7]), 2_000), Screening::Clear);
}

#[test]
fn a_part_that_was_sound_is_held_once_targets_crash_on_it() {
    let (mut tracker, mut now) = (CrashTracker::default(), 1_000);
    tracker.record_begun(&suspects(&[1, 2]), now, now);
    for _ in 0..5 {
        crash(&mut tracker, &[1, 2], 1, &mut now);
        tracker.record_begun(&suspects(&[1]), now, now);
    }
    assert!(matches!(
        tracker.screen(&suspects(&[2]), now),
        Screening::Held(Suspect::Part(2), _)
    ));
    assert_eq!(tracker.screen(&suspects(&[1]), now), Screening::Clear);
}

#[test]
fn an_attempt_that_was_given_up_counts_if_its_target_crashes_then() {
    let (mut one, mut other) = (CrashTracker::default(), CrashTracker::default());
    let mut now = 1_000;
    for number in 0..3 {
        now += 1_000;
        let target = format!("i-{number}");
        one.record_abandoned(&target, attempt(number, &[DEADLY], now), now);
        let lost = attempt(100 + number, &[100 + number], now);
        other.record_crash(&target, Some(1), &lost, now + 40, now + 40);
        one.apply(&other.update(now + 50), now + 50);
    }
    now += 600;
    one.sweep(now);
    assert!(matches!(
        one.screen(&suspects(&[DEADLY]), now),
        Screening::Held(..)
    ));
}

#[test]
fn memory_is_bounded_against_ever_new_parts() {
    let (mut tracker, mut now) = (CrashTracker::default(), 1_000);
    for part in 0..3_000 {
        tracker.record_begun(&suspects(&[100_000 + part]), now, now);
        for _ in 0..3 {
            now += 300;
            let target = format!("i-{now}");
            tracker.record_crash(&target, Some(1), &attempt(now, &[part], now), now, now);
        }
        now += 600;
        tracker.sweep(now);
    }
    assert!(tracker.held_suspects().len() <= 256);
    assert!(tracker.update(now).held.len() <= 32);
}

/// Guards against a sound part that is held longer with each trial of the part beside it.
#[test]
fn a_trial_tells_a_sound_part_from_the_deadly_one_beside_it() {
    let (mut tracker, mut now) = (CrashTracker::default(), 1_000);
    crash(&mut tracker, &[1, DEADLY], 3, &mut now);
    now += 10_000;
    // Only a request with one of the parts shows which of them is deadly.
    assert!(matches!(
        tracker.screen(&suspects(&[1, DEADLY]), now),
        Screening::Held(..)
    ));
    assert_eq!(
        tracker.screen(&suspects(&[1]), now),
        Screening::Trial(Suspect::Part(1))
    );
    crash(&mut tracker, &[DEADLY], 1, &mut now);
    tracker.record_begun(&suspects(&[1]), now, now);
    tracker.sweep(now);
    assert_eq!(tracker.screen(&suspects(&[1]), now), Screening::Clear);
    // Once the deadly part has crashed a target alone, the crashes with both are put down to it.
    let (mut tracker, mut now) = (CrashTracker::default(), 1_000);
    crash(&mut tracker, &[1, DEADLY], 3, &mut now);
    now += 10_000;
    crash(&mut tracker, &[DEADLY], 1, &mut now);
    now += 5_000;
    crash(&mut tracker, &[1, DEADLY], 1, &mut now);
    assert_eq!(tracker.screen(&suspects(&[1]), now), Screening::Clear);
}

/// Reports the crash of a target that had been sent these requests at `sent`.
fn crash_on(tracker: &mut CrashTracker, requests: &[u64], sent: Millis, now: Millis) {
    for request in requests {
        let lost = attempt(*request, &[], sent);
        tracker.record_crash(&format!("i-{now}"), Some(now), &lost, now, now);
    }
}

/// Returns what may be done with a request without prompt parts.
fn screen(tracker: &CrashTracker, request: u64, now: Millis) -> Screening {
    tracker.screen(&[Suspect::Request(request)], now)
}

/// Guards against crashes a few milliseconds apart that count as one.
#[test]
fn a_request_is_held_after_three_crashes_that_follow_each_other_at_once() {
    let mut tracker = CrashTracker::default();
    for (sent, now) in [(1_000, 1_020), (1_021, 1_040), (1_050, 1_070)] {
        crash_on(&mut tracker, &[7], sent, now);
    }
    tracker.sweep(1_600);
    assert!(matches!(
        screen(&tracker, 7, 1_600),
        Screening::Held(Suspect::Request(7), _)
    ));
    assert_eq!(screen(&tracker, 8, 1_600), Screening::Clear);
}

#[test]
fn equal_requests_that_are_lost_at_the_same_moment_count_as_one_crash() {
    let mut tracker = CrashTracker::default();
    for now in [1_020, 1_021, 1_022, 1_023] {
        crash_on(&mut tracker, &[7], 1_000, now);
    }
    tracker.sweep(1_600);
    assert_eq!(tracker.held_suspects(), []);
}

/// Guards against the hold of what ran beside a deadly request.
#[test]
fn an_equal_request_that_finishes_clears_those_that_were_lost_beside_another() {
    let (mut tracker, mut other) = (CrashTracker::default(), CrashTracker::default());
    for now in [1_000, 2_000, 3_000] {
        crash_on(&mut tracker, &[7, 8], now - 50, now);
        crash_on(&mut tracker, &[9], now - 50, now);
    }
    other.record_begun(&[Suspect::Request(8)], 2_500, 2_500);
    other.apply(&tracker.update(3_000), 3_000);
    tracker.apply(&other.update(3_100), 3_100);
    tracker.record_begun(&[Suspect::Request(9)], 3_200, 3_200);
    tracker.sweep(3_600);
    let held: Vec<Suspect> = tracker.held_suspects().iter().map(|held| held.0).collect();
    assert_eq!(held, [Suspect::Request(7)]);
}

#[test]
fn a_request_that_was_sound_is_held_after_three_crashes_unless_another_explains_them() {
    let mut tracker = CrashTracker::default();
    tracker.record_begun(&[Suspect::Request(7), Suspect::Request(8)], 500, 500);
    for now in [1_000, 2_000, 3_000] {
        crash_on(&mut tracker, &[7], now - 50, now);
        crash_on(&mut tracker, &[8, 9], now - 40, now + 300);
    }
    tracker.sweep(4_000);
    let held: Vec<Suspect> = tracker.held_suspects().iter().map(|held| held.0).collect();
    assert_eq!(held, [Suspect::Request(7), Suspect::Request(9)]);
}

#[test]
fn a_part_of_one_request_alone_is_not_held_with_it() {
    let mut tracker = CrashTracker::default();
    for now in [1_000, 2_000, 3_000] {
        let lost = attempt(7, &[1, 2], now - 50);
        tracker.record_crash(&format!("i-{now}"), Some(now), &lost, now, now);
    }
    tracker.sweep(3_600);
    assert_eq!(tracker.screen(&suspects(&[1, 2]), 3_600), Screening::Clear);
    assert!(matches!(screen(&tracker, 7, 3_600), Screening::Held(..)));
    // Another request with the part that crashes a target speaks against the part.
    let lost = attempt(8, &[2], 4_000);
    tracker.record_crash("i-4000", Some(4_000), &lost, 4_000, 4_000);
    tracker.sweep(4_600);
    assert!(matches!(
        tracker.screen(&suspects(&[2]), 4_600),
        Screening::Held(Suspect::Part(2), _)
    ));
}

/// Guards against requests that are not sent for long because targets are killed.
#[test]
fn kills_of_targets_hold_no_popular_request() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(Cause::PlainRequest, 7, 3, 0.0, 25.0, seed);
        for round in 0..40 {
            fleet.kill_engine(round % 3);
            fleet.run(700);
        }
        assert_eq!(fleet.wrongly_held, [], "seed {seed}");
    }
}

#[test]
fn an_update_is_bounded_against_requests_of_many_parts() {
    let mut tracker = CrashTracker::default();
    for target in 0..40 {
        let now = 1_000 + target * 10;
        for request in 0..64 {
            let parts: Vec<PartId> = (0..1_000).map(|part| u64::MAX - part).collect();
            let lost = attempt(u64::MAX - request, &parts, now);
            tracker.record_crash(&format!("i-{target}"), Some(now), &lost, now, now);
        }
    }
    let update = tracker.update(1_400);
    let attempts = update.reports.iter().flat_map(|report| &report.attempts);
    assert!(!update.reports.is_empty());
    assert!(attempts.clone().count() <= 192);
    assert!(attempts.map(|attempt| attempt.parts.len()).max() <= Some(16));
}

/// Guards against the belief that a held request explains all crashes that it is in.
#[test]
fn two_requests_that_crash_targets_once_together_are_both_held() {
    let mut tracker = CrashTracker::default();
    crash_on(&mut tracker, &[7], 950, 1_000);
    for now in [2_000, 3_000] {
        crash_on(&mut tracker, &[8], now - 50, now);
    }
    crash_on(&mut tracker, &[7, 8], 3_950, 4_000);
    tracker.sweep(4_600);
    assert!(matches!(screen(&tracker, 8, 4_600), Screening::Held(..)));
    for now in [5_000, 6_000, 7_000] {
        crash_on(&mut tracker, &[7], now - 50, now);
        tracker.sweep(now + 600);
        for request in [7, 8] {
            let held = screen(&tracker, request, now + 600);
            assert!(matches!(held, Screening::Held(..)), "{request} at {now}");
        }
    }
}
