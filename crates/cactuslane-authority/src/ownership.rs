//! The division of shards among instances.
//!
//! A shard is a fixed share of the targets, or the planner's office. Its owner holds a key under
//! a lease; the revision that created the key is the fencing number. Routing needs no owner.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use cactuslane_types::{Fencing, Incarnation, InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Number of shards of targets.
pub const SHARD_COUNT: usize = 32;
/// Name of the shard of the planner.
pub const PLANNER_SHARD: &str = "planner";
/// Number of instances that stand ready for one shard.
const CANDIDATES_PER_SHARD: usize = 3;
/// Time for which the first candidate must be steady before a shard moves to it.
const HANDOVER_DELAY: Millis = 30_000;

/// The record of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Decides which shards one instance acquires and releases.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// This instance.
    own_record: OwnerRecord,
    /// Holds the shards that this instance owns, with their fencing numbers.
    owned: BTreeMap<String, Fencing>,
    /// Holds, for each shard owned here, since when another instance ranks first.
    outranked: BTreeMap<String, (InstanceId, Millis)>,
}

/// A step of ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardAction {
    /// Create the shard's key under this instance's lease, if it is absent.
    Acquire(String),
    /// Delete the shard's key, if it is still of this fencing number.
    Release(String, Fencing),
}

impl Ownership {
    /// Creates the ownership of an instance that owns nothing.
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

    /// Returns this instance's record.
    #[must_use]
    pub fn own_record(&self) -> &OwnerRecord {
        &self.own_record
    }

    /// Returns the shards that this instance owns, with their fencing numbers.
    #[must_use]
    pub fn owned(&self) -> &BTreeMap<String, Fencing> {
        &self.owned
    }

    /// Returns the fencing number under which this instance owns a shard.
    #[must_use]
    pub fn fencing(&self, shard: &str) -> Option<Fencing> {
        self.owned.get(shard).copied()
    }

    /// Takes in the owners as the service holds them, with the revisions that created them.
    pub fn observed(&mut self, owners: &BTreeMap<String, (OwnerRecord, Fencing)>) {
        self.owned.clear();
        for (shard, (record, fencing)) in owners {
            if *record == self.own_record {
                self.owned.insert(shard.clone(), *fencing);
            }
        }
        let owned = &self.owned;
        self.outranked.retain(|shard, _| owned.contains_key(shard));
    }

    /// Forgets all ownership, as when the lease has lapsed or may have.
    pub fn lease_lost(&mut self) {
        self.owned.clear();
        self.outranked.clear();
    }

    /// Returns the steps to take, given the instances that serve and the shards with an owner.
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

    /// Returns whether a shard goes to another instance that has ranked first for long enough.
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

/// Returns the names of all shards.
#[must_use]
pub fn shards() -> Vec<String> {
    let numbered = (0..SHARD_COUNT).map(|index| format!("{index:02}"));
    numbered.chain([PLANNER_SHARD.to_owned()]).collect()
}

/// Returns the shard of a target.
#[must_use]
pub fn shard_of(target: &str) -> String {
    let mut hasher = DefaultHasher::new();
    hasher.write(target.as_bytes());
    format!("{:02}", hasher.finish() % SHARD_COUNT as u64)
}

/// Returns whether an instance stands ready for any shard, and so has to read the owners.
#[must_use]
pub fn is_candidate(instance: &str, serving: &BTreeSet<InstanceId>) -> bool {
    shards()
        .iter()
        .any(|shard| ranking(shard, serving).iter().any(|id| *id == instance))
}

/// Returns the instances that stand ready for a shard, the first one first.
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
