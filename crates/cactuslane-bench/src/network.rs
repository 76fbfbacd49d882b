//! A modelled network of members that loses, delays, pauses and cuts, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuslane_member::{Action, MemberParams, Membership, Packet, Record, Revisions, Status};
use cactuslane_wire::{Key, Purpose};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between two looks at the failure detector, in milliseconds.
const TICK: u64 = 100;
/// Bytes of the headers of UDP and IP.
const HEADERS: usize = 28;

/// A network of members; packets are sealed and opened as in a process.
pub struct Network {
    /// The time, in milliseconds.
    pub now: u64,
    /// Holds the members.
    pub members: Vec<Membership>,
    /// Holds the members that are paused or dead.
    pub paused: BTreeSet<usize>,
    /// Holds pairs of sender and receiver between which nothing arrives.
    pub cut: BTreeSet<(usize, usize)>,
    /// The number of bytes sent, headers included.
    pub sent_bytes: u64,
    /// The time that was spent on processing.
    pub processing_time: Duration,
    /// Holds each change of status: the time, who saw it, of whom, and the status.
    pub status_changes: Vec<(u64, usize, String, Status)>,
    /// Says how packets travel.
    links: LinkParams,
    /// Holds sealed packets on their way.
    in_flight: BTreeMap<u64, (usize, usize, Vec<u8>)>,
    /// Holds the times at which they arrive.
    arrivals: BinaryHeap<Reverse<(u64, u64)>>,
    /// The number of packets so far.
    packet_count: u64,
    /// The key of all.
    key: Key,
    /// The source of randomness.
    random: Pcg64Mcg,
}

/// Says how packets travel.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkParams {
    /// The share of packets that are lost.
    pub loss: f64,
    /// The longest delay, in milliseconds.
    pub max_delay: u64,
    /// The number of failure domains.
    pub domains: usize,
}

impl Network {
    /// Creates a network in which all know of all from the list.
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
            key: Key::new("the key of a modelled network"),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Lets time pass, in milliseconds.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.deliver_due();
            for index in 0..self.members.len() {
                if self.paused.contains(&index) {
                    continue;
                }
                // Members look at different moments.
                let started = Instant::now();
                let actions = self.members[index].tick(self.now + index as u64 % TICK);
                self.processing_time += started.elapsed();
                self.perform(index, actions);
            }
        }
    }

    /// Lets time pass until a condition holds, and returns how long that took, in milliseconds.
    pub fn run_until(&mut self, holds: impl Fn(&Self) -> bool) -> u64 {
        let started = self.now;
        while !holds(self) {
            self.run(TICK);
        }
        self.now - started
    }

    /// Puts revisions into force at a member, which tells others at once.
    pub fn adopt(&mut self, index: usize, revisions: &Revisions) {
        let newest = self.members[index].own_record().revisions.max(revisions);
        if newest != self.members[index].own_record().revisions {
            self.members[index].set_revisions(newest);
            let actions = self.members[index].urgent_pings();
            self.perform(index, actions);
        }
    }

    /// Returns how many members see another in a status.
    #[must_use]
    pub fn count_seeing(&self, index: usize, status: Status) -> usize {
        let id = member_id(index);
        let sees = |member: &&Membership| member.record(&id).is_some_and(|r| r.status == status);
        self.members.iter().filter(sees).count()
    }

    /// Returns how often a member was seen to come into a status, paused ones left out.
    #[must_use]
    pub fn false_status_changes(&self, status: Status) -> usize {
        let paused: BTreeSet<String> = self.paused.iter().map(|index| member_id(*index)).collect();
        let is_false = |change: &&(u64, usize, String, Status)| {
            change.3 == status && !paused.contains(&change.2)
        };
        self.status_changes.iter().filter(is_false).count()
    }

    /// Delivers the packets that have arrived.
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

    /// Does what a member asks for.
    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, packet) => self.send(from, to, &packet),
                Action::StatusChanged(id, status) => {
                    self.status_changes.push((self.now, from, id, status));
                }
                // The documents are fetched at once, and then in force here too.
                Action::NewRevisions(_, _, revisions) => self.adopt(from, &revisions),
            }
        }
    }

    /// Sends a packet.
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

/// Names a member.
#[must_use]
pub fn member_id(index: usize) -> String {
    format!("entry-{index:03}")
}

/// Returns the record of a member as the list has it.
#[must_use]
pub fn record(index: usize, domains: usize) -> Record {
    let domain = format!("region-a-{}", index % domains);
    Record::from_list(&member_id(index), address(index), &domain)
}

/// Returns the address of a member.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16))
}
