//! The office of the one instance that gives orders to engines.
//!
//! All times are those of [`boot_millis`].

use cactuslane_authority::leader_term::{LeaderTerm, lease_valid_until};
use cactuslane_store::kv::{Lease, Update};
use cactuslane_types::{Fencing, InstanceId, Millis};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// The key of the instance that gives orders.
pub const LEADER_KEY: &str = "cactuslane/leader";
/// The key of the instance that gave orders last; it does not lapse.
pub const LAST_LEADER_KEY: &str = "cactuslane/last-leader";

/// What an instance knows of the office.
#[derive(Debug, Default)]
pub struct Leadership {
    /// The lease under which this instance is registered, and until when it surely holds.
    lease: Option<(Lease, Millis)>,
    /// The process that holds the office, by the store.
    leader: Option<LeaderRecord>,
    /// The instance that gave orders last, with the revision of its key, once the store was read.
    last: Option<(Option<InstanceId>, u64)>,
    /// The right of this process to give orders.
    term: Option<LeaderTerm>,
}

/// A process that holds the office.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The instance.
    pub instance: InstanceId,
    /// The start of its process, in Unix milliseconds.
    pub started: u64,
}

/// An attempt to take the office.
#[derive(Clone, Debug)]
pub struct Candidacy {
    /// The update that takes it.
    pub update: Update,
    /// The time to wait before the first order, in milliseconds.
    pub settle: Millis,
}

impl Leadership {
    /// Records that the lease holds by a call that was sent at a time.
    pub fn renewed(&mut self, lease: Lease, sent: Millis, ttl: Millis) {
        self.lease = Some((lease, lease_valid_until(sent, ttl)));
        if let Some(term) = &mut self.term {
            term.renewed(sent, ttl);
        }
    }

    /// Records that the lease has ended, and with it the office.
    pub fn lapsed(&mut self) {
        self.lease = None;
        self.term = None;
    }

    /// Takes what the store says of the holder, with the revision that says so.
    ///
    /// Observation from before this process took the office is old. An office that this process took
    /// without getting the answer is found here; it settles for `settle` milliseconds.
    pub fn observe_leader(
        &mut self,
        leader: Option<LeaderRecord>,
        revision: u64,
        me: &LeaderRecord,
        settle: Millis,
        now: Millis,
    ) {
        if self.term.is_some_and(|term| revision < term.fencing) {
            return;
        }
        if leader.as_ref() != Some(me) {
            self.term = None;
        } else if self.term.is_none() {
            self.acquired(revision, settle, now);
        }
        self.leader = leader;
    }

    /// Takes what the store says of the instance that gave orders last.
    pub fn observe_last_leader(&mut self, instance: Option<InstanceId>, revision: u64) {
        self.last = Some((instance, revision));
    }

    /// Returns the attempt to take the office, if it seems vacant.
    ///
    /// `gap` is the time that must lie between orders of two holders, in milliseconds, and `ttl`
    /// that for which a holder that is cut off may believe in its lease.
    #[must_use]
    pub fn candidacy(
        &self,
        me: &LeaderRecord,
        gap: Millis,
        ttl: Millis,
        now: Millis,
    ) -> Option<Candidacy> {
        let (lease, valid_until) = self.lease?;
        if self.leader.is_some() || self.term.is_some() || now >= valid_until {
            return None;
        }
        let value = serde_json::to_vec(me).unwrap_or_default();
        let name = me.instance.clone().into_bytes();
        let (last, revision) = self.last.clone()?;
        let no_wait = last.is_none_or(|last| last == me.instance);
        Some(Candidacy {
            update: Update {
                expected: vec![
                    (LEADER_KEY.to_owned(), 0),
                    (LAST_LEADER_KEY.to_owned(), revision),
                ],
                writes: vec![
                    (LEADER_KEY.to_owned(), value, Some(lease)),
                    (LAST_LEADER_KEY.to_owned(), name, None),
                ],
                deletes: Vec::new(),
            },
            settle: if no_wait { 0 } else { gap + ttl },
        })
    }

    /// Records that the office was taken.
    pub fn acquired(&mut self, fencing: Fencing, settle: Millis, now: Millis) {
        let Some((_, valid_until)) = self.lease else {
            return;
        };
        self.term = Some(LeaderTerm::acquired(fencing, now, settle, valid_until));
    }

    /// Gives the office up; true if this process held it.
    pub fn resign(&mut self) -> bool {
        self.term.take().is_some()
    }

    /// Returns whether this process holds the office, and drops one whose lease may have lapsed.
    pub fn is_held(&mut self, now: Millis) -> bool {
        if self.term.is_some_and(|term| term.is_expired(now)) {
            self.term = None;
        }
        self.term.is_some()
    }

    /// Returns the fencing number of an order that is sent right now, if one may be.
    #[must_use]
    pub fn may_order(&self, now: Millis) -> Option<Fencing> {
        let term = self.term?;
        term.may_order(now).then_some(term.fencing)
    }
}

/// Returns the time since the machine started, suspended time included, in milliseconds.
#[must_use]
pub fn boot_millis() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Millis * 1000 + time.tv_nsec as Millis / 1_000_000
}
