//! What callers get while more is asked for than the targets can do.

use yare::parameterized;

use crate::world::{CHECK, Kind, Outcome, REPORT, Scenario, Tally, play};

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

/// Returns customers of whom the first has `factor` times the share of each other one.
fn one_large(factor: f64) -> Vec<(String, f64)> {
    let share = |number| if number == 0 { factor } else { 1.0 };
    (0..20)
        .map(|number| (format!("c{number:02}"), share(number)))
        .collect()
}

/// Returns the served share of the first customer, and the smallest one of the others.
fn large_and_least(outcome: &Outcome) -> (f64, f64) {
    let mut customers = outcome.customers.values();
    let large = customers.next().map_or(0.0, Tally::served);
    (large, range(customers).0)
}

#[test]
fn a_customer_with_ten_times_its_share_leaves_the_others_theirs() {
    let scenario = Scenario {
        overload: 1.5,
        customers: one_large(10.0),
        ..Scenario::default()
    };
    let (before, after) = play_both(&scenario);
    let (large_before, least_before) = large_and_least(&before);
    let (large, least) = large_and_least(&after);
    println!("ten times: {large_before} {least_before}, then {large} {least}");
    // The others ask for 0.98 of what the targets can do.
    assert!(least > least_before + 0.2, "{least}");
    assert!(least > large, "{least} {large}");
    assert!(large > 0.1, "{large}");
}

#[test]
fn many_small_customers_beside_few_large_ones_are_served_at_least_as_well() {
    let share = |number| if number < 4 { 8.0 } else { 0.5 };
    let scenario = Scenario {
        overload: 2.0,
        customers: (0..36)
            .map(|number| (format!("c{number:02}"), share(number)))
            .collect(),
        ..Scenario::default()
    };
    let (before, after) = play_both(&scenario);
    let parts = |outcome: &Outcome| {
        let mut large = Tally::default();
        let mut small = Tally::default();
        for (index, tally) in outcome.customers.values().enumerate() {
            let sum = if index < 4 { &mut large } else { &mut small };
            sum.asked += tally.asked;
            sum.on_time += tally.on_time;
            sum.late += tally.late;
        }
        (large.served(), small.served())
    };
    let ((large_before, small_before), (large, small)) = (parts(&before), parts(&after));
    println!("few large: {large_before} {small_before}, then {large} {small}");
    assert!(small > large && small > small_before, "{small} {large}");
    assert!(large > 0.2, "{large}");
}

#[test]
fn without_reports_each_instance_goes_by_its_own_requests() {
    let scenario = Scenario {
        overload: 1.5,
        customers: one_large(10.0),
        silent_from: Some(0),
        ..Scenario::default()
    };
    let outcome = play(&scenario);
    let (large, least) = large_and_least(&outcome);
    println!("silent: {large} {least}");
    assert!(outcome.all.served() >= 0.85 / 1.5, "{:?}", outcome.all);
    assert!(least > 0.3 && large > 0.1, "{large} {least}");
}

#[test]
fn repeats_at_once_do_not_take_the_room_of_others() {
    let abuser = "c00".to_owned();
    let scenario = Scenario {
        overload: 1.5,
        abuser: Some(abuser),
        ..Scenario::default()
    };
    let outcome = play(&scenario);
    let (abuser, least) = large_and_least(&outcome);
    let (_, most) = range(outcome.customers.values().skip(1));
    println!("abuser: {abuser} {least} {most}");
    assert!(abuser <= most + 0.05, "{abuser} {most}");
}

#[test]
fn all_who_return_after_a_burst_find_room_at_different_times() {
    let scenario = Scenario {
        overload: 4.0,
        length: 14_000,
        burst: Some((5_000, 6_000)),
        ..Scenario::default()
    };
    let (before, after) = play_both(&scenario);
    println!("burst: {:?} {:?}", before.all, after.all);
    assert!(
        after.all.on_time() >= before.all.on_time(),
        "{:?}",
        after.all
    );
    let total: u32 = after.returns.values().sum();
    let most = after.returns.values().max().copied().unwrap_or_default();
    println!("{total} {most} {:?}", after.returns);
    assert!(total > 20 && most <= total / 4, "{most} of {total}");
}

#[test]
fn the_loss_of_a_failure_domain_under_load_leaves_callers_of_all_domains_alike() {
    let scenario = Scenario {
        overload: 0.9,
        lost_at: Some(8_000),
        ..Scenario::default()
    };
    let (before, after) = play_both(&scenario);
    let (least, most) = range(after.domains.values());
    println!("lost: {:?} {:?} {least} {most}", before.all, after.all);
    assert!(least >= most * 0.9, "{least} {most}");
    assert!(
        after.all.on_time() > before.all.on_time(),
        "{:?}",
        after.all
    );
}

#[test]
fn a_kind_that_is_late_at_empty_targets_too_is_served() {
    let slow = Kind {
        objective: 50,
        ..REPORT
    };
    let scenario = Scenario {
        overload: 2.0,
        kinds: vec![CHECK, slow],
        ..Scenario::default()
    };
    let outcome = play(&scenario);
    println!("late kind: {:?}", outcome.kinds);
    assert!(outcome.kinds[&1].served() >= outcome.all.served() / 4.0);
}
