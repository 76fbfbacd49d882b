//! Plans, windows and the division of shards.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_authority::orders::{Block, Records, Step, TargetOwner};
use cactuslane_authority::ownership::{Move, OwnerRecord, Ownership, is_candidate, shards};
use cactuslane_authority::plan::{Aims, Plan, Seen, Stage, next_plan};
use cactuslane_authority::window::{DailyWindow, is_open};
use cactuslane_authority::{EngineReport, Hold, OrderKind, Wanted};
use cactuslane_types::Role;
use yare::parameterized;

/// Returns engines of one model in three failure domains, all at version 1.
fn engines(count: usize) -> BTreeMap<String, Seen> {
    let mut seen = BTreeMap::new();
    for index in 0..count {
        let report = EngineReport {
            role: "mixed".to_owned(),
            version: "1".to_owned(),
            ..EngineReport::default()
        };
        let engine = Seen {
            service: "m".to_owned(),
            domain: format!("domain-{}", index % 3),
            live: true,
            engine: true,
            report: Some(report),
            pending: false,
        };
        seen.insert(name(index), engine);
    }
    seen
}

/// Names an engine.
fn name(index: usize) -> String {
    format!("engine-{index}")
}

/// Returns aims for a version, with limits.
fn aims(
    version: &str,
    max_unavailable: usize,
    per_domain: usize,
    least: usize,
    open: bool,
) -> Aims {
    Aims {
        edit: 9,
        versions: BTreeMap::from([("m".to_owned(), version.to_owned())]),
        min_serving: BTreeMap::from([("m".to_owned(), least)]),
        max_unavailable,
        per_domain,
        open,
        ..Aims::default()
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

/// No more targets are away than every limit allows, and each that waits says why.
#[parameterized(
    one = { 1, 9, 0, true, 1, "are away already" },
    three = { 3, 9, 0, true, 3, "3 of m are away already" },
    domains = { 9, 1, 0, true, 3, "of domain-0 are away already" },
    serving = { 9, 9, 5, true, 1, "5 serve m, and 5 must" },
    closed = { 9, 9, 0, false, 0, "no maintenance window is open" },
)]
fn limits_hold(
    at_once: usize,
    per_domain: usize,
    least: usize,
    open: bool,
    expected: usize,
    why: &str,
) {
    let aims = aims("2", at_once, per_domain, least, open);
    let plan = next_plan(&Plan::default(), &aims, &engines(6), 0);
    assert_eq!(drained(&plan).len(), expected, "{plan:?}");
    assert_eq!(plan.targets.len(), 6);
    assert!(
        plan.targets
            .values()
            .any(|planned| planned.reason.contains(why)),
        "{plan:?}"
    );
}

/// Engine after engine reaches the version, whoever plans, and all serve in the end.
#[test]
fn a_version_goes_through_the_fleet() {
    let aims = aims("2", 2, 1, 3, true);
    let mut seen = engines(6);
    let mut plan = Plan::default();
    for round in 0..40 {
        plan = next_plan(&plan, &aims, &seen, round);
        let away = drained(&plan);
        assert!(away.len() <= 2);
        for id in away {
            let report = seen.get_mut(id).and_then(|engine| engine.report.as_mut());
            let report = report.expect("it reports");
            // The change takes one round, in which the engine is away.
            if report.away {
                report.away = false;
            } else {
                report.version = "2".to_owned();
                report.away = true;
            }
        }
    }
    assert!(plan.targets.is_empty(), "{plan:?}");
    let all = seen.values().filter_map(|engine| engine.report.as_ref());
    assert!(all.into_iter().all(|report| report.version == "2"));
}

/// What was started is finished first: a drained target is not taken back half way.
#[parameterized(
    unwanted = { |seen: &mut Seen| seen.pending = true },
    silent = { |seen: &mut Seen| seen.report = None },
    away = { |seen: &mut Seen| {
        if let Some(report) = &mut seen.report {
            report.version = "2".to_owned();
            report.away = true;
        }
    } },
    half_done = { |seen: &mut Seen| {
        if let Some(report) = &mut seen.report {
            report.version = "2".to_owned();
            report.half_done = 4;
        }
    } },
)]
fn a_started_change_is_finished(state: fn(&mut Seen)) {
    let mut seen = engines(6);
    let plan = next_plan(&Plan::default(), &aims("2", 1, 1, 0, true), &seen, 0);
    let id = drained(&plan)[0].to_owned();
    state(seen.get_mut(&id).expect("it is seen"));
    let next = next_plan(&plan, &aims("1", 1, 1, 0, false), &seen, 1);
    assert_eq!(drained(&next), vec![id.as_str()]);
}

/// A wanted role is brought about at any time of the day, one engine at a time.
#[test]
fn roles_need_no_window() {
    let mut aims = aims("1", 1, 1, 0, false);
    aims.roles.insert(name(4), Role::Prefill);
    let plan = next_plan(&Plan::default(), &aims, &engines(6), 0);
    assert_eq!(drained(&plan), vec![name(4).as_str()]);
    let wanted = Wanted {
        kind: OrderKind::SetRole,
        value: "prefill".to_owned(),
    };
    assert_eq!(plan.targets[&name(4)].wanted, Some(wanted));
}

/// Windows follow the local clock, across midnight and the change to and from summer time.
#[parameterized(
    // 2026-12-03 is a Thursday; Zagreb is an hour ahead of universal time in winter.
    evening = { "2026-12-03T20:30:00Z", true },
    before = { "2026-12-03T19:59:00Z", false },
    margin = { "2026-12-03T20:00:05Z", false },
    morning_after = { "2026-12-04T03:30:00Z", true },
    morning_end = { "2026-12-04T04:00:00Z", false },
    next_evening = { "2026-12-04T20:30:00Z", false },
    // On 2026-03-29 the clock jumps from 2 to 3 in the morning.
    summer_begins = { "2026-03-29T02:30:00Z", false },
    summer_before_end = { "2026-03-27T03:30:00Z", true },
    // In summer Zagreb is two hours ahead.
    summer_evening = { "2026-07-02T19:30:00Z", true },
)]
fn windows_follow_the_local_clock(time: &str, expected: bool) {
    let window = DailyWindow {
        days: vec![4],
        from: 21 * 60,
        until: 5 * 60,
    };
    let time: jiff::Timestamp = time.parse().expect("a time");
    let wall = time.as_millisecond() as u64;
    assert_eq!(is_open("Europe/Zagreb", &[window], wall, 10), Ok(expected));
}

/// A zone that is not known closes the window instead of opening it.
#[test]
fn an_unknown_zone_is_an_error() {
    let window = DailyWindow {
        days: vec![1],
        from: 0,
        until: 60,
    };
    assert!(is_open("Europe/Nowhere", &[window], 0, 10).is_err());
}

/// Shards are divided evenly, a lost instance's go to others, and few instances take part.
#[test]
fn shards_are_divided() {
    let serving: BTreeSet<String> = (0..7).map(|index| format!("entry-{index}")).collect();
    let mut taken = BTreeSet::new();
    let mut counts = Vec::new();
    for id in &serving {
        let mut ownership = Ownership::new(id, 1);
        let moves = ownership.moves(&serving, &taken, 0);
        let mut count = 0;
        for step in moves {
            if let Move::Acquire(shard) = step {
                taken.insert(shard);
                count += 1;
            }
        }
        counts.push(count);
    }
    assert_eq!(taken.len(), shards().len());
    let many: BTreeSet<String> = (0..330).map(|index| format!("entry-{index}")).collect();
    // One in six is asked; three candidates of 33 shards are at most 99 of 330.
    let asked = many.iter().step_by(6);
    let candidates = asked.filter(|id| is_candidate(id, &many)).count();
    assert!((1..=30).contains(&candidates), "{candidates}");
}

/// A shard goes to a better ranked instance only after that one was steady for a while.
#[test]
fn a_shard_moves_late() {
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
    assert!(ownership.moves(&only, &taken, 0).is_empty());
    assert!(ownership.moves(&all, &taken, 1_000).is_empty());
    assert!(ownership.moves(&all, &taken, 29_000).is_empty());
    let moves = ownership.moves(&all, &taken, 31_000);
    assert!(!moves.is_empty() && moves.iter().all(|step| matches!(step, Move::Release(_, 5))));
}

/// A leaving instance gives its shards back at once, and one whose lease lapsed owns nothing.
#[test]
fn a_leaving_instance_gives_back() {
    let others = BTreeSet::from(["entry-1".to_owned()]);
    let mut ownership = Ownership::new("entry-0", 1);
    let record = OwnerRecord {
        instance: "entry-0".to_owned(),
        incarnation: 1,
    };
    ownership.observed(&BTreeMap::from([("03".to_owned(), (record, 5))]));
    let taken = BTreeSet::from(["03".to_owned()]);
    let moves = ownership.moves(&others, &taken, 0);
    assert_eq!(moves, vec![Move::Release("03".to_owned(), 5)]);
    ownership.lost();
    assert!(ownership.owned().is_empty());
}

/// An order that cuts streams waits for the drain and for the last stream; others do not.
#[parameterized(
    not_drained = { OrderKind::SetRole, false, 0, Some(Block::NotDrained) },
    streams = { OrderKind::SetVersion, true, 3, Some(Block::Streams(3)) },
    ready = { OrderKind::SetRole, true, 0, None },
    adapter = { OrderKind::LoadAdapter, false, 7, None },
)]
fn disruptive_orders_wait(kind: OrderKind, is_drained: bool, streams: usize, block: Option<Block>) {
    let hold = Hold {
        instance: "entry-0".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        released: false,
    };
    let mut owner = TargetOwner::new(hold, true);
    owner.set_fencing(Some(4));
    owner.set_wanted(
        Some(Wanted {
            kind,
            value: "x".to_owned(),
        }),
        is_drained,
    );
    owner.read(Records::default());
    owner.reported(EngineReport {
        streams,
        ..EngineReport::default()
    });
    match (owner.next(&|_| false, 0), block) {
        (Step::Blocked(found), Some(expected)) => assert_eq!(found, expected),
        (Step::WriteIntent { intent, .. }, None) => assert_eq!(intent.fencing, 4),
        (step, _) => panic!("{step:?}"),
    }
}
