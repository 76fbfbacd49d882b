//! What instances tell each other about crashes.

use std::collections::BTreeMap;

use cactuslane_flight::request_info::PartId;
use cactuslane_types::TargetId;
use serde::{Deserialize, Serialize};

use super::Time;

/// Time for which news are in every update, in milliseconds, as an update may be lost.
const NEWS_TIME: Time = 1_500;
/// Time for which news are repeated for instances that were cut off, in milliseconds.
const NEWS_RETENTION: Time = 20_000;
/// Interval between these repetitions, in milliseconds.
const REPEAT_INTERVAL: Time = 2_000;
/// Largest number of reports in one update, the latest ones.
const MAX_REPORTS: usize = 16;
/// Largest number of parts in one report.
const MAX_REPORT_PARTS: usize = 32;
/// Largest number of notices on begun parts in one update.
const MAX_BEGUN_NOTICES: usize = 64;

/// What an instance reports about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Crashes that the sender has seen itself.
    pub reports: Vec<CrashReport>,
    /// Parts in crashes that targets have begun.
    pub begun: Vec<BegunNotice>,
    /// Parts that the sender holds.
    pub held: Vec<HeldNotice>,
}

/// A crash of a target that an instance has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Target that crashed.
    pub target: TargetId,
    /// Start of its process in Unix milliseconds, if its registry entry states it.
    pub process: Option<u64>,
    /// Shared parts of the instance's requests that the target ended before an event.
    pub parts: Vec<PartId>,
    /// Time since the crash, in milliseconds.
    pub age: u32,
}

/// Notice that a target has begun to answer a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunNotice {
    /// The part.
    pub part: PartId,
    /// Time since the beginning, in milliseconds.
    pub age: u32,
}

/// Notice that a part is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldNotice {
    /// The part.
    pub part: PartId,
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
    announced: BTreeMap<PartId, (Time, Time)>,
    /// The last beginning of each part that an instance has announced.
    told: BTreeMap<PartId, Time>,
    /// Time at which all news were last sent.
    repeated: Time,
    /// Whether there is something that was never sent.
    news: bool,
}

/// A crash that this instance has seen.
#[derive(Debug)]
struct OwnReport {
    /// The report, except for its age.
    report: CrashReport,
    /// Time of the crash.
    at: Time,
    /// Time at which parts were last added.
    changed: Time,
}

impl Outbox {
    /// Adds parts to the report on a crash.
    pub(super) fn add_report(
        &mut self,
        target: &str,
        process: Option<u64>,
        parts: &[PartId],
        now: Time,
    ) {
        self.news = true;
        let is_same =
            |own: &OwnReport| own.report.target == target && own.report.process == process;
        let index = self.reports.iter().position(is_same).unwrap_or_else(|| {
            self.reports.push(OwnReport {
                report: CrashReport {
                    target: target.to_owned(),
                    process,
                    parts: Vec::new(),
                    age: 0,
                },
                at: now,
                changed: now,
            });
            self.reports.len() - 1
        });
        let own = &mut self.reports[index];
        own.changed = now;
        for part in parts {
            let parts = &mut own.report.parts;
            if parts.len() < MAX_REPORT_PARTS && !parts.contains(part) {
                parts.push(*part);
            }
        }
    }

    /// Announces that a target began to answer a request with a part at `at`.
    pub(super) fn announce(&mut self, part: PartId, at: Time, now: Time) {
        self.news = true;
        self.announced.insert(part, (at, now));
        self.record_told(part, at);
    }

    /// Records that an instance has announced a beginning.
    pub(super) fn record_told(&mut self, part: PartId, at: Time) {
        let told = self.told.entry(part).or_insert(at);
        *told = at.max(*told);
    }

    /// Returns the last beginning of a part that an instance has announced.
    pub(super) fn told(&self, part: PartId) -> Option<Time> {
        self.told.get(&part).copied()
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
        for own in self.reports.iter().rev().take(MAX_REPORTS) {
            if repeats || now < own.changed + NEWS_TIME {
                update.reports.push(CrashReport {
                    age: age(own.at, now),
                    ..own.report.clone()
                });
            }
        }
        for (part, (at, since)) in &self.announced {
            let due = repeats || now < *since + NEWS_TIME;
            if !due || update.begun.len() >= MAX_BEGUN_NOTICES {
                continue;
            }
            update.begun.push(BegunNotice {
                part: *part,
                age: age(*at, now),
            });
        }
        update
    }

    /// Discards what other instances have announced of parts other than those for which `known`
    /// returns true.
    pub(super) fn retain(&mut self, known: impl Fn(PartId) -> bool) {
        self.told.retain(|part, _| known(*part));
    }
}

/// Returns the time since `at` in milliseconds, for a message.
pub(super) fn age(at: Time, now: Time) -> u32 {
    u32::try_from((now - at).max(0)).unwrap_or(u32::MAX)
}
