//! A budget of repeated sends, in a sliding window.

use std::collections::VecDeque;

use cactuslane_types::Millis;

/// Number of slices of the window.
const SLICES: u64 = 20;

/// Part of what is allowed that instances use; the rest covers instances that come and go within
/// the window.
pub const USED_PART: f64 = 0.8;

/// Allows repeated sends as a share of the requests of a window, plus a fixed number.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    /// The share of requests that may be sent again.
    ratio: f64,
    /// The repeated sends that are allowed in a window without any request.
    slack: f64,
    /// The length of a slice, in milliseconds.
    slice: Millis,
    /// The slices of the window: their number, requests and repeated sends.
    slices: VecDeque<(u64, u32, u32)>,
}

/// Returns one instance's part of the repeated sends that all share beside a ratio of requests.
///
/// An instance that has just started knows neither the others nor what was sent again before it
/// started: its part grows with its uptime until a window is over.
#[must_use]
pub fn slack_part(slack: f64, sharers: usize, uptime: Millis, window: Millis) -> f64 {
    let settled = (uptime as f64 / window.max(1) as f64).min(1.0);
    slack * USED_PART * settled / sharers.max(1) as f64
}

impl RepeatBudget {
    /// Creates a budget for a window in milliseconds.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Self {
        Self {
            ratio,
            slack,
            slice: (window / SLICES).max(1),
            slices: VecDeque::new(),
        }
    }

    /// Sets the number of repeated sends that are allowed without any request.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request.
    pub fn request(&mut self, now: Millis) {
        self.current(now).1 += 1;
    }

    /// Takes one repeated send from the budget; false if none is left.
    #[must_use]
    pub fn take(&mut self, now: Millis) -> bool {
        self.current(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.1).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.2).sum();
        if f64::from(repeats) + 1.0 > f64::from(requests) * self.ratio + self.slack {
            return false;
        }
        self.current(now).2 += 1;
        true
    }

    /// Returns the current slice, after the old ones are dropped.
    fn current(&mut self, now: Millis) -> &mut (u64, u32, u32) {
        let number = now / self.slice;
        // One slice more than the window, so that any window of its length is covered.
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
