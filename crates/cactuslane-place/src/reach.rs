//! Whether an instance is cut off from all targets, and which other instance then serves its
//! callers.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_types::{DomainName, InstanceId, Millis, ServiceName, TargetId};
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

/// Time after a failure within which a byte from any target shows that the fault is not this
/// instance's, in milliseconds.
const FAILURE_PATIENCE: Millis = 200;
/// Time after a request was sent without a byte from any target after which connections are tried,
/// in milliseconds.
const SILENCE_PATIENCE: Millis = 1_000;
/// Time between two rounds of trial connections, in milliseconds.
const ROUND_INTERVAL: Millis = 400;
/// Number of targets in a round, of as many services as possible.
const ROUND_TARGETS: usize = 3;
/// Smallest number of targets whose failure together is taken for a cut: one may have failed by
/// itself.
const MIN_TARGETS: usize = 2;
/// Time in which answers that were under way when all targets failed have arrived everywhere, in
/// milliseconds.
const ANSWERS_DRAINED: Millis = 200;
/// Time for which the report of another instance counts, in milliseconds.
const REPORT_LIFETIME: Millis = 1_500;
/// Time since it heard a target for which an instance is asked to serve requests, in milliseconds.
const HEARD_LIFETIME: Millis = 3_000;
/// Time for which an instance that was behind is not asked again, in milliseconds.
const BEHIND_LIFETIME: Millis = 100;
/// Number of instances among which the least loaded one is chosen to serve a request.
const CANDIDATES: usize = 3;
/// Requests in progress that count as much as another failure domain.
const DISTANCE: u32 = 2;

/// What an instance tells the others of its links to targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReport {
    /// The time since a byte of a target last arrived, in milliseconds; `None` if none ever did.
    pub heard_age: Option<Millis>,
    /// Whether the instance is cut off from all targets.
    pub is_cut: bool,
    /// The number of its requests in progress.
    pub requests: u32,
}

/// The last report of another instance.
#[derive(Clone, Debug)]
struct Peer {
    /// The time at which it heard a target, on the clock of this instance.
    heard: Option<Millis>,
    /// The arrival time of the report.
    received: Millis,
    /// Whether it is cut off itself.
    is_cut: bool,
    /// The number of its requests in progress, with those passed on to it since.
    requests: u32,
}

/// The state of an instance's links to targets.
///
/// An instance is cut off if connections to several targets, of several services if there are,
/// cannot be made, neither before nor after another instance has heard a target. A silent
/// target, an outage of the store or a restart of all targets therefore is none. All times are in
/// milliseconds on the clock of this instance.
#[derive(Debug, Default)]
pub struct Reach {
    /// The time at which a byte of a target last arrived.
    heard: Option<Millis>,
    /// The time at which the first request since then was sent.
    sent: Option<Millis>,
    /// The time of the first failure since then.
    failed: Option<Millis>,
    /// The time of the first connection that was not made since the last one that was.
    unconnected: Option<Millis>,
    /// The round of trial connections that was begun last.
    round: Option<Round>,
    /// The beginning of the last round in which a connection was made.
    connected: Option<Millis>,
    /// The beginning of the first of the last rounds in which no connection was made.
    unreached: Option<Millis>,
    /// The beginning of the last round in which no connection was made.
    last_unreached: Millis,
    /// The time at which another instance first heard a target after `unreached`.
    contradicted: Option<Millis>,
    /// Whether the instance is cut off.
    is_cut: bool,
    /// The reports of the other instances.
    peers: BTreeMap<InstanceId, Peer>,
    /// The times at which other instances declined a request as their configuration was older.
    behind: BTreeMap<InstanceId, Millis>,
}

/// A round of trial connections.
#[derive(Debug)]
struct Round {
    /// The time at which it began.
    began: Millis,
    /// The targets of which the result is not known yet.
    pending: BTreeSet<TargetId>,
}

/// A change of an instance's links to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// It is cut off: no connection was made since the time, and so many others hear targets.
    Lost(Millis, usize),
    /// A connection to a target was made again.
    Regained,
}

impl Reach {
    /// Records that a byte of a target arrived.
    pub fn record_heard(&mut self, at: Millis) {
        if self.heard.is_none_or(|heard| at > heard) {
            self.heard = Some(at);
            let since = |time: &Millis| *time > at;
            self.sent = self.sent.filter(since);
            self.failed = self.failed.filter(since);
        }
    }

    /// Records that a request was sent to a target.
    pub fn record_sent(&mut self, now: Millis) {
        self.sent.get_or_insert(now);
    }

    /// Records whether a connection to a target was made.
    pub fn record_connection(&mut self, made: bool, now: Millis) {
        if made {
            self.unconnected = None;
        } else {
            self.unconnected.get_or_insert(now);
            self.record_failure(now);
        }
    }

    /// Records that a request was lost with its connection.
    pub fn record_failure(&mut self, now: Millis) {
        self.failed.get_or_insert(now);
    }

    /// Applies the report of another instance.
    pub fn apply_report(&mut self, instance: &str, report: ReachReport, now: Millis) {
        let heard = report.heard_age.map(|age| now.saturating_sub(age));
        let peer = Peer {
            heard,
            received: now,
            is_cut: report.is_cut,
            requests: report.requests,
        };
        self.peers.insert(instance.to_owned(), peer);
        let lives = |peer: &Peer| now <= peer.received + REPORT_LIFETIME;
        self.peers.retain(|_, peer| lives(peer));
    }

    /// Returns whether the instance is cut off from all targets.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns whether failures may be due to this instance, as no target was heard since.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.is_unreached() || self.failed.is_some()
    }

    /// Returns whether a failure at `at` may be due to this instance.
    ///
    /// It no longer may once a target was reached well after it, whatever failed since.
    #[must_use]
    pub fn is_doubtful(&self, at: Millis) -> bool {
        let reached = self.heard.max(self.connected);
        let reached = reached.is_some_and(|reached| reached > at + ANSWERS_DRAINED);
        self.is_unreached() || (self.failed.is_some() && !reached)
    }

    /// Returns whether no trial connection of the last round was made, or the instance is cut off.
    #[must_use]
    pub fn is_unreached(&self) -> bool {
        self.is_cut || self.unreached.is_some()
    }

    /// Returns what to tell the other instances.
    #[must_use]
    pub fn report(&self, requests: usize, now: Millis) -> ReachReport {
        ReachReport {
            heard_age: self.heard.map(|heard| now.saturating_sub(heard)),
            is_cut: self.is_cut,
            requests: requests.min(u32::MAX as usize) as u32,
        }
    }

    /// Begins a round of trial connections if one is due, and returns its targets.
    ///
    /// `targets` are the targets that take new work, with their services.
    pub fn begin_round(
        &mut self,
        targets: &[(TargetId, ServiceName)],
        rng: &mut impl Rng,
        now: Millis,
    ) -> Vec<TargetId> {
        let recent = self
            .round
            .as_ref()
            .is_some_and(|round| now < round.began + ROUND_INTERVAL || !round.pending.is_empty());
        if recent || targets.len() < MIN_TARGETS || !self.has_cause(now) {
            return Vec::new();
        }
        let mut services: BTreeMap<&str, Vec<&TargetId>> = BTreeMap::new();
        for (target, service) in targets {
            services.entry(service).or_default().push(target);
        }
        let mut chosen = BTreeSet::new();
        while chosen.len() < ROUND_TARGETS.min(targets.len()) {
            for rest in services.values_mut() {
                if !rest.is_empty() && chosen.len() < ROUND_TARGETS {
                    chosen.insert(rest.swap_remove(rng.random_range(..rest.len())).clone());
                }
            }
        }
        self.round = Some(Round {
            began: now,
            pending: chosen.clone(),
        });
        chosen.into_iter().collect()
    }

    /// Returns whether there is a reason for a round of trial connections.
    fn has_cause(&self, now: Millis) -> bool {
        let failed = self.failed.min(self.unconnected).or(self.unconnected);
        let failed = failed.is_some_and(|at| now >= at + FAILURE_PATIENCE);
        let silent = self.sent.is_some_and(|at| now >= at + SILENCE_PATIENCE);
        self.is_unreached() || failed || silent
    }

    /// Records whether a trial connection of the current round was made.
    pub fn record_trial(&mut self, target: &str, made: bool) {
        let Some(round) = self.round.as_mut() else {
            return;
        };
        if !round.pending.remove(target) {
            return;
        }
        if made {
            round.pending.clear();
            self.connected = Some(round.began);
            self.unreached = None;
            self.contradicted = None;
            self.unconnected = None;
            self.failed = None;
            self.sent = None;
        } else if round.pending.is_empty() {
            self.unreached.get_or_insert(round.began);
            self.last_unreached = round.began;
        }
    }

    /// Applies what is known of this and the other instances, and returns a change.
    pub fn update(&mut self, now: Millis) -> Option<ReachChange> {
        let Some(unreached) = self.unreached else {
            return std::mem::take(&mut self.is_cut).then_some(ReachChange::Regained);
        };
        if self.is_cut {
            return None;
        }
        let mut hearing = 0;
        for peer in self.peers.values() {
            let lives = now <= peer.received + REPORT_LIFETIME;
            let since = peer.heard.filter(|at| *at > unreached + ANSWERS_DRAINED);
            if let (Some(heard), true, false) = (since, lives, peer.is_cut) {
                hearing += 1;
                self.contradicted.get_or_insert(heard);
            }
        }
        // A round that failed later shows that the targets did not come back just then.
        let contradicted = self.contradicted.is_some_and(|at| self.last_unreached > at);
        self.is_cut = contradicted && hearing > 0;
        self.is_cut.then_some(ReachChange::Lost(unreached, hearing))
    }

    /// Records that an instance declined a request as its configuration is older than this one's.
    pub fn record_behind(&mut self, instance: &str, now: Millis) {
        self.behind.retain(|_, at| now < *at + BEHIND_LIFETIME);
        self.behind.insert(instance.to_owned(), now);
    }

    /// Returns whether an instance has just declined a request as its configuration is older.
    #[must_use]
    pub fn was_behind(&self, instance: &str, now: Millis) -> bool {
        let at = self.behind.get(instance);
        at.is_some_and(|at| now < at + BEHIND_LIFETIME)
    }

    /// Chooses the instance that serves a request, and counts it as a request of that one.
    ///
    /// `candidates` are the instances that take callers, with their failure domains, without those
    /// that were asked already. Of a few random ones that are not cut off, it is the one with the
    /// fewest requests in progress, where another failure domain counts as two more.
    pub fn choose_helper(
        &mut self,
        candidates: &[(InstanceId, DomainName)],
        domain: &str,
        rng: &mut impl Rng,
        now: Millis,
    ) -> Option<InstanceId> {
        let helps = |instance: &str| {
            let peer = self.peers.get(instance)?;
            let lives = now <= peer.received + REPORT_LIFETIME;
            let hears = peer.heard.is_some_and(|at| now <= at + HEARD_LIFETIME);
            (lives && hears && !peer.is_cut).then_some(peer.requests)
        };
        let mut helpers = Vec::new();
        for (instance, place) in candidates {
            if let Some(requests) = helps(instance) {
                let distance = if place == domain { 0 } else { DISTANCE };
                helpers.push((requests + distance, instance));
            }
        }
        let sample = helpers.choose_multiple(rng, CANDIDATES);
        let (_, chosen) = sample.min_by_key(|(load, _)| *load)?;
        let chosen = (*chosen).clone();
        if let Some(peer) = self.peers.get_mut(&chosen) {
            peer.requests += 1;
        }
        Some(chosen)
    }
}
