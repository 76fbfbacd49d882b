//! What the other instances are told of the work in progress here.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_member::ShareRecord;
use cactuslane_route::picture::Share;
use cactuslane_types::{Millis, TargetId};

use crate::routing::Routing;

/// Least time between two tellings, in milliseconds.
const LEAST_INTERVAL: Millis = 20;
/// Time between two tellings without a dispatch, in milliseconds.
const INTERVAL: Millis = 1_000;
/// Time between two tellings of everything, in milliseconds.
///
/// A datagram may be lost; what it told is told again.
const FULL_INTERVAL: Millis = 2_000;

/// Time between two signs of life, in milliseconds.
const SIGN_INTERVAL: Millis = 1_000;

/// Remembers what was told.
#[derive(Debug, Default)]
pub struct Teller {
    /// Holds what was told last of each target.
    told: BTreeMap<TargetId, Share>,
    /// Is when it was looked at.
    last: Millis,
    /// Is when it was sent.
    last_sent: Millis,
    /// Says whether a dispatch waits to be told.
    waiting: bool,
    /// Is when everything was told.
    last_full: Millis,
}

impl Teller {
    /// Returns whether it is time to tell without a dispatch.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.last + INTERVAL
    }

    /// Records a dispatch that is to be told soon.
    pub fn dispatched(&mut self) {
        self.waiting = true;
    }

    /// Returns how long a dispatch waits to be told; none if there is none.
    pub fn wait(&self, now: Millis) -> Option<Duration> {
        let left = (self.last + LEAST_INTERVAL).saturating_sub(now);
        self.waiting.then(|| Duration::from_millis(left))
    }

    /// Returns whether there is anything to send: changes, or a sign of life.
    pub fn is_worth(&mut self, records: &[ShareRecord], now: Millis) -> bool {
        let worth = !records.is_empty() || now >= self.last_sent + SIGN_INTERVAL;
        if worth {
            self.last_sent = now;
        }
        worth
    }

    /// Returns what has changed since the last telling, or now and then everything.
    pub fn changes(&mut self, routing: &Routing, now: Millis) -> Vec<ShareRecord> {
        self.last = now;
        self.waiting = false;
        let full = now >= self.last_full + FULL_INTERVAL;
        if full {
            self.last_full = now;
        }
        let mut records = Vec::new();
        for router in routing.routers.values() {
            for (target, _) in router.picture.targets() {
                let share = router.picture.own_share(target);
                let old = self.told.insert(target.clone(), share);
                let changed = old.unwrap_or_default() != share;
                if changed || (full && share != Share::default()) {
                    records.push(record(target, share));
                }
            }
        }
        records
    }
}

/// Builds the record of a share.
fn record(target: &str, share: Share) -> ShareRecord {
    ShareRecord {
        target: target.to_owned(),
        queued: share.queued,
        running: share.running,
        context: share.context,
        pieces: share.pieces,
    }
}
