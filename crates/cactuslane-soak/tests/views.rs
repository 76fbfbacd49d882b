//! Views of the stand-in store state other addresses than those that are registered.

use std::net::SocketAddr;
use std::sync::Arc;

use cactuslane_platform_standin::Store;
use cactuslane_platform_standin::store::View;
use cactuslane_store::http::Client;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::{Value, json};

/// Returns the answer of a store or view to a call.
async fn call(store: SocketAddr, request: hyper::http::request::Builder, body: &Value) -> Value {
    let (mut head, ()) = request.body(()).expect("it is a request").into_parts();
    let uri = format!("http://{store}{}", head.uri);
    head.uri = uri.parse().expect("it is an address");
    let request = Request::from_parts(head, Full::new(Bytes::from(body.to_string())));
    let answer = Client::open_unpooled().send_and_collect(request).await;
    let (_, body) = answer.expect("the store answers");
    serde_json::from_slice(&body).expect("it is JSON")
}

#[tokio::test]
async fn a_view_states_other_addresses_and_stores_what_is_written() {
    let store = Store::bind().await.expect("a port can be bound");
    let route = |name: &str, to: SocketAddr| {
        assert!(["t", "two"].contains(&name), "{name}");
        SocketAddr::new(to.ip(), to.port() + 1)
    };
    let view = View::bind(&store, Arc::new(route)).await;
    let view = view.expect("a port can be bound");
    let target = |port| json!({ "address": format!("127.0.0.1:{port}"), "zone": "a" });
    let member = |port| json!({ "front": "127.0.0.1:7", "peer": format!("127.0.0.1:{port}") });
    // The values that the view must state, in the form of the store.
    store.write("expected/target", &target(11));
    store.write("expected/member", &member(21));
    store.write("servers/t", &target(10));
    store.write_malformed("broken");
    let raw = |key: &'static str| async move {
        let get = Request::get(format!("/api/kv-key?key={key}"));
        call(store.address, get, &Value::Null).await["value"].clone()
    };
    let (raw_target, raw_member) = (raw("expected/target").await, raw("expected/member").await);
    store.write("written", &member(20));
    let written = raw("written").await;
    let write = json!({ "key": "cactuslane/instances/two", "value": written });
    let update = json!({ "expected": [], "writes": [write], "deletes": [] });
    call(view.address, Request::post("/api/kv-txn"), &update).await;
    let stored = store.read("cactuslane/instances/two");
    assert_eq!(stored, Some(member(20)));
    let see = |path: &'static str| call(view.address, Request::get(path), &Value::Null);
    let key = see("/api/kv-key?key=servers/t").await;
    assert_eq!(key["value"], raw_target);
    let range = see("/api/kv-range?prefix=cactuslane/").await;
    assert_eq!(range["items"][0]["value"], raw_member);
    let changes = see("/api/kv-watch?prefix=servers/&after=1&wait_ms=0").await;
    assert_eq!(changes["events"][0]["value"], raw_target);
    let broken = see("/api/kv-key?key=servers/broken").await;
    assert_eq!(broken["value"], raw("servers/broken").await);
}
