//! What crashes targets, prompt parts and whole requests, found from what targets were about to
//! answer when they crashed.
//!
//! Instances report for each crash the attempts that the target ended before an answer or an event.
//! What these have in common is a [`Suspect`]: a prompt part or a request as a whole. One that is in
//! several crashes, and that no target has begun to answer since, is *held*: no request with it is
//! sent until a time has passed, and then one at a time, the trials, until a target begins to answer
//! one.

mod abandoned;
mod begun;
mod evidence;
mod exchange;
mod held;
mod suspect;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cactuslane_types::Millis;

use self::abandoned::AbandonedAttempts;
use self::begun::BegunSuspects;
use self::evidence::{CrashLog, HOLDING_CRASHES};
use self::exchange::Outbox;
pub use self::exchange::{BegunNotice, CrashReport, CrashUpdate, HeldNotice, LostAttempt};
pub use self::held::{HeldSuspect, StoreChange, StoredSuspect};
pub use self::suspect::{Attempt, Suspect};
use crate::limits::PermitAnswer;

/// Time on the clock of an instance, in milliseconds; negative before its start.
type Time = i64;

/// Time after the trial of a request that is not held, within which no equal one is sent unless it is
/// answered, in milliseconds.
const SUSPECTED_INTERVAL: Time = 250;
/// Largest number of held suspects; those with the fewest crashes are discarded.
const MAX_HELD: usize = 256;

/// Crashes of targets, and the suspects that are held because of them.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Crashes that instances have seen.
    crashes: CrashLog,
    /// Suspects that targets have begun to answer requests with.
    begun: BegunSuspects,
    /// Attempts that this instance gave up before an answer or an event.
    abandoned: AbandonedAttempts,
    /// Suspects that are held.
    held: BTreeMap<Suspect, HeldSuspect>,
    /// Number of crashes that the store states for each suspect that it lists as held.
    stored: BTreeMap<Suspect, u32>,
    /// Held suspects that more crashes speak against than at the last check.
    strengthened: BTreeSet<Suspect>,
    /// What is to be sent to the other instances.
    outbox: Outbox,
    /// Last trials of suspects that are not held: the number of crashes and the time at the grant.
    granted: BTreeMap<Suspect, (usize, Time)>,
    /// Changes of the held suspects that have not been returned yet.
    changes: Vec<HoldChange>,
}

/// What may be done with a request, as far as its suspects decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Screening {
    /// No suspect is held.
    Clear,
    /// The suspect is held for this time.
    Held(Suspect, Duration),
    /// An equal request ended with a target and none was answered since; the request may be sent if
    /// it is granted as a trial, or if no instance can grant it.
    Suspected(Suspect),
    /// The suspect was held; the request may be sent if it is granted as a trial.
    Trial(Suspect),
}

/// A change of the held suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// A suspect is held, or held longer, after this number of crashes.
    Held(Suspect, u32, Duration),
    /// A suspect is no longer held, as a target has begun to answer a request with it.
    Begun(Suspect),
    /// A suspect is no longer held, as the second one explains the crashes better.
    Explained(Suspect, Suspect),
    /// A suspect is no longer held, as no trial was made for long or others are kept instead.
    Discarded(Suspect),
}

impl CrashTracker {
    /// Records that a target crashed at `at`, before it had answered an attempt of this instance or
    /// before the first event; it may be found out later.
    pub fn record_crash(
        &mut self,
        target: &str,
        process: Option<u64>,
        attempt: &Attempt,
        at: Millis,
        now: Millis,
    ) {
        let (at, now) = (at as Time, now as Time);
        self.outbox.add_report(target, process, attempt, at, now);
        self.add_crash(target, process, attempt, at, now);
        self.add_abandoned(target, process, at, now);
    }

    /// Records that this instance gave up an attempt at a target before an answer or an event; the
    /// target may begin to answer it all the same.
    pub fn record_abandoned(&mut self, target: &str, attempt: Attempt, now: Millis) {
        self.abandoned.add(target, attempt, now as Time);
    }

    /// Records that a target answered a request with these suspects, or sent its first event, at
    /// `at`, and did not crash on it.
    pub fn record_begun(&mut self, suspects: &[Suspect], at: Millis, now: Millis) {
        let (at, now) = (at as Time, now as Time);
        for suspect in suspects {
            self.begun.record(*suspect, at);
            let told = self.outbox.told(*suspect);
            let held = self.held.get(suspect);
            let ends_hold = held.is_some_and(|held| held.last < at && told < Some(held.last));
            if ends_hold || self.crashes.any_between(*suspect, told, at) {
                self.outbox.announce(*suspect, at, now);
            }
        }
    }

    /// Returns what may be done with a request with these suspects.
    ///
    /// A request with several held suspects is tried much later than one with a single one, as it
    /// does not show which of them crashes targets.
    #[must_use]
    pub fn screen(&self, suspects: &[Suspect], now: Millis) -> Screening {
        let now = now as Time;
        let held = suspects
            .iter()
            .filter_map(|suspect| Some((*suspect, self.held.get(suspect)?)));
        let held: Vec<(Suspect, &HeldSuspect)> = held.collect();
        let several = held.len() > 1;
        let wait = |held: &HeldSuspect| held.trial_time(several) - now;
        let Some((suspect, last)) = held.into_iter().max_by_key(|(_, held)| wait(held)) else {
            let suspected = suspects
                .iter()
                .find(|suspect| self.count_lost(**suspect) > 0);
            return suspected.map_or(Screening::Clear, |suspect| Screening::Suspected(*suspect));
        };
        match wait(last) {
            wait if wait > 0 => Screening::Held(suspect, Duration::from_millis(wait as u64)),
            _ => Screening::Trial(suspect),
        }
    }

    /// Decides on a trial of a suspect, as the only instance that grants trials of it.
    pub fn grant_trial(&mut self, suspect: Suspect, now: Millis) -> PermitAnswer {
        let now = now as Time;
        if let Some(held) = self.held.get_mut(&suspect) {
            return held.grant_trial(now);
        }
        let crashes = self.count_lost(suspect);
        if crashes == 0 {
            return PermitAnswer::Granted;
        }
        // A trial that ended with its target is over.
        let under_way = self.granted.get(&suspect).filter(|last| last.0 == crashes);
        let next = under_way.map_or(now, |(_, at)| at + SUSPECTED_INTERVAL);
        if now < next {
            return PermitAnswer::Denied((next - now) as u32);
        }
        self.granted.insert(suspect, (crashes, now));
        PermitAnswer::Granted
    }

    /// Returns the number of crashes that ended a request since an equal one was last answered; 0
    /// for a prompt part.
    fn count_lost(&self, suspect: Suspect) -> usize {
        match suspect {
            Suspect::Request(_) => self.crashes.since_begun(suspect, &self.begun).0 as usize,
            Suspect::Part(_) => 0,
        }
    }

    /// Returns the held suspects, each with the number of crashes.
    #[must_use]
    pub fn held_suspects(&self) -> Vec<(Suspect, u32)> {
        let held = self.held.iter();
        held.map(|(suspect, held)| (*suspect, held.crashes))
            .collect()
    }

    /// Applies an update of another instance.
    pub fn apply(&mut self, update: &CrashUpdate, now: Millis) {
        let now = now as Time;
        for notice in &update.begun {
            let at = now - Time::from(notice.age);
            self.begun.record(notice.suspect, at);
            self.outbox.record_told(notice.suspect, at);
        }
        for report in &update.reports {
            let at = now - Time::from(report.age);
            for lost in &report.attempts {
                let attempt = Attempt {
                    request: lost.request,
                    parts: lost.parts.clone(),
                    sent: now - Time::from(lost.age),
                };
                self.add_crash(&report.target, report.process, &attempt, at, now);
            }
            self.add_abandoned(&report.target, report.process, at, now);
        }
        for notice in &update.held {
            let last = now - Time::from(notice.age);
            self.merge_held(notice.suspect, notice.crashes, notice.failed, last, now);
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

    /// Decides which suspects are held from now on and which no longer are, and returns the changes
    /// since the last call.
    pub fn sweep(&mut self, now: Millis) -> Vec<HoldChange> {
        let now = now as Time;
        self.crashes.discard(now);
        self.granted
            .retain(|_, (_, at)| now < *at + SUSPECTED_INTERVAL);
        self.release(now);
        if self.crashes.take_checks(now) {
            self.hold_next(now);
        }
        self.release_explained();
        self.trim();
        let (crashes, held) = (&self.crashes, &self.held);
        self.outbox
            .retain(|suspect| held.contains_key(&suspect) || crashes.any(suspect));
        std::mem::take(&mut self.changes)
    }

    /// Holds all suspects that enough crashes speak against.
    fn hold_next(&mut self, now: Time) {
        while let Some(suspects) = self.crashes.next_held(&self.held, &self.begun, now) {
            for suspect in suspects {
                let (crashes, last) = self.crashes.since_begun(suspect, &self.begun);
                let mut held = HeldSuspect::new(crashes, last);
                // No equal request is known to have been answered, so that more crashes count like
                // failed trials.
                let is_request = matches!(suspect, Suspect::Request(_));
                if is_request && self.begun.last(suspect).is_none() {
                    held.failed = crashes.saturating_sub(HOLDING_CRASHES as u32);
                }
                self.held.insert(suspect, held);
                self.strengthened.insert(suspect);
                self.note_held(suspect, now);
            }
        }
    }

    /// Ends the holds that reports have since shown to be for crashes on another suspect.
    fn release_explained(&mut self) {
        for better in std::mem::take(&mut self.strengthened) {
            for suspect in self.crashes.beside(better) {
                let untried = self.held.get(&suspect).is_some_and(|held| held.failed == 0);
                if untried && self.explains(better, suspect) {
                    self.held.remove(&suspect);
                    self.changes.push(HoldChange::Explained(suspect, better));
                }
            }
        }
    }

    /// Returns whether a held suspect explains the crashes better that speak against another one.
    fn explains(&self, better: Suspect, suspect: Suspect) -> bool {
        let left = self.crashes.count_without(suspect, better, &self.begun);
        self.held.contains_key(&better)
            && left == 0
            && self.strength(suspect) < self.strength(better)
    }

    /// Returns how strong the evidence against a suspect is, to compare it with another.
    fn strength(&self, suspect: Suspect) -> (bool, u32) {
        let (crashes, _) = self.crashes.since_begun(suspect, &self.begun);
        (self.begun.last(suspect).is_none(), crashes)
    }

    /// Adds an attempt to a crash, or to a new one if it is not known.
    fn add_crash(
        &mut self,
        target: &str,
        process: Option<u64>,
        attempt: &Attempt,
        at: Time,
        now: Time,
    ) {
        let (crash, added) = self.crashes.add(target, process, attempt, (at, now));
        let at = crash.at;
        let failed = |suspect: Suspect| self.held.get(&suspect).map_or(0, |held| held.failed);
        let in_crash = crash.attempts.iter().flat_map(Attempt::suspects);
        let most = in_crash.map(failed).max().unwrap_or(0);
        for suspect in added {
            // A suspect that has failed a trial explains the crash better than one that has not.
            let explained = self
                .held
                .get(&suspect)
                .is_some_and(|held| held.failed < most);
            if let Some(held) = self.held.get_mut(&suspect).filter(|_| !explained) {
                held.add_crash(at);
                self.strengthened.insert(suspect);
                self.note_held(suspect, now);
            }
            if let Some(begun) = self.begun.last(suspect)
                && self.outbox.told(suspect).is_none_or(|told| begun > told)
            {
                self.outbox.announce(suspect, begun, now);
            }
        }
    }

    /// Adds the attempts that this instance gave up shortly before a crash to the crash and to its
    /// own report on it.
    fn add_abandoned(&mut self, target: &str, process: Option<u64>, at: Time, now: Time) {
        for attempt in self.abandoned.take(target, at) {
            self.outbox.add_report(target, process, &attempt, at, now);
            self.add_crash(target, process, &attempt, at, now);
        }
    }

    /// Adds what another instance or the store knows of a held suspect.
    fn merge_held(&mut self, suspect: Suspect, crashes: u32, failed: u32, last: Time, now: Time) {
        if let Some(begun) = self.begun.last(suspect)
            && begun > last
        {
            self.outbox.announce(suspect, begun, now);
            return;
        }
        let is_new = !self.held.contains_key(&suspect);
        if is_new {
            let mut beside = self.crashes.beside(suspect).into_iter();
            if failed == 0 && beside.any(|other| self.explains(other, suspect)) {
                return;
            }
            self.strengthened.insert(suspect);
        }
        let known = self.held.entry(suspect);
        let held = known.or_insert(HeldSuspect::new(crashes, last));
        if held.merge(crashes, failed, last) || is_new {
            self.note_held(suspect, now);
        }
    }

    /// Adds the change that a suspect is held to the changes to return.
    fn note_held(&mut self, suspect: Suspect, now: Time) {
        if let Some(held) = self.held.get(&suspect) {
            let wait = Duration::from_millis((held.until() - now).max(0) as u64);
            self.changes
                .push(HoldChange::Held(suspect, held.crashes, wait));
        }
    }

    /// Ends the holds of suspects that targets have begun since or that have not been tried for
    /// long.
    fn release(&mut self, now: Time) {
        let (begun, changes) = (&self.begun, &mut self.changes);
        let count = self.held.len();
        self.held.retain(|suspect, held| {
            if begun.last(*suspect).is_some_and(|at| at > held.last) {
                changes.push(HoldChange::Begun(*suspect));
                return false;
            }
            let lapsed = held.is_lapsed(now);
            if lapsed {
                changes.push(HoldChange::Discarded(*suspect));
            }
            !lapsed
        });
        if self.held.len() < count {
            self.crashes.request_check(now);
        }
    }

    /// Ends the holds with the fewest crashes if there are too many.
    fn trim(&mut self) {
        while self.held.len() > MAX_HELD {
            let least = self
                .held
                .iter()
                .min_by_key(|(_, held)| (held.crashes, held.last));
            let Some(suspect) = least.map(|(suspect, _)| *suspect) else {
                return;
            };
            self.held.remove(&suspect);
            self.changes.push(HoldChange::Discarded(suspect));
        }
    }
}
