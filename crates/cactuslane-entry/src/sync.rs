//! Keeping of the documents current with the key-value service and the other instances.

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

/// Longest time that one watch waits.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after a call that failed, before its jitter.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of peers that must agree before an instance serves what it has only from them.
const REQUIRED_PEERS: usize = 3;

/// Follows both documents until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let config = follow(&shared, DocumentKind::Config);
    let plan = follow(&shared, DocumentKind::Plan);
    tokio::join!(config, plan);
}

/// Follows one document.
async fn follow(shared: &Shared, kind: DocumentKind) {
    while let Err(error) = read(shared, kind).await {
        log::warn!("{kind:?} was not read: {error}");
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

/// Reads a document from the service and offers it.
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

/// Waits for a change of a document at the service.
async fn watch(shared: &Shared, kind: DocumentKind) {
    let revisions = shared.documents.revisions();
    let revision = match kind {
        DocumentKind::Config => revisions.config,
        DocumentKind::Plan => revisions.plan,
    };
    match shared
        .store
        .changed(key(kind), revision, WATCH_TIMEOUT)
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
            // The history was compacted: the document itself is still there.
            if read(shared, kind).await.is_err() {
                pause().await;
            }
        }
        Err(_) => pause().await,
    }
}

/// Waits until an instance that does not watch reads for itself.
async fn wait_until_due(shared: &Shared) {
    /// Time between two looks at whether the instance has become a watcher or was cut off.
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

/// Takes the newest configuration of several peers while the service gives no answer.
///
/// No edit is accepted during an outage, and one that was accepted before is in force everywhere
/// within seconds; so the newest that several peers hold is current.
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
        log::info!("the configuration was confirmed by {answered} peers");
    }
    confirmed
}

/// Waits after a failure, with jitter.
async fn pause() {
    sleep(RETRY_DELAY.mul_f64(0.5 + random::<f64>())).await;
}

/// Returns the key of a document.
fn key(kind: DocumentKind) -> &'static str {
    match kind {
        DocumentKind::Config => keys::CONFIG,
        DocumentKind::Plan => keys::PLAN,
    }
}
