//! A retry budget over a sliding window.

use std::collections::VecDeque;

use cactuslane_types::Millis;

/// Number of slices that the window is counted in.
const SLICES: u64 = 20;

/// Share of the configured retry budget that the instances use together; the rest covers instances
/// that start or stop within the window.
pub const USED_SHARE: f64 = 0.8;

/// Limits retries in a sliding window to a share of its requests plus a fixed number.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    /// Retries allowed per request of the window.
    ratio: f64,
    /// Retries allowed in the window beyond that share, even if it has no requests.
    slack: f64,
    /// Length of a slice, in milliseconds.
    slice: Millis,
    /// Slices of the window, oldest first: slice number, requests and retries.
    slices: VecDeque<(u64, u32, u32)>,
}

/// Returns one instance's share of the retries that all instances are allowed beyond the ratio.
///
/// `uptime` and `window` are in milliseconds; `sharers` counts the known instances, this one
/// included. An instance that has just started knows neither the other instances nor the retries
/// made before its start, so its share grows linearly with its uptime over the first window.
#[must_use]
pub fn slack_share(slack: f64, sharers: usize, uptime: Millis, window: Millis) -> f64 {
    let elapsed_share = (uptime as f64 / window.max(1) as f64).min(1.0);
    slack * USED_SHARE * elapsed_share / sharers.max(1) as f64
}

impl WindowedRetryBudget {
    /// Creates a budget in which no requests or retries are counted yet.
    ///
    /// `ratio` is the number of retries allowed per request and `slack` the number allowed beyond
    /// that; `window` is in milliseconds.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Self {
        Self {
            ratio,
            slack,
            slice: (window / SLICES).max(1),
            slices: VecDeque::new(),
        }
    }

    /// Sets the number of retries allowed in the window beyond the share of its requests.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request at time `now`, in milliseconds on the instance's clock.
    pub fn record_request(&mut self, now: Millis) {
        self.current_slice(now).1 += 1;
    }

    /// Counts a retry at time `now`, in milliseconds on the instance's clock, if the budget allows
    /// one more; returns whether it did.
    #[must_use]
    pub fn try_take(&mut self, now: Millis) -> bool {
        self.current_slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.1).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.2).sum();
        if f64::from(retries) + 1.0 > f64::from(requests) * self.ratio + self.slack {
            return false;
        }
        self.current_slice(now).2 += 1;
        true
    }

    /// Returns the slice of `now`, after dropping the slices that have left the window.
    fn current_slice(&mut self, now: Millis) -> &mut (u64, u32, u32) {
        let number = now / self.slice;
        // Keeps one slice more than the window has: the current one is still incomplete, and any
        // interval of the window's length must be covered.
        while self
            .slices
            .front()
            .is_some_and(|first| first.0 + SLICES < number)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.0 < number) {
            self.slices.push_back((number, 0, 0));
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
