//! Limits that targets name for the requests of all instances together, and the permits by which
//! the instances keep them.
//!
//! A few instances, the issuers, issue permits for a target; each has an equal share of its limit
//! and needs no agreement with the others. Any instance needs a permit for each request or call
//! that it sends to the target, so that permits go where the demand is, however small the share of
//! each instance would be.

mod bucket;

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_types::{InstanceId, Millis, TargetId};
use serde::{Deserialize, Serialize};

use self::bucket::PermitBucket;

/// Number of instances that issue permits for a target. While instances differ on which these are,
/// one more may issue for some time, which exceeds the limit by a third.
pub const ISSUERS: usize = 3;
/// Time for which an issuer that cannot be reached is not asked again, in milliseconds.
const SILENCE_PAUSE: Millis = 500;

/// Limits of the targets, as far as answers and other instances have shown them.
///
/// All times are in milliseconds on the clock of this instance.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    /// Targets whose answers have named a limit, by id.
    targets: BTreeMap<TargetId, LimitState>,
}

/// What is known of the limit of one target.
#[derive(Clone, Debug)]
struct LimitState {
    /// Start of the target's process, in Unix milliseconds; the limit applies to that process only.
    process: Option<u64>,
    /// Requests a second that the target takes; `None` once it has ceased to name a limit.
    rate: Option<f64>,
    /// Arrival of the answer that showed the rate or its end.
    observed: Millis,
    /// Permits that this instance may issue.
    bucket: PermitBucket,
    /// Issuers that had no permit or did not answer, each with the time until which it is not
    /// asked.
    denied: BTreeMap<InstanceId, Millis>,
    /// Time until which no issuer is expected to have a permit.
    exhausted: Millis,
}

/// An answer of a target, as far as it concerns the target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitAnswer {
    /// Requests a second that the target takes from all instances together, if the answer names a
    /// limit.
    pub rate: Option<f64>,
    /// Whether the answer would name a limit if the target had one: it answers a request that ran.
    pub conclusive: bool,
    /// Time at which the request was sent.
    pub sent: Millis,
}

/// What an instance knows of the limit of a target, as it reports it to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Target that named the limit.
    pub target: TargetId,
    /// Start of the target's process in Unix milliseconds, if its registry entry states it.
    pub process: Option<u64>,
    /// Requests a second that the target takes from all instances together; `None` if it has
    /// ceased to name a limit.
    pub rate: Option<f64>,
    /// Time since the arrival of the answer that showed this, in milliseconds.
    pub age: u32,
}

/// Answer of an issuer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// One request or call may be sent to the target now.
    Granted,
    /// The issuer has no permit for this number of milliseconds.
    Denied(u32),
}

impl TargetLimits {
    /// Applies an answer of a target and returns whether it changed what is known of its limit.
    ///
    /// A limit ends with a conclusive answer that names none, unless the request was sent before
    /// the last answer that named it.
    pub fn observe_answer(&mut self, target: &Target, answer: LimitAnswer, now: Millis) -> bool {
        let known = self.state(target);
        let ended = answer.conclusive && known.is_some_and(|known| answer.sent > known.observed);
        if answer.rate.is_none() && !ended {
            return false;
        }
        self.record(&target.id, target.started_at, answer.rate, now, now)
    }

    /// Applies a notice of another instance, unless a later answer of the target is known; returns
    /// whether it changed what is known of the limit.
    pub fn apply_notice(&mut self, notice: &LimitNotice, now: Millis) -> bool {
        let observed = now.saturating_sub(Millis::from(notice.age));
        if let Some(known) = self.targets.get(&notice.target) {
            let same = known.process == notice.process;
            if known.process > notice.process || (same && known.observed >= observed) {
                return false;
            }
        }
        self.record(&notice.target, notice.process, notice.rate, observed, now)
    }

    /// Returns the notice on the limit of a target's current process, if the target ever named one.
    #[must_use]
    pub fn notice(&self, target: &Target, now: Millis) -> Option<LimitNotice> {
        Some(self.state(target)?.notice(&target.id, now))
    }

    /// Returns the notices on all targets that have a limit.
    #[must_use]
    pub fn notices(&self, now: Millis) -> Vec<LimitNotice> {
        let mut notices = Vec::new();
        for (id, state) in &self.targets {
            if state.rate.is_some() {
                notices.push(state.notice(id, now));
            }
        }
        notices
    }

    /// Returns the requests a second that a target takes, if it has a limit.
    #[must_use]
    pub fn rate(&self, target: &Target) -> Option<f64> {
        self.state(target)?.rate
    }

    /// Returns the number of targets that have a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        let states = self.targets.values();
        states.filter(|state| state.rate.is_some()).count()
    }

    /// Discards what is known of targets other than those for which `known` returns true.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.targets.retain(|id, _| known(id));
    }

    /// Returns the time until an issuer is expected to have a permit for a target; `None` if one
    /// may have a permit now or none is needed.
    #[must_use]
    pub fn wait(&self, target: &Target, now: Millis) -> Option<Duration> {
        let state = self.state(target)?;
        if state.rate.is_none() || now >= state.exhausted {
            return None;
        }
        Some(Duration::from_millis(state.exhausted - now))
    }

    /// Takes a permit for a target from those that this instance may issue as one of `issuers`
    /// instances.
    ///
    /// `process` is the start of the target's process as the instance that asks knows it. None is
    /// issued if this is not the current process, as far as this instance knows.
    pub fn issue(
        &mut self,
        target: &str,
        process: Option<u64>,
        issuers: usize,
        now: Millis,
    ) -> PermitAnswer {
        let state = self.targets.get_mut(target);
        let Some(state) = state.filter(|state| state.process == process) else {
            return PermitAnswer::Denied(SILENCE_PAUSE as u32);
        };
        let Some(rate) = state.rate else {
            return PermitAnswer::Granted;
        };
        match state.bucket.take(rate, issuers, now) {
            Ok(()) => PermitAnswer::Granted,
            Err(wait) => PermitAnswer::Denied(wait.as_millis() as u32),
        }
    }

    /// Returns the issuers to ask for a permit, in this order: this instance, if it is one, and
    /// then the others, beginning with number `draw`. Issuers that had no permit and are not
    /// expected to have one yet are left out.
    #[must_use]
    pub fn ask_order(
        &self,
        target: &Target,
        me: &str,
        issuers: &[InstanceId],
        draw: usize,
        now: Millis,
    ) -> Vec<InstanceId> {
        let Some(state) = self.state(target) else {
            return Vec::new();
        };
        let mut order = issuers.to_vec();
        order.rotate_left(draw % issuers.len().max(1));
        order.sort_by_key(|issuer| issuer != me);
        order.retain(|issuer| state.denied.get(issuer).is_none_or(|until| now >= *until));
        order
    }

    /// Records that an issuer has no permit for a target before `wait` has passed, or that it did
    /// not answer, if there is none.
    pub fn record_denial(
        &mut self,
        target: &Target,
        issuer: &str,
        wait: Option<Duration>,
        now: Millis,
    ) {
        let Some(state) = self.state_mut(target) else {
            return;
        };
        let wait = wait.map_or(SILENCE_PAUSE, |wait| wait.as_millis() as Millis);
        state.denied.insert(issuer.to_owned(), now + wait.max(1));
    }

    /// Records that none of `issuers` gave a permit for a target, and returns the time until one of
    /// them is expected to have one.
    ///
    /// Until then the target is left out of the choice.
    pub fn record_exhausted(
        &mut self,
        target: &Target,
        issuers: &[InstanceId],
        now: Millis,
    ) -> Duration {
        let Some(state) = self.state_mut(target) else {
            return Duration::ZERO;
        };
        let until = |issuer: &InstanceId| state.denied.get(issuer).copied();
        let soonest = issuers.iter().filter_map(until).min();
        let exhausted = soonest.unwrap_or(now + SILENCE_PAUSE).max(now + 1);
        state.denied.retain(|_, until| now < *until);
        state.exhausted = exhausted;
        Duration::from_millis(exhausted - now)
    }

    /// Records a rate that was observed at a time; returns whether it differs from the known one.
    fn record(
        &mut self,
        target: &str,
        process: Option<u64>,
        rate: Option<f64>,
        observed: Millis,
        now: Millis,
    ) -> bool {
        let known = self.targets.get_mut(target);
        let Some(known) = known.filter(|known| known.process == process) else {
            let state = LimitState {
                process,
                rate,
                observed,
                bucket: PermitBucket::new(now),
                denied: BTreeMap::new(),
                exhausted: 0,
            };
            self.targets.insert(target.to_owned(), state);
            return rate.is_some();
        };
        known.observed = observed;
        if known.rate == rate {
            return false;
        }
        if known.rate.is_none() {
            known.bucket = PermitBucket::new(now);
        }
        known.rate = rate;
        // The waits were those of the earlier rate.
        known.denied.clear();
        known.exhausted = 0;
        true
    }

    /// Returns what is known of the limit of a target's current process.
    fn state(&self, target: &Target) -> Option<&LimitState> {
        let state = self.targets.get(&target.id)?;
        (state.process == target.started_at).then_some(state)
    }

    /// Returns what is known of the limit of a target's current process.
    fn state_mut(&mut self, target: &Target) -> Option<&mut LimitState> {
        let state = self.targets.get_mut(&target.id)?;
        (state.process == target.started_at).then_some(state)
    }
}

impl LimitState {
    /// Returns the notice on the limit of the target with this id.
    fn notice(&self, target: &str, now: Millis) -> LimitNotice {
        LimitNotice {
            target: target.to_owned(),
            process: self.process,
            rate: self.rate,
            age: now.saturating_sub(self.observed) as u32,
        }
    }
}
