//! Tests of the role planner: when it changes roles, which engines change and how often.

use std::collections::BTreeMap;

use cactuslane_roles::{PlanParams, Planner, Split, UnitCosts, Workload};
use cactuslane_route::Speed;
use cactuslane_types::{Role, TargetId};
use yare::parameterized;

/// Bound on the inter-token latency, in milliseconds.
const ITL_BOUND_MS: f64 = 60.0;
/// Time within which a change must pay off, in milliseconds.
const PAYBACK_MS: u64 = 120_000;

/// Creates a planner for engines whose mixed steps are slower by the factor `mixing`, with
/// `weight` as the additional cost of a change in engine seconds.
fn planner(mixing: f64, weight: f64) -> Planner {
    let speed = Speed {
        mixing,
        ..Speed::default()
    };
    Planner::new(PlanParams {
        costs: UnitCosts::from_speed(&speed, ITL_BOUND_MS),
        change_ms: 6_000.0,
        change_weight: weight,
        payback_ms: PAYBACK_MS as f64,
    })
}

/// Creates mixed engines; the number of streams of an engine is its index.
fn engines(count: usize) -> BTreeMap<TargetId, (Role, usize)> {
    (0..count)
        .map(|index| (format!("engine-{index:02}"), (Role::Mixed, index)))
        .collect()
}

/// Runs a planner on 12 engines that are mixed at first, with one observation and one plan every
/// 5 s, and returns its changes with their times in milliseconds. A change takes effect at once.
fn run(
    planner: &mut Planner,
    workload: impl Fn(u64) -> Workload,
    minutes: u64,
) -> Vec<(u64, TargetId, Role)> {
    let mut roles = engines(12);
    let mut changes = Vec::new();
    for step in 0..minutes * 12 {
        let now = step * 5_000;
        planner.forecast.observe(workload(now));
        if let Some(change) = planner.plan(&roles, now) {
            roles.insert(change.target.clone(), (change.role, 0));
            changes.push((now, change.target, change.role));
        }
    }
    changes
}

/// Guards against changes without a gain: at low load, without load, and where mixed steps are only
/// a little slower.
#[parameterized(
    low_load = { 2.0, 20.0, 2.0 },
    cheap_mixing = { 1.15, 100.0, 11.0 },
    idle = { 2.0, 0.0, 0.0 },
)]
fn no_role_changes_without_gain(mixing: f64, prefill: f64, decode: f64) {
    let changes = run(
        &mut planner(mixing, 1.0),
        |_| Workload { prefill, decode },
        20,
    );
    assert!(changes.is_empty(), "{changes:?}");
}

/// Guards against roles that keep changing under a steady load: one that mixed engines cannot serve
/// takes 4 to 14 changes, the last within 10 minutes.
#[test]
fn roles_are_stable_under_steady_load() {
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
    let last = changes.last().expect("at least one change").0;
    assert!(last < 10 * 60_000, "{changes:?}");
}

/// Guards against engines that change back and forth: the workload shifts between prompt and output
/// work with a period of twice the payback time, at a weight of 0, and no engine changes twice
/// within the payback time.
#[test]
fn no_engine_changes_twice_within_payback() {
    let shifting_workload = |now: u64| {
        let phase = (now as f64 / 240_000.0 * std::f64::consts::TAU).sin();
        Workload {
            prefill: 100.0 + 80.0 * phase,
            decode: 11.0 - 8.0 * phase,
        }
    };
    let changes = run(&mut planner(2.0, 0.0), shifting_workload, 60);
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    for (now, target, _) in &changes {
        if let Some(before) = last.insert(target, *now) {
            assert!(now - before >= PAYBACK_MS, "{target} at {before} and {now}");
        }
    }
}

/// Guards against a weight that does not limit changes: a higher one leads to no more of them
/// while the workload shifts with a period of 15 minutes.
#[test]
fn higher_weight_leads_to_no_more_changes() {
    let shifting_workload = |now: u64| {
        let phase = (now as f64 / 900_000.0 * std::f64::consts::TAU).sin();
        Workload {
            prefill: 90.0 + 60.0 * phase,
            decode: 10.0 - 5.0 * phase,
        }
    };
    let low_weight = run(&mut planner(1.6, 0.0), shifting_workload, 60).len();
    let high_weight = run(&mut planner(1.6, 30.0), shifting_workload, 60).len();
    assert!(
        high_weight <= low_weight,
        "{high_weight} against {low_weight}"
    );
}

/// Guards against a utilization that ignores additional engines: it falls with more engines of the
/// role that limits the split, and with mixed engines.
#[parameterized(
    more_prefill = { Split { prefill: 3, decode: 3, mixed: 0 }, Split { prefill: 6, decode: 3, mixed: 0 } },
    more_mixed = { Split { prefill: 3, decode: 3, mixed: 0 }, Split { prefill: 3, decode: 3, mixed: 2 } },
)]
fn more_engines_lower_the_utilization(few: Split, more: Split) {
    let costs = UnitCosts::from_speed(&Speed::default(), ITL_BOUND_MS);
    let workload = Workload {
        prefill: 90.0,
        decode: 5.0,
    };
    assert!(costs.utilization(more, workload) < costs.utilization(few, workload));
}

/// Guards against a planner that undoes changes of the instance that ran the planner before:
/// engines with a recorded change keep their roles for the payback time.
#[test]
fn recorded_changes_keep_roles_for_payback() {
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
        changes.iter().all(|(now, _, _)| *now >= PAYBACK_MS),
        "{changes:?}"
    );
}
