//! The gossip task, which exchanges datagrams with the other instances.
//!
//! They carry membership, the revisions of the documents in force, the demand of callers, and the
//! work in progress at targets.

mod publisher;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_member::{
    Action, DemandRecord, Message, Packet, Record, Revisions, Status, addresses,
};
use cactuslane_route::limits::Demand;
use cactuslane_types::{InstanceId, Millis};
use cactuslane_wire::{Purpose, ReplayWindow};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::documents::DocumentKind;
use crate::gossip::publisher::Publisher;
use crate::shared::Shared;
use crate::transfer;

/// Interval at which the timers of the failure detector, the publisher and the demand reports are
/// checked.
const TICK: Duration = Duration::from_millis(100);
/// Interval of the reports of callers' demand, in milliseconds.
const DEMAND_INTERVAL: Millis = 1_000;
/// Size of the receive buffer, in bytes: the largest datagram that is received whole.
const MAX_DATAGRAM: usize = 8 << 10;
/// Maximum number of other reachable instances to which work in progress is published. With more,
/// none is published, and each instance routes by the reports of targets and its own dispatches.
const MAX_WORK_RECIPIENTS: usize = 15;
/// Number of replay windows at which a packet of a new sender causes the windows of senders that
/// are no longer members to be dropped.
const MAX_SENDERS: usize = 4_096;

/// The state of the gossip task.
struct Gossip {
    /// The state that the instance's tasks share.
    shared: Arc<Shared>,
    /// The UDP socket bound to the gossip address.
    socket: UdpSocket,
    /// The packets already received from each sender, to refuse replays.
    replay_windows: BTreeMap<InstanceId, ReplayWindow>,
    /// When the next report of callers' demand is due, in milliseconds on this instance's clock.
    next_report: Millis,
    /// Selects the work in progress at targets that the other instances need to get.
    publisher: Publisher,
}

/// Receives and sends datagrams until the task is aborted.
pub async fn run(shared: Arc<Shared>, socket: UdpSocket) {
    let mut gossip = Gossip {
        shared,
        socket,
        replay_windows: BTreeMap::new(),
        next_report: 0,
        publisher: Publisher::default(),
    };
    let shared = Arc::clone(&gossip.shared);
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let wait = gossip.publisher.time_to_update(shared.now());
        tokio::select! {
            received = gossip.socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    gossip.receive(&buffer[..length], from).await;
                }
            }
            _ = ticks.tick() => gossip.tick().await,
            () = shared.publish_now.notified() => gossip.publisher.mark_pending(),
            () = sleep_for(wait), if wait.is_some() => gossip.publish().await,
            () = shared.ping_now.notified() => {
                let actions = shared.members().urgent_pings();
                gossip.perform(actions).await;
            }
        }
    }
}

/// Sleeps for a time; never returns if it is `None`.
async fn sleep_for(wait: Option<Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}

impl Gossip {
    /// Runs the failure detector's timers, and publishes work and demand if they are due.
    async fn tick(&mut self) {
        let now = self.shared.now();
        let actions = self.shared.members().tick(now);
        self.perform(actions).await;
        if self.shared.is_leaving() {
            // The other instances must soon stop returning this one's address to callers, so its
            // record is sent more often than the periodic probes would send it.
            let actions = self.shared.members().urgent_pings();
            self.perform(actions).await;
        }
        if self.publisher.is_due(now) {
            self.publish().await;
        }
        if now < self.next_report {
            return;
        }
        self.next_report = now + DEMAND_INTERVAL;
        self.shared.publish_revisions();
        let packets = self.demand_packets(now);
        for (address, packet) in packets {
            self.send(address, &packet).await;
        }
    }

    /// Handles a datagram; counts and drops one that is not authentic, is a replay or names this
    /// instance as its sender.
    async fn receive(&mut self, sealed: &[u8], from: SocketAddr) {
        let now = self.shared.now();
        let Ok(packet) = self.shared.key.open::<Packet>(Purpose::Gossip, sealed) else {
            self.shared.metrics.refused_packets.inc();
            return;
        };
        if packet.from == self.shared.settings.instance || !self.is_new(&packet) {
            self.shared.metrics.refused_packets.inc();
            return;
        }
        let actions = {
            let mut members = self.shared.members();
            let actions = members.receive(from, &packet, now);
            let mut contact = self.shared.contact();
            contact.peer_seen = Some(now);
            contact.peer_count = members.records().count() - 1;
            actions
        };
        match &packet.message {
            Message::Demands(demands) => self.record_demands(&packet.from, demands, now),
            Message::Work(records) => {
                self.shared
                    .routing()
                    .record_peer_work(&packet.from, records, now);
            }
            _ => {}
        }
        self.perform(actions).await;
    }

    /// Returns whether the replay window of the sender accepts a packet, and marks it as seen.
    fn is_new(&mut self, packet: &Packet) -> bool {
        if !self.replay_windows.contains_key(&packet.from)
            && self.replay_windows.len() >= MAX_SENDERS
        {
            let members = self.shared.members();
            self.replay_windows
                .retain(|id, _| members.record(id).is_some());
        }
        let window = self.replay_windows.entry(packet.from.clone()).or_default();
        window.accept(packet.incarnation, packet.sequence)
    }

    /// Performs the actions that the membership has returned.
    async fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(address, packet) => self.send(address, &packet).await,
                Action::NewRevisions(id, address, revisions) => self.fetch(id, address, revisions),
                Action::StatusChanged(id, status) => {
                    log::info!("member {id} is {status:?}");
                    if status == Status::Gone {
                        self.shared.routing().remove_peer(&id);
                    }
                    self.update_instances();
                }
            }
        }
    }

    /// Sends an authenticated packet. A failure to send is ignored like a datagram lost on the way.
    async fn send(&self, address: SocketAddr, packet: &Packet) {
        let sealed = self.shared.key.seal(Purpose::Gossip, packet);
        self.shared.metrics.peer_bytes.inc_by(sealed.len() as u64);
        let _ = self.socket.send_to(&sealed, address).await;
    }

    /// Sends this instance's work in progress to the other reachable instances: what has changed,
    /// all of it once the interval of full updates has passed, or an empty heartbeat.
    async fn publish(&mut self) {
        let now = self.shared.now();
        let records = self.publisher.take_changes(&self.shared.routing(), now);
        if !self.publisher.should_send(&records, now) {
            return;
        }
        let packets: Vec<(SocketAddr, Packet)> = {
            let mut members = self.shared.members();
            let others = members.records().filter(|record| {
                record.status.is_reachable() && record.id != self.shared.settings.instance
            });
            let addresses: Vec<SocketAddr> = others.map(|record| record.gossip).collect();
            if addresses.len() > MAX_WORK_RECIPIENTS {
                return;
            }
            let mut packet = |address| {
                (
                    address,
                    members.packet_without_records(Message::Work(records.clone())),
                )
            };
            addresses.into_iter().map(&mut packet).collect()
        };
        for (address, packet) in packets {
            self.send(address, &packet).await;
        }
    }

    /// Starts a task that fetches the documents of which a member has a newer revision.
    fn fetch(&self, id: InstanceId, address: SocketAddr, revisions: Revisions) {
        let own = self.shared.documents.revisions();
        if !revisions.is_newer_than(&own) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            if revisions.config > own.config {
                let _ = transfer::fetch(&shared, &id, address, DocumentKind::Config).await;
            }
            if revisions.plan > own.plan {
                let _ = transfer::fetch(&shared, &id, address, DocumentKind::Plan).await;
            }
        });
    }

    /// Updates the number of alive instances, this one included, that routing assumes.
    fn update_instances(&self) {
        let alive = |record: &&Record| record.status == Status::Alive;
        let instances = self.shared.members().records().filter(alive).count();
        self.shared.routing().set_instances(instances);
    }

    /// Records the demand of callers at another instance.
    fn record_demands(&self, from: &str, demands: &[DemandRecord], now: Millis) {
        let mut routing = self.shared.routing();
        for record in demands {
            let demand = Demand {
                requests: f64::from(record.requests),
                tokens: f64::from(record.tokens),
                running: f64::from(record.running),
            };
            routing
                .limits
                .record_demand(from, &record.caller, demand, now);
        }
    }

    /// Builds the reports of the demand at this instance: that of each caller goes to the home
    /// instances of the caller other than this one.
    fn demand_packets(&self, now: Millis) -> Vec<(SocketAddr, Packet)> {
        let demands = {
            let mut routing = self.shared.routing();
            routing.limits.prune(now);
            routing.limits.demands(now)
        };
        let mut members = self.shared.members();
        let mut reports: BTreeMap<InstanceId, (SocketAddr, Vec<DemandRecord>)> = BTreeMap::new();
        for (caller, demand) in demands {
            for home in addresses::home_instances(members.records(), &caller) {
                if home.id == self.shared.settings.instance {
                    continue;
                }
                let record = DemandRecord {
                    caller: caller.clone(),
                    requests: demand.requests as f32,
                    tokens: demand.tokens as f32,
                    running: demand.running as u32,
                };
                let report = reports.entry(home.id.clone());
                report
                    .or_insert_with(|| (home.gossip, Vec::new()))
                    .1
                    .push(record);
            }
        }
        let mut packets = Vec::new();
        for (_, (address, records)) in reports {
            packets.push((
                address,
                members.packet_without_records(Message::Demands(records)),
            ));
        }
        packets
    }
}
