//! Configurations in quick succession, after the configuration has grown, while one machine is cut off
//! from the store.

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
const APPLY_MS: u64 = 2000;
const CONTACT_MS: u64 = 3000;
/// Time that the check allows beyond these, for the clocks and threads of this test.
const SLACK_MS: u64 = 200;
/// Number of routes by which the configuration grows at a time, and how often it does.
const GROWTH: usize = 400;
const GROWTHS: usize = 4;
/// Pause between configurations in quick succession, and their number.
const STORM_GAP: Duration = Duration::from_millis(80);
const STORM_COUNT: usize = 25;
/// Time for which the machine is cut off from the store.
const CUT: Duration = Duration::from_secs(4);
/// Bound of the time after which a leaving worker gets no more requests, in milliseconds.
const DRAIN_MS: u64 = 2000;
/// Time after the end of its drain at which a leaving worker exits, in milliseconds.
const EXIT_AFTER_MS: u64 = 600;

/// The configuration with a number of further routes, in which the routes in use lead to a service.
fn document(version: u64, timeout_ms: u64, service: &str, further: usize) -> String {
    let mut routes = format!(
        r#"{{"name":"r-book","host":"{HOST}","prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":{timeout_ms},"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":1}},
{{"name":"r-look","host":"{HOST}","prefix":"/cufi504/fi50/","kind":"idempotent","timeout_ms":{timeout_ms},"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2}}"#
    );
    for number in 0..further {
        routes.push_str(&format!(
            r#",{{"name":"r-g{number:06}","host":"g{number:04}.example","prefix":"/gona{number:04}/","kind":"idempotent","timeout_ms":{timeout_ms},"target_latency_ms":300,"priority":2,"service":"permit","max_attempts":2}}"#
        ));
    }
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[
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
    let mut version = 7;
    store.write("op/config", &document(version, 800, "permit", 0));
    let zones = ["hr-south-a", "hr-south-b", "hr-south-c"];
    let mut workers = Vec::new();
    for (number, service) in ["permit", "permit", "permit-new", "permit-new"]
        .iter()
        .enumerate()
    {
        let id = format!("i-{number:04}");
        let work = Duration::from_millis(150);
        let place = (id.as_str(), *service, zones[number % zones.len()]);
        workers.push(Worker::start(place, (6, work), &store, record, &runs));
    }
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
    for growth in 1..=GROWTHS {
        version += 3;
        let document = document(version, 800, "permit", growth * GROWTH);
        store.write("op/config", &document);
        let bytes = document.len();
        record.line(&format!(
            "the store acknowledges version {version} with {GROWTH} routes more, {bytes} bytes"
        ));
        sleep(Duration::from_secs(2));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..12u64 {
        let front: SocketAddr = gateways[number as usize % gateways.len()].front;
        let pause = Duration::from_millis(30);
        clients.push(caller::start(
            (number, front, pause),
            record,
            &requests,
            &stop,
        ));
    }
    sleep(Duration::from_secs(4));
    let cut_off = &gateways[2];
    if trouble {
        proxies[2].hold(true);
        record.line(&format!("{} is cut off from the store", cut_off.name));
    }
    sleep(Duration::from_millis(300));
    for number in 1..=STORM_COUNT {
        version += 2;
        let service = if number == STORM_COUNT {
            "permit-new"
        } else {
            "permit"
        };
        let timeout_ms = 800 + number as u64;
        let document = document(version, timeout_ms, service, GROWTHS * GROWTH);
        store.write("op/config", &document);
        sleep(STORM_GAP);
    }
    let acknowledged = record.line(&format!(
        "the store has acknowledged version {version}, in which the routes lead to permit-new"
    ));
    sleep(CUT.saturating_sub(Duration::from_millis(300) + STORM_GAP * STORM_COUNT as u32));
    proxies[2].hold(false);
    let healed = record.line(&format!("{} reaches the store again", cut_off.name));
    sleep(Duration::from_secs(4));
    let leaving = workers[0].drain();
    sleep(Duration::from_millis(DRAIN_MS + EXIT_AFTER_MS));
    workers[0].exit();
    sleep(Duration::from_secs(20));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    for gateway in &gateways {
        gateway.copy_errors(record);
    }
    drop(gateways);
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
    let is_old = |worker: &str| worker == "i-0000" || worker == "i-0001";
    let (mut due, mut stale, mut last) = (0, 0, 0);
    for sent in requests.iter() {
        let in_touch = sent.front != fronts[2] || sent.sent > healed + CONTACT_MS + SLACK_MS;
        if !in_touch || sent.sent <= acknowledged + APPLY_MS + SLACK_MS {
            continue;
        }
        due += 1;
        let found = runs.iter().find(|run| run.id == sent.id);
        if found.is_some_and(|run| is_old(&run.worker)) {
            stale += 1;
            last = last.max(sent.sent - healed);
        }
    }
    let (mut late, mut lost) = (0, 0);
    for run in runs.iter().filter(|run| run.worker == workers[0].id) {
        if run.arrived > leaving + DRAIN_MS + SLACK_MS {
            late += 1;
            let is_booking = |sent: &&caller::Sent| sent.id == run.id && sent.is_unsafe;
            let is_lost = !run.answered && requests.iter().any(|sent| is_booking(&sent));
            lost += u32::from(is_lost);
        }
    }
    let served = requests.iter().filter(|sent| sent.status == 200).count();
    let summary = format!(
        "requests {}, served {served}, due for the last version at machines in touch {due}, of these run by the old service {stale}, the last one {last} ms after the store was reached again; late at a leaving worker {late}, of these bookings cut by its exit {lost}",
        requests.len()
    );
    record.line(&summary);
    println!("{summary}");
    if served * 2 < requests.len() || due == 0 {
        return 2;
    }
    i32::from(stale > 0 || late > 0)
}
