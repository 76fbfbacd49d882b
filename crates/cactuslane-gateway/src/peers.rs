//! Messages by which instances tell each other their load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_place::load_view::PeerUpdate;
use cactuslane_place::{Observation, Observed};
use log::{debug, info, warn};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::relay::Relay;
use crate::state::Gateway;
use crate::watch::RelaySender;

/// Interval between messages of a small fleet while there is something new to tell.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of instances that lengthens the interval by its own length, as each hears all others.
const INTERVAL_SCALE: f64 = 60.0;
/// Longest silence towards the others.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Largest message that is received, in bytes.
const MAX_MESSAGE: usize = 32 << 10;
/// Most observations of targets in one message, so that it fits; the rest goes with the next one.
const MAX_OBSERVATIONS: usize = 50;
/// Most uses of prompt parts in one message, so that it fits; the rest goes with the next one.
const MAX_CACHE_UPDATES: usize = 100;

/// A message between instances.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// What the sender knows of targets.
    Update(PeerUpdate),
    /// What the sender read in the store.
    Relay(Relay),
}

/// Tells the others and hears them until the task is ended.
pub async fn exchange(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, relays: RelaySender) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_MESSAGE];
    let mut sender = UpdateSender {
        sequence: 0,
        sent_loads: Vec::new(),
        sent_at: Instant::now(),
    };
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&gateway, &buffer[..length], &relays),
                Err(error) => debug!(error:% = error; "message not received"),
            },
            _ = ticks.tick() => sender.send_update(&gateway, &socket),
        }
    }
}

/// What was told last.
#[derive(Debug)]
struct UpdateSender {
    /// The number of the last message.
    sequence: u64,
    /// The load that was told.
    sent_loads: Vec<(String, cactuslane_place::Load)>,
    /// The time of the last message.
    sent_at: Instant,
}

impl UpdateSender {
    /// Tells the others if there is something new, or if they heard nothing for long.
    fn send_update(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let instances = gateway.members().instance_count() as f64;
        // Half an interval more or less is the granularity of the ticks.
        let interval = INTERVAL.mul_f64(0.5 + instances / INTERVAL_SCALE);
        if self.sent_at.elapsed() < interval {
            return;
        }
        for instance in gateway.members().sweep(now) {
            gateway.placer().load_view.forget(&instance);
            info!(peer = instance; "instance forgotten");
        }
        gateway.pool.sweep();
        let mut placer = gateway.placer();
        let (loads, cache_updates) = (
            placer.load_view.loads(),
            placer.take_cache_updates(MAX_CACHE_UPDATES),
        );
        let own_placed = placer.load_view.own_placed();
        let changing = placer.load_view.own_changing().to_vec();
        let observations = placer.observations.take(MAX_OBSERVATIONS);
        drop(placer);
        let same = loads == self.sent_loads;
        if same
            && cache_updates.is_empty()
            && observations.is_empty()
            && self.sent_at.elapsed() < HEARTBEAT_INTERVAL
        {
            return;
        }
        self.sequence += 1;
        let update = PeerUpdate {
            instance: gateway.settings().instance.clone(),
            started: gateway.started,
            sequence: self.sequence,
            loads,
            cache_updates,
            placed: own_placed,
            changing,
            observations,
        };
        self.sent_loads.clone_from(&update.loads);
        self.sent_at = Instant::now();
        send(
            socket,
            &Message::Update(update),
            &gateway.members().peer_addresses(),
        );
    }
}

/// Passes on what was read in the store to the instances of the same failure domain.
pub fn send_relays(gateway: &Gateway, socket: &UdpSocket, relays: Vec<Relay>) {
    let peers = gateway
        .members()
        .domain_peer_addresses(&gateway.settings().domain);
    for relay in relays {
        send(socket, &Message::Relay(relay), &peers);
    }
}

/// Sends a message to some instances.
fn send(socket: &UdpSocket, message: &Message, peers: &[SocketAddr]) {
    let message = match postcard::to_stdvec(message) {
        Ok(message) => message,
        Err(error) => {
            warn!(error:% = error; "message not encoded");
            return;
        }
    };
    for peer in peers {
        if let Err(error) = socket.try_send_to(&message, *peer) {
            debug!(peer:% = peer, error:% = error; "message not sent");
        }
    }
}

/// Takes a message of another instance.
fn receive(gateway: &Gateway, message: &[u8], relays: &RelaySender) {
    let update = match postcard::from_bytes(message) {
        Ok(Message::Update(update)) => update,
        Ok(Message::Relay(relay)) => {
            if relays.try_send(relay).is_err() {
                debug!("relay dropped, the next one shows the gap");
            }
            return;
        }
        Err(error) => {
            debug!(error:% = error; "message is unreadable");
            return;
        }
    };
    let now = gateway.now();
    gateway.members().record_message(&update.instance, now);
    let capacities = kv_capacities(gateway, &update);
    let kv_capacity = |target: &str| {
        let found = capacities.iter().find(|(id, _)| id == target);
        found.map_or(0, |(_, capacity)| *capacity)
    };
    gateway.placer().apply_update(&update, kv_capacity, now);
    for observation in &update.observations {
        apply_observation(gateway, observation, &update.instance);
    }
}

/// Takes what another instance saw of a target.
fn apply_observation(gateway: &Gateway, observation: &Observation, peer: &str) {
    let now = gateway.now();
    let mut fleet = gateway.fleet();
    let applied = match observation.observed {
        Observed::Role(role) => fleet
            .observe_role(&observation.target, observation.started_at, role, now)
            .is_some(),
        Observed::Changing => {
            fleet.observe_changing(&observation.target, observation.started_at, now)
        }
        Observed::Replaced => fleet.observe_replaced(&observation.target, observation.started_at),
        Observed::Failed => false,
    };
    if applied {
        info!(target_id = observation.target, peer, observed:? = observation.observed; "heard of a target");
    }
}

/// Returns the memory of the engines that a message names, in tokens.
fn kv_capacities(gateway: &Gateway, update: &PeerUpdate) -> Vec<(String, u64)> {
    let fleet = gateway.fleet();
    let Some(config) = fleet.routing_config() else {
        return Vec::new();
    };
    let mut capacities = Vec::new();
    for cache_update in &update.cache_updates {
        let target = fleet.known(&cache_update.target);
        let service = target.and_then(|target| config.services.get(&target.service));
        if let Some(engine) = service.and_then(|service| service.engine.as_ref()) {
            capacities.push((cache_update.target.clone(), engine.kv_capacity));
        }
    }
    capacities
}
