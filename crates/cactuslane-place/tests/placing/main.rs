//! Choice of engines by load, prefix caches and failures, with capacities as on the platform's
//! stand-in.

mod limits;
mod plain;
mod preview;
mod speed;
mod spread;
mod versions;

use std::time::Duration;

use cactuslane_flight::request_info::{PromptPart, RequestInfo};
use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_place::cache::MAX_PARTS;
use cactuslane_place::load_view::PeerUpdate;
use cactuslane_place::{
    CacheEstimate, CrashUpdate, Load, Observation, Observed, PlacedWork, Placement,
    PlacementRequest, Placer, Plan,
};
use cactuslane_types::Role;
use yare::parameterized;

/// Creates an idle engine with a role, in failure domain `a`.
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
        version: Some("v1".to_owned()),
        reclaimable: false,
        leaves_in: None,
    }
}

/// Returns the capacities of the engines.
fn capacities() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_capacity: 490_000,
        token_bytes: 163_840.0,
        link_mbps: 1_700_000.0,
        handle_ttl: Duration::from_secs(5),
    }
}

/// Creates a request whose prompt has a shared part and an unshared one, with lengths in tokens.
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

/// Places a request with 6 s left, and panics if it is refused.
fn place(placer: &mut Placer, targets: &[Target], info: &RequestInfo) -> Plan {
    match placement(placer, targets, info, Duration::from_secs(6)) {
        Placement::Run(plan) => plan,
        refused => panic!("{refused:?}"),
    }
}

/// Places a request with an objective of 600 ms for the first event.
fn placement(
    placer: &mut Placer,
    targets: &[Target],
    info: &RequestInfo,
    left: Duration,
) -> Placement {
    let targets: Vec<&Target> = targets.iter().collect();
    let capacities = capacities();
    let request = PlacementRequest {
        info,
        engine: &capacities,
        max_pause: Some(Duration::from_millis(150)),
        latency_objective: Duration::from_millis(600),
        priority: 2,
        left,
        split: true,
        tried: &[],
    };
    placer.place_generation(&targets, &request, 10_000)
}

/// Creates two prefill engines and two decode engines.
fn fleet() -> Vec<Target> {
    vec![
        engine("p1", Role::Prefill),
        engine("p2", Role::Prefill),
        engine("d1", Role::Decode),
        engine("d2", Role::Decode),
    ]
}

/// Creates a load, with prompt and KV tokens.
fn load(prompt_tokens: u32, running: u32, kv_tokens: u32) -> Load {
    Load {
        prompt_tokens,
        running,
        kv_tokens,
    }
}

#[test]
fn a_long_prompt_is_computed_on_a_prefill_engine() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["d1", "d2"] {
        placer.load_view.add(id, load(0, 10, 80_000));
    }
    let plan = place(&mut placer, &fleet(), &info(13_000, 4_000));
    assert!(plan.prefill.is_some());
    assert_eq!(plan.uncached, 17_000);
}

#[test]
fn a_prompt_goes_to_the_engine_that_caches_its_parts() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let info = info(13_000, 4_000);
    placer.record_cached(
        "p2",
        info.shared_parts(),
        capacities().kv_capacity,
        0.0,
        9_000,
    );
    let plan = place(&mut placer, &fleet(), &info);
    assert_eq!(plan.prefill.as_deref(), Some("p2"));
    assert_eq!((plan.uncached, plan.fetch), (4_000, None));
}

#[test]
fn cached_parts_are_fetched_from_a_busy_engine() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let info = info(13_000, 4_000);
    placer.record_cached(
        "p2",
        info.shared_parts(),
        capacities().kv_capacity,
        0.0,
        9_000,
    );
    placer.load_view.add("p2", load(40_000, 4, 40_000));
    let plan = place(&mut placer, &fleet(), &info);
    assert_eq!(plan.prefill.as_deref(), Some("p1"));
    assert_eq!((plan.uncached, plan.fetch.as_deref()), (4_000, Some("p2")));
}

#[test]
fn parts_that_are_not_computed_yet_are_not_fetched() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let info = info(13_000, 4_000);
    placer.record_cached(
        "p2",
        info.shared_parts(),
        capacities().kv_capacity,
        5_000.0,
        9_000,
    );
    placer.load_view.add("p2", load(60_000, 4, 60_000));
    let plan = place(&mut placer, &fleet(), &info);
    assert_eq!(plan.fetch, None);
}

#[test]
fn the_load_of_other_instances_counts() {
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
        crashes: CrashUpdate::default(),
    };
    placer.apply_update(&update, |_| 0, 10_000);
    let plan = place(&mut placer, &fleet(), &info(0, 4_000));
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
    assert_eq!(placer.load_view.update_age(10_400), (1, 400));
    // An update that arrived 10 s ago no longer counts.
    assert_eq!(placer.load_view.update_age(20_000), (0, 0));
    assert_eq!(placer.load_view.load("p1", 20_000).prompt_tokens, 0);
}

#[test]
fn an_engine_whose_role_is_changing_serves_if_no_other_is_left() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let targets = fleet();
    placer.load_view.set_changing(vec!["d1".to_owned()]);
    assert_eq!(place(&mut placer, &targets, &info(0, 500)).decode, "d2");
    let left = [targets[0].clone(), targets[2].clone()];
    assert_eq!(place(&mut placer, &left, &info(0, 500)).decode, "d1");
}

/// Guards against queuing requests at a peak for longer than their callers wait: they are refused
/// immediately, with the time by which they would be late.
#[test]
fn a_request_that_would_be_late_is_refused_at_once() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["p1", "p2", "d1", "d2"] {
        placer.load_view.add(id, load(200_000, 9, 200_000));
    }
    let placement = placement(
        &mut placer,
        &fleet(),
        &info(0, 4_000),
        Duration::from_secs(2),
    );
    let Placement::Overloaded {
        excess, other_ms, ..
    } = placement
    else {
        panic!("{placement:?}");
    };
    assert!(excess > Duration::from_secs(1));
    assert!(other_ms.is_some_and(|other_ms| other_ms > 2_000.0));
}

#[parameterized(
    no_target = { vec![], false },
    prefill_alone = { vec![engine("p1", Role::Prefill)], false },
    decode_alone = { vec![engine("d1", Role::Decode)], true },
)]
fn a_request_needs_an_engine_that_generates(targets: Vec<Target>, runs: bool) {
    let mut placer = Placer::new("a".to_owned(), 1);
    let placement = placement(&mut placer, &targets, &info(0, 500), Duration::from_secs(6));
    assert_eq!(matches!(placement, Placement::Run(_)), runs);
}

#[test]
fn a_failing_service_target_is_avoided_while_another_works() {
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
fn the_least_recently_used_parts_are_evicted_first() {
    let mut cache = CacheEstimate::default();
    let part = |id| PromptPart { id, tokens: 300 };
    cache.record_use(&[part(1), part(2)], 800, 10, 10);
    cache.record_use(&[part(1)], 800, 20, 20);
    cache.record_use(&[part(3)], 800, 30, 30);
    assert_eq!(cache.cached(&[part(1), part(2)]), 300);
    assert_eq!(cache.cached(&[part(3)]), 300);
    assert!(cache.total() <= 800);
}

/// Guards against callers that fill the memory with prompts of very many short parts.
#[test]
fn an_estimate_keeps_a_bounded_number_of_short_parts() {
    let mut cache = CacheEstimate::default();
    let part = |id| PromptPart { id, tokens: 1 };
    for id in 0..3 * MAX_PARTS as u64 {
        cache.record_use(&[part(id)], 1 << 30, id, id);
        assert!(cache.total() <= MAX_PARTS as u64);
        assert_eq!(cache.cached(&[part(id)]), 1);
    }
    let listed: Vec<_> = (0..3 * MAX_PARTS as u64).map(part).collect();
    cache.reconcile(&listed, 0, 0);
    assert!(cache.total() <= MAX_PARTS as u64);
}

#[test]
fn a_cached_part_counts_only_if_all_parts_before_it_are_cached() {
    let mut cache = CacheEstimate::default();
    let part = |id| PromptPart { id, tokens: 100 };
    cache.record_use(&[part(2)], 10_000, 10, 50);
    assert_eq!(cache.cached(&[part(1), part(2)]), 0);
    assert_eq!(cache.cached(&[part(2)]), 100);
    assert_eq!(cache.fetchable(&[part(2)], 40), 0);
    assert_eq!(cache.fetchable(&[part(2)], 50), 100);
}

#[test]
fn a_computed_prompt_goes_to_a_tried_engine_if_no_other_is_left() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let (targets, info, capacities) = (fleet(), info(300, 1_000), capacities());
    let targets: Vec<&Target> = targets.iter().collect();
    let tried = ["d1".to_owned(), "d2".to_owned()];
    let request = PlacementRequest {
        info: &info,
        engine: &capacities,
        max_pause: None,
        latency_objective: Duration::from_millis(600),
        priority: 2,
        left: Duration::from_secs(6),
        split: true,
        tried: &tried,
    };
    assert!(matches!(
        placer.place_decode(&targets, &request, 0),
        Placement::Run(_)
    ));
    let one_tried = PlacementRequest {
        tried: &tried[..1],
        ..request
    };
    match placer.place_decode(&targets, &one_tried, 0) {
        Placement::Run(plan) => assert_eq!(plan.decode, "d2"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn cache_updates_beyond_the_limit_go_with_the_next_message() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for _ in 0..5 {
        placer.record_cached("p1", &info(300, 1_000).parts, 490_000, 0.0, 0);
    }
    assert_eq!(placer.take_cache_updates(3).len(), 3);
    assert_eq!(placer.take_cache_updates(3).len(), 2);
    assert!(placer.take_cache_updates(3).is_empty());
}

/// Returns an update in which an instance reports a failure of prefill engine `p1`.
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
            started_at: None,
            observed: Observed::Failed,
        }],
        crashes: CrashUpdate::default(),
    }
}

/// Guards against sending requests to an engine that has failed for two other instances, but not
/// for this one yet.
#[test]
fn an_engine_that_fails_for_two_other_instances_is_avoided() {
    let mut placer = Placer::new("a".to_owned(), 1);
    placer.load_view.add("p2", load(9_000, 1, 9_000));
    let info = info(0, 4_000);
    let chosen = |placer: &mut Placer| place(placer, &fleet(), &info).prefill;
    placer.apply_update(&failing("b"), |_| 0, 9_950);
    assert_eq!(chosen(&mut placer).as_deref(), Some("p1"));
    placer.apply_update(&failing("c"), |_| 0, 9_950);
    assert_eq!(chosen(&mut placer).as_deref(), Some("p2"));
}

#[test]
fn a_failure_is_reported_once_per_second() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for now in [0, 400, 900, 1_100] {
        placer.failed("p1", now);
    }
    assert_eq!(placer.observations.take(9).len(), 2);
    assert!(placer.observations.take(9).is_empty());
}

/// Guards against sending all work to an engine that looks idle because it rejects requests at
/// once.
#[test]
fn an_engine_that_rejects_twice_in_a_row_is_avoided() {
    let mut placer = Placer::new("a".to_owned(), 1);
    placer.load_view.add("p2", load(9_000, 1, 9_000));
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

/// Guards against delaying streams by a prompt that a prefill engine would compute in time, even
/// where an idle decode engine would begin sooner.
#[test]
fn a_prompt_goes_to_a_prefill_engine_that_is_on_time() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["p1", "p2"] {
        placer.load_view.add(id, load(9_000, 1, 9_000));
    }
    let plan = place(&mut placer, &fleet(), &info(0, 1_100));
    assert!(plan.prefill.is_some());
    for id in ["p1", "p2"] {
        placer.load_view.add(id, load(40_000, 4, 40_000));
    }
    let plan = place(&mut placer, &fleet(), &info(0, 1_100));
    assert!(plan.prefill.is_none());
}

/// Guards against an estimate of the time for a token by waits that differ between priorities.
#[test]
fn prompts_that_overtake_others_do_not_look_fast() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for number in 0..400 {
        // Short urgent prompts overtake the 40,000 tokens ahead, most long ones wait for these.
        let tokens = 500 + number % 10 * 200;
        let computing = f64::from(tokens) * 0.025;
        placer.speed.observe(0, tokens, 40_000, 50.0 + computing);
        let wait = f64::from(number % 5) * 200.0;
        placer
            .speed
            .observe(2, tokens * 10, 0, wait + 10.0 * computing);
    }
    let token_us = placer.speed.prefill_ms(1_000.0);
    assert!((24.0..26.0).contains(&token_us), "{token_us}");
    let fixed = [placer.speed.fixed_ms(0), placer.speed.fixed_ms(2)];
    assert!((-960.0..-920.0).contains(&fixed[0]), "{fixed:?}");
    assert!((300.0..500.0).contains(&fixed[1]), "{fixed:?}");
}

/// Guards against sending a long prompt to an engine that generates, where it takes twice as long
/// and stalls streams, as it misses its objective on a prefill engine as well.
#[test]
fn a_long_prompt_goes_to_the_prefill_engine_that_is_sooner() {
    let mut placer = Placer::new("a".to_owned(), 1);
    let plan = place(&mut placer, &fleet(), &info(0, 50_000));
    assert!(plan.prefill.is_some(), "{plan:?}");
    for id in ["p1", "p2"] {
        placer.load_view.add(id, load(100_000, 10, 100_000));
    }
    let plan = place(&mut placer, &fleet(), &info(0, 50_000));
    assert!(plan.prefill.is_none(), "{plan:?}");
}

/// Guards against stalling streams by prompts that a prefill engine would compute in time, though
/// later.
#[parameterized(
    one_long = { 0, 20_000 },
    several_short = { 10_000, 1_500 },
)]
fn prompts_that_stall_streams_go_to_a_prefill_engine_that_is_in_time(ahead: u32, tokens: u32) {
    let mut placer = Placer::new("a".to_owned(), 1);
    for id in ["p1", "p2"] {
        placer.load_view.add(id, load(40_000, 4, 40_000));
    }
    for id in ["d1", "d2"] {
        placer.load_view.add(id, load(ahead, 4, 40_000));
    }
    let plan = place(&mut placer, &fleet(), &info(0, tokens));
    assert!(plan.prefill.is_some(), "{plan:?}");
    for id in ["p1", "p2"] {
        placer.load_view.add(id, load(400_000, 40, 400_000));
    }
    let plan = place(&mut placer, &fleet(), &info(0, tokens));
    assert!(plan.prefill.is_none(), "{plan:?}");
}
