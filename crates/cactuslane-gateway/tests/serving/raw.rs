//! Targets that send bytes as a test says, whether or not these are an answer.

use std::future::pending;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuslane_platform_standin::target;
use cactuslane_platform_standin::{Store, TargetKind};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

/// Start of the process of a target.
pub const PROCESS: u64 = 1;

/// What a target sends for one request.
#[derive(Clone, Debug)]
pub struct Script {
    /// Bytes that are sent first; `{id}` is replaced by the request's id, and `{lost}` is an event that
    /// the target makes and does not send.
    pub first: &'static str,
    /// Bytes that are then sent again and again until the connection is closed; none if empty.
    pub endless: &'static str,
    /// Whether the connection is closed afterwards.
    pub closes: bool,
    /// Whether the request runs.
    pub runs: bool,
    /// Bytes that are sent in place of all others if the request resumes a stream.
    pub resumed: Option<&'static str>,
    /// Whether the target's process ends afterwards, which closes its listener and all connections.
    pub dies: bool,
}

/// The requests that a target has run, each with the number of events that were made, those before
/// the run included.
type Runs = Arc<Mutex<Vec<(String, usize)>>>;

/// A running target.
pub struct RawTarget {
    /// Number of requests that arrived.
    requests: Arc<AtomicUsize>,
    /// Number of requests that ran.
    runs: Arc<AtomicUsize>,
    /// Number of bytes that were sent.
    sent: Arc<AtomicUsize>,
    /// Number of connections that are open.
    open: Arc<AtomicUsize>,
    /// Task that accepts connections.
    task: JoinHandle<()>,
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawTarget {
    /// Starts a target and registers it; `script` returns what it sends for the request with a
    /// number, counted from 1 on each connection.
    pub async fn bind(
        id: &str,
        kind: TargetKind,
        store: &Store,
        script: fn(usize) -> Script,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port can be bound");
        let address = listener.local_addr().expect("it is bound");
        let counter = || Arc::new(AtomicUsize::new(0));
        let (requests, runs, sent, open) = (counter(), counter(), counter(), counter());
        let counters = (requests.clone(), runs.clone(), sent.clone(), open.clone());
        let owner = id.to_owned();
        let made = Runs::default();
        let task = tokio::spawn(async move {
            let death = Arc::new(Notify::new());
            let mut connections = JoinSet::new();
            loop {
                let mut stream = tokio::select! {
                    accepted = listener.accept() => accepted.expect("a caller can be accepted").0,
                    // The end of the task closes the listener before the connections.
                    () = death.notified() => break drop(listener),
                };
                let (requests, runs, sent, open) = counters.clone();
                let (id, death, made) = (owner.clone(), death.clone(), made.clone());
                connections.spawn(async move {
                    open.fetch_add(1, Ordering::Relaxed);
                    let counters = [&*requests, &*runs, &*sent];
                    if serve(&mut stream, &id, counters, &made, script).await {
                        death.notify_one();
                        pending::<()>().await;
                    }
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        target::register(store, id, kind, PROCESS, address, "ready");
        Self {
            requests,
            runs,
            sent,
            open,
            task,
        }
    }

    /// Returns the number of requests that arrived.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that ran.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that were sent.
    pub fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// A request as a target reads it.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// Id of the caller's attempt; empty if it has none.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Id of the event after which a stream is to go on.
    pub last_event: Option<u64>,
    /// Time after which the target is to stop work.
    pub timeout: Option<Duration>,
}

/// Serves one connection until it is closed, and counts requests, runs and sent bytes; returns
/// whether the target's process ends, the connection being open still.
async fn serve(
    stream: &mut TcpStream,
    target: &str,
    [requests, runs, sent]: [&AtomicUsize; 3],
    made: &Runs,
    script: fn(usize) -> Script,
) -> bool {
    let mut buffer = Vec::new();
    let mut number = 0;
    loop {
        let Some(request) = read_request(stream, &mut buffer).await else {
            return false;
        };
        let listed = made.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(text) = answer_with_runs(target, PROCESS, &request.path, &listed) {
            if stream.write_all(text.as_bytes()).await.is_err() {
                return false;
            }
            continue;
        }
        number += 1;
        requests.fetch_add(1, Ordering::Relaxed);
        let mut script = script(number);
        if let (Some(_), Some(first)) = (request.last_event, script.resumed) {
            (script.first, script.endless) = (first, "");
        }
        runs.fetch_add(usize::from(script.runs), Ordering::Relaxed);
        let counted = |part| script.first.matches(part).count();
        let events = counted("\ndata:") + counted("{lost}");
        if events > 0 {
            let before = request.last_event.unwrap_or(0) as usize;
            let mut made = made.lock().unwrap_or_else(PoisonError::into_inner);
            made.retain(|(id, _)| *id != request.id);
            made.push((request.id.clone(), before + events));
        }
        let first = script.first.replace("{id}", &request.id);
        let first = first.replace("{lost}", "");
        if stream.write_all(first.as_bytes()).await.is_err() {
            return false;
        }
        let repeated = script
            .endless
            .repeat(1024 / script.endless.len().max(1) + 1);
        while !script.endless.is_empty() {
            if stream.write_all(repeated.as_bytes()).await.is_err() {
                return false;
            }
            sent.fetch_add(repeated.len(), Ordering::Relaxed);
        }
        if script.dies || script.closes {
            return script.dies;
        }
    }
}

/// Returns the answer of a process of a target to a call that is not a request of a caller.
pub fn call_answer(target: &str, process: u64, path: &str) -> Option<String> {
    answer_with_runs(target, process, path, &[])
}

/// Returns that answer of a process that lists runs, each with the number of events that were made.
pub fn answer_with_runs(
    target: &str,
    process: u64,
    path: &str,
    runs: &[(String, usize)],
) -> Option<String> {
    let runs: Vec<_> = runs
        .iter()
        .map(|(id, events)| json!([id, 0, events, 5]))
        .collect();
    let report = json!({
        "stage": "decode", "busy": false, "sequence": 0, "models": [], "born": process, "runs": runs,
    });
    let body = match path {
        "/health" => String::new(),
        "/api/report" => report.to_string(),
        _ => return None,
    };
    let length = body.len();
    let head = format!("x-instance-id: {target}\r\ncontent-length: {length}");
    Some(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}"))
}

/// Reads a request with its body; returns `None` if the connection ends.
pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<RawRequest> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let header = |name: &str| {
                let lines = head.lines().filter_map(|line| line.split_once(':'));
                let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
                found.next().map(|(_, value)| value.trim().to_owned())
            };
            let length = header("content-length").map_or(0, |text| text.parse().unwrap_or(0));
            if rest.len() >= length {
                buffer.drain(..head.len() + 4 + length);
                let number = |name| header(name).and_then(|text| text.parse().ok());
                return Some(RawRequest {
                    id: header("x-request-id").unwrap_or_default(),
                    path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
                    last_event: number("last-event-id"),
                    timeout: number("x-deadline-ms").map(Duration::from_millis),
                });
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
        }
    }
}
