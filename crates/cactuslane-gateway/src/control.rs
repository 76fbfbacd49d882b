//! The session with the platform's store: configuration, targets and instances.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_platform::store::CONFIG_KEY;
use cactuslane_platform::{document, registry};
use cactuslane_store::kv::{Change, Item, KvError, Lease, Update};
use cactuslane_types::Millis;
use log::{info, warn};
use rand::Rng;

use crate::fleet::Effect;
use crate::members::Member;
use crate::office::{Holder, LAST_LEADER, LEADER, boot_millis};
use crate::orders::is_candidate;
use crate::relay::is_small;
use crate::state::Gateway;
use crate::watch::ALL;

/// The start of the keys of instances.
const MEMBERS: &str = "cactuslane/instances/";
/// Range of the pause after a failed call, in milliseconds.
const PAUSE: std::ops::Range<u64> = 100..300;
/// Time for which an instance believes in its lease after a renewal, and its entry outlives it.
pub const LEASE_TTL: Duration = Duration::from_secs(4);
/// Time for which the entry of an instance of a large fleet outlives its renewals, if it is not
/// about to give orders: the others hear of its end by its silence.
const LONG_TTL: Duration = Duration::from_secs(9);
/// Part of its time to live after which a lease is renewed, so that two renewals may be lost.
const RENEW_PART: f64 = 0.325;
/// Instances that call a store in trouble as often as they can; more share these calls.
const CALLERS: f64 = 8.0;
/// Largest factor on a pause: within a lease there must be time for several calls.
const MAX_FACTOR: f64 = 8.0;
/// Attempts to announce that the instance is leaving.
const ANNOUNCE_ATTEMPTS: u32 = 4;

/// Keeps the instance registered until the task is ended.
pub async fn register(gateway: Arc<Gateway>) {
    let mut lease: Option<Lease> = None;
    loop {
        if gateway.is_leaving() {
            return;
        }
        let sent = boot_millis();
        let result = match lease {
            Some(lease) => gateway.store.renew(lease).await.map(|()| lease),
            None => enter(&gateway).await,
        };
        let pause = match result {
            Ok(current) => {
                if lease != Some(current) {
                    info!(lease = current; "registered");
                }
                lease = Some(current);
                let ttl = LEASE_TTL.as_millis() as Millis;
                gateway.office().renewed(current, sent, ttl);
                lease_ttl(&gateway).mul_f64(RENEW_PART)
            }
            Err(KvError::NoLease) => {
                info!(lease:? = lease; "registration lapsed");
                gateway.office().lapsed();
                lease = None;
                continue;
            }
            Err(error) => {
                warn!(error:% = error; "registration not renewed");
                random_pause().mul_f64(fleet_factor(gateway.others()))
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Tells the other instances that this one is leaving.
pub async fn announce_leaving(gateway: &Gateway) {
    let update = Update {
        writes: vec![(member_key(gateway), entry(gateway, true), None)],
        ..Update::default()
    };
    for _ in 0..ANNOUNCE_ATTEMPTS {
        match gateway.store.update(&update).await {
            Ok(_) => return,
            Err(error) => warn!(error:% = error; "leaving not announced"),
        }
        tokio::time::sleep(random_pause()).await;
    }
}

/// Deletes the instance's entry.
pub async fn withdraw(gateway: &Gateway) {
    let update = Update {
        deletes: vec![member_key(gateway)],
        ..Update::default()
    };
    if let Err(error) = gateway.store.update(&update).await {
        warn!(error:% = error; "entry not deleted");
    }
}

/// Returns the time to live of a lease that is granted now, by which it is renewed as well.
fn lease_ttl(gateway: &Gateway) -> Duration {
    let gives_orders = is_candidate(gateway) || gateway.office().is_held(boot_millis());
    if is_small(gateway.others()) || gives_orders {
        LEASE_TTL
    } else {
        LONG_TTL
    }
}

/// Registers the instance under a new lease.
async fn enter(gateway: &Gateway) -> Result<Lease, KvError> {
    let lease = gateway.store.grant(lease_ttl(gateway)).await?;
    if gateway.is_leaving() {
        return Ok(lease);
    }
    let update = Update {
        writes: vec![(member_key(gateway), entry(gateway, false), Some(lease))],
        ..Update::default()
    };
    gateway.store.update(&update).await?;
    Ok(lease)
}

/// Reads all keys and returns the revision from which to watch.
///
/// # Errors
///
/// Returns an error where any key was not read.
pub async fn read_all(gateway: &Gateway) -> Result<u64, KvError> {
    let (items, revision) = gateway.store.range(ALL).await?;
    let now = gateway.now();
    gateway.fleet().note_heard(now);
    let mut targets = Vec::new();
    let mut instances = Vec::new();
    for item in &items {
        if let Some(id) = registry::target_id(&item.key) {
            targets.push(id.to_owned());
        }
        if let Some(id) = item.key.strip_prefix(MEMBERS) {
            instances.push(id.to_owned());
        }
    }
    gateway.fleet().retain(&targets, now);
    gateway.members().retain(&instances, now);
    let has = |key: &str| items.iter().any(|item| item.key == key);
    if !has(LEADER) {
        observe_office(gateway, None, revision);
    }
    if !has(LAST_LEADER) {
        gateway.office().observed_last(None, 0);
    }
    info!(revision, keys = items.len(), targets = targets.len(); "read the store");
    for item in items {
        written(gateway, &item, now);
    }
    Ok(revision)
}

/// Applies one change.
pub fn apply(gateway: &Gateway, change: Change) {
    let now = gateway.now();
    let (key, revision) = match change {
        Change::Written(item) => return written(gateway, &item, now),
        Change::Deleted { key, revision } => (key, revision),
    };
    if let Some(id) = registry::target_id(&key) {
        if gateway.fleet().lapse(id, now) {
            info!(target_id = id, revision; "target vanished");
        }
    } else if let Some(id) = key.strip_prefix(MEMBERS) {
        gateway.members().lapse(id, now);
        info!(peer = id, revision; "instance vanished");
    } else if key == LEADER {
        info!(revision; "office is vacant");
        observe_office(gateway, None, revision);
    }
}

/// Applies what was written to a key.
fn written(gateway: &Gateway, item: &Item, now: Millis) {
    if item.key == CONFIG_KEY {
        configure(gateway, item);
    } else if let Some(id) = registry::target_id(&item.key) {
        put_target(gateway, id, item);
    } else if item.key == LEADER {
        match serde_json::from_slice::<Holder>(&item.value) {
            Ok(holder) => observe_office(gateway, Some(holder), item.revision),
            Err(error) => warn!(error:% = error; "holder of the office is unreadable"),
        }
    } else if item.key == LAST_LEADER {
        let instance = String::from_utf8_lossy(&item.value).into_owned();
        gateway
            .office()
            .observed_last(Some(instance), item.revision);
    } else if let Some(id) = item.key.strip_prefix(MEMBERS) {
        match serde_json::from_slice::<Member>(&item.value) {
            Ok(member) if member.instance == gateway.settings().instance => {}
            Ok(member) => gateway.members().put(member, now),
            Err(error) => warn!(peer = id, error:% = error; "entry of an instance is unreadable"),
        }
    }
}

/// Takes news of the office.
fn observe_office(gateway: &Gateway, holder: Option<Holder>, revision: u64) {
    let settle = (gateway.settings().order_gap + LEASE_TTL).as_millis() as Millis;
    gateway
        .office()
        .observed(holder, revision, &gateway.holder(), settle, boot_millis());
}

/// Puts a configuration in force.
fn configure(gateway: &Gateway, item: &Item) {
    let document = match document::decode(&item.value) {
        Ok(document) => document,
        Err(error) => {
            warn!(revision = item.revision, error; "configuration is unreadable, the old one stays");
            return;
        }
    };
    let version = document.version;
    let in_force = gateway.fleet().configure(document);
    info!(version, revision = item.revision, in_force; "configuration");
}

/// Takes a target's entry.
fn put_target(gateway: &Gateway, id: &str, item: &Item) {
    let target = match registry::decode(&item.key, &item.value) {
        Ok(target) => target,
        Err(error) => {
            warn!(target_id = id, error; "entry of a target is unreadable");
            gateway.fleet().remove(id);
            return;
        }
    };
    let state = target.state;
    let role = target.role;
    let effect = gateway.fleet().put(target);
    if effect == Effect::Started {
        gateway.placer().forget(id);
        gateway.pool.close_idle(id);
    }
    if effect != Effect::Same {
        info!(target_id = id, state:? = state, role:? = role, revision = item.revision; "target");
    }
}

/// Returns the key of the instance's entry.
fn member_key(gateway: &Gateway) -> String {
    format!("{MEMBERS}{}", gateway.settings().instance)
}

/// Encodes the instance's entry.
fn entry(gateway: &Gateway, leaving: bool) -> Vec<u8> {
    let settings = gateway.settings();
    let member = Member {
        instance: settings.instance.clone(),
        front: settings.front,
        peer: settings.peer,
        domain: settings.domain.clone(),
        leaving,
        started: gateway.started,
    };
    serde_json::to_vec(&member).unwrap_or_default()
}

/// Returns the factor on pauses after failed calls with which a fleet calls as often as a small one.
///
/// `others` are the other instances that were heard lately.
#[must_use]
pub fn fleet_factor(others: usize) -> f64 {
    if is_small(others) {
        return 1.0;
    }
    (others as f64 / CALLERS).clamp(1.0, MAX_FACTOR)
}

/// Returns a pause of random length, so that instances don't call in step.
#[must_use]
pub fn random_pause() -> Duration {
    Duration::from_millis(rand::rng().random_range(PAUSE))
}
