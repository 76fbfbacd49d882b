//! Requests of customers that instances serve, as the holder of the duties reports them.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_gateway::{Gateway, GatewayHandle};
use cactuslane_platform_standin::{DutyEndpoint, Store, Target, TargetKind, caller, document};
use cactuslane_store::http::Client;
use hyper::header::{AUTHORIZATION, HeaderValue};
use serde_json::json;
use tokio::time::sleep;

use crate::holder::{duty_settings, run_test, wait_until};

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);
/// Number of requests that the first instance serves.
const FIRST_REQUESTS: u64 = 5;
/// Time between requests to the second instance.
const PAUSE: Duration = Duration::from_millis(100);
/// `lease_ms` of the stand-in's settings.
const LEASE: Duration = Duration::from_secs(3);

/// Starts an instance that reports windows of a second, and waits until it can serve.
async fn start(name: &str, store: &Store, platform: &DutyEndpoint) -> GatewayHandle {
    let mut settings = duty_settings(name, store.address, platform.address);
    let duties = settings.duties.as_mut().expect("there are duties");
    let usage = duties.usage.as_mut().expect("reports are due");
    usage.window = WINDOW;
    let running = Gateway::spawn(settings).await.expect("the instance starts");
    let gateway = running.gateway.clone();
    wait_until(|| gateway.is_ready() && gateway.target("i-w1").is_some()).await;
    running
}

/// Sends a request with a key, which must be served.
async fn ask(running: &GatewayHandle, key: &'static str, id: &str) {
    let front = running.gateway.settings().front;
    let mut request = caller::request(front, "/lookup/7", id);
    let headers = request.headers_mut();
    headers.insert(AUTHORIZATION, HeaderValue::from_static(key));
    let answer = Client::open().send(request).await;
    assert_eq!(answer.expect("the request is answered").status(), 200);
}

/// Returns the numbers of requests in all reported windows, by customer.
fn reported(platform: &DutyEndpoint) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (counts, _) in platform.windows().into_values() {
        for (customer, count) in counts.as_object().expect("counts are an object") {
            *sums.entry(customer.clone()).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    sums
}

#[test]
fn requests_at_all_instances_are_reported_also_by_the_next_holder() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        let mut document = document(3);
        document["tenants"] = json!([
            { "name": "acme", "api_keys": ["k-1"] },
            { "name": "bolt", "api_keys": ["k-2"] },
        ]);
        store.configure(&document);
        let _target = Target::bind("i-w1", TargetKind::Plain, &store).await;
        let first = start("front-1", &store, &platform).await;
        // The second instance knows the first one as the holder.
        wait_until(|| platform.arrived() > 0).await;
        let second = start("front-2", &store, &platform).await;
        wait_until(|| second.gateway.alive_peers() == 1).await;
        // Counts that arrive after the content of their window was stored are not reported, so that
        // requests go on until some of the second instance are.
        let reported_of = |customer: &str| reported(&platform).get(customer).copied();
        for number in 0..FIRST_REQUESTS {
            ask(&first, "Bearer k-1", &format!("a{number}")).await;
        }
        let mut sent = FIRST_REQUESTS;
        while reported_of("acme").is_none_or(|count| count <= FIRST_REQUESTS) {
            ask(&second, "Bearer k-1", &format!("b{sent}")).await;
            sent += 1;
            sleep(PAUSE).await;
        }
        let stopping = tokio::spawn(first.stop());
        let by_second = || {
            let calls = platform.accepted();
            calls.iter().any(|call| call.holder == "front-2")
        };
        wait_until(by_second).await;
        ask(&second, "Bearer k-2", "c1").await;
        wait_until(|| reported_of("bolt") == Some(1)).await;
        assert!(reported_of("acme") <= Some(sent));
        stopping.await.expect("it stops");
        let found = platform.violations(LEASE);
        assert!(found.is_empty(), "{found:?}");
    });
}
