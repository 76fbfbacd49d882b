//! Platform: the key-value service, the instance list with its lag, and the weight store.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuslane_held::{CallerLeft, ChunkSender, chunks};
use hyper::body::{Bytes, Incoming};
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, Response};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::faults::{FaultKind, Faults};
use crate::http::{self, Answer, Body, Server};
use crate::kv::{self, Kv};

/// Name under which fault tables address the platform.
pub const NAME: &str = "platform";

/// Running platform; dropping it stops the server.
#[derive(Debug)]
pub struct Platform {
    /// The HTTP server.
    server: Server,
    /// The state that the server's handlers share.
    state: Arc<State>,
}

/// Entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The address on which it serves requests.
    pub address: SocketAddr,
    /// The labels, `instance` with its name included.
    pub labels: BTreeMap<String, String>,
}

/// Numbers of calls to the platform since its start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// The number of range requests.
    pub reads: u64,
    /// The number of transactions, grants and renewals of leases.
    pub writes: u64,
    /// The number of watches opened.
    pub watches: u64,
    /// The number of requests for the instance list.
    pub lists: u64,
}

/// State of a platform.
#[derive(Debug)]
struct State {
    /// The part that changes.
    inner: Mutex<Inner>,
    /// Wakes watches after a transaction, after the removal of all leases and when `down` is set.
    changed: Notify,
    /// The faults to inject.
    faults: Faults,
    /// The start of the clock by which leases expire.
    start: Instant,
    /// The time from a change of the instance list until it is published.
    lag: Duration,
}

/// Mutable state of a platform, behind a lock.
#[derive(Debug, Default)]
struct Inner {
    /// The key-value service.
    kv: Kv,
    /// The current instance list, by name.
    instances: BTreeMap<String, Instance>,
    /// The list after each recent change, with the time from which it is published.
    published: VecDeque<(Instant, BTreeMap<String, Instance>)>,
    /// Whether the platform is down: all calls but `/stand-in/faults` and all watches are closed.
    down: bool,
    /// The calls so far.
    counts: CallCounts,
    /// The earliest time of the weight store's next grant.
    next_weights: Option<Instant>,
}

impl Platform {
    /// Starts a platform whose instance list publishes changes after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, faults: Faults, lag: Duration) -> io::Result<Self> {
        let state = Arc::new(State {
            inner: Mutex::default(),
            changed: Notify::new(),
            faults,
            start: Instant::now(),
            lag,
        });
        let handler_state = Arc::clone(&state);
        let server = Server::bind(address, move |request| {
            handle(Arc::clone(&handler_state), request)
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Returns the address that all its services listen on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Adds an instance to the list or replaces it; the change is published after the lag.
    pub fn list_instance(&self, name: &str, address: SocketAddr, labels: &[(&str, &str)]) {
        let mut labels: BTreeMap<String, String> = labels
            .iter()
            .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()))
            .collect();
        labels.insert("instance".to_owned(), name.to_owned());
        let mut inner = self.state.lock();
        inner
            .instances
            .insert(name.to_owned(), Instance { address, labels });
        inner.publish(self.state.lag);
    }

    /// Publishes the current list at once, as if the lag had passed since the last change.
    pub fn publish_now(&self) {
        self.state.lock().publish(Duration::ZERO);
    }

    /// Sets the label `state` of a listed instance to `leaving`.
    pub fn mark_leaving(&self, name: &str) {
        let mut inner = self.state.lock();
        if let Some(instance) = inner.instances.get_mut(name) {
            instance
                .labels
                .insert("state".to_owned(), "leaving".to_owned());
        }
        inner.publish(self.state.lag);
    }

    /// Removes an instance from the list; the change is published after the lag.
    pub fn remove_instance(&self, name: &str) {
        let mut inner = self.state.lock();
        inner.instances.remove(name);
        inner.publish(self.state.lag);
    }

    /// Writes a key directly, without an HTTP call, as an operator does with the platform's tools.
    pub fn put(&self, key: &str, value: &[u8]) {
        use base64::Engine;
        let encode = |bytes: &[u8]| base64::engine::general_purpose::STANDARD.encode(bytes);
        let put = json!({ "key": encode(key.as_bytes()), "value": encode(value) });
        let mut inner = self.state.lock();
        inner
            .kv
            .txn(&json!({ "success": [{ "request_put": put }] }));
        self.state.changed.notify_waiters();
    }

    /// Sets whether the platform is down; if so, all calls and watches are closed.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
        self.state.changed.notify_waiters();
    }

    /// Removes all leases and their keys immediately, as if they had expired early.
    pub fn expire_all_leases(&self) {
        self.state.lock().kv.expire_all_leases();
        self.state.changed.notify_waiters();
    }

    /// Drops the changes that watches could still read.
    pub fn compact(&self) {
        self.state.lock().kv.compact();
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.state.lock().counts
    }
}

impl State {
    /// Locks the mutable state, and first removes the expired leases.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.kv.expire(self.now());
        inner
    }

    /// Returns the time since the start, in milliseconds.
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

impl Inner {
    /// Publishes the current list after `lag`; without a lag it replaces all others.
    fn publish(&mut self, lag: Duration) {
        let instances = self.instances.clone();
        if lag.is_zero() {
            self.published.clear();
        }
        self.published.push_back((Instant::now() + lag, instances));
    }

    /// Returns the newest list whose lag has passed, as JSON; empty before the first.
    fn published_list(&mut self) -> Value {
        let now = Instant::now();
        while self.published.len() > 1 && self.published[1].0 <= now {
            self.published.pop_front();
        }
        let empty = BTreeMap::new();
        let list = match self.published.front() {
            Some((at, list)) if *at <= now => list,
            _ => &empty,
        };
        let group = |instance: &Instance| json!({ "targets": [instance.address.to_string()], "labels": instance.labels });
        Value::Array(list.values().map(group).collect())
    }
}

/// Answers one request, after the fault that hits it.
async fn handle(state: Arc<State>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if path == "/stand-in/faults" {
        return set_faults(&state, request).await;
    }
    let kind = operation(&path);
    if state.lock().down {
        return Err(http::closed());
    }
    let fault = state.faults.take(NAME, kind);
    if fault
        .as_ref()
        .is_some_and(|fault| fault.kind == FaultKind::Down)
    {
        return Err(http::closed());
    }
    let known = request.headers().get(IF_NONE_MATCH).cloned();
    let body = http::read(request.into_body()).await?;
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if path == "/instances" {
        let answer = list_answer(&state, known.as_ref());
        return http::apply_fault(answer, fault).await;
    }
    if path == "/v3/watch" {
        state.lock().counts.watches += 1;
        return Ok(watch(state, &body["create_request"]));
    }
    let answer = answer(&state, &path, &body);
    http::apply_fault(answer, fault).await
}

/// Returns the name of a path's operation in fault tables.
fn operation(path: &str) -> &'static str {
    match path {
        "/v3/kv/range" => "read",
        "/v3/kv/txn" => "write",
        "/v3/watch" => "watch",
        "/instances" => "list",
        "/weights" => "weights",
        _ => "lease",
    }
}

/// Executes a call to the key-value service (other than a watch) or to the weight store.
fn answer(state: &State, path: &str, body: &Value) -> Response<Body> {
    let now = state.now();
    let mut inner = state.lock();
    match path {
        "/v3/kv/range" => {
            inner.counts.reads += 1;
            http::json(200, &inner.kv.range(body))
        }
        "/v3/kv/txn" => {
            inner.counts.writes += 1;
            let answer = inner.kv.txn(body);
            state.changed.notify_waiters();
            http::json(200, &answer)
        }
        "/v3/lease/grant" => {
            inner.counts.writes += 1;
            http::json(200, &inner.kv.grant(body, now))
        }
        "/v3/lease/keepalive" => {
            inner.counts.writes += 1;
            http::json(200, &inner.kv.keepalive(body, now))
        }
        "/weights" => weights(&mut inner),
        _ => http::json(404, &json!({ "error": "no such call" })),
    }
}

/// Answers with the instance list, or with status 304 if `known` is its entity tag.
fn list_answer(state: &State, known: Option<&HeaderValue>) -> Response<Body> {
    let mut inner = state.lock();
    inner.counts.lists += 1;
    let list = inner.published_list();
    let mut hasher = DefaultHasher::new();
    hasher.write(list.to_string().as_bytes());
    let tag = format!("\"{:016x}\"", hasher.finish());
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return http::json(304, &Value::Null);
    }
    let mut answer = http::json(200, &list);
    if let Ok(tag) = tag.parse() {
        answer.headers_mut().insert(ETAG, tag);
    }
    answer
}

/// Grants one load of model weights, or answers with the time to wait.
fn weights(inner: &mut Inner) -> Response<Body> {
    /// Minimum time between two grants.
    const INTERVAL: Duration = Duration::from_secs(2);
    let now = Instant::now();
    match inner.next_weights {
        Some(next) if next > now => {
            let wait = (next - now).as_millis() as u64;
            http::json(429, &json!({ "retry_after_ms": wait }))
        }
        _ => {
            inner.next_weights = Some(now + INTERVAL);
            http::json(200, &json!({ "granted": true }))
        }
    }
}

/// Streams the changes of one key, until the caller leaves, the platform goes down or the log no
/// longer reaches back to the next revision.
fn watch(state: Arc<State>, request: &Value) -> Response<Body> {
    let key = kv::bytes(&request["key"]);
    let mut from = kv::number(&request["start_revision"]);
    let (sender, body) = chunks::open(8);
    tokio::spawn(async move {
        let created = json!({ "result": { "created": true } });
        if send_line(&sender, &created).await.is_err() {
            return;
        }
        loop {
            let changed = state.changed.notified();
            let (line, next) = {
                let inner = state.lock();
                if inner.down {
                    break;
                }
                watch_line(&inner.kv, &key, from)
            };
            if let Some(line) = line
                && send_line(&sender, &line).await.is_err()
            {
                return;
            }
            let Some(next) = next else {
                return sender.finish();
            };
            from = next;
            tokio::select! {
                () = changed => {}
                () = sender.closed() => return,
            }
        }
        sender.abort();
    });
    Response::new(http::streamed(body))
}

/// Returns the next line of a watch, if there are changes, and the revision to continue from.
///
/// There is no such revision if the watch ends because its start is no longer in the log.
fn watch_line(kv: &Kv, key: &[u8], from: u64) -> (Option<Value>, Option<u64>) {
    match kv.changes(key, from) {
        Err(floor) => {
            let line =
                json!({ "result": { "canceled": true, "compact_revision": floor.to_string() } });
            (Some(line), None)
        }
        Ok(events) => {
            let next = Some(from.max(kv.revision() + 1));
            if events.is_empty() {
                return (None, next);
            }
            (
                Some(json!({ "result": { "header": kv.header(), "events": events } })),
                next,
            )
        }
    }
}

/// Sends one line of a watch; returns an error if the caller has left.
async fn send_line(sender: &ChunkSender, line: &Value) -> Result<(), CallerLeft> {
    let bytes = Bytes::from(format!("{line}\n"));
    sender.send(bytes).await
}

/// Replaces the table of faults by the JSON array in a request's body.
async fn set_faults(state: &State, request: Request<Incoming>) -> Answer {
    let body = http::read(request.into_body()).await?;
    let table: Result<Vec<crate::faults::Fault>, _> = serde_json::from_slice(&body);
    match table {
        Ok(table) => {
            state.faults.clear();
            for fault in table {
                state.faults.add(fault);
            }
            Ok(http::json(200, &json!({})))
        }
        Err(error) => Ok(http::json(400, &json!({ "error": error.to_string() }))),
    }
}
