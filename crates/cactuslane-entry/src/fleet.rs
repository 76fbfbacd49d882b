//! The targets and instances that the platform lists, and the load that targets report.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_member::store_access::list_read_delay;
use cactuslane_route::Load;
use cactuslane_store::http::Client;
use cactuslane_store::list::{ListReader, Listed, ListedKind};
use cactuslane_types::{InstanceId, Millis, TargetId, TargetKind};
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::routing::ListedTarget;
use crate::shared::Shared;

/// Least time between two rounds of load reports.
const LOAD_INTERVAL: Duration = Duration::from_secs(4);
/// Number of targets for which the time between rounds grows by the least time.
const LOAD_SHARE: usize = 16;
/// Age that a load report is taken to have when it is read, in milliseconds.
const REPORT_AGE: Millis = 500;
/// Longest time for one load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows targets until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let lists = follow_list(&shared);
    let loads = follow_loads(&shared);
    tokio::join!(lists, loads);
}

/// Reads the instance list again and again.
async fn follow_list(shared: &Arc<Shared>) {
    let mut reader = ListReader::open(shared.settings.instance_list);
    loop {
        match reader.read().await {
            Ok(Some(list)) => take_list(shared, &list),
            Ok(None) => {}
            Err(error) => log::debug!("the instance list was not read: {error}"),
        }
        let instances = shared.members().records().count();
        let pause = list_read_delay(instances, shared.now(), rand::random());
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Takes in the instance list.
fn take_list(shared: &Shared, list: &[Listed]) {
    let now = shared.now();
    shared
        .routing()
        .set_targets(&shared.settings.instance, list);
    shared.authority().take_list(list);
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
    let own = |listed: &&Listed| listed.instance == shared.settings.instance;
    if list.iter().find(own).is_some_and(|listed| listed.leaving) {
        shared.leave();
    }
}

/// Asks the used targets for their load again and again.
async fn follow_loads(shared: &Arc<Shared>) {
    let client = Client::open();
    let mut events: BTreeMap<TargetId, u64> = BTreeMap::new();
    loop {
        let used = shared.routing().used_targets();
        let mut asks = JoinSet::new();
        let count = used.len();
        for (id, target) in used {
            let seen = events.get(&id).copied().unwrap_or_default();
            asks.spawn(ask_target(
                Arc::clone(shared),
                client.clone(),
                id,
                target,
                seen,
            ));
        }
        while let Some(result) = asks.join_next().await {
            if let Ok((id, Some(seen))) = result {
                events.insert(id, seen);
            }
        }
        let share = (count as f64 / LOAD_SHARE as f64).max(1.0);
        sleep(LOAD_INTERVAL.mul_f64(share * (0.9 + 0.2 * rand::random::<f64>()))).await;
    }
}

/// Asks one target for its load and cache events; returns the last event's number.
async fn ask_target(
    shared: Arc<Shared>,
    client: Client,
    id: InstanceId,
    target: ListedTarget,
    seen: u64,
) -> (InstanceId, Option<u64>) {
    let answer = client
        .get_json(target.address, "/load", REPORT_TIMEOUT)
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
    let measured = shared.now().saturating_sub(REPORT_AGE);
    if let Some(router) = shared.routing().routers.get_mut(&target.service) {
        router.fleet.report(&id, load, measured);
    }
    let last = number("cache_event").unwrap_or_default();
    if last == seen {
        return (id, Some(seen));
    }
    let path = format!("/cache-events?after={seen}");
    if let Ok((200, events)) = client.get_json(target.address, &path, REPORT_TIMEOUT).await {
        take_events(&shared, &id, &target, &events, seen);
    }
    (id, Some(last))
}

/// Takes in cache events; after a gap, what was believed before is forgotten.
fn take_events(shared: &Shared, id: &str, target: &ListedTarget, events: &Value, seen: u64) {
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
