//! Rule ONE: orders to engines around the drill in which the store comes back from a copy.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Machine, ip};
use crate::json::Json;
use crate::load::{Load, Mix};
use crate::store::Store;
use crate::worker::{Order, Worker};
use crate::{Outcome, Setting};

/// `lease_ms`.
const LEASE: f64 = 3.0;

const CALM: Mix = Mix {
    per_s: 3.0,
    prompt: 300,
    output: 10,
    deadline_ms: 8000,
    gap_ms: 4000,
};
const PROMPTS: Mix = Mix {
    per_s: 8.0,
    prompt: 17_000,
    output: 10,
    deadline_ms: 8000,
    gap_ms: 4000,
};
const STREAMS: Mix = Mix {
    per_s: 14.0,
    prompt: 200,
    output: 85,
    deadline_ms: 8000,
    gap_ms: 4000,
};

/// The configuration, with a number of routes that nobody uses.
fn document(version: u64, idle: u64) -> Json {
    let mut text = r#"{"name":"bylaw-check","host":"permits.example","prefix":"/bylaw/","kind":"streaming","timeout_ms":8000,"target_latency_ms":1000,"priority":1,"service":"clerk-assist","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":150}"#.to_owned();
    for number in 0..idle {
        text.push_str(&format!(
            r#",{{"name":"idle{number}","host":"permits.example","prefix":"/idle{number}/","kind":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"clerk-assist","max_attempts":1}}"#
        ));
    }
    let text = format!(
        r#"{{"version":{version},"routes":[{text}],"services":[{{"name":"clerk-assist","health_path":"/health","max_connections":360,"engine":{{"slots":16,"kv_capacity":479042,"token_kv_bytes":163840,"link_mbps":1700000.0,"handle_ttl_s":5.0,"stage_switch_s":3.0}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    Json::parse(&text).unwrap_or(Json::Null)
}

fn leader(store: &Store) -> Option<String> {
    let value = Json::parse(&store.get("cactuslane/leader")?)?;
    Some(value.get("instance").text().to_owned())
}

fn await_leader(store: &Store, limit: Duration, not: &str) -> Option<String> {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if let Some(name) = leader(store).filter(|name| name != not) {
            return Some(name);
        }
        sleep(Duration::from_millis(20));
    }
    None
}

pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let fail = |error: std::io::Error| error.to_string();
    let at = |last: u8, port: u16| std::net::SocketAddr::new(ip(setting.range, last), port);
    let address = at(100, 8142);
    let store = Store::start(address, record.clone()).map_err(fail)?;
    store.put("op/config", &document(3, 0));
    let zones = ["hr-south-a", "hr-south-b", "hr-south-c"];
    let mut workers: Vec<Arc<Worker>> = Vec::new();
    for number in 0..9u8 {
        let stage = if number < 3 { "prefill" } else { "decode" };
        let (id, zone) = (format!("i-{number}"), zones[number as usize % 3]);
        let worker = Worker::start(
            &id,
            "clerk-assist",
            stage,
            at(110 + number, 8080),
            zone,
            &store,
            record,
        );
        workers.push(worker.map_err(fail)?);
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
    let fronts: Vec<_> = machines.iter().map(Machine::front).collect();
    sleep(Duration::from_secs(6));
    let load = Load::start(CALM, fronts.clone(), record);
    sleep(Duration::from_secs(3));

    // Planned work: configurations in quick succession, and the stop of the leader's machine.
    if setting.trouble {
        store.copy();
    }
    for step in 0..9 {
        store.put("op/config", &document(4 + step, 1 + step));
        sleep(Duration::from_millis(330));
    }
    let first = leader(&store).ok_or("there is no leader")?;
    let stopped = machines
        .iter()
        .position(|machine| machine.name == first)
        .ok_or("unknown leader")?;
    *load.fronts.lock().unwrap() = fronts
        .iter()
        .copied()
        .filter(|front| *front != machines[stopped].front())
        .collect();
    machines[stopped].signal("TERM");
    let stop = Instant::now();
    let second = await_leader(&store, Duration::from_secs(4), &first).ok_or("no second leader")?;
    record.line(&format!("the leader was {first} and is {second}"));
    sleep(Duration::from_millis(200));

    // The drill.
    if setting.trouble {
        store.leave();
        sleep(Duration::from_secs(1));
        store.restore(true);
    }

    // The stopped machine is started again once its process has ended, after `grace_s` at the latest.
    while machines[stopped].runs() && stop.elapsed() < Duration::from_secs(8) {
        sleep(Duration::from_millis(50));
    }
    machines[stopped].kill();
    machines[stopped].start().map_err(fail)?;
    if !machines[stopped].await_ready(Duration::from_secs(10)) {
        return Err("the machine is not ready again".to_owned());
    }
    *load.fronts.lock().unwrap() = fronts;
    sleep(Duration::from_secs(9));

    // The traffic shifts between long prompts and long answers.
    for (mix, seconds) in [(PROMPTS, 24), (STREAMS, 24), (PROMPTS, 18)] {
        record.line(&format!(
            "traffic: {} a second, {},{} tokens",
            mix.per_s, mix.prompt, mix.output
        ));
        *load.mix.lock().unwrap() = mix;
        sleep(Duration::from_secs(seconds));
    }
    load.stop();
    let (served, failed) = (
        load.served.load(Ordering::Relaxed),
        load.failed.load(Ordering::Relaxed),
    );
    record.line(&format!("clients: {served} served, {failed} not"));
    let mut orders = 0;
    let mut broken = false;
    for worker in &workers {
        let theirs = worker.orders();
        orders += theirs.len();
        for finding in violations(&theirs) {
            broken = true;
            record.line(&format!("ONE at worker {}: {finding}", worker.id));
        }
    }
    record.line(&format!("orders: {orders}"));
    if orders == 0 {
        return Err("no order was sent".to_owned());
    }
    Ok(broken)
}

/// What the rule forbids, among the orders that reached one worker: a fencing token of two holders,
/// a lower one after a higher one, or holders in the order A, B, A within `lease_ms`.
fn violations(orders: &[Order]) -> Vec<String> {
    let mut found = Vec::new();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut highest = 0;
    for (index, order) in orders.iter().enumerate() {
        let first = holders.entry(order.fence).or_insert(&order.holder);
        if *first != order.holder {
            found.push(format!(
                "{first} and {} sent fence {}",
                order.holder, order.fence
            ));
        }
        if order.fence < highest {
            found.push(format!(
                "{:.3} s: {} sent fence {} after {highest} (answered {})",
                order.at, order.holder, order.fence, order.status
            ));
        }
        highest = highest.max(order.fence);
        let mut other = false;
        for earlier in orders[..index].iter().rev() {
            if order.at - earlier.at > LEASE {
                break;
            }
            if earlier.holder != order.holder {
                other = true;
            } else if other {
                found.push(format!(
                    "{:.3} s: {} acted again after another",
                    order.at, order.holder
                ));
                break;
            }
        }
    }
    found
}
