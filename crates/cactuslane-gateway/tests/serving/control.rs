//! Changes of the configuration, the targets and the instances, and failures of the store.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_gateway::relay::is_watcher;
use cactuslane_gateway::{Gateway, GatewayHandle};
use cactuslane_platform_standin::link::{Cut, Link};
use cactuslane_platform_standin::{Mode, Store, caller, document, settings};
use cactuslane_store::http::Client;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use tokio::time::{Instant, sleep};
use yare::parameterized;

use crate::deployment::{
    Deployment, all_events, deploy, read_answer, run_test, start_instance, wait_until,
};

/// Number of instances in a deployment in which only some watch the store.
pub const RELAYED_FLEET: usize = 16;

#[test]
fn an_instance_without_configuration_refuses_requests() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        let running = start_instance("front-1", &store).await;
        let front = running.gateway.settings().front;
        let request = || caller::request(front, "/lookup/7", "r1");
        let client = Client::open();
        let answer = read_answer(
            client
                .send(request())
                .await
                .expect("the request is answered"),
        )
        .await;
        assert_eq!((answer.status, answer.retry_after), (503, true));
        store.configure(&document(3));
        wait_until(|| running.gateway.routing_config().is_some()).await;
        // The configuration has a route now, but there is no target.
        let answer = read_answer(
            client
                .send(request())
                .await
                .expect("the request is answered"),
        )
        .await;
        assert_eq!((answer.status, answer.retry_after), (503, true));
    });
}

#[test]
fn only_newer_configurations_take_effect() {
    run_test(async {
        let deployment = deploy().await;
        assert_eq!(deployment.ask("/new/7", "r1").await.status, 404);
        let mut newer = document(9);
        newer["routes"][0]["prefix"] = "/new/".into();
        deployment.store.configure(&newer);
        let gateway = deployment.running.gateway.clone();
        let version = || gateway.routing_config().map(|document| document.version);
        wait_until(|| version() == Some(9)).await;
        assert_eq!(deployment.ask("/new/7", "r2").await.status, 200);
        deployment.store.configure(&document(3));
        deployment
            .store
            .configure(&serde_json::json!({ "version": "none" }));
        deployment.store.write_malformed("i-x");
        // Compaction removes the history that the instance follows.
        deployment.store.compact();
        newer["version"] = 12.into();
        deployment.store.configure(&newer);
        wait_until(|| version() != Some(9)).await;
        assert_eq!(version(), Some(12));
    });
}

#[test]
fn a_draining_target_gets_no_new_requests() {
    run_test(async {
        let deployment = deploy().await;
        deployment.workers[0].register(&deployment.store, "draining");
        let gateway = deployment.running.gateway.clone();
        wait_until(|| gateway.target("i-w1").is_none()).await;
        let before = deployment.workers[0].total_runs();
        for id in 0..8 {
            let answer = deployment.ask("/lookup/7", &format!("r{id}")).await;
            assert_eq!(answer.status, 200);
        }
        assert_eq!(deployment.workers[0].total_runs(), before);
    });
}

#[parameterized(
    refusing = { Mode::Busy },
    silent = { Mode::Silent },
    losing = { Mode::Losing },
)]
fn requests_are_served_while_the_store_is_unavailable(mode: Mode) {
    run_test(async {
        let deployment = deploy().await;
        deployment.store.set_mode(mode);
        // The entries of the targets are not renewed meanwhile, yet the targets stay in use.
        for id in 0..6 {
            let answer = deployment.ask("/correction/7", &format!("r{id}")).await;
            assert_eq!(answer.status, 200);
        }
        deployment.store.set_mode(Mode::Serving);
        deployment.store.configure(&document(8));
        let gateway = deployment.running.gateway.clone();
        wait_until(|| {
            gateway
                .routing_config()
                .is_some_and(|document| document.version == 8)
        })
        .await;
    });
}

/// Sends a GET request, for addresses or readiness, and returns the status and body of the answer.
async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::new(Bytes::new()))
        .expect("the request is valid");
    let answer = read_answer(
        Client::open()
            .send(request)
            .await
            .expect("the request is answered"),
    )
    .await;
    (answer.status, answer.body)
}

#[test]
fn instances_list_each_other_and_no_stopping_instance() {
    run_test(async {
        let deployment = deploy().await;
        let other = start_instance("front-2", &deployment.store).await;
        let here = deployment.running.gateway.settings();
        let there = other.gateway.settings();
        let directory = here.directory.expect("the directory address is set");
        let named = async || get(directory, caller::ADDRESSES_PATH).await.1;
        let both = |text: &str| {
            text.contains(&here.front.to_string()) && text.contains(&there.front.to_string())
        };
        while !both(&named().await) {
            sleep(Duration::from_millis(20)).await;
        }
        let ready = there.ready;
        assert_eq!(get(ready, caller::READY_PATH).await.0, 200);
        let stopping = tokio::spawn(other.stop());
        while both(&named().await) {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(get(ready, caller::READY_PATH).await.0, 503);
        // Callers that still use its address are served, and the connection is closed afterwards.
        let request = caller::request(there.front, "/lookup/7", "r1");
        let response = Client::open()
            .send(request)
            .await
            .expect("the request is answered");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["connection"], "close");
        stopping.await.expect("the instance stops");
        let instances = deployment.store.keys("cactuslane/instances/");
        assert_eq!(instances, ["cactuslane/instances/front-1"]);
    });
}

#[test]
fn a_graceful_stop_aborts_no_stream() {
    run_test(async {
        let deployment = deploy().await;
        let response = deployment.send("/report/7", "r1").await;
        let stopping = tokio::spawn(deployment.running.stop());
        let answer = read_answer(response).await;
        assert_eq!((answer.complete, answer.body), (true, all_events()));
        stopping.await.expect("the instance stops");
    });
}

/// Returns the number of successful watch calls that an instance has made to the store.
fn watch_count(running: &cactuslane_gateway::GatewayHandle) -> u64 {
    let calls = &running.gateway.store.calls;
    calls
        .get_or_create(&[("call", "watch"), ("result", "ok")])
        .get()
}

/// Guards against instances of a large fleet that each read a new configuration from the store,
/// instead of receiving it from the few instances that do.
#[test]
fn a_configuration_is_relayed_in_a_large_fleet() {
    /// Number of instances, enough that only some of them watch the store.
    const FLEET: usize = 16;
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        store.configure(&document(3));
        let mut fleet = Vec::new();
        for number in 0..FLEET {
            fleet.push(start_instance(&format!("front-{number}"), &store).await);
        }
        let knows_all = |running: &cactuslane_gateway::GatewayHandle| {
            let gateway = &running.gateway;
            gateway.members().alive(gateway.now()).len() == FLEET - 1
        };
        wait_until(|| fleet.iter().all(knows_all)).await;
        // Watches that began before the instances knew each other must end first, so that several
        // configurations may be needed.
        let mut before: Vec<u64> = Vec::new();
        let mut version = 3;
        let mut relayed = 0;
        while relayed < FLEET / 2 {
            version += 1;
            before.clear();
            before.extend(fleet.iter().map(watch_count));
            store.configure(&document(version));
            let has = |running: &cactuslane_gateway::GatewayHandle| {
                let document = running.gateway.routing_config();
                document.is_some_and(|document| document.version == version)
            };
            wait_until(|| fleet.iter().all(has)).await;
            let after: Vec<u64> = fleet.iter().map(watch_count).collect();
            relayed = before.iter().zip(&after).filter(|(a, b)| a == b).count();
        }
    });
}

/// Guards against a failure domain whose instances all read the store themselves because it rejects
/// the two that should watch it.
#[test]
fn one_instance_stands_in_for_watchers_that_do_not_reach_the_store() {
    /// Number of calls of all others that replace as many relays of the instance that stands in.
    const ROUNDS: u64 = 4;
    run_test(async {
        let deployment = deploy().await;
        let names: Vec<String> = (2..=RELAYED_FLEET).map(|n| format!("front-{n}")).collect();
        let all: Vec<String> = ["front-1".to_owned()]
            .into_iter()
            .chain(names.clone())
            .collect();
        let is_chosen = |name: &String| {
            let others: Vec<String> = all.iter().filter(|other| *other != name).cloned().collect();
            is_watcher(name, others.len(), &others)
        };
        let link = Link::bind(deployment.store.address).await;
        let link = link.expect("a port can be bound");
        let (mut watchers, mut fleet) = (Vec::new(), Vec::new());
        for name in &names {
            if is_chosen(name) {
                let settings = settings(name, link.address);
                let running = Gateway::spawn(settings).await;
                watchers.push(running.expect("the instance starts"));
            } else {
                fleet.push(start_instance(name, &deployment.store).await);
            }
        }
        assert_eq!(watchers.len(), 2, "front-1 is no watcher");
        let knows_all = |running: &GatewayHandle| {
            let gateway = &running.gateway;
            gateway.alive_peers() == RELAYED_FLEET - 1
        };
        wait_until(|| fleet.iter().chain(&watchers).all(knows_all)).await;
        link.set_cut(Some(Cut::Reset));
        // Watches that began before the instances knew each other have ended by the first round.
        let counts = || fleet.iter().map(watch_count).collect::<Vec<u64>>();
        let most = |before: &[u64]| {
            let gains = counts()
                .into_iter()
                .zip(before)
                .map(|(now, before)| now - before);
            gains.max().unwrap_or_default()
        };
        let start = counts();
        wait_until(|| most(&start) >= 2).await;
        let before = counts();
        wait_until(|| most(&before) >= ROUNDS).await;
        let gains: u64 = counts()
            .iter()
            .zip(&before)
            .map(|(now, then)| now - then)
            .sum();
        assert!(
            gains <= 2 * ROUNDS,
            "{gains} calls of {} instances",
            fleet.len()
        );
    });
}

/// Guards against calls without a pause by an instance that lacks a large document and does not
/// reach the store.
#[test]
fn a_document_that_cannot_be_read_is_asked_for_with_pauses() {
    run_test(async {
        let deployment = deploy().await;
        let names: Vec<String> = (1..=RELAYED_FLEET).map(|n| format!("front-{n}")).collect();
        let is_chosen = |name: &&String| {
            let others: Vec<String> = names
                .iter()
                .filter(|other| other != name)
                .cloned()
                .collect();
            *name != "front-1" && !is_watcher(name, others.len(), &others)
        };
        let cut_off = names.iter().find(is_chosen).expect("most receive relays");
        let link = Link::bind(deployment.store.address).await;
        let link = link.expect("a port can be bound");
        let mut fleet = Vec::new();
        for name in names
            .iter()
            .filter(|name| *name != "front-1" && *name != cut_off)
        {
            fleet.push(start_instance(name, &deployment.store).await);
        }
        let running = Gateway::spawn(settings(cut_off, link.address)).await;
        let running = running.expect("the instance starts");
        let knows_all =
            |running: &GatewayHandle| running.gateway.alive_peers() == RELAYED_FLEET - 1;
        wait_until(|| fleet.iter().chain([&running]).all(knows_all)).await;
        // Its watch that began before it knew the others has ended once a relay was applied.
        deployment.store.configure(&document(4));
        let version = |running: &GatewayHandle| {
            let config = running.gateway.routing_config();
            config.map(|config| config.version)
        };
        wait_until(|| version(&running) == Some(4)).await;
        link.set_cut(Some(Cut::Reset));
        deployment.store.configure(&large_document(9, 1200));
        let calls = || {
            let results = ["unreachable", "lost", "refused", "malformed"];
            let count = |result| {
                let labels = [("call", "key"), ("result", result)];
                running.gateway.store.calls.get_or_create(&labels).get()
            };
            results.into_iter().map(count).sum::<u64>()
        };
        wait_until(|| calls() > 0).await;
        let (before, began) = (calls(), Instant::now());
        sleep(Duration::from_secs(1)).await;
        // Each pause is at least a third of 0.3 s.
        let most = began.elapsed().as_millis() as u64 / 100 + 1;
        assert!(calls() - before <= most, "{} calls", calls() - before);
    });
}

/// Guards against instances that end, or no longer follow the store, because of one entry that
/// another writer left among those of the targets.
#[parameterized(
    deeply_nested = { "i-x", &format!("{{\"models\":{}", "[".repeat(200_000)) },
    number_too_large = { "i-x", r#"{"service":"s","address":"1.2.3.4:5","zone":"z","slots":1e999,"state":"ready"}"# },
    start_too_large = { "i-x", r#"{"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,"state":"ready","born":99999999999999999999}"# },
    port_out_of_range = { "i-x", r#"{"service":"s","address":"1.2.3.4:70000","zone":"z","slots":1,"state":"ready"}"# },
    port_zero = { "i-x", r#"{"service":"register","address":"127.0.0.1:0","zone":"z","slots":0,"state":"ready"}"# },
    id_of_two_lines = { "i-x\r\nx-model: m", r#"{"service":"register","address":"127.0.0.1:9","zone":"z","slots":1,"state":"ready"}"# },
    not_text = { "i-x", "\u{0}\u{7f}" },
)]
fn an_odd_entry_of_a_target_stops_no_instance(id: &str, text: &str) {
    run_test(async {
        let deployment = deploy().await;
        deployment.store.write_text(&format!("servers/{id}"), text);
        // These instances read it at their start, and some by relays.
        let mut fleet = start_instances(&deployment, RELAYED_FLEET).await;
        deployment.store.write_text(&format!("servers/{id}"), text);
        deployment.workers[0].register(&deployment.store, "draining");
        let uses = |running: &GatewayHandle| running.gateway.target("i-w1").is_some();
        wait_until(|| !fleet.iter().any(uses)).await;
        for number in 0..4 {
            let answer = deployment.ask("/lookup/7", &format!("r{number}")).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        deployment.store.compact();
        deployment.store.configure(&document(9));
        fleet.push(start_instance("front-late", &deployment.store).await);
        let version = |running: &GatewayHandle| {
            let config = running.gateway.routing_config();
            config.map(|config| config.version)
        };
        wait_until(|| fleet.iter().all(|running| version(running) == Some(9))).await;
        assert!(
            fleet
                .iter()
                .all(|running| running.gateway.target(id).is_none())
        );
    });
}

/// Returns a document with additional routes, each of which takes about 240 bytes.
pub fn large_document(version: u64, routes: usize) -> serde_json::Value {
    let mut large = document(version);
    let mut route = large["routes"][0].clone();
    for number in 0..routes {
        route["name"] = format!("added-{number}").into();
        route["prefix"] = format!("/added-{number}/").into();
        let routes = large["routes"].as_array_mut().expect("it lists routes");
        routes.push(route.clone());
    }
    large
}

/// Starts instances, beside that of a deployment, until there are `count`, and waits until all
/// know each other.
pub async fn start_instances(deployment: &Deployment, count: usize) -> Vec<GatewayHandle> {
    let mut fleet = Vec::new();
    for number in 2..=count {
        fleet.push(start_instance(&format!("front-{number}"), &deployment.store).await);
    }
    let ready = |running: &GatewayHandle| {
        let gateway = &running.gateway;
        gateway.alive_peers() == count - 1 && gateway.target("i-d2").is_some()
    };
    wait_until(|| fleet.iter().all(ready)).await;
    fleet
}
