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
use crate::ranking::is_top_ranked;
use crate::state::Gateway;

/// Interval between looks for engines whose list is old.
const INTERVAL: Duration = Duration::from_millis(500);
/// Age at which the list of an engine is asked for anew.
const LIST_AGE: Duration = Duration::from_secs(4);

/// Asks the engines that this instance follows, until the task is ended.
pub async fn follow(gateway: Arc<Gateway>) {
    let mut asked: BTreeMap<TargetId, Instant> = BTreeMap::new();
    loop {
        sleep(INTERVAL).await;
        if gateway.is_leaving() {
            return;
        }
        let engines = followed(&gateway);
        asked.retain(|id, _| engines.iter().any(|target| target.id == *id));
        for target in engines {
            if asked
                .get(&target.id)
                .is_some_and(|at| at.elapsed() < LIST_AGE)
            {
                continue;
            }
            asked.insert(target.id.clone(), Instant::now());
            let gateway = gateway.clone();
            tokio::spawn(async move { list(&gateway, &target).await });
        }
    }
}

/// Asks one engine for its list.
async fn list(gateway: &Gateway, target: &Target) {
    match engines::cached_parts(gateway, target).await {
        Ok(parts) => {
            let now = gateway.now();
            gateway.placer().reconcile_cache(&target.id, &parts, now);
        }
        Err(error) => info!(target_id = target.id, error:? = error; "parts not listed"),
    }
}

/// Returns the engines that this instance follows.
fn followed(gateway: &Gateway) -> Vec<Target> {
    let now = gateway.now();
    let me = gateway.settings().instance.clone();
    let others = gateway.members().alive(now);
    let fleet = gateway.fleet();
    let Some(document) = fleet.document() else {
        return Vec::new();
    };
    let mut followed = Vec::new();
    for (name, service) in &document.services {
        if service.engine.is_none() {
            continue;
        }
        for target in fleet.targets(name, None, now) {
            if is_top_ranked(&me, &others, &target.id, 1) {
                followed.push(target.clone());
            }
        }
    }
    followed
}
