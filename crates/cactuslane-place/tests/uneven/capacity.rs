//! How many requests targets take well, by the times of their answers.

use cactuslane_flight::target::Target;
use cactuslane_place::{Belief, TargetPaces};
use cactuslane_types::Millis;

use crate::fleet::target;

/// Records answers of a target that slows down beyond `knee` requests, one each 20 ms, with 1 to
/// `most` requests that run.
fn answers(paces: &mut TargetPaces, knee: u32, most: u32, times: std::ops::Range<Millis>) {
    let target = target(0);
    for (number, now) in times.step_by(20).enumerate() {
        let running = 1 + number as u32 * 7 % most;
        // The work differs by a fifth.
        let work = 27.0 + 3.0 * f64::from(number as u32 % 3);
        let elapsed = work * f64::from(running.max(knee)) / f64::from(knee);
        paces.observe_told(&target, Some((running, 0)), None, now);
        paces.observe_answer(&target, elapsed, 0, now);
        paces.refresh(&[&target], now);
    }
}

#[test]
fn what_a_target_takes_well_is_found_and_forgotten_with_the_process() {
    let mut paces = TargetPaces::default();
    let mut target = target(0);
    answers(&mut paces, 3, 6, 0..3_000);
    assert_eq!(taken(&paces, &target), 3);
    // It rises while no answers tell otherwise, and follows those that do.
    answers(&mut paces, 6, 6, 3_000..40_000);
    assert_eq!(taken(&paces, &target), 6);
    answers(&mut paces, 2, 6, 40_000..70_000);
    assert_eq!(taken(&paces, &target), 2);
    target.started_at = Some(5);
    paces.observe_told(&target, Some((1, 0)), None, 70_000);
    assert_eq!(taken(&paces, &target), 6);
}

#[test]
fn few_answers_and_equal_times_leave_all_slots() {
    let mut paces = TargetPaces::default();
    answers(&mut paces, 1, 6, 0..200);
    assert_eq!(taken(&paces, &target(0)), 6);
    let mut paces = TargetPaces::default();
    answers(&mut paces, 6, 6, 0..60_000);
    assert_eq!(taken(&paces, &target(0)), 6);
}

#[test]
fn a_capacity_is_probed_upward_without_answers() {
    let mut paces = TargetPaces::default();
    let target = target(0);
    answers(&mut paces, 3, 6, 0..5_000);
    // Only up to three requests run from now on.
    answers(&mut paces, 3, 3, 5_000..95_000);
    assert_eq!(taken(&paces, &target), 6);
}

#[test]
fn a_belief_that_changes_by_much_is_told_once_in_a_while() {
    let mut paces = TargetPaces::default();
    answers(&mut paces, 3, 6, 0..8_000);
    let changes = paces.take_changes();
    assert_eq!(changes.len(), 1);
    let full = Belief {
        capacity: 6.0,
        slowdown: 1.0,
    };
    assert_eq!(changes[0].before, full);
    assert!(changes[0].now.capacity <= 4.0, "{changes:?}");
}

/// Returns the number of requests that a target is believed to take well.
fn taken(paces: &TargetPaces, target: &Target) -> u32 {
    paces.capacity(target).round() as u32
}
