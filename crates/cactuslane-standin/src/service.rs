//! Worker of a plain service, which counts how often each idempotency key ran.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;

use crate::faults::{FaultKind, Faults};
use crate::http::{self, Answer, Server};

/// Header with the idempotency key of a call that must not run twice.
const KEY_HEADER: &str = "idempotency-key";
/// Header with the id of a request, repeated in the answer.
const REQUEST_HEADER: &str = "x-request-id";

/// Running worker; dropping it stops the server.
#[derive(Debug)]
pub struct Worker {
    /// The HTTP server.
    server: Server,
    /// The counter that it shares with the other workers of its service.
    run_counter: RunCounter,
}

/// Callback for each run of a key, called with the key.
type Observer = dyn Fn(&str) + Send + Sync;

/// Counter of the runs of each idempotency key, shared by all workers of one service.
#[derive(Clone, Default)]
pub struct RunCounter {
    /// The number of runs of each key.
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
    /// The callback for each run, called while `runs` is locked.
    observer: Option<Arc<Observer>>,
}

impl Worker {
    /// Starts a worker on an address; port 0 selects a free port.
    ///
    /// `name` is its name in fault tables.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        name: &str,
        run_counter: RunCounter,
        faults: Faults,
    ) -> io::Result<Self> {
        let (name, shared) = (name.to_owned(), run_counter.clone());
        let server = Server::bind(address, move |request| {
            handle(name.clone(), shared.clone(), faults.clone(), request)
        })
        .await?;
        Ok(Self {
            server,
            run_counter,
        })
    }

    /// Returns the address that the worker listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the counter that it shares with the other workers.
    #[must_use]
    pub fn run_counter(&self) -> &RunCounter {
        &self.run_counter
    }
}

impl fmt::Debug for RunCounter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunCounter")
            .field("runs", &self.all())
            .finish_non_exhaustive()
    }
}

impl RunCounter {
    /// Creates a counter that calls an observer with the key of each run as it happens.
    pub fn with_observer(observer: impl Fn(&str) + Send + Sync + 'static) -> Self {
        Self {
            runs: Arc::default(),
            observer: Some(Arc::new(observer)),
        }
    }

    /// Returns the number of runs of a key.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(key).copied().unwrap_or_default()
    }

    /// Returns the number of runs of each key that ran.
    #[must_use]
    pub fn all(&self) -> BTreeMap<String, u64> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Counts a run of a key and returns the number of its runs, this one included.
    fn count(&self, key: &str) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(key.to_owned()).or_default();
        *count += 1;
        if let Some(observer) = &self.observer {
            observer(key);
        }
        *count
    }
}

/// Answers one request, with the fault that hits it.
async fn handle(
    name: String,
    run_counter: RunCounter,
    faults: Faults,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    if let Some(key) = path.strip_prefix("/stand-in/runs/") {
        return Ok(http::json(200, &json!({ "runs": run_counter.runs(key) })));
    }
    if path == "/load" {
        return Ok(http::json(
            200,
            &json!({ "named_metrics": { "running": 0 } }),
        ));
    }
    let fault = faults.take(&name, "call");
    if fault
        .as_ref()
        .is_some_and(|fault| fault.kind == FaultKind::Down)
    {
        return Err(http::closed());
    }
    let header = |name: &str| {
        let value = request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let (id, key) = (header(REQUEST_HEADER), header(KEY_HEADER));
    let method = request.method().to_string();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = http::read(request.into_body()).await?;
    let run = key.as_ref().map(|key| run_counter.count(key));
    let crossed = fault
        .as_ref()
        .is_some_and(|fault| fault.kind == FaultKind::Crossed);
    let id = if crossed {
        Some("crossed-answer".to_owned())
    } else {
        id
    };
    let answer = json!({
        "service": name,
        "method": method,
        "path": path,
        "query": query,
        "key": key,
        "run": run,
        "echo": String::from_utf8_lossy(&body),
    });
    let mut response = http::json(200, &answer);
    if let Some(id) = id.and_then(|id| id.parse().ok()) {
        response.headers_mut().insert(REQUEST_HEADER, id);
    }
    http::apply_fault(response, fault).await
}
