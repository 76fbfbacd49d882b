//! The role planner.

use std::collections::BTreeMap;

use cactuslane_roles::{PlanParams, Planner, Rates, Split, Workload};
use cactuslane_route::Speed;
use cactuslane_types::{Role, TargetId};
use yare::parameterized;

/// Bound between tokens, in milliseconds.
const BETWEEN: f64 = 60.0;
/// Time for which a change must pay, in milliseconds.
const PAYBACK: u64 = 120_000;

/// Returns a planner for engines that are slower by a factor when they mix.
fn planner(mixing: f64, weight: f64) -> Planner {
    let speed = Speed {
        mixing,
        ..Speed::default()
    };
    Planner::new(PlanParams {
        rates: Rates::of(&speed, BETWEEN),
        change_ms: 6_000.0,
        change_weight: weight,
        payback_ms: PAYBACK as f64,
    })
}

/// Returns engines of which all are mixed.
fn engines(count: usize) -> BTreeMap<TargetId, (Role, usize)> {
    (0..count)
        .map(|index| (format!("engine-{index:02}"), (Role::Mixed, index)))
        .collect()
}

/// Lets a planner work on a steady mix and returns its changes with their times.
fn run(
    planner: &mut Planner,
    workload: impl Fn(u64) -> Workload,
    minutes: u64,
) -> Vec<(u64, TargetId, Role)> {
    let mut roles = engines(12);
    let mut changes = Vec::new();
    for tick in 0..minutes * 12 {
        let now = tick * 5_000;
        planner.forecast.observe(workload(now));
        if let Some(change) = planner.plan(&roles, now) {
            roles.insert(change.target.clone(), (change.role, 0));
            changes.push((now, change.target, change.role));
        }
    }
    changes
}

/// Nothing changes while the fleet is at ease or while mixing costs little.
#[parameterized(
    at_ease = { 2.0, 20.0, 2.0 },
    cheap_mixing = { 1.15, 100.0, 11.0 },
    idle = { 2.0, 0.0, 0.0 },
)]
fn nothing_changes_without_gain(mixing: f64, prefill: f64, decode: f64) {
    let changes = run(
        &mut planner(mixing, 1.0),
        |_| Workload { prefill, decode },
        20,
    );
    assert!(changes.is_empty(), "{changes:?}");
}

/// Under load that mixing cannot carry, engines take roles one at a time and then stay.
#[test]
fn roles_settle() {
    let mut planner = planner(2.0, 1.0);
    let changes = run(
        &mut planner,
        |_| Workload {
            prefill: 100.0,
            decode: 11.0,
        },
        30,
    );
    assert!((4..=14).contains(&changes.len()), "{changes:?}");
    let last = changes.last().expect("some changed").0;
    assert!(last < 10 * 60_000, "{changes:?}");
}

/// No engine changes twice within the time for which a change must pay, however the mix swings.
#[test]
fn no_engine_changes_two_ways() {
    let swing = |now: u64| {
        let phase = (now as f64 / 240_000.0 * std::f64::consts::TAU).sin();
        Workload {
            prefill: 100.0 + 80.0 * phase,
            decode: 11.0 - 8.0 * phase,
        }
    };
    let changes = run(&mut planner(2.0, 0.0), swing, 60);
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    for (now, target, _) in &changes {
        if let Some(before) = last.insert(target, *now) {
            assert!(now - before >= PAYBACK, "{target} at {before} and {now}");
        }
    }
}

/// A higher weight on changes makes fewer of them.
#[test]
fn the_weight_counts() {
    let swing = |now: u64| {
        let phase = (now as f64 / 900_000.0 * std::f64::consts::TAU).sin();
        Workload {
            prefill: 90.0 + 60.0 * phase,
            decode: 10.0 - 5.0 * phase,
        }
    };
    let cheap = run(&mut planner(1.6, 0.0), swing, 60).len();
    let dear = run(&mut planner(1.6, 30.0), swing, 60).len();
    assert!(dear <= cheap, "{dear} against {cheap}");
}

/// A split serves more with more engines of the kind that is short, and both kinds are needed.
#[parameterized(
    more_prefill = { Split { prefill: 3, decode: 3, mixed: 0 }, Split { prefill: 6, decode: 3, mixed: 0 } },
    a_mixed_one = { Split { prefill: 3, decode: 3, mixed: 0 }, Split { prefill: 3, decode: 3, mixed: 2 } },
)]
fn more_engines_are_less_busy(few: Split, more: Split) {
    let rates = Rates::of(&Speed::default(), BETWEEN);
    let workload = Workload {
        prefill: 90.0,
        decode: 5.0,
    };
    assert!(rates.utilization(more, workload) < rates.utilization(few, workload));
}

/// A planner that was told of an earlier owner's change does not undo it at once.
#[test]
fn an_earlier_change_counts() {
    let mut planner = planner(2.0, 0.0);
    for index in 0..12 {
        planner.record_change(&format!("engine-{index:02}"), 0);
    }
    let changes = run(
        &mut planner,
        |_| Workload {
            prefill: 100.0,
            decode: 11.0,
        },
        2,
    );
    assert!(
        changes.iter().all(|(now, _, _)| *now >= PAYBACK),
        "{changes:?}"
    );
}
