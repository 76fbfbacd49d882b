//! A client of a key-value store with revisions; a [`Codec`] supplies the wire format.
//!
//! A store that comes back from an older copy of its contents begins a new era, in which it may give
//! out the same revisions and leases again. The client keeps what was learnt in one era apart from
//! the next: a watch after a position of an earlier era has no history, a condition on one does not
//! hold, a lease of one has lapsed, and answers of one that arrive late are discarded.

mod codec;
mod eras;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_types::{Era, Position};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::{Request, Response};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::sync::watch;
use tokio::time::timeout;

pub use self::codec::{
    Answer, Call, Change, Changes, Codec, Item, KeyRead, KvError, Lease, Page, Update, key_of,
    position_of,
};

use self::codec::Reader;
use self::eras::Eras;
use crate::http::{Client, HttpError, MAX_RESPONSE_BYTES};

/// The labels of the call counters: `call` (the operation) and `result` (`ok` or
/// [`KvError::label`]).
pub type CallLabels = [(&'static str, &'static str); 2];

/// Timeout of one call except watches, from connecting to the head of the response.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time beyond the requested wait of a watch after which it is considered broken and fails with
/// [`KvError::Lost`].
pub const WATCH_GRACE: Duration = Duration::from_millis(700);
/// Time without a further byte of a response's body after which its connection is considered
/// broken. The body as a whole has no timeout, as a large one takes its time on a slow link.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A client of the store; clones share the connection pool, the known era and the counters.
#[derive(Clone, Debug)]
pub struct KvClient {
    /// The address of the store's HTTP API.
    address: SocketAddr,
    /// Encodes the requests and decodes the responses.
    codec: Arc<Codec>,
    /// The HTTP client; it reuses idle connections.
    client: Client,
    /// The latest era that an answer has stated.
    eras: Arc<Eras>,
    /// The completed calls, by operation and result, failed ones included.
    pub calls: Family<CallLabels, Counter>,
}

impl KvClient {
    /// Creates a client; it connects on the first call.
    #[must_use]
    pub fn open(address: SocketAddr, codec: Codec) -> Self {
        Self {
            address,
            codec: Arc::new(codec),
            client: Client::open(),
            eras: Arc::default(),
            calls: Family::default(),
        }
    }

    /// Returns the latest era that an answer of the store has stated; 0 before the first one.
    #[must_use]
    pub fn era(&self) -> Era {
        self.eras.known()
    }

    /// Returns a receiver of the latest era, which wakes its tasks at each new one.
    #[must_use]
    pub fn subscribe_era(&self) -> watch::Receiver<Era> {
        self.eras.subscribe()
    }

    /// Closes the connections that are idle, so that the next call makes a new one.
    pub fn close_idle(&self) {
        self.client.close_idle();
    }

    /// Reads all items with a prefix and returns them with the store's position at the first page.
    ///
    /// The pages are not a consistent snapshot: a watch after the returned position reports the
    /// changes made while the later pages were read.
    ///
    /// # Errors
    ///
    /// Returns an error if reading any page fails.
    pub async fn range(&self, prefix: &str) -> Result<(Vec<Item>, Position), KvError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_position = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let call = (self.codec.range)(prefix, after.as_deref());
            let read = self.codec.read_page;
            let page = self.call("range", call, CALL_TIMEOUT, read).await?;
            let position = *first_position.get_or_insert(page.position);
            if page.position.era != position.era {
                return Err(KvError::Compacted);
            }
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.has_more || empty {
                return Ok((items, position));
            }
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is lost or cannot be decoded.
    pub async fn get(&self, key: &str) -> Result<KeyRead, KvError> {
        let (call, read) = ((self.codec.key)(key), self.codec.read_key);
        self.call("key", call, CALL_TIMEOUT, read).await
    }

    /// Waits up to `wait` for changes of the keys with a prefix after a position, and returns the
    /// response once it has begun to arrive.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Lost`] if no response begins within `wait` plus [`WATCH_GRACE`], and
    /// [`KvError::Compacted`] if the store is in a later era than the position.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<WatchResponse, KvError> {
        let response = self.begin_watch(prefix, after, wait).await;
        let response = response.inspect_err(|error| self.count("watch", Some(error)))?;
        let client = self.clone();
        Ok(WatchResponse { client, response })
    }

    /// Sends a watch, unless it is known to have no history.
    async fn begin_watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<PendingResponse, KvError> {
        if after.era < self.era() {
            return Err(KvError::Compacted);
        }
        let call = (self.codec.watch)(prefix, after.revision, wait);
        let response = self.begin(call, wait + WATCH_GRACE).await?;
        if response.era > after.era {
            // The revision that was sent is another one in this era.
            return Err(KvError::Compacted);
        }
        Ok(response)
    }

    /// Applies an update and returns its position.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Lost`] or [`KvError::Malformed`] if the update may have taken effect,
    /// which includes an update that a later era may have applied although its conditions or leases
    /// are of an earlier one.
    pub async fn update(&self, update: &Update) -> Result<Position, KvError> {
        if let Some(error) = find_outdated(update, self.era()) {
            self.count("update", Some(&error));
            return Err(error);
        }
        let (call, read) = ((self.codec.update)(update), self.codec.read_update);
        let position = self.call("update", call, CALL_TIMEOUT, read).await?;
        if find_outdated(update, position.era).is_some() {
            return Err(KvError::Lost(format!(
                "applied only in era {}",
                position.era
            )));
        }
        Ok(position)
    }

    /// Requests a lease with the time to live `ttl`.
    ///
    /// # Errors
    ///
    /// Returns an error if no lease was granted or the outcome is unknown.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, KvError> {
        let (call, read) = ((self.codec.grant)(ttl), self.codec.read_grant);
        self.call("grant", call, CALL_TIMEOUT, read).await
    }

    /// Renews a lease for its full time to live.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::NoLease`] if the lease has expired, does not exist or is of an earlier
    /// era.
    pub async fn renew(&self, lease: Lease) -> Result<(), KvError> {
        if lease.era < self.era() {
            self.count("renew", Some(&KvError::NoLease));
            return Err(KvError::NoLease);
        }
        let (call, read) = ((self.codec.renew)(lease), self.codec.read_renew);
        self.call("renew", call, CALL_TIMEOUT, read).await?;
        // The era may have begun with this very answer.
        if lease.era < self.era() {
            return Err(KvError::NoLease);
        }
        Ok(())
    }

    /// Sends a call, decodes the response and counts the result.
    async fn call<T>(
        &self,
        operation: &'static str,
        call: Call,
        wait: Duration,
        read: Reader<T>,
    ) -> Result<T, KvError> {
        let result = match self.begin(call, wait).await {
            Ok(response) => response.read(read).await,
            Err(error) => Err(error),
        };
        self.count(operation, result.as_ref().err());
        result
    }

    /// Counts a completed call.
    fn count(&self, operation: &'static str, error: Option<&KvError>) {
        let label = error.map_or("ok", KvError::label);
        let labels = [("call", operation), ("result", label)];
        self.calls.get_or_create(&labels).inc();
    }

    /// Sends a call and returns the response once its head has been received.
    async fn begin(&self, call: Call, wait: Duration) -> Result<PendingResponse, KvError> {
        let body = Bytes::from(call.body.unwrap_or_default());
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| KvError::Malformed(error.to_string()))?;
        match self.client.send_within(request, wait).await {
            Ok(response) => {
                let era = self
                    .eras
                    .observe((self.codec.read_era)(response.headers()))?;
                let eras = self.eras.clone();
                Ok(PendingResponse {
                    response,
                    era,
                    eras,
                })
            }
            Err(HttpError::Connect(why)) => Err(KvError::Unreachable(why)),
            Err(HttpError::Broken(why)) => Err(KvError::Lost(why)),
        }
    }
}

/// The response to a watch, whose changes may still be arriving.
#[derive(Debug)]
pub struct WatchResponse {
    /// The client that sent the watch.
    client: KvClient,
    /// The response, of which the head has been received.
    response: PendingResponse,
}

impl WatchResponse {
    /// Returns the size of the response in bytes, if the store states it.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.response.response.body().size_hint().exact()
    }

    /// Reads the changes.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Compacted`] if the history after the watched revision is no longer
    /// available, so that the keys must be read again with [`KvClient::range`], and
    /// [`KvError::Lost`] if the response breaks off or stalls for 700 ms.
    pub async fn changes(self) -> Result<Changes, KvError> {
        let result = self.response.read(self.client.codec.read_changes).await;
        self.client.count("watch", result.as_ref().err());
        result
    }
}

/// Returns the error of an update with a condition or a lease from before an era, which do not hold
/// in it.
fn find_outdated(update: &Update, era: Era) -> Option<KvError> {
    for (_, _, lease) in &update.writes {
        if lease.is_some_and(|lease| lease.era < era) {
            return Some(KvError::NoLease);
        }
    }
    for (_, position) in &update.expected {
        if position.revision != 0 && position.era < era {
            return Some(KvError::Conflict);
        }
    }
    None
}

/// A response of which the head has been received.
#[derive(Debug)]
struct PendingResponse {
    /// The response.
    response: Response<Incoming>,
    /// The era in which the store gave it.
    era: Era,
    /// The latest era, which may begin before the rest has arrived.
    eras: Arc<Eras>,
}

impl PendingResponse {
    /// Receives the rest of the response and decodes it.
    async fn read<T>(self, read: Reader<T>) -> Result<T, KvError> {
        let status = self.response.status().as_u16();
        let expected = self.response.body().size_hint().exact();
        let mut body = self.response.into_body();
        let mut received = Vec::new();
        loop {
            let Ok(frame) = timeout(STALL_TIMEOUT, body.frame()).await else {
                let (length, expected) = (received.len(), expected.unwrap_or_default());
                return Err(KvError::Lost(format!(
                    "stalled for {STALL_TIMEOUT:?} after {length} of {expected} bytes"
                )));
            };
            let Some(frame) = frame else {
                self.eras.check(self.era)?;
                return read(&Answer {
                    era: self.era,
                    status,
                    body: &received,
                });
            };
            let frame = frame.map_err(|error| KvError::Lost(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                received.extend_from_slice(&data);
            }
            if received.len() > MAX_RESPONSE_BYTES {
                return Err(KvError::Lost(format!(
                    "response of more than {MAX_RESPONSE_BYTES} bytes"
                )));
            }
        }
    }
}
