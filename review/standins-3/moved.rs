//! A store that moves to another address, which the settings files name from then on.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::sleep;
use std::time::Duration;

use crate::caller::{self, Requests, HOST};
use crate::gateway::{Gateway, Ports};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Runs, Worker};

/// Time within which a configuration must be in force, in milliseconds.
const APPLY_MS: u64 = 2000;
/// Time that the check allows beyond that, for the clocks and threads of this test.
const SLACK_MS: u64 = 200;
/// Time for which both addresses lead to the store.
const OVERLAP: Duration = Duration::from_secs(10);

/// The configuration, in which both routes lead to a service.
fn document(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-book","host":"{HOST}","prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":1}},
{{"name":"r-look","host":"{HOST}","prefix":"/cufi504/fi50/","kind":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2}}],
"services":[
{{"name":"permit","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}},
{{"name":"permit-new","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Plays the case and returns its exit code.
pub fn run(folder: &str, trouble: bool) -> i32 {
    let record = Record::create(&format!("{folder}/record.txt"));
    let scratch = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let code = play(&record, &scratch, trouble);
    let _ = std::fs::remove_dir_all(&scratch);
    code
}

fn play(record: &Record, scratch: &Path, trouble: bool) -> i32 {
    let store = Store::start();
    let (runs, requests) = (Runs::default(), Requests::default());
    store.write("op/config", &document(7, "permit"));
    let zones = ["hr-south-a", "hr-south-b", "hr-south-c"];
    let mut workers = Vec::new();
    for (number, service) in ["permit", "permit", "permit-new", "permit-new"]
        .iter()
        .enumerate()
    {
        let id = format!("i-{number:04}");
        let work = Duration::from_millis(60);
        let place = (id.as_str(), *service, zones[number % zones.len()]);
        workers.push(Worker::start(place, (6, work), &store, record, &runs));
    }
    // Both lead to the same store, as two addresses of it.
    let (old, new) = (Proxy::start(store.address), Proxy::start(store.address));
    let ports = Ports::find(3);
    let mut gateways = Vec::new();
    for (machine, zone) in (1u8..).zip(zones) {
        gateways.push(Gateway::start(scratch, ports, machine, zone, old.address));
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            eprintln!("{} is not ready", gateway.name);
            return 2;
        }
    }
    sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..6u64 {
        let front: SocketAddr = gateways[number as usize % gateways.len()].front;
        let pause = Duration::from_millis(50);
        clients.push(caller::start(
            (number, front, pause),
            record,
            &requests,
            &stop,
        ));
    }
    sleep(Duration::from_secs(4));
    if trouble {
        for gateway in &gateways {
            gateway
                .rewrite(|text| text.replace(&old.address.to_string(), &new.address.to_string()));
        }
        record.line("the settings files name the new address of the store");
        // Two of three processes get SIGHUP; the settings of the other one change without a signal.
        for gateway in &gateways[..2] {
            gateway.signal("HUP");
            record.line(&format!("SIGHUP to {}", gateway.name));
        }
        sleep(OVERLAP);
        old.stop();
        record.line("the old address of the store answers no more");
        sleep(Duration::from_secs(8));
    }
    store.write("op/config", &document(9, "permit-new"));
    let acknowledged =
        record.line("the store acknowledges version 9, both routes lead to permit-new");
    sleep(Duration::from_secs(12));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
    let is_old = |worker: &str| worker == "i-0000" || worker == "i-0001";
    let (mut due, mut stale) = (0, 0);
    for sent in requests.iter() {
        if sent.sent <= acknowledged + APPLY_MS + SLACK_MS {
            continue;
        }
        due += 1;
        let found = runs.iter().find(|run| run.id == sent.id);
        stale += u32::from(found.is_some_and(|run| is_old(&run.worker)));
    }
    let served = requests.iter().filter(|sent| sent.status == 200).count();
    let summary = format!(
        "requests {}, served {served}, sent over {APPLY_MS} ms after version 9 {due}, of these run by the old service {stale}",
        requests.len()
    );
    record.line(&summary);
    println!("{summary}");
    if served * 2 < requests.len() || due == 0 {
        return 2;
    }
    i32::from(stale > 0)
}
