//! The simulated store, which knows revisions and ids of leases but no eras.

use std::collections::BTreeMap;

use cactuslane_gateway::leadership::{LAST_LEADER_KEY, LEADER_KEY, LeaderRecord};
use cactuslane_store::kv::Update;
use cactuslane_types::Millis;

/// The contents of the store.
#[derive(Clone, Default)]
pub struct Contents {
    /// The revision of the last change.
    pub revision: u64,
    /// The leader key, with its revision and the id of its lease.
    pub leader: Option<(LeaderRecord, u64, u64)>,
    /// The last leader, with the revision of its key.
    pub last: Option<(String, u64)>,
    /// The ends of the leases by id.
    pub leases: BTreeMap<u64, Millis>,
    /// The number of leases that were granted, which are numbered in turn.
    pub granted: u64,
}

impl Contents {
    /// Removes the leases that have ended, with their keys.
    pub fn expire(&mut self, now: Millis) {
        self.leases.retain(|_, end| *end > now);
        let leases = &self.leases;
        if self
            .leader
            .take_if(|(_, _, lease)| !leases.contains_key(lease))
            .is_some()
        {
            self.revision += 1;
        }
    }

    /// Returns the revision of a key; 0 if it does not exist.
    fn revision_of(&self, key: &str) -> u64 {
        if key == LEADER_KEY {
            self.leader.as_ref().map_or(0, |(_, revision, _)| *revision)
        } else {
            self.last.as_ref().map_or(0, |(_, revision)| *revision)
        }
    }

    /// Applies an update, of which the store knows revisions and lease ids only.
    pub fn update(&mut self, update: &Update) -> Option<u64> {
        for (key, position) in &update.expected {
            if self.revision_of(key) != position.revision {
                return None;
            }
        }
        for (_, _, lease) in &update.writes {
            if lease.is_some_and(|lease| !self.leases.contains_key(&lease.id)) {
                return None;
            }
        }
        self.revision += 1;
        for (key, value, lease) in &update.writes {
            if key == LEADER_KEY {
                let record = serde_json::from_slice(value).expect("it is a record");
                let lease = lease.map_or(0, |lease| lease.id);
                self.leader = Some((record, self.revision, lease));
            } else {
                assert_eq!(key, LAST_LEADER_KEY);
                let name = String::from_utf8(value.clone()).expect("it is a name");
                self.last = Some((name, self.revision));
            }
        }
        if !update.deletes.is_empty() {
            self.leader = None;
        }
        Some(self.revision)
    }
}
