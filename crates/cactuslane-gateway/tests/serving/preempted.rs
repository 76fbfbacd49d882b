//! Streams that are silent for a while, or break off late.

use std::time::Duration;

use cactuslane_place::Load;
use cactuslane_platform_standin::{Fault, document};
use serde_json::json;
use tokio::time::sleep;
use yare::parameterized;

use crate::deployment::{Deployment, all_events, deploy, run_test, wait_until};

/// Time without an event after which the callers of [`deploy_patient`] are expected to disconnect.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Starts a deployment whose streams have a silence limit that is far shorter than their time-out.
async fn deploy_patient() -> Deployment {
    let deployment = deploy().await;
    let mut changed = document(4);
    for route in changed["routes"].as_array_mut().expect("a list") {
        route["target_latency_ms"] = json!(400);
        route["gap_aim_ms"] = json!(100);
        route["timeout_ms"] = json!(10_000);
    }
    deployment.store.configure(&changed);
    let gateway = deployment.running.gateway.clone();
    let config = || gateway.routing_config();
    wait_until(|| config().is_some_and(|config| config.version == 4)).await;
    let limit = |name| {
        let routes = config()?.routes.clone();
        let route = routes.into_iter().find(|route| route.name == name)?;
        Some(route.silence_limit)
    };
    assert_eq!(limit("summary"), Some(SILENCE_LIMIT));
    deployment
}

/// Guards against answers that are cut because their engine is silent and no other one has room.
#[test]
fn a_silent_stream_is_kept_while_no_engine_would_answer_in_time() {
    run_test(async {
        let deployment = deploy_patient().await;
        let queued = Load {
            prompt_tokens: 100_000_000,
            ..Load::default()
        };
        for target in [&deployment.prefill, &deployment.engines[1]] {
            let mut placer = deployment.running.gateway.placer();
            placer.load_view.add(&target.id, queued);
        }
        let pause = SILENCE_LIMIT.as_millis() as u64 * 9 / 10;
        deployment.inject_fault(&deployment.engines[..1], Fault::Pause(3, pause));
        let answer = deployment.ask("/summary/7", "r1").await;
        assert_eq!((answer.complete, answer.body), (true, all_events()));
        assert_eq!(deployment.runs("r1"), 1);
    });
}

/// Guards against answers that are cut because they began longer ago than callers wait for an event.
#[parameterized(broken = { false }, silent = { true })]
fn a_stream_that_is_older_than_the_silence_limit_is_resumed(mute: bool) {
    run_test(async {
        let deployment = deploy_patient().await;
        deployment.prefer_first(&deployment.engines);
        let interval = SILENCE_LIMIT.as_millis() as u64 * 2 / 5;
        let fault = Fault::Paced {
            interval,
            events: 3,
            mute,
        };
        deployment.inject_fault(&deployment.engines[..1], fault);
        let answer = deployment.ask("/summary/7", "r1").await;
        assert_eq!((answer.complete, answer.body), (true, all_events()));
        for engine in &deployment.engines {
            assert_eq!(engine.runs("r1"), 1);
        }
    });
}

/// Guards against a stream that is left to a silent process though the next one of its target serves.
#[test]
fn a_silent_stream_is_taken_up_by_the_next_process_of_its_target() {
    run_test(async {
        let deployment = deploy_patient().await;
        let (first, store) = (&deployment.engines[0], &deployment.store);
        deployment.prefer_first(&deployment.engines);
        deployment.inject_fault(&deployment.engines[..1], Fault::Mute(3));
        let restart = async {
            sleep(SILENCE_LIMIT / 4).await;
            deployment.engines[1].register(store, "draining");
            first.replace_process();
            first.register(store, "ready");
        };
        let (answer, ()) = tokio::join!(deployment.ask("/summary/7", "r1"), restart);
        assert_eq!((answer.complete, answer.body), (true, all_events()));
        assert_eq!(first.runs("r1"), 2);
    });
}
