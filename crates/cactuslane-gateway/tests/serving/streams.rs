//! Requests that are answered by event streams.

use std::time::Duration;

use cactuslane_gateway::GatewayHandle;
use cactuslane_place::Load;
use cactuslane_platform_standin::{Fault, Mode, Target, TargetKind, target};
use hyper::HeaderMap;
use hyper::body::Bytes;
use yare::parameterized;

use crate::deployment::{all_events, deploy, run_test, start_fleet, wait_until};

#[test]
fn a_stream_arrives_complete_and_the_request_body_unchanged() {
    run_test(async {
        let deployment = deploy().await;
        let answer = deployment.ask("/summary/7", "r1").await;
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(answer.body, all_events());
        assert_eq!(deployment.runs("r1"), 1);
        let bodies: Vec<Bytes> = deployment.engines.iter().flat_map(Target::bodies).collect();
        assert_eq!(bodies, [Bytes::from_static(b"a body")]);
    });
}

#[parameterized(
    within_an_event = { Fault::Break(3) },
    before_any_event = { Fault::Break(0) },
    silent = { Fault::Mute(2) },
    bytes_without_an_event = { Fault::Dribble(2) },
)]
fn a_resumable_stream_is_resumed_once(fault: Fault) {
    run_test(async {
        let deployment = deploy().await;
        // The resumed stream fails as well, and the route allows two attempts only.
        deployment.inject_fault(&deployment.engines, fault);
        let answer = deployment.ask("/summary/7", "r1").await;
        assert_eq!(deployment.runs("r1"), 2);
        assert!(all_events().starts_with(&answer.body), "{}", answer.body);
        let again = deployment.ask("/summary/7", "r2").await;
        assert_eq!((again.complete, again.body), (true, all_events()));
    });
}

#[test]
fn a_resumed_stream_is_complete() {
    run_test(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.engines);
        deployment.inject_fault(&deployment.engines[..1], Fault::Break(3));
        let answer = deployment.ask("/summary/7", "r1").await;
        assert_eq!((answer.complete, answer.body), (true, all_events()));
        assert_eq!(deployment.engines[0].runs("r1"), 1);
        assert_eq!(deployment.engines[1].runs("r1"), 1);
    });
}

/// Guards against a prompt that is computed for another place in the stream than the run goes on at.
#[test]
fn a_prompt_that_is_computed_again_is_for_the_place_of_the_run() {
    run_test(async {
        let deployment = deploy().await;
        deployment.inject_fault(&deployment.engines, Fault::Break(3));
        deployment.ask("/summary/7", "r1").await;
        let headers = deployment.prefill.headers();
        let of_caller = headers.iter().filter(|sent| sent["x-request-id"] == "r1");
        let place = |sent: &HeaderMap| {
            let last = sent.get("last-event-id")?;
            last.to_str().ok().map(str::to_owned)
        };
        let places: Vec<Option<String>> = of_caller.map(place).collect();
        assert_eq!(places, [None, Some("3".to_owned())]);
    });
}

/// Guards against each instance learning by rejections of its own that an engine carries out an order
/// that no running instance has given.
#[test]
fn an_engine_that_carries_out_an_order_is_rejected_once_and_then_avoided_by_all() {
    run_test(async {
        let deployment = deploy().await;
        let others = start_fleet(&deployment).await;
        deployment.prefer_first(&deployment.engines);
        let engine = &deployment.engines[0];
        engine.set_busy(true);
        let answer = deployment.ask("/summary/7", "r1").await;
        assert_eq!((answer.status, answer.body), (200, all_events()));
        assert_eq!(deployment.engines[1].runs("r1"), 1);
        let avoids = |running: &GatewayHandle| running.gateway.target(&engine.id).is_none();
        wait_until(|| others.iter().all(avoids)).await;
        engine.set_busy(false);
        wait_until(|| !others.iter().any(avoids)).await;
    });
}

#[test]
fn a_stream_that_is_not_resumable_is_aborted() {
    run_test(async {
        let deployment = deploy().await;
        deployment.inject_fault(&deployment.engines, Fault::Break(2));
        let answer = deployment.ask("/report/7", "r1").await;
        assert!(!answer.complete, "{answer:?}");
        assert_eq!(answer.body, all_events()[..answer.body.len()]);
        assert_eq!(deployment.runs("r1"), 1);
    });
}

#[test]
fn a_silent_stream_is_awaited_when_no_attempt_is_left() {
    run_test(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.engines);
        deployment.inject_fault(&deployment.engines[..1], Fault::Break(0));
        deployment.inject_fault(&deployment.engines[1..], Fault::Slow(3_400));
        let answer = deployment.ask("/summary/7", "r1").await;
        assert_eq!((answer.complete, answer.body), (true, all_events()));
    });
}

#[test]
fn a_computed_prompt_is_used_at_another_engine_after_a_rejection() {
    run_test(async {
        let deployment = deploy().await;
        // With load on all decode engines the prompt is computed on the prefill engine.
        deployment.prefer_first(&deployment.engines);
        let streams = Load {
            running: 20,
            ..Load::default()
        };
        let first = &deployment.engines[0];
        deployment
            .running
            .gateway
            .placer()
            .load_view
            .add(&first.id, streams);
        deployment.inject_fault(&deployment.engines[..1], Fault::Reject);
        let answer = deployment.ask("/report/7", "r1").await;
        assert_eq!((answer.complete, answer.body), (true, all_events()));
        assert_eq!(deployment.prefill.prompts(), 1);
        assert_eq!(deployment.engines[1].runs("r1"), 1);
    });
}

#[test]
fn a_replaced_engine_fails_no_request_while_the_store_is_unavailable() {
    run_test(async {
        let deployment = deploy().await;
        let address = deployment.prefill.address;
        // The store lists an engine `i-old` at the address where `i-p1` answers.
        deployment.store.remove_target("i-p1");
        let kind = TargetKind::Prefill;
        target::register(&deployment.store, "i-old", kind, 1, address, "ready");
        let gateway = deployment.running.gateway.clone();
        wait_until(|| gateway.target("i-old").is_some()).await;
        deployment.store.set_mode(Mode::Busy);
        deployment.prefer_first(&deployment.engines);
        let streams = Load {
            running: 20,
            ..Load::default()
        };
        gateway.placer().load_view.add("i-d1", streams);
        for id in 0..3 {
            let answer = deployment.ask("/report/7", &format!("r{id}")).await;
            assert_eq!((answer.complete, answer.body), (true, all_events()));
        }
        assert!(gateway.target("i-old").is_none());
    });
}

/// Guards against prompts that are computed again beyond the retry budget.
#[test]
fn prompts_computed_again_count_in_the_retry_budget() {
    const REQUESTS: u32 = 40;
    const RATIO: f64 = 0.5;
    run_test(async {
        let deployment = deploy().await;
        let gateway = &deployment.running.gateway;
        let mut settings = (*gateway.settings()).clone();
        settings.retry_ratio = RATIO;
        settings.retry_slack = 0.0;
        settings.retry_window = Duration::from_mins(10);
        gateway.reload(settings);
        for _ in 0..REQUESTS {
            deployment.inject_fault(&deployment.engines, Fault::Break(3));
        }
        for number in 0..REQUESTS {
            deployment.ask("/summary/7", &format!("r{number}")).await;
        }
        let runs: u32 = deployment.engines.iter().map(Target::total_runs).sum();
        let prompts = deployment.prefill.prompts();
        // The first computation of a prompt and the first run of a request are no retries.
        let extra = runs.saturating_sub(REQUESTS) + prompts.saturating_sub(REQUESTS);
        let allowed = f64::from(REQUESTS) * RATIO;
        assert!(runs > REQUESTS, "{runs} runs");
        assert!(
            f64::from(extra) <= allowed,
            "{runs} runs, {prompts} prompts"
        );
    });
}
