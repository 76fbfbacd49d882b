//! What an instance says of where a request would go, without a network but for its door.

use std::sync::Arc;

use cactuslane_flight::Door;
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_gateway::{Gateway, directory, preview};
use cactuslane_platform_standin::{HOST, document, settings};
use cactuslane_store::http::Client;
use cactuslane_types::Role;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use yare::parameterized;

/// Key of the one customer.
const KEY: &str = "Bearer sk-secret-72";

/// Returns a target of a service.
fn target(id: &str, service: &str, role: Role) -> Target {
    Target {
        id: id.to_owned(),
        service: service.to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: 6,
        role,
        state: TargetState::Ready,
        started_at: Some(1),
        models: Vec::new(),
        version: None,
        reclaimable: false,
        leaves_in: None,
    }
}

/// Creates an instance with a configuration and targets of both services.
fn gateway(document: &Value) -> Gateway {
    let store = "127.0.0.1:1".parse().expect("it is an address");
    let gateway = Gateway::new(settings("front-1", store));
    let bytes = document.to_string();
    let config = cactuslane_platform::document::decode(bytes.as_bytes()).expect("it is valid");
    gateway.fleet().set_routing_config(config);
    for (id, service, role) in [
        ("i-w1", "register", Role::Mixed),
        ("i-w2", "register", Role::Mixed),
        ("i-p1", "model", Role::Prefill),
        ("i-d1", "model", Role::Decode),
    ] {
        gateway.fleet().put(target(id, service, role));
    }
    gateway
}

/// Returns the head of a request that asks about a path.
fn head(path: &str, lines: &[(&str, &str)]) -> Request<()> {
    let mut request = Request::get(format!("http://127.0.0.1/preview{path}"));
    request = request.header("host", HOST);
    for (name, value) in lines {
        request = request.header(*name, *value);
    }
    request.body(()).expect("it is valid")
}

/// Returns the preview of the first service.
fn ask(gateway: &Gateway, path: &str, lines: &[(&str, &str)]) -> Value {
    *gateway.previewed.lock().expect("no test panicked") = None;
    let value = preview::preview(gateway, &head(path, lines)).expect("it is answered");
    value["services"][0].clone()
}

#[test]
fn a_preview_names_the_target_and_all_candidates() {
    let gateway = gateway(&document(3));
    let seen = ask(&gateway, "/lookup/7", &[]);
    assert_eq!(seen["outcome"], "run", "{seen}");
    assert_eq!(seen["candidates"].as_array().map(Vec::len), Some(2));
    assert!(["i-w1", "i-w2"].contains(&seen["target"].as_str().unwrap_or_default()));
    let counts = ("x-token-counts", "1460,80");
    let seen = ask(&gateway, "/summary/7", &[counts]);
    assert_eq!(
        (&seen["outcome"], &seen["target"]),
        (&json!("run"), &json!("i-d1"))
    );
    assert_eq!(seen["candidates"].as_array().map(Vec::len), Some(1));
    assert!(
        gateway.placer().load_view.loads().is_empty(),
        "nothing is placed"
    );
    assert_eq!(gateway.requests(), 0);
}

#[test]
fn targets_that_take_no_work_are_named_with_the_reason() {
    let gateway = gateway(&document(3));
    let mut leaving = target("i-w1", "register", Role::Mixed);
    leaving.state = TargetState::Draining;
    gateway.fleet().put(leaving);
    let seen = ask(&gateway, "/lookup/7", &[]);
    assert_eq!(seen["target"], "i-w2");
    let excluded = json!([{ "target": "i-w1", "reason": "it is leaving" }]);
    assert_eq!(seen["excluded"], excluded);
    gateway.fleet().remove("i-w2");
    let seen = ask(&gateway, "/lookup/7", &[]);
    assert_eq!(seen["outcome"], "refuse");
    assert_eq!(seen["cause"], "no target takes new work");
    gateway.leave();
    let seen = ask(&gateway, "/summary/7", &[]);
    assert_eq!(seen["cause"], "the instance is stopping");
}

#[test]
fn a_time_that_is_too_short_is_refused() {
    let gateway = gateway(&document(3));
    let lines = [("x-token-counts", "200000,80"), ("x-deadline-ms", "1")];
    let seen = ask(&gateway, "/summary/7", &lines);
    assert_eq!(
        (&seen["outcome"], &seen["cause"]),
        (&json!("refuse"), &json!("overloaded"))
    );
    assert_eq!(seen["target"], "i-d1", "the plan that is not carried out");
}

#[test]
fn a_key_decides_and_appears_nowhere() {
    let mut document = document(3);
    document["tenants"] = json!([{ "name": "acme", "api_keys": ["sk-secret-72"], "priority": 4 }]);
    let gateway = gateway(&document);
    let seen = ask(&gateway, "/lookup/7", &[]);
    assert_eq!(
        (&seen["outcome"], &seen["cause"]),
        (&json!("refuse"), &json!("no key"))
    );
    *gateway.previewed.lock().expect("no test panicked") = None;
    let asked = head("/lookup/7", &[("authorization", KEY)]);
    let seen = preview::preview(&gateway, &asked).expect("it is answered");
    assert_eq!(
        (&seen["customer"], &seen["priority"]),
        (&json!("acme"), &json!(4))
    );
    assert_eq!(seen["services"][0]["outcome"], "run");
    assert!(seen["services"][0]["admission"].is_object());
    assert!(!seen.to_string().contains("sk-secret"), "{seen}");
}

#[parameterized(
    no_route = { "/none/7", &[], 404, "no route of configuration 3" },
    goes_on = { "/summary/7", &[("last-event-id", "3")], 400, "leave out the headers" },
    unclear_place = { "/summary/7", &[("last-event-id", "3"), ("last-event-id", "4")], 400, "last-event-id is not one event number" },
    no_place = { "/report/7", &[("last-event-id", "x")], 400, "last-event-id is not one event number" },
)]
fn what_cannot_be_previewed_says_why(
    path: &str,
    lines: &[(&str, &str)],
    status: u16,
    message: &str,
) {
    let gateway = gateway(&document(3));
    let error = preview::preview(&gateway, &head(path, lines)).expect_err("it is refused");
    assert_eq!(error.0.as_u16(), status);
    assert!(error.1.contains(message), "{}", error.1);
}

#[test]
fn an_instance_without_configuration_says_so() {
    let store = "127.0.0.1:1".parse().expect("it is an address");
    let gateway = Gateway::new(settings("front-1", store));
    let error = preview::preview(&gateway, &head("/lookup/7", &[])).expect_err("it is refused");
    assert_eq!(error.0.as_u16(), 503);
}

/// Guards against clients that keep the instance busy with previews.
#[test]
fn previews_are_answered_now_and_then_only() {
    assert!(preview::may_answer(None, 0));
    assert!(!preview::may_answer(Some(1_000), 1_499));
    assert!(preview::may_answer(Some(1_000), 1_500));
    let gateway = gateway(&document(3));
    *gateway.previewed.lock().expect("no test panicked") = Some(gateway.now() + 60_000);
    let error = preview::preview(&gateway, &head("/lookup/7", &[])).expect_err("it is too early");
    assert_eq!(error.0.as_u16(), 429);
}

#[tokio::test]
async fn the_door_answers_with_json() {
    let gateway = Arc::new(gateway(&document(3)));
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let serving = tokio::spawn(directory::serve(gateway, listener, Door::Ready));
    let client = Client::open();
    let ask = async |path: &str| {
        let request = Request::get(format!("http://{address}/preview{path}"));
        let request = request.header("host", HOST).body(Full::new(Bytes::new()));
        let answer = client.send_and_collect(request.expect("it is valid"));
        let (status, body) = answer.await.expect("it is answered");
        let value: Value = serde_json::from_slice(&body).expect("it is JSON");
        (status, value)
    };
    let (status, value) = ask("/none/7?x=1").await;
    assert_eq!(status, 404);
    let message = value["error"]["message"].as_str().unwrap_or_default();
    assert!(message.contains("path `/none/7`"), "{message}");
    let (status, value) = ask("/lookup/7?x=1").await;
    assert_eq!((status, &value["instance"]), (200, &json!("front-1")));
    serving.abort();
}
