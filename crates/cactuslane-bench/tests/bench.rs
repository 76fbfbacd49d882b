//! Checks that the simulation is deterministic and complete, and that the product reaches its
//! goodput targets in it.

use cactuslane_bench::scenario::FleetSpec;
use cactuslane_bench::{Outcome, Policy, Scenario, sim, trace};
use yare::parameterized;

/// Simulates a scenario for `cluj`, shortened to 60 s.
fn run(name: &str, policy: Policy, seed: u64) -> Outcome {
    let mut scenario = Scenario::named(name, FleetSpec::cluj()).expect("the scenario exists");
    scenario.seconds = 60;
    let trace = trace::generate(&scenario, seed);
    sim::run(&scenario, policy, &trace, seed)
}

/// The same seed gives the same results, and another seed gives different ones.
#[test]
fn same_seed_gives_same_run() {
    for policy in [Policy::Cactuslane, Policy::LeastOutstanding] {
        let (one, other) = (run("bursts", policy, 3), run("bursts", policy, 3));
        assert_eq!(
            (one.good, one.late, one.refused),
            (other.good, other.late, other.refused)
        );
        assert_ne!(one.good, run("bursts", policy, 4).good);
    }
}

/// Every request of a trace is counted exactly once: as good, late or rejected.
#[parameterized(
    calm = { "swings", Policy::Cactuslane },
    domain_lost = { "domain-lost", Policy::Cactuslane },
    overload = { "overload-5", Policy::Cactuslane },
    simple = { "swings", Policy::RoundRobin },
)]
fn every_request_ends_once(name: &str, policy: Policy) {
    let outcome = run(name, policy, 1);
    assert_eq!(
        outcome.good + outcome.late + outcome.rejected,
        outcome.offered
    );
}

/// Goodput is at least 95% of that of a single router with exact loads and a planner that knows
/// the trace.
#[parameterized(
    swings = { "swings" },
    bursts = { "bursts" },
    late_reports = { "late-10s" },
    overload = { "overload-5" },
)]
fn goodput_is_near_that_of_the_clairvoyant_policy(name: &str) {
    let own = run(name, Policy::Cactuslane, 1);
    let limit = run(name, Policy::Clairvoyant, 1);
    assert!(
        own.good as f64 >= 0.95 * limit.good as f64,
        "{} of {}",
        own.good,
        limit.good
    );
}

/// At 5 times the estimated capacity, at least as many answers are good as at 1.1 times, and the
/// 95th percentile of the time to the first token of admitted requests stays within its bound.
#[test]
fn overload_does_not_reduce_goodput() {
    let (calm, over) = (
        run("swings", Policy::Cactuslane, 1),
        run("overload-5", Policy::Cactuslane, 1),
    );
    assert!(over.good >= calm.good, "{} after {}", over.good, calm.good);
    assert!(
        over.ttft_p95() as f64 <= FleetSpec::cluj().ttft_bound,
        "{}",
        over.ttft_p95()
    );
}

/// The loss of a failure domain cuts streams, but at least 75% of the requests still get good
/// answers, as other engines continue the streams.
#[test]
fn most_answers_survive_a_lost_domain() {
    let outcome = run("domain-lost", Policy::Cactuslane, 1);
    assert!(outcome.cut_streams > 0);
    assert!(
        outcome.good as f64 >= 0.75 * outcome.offered as f64,
        "{outcome:?}"
    );
}
