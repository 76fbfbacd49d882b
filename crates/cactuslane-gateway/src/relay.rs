//! Relays of store changes: in a large deployment, few instances of each failure domain watch the
//! store and send its changes to the others.
//!
//! A relay holds all changes between two revisions, except for those of a large configuration
//! document, which each instance reads for itself. An instance applies the changes after the
//! revision that it knows; if changes are missing, or no recent relay arrives, it reads the store
//! itself.

use std::time::Duration;

use cactuslane_platform::store::CONFIG_KEY;
use cactuslane_store::kv::{Change, Changes, Item, WATCH_GRACE, key_of};
use cactuslane_types::{Era, FIRST_ERA, InstanceId, Millis, Position};
use serde::{Deserialize, Serialize};

use crate::backoff::FIRST_PAUSE;
use crate::keys::{RECORDS_PREFIX, USAGE_PREFIX};
use crate::ranking::{count_ahead, is_small_deployment, is_top_ranked};

/// Number of instances of each failure domain that watch the store in a large deployment; the
/// second one covers the time until the failure of the first one is noticed.
const WATCHERS: usize = 2;
/// Longest age of its knowledge of the store at which an instance that receives relays reads the
/// store itself, in milliseconds.
///
/// Each of the two watchers of a failure domain sends a relay at least about every 800 ms, after a
/// watch of up to 500 ms and a pause of 300 ms, so that the timeout covers two rounds, one of each
/// watcher, and a lost datagram.
const RELAY_TIMEOUT: Millis = 1_500;
/// Shortest age at which it does so, in milliseconds: one round of a watcher.
const MIN_RELAY_TIMEOUT: Millis = 800;
/// Time within which an instance has read the changes of small values, also beside a large response,
/// in milliseconds.
pub const READ_TIME: Millis = 400;
/// Time added to [`RELAY_TIMEOUT`] for each instance that ranks before one among those that do not
/// watch the store, in milliseconds: the first one that can read the store then relays what it read
/// before the others need to.
const STAND_IN_STEP: Millis = 50;
/// Number of instances for which the time is added at most.
const STAND_INS: u64 = 6;
/// Largest size of the keys and values in one relay, in bytes, so that it fits in a datagram; only
/// several changes of one revision may exceed it together.
const MAX_BYTES: usize = 8 << 10;

/// A message that holds all store changes between two revisions of one era, except for those of a
/// large document. The era is stated beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The revision after which the changes begin, exclusive.
    pub from: u64,
    /// The revision up to which the changes are complete, inclusive.
    pub to: u64,
    /// The changes in the order of their revisions; empty if nothing changed.
    pub changes: Vec<RelayedChange>,
    /// Whether the sender's previous call to the store had failed.
    pub recovered: bool,
    /// What the relay says of the configuration document.
    pub document: DocumentRange,
    /// The age of the sender's knowledge of the store when the relay was sent, in milliseconds.
    pub age: Millis,
}

/// The revisions between which a relay holds all changes of the document, unless one is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRange {
    /// The first revision, exclusive.
    pub from: u64,
    /// The last revision, inclusive.
    pub to: u64,
    /// A revision at which the document has a change that is not in the relay, as it is too large
    /// or still arriving at the sender; 0 if there is none.
    pub missing: u64,
}

/// One change in a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChange {
    /// The key that was written or deleted.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// How a relay continues the revision that an instance knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Continuation {
    /// The changes after the known revision, and the revision that is known once they are applied.
    Changes(Vec<Change>, u64),
    /// All changes of the relay are known already.
    Known,
    /// Changes between the known revision and the relay are missing, so the store must be read.
    Gap,
}

impl Relay {
    /// Packs the changes after revision `from`, and those of the document after revision
    /// `document`, into relays, at least one.
    ///
    /// A document that is too large for a relay is marked as missing. Other revisions with a change
    /// that is too large are left out, which receivers notice as a gap.
    #[must_use]
    pub fn pack(from: u64, document: u64, changes: &Changes) -> Vec<Self> {
        let last = changes.position.revision;
        let to = last.max(from);
        let mut relays = Vec::new();
        let mut relay = Self::after(from);
        relay.document.from = document;
        let mut bytes = 0;
        for change in &changes.changes {
            let key = key_of(change);
            if key.starts_with(RECORDS_PREFIX) || key.starts_with(USAGE_PREFIX) {
                // An instance that needs the records of streams or reports reads them itself.
                continue;
            }
            let relayed = RelayedChange::from_change(change);
            let size = relayed.key.len() + relayed.value.as_ref().map_or(0, Vec::len);
            let is_document = relayed.key == CONFIG_KEY;
            if is_document && size > MAX_BYTES {
                relay.document.missing = relayed.revision;
                continue;
            }
            if size > MAX_BYTES {
                let next = Self::after(relayed.revision);
                relays.push(std::mem::replace(&mut relay, next).before(relayed.revision));
                bytes = 0;
                continue;
            }
            if relayed.revision <= relay.from && !is_document {
                // The change belongs to an update of which another change was too large.
                continue;
            }
            // One update may make several changes under one revision, which must not be split.
            if bytes + size > MAX_BYTES && relayed.revision > relay.to {
                let next = Self::after(relay.to);
                relays.push(std::mem::replace(&mut relay, next));
                bytes = 0;
            }
            bytes += size;
            relay.to = relay.to.max(relayed.revision);
            relay.changes.push(relayed);
        }
        relay.to = relay.to.max(to);
        relays.push(relay);
        for relay in &mut relays {
            relay.document.to = relay.to.min(last);
        }
        relays
    }

    /// Marks the document as possibly changed up to `revision`, as the sender is still receiving
    /// it.
    pub fn withhold_document(&mut self, revision: u64) {
        self.document.to = self.document.from;
        self.document.missing = revision;
    }

    /// Creates a relay without changes that begins after a revision.
    fn after(revision: u64) -> Self {
        Self {
            from: revision,
            to: revision,
            changes: Vec::new(),
            recovered: false,
            document: DocumentRange {
                from: revision,
                ..DocumentRange::default()
            },
            age: 0,
        }
    }

    /// Truncates the relay so that it ends before a revision, of which a change is too large.
    fn before(mut self, revision: u64) -> Self {
        self.changes.retain(|change| change.revision < revision);
        self.to = self.to.min(revision - 1).max(self.from);
        self
    }

    /// Returns how the relay of an era continues the state of an instance that knows all changes up
    /// to `known`, except perhaps those of the document.
    ///
    /// A relay of an earlier era changes nothing, and one of a later era leaves a gap.
    #[must_use]
    pub fn continue_from(self, era: Era, known: Position) -> Continuation {
        // A relay without an era is one of the first era or of a store that states none.
        let order = era.max(FIRST_ERA).cmp(&known.era.max(FIRST_ERA));
        let (era, known) = (known.era, known.revision);
        if order.is_lt() || (order.is_eq() && self.to <= known) {
            return Continuation::Known;
        }
        if order.is_gt() || self.from > known {
            return Continuation::Gap;
        }
        let mut changes = Vec::new();
        for change in self.changes {
            // An older document does not replace a newer one.
            if change.revision > known || change.key == CONFIG_KEY {
                changes.push(change.into_change(era));
            }
        }
        Continuation::Changes(changes, self.to)
    }
}

impl RelayedChange {
    /// Converts a change of the store to the form in relays.
    fn from_change(change: &Change) -> Self {
        match change {
            Change::Written(item) => Self {
                key: item.key.clone(),
                revision: item.position.revision,
                value: Some(item.value.clone()),
            },
            Change::Deleted { key, position } => Self {
                key: key.clone(),
                revision: position.revision,
                value: None,
            },
        }
    }

    /// Converts the change back to the form in which the store reports it.
    fn into_change(self, era: Era) -> Change {
        let (key, position) = (self.key, Position::new(era, self.revision));
        match self.value {
            Some(value) => Change::Written(Item {
                key,
                value,
                position,
                lease: None,
            }),
            None => Change::Deleted { key, position },
        }
    }
}

/// Returns whether an instance watches the store: in a large deployment two of each failure domain
/// do, by rendezvous hash.
///
/// `others` is the number of other instances that are reachable and not leaving, `neighbours` those
/// of them in the failure domain of `me`.
#[must_use]
pub fn is_watcher(me: &str, others: usize, neighbours: &[InstanceId]) -> bool {
    is_small_deployment(others) || is_top_ranked(me, neighbours, "watch", WATCHERS)
}

/// Returns the age of its knowledge of the store at which an instance that receives relays reads the
/// store itself, in milliseconds; `neighbours` are as for [`is_watcher`].
///
/// After that age one read may fail, and the next one is complete before the knowledge is older than
/// `limit`, for which the instance may rely on it, unless the limit is too short for that.
#[must_use]
pub fn relay_timeout(me: &str, neighbours: &[InstanceId], limit: Duration) -> Millis {
    let ahead = count_ahead(me, neighbours, "watch").saturating_sub(WATCHERS as u64);
    let reads = (WATCH_GRACE + FIRST_PAUSE).as_millis() as Millis + READ_TIME;
    let left = (limit.as_millis() as Millis).saturating_sub(reads + STAND_IN_STEP * STAND_INS);
    left.clamp(MIN_RELAY_TIMEOUT, RELAY_TIMEOUT) + STAND_IN_STEP * ahead.min(STAND_INS)
}
