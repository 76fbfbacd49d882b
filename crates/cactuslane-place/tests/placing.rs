//! The choice of engines under loads that the platform brings.

use std::time::Duration;

use cactuslane_flight::request_info::{PromptPart, RequestInfo};
use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_place::picture::Told;
use cactuslane_place::{
    CacheBelief, Load, Observation, Observed, Placed, Placement, Placer, Plan, Wanted,
};
use cactuslane_types::Role;
use yare::parameterized;

/// Creates an engine with a role.
fn engine(id: &str, role: Role) -> Target {
    Target {
        id: id.to_owned(),
        service: "model".to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: 64,
        role,
        state: TargetState::Ready,
        started_at: None,
        models: Vec::new(),
    }
}

/// The measures of the engines.
fn measures() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_capacity: 490_000,
        token_bytes: 163_840.0,
        link_mbps: 1_700_000.0,
        handle_ttl: Duration::from_secs(5),
    }
}

/// Creates a request with a shared part and one of its own.
fn info(shared: u32, own: u32) -> RequestInfo {
    RequestInfo {
        id: "r".to_owned(),
        prompt_tokens: shared + own,
        max_output: 80,
        parts: vec![
            PromptPart {
                id: 1,
                tokens: shared,
            },
            PromptPart { id: 2, tokens: own },
        ],
        ..RequestInfo::default()
    }
}

/// Places a request, or panics where it is refused.
fn place(placer: &mut Placer, targets: &[Target], info: &RequestInfo) -> Plan {
    match placement(placer, targets, info, Duration::from_secs(6)) {
        Placement::Run(plan) => plan,
        refused => panic!("{refused:?}"),
    }
}

/// Places a request with a time that is left.
fn placement(
    placer: &mut Placer,
    targets: &[Target],
    info: &RequestInfo,
    left: Duration,
) -> Placement {
    let targets: Vec<&Target> = targets.iter().collect();
    let measures = measures();
    let wanted = Wanted {
        info,
        engine: &measures,
        max_pause: Some(Duration::from_millis(150)),
        latency_objective: Duration::from_millis(600),
        left,
        split: true,
        tried: &[],
    };
    placer.generation(&targets, &wanted, 10_000)
}

/// Creates a fleet of two engines of either role.
fn fleet() -> Vec<Target> {
    vec![
        engine("p1", Role::Prefill),
        engine("p2", Role::Prefill),
        engine("d1", Role::Decode),
        engine("d2", Role::Decode),
    ]
}

/// Work that an engine has.
fn load(prompt: u32, running: u32, memory: u32) -> Load {
    Load {
        prompt,
        running,
        memory,
    }
}

#[test]
fn a_long_prompt_is_computed_apart_from_streams() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["d1", "d2"] {
        placer.picture.add(id, load(0, 10, 80_000));
    }
    let plan = place(&mut placer, &fleet(), &info(13_000, 4_000));
    assert!(plan.prefill.is_some());
    assert_eq!(plan.uncached, 17_000);
}

#[test]
fn a_prompt_goes_to_the_engine_that_keeps_its_parts() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let info = info(13_000, 4_000);
    placer.keeps(
        "p2",
        info.shared_parts(),
        measures().kv_capacity,
        0.0,
        9_000,
    );
    let plan = place(&mut placer, &fleet(), &info);
    assert_eq!(plan.prefill.as_deref(), Some("p2"));
    assert_eq!((plan.uncached, plan.fetch), (4_000, None));
}

#[test]
fn parts_are_fetched_where_their_engine_is_busy() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let info = info(13_000, 4_000);
    placer.keeps(
        "p2",
        info.shared_parts(),
        measures().kv_capacity,
        0.0,
        9_000,
    );
    placer.picture.add("p2", load(40_000, 4, 40_000));
    let plan = place(&mut placer, &fleet(), &info);
    assert_eq!(plan.prefill.as_deref(), Some("p1"));
    assert_eq!((plan.uncached, plan.fetch.as_deref()), (4_000, Some("p2")));
}

#[test]
fn parts_that_are_not_computed_yet_are_not_fetched() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let info = info(13_000, 4_000);
    placer.keeps(
        "p2",
        info.shared_parts(),
        measures().kv_capacity,
        5_000.0,
        9_000,
    );
    placer.picture.add("p2", load(60_000, 4, 60_000));
    let plan = place(&mut placer, &fleet(), &info);
    assert_eq!(plan.fetch, None);
}

#[test]
fn work_that_others_told_counts() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let told = Told {
        instance: "other".to_owned(),
        started: 1,
        sequence: 1,
        loads: vec![("p1".to_owned(), load(30_000, 3, 30_000))],
        uses: Vec::new(),
        placed: Placed::default(),
        changing: vec!["d1".to_owned()],
        observations: Vec::new(),
    };
    placer.hear(&told, |_| 0, 10_000);
    let plan = place(&mut placer, &fleet(), &info(0, 4_000));
    assert_eq!(plan.prefill.as_deref(), Some("p2"));
    assert_eq!(
        plan.decode, "d2",
        "an engine whose role is changing gets no work"
    );
    let old = Told {
        sequence: 0,
        loads: Vec::new(),
        ..told
    };
    placer.hear(&old, |_| 0, 10_000);
    assert_eq!(placer.picture.load("p1", 10_000).prompt, 30_000);
    // What was told long ago does not count.
    assert_eq!(placer.picture.load("p1", 20_000).prompt, 0);
}

#[test]
fn an_engine_that_is_to_change_its_role_serves_where_no_other_is_left() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let targets = fleet();
    placer.picture.set_changing(vec!["d1".to_owned()]);
    assert_eq!(place(&mut placer, &targets, &info(0, 500)).decode, "d2");
    let left = [targets[0].clone(), targets[2].clone()];
    assert_eq!(place(&mut placer, &left, &info(0, 500)).decode, "d1");
}

/// At a peak the queue is longer than callers wait: they are told at once, with a time.
#[test]
fn a_request_that_would_come_too_late_is_refused_at_once() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["p1", "p2", "d1", "d2"] {
        placer.picture.add(id, load(200_000, 9, 200_000));
    }
    let placement = placement(
        &mut placer,
        &fleet(),
        &info(0, 4_000),
        Duration::from_secs(2),
    );
    let Placement::Overloaded { excess } = placement else {
        panic!("{placement:?}");
    };
    assert!(excess > Duration::from_secs(1));
}

#[parameterized(
    nobody = { vec![], false },
    prefill_alone = { vec![engine("p1", Role::Prefill)], false },
    decode_alone = { vec![engine("d1", Role::Decode)], true },
)]
fn a_request_needs_an_engine_that_generates(targets: Vec<Target>, runs: bool) {
    let mut placer = Placer::new("a".to_owned(), 1);
    let placement = placement(&mut placer, &targets, &info(0, 500), Duration::from_secs(6));
    assert_eq!(matches!(placement, Placement::Run(_)), runs);
}

#[test]
fn a_failing_service_target_is_left_alone_while_another_works() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let targets = [engine("s1", Role::Mixed), engine("s2", Role::Mixed)];
    let targets: Vec<&Target> = targets.iter().collect();
    placer.failed("s1", 10_000);
    for _ in 0..20 {
        assert_eq!(placer.plain(&targets, &[], 10_050).as_deref(), Some("s2"));
    }
    let tried = ["s2".to_owned()];
    assert_eq!(
        placer.plain(&targets, &tried, 10_050).as_deref(),
        Some("s1")
    );
}

#[test]
fn the_least_recently_used_parts_are_forgotten_first() {
    let mut cache = CacheBelief::default();
    let part = |id| PromptPart { id, tokens: 300 };
    cache.used(&[part(1), part(2)], 800, 10, 10);
    cache.used(&[part(1)], 800, 20, 20);
    cache.used(&[part(3)], 800, 30, 30);
    assert_eq!(cache.cached(&[part(1), part(2)]), 300);
    assert_eq!(cache.cached(&[part(3)]), 300);
    assert!(cache.total() <= 800);
}

#[test]
fn a_part_counts_only_behind_all_parts_before_it() {
    let mut cache = CacheBelief::default();
    let part = |id| PromptPart { id, tokens: 100 };
    cache.used(&[part(2)], 10_000, 10, 50);
    assert_eq!(cache.cached(&[part(1), part(2)]), 0);
    assert_eq!(cache.cached(&[part(2)]), 100);
    assert_eq!(cache.ready(&[part(2)], 40), 0);
    assert_eq!(cache.ready(&[part(2)], 50), 100);
}

#[test]
fn a_computed_prompt_goes_to_a_tried_engine_rather_than_to_none() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let (targets, info, measures) = (fleet(), info(300, 1_000), measures());
    let targets: Vec<&Target> = targets.iter().collect();
    let tried = ["d1".to_owned(), "d2".to_owned()];
    let wanted = Wanted {
        info: &info,
        engine: &measures,
        max_pause: None,
        latency_objective: Duration::from_millis(600),
        left: Duration::from_secs(6),
        split: true,
        tried: &tried,
    };
    assert!(matches!(
        placer.decode(&targets, &wanted, 0),
        Placement::Run(_)
    ));
    let fresh = Wanted {
        tried: &tried[..1],
        ..wanted
    };
    match placer.decode(&targets, &fresh, 0) {
        Placement::Run(plan) => assert_eq!(plan.decode, "d2"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn uses_beyond_one_message_go_with_the_next() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for _ in 0..5 {
        placer.keeps("p1", &info(300, 1_000).parts, 490_000, 0.0, 0);
    }
    assert_eq!(placer.take_untold(3).len(), 3);
    assert_eq!(placer.take_untold(3).len(), 2);
    assert!(placer.take_untold(3).is_empty());
}

/// Returns what an instance tells of failures of the first engine that computes prompts.
fn failing(instance: &str) -> Told {
    Told {
        instance: instance.to_owned(),
        started: 1,
        sequence: 1,
        loads: Vec::new(),
        uses: Vec::new(),
        placed: Placed::default(),
        changing: Vec::new(),
        observations: vec![Observation {
            target: "p1".to_owned(),
            started_at: None,
            observed: Observed::Failed,
        }],
    }
}

/// An engine that fails two other instances is left alone before it fails this one.
#[test]
fn an_engine_that_fails_others_is_left_alone() {
    let mut placer = Placer::new("a".to_owned(), 1);
    placer.picture.add("p2", load(9_000, 1, 9_000));
    let info = info(0, 4_000);
    let chosen = |placer: &mut Placer| place(placer, &fleet(), &info).prefill;
    placer.hear(&failing("b"), |_| 0, 9_950);
    assert_eq!(chosen(&mut placer).as_deref(), Some("p1"));
    placer.hear(&failing("c"), |_| 0, 9_950);
    assert_eq!(chosen(&mut placer).as_deref(), Some("p2"));
}

#[test]
fn a_failure_is_told_once_a_second() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for now in [0, 400, 900, 1_100] {
        placer.failed("p1", now);
    }
    assert_eq!(placer.observations.take(9).len(), 2);
    assert!(placer.observations.take(9).is_empty());
}

/// An engine that rejects at once looks idle: it must not draw all work.
#[test]
fn an_engine_that_rejects_again_and_again_is_left_alone() {
    let mut placer = Placer::new("a".to_owned(), 1);
    placer.picture.add("p2", load(9_000, 1, 9_000));
    let info = info(0, 4_000);
    let chosen = |placer: &mut Placer| place(placer, &fleet(), &info).prefill;
    placer.rejected("p1", 9_900);
    assert_eq!(chosen(&mut placer).as_deref(), Some("p1"));
    placer.answered("p1", 1.0, 1.0, 9_910);
    placer.rejected("p1", 9_920);
    assert_eq!(chosen(&mut placer).as_deref(), Some("p1"));
    placer.rejected("p1", 9_930);
    assert_eq!(chosen(&mut placer).as_deref(), Some("p2"));
}

/// A prompt that is on time at an engine that computes prompts does not hold up streams, even where an
/// idle engine that generates would begin sooner.
#[test]
fn a_prompt_that_is_on_time_elsewhere_goes_there() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["p1", "p2"] {
        placer.picture.add(id, load(9_000, 1, 9_000));
    }
    let plan = place(&mut placer, &fleet(), &info(0, 1_100));
    assert!(plan.prefill.is_some());
    for id in ["p1", "p2"] {
        placer.picture.add(id, load(40_000, 4, 40_000));
    }
    let plan = place(&mut placer, &fleet(), &info(0, 1_100));
    assert!(plan.prefill.is_none());
}
