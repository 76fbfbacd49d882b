//! The lease under which an instance owns shards.

use std::time::Duration;

use cactuslane_store::LeaseId;
use cactuslane_types::Millis;

use crate::shared::Shared;

/// Time to live of the lease.
const TTL: Duration = Duration::from_secs(12);
/// Time between two renewals, in milliseconds.
const RENEWAL_INTERVAL: Millis = 4_000;
/// Time by which the instance stops before the service ends the lease, in milliseconds.
const EXPIRY_MARGIN: Millis = 2_000;

/// The lease, as far as this instance knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Session {
    /// The lease with the time until which it surely holds.
    lease: Option<(LeaseId, Millis)>,
    /// When it is renewed next.
    next_renewal: Millis,
}

impl Session {
    /// Grants or renews the lease when it is time; false if it does not hold.
    pub async fn keep_alive(&mut self, shared: &Shared) -> bool {
        let now = shared.now();
        if self.is_valid(now) && now < self.next_renewal {
            return true;
        }
        // The time is taken before the call: the service counts from its arrival, which is later.
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

    /// Returns whether the lease surely holds.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.lease.is_some_and(|(_, until)| now < until)
    }

    /// Returns the lease.
    pub fn lease(&self) -> Option<LeaseId> {
        self.lease.map(|(lease, _)| lease)
    }
}
