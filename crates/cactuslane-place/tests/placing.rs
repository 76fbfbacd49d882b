//! The choice of engines under loads that the platform brings.

use std::time::Duration;

use cactuslane_flight::ask::{Ask, Part};
use cactuslane_flight::document::Engine;
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_place::load_view::PeerUpdate;
use cactuslane_place::{
    CacheEstimate, Load, Observation, Observed, PlacedWork, Placement, PlacementRequest, Placer,
    Plan,
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
        born: None,
        models: Vec::new(),
    }
}

/// The measures of the engines.
fn measures() -> Engine {
    Engine {
        slots: 64,
        memory: 490_000,
        token_bytes: 163_840.0,
        link_mbps: 1_700_000.0,
        handle_ttl: Duration::from_secs(5),
    }
}

/// Creates a request with a shared part and one of its own.
fn ask(shared: u32, own: u32) -> Ask {
    Ask {
        id: "r".to_owned(),
        prompt: shared + own,
        output: 80,
        parts: vec![
            Part {
                id: 1,
                tokens: shared,
            },
            Part { id: 2, tokens: own },
        ],
        ..Ask::default()
    }
}

/// Places a request, or panics where it is refused.
fn place(placer: &mut Placer, targets: &[Target], ask: &Ask) -> Plan {
    match placement(placer, targets, ask, Duration::from_secs(6)) {
        Placement::Run(plan) => plan,
        refused => panic!("{refused:?}"),
    }
}

/// Places a request with a time that is left.
fn placement(placer: &mut Placer, targets: &[Target], ask: &Ask, left: Duration) -> Placement {
    let targets: Vec<&Target> = targets.iter().collect();
    let measures = measures();
    let request = PlacementRequest {
        ask,
        engine: &measures,
        pause: Some(Duration::from_millis(150)),
        objective: Duration::from_millis(600),
        left,
        split: true,
        tried: &[],
    };
    placer.place_generation(&targets, &request, 10_000)
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
fn load(prompt_tokens: u32, running: u32, kv_tokens: u32) -> Load {
    Load {
        prompt_tokens,
        running,
        kv_tokens,
    }
}

#[test]
fn a_long_prompt_is_computed_apart_from_streams() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["d1", "d2"] {
        placer.load_view.add(id, load(0, 10, 80_000));
    }
    let plan = place(&mut placer, &fleet(), &ask(13_000, 4_000));
    assert!(plan.prefill.is_some());
    assert_eq!(plan.uncached, 17_000);
}

#[test]
fn a_prompt_goes_to_the_engine_that_keeps_its_parts() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let ask = ask(13_000, 4_000);
    placer.record_cached("p2", ask.shared(), measures().memory, 0.0, 9_000);
    let plan = place(&mut placer, &fleet(), &ask);
    assert_eq!(plan.prefill.as_deref(), Some("p2"));
    assert_eq!((plan.uncached, plan.fetch), (4_000, None));
}

#[test]
fn parts_are_fetched_where_their_engine_is_busy() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let ask = ask(13_000, 4_000);
    placer.record_cached("p2", ask.shared(), measures().memory, 0.0, 9_000);
    placer.load_view.add("p2", load(40_000, 4, 40_000));
    let plan = place(&mut placer, &fleet(), &ask);
    assert_eq!(plan.prefill.as_deref(), Some("p1"));
    assert_eq!((plan.uncached, plan.fetch.as_deref()), (4_000, Some("p2")));
}

#[test]
fn parts_that_are_not_computed_yet_are_not_fetched() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let ask = ask(13_000, 4_000);
    placer.record_cached("p2", ask.shared(), measures().memory, 5_000.0, 9_000);
    placer.load_view.add("p2", load(60_000, 4, 60_000));
    let plan = place(&mut placer, &fleet(), &ask);
    assert_eq!(plan.fetch, None);
}

#[test]
fn work_that_others_told_counts() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let update = PeerUpdate {
        instance: "other".to_owned(),
        started: 1,
        sequence: 1,
        loads: vec![("p1".to_owned(), load(30_000, 3, 30_000))],
        cache_updates: Vec::new(),
        placed: PlacedWork::default(),
        changing: vec!["d1".to_owned()],
        observations: Vec::new(),
    };
    placer.apply_update(&update, |_| 0, 10_000);
    let plan = place(&mut placer, &fleet(), &ask(0, 4_000));
    assert_eq!(plan.prefill.as_deref(), Some("p2"));
    assert_eq!(
        plan.decode, "d2",
        "an engine whose role is changing gets no work"
    );
    let old = PeerUpdate {
        sequence: 0,
        loads: Vec::new(),
        ..update
    };
    placer.apply_update(&old, |_| 0, 10_000);
    assert_eq!(placer.load_view.load("p1", 10_000).prompt_tokens, 30_000);
    // What was told long ago does not count.
    assert_eq!(placer.load_view.load("p1", 20_000).prompt_tokens, 0);
}

#[test]
fn an_engine_that_is_to_change_its_role_serves_where_no_other_is_left() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let targets = fleet();
    placer.load_view.set_changing(vec!["d1".to_owned()]);
    assert_eq!(place(&mut placer, &targets, &ask(0, 500)).decode, "d2");
    let left = [targets[0].clone(), targets[2].clone()];
    assert_eq!(place(&mut placer, &left, &ask(0, 500)).decode, "d1");
}

/// At a peak the queue is longer than callers wait: they are told at once, with a time.
#[test]
fn a_request_that_would_come_too_late_is_refused_at_once() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["p1", "p2", "d1", "d2"] {
        placer.load_view.add(id, load(200_000, 9, 200_000));
    }
    let placement = placement(
        &mut placer,
        &fleet(),
        &ask(0, 4_000),
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
    let placement = placement(&mut placer, &targets, &ask(0, 500), Duration::from_secs(6));
    assert_eq!(matches!(placement, Placement::Run(_)), runs);
}

#[test]
fn a_failing_service_target_is_left_alone_while_another_works() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let targets = [engine("s1", Role::Mixed), engine("s2", Role::Mixed)];
    let targets: Vec<&Target> = targets.iter().collect();
    placer.failed("s1", 10_000);
    for _ in 0..20 {
        assert_eq!(
            placer.place_plain(&targets, &[], 10_050).as_deref(),
            Some("s2")
        );
    }
    let tried = ["s2".to_owned()];
    assert_eq!(
        placer.place_plain(&targets, &tried, 10_050).as_deref(),
        Some("s1")
    );
}

#[test]
fn the_least_recently_used_parts_are_forgotten_first() {
    let mut cache = CacheEstimate::default();
    let part = |id| Part { id, tokens: 300 };
    cache.record_use(&[part(1), part(2)], 800, 10, 10);
    cache.record_use(&[part(1)], 800, 20, 20);
    cache.record_use(&[part(3)], 800, 30, 30);
    assert_eq!(cache.cached(&[part(1), part(2)]), 300);
    assert_eq!(cache.cached(&[part(3)]), 300);
    assert!(cache.total() <= 800);
}

#[test]
fn a_part_counts_only_behind_all_parts_before_it() {
    let mut cache = CacheEstimate::default();
    let part = |id| Part { id, tokens: 100 };
    cache.record_use(&[part(2)], 10_000, 10, 50);
    assert_eq!(cache.cached(&[part(1), part(2)]), 0);
    assert_eq!(cache.cached(&[part(2)]), 100);
    assert_eq!(cache.fetchable(&[part(2)], 40), 0);
    assert_eq!(cache.fetchable(&[part(2)], 50), 100);
}

#[test]
fn a_computed_prompt_goes_to_a_tried_engine_rather_than_to_none() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let (targets, ask, measures) = (fleet(), ask(300, 1_000), measures());
    let targets: Vec<&Target> = targets.iter().collect();
    let tried = ["d1".to_owned(), "d2".to_owned()];
    let request = PlacementRequest {
        ask: &ask,
        engine: &measures,
        pause: None,
        objective: Duration::from_millis(600),
        left: Duration::from_secs(6),
        split: true,
        tried: &tried,
    };
    assert!(matches!(
        placer.place_decode(&targets, &request, 0),
        Placement::Run(_)
    ));
    let fresh = PlacementRequest {
        tried: &tried[..1],
        ..request
    };
    match placer.place_decode(&targets, &fresh, 0) {
        Placement::Run(plan) => assert_eq!(plan.decode, "d2"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn uses_beyond_one_message_go_with_the_next() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for _ in 0..5 {
        placer.record_cached("p1", &ask(300, 1_000).parts, 490_000, 0.0, 0);
    }
    assert_eq!(placer.take_cache_updates(3).len(), 3);
    assert_eq!(placer.take_cache_updates(3).len(), 2);
    assert!(placer.take_cache_updates(3).is_empty());
}

/// Returns what an instance tells of failures of the first engine that computes prompts.
fn failing(instance: &str) -> PeerUpdate {
    PeerUpdate {
        instance: instance.to_owned(),
        started: 1,
        sequence: 1,
        loads: Vec::new(),
        cache_updates: Vec::new(),
        placed: PlacedWork::default(),
        changing: Vec::new(),
        observations: vec![Observation {
            target: "p1".to_owned(),
            born: None,
            observed: Observed::Failed,
        }],
    }
}

/// An engine that fails two other instances is left alone before it fails this one.
#[test]
fn an_engine_that_fails_others_is_left_alone() {
    let mut placer = Placer::new("a".to_owned(), 1);
    placer.load_view.add("p2", load(9_000, 1, 9_000));
    let ask = ask(0, 4_000);
    let chosen = |placer: &mut Placer| place(placer, &fleet(), &ask).prefill;
    placer.apply_update(&failing("b"), |_| 0, 9_950);
    assert_eq!(chosen(&mut placer).as_deref(), Some("p1"));
    placer.apply_update(&failing("c"), |_| 0, 9_950);
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
    placer.load_view.add("p2", load(9_000, 1, 9_000));
    let ask = ask(0, 4_000);
    let chosen = |placer: &mut Placer| place(placer, &fleet(), &ask).prefill;
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
        placer.load_view.add(id, load(9_000, 1, 9_000));
    }
    let plan = place(&mut placer, &fleet(), &ask(0, 1_100));
    assert!(plan.prefill.is_some());
    for id in ["p1", "p2"] {
        placer.load_view.add(id, load(40_000, 4, 40_000));
    }
    let plan = place(&mut placer, &fleet(), &ask(0, 1_100));
    assert!(plan.prefill.is_none());
}
