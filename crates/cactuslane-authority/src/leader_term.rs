//! The term of a leader, during which one process may send orders.
//!
//! All times are in milliseconds on one clock of the process, which must also advance while the
//! machine is suspended: otherwise a process would still consider its lease valid on resuming.

use cactuslane_types::{FencingToken, Millis};

/// Part of a lease that is left unused because clocks may run at different rates, in milliseconds.
const CLOCK_DRIFT_MARGIN: Millis = 600;

/// The right to send orders, from one acquisition of the leadership to its loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The fencing token that orders carry.
    pub fencing: FencingToken,
    /// The time from which orders may be sent; one of the previous leader may arrive until then.
    order_from: Millis,
    /// The time until which the lease is certain to be valid.
    valid_until: Millis,
}

impl LeaderTerm {
    /// Creates a term acquired at `now` under a lease that is certain to be valid until
    /// `valid_until`.
    ///
    /// No order is sent for `settle` milliseconds, which the driver chooses such that no order of
    /// the previous leader can arrive after them.
    #[must_use]
    pub fn acquired(
        fencing: FencingToken,
        now: Millis,
        settle: Millis,
        valid_until: Millis,
    ) -> Self {
        Self {
            fencing,
            order_from: now + settle,
            valid_until,
        }
    }

    /// Records that a call sent at `sent` renewed the lease for `ttl` milliseconds.
    ///
    /// Answers may arrive out of order; an older renewal never shortens the term.
    pub fn renewed(&mut self, sent: Millis, ttl: Millis) {
        self.valid_until = self.valid_until.max(lease_valid_until(sent, ttl));
    }

    /// Returns whether an order may be sent now.
    #[must_use]
    pub fn may_order(&self, now: Millis) -> bool {
        now >= self.order_from && now < self.valid_until
    }

    /// Returns whether a call may be made now that needs `early` milliseconds less of the settling
    /// time than an order.
    #[must_use]
    pub fn may_call(&self, now: Millis, early: Millis) -> bool {
        now + early >= self.order_from && now < self.valid_until
    }

    /// Returns whether the lease may have lapsed, which ends the term.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        now >= self.valid_until
    }
}

/// Returns the time until which a lease is certain to be valid whose call was sent at `sent`.
///
/// The lease of `ttl` milliseconds runs from the arrival of the call at the store, which is no
/// earlier than `sent`.
#[must_use]
pub fn lease_valid_until(sent: Millis, ttl: Millis) -> Millis {
    (sent + ttl).saturating_sub(CLOCK_DRIFT_MARGIN)
}
