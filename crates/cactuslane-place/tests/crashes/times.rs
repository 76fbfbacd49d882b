//! When crashes happened and when they were found out, and which reports are of one crash.

use cactuslane_place::crashes::{CrashTracker, Screening, Suspect};

use crate::{attempt, screen};

/// Guards against crashes that count as one, as a target is back within two seconds.
#[test]
fn crashes_of_several_processes_of_a_target_count_separately() {
    let (mut tracker, mut other) = (CrashTracker::default(), CrashTracker::default());
    for (process, now) in [(1, 1_000), (2, 1_450), (3, 1_900)] {
        let lost = attempt(7, &[], now - 20);
        tracker.record_crash("i-1", Some(process), &lost, now, now);
    }
    other.apply(&tracker.update(1_950), 1_950);
    for tracker in [&mut tracker, &mut other] {
        tracker.sweep(2_500);
        assert!(matches!(screen(tracker, 7, 2_500), Screening::Held(..)));
    }
}

/// Guards against targets that crash once and are counted twice, as an instance has not seen the
/// entry of the next process yet.
#[test]
fn reports_at_the_same_moment_are_of_one_crash_whatever_the_process() {
    let mut tracker = CrashTracker::default();
    for (target, process, now) in [("i-1", 1, 1_000), ("i-1", 2, 1_030), ("i-2", 1, 1_700)] {
        let lost = attempt(7, &[], now - 20);
        tracker.record_crash(target, Some(process), &lost, now, now);
    }
    tracker.sweep(2_300);
    assert_eq!(tracker.held_suspects(), []);
}

/// Guards against crashes that count from the time at which they were found out.
#[test]
fn crashes_count_from_the_loss_also_if_they_are_found_out_later() {
    let (mut tracker, mut other) = (CrashTracker::default(), CrashTracker::default());
    for (target, sent, at) in [
        ("i-1", 980, 1_000),
        ("i-2", 1_001, 1_017),
        ("i-3", 1_018, 1_034),
    ] {
        tracker.record_crash(target, Some(1), &attempt(7, &[], sent), at, 3_000);
        tracker.record_crash(target, Some(1), &attempt(8, &[], sent), at, 3_000);
    }
    tracker.record_begun(&[Suspect::Request(8)], 2_000, 3_000);
    other.apply(&tracker.update(3_050), 3_050);
    // Others have not had the time to say what they know of these requests.
    tracker.sweep(3_400);
    assert_eq!(tracker.held_suspects(), []);
    for tracker in [&mut tracker, &mut other] {
        tracker.sweep(3_600);
        assert!(matches!(screen(tracker, 7, 3_600), Screening::Held(..)));
        assert_eq!(screen(tracker, 8, 3_600), Screening::Clear);
    }
}
