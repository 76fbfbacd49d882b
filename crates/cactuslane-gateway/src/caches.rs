//! The lists of parts that engines keep.
//!
//! Each engine is followed by one instance, which tells the others: what they believe is put right,
//! and an instance that has just started learns what the engines kept before.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_types::TargetId;
use log::info;
use tokio::time::{Instant, sleep};

use crate::engines;
use crate::ranking::is_among;
use crate::state::Gateway;

/// Interval between looks for engines whose list is old.
const INTERVAL: Duration = Duration::from_millis(500);
/// Age at which the list of an engine is asked for anew.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);

/// Asks the engines that this instance follows, until the task is ended.
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

/// Asks one engine for its list.
async fn refresh_list(gateway: &Gateway, target: &Target) {
    match engines::kept(gateway, target).await {
        Ok(parts) => {
            let now = gateway.now();
            gateway.placer().reconcile_cache(&target.id, &parts, now);
        }
        Err(error) => info!(target_id = target.id, error:? = error; "parts not listed"),
    }
}

/// Returns the engines that this instance follows.
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
            if is_among(&me, &others, &target.id, 1) {
                assigned.push(target.clone());
            }
        }
    }
    assigned
}
