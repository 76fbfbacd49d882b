//! A narrow client of a revisioned key-value store, for any wire form that a [`Codec`] gives.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::time::timeout;

use crate::http::{Client, HttpError};

/// Identifies a lease.
pub type Lease = u64;
/// The labels of a counter of calls.
pub type CallLabels = [(&'static str, &'static str); 2];

/// Longest time that one call may take, waiting watches apart.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time beyond its wait after which a watch counts as broken.
pub const WATCH_GRACE: Duration = Duration::from_millis(700);

/// A key's value and the revisions that the store keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last change.
    pub revision: u64,
}

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Item),
    /// A key was deleted, or its lease ended.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: u64,
    },
}

/// One page of a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more items follow.
    pub has_more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// What a watch reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes in the order of their revisions.
    pub changes: Vec<Change>,
    /// The revision from which to go on.
    pub revision: u64,
}

/// A change under a condition; all of it takes effect or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// The revisions that keys must have; 0 stands for no such key.
    pub expected: Vec<(String, u64)>,
    /// The values to write, each under a lease if one is given.
    pub writes: Vec<(String, Vec<u8>, Option<Lease>)>,
    /// The keys to delete.
    pub deletes: Vec<String>,
}

/// A request in the store's wire form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The body, if the call has one.
    pub body: Option<Vec<u8>>,
}

/// A wire form of the store's calls and answers.
///
/// Each `read` function takes the status and the body of an answer.
#[derive(Clone, Debug)]
pub struct Codec {
    /// Builds the call that reads a page of a prefix, after a key.
    pub range: fn(prefix: &str, after: Option<&str>) -> Call,
    /// Reads a page.
    pub read_page: fn(u16, &[u8]) -> Result<Page, KvError>,
    /// Builds the call that waits for changes of a prefix after a revision.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> Call,
    /// Reads the changes.
    pub read_changes: fn(u16, &[u8]) -> Result<Changes, KvError>,
    /// Builds the call that makes an update.
    pub update: fn(&Update) -> Call,
    /// Reads the revision of an update.
    pub read_update: fn(u16, &[u8]) -> Result<u64, KvError>,
    /// Builds the call that grants a lease.
    pub grant: fn(Duration) -> Call,
    /// Reads the lease that was granted.
    pub read_grant: fn(u16, &[u8]) -> Result<Lease, KvError>,
    /// Builds the call that renews a lease.
    pub renew: fn(Lease) -> Call,
    /// Reads an answer that carries nothing.
    pub read_renew: fn(u16, &[u8]) -> Result<(), KvError>,
}

/// The reason why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvError {
    /// The store was not reached: nothing was done.
    Unreachable(String),
    /// No answer came: an update may have taken effect, or may do so later.
    Lost(String),
    /// The store refused the call: nothing was done.
    Refused(String),
    /// The history after the revision is gone.
    Compacted,
    /// The expected revisions did not hold.
    Conflict,
    /// The lease has ended.
    NoLease,
    /// The answer can't be read.
    Malformed(String),
}

impl fmt::Display for KvError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "store not reachable: {why}"),
            Self::Lost(why) => write!(f, "no answer from the store: {why}"),
            Self::Refused(why) => write!(f, "refused by the store: {why}"),
            Self::Compacted => f.write_str("the history is gone"),
            Self::Conflict => f.write_str("the expected revisions did not hold"),
            Self::NoLease => f.write_str("the lease has ended"),
            Self::Malformed(why) => write!(f, "unreadable answer from the store: {why}"),
        }
    }
}

impl KvError {
    /// Returns the word for it in metrics.
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

/// A client of the store; clones share its connections and counters.
#[derive(Clone, Debug)]
pub struct KvClient {
    /// The store's address.
    address: SocketAddr,
    /// The wire form.
    codec: Arc<Codec>,
    /// The connections.
    client: Client,
    /// The calls that have ended, by operation and result.
    pub calls: Family<CallLabels, Counter>,
}

impl KvClient {
    /// Opens a client; no connection is made before the first call.
    #[must_use]
    pub fn open(address: SocketAddr, codec: Codec) -> Self {
        Self {
            address,
            codec: Arc::new(codec),
            client: Client::open(),
            calls: Family::default(),
        }
    }

    /// Reads all items with a prefix, and the store's revision before the first page.
    ///
    /// The pages are no snapshot: a watch from the returned revision reports what changed meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error where any page has no answer.
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

    /// Waits for changes of the keys with a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Compacted`] where the keys must be read anew.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, KvError> {
        let call = (self.codec.watch)(prefix, after, wait);
        let read = self.codec.read_changes;
        self.call("watch", call, wait + WATCH_GRACE, read).await
    }

    /// Makes an update and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Lost`] where the update may have taken effect.
    pub async fn update(&self, update: &Update) -> Result<u64, KvError> {
        let (call, read) = ((self.codec.update)(update), self.codec.read_update);
        self.call("update", call, CALL_TIMEOUT, read).await
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns an error where no lease was granted, or nobody knows.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, KvError> {
        let (call, read) = ((self.codec.grant)(ttl), self.codec.read_grant);
        self.call("grant", call, CALL_TIMEOUT, read).await
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::NoLease`] where the lease has ended.
    pub async fn renew(&self, lease: Lease) -> Result<(), KvError> {
        let (call, read) = ((self.codec.renew)(lease), self.codec.read_renew);
        self.call("renew", call, CALL_TIMEOUT, read).await
    }

    /// Sends one call, reads its answer and counts its result.
    async fn call<T>(
        &self,
        operation: &'static str,
        call: Call,
        wait: Duration,
        read: fn(u16, &[u8]) -> Result<T, KvError>,
    ) -> Result<T, KvError> {
        let response = self.send(call, wait).await;
        let result = response.and_then(|(status, body)| read(status, &body));
        let label = result.as_ref().err().map_or("ok", KvError::label);
        let labels = [("call", operation), ("result", label)];
        self.calls.get_or_create(&labels).inc();
        result
    }

    /// Sends one call and returns the status and the body of the answer.
    async fn send(&self, call: Call, wait: Duration) -> Result<(u16, Bytes), KvError> {
        let body = Bytes::from(call.body.unwrap_or_default());
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| KvError::Malformed(error.to_string()))?;
        match timeout(wait, self.client.send_and_collect(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(HttpError::Connect(why))) => Err(KvError::Unreachable(why)),
            Ok(Err(HttpError::Broken(why))) => Err(KvError::Lost(why)),
            Err(_) => Err(KvError::Lost(format!("nothing within {wait:?}"))),
        }
    }
}
