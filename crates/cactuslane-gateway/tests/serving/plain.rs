//! Requests with complete answers, and callers that disconnect.

use cactuslane_platform_standin::{Fault, Target};
use yare::parameterized;

use crate::deployment::{deploy, run_test, wait_until};

#[parameterized(
    answer_lost = { Fault::Lose, 502, 1 },
    answer_of_another = { Fault::Cross, 502, 1 },
    unsigned = { Fault::Unsigned, 502, 1 },
    failure = { Fault::Fail, 500, 1 },
    rejected = { Fault::Reject, 503, 0 },
)]
fn a_request_that_must_not_be_repeated_runs_at_most_once(fault: Fault, status: u16, runs: u32) {
    run_test(async {
        let deployment = deploy().await;
        // A rejected request is sent four times at most, so each attempt meets a fault.
        for _ in 0..4 {
            deployment.inject_fault(&deployment.workers, fault);
        }
        let answer = deployment.ask("/correction/7", "r1").await;
        assert_eq!((answer.status, deployment.runs("r1")), (status, runs));
        assert_eq!(answer.retry_after, status == 503);
    });
}

#[parameterized(
    answer_lost = { Fault::Lose },
    answer_of_another = { Fault::Cross },
    unsigned = { Fault::Unsigned },
    failure = { Fault::Fail },
    rejected = { Fault::Reject },
)]
fn a_repeatable_request_is_retried_at_another_target(fault: Fault) {
    run_test(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.workers);
        deployment.inject_fault(&deployment.workers[..1], fault);
        let answer = deployment.ask("/lookup/7", "r1").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(deployment.workers[1].runs("r1"), 1);
    });
}

#[test]
fn a_slow_target_is_awaited_when_no_attempt_is_left() {
    run_test(async {
        let deployment = deploy().await;
        deployment.inject_fault(&deployment.workers, Fault::Slow(1_100));
        let answer = deployment.ask("/lookup/7", "r1").await;
        assert_eq!((answer.status, deployment.runs("r1")), (200, 2));
    });
}

#[test]
fn a_rejected_request_runs_at_another_target() {
    run_test(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.workers);
        deployment.inject_fault(&deployment.workers[..1], Fault::Reject);
        assert_eq!(deployment.ask("/correction/7", "r1").await.status, 200);
        assert_eq!(deployment.workers[1].runs("r1"), 1);
    });
}

#[test]
fn a_disconnected_caller_ends_its_stream_at_the_engine() {
    run_test(async {
        let deployment = deploy().await;
        deployment.inject_fault(&deployment.engines, Fault::Mute(1));
        let response = deployment.send("/report/7", "r1").await;
        let streams = || deployment.engines.iter().map(Target::streams).sum::<u32>();
        assert_eq!(streams(), 1);
        drop(response);
        drop(deployment.client.clone());
        wait_until(|| streams() == 0).await;
    });
}
