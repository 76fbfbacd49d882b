//! The platform's key-value store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{base64, quote, unbase64, Value};

/// Largest number of items of one page.
const PAGE: usize = 500;
/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

/// An item; the value is in base64.
#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision: the key, and the item unless it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    /// Times of the changes in the history.
    times: Vec<Instant>,
    /// The last revision that the history has lost.
    lost: u64,
    /// Leases with their time to live and their ends.
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Addresses in workers' entries and those that are stated in their place, as a machine reaches its
    /// workers over links of this test.
    links: Vec<(String, String)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let (store, listener) = Self::bind(Arc::default(), Vec::new());
        store.lock().revision = 10;
        store.listen(listener);
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.expire();
        });
        store
    }

    /// Starts another door to the same store, at which workers' entries state other addresses.
    pub fn with_links(&self, links: Vec<(String, String)>) -> Self {
        let (store, listener) = Self::bind(self.state.clone(), links);
        store.listen(listener);
        store
    }

    fn bind(
        state: Arc<(Mutex<State>, Condvar)>,
        links: Vec<(String, String)>,
    ) -> (Self, TcpListener) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            address,
            state,
            links,
        };
        (store, listener)
    }

    fn listen(&self, listener: TcpListener) {
        let serving = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key as the operator or a worker does.
    pub fn write(&self, key: &str, json: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, base64(json.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    /// Deletes a key as a worker does.
    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            state.end_lease(*id);
        }
        let old = state.times.iter().filter(|at| at.elapsed() > HISTORY);
        let old = old.count();
        if old > 0 {
            state.lost = state.history[old - 1].0;
            state.history.drain(..old);
            state.times.drain(..old);
        }
        drop(state);
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let (status, body) = self.answer(&request);
            if connection.answer_json(status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let query = parse_query(query);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let body = Value::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
        match (request.method(), path) {
            ("GET", "/api/kv-key") => {
                let state = self.lock();
                let revision = state.revision;
                match state.items.get(&text("key")) {
                    Some(item) => {
                        let item = self.describe(&text("key"), item);
                        let item = item.trim_end_matches('}');
                        (200, format!("{item},\"current_rev\":{revision}}}"))
                    }
                    None => (404, format!("{{\"current_rev\":{revision}}}")),
                }
            }
            ("GET", "/api/kv-range") => {
                let state = self.lock();
                let (prefix, after) = (text("prefix"), text("after"));
                let mut found = Vec::new();
                for (key, item) in &state.items {
                    if key.starts_with(&prefix) && *key > after {
                        found.push(self.describe(key, item));
                    }
                }
                let more = found.len() > PAGE;
                found.truncate(PAGE);
                let items = found.join(",");
                let revision = state.revision;
                let body = format!(
                    "{{\"items\":[{items}],\"has_more\":{more},\"current_rev\":{revision}}}"
                );
                (200, body)
            }
            ("GET", "/api/kv-watch") => self.watch(
                &text("prefix"),
                number("after"),
                Duration::from_millis(number("wait_ms").min(30_000)),
            ),
            ("POST", "/api/kv-txn") => self.update(&body),
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttl_ms").and_then(Value::number).unwrap_or(1000.0);
                let ttl = (ttl as u64).max(1000);
                let mut state = self.lock();
                state.revision += 1;
                let id = 77_000 + state.revision;
                let ttl_time = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(id, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let mut state = self.lock();
                match id.and_then(|id: u64| state.leases.get_mut(&id)) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                self.lock().end_lease(id.unwrap_or(0));
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    /// Returns an item as JSON.
    fn describe(&self, key: &str, item: &Item) -> String {
        let mut value = item.value.clone();
        if key.starts_with("servers/") && !self.links.is_empty() {
            let mut text = String::from_utf8_lossy(&unbase64(&value)).into_owned();
            for (from, to) in &self.links {
                text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
            }
            value = base64(text.as_bytes());
        }
        format!(
            "{{\"key\":{},\"value\":\"{value}\",\"revision\":{},\"create_revision\":{},\"lease\":{}}}",
            quote(key),
            item.revision,
            item.created,
            item.lease
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if after < state.lost {
                return (410, "{}".to_owned());
            }
            let mut events = Vec::new();
            for (revision, key, item) in &state.history {
                if *revision > after && key.starts_with(prefix) {
                    events.push(match item {
                        Some(item) => self.describe(key, item),
                        None => {
                            let key = quote(key);
                            format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                        }
                    });
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                return (200, body);
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn update(&self, body: &Value) -> (u16, String) {
        let mut state = self.lock();
        let list = |name: &str| body.get(name).map(Value::list).unwrap_or_default();
        let key_of = |row: &Value| {
            row.get("key")
                .and_then(Value::text)
                .unwrap_or_default()
                .to_owned()
        };
        let mut conflict = false;
        let mut current = Vec::new();
        for row in list("expected") {
            let key = key_of(row);
            let wanted = row.get("revision").and_then(Value::number).unwrap_or(0.0) as u64;
            let item = state.items.get(&key);
            conflict |= item.map_or(0, |item| item.revision) != wanted;
            current.extend(item.map(|item| self.describe(&key, item)));
        }
        if conflict {
            return (412, format!("{{\"items\":[{}]}}", current.join(",")));
        }
        let mut writes = Vec::new();
        for row in list("writes") {
            let value = row.get("value").and_then(Value::text).unwrap_or_default();
            let lease = row.get("lease").and_then(Value::number).unwrap_or(0.0) as u64;
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            writes.push((key_of(row), value.to_owned(), lease));
        }
        state.revision += 1;
        for (key, value, lease) in writes {
            state.put(&key, value, lease);
        }
        for key in list("deletes") {
            state.remove(key.text().unwrap_or_default());
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
        self.times.push(Instant::now());
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
            self.times.push(Instant::now());
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        self.revision += 1;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id && id != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// Decodes the query of a path.
fn parse_query(query: &str) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    for pair in query.split('&') {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let mut decoded = Vec::new();
        let bytes = value.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            let code = value.get(at + 1..at + 3);
            let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
            match (bytes[at], code) {
                (b'%', Some(code)) => {
                    decoded.push(code);
                    at += 3;
                }
                (byte, _) => {
                    decoded.push(byte);
                    at += 1;
                }
            }
        }
        let value = String::from_utf8_lossy(&decoded).into_owned();
        values.insert(name.to_owned(), value);
    }
    values
}
