//! Arrivals and plans follow from their seeds, and figures from the records of requests.

use std::time::Duration;

use cactuslane_soak::compare;
use cactuslane_soak::figures::{Figures, median_ratio};
use cactuslane_soak::load::{Outcome, RequestRecord};
use cactuslane_soak::plan::Action;
use cactuslane_soak::{LoadSpec, RequestKind, plan};
use tokio::time::Instant;

/// Returns a load of 20 requests per second for 100 s, with two kinds and a burst of factor 4.
fn spec() -> LoadSpec {
    let kind = |path: &str, weight| RequestKind {
        path: path.to_owned(),
        weight,
        stream: false,
        once: false,
        ..RequestKind::default()
    };
    LoadSpec {
        length: Duration::from_secs(100),
        rate: 20.0,
        bursts: vec![(Duration::from_secs(50), Duration::from_secs(10), 4.0)],
        kinds: vec![kind("/a/1", 3), kind("/b/1", 1)],
        seed: 5,
        keys: Vec::new(),
        unusual: 0.0,
    }
}

#[test]
fn arrivals_follow_rate_burst_and_weights() {
    let arrivals = spec().arrivals();
    assert_eq!(arrivals, spec().arrivals());
    let burst = arrivals
        .iter()
        .filter(|(at, _)| (50..60).contains(&at.as_secs()))
        .count();
    let rest = arrivals.len() - burst;
    assert!((600..1_000).contains(&burst), "{burst}");
    assert!((1_600..2_000).contains(&rest), "{rest}");
    let first = arrivals.iter().filter(|(_, kind)| *kind == 0).count();
    let share = first as f64 / arrivals.len() as f64;
    assert!((0.7..0.8).contains(&share), "{share}");
}

#[test]
fn a_plan_depends_on_its_seed_alone_and_leaves_time_to_recover() {
    let length = Duration::from_mins(1);
    let plan = |seed| plan::draw(seed, length, 4, 8);
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3), plan(4));
    for seed in 0..40 {
        for step in plan(seed) {
            assert!(step.at >= plan::WARM_UP);
            assert!(
                step.at + step.action.duration() <= length.mul_f64(0.7),
                "{step:?}"
            );
        }
    }
}

/// Guards against overlapping drains of one target. Seed 240 drained a target three times at once;
/// the end of the first drain made the target ready again, and the check of draining targets then
/// counted runs that were allowed.
#[test]
fn drains_of_one_target_do_not_overlap() {
    for seed in 0..300 {
        let mut drains: Vec<(usize, Duration)> = Vec::new();
        for step in plan::draw(seed, Duration::from_secs(30), 4, 8) {
            let Action::Drain(target, time) = step.action else {
                continue;
            };
            let overlaps = |(other, end): &(usize, Duration)| *other == target && step.at <= *end;
            assert!(!drains.iter().any(overlaps), "seed {seed}, target {target}");
            drains.push((target, step.at + time));
        }
    }
}

/// Returns the figures of requests that received their first bytes the given milliseconds after
/// they were due.
fn figures(waits: impl Iterator<Item = u64>) -> Figures {
    let began = Instant::now();
    let record = |wait| RequestRecord {
        id: "r".to_owned(),
        kind: 0,
        key: None,
        front: None,
        due: began,
        ended: began,
        first_byte: Some(began + Duration::from_millis(wait)),
        outcome: Outcome::Whole {
            status: 200,
            signed: true,
            body: Vec::new(),
        },
        taken_up: None,
    };
    Figures::from_records(&waits.map(record).collect::<Vec<_>>(), &spec(), began)
}

#[test]
fn latency_is_measured_from_the_due_time() {
    let figures = figures(1..=1_000);
    let kind = &figures.kinds["/a/1"];
    assert_eq!(
        (kind.sent, kind.served, figures.seconds[0]),
        (1_000, 1_000, (1_000, 1_000))
    );
    for (name, expected) in [("p50", 500.0), ("p95", 950.0), ("p99", 990.0)] {
        let value = kind.first_ms[name];
        assert!((value - expected).abs() < 2.0, "{name} {value}");
    }
}

#[test]
fn a_comparison_has_an_interval_and_a_plot() {
    let (before, after) = (figures(100..200), figures(200..400));
    let sample = |figures: &Figures| figures.kinds["/a/1"].sample.clone();
    let (ratio, low, high) =
        median_ratio(&sample(&before), &sample(&after), 1).expect("both samples have values");
    assert!(
        low < ratio && ratio < high && low > 1.7 && high < 2.3,
        "{low} {ratio} {high}"
    );
    assert!(median_ratio(&[], &sample(&after), 1).is_none());
    let table = compare::table(&before, &after).expect("the loads have a path in common");
    assert!(table.contains("/a/1"), "{table}");
    let page = compare::page(&table, &before, &after).expect("the plot is drawn");
    assert!(page.contains("<svg") && page.contains("polyline"));
    assert!(compare::table(&Figures::default(), &after).is_err());
}

// Seeds 11002, 31002 and 31004 had a target name a limit again when the previous one ended, which
// removed the new one.
#[test]
fn limits_of_targets_do_not_touch() {
    for seed in [11_002, 31_002, 31_004] {
        let mut end = Duration::ZERO;
        for step in plan::draw(seed, Duration::from_secs(45), 4, 8) {
            if let Action::Limit(_, _, time) = step.action {
                assert!(step.at > end, "seed {seed}: {:?} after {end:?}", step.at);
                end = step.at + time;
            }
        }
    }
}
