//! Suspects that are held: how long, their trials, and their copies in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_types::Millis;

use super::exchange::HeldNotice;
use super::suspect::Suspect;
use super::{CrashTracker, Time};
use crate::limits::PermitAnswer;

/// Times for which a suspect is held, in milliseconds: before the first trial, after the first one that
/// failed, and so on; the last one applies to all further ones.
///
/// Each trial that fails costs a target; within a day there are three at most.
const HOLD_TIMES: [Time; 4] = [10_000, 300_000, 14_400_000, 86_400_000];
/// Time after a crash within which another one is of a request that was under way and not of a
/// trial, in milliseconds.
const UNDER_WAY_TIME: Time = 2_000;
/// Factor on the time for which a suspect is held, by which trials of requests with several held suspects
/// are made later.
const SEVERAL_FACTOR: Time = 5;
/// Time after which another trial is granted if the last one has shown nothing, in milliseconds.
const TRIAL_TIME: Time = 5_000;
/// Time after the end of a hold after which the suspect is discarded, in milliseconds.
const HELD_RETENTION: Time = 86_400_000;
/// Largest number of held suspects in one update, those with the latest crashes.
const MAX_NOTICES: usize = 32;
/// Largest number of changes of the store that are returned at once.
const MAX_STORE_CHANGES: usize = 8;

/// The state of a suspect that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSuspect {
    /// Number of crashes in which a request with the suspect was not begun.
    pub(super) crashes: u32,
    /// Time of the last of them.
    pub(super) last: Time,
    /// Number of trials that failed, with the crashes beyond those after which a request is held.
    pub(super) failed: u32,
    /// Time at which the last trial was granted.
    trial: Option<Time>,
}

/// A change to make in the store's copy of the held suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// Write the suspect.
    Write(StoredSuspect),
    /// Delete the suspect.
    Delete(Suspect),
}

/// The store's copy of a held suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Number of crashes.
    pub crashes: u32,
    /// Number of trials that failed.
    pub failed: u32,
    /// Time since the last crash.
    pub age: Duration,
}

impl HeldSuspect {
    /// Creates the state of a suspect that is held since its last crash.
    pub(super) fn new(crashes: u32, last: Time) -> Self {
        Self {
            crashes,
            last,
            failed: 0,
            trial: None,
        }
    }

    /// Adds a crash.
    pub(super) fn add_crash(&mut self, at: Time) {
        self.crashes += 1;
        if at > self.last + UNDER_WAY_TIME {
            self.failed += 1;
        }
        self.last = self.last.max(at);
    }

    /// Adds what another instance or the store knows; returns whether it is news.
    pub(super) fn merge(&mut self, crashes: u32, failed: u32, last: Time) -> bool {
        let news = failed > self.failed;
        self.crashes = self.crashes.max(crashes);
        self.failed = self.failed.max(failed);
        self.last = self.last.max(last);
        news
    }

    /// Returns the time from which trials are granted.
    pub(super) fn until(&self) -> Time {
        let index = self.failed as usize;
        self.last + HOLD_TIMES[index.min(HOLD_TIMES.len() - 1)]
    }

    /// Returns the time from which a request with the suspect may be a trial, which is later if it has
    /// `several` held suspects.
    pub(super) fn trial_time(&self, several: bool) -> Time {
        let until = self.until();
        if several {
            until + (until - self.last) * SEVERAL_FACTOR
        } else {
            until
        }
    }

    /// Returns whether the hold ended so long ago that the suspect is discarded.
    pub(super) fn is_lapsed(&self, now: Time) -> bool {
        now > self.until() + HELD_RETENTION
    }

    /// Grants a trial if none may be under way.
    pub(super) fn grant_trial(&mut self, now: Time) -> PermitAnswer {
        let tried = self.trial.map_or(Time::MIN / 2, |at| at + TRIAL_TIME);
        let wait = self.until().max(tried) - now;
        if wait > 0 {
            return PermitAnswer::Denied(u32::try_from(wait).unwrap_or(u32::MAX));
        }
        self.trial = Some(now);
        PermitAnswer::Granted
    }
}

impl CrashTracker {
    /// Records that the store lists a suspect as held.
    pub fn record_stored(&mut self, stored: StoredSuspect, now: Millis) {
        self.stored.insert(stored.suspect, stored.crashes);
        let now = now as Time;
        let age = Time::try_from(stored.age.as_millis()).unwrap_or(Time::MAX / 2);
        let last = now - age;
        self.merge_held(stored.suspect, stored.crashes, stored.failed, last, now);
    }

    /// Records that the store no longer lists a suspect as held.
    pub fn record_deleted(&mut self, suspect: Suspect) {
        self.stored.remove(&suspect);
    }

    /// Records that the store lists no other suspects than these as held.
    pub fn retain_stored(&mut self, present: &[Suspect]) {
        self.stored.retain(|suspect, _| present.contains(suspect));
    }

    /// Returns the changes to make in the store by the instance that keeps the suspects for which
    /// `owns` returns true.
    #[must_use]
    pub fn store_changes(&self, owns: impl Fn(Suspect) -> bool, now: Millis) -> Vec<StoreChange> {
        let mut changes = Vec::new();
        for (suspect, held) in &self.held {
            let stored = self.stored.get(suspect);
            if stored.is_none_or(|stored| *stored < held.crashes) && owns(*suspect) {
                let age = (now as Time - held.last).max(0) as u64;
                changes.push(StoreChange::Write(StoredSuspect {
                    suspect: *suspect,
                    crashes: held.crashes,
                    failed: held.failed,
                    age: Duration::from_millis(age),
                }));
            }
        }
        for suspect in self.stored.keys() {
            if !self.held.contains_key(suspect) && owns(*suspect) {
                changes.push(StoreChange::Delete(*suspect));
            }
        }
        changes.truncate(MAX_STORE_CHANGES);
        changes
    }
}

/// Returns the notices on the held suspects with the latest crashes.
pub(super) fn notices(held: &BTreeMap<Suspect, HeldSuspect>, now: Time) -> Vec<HeldNotice> {
    let mut latest: Vec<(&Suspect, &HeldSuspect)> = held.iter().collect();
    latest.sort_by_key(|(_, held)| std::cmp::Reverse(held.last));
    latest.truncate(MAX_NOTICES);
    let mut notices = Vec::new();
    for (suspect, held) in latest {
        notices.push(HeldNotice {
            suspect: *suspect,
            crashes: held.crashes,
            failed: held.failed,
            age: super::exchange::age(held.last, now),
        });
    }
    notices
}
