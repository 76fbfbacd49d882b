//! The instances of this deployment, as the store and their messages tell them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactuslane_types::{DomainName, InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Silence after which an instance is left out while others are heard, in milliseconds.
const MESSAGE_TIMEOUT: Millis = 1300;
/// Time for which a vanished instance that is still heard is kept, in milliseconds.
const LAPSED_RETENTION: Millis = 6000;

/// What an instance registers of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its address for callers.
    pub front: SocketAddr,
    /// Its address for messages between instances.
    pub peer: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The start of its process, in Unix milliseconds.
    pub started: u64,
}

/// The other instances.
#[derive(Debug, Default)]
pub struct Members {
    /// The instances by id.
    members: BTreeMap<InstanceId, MemberState>,
}

/// One other instance.
#[derive(Debug)]
struct MemberState {
    /// What it registered.
    member: Member,
    /// The time at which it was first known.
    since: Millis,
    /// The time at which it was heard last.
    last_message: Option<Millis>,
    /// The time at which it vanished from the store.
    lapsed: Option<Millis>,
}

impl MemberState {
    /// Returns whether the instance was heard lately.
    fn is_reachable(&self, now: Millis) -> bool {
        self.last_message
            .is_some_and(|at| now <= at + MESSAGE_TIMEOUT)
    }

    /// Returns whether the instance was heard lately and is not leaving.
    fn is_alive(&self, now: Millis) -> bool {
        self.is_reachable(now) && !self.member.leaving
    }
}

impl Members {
    /// Takes an instance's entry.
    pub fn put(&mut self, member: Member, now: Millis) {
        let old = self.members.get(&member.instance);
        let same = old.filter(|old| old.member.started == member.started);
        let known = MemberState {
            since: same.map_or(now, |old| old.since),
            last_message: same.and_then(|old| old.last_message),
            lapsed: None,
            member,
        };
        self.members.insert(known.member.instance.clone(), known);
    }

    /// Records that an instance vanished from the store.
    pub fn lapse(&mut self, instance: &str, now: Millis) {
        if let Some(known) = self.members.get_mut(instance) {
            known.lapsed.get_or_insert(now);
        }
    }

    /// Records that only these instances are in the store.
    pub fn retain(&mut self, present: &[InstanceId], now: Millis) {
        for (instance, known) in &mut self.members {
            if !present.contains(instance) {
                known.lapsed.get_or_insert(now);
            }
        }
    }

    /// Records that an instance was heard.
    pub fn record_message(&mut self, instance: &str, now: Millis) {
        if let Some(known) = self.members.get_mut(instance) {
            known.last_message = Some(now);
        }
    }

    /// Returns the addresses for messages to the others.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.members
            .values()
            .map(|known| known.member.peer)
            .collect()
    }

    /// Returns the number of instances that share a budget, this one included.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Forgets instances that vanished long ago.
    pub fn sweep(&mut self, now: Millis) -> Vec<InstanceId> {
        let gone = |known: &MemberState| {
            let lapsed = known
                .lapsed
                .is_some_and(|lapsed| now > lapsed + LAPSED_RETENTION);
            lapsed && !known.is_reachable(now)
        };
        let mut removed = Vec::new();
        self.members.retain(|instance, known| {
            let gone = gone(known);
            if gone {
                removed.push(instance.clone());
            }
            !gone
        });
        removed
    }

    /// Returns the instances that were heard lately and are not leaving.
    #[must_use]
    pub fn alive(&self, now: Millis) -> Vec<InstanceId> {
        let mut alive = Vec::new();
        for (instance, known) in &self.members {
            if known.is_alive(now) {
                alive.push(instance.clone());
            }
        }
        alive
    }

    /// Returns the number of instances that were heard lately and are not leaving.
    #[must_use]
    pub fn count_alive(&self, now: Millis) -> usize {
        let members = self.members.values();
        members.filter(|known| known.is_alive(now)).count()
    }

    /// Returns those of them in a failure domain.
    #[must_use]
    pub fn alive_in_domain(&self, domain: &DomainName, now: Millis) -> Vec<InstanceId> {
        let mut alive = self.alive(now);
        alive.retain(|instance| self.members[instance].member.domain == *domain);
        alive
    }

    /// Returns the addresses for messages to the others in a failure domain.
    #[must_use]
    pub fn domain_peer_addresses(&self, domain: &DomainName) -> Vec<SocketAddr> {
        let in_domain = |known: &&MemberState| known.member.domain == *domain;
        let members = self.members.values().filter(in_domain);
        members.map(|known| known.member.peer).collect()
    }

    /// Returns the addresses for callers of the instances that seem to serve.
    ///
    /// An instance that hears none of the others can't tell which of them are gone, and returns
    /// all that it knows.
    #[must_use]
    pub fn serving(&self, now: Millis) -> Vec<(SocketAddr, DomainName)> {
        let isolated = !self.members.values().any(|known| known.is_reachable(now));
        let mut serving = Vec::new();
        for known in self.members.values() {
            let fresh = known.last_message.is_none() && now <= known.since + MESSAGE_TIMEOUT;
            let lives = known.is_reachable(now) || (known.lapsed.is_none() && (fresh || isolated));
            if known.member.leaving || !lives {
                continue;
            }
            serving.push((known.member.front, known.member.domain.clone()));
        }
        serving
    }
}
