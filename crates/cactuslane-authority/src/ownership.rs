//! Division of shards among instances.
//!
//! A shard is a fixed share of the targets, or the planner's duties. Its owner holds a key under a
//! lease; the revision that created the key is the fencing token. Routing does not depend on
//! owners.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use cactuslane_types::{FencingToken, Incarnation, InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Number of shards of targets, not counting the planner shard.
pub const SHARD_COUNT: usize = 32;
/// Name of the planner shard, whose owner writes the plan.
pub const PLANNER_SHARD: &str = "planner";
/// Number of instances that may acquire one shard.
const CANDIDATES_PER_SHARD: usize = 3;
/// Time for which the same other instance must rank first without interruption before the owner
/// releases a shard to it, in milliseconds.
const HANDOVER_DELAY: Millis = 30_000;

/// The value of a shard owner's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The instance that owns the shard.
    pub instance: InstanceId,
    /// The incarnation of that instance, which distinguishes it from earlier processes.
    pub incarnation: Incarnation,
}

/// Decides which shards one instance acquires and releases.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// The record that identifies this process as owner.
    own_record: OwnerRecord,
    /// The shards that this instance owns, with their fencing tokens.
    owned: BTreeMap<String, FencingToken>,
    /// For each owned shard for which another instance ranks first: that instance and the time
    /// since which it does, in milliseconds on the clock of `now` in [`Self::next_actions`].
    outranked: BTreeMap<String, (InstanceId, Millis)>,
}

/// A change of ownership that the driver carries out in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardAction {
    /// Create the shard's key under this instance's lease, if the key is absent.
    Acquire(String),
    /// Delete the shard's key, if its creation revision still equals this fencing token.
    Release(String, FencingToken),
}

impl Ownership {
    /// Creates the state of an instance that owns nothing.
    #[must_use]
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        let own_record = OwnerRecord {
            instance: instance.to_owned(),
            incarnation,
        };
        Self {
            own_record,
            owned: BTreeMap::new(),
            outranked: BTreeMap::new(),
        }
    }

    /// Returns the record that this instance writes when it acquires a shard.
    #[must_use]
    pub fn own_record(&self) -> &OwnerRecord {
        &self.own_record
    }

    /// Returns the shards that this instance owns, with their fencing tokens.
    #[must_use]
    pub fn owned(&self) -> &BTreeMap<String, FencingToken> {
        &self.owned
    }

    /// Returns the fencing token under which this instance owns a shard; `None` if it does not.
    #[must_use]
    pub fn fencing(&self, shard: &str) -> Option<FencingToken> {
        self.owned.get(shard).copied()
    }

    /// Replaces what is known of the owners by the records read from the key-value service, each
    /// with the revision that created its key.
    pub fn observed(&mut self, owners: &BTreeMap<String, (OwnerRecord, FencingToken)>) {
        self.owned.clear();
        for (shard, (record, fencing)) in owners {
            if *record == self.own_record {
                self.owned.insert(shard.clone(), *fencing);
            }
        }
        let owned = &self.owned;
        self.outranked.retain(|shard, _| owned.contains_key(shard));
    }

    /// Drops all ownership, for a lease that has lapsed or may have lapsed.
    pub fn lease_lost(&mut self) {
        self.owned.clear();
        self.outranked.clear();
    }

    /// Returns the shards to acquire or release.
    ///
    /// `serving` are the instances that accept requests, and `taken` the shards that have an owner.
    /// `now` is in milliseconds on a monotonic clock.
    pub fn next_actions(
        &mut self,
        serving: &BTreeSet<InstanceId>,
        taken: &BTreeSet<String>,
        now: Millis,
    ) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        for shard in shards() {
            let ranked = ranking(&shard, serving);
            if let Some(&fencing) = self.owned.get(&shard) {
                if self.should_release(&shard, &ranked, serving, now) {
                    actions.push(ShardAction::Release(shard, fencing));
                }
                continue;
            }
            if !taken.contains(&shard) && ranked.iter().any(|id| **id == self.own_record.instance) {
                actions.push(ShardAction::Acquire(shard));
            }
        }
        actions
    }

    /// Returns whether this instance should release a shard: it no longer serves while others do,
    /// or the same other instance has ranked first for [`HANDOVER_DELAY`].
    fn should_release(
        &mut self,
        shard: &str,
        ranked: &[&InstanceId],
        serving: &BTreeSet<InstanceId>,
        now: Millis,
    ) -> bool {
        if !serving.contains(&self.own_record.instance) {
            return !serving.is_empty();
        }
        let first = ranked.first().copied();
        if first.is_none_or(|first| *first == self.own_record.instance) {
            self.outranked.remove(shard);
            return false;
        }
        let first = first.expect("checked above").clone();
        let entry = self
            .outranked
            .entry(shard.to_owned())
            .or_insert((first.clone(), now));
        if entry.0 != first {
            *entry = (first, now);
        }
        now.saturating_sub(entry.1) >= HANDOVER_DELAY
    }
}

/// Returns the names of all shards, the planner shard last.
#[must_use]
pub fn shards() -> Vec<String> {
    let numbered = (0..SHARD_COUNT).map(|index| format!("{index:02}"));
    numbered.chain([PLANNER_SHARD.to_owned()]).collect()
}

/// Returns the name of the shard that a target belongs to.
#[must_use]
pub fn shard_of(target: &str) -> String {
    let mut hasher = DefaultHasher::new();
    hasher.write(target.as_bytes());
    format!("{:02}", hasher.finish() % SHARD_COUNT as u64)
}

/// Returns whether an instance may acquire any shard and therefore has to read the owners.
#[must_use]
pub fn is_candidate(instance: &str, serving: &BTreeSet<InstanceId>) -> bool {
    shards()
        .iter()
        .any(|shard| ranking(shard, serving).iter().any(|id| *id == instance))
}

/// Returns the instances that may acquire a shard, in descending order of preference, by rendezvous
/// hashing.
fn ranking<'s>(shard: &str, serving: &'s BTreeSet<InstanceId>) -> Vec<&'s InstanceId> {
    let rank = |id: &InstanceId| {
        let mut hasher = DefaultHasher::new();
        hasher.write(shard.as_bytes());
        hasher.write_u8(0);
        hasher.write(id.as_bytes());
        hasher.finish()
    };
    let mut ranked: Vec<&InstanceId> = serving.iter().collect();
    ranked.sort_by_key(|id| std::cmp::Reverse(rank(id)));
    ranked.truncate(CANDIDATES_PER_SHARD);
    ranked
}
