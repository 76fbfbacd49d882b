//! Calls and answers of the store, and the functions that encode and decode them.

use std::fmt;
use std::time::Duration;

use cactuslane_types::{Era, Position};
use hyper::HeaderMap;

/// A lease granted by [`KvClient::grant`](super::KvClient::grant).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// The era in which it was granted, after which it does not count.
    pub era: Era,
    /// Its id in the store.
    pub id: u64,
}

/// A key-value pair with the position of its last change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// The key, unique in the store.
    pub key: String,
    /// The value as stored, decoded from the wire format.
    pub value: Vec<u8>,
    /// The position of the last change of the key.
    pub position: Position,
    /// The id of the lease that the key is attached to, 0 for none; `None` if it is not known.
    pub lease: Option<u64>,
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
        /// The position of the deletion.
        position: Position,
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

/// Returns the position of a change.
#[must_use]
pub fn position_of(change: &Change) -> Position {
    match change {
        Change::Written(item) => item.position,
        Change::Deleted { position, .. } => *position,
    }
}

/// The result of the read of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRead {
    /// The item; `None` if the key does not exist.
    pub item: Option<Item>,
    /// The store's position at the read.
    pub position: Position,
}

/// One page of a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, ordered by key.
    pub items: Vec<Item>,
    /// Whether more items follow on the next page.
    pub has_more: bool,
    /// The store's position when the page was read.
    pub position: Position,
}

/// The result of one watch call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, ordered by revision; empty if the wait ended without one.
    pub changes: Vec<Change>,
    /// The position after which the next watch continues.
    pub position: Position,
}

/// A conditional set of writes and deletions, applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// The keys and the positions that they must have; revision 0 requires that the key does not
    /// exist.
    pub expected: Vec<(String, Position)>,
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

/// A complete answer of the store.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The era in which the store gave it.
    pub era: Era,
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: &'a [u8],
}

/// Decodes an answer of the store.
pub type Reader<T> = fn(&Answer) -> Result<T, KvError>;

/// The functions that encode requests and decode responses in a wire format.
#[derive(Clone, Debug)]
pub struct Codec {
    /// Decodes the era in the head of a response; returns `None` if it states none, and the
    /// malformed value as an error.
    pub read_era: fn(&HeaderMap) -> Result<Option<Era>, String>,
    /// Builds the call that reads one page of the keys with a prefix, starting after a key.
    pub range: fn(prefix: &str, after: Option<&str>) -> Call,
    /// Decodes the response to `range`.
    pub read_page: Reader<Page>,
    /// Builds the call that reads one key.
    pub key: fn(key: &str) -> Call,
    /// Decodes the response to `key`.
    pub read_key: Reader<KeyRead>,
    /// Builds the call that waits for changes of the keys with a prefix after a revision.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> Call,
    /// Decodes the response to `watch`.
    pub read_changes: Reader<Changes>,
    /// Builds the call that applies an update.
    pub update: fn(&Update) -> Call,
    /// Decodes the response to `update` and returns the position of the update.
    pub read_update: Reader<Position>,
    /// Builds the call that requests a lease with a time to live.
    pub grant: fn(Duration) -> Call,
    /// Decodes the response to `grant`.
    pub read_grant: Reader<Lease>,
    /// Builds the call that renews a lease for its time to live.
    pub renew: fn(Lease) -> Call,
    /// Decodes the response to `renew`, which carries no value.
    pub read_renew: Reader<()>,
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
    /// The history after the watched position is not available: it has been compacted, or the store
    /// is in a later era.
    Compacted,
    /// A key did not have its expected position, so the update was not applied.
    Conflict,
    /// The lease has expired, does not exist or is of an earlier era.
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
            Self::Compacted => f.write_str("the requested history is not available"),
            Self::Conflict => f.write_str("a key does not have its expected position"),
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
