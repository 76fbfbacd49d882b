//! Selection of the work in progress that this instance publishes to the others, and when.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_member::WorkRecord;
use cactuslane_route::fleet_view::WorkInProgress;
use cactuslane_types::{Millis, TargetId};

use crate::routing::Routing;

/// Minimum time between a check for changes and the next one that a dispatch causes, in
/// milliseconds; dispatches within it share one update.
const MIN_INTERVAL: Millis = 20;
/// Time after a check for changes at which the next one is due without a dispatch, in milliseconds.
const IDLE_INTERVAL: Millis = 1_000;
/// Minimum time between two updates with all targets that have work, in milliseconds.
///
/// They repeat what an update in a lost datagram carried.
const FULL_INTERVAL: Millis = 2_000;
/// Time after the last update sent at which one is sent even if it is empty, in milliseconds.
const HEARTBEAT_INTERVAL: Millis = 1_000;

/// The work published so far and the times of the updates, in milliseconds on this instance's
/// clock.
#[derive(Debug, Default)]
pub struct Publisher {
    /// The work of each target when changes were last looked for.
    published: BTreeMap<TargetId, WorkInProgress>,
    /// When changes were last looked for.
    last_check: Millis,
    /// When the last update to be sent was built.
    last_sent: Millis,
    /// Whether a dispatch was made since changes were last looked for.
    pending: bool,
    /// When the last update with all targets that have work was built.
    last_full: Millis,
}

impl Publisher {
    /// Returns whether a check for changes is due even without a dispatch.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.last_check + IDLE_INTERVAL
    }

    /// Marks a dispatch as pending, to be published after at most the minimum interval.
    pub fn mark_pending(&mut self) {
        self.pending = true;
    }

    /// Returns the time until the pending dispatch may be published; `None` if none is pending.
    pub fn time_to_update(&self, now: Millis) -> Option<Duration> {
        let left = (self.last_check + MIN_INTERVAL).saturating_sub(now);
        self.pending.then(|| Duration::from_millis(left))
    }

    /// Returns whether an update is to be sent, and if so records it as sent: one with records
    /// always, an empty one only as a heartbeat.
    pub fn should_send(&mut self, records: &[WorkRecord], now: Millis) -> bool {
        let due = !records.is_empty() || now >= self.last_sent + HEARTBEAT_INTERVAL;
        if due {
            self.last_sent = now;
        }
        due
    }

    /// Returns the work that has changed since the last call; once the interval of full updates has
    /// passed, that of all targets with work as well.
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

/// Builds the record of this instance's work in progress at a target.
fn record(target: &str, work: WorkInProgress) -> WorkRecord {
    WorkRecord {
        target: target.to_owned(),
        queued: work.queued,
        running: work.running,
        context: work.context,
        blocks: work.blocks,
    }
}
