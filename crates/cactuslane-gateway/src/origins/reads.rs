//! Reads of the store for streams that are taken up and that no instance knows.
//!
//! What this instance has seen of the store may be old without any call having failed, so that only
//! reads that are sent after a request has arrived show what streams may have begun before. They are
//! shared by all requests that arrived before they were sent.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cactuslane_flight::origin::{RegisteredVersions, StoreReads, VersionList};
use cactuslane_platform::registry;
use cactuslane_platform::store::TARGETS;
use cactuslane_store::kv::{Change, KeyRead, KvError};
use cactuslane_types::Position;
use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::records::{self, write_interval};
use crate::state::Gateway;
use crate::versions::LIST_KEY;

/// Longest time to wait for reads, besides the interval between them, once all records were read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to wait for them before, as the callers of a loss of all instances come back then.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Wait of a watch that only fetches changes.
const NO_WAIT: Duration = Duration::from_millis(1);

/// The last reads of the store for streams that are taken up: the time at which they were sent, on the
/// clock of the instance, and what they showed unless one failed.
pub type LastReads = Option<(Duration, Option<Arc<StoreReads>>)>;

/// Reads the store for a request that arrived at `arrived`, or returns what reads showed that were sent
/// since; waits for them for a short time.
///
/// The reads go on after that time, as records that are given up would be read from the beginning.
pub async fn read_since(gateway: &Arc<Gateway>, arrived: Duration) -> Option<Arc<StoreReads>> {
    let interval = write_interval(gateway);
    let reading = async {
        let mut last = gateway.take_up_reads.clone().lock_owned().await;
        if let Some((asked, reads)) = &*last
            && *asked >= arrived
        {
            return reads.clone();
        }
        let gateway = gateway.clone();
        let reading = tokio::spawn(async move {
            if let Some((asked, _)) = *last {
                sleep((asked + interval).saturating_sub(gateway.elapsed())).await;
            }
            let asked = gateway.elapsed();
            let reads = read(&gateway, asked).await;
            let reads = reads
                .inspect_err(|error| warn!(error:% = error; "versions of streams not read"))
                .ok()
                .map(Arc::new);
            *last = Some((asked, reads.clone()));
            reads
        });
        reading.await.ok().flatten()
    };
    let limit = if gateway.records_complete.load(Ordering::Relaxed) {
        READ_TIMEOUT
    } else {
        FIRST_READ_TIMEOUT
    };
    let limit = limit + interval;
    let reads = timeout(limit, reading).await;
    if reads.is_err() {
        let limit_ms = limit.as_millis() as u64;
        warn!(limit_ms; "versions of streams not read in time");
    }
    reads.ok().flatten()
}

/// Reads the list of versions, the entries of targets that this instance has not seen yet, and the
/// records of streams, which are applied; the calls are sent at `asked` or later.
async fn read(gateway: &Gateway, asked: Duration) -> Result<StoreReads, KvError> {
    let Some(progress) = gateway.progress() else {
        return Err(KvError::Lost("the store has not been read".to_owned()));
    };
    let seen = progress.position_at(progress.entries);
    // A failure of one call does not give the others up.
    let (list, registered, records) = tokio::join!(
        gateway.store.get(LIST_KEY),
        read_registered(gateway, seen),
        records::read_new(gateway),
    );
    let (list, registered, ()) = (list?, registered?, records?);
    let position = list.position;
    if position.era != seen.era {
        // What was seen before belongs to another era.
        return Err(KvError::Compacted);
    }
    let list = decode_list(&list)?;
    let elapsed_ms = (gateway.elapsed().saturating_sub(asked)).as_millis() as u64;
    info!(revision = position.revision, seen = seen.revision, versions:? = list, registered:? = registered, elapsed_ms; "read the versions of streams");
    Ok(StoreReads::new(asked, list, position, registered))
}

/// Reads the versions of the targets that registered after a position.
async fn read_registered(gateway: &Gateway, seen: Position) -> Result<RegisteredVersions, KvError> {
    let watch = gateway.store.watch(TARGETS, seen, NO_WAIT);
    let changes = watch.await?.changes().await?;
    let mut registered = RegisteredVersions::new();
    for change in changes.changes {
        let Change::Written(item) = change else {
            continue;
        };
        // No stream begins at a target whose entry cannot be decoded.
        if let Ok(target) = registry::decode(&item.key, &item.value) {
            registered.insert((target.service, target.version));
        }
    }
    Ok(registered)
}

/// Decodes the list of versions; one that does not exist lists nothing.
fn decode_list(read: &KeyRead) -> Result<VersionList, KvError> {
    let Some(item) = &read.item else {
        return Ok(VersionList::default());
    };
    let list = serde_json::from_slice(&item.value);
    list.map_err(|error| KvError::Malformed(error.to_string()))
}
