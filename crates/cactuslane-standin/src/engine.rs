//! A model engine: an OpenAI-compatible server in front of a [`Batch`].

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

/// Number of cache events that are kept.
const CACHE_EVENTS: usize = 512;
/// How long a crashed engine stays away.
const CRASH_TIME: Duration = Duration::from_millis(300);

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// The HTTP server.
    server: Server,
    /// The state behind it.
    state: Arc<State>,
    /// The task that steps the batch.
    task: JoinHandle<()>,
}

/// Says how an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Names the engine.
    pub name: String,
    /// The model that it has loaded.
    pub model: String,
    /// Holds its speeds and sizes.
    pub params: EngineParams,
    /// The factor by which it runs faster than its parameters say.
    pub pace: f64,
    /// How far its load reports are behind.
    pub lag: Duration,
    /// Says whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// The time that a role change takes.
    pub change_time: Duration,
}

/// The state of an engine.
#[derive(Debug)]
struct State {
    /// Says how it behaves.
    spec: EngineSpec,
    /// Holds what is guarded.
    inner: Mutex<Inner>,
    /// Wakes the stepping task.
    work: Notify,
    /// The table of faults.
    faults: Faults,
}

/// The guarded state.
#[derive(Debug)]
struct Inner {
    /// The batch.
    batch: Batch,
    /// The last stream id.
    last_id: StreamId,
    /// Holds where the tokens of each stream go.
    outputs: BTreeMap<StreamId, mpsc::Sender<Progress>>,
    /// Holds load reports, each with the time from which it is shown.
    reports: VecDeque<(Instant, Value)>,
    /// Holds the latest cache events.
    events: VecDeque<Value>,
    /// The number of the last cache event.
    last_event: u64,
    /// The state that orders change.
    orders: OrderState,
    /// The time until which the engine is away.
    away_until: Option<Instant>,
    /// Counts how often a request id was started.
    runs: BTreeMap<String, u64>,
    /// Counts streams that the engine itself cut.
    cut: u64,
}

/// What a stream's reader is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// A token with its number from 1.
    Token(u32),
    /// All tokens are there.
    Done,
}

impl Engine {
    /// Binds an engine.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be bound.
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

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the state that orders change.
    #[must_use]
    pub fn orders(&self) -> OrderState {
        self.state.lock().orders.clone()
    }

    /// Returns the number of streams in progress.
    #[must_use]
    pub fn streams(&self) -> usize {
        self.state.lock().outputs.len()
    }

    /// Returns the number of requests that were started.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.state.lock().runs.values().sum()
    }

    /// Returns the number of streams that the engine itself cut.
    #[must_use]
    pub fn cut(&self) -> u64 {
        self.state.lock().cut
    }

    /// Cuts all streams and stays away for a moment, as a crash does.
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
    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Cuts all streams and stays away for a while.
    fn crash(&mut self, away: Duration) {
        self.cut += self.outputs.len() as u64;
        self.outputs.clear();
        let role = self.orders.role.clone();
        self.batch.reset();
        self.batch.large_chunks = role == "prefill";
        self.away_until = Some(Instant::now() + away);
    }

    /// Returns whether the engine takes work now.
    fn is_away(&self) -> bool {
        self.away_until.is_some_and(|until| until > Instant::now())
    }

    /// Records a load report and the cache events since the last one.
    fn report(&mut self, lag: Duration) {
        let load = self.batch.load();
        let report = json!({
            "cpu_utilization": 0.0,
            "named_metrics": {
                "queued_prefill_tokens": load.queued,
                "waiting": load.waiting,
                "running": load.running,
                "free_pieces": load.free,
                "context_tokens": load.context,
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

    /// Returns the newest report that is shown now.
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

/// Steps the batch as long as there is work.
async fn run(state: Arc<State>) {
    /// Least time between two load reports.
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

/// Tells the readers of streams what happened in a step.
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

/// Answers one request.
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

/// Returns the cache events after the number in a query such as `after=3`.
fn cache_events(state: &State, query: &str) -> Value {
    let after: u64 = query
        .trim_start_matches("after=")
        .parse()
        .unwrap_or_default();
    let inner = state.lock();
    let newer = |event: &&Value| event["seq"].as_u64().unwrap_or_default() > after;
    json!({ "events": inner.events.iter().filter(newer).collect::<Vec<_>>() })
}
