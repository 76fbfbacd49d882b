//! Leadership: only the leader sends orders to engines.
//!
//! The leader is the process whose record is stored under [`LEADER_KEY`]. All times are in
//! milliseconds on the clock of [`boot_millis`]. Log lines and metrics call the leadership the
//! office.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuslane_authority::leader_term::{LeaderTerm, lease_valid_until};
use cactuslane_platform::Settings;
use cactuslane_store::kv::{KvClient, Lease, Update};
use cactuslane_types::{Era, FIRST_ERA, FencingToken, InstanceId, Millis, Position};
use log::{info, warn};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

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
///
/// Nothing of it outlives an era of the store: what the store acknowledged to this process may be
/// lost, and another one may acquire the leadership.
#[derive(Debug, Default)]
pub struct Leadership {
    /// The era of the store in which all of this was learnt.
    era: Era,
    /// The time at which this process first saw the era, in which a leader of an earlier one that
    /// has not seen it may still act; `None` in the first era.
    era_since: Option<Millis>,
    /// The lease under which this instance is registered, and the time until which it is certain to
    /// be valid.
    lease: Option<(Lease, Millis)>,
    /// The current leader according to the store.
    leader: Option<LeaderKey>,
    /// The latest position at which the leader key was observed.
    observed: Position,
    /// The instance that acquired the leadership last, if any ever did, and the position of
    /// [`LAST_LEADER_KEY`]; `None` until the store was read.
    last: Option<(Option<InstanceId>, Position)>,
    /// The term of this process, if it leads.
    term: Option<LeaderTerm>,
    /// The position of the leader key of this process's last term.
    acquired_at: Position,
    /// The time at which the settling time of that term has passed.
    settled_at: Millis,
    /// The position up to which leader keys of this process are given up; one may have been deleted
    /// already although it was read since.
    given_up: Position,
    /// The highest fencing token that any leader is known to have, of all eras.
    highest: FencingToken,
    /// Whether the instance is leaving and does nothing as the leader any more.
    leaving: bool,
}

/// The leader key as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderKey {
    /// The leader that it names.
    pub record: LeaderRecord,
    /// The position of its last change, the acquisition.
    pub position: Position,
    /// The id of the lease that it is attached to, if that is known.
    pub lease: Option<u64>,
}

/// The time that must lie between the orders of two leaders, in parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleTime {
    /// The time that must lie between an order of one and an order of the other, in milliseconds.
    pub gap: Millis,
    /// The time for which a leader that is cut off from the store may still consider its lease valid,
    /// in milliseconds.
    pub ttl: Millis,
}

/// The leadership as the tasks of an instance share it.
#[derive(Clone, Debug)]
pub struct SharedLeadership {
    /// The state.
    state: Arc<Mutex<Leadership>>,
    /// The latest era that any answer of the store has stated.
    era: watch::Receiver<Era>,
}

impl SettleTime {
    /// Returns the settling time of an instance with these settings.
    #[must_use]
    pub fn of(settings: &Settings) -> Self {
        Self {
            gap: settings.order_gap.as_millis() as Millis,
            ttl: LEASE_TTL.as_millis() as Millis,
        }
    }
}

impl SharedLeadership {
    /// Creates the state of a process that does not lead, and that learns of eras from a client of
    /// the store.
    #[must_use]
    pub fn new(store: &KvClient) -> Self {
        let (state, era) = (Arc::default(), store.subscribe_era());
        Self { state, era }
    }

    /// Locks the state, after ending what does not hold in the latest era.
    pub fn lock(&self) -> MutexGuard<'_, Leadership> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.observe_era(*self.era.borrow(), boot_millis());
        state
    }
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
    /// Records the era of the store, of which a later one ends the term and the lease of this
    /// process and discards what the store has said of the leadership.
    pub fn observe_era(&mut self, era: Era, now: Millis) {
        if era <= self.era {
            return;
        }
        let known = std::mem::replace(&mut self.era, era);
        self.era_since = (era > FIRST_ERA).then_some(now);
        if known == 0 {
            return;
        }
        let led = self.term.take().is_some();
        (self.lease, self.leader, self.last) = (None, None, None);
        info!(known, era, led; "new era of the store, office and registration ended");
    }

    /// Records that a call sent at `sent` granted or renewed the lease for at least `ttl`
    /// milliseconds.
    pub fn renewed(&mut self, lease: Lease, sent: Millis, ttl: Millis) {
        if lease.era < self.era {
            return;
        }
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

    /// Applies the leader key as read from the store at a position; `leader` is `None` if there is
    /// none.
    ///
    /// Positions from before the era, an earlier observation or the acquisition by this process are out
    /// of date and ignored.
    pub fn observe_leader(
        &mut self,
        leader: Option<LeaderKey>,
        position: Position,
        me: &LeaderRecord,
        settle: SettleTime,
        now: Millis,
    ) {
        let token = position.fencing_token().unwrap_or_default();
        let is_outdated = position.era < self.era || position < self.observed;
        if is_outdated || self.term.is_some_and(|term| token < term.fencing) {
            return;
        }
        self.observed = position;
        if !leader.as_ref().is_some_and(|key| key.record == *me) {
            self.term = None;
        }
        if leader.is_some() {
            self.highest = self.highest.max(token);
        }
        // A key whose lease is not stated, as in a relay, was written under the lease of its time.
        let held = self.lease.map(|(lease, _)| lease.id);
        self.leader = leader.map(|key| LeaderKey {
            lease: key.lease.or(held),
            ..key
        });
        self.resume(me, settle, now);
    }

    /// Begins a term if the leader key names this process although it has none: the answer to its
    /// acquisition was lost, or the term ended while the store did not answer. Returns whether it
    /// began one.
    pub fn resume(&mut self, me: &LeaderRecord, settle: SettleTime, now: Millis) -> bool {
        let Some((lease, valid_until)) = self.lease else {
            return false;
        };
        let Some(key) = self.leader.clone().filter(|key| key.record == *me) else {
            return false;
        };
        let is_own = key.lease == Some(lease.id) && key.position > self.given_up;
        let is_valid = now < valid_until && self.token_at(key.position).is_some();
        if self.term.is_some() || self.leaving || !is_own || !is_valid {
            return false;
        }
        let wait = self.settle_time(settle.gap + settle.ttl, settle, now);
        self.acquired(key.position, wait, now);
        self.term.is_some()
    }

    /// Returns the update that deletes the leader key if it names this process, which cannot lead by
    /// it: it gave the key up, knows a higher fencing token, or holds another lease than the one that
    /// the key is attached to.
    #[must_use]
    pub fn stale_key(&self, me: &LeaderRecord) -> Option<Update> {
        let (lease, _) = self.lease?;
        let key = self.leader.as_ref().filter(|key| key.record == *me)?;
        let is_other = key.lease.is_some_and(|id| id != lease.id);
        let is_low = self.token_at(key.position).is_none();
        let is_stale = is_other || is_low || key.position <= self.given_up;
        (is_stale && self.term.is_none()).then(|| delete_key(key.position))
    }

    /// Applies the last leader's key as read from the store, with the key's position, of revision 0
    /// if it is absent.
    pub fn observe_last_leader(&mut self, instance: Option<InstanceId>, position: Position) {
        if position.era >= self.era {
            self.last = Some((instance, position));
        }
    }

    /// Returns the attempt to acquire the leadership, if it appears vacant, the own lease is
    /// valid and the last leader was read.
    ///
    /// After another leader, the whole settling time is waited for; a process that was itself the last
    /// leader waits for its own last orders and the rest of its settling time, and the first leader
    /// ever need not wait for others of its era. An earlier process of the same instance counts as
    /// another leader, as its settling time may not have passed.
    #[must_use]
    pub fn candidacy(
        &self,
        me: &LeaderRecord,
        settle: SettleTime,
        now: Millis,
    ) -> Option<Candidacy> {
        let (lease, valid_until) = self.lease?;
        if self.leader.is_some() || self.term.is_some() || now >= valid_until {
            return None;
        }
        let value = serde_json::to_vec(me).unwrap_or_default();
        let name = me.instance.clone().into_bytes();
        let (last, position) = self.last.clone()?;
        let wait = if last.is_none() {
            0
        } else if position == self.acquired_at {
            self.settled_at.saturating_sub(now).max(settle.gap)
        } else {
            settle.gap + settle.ttl
        };
        Some(Candidacy {
            update: Update {
                expected: vec![
                    (LEADER_KEY.to_owned(), Position::default()),
                    (LAST_LEADER_KEY.to_owned(), position),
                ],
                writes: vec![
                    (LEADER_KEY.to_owned(), value, Some(lease)),
                    (LAST_LEADER_KEY.to_owned(), name, None),
                ],
                deletes: Vec::new(),
            },
            settle: self.settle_time(wait, settle, now),
        })
    }

    /// Returns the settling time of an acquisition now that must wait for `wait` milliseconds because
    /// of leaders of its era.
    ///
    /// Every lease of an earlier era was renewed for the last time before this process saw the new
    /// one, so that no leader of one acts once the settling time has passed since then. The time to
    /// live is added once more, as calls wait for that much less than orders.
    fn settle_time(&self, wait: Millis, settle: SettleTime, now: Millis) -> Millis {
        let Some(since) = self.era_since else {
            return wait;
        };
        let end = since + settle.gap + settle.ttl + settle.ttl;
        wait.max(end.saturating_sub(now))
    }

    /// Returns the current leader according to the store.
    #[must_use]
    pub fn leader(&self) -> Option<&LeaderRecord> {
        Some(&self.leader.as_ref()?.record)
    }

    /// Records that this process acquired the leadership with the store update at a position, which
    /// takes effect only under a lease of the same era, and if no higher fencing token is known.
    pub fn acquired(&mut self, position: Position, settle: Millis, now: Millis) {
        let Some((lease, valid_until)) = self.lease else {
            return;
        };
        if position.era != lease.era {
            return;
        }
        let Some(fencing) = self.token_at(position) else {
            let highest = self.highest;
            warn!(position:%, highest; "a higher fencing token is known, the office is not taken");
            return;
        };
        (self.highest, self.acquired_at) = (fencing, position);
        self.settled_at = now + settle;
        self.term = Some(LeaderTerm::acquired(fencing, now, settle, valid_until));
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
    /// `ttl` is that of [`SettleTime`]. Of the settling time, only the gap is waited for:
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

    /// Ends the term of this process and returns the update that deletes its leader key, but no later
    /// one, as the update may be carried out late; returns `None` if it had no term.
    pub fn give_up(&mut self) -> Option<Update> {
        self.term.take()?;
        self.given_up = self.acquired_at;
        Some(delete_key(self.acquired_at))
    }

    /// Returns the fencing token of an acquisition at a position, unless a higher one is known.
    fn token_at(&self, position: Position) -> Option<FencingToken> {
        let token = position.fencing_token()?;
        (token >= self.highest).then_some(token)
    }
}

/// Returns the update that deletes the leader key if it still has a position.
#[must_use]
pub fn delete_key(position: Position) -> Update {
    Update {
        expected: vec![(LEADER_KEY.to_owned(), position)],
        deletes: vec![LEADER_KEY.to_owned()],
        ..Update::default()
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
