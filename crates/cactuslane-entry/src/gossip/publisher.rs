//! Publishing of the work in progress here to the other instances.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_member::WorkRecord;
use cactuslane_route::fleet_view::WorkInProgress;
use cactuslane_types::{Millis, TargetId};

use crate::routing::Routing;

/// Least time between two updates, in milliseconds.
const LEAST_INTERVAL: Millis = 20;
/// Time between two updates without a dispatch, in milliseconds.
const INTERVAL: Millis = 1_000;
/// Time between two updates of everything, in milliseconds.
///
/// A datagram may be lost; what it carried is published again.
const FULL_INTERVAL: Millis = 2_000;

/// Time between two signs of life, in milliseconds.
const SIGN_INTERVAL: Millis = 1_000;

/// Remembers what was published.
#[derive(Debug, Default)]
pub struct Publisher {
    /// Holds what was published last of each target.
    published: BTreeMap<TargetId, WorkInProgress>,
    /// When it was looked at.
    last: Millis,
    /// When it was sent.
    last_sent: Millis,
    /// Says whether a dispatch waits to be published.
    waiting: bool,
    /// When everything was published.
    last_full: Millis,
}

impl Publisher {
    /// Returns whether it is time to tell without a dispatch.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.last + INTERVAL
    }

    /// Records a dispatch that is to be published soon.
    pub fn dispatched(&mut self) {
        self.waiting = true;
    }

    /// Returns how long a dispatch waits to be published; none if there is none.
    pub fn wait(&self, now: Millis) -> Option<Duration> {
        let left = (self.last + LEAST_INTERVAL).saturating_sub(now);
        self.waiting.then(|| Duration::from_millis(left))
    }

    /// Returns whether there is anything to send: changes, or a sign of life.
    pub fn is_worth(&mut self, records: &[WorkRecord], now: Millis) -> bool {
        let worth = !records.is_empty() || now >= self.last_sent + SIGN_INTERVAL;
        if worth {
            self.last_sent = now;
        }
        worth
    }

    /// Returns what has changed since the last update, or now and then everything.
    pub fn changes(&mut self, routing: &Routing, now: Millis) -> Vec<WorkRecord> {
        self.last = now;
        self.waiting = false;
        let full = now >= self.last_full + FULL_INTERVAL;
        if full {
            self.last_full = now;
        }
        let mut records = Vec::new();
        for router in routing.routers.values() {
            for (target, _) in router.fleet.targets() {
                let work = router.fleet.own_work(target);
                let old = self.published.insert(target.clone(), work);
                let changed = old.unwrap_or_default() != work;
                if changed || (full && work != WorkInProgress::default()) {
                    records.push(record(target, work));
                }
            }
        }
        records
    }
}

/// Builds the record of a share.
fn record(target: &str, work: WorkInProgress) -> WorkRecord {
    WorkRecord {
        target: target.to_owned(),
        queued: work.queued,
        running: work.running,
        context: work.context,
        blocks: work.blocks,
    }
}
