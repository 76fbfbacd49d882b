//! Synchronization of the documents with the key-value service.
//!
//! A few instances of each failure domain watch the service; the others learn of new revisions
//! through gossip and read the service about once a minute, or about every 5 s while no packets of
//! peers arrive. An instance that starts while the service is not reachable takes the documents
//! from its peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_authority::keys;
use cactuslane_member::{Status, store_access};
use cactuslane_store::StoreError;
use cactuslane_types::InstanceId;
use rand::random;
use tokio::time::sleep;

use crate::documents::DocumentKind;
use crate::shared::Shared;
use crate::transfer;

/// Timeout of one watch, after which it is repeated.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Mean time before a failed call is repeated; the jitter is 50% either way.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of peers that must answer before the newest configuration among theirs counts as current
/// without the key-value service; all of them if there are fewer.
const REQUIRED_PEERS: usize = 3;

/// Keeps both documents current until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let config = follow(&shared, DocumentKind::Config);
    let plan = follow(&shared, DocumentKind::Plan);
    tokio::join!(config, plan);
}

/// Keeps one document current: reads it once, then watches it or reads it occasionally.
///
/// The first read is repeated until it succeeds or, for the configuration, until enough peers have
/// answered instead.
async fn follow(shared: &Shared, kind: DocumentKind) {
    while let Err(error) = read(shared, kind).await {
        log::warn!("failed to read {kind:?} from the key-value service: {error}");
        if kind == DocumentKind::Config && confirm_with_peers(shared).await {
            break;
        }
        pause().await;
    }
    loop {
        let watching = {
            let members = shared.members();
            store_access::is_watcher(members.reachable(), members.own_record())
        };
        if watching {
            watch(shared, kind).await;
        } else {
            wait_until_due(shared).await;
            if read(shared, kind).await.is_err() {
                pause().await;
            }
        }
    }
}

/// Reads a document from the service and puts it into force if it is valid and newer.
///
/// Records the contact with the service, and for the configuration also that the service has
/// confirmed the one in force or that there is none.
///
/// # Errors
///
/// Returns an error if the service gives no answer or refuses the read.
async fn read(shared: &Shared, kind: DocumentKind) -> Result<(), StoreError> {
    let record = shared.store.get(key(kind)).await?;
    let mut confirmed = kind == DocumentKind::Config;
    if let Some(record) = record {
        let text = String::from_utf8_lossy(&record.value);
        shared.apply_document(kind, record.modified, &text);
        confirmed &= shared.documents.config().revision > 0;
    }
    let now = shared.now();
    let mut contact = shared.contact();
    contact.store_seen = Some(now);
    contact.confirmed |= confirmed;
    Ok(())
}

/// Waits up to [`WATCH_TIMEOUT`] for a revision of a document that is newer than the one in force,
/// and puts it into force if it is valid.
async fn watch(shared: &Shared, kind: DocumentKind) {
    let revisions = shared.documents.revisions();
    let revision = match kind {
        DocumentKind::Config => revisions.config,
        DocumentKind::Plan => revisions.plan,
    };
    match shared
        .store
        .wait_for_change(key(kind), revision, WATCH_TIMEOUT)
        .await
    {
        Ok(record) => {
            shared.contact().store_seen = Some(shared.now());
            if let Some(record) = record {
                let text = String::from_utf8_lossy(&record.value);
                shared.apply_document(kind, record.modified, &text);
            }
        }
        Err(StoreError::Refused(_)) => {
            // The service cancels a watch from a revision that it has compacted; a read still
            // returns the document.
            if read(shared, kind).await.is_err() {
                pause().await;
            }
        }
        Err(_) => pause().await,
    }
}

/// Waits until the next read by an instance that does not watch is due, or until it has to watch.
///
/// The mean time between reads is [`store_access::FALLBACK_READ_INTERVAL`], or the shorter
/// [`store_access::ISOLATED_READ_INTERVAL`] while no packets of peers arrive.
async fn wait_until_due(shared: &Shared) {
    /// Time between two checks whether the instance has become a watcher or the read is due.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);
    let started = shared.now();
    let jitter: f64 = random();
    loop {
        sleep(CHECK_INTERVAL).await;
        let watching = {
            let members = shared.members();
            store_access::is_watcher(members.reachable(), members.own_record())
        };
        let contact = *shared.contact();
        let due = store_access::next_store_read(&contact, started, jitter) <= shared.now();
        if watching || due {
            return;
        }
    }
}

/// Fetches the documents of peers while the service gives no answer, and puts the newest into
/// force; returns whether enough peers answered for the configuration to count as current. A peer
/// without a configuration in force does not count.
///
/// No edit is accepted during an outage of the service, and an earlier edit is in force on all
/// instances within seconds, so the newest configuration among several peers is current.
async fn confirm_with_peers(shared: &Shared) -> bool {
    let peers: Vec<(InstanceId, SocketAddr)> = {
        let members = shared.members();
        let others = members.records().filter(|record| {
            record.id != shared.settings.instance && record.status != Status::Gone
        });
        others
            .map(|record| (record.id.clone(), record.gossip))
            .collect()
    };
    let needed = REQUIRED_PEERS.min(peers.len());
    let mut answered = 0;
    for (id, address) in peers {
        let config = transfer::fetch(shared, &id, address, DocumentKind::Config).await;
        let plan = transfer::fetch(shared, &id, address, DocumentKind::Plan).await;
        if config.is_ok_and(|revision| revision > 0) && plan.is_ok() {
            answered += 1;
        }
        if answered >= needed {
            break;
        }
    }
    let confirmed = needed > 0 && answered >= needed;
    if confirmed {
        shared.contact().confirmed = true;
        log::info!("configuration confirmed as current by {answered} peers");
    }
    confirmed
}

/// Waits before a failed call is repeated, for half to one and a half times [`RETRY_DELAY`].
async fn pause() {
    sleep(RETRY_DELAY.mul_f64(0.5 + random::<f64>())).await;
}

/// Returns the key of a document in the key-value service.
fn key(kind: DocumentKind) -> &'static str {
    match kind {
        DocumentKind::Config => keys::CONFIG,
        DocumentKind::Plan => keys::PLAN,
    }
}
