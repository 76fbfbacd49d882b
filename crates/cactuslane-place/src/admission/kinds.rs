//! Kinds of requests to a service, by priority and latency objective.

use std::collections::BTreeMap;

use cactuslane_types::Millis;

use super::AdmissionRequest;

/// Largest number of kinds; requests of further ones are bounded by their own objectives alone.
const MAX_KINDS: usize = 16;
/// Time without a request after which a kind no longer bounds less urgent ones, in milliseconds.
const ACTIVE_TIME: Millis = 2_000;
/// Time constant of the decay of the work that was asked for and admitted, in milliseconds.
const DECAY_TIME: f64 = 5_000.0;
/// Weight of a new request in the moving average of a kind's time at an empty target.
const SERVICE_WEIGHT: f64 = 0.1;
/// Share of the served part of all work below which the served part of a kind counts as starved.
const STARVED_SHARE: f64 = 0.5;

/// Share of the longest stated time from which a caller counts as one that begins with it.
const FULL_SHARE: f64 = 0.999;
/// Smallest share of such callers with which others count as repeating.
const MIN_AT_LONGEST: f64 = 0.3;
/// Share of the longest queue with which a request is in time which it may find: the view of the
/// targets is old, and times vary.
const MARGIN: f64 = 0.8;
/// Share of the queue that more urgent kinds may find which less urgent ones may fill.
const LESS_URGENT_SHARE: f64 = 0.75;
/// Share of the queue with which the others are in time which late requests may fill.
const LATE_SHARE: f64 = 0.2;

/// Priority and latency objective in milliseconds.
type KindKey = (u8, u64);

/// Kinds of requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds {
    /// Kinds by priority and objective.
    kinds: BTreeMap<KindKey, Kind>,
    /// Moving average of the time at a target over all kinds, in milliseconds.
    target_ms: f64,
}

/// What is known of a kind of request.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// Expected time at a target without a queue, in milliseconds.
    service_ms: f64,
    /// Work that was asked for, decayed.
    asked: f64,
    /// Work that was admitted, decayed.
    admitted: f64,
    /// Time of the last request.
    seen: Millis,
    /// Longest time that a caller of late stated to wait, in milliseconds.
    longest: f64,
    /// Moving average of the share of requests whose callers stated nearly that time.
    at_longest: f64,
}

impl Kinds {
    /// Records that a request arrives; `objective` is in milliseconds.
    pub(super) fn ask(&mut self, request: &AdmissionRequest<'_>, objective: f64, now: Millis) {
        self.target_ms += (request.target_ms - self.target_ms) * SERVICE_WEIGHT;
        let key = key(request, objective);
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&key) {
            let is_active = |kind: &Kind| now.saturating_sub(kind.seen) < ACTIVE_TIME;
            self.kinds.retain(|_, kind| is_active(kind));
            if self.kinds.len() >= MAX_KINDS {
                return;
            }
        }
        let kind = self.kinds.entry(key).or_insert(Kind {
            service_ms: request.service_ms,
            asked: 0.0,
            admitted: 0.0,
            seen: now,
            longest: 0.0,
            at_longest: 0.0,
        });
        let decay = (-(now.saturating_sub(kind.seen) as f64) / DECAY_TIME).exp();
        kind.asked = kind.asked * decay + request.work;
        kind.admitted *= decay;
        kind.service_ms += (request.service_ms - kind.service_ms) * SERVICE_WEIGHT;
        kind.seen = now;
        if let Some(stated) = request.stated {
            let stated = stated.as_secs_f64() * 1000.0;
            if stated > kind.longest * (2.0 - FULL_SHARE) {
                kind.at_longest = 0.0;
            }
            kind.longest = kind.longest.max(stated);
            let is_full = stated >= kind.longest * FULL_SHARE;
            let sample = f64::from(u8::from(is_full));
            kind.at_longest += (sample - kind.at_longest) * SERVICE_WEIGHT;
            if !is_full && kind.at_longest < MIN_AT_LONGEST / 2.0 {
                // Callers have come to state other times.
                kind.longest *= FULL_SHARE;
            }
        }
    }

    /// Returns the time in milliseconds for which a caller has tried already, at any instance, as it
    /// states to wait that much less than others; 0 unless callers of its kind begin with about the
    /// same time.
    pub(super) fn tried_ms(&self, request: &AdmissionRequest<'_>, objective: f64) -> f64 {
        let Some((kind, stated)) = self.kinds.get(&key(request, objective)).zip(request.stated)
        else {
            return 0.0;
        };
        let stated = stated.as_secs_f64() * 1000.0;
        if kind.at_longest < MIN_AT_LONGEST || stated >= kind.longest * FULL_SHARE {
            return 0.0;
        }
        kind.longest - stated
    }

    /// Records that a request is admitted; `objective` is in milliseconds.
    pub(super) fn admitted(&mut self, request: &AdmissionRequest<'_>, objective: f64) {
        if let Some(kind) = self.kinds.get_mut(&key(request, objective)) {
            kind.admitted += request.work;
        }
    }

    /// Returns the longest queue at the targets with which a request is in time and leaves more
    /// urgent ones in time as well, in milliseconds.
    ///
    /// Less urgent kinds get a part of the queue that more urgent ones get, unless they are
    /// starved. `objective` and the time `waited` since the arrival are in milliseconds.
    pub(super) fn headroom(
        &self,
        request: &AdmissionRequest<'_>,
        objective: f64,
        waited: f64,
        now: Millis,
    ) -> f64 {
        let own = objective - waited - request.service_ms;
        let Some(urgent) = self.least(Some(request.priority), now) else {
            return own * MARGIN;
        };
        let part = if self.is_starved(key(request, objective)) {
            1.0
        } else {
            LESS_URGENT_SHARE
        };
        own.min(urgent * part) * MARGIN
    }

    /// Returns the longest queue at the targets with which a request that is late anyway leaves all
    /// others in time, in milliseconds; `objective` is in milliseconds.
    ///
    /// A kind that is starved, as one that is late at empty targets as well would be, gets a larger
    /// part of it.
    pub(super) fn late_headroom(
        &self,
        request: &AdmissionRequest<'_>,
        objective: f64,
        now: Millis,
    ) -> f64 {
        let part = if self.is_starved(key(request, objective)) {
            MARGIN
        } else {
            LATE_SHARE
        };
        self.least(None, now).unwrap_or(objective).min(objective) * part
    }

    /// Returns the shortest time by which an active kind that is more urgent than `priority`, or
    /// any if that is `None`, may wait at the targets and is in time, in milliseconds.
    fn least(&self, priority: Option<u8>, now: Millis) -> Option<f64> {
        let mut least: Option<f64> = None;
        for ((urgency, objective), kind) in &self.kinds {
            if priority.is_some_and(|priority| *urgency >= priority) {
                break;
            }
            let time = *objective as f64 - kind.service_ms;
            // A kind that is late at empty targets as well gains nothing by shorter queues.
            if time > 0.0 && now.saturating_sub(kind.seen) < ACTIVE_TIME {
                least = Some(least.map_or(time, |least| least.min(time)));
            }
        }
        least
    }

    /// Returns the mean time at a target of the requests that arrive, in milliseconds.
    pub(super) fn target_ms(&self) -> f64 {
        self.target_ms
    }

    /// Returns whether a much smaller part of a kind's work than of all work is admitted.
    fn is_starved(&self, key: KindKey) -> bool {
        let Some(own) = self.kinds.get(&key) else {
            return false;
        };
        let asked: f64 = self.kinds.values().map(|kind| kind.asked).sum();
        let admitted: f64 = self.kinds.values().map(|kind| kind.admitted).sum();
        own.admitted * asked < own.asked * admitted * STARVED_SHARE
    }
}

/// Returns the kind of a request; `objective` is in milliseconds.
fn key(request: &AdmissionRequest<'_>, objective: f64) -> KindKey {
    (request.priority, objective as u64)
}
