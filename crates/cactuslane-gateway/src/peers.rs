//! UDP messages by which instances exchange load, cache contents, observations and store changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_place::load_view::PeerUpdate;
use cactuslane_place::{Observation, Observed, ReachReport};
use cactuslane_types::{Era, FIRST_ERA};
use log::{debug, info, warn};
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::ending::signs;
use crate::limits;
use crate::messages::{self, Message, MessageError, Received};
use crate::relay::Relay;
use crate::sending::send;
use crate::state::Gateway;
use crate::watch::{ReceivedRelay, RelaySender};
use crate::{crashes, origins, usage};

/// Interval between the updates of an instance while there is something new to send, in a
/// deployment of few instances compared with [`INTERVAL_SCALE`]; also the interval of the ticks at
/// which this is checked.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of instances per which the interval between updates grows by [`INTERVAL`], as each
/// instance receives the updates of all others.
const INTERVAL_SCALE: f64 = 60.0;
/// Time since the last update after which one is sent although nothing has changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between reports of customers' shares.
const SHARES_INTERVAL: Duration = Duration::from_secs(1);
/// Number of ticks, after the first message of another instance, at which limits are asked for.
const LIMIT_QUERIES: u32 = 3;
/// Number of instances that are asked for limits at each of these.
const QUERIED_PEERS: usize = 3;
/// Largest message that is received, in bytes.
const MAX_MESSAGE: usize = 32 << 10;
/// Largest number of observations of targets in one message, so that it fits in [`MAX_MESSAGE`];
/// the rest is sent with the next one.
const MAX_OBSERVATIONS: usize = 50;
/// Largest number of cache updates in one message, so that it fits in [`MAX_MESSAGE`] if the
/// updates hold few prompt parts, whose number is not limited; the rest is sent with the next one.
const MAX_CACHE_UPDATES: usize = 100;

/// Largest number of senders whose unreadable messages are logged, one each and reason.
const MAX_UNREAD: usize = 1_024;

/// Sends updates to the other instances and handles their messages, until the task is aborted.
pub async fn exchange(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, relays: RelaySender) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_MESSAGE];
    let mut sender = UpdateSender {
        sequence: 0,
        sent_loads: Vec::new(),
        sent_at: Instant::now(),
        queries: LIMIT_QUERIES,
        shares_at: Instant::now(),
    };
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&gateway, &socket, &buffer[..length], from, &relays),
                Err(error) => debug!(error:% = error; "message not received"),
            },
            _ = ticks.tick() => {
                sender.query_limits(&gateway, &socket);
                sender.send_update(&gateway, &socket);
                sender.send_shares(&gateway, &socket);
            }
        }
    }
}

/// The state of sending updates.
#[derive(Debug)]
struct UpdateSender {
    /// The sequence number of the last update; the first one has number 1.
    sequence: u64,
    /// The load of this instance at targets, as last sent.
    sent_loads: Vec<(String, cactuslane_place::Load)>,
    /// The time at which the last update was sent.
    sent_at: Instant,
    /// The number of ticks at which other instances are still asked for limits.
    queries: u32,
    /// The time at which customers' shares were last sent.
    shares_at: Instant,
}

impl UpdateSender {
    /// Sends what this instance has admitted for customers, once in [`SHARES_INTERVAL`] while
    /// there is too little room at the targets of their services.
    fn send_shares(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if self.shares_at.elapsed() < SHARES_INTERVAL {
            return;
        }
        self.shares_at = Instant::now();
        let now = gateway.now();
        let reports = gateway.admissions.reports((gateway.started, now), now);
        if reports.is_empty() {
            return;
        }
        let peers = gateway.members().peer_addresses();
        let me = gateway.settings().instance.clone();
        for report in reports {
            send(socket, &Message::Shares(me.clone(), report), &peers);
        }
    }

    /// Asks a few other instances for the limits of targets that they know, after the start and
    /// after a time without messages, when this instance may have missed their notices.
    fn query_limits(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        if gateway.alive_peers() == 0 {
            self.queries = LIMIT_QUERIES;
        } else if self.queries == 0 {
            return;
        } else {
            self.queries -= 1;
        }
        let mut peers = gateway.members().peer_addresses();
        peers.shuffle(&mut rand::rng());
        peers.truncate(QUERIED_PEERS);
        send(socket, &Message::LimitQuery, &peers);
    }

    /// Sends an update if the interval between updates has passed and there are changed loads,
    /// cache updates or observations to send, or the heartbeat interval has passed too.
    ///
    /// Before that, removes instances that are gone and idle connections that have expired or that
    /// the target has closed.
    fn send_update(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        crashes::sweep(gateway);
        let instances = gateway.members().instance_count() as f64;
        // Updates are sent at ticks. Half a tick is subtracted from the intended interval of
        // 1 + n / 60 ticks for n instances, so that the actual one is at most half a tick off.
        let interval = INTERVAL.mul_f64(0.5 + instances / INTERVAL_SCALE);
        if self.sent_at.elapsed() < interval {
            return;
        }
        for instance in gateway.members().sweep(now) {
            gateway.placer().load_view.forget(&instance);
            info!(peer = instance; "instance forgotten");
        }
        gateway.pool.remove_expired();
        let fleet = gateway.fleet();
        gateway
            .placer()
            .limits
            .retain(|id| fleet.known(id).is_some());
        drop(fleet);
        let mut placer = gateway.placer();
        let (loads, cache_updates) = (
            placer.load_view.loads(),
            placer.take_cache_updates(MAX_CACHE_UPDATES),
        );
        let own_placed = placer.load_view.own_placed();
        let changing = placer.load_view.own_changing().to_vec();
        let withheld = if gateway.pool.reach().is_in_doubt() {
            placer.observations.drop_failures()
        } else {
            Vec::new()
        };
        let observations = placer.observations.take(MAX_OBSERVATIONS);
        for failure in withheld {
            placer.observations.add(failure);
        }
        drop(placer);
        let loads_unchanged = loads == self.sent_loads;
        if loads_unchanged
            && cache_updates.is_empty()
            && observations.is_empty()
            && !gateway.crashes().has_news()
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
            crashes: gateway.crashes().update(now),
        };
        self.sent_loads.clone_from(&update.loads);
        self.sent_at = Instant::now();
        let report = gateway.pool.reach().report(gateway.requests(), now);
        send(
            socket,
            &Message::Update(update, report),
            &gateway.members().peer_addresses(),
        );
    }
}

/// Passes a relay to the task that tracks the store.
fn pass_relay(gateway: &Gateway, era: Era, relay: Relay, relays: &RelaySender) {
    let (start, end) = (relay.from, relay.to);
    let received = ReceivedRelay {
        era,
        relay,
        arrival: gateway.now(),
    };
    if relays.try_send(received).is_err() {
        info!(era, start, end; "relay dropped, the next one shows the gap");
    }
}

/// Decodes and applies a message of another instance; relays go to the task that tracks the store.
fn receive(
    gateway: &Arc<Gateway>,
    socket: &Arc<UdpSocket>,
    message: &[u8],
    from: SocketAddr,
    relays: &RelaySender,
) {
    let message = match messages::decode(message) {
        Ok(Received::Whole(message)) => message,
        Ok(Received::WithoutReach(update)) => return apply_update(gateway, &update, None),
        Err(error) => return record_unread(gateway, &error, from),
    };
    match message {
        Message::Update(update, report) => apply_update(gateway, &update, Some(report)),
        Message::Relay(relay) => pass_relay(gateway, FIRST_ERA, relay, relays),
        Message::RelayOfEra(era, relay) => pass_relay(gateway, era, relay, relays),
        Message::Limit(peer, notice) => limits::apply_notice(gateway, &notice, &peer),
        Message::LimitQuery => answer_limit_query(gateway, socket, from),
        Message::PermitRequest(peer, request) => {
            let answer = limits::answer_request(gateway, &request, &peer);
            send(socket, &Message::Permit(request.number, answer), &[from]);
        }
        Message::Observations(peer, observations) => {
            for observation in &observations {
                apply_observation(gateway, observation, &peer);
            }
        }
        Message::TrialRequest(number, suspect) => {
            let answer = crashes::answer_trial(gateway, suspect);
            send(socket, &Message::Permit(number, answer), &[from]);
        }
        Message::StreamBegun(stream, version) => {
            let now = gateway.now();
            gateway.origins().record(stream, &version, now);
        }
        Message::OriginQuery(number, stream) => {
            let version = origins::answer_query(gateway, stream);
            send(socket, &Message::Origin(number, version), &[from]);
        }
        Message::Origin(number, version) => gateway.origin_calls.answer(number, version),
        Message::Usage(update) => usage::apply(gateway, &update),
        Message::Shares(peer, report) => {
            let now = gateway.now();
            gateway.admissions.apply(&peer, report, now);
        }
        Message::Permit(number, answer) => gateway.permit_calls.answer(number, answer),
        Message::ProcessQuery(number, target, started_at) => {
            signs::answer_query(gateway, socket, (number, target, started_at), from);
        }
        Message::ProcessHeard(number) => gateway.process_calls.answer(number, ()),
    }
}

/// Counts a message that cannot be read, and logs the first one of its sender for each reason.
fn record_unread(gateway: &Gateway, error: &MessageError, from: SocketAddr) {
    let reason = error.label();
    gateway.metrics.count_unread(reason);
    let mut logged = gateway.unread_logged();
    if logged.len() < MAX_UNREAD && logged.insert((from, reason)) {
        warn!(peer:% = from, error:% = error; "messages of an instance cannot be read, they are skipped");
    }
}

/// Sends the limits and the leaving targets that this instance knows.
fn answer_limit_query(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr) {
    let me = gateway.settings().instance.clone();
    let notices = gateway.placer().limits.notices(gateway.now());
    for notice in notices {
        send(socket, &Message::Limit(me.clone(), notice), &[from]);
    }
    let mut observations = Vec::new();
    for (target, started_at) in gateway.fleet().leaving() {
        observations.push(Observation {
            target,
            started_at,
            observed: Observed::Leaving,
        });
    }
    for some in observations.chunks(MAX_OBSERVATIONS) {
        let message = Message::Observations(me.clone(), some.to_vec());
        send(socket, &message, &[from]);
    }
}

/// Applies an update of another instance, with the state of its links to targets if it states that.
fn apply_update(gateway: &Gateway, update: &PeerUpdate, report: Option<ReachReport>) {
    let now = gateway.now();
    gateway.members().record_message(&update.instance, now);
    if let Some(report) = report {
        let mut reach = gateway.pool.reach();
        reach.apply_report(&update.instance, report, now);
    }
    let capacities = kv_capacities(gateway, update);
    let kv_capacity = |target: &str| {
        let found = capacities.iter().find(|(id, _)| id == target);
        found.map_or(0, |(_, capacity)| *capacity)
    };
    gateway.placer().apply_update(update, kv_capacity, now);
    gateway.crashes().apply(&update.crashes, now);
    for observation in &update.observations {
        apply_observation(gateway, observation, &update.instance);
    }
}

/// Applies another instance's observation of a target; failures are applied by the placer.
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
        Observed::Leaving => fleet.observe_leaving(&observation.target, observation.started_at),
        Observed::Failed => false,
    };
    if applied {
        info!(target_id = observation.target, peer, observed:? = observation.observed; "heard of a target");
    }
}

/// Returns the KV capacity of the engines whose cache updates a message holds, in tokens.
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
