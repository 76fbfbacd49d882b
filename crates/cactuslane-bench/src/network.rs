//! Simulated network of members in virtual time, with packet loss, delays, paused members and cut
//! links.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuslane_member::{Action, MemberParams, Membership, Packet, Record, Revisions, Status};
use cactuslane_wire::{ClusterKey, Purpose};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Step of virtual time, in milliseconds: arrived packets are delivered and the timers of every
/// member are advanced once per step.
const TICK: u64 = 100;
/// Size of the UDP and IPv4 headers of a datagram, in bytes.
const HEADERS: usize = 28;

/// Network of members. Packets are authenticated and encoded as between real instances.
pub struct Network {
    /// Virtual time since the start, in milliseconds.
    pub now: u64,
    /// Members by index, which [`member_id`] turns into an id.
    pub members: Vec<Membership>,
    /// Members that are paused or dead: their timers stop, and packets that reach them are lost.
    pub paused: BTreeSet<usize>,
    /// Pairs of sender and receiver between which all packets are lost.
    pub cut: BTreeSet<(usize, usize)>,
    /// Number of bytes sent by all members, UDP and IP headers and lost packets included.
    pub sent_bytes: u64,
    /// Wall-clock time that the members spent in their timers and on receiving, sealing and opening
    /// packets.
    pub processing_time: Duration,
    /// Status changes: time in milliseconds, member that noticed it, id of the changed member, new
    /// status.
    pub status_changes: Vec<(u64, usize, String, Status)>,
    /// Loss and delay of packets.
    links: LinkParams,
    /// Sealed packets in flight with sender and receiver, by packet number.
    in_flight: BTreeMap<u64, (usize, usize, Vec<u8>)>,
    /// Arrival times in milliseconds and numbers of the packets in flight, earliest first.
    arrivals: BinaryHeap<Reverse<(u64, u64)>>,
    /// Number of packets that were put in flight so far, lost ones excluded.
    packet_count: u64,
    /// Cluster key that all members share.
    key: ClusterKey,
    /// Random generator for loss and delays.
    random: Pcg64Mcg,
}

/// Loss, delay and failure domains of the simulated network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkParams {
    /// Share of packets that are lost, from 0 to 1.
    pub loss: f64,
    /// Upper bound of the delay of a packet, exclusive, in milliseconds; at least 2. Delays are
    /// uniformly distributed from 1 ms.
    pub max_delay: u64,
    /// Number of failure domains, over which members are spread evenly.
    pub domains: usize,
}

impl Network {
    /// Creates a network in which every member knows all others from the instance list.
    #[must_use]
    pub fn new(count: usize, links: LinkParams, seed: u64) -> Self {
        let records: Vec<Record> = (0..count)
            .map(|index| record(index, links.domains))
            .collect();
        let mut members = Vec::new();
        for (index, own) in records.iter().enumerate() {
            let mut own = own.clone();
            own.incarnation = 1;
            own.serving = own.gossip;
            let params = MemberParams::default();
            let mut member = Membership::new(own, params, seed * 1_000 + index as u64);
            for other in &records {
                member.add_listed(&other.id, other.gossip, &other.domain, 0);
            }
            members.push(member);
        }
        Self {
            now: 0,
            members,
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            sent_bytes: 0,
            processing_time: Duration::ZERO,
            status_changes: Vec::new(),
            links,
            in_flight: BTreeMap::new(),
            arrivals: BinaryHeap::new(),
            packet_count: 0,
            key: ClusterKey::new("the key of a modelled network"),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Advances the virtual time by `time` milliseconds, rounded up to steps of 100 ms.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.deliver_due();
            for index in 0..self.members.len() {
                if self.paused.contains(&index) {
                    continue;
                }
                // Offsets the members' clocks within a step, so that their timers do not fire
                // together.
                let started = Instant::now();
                let actions = self.members[index].tick(self.now + index as u64 % TICK);
                self.processing_time += started.elapsed();
                self.perform(index, actions);
            }
        }
    }

    /// Advances the virtual time until a condition holds, and returns how long that took, in
    /// milliseconds.
    pub fn run_until(&mut self, holds: impl Fn(&Self) -> bool) -> u64 {
        let started = self.now;
        while !holds(self) {
            self.run(TICK);
        }
        self.now - started
    }

    /// Raises a member's revisions to `revisions` where these are newer. If any changed, the member
    /// sends urgent pings that carry its new record.
    pub fn adopt(&mut self, index: usize, revisions: &Revisions) {
        let newest = self.members[index].own_record().revisions.max(revisions);
        if newest != self.members[index].own_record().revisions {
            self.members[index].set_revisions(newest);
            let actions = self.members[index].urgent_pings();
            self.perform(index, actions);
        }
    }

    /// Returns the number of members whose record of a member has a status; the member itself is
    /// included, by its own record.
    #[must_use]
    pub fn count_seeing(&self, index: usize, status: Status) -> usize {
        let id = member_id(index);
        let sees = |member: &&Membership| member.record(&id).is_some_and(|r| r.status == status);
        self.members.iter().filter(sees).count()
    }

    /// Returns the number of noticed changes to a status, without those of members that are paused
    /// now.
    #[must_use]
    pub fn false_status_changes(&self, status: Status) -> usize {
        let paused: BTreeSet<String> = self.paused.iter().map(|index| member_id(*index)).collect();
        let is_false = |change: &&(u64, usize, String, Status)| {
            change.3 == status && !paused.contains(&change.2)
        };
        self.status_changes.iter().filter(is_false).count()
    }

    /// Delivers the packets whose arrival time has come.
    fn deliver_due(&mut self) {
        while let Some(Reverse((at, packet_number))) = self.arrivals.peek().copied() {
            if at > self.now {
                return;
            }
            self.arrivals.pop();
            let Some((from, to, sealed)) = self.in_flight.remove(&packet_number) else {
                continue;
            };
            if self.paused.contains(&to) {
                continue;
            }
            let started = Instant::now();
            let packet: Result<Packet, _> = self.key.open(Purpose::Gossip, &sealed);
            let Ok(packet) = packet else { continue };
            let actions = self.members[to].receive(address(from), &packet, self.now);
            self.processing_time += started.elapsed();
            self.perform(to, actions);
        }
    }

    /// Performs the actions that a member has returned.
    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, packet) => self.send(from, to, &packet),
                Action::StatusChanged(id, status) => {
                    self.status_changes.push((self.now, from, id, status));
                }
                // Fetching the documents takes no virtual time here: the revisions apply at once.
                Action::NewRevisions(_, _, revisions) => self.adopt(from, &revisions),
            }
        }
    }

    /// Seals a packet and puts it in flight, unless the link is cut or the packet is lost.
    fn send(&mut self, from: usize, to: SocketAddr, packet: &Packet) {
        let started = Instant::now();
        let sealed = self.key.seal(Purpose::Gossip, packet);
        self.processing_time += started.elapsed();
        self.sent_bytes += (sealed.len() + HEADERS) as u64;
        let to = to.port() as usize - 7_000;
        if self.cut.contains(&(from, to)) || self.random.random_bool(self.links.loss) {
            return;
        }
        self.packet_count += 1;
        let delay = self.random.random_range(1..self.links.max_delay);
        self.in_flight.insert(self.packet_count, (from, to, sealed));
        self.arrivals
            .push(Reverse((self.now + delay, self.packet_count)));
    }
}

/// Returns the id of the member with an index.
#[must_use]
pub fn member_id(index: usize) -> String {
    format!("entry-{index:03}")
}

/// Returns the record of a member as created from the instance list.
#[must_use]
pub fn record(index: usize, domains: usize) -> Record {
    let domain = format!("region-a-{}", index % domains);
    Record::from_list(&member_id(index), address(index), &domain)
}

/// Returns the address of a member on loopback; the port is 7,000 plus the index.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16))
}
