//! What callers get while more is asked for than the targets can do.

use yare::parameterized;

use crate::world::{Outcome, Scenario, Tally, play};

/// Plays a load without admission and with it.
fn play_both(scenario: &Scenario) -> (Outcome, Outcome) {
    let before = Scenario {
        admission: false,
        ..scenario.clone()
    };
    (play(&before), play(scenario))
}

/// Returns the smallest served share of some groups and the largest.
fn range<'t>(groups: impl Iterator<Item = &'t Tally>) -> (f64, f64) {
    let mut range = (1.0_f64, 0.0_f64);
    for tally in groups {
        range = (range.0.min(tally.served()), range.1.max(tally.served()));
    }
    range
}

#[test]
fn without_pressure_nobody_is_refused() {
    let scenario = Scenario {
        overload: 0.6,
        ..Scenario::default()
    };
    let (before, after) = play_both(&scenario);
    assert_eq!((before.all.served(), after.all.served()), (1.0, 1.0));
    assert!(after.all.on_time() >= before.all.on_time() - 0.01);
}

#[parameterized(
    a_little = { 1.2 },
    twice = { 2.0 },
    five_times = { 5.0 },
)]
fn under_overload_what_is_done_is_in_time(overload: f64) {
    let scenario = Scenario {
        overload,
        ..Scenario::default()
    };
    let (before, after) = play_both(&scenario);
    // The targets have room for this share of the work.
    let room = 1.0 / overload;
    println!("{overload}: {:?} {:?}", before.all, after.all);
    assert!(after.all.served() >= room * 0.85, "{:?}", after.all);
    assert!(after.all.on_time() >= room * 0.4, "{:?}", after.all);
    assert!(before.all.on_time() < after.all.on_time() / 4.0);
    let (least, most) = range(after.kinds.values());
    assert!(least >= most * 0.75, "kinds {least} {most}");
    let (least, most) = range(after.domains.values());
    assert!(least >= most * 0.9, "domains {least} {most}");
    // The queue is bounded, and refusals are early: within a quarter of the longest objective and a
    // look.
    assert!(after.most_waiting <= 64);
    assert!(after.longest_hold <= 450, "{}", after.longest_hold);
}
