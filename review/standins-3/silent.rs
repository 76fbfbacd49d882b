//! Connections to the store that fall silent while a worker leaves.

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

/// Bounds of the deployment, in milliseconds.
const CONTACT_MS: u64 = 3000;
const DRAIN_MS: u64 = 2000;
/// Time that the check allows beyond both, for the clocks and threads of this test.
const SLACK_MS: u64 = 100;
/// Time after the end of its drain at which a leaving worker exits.
const EXIT_AFTER_MS: u64 = 600;
const ROUNDS: usize = 5;

/// The configuration: one route of each kind to one plain service.
pub fn document(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-book","host":"{HOST}","prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"permit","max_attempts":1}},
{{"name":"r-look","host":"{HOST}","prefix":"/cufi504/fi50/","kind":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"permit","max_attempts":2}}],
"services":[{{"name":"permit","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}}],
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
    store.write("op/config", &document(7));
    let zones = ["hr-south-a", "hr-south-b", "hr-south-c"];
    let add = |number: usize| {
        let id = format!("i-{number:04}");
        let zone = zones[number % zones.len()];
        let work = Duration::from_millis(150);
        Worker::start((&id, "permit", zone), (6, work), &store, record, &runs)
    };
    let mut workers: Vec<Worker> = (0..4).map(add).collect();
    let ports = Ports::find(3);
    let mut proxies = Vec::new();
    let mut gateways = Vec::new();
    for (machine, zone) in (1u8..).zip(zones) {
        let proxy = Proxy::start(store.address);
        gateways.push(Gateway::start(scratch, ports, machine, zone, proxy.address));
        proxies.push(proxy);
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
    for number in 0..9u64 {
        let front: SocketAddr = gateways[number as usize % gateways.len()].front;
        let pause = Duration::from_millis(20);
        clients.push(caller::start(
            (number, front, pause),
            record,
            &requests,
            &stop,
        ));
    }
    sleep(Duration::from_secs(4));
    // Each worker that left, with the time of the store's acknowledgement, and the silences.
    let mut left = Vec::new();
    let mut silences = Vec::new();
    // PROTOCOL.md: "A watch that is waiting may be cut."
    let cuts_watches = std::env::var("VARIANT").is_ok_and(|name| name == "cut");
    for round in 0..ROUNDS {
        if trouble && cuts_watches {
            record.line("the store cuts the waiting watches, a worker leaves 0.1 s later");
            for proxy in &proxies {
                proxy.cut_watches();
            }
            sleep(Duration::from_millis(100));
            let worker = workers.remove(0);
            left.push((worker.id.clone(), worker.unregister()));
            sleep(Duration::from_millis(1400));
            record.line("the store cuts the waiting watches again");
            for proxy in &proxies {
                proxy.cut_watches();
            }
            sleep(Duration::from_millis(DRAIN_MS + EXIT_AFTER_MS - 1400));
            worker.exit();
            sleep(Duration::from_secs(4));
            workers.push(add(4 + round));
            sleep(Duration::from_secs(4));
            continue;
        }
        if trouble {
            silences.push(record.line("all connections to the store fall silent, new ones work"));
            for proxy in &proxies {
                proxy.silence();
            }
        }
        sleep(Duration::from_millis(700));
        let worker = workers.remove(0);
        let acknowledged = worker.unregister();
        left.push((worker.id.clone(), acknowledged));
        sleep(Duration::from_millis(DRAIN_MS + EXIT_AFTER_MS));
        worker.exit();
        sleep(Duration::from_secs(4));
        workers.push(add(4 + round));
        sleep(Duration::from_secs(4));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    judge(record, &runs, &requests, (&left, &silences))
}

/// Counts the runs that reached a worker too late, from machines in touch.
fn judge(
    record: &Record,
    runs: &Runs,
    requests: &Requests,
    (left, silences): (&[(String, u64)], &[u64]),
) -> i32 {
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut late, mut lost) = (0, 0);
    for run in runs.iter() {
        let Some((_, acknowledged)) = left.iter().find(|(id, _)| *id == run.worker) else {
            continue;
        };
        let Some(sent) = requests.iter().find(|sent| sent.id == run.id) else {
            continue;
        };
        // The reset of its connections takes a machine out of touch for `contact_ms`.
        let in_touch = silences
            .iter()
            .all(|at| sent.sent < *at || sent.sent > at + CONTACT_MS + SLACK_MS);
        if in_touch && run.arrived > acknowledged + DRAIN_MS + SLACK_MS {
            late += 1;
            lost += u32::from(!run.answered && sent.is_unsafe);
            let after = run.arrived - acknowledged;
            record.line(&format!(
                "late: {} reached {} {after} ms after its removal, sent {} to {}, answered {}",
                run.id, run.worker, sent.sent, sent.front, sent.status
            ));
        }
    }
    let served = requests.iter().filter(|sent| sent.status == 200).count();
    let summary = format!(
        "requests {}, served {served}, late at a worker that is gone {late}, of these bookings cut by its exit {lost}",
        requests.len()
    );
    record.line(&summary);
    println!("{summary}");
    if served * 2 < requests.len() {
        return 2;
    }
    i32::from(late > 0)
}
