//! The platform's store.

use super::*;

/// An item, with its value in base64.
#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A change: the item that was written, or `None` if the key was deleted.
type Event = (u64, String, Option<Item>);

/// The contents.
#[derive(Debug, Default)]
struct Contents {
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    revision: u64,
    leases: HashMap<u64, (u64, Instant)>,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Contents {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |old| old.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    /// Ends leases that have run out, and removes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, end)| *end > now);
        let leases = &self.leases;
        let gone = |item: &Item| item.lease != 0 && !leases.contains_key(&item.lease);
        let keys = self.items.iter().filter(|(_, item)| gone(item));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

impl Store {
    /// Starts a store at an address.
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        store.contents.lock().unwrap().revision = 100;
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.write(key, encode(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.contents.lock().unwrap().delete(key);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = read_request(&mut reader).ok()??;
            let (status, body) = self.call(&request);
            write_json(&mut stream, status, &body).ok()?;
        }
    }

    fn call(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_query(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut contents = self.contents.lock().unwrap();
        contents.expire();
        match path {
            "/api/kv-key" => match contents.items.get(&text("key")) {
                Some(item) => {
                    let rest = format!(",\"current_rev\":{}", contents.revision);
                    (200, show(&text("key"), item, &rest))
                }
                None => (404, format!("{{\"current_rev\":{}}}", contents.revision)),
            },
            "/api/kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let fits = |key: &String| key.starts_with(&prefix) && *key > after;
                let items = contents.items.iter().filter(|(key, _)| fits(key));
                let items: Vec<String> = items.map(|(key, item)| show(key, item, "")).collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
                    items.join(","),
                    contents.revision
                );
                (200, body)
            }
            "/api/kv-watch" => {
                let (prefix, after) = (text("prefix"), text("after").parse().unwrap_or(0));
                let wait: u64 = text("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let mut events = Vec::new();
                    for (revision, key, item) in &contents.history {
                        if *revision <= after || !key.starts_with(&prefix) {
                            continue;
                        }
                        events.push(match item {
                            Some(item) => show(key, item, ""),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                            ),
                        });
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"events\":[{}],\"current_rev\":{}}}",
                            events.join(","),
                            contents.revision
                        );
                        return (200, body);
                    }
                    let turn = left.min(Duration::from_millis(100));
                    contents = self.changed.wait_timeout(contents, turn).unwrap().0;
                    contents.expire();
                }
            }
            "/api/kv-txn" => {
                let Some(body) = json::parse(&request.body) else {
                    return (400, "{}".to_owned());
                };
                for row in body.list("expected") {
                    let known = contents.items.get(row.text("key"));
                    let revision = known.map_or(0, |item| item.revision);
                    if revision != row.number("revision") {
                        return (412, "{\"items\":[]}".to_owned());
                    }
                }
                for row in body.list("writes") {
                    let lease = row.number("lease");
                    if lease != 0 && !contents.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                }
                for row in body.list("writes") {
                    let value = row.text("value").to_owned();
                    contents.write(row.text("key"), value, row.number("lease"));
                }
                for key in body.list("deletes") {
                    if let Value::Text(key) = key {
                        contents.delete(key);
                    }
                }
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", contents.revision))
            }
            "/api/kv-lease" => {
                let ttl = json::parse(&request.body).map_or(1000, |body| body.number("ttl_ms"));
                let lease = 1_000 + contents.revision * 1_000 + contents.leases.len() as u64;
                let end = Instant::now() + Duration::from_millis(ttl);
                contents.revision += 1;
                contents.leases.insert(lease, (ttl, end));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            _ if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let known = lease.and_then(|lease: u64| contents.leases.get_mut(&lease));
                let Some((ttl, end)) = known else {
                    return (404, "{}".to_owned());
                };
                *end = Instant::now() + Duration::from_millis(*ttl);
                (200, format!("{{\"ttl_ms\":{ttl}}}"))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn show(key: &str, item: &Item, rest: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}{rest}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut at, mut decoded) = (0, Vec::new());
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn encode(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let all = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (all >> (18 - 6 * place)) & 63;
                text.push(ALPHABET[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
