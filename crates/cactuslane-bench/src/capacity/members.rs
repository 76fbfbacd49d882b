//! Membership over a modelled network, with real packets and real time for their processing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuslane_member::{Action, MemberParams, Membership, Packet, Record, Revisions, Status};
use cactuslane_wire::{Key, Purpose};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Point, Series, micros};

/// Numbers of members that are measured.
const SIZES: [usize; 4] = [7, 50, 150, 330];
/// Number of failure domains.
const DOMAINS: usize = 16;
/// Time before a measurement begins, in milliseconds.
const WARM_UP: u64 = 15_000;
/// Time of a measurement, in milliseconds.
const TIME: u64 = 30_000;
/// Time between two looks at the failure detector, in milliseconds.
const TICK: u64 = 100;
/// Bytes of the headers of UDP and IP.
const HEADERS: usize = 28;
/// Share of packets that are lost.
const LOSS: f64 = 0.01;

/// Is a network of members.
struct Network {
    /// Is the time, in milliseconds.
    now: u64,
    /// Holds the members.
    members: Vec<Membership>,
    /// Is the member that is dead, if one is.
    dead: Option<usize>,
    /// Holds sealed packets on their way.
    sent: BTreeMap<u64, (usize, usize, Vec<u8>)>,
    /// Holds the times at which they arrive.
    arrivals: BinaryHeap<Reverse<(u64, u64)>>,
    /// Is the number of packets so far.
    order: u64,
    /// Is the number of bytes sent.
    bytes: u64,
    /// Is the time that was spent on processing.
    spent: Duration,
    /// Is the number of times that a member which works was suspected.
    false_suspicions: u64,
    /// Is the key of all.
    key: Key,
    /// Is the source of randomness.
    random: Pcg64Mcg,
}

/// Measures membership at all sizes.
#[must_use]
pub fn measure() -> Vec<Series> {
    let mut bytes = series("membership: bytes a second a node, headers included");
    let mut time = series("membership: microseconds of a core a second a node");
    let mut memory = series("membership: bytes of records a node");
    let mut spread = series("membership: milliseconds until a revision is held by all");
    let mut notice = series("membership: milliseconds until all count a dead member as gone");
    let mut suspicions = series("membership: false suspicions a node an hour at 1% loss");
    for size in SIZES {
        let mut network = Network::new(size, 1);
        network.run(WARM_UP);
        network.bytes = 0;
        network.spent = Duration::ZERO;
        network.false_suspicions = 0;
        network.run(TIME);
        let seconds = TIME as f64 / 1000.0;
        let per_node = |value: f64| value / seconds / size as f64;
        push(&mut bytes, size, per_node(network.bytes as f64));
        push(&mut time, size, per_node(micros(network.spent)));
        push(
            &mut suspicions,
            size,
            per_node(network.false_suspicions as f64) * 3600.0,
        );
        let record = postcard_size(&network.members[0]);
        push(&mut memory, size, record * size as f64);
        push(&mut spread, size, network.time_to_spread());
        push(&mut notice, size, network.time_to_notice());
    }
    vec![bytes, time, memory, spread, notice, suspicions]
}

/// Returns the bytes that a record takes in memory, strings and map included.
fn postcard_size(member: &Membership) -> f64 {
    /// Bytes of a node of the map for each record.
    const OVERHEAD: usize = 64;
    let record = member.me();
    let strings = record.id.len() * 2 + record.domain.len();
    (std::mem::size_of::<Record>() + strings + OVERHEAD) as f64
}

/// Creates an empty series over members.
fn series(name: &'static str) -> Series {
    Series {
        name,
        over: "members",
        points: Vec::new(),
    }
}

/// Adds a point.
fn push(series: &mut Series, size: usize, value: f64) {
    series.points.push(Point { size, value });
}

impl Network {
    /// Creates a network in which all know of all from the list.
    fn new(count: usize, seed: u64) -> Self {
        let records: Vec<Record> = (0..count).map(record).collect();
        let mut members = Vec::new();
        for (index, own) in records.iter().enumerate() {
            let mut own = own.clone();
            own.incarnation = 1;
            own.serving = own.gossip;
            let params = MemberParams::default();
            let mut member = Membership::new(own, params, seed * 1_000 + index as u64);
            for other in &records {
                member.introduce(&other.id, other.gossip, &other.domain, 0);
            }
            members.push(member);
        }
        Self {
            now: 0,
            members,
            dead: None,
            sent: BTreeMap::new(),
            arrivals: BinaryHeap::new(),
            order: 0,
            bytes: 0,
            spent: Duration::ZERO,
            false_suspicions: 0,
            key: Key::new("the key of a measurement"),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Lets time pass.
    fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.arrive();
            for index in 0..self.members.len() {
                if self.dead == Some(index) {
                    continue;
                }
                let started = Instant::now();
                let actions = self.members[index].tick(self.now + index as u64 % TICK);
                self.spent += started.elapsed();
                self.perform(index, actions);
            }
        }
    }

    /// Delivers the packets that have arrived.
    fn arrive(&mut self) {
        while let Some(Reverse((at, order))) = self.arrivals.peek().copied() {
            if at > self.now {
                return;
            }
            self.arrivals.pop();
            let Some((from, to, sealed)) = self.sent.remove(&order) else {
                continue;
            };
            if self.dead == Some(to) {
                continue;
            }
            let started = Instant::now();
            let packet: Result<Packet, _> = self.key.open(Purpose::Gossip, &sealed);
            let Ok(packet) = packet else { continue };
            let actions = self.members[to].receive(address(from), &packet, self.now);
            self.spent += started.elapsed();
            self.perform(to, actions);
        }
    }

    /// Does what a member asks for.
    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, packet) => self.send(from, to, &packet),
                Action::Changed(id, Status::Suspect) => {
                    let dead = self.dead.map(name);
                    self.false_suspicions += u64::from(dead != Some(id));
                }
                Action::News(_, _, revisions) => self.adopt(from, &revisions),
                Action::Changed(..) => {}
            }
        }
    }

    /// Sends a packet.
    fn send(&mut self, from: usize, to: SocketAddr, packet: &Packet) {
        let started = Instant::now();
        let sealed = self.key.seal(Purpose::Gossip, packet);
        self.spent += started.elapsed();
        self.bytes += (sealed.len() + HEADERS) as u64;
        if self.random.random_bool(LOSS) {
            return;
        }
        self.order += 1;
        let delay = self.random.random_range(1..80);
        let to = to.port() as usize - 7_000;
        self.sent.insert(self.order, (from, to, sealed));
        self.arrivals.push(Reverse((self.now + delay, self.order)));
    }

    /// Holds what a member was told of and tells it on.
    fn adopt(&mut self, index: usize, revisions: &Revisions) {
        let newest = self.members[index].me().revisions.max(revisions);
        if newest != self.members[index].me().revisions {
            self.members[index].set_revisions(newest);
            let actions = self.members[index].urgent();
            self.perform(index, actions);
        }
    }

    /// Returns the time until a new revision of one member is held by all, in milliseconds.
    fn time_to_spread(&mut self) -> f64 {
        let started = self.now;
        self.adopt(0, &Revisions { config: 9, plan: 9 });
        while self
            .members
            .iter()
            .any(|member| member.me().revisions.config < 9)
        {
            self.run(TICK);
        }
        (self.now - started) as f64
    }

    /// Returns the time until all count a member that dies as gone, in milliseconds.
    fn time_to_notice(&mut self) -> f64 {
        let started = self.now;
        self.dead = Some(1);
        let id = name(1);
        let seen = |member: &Membership| {
            member
                .record(&id)
                .is_none_or(|record| record.status == Status::Gone)
        };
        loop {
            self.run(TICK);
            let mut others = self
                .members
                .iter()
                .enumerate()
                .filter(|(index, _)| *index != 1);
            if others.all(|(_, member)| seen(member)) {
                return (self.now - started) as f64;
            }
        }
    }
}

/// Names a member.
fn name(index: usize) -> String {
    format!("entry-{index:03}")
}

/// Returns the address of a member.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16))
}

/// Returns the record of a member as the list has it.
fn record(index: usize) -> Record {
    let domain = format!("region-a-{}", index % DOMAINS);
    Record::introduced(&name(index), address(index), &domain)
}
