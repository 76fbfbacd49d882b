//! Workers: model engines with one stage, and workers of a plain service.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, answer};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Age of what a report tells ("as of some hundred ms ago").
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Time of a change of the stage (`stage_switch_s`).
const SWITCH: Duration = Duration::from_secs(3);
/// Prompt tokens that an engine reads in a millisecond.
const READ_RATE: f64 = 51.1;
/// Usual time between two events of a stream, in milliseconds.
const EVENT_MS: u64 = 40;

/// An order that reached a worker.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: f64,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

/// The work on one request, up to now if it goes on.
#[derive(Clone, Debug)]
pub struct Span {
    pub request: String,
    pub to: f64,
}

#[derive(Clone, Debug)]
struct Stage {
    stage: String,
    busy: bool,
    orders: u64,
}

struct State {
    /// States by the time from which they held, the last one holds now.
    stages: Vec<(Instant, Stage)>,
    handles: u64,
    orders: Vec<Order>,
    /// Runs by request id.
    runs: BTreeMap<String, u32>,
    /// Streams that were worked on.
    spans: Vec<Span>,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: String,
    born: u64,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    /// Held while a prompt is read.
    reading: Mutex<()>,
    /// Time between two events of a stream, in milliseconds.
    pub event_ms: AtomicU64,
    /// Number of the event after which each eighth stream is preempted, 0 if none is, and the time
    /// until it goes on, in milliseconds.
    pub preempted_at: AtomicU64,
    pub preempted_ms: AtomicU64,
}

impl Worker {
    /// Starts a worker; `stage` is empty for a worker of a plain service.
    pub fn start(
        id: &str,
        service: &str,
        stage: &str,
        address: SocketAddr,
        zone: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let first = Stage {
            stage: stage.to_owned(),
            busy: false,
            orders: 0,
        };
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            born: born.as_millis() as u64,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::new(State {
                stages: vec![(Instant::now(), first)],
                handles: 0,
                orders: Vec::new(),
                runs: BTreeMap::new(),
                spans: Vec::new(),
            }),
            reading: Mutex::new(()),
            event_ms: AtomicU64::new(EVENT_MS),
            preempted_at: AtomicU64::new(0),
            preempted_ms: AtomicU64::new(0),
        });
        let shared = worker.clone();
        http::serve(address, move |message, stream| {
            shared.handle(message, stream)
        })?;
        worker.register("ready");
        Ok(worker)
    }

    /// Writes the entry.
    pub fn register(&self, state: &str) {
        let stage = self.stage();
        let mut entry = Json::object(&[
            ("service", self.service.as_str().into()),
            ("address", Json::Text(self.address.to_string())),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 64u64.into()),
            ("state", state.into()),
            ("cold_left_ms", 0u64.into()),
            ("sequence", 1u64.into()),
            ("born", self.born.into()),
        ]);
        if !stage.stage.is_empty() {
            entry.set("stage", stage.stage.as_str().into());
            let model = Json::object(&[
                ("name", "m".into()),
                ("version", 1u64.into()),
                ("adapters", Json::List(Vec::new())),
            ]);
            entry.set("models", Json::List(vec![model]));
        }
        // A worker repeats its entry until the store has it.
        while self
            .store
            .put(&format!("servers/{}", self.id), &entry)
            .is_none()
        {
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn stage(&self) -> Stage {
        self.state.lock().unwrap().stages.last().unwrap().1.clone()
    }

    fn reported(&self) -> Stage {
        let state = self.state.lock().unwrap();
        let then = Instant::now().checked_sub(REPORT_LAG);
        let known = state
            .stages
            .iter()
            .rev()
            .find(|(at, _)| then.is_some_and(|then| *at <= then));
        known.unwrap_or(&state.stages[0]).1.clone()
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn spans(&self) -> Vec<Span> {
        self.state.lock().unwrap().spans.clone()
    }

    fn set_stage(&self, stage: Stage) {
        self.state
            .lock()
            .unwrap()
            .stages
            .push((Instant::now(), stage));
    }

    fn handle(self: &Arc<Self>, message: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = message
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let mut headers = vec![("x-instance-id", self.id.clone())];
        if !id.is_empty() {
            headers.push(("x-request-id", id.clone()));
        }
        let expected = message.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            stream.write_all(&answer(421, &headers, "{}"))?;
            return Ok(true);
        }
        let path = message.path().to_owned();
        let json = |status: u16, value: Json| {
            let headers = [("content-type", "application/json".to_owned())];
            answer(status, &headers, &value.write())
        };
        match path.as_str() {
            "/health" => stream.write_all(&answer(200, &headers, ""))?,
            "/api/report" => {
                let stage = self.reported();
                let report = Json::object(&[
                    ("stage", stage.stage.as_str().into()),
                    ("models", Json::List(Vec::new())),
                    ("busy", Json::Bool(stage.busy)),
                    ("sequence", stage.orders.into()),
                    ("queued", 0u64.into()),
                    ("running", 0u64.into()),
                    ("kv_used", 0u64.into()),
                    ("kv_total", 479_042u64.into()),
                    ("kv_handles", 0u64.into()),
                ]);
                stream.write_all(&json(200, report))?;
            }
            "/api/kv-list" => {
                let list = Json::object(&[
                    ("epoch", 1u64.into()),
                    ("next", 1u64.into()),
                    ("held", Json::List(Vec::new())),
                ]);
                stream.write_all(&json(200, list))?;
            }
            "/api/order" => {
                let body =
                    Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
                let status = self.order(&body);
                stream.write_all(&json(status, Json::object(&[])))?;
            }
            path if path.starts_with("/api/kv-handle/") => {
                stream.write_all(&json(200, Json::object(&[])))?;
            }
            _ => return self.run(message, &id, headers, stream),
        }
        Ok(true)
    }

    /// Takes an order, and returns the status of the answer.
    fn order(self: &Arc<Self>, body: &Json) -> u16 {
        let (holder, fence) = (
            body.get("holder").text().to_owned(),
            body.get("fence").number(),
        );
        let wanted = body.get("stage").text().to_owned();
        let stage = self.stage();
        let expected = body.get("expected");
        let overtaken = *expected != Json::Null && expected.number() != stage.orders;
        let status = if stage.busy || overtaken {
            409
        } else if stage.stage == wanted {
            200
        } else {
            202
        };
        let at = self.record.now();
        self.record.line(&format!(
            "worker {}: order {wanted} from {holder} with fence {fence}: {status}",
            self.id
        ));
        let order = Order {
            at,
            holder,
            fence,
            status,
        };
        self.state.lock().unwrap().orders.push(order);
        if status == 202 {
            self.set_stage(Stage {
                busy: true,
                orders: stage.orders + 1,
                ..stage.clone()
            });
            let worker = self.clone();
            thread::spawn(move || {
                thread::sleep(SWITCH);
                worker.set_stage(Stage {
                    stage: wanted,
                    busy: false,
                    orders: stage.orders + 1,
                });
                worker.register("ready");
            });
        }
        status
    }

    /// Runs a request of a caller.
    fn run(
        &self,
        message: &Message,
        id: &str,
        mut headers: Vec<(&str, String)>,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let stage = self.stage();
        let prefills = message.header("x-serving-stage") == Some("prefill");
        if stage.busy {
            headers.push(("x-not-executed", "1".to_owned()));
            stream.write_all(&answer(503, &headers, ""))?;
            return Ok(true);
        }
        if !stage.stage.is_empty() && prefills != (stage.stage == "prefill") {
            stream.write_all(&answer(421, &headers, ""))?;
            return Ok(true);
        }
        let counts = message.header("x-token-counts").unwrap_or("0,0");
        let (prompt, output) = counts.split_once(',').unwrap_or(("0", "0"));
        let prompt: f64 = prompt.parse().unwrap_or(0.0);
        let output: u64 = output.parse().unwrap_or(0);
        if prefills {
            let _reading = self.reading.lock().unwrap();
            thread::sleep(Duration::from_secs_f64(prompt / READ_RATE / 1000.0));
            let mut state = self.state.lock().unwrap();
            state.handles += 1;
            let handle = format!("{}{:06x}", self.born, state.handles);
            drop(state);
            let body = Json::object(&[
                ("kv_handle", Json::Text(handle)),
                ("tokens", Json::Number(prompt)),
                ("version", 1u64.into()),
            ]);
            headers.push(("content-type", "application/json".to_owned()));
            stream.write_all(&answer(200, &headers, &body.write()))?;
            return Ok(true);
        }
        *self
            .state
            .lock()
            .unwrap()
            .runs
            .entry(id.to_owned())
            .or_default() += 1;
        self.record.line(&format!(
            "worker {} ({}): runs {id} {}",
            self.id,
            self.service,
            message.target()
        ));
        headers.push(("x-server-stamp", format!("{}.{id}", self.id)));
        if stage.stage.is_empty() {
            thread::sleep(Duration::from_millis(20));
            let text = format!("done by {}", self.id);
            stream.write_all(&answer(200, &headers, &text))?;
            return Ok(true);
        }
        let mut head =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
                .to_owned();
        for (name, value) in &headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        stream.write_all(format!("{head}\r\n").as_bytes())?;
        let after: u64 = message
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let deadline = message
            .header("x-deadline-ms")
            .and_then(|millis| millis.parse().ok())
            .unwrap_or(u64::MAX >> 20);
        let end = Instant::now() + Duration::from_millis(deadline);
        let number = {
            let mut state = self.state.lock().unwrap();
            state.spans.push(Span {
                request: id.to_owned(),
                to: self.record.now(),
            });
            state.spans.len() - 1
        };
        let result = self.stream(stream, id, after + 1..=output, end, number);
        self.record.line(&format!(
            "worker {}: works on {id} no more, from event {after} on, {}",
            self.id,
            if result.is_err() {
                "its connection is closed"
            } else {
                "it is whole or late"
            }
        ));
        result?;
        Ok(true)
    }

    /// Makes and sends the events of a stream, and keeps the end of the work on it up to date.
    fn stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        numbers: std::ops::RangeInclusive<u64>,
        end: Instant,
        span: usize,
    ) -> io::Result<()> {
        for number in numbers {
            thread::sleep(Duration::from_millis(self.event_ms.load(Ordering::Relaxed)));
            if Instant::now() >= end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            self.state.lock().unwrap().spans[span].to = self.record.now();
            if number == self.preempted_at.load(Ordering::Relaxed) && is_eighth(id) {
                let pause = self.preempted_ms.load(Ordering::Relaxed);
                self.record.line(&format!(
                    "worker {}: {id} is preempted after event {number} for {pause} ms",
                    self.id
                ));
                thread::sleep(Duration::from_millis(pause));
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Returns whether a request is an eighth one by its number.
pub fn is_eighth(id: &str) -> bool {
    u64::from_str_radix(id, 16).is_ok_and(|number| number % 8 == 0)
}
