//! Rule LOST: streams that a worker preempts around the planned stop of a machine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::fleet::{Machine, ip};
use crate::json::Json;
use crate::load::{Load, Mix};
use crate::store::Store;
use crate::worker::{Worker, is_eighth};
use crate::{Outcome, Setting};

/// `grace_s`.
const GRACE: f64 = 8.0;
/// Time after SIGTERM for which clients still connect there; streams sent then are over long before
/// the last sixth of `grace_s`.
const KEPT: f64 = 2.0;
/// Time between two events; the route allows pauses of 150 ms.
const EVENT_MS: u64 = 60;
/// The event after which a stream is preempted, and the time until it goes on: clients abandon a
/// stream after a gap of 2.4 s.
const PREEMPTED_AT: u64 = 20;
const PREEMPTED_MS: u64 = 2_100;
/// Streams of the route `bylaw-check` of the site.
const CHECKS: Mix = Mix {
    per_s: 9.0,
    prompt: 17_000,
    output: 30,
    deadline_ms: 6_000,
    gap_ms: 2_400,
};

/// What a client sees if a connection ends within an answer.
const CLOSED: &str = "unexpected end of file";

/// The configuration, with the route `bylaw-check` of the site.
fn document() -> Json {
    let text = r#"{"version":3,"routes":[{"name":"bylaw-check","host":"permits.example","prefix":"/bylaw/","kind":"streaming","timeout_ms":6000,"target_latency_ms":600,"priority":2,"service":"clerk-assist","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":150}],"services":[{"name":"clerk-assist","health_path":"/health","max_connections":360,"engine":{"slots":64,"kv_capacity":479042,"token_kv_bytes":163840,"link_mbps":1700000.0,"handle_ttl_s":5.0,"stage_switch_s":3.0}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
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
        let stage = if number < 5 { "prefill" } else { "decode" };
        let (id, zone) = (format!("i-{number}"), zones[number as usize % 3]);
        let own = at(110 + number, 8080);
        let worker = Worker::start(&id, "clerk-assist", stage, own, zone, &store, record);
        let worker = worker.map_err(fail)?;
        worker.event_ms.store(EVENT_MS, Ordering::Relaxed);
        worker.preempted_ms.store(PREEMPTED_MS, Ordering::Relaxed);
        worker.preempted_at.store(PREEMPTED_AT, Ordering::Relaxed);
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
    let load = Load::start(CHECKS, fronts.clone(), record);
    sleep(Duration::from_secs(10));
    let stopped = record.now();
    if setting.trouble {
        machines[0].signal("TERM");
        // Clients keep the answer with its address for up to three times its `ttl_s` of 1 s.
        sleep(Duration::from_secs_f64(KEPT));
        *load.fronts.lock().unwrap() = fronts[1..].to_vec();
    }
    sleep(Duration::from_secs(9));
    load.stop();
    sleep(Duration::from_secs(6));

    let sent = load.sent.lock().unwrap().clone();
    let (mut judged, mut broken, mut others) = (0, 0, 0);
    for stream in &sent {
        let cut = stream.result.is_err();
        let whole_time = stream.to - stream.from;
        let in_stop = stream.front == fronts[0]
            && stream.to >= stopped
            && stream.from <= stopped + KEPT
            && setting.trouble;
        if !in_stop {
            others += usize::from(cut);
            continue;
        }
        judged += 1;
        let span = workers
            .iter()
            .flat_map(|worker| worker.spans())
            .find(|span| span.request == stream.id);
        // Only if it was passed on and the machine ended the connection within the answer: not after a
        // refusal, at the deadline, by the client, or in the last sixth of `grace_s`.
        let is_ended = matches!(&stream.result, Err(why) if why == CLOSED || why.contains("reset"));
        let is_early = whole_time < 5.5 && stream.to < stopped + GRACE * 5.0 / 6.0;
        let Some(span) = span.filter(|_| is_ended && is_early) else {
            continue;
        };
        broken += 1;
        record.line(&format!(
            "LOST: {} sent at {:.3} ended after {whole_time:.3} s without a whole answer, {:.3} s after SIGTERM; the last \
             event before was sent at {:.3}; preempted: {}; {:?}",
            stream.id,
            stream.from,
            stream.to - stopped,
            span.to,
            is_eighth(&stream.id),
            stream.result
        ));
    }
    record.line(&format!(
        "judged {judged} streams at the machine that was stopped, {broken} lost; {others} cut elsewhere or before"
    ));
    if load.served.load(Ordering::Relaxed) == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(broken > 0)
}
