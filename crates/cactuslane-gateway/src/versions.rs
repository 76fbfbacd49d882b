//! The list, in the store, of the software versions at which streams may have begun.
//!
//! The list outlives a loss of all instances: an instance that has just started knows by it whether
//! a stream can have begun at one version only. Each instance writes it after those that rank
//! higher for the task, under the condition that it has not changed.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::origin::VersionList;
use cactuslane_store::kv::{Item, KvError, Update};
use cactuslane_types::{Millis, Position};
use log::{info, warn};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::backoff::{backoff_factor, random_pause};
use crate::origins::reads;
use crate::ranking;
use crate::state::Gateway;

/// Key of the list.
pub const LIST_KEY: &str = "cactuslane/stream-versions";
/// Interval at which the list is compared with the versions of the targets, besides each start of a
/// target.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time that each instance of a higher rank has for a change before the next one makes it, in
/// milliseconds.
const TURN: Millis = 1_000;

/// Keeps the list up to date, until the task is aborted.
pub async fn maintain_list(gateway: Arc<Gateway>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut wanted_since = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = gateway.versions_changed.notified() => {}
        }
        let now = gateway.now();
        let lifetime = gateway.stream_lifetime();
        if !gateway.fleet().seems_outdated(lifetime, now) {
            wanted_since = None;
            continue;
        }
        let since = *wanted_since.get_or_insert(now);
        if gateway.is_leaving() || now < since + TURN * rank(&gateway, now) {
            continue;
        }
        let Some((list, position)) = wanted_list(&gateway).await else {
            continue;
        };
        match write(&gateway, &list, position).await {
            Ok(position) => {
                info!(revision = position.revision, versions:? = list; "versions of streams listed");
                gateway.fleet().set_version_list(list, position);
            }
            // The list that another instance wrote arrives with the store's changes.
            Err(KvError::Conflict) => {}
            Err(error) => {
                warn!(error:% = error; "versions of streams not listed, this is tried again");
                sleep(random_pause().mul_f64(backoff_factor(gateway.alive_peers()))).await;
            }
        }
    }
}

/// Applies the list that was read from the store; one that cannot be decoded lists nothing.
pub fn apply_list(gateway: &Gateway, item: &Item) {
    let list = serde_json::from_slice(&item.value).unwrap_or_else(|error| {
        warn!(key = item.key, error:% = error; "list of versions is unreadable, it is written anew");
        VersionList::default()
    });
    gateway.fleet().set_version_list(list, item.position);
}

/// Returns the list that the store should have, with the position of the one that it has, if they
/// differ.
///
/// A version that targets have is added by what this instance has seen. One is removed, and a service
/// is listed, only by what the store shows now, as other instances begin streams at a listed version
/// as soon as a target has it again.
async fn wanted_list(gateway: &Arc<Gateway>) -> Option<(VersionList, Position)> {
    let extended = gateway.fleet().extended_versions(gateway.now());
    if extended.is_some() {
        return extended;
    }
    let asked = gateway.elapsed();
    let reads = reads::read_since(gateway, asked).await?;
    let evidence = reads.evidence(asked)?;
    let (lifetime, now) = (gateway.stream_lifetime(), gateway.now());
    gateway.fleet().wanted_versions(lifetime, now, evidence)
}

/// Writes a list in place of the one at a position, and returns its own position.
async fn write(
    gateway: &Gateway,
    list: &VersionList,
    position: Position,
) -> Result<Position, KvError> {
    let value = serde_json::to_vec(list).unwrap_or_default();
    let update = Update {
        expected: vec![(LIST_KEY.to_owned(), position)],
        writes: vec![(LIST_KEY.to_owned(), value, None)],
        ..Update::default()
    };
    gateway.store.update(&update).await
}

/// Returns the number of instances that rank higher for the task.
fn rank(gateway: &Gateway, now: Millis) -> u64 {
    let me = gateway.settings().instance.clone();
    let others = gateway.members().issuer_candidates(now);
    ranking::count_ahead(&me, &others, LIST_KEY)
}
