//! Demand of a service over a window of time, and the number of targets that it occupies.

use std::collections::VecDeque;
use std::time::Duration;

use cactuslane_types::Millis;

/// Number of slices that the boot time of a target is divided into.
const SLICES_PER_BOOT: usize = 4;
/// Shortest slice, in milliseconds.
const MIN_SLICE: Millis = 250;
/// Length of the window in boot times. Swings within it are too short to be followed by orders, so
/// that the number of targets covers their peaks.
const WINDOW_BOOTS: usize = 4;
/// Number of slices in the window; a slice counts in the mean for about as many.
const WINDOW_SLICES: u32 = (WINDOW_BOOTS * SLICES_PER_BOOT) as u32;
/// Number of successive slices whose mean counts as a level, so that one long prompt is no peak.
const LEVEL_SLICES: usize = 2;
/// Largest factor by which a forecast exceeds the last level.
const MAX_GROWTH: f64 = 1.5;
/// Share of a target's time that it may spend on prompts while callers' objectives are kept.
const MAX_PROMPT_USE: f64 = 0.85;
/// Share of a target's slots that may be occupied while the pauses of streams stay unnoticed.
const MAX_SLOT_USE: f64 = 0.7;
/// Share of a target's KV cache that requests may fill, so that shared prompt parts stay cached.
const MAX_MEMORY_USE: f64 = 0.7;

/// What one target carries, as measured or as it reported itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Time to compute one prompt token, in milliseconds; 0 for a service without prompts.
    pub token_ms: f64,
    /// Number of requests that a target runs at the same time.
    pub slots: f64,
    /// Capacity of the KV cache in tokens; 0 for a service without one.
    pub kv_tokens: f64,
}

/// Demand of all instances together at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    /// Prompt tokens to compute that were placed so far; only increases between observations
    /// count.
    pub prompt_tokens: u64,
    /// Number of requests that run at targets that generate, or at any target of a plain service.
    pub streams: f64,
    /// KV cache space that is reserved for these requests, in tokens.
    pub kv_tokens: f64,
    /// Prompt tokens that wait or are being computed at the targets.
    pub queued_tokens: f64,
}

/// Number of targets that a demand occupies, at the highest use that keeps the objectives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Targets that compute prompts.
    pub prefill: f64,
    /// Targets that generate, or all targets of a plain service.
    pub decode: f64,
}

/// Mean demand during a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    /// Prompt tokens to compute per millisecond.
    rate: f64,
    /// Number of running requests.
    streams: f64,
    /// Reserved KV cache space, in tokens.
    kv_tokens: f64,
    /// Prompt tokens that wait or are being computed.
    queued: f64,
}

/// Demand of one service over a window of [`WINDOW_BOOTS`] boot times.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Complete slices, oldest first.
    slices: VecDeque<Slice>,
    /// Moving average over all slices; `queued` is not used.
    mean: Slice,
    /// Number of all slices so far.
    seen: u32,
    /// Start of the slice in progress, with the placed prompt tokens at that time.
    start: Option<(Millis, u64)>,
    /// Sums over the observations of the slice in progress; `rate` is not used.
    sums: Slice,
    /// Number of these observations.
    count: u32,
    /// Time of the last observation.
    last: Millis,
}

/// Levels of the demand that decide on the number of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Levels {
    /// Mean, in which demand counts less the older it is.
    pub mean: Work,
    /// Highest level within the window.
    pub peak: Work,
    /// Level that the trend leads to within the boot time.
    pub forecast: Work,
}

impl Demand {
    /// Records the demand at `now`, for targets that boot within `boot`.
    ///
    /// After a gap of more than two slices, the demand before it is discarded.
    pub fn observe(&mut self, observed: &Observation, boot: Duration, now: Millis) {
        let length = slice_length(boot);
        if self.start.is_some() && now.saturating_sub(self.last) > 2 * length {
            *self = Self::default();
        }
        self.last = now;
        let (start, before) = *self.start.get_or_insert((now, observed.prompt_tokens));
        self.sums.streams += observed.streams;
        self.sums.kv_tokens += observed.kv_tokens;
        self.sums.queued += observed.queued_tokens;
        self.count += 1;
        let elapsed = now.saturating_sub(start);
        if elapsed < length {
            return;
        }
        let count = f64::from(self.count);
        let placed = observed.prompt_tokens.saturating_sub(before);
        let slice = Slice {
            rate: placed as f64 / elapsed as f64,
            streams: self.sums.streams / count,
            kv_tokens: self.sums.kv_tokens / count,
            queued: self.sums.queued / count,
        };
        self.start = Some((now, observed.prompt_tokens));
        self.sums = Slice::default();
        self.count = 0;
        // The time before the first request is no demand.
        if self.slices.is_empty() && slice.rate == 0.0 && slice.streams == 0.0 {
            return;
        }
        self.seen += 1;
        // At first all slices count equally, as in a plain average.
        let part = 1.0 / f64::from(self.seen.min(WINDOW_SLICES));
        self.mean.rate += (slice.rate - self.mean.rate) * part;
        self.mean.streams += (slice.streams - self.mean.streams) * part;
        self.mean.kv_tokens += (slice.kv_tokens - self.mean.kv_tokens) * part;
        self.slices.push_back(slice);
        if self.slices.len() > WINDOW_SLICES as usize {
            self.slices.pop_front();
        }
    }

    /// Returns the number of boot times for which the demand has been observed.
    #[must_use]
    pub fn observed_boots(&self) -> f64 {
        self.slices.len() as f64 / SLICES_PER_BOOT as f64
    }

    /// Returns the share of the window that has not been observed yet.
    #[must_use]
    pub fn unseen_share(&self) -> f64 {
        (1.0 - self.observed_boots() / WINDOW_BOOTS as f64).max(0.0)
    }

    /// Returns the prompt tokens that waited or were being computed lately.
    #[must_use]
    pub fn queued_tokens(&self) -> f64 {
        self.level(self.slices.len()).queued
    }

    /// Returns the levels of the demand as numbers of targets.
    pub(crate) fn levels(&self, capacity: &Capacity) -> Levels {
        let mut levels = Levels::default();
        let count = self.slices.len();
        if count == 0 {
            return levels;
        }
        for end in 1..=count {
            if end >= LEVEL_SLICES.min(count) {
                let level = capacity.work(&self.level(end));
                levels.peak.prefill = levels.peak.prefill.max(level.prefill);
                levels.peak.decode = levels.peak.decode.max(level.decode);
            }
        }
        levels.mean = capacity.work(&self.mean);
        levels.forecast = self.forecast(capacity);
        levels
    }

    /// Returns the mean of the [`LEVEL_SLICES`] slices before index `end`.
    fn level(&self, end: usize) -> Slice {
        let start = end.saturating_sub(LEVEL_SLICES);
        let count = (end - start).max(1) as f64;
        let mut mean = Slice::default();
        for slice in self.slices.range(start..end) {
            mean.rate += slice.rate / count;
            mean.streams += slice.streams / count;
            mean.kv_tokens += slice.kv_tokens / count;
            mean.queued += slice.queued / count;
        }
        mean
    }

    /// Returns the last level plus the change that it would make within the boot time at the pace
    /// of the last one.
    fn forecast(&self, capacity: &Capacity) -> Work {
        let count = self.slices.len();
        let last = capacity.work(&self.level(count));
        if count < LEVEL_SLICES + SLICES_PER_BOOT {
            return last;
        }
        let before = capacity.work(&self.level(count - SLICES_PER_BOOT));
        let extend = |last: f64, before: f64| {
            let ahead = last + (last - before);
            ahead.clamp(0.0, last * MAX_GROWTH)
        };
        Work {
            prefill: extend(last.prefill, before.prefill),
            decode: extend(last.decode, before.decode),
        }
    }
}

impl Capacity {
    /// Returns the number of targets that a demand occupies.
    fn work(&self, slice: &Slice) -> Work {
        let by_slots = slice.streams / (self.slots * MAX_SLOT_USE).max(1.0);
        let by_memory = if self.kv_tokens > 0.0 {
            slice.kv_tokens / (self.kv_tokens * MAX_MEMORY_USE)
        } else {
            0.0
        };
        Work {
            prefill: slice.rate * self.token_ms / MAX_PROMPT_USE,
            decode: by_slots.max(by_memory),
        }
    }
}

impl Work {
    /// Returns the number of targets of both roles together.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.prefill + self.decode
    }
}

/// Returns the length of a slice for targets that boot within `boot`, in milliseconds.
fn slice_length(boot: Duration) -> Millis {
    (boot.as_millis() as Millis / SLICES_PER_BOOT as Millis).max(MIN_SLICE)
}
