//! Tests of target selection, admission, limits, fair queuing and retry budgets.

use std::time::Duration;

use cactuslane_route::fleet_view::WorkInProgress;
use cactuslane_route::limits::Demand;
use cactuslane_route::{
    CallerLimit, CallerLimits, CallerShares, Decision, FairQueue, LimitError, Load,
    OutputEstimator, Plan, RetryBudget, RouteRequest, Router, TargetFacts, Work, subset,
};
use cactuslane_types::Role;
use yare::parameterized;

/// Name of the model that all engines serve.
const MODEL: &str = "m";

/// Returns a router with mixed engines in three failure domains, reported idle at time 0.
fn router(engines: usize) -> Router {
    let mut router = Router::new(1);
    for index in 0..engines {
        set(&mut router, index, Role::Mixed, true);
        let load = Load {
            free: 2_000,
            ..Load::default()
        };
        router.fleet.report(&name(index), load, 0);
    }
    router
}

/// Sets the facts of an engine; its index selects its failure domain.
fn set(router: &mut Router, index: usize, role: Role, serving: bool) {
    let facts = TargetFacts {
        domain: format!("domain-{}", index % 3),
        service: MODEL.to_owned(),
        role,
        serving,
    };
    router.fleet.set(&name(index), facts);
}

/// Returns the name of an engine, which sorts by index.
fn name(index: usize) -> String {
    format!("engine-{index:04}")
}

/// Returns a request with a prompt of `prompt` tokens.
fn request(prompt: u32) -> RouteRequest {
    RouteRequest {
        service: MODEL.to_owned(),
        domain: "domain-0".to_owned(),
        prompt,
        output: 100,
        ttft_bound: 1_500.0,
        itl_bound: 60.0,
        bound_factor: 1.0,
        ..RouteRequest::default()
    }
}

/// Returns the target that generates the output.
fn target(decision: &Decision) -> &str {
    match decision {
        Decision::Run(choice) => match &choice.plan {
            Plan::Whole(target) => target,
            Plan::Split { decode, .. } => decode,
        },
        other => panic!("{other:?}"),
    }
}

/// Dispatches since the last report count, so that an instance does not send all to one engine.
#[test]
fn own_dispatches_spread_between_reports() {
    let mut router = router(6);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..6 {
        let decision = router.decide(&request(4_000), 0.0, 1);
        let id = target(&decision).to_owned();
        let work = Work {
            prefill: 4_000,
            context: 4_000,
            blocks: 70,
            decodes: true,
        };
        router.fleet.sent(&id, work, 300.0, 1);
        used.insert(id);
    }
    assert_eq!(used.len(), 6);
}

/// The work in progress of other instances counts once all of them have reported it.
#[test]
fn engines_busy_with_the_work_of_peers_are_avoided() {
    let mut router = router(3);
    router.fleet.instances = 2;
    let busy = WorkInProgress {
        queued: 20_000,
        running: 5,
        context: 9_000,
        blocks: 400,
    };
    router
        .fleet
        .record_peer_work("other", &[(name(0), busy), (name(2), busy)], 10);
    for _ in 0..20 {
        assert_eq!(target(&router.decide(&request(1_000), 0.0, 11)), name(1));
    }
}

/// A target that leaves, is drained or does not serve for another reason gets no requests.
#[test]
fn only_serving_targets_are_used() {
    let mut router = router(2);
    set(&mut router, 0, Role::Mixed, false);
    for _ in 0..50 {
        assert_eq!(target(&router.decide(&request(100), 0.0, 1)), name(1));
    }
    set(&mut router, 1, Role::Mixed, false);
    assert_eq!(router.decide(&request(100), 0.0, 1), Decision::NoTarget);
}

/// A report measured before the last one is ignored, although it arrives later.
#[test]
fn old_reports_are_dropped() {
    let mut router = router(2);
    let busy = Load {
        queued: 50_000,
        free: 2_000,
        ..Load::default()
    };
    router.fleet.report(&name(0), busy, 1_000);
    router.fleet.report(
        &name(0),
        Load {
            free: 2_000,
            ..Load::default()
        },
        500,
    );
    for _ in 0..20 {
        assert_eq!(target(&router.decide(&request(100), 0.0, 1_000)), name(1));
    }
}

/// A request that no target can serve within its bound is refused at once with a retry time.
#[parameterized(
    idle = { 0, 1.0, true },
    some = { 8_000, 1.0, true },
    full = { 40_000, 1.0, false },
    above_its_share = { 15_000, 0.45, false },
)]
fn requests_beyond_their_bound_are_refused(queued: u64, bound_factor: f64, runs: bool) {
    let mut router = router(3);
    for index in 0..3 {
        let load = Load {
            queued,
            free: 2_000,
            ..Load::default()
        };
        router.fleet.report(&name(index), load, 0);
    }
    let request = RouteRequest {
        bound_factor,
        ..request(500)
    };
    match router.decide(&request, 0.0, 0) {
        Decision::Run(_) => assert!(runs),
        Decision::Refuse(wait) => {
            assert!(!runs);
            assert!(wait >= Duration::from_millis(500) && wait <= Duration::from_secs(10));
        }
        other => panic!("{other:?}"),
    }
}

/// The engine that has the prompt's prefix cached is preferred unless it is much busier.
#[parameterized(
    idle = { 0, true },
    busy = { 60_000, false },
)]
fn a_cached_prefix_is_used(queued: u64, used: bool) {
    let mut router = router(4);
    let block_hashes: Vec<u64> = (0..100).collect();
    router.prefixes.stored(&name(2), &block_hashes, 0);
    let load = Load {
        queued,
        free: 2_000,
        ..Load::default()
    };
    router.fleet.report(&name(2), load, 0);
    let request = RouteRequest {
        block_hashes,
        ..request(6_500)
    };
    for _ in 0..20 {
        assert_eq!(target(&router.decide(&request, 0.0, 1)) == name(2), used);
    }
}

/// Evicted prefixes, and those of a target whose cache events have a gap, are not counted.
#[test]
fn removed_prefixes_are_not_counted() {
    let mut router = router(1);
    router.prefixes.stored(&name(0), &[1, 2, 3], 0);
    assert_eq!(
        router.prefixes.hits(&[1, 2, 3], 1).get(name(0).as_str()),
        Some(&3)
    );
    router.prefixes.removed(&name(0), &[2]);
    assert_eq!(
        router.prefixes.hits(&[1, 2, 3], 1).get(name(0).as_str()),
        Some(&1)
    );
    router.prefixes.forget(&name(0));
    assert!(router.prefixes.hits(&[1, 2, 3], 1).is_empty());
}

/// A failing target is paused, then probed with one request, then used normally again.
#[test]
fn a_failing_target_is_paused_and_probed() {
    let mut router = router(1);
    let work = Work::default();
    let first = router.fleet.sent(&name(0), work, 10.0, 0);
    router.fleet.failed(first, 0);
    assert_eq!(router.decide(&request(10), 0.0, 100), Decision::NoTarget);
    assert_eq!(target(&router.decide(&request(10), 0.0, 300)), name(0));
    let probe = router.fleet.sent(&name(0), work, 10.0, 300);
    assert_eq!(router.decide(&request(10), 0.0, 301), Decision::NoTarget);
    router.fleet.first_token(probe, 310);
    router.fleet.done(probe);
    assert_eq!(target(&router.decide(&request(10), 0.0, 311)), name(0));
}

/// A target that answers, but slowly, is detected from its latencies and avoided.
#[test]
fn a_slow_target_is_avoided() {
    let mut router = router(3);
    for turn in 0..30 {
        let now = turn * 100;
        for index in 0..3 {
            let id = router.fleet.sent(&name(index), Work::default(), 50.0, now);
            let time = if index == 0 { 400 } else { 50 };
            router.fleet.first_token(id, now + time);
            router.fleet.done(id);
        }
    }
    for _ in 0..20 {
        assert_ne!(target(&router.decide(&request(500), 0.0, 3_100)), name(0));
    }
}

/// A retry prefers another failure domain than that of the failed attempt.
#[test]
fn a_retry_leaves_the_failure_domain() {
    let mut router = router(6);
    let request = RouteRequest {
        tried: vec![name(0)],
        ..request(100)
    };
    for _ in 0..50 {
        let decision = router.decide(&request, 0.0, 1);
        let chosen = target(&decision);
        assert!(chosen != name(0) && chosen != name(3), "{chosen}");
    }
}

/// A prefill engine computes the prompt for a busy mixed or decode engine.
#[parameterized(
    prefill_and_mixed = { Role::Prefill, Role::Mixed },
    prefill_and_decode = { Role::Prefill, Role::Decode },
)]
fn work_is_split_between_roles(first: Role, second: Role) {
    let mut router = router(2);
    router.speed.mixing = 3.0;
    set(&mut router, 0, first, true);
    set(&mut router, 1, second, true);
    let busy = Load {
        running: 60,
        context: 60_000,
        free: 1_000,
        ..Load::default()
    };
    router.fleet.report(&name(1), busy, 1);
    let Decision::Run(choice) = router.decide(&request(6_000), 0.0, 2) else {
        panic!("the request was not admitted")
    };
    let expected = Plan::Split {
        prefill: name(0),
        decode: name(1),
    };
    assert_eq!(choice.plan, expected);
}

/// Even if every attempt fails, retries stay within 10 % of first attempts plus a constant.
#[test]
fn retries_stay_within_their_budget() {
    let mut budget = RetryBudget::new(0.1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.attempted();
        retries += u32::from(budget.take());
    }
    assert!(retries <= 106, "{retries}");
}

/// A caller without competition keeps its full bound; one above its fair share gets a smaller one.
#[test]
fn a_large_share_shrinks_the_bound() {
    let mut shares = CallerShares::default();
    for turn in 0..100 {
        shares.admitted("wild", 1_000.0, 1.0, turn * 10);
    }
    assert!((shares.bound_factor("wild", 1_000) - 1.0).abs() < 1e-9);
    shares.admitted("quiet", 1_000.0, 1.0, 1_000);
    assert!(shares.bound_factor("wild", 1_000) < 0.5);
    assert!((shares.bound_factor("quiet", 1_000) - 1.0).abs() < 1e-9);
    assert!((shares.bound_factor("new", 1_000) - 1.0).abs() < 1e-9);
}

/// Callers of equal weight are served in turn, however many requests one of them has waiting.
#[test]
fn the_queue_is_fair() {
    let mut queue = FairQueue::default();
    let mut owners = std::collections::BTreeMap::new();
    for _ in 0..100 {
        owners.insert(queue.push("wild", 1, 10.0, 1.0), "wild");
    }
    for _ in 0..10 {
        owners.insert(queue.push("quiet", 1, 10.0, 1.0), "quiet");
    }
    let mut quiet = 0;
    for _ in 0..20 {
        let ticket = queue.first().expect("requests are waiting");
        quiet += usize::from(owners[&ticket] == "quiet");
        queue.remove(ticket, true);
    }
    assert!(quiet >= 9, "{quiet}");
}

/// A limit holds over the whole fleet, within the bursts, if demands are exchanged each second.
#[parameterized(
    even = { &[1.0, 1.0, 1.0, 1.0] },
    uneven = { &[10.0, 1.0, 1.0, 1.0] },
    one = { &[1.0, 0.0, 0.0, 0.0] },
)]
fn a_limit_holds_over_the_fleet(weights: &[f64]) {
    /// Duration of the run, in milliseconds; the first 10 s are not measured.
    const TIME: u64 = 60_000;
    /// Offered requests per second over all instances, four times the limit.
    const OFFERED: f64 = 400.0;
    let limit = CallerLimit {
        rate: 100.0,
        tokens: 1e9,
        concurrency: 1_000_000,
    };
    let sum: f64 = weights.iter().sum();
    let mut instances: Vec<CallerLimits> =
        weights.iter().map(|_| CallerLimits::default()).collect();
    let mut due = vec![0.0; weights.len()];
    let mut admitted = 0_u32;
    for now in 0..TIME {
        for (index, instance) in instances.iter_mut().enumerate() {
            due[index] += OFFERED * weights[index] / sum / 1_000.0;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                if instance.admit("desk", &limit, 1.0, now).is_ok() {
                    instance.finish("desk", 0.0);
                    admitted += u32::from(now >= 10_000);
                }
            }
        }
        if now % 1_000 == 0 {
            exchange_demands(&mut instances, now);
        }
    }
    let rate = f64::from(admitted) / ((TIME - 10_000) as f64 / 1_000.0);
    assert!((90.0..=115.0).contains(&rate), "{rate}");
}

/// Records the demand of the caller `desk` at each instance with all others.
fn exchange_demands(instances: &mut [CallerLimits], now: u64) {
    let demands: Vec<Option<Demand>> = instances
        .iter()
        .map(|instance| instance.demands(now).get("desk").copied())
        .collect();
    for (index, instance) in instances.iter_mut().enumerate() {
        for (other, demand) in demands.iter().enumerate() {
            if let Some(demand) = demand.filter(|_| other != index) {
                instance.record_demand(&format!("entry-{other}"), "desk", demand, now);
            }
        }
    }
}

/// Each limit refuses with its own error, and a finished request no longer counts as in progress.
#[test]
fn each_limit_refuses() {
    let limit = CallerLimit {
        rate: 2.0,
        tokens: 1_000.0,
        concurrency: 1,
    };
    let mut limits = CallerLimits::default();
    assert!(limits.admit("a", &limit, 10.0, 0).is_ok());
    assert!(matches!(
        limits.admit("a", &limit, 10.0, 1_000),
        Err(LimitError::Concurrency(_))
    ));
    limits.finish("a", 0.0);
    assert!(limits.admit("a", &limit, 5_000.0, 2_000).is_ok());
    limits.finish("a", 0.0);
    assert!(matches!(
        limits.admit("a", &limit, 10.0, 2_500),
        Err(LimitError::Tokens(_))
    ));
    let mut limits = CallerLimits::default();
    for _ in 0..10 {
        let _ = limits.admit("a", &limit, 0.0, 0);
        limits.finish("a", 0.0);
    }
    assert!(matches!(
        limits.admit("a", &limit, 0.0, 0),
        Err(LimitError::Rate(_))
    ));
}

/// The reserved output follows the observed lengths with a margin; without any, it is the limit.
#[test]
fn reserved_output_follows_observed_lengths() {
    let mut estimator = OutputEstimator::default();
    assert_eq!(estimator.reserve("k", 800), 800);
    for turn in 0..400 {
        estimator.record("k", if turn % 2 == 0 { 90 } else { 110 }, 1_000);
    }
    let reserved = estimator.reserve("k", 1_000);
    assert!((100..200).contains(&reserved), "{reserved}");
}

/// Subsets cover all targets about evenly, and one more target changes few of them.
#[test]
fn subsets_are_even_and_stable() {
    let targets: Vec<String> = (0..125).map(name).collect();
    let mut uses = std::collections::BTreeMap::new();
    let mut moved = 0;
    for instance in 0..80 {
        let instance = format!("entry-{instance}");
        let chosen = subset::choose(&instance, &targets, subset::SUBSET_SIZE);
        let fewer = subset::choose(&instance, &targets[1..], subset::SUBSET_SIZE);
        moved += chosen.iter().filter(|id| !fewer.contains(id)).count();
        for id in chosen {
            *uses.entry(id).or_insert(0_u32) += 1;
        }
    }
    assert_eq!(uses.len(), 125);
    let mean = 80.0 * 32.0 / 125.0;
    assert!(
        uses.values().all(|count| f64::from(*count) > mean / 3.0),
        "{uses:?}"
    );
    assert!(moved <= 40, "{moved}");
}

/// If reports are stale, the measured first-token times show it, and the estimate from own
/// dispatches is used instead; the mean error for admission is then that of the better estimate.
#[test]
fn stale_reports_are_replaced_by_own_dispatches() {
    let mut router = router(2);
    router.fleet.instances = 3;
    for turn in 1..200_u64 {
        let now = turn * 50;
        for index in 0..2 {
            // A report that is stale despite its new time: a long queue at an idle engine.
            let load = Load {
                queued: 9_000,
                free: 2_000,
                ..Load::default()
            };
            router.fleet.report(&name(index), load, now);
        }
        let Some(choice) = router.choose(&request(100), now) else {
            panic!("no engine was chosen")
        };
        let Plan::Whole(id) = &choice.plan else {
            panic!("a mixed engine was split")
        };
        let dispatch = router.fleet.sent(id, choice.work, choice.first_token, now);
        router.fleet.first_token(dispatch, now + 15);
        router.fleet.done(dispatch);
    }
    let choice = router
        .choose(&request(100), 10_000)
        .expect("an engine serves");
    assert!(choice.wait < 50.0, "{choice:?}");
    assert!(
        router.fleet.mean_error() < 50.0,
        "{}",
        router.fleet.mean_error()
    );
}
