//! Streams that callers take up while targets of their version refuse connections.

use cactuslane_gateway::Gateway;
use cactuslane_gateway::limits::acquire;
use cactuslane_place::LimitAnswer;
use tokio::time::Instant;

use crate::deployment::run_test;
use crate::versions::{Versions, closed_address};

/// Shortest of the pauses between attempts once they no longer grow, in milliseconds.
const PAUSE_MS: u128 = 200;
/// Number of attempts without a pause or with a shorter one: one at each engine, and three before
/// pauses no longer grow.
const FIRST_ATTEMPTS: u128 = 5;

/// Returns the number of attempts in which nothing was sent, as the metrics of an instance have it.
fn unsent(gateway: &Gateway) -> u128 {
    let text = gateway.metrics.text(gateway);
    let prefix = "cactuslane_attempts_total{ending=\"unsent\"} ";
    let count = text.lines().find_map(|line| line.strip_prefix(prefix));
    count.map_or(0, |count| count.parse().expect("it is a number"))
}

/// Guards against attempts without a pause at an engine that refuses connections, as another one of
/// the version gives no permit and so is never tried.
#[test]
fn an_engine_that_refuses_connections_is_not_tried_again_without_a_pause() {
    run_test(async {
        let versions = Versions::start(true).await;
        versions.begin("r1").await;
        let running = &versions.deployment.running;
        let gateway = &running.gateway;
        let address = versions.deployment.engines[0].address;
        gateway.pool.use_proxy(address, closed_address());
        let limited = gateway.target("i-d3").expect("it is registered");
        let answer = LimitAnswer {
            rate: Some(0.01),
            conclusive: true,
            sent: gateway.now(),
        };
        let now = gateway.now();
        gateway
            .placer()
            .limits
            .observe_answer(&limited, answer, now);
        while acquire(gateway, &limited, "").await.is_ok() {}
        let (before, began) = (unsent(gateway), Instant::now());
        let answer = versions.resume(running, "r2", "r1").await;
        let (attempts, elapsed) = (unsent(gateway) - before, began.elapsed());
        assert_eq!((answer.status, answer.retry_after), (503, true));
        assert!(attempts >= 2, "{attempts}");
        let allowed = FIRST_ATTEMPTS + elapsed.as_millis() / PAUSE_MS;
        assert!(
            attempts <= allowed,
            "{attempts} attempts in {elapsed:?}, {allowed} allowed"
        );
    });
}
