//! Polling of the platform's instance list, and of the load and cache events of targets.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_member::store_access::list_read_delay;
use cactuslane_route::Load;
use cactuslane_store::http::Client;
use cactuslane_store::list::{ListReader, ListedInstance, ListedKind};
use cactuslane_types::{Millis, TargetId, TargetKind};
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::routing::ListedTarget;
use crate::shared::Shared;
use crate::upstream::LOAD_PATH;

/// Mean pause between two rounds of load reports for up to [`TARGETS_PER_INTERVAL`] targets.
const LOAD_INTERVAL: Duration = Duration::from_secs(4);
/// Number of targets above which the pause between rounds grows in proportion to their number.
const TARGETS_PER_INTERVAL: usize = 16;
/// Age that a load report is assumed to have when it arrives, in milliseconds.
const ASSUMED_REPORT_AGE: Millis = 500;
/// Timeout of one request for a load report or for cache events.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the instance list and the targets until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let lists = poll_list(&shared);
    let loads = poll_loads(&shared);
    tokio::join!(lists, loads);
}

/// Polls the instance list.
///
/// The pause grows with the number of known instances, so that all of them together read the list
/// at a bounded rate.
async fn poll_list(shared: &Arc<Shared>) {
    let mut reader = ListReader::open(shared.settings.instance_list);
    loop {
        match reader.read().await {
            Ok(Some(list)) => apply_list(shared, &list),
            Ok(None) => {}
            Err(error) => log::debug!("failed to read the instance list: {error}"),
        }
        let instances = shared.members().records().count();
        let pause = list_read_delay(instances, shared.now(), rand::random());
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Passes the instance list on to routing, the authority task and membership; starts to leave if
/// the list shows this instance as leaving.
fn apply_list(shared: &Shared, list: &[ListedInstance]) {
    let now = shared.now();
    shared
        .routing()
        .set_targets(&shared.settings.instance, list);
    shared.authority().record_list(list);
    let mut members = shared.members();
    for listed in list {
        if listed.kind != ListedKind::Entry {
            continue;
        }
        if let Some(gossip) = listed.gossip {
            members.add_listed(&listed.instance, gossip, &listed.domain, now);
        }
    }
    let peers = members.records().count() - 1;
    drop(members);
    let mut contact = shared.contact();
    contact.peer_count = peers;
    contact.listed = true;
    drop(contact);
    let own = |listed: &&ListedInstance| listed.instance == shared.settings.instance;
    if list.iter().find(own).is_some_and(|listed| listed.leaving) {
        shared.leave();
    }
}

/// Polls the load of the targets that this instance routes to, all at once in each round.
///
/// The pause between rounds varies by 10% either way.
async fn poll_loads(shared: &Arc<Shared>) {
    let client = Client::open();
    let mut last_events: BTreeMap<TargetId, u64> = BTreeMap::new();
    loop {
        let used = shared.routing().used_targets();
        let mut polls = JoinSet::new();
        let count = used.len();
        for (id, target) in used {
            let seen = last_events.get(&id).copied().unwrap_or_default();
            polls.spawn(poll_target(
                Arc::clone(shared),
                client.clone(),
                id,
                target,
                seen,
            ));
        }
        while let Some(result) = polls.join_next().await {
            if let Ok((id, Some(seen))) = result {
                last_events.insert(id, seen);
            }
        }
        let scale = (count as f64 / TARGETS_PER_INTERVAL as f64).max(1.0);
        sleep(LOAD_INTERVAL.mul_f64(scale * (0.9 + 0.2 * rand::random::<f64>()))).await;
    }
}

/// Requests the load of one target and its cache events after event number `seen`.
///
/// Returns the number of the target's last event; `None` for a plain service, and for an engine
/// whose load report or events are missing or incomplete.
async fn poll_target(
    shared: Arc<Shared>,
    client: Client,
    id: TargetId,
    target: ListedTarget,
    seen: u64,
) -> (TargetId, Option<u64>) {
    let answer = client
        .get_json(target.address, LOAD_PATH, REPORT_TIMEOUT)
        .await;
    let Ok((200, report)) = answer else {
        return (id, None);
    };
    if target.kind == TargetKind::Service {
        return (id, None);
    }
    let metrics = &report["named_metrics"];
    let number = |name: &str| metrics[name].as_u64();
    let (Some(queued), Some(free)) = (number("queued_prefill_tokens"), number("free_pieces"))
    else {
        return (id, None);
    };
    let load = Load {
        queued,
        running: number("running").unwrap_or_default() as u32,
        free: free as u32,
        context: number("context_tokens").unwrap_or_default(),
    };
    let measured = shared.now().saturating_sub(ASSUMED_REPORT_AGE);
    if let Some(router) = shared.routing().routers.get_mut(&target.service) {
        router.fleet.report(&id, load, measured);
    }
    let last = number("cache_event").unwrap_or_default();
    if last == seen {
        return (id, Some(seen));
    }
    let path = format!("/cache-events?after={seen}");
    let answer = client.get_json(target.address, &path, REPORT_TIMEOUT).await;
    let Ok((200, events)) = answer else {
        return (id, None);
    };
    apply_events(&shared, &id, &target, &events, seen);
    (id, Some(last))
}

/// Applies cache events to the prefix map of the router; after a gap, removes the target from the
/// map first, since the missing events may include the eviction of any of its prefixes.
fn apply_events(shared: &Shared, id: &str, target: &ListedTarget, events: &Value, seen: u64) {
    let now = shared.now();
    let mut routing = shared.routing();
    let Some(router) = routing.routers.get_mut(&target.service) else {
        return;
    };
    let list = events["events"].as_array().cloned().unwrap_or_default();
    let first = list
        .first()
        .and_then(|event| event["seq"].as_u64())
        .unwrap_or(seen + 1);
    if first != seen + 1 {
        router.prefixes.forget(id);
    }
    let hashes = |value: &Value| -> Vec<u64> {
        value
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_u64)
            .collect()
    };
    for event in &list {
        router.prefixes.stored(id, &hashes(&event["stored"]), now);
        router.prefixes.removed(id, &hashes(&event["removed"]));
    }
}
