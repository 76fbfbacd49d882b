//! A client of a key-value store with revisions; a [`Codec`] supplies the wire format.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::{Request, Response};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::time::timeout;

use crate::http::{Client, HttpError, MAX_RESPONSE_BYTES};

/// Identifies a lease granted by [`KvClient::grant`].
pub type Lease = u64;
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

/// A key-value pair with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key, unique in the store.
    pub key: String,
    /// The value as stored, decoded from the wire format.
    pub value: Vec<u8>,
    /// The store's revision at the last change of the key.
    pub revision: u64,
}

/// One change of a key reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was created or its value was written again.
    Written(Item),
    /// A key was deleted, explicitly or because its lease expired.
    Deleted {
        /// The key that no longer exists.
        key: String,
        /// The revision of the deletion.
        revision: u64,
    },
}

/// Returns the key that a change concerns.
#[must_use]
pub fn key_of(change: &Change) -> &str {
    match change {
        Change::Written(item) => &item.key,
        Change::Deleted { key, .. } => key,
    }
}

/// Returns the revision of a change.
#[must_use]
pub fn revision_of(change: &Change) -> u64 {
    match change {
        Change::Written(item) => item.revision,
        Change::Deleted { revision, .. } => *revision,
    }
}

/// The result of the read of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRead {
    /// The item; `None` if the key does not exist.
    pub item: Option<Item>,
    /// The store's revision at the read.
    pub revision: u64,
}

/// One page of a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, ordered by key.
    pub items: Vec<Item>,
    /// Whether more items follow on the next page.
    pub has_more: bool,
    /// The store's revision when the page was read.
    pub revision: u64,
}

/// The result of one watch call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, ordered by revision; empty if the wait ended without one.
    pub changes: Vec<Change>,
    /// The revision after which the next watch continues.
    pub revision: u64,
}

/// A conditional set of writes and deletions, applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// The keys and the revisions that they must have; 0 requires that the key does not exist.
    pub expected: Vec<(String, u64)>,
    /// The keys and values to write, each attached to a lease if one is given.
    pub writes: Vec<(String, Vec<u8>, Option<Lease>)>,
    /// The keys to delete.
    pub deletes: Vec<String>,
}

/// A request in the store's wire format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method, in upper case.
    pub method: &'static str,
    /// The path and query of the URI, percent-encoded.
    pub path: String,
    /// The JSON body; `None` sends an empty one.
    pub body: Option<Vec<u8>>,
}

/// The functions that encode requests and decode responses in a wire format.
///
/// Each `read_*` function takes the HTTP status and the body of a response.
#[derive(Clone, Debug)]
pub struct Codec {
    /// Builds the call that reads one page of the keys with a prefix, starting after a key.
    pub range: fn(prefix: &str, after: Option<&str>) -> Call,
    /// Decodes the response to `range`.
    pub read_page: fn(u16, &[u8]) -> Result<Page, KvError>,
    /// Builds the call that reads one key.
    pub key: fn(key: &str) -> Call,
    /// Decodes the response to `key`.
    pub read_key: fn(u16, &[u8]) -> Result<KeyRead, KvError>,
    /// Builds the call that waits for changes of the keys with a prefix after a revision.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> Call,
    /// Decodes the response to `watch`.
    pub read_changes: fn(u16, &[u8]) -> Result<Changes, KvError>,
    /// Builds the call that applies an update.
    pub update: fn(&Update) -> Call,
    /// Decodes the response to `update` and returns the revision of the update.
    pub read_update: fn(u16, &[u8]) -> Result<u64, KvError>,
    /// Builds the call that requests a lease with a time to live.
    pub grant: fn(Duration) -> Call,
    /// Decodes the response to `grant`.
    pub read_grant: fn(u16, &[u8]) -> Result<Lease, KvError>,
    /// Builds the call that renews a lease for its time to live.
    pub renew: fn(Lease) -> Call,
    /// Decodes the response to `renew`, which carries no value.
    pub read_renew: fn(u16, &[u8]) -> Result<(), KvError>,
}

/// The reason why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvError {
    /// No connection was made, so nothing was done.
    Unreachable(String),
    /// No complete response was received: an update may have taken effect, or may do so later.
    Lost(String),
    /// The store answered with another error status; it is taken as a rejection without effect.
    Refused(String),
    /// The history after the watched revision has been compacted.
    Compacted,
    /// A key did not have its expected revision, so the update was not applied.
    Conflict,
    /// The lease has expired or does not exist.
    NoLease,
    /// The response cannot be decoded, so an update may have taken effect, or the request could not
    /// be built.
    Malformed(String),
}

impl fmt::Display for KvError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "store not reachable: {why}"),
            Self::Lost(why) => write!(f, "no complete response from the store: {why}"),
            Self::Refused(why) => write!(f, "refused by the store: {why}"),
            Self::Compacted => f.write_str("the requested history has been compacted"),
            Self::Conflict => f.write_str("a key does not have its expected revision"),
            Self::NoLease => f.write_str("the lease has expired or does not exist"),
            Self::Malformed(why) => write!(f, "malformed response from the store: {why}"),
        }
    }
}

impl KvError {
    /// Returns the value of the `result` label of the call counters for this error.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Lost(_) => "lost",
            Self::Refused(_) => "refused",
            Self::Compacted => "compacted",
            Self::Conflict => "conflict",
            Self::NoLease => "no_lease",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// A client of the store; clones share the connection pool and the counters.
#[derive(Clone, Debug)]
pub struct KvClient {
    /// The address of the store's HTTP API.
    address: SocketAddr,
    /// Encodes the requests and decodes the responses.
    codec: Arc<Codec>,
    /// The HTTP client; it reuses idle connections.
    client: Client,
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
            calls: Family::default(),
        }
    }

    /// Reads all items with a prefix and returns them with the store's revision at the first page.
    ///
    /// The pages are not a consistent snapshot: a watch after the returned revision reports the
    /// changes made while the later pages were read.
    ///
    /// # Errors
    ///
    /// Returns an error if reading any page fails.
    pub async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), KvError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let call = (self.codec.range)(prefix, after.as_deref());
            let read = self.codec.read_page;
            let page = self.call("range", call, CALL_TIMEOUT, read).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.has_more || empty {
                return Ok((items, revision));
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

    /// Waits up to `wait` for changes of the keys with a prefix after revision `after`, and returns
    /// the response once it has begun to arrive.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Lost`] if no response begins within `wait` plus [`WATCH_GRACE`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResponse, KvError> {
        let call = (self.codec.watch)(prefix, after, wait);
        let response = self.begin(call, wait + WATCH_GRACE).await;
        let response = response.inspect_err(|error| self.count("watch", Some(error)))?;
        let client = self.clone();
        Ok(WatchResponse { client, response })
    }

    /// Applies an update and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Lost`] or [`KvError::Malformed`] if the update may have taken effect.
    pub async fn update(&self, update: &Update) -> Result<u64, KvError> {
        let (call, read) = ((self.codec.update)(update), self.codec.read_update);
        self.call("update", call, CALL_TIMEOUT, read).await
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
    /// Returns [`KvError::NoLease`] if the lease has expired or does not exist.
    pub async fn renew(&self, lease: Lease) -> Result<(), KvError> {
        let (call, read) = ((self.codec.renew)(lease), self.codec.read_renew);
        self.call("renew", call, CALL_TIMEOUT, read).await
    }

    /// Sends a call, decodes the response and counts the result.
    async fn call<T>(
        &self,
        operation: &'static str,
        call: Call,
        wait: Duration,
        read: fn(u16, &[u8]) -> Result<T, KvError>,
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
        match timeout(wait, self.client.send(request)).await {
            Ok(Ok(response)) => Ok(PendingResponse(response)),
            Ok(Err(HttpError::Connect(why))) => Err(KvError::Unreachable(why)),
            Ok(Err(HttpError::Broken(why))) => Err(KvError::Lost(why)),
            Err(_) => Err(KvError::Lost(format!("no response within {wait:?}"))),
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
        self.response.0.body().size_hint().exact()
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

/// A response of which the head has been received.
#[derive(Debug)]
struct PendingResponse(Response<Incoming>);

impl PendingResponse {
    /// Receives the rest of the response and decodes it.
    async fn read<T>(self, read: fn(u16, &[u8]) -> Result<T, KvError>) -> Result<T, KvError> {
        let status = self.0.status().as_u16();
        let expected = self.0.body().size_hint().exact();
        let mut body = self.0.into_body();
        let mut received = Vec::new();
        loop {
            let Ok(frame) = timeout(STALL_TIMEOUT, body.frame()).await else {
                let (length, expected) = (received.len(), expected.unwrap_or_default());
                return Err(KvError::Lost(format!(
                    "stalled for {STALL_TIMEOUT:?} after {length} of {expected} bytes"
                )));
            };
            let Some(frame) = frame else {
                return read(status, &received);
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
