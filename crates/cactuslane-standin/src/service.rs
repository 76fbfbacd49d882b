//! A worker of a plain service, which counts how often each key ran.

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

/// Header that carries the key of a call that may not be repeated.
const KEY_HEADER: &str = "idempotency-key";
/// Header that identifies a request.
const REQUEST_HEADER: &str = "x-request-id";

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    /// The HTTP server.
    server: Server,
    /// The register that it shares with the other workers of its service.
    register: Register,
}

/// Hears of each run of a key.
type Observer = dyn Fn(&str) + Send + Sync;

/// Counts the runs of each key, for all workers of one service.
#[derive(Clone, Default)]
pub struct Register {
    /// Holds the counts.
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Hears of each run, if somebody observes.
    observer: Option<Arc<Observer>>,
}

impl Worker {
    /// Binds a worker.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        name: &str,
        register: Register,
        faults: Faults,
    ) -> io::Result<Self> {
        let (name, shared) = (name.to_owned(), register.clone());
        let server = Server::bind(address, move |request| {
            handle(name.clone(), shared.clone(), faults.clone(), request)
        })
        .await?;
        Ok(Self { server, register })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the register that it shares.
    #[must_use]
    pub fn register(&self) -> &Register {
        &self.register
    }
}

impl fmt::Debug for Register {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Register")
            .field("runs", &self.all())
            .finish_non_exhaustive()
    }
}

impl Register {
    /// Creates a register whose runs are told to an observer as they happen.
    pub fn observed(observer: impl Fn(&str) + Send + Sync + 'static) -> Self {
        Self {
            runs: Arc::default(),
            observer: Some(Arc::new(observer)),
        }
    }

    /// Returns how often a key ran.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(key).copied().unwrap_or_default()
    }

    /// Returns the counts of all keys.
    #[must_use]
    pub fn all(&self) -> BTreeMap<String, u64> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Counts one run and returns the number of runs.
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

/// Answers one request.
async fn handle(
    name: String,
    register: Register,
    faults: Faults,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    if let Some(key) = path.strip_prefix("/stand-in/runs/") {
        return Ok(http::json(200, &json!({ "runs": register.runs(key) })));
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
    let run = key.as_ref().map(|key| register.count(key));
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
    http::afflict(response, fault).await
}
