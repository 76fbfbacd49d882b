//! The right of one process to give orders while its lease holds.
//!
//! The clock must count the time for which the machine is suspended.

use cactuslane_types::{Fencing, Millis};

/// Part of a lease that is left unused, for clocks that run unevenly, in milliseconds.
const CLOCK_DRIFT_MARGIN: Millis = 600;

/// The right to give orders, from one acquisition to its loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The fencing number that orders carry.
    pub fencing: Fencing,
    /// The time before which another holder's last order may still arrive.
    order_from: Millis,
    /// The time until which the lease surely holds.
    valid_until: Millis,
}

impl LeaderTerm {
    /// Creates a term that was acquired under a lease which surely holds until a time.
    ///
    /// Nothing is ordered for `settle` milliseconds, in which the orders of the holder before it
    /// have arrived.
    #[must_use]
    pub fn acquired(fencing: Fencing, now: Millis, settle: Millis, valid_until: Millis) -> Self {
        Self {
            fencing,
            order_from: now + settle,
            valid_until,
        }
    }

    /// Records that the lease was renewed by a call sent at a time.
    pub fn renewed(&mut self, sent: Millis, ttl: Millis) {
        self.valid_until = self.valid_until.max(lease_valid_until(sent, ttl));
    }

    /// Returns whether an order may be sent now.
    #[must_use]
    pub fn may_order(&self, now: Millis) -> bool {
        now >= self.order_from && now < self.valid_until
    }

    /// Returns whether the lease may have lapsed.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        now >= self.valid_until
    }
}

/// Returns the time until which a lease surely holds whose call was sent at a time.
///
/// The lease runs from the call's arrival, which is no earlier than its sending.
#[must_use]
pub fn lease_valid_until(sent: Millis, ttl: Millis) -> Millis {
    (sent + ttl).saturating_sub(CLOCK_DRIFT_MARGIN)
}
