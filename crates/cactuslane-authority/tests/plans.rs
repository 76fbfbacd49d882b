//! Plans, maintenance windows, the division of shards, and waiting for streams.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_authority::orders::{Records, Step, TargetReconciler, WaitReason};
use cactuslane_authority::ownership::{OwnerRecord, Ownership, ShardAction, is_candidate, shards};
use cactuslane_authority::plan::{ObservedTarget, Plan, Requirements, Stage, next_plan};
use cactuslane_authority::window::{DailyWindow, is_open};
use cactuslane_authority::{EngineReport, Hold, OrderKind, Wanted};
use cactuslane_types::Role;
use yare::parameterized;

/// Returns engines of one model in three failure domains, all at version 1.
fn engines(count: usize) -> BTreeMap<String, ObservedTarget> {
    let mut observed = BTreeMap::new();
    for index in 0..count {
        let report = EngineReport {
            role: "mixed".to_owned(),
            version: "1".to_owned(),
            ..EngineReport::default()
        };
        let engine = ObservedTarget {
            service: "m".to_owned(),
            domain: format!("domain-{}", index % 3),
            live: true,
            engine: true,
            report: Some(report),
            pending: false,
        };
        observed.insert(name(index), engine);
    }
    observed
}

/// Returns the target id of an engine.
fn name(index: usize) -> String {
    format!("engine-{index}")
}

/// Returns requirements that set a version and the limits.
fn requirements(
    version: &str,
    max_unavailable: usize,
    per_domain: usize,
    minimum: usize,
    open: bool,
) -> Requirements {
    Requirements {
        edit: 9,
        versions: BTreeMap::from([("m".to_owned(), version.to_owned())]),
        min_serving: BTreeMap::from([("m".to_owned(), minimum)]),
        max_unavailable,
        per_domain,
        window_open: open,
        ..Requirements::default()
    }
}

/// Returns the drained targets of a plan.
fn drained(plan: &Plan) -> Vec<&str> {
    let away = plan
        .targets
        .iter()
        .filter(|(_, planned)| planned.stage == Stage::Drained);
    away.map(|(id, _)| id.as_str()).collect()
}

/// Guards against a plan that drains more targets than any limit allows, or that gives no reason
/// for a waiting one.
#[parameterized(
    one = { 1, 9, 0, true, 1, "are away already" },
    three = { 3, 9, 0, true, 3, "3 of m are away already" },
    domains = { 9, 1, 0, true, 3, "of domain-0 are away already" },
    serving = { 9, 9, 5, true, 1, "5 serve m, and 5 must" },
    closed = { 9, 9, 0, false, 0, "no maintenance window is open" },
)]
fn limits_hold(
    max_unavailable: usize,
    per_domain: usize,
    minimum: usize,
    open: bool,
    expected: usize,
    why: &str,
) {
    let requirements = requirements("2", max_unavailable, per_domain, minimum, open);
    let plan = next_plan(&Plan::default(), &requirements, &engines(6), 0);
    assert_eq!(drained(&plan).len(), expected, "{plan:?}");
    assert_eq!(plan.targets.len(), 6);
    assert!(
        plan.targets
            .values()
            .any(|planned| planned.reason.contains(why)),
        "{plan:?}"
    );
}

/// Guards against a version change that stalls: each engine reaches the version, no more than two
/// are drained at the same time, and all serve in the end.
#[test]
fn a_version_change_reaches_every_engine() {
    let requirements = requirements("2", 2, 1, 3, true);
    let mut observed = engines(6);
    let mut plan = Plan::default();
    for round in 0..40 {
        plan = next_plan(&plan, &requirements, &observed, round);
        let away = drained(&plan);
        assert!(away.len() <= 2);
        for id in away {
            let report = observed
                .get_mut(id)
                .and_then(|engine| engine.report.as_mut());
            let report = report.expect("every engine reports");
            // The change takes one round, during which the engine reports that it is away.
            if report.away {
                report.away = false;
            } else {
                report.version = "2".to_owned();
                report.away = true;
            }
        }
    }
    assert!(plan.targets.is_empty(), "{plan:?}");
    let all = observed
        .values()
        .filter_map(|engine| engine.report.as_ref());
    assert!(all.into_iter().all(|report| report.version == "2"));
}

/// Guards against undraining a target in the middle of a change, when the requirements change while
/// its order is pending, unreported, being applied or interrupted.
#[parameterized(
    pending = { |observed: &mut ObservedTarget| observed.pending = true },
    no_report = { |observed: &mut ObservedTarget| observed.report = None },
    away = { |observed: &mut ObservedTarget| {
        if let Some(report) = &mut observed.report {
            report.version = "2".to_owned();
            report.away = true;
        }
    } },
    half_done = { |observed: &mut ObservedTarget| {
        if let Some(report) = &mut observed.report {
            report.version = "2".to_owned();
            report.half_done = 4;
        }
    } },
)]
fn a_started_change_is_finished(state: fn(&mut ObservedTarget)) {
    let mut observed = engines(6);
    let plan = next_plan(
        &Plan::default(),
        &requirements("2", 1, 1, 0, true),
        &observed,
        0,
    );
    let id = drained(&plan)[0].to_owned();
    state(observed.get_mut(&id).expect("the target is observed"));
    let next = next_plan(&plan, &requirements("1", 1, 1, 0, false), &observed, 1);
    assert_eq!(drained(&next), vec![id.as_str()]);
}

/// Role changes need no maintenance window, but the limits apply to them.
#[test]
fn roles_need_no_window() {
    let mut requirements = requirements("1", 1, 1, 0, false);
    requirements.roles.insert(name(4), Role::Prefill);
    let plan = next_plan(&Plan::default(), &requirements, &engines(6), 0);
    assert_eq!(drained(&plan), vec![name(4).as_str()]);
    let wanted = Wanted {
        kind: OrderKind::SetRole,
        value: "prefill".to_owned(),
    };
    assert_eq!(plan.targets[&name(4)].wanted, Some(wanted));
}

/// Windows follow the local clock, across midnight and both in winter and in daylight saving time.
#[parameterized(
    // 2026-12-03 is a Thursday; Zagreb is one hour ahead of UTC in winter.
    evening = { "2026-12-03T20:30:00Z", true },
    before = { "2026-12-03T19:59:00Z", false },
    margin = { "2026-12-03T20:00:05Z", false },
    morning_after = { "2026-12-04T03:30:00Z", true },
    morning_end = { "2026-12-04T04:00:00Z", false },
    next_evening = { "2026-12-04T20:30:00Z", false },
    // On 2026-03-29, a Sunday on which no window is open, the clock jumps from 02:00 to 03:00.
    summer_begins = { "2026-03-29T02:30:00Z", false },
    summer_before_end = { "2026-03-27T03:30:00Z", true },
    // In summer, Zagreb is two hours ahead of UTC.
    summer_evening = { "2026-07-02T19:30:00Z", true },
)]
fn windows_follow_the_local_clock(time: &str, expected: bool) {
    let window = DailyWindow {
        days: vec![4],
        from: 21 * 60,
        until: 5 * 60,
    };
    let time: jiff::Timestamp = time.parse().expect("valid timestamp");
    let wall = time.as_millisecond() as u64;
    assert_eq!(is_open("Europe/Zagreb", &[window], wall, 10), Ok(expected));
}

/// Guards against a window that opens because its time zone is unknown; callers treat the error as
/// closed.
#[test]
fn an_unknown_zone_is_an_error() {
    let window = DailyWindow {
        days: vec![1],
        from: 0,
        until: 60,
    };
    assert!(is_open("Europe/Nowhere", &[window], 0, 10).is_err());
}

/// Every shard is acquired by one of the instances, and in a large fleet only few instances are
/// candidates and thus read the owners.
#[test]
fn shards_are_divided() {
    let serving: BTreeSet<String> = (0..7).map(|index| format!("entry-{index}")).collect();
    let mut taken = BTreeSet::new();
    let mut counts = Vec::new();
    for id in &serving {
        let mut ownership = Ownership::new(id, 1);
        let actions = ownership.next_actions(&serving, &taken, 0);
        let mut count = 0;
        for action in actions {
            if let ShardAction::Acquire(shard) = action {
                taken.insert(shard);
                count += 1;
            }
        }
        counts.push(count);
    }
    assert_eq!(taken.len(), shards().len());
    let many: BTreeSet<String> = (0..330).map(|index| format!("entry-{index}")).collect();
    // Every sixth of 330 instances is sampled; at most 99 are candidates, three for each of 33
    // shards.
    let sampled = many.iter().step_by(6);
    let candidates = sampled.filter(|id| is_candidate(id, &many)).count();
    assert!((1..=30).contains(&candidates), "{candidates}");
}

/// Guards against handing a shard over as soon as a better ranked instance appears: the owner waits
/// until that instance has ranked first for 30 s.
#[test]
fn a_shard_is_released_only_after_the_handover_delay() {
    let all: BTreeSet<String> = (0..7).map(|index| format!("entry-{index}")).collect();
    let only = BTreeSet::from(["entry-0".to_owned()]);
    let mut ownership = Ownership::new("entry-0", 1);
    let record = OwnerRecord {
        instance: "entry-0".to_owned(),
        incarnation: 1,
    };
    let owners: BTreeMap<String, (OwnerRecord, u64)> = shards()
        .into_iter()
        .map(|shard| (shard, (record.clone(), 5)))
        .collect();
    ownership.observed(&owners);
    let taken: BTreeSet<String> = owners.keys().cloned().collect();
    assert!(ownership.next_actions(&only, &taken, 0).is_empty());
    assert!(ownership.next_actions(&all, &taken, 1_000).is_empty());
    assert!(ownership.next_actions(&all, &taken, 29_000).is_empty());
    let actions = ownership.next_actions(&all, &taken, 31_000);
    assert!(
        !actions.is_empty()
            && actions
                .iter()
                .all(|action| matches!(action, ShardAction::Release(_, 5)))
    );
}

/// An instance that no longer serves releases its shards without delay, and one whose lease lapsed
/// owns none.
#[test]
fn a_leaving_instance_releases_its_shards() {
    let others = BTreeSet::from(["entry-1".to_owned()]);
    let mut ownership = Ownership::new("entry-0", 1);
    let record = OwnerRecord {
        instance: "entry-0".to_owned(),
        incarnation: 1,
    };
    ownership.observed(&BTreeMap::from([("03".to_owned(), (record, 5))]));
    let taken = BTreeSet::from(["03".to_owned()]);
    let actions = ownership.next_actions(&others, &taken, 0);
    assert_eq!(actions, vec![ShardAction::Release("03".to_owned(), 5)]);
    ownership.lease_lost();
    assert!(ownership.owned().is_empty());
}

/// An order that cuts streams waits until the target is drained and has no streams; others do not.
#[parameterized(
    not_drained = { OrderKind::SetRole, false, 0, Some(WaitReason::NotDrained) },
    streams = { OrderKind::SetVersion, true, 3, Some(WaitReason::Streams(3)) },
    ready = { OrderKind::SetRole, true, 0, None },
    adapter = { OrderKind::LoadAdapter, false, 7, None },
)]
fn disruptive_orders_wait(
    kind: OrderKind,
    is_drained: bool,
    streams: usize,
    reason: Option<WaitReason>,
) {
    let hold = Hold {
        instance: "entry-0".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        released: false,
    };
    let mut owner = TargetReconciler::new(hold, true);
    owner.set_fencing(Some(4));
    owner.set_wanted(
        Some(Wanted {
            kind,
            value: "x".to_owned(),
        }),
        is_drained,
    );
    owner.records_read(Records::default());
    owner.reported(EngineReport {
        streams,
        ..EngineReport::default()
    });
    match (owner.next(&|_| false, 0), reason) {
        (Step::Blocked(found), Some(expected)) => assert_eq!(found, expected),
        (Step::WriteIntent { intent, .. }, None) => assert_eq!(intent.fencing, 4),
        (step, _) => panic!("{step:?}"),
    }
}
