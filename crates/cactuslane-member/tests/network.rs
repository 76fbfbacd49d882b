//! Membership over a modelled network that loses, delays and cuts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use cactuslane_member::{Action, MemberParams, Membership, Packet, Record, Revisions, Status};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Time between two looks at the failure detector, in milliseconds.
const TICK: u64 = 100;

/// Is a network of members.
struct Network {
    /// Is the time, in milliseconds.
    now: u64,
    /// Holds the members.
    members: Vec<Membership>,
    /// Holds the members that are paused.
    paused: BTreeSet<usize>,
    /// Holds pairs that do not reach each other.
    cut: BTreeSet<(usize, usize)>,
    /// Is the share of packets that are lost.
    loss: f64,
    /// Holds packets on their way, by time and order.
    sent: BTreeMap<u64, (usize, usize, Packet)>,
    /// Holds the times at which they arrive.
    arrivals: BinaryHeap<Reverse<(u64, u64)>>,
    /// Is the number of packets so far.
    order: u64,
    /// Holds each change of status that a member saw of another.
    changes: Vec<(u64, usize, String, Status)>,
    /// Is the source of randomness.
    random: Pcg64Mcg,
}

impl Network {
    /// Creates a network in which all know of all from the list.
    fn new(count: usize, loss: f64, seed: u64) -> Self {
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
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss,
            sent: BTreeMap::new(),
            arrivals: BinaryHeap::new(),
            order: 0,
            changes: Vec::new(),
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
                // Instances look at different moments.
                if self.paused.contains(&index) {
                    continue;
                }
                let actions = self.members[index].tick(self.now + index as u64 % TICK);
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
            let Some((from, to, packet)) = self.sent.remove(&order) else {
                continue;
            };
            if self.paused.contains(&to) {
                continue;
            }
            let actions = self.members[to].receive(address(from), &packet, self.now);
            self.perform(to, actions);
        }
    }

    /// Does what a member asks for.
    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, packet) => {
                    let to = to.port() as usize - 7_000;
                    if self.cut.contains(&(from, to)) || self.random.random_bool(self.loss) {
                        continue;
                    }
                    self.order += 1;
                    let delay = self.random.random_range(1..5);
                    self.sent.insert(self.order, (from, to, packet));
                    self.arrivals.push(Reverse((self.now + delay, self.order)));
                }
                Action::Changed(id, status) => {
                    self.changes.push((self.now, from, id, status));
                }
                Action::News(_, _, revisions) => {
                    // The documents are fetched at once, and then in force here too.
                    let newest = self.members[from].me().revisions.max(&revisions);
                    if newest != self.members[from].me().revisions {
                        self.members[from].set_revisions(newest);
                        let actions = self.members[from].urgent();
                        self.perform(from, actions);
                    }
                }
            }
        }
    }

    /// Returns how many members see another in a status.
    fn seeing(&self, index: usize, status: Status) -> usize {
        let id = name(index);
        let sees = |member: &&Membership| member.record(&id).is_some_and(|r| r.status == status);
        self.members.iter().filter(sees).count()
    }
}

/// Names a member.
fn name(index: usize) -> String {
    format!("entry-{index}")
}

/// Returns the address of a member.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16))
}

/// Returns the record of a member as the list has it.
fn record(index: usize) -> Record {
    Record::introduced(
        &name(index),
        address(index),
        &format!("domain-{}", index % 3),
    )
}

/// A member that dies counts as gone everywhere within the stated time.
#[parameterized(
    seven = { 7, 0.0 },
    seven_lossy = { 7, 0.05 },
    fifty = { 50, 0.0 },
    fifty_lossy = { 50, 0.05 },
)]
fn a_dead_member_is_noticed(count: usize, loss: f64) {
    /// Time in which everybody must have noticed, in milliseconds.
    const LIMIT: u64 = 25_000;
    for seed in 0..5 {
        let mut network = Network::new(count, loss, seed);
        network.run(10_000);
        network.paused.insert(0);
        network.run(LIMIT);
        assert_eq!(network.seeing(0, Status::Gone), count - 1, "seed {seed}");
    }
}

/// Nobody who works counts as gone, however many packets are lost within reason.
#[parameterized(
    quiet = { 20, 0.0 },
    lossy = { 20, 0.1 },
)]
fn a_working_member_never_counts_as_gone(count: usize, loss: f64) {
    for seed in 0..5 {
        let mut network = Network::new(count, loss, seed);
        network.run(120_000);
        let gone = network
            .changes
            .iter()
            .filter(|(_, _, _, status)| *status == Status::Gone);
        assert_eq!(gone.count(), 0, "seed {seed}");
    }
}

/// A pause shorter than the suspicion leaves no trace, and a longer one is refuted on waking.
#[parameterized(
    short = { 2_000 },
    long = { 40_000 },
)]
fn a_member_comes_back_after_a_pause(pause: u64) {
    for seed in 0..5 {
        let mut network = Network::new(10, 0.02, seed);
        network.run(5_000);
        network.paused.insert(3);
        network.run(pause);
        network.paused.remove(&3);
        network.run(20_000);
        assert_eq!(network.seeing(3, Status::Alive), 10, "seed {seed}");
    }
}

/// A cut between two members alone makes neither of them gone: others pass their pings on.
#[test]
fn a_cut_between_two_harms_nobody() {
    for seed in 0..5 {
        let mut network = Network::new(7, 0.0, seed);
        network.cut.extend([(1, 2), (2, 1)]);
        network.run(60_000);
        let gone = network
            .changes
            .iter()
            .filter(|(_, _, _, status)| *status == Status::Gone);
        assert_eq!(gone.count(), 0, "seed {seed}");
    }
}

/// A new revision reaches everybody within the stated time, and never goes back.
#[parameterized(
    seven = { 7 },
    fifty = { 50 },
)]
fn a_revision_reaches_everybody(count: usize) {
    /// Time in which everybody must know, in milliseconds.
    const LIMIT: u64 = 10_000;
    for seed in 0..5 {
        let mut network = Network::new(count, 0.05, seed);
        network.run(5_000);
        network.members[0].set_revisions(Revisions { config: 9, plan: 4 });
        let actions = network.members[0].urgent();
        network.perform(0, actions);
        network.run(LIMIT);
        for member in &network.members {
            let held = member.me().revisions;
            assert_eq!(held, Revisions { config: 9, plan: 4 }, "seed {seed}");
        }
    }
}

/// A leaving member is seen as leaving everywhere, and not as gone while it works.
#[test]
fn a_leaving_member_is_seen() {
    let mut network = Network::new(7, 0.0, 1);
    network.run(5_000);
    network.members[2].leave();
    network.run(10_000);
    assert_eq!(network.seeing(2, Status::Leaving), 7);
}

/// A record of an earlier incarnation, beat or revision changes nothing.
#[parameterized(
    incarnation = { |r: &mut Record| r.incarnation = 4 },
    beat = { |r: &mut Record| r.beat = 1 },
    revision = { |r: &mut Record| r.revisions.config = 1 },
    same = { |_: &mut Record| {} },
)]
fn an_old_record_changes_nothing(age: fn(&mut Record)) {
    let mut known = record(1);
    known.incarnation = 5;
    known.beat = 2;
    known.status = Status::Suspect;
    known.revisions = Revisions { config: 3, plan: 3 };
    let mut old = known.clone();
    old.status = if old.beat == known.beat {
        Status::Alive
    } else {
        Status::Gone
    };
    age(&mut old);
    let before = known.clone();
    assert!(!known.merge(&old));
    assert_eq!(known, before);
}
