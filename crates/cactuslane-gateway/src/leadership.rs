//! Leadership: only the leader sends orders to engines.
//!
//! The leader is the process whose record is stored under [`LEADER_KEY`]. All times are in
//! milliseconds on the clock of [`boot_millis`]. Log lines and metrics call the leadership the
//! office.

use std::time::Duration;

use cactuslane_authority::leader_term::{LeaderTerm, lease_valid_until};
use cactuslane_store::kv::{Lease, Update};
use cactuslane_types::{FencingToken, InstanceId, Millis};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// The key of the leader's [`LeaderRecord`], written under the lease of its instance.
pub const LEADER_KEY: &str = "cactuslane/leader";
/// The key of the name of the instance that acquired the leadership last; it is not bound to a
/// lease.
pub const LAST_LEADER_KEY: &str = "cactuslane/last-leader";
/// Time to live of an instance's lease, except that of most instances in a large deployment.
///
/// An instance considers any lease valid for this time only, counted from the sending of the call
/// that granted or renewed it and less a margin for clock drift.
pub const LEASE_TTL: Duration = Duration::from_secs(4);

/// The state of the leadership, as far as this instance knows it.
#[derive(Debug, Default)]
pub struct Leadership {
    /// The lease under which this instance is registered, and the time until which it is certain to
    /// be valid.
    lease: Option<(Lease, Millis)>,
    /// The current leader according to the store.
    leader: Option<LeaderRecord>,
    /// The instance that acquired the leadership last, if any ever did, and the revision of
    /// [`LAST_LEADER_KEY`]; `None` until the store was read.
    last: Option<(Option<InstanceId>, u64)>,
    /// The term of this process, if it leads.
    term: Option<LeaderTerm>,
    /// Whether the instance is leaving and does nothing as the leader any more.
    leaving: bool,
}

/// The value of the leader key, which identifies a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The start of its process, in Unix milliseconds.
    pub started: u64,
}

/// An attempt to acquire the leadership.
#[derive(Clone, Debug)]
pub struct Candidacy {
    /// The store update that acquires it, on condition that the keys have not changed.
    pub update: Update,
    /// The time to wait between the acquisition and the first order, in milliseconds.
    pub settle: Millis,
}

impl Leadership {
    /// Records that a call sent at `sent` granted or renewed the lease for at least `ttl`
    /// milliseconds.
    pub fn renewed(&mut self, lease: Lease, sent: Millis, ttl: Millis) {
        self.lease = Some((lease, lease_valid_until(sent, ttl)));
        if let Some(term) = &mut self.term {
            term.renewed(sent, ttl);
        }
    }

    /// Records that the lease has lapsed, which also ends this process's term.
    pub fn lapsed(&mut self) {
        self.lease = None;
        self.term = None;
    }

    /// Applies the leader key as read from the store at a revision.
    ///
    /// Revisions from before the acquisition by this process are out of date and ignored. If the
    /// key names this process although it has no term, the answer to its acquisition was lost: the
    /// term begins now, and no order is sent for `settle` milliseconds.
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

    /// Applies the last leader's key as read from the store, with the key's revision; 0 if absent.
    pub fn observe_last_leader(&mut self, instance: Option<InstanceId>, revision: u64) {
        self.last = Some((instance, revision));
    }

    /// Returns the attempt to acquire the leadership, if it appears vacant, the own lease is
    /// valid and the last leader was read.
    ///
    /// `gap` is the time that must lie between orders of two leaders, and `ttl` the time for which
    /// a leader that is cut off from the store may still consider its lease valid, both in
    /// milliseconds. Their sum is the settling time after a leader on another instance; an
    /// instance that was itself the last leader, or is the first one ever, need not wait.
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

    /// Returns the current leader according to the store.
    #[must_use]
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.leader.as_ref()
    }

    /// Records that this process acquired the leadership, which takes effect only under a lease.
    ///
    /// `fencing` is the revision of the store update that acquired it.
    pub fn acquired(&mut self, fencing: FencingToken, settle: Millis, now: Millis) {
        let Some((_, valid_until)) = self.lease else {
            return;
        };
        self.term = Some(LeaderTerm::acquired(fencing, now, settle, valid_until));
    }

    /// Ends the term of this process; returns whether it had one.
    pub fn resign(&mut self) -> bool {
        self.term.take().is_some()
    }

    /// Returns whether this process leads, after ending a term whose lease may have lapsed.
    pub fn is_held(&mut self, now: Millis) -> bool {
        if self.term.is_some_and(|term| term.is_expired(now)) {
            self.term = None;
        }
        self.term.is_some()
    }

    /// Returns the fencing token for an order sent at `now`, or `None` if this process may not
    /// send orders.
    #[must_use]
    pub fn may_order(&self, now: Millis) -> Option<FencingToken> {
        let term = self.term?;
        (!self.leaving && term.may_order(now)).then_some(term.fencing)
    }

    /// Returns the fencing token for a call to the platform made at `now`, or `None` if this
    /// process may not make any.
    ///
    /// `ttl` is that of [`Leadership::candidacy`]. Of the settling time, only the gap is waited for:
    /// a predecessor whose lease lapsed made its last call before that, and a late call is not
    /// carried out twice, as an order may be.
    #[must_use]
    pub fn may_call(&self, ttl: Millis, now: Millis) -> Option<FencingToken> {
        let term = self.term?;
        (!self.leaving && term.may_call(now, ttl)).then_some(term.fencing)
    }

    /// Records that the instance is leaving: no further order or call is allowed.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the fencing token of this process, if it leads.
    #[must_use]
    pub fn token(&self) -> Option<FencingToken> {
        Some(self.term?.fencing)
    }
}

/// Returns the time since the machine started, in milliseconds.
///
/// Time while the machine is suspended counts, so that a lease that lapsed meanwhile is not
/// considered valid on resuming.
#[must_use]
pub fn boot_millis() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Millis * 1000 + time.tv_nsec as Millis / 1_000_000
}
