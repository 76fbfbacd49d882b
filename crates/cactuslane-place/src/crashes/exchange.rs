//! What instances tell each other about crashes.

use std::collections::BTreeMap;

use cactuslane_flight::request_info::{Fingerprint, PartId};
use cactuslane_types::TargetId;
use serde::{Deserialize, Serialize};

use super::Time;
use super::suspect::{Attempt, Suspect};

/// Time for which news are in every update, in milliseconds, as an update may be lost.
const NEWS_TIME: Time = 1_500;
/// Time for which news are repeated for instances that were cut off, in milliseconds.
const NEWS_RETENTION: Time = 20_000;
/// Interval between these repetitions, in milliseconds.
const REPEAT_INTERVAL: Time = 2_000;
/// Largest number of reports in one update, the latest ones.
const MAX_REPORTS: usize = 16;
/// Largest number of attempts in one report.
const MAX_REPORT_ATTEMPTS: usize = 32;
/// Largest number of attempts in all reports of one update, so that it fits in a message.
const MAX_UPDATE_ATTEMPTS: usize = 192;
/// Largest number of notices on beginnings in one update.
const MAX_BEGUN_NOTICES: usize = 128;

/// What an instance reports about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Crashes that the sender has seen itself.
    pub reports: Vec<CrashReport>,
    /// Suspects in crashes that targets have begun.
    pub begun: Vec<BegunNotice>,
    /// Suspects that the sender holds.
    pub held: Vec<HeldNotice>,
}

/// A crash of a target that an instance has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Target that crashed.
    pub target: TargetId,
    /// Start of its process in Unix milliseconds, if its registry entry states it.
    pub process: Option<u64>,
    /// Attempts of the instance that the target ended before an answer or an event.
    pub attempts: Vec<LostAttempt>,
    /// Time since the crash, in milliseconds.
    pub age: u32,
}

/// An attempt that a target ended by crashing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostAttempt {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Shared parts of its prompt.
    pub parts: Vec<PartId>,
    /// Time since it was sent, in milliseconds.
    pub age: u32,
}

/// Notice that a target has begun to answer a request with a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunNotice {
    /// The suspect.
    pub suspect: Suspect,
    /// Time since the beginning, in milliseconds.
    pub age: u32,
}

/// Notice that a suspect is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldNotice {
    /// The suspect.
    pub suspect: Suspect,
    /// Number of crashes.
    pub crashes: u32,
    /// Number of trials that failed.
    pub failed: u32,
    /// Time since the last crash, in milliseconds.
    pub age: u32,
}

/// What is to be sent to the other instances.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Crashes that this instance has seen, the oldest first.
    reports: Vec<OwnReport>,
    /// Beginnings to announce, each with the time since when.
    announced: BTreeMap<Suspect, (Time, Time)>,
    /// The last beginning of each suspect that an instance has announced.
    told: BTreeMap<Suspect, Time>,
    /// Time at which all news were last sent.
    repeated: Time,
    /// Whether there is something that was never sent.
    news: bool,
}

/// A crash that this instance has seen.
#[derive(Debug)]
struct OwnReport {
    /// Target that crashed.
    target: TargetId,
    /// Start of its process in Unix milliseconds, if known.
    process: Option<u64>,
    /// Attempts that it ended.
    attempts: Vec<Attempt>,
    /// Time of the crash.
    at: Time,
    /// Time at which attempts were last added.
    changed: Time,
}

impl Outbox {
    /// Adds an attempt to the report on a crash at `at`.
    pub(super) fn add_report(
        &mut self,
        target: &str,
        process: Option<u64>,
        attempt: &Attempt,
        at: Time,
        now: Time,
    ) {
        self.news = true;
        let is_same = |own: &OwnReport| own.target == target && own.process == process;
        let index = self.reports.iter().position(is_same).unwrap_or_else(|| {
            self.reports.push(OwnReport {
                target: target.to_owned(),
                process,
                attempts: Vec::new(),
                at,
                changed: now,
            });
            self.reports.len() - 1
        });
        let own = &mut self.reports[index];
        own.at = own.at.min(at);
        own.changed = now;
        if own.attempts.len() < MAX_REPORT_ATTEMPTS {
            own.attempts.push(attempt.clone());
        }
    }

    /// Announces that a target began to answer a request with a suspect at `at`.
    pub(super) fn announce(&mut self, suspect: Suspect, at: Time, now: Time) {
        self.news = true;
        self.announced.insert(suspect, (at, now));
        self.record_told(suspect, at);
    }

    /// Records that an instance has announced a beginning.
    pub(super) fn record_told(&mut self, suspect: Suspect, at: Time) {
        let told = self.told.entry(suspect).or_insert(at);
        *told = at.max(*told);
    }

    /// Returns the last beginning of a suspect that an instance has announced.
    pub(super) fn told(&self, suspect: Suspect) -> Option<Time> {
        self.told.get(&suspect).copied()
    }

    /// Returns whether there is something that was never sent.
    pub(super) fn has_news(&self) -> bool {
        self.news
    }

    /// Returns the reports and notices of the next update.
    pub(super) fn take(&mut self, now: Time) -> CrashUpdate {
        self.news = false;
        self.reports
            .retain(|own| now < own.changed + NEWS_RETENTION);
        self.announced
            .retain(|_, (_, since)| now < *since + NEWS_RETENTION);
        let repeats = now >= self.repeated + REPEAT_INTERVAL;
        if repeats {
            self.repeated = now;
        }
        let mut update = CrashUpdate::default();
        let mut attempts = 0;
        for own in self.reports.iter().rev().take(MAX_REPORTS) {
            let due = repeats || now < own.changed + NEWS_TIME;
            attempts += own.attempts.len();
            if !due || attempts > MAX_UPDATE_ATTEMPTS {
                continue;
            }
            update.reports.push(own.report(now));
        }
        for (suspect, (at, since)) in &self.announced {
            let due = repeats || now < *since + NEWS_TIME;
            if !due || update.begun.len() >= MAX_BEGUN_NOTICES {
                continue;
            }
            update.begun.push(BegunNotice {
                suspect: *suspect,
                age: age(*at, now),
            });
        }
        update
    }

    /// Discards what other instances have announced of suspects other than those for which `known`
    /// returns true.
    pub(super) fn retain(&mut self, known: impl Fn(Suspect) -> bool) {
        self.told.retain(|suspect, _| known(*suspect));
    }
}

impl OwnReport {
    /// Returns the report to send.
    fn report(&self, now: Time) -> CrashReport {
        let mut attempts = Vec::new();
        for attempt in &self.attempts {
            attempts.push(LostAttempt {
                request: attempt.request,
                parts: attempt.parts.clone(),
                age: age(attempt.sent, now),
            });
        }
        CrashReport {
            target: self.target.clone(),
            process: self.process,
            attempts,
            age: age(self.at, now),
        }
    }
}

/// Returns the time since `at` in milliseconds, for a message.
pub(super) fn age(at: Time, now: Time) -> u32 {
    u32::try_from((now - at).max(0)).unwrap_or(u32::MAX)
}
