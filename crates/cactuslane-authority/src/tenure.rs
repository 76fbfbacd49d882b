//! The right of one process to give orders while its lease holds.
//!
//! The clock must count the time for which the machine is suspended.

use cactuslane_types::{Fencing, Millis};

/// Part of a lease that is left unused, for clocks that run unevenly, in milliseconds.
const MARGIN: Millis = 600;

/// The right to give orders, from one acquisition to its loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The fencing number that orders carry.
    pub fencing: Fencing,
    /// The time before which another holder's last order may still arrive.
    settled: Millis,
    /// The time until which the lease surely holds.
    holds: Millis,
}

impl Tenure {
    /// Creates a tenure that was acquired under a lease which surely holds until a time.
    ///
    /// Nothing is ordered for `settle` milliseconds, in which the orders of the holder before it
    /// have arrived.
    #[must_use]
    pub fn acquired(fencing: Fencing, now: Millis, settle: Millis, holds: Millis) -> Self {
        Self {
            fencing,
            settled: now + settle,
            holds,
        }
    }

    /// Records that the lease was renewed by a call sent at a time.
    pub fn renewed(&mut self, sent: Millis, ttl: Millis) {
        self.holds = self.holds.max(sure_until(sent, ttl));
    }

    /// Returns whether an order may be sent now.
    #[must_use]
    pub fn may_order(&self, now: Millis) -> bool {
        now >= self.settled && now < self.holds
    }

    /// Returns whether the lease may have lapsed.
    #[must_use]
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.holds
    }
}

/// Returns the time until which a lease surely holds whose call was sent at a time.
///
/// The lease runs from the call's arrival, which is no earlier than its sending.
#[must_use]
pub fn sure_until(sent: Millis, ttl: Millis) -> Millis {
    (sent + ttl).saturating_sub(MARGIN)
}
