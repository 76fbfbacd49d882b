//! The lease under which an instance owns shards.

use std::time::Duration;

use cactuslane_store::LeaseId;
use cactuslane_types::Millis;

use crate::shared::Shared;

/// Time to live of the lease, requested of the key-value service.
const TTL: Duration = Duration::from_secs(12);
/// Time between two renewals, in milliseconds.
const RENEWAL_INTERVAL: Millis = 4_000;
/// Time by which this instance treats the lease as expired before the service does, in
/// milliseconds.
const EXPIRY_MARGIN: Millis = 2_000;

/// The lease as known to this instance, without regard to whether it is still valid.
#[derive(Clone, Copy, Debug, Default)]
pub struct Session {
    /// The lease with the time until which it is certainly valid, in milliseconds on this
    /// instance's clock; `None` before the first grant and after the service has reported the lease
    /// as expired.
    lease: Option<(LeaseId, Millis)>,
    /// When the next renewal is due, in milliseconds on this instance's clock.
    next_renewal: Millis,
}

impl Session {
    /// Obtains a lease, or renews it when due; returns whether the lease is certainly valid.
    ///
    /// A renewal that fails without an answer leaves the lease valid until its present time limit,
    /// and is repeated by the next call. If the service reports the lease as expired, the next call
    /// obtains a new one.
    pub async fn keep_alive(&mut self, shared: &Shared) -> bool {
        let now = shared.now();
        if self.is_valid(now) && now < self.next_renewal {
            return true;
        }
        // Counted from before the call: the service counts from the call's arrival, which is later.
        let until = now + TTL.as_millis() as Millis - EXPIRY_MARGIN;
        if let Some((lease, _)) = self.lease {
            match shared.store.renew(lease).await {
                Ok(true) => {
                    self.lease = Some((lease, until));
                    self.next_renewal = now + RENEWAL_INTERVAL;
                }
                Ok(false) => self.lease = None,
                Err(_) => {}
            }
            return self.is_valid(shared.now());
        }
        if let Ok(lease) = shared.store.grant(TTL).await {
            self.lease = Some((lease, until));
            self.next_renewal = now + RENEWAL_INTERVAL;
        }
        self.is_valid(shared.now())
    }

    /// Returns whether the lease is certainly valid at `now`, on this instance's clock.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.lease.is_some_and(|(_, until)| now < until)
    }

    /// Returns the lease even if it may have expired; `None` if there is none.
    pub fn lease(&self) -> Option<LeaseId> {
        self.lease.map(|(lease, _)| lease)
    }
}
