//! Refused requests, and the times at which their callers are told to return.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cactuslane_flight::request_info::Fingerprint;
use cactuslane_types::Millis;

/// Largest number of refused requests that are remembered, the latest ones.
const MAX_REFUSED: usize = 1_024;
/// Time after which a refused request is no longer recognized, in milliseconds.
const REFUSED_LIFETIME: Millis = 10_000;
/// Share of the time to return that a caller may be early, as clocks and networks differ.
const EARLY_SHARE: f64 = 0.9;
/// Largest share of the time left that a caller is told to stay away.
const MAX_AWAY: f64 = 1.0 / 3.0;
/// Share of that time above which times to return are drawn from the rest of it.
const CAP_SHARE: f64 = 0.75;
/// Largest addition to a time to return, as a share of it.
const JITTER_SHARE: f64 = 0.5;
/// Shortest expected time to return, in milliseconds, without the addition.
const MIN_AWAY: f64 = 50.0;
/// Longest time for which returns are booked ahead, in milliseconds.
const MAX_BOOKED: f64 = 5_000.0;
/// Share of the mean time to return below which a repeat counts as early at an instance that did not
/// refuse it.
const SOON_SHARE: f64 = 0.5;
/// Weight of a new refusal in the moving average of the time to return, and of a new admission in the moving average of the time between admissions.
const GAP_WEIGHT: f64 = 0.1;
/// Initial time between admissions, in milliseconds; also the longest that counts.
const MAX_GAP: f64 = 1_000.0;

/// Whether and when a request was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timing {
    /// No refusal of it is known.
    New,
    /// It returns at the time that it was told, or later; it first arrived at `first`.
    Returned {
        /// Time of the first arrival.
        first: Millis,
    },
    /// It returns before that time; it first arrived at `first`.
    Early {
        /// Time of the first arrival.
        first: Millis,
    },
}

/// Refused requests and booked returns.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    /// Refused requests by fingerprint, each with its first arrival and the earliest time to return.
    refused: BTreeMap<Fingerprint, (Millis, Millis)>,
    /// Fingerprints in the order of the refusals, with their times.
    order: VecDeque<(Millis, Fingerprint)>,
    /// Times up to which returns are booked, by rank, in milliseconds.
    booked: BTreeMap<u8, f64>,
    /// Time of the last admission, and the moving average of the time between two, in milliseconds.
    gap: Option<(Millis, f64)>,
    /// Moving average of the time that refused callers are told to stay away, in milliseconds.
    told_ms: f64,
}

impl Timing {
    /// Returns the time of the first arrival of a request that arrived at `arrived` this time.
    pub(super) fn first(self, arrived: Millis) -> Millis {
        match self {
            Self::New => arrived,
            Self::Returned { first } | Self::Early { first } => first,
        }
    }

    /// Returns the time from the first arrival to `now` in milliseconds; 0 for a new request.
    pub(super) fn since_first(self, now: Millis) -> f64 {
        now.saturating_sub(self.first(now)) as f64
    }
}

impl Returns {
    /// Looks up whether a request was refused before; one that returns in time is forgotten, so
    /// that each refusal counts once.
    pub(super) fn take(&mut self, fingerprint: Fingerprint, now: Millis) -> Timing {
        while let Some((at, oldest)) = self.order.front()
            && (now.saturating_sub(*at) > REFUSED_LIFETIME || self.order.len() > MAX_REFUSED)
        {
            self.refused.remove(oldest);
            self.order.pop_front();
        }
        let Some((first, due)) = self.refused.get(&fingerprint).copied() else {
            return Timing::New;
        };
        if now < due {
            return Timing::Early { first };
        }
        self.refused.remove(&fingerprint);
        Timing::Returned { first }
    }

    /// Returns what is known of a request whose caller has tried for `tried` milliseconds already, at
    /// any instance; one that was not refused here is early if that is much less than refused
    /// callers are told to stay away.
    pub(super) fn take_repeat(
        &mut self,
        fingerprint: Fingerprint,
        tried: f64,
        now: Millis,
    ) -> Timing {
        let timing = self.take(fingerprint, now);
        if timing == Timing::New && tried > 0.0 && tried < self.told_ms * SOON_SHARE {
            let first = now.saturating_sub(tried as Millis);
            return Timing::Early { first };
        }
        timing
    }

    /// Remembers a refused request that first arrived at `first` and is to return after `after`.
    ///
    /// The time that it was told before stays in force if it is later.
    pub(super) fn record(
        &mut self,
        fingerprint: Fingerprint,
        first: Millis,
        after: Duration,
        now: Millis,
    ) {
        let told = after.as_secs_f64() * 1000.0;
        self.told_ms += (told - self.told_ms) * GAP_WEIGHT;
        if fingerprint == 0 {
            return;
        }
        let due = now + after.mul_f64(EARLY_SHARE).as_millis() as Millis;
        self.refused.insert(fingerprint, (first, due));
        self.order.push_back((now, fingerprint));
        if self.order.len() > MAX_REFUSED
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.refused.remove(&oldest);
        }
    }

    /// Records that a request is admitted.
    pub(super) fn admitted(&mut self, now: Millis) {
        let gap = match self.gap {
            Some((last, gap)) => {
                let sample = (now.saturating_sub(last) as f64).min(MAX_GAP);
                gap + (sample - gap) * GAP_WEIGHT
            }
            None => MAX_GAP,
        };
        self.gap = Some((now, gap));
    }

    /// Books a return and returns the time until it.
    ///
    /// Returns of a rank follow each other, and those of better ranks, at the pace of the recent
    /// admissions, from the time on at which room is expected: in `excess` milliseconds. The time
    /// is at most a third of the time left, and for the same `draw` in `0.0..1.0` not shorter for
    /// a worse rank.
    pub(super) fn book(
        &mut self,
        rank: u8,
        excess: f64,
        left: Duration,
        draw: f64,
        now: Millis,
    ) -> Duration {
        let gap = self.gap.map_or(MAX_GAP, |(_, gap)| gap);
        let mut slot = now as f64 + excess.max(MIN_AWAY);
        for (_, booked) in self.booked.range(..=rank) {
            slot = slot.max(*booked);
        }
        let horizon = now as f64 + MAX_BOOKED;
        self.booked.insert(rank, (slot + gap).min(horizon));
        let away = (slot - now as f64) * (1.0 + JITTER_SHARE * draw);
        let cap = left.as_secs_f64() * 1000.0 * MAX_AWAY;
        let away = if away <= cap * CAP_SHARE {
            away
        } else {
            cap * (CAP_SHARE + (1.0 - CAP_SHARE) * draw)
        };
        Duration::from_secs_f64(away.max(0.0) / 1000.0)
    }

    /// Forgets the booked returns, once there is room for all.
    pub(super) fn clear_bookings(&mut self) {
        self.booked.clear();
    }
}
