//! Prompt parts on which targets crash, found from what targets had begun when they crashed.
//!
//! Instances report for each crash the prompt parts of the requests that the target ended before an
//! event. A part that is in several crashes, and that no target has begun to answer since, is
//! *held*: no request with it is sent until a time has passed, and then one at a time, the trials,
//! until a target begins to answer one.

mod abandoned;
mod begun;
mod exchange;
mod held;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cactuslane_flight::request_info::{PartId, PromptPart};
use cactuslane_types::{Millis, TargetId};

use self::abandoned::AbandonedAttempts;
use self::begun::BegunParts;
use self::exchange::Outbox;
pub use self::exchange::{BegunNotice, CrashReport, CrashUpdate, HeldNotice};
pub use self::held::{HeldPart, StoreChange, StoredPart};
use crate::limits::PermitAnswer;

/// Time on the clock of an instance, in milliseconds; negative before its start.
type Time = i64;

/// Number of crashes after which a part is held that no target is known to have begun.
const HOLDING_CRASHES: usize = 3;
/// Number of crashes since its last beginning after which a part is held that a target has begun
/// before, as it is more likely in all of them by chance.
const BEGUN_HOLDING_CRASHES: usize = 5;
/// Time between crashes that count separately, in milliseconds: targets that end at the same moment
/// have a common cause, which no single request is.
const CRASH_SPACING: Time = 250;
/// Time after a crash within which instances report what they had sent to the target and what other
/// targets have begun since, in milliseconds; the crash counts afterwards.
const REPORTING_TIME: Time = 500;
/// Time within which reports on the same target are of one crash, in milliseconds.
const SAME_CRASH_TIME: Time = 2_000;
/// Time for which a crash counts, in milliseconds.
const CRASH_RETENTION: Time = 3_600_000;
/// Largest number of crashes that are kept; the oldest are discarded.
const MAX_CRASHES: usize = 256;
/// Largest number of parts that are kept for one crash.
const MAX_CRASH_PARTS: usize = 256;
/// Largest number of held parts; those with the fewest crashes are discarded.
const MAX_HELD: usize = 256;

/// Crashes of targets, and the parts that are held because of them.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Crashes, the one that was reported first at the front.
    crashes: VecDeque<Crash>,
    /// Parts that targets have begun to answer requests with.
    begun: BegunParts,
    /// Attempts that this instance gave up before an event.
    abandoned: AbandonedAttempts,
    /// Parts that are held.
    held: BTreeMap<PartId, HeldPart>,
    /// Number of crashes that the store states for each part that it lists as held.
    stored: BTreeMap<PartId, u32>,
    /// What is to be sent to the other instances.
    outbox: Outbox,
    /// Changes of the held parts that have not been returned yet.
    changes: Vec<HoldChange>,
}

/// A crash of a target.
#[derive(Clone, Debug)]
struct Crash {
    /// Target that crashed.
    target: TargetId,
    /// Start of its process in Unix milliseconds, if its registry entry states it.
    process: Option<u64>,
    /// Time of the crash.
    at: Time,
    /// Shared parts of the requests that the target ended before an event.
    parts: BTreeSet<PartId>,
}

/// What may be done with a request, as far as its prompt parts decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Screening {
    /// No part is held.
    Clear,
    /// The part is held for this time.
    Held(PartId, Duration),
    /// The part was held; the request may be sent if it is granted as a trial.
    Trial(PartId),
}

/// A change of the held parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// A part is held, or held longer, after this number of crashes.
    Held(PartId, u32, Duration),
    /// A part is no longer held, as a target has begun to answer a request with it.
    Begun(PartId),
    /// A part is no longer held, as no trial was made for long or others are kept instead.
    Discarded(PartId),
}

impl CrashTracker {
    /// Records that a target crashed before it had sent an event of a request with these shared
    /// parts, which this instance had sent.
    pub fn record_crash(
        &mut self,
        target: &str,
        process: Option<u64>,
        parts: &[PromptPart],
        now: Millis,
    ) {
        let now = now as Time;
        let parts: Vec<PartId> = parts.iter().map(|part| part.id).collect();
        self.outbox.add_report(target, process, &parts, now);
        self.add_crash(target, process, &parts, now, now);
        self.add_abandoned(target, process, now, now);
    }

    /// Records that this instance gave up an attempt at a target before an event of a request with
    /// these shared parts; the target may begin to answer it all the same.
    pub fn record_abandoned(&mut self, target: &str, parts: &[PromptPart], now: Millis) {
        let parts = parts.iter().map(|part| part.id).collect();
        self.abandoned.add(target, parts, now as Time);
    }

    /// Records that a target sent the first event of a request with these shared parts at `at`, and
    /// did not crash on it.
    pub fn record_begun(&mut self, parts: &[PromptPart], at: Millis, now: Millis) {
        let (at, now) = (at as Time, now as Time);
        for part in parts {
            self.begun.record(part.id, at);
            let told = self.outbox.told(part.id);
            let unknown = |crash: &Crash| {
                let since = told.is_none_or(|told| crash.at > told);
                since && crash.at < at && crash.parts.contains(&part.id)
            };
            let held = self.held.get(&part.id);
            let ends_hold = held.is_some_and(|held| held.last < at && told < Some(held.last));
            if ends_hold || self.crashes.iter().any(unknown) {
                self.outbox.announce(part.id, at, now);
            }
        }
    }

    /// Returns what may be done with a request with these shared parts.
    ///
    /// A request with several held parts is tried much later than one with a single one, as it does
    /// not show which of them crashes targets.
    #[must_use]
    pub fn screen(&self, parts: &[PromptPart], now: Millis) -> Screening {
        let now = now as Time;
        let held = parts.iter().filter_map(|part| {
            let held = self.held.get(&part.id)?;
            Some((part.id, held))
        });
        let held: Vec<(PartId, &HeldPart)> = held.collect();
        let several = held.len() > 1;
        let wait = |held: &HeldPart| held.trial_time(several) - now;
        let Some((part, last)) = held.into_iter().max_by_key(|(_, held)| wait(held)) else {
            return Screening::Clear;
        };
        match wait(last) {
            wait if wait > 0 => Screening::Held(part, Duration::from_millis(wait as u64)),
            _ => Screening::Trial(part),
        }
    }

    /// Decides on a trial of a part, as the only instance that grants trials of it.
    pub fn grant_trial(&mut self, part: PartId, now: Millis) -> PermitAnswer {
        match self.held.get_mut(&part) {
            Some(held) => held.grant_trial(now as Time),
            None => PermitAnswer::Granted,
        }
    }

    /// Returns the part that has the most crashes of those that are held, with that number.
    #[must_use]
    pub fn held_parts(&self) -> Vec<(PartId, u32)> {
        let held = self.held.iter();
        held.map(|(part, held)| (*part, held.crashes)).collect()
    }

    /// Applies an update of another instance.
    pub fn apply(&mut self, update: &CrashUpdate, now: Millis) {
        let now = now as Time;
        for notice in &update.begun {
            let at = now - Time::from(notice.age);
            self.begun.record(notice.part, at);
            self.outbox.record_told(notice.part, at);
        }
        for report in &update.reports {
            let at = now - Time::from(report.age);
            self.add_crash(&report.target, report.process, &report.parts, at, now);
            self.add_abandoned(&report.target, report.process, at, now);
        }
        for notice in &update.held {
            let last = now - Time::from(notice.age);
            self.merge_held(notice.part, notice.crashes, notice.failed, last, now);
        }
    }

    /// Returns the update to send to the other instances.
    pub fn update(&mut self, now: Millis) -> CrashUpdate {
        let now = now as Time;
        let mut update = self.outbox.take(now);
        update.held = held::notices(&self.held, now);
        update
    }

    /// Returns whether there is something that has not been sent to the other instances.
    #[must_use]
    pub fn has_news(&self) -> bool {
        self.outbox.has_news()
    }

    /// Decides which parts are held from now on and which no longer are, and returns the changes
    /// since the last call.
    pub fn sweep(&mut self, now: Millis) -> Vec<HoldChange> {
        let now = now as Time;
        self.crashes
            .retain(|crash| now < crash.at + CRASH_RETENTION);
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.release(now);
        while let Some(parts) = self.next_held(now) {
            for part in parts {
                let held = self.hold(part);
                self.held.insert(part, held);
                self.note_held(part, now);
            }
        }
        self.trim();
        let crashes = &self.crashes;
        let held = &self.held;
        self.outbox.retain(|part| {
            held.contains_key(&part) || crashes.iter().any(|crash| crash.parts.contains(&part))
        });
        std::mem::take(&mut self.changes)
    }

    /// Adds the parts of a report to a crash, or to a new one if it is not known.
    fn add_crash(
        &mut self,
        target: &str,
        process: Option<u64>,
        parts: &[PartId],
        at: Time,
        now: Time,
    ) {
        let is_same = |crash: &Crash| {
            let same_process = process.is_some() && crash.process == process;
            crash.target == target && (same_process || (crash.at - at).abs() <= SAME_CRASH_TIME)
        };
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            self.crashes.push_back(Crash {
                target: target.to_owned(),
                process,
                at,
                parts: BTreeSet::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        let at = crash.at;
        for part in parts {
            if crash.parts.len() >= MAX_CRASH_PARTS || !crash.parts.insert(*part) {
                continue;
            }
            // A part that has failed a trial explains the crash better than one that has not.
            let failed = |part: &PartId| self.held.get(part).map_or(0, |held| held.failed);
            let most = crash.parts.iter().chain(parts).map(failed).max();
            let explained = failed(part) < most.unwrap_or(0);
            if let Some(held) = self.held.get_mut(part).filter(|_| !explained) {
                held.add_crash(at);
                let wait = Duration::from_millis((held.until() - now).max(0) as u64);
                let change = HoldChange::Held(*part, held.crashes, wait);
                self.changes.push(change);
            }
            if let Some(begun) = self.begun.last(*part)
                && self.outbox.told(*part).is_none_or(|told| begun > told)
            {
                self.outbox.announce(*part, begun, now);
            }
        }
    }

    /// Adds the parts of the attempts that this instance gave up shortly before a crash to the crash
    /// and to its own report on it.
    fn add_abandoned(&mut self, target: &str, process: Option<u64>, at: Time, now: Time) {
        let parts = self.abandoned.take(target, at);
        if !parts.is_empty() {
            self.outbox.add_report(target, process, &parts, now);
            self.add_crash(target, process, &parts, at, now);
        }
    }

    /// Adds what another instance or the store knows of a held part.
    fn merge_held(&mut self, part: PartId, crashes: u32, failed: u32, last: Time, now: Time) {
        if let Some(begun) = self.begun.last(part)
            && begun > last
        {
            self.outbox.announce(part, begun, now);
            return;
        }
        let is_new = !self.held.contains_key(&part);
        let known = self.held.entry(part);
        let held = known.or_insert(HeldPart::new(crashes, last));
        if held.merge(crashes, failed, last) || is_new {
            self.note_held(part, now);
        }
    }

    /// Returns the parts to hold next, if any: those with the most crashes that no held part
    /// explains.
    ///
    /// Parts that no target is known to have begun go first, as requests with such a part share
    /// their other parts with requests that crash no target. Of the others it is the one whose last
    /// beginning is longest ago.
    fn next_held(&self, now: Time) -> Option<Vec<PartId>> {
        let mut counts: BTreeMap<PartId, (usize, Time)> = BTreeMap::new();
        let mut crashes: Vec<&Crash> = self.crashes.iter().collect();
        crashes.sort_by_key(|crash| crash.at);
        for crash in crashes {
            let explained = crash.parts.iter().any(|part| self.held.contains_key(part));
            if explained || now < crash.at + REPORTING_TIME {
                continue;
            }
            for part in &crash.parts {
                if self.begun.last(*part).is_some_and(|at| at >= crash.at) {
                    continue;
                }
                let (count, last) = counts.entry(*part).or_insert((0, Time::MIN / 2));
                if crash.at >= *last + CRASH_SPACING {
                    *count += 1;
                    *last = crash.at;
                }
            }
        }
        counts.retain(|part, (count, _)| {
            let begun = self.begun.last(*part).is_some();
            *count
                >= if begun {
                    BEGUN_HOLDING_CRASHES
                } else {
                    HOLDING_CRASHES
                }
        });
        let mut unbegun = Vec::new();
        for (part, (count, _)) in &counts {
            if self.begun.last(*part).is_none() {
                unbegun.push((*part, *count));
            }
        }
        if let Some(most) = unbegun.iter().map(|(_, count)| *count).max() {
            unbegun.retain(|(_, count)| *count == most);
            return Some(unbegun.into_iter().map(|(part, _)| part).collect());
        }
        let oldest = counts.keys().min_by_key(|part| self.begun.last(**part))?;
        Some(vec![*oldest])
    }

    /// Returns the state of a part that begins to be held.
    fn hold(&self, part: PartId) -> HeldPart {
        let begun = self.begun.last(part);
        let with_part = self.crashes.iter().filter(|crash| {
            crash.parts.contains(&part) && begun.is_none_or(|begun| crash.at > begun)
        });
        let times: Vec<Time> = with_part.map(|crash| crash.at).collect();
        HeldPart::new(
            times.len() as u32,
            times.into_iter().max().unwrap_or_default(),
        )
    }

    /// Adds the change that a part is held to the changes to return.
    fn note_held(&mut self, part: PartId, now: Time) {
        if let Some(held) = self.held.get(&part) {
            let wait = Duration::from_millis((held.until() - now).max(0) as u64);
            self.changes
                .push(HoldChange::Held(part, held.crashes, wait));
        }
    }

    /// Ends the holds of parts that targets have begun since or that have not been tried for long.
    fn release(&mut self, now: Time) {
        let (begun, changes) = (&self.begun, &mut self.changes);
        self.held.retain(|part, held| {
            if begun.last(*part).is_some_and(|at| at > held.last) {
                changes.push(HoldChange::Begun(*part));
                return false;
            }
            let lapsed = held.is_lapsed(now);
            if lapsed {
                changes.push(HoldChange::Discarded(*part));
            }
            !lapsed
        });
    }

    /// Ends the holds with the fewest crashes if there are too many.
    fn trim(&mut self) {
        while self.held.len() > MAX_HELD {
            let least = self
                .held
                .iter()
                .min_by_key(|(_, held)| (held.crashes, held.last));
            let Some(part) = least.map(|(part, _)| *part) else {
                return;
            };
            self.held.remove(&part);
            self.changes.push(HoldChange::Discarded(part));
        }
    }
}
