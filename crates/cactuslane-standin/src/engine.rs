//! Model engine: an OpenAI-compatible server in front of a [`Batch`].

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::batch::{Batch, BatchEvent, EngineParams, StreamId};
use crate::faults::{FaultKind, Faults};
use crate::http::{self, Answer, Server};

mod completions;
mod orders;
pub mod prompt;

pub use orders::{OrderRecord, OrderState};

use completions::complete;

/// Number of cache events that are kept for readers.
const CACHE_EVENTS: usize = 512;
/// How long an engine is unreachable after a crash.
const CRASH_TIME: Duration = Duration::from_millis(300);

/// Running engine; dropping it stops the server and the batch.
#[derive(Debug)]
pub struct Engine {
    /// The HTTP server.
    server: Server,
    /// The state that the server's handlers and the stepping task share.
    state: Arc<State>,
    /// The task that steps the batch.
    task: JoinHandle<()>,
}

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The engine's name, in fault tables and as `remote_engine_id` in answers.
    pub name: String,
    /// The model that is loaded at the start.
    pub model: String,
    /// The speeds and sizes of its batch.
    pub params: EngineParams,
    /// The factor by which it runs faster than its parameters and `change_time`.
    pub pace: f64,
    /// The time from recording a load report until it is shown.
    pub lag: Duration,
    /// Whether it refuses orders whose fencing token is lower than the highest one seen.
    pub checks_fencing: bool,
    /// How long the engine is unreachable after a change of its role or version, divided by `pace`.
    pub change_time: Duration,
}

/// State of an engine.
#[derive(Debug)]
struct State {
    /// The configuration.
    spec: EngineSpec,
    /// The part that changes.
    inner: Mutex<Inner>,
    /// Wakes the stepping task when a stream is added.
    work: Notify,
    /// The faults to inject.
    faults: Faults,
}

/// Mutable state of an engine, behind a lock.
#[derive(Debug)]
struct Inner {
    /// The streams being computed.
    batch: Batch,
    /// The id of the last stream; ids count from 1.
    last_id: StreamId,
    /// The sender of each stream's progress to the handler that answers the request.
    outputs: BTreeMap<StreamId, mpsc::Sender<Progress>>,
    /// The load reports, each with the time from which it is shown.
    reports: VecDeque<(Instant, Value)>,
    /// The latest [`CACHE_EVENTS`] changes of the prefix cache, as JSON.
    events: VecDeque<Value>,
    /// The sequence number of the last cache event; 0 before the first.
    last_event: u64,
    /// The state that orders change.
    orders: OrderState,
    /// The end of the last time that the engine was unreachable.
    away_until: Option<Instant>,
    /// The number of times that each request id was started.
    runs: BTreeMap<String, u64>,
    /// The number of streams cut by a crash or by a change of the role or version.
    cut: u64,
}

/// Progress of a stream, sent to the handler that answers the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// A token was generated; its number counts from 1.
    Token(u32),
    /// The stream is complete.
    Done,
}

impl Engine {
    /// Starts an engine on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, spec: EngineSpec, faults: Faults) -> io::Result<Self> {
        let inner = Inner {
            batch: Batch::new(spec.params),
            last_id: 0,
            outputs: BTreeMap::new(),
            reports: VecDeque::new(),
            events: VecDeque::new(),
            last_event: 0,
            orders: OrderState::new(&spec.model),
            away_until: None,
            runs: BTreeMap::new(),
            cut: 0,
        };
        let state = Arc::new(State {
            spec,
            inner: Mutex::new(inner),
            work: Notify::new(),
            faults,
        });
        let handler_state = Arc::clone(&state);
        let server = Server::bind(address, move |request| {
            handle(Arc::clone(&handler_state), request)
        })
        .await?;
        let task = tokio::spawn(run(Arc::clone(&state)));
        Ok(Self {
            server,
            state,
            task,
        })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns a copy of the state that orders change.
    #[must_use]
    pub fn orders(&self) -> OrderState {
        self.state.lock().orders.clone()
    }

    /// Returns the number of streams in progress, those that wait included.
    #[must_use]
    pub fn streams(&self) -> usize {
        self.state.lock().outputs.len()
    }

    /// Returns the number of completions started, repeated ones included.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.state.lock().runs.values().sum()
    }

    /// Returns the number of streams cut by a crash or by a change of the role or version.
    #[must_use]
    pub fn cut(&self) -> u64 {
        self.state.lock().cut
    }

    /// Cuts all streams and makes the engine unreachable for 300 ms, as a crash does.
    pub fn crash(&self) {
        self.state.lock().crash(CRASH_TIME);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl State {
    /// Locks the mutable state, also after a panic of another holder.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Cuts all streams, drops the prefix cache and closes every request for the time `away`.
    ///
    /// The role and all else that orders change stay.
    fn crash(&mut self, away: Duration) {
        self.cut += self.outputs.len() as u64;
        self.outputs.clear();
        let role = self.orders.role.clone();
        self.batch.reset();
        self.batch.large_chunks = role == "prefill";
        self.away_until = Some(Instant::now() + away);
    }

    /// Returns whether the engine is unreachable now, after a crash or a change of role or version.
    fn is_away(&self) -> bool {
        self.away_until.is_some_and(|until| until > Instant::now())
    }

    /// Records a load report, shown after `lag`, and a cache event if the prefix cache has changed.
    ///
    /// Cache events are readable at once, without a lag.
    fn report(&mut self, lag: Duration) {
        let load = self.batch.load();
        let report = json!({
            "cpu_utilization": 0.0,
            "named_metrics": {
                "queued_prefill_tokens": load.queued_tokens,
                "waiting": load.waiting,
                "running": load.running,
                "free_pieces": load.free_blocks,
                "context_tokens": load.context_tokens,
                "cache_event": self.last_event,
            },
            "role": self.orders.role,
            "version": self.orders.version,
        });
        self.reports.push_back((Instant::now() + lag, report));
        let (stored, removed) = self.batch.cache_changes();
        if stored.is_empty() && removed.is_empty() {
            return;
        }
        self.last_event += 1;
        self.events
            .push_back(json!({ "seq": self.last_event, "stored": stored, "removed": removed }));
        while self.events.len() > CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the newest load report whose lag has passed, or null before the first.
    fn shown_report(&mut self) -> Value {
        let now = Instant::now();
        while self.reports.len() > 1 && self.reports[1].0 <= now {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some((at, report)) if *at <= now => report.clone(),
            _ => Value::Null,
        }
    }
}

/// Steps the batch while it has streams, and records load reports between steps.
async fn run(state: Arc<State>) {
    /// Minimum time between two load reports, and longest wait without work.
    const REPORT_INTERVAL: Duration = Duration::from_millis(100);
    let mut reported: Option<Instant> = None;
    loop {
        let waiting = state.work.notified();
        let step = {
            let mut inner = state.lock();
            if reported.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL) {
                inner.report(state.spec.lag);
                reported = Some(Instant::now());
            }
            (!inner.batch.is_idle()).then(|| inner.batch.step())
        };
        let Some(step) = step else {
            let _ = tokio::time::timeout(REPORT_INTERVAL, waiting).await;
            continue;
        };
        tokio::time::sleep(step.time.div_f64(state.spec.pace)).await;
        deliver(&state, &step.events);
    }
}

/// Sends the events of a step to the handlers of the streams.
///
/// A stream is cancelled if its handler has ended or its buffer is full.
fn deliver(state: &State, events: &[BatchEvent]) {
    let mut inner = state.lock();
    for event in events {
        let (id, progress) = match event {
            BatchEvent::Token(id, number) => (*id, Progress::Token(*number)),
            BatchEvent::Done(id) => (*id, Progress::Done),
        };
        let Some(output) = inner.outputs.get(&id) else {
            continue;
        };
        let gone = output.try_send(progress).is_err();
        if gone {
            inner.batch.cancel(id);
        }
        if gone || progress == Progress::Done {
            inner.outputs.remove(&id);
        }
    }
}

/// Answers one request, after the faults that hit it.
async fn handle(state: Arc<State>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let operation = match path.as_str() {
        "/orders" => "order",
        "/load" => "load",
        "/v1/chat/completions" | "/v1/completions" => "call",
        _ => "other",
    };
    if state.lock().is_away() {
        return Err(http::closed());
    }
    let fault = state.faults.take(&state.spec.name, operation);
    if let Some(fault) = &fault {
        match fault.kind {
            FaultKind::Down => return Err(http::closed()),
            FaultKind::Slow => tokio::time::sleep(fault.delay()).await,
            _ => {}
        }
    }
    let kind = fault.as_ref().map(|fault| fault.kind);
    match (request.method().as_str(), path.as_str()) {
        ("POST", "/v1/chat/completions" | "/v1/completions") => {
            let chat = path == "/v1/chat/completions";
            let body = http::read(request.into_body()).await?;
            complete(&state, &body, chat, kind).await
        }
        ("POST", "/orders") => {
            let body = http::read(request.into_body()).await?;
            let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            orders::execute(&state, &body, kind)
        }
        ("GET", "/orders") => Ok(http::json(200, &orders::report(&state))),
        ("GET", "/load") => Ok(http::json(200, &state.lock().shown_report())),
        ("GET", "/cache-events") => {
            let query = request.uri().query().unwrap_or_default();
            Ok(http::json(200, &cache_events(&state, query)))
        }
        ("GET", path) if path.starts_with("/stand-in/runs/") => {
            let id = path.trim_start_matches("/stand-in/runs/");
            let runs = state.lock().runs.get(id).copied().unwrap_or_default();
            Ok(http::json(200, &json!({ "runs": runs })))
        }
        _ => Ok(http::json(
            404,
            &json!({ "error": { "message": "no such path" } }),
        )),
    }
}

/// Returns the cache events whose sequence number is higher than that of a query such as `after=3`.
fn cache_events(state: &State, query: &str) -> Value {
    let after: u64 = query
        .trim_start_matches("after=")
        .parse()
        .unwrap_or_default();
    let inner = state.lock();
    let newer = |event: &&Value| event["seq"].as_u64().unwrap_or_default() > after;
    json!({ "events": inner.events.iter().filter(newer).collect::<Vec<_>>() })
}
