//! The benchmark itself, and the aims that it has to show.

use cactuslane_bench::scenario::FleetSpec;
use cactuslane_bench::{Outcome, Policy, Scenario, sim, trace};
use yare::parameterized;

/// Runs a short form of a scenario.
fn run(name: &str, policy: Policy, seed: u64) -> Outcome {
    let mut scenario = Scenario::named(name, FleetSpec::cluj()).expect("it exists");
    scenario.seconds = 60;
    let trace = trace::generate(&scenario, seed);
    sim::run(&scenario, policy, &trace, seed)
}

/// The same seed gives the same run.
#[test]
fn runs_repeat() {
    for policy in [Policy::Cactuslane, Policy::LeastOutstanding] {
        let (one, other) = (run("bursts", policy, 3), run("bursts", policy, 3));
        assert_eq!(
            (one.good, one.late, one.refused),
            (other.good, other.late, other.refused)
        );
        assert_ne!(one.good, run("bursts", policy, 4).good);
    }
}

/// Every request of a trace ends in exactly one way.
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

/// Goodput is at least 95% of what a router reaches that sees everything and knows the trace.
#[parameterized(
    swings = { "swings" },
    bursts = { "bursts" },
    late_reports = { "late-10s" },
    overload = { "overload-5" },
)]
fn goodput_is_near_the_limit(name: &str) {
    let own = run(name, Policy::Cactuslane, 1);
    let limit = run(name, Policy::Clairvoyant, 1);
    assert!(
        own.good as f64 >= 0.95 * limit.good as f64,
        "{} of {}",
        own.good,
        limit.good
    );
}

/// Under an overload of five the admitted requests keep their bound, and goodput does not fall.
#[test]
fn an_overload_does_not_cost_goodput() {
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

/// A lost failure domain cuts streams at its engines, and the answers go on elsewhere.
#[test]
fn a_lost_domain_is_survived() {
    let outcome = run("domain-lost", Policy::Cactuslane, 1);
    assert!(outcome.cut_streams > 0);
    assert!(
        outcome.good as f64 >= 0.75 * outcome.offered as f64,
        "{outcome:?}"
    );
}
