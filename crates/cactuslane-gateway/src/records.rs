//! Records, in the store, of the versions that began streams while a service has several.
//!
//! Each process of an instance keeps the streams that it began recently in a few keys, the segments,
//! of which only the last one is written again. A record is written after the first event of a
//! stream, together with those of other streams; the event does not wait for it, as a stream without
//! a record is not taken up at all.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cactuslane_flight::origin::{SegmentNumber, SegmentWrite, StreamId, StreamSegments};
use cactuslane_store::kv::{Change, Changes, Item, KvError, Lease, Update};
use cactuslane_types::{Position, SoftwareVersion};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::backoff::{backoff_factor, random_pause};
use crate::keys::RECORDS_PREFIX;
use crate::state::Gateway;

/// Interval between the writes of an instance in a deployment of few instances.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of instances per which the interval grows by [`INTERVAL`], which bounds the writes of all
/// instances together.
const INTERVAL_SCALE: f64 = 60.0;
/// Time beyond the lifetime of a stream for which the lease of its record is granted.
const LEASE_MARGIN: Duration = Duration::from_secs(30);
/// Longest time to live of a lease that the store grants.
const MAX_LEASE: Duration = Duration::from_mins(10);
/// Time after which a process replaces the lease of its key.
const LEASE_PERIOD: Duration = Duration::from_secs(15);
/// Time since the last read within which the changes since then are fewer than all records.
const CHANGES_LIMIT: Duration = Duration::from_secs(5);
/// Wait of a watch that only fetches changes.
const NO_WAIT: Duration = Duration::from_millis(1);

/// How far the records of all instances are known: the position up to which they are applied, and the
/// time at which that was asked for.
pub type RecordsRead = Option<(Position, Instant)>;

/// Value of a record's key.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRecord {
    /// The identifiers of the streams in hexadecimal, by the version that began them.
    begun: BTreeMap<SoftwareVersion, Vec<String>>,
}

/// Writes the streams that this instance begins while their service has several versions, until the
/// task is aborted.
pub async fn store_begun(gateway: Arc<Gateway>) {
    let mut lease: Option<(Lease, Instant)> = None;
    let mut segments = StreamSegments::default();
    loop {
        gateway.begun_changed.notified().await;
        let Some(planned) = segments.plan(&gateway.stored_streams()) else {
            continue;
        };
        match write(&gateway, &planned, &mut lease).await {
            Ok(()) => {
                segments.record(planned);
                sleep(write_interval(&gateway)).await;
            }
            Err(error) => {
                warn!(error:% = error; "streams not recorded, this is tried again");
                if error == KvError::NoLease {
                    lease = None;
                    segments.clear();
                }
                segments.record_failure(planned);
                sleep(random_pause().mul_f64(backoff_factor(gateway.alive_peers()))).await;
                gateway.begun_changed.notify_one();
            }
        }
    }
}

/// Applies a record that was read from the store; one that cannot be decoded is ignored.
pub fn apply_record(gateway: &Gateway, item: &Item) {
    let record = match serde_json::from_slice::<StoredRecord>(&item.value) {
        Ok(record) => record,
        Err(error) => {
            warn!(key = item.key, error:% = error; "record of streams is unreadable");
            return;
        }
    };
    let now = gateway.now();
    let mut origins = gateway.origins();
    for (version, streams) in &record.begun {
        for stream in streams {
            if let Ok(stream) = StreamId::from_str_radix(stream, 16) {
                origins.record(stream, version, now);
            }
        }
    }
}

/// Reads and applies the records that are not known yet, after reads in progress.
///
/// # Errors
///
/// Returns the error of the store call.
pub async fn read_new(gateway: &Gateway) -> Result<(), KvError> {
    let mut last = gateway.records_read.lock().await;
    apply_new(gateway, &mut last).await
}

/// Reads the records that changed since they were last read, or all if that was long ago.
async fn apply_new(gateway: &Gateway, last: &mut RecordsRead) -> Result<(), KvError> {
    let asked = Instant::now();
    let recent = last.filter(|(_, at)| at.elapsed() < CHANGES_LIMIT);
    if let Some((from, _)) = recent {
        let changes = read_changes(gateway, from).await;
        if changes != Err(KvError::Compacted) {
            let changes = changes?;
            let (position, count) = (changes.position, changes.changes.len());
            for change in &changes.changes {
                if let Change::Written(item) = change {
                    apply_record(gateway, item);
                }
            }
            let elapsed_ms = asked.elapsed().as_millis() as u64;
            info!(from = from.revision, revision = position.revision, count, elapsed_ms; "read new records of streams");
            *last = Some((position, asked));
            return Ok(());
        }
    }
    let (items, position) = gateway.store.range(RECORDS_PREFIX).await?;
    let elapsed_ms = asked.elapsed().as_millis() as u64;
    info!(revision = position.revision, records = items.len(), elapsed_ms; "read the records of streams");
    for item in &items {
        apply_record(gateway, item);
    }
    *last = Some((position, asked));
    gateway.records_complete.store(true, Ordering::Relaxed);
    Ok(())
}

/// Reads the changes of records after a position.
async fn read_changes(gateway: &Gateway, from: Position) -> Result<Changes, KvError> {
    let watch = gateway.store.watch(RECORDS_PREFIX, from, NO_WAIT);
    watch.await?.changes().await
}

/// Writes a segment of this process, under a lease that outlives its streams.
async fn write(
    gateway: &Gateway,
    planned: &SegmentWrite,
    lease: &mut Option<(Lease, Instant)>,
) -> Result<(), KvError> {
    let current = lease.filter(|(_, granted)| granted.elapsed() < LEASE_PERIOD);
    let lease = if let Some((current, _)) = current {
        current
    } else {
        let ttl = gateway.stream_lifetime() + LEASE_PERIOD + LEASE_MARGIN;
        let granted = Instant::now();
        let current = gateway.store.grant(ttl.min(MAX_LEASE)).await?;
        lease.insert((current, granted)).0
    };
    let hex = |streams: &Vec<StreamId>| streams.iter().map(|id| format!("{id:x}")).collect();
    let begun = planned.streams.iter();
    let record = StoredRecord {
        begun: begun
            .map(|(version, ids)| (version.clone(), hex(ids)))
            .collect(),
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let deletes = planned.deletes.iter();
    let update = Update {
        writes: vec![(segment_key(gateway, planned.number), value, Some(lease))],
        deletes: deletes
            .map(|number| segment_key(gateway, *number))
            .collect(),
        ..Update::default()
    };
    gateway.store.update(&update).await?;
    Ok(())
}

/// Returns the key of a segment of this process.
fn segment_key(gateway: &Gateway, number: SegmentNumber) -> String {
    let (instance, started) = (&gateway.settings().instance, gateway.started);
    format!("{RECORDS_PREFIX}{instance}/{started}/{number}")
}

/// Returns the interval between the writes of this instance, which is that of its reads too.
pub fn write_interval(gateway: &Gateway) -> Duration {
    let instances = gateway.members().instance_count() as f64;
    INTERVAL.mul_f64(1.0 + instances / INTERVAL_SCALE)
}
