//! When a stream whose target is silent is resumed at another target.

use std::time::Duration;

/// Silence after which a stream is first to be resumed elsewhere, as a share of the limit.
const FIRST_SHARE: f64 = 0.75;
/// Time between two searches for another target, as a share of the limit. No search falls on the
/// limit, at which callers disconnect.
const INTERVAL_SHARE: f64 = 1.0 / 6.0;

/// The silence of a target within a stream.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Time without an event after which callers are expected to disconnect.
    limit: Duration,
    /// Number of searches for another target during this silence.
    searches: u32,
}

impl Silence {
    /// Creates the silence that begins with a stream.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self { limit, searches: 0 }
    }

    /// Records an event, which ends the silence.
    pub fn end(&mut self) {
        self.searches = 0;
    }

    /// Records that no other target could take up the stream; returns whether this was the first
    /// search during the silence.
    pub fn record_search(&mut self) -> bool {
        self.searches += 1;
        self.searches == 1
    }

    /// Returns the time from now to the next search for another target, if the target has been
    /// silent for `silent`.
    #[must_use]
    pub fn until_search(&self, silent: Duration) -> Duration {
        let share = FIRST_SHARE + f64::from(self.searches) * INTERVAL_SHARE;
        self.limit.mul_f64(share).saturating_sub(silent)
    }

    /// Returns the time within which another target must send an event, if the caller has received
    /// none for `waited` and `left` is the time until the deadline.
    ///
    /// A caller that is still there after the limit counts as patient.
    #[must_use]
    pub fn time_to_resume(&self, waited: Duration, left: Duration) -> Duration {
        match self.limit.checked_sub(waited) {
            Some(patience) => patience.min(left),
            None => left,
        }
    }
}
