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
use crate::leadership::{LAST_LEADER_KEY, LEADER_KEY, LeaderRecord, boot_millis};
use crate::members::Member;
use crate::orders::is_candidate;
use crate::relay::is_small_deployment;
use crate::state::Gateway;
use crate::watch::ALL_KEYS;

/// The start of the keys of instances.
const MEMBER_PREFIX: &str = "cactuslane/instances/";
/// Range of the pause after a failed call, in milliseconds.
const RETRY_PAUSE: std::ops::Range<u64> = 100..300;
/// Time for which an instance believes in its lease after a renewal, and its entry outlives it.
pub const LEASE_TTL: Duration = Duration::from_secs(4);
/// Time for which the entry of an instance of a large fleet outlives its renewals, if it is not
/// about to give orders: the others hear of its end by its silence.
const LARGE_DEPLOYMENT_TTL: Duration = Duration::from_secs(9);
/// Part of its time to live after which a lease is renewed, so that two renewals may be lost.
const RENEWAL_SHARE: f64 = 0.325;
/// Instances that call a store in trouble as often as they can; more share these calls.
const RETRYING_INSTANCES: f64 = 8.0;
/// Largest factor on a pause: within a lease there must be time for several calls.
const MAX_BACKOFF_FACTOR: f64 = 8.0;
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
            None => register_member(&gateway).await,
        };
        let pause = match result {
            Ok(current) => {
                if lease != Some(current) {
                    info!(lease = current; "registered");
                }
                lease = Some(current);
                let ttl = LEASE_TTL.as_millis() as Millis;
                gateway.leadership().renewed(current, sent, ttl);
                lease_ttl(&gateway).mul_f64(RENEWAL_SHARE)
            }
            Err(KvError::NoLease) => {
                info!(lease:? = lease; "registration lapsed");
                gateway.leadership().lapsed();
                lease = None;
                continue;
            }
            Err(error) => {
                warn!(error:% = error; "registration not renewed");
                random_pause().mul_f64(backoff_factor(gateway.alive_peers()))
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Tells the other instances that this one is leaving.
pub async fn announce_leaving(gateway: &Gateway) {
    let update = Update {
        writes: vec![(member_key(gateway), encode_member(gateway, true), None)],
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
pub async fn unregister(gateway: &Gateway) {
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
    let may_lead = is_candidate(gateway) || gateway.leadership().is_held(boot_millis());
    if is_small_deployment(gateway.alive_peers()) || may_lead {
        LEASE_TTL
    } else {
        LARGE_DEPLOYMENT_TTL
    }
}

/// Registers the instance under a new lease.
async fn register_member(gateway: &Gateway) -> Result<Lease, KvError> {
    let lease = gateway.store.grant(lease_ttl(gateway)).await?;
    if gateway.is_leaving() {
        return Ok(lease);
    }
    let update = Update {
        writes: vec![(
            member_key(gateway),
            encode_member(gateway, false),
            Some(lease),
        )],
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
    let (items, revision) = gateway.store.range(ALL_KEYS).await?;
    let now = gateway.now();
    gateway.fleet().record_store_contact(now);
    let mut targets = Vec::new();
    let mut instances = Vec::new();
    for item in &items {
        if let Some(id) = registry::target_id(&item.key) {
            targets.push(id.to_owned());
        }
        if let Some(id) = item.key.strip_prefix(MEMBER_PREFIX) {
            instances.push(id.to_owned());
        }
    }
    gateway.fleet().retain(&targets, now);
    gateway.members().retain(&instances, now);
    let has = |key: &str| items.iter().any(|item| item.key == key);
    if !has(LEADER_KEY) {
        observe_leader(gateway, None, revision);
    }
    if !has(LAST_LEADER_KEY) {
        gateway.leadership().observe_last_leader(None, 0);
    }
    info!(revision, keys = items.len(), targets = targets.len(); "read the store");
    for item in items {
        apply_item(gateway, &item, now);
    }
    Ok(revision)
}

/// Applies one change.
pub fn apply(gateway: &Gateway, change: Change) {
    let now = gateway.now();
    let (key, revision) = match change {
        Change::Written(item) => return apply_item(gateway, &item, now),
        Change::Deleted { key, revision } => (key, revision),
    };
    if let Some(id) = registry::target_id(&key) {
        if gateway.fleet().lapse(id, now) {
            info!(target_id = id, revision; "target vanished");
        }
    } else if let Some(id) = key.strip_prefix(MEMBER_PREFIX) {
        gateway.members().lapse(id, now);
        info!(peer = id, revision; "instance vanished");
    } else if key == LEADER_KEY {
        info!(revision; "office is vacant");
        observe_leader(gateway, None, revision);
    }
}

/// Applies what was written to a key.
fn apply_item(gateway: &Gateway, item: &Item, now: Millis) {
    if item.key == CONFIG_KEY {
        configure(gateway, item);
    } else if let Some(id) = registry::target_id(&item.key) {
        put_target(gateway, id, item);
    } else if item.key == LEADER_KEY {
        match serde_json::from_slice::<LeaderRecord>(&item.value) {
            Ok(leader) => observe_leader(gateway, Some(leader), item.revision),
            Err(error) => warn!(error:% = error; "holder of the office is unreadable"),
        }
    } else if item.key == LAST_LEADER_KEY {
        let instance = String::from_utf8_lossy(&item.value).into_owned();
        gateway
            .leadership()
            .observe_last_leader(Some(instance), item.revision);
    } else if let Some(id) = item.key.strip_prefix(MEMBER_PREFIX) {
        match serde_json::from_slice::<Member>(&item.value) {
            Ok(member) if member.instance == gateway.settings().instance => {}
            Ok(member) => gateway.members().put(member, now),
            Err(error) => warn!(peer = id, error:% = error; "entry of an instance is unreadable"),
        }
    }
}

/// Takes news of the office.
fn observe_leader(gateway: &Gateway, leader: Option<LeaderRecord>, revision: u64) {
    let settle = (gateway.settings().order_gap + LEASE_TTL).as_millis() as Millis;
    gateway.leadership().observe_leader(
        leader,
        revision,
        &gateway.leader_record(),
        settle,
        boot_millis(),
    );
}

/// Puts a configuration in force.
fn configure(gateway: &Gateway, item: &Item) {
    let config = match document::decode(&item.value) {
        Ok(config) => config,
        Err(error) => {
            warn!(revision = item.revision, error; "configuration is unreadable, the old one stays");
            return;
        }
    };
    let version = config.version;
    let in_force = gateway.fleet().set_routing_config(config);
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
        gateway.pool.forget(id);
    }
    if effect != Effect::Same {
        info!(target_id = id, state:? = state, role:? = role, revision = item.revision; "target");
    }
}

/// Returns the key of the instance's entry.
fn member_key(gateway: &Gateway) -> String {
    format!("{MEMBER_PREFIX}{}", gateway.settings().instance)
}

/// Encodes the instance's entry.
fn encode_member(gateway: &Gateway, leaving: bool) -> Vec<u8> {
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
pub fn backoff_factor(others: usize) -> f64 {
    if is_small_deployment(others) {
        return 1.0;
    }
    (others as f64 / RETRYING_INSTANCES).clamp(1.0, MAX_BACKOFF_FACTOR)
}

/// Returns a pause of random length, so that instances don't call in step.
#[must_use]
pub fn random_pause() -> Duration {
    Duration::from_millis(rand::rng().random_range(RETRY_PAUSE))
}
