//! The search of one request for another instance that serves it.

use std::collections::BTreeSet;
use std::time::Duration;

use cactuslane_types::InstanceId;

/// Number of instances that are asked without success, those that are behind or outdated not counted.
const MAX_FAILED: usize = 3;
/// Number of instances that are asked in one round and are behind or outdated.
const MAX_BEHIND: usize = 8;
/// Time after a configuration came into force here within which others may still be reading it.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Part of the time until a request's deadline that it may wait for others to read the configuration.
const WAIT_PART: u32 = 3;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// The search of one request for an instance that serves it.
///
/// Instances that are behind, as they have an older configuration in force, decline it. Shortly after
/// a change all others may be behind for a moment, so that the request waits and they are asked once
/// more; later on nothing suggests that they will know it soon. Instances that do not know the
/// targets recently are outdated, and take the request only if no other one serves it.
#[derive(Clone, Debug)]
pub struct HelperSearch {
    /// Time, on the clock of the caller of the methods, until which the request may wait.
    wait_until: Duration,
    /// Instances that are not asked any more in this round.
    asked: BTreeSet<InstanceId>,
    /// Those of them that were behind.
    behind: BTreeSet<InstanceId>,
    /// Those of them that were outdated.
    outdated: BTreeSet<InstanceId>,
    /// Whether instances that are outdated may take the request.
    takes_outdated: bool,
    /// Number of instances that did not serve it for another reason, in all rounds.
    failed: usize,
    /// Whether an instance was behind in any round, or passed over as it had been just before.
    found_behind: bool,
}

/// What a request does that no instance serves yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// It waits for so long, perhaps not at all, and a new round begins.
    Wait(Duration),
    /// It is refused, for this reason.
    GiveUp(Unserved),
}

/// The reason why no instance serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unserved {
    /// None can be asked, or those that were declined it or gave no answer.
    NoInstance,
    /// All that could serve it have an older configuration in force.
    AllBehind,
}

impl HelperSearch {
    /// Begins a search at `now`, with the time `left` until the request's deadline.
    ///
    /// `config_age` is the time since the configuration by which the request is decided came into
    /// force here.
    #[must_use]
    pub fn begin(config_age: Duration, left: Duration, now: Duration) -> Self {
        let wait = SETTLE_TIME.saturating_sub(config_age).min(left / WAIT_PART);
        Self {
            wait_until: now + wait,
            asked: BTreeSet::new(),
            behind: BTreeSet::new(),
            outdated: BTreeSet::new(),
            takes_outdated: false,
            failed: 0,
            found_behind: false,
        }
    }

    /// Returns whether another instance may be asked in this round.
    #[must_use]
    pub fn may_ask(&self) -> bool {
        self.failed < MAX_FAILED && self.behind.len() + self.outdated.len() < MAX_BEHIND
    }

    /// Returns whether instances that are outdated may take the request, as no other one does.
    #[must_use]
    pub fn takes_outdated(&self) -> bool {
        self.takes_outdated
    }

    /// Returns whether an instance was not asked in this round.
    #[must_use]
    pub fn is_open(&self, instance: &str) -> bool {
        !self.asked.contains(instance)
    }

    /// Records that an instance is asked.
    pub fn record_asked(&mut self, instance: &str) {
        self.asked.insert(instance.to_owned());
    }

    /// Records that the instance that was asked does not serve the request, for another reason than
    /// that it is behind or outdated.
    pub fn record_failed(&mut self) {
        self.failed += 1;
    }

    /// Records that an instance that was asked is behind.
    pub fn record_behind(&mut self, instance: &str) {
        self.behind.insert(instance.to_owned());
        self.found_behind = true;
    }

    /// Records that an instance that was asked is outdated.
    pub fn record_outdated(&mut self, instance: &str) {
        if self.takes_outdated {
            // It was asked to serve the request all the same.
            self.failed += 1;
            return;
        }
        self.outdated.insert(instance.to_owned());
    }

    /// Records that an instance was passed over, as it was behind just before.
    pub fn record_passed_over(&mut self) {
        self.found_behind = true;
    }

    /// Returns what the request does once no instance is left in this round.
    pub fn end_round(&mut self, now: Duration) -> SearchStep {
        if self.failed >= MAX_FAILED {
            return SearchStep::GiveUp(Unserved::NoInstance);
        }
        if !self.outdated.is_empty() {
            for instance in std::mem::take(&mut self.outdated) {
                self.asked.remove(&instance);
            }
            self.takes_outdated = true;
            return SearchStep::Wait(Duration::ZERO);
        }
        if !self.found_behind {
            return SearchStep::GiveUp(Unserved::NoInstance);
        }
        let left = self.wait_until.saturating_sub(now);
        if left.is_zero() {
            return SearchStep::GiveUp(Unserved::AllBehind);
        }
        for instance in std::mem::take(&mut self.behind) {
            self.asked.remove(&instance);
        }
        SearchStep::Wait(left.min(ROUND_PAUSE))
    }

    /// Returns the number of instances that were asked in vain and were not behind.
    #[must_use]
    pub fn failed(&self) -> usize {
        self.failed
    }
}

impl Unserved {
    /// Returns the cause of the refusal, for the log and the metrics.
    #[must_use]
    pub fn cause(self) -> &'static str {
        match self {
            Self::NoInstance => "no instance",
            Self::AllBehind => "other instances are behind",
        }
    }
}
