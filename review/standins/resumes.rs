//! Rule TWICE: streams that go on at another worker after connections to workers went silent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::fleet::{Machine, ip};
use crate::json::Json;
use crate::load::{Load, Mix};
use crate::store::Store;
use crate::worker::{Span, Worker};
use crate::{Outcome, Setting};

/// `contact_ms`.
const CONTACT: f64 = 3.0;
/// Time after which the worker before must have ended its work.
const OVERLAP: f64 = 0.4;
/// Time between two events; the route allows pauses of 150 ms.
const EVENT_MS: u64 = 90;
/// Long drafts: the largest prompt and nearly the largest number of events of the site.
const DRAFTS: Mix = Mix {
    per_s: 8.0,
    prompt: 4_700,
    output: 80,
    deadline_ms: 8000,
    gap_ms: 4000,
};

/// The configuration, with the route `reply-draft` of the site.
fn document() -> Json {
    let text = r#"{"version":3,"routes":[{"name":"reply-draft","host":"permits.example","prefix":"/bylaw/","kind":"streaming","timeout_ms":8000,"target_latency_ms":1000,"priority":0,"service":"clerk-assist","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":150}],"services":[{"name":"clerk-assist","health_path":"/health","max_connections":360,"engine":{"slots":64,"kv_capacity":479042,"token_kv_bytes":163840,"link_mbps":1700000.0,"handle_ttl_s":5.0,"stage_switch_s":3.0}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    Json::parse(text).unwrap_or(Json::Null)
}

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let fail = |error: std::io::Error| error.to_string();
    let at = |last: u8, port: u16| std::net::SocketAddr::new(ip(setting.range, last), port);
    let address = at(100, 8142);
    let store = Store::start(address, record.clone()).map_err(fail)?;
    store.put("op/config", &document());
    let zones = ["hr-south-a", "hr-south-b", "hr-south-c"];
    let mut workers: Vec<Arc<Worker>> = Vec::new();
    for number in 0..9u8 {
        let stage = if number < 3 { "prefill" } else { "decode" };
        let (id, zone) = (format!("i-{number}"), zones[number as usize % 3]);
        let own = at(110 + number, 8080);
        let worker = Worker::start(&id, "clerk-assist", stage, own, zone, &store, record);
        let worker = worker.map_err(fail)?;
        worker.event_ms.store(EVENT_MS, Ordering::Relaxed);
        workers.push(worker);
    }
    let mut machines = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let own = ip(setting.range, 1 + number as u8);
        let mut machine = Machine::new(
            &format!("front-{zone}-1"),
            zone,
            own,
            address,
            &setting.folder,
            record,
            &setting.guard,
        )
        .map_err(fail)?;
        machine.start().map_err(fail)?;
        machines.push(machine);
    }
    if !machines
        .iter()
        .all(|machine| machine.await_ready(Duration::from_secs(10)))
    {
        return Err("a machine is not ready".to_owned());
    }
    sleep(Duration::from_secs(8));
    let fronts: Vec<_> = machines.iter().map(Machine::front).collect();
    let load = Load::start(DRAFTS, fronts, record);
    sleep(Duration::from_secs(14));
    if setting.trouble {
        for worker in &workers {
            worker.silence();
        }
    }
    // Taken after the last one, so that no run counts too early.
    let silent = record.now();
    if setting.trouble {
        record.line("the open connections to workers are silent from now on, new ones work");
    }
    sleep(Duration::from_secs(12));
    load.stop();
    sleep(Duration::from_secs(9));

    let mut spans: BTreeMap<String, Vec<(usize, Span)>> = BTreeMap::new();
    for (number, worker) in workers.iter().enumerate() {
        for span in worker.spans() {
            let request = span.request.clone();
            spans.entry(request).or_default().push((number, span));
        }
    }
    let (mut resumed, mut early, mut broken) = (0, 0, 0);
    for (request, mut work) in spans {
        work.sort_by(|(_, a), (_, b)| a.from.total_cmp(&b.from));
        for pair in work.windows(2) {
            let ((before, old), (after, new)) = (&pair[0], &pair[1]);
            resumed += 1;
            // Until then the machines are not in touch.
            if setting.trouble && new.from < silent + CONTACT {
                early += 1;
                continue;
            }
            if before == after || old.to < new.from + OVERLAP {
                continue;
            }
            broken += 1;
            record.line(&format!(
                "TWICE: {request} went on at i-{after} at {:.3} after event {}, {:.3} s after the connections went \
                 silent; i-{before} worked on it until {:.3}, {:.3} s longer; machines have made {} new connections \
                 to i-{before}",
                new.from,
                new.after,
                new.from - silent,
                old.to,
                old.to - new.from,
                workers[*before].later_connections()
            ));
        }
    }
    let served = load.served.load(Ordering::Relaxed);
    record.line(&format!(
        "{served} streams served whole, {resumed} went on at another worker, {early} of them before the machines were in \
         touch, {broken} of the others while the worker before worked on them for 0.4 s and more"
    ));
    if served == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(broken > 0)
}
