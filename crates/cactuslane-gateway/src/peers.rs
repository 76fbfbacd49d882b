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
const INTERVAL_FLEET: f64 = 60.0;
/// Longest silence towards the others.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Largest message that is received, in bytes.
const MAX_MESSAGE: usize = 32 << 10;
/// Most observations of targets in one message, so that it fits; the rest goes with the next one.
const MAX_OBSERVATIONS: usize = 50;
/// Most uses of prompt parts in one message, so that it fits; the rest goes with the next one.
const MAX_USES: usize = 100;

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
    let mut speaker = Speaker {
        sequence: 0,
        told: Vec::new(),
        at: Instant::now(),
    };
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => hear(&gateway, &buffer[..length], &relays),
                Err(error) => debug!(error:% = error; "message not received"),
            },
            _ = ticks.tick() => speaker.tell(&gateway, &socket),
        }
    }
}

/// What was told last.
#[derive(Debug)]
struct Speaker {
    /// The number of the last message.
    sequence: u64,
    /// The load that was told.
    told: Vec<(String, cactuslane_place::Load)>,
    /// The time of the last message.
    at: Instant,
}

impl Speaker {
    /// Tells the others if there is something new, or if they heard nothing for long.
    fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let sharers = gateway.members().sharers() as f64;
        // Half an interval more or less is the granularity of the ticks.
        let interval = INTERVAL.mul_f64(0.5 + sharers / INTERVAL_FLEET);
        if self.at.elapsed() < interval {
            return;
        }
        for instance in gateway.members().sweep(now) {
            gateway.placer().load_view.forget(&instance);
            info!(peer = instance; "instance forgotten");
        }
        gateway.pool.remove_expired();
        let mut placer = gateway.placer();
        let (loads, cache_updates) = (
            placer.load_view.loads(),
            placer.take_cache_updates(MAX_USES),
        );
        let work = placer.load_view.own_placed();
        let changing = placer.load_view.own_changing().to_vec();
        let observations = placer.observations.take(MAX_OBSERVATIONS);
        drop(placer);
        let same = loads == self.told;
        if same
            && cache_updates.is_empty()
            && observations.is_empty()
            && self.at.elapsed() < HEARTBEAT
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
            placed: work,
            changing,
            observations,
        };
        self.told.clone_from(&update.loads);
        self.at = Instant::now();
        send(socket, &Message::Update(update), &gateway.members().peers());
    }
}

/// Passes on what was read in the store to the instances of the same failure domain.
pub fn pass_on(gateway: &Gateway, socket: &UdpSocket, relays: Vec<Relay>) {
    let peers = gateway.members().near_peers(&gateway.settings().domain);
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
fn hear(gateway: &Gateway, message: &[u8], relays: &RelaySender) {
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
    gateway.members().heard(&update.instance, now);
    let memories = memories(gateway, &update);
    let memory = |target: &str| {
        let found = memories.iter().find(|(id, _)| id == target);
        found.map_or(0, |(_, memory)| *memory)
    };
    gateway.placer().apply_update(&update, memory, now);
    for observation in &update.observations {
        hear_observation(gateway, observation, &update.instance);
    }
}

/// Takes what another instance saw of a target.
fn hear_observation(gateway: &Gateway, observation: &Observation, peer: &str) {
    let now = gateway.now();
    let mut fleet = gateway.fleet();
    let believed = match observation.observed {
        Observed::Role(role) => fleet
            .saw_role(&observation.target, observation.started_at, role, now)
            .is_some(),
        Observed::Changing => {
            fleet.heard_changing(&observation.target, observation.started_at, now)
        }
        Observed::Replaced => fleet.saw_replaced(&observation.target, observation.started_at),
        Observed::Failed => false,
    };
    if believed {
        info!(target_id = observation.target, peer, observed:? = observation.observed; "heard of a target");
    }
}

/// Returns the memory of the engines that a message names, in tokens.
fn memories(gateway: &Gateway, update: &PeerUpdate) -> Vec<(String, u64)> {
    let fleet = gateway.fleet();
    let Some(document) = fleet.document() else {
        return Vec::new();
    };
    let mut memories = Vec::new();
    for cache_update in &update.cache_updates {
        let target = fleet.known(&cache_update.target);
        let service = target.and_then(|target| document.services.get(&target.service));
        if let Some(engine) = service.and_then(|service| service.engine.as_ref()) {
            memories.push((cache_update.target.clone(), engine.kv_capacity));
        }
    }
    memories
}
