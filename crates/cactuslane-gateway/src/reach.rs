//! Trial connections that show whether the instance is cut off from all targets.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_place::ReachChange;
use cactuslane_types::{Millis, TargetId};
use log::{info, warn};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::state::Gateway;

/// Interval at which the links to targets are examined.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks of whether a failure was this instance's own.
const DOUBT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which a failure is in doubt; then it counts as the target's.
const MAX_DOUBT: Duration = Duration::from_secs(2);

/// Examines the links to targets until the task is aborted.
pub async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = gateway.now();
        let change = gateway.pool.reach().update(now);
        match change {
            Some(ReachChange::Lost(since, hearing)) => {
                // Requests on the kept connections would hang.
                gateway.pool.close_all_idle();
                gateway.placer().observations.drop_failures();
                let since_ms = now.saturating_sub(since);
                warn!(since_ms, hearing; "cut off from all targets, requests are passed on to other instances");
            }
            Some(ReachChange::Regained) => {
                gateway.placer().forget_failures();
                info!("targets are reached again");
            }
            None => {}
        }
        begin_trials(&gateway);
    }
}

/// Begins a round of trial connections if one is due.
fn begin_trials(gateway: &Arc<Gateway>) {
    let now = gateway.now();
    let targets = gateway.fleet().usable(now);
    let chosen = gateway
        .pool
        .reach()
        .begin_round(&targets, &mut rand::rng(), now);
    for id in chosen {
        tokio::spawn(try_target(gateway.clone(), id));
    }
}

/// Makes a trial connection to a target, which is kept for later requests.
async fn try_target(gateway: Arc<Gateway>, id: TargetId) {
    let Some(target) = gateway.target(&id) else {
        gateway.pool.reach().record_trial(&id, false);
        return;
    };
    let connection = gateway.pool.try_connect(&id, target.address).await;
    let made = connection.is_ok();
    if let Ok(connection) = connection {
        gateway.pool.check_in(connection, None);
    }
    gateway.pool.reach().record_trial(&id, made);
    info!(target_id = id, made; "trial connection");
}

/// Returns whether a failure at `at`, on the clock of the instance, is due to its own links; waits
/// while that is in doubt, for 2 s at most.
pub async fn is_own_fault(gateway: &Gateway, at: Millis) -> bool {
    let mut waited = Duration::ZERO;
    while waited < MAX_DOUBT {
        let (is_cut, is_in_doubt) = {
            let reach = gateway.pool.reach();
            (reach.is_cut(), reach.is_doubtful(at))
        };
        if is_cut || !is_in_doubt {
            return is_cut;
        }
        sleep(DOUBT_INTERVAL).await;
        waited += DOUBT_INTERVAL;
    }
    false
}
