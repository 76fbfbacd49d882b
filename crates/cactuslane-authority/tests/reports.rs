//! Every window is reported once in time with one content, whoever holds the duty and whatever fails.

use std::collections::BTreeMap;

use cactuslane_authority::reports::{Counts, Punctuality, ReportPlan, Step, WindowNumber};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Length of a window, in milliseconds.
const WINDOW: u64 = 5_000;
/// Time after its end at which a report is due, in milliseconds.
const DUE: u64 = 10_000;
/// A time at which a window begins, in milliseconds since the Unix epoch.
const START: u64 = 1_767_225_600_000;
/// Number of the window that begins then.
const FIRST: WindowNumber = START / WINDOW;

/// Returns counts of one customer.
fn counts(number: u64) -> Counts {
    BTreeMap::from([("c1".to_owned(), number)])
}

#[test]
fn a_window_is_stored_and_then_sent_once_its_counts_have_arrived() {
    let mut plan = ReportPlan::new(WINDOW, DUE, START);
    assert_eq!(plan.next(START + WINDOW + 1_999), None);
    let now = START + WINDOW + 2_000;
    assert_eq!(plan.next(now), Some(Step::Store(FIRST)));
    plan.record_stored(FIRST, counts(7));
    assert_eq!(plan.next(now), Some(Step::Send(FIRST, counts(7))));
    assert_eq!(plan.record_accepted(FIRST, now), Punctuality::InTime);
    assert_eq!(plan.next(now), None);
}

#[test]
fn a_content_that_was_sent_without_an_answer_is_sent_again_unchanged() {
    let mut plan = ReportPlan::new(WINDOW, DUE, START);
    let now = START + WINDOW + 2_000;
    plan.next(now);
    plan.record_stored(FIRST, counts(7));
    for _ in 0..5 {
        assert_eq!(plan.next(now), Some(Step::Send(FIRST, counts(7))));
        plan.record_failure(FIRST);
    }
}

#[test]
fn a_window_that_fails_keeps_no_later_one_back() {
    let mut plan = ReportPlan::new(WINDOW, DUE, START);
    let now = START + 2 * WINDOW + 2_000;
    assert_eq!(plan.next(now), Some(Step::Store(FIRST)));
    plan.record_failure(FIRST);
    assert_eq!(plan.next(now), Some(Step::Store(FIRST + 1)));
    plan.record_unusable(FIRST + 1);
    assert_eq!(plan.next(now), Some(Step::Store(FIRST)));
}

#[test]
fn late_windows_come_last_and_are_given_up_in_the_end() {
    let mut plan = ReportPlan::new(WINDOW, DUE, START);
    let due = START + WINDOW + DUE;
    assert_eq!(plan.next(due), Some(Step::Store(FIRST + 1)));
    plan.record_accepted(FIRST + 1, due);
    assert_eq!(plan.next(due), Some(Step::Store(FIRST)));
    assert_eq!(plan.record_accepted(FIRST, due), Punctuality::Late);
    let end = due + 5 * WINDOW;
    plan.next(due + WINDOW);
    assert_eq!(plan.expire(due + WINDOW), Vec::<u64>::new());
    assert_eq!(plan.expire(end), [FIRST + 2]);
}

#[test]
fn an_instance_that_lost_the_duty_misses_nothing() {
    let mut plan = ReportPlan::new(WINDOW, DUE, START);
    plan.next(START + WINDOW + 2_000);
    plan.release();
    assert!(plan.expire(START + 10 * WINDOW).is_empty());
}

#[test]
fn windows_that_ended_before_the_start_are_left_out() {
    let mut plan = ReportPlan::new(WINDOW, DUE, START + 1);
    assert_eq!(plan.next(START + WINDOW + 1_000), None);
    let step = plan.next(START + WINDOW + 2_000);
    assert_eq!(step, Some(Step::Store(FIRST)));
}

#[test]
fn contents_are_deleted_long_after_the_last_report_of_them_and_in_parts() {
    let mut plan = ReportPlan::new(WINDOW, DUE, START);
    for window in FIRST..FIRST + 40 {
        plan.record_stored(window, counts(1));
    }
    // A report is sent until 20 s after the end of its window.
    let last_sent = START + WINDOW + 20_000;
    assert!(plan.obsolete(last_sent + 59_999).is_empty());
    assert_eq!(plan.obsolete(last_sent + 60_000), [FIRST]);
    let all = plan.obsolete(START + 1_000 * WINDOW);
    assert_eq!(all.len(), 16);
    plan.forget_stored(&all);
    assert_eq!(plan.obsolete(START + 1_000 * WINDOW)[0], FIRST + 16);
}

/// One of several instances that hold the duty in turn.
struct Instance {
    /// Its plan.
    plan: ReportPlan,
    /// Number that makes its counts differ from those of others.
    number: u64,
}

/// Plays instances whose writes and calls fail or lose their answers: whatever they send of a window
/// has one content, and each window is reported in time unless the trouble lasts too long.
#[parameterized(
    quiet = { 1, 0.0 },
    some = { 2, 0.1 },
    many = { 3, 0.3 },
)]
fn all_reports_of_a_window_are_equal(seed: u64, failing: f64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut instances = Vec::new();
    for number in 0..3 {
        let plan = ReportPlan::new(WINDOW, DUE, START);
        instances.push(Instance { plan, number });
    }
    let mut store: BTreeMap<WindowNumber, Counts> = BTreeMap::new();
    let mut received: BTreeMap<WindowNumber, (Counts, u64)> = BTreeMap::new();
    let mut holder = 0;
    let windows = 600;
    for now in (START..START + windows * WINDOW).step_by(200) {
        if random.random_bool(0.005) {
            instances[holder].plan.release();
            holder = random.random_range(0..instances.len());
        }
        let Instance { plan, number } = &mut instances[holder];
        plan.expire(now);
        let lost = random.random_bool(failing);
        let fails = random.random_bool(failing);
        match plan.next(now) {
            None => {}
            Some(Step::Store(window)) if fails => plan.record_failure(window),
            Some(Step::Store(window)) => {
                let own = counts(*number + now);
                let kept = store.entry(window).or_insert(own).clone();
                if lost {
                    plan.record_failure(window);
                } else {
                    plan.record_stored(window, kept);
                    let obsolete = plan.obsolete(now);
                    for old in &obsolete {
                        store.remove(old);
                    }
                    plan.forget_stored(&obsolete);
                }
            }
            Some(Step::Send(window, _)) if fails => plan.record_failure(window),
            Some(Step::Send(window, sent)) => {
                let (first, _) = received
                    .entry(window)
                    .or_insert_with(|| (sent.clone(), now));
                assert_eq!(
                    *first, sent,
                    "window {window} was reported twice differently"
                );
                if lost {
                    plan.record_failure(window);
                } else {
                    plan.record_accepted(window, now);
                }
            }
        }
    }
    let mut in_time = 0;
    for window in FIRST..FIRST + windows - 4 {
        let due = (window + 1) * WINDOW + DUE;
        in_time += u64::from(received.get(&window).is_some_and(|(_, at)| *at < due));
    }
    assert_eq!(in_time, windows - 4);
    assert!(store.len() < 60, "{} contents are stored", store.len());
}
