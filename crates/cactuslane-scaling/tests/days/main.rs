//! Days played in virtual time: what callers get and what it costs, against other policies, and
//! failures one at a time.

mod model;

use cactuslane_scaling::{Kind, OrderAnswer};
use model::{BOOT, Day, Event, Outcome, Policy};

/// A day with bursts, a loss of targets and a step, as all policies play it.
fn busy_day(policy: Policy) -> Day {
    Day::new(policy)
        .with(15_000, Event::Burst(1.7, 3_000))
        .with(27_000, Event::Crash(0.17, 4_500))
        .with(38_000, Event::Step(1.3))
        .with(50_000, Event::Burst(1.7, 3_000))
}

/// Checks that callers lose next to nothing.
#[track_caller]
fn assert_served(outcome: &Outcome) {
    assert!(outcome.lost < 0.002, "lost {} of the demand", outcome.lost);
}

/// Returns the smallest number of targets from a time on.
fn least_after(outcome: &Outcome, at: u64) -> u32 {
    let from = (at / model::STEP) as usize;
    outcome.live[from..].iter().copied().min().unwrap_or(0)
}

#[test]
fn callers_lose_no_more_than_without_orders_at_a_lower_price() {
    for seed in 0..20 {
        let play = |policy| {
            Day {
                seed,
                ..busy_day(policy)
            }
            .play()
        };
        let (never, ours) = (play(Policy::Never), play(Policy::Forecast));
        let (threshold, queue) = (play(Policy::Threshold), play(Policy::Queue));
        assert_served(&ours);
        assert!(ours.lost <= never.lost, "{} {}", ours.lost, never.lost);
        assert!(ours.cost < never.cost * 0.8, "{} {}", ours.cost, never.cost);
        assert!(
            ours.lost <= threshold.lost,
            "{} {}",
            ours.lost,
            threshold.lost
        );
        assert!(ours.lost < queue.lost / 4.0, "{} {}", ours.lost, queue.lost);
        assert!(ours.orders.len() < 40, "{}", ours.orders.len());
    }
}

#[test]
fn reclaimable_targets_lower_the_price_and_not_the_service() {
    let plain = busy_day(Policy::Forecast).play();
    let day = Day {
        reclaimable_price: Some(0.22),
        ..busy_day(Policy::Forecast)
    };
    for domain in ["a", "b", "c"] {
        let outcome = day.clone().with(45_000, Event::Reclaim(domain)).play();
        assert_served(&outcome);
        assert!(outcome.cost < plain.cost, "{} {}", outcome.cost, plain.cost);
        let reclaimable = outcome
            .orders
            .iter()
            .filter(|(_, order)| order.kind == Kind::Reclaimable);
        assert!(reclaimable.count() > 0);
        let after = outcome.orders.iter().filter(|(at, order)| {
            *at > 45_000 && order.kind == Kind::Reclaimable && order.domain == domain
        });
        assert_eq!(
            after.count(),
            0,
            "no new ones where they were just reclaimed"
        );
    }
}

#[test]
fn unavailable_reclaimable_targets_change_nothing_for_callers() {
    let day = Day {
        reclaimable_price: Some(0.22),
        ..busy_day(Policy::Forecast)
    };
    let outcome = day.with(0, Event::NoReclaimable(60_000)).play();
    assert_served(&outcome);
    let asked = outcome
        .orders
        .iter()
        .filter(|(_, order)| order.kind == Kind::Reclaimable);
    let asked = asked.count();
    assert!((1..=9).contains(&asked), "asked {asked} times");
}

#[test]
fn nothing_is_given_up_before_enough_was_seen_or_on_old_knowledge() {
    let outcome = Day::new(Policy::Forecast)
        .with(0, Event::Stale(40_000))
        .play();
    let first = outcome.orders.first().map(|(at, _)| *at);
    assert!(first.is_none_or(|at| at >= 40_000), "{first:?}");
    let outcome = Day::new(Policy::Forecast).play();
    let first = outcome.orders.first().map(|(at, _)| *at);
    assert!(first.is_some_and(|at| at >= 2 * BOOT), "{first:?}");
}

#[test]
fn a_next_holder_starts_cautiously() {
    for at in (2_000..50_000).step_by(4_000) {
        let day = busy_day(Policy::Forecast).with(at, Event::Takeover);
        let outcome = day.play();
        assert_served(&outcome);
        let mut least = outcome.orders.iter().filter(|(sent, order)| {
            *sent >= at && *sent < at + 2 * BOOT && order.count < order.registered
        });
        assert!(least.next().is_none(), "fewer ordered at once after {at}");
    }
}

#[test]
fn steady_demand_with_noise_gets_no_orders_back_and_forth() {
    for seed in 0..20 {
        let day = Day {
            seed,
            length: 180_000,
            ..Day::new(Policy::Forecast)
        };
        let outcome = day.play();
        let late: Vec<_> = outcome
            .orders
            .iter()
            .filter(|(at, _)| *at > 60_000)
            .collect();
        assert!(late.len() <= 3, "seed {seed}: {late:#?}");
    }
}

#[test]
fn a_step_is_followed_within_the_boot_time() {
    let outcome = Day {
        start: 16,
        ..Day::new(Policy::Forecast)
    }
    .with(30_000, Event::Step(2.2))
    .play();
    assert!(outcome.lost < 0.03, "{}", outcome.lost);
    let first = outcome.orders.iter().find(|(at, _)| *at >= 30_000);
    assert!(first.is_some_and(|(at, _)| *at <= 32_500), "{first:?}");
    assert!(least_after(&outcome, 45_000) >= 70);
}

#[test]
fn a_lost_domain_is_made_up_for_in_the_others() {
    let outcome = Day {
        start: 20,
        demand: 24.0,
        ..Day::new(Policy::Forecast)
    }
    .with(30_000, Event::LoseDomain("b", 60_000))
    .play();
    assert!(outcome.lost < 0.005, "{}", outcome.lost);
    assert!(
        least_after(&outcome, 45_000) >= 50,
        "{}",
        least_after(&outcome, 45_000)
    );
}

#[test]
fn a_crash_does_not_lead_to_fewer_targets() {
    let outcome = Day::new(Policy::Forecast)
        .with(20_000, Event::Crash(0.17, 4_500))
        .play();
    assert_served(&outcome);
    let down = outcome
        .orders
        .iter()
        .find(|(at, order)| *at >= 20_000 && *at < 24_500 && order.count < order.registered);
    assert!(down.is_none(), "{down:?}");
}

#[test]
fn orders_that_may_be_lost_are_repeated_with_the_same_number() {
    let lost = Event::Answers(OrderAnswer::Unknown, 20_000);
    let outcome = Day::new(Policy::Forecast).with(0, lost).play();
    assert_served(&outcome);
    let (_, first) = &outcome.orders[0];
    let again = outcome
        .orders
        .iter()
        .filter(|(_, order)| order.domain == first.domain && order.count == first.count);
    assert!(again.count() >= 2);
    assert!(least_after(&outcome, 59_000) < 80, "no order in force");
}

#[test]
fn orders_of_which_only_the_answer_is_lost_have_the_same_effect() {
    let sound = Day::new(Policy::Forecast).play();
    let lost = Event::LostAnswers(60_000);
    let outcome = Day::new(Policy::Forecast).with(0, lost).play();
    assert_served(&outcome);
    assert_eq!(outcome.live, sound.live);
}

#[test]
fn refused_orders_are_spaced() {
    for (answer, limit) in [
        (OrderAnswer::Limited, 3 * 30),
        (OrderAnswer::Unsent, 3 * 30),
        (OrderAnswer::Rejected, 3 * 3),
    ] {
        let outcome = Day::new(Policy::Forecast)
            .with(0, Event::Answers(answer, 30_000))
            .play();
        assert_served(&outcome);
        let refused = outcome.orders.iter().filter(|(at, _)| *at < 30_000).count();
        assert!((1..=limit).contains(&refused), "{answer:?}: {refused}");
        assert!(least_after(&outcome, 59_000) < 80, "{answer:?} for good");
    }
}

#[test]
fn orders_that_are_not_followed_are_repeated_a_few_times_only() {
    let outcome = Day {
        start: 12,
        ..Day::new(Policy::Forecast)
    }
    .with(0, Event::Ignored(60_000))
    .play();
    let orders = outcome
        .orders
        .iter()
        .filter(|(_, order)| order.count > order.registered);
    assert!(
        (1..=3 * 8).contains(&orders.count()),
        "{:?}",
        outcome.orders
    );
}

#[test]
fn limits_by_failure_domain_are_kept() {
    let outcome = Day {
        start: 30,
        demand: 100.0,
        ..Day::new(Policy::Forecast)
    }
    .play();
    for (domain, (most, _)) in &outcome.bounds {
        assert!(*most <= 60, "{domain}: {most}");
    }
    let idle = Day {
        demand: 0.2,
        length: 200_000,
        ..Day::new(Policy::Forecast)
    }
    .play();
    for (domain, (_, least)) in &idle.bounds {
        assert!(*least >= 1, "{domain}: {least}");
    }
}

#[test]
fn empty_caches_at_the_start_neither_add_targets_nor_keep_them_for_long() {
    let cold = Event::Cold(2.6, 4_000);
    let outcome = Day::new(Policy::Forecast).with(0, cold).play();
    assert_served(&outcome);
    let more = outcome
        .orders
        .iter()
        .find(|(at, order)| *at < 20_000 && order.count > order.registered);
    assert!(more.is_none(), "{more:?}");
    let at = (30_000 / model::STEP) as usize;
    assert!(outcome.live[at] < 60, "{}", outcome.live[at]);
}
