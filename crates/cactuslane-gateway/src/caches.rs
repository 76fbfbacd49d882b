//! Reconciliation of the cache estimates with the lists of prompt parts that engines cache.
//!
//! Each engine is assigned to one instance, which requests the engine's list and sends it to the
//! other instances. This corrects their estimates, and gives an instance that has just started the
//! cache contents from before its start.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_types::TargetId;
use log::info;
use tokio::time::{Instant, sleep};

use crate::engines;
use crate::ranking::is_top_ranked;
use crate::state::Gateway;

/// Interval between checks for engines whose list must be refreshed.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time after a request for an engine's list after which it is requested again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);

/// Refreshes the lists of the engines that are assigned to this instance, until it is leaving.
pub async fn refresh_lists(gateway: Arc<Gateway>) {
    let mut requested: BTreeMap<TargetId, Instant> = BTreeMap::new();
    loop {
        sleep(INTERVAL).await;
        if gateway.is_leaving() {
            return;
        }
        let engines = assigned_engines(&gateway);
        requested.retain(|id, _| engines.iter().any(|target| target.id == *id));
        for target in engines {
            if requested
                .get(&target.id)
                .is_some_and(|at| at.elapsed() < REFRESH_INTERVAL)
            {
                continue;
            }
            requested.insert(target.id.clone(), Instant::now());
            let gateway = gateway.clone();
            tokio::spawn(async move { refresh_list(&gateway, &target).await });
        }
    }
}

/// Requests an engine's list and corrects its cache estimate, which queues the list for the others.
async fn refresh_list(gateway: &Gateway, target: &Target) {
    match engines::cached_parts(gateway, target).await {
        Ok(parts) => {
            let now = gateway.now();
            gateway.placer().reconcile_cache(&target.id, &parts, now);
        }
        Err(error) => info!(target_id = target.id, error:? = error; "parts not listed"),
    }
}

/// Returns the engines that are assigned to this instance, by rendezvous hash over the instances
/// that are reachable and not leaving; without those that have a limit, which is left to requests.
fn assigned_engines(gateway: &Gateway) -> Vec<Target> {
    let now = gateway.now();
    let me = gateway.settings().instance.clone();
    let others = gateway.members().alive(now);
    let fleet = gateway.fleet();
    let Some(config) = fleet.routing_config() else {
        return Vec::new();
    };
    let mut assigned = Vec::new();
    for (name, service) in &config.services {
        if service.engine.is_none() {
            continue;
        }
        for target in fleet.targets(name, None, now) {
            let limited = gateway.placer().limits.rate(target).is_some();
            if !limited && is_top_ranked(&me, &others, &target.id, 1) {
                assigned.push(target.clone());
            }
        }
    }
    assigned
}
