//! The other instances of this deployment, by their store entries and their messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactuslane_types::{DomainName, InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Time without messages after which an instance no longer counts as reachable, in milliseconds.
/// Relays do not count as messages here.
const MESSAGE_TIMEOUT: Millis = 1300;
/// Time without messages after which another instance issues permits in place of one, in
/// milliseconds.
const ISSUER_TIMEOUT: Millis = 2500;
/// Time for which an instance is kept after its store entry vanished, in milliseconds; it is kept
/// longer while its messages still arrive.
const LAPSED_RETENTION: Millis = 6000;

/// The store entry by which an instance registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The address for callers.
    pub front: SocketAddr,
    /// The UDP address for messages between instances.
    pub peer: SocketAddr,
    /// The failure domain.
    pub domain: DomainName,
    /// Whether the instance is shutting down, so that its address is not given to callers.
    pub leaving: bool,
    /// The start of its process, in Unix milliseconds.
    pub started: u64,
    /// Whether its build compares the configuration of a request that is passed on to it with its own;
    /// the entries of builds that do not lack this.
    #[serde(default)]
    pub compares: bool,
}

/// The other instances.
///
/// All times are in milliseconds on the clock of this instance.
#[derive(Debug, Default)]
pub struct Members {
    /// The instances by name.
    members: BTreeMap<InstanceId, MemberState>,
}

/// Another instance, with what was observed of it.
#[derive(Debug)]
struct MemberState {
    /// The entry that it registered.
    member: Member,
    /// The time at which the first entry of its process was read.
    since: Millis,
    /// The arrival time of its last message, if one has arrived.
    last_message: Option<Millis>,
    /// The time at which its entry vanished from the store, unless it was written again.
    lapsed: Option<Millis>,
}

impl MemberState {
    /// Returns whether a message of the instance arrived within the message timeout.
    fn is_reachable(&self, now: Millis) -> bool {
        self.last_message
            .is_some_and(|at| now <= at + MESSAGE_TIMEOUT)
    }

    /// Returns whether the instance is reachable and not leaving.
    fn is_alive(&self, now: Millis) -> bool {
        self.is_reachable(now) && !self.member.leaving
    }
}

impl Members {
    /// Applies an instance's entry; what was observed of an earlier process is discarded.
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

    /// Records that an instance's entry vanished from the store.
    pub fn lapse(&mut self, instance: &str, now: Millis) {
        if let Some(known) = self.members.get_mut(instance) {
            known.lapsed.get_or_insert(now);
        }
    }

    /// Records that the entries of all instances but `present` have vanished from the store.
    pub fn retain(&mut self, present: &[InstanceId], now: Millis) {
        for (instance, known) in &mut self.members {
            if !present.contains(instance) {
                known.lapsed.get_or_insert(now);
            }
        }
    }

    /// Records that a message other than a relay arrived from an instance; this has no effect
    /// before the instance's entry was read.
    pub fn record_message(&mut self, instance: &str, now: Millis) {
        if let Some(known) = self.members.get_mut(instance) {
            known.last_message = Some(now);
        }
    }

    /// Returns the addresses for messages to all other instances.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.members
            .values()
            .map(|known| known.member.peer)
            .collect()
    }

    /// Returns the number of known instances, this one included, among which the slack of retry
    /// budgets is divided.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns the instances that may issue permits for targets: those that are not leaving and
    /// have sent a message recently.
    ///
    /// If half of the instances or more are silent, the fault may lie with this one, and all that
    /// are not leaving are returned, so that it does not take over from those that it cannot reach.
    #[must_use]
    pub fn issuer_candidates(&self, now: Millis) -> Vec<InstanceId> {
        let is_heard = |known: &MemberState| {
            let heard = known.last_message.unwrap_or(known.since);
            now <= heard + ISSUER_TIMEOUT
        };
        let silent = self.members.values().filter(|known| !is_heard(known));
        let isolated = silent.count() * 2 >= self.instance_count();
        let mut candidates = Vec::new();
        for (instance, known) in &self.members {
            if !known.member.leaving && (isolated || is_heard(known)) {
                candidates.push(instance.clone());
            }
        }
        candidates
    }

    /// Returns the address for messages to an instance, if the instance is reachable.
    #[must_use]
    pub fn reachable_address(&self, instance: &str, now: Millis) -> Option<SocketAddr> {
        let known = self.members.get(instance)?;
        known.is_reachable(now).then_some(known.member.peer)
    }

    /// Returns the address for messages to an instance, whether or not it is reachable.
    #[must_use]
    pub fn peer_address(&self, instance: &str) -> Option<SocketAddr> {
        Some(self.members.get(instance)?.member.peer)
    }

    /// Removes and returns the instances whose entries vanished more than 6 s ago and that are not
    /// reachable.
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

    /// Returns the instances that are reachable and not leaving.
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

    /// Returns whether an instance is known.
    #[must_use]
    pub fn is_known(&self, instance: &str) -> bool {
        self.members.contains_key(instance)
    }

    /// Returns the processes of the instances that are reachable and not leaving.
    #[must_use]
    pub fn alive_processes(&self, now: Millis) -> Vec<(InstanceId, u64)> {
        self.processes(|known| known.is_alive(now))
    }

    /// Returns the processes of which no message has arrived yet, as of those that do not know this instance after it
    /// deleted its entry, then those of the instances that are reachable and leaving.
    #[must_use]
    pub fn spare_processes(&self, now: Millis) -> Vec<(InstanceId, u64)> {
        let is_new = |known: &MemberState| {
            let is_registered = known.lapsed.is_none() && !known.member.leaving;
            is_registered && known.last_message.is_none()
        };
        let mut processes = self.processes(is_new);
        let is_leaving = |known: &MemberState| known.is_reachable(now) && known.member.leaving;
        processes.extend(self.processes(is_leaving));
        processes
    }

    /// Returns the processes of the instances for which a condition holds.
    fn processes(&self, condition: impl Fn(&MemberState) -> bool) -> Vec<(InstanceId, u64)> {
        let mut processes = Vec::new();
        for (instance, known) in &self.members {
            if condition(known) {
                processes.push((instance.clone(), known.member.started));
            }
        }
        processes
    }

    /// Returns the instances that may serve the callers of this one, with their failure domains:
    /// those that are reachable, not leaving, and decline a request whose configuration they lack.
    #[must_use]
    pub fn helpers(&self, now: Millis) -> Vec<(InstanceId, DomainName)> {
        let mut helpers = Vec::new();
        for (instance, known) in &self.members {
            if known.is_alive(now) && known.member.compares {
                helpers.push((instance.clone(), known.member.domain.clone()));
            }
        }
        helpers
    }

    /// Returns the number of instances that are reachable and not leaving.
    #[must_use]
    pub fn count_alive(&self, now: Millis) -> usize {
        let members = self.members.values();
        members.filter(|known| known.is_alive(now)).count()
    }

    /// Returns the instances of a failure domain that are reachable and not leaving.
    #[must_use]
    pub fn alive_in_domain(&self, domain: &DomainName, now: Millis) -> Vec<InstanceId> {
        let mut alive = self.alive(now);
        alive.retain(|instance| self.members[instance].member.domain == *domain);
        alive
    }

    /// Returns the addresses for messages to the other instances of a failure domain.
    #[must_use]
    pub fn domain_peer_addresses(&self, domain: &DomainName) -> Vec<SocketAddr> {
        let in_domain = |known: &&MemberState| known.member.domain == *domain;
        let members = self.members.values().filter(in_domain);
        members.map(|known| known.member.peer).collect()
    }

    /// Returns the front addresses and failure domains of the instances that appear to serve.
    ///
    /// An instance that is not leaving counts as serving if it is reachable, or if its entry was
    /// first read within the last 1.3 s, still exists, and no message has arrived yet. If no other
    /// instance is reachable, the fault may lie with this one, which then cannot know which of them
    /// failed: all whose entries still exist and that are not leaving are returned.
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
