//! Crashes of targets, and which suspects they speak against.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_flight::request_info::Fingerprint;
use cactuslane_types::TargetId;

use super::Time;
use super::begun::BegunSuspects;
use super::held::HeldSuspect;
use super::suspect::{Attempt, Suspect};

/// Number of crashes after which a request is held, and a prompt part that no target is known to
/// have begun.
pub(super) const HOLDING_CRASHES: usize = 3;
/// Number of crashes since its last beginning after which a part is held that a target has begun
/// before, as it is more likely in all of them by chance.
const BEGUN_HOLDING_CRASHES: usize = 5;
/// Number of the crashes of a request that no held suspect is in.
const UNEXPLAINED_CRASHES: usize = 2;
/// Time between crashes that count separately for a part, in milliseconds, unless an attempt with it
/// was sent in between: targets that end at the same moment have a common cause, which no single
/// request is.
const CRASH_SPACING: Time = 250;
/// The same for a request. It is longer than instances differ on the time of one crash.
const REQUEST_CRASH_SPACING: Time = 20;
/// Time after a crash becomes known within which instances report what they had sent to the target
/// and what other targets have begun since, in milliseconds; the crash counts afterwards.
const REPORTING_TIME: Time = 500;
/// Time within which reports on the same target are of one crash if a process is not known, in
/// milliseconds.
const SAME_CRASH_TIME: Time = 2_000;
/// Time within which reports on several processes of a target are of one crash, in milliseconds. No
/// target is back sooner, but an instance may not have seen the entry of the last process.
const RESTART_TIME: Time = 100;
/// Time for which a crash counts, in milliseconds.
const CRASH_RETENTION: Time = 3_600_000;
/// Largest number of crashes that are kept; the oldest are discarded.
const MAX_CRASHES: usize = 256;
/// Largest number of attempts that are kept for one crash.
const MAX_CRASH_ATTEMPTS: usize = 128;

/// Number of a crash, higher for one that was reported later.
type CrashId = u64;

/// A crash of a target.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Target that crashed.
    target: TargetId,
    /// Start of its process in Unix milliseconds, if its registry entry states it.
    process: Option<u64>,
    /// Time of the crash.
    pub(super) at: Time,
    /// Time at which this instance learned of it.
    known: Time,
    /// Attempts that the target ended before an answer or an event.
    pub(super) attempts: Vec<Attempt>,
}

impl Crash {
    /// Returns whether one of the attempts has a suspect.
    fn has(&self, suspect: Suspect) -> bool {
        self.attempts.iter().any(|attempt| attempt.has(suspect))
    }

    /// Adds an attempt; returns false if it is known or there are too many.
    fn add(&mut self, attempt: &Attempt) -> bool {
        let same = |known: &Attempt| known.request == attempt.request;
        if let Some(known) = self.attempts.iter_mut().find(|known| same(known)) {
            known.sent = known.sent.max(attempt.sent);
            return false;
        }
        if self.attempts.len() >= MAX_CRASH_ATTEMPTS {
            return false;
        }
        self.attempts.push(attempt.clone());
        true
    }

    /// Returns the requests that no target has begun since.
    fn unbegun(&self, begun: &BegunSuspects) -> BTreeSet<Fingerprint> {
        let requests = self.attempts.iter().map(|attempt| attempt.request);
        let unbegun = |request: &Fingerprint| {
            let last = begun.last(Suspect::Request(*request));
            last.is_none_or(|last| last < self.at)
        };
        requests.filter(unbegun).collect()
    }
}

/// Crashes of targets.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    /// The crashes.
    crashes: BTreeMap<CrashId, Crash>,
    /// Number of the next crash.
    next: CrashId,
    /// Crashes that each suspect is in.
    by_suspect: BTreeMap<Suspect, BTreeSet<CrashId>>,
    /// Suspects in so many crashes that they may have to be held.
    frequent: BTreeSet<Suspect>,
    /// Times from which something may have to be held that was not before.
    checks: BTreeSet<Time>,
}

impl CrashLog {
    /// Adds an attempt to the crash at `at` that a report is on, which is added if it is not known.
    ///
    /// Returns the crash and the suspects that were not in it before; none if the attempt was known.
    pub(super) fn add(
        &mut self,
        target: &str,
        process: Option<u64>,
        attempt: &Attempt,
        (at, now): (Time, Time),
    ) -> (&Crash, Vec<Suspect>) {
        let id = self.find(target, process, at);
        let crash = self.crashes.entry(id).or_insert_with(|| Crash {
            target: target.to_owned(),
            process,
            at,
            known: now,
            attempts: Vec::new(),
        });
        self.next = self.next.max(id + 1);
        crash.at = crash.at.min(at);
        let mut added: Vec<Suspect> = attempt.suspects().collect();
        added.retain(|suspect| !crash.has(*suspect));
        if !crash.add(attempt) {
            added.clear();
        }
        if !added.is_empty() {
            self.checks.insert(crash.known + REPORTING_TIME);
        }
        for suspect in &added {
            let ids = self.by_suspect.entry(*suspect).or_default();
            ids.insert(id);
            if ids.len() >= HOLDING_CRASHES {
                self.frequent.insert(*suspect);
            }
        }
        (&self.crashes[&id], added)
    }

    /// Returns the number of the crash that a report is on, or the next one if it is not known.
    fn find(&self, target: &str, process: Option<u64>, at: Time) -> CrashId {
        let is_same = |crash: &Crash| {
            let tolerance = match (process, crash.process) {
                (Some(reported), Some(known)) if reported == known => Time::MAX,
                (Some(_), Some(_)) => RESTART_TIME,
                _ => SAME_CRASH_TIME,
            };
            crash.target == target && (crash.at - at).abs() <= tolerance
        };
        let known = self.crashes.iter().find(|(_, crash)| is_same(crash));
        known.map_or(self.next, |(id, _)| *id)
    }

    /// Requests a check of what is to be held, as something else no longer is.
    pub(super) fn request_check(&mut self, now: Time) {
        self.checks.insert(now);
    }

    /// Returns whether something may have to be held now that was not before.
    pub(super) fn take_checks(&mut self, now: Time) -> bool {
        let later = self.checks.split_off(&(now + 1));
        let due = !self.checks.is_empty();
        self.checks = later;
        due
    }

    /// Returns whether a crash between two times has a suspect.
    pub(super) fn any_between(&self, suspect: Suspect, after: Option<Time>, before: Time) -> bool {
        let between = |at: Time| after.is_none_or(|after| at > after) && at < before;
        self.with(suspect).any(|(_, crash)| between(crash.at))
    }

    /// Returns whether a crash has a suspect.
    pub(super) fn any(&self, suspect: Suspect) -> bool {
        self.by_suspect.contains_key(&suspect)
    }

    /// Discards crashes that no longer count.
    pub(super) fn discard(&mut self, now: Time) {
        while let Some((_, crash)) = self.crashes.first_key_value() {
            if self.crashes.len() <= MAX_CRASHES && now < crash.at + CRASH_RETENTION {
                return;
            }
            let Some((id, crash)) = self.crashes.pop_first() else {
                return;
            };
            for suspect in crash.attempts.iter().flat_map(Attempt::suspects) {
                let Some(ids) = self.by_suspect.get_mut(&suspect) else {
                    continue;
                };
                ids.remove(&id);
                if ids.len() < HOLDING_CRASHES {
                    self.frequent.remove(&suspect);
                }
                if ids.is_empty() {
                    self.by_suspect.remove(&suspect);
                }
            }
        }
    }

    /// Returns the number of crashes with a suspect since its last beginning, and the time of the
    /// last of them.
    pub(super) fn since_begun(&self, suspect: Suspect, begun: &BegunSuspects) -> (u32, Time) {
        let last = begun.last(suspect);
        let with = self.with(suspect).map(|(_, crash)| crash.at);
        let times: Vec<Time> = with
            .filter(|at| last.is_none_or(|last| *at > last))
            .collect();
        let latest = times.iter().copied().max();
        (times.len() as u32, latest.unwrap_or_default())
    }

    /// Returns the other suspects in the crashes of a suspect.
    pub(super) fn beside(&self, suspect: Suspect) -> BTreeSet<Suspect> {
        let attempts = self.with(suspect).flat_map(|(_, crash)| &crash.attempts);
        let mut beside: BTreeSet<Suspect> = attempts.flat_map(Attempt::suspects).collect();
        beside.remove(&suspect);
        beside
    }

    /// Returns the number of crashes with a suspect since its last beginning and without another one.
    pub(super) fn count_without(
        &self,
        suspect: Suspect,
        other: Suspect,
        begun: &BegunSuspects,
    ) -> usize {
        let last = begun.last(suspect);
        let without = self.with(suspect).filter(|(id, crash)| {
            let since = last.is_none_or(|last| crash.at > last);
            since && !self.is_in(other, *id)
        });
        without.count()
    }

    /// Returns the suspects to hold next, if any: those with the most crashes.
    ///
    /// Suspects that no target is known to have begun go first, as the attempts beside them are
    /// sound ones. Of the others it is the one whose last beginning is longest ago.
    pub(super) fn next_held(
        &self,
        held: &BTreeMap<Suspect, HeldSuspect>,
        begun: &BegunSuspects,
        now: Time,
    ) -> Option<Vec<Suspect>> {
        let explained = self.explained(held);
        let mut unbegun = Vec::new();
        let mut oldest: Option<(Time, Suspect)> = None;
        for suspect in &self.frequent {
            if held.contains_key(suspect) {
                continue;
            }
            let crashes = self.counting(*suspect, begun, now);
            let last = begun.last(*suspect);
            if !is_enough(*suspect, &crashes, &explained, begun) {
                continue;
            }
            match last {
                None => unbegun.push((*suspect, crashes.len())),
                Some(last) if oldest.is_none_or(|(least, _)| last < least) => {
                    oldest = Some((last, *suspect));
                }
                Some(_) => {}
            }
        }
        if let Some(most) = unbegun.iter().map(|(_, count)| *count).max() {
            unbegun.retain(|(_, count)| *count == most);
            return Some(unbegun.into_iter().map(|(suspect, _)| suspect).collect());
        }
        oldest.map(|(_, suspect)| vec![suspect])
    }

    /// Returns the crashes that a held suspect is in, each with whether one of those is a part.
    fn explained(&self, held: &BTreeMap<Suspect, HeldSuspect>) -> BTreeMap<CrashId, bool> {
        let mut explained = BTreeMap::new();
        for suspect in held.keys() {
            let is_part = matches!(suspect, Suspect::Part(_));
            for (id, _) in self.with(*suspect) {
                *explained.entry(id).or_insert(false) |= is_part;
            }
        }
        explained
    }

    /// Returns the crashes that speak against a suspect and count separately, in their order.
    fn counting(
        &self,
        suspect: Suspect,
        begun: &BegunSuspects,
        now: Time,
    ) -> Vec<(CrashId, &Crash)> {
        let is_request = matches!(suspect, Suspect::Request(_));
        let last = begun.last(suspect);
        let mut crashes = Vec::new();
        for (id, crash) in self.with(suspect) {
            let cleared = last.is_some_and(|last| last >= crash.at);
            if !cleared && now >= crash.known + REPORTING_TIME {
                crashes.push((id, crash));
            }
        }
        crashes.sort_by_key(|(_, crash)| crash.at);
        let spacing = if is_request {
            REQUEST_CRASH_SPACING
        } else {
            CRASH_SPACING
        };
        let mut before: Option<Time> = None;
        crashes.retain(|(_, crash)| {
            let mut with = crash.attempts.iter().filter(|attempt| attempt.has(suspect));
            let separate = before.is_none_or(|before| {
                crash.at >= before + spacing || with.any(|attempt| attempt.sent >= before)
            });
            if separate {
                before = Some(crash.at);
            }
            separate
        });
        crashes
    }

    /// Returns the crashes with a suspect.
    fn with(&self, suspect: Suspect) -> impl Iterator<Item = (CrashId, &Crash)> {
        let ids = self.by_suspect.get(&suspect).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.crashes.get(id)?)))
    }

    /// Returns whether a crash has a suspect.
    fn is_in(&self, suspect: Suspect, id: CrashId) -> bool {
        let ids = self.by_suspect.get(&suspect);
        ids.is_some_and(|ids| ids.contains(&id))
    }
}

/// Returns whether the crashes that speak against a suspect are enough to hold it.
///
/// For a request, some of them must be without a held suspect; for a part, all without a held part,
/// and no single request may be in all of them.
fn is_enough(
    suspect: Suspect,
    crashes: &[(CrashId, &Crash)],
    explained: &BTreeMap<CrashId, bool>,
    begun: &BegunSuspects,
) -> bool {
    let Suspect::Part(_) = suspect else {
        let unexplained = crashes.iter().filter(|(id, _)| !explained.contains_key(id));
        return crashes.len() >= HOLDING_CRASHES && unexplained.count() >= UNEXPLAINED_CRASHES;
    };
    let needed = match begun.last(suspect) {
        Some(_) => BEGUN_HOLDING_CRASHES,
        None => HOLDING_CRASHES,
    };
    let mut common: Option<BTreeSet<Fingerprint>> = None;
    let mut count = 0;
    for (id, crash) in crashes {
        if explained.get(id) == Some(&true) {
            continue;
        }
        count += 1;
        let unbegun = crash.unbegun(begun);
        let common = common.get_or_insert_with(|| unbegun.clone());
        common.retain(|request| unbegun.contains(request));
    }
    count >= needed && common.is_some_and(|common| common.is_empty())
}
