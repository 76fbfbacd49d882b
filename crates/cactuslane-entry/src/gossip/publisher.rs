//! Publishing of the work in progress here to the other instances.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_member::WorkRecord;
use cactuslane_route::fleet_view::WorkInProgress;
use cactuslane_types::{Millis, TargetId};

use crate::routing::Routing;

/// Least time between two updates, in milliseconds.
const MIN_INTERVAL: Millis = 20;
/// Time between two updates without a dispatch, in milliseconds.
const IDLE_INTERVAL: Millis = 1_000;
/// Time between two updates of everything, in milliseconds.
///
/// A datagram may be lost; what it carried is published again.
const FULL_INTERVAL: Millis = 2_000;

/// Time between two signs of life, in milliseconds.
const HEARTBEAT_INTERVAL: Millis = 1_000;

/// Remembers what was published.
#[derive(Debug, Default)]
pub struct Publisher {
    /// Holds what was published last of each target.
    published: BTreeMap<TargetId, WorkInProgress>,
    /// When it was looked at.
    last_check: Millis,
    /// When it was sent.
    last_sent: Millis,
    /// Says whether a dispatch waits to be published.
    pending: bool,
    /// When everything was published.
    last_full: Millis,
}

impl Publisher {
    /// Returns whether it is time to tell without a dispatch.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.last_check + IDLE_INTERVAL
    }

    /// Records a dispatch that is to be published soon.
    pub fn mark_pending(&mut self) {
        self.pending = true;
    }

    /// Returns how long a dispatch waits to be published; none if there is none.
    pub fn time_to_update(&self, now: Millis) -> Option<Duration> {
        let left = (self.last_check + MIN_INTERVAL).saturating_sub(now);
        self.pending.then(|| Duration::from_millis(left))
    }

    /// Returns whether there is anything to send: changes, or a sign of life.
    pub fn should_send(&mut self, records: &[WorkRecord], now: Millis) -> bool {
        let due = !records.is_empty() || now >= self.last_sent + HEARTBEAT_INTERVAL;
        if due {
            self.last_sent = now;
        }
        due
    }

    /// Returns what has changed since the last update, or now and then everything.
    pub fn take_changes(&mut self, routing: &Routing, now: Millis) -> Vec<WorkRecord> {
        self.last_check = now;
        self.pending = false;
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
