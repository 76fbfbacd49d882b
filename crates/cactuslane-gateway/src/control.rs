//! The instance's registration in the platform's store, and the application of the store's changes:
//! configuration, targets, instances and leadership.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::routing_config::RoutingConfig;
use cactuslane_platform::store::{CONFIG_KEY, TARGETS};
use cactuslane_platform::{document, registry};
use cactuslane_store::kv::{Change, Item, KvError, Lease, Update};
use cactuslane_types::{Millis, Position};
use log::{info, warn};
use tokio::task::JoinSet;

use crate::backoff::{Backoff, backoff_factor, random_pause};
use crate::crashes::HELD_PREFIX;
use crate::fleet::Effect;
use crate::keys::RECORDS_PREFIX;
use crate::leadership::{
    LAST_LEADER_KEY, LEADER_KEY, LEASE_TTL, LeaderKey, LeaderRecord, SettleTime, boot_millis,
};
use crate::members::Member;
use crate::orders::is_candidate;
use crate::ranking::is_small_deployment;
use crate::state::Gateway;
use crate::versions::LIST_KEY;
use crate::{crashes, records, versions};

/// The prefixes of all keys whose values are small: all but the document and the records of streams.
pub const SMALL_KEYS: [&str; 6] = [
    TARGETS,
    MEMBER_PREFIX,
    LEADER_KEY,
    LAST_LEADER_KEY,
    HELD_PREFIX,
    LIST_KEY,
];
/// The prefix of the keys of instances.
const MEMBER_PREFIX: &str = "cactuslane/instances/";
/// Time to live of the lease of an instance in a large deployment, as determined by
/// [`is_small_deployment`], that neither leads nor is a candidate: the other instances notice its
/// failure by the lack of messages, before its entry lapses.
const LARGE_DEPLOYMENT_TTL: Duration = Duration::from_secs(9);
/// Share of the time to live returned by [`lease_ttl`] after which a lease is renewed, so that two
/// renewals may be lost if the lease was granted for that time.
const RENEWAL_SHARE: f64 = 0.325;
/// Number of attempts to announce that the instance is leaving.
const ANNOUNCE_ATTEMPTS: u32 = 4;

/// Keeps the instance registered by renewing its lease, until it is leaving.
pub async fn register(gateway: Arc<Gateway>) {
    let mut lease: Option<Lease> = None;
    let mut backoff = Backoff::default();
    let mut eras = gateway.store.subscribe_era();
    loop {
        if gateway.is_leaving() {
            return;
        }
        eras.mark_unchanged();
        let sent = boot_millis();
        let result = match lease {
            Some(lease) => gateway.store.renew(lease).await.map(|()| lease),
            None => register_member(&gateway).await,
        };
        let pause = match result {
            Ok(current) => {
                if lease != Some(current) {
                    info!(lease = current.id, era = current.era; "registered");
                }
                lease = Some(current);
                backoff.reset();
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
                let factor = backoff_factor(gateway.alive_peers());
                let pause = backoff.pause(&error, rand::random()).mul_f64(factor);
                pause.min(LEASE_TTL)
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // The entry and its lease may be lost.
            Ok(()) = eras.changed() => {
                let factor = backoff_factor(gateway.alive_peers());
                tokio::time::sleep(random_pause().mul_f64(factor)).await;
            }
        }
    }
}

/// Marks the instance's entry as leaving, so that the other instances no longer return its address
/// to callers.
///
/// The entry is written without a lease and stays until [`unregister`] deletes it.
pub async fn announce_leaving(gateway: &Gateway) {
    for _ in 0..ANNOUNCE_ATTEMPTS {
        let update = Update {
            writes: vec![(member_key(gateway), encode_member(gateway, true), None)],
            ..Update::default()
        };
        match update_entry(gateway, update).await {
            Ok(()) => return,
            Err(error) => warn!(error:% = error; "leaving not announced"),
        }
        tokio::time::sleep(random_pause()).await;
    }
}

/// Deletes the instance's entry from the store.
pub async fn unregister(gateway: &Gateway) {
    let update = Update {
        deletes: vec![member_key(gateway)],
        ..Update::default()
    };
    if let Err(error) = update_entry(gateway, update).await {
        warn!(error:% = error; "entry not deleted");
    }
}

/// Applies an update of the instance's entry, if no other process of the instance has written it.
///
/// The condition also keeps an update that is carried out late from undoing a later one.
async fn update_entry(gateway: &Gateway, mut update: Update) -> Result<(), KvError> {
    let key = member_key(gateway);
    update.expected = vec![(key.clone(), gateway.entry_position())];
    let mut result = gateway.store.update(&update).await;
    if result == Err(KvError::Conflict) {
        // The entry has lapsed, is of an earlier era, or an update without an answer has changed it.
        let read = gateway.store.get(&key).await?;
        let is_other = read.item.as_ref().is_some_and(|item| {
            serde_json::from_slice::<Member>(&item.value)
                .is_ok_and(|member| member.started > gateway.started)
        });
        if is_other {
            info!("the entry is of a later process, it stays");
            return Ok(());
        }
        let position = read.item.map(|item| item.position).unwrap_or_default();
        update.expected = vec![(key, position)];
        result = gateway.store.update(&update).await;
    }
    gateway.record_entry(result?);
    Ok(())
}

/// Returns the time to live for a lease granted now, which also sets the interval of renewals.
///
/// A lease that was granted before keeps its time to live.
fn lease_ttl(gateway: &Gateway) -> Duration {
    let may_lead = is_candidate(gateway) || gateway.leadership().is_held(boot_millis());
    if is_small_deployment(gateway.alive_peers()) || may_lead {
        LEASE_TTL
    } else {
        LARGE_DEPLOYMENT_TTL
    }
}

/// Writes the instance's entry under a new lease, which is returned.
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
    let position = gateway.store.update(&update).await?;
    gateway.record_entry(position);
    Ok(lease)
}

/// Reads and applies all keys of the store but the records of streams, and returns the position from
/// which to watch.
///
/// # Errors
///
/// Returns the error of the store call if any page of keys could not be read.
pub async fn read_all(gateway: &Gateway) -> Result<Position, KvError> {
    let (items, position) = fetch_all(gateway).await?;
    let now = gateway.now();
    gateway.fleet().record_store_contact(now);
    if gateway.fleet().begin_era(position.era, now) {
        info!(era = position.era, revision = position.revision, keys = items.len(); "the store is back from an older copy");
    }
    let mut targets = Vec::new();
    let mut instances = Vec::new();
    let mut held = Vec::new();
    for item in &items {
        if let Some(id) = registry::target_id(&item.key) {
            targets.push(id.to_owned());
        }
        if let Some(id) = item.key.strip_prefix(MEMBER_PREFIX) {
            instances.push(id.to_owned());
        }
        held.extend(crashes::stored_suspect(&item.key));
    }
    gateway.crashes().retain_stored(&held);
    gateway.fleet().clear_version_list();
    gateway.fleet().retain(&targets, now);
    gateway.members().retain(&instances, now);
    let has = |key: &str| items.iter().any(|item| item.key == key);
    if !has(LEADER_KEY) {
        observe_leader(gateway, None, position);
    }
    if !has(LAST_LEADER_KEY) {
        let absent = Position::new(position.era, 0);
        gateway.leadership().observe_last_leader(None, absent);
    }
    info!(revision = position.revision, era = position.era, keys = items.len(), targets = targets.len(); "read the store");
    for item in items {
        apply_item(gateway, &item, now);
    }
    gateway.fleet().record_listing(now);
    Ok(position)
}

/// Reads and applies the leader key, without those of other kinds.
///
/// # Errors
///
/// Returns the error of the store call.
pub async fn read_leader(gateway: &Gateway) -> Result<(), KvError> {
    let read = gateway.store.get(LEADER_KEY).await?;
    match read.item {
        Some(item) => apply_item(gateway, &item, gateway.now()),
        None => observe_leader(gateway, None, read.position),
    }
    Ok(())
}

/// Fetches the document and all small values, with the lowest of the positions at which they were
/// read.
///
/// # Errors
///
/// Returns [`KvError::Compacted`] if a new era of the store began meanwhile, as what was read in two
/// eras must not be applied together.
async fn fetch_all(gateway: &Gateway) -> Result<(Vec<Item>, Position), KvError> {
    let mut fetches = JoinSet::new();
    for prefix in SMALL_KEYS {
        let store = gateway.store.clone();
        fetches.spawn(async move { store.range(prefix).await });
    }
    let document = gateway.store.get(CONFIG_KEY).await?;
    let mut position = document.position;
    let mut items: Vec<Item> = document.item.into_iter().collect();
    while let Some(fetched) = fetches.join_next().await {
        let (some, read_at) =
            fetched.unwrap_or_else(|error| Err(KvError::Lost(error.to_string())))?;
        if read_at.era != position.era {
            return Err(KvError::Compacted);
        }
        position = position.min(read_at);
        items.extend(some);
    }
    Ok((items, position))
}

/// Applies one change of the store.
pub fn apply(gateway: &Gateway, change: Change) {
    let now = gateway.now();
    let (key, position) = match change {
        Change::Written(item) => return apply_item(gateway, &item, now),
        Change::Deleted { key, position } => (key, position),
    };
    if let Some(id) = registry::target_id(&key) {
        if gateway.fleet().lapse(id, now) {
            info!(target_id = id, revision = position.revision; "target vanished");
        }
    } else if let Some(id) = key.strip_prefix(MEMBER_PREFIX) {
        gateway.members().lapse(id, now);
        info!(peer = id, revision = position.revision; "instance vanished");
    } else if let Some(suspect) = crashes::stored_suspect(&key) {
        gateway.crashes().record_deleted(suspect);
    } else if key == LEADER_KEY {
        info!(revision = position.revision; "office is vacant");
        observe_leader(gateway, None, position);
    }
}

/// Applies an item that was read or has just been written; the entry of this instance and keys of
/// other kinds are ignored.
fn apply_item(gateway: &Gateway, item: &Item, now: Millis) {
    if item.key == CONFIG_KEY {
        configure(gateway, item);
    } else if let Some(id) = registry::target_id(&item.key) {
        put_target(gateway, id, item);
    } else if item.key == LEADER_KEY {
        match serde_json::from_slice::<LeaderRecord>(&item.value) {
            Ok(record) => {
                let key = LeaderKey {
                    record,
                    position: item.position,
                    lease: item.lease,
                };
                observe_leader(gateway, Some(key), item.position);
            }
            Err(error) => warn!(error:% = error; "holder of the office is unreadable"),
        }
    } else if item.key == LAST_LEADER_KEY {
        let instance = String::from_utf8_lossy(&item.value).into_owned();
        gateway
            .leadership()
            .observe_last_leader(Some(instance), item.position);
    } else if let Some(suspect) = crashes::stored_suspect(&item.key) {
        crashes::apply_stored(gateway, suspect, item);
    } else if item.key == LIST_KEY {
        versions::apply_list(gateway, item);
    } else if item.key.starts_with(RECORDS_PREFIX) {
        records::apply_record(gateway, item);
    } else if let Some(id) = item.key.strip_prefix(MEMBER_PREFIX) {
        match serde_json::from_slice::<Member>(&item.value) {
            Ok(member) if member.instance == gateway.settings().instance => {}
            Ok(member) => gateway.members().put(member, now),
            Err(error) => warn!(peer = id, error:% = error; "entry of an instance is unreadable"),
        }
    }
}

/// Applies the leader key at a position; `leader` is `None` if the key is absent.
fn observe_leader(gateway: &Gateway, leader: Option<LeaderKey>, position: Position) {
    let settle = SettleTime::of(&gateway.settings());
    gateway.leadership().observe_leader(
        leader,
        position,
        &gateway.leader_record(),
        settle,
        boot_millis(),
    );
}

/// Decodes the configuration and puts it in force if it is newer; an invalid one is ignored.
fn configure(gateway: &Gateway, item: &Item) {
    let config = match document::decode(&item.value) {
        Ok(config) => RoutingConfig {
            position: item.position,
            ..config
        },
        Err(error) => {
            warn!(revision = item.position.revision, error; "configuration is unreadable, the old one stays");
            return;
        }
    };
    let position = config.config_position();
    let now = gateway.now();
    let mut fleet = gateway.fleet();
    let in_force = fleet.set_routing_config(config);
    if in_force {
        fleet.record_configured(now);
    }
    drop(fleet);
    let (version, revision) = (position.version, position.position.revision);
    info!(version, revision, position:%, in_force; "configuration");
}

/// Applies a target's entry; one that cannot be decoded removes the target.
fn put_target(gateway: &Gateway, id: &str, item: &Item) {
    let target = match registry::decode(&item.key, &item.value) {
        Ok(target) => target,
        Err(error) => {
            warn!(target_id = id, error; "entry of a target is unreadable");
            let mut fleet = gateway.fleet();
            fleet.record_version(id, gateway.now());
            fleet.remove(id);
            return;
        }
    };
    let state = target.state;
    let role = target.role;
    let mut fleet = gateway.fleet();
    let now = gateway.now();
    fleet.record_version(id, now);
    let effect = fleet.put(target);
    fleet.record_version(id, now);
    drop(fleet);
    if effect == Effect::Started {
        gateway.placer().forget(id);
        gateway.pool.close_idle(id);
        // The target may have another version than those before it.
        gateway.versions_changed.notify_one();
        gateway.begun_changed.notify_one();
    }
    if effect != Effect::Same {
        info!(target_id = id, state:? = state, role:? = role, revision = item.position.revision; "target");
    }
}

/// Returns the store key of the instance's entry.
fn member_key(gateway: &Gateway) -> String {
    format!("{MEMBER_PREFIX}{}", gateway.settings().instance)
}

/// Encodes the instance's entry as JSON.
fn encode_member(gateway: &Gateway, leaving: bool) -> Vec<u8> {
    let settings = gateway.settings();
    let member = Member {
        instance: settings.instance.clone(),
        front: settings.front,
        peer: settings.peer,
        domain: settings.domain.clone(),
        leaving,
        started: gateway.started,
        compares: true,
    };
    serde_json::to_vec(&member).unwrap_or_default()
}
