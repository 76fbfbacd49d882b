//! Changes of the store that few instances of a failure domain read and pass on to the others.
//!
//! A relay holds all changes between two revisions. An instance takes those that continue what it
//! knows; where something is missing, or nothing comes, it reads the store itself.

use cactuslane_store::kv::{Change, Changes, Item};
use cactuslane_types::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

use crate::ranking::is_top_ranked;

/// Instances up to which all read the store themselves: few calls are saved among so few.
const SMALL_FLEET: usize = 12;
/// Instances of each failure domain that read the store in a larger fleet; the second one covers the
/// time in which the first one's end is noticed.
const WATCHERS: usize = 2;
/// Silence of all watchers after which an instance reads the store itself, in milliseconds: two of
/// their rounds, and a lost datagram.
pub const SILENCE: Millis = 1_500;
/// Bytes of changes in one relay, so that it fits a datagram.
const MAX_BYTES: usize = 8 << 10;

/// Changes on their way to other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The revision after which the changes begin.
    pub from: u64,
    /// The revision up to which they go.
    pub to: u64,
    /// The changes.
    pub changes: Vec<RelayedChange>,
    /// Whether the store has just come back to the one that read it.
    pub recovered: bool,
}

/// One change of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChange {
    /// The key.
    pub key: String,
    /// The revision.
    pub revision: u64,
    /// The value; nothing where the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// What an instance makes of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It takes these changes, and then knows all up to a revision.
    Changes(Vec<Change>, u64),
    /// It knows all of it.
    Known,
    /// Something is missing: it reads the store.
    Gap,
}

impl Relay {
    /// Packs the changes of a watch that began after a revision.
    ///
    /// Changes that are too large to pass on are left out, which the others notice as a gap.
    #[must_use]
    pub fn pack(from: u64, changes: &Changes) -> Vec<Self> {
        let to = changes.revision.max(from);
        let mut relays = Vec::new();
        let mut relay = Self::after(from);
        let mut bytes = 0;
        for change in &changes.changes {
            let relayed = RelayedChange::of(change);
            let size = relayed.key.len() + relayed.value.as_ref().map_or(0, Vec::len);
            if size > MAX_BYTES {
                let next = Self::after(relayed.revision);
                relays.push(std::mem::replace(&mut relay, next).before(relayed.revision));
                bytes = 0;
                continue;
            }
            if relayed.revision <= relay.from {
                // It belongs to an update of which something was too large.
                continue;
            }
            // A relay ends between two revisions, as one update may make several changes.
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
        relays
    }

    /// Creates a relay without changes.
    fn after(revision: u64) -> Self {
        Self {
            from: revision,
            to: revision,
            changes: Vec::new(),
            recovered: false,
        }
    }

    /// Returns the part of the relay before a revision, an update of which is missing in it.
    fn before(mut self, revision: u64) -> Self {
        self.changes.retain(|change| change.revision < revision);
        self.to = self.to.min(revision - 1).max(self.from);
        self
    }

    /// Returns what an instance that knows all up to a revision makes of the relay.
    #[must_use]
    pub fn take(self, known: u64) -> Taken {
        if self.to <= known {
            return Taken::Known;
        }
        if self.from > known {
            return Taken::Gap;
        }
        let mut changes = Vec::new();
        for change in self.changes {
            if change.revision > known {
                changes.push(change.change());
            }
        }
        Taken::Changes(changes, self.to)
    }
}

impl RelayedChange {
    /// Creates the form of a change that is passed on.
    fn of(change: &Change) -> Self {
        match change {
            Change::Written(item) => Self {
                key: item.key.clone(),
                revision: item.revision,
                value: Some(item.value.clone()),
            },
            Change::Deleted { key, revision } => Self {
                key: key.clone(),
                revision: *revision,
                value: None,
            },
        }
    }

    /// Returns the change.
    fn change(self) -> Change {
        let (key, revision) = (self.key, self.revision);
        match self.value {
            Some(value) => Change::Written(Item {
                key,
                value,
                revision,
            }),
            None => Change::Deleted { key, revision },
        }
    }
}

/// Returns whether an instance reads the store for its failure domain.
///
/// `others` are the other instances that were heard lately, `neighbours` those of its domain.
#[must_use]
pub fn watches(me: &str, others: usize, neighbours: &[InstanceId]) -> bool {
    is_small(others) || is_top_ranked(me, neighbours, "watch", WATCHERS)
}

/// Returns whether a fleet is so small that all its instances do all themselves.
#[must_use]
pub fn is_small(others: usize) -> bool {
    others < SMALL_FLEET
}
