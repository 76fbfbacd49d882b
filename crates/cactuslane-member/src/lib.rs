//! Membership of entry instances and the gossip of document revisions between them.
//!
//! [`Membership`] is a failure detector with gossip, after SWIM: each period it pings one member,
//! asks other members to ping it if it does not answer, and piggybacks a few member records on
//! every packet. It does no I/O and reads no clock: the driver sends the packets that it returns,
//! and passes it the received packets and the time, in milliseconds of this instance's clock.

pub mod addresses;
pub mod message;
mod probing;
pub mod record;
pub mod store_access;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactuslane_types::{DomainName, Incarnation, InstanceId, Millis};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use message::{DemandRecord, Message, Packet, WorkRecord};
pub use record::{Record, Revisions, Status};

use probing::Probe;

/// Least number of packets that carry a member's record after its incarnation has grown, that is
/// after a restart or after the first record of a member known only from the instance list.
const NEW_INCARNATION_SENDS: u32 = 4;

/// Number of random members that get an urgent ping: several, so that a few lost datagrams do not
/// delay an update.
const PING_FANOUT: usize = 4;

/// The membership as seen by one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    /// This instance's record, which is the first on every packet with records.
    own: Record,
    /// Periods, timeouts and bounds of the failure detector.
    params: MemberParams,
    /// The other members, gone ones included until their retention ends.
    members: BTreeMap<InstanceId, Member>,
    /// The members still to be pinged in this round, in random order; the last is the next.
    probe_order: Vec<InstanceId>,
    /// The probe of this period, until it is acknowledged or its deadline passes.
    probe: Option<Probe>,
    /// Pings sent on behalf of other members, by this instance's sequence number: the address of
    /// the asking member, the sequence number of its request, and the time of expiry.
    relays: BTreeMap<u64, (SocketAddr, u64, Millis)>,
    /// The start of the next period.
    next_period: Millis,
    /// The earliest time of the next urgent pings while this instance is joining.
    next_join: Millis,
    /// The sequence number of the last packet built.
    sequence: u64,
    /// Whether the next tick sends urgent pings, because this instance has refuted a record.
    refutation_pending: bool,
    /// The random generator that chooses members, seeded by the driver.
    random: Pcg64Mcg,
}

/// Parameters of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberParams {
    /// Time between two probes, in milliseconds.
    pub period: Millis,
    /// Time without an acknowledgement after which other members are asked to ping the probed one,
    /// in milliseconds. Also the time between urgent pings of a joining instance.
    pub ping_timeout: Millis,
    /// Number of members that are asked to ping an unresponsive member.
    pub indirect_probes: usize,
    /// Time after which a suspected member that has not refuted counts as gone, in milliseconds.
    pub suspicion_timeout: Millis,
    /// Time for which the record of a gone member is kept, in milliseconds.
    pub gone_retention: Millis,
    /// Largest number of records on a packet, the sender's own included.
    pub max_records: usize,
}

/// The state of another member.
#[derive(Clone, Debug)]
struct Member {
    /// The newest record known.
    record: Record,
    /// When this instance last changed the status, or added the member.
    changed: Millis,
    /// Number of further packets that carry the record with priority.
    sends_left: u32,
}

/// A request of the membership to its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a packet to an address.
    Send(SocketAddr, Packet),
    /// A member holds newer documents than was known of it, or is new; its address serves them.
    NewRevisions(InstanceId, SocketAddr, Revisions),
    /// The status of a member has changed in this instance's view, or the member is new.
    StatusChanged(InstanceId, Status),
}

impl Default for MemberParams {
    fn default() -> Self {
        Self {
            period: 1_000,
            ping_timeout: 300,
            indirect_probes: 3,
            suspicion_timeout: 6_000,
            gone_retention: 600_000,
            max_records: 8,
        }
    }
}

impl Membership {
    /// Creates the membership of an instance that knows no other member.
    #[must_use]
    pub fn new(own: Record, params: MemberParams, seed: u64) -> Self {
        Self {
            own,
            params,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            next_period: 0,
            next_join: 0,
            sequence: 0,
            refutation_pending: false,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Adds a member from the instance list, unless it is known already.
    pub fn add_listed(&mut self, id: &str, address: SocketAddr, domain: &DomainName, now: Millis) {
        if id == self.own.id || self.members.contains_key(id) {
            return;
        }
        let record = Record::from_list(id, address, domain);
        let member = Member {
            record,
            changed: now,
            sends_left: 0,
        };
        self.members.insert(id.to_owned(), member);
    }

    /// Sets the document revisions in this instance's record, which later packets carry.
    pub fn set_revisions(&mut self, revisions: Revisions) {
        if self.own.revisions == revisions {
            return;
        }
        self.own.revisions = revisions;
    }

    /// Marks this instance as leaving in its record, which later packets carry.
    pub fn leave(&mut self) {
        self.own.status = Status::Leaving;
        self.own.status_version += 1;
    }

    /// Returns pings to a few random members, which carry new records before the next period.
    pub fn urgent_pings(&mut self) -> Vec<Action> {
        let ids = self.random_members(PING_FANOUT, "");
        ids.iter().filter_map(|id| self.ping(id)).collect()
    }

    /// Advances timers to the time: sends probes and urgent pings, and expires members.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if std::mem::take(&mut self.refutation_pending) {
            actions.extend(self.urgent_pings());
        }
        self.check_probe(now, &mut actions);
        self.expire_members(now, &mut actions);
        if now >= self.next_join && self.is_joining() {
            self.next_join = now + self.params.ping_timeout;
            actions.extend(self.urgent_pings());
        }
        if now >= self.next_period {
            self.next_period = now + self.params.period;
            self.start_probe(now, &mut actions);
        }
        actions
    }

    /// Handles a packet, whose authenticity the driver has verified and which is no replay.
    pub fn receive(&mut self, from: SocketAddr, packet: &Packet, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        for record in &packet.records {
            self.merge(record, now, &mut actions);
        }
        match &packet.message {
            Message::Ping => {
                let answer = self.packet(Message::Ack(packet.sequence), Some(&packet.from));
                actions.push(Action::Send(from, answer));
            }
            Message::Ack(sequence) => self.handle_ack(*sequence, &packet.from, &mut actions),
            Message::PingRequest(id) => self.relay(from, packet.sequence, id, now, &mut actions),
            Message::Demands(_) | Message::Work(_) => {}
        }
        actions
    }

    /// Builds a packet without member records.
    pub fn packet_without_records(&mut self, message: Message) -> Packet {
        self.sequence += 1;
        Packet {
            from: self.own.id.clone(),
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            message,
            records: Vec::new(),
        }
    }

    /// Builds a packet with this instance's record and up to `max_records - 1` others.
    ///
    /// `to` is the recipient, if it is known; its own record is included if it is not alive.
    pub fn packet(&mut self, message: Message, to: Option<&InstanceId>) -> Packet {
        let records = self.choose_records(to);
        Packet {
            records,
            ..self.packet_without_records(message)
        }
    }
}

/// Access to the records.
impl Membership {
    /// Returns this instance's own record.
    #[must_use]
    pub fn own_record(&self) -> &Record {
        &self.own
    }

    /// Returns the records of all members, this instance's first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own).chain(self.members.values().map(|member| &member.record))
    }

    /// Returns the records of reachable members, this instance's first.
    pub fn reachable(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.status.is_reachable())
    }

    /// Returns the record of a member or of this instance.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&Record> {
        if id == self.own.id {
            return Some(&self.own);
        }
        self.members.get(id).map(|member| &member.record)
    }
}

/// Merging, expiry and selection of records.
impl Membership {
    /// Merges a received record if it is newer than the known one; a gone member is not added.
    fn merge(&mut self, record: &Record, now: Millis, actions: &mut Vec<Action>) {
        if record.id == self.own.id {
            self.refute(record);
            return;
        }
        let sends_left = self.sends_per_change();
        let Some(member) = self.members.get_mut(&record.id) else {
            if record.status == Status::Gone {
                return;
            }
            let member = Member {
                record: record.clone(),
                changed: now,
                sends_left,
            };
            self.members.insert(record.id.clone(), member);
            actions.push(Action::StatusChanged(record.id.clone(), record.status));
            push_new_revisions(record, actions);
            return;
        };
        let old = member.record.clone();
        if !member.record.merge(record) {
            return;
        }
        // A change of revisions alone gives the record no priority: every instance learns the
        // revisions of a member from that member's own packets.
        if old.incarnation != member.record.incarnation {
            member.sends_left = member.sends_left.max(NEW_INCARNATION_SENDS);
        }
        if old.status != member.record.status {
            member.sends_left = sends_left;
            member.changed = now;
            actions.push(Action::StatusChanged(
                record.id.clone(),
                member.record.status,
            ));
        }
        if member.record.revisions.is_newer_than(&old.revisions) {
            push_new_revisions(&member.record, actions);
        }
    }

    /// Refutes a record of this incarnation that gives this instance another status, unless its own
    /// status version is higher.
    fn refute(&mut self, record: &Record) {
        let same = record.incarnation == self.own.incarnation;
        if same
            && record.status_version >= self.own.status_version
            && record.status != self.own.status
        {
            self.own.status_version = record.status_version + 1;
            self.refutation_pending = true;
        }
    }

    /// Marks a member as suspect after an unanswered probe.
    fn suspect(&mut self, id: &str, now: Millis, actions: &mut Vec<Action>) {
        let sends_left = self.sends_per_change();
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if !matches!(member.record.status, Status::Alive | Status::Leaving) {
            return;
        }
        member.record.status = Status::Suspect;
        member.changed = now;
        member.sends_left = sends_left;
        actions.push(Action::StatusChanged(id.to_owned(), Status::Suspect));
        // The ping carries the suspect's record, so that it can refute before the timeout.
        actions.extend(self.ping(id));
    }

    /// Marks members as gone after the suspicion timeout, and removes gone ones after retention.
    fn expire_members(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let sends_left = self.sends_per_change();
        let params = self.params;
        for (id, member) in &mut self.members {
            let age = now.saturating_sub(member.changed);
            if member.record.status == Status::Suspect && age >= params.suspicion_timeout {
                member.record.status = Status::Gone;
                member.changed = now;
                member.sends_left = sends_left;
                actions.push(Action::StatusChanged(id.clone(), Status::Gone));
            }
        }
        self.members.retain(|_, member| {
            let age = now.saturating_sub(member.changed);
            member.record.status != Status::Gone || age < params.gone_retention
        });
    }

    /// Chooses the records of a packet: the own one, those with the most sends left, the
    /// recipient's unless it is alive, then random ones.
    fn choose_records(&mut self, to: Option<&InstanceId>) -> Vec<Record> {
        let mut records = vec![self.own.clone()];
        let mut pending: Vec<(u32, InstanceId)> = Vec::new();
        for (id, member) in &self.members {
            if member.sends_left > 0 && Some(id) != to {
                pending.push((member.sends_left, id.clone()));
            }
        }
        pending.sort_unstable();
        pending.reverse();
        // One place besides the own record stays free, for the recipient's record or a random one:
        // random records make up for updates on lost packets.
        pending.truncate(self.params.max_records.saturating_sub(2));
        for (_, id) in pending {
            let Some(member) = self.members.get_mut(&id) else {
                continue;
            };
            member.sends_left -= 1;
            records.push(member.record.clone());
        }
        // The recipient gets its own record if it is not alive, so that it can refute a suspicion.
        if let Some(member) = to.and_then(|to| self.members.get(to))
            && member.record.status != Status::Alive
        {
            records.push(member.record.clone());
        }
        let room = self.params.max_records.saturating_sub(records.len());
        for id in self.random_members(room, "") {
            if records.iter().all(|record| record.id != id) {
                records.push(self.members[&id].record.clone());
            }
        }
        records
    }

    /// Returns the number of packets that carry a record after a change of status. It grows with
    /// the logarithm of the member count: three times the bit length of (number of others + 2).
    fn sends_per_change(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        3 * (u32::BITS - members.leading_zeros())
    }
}

/// Adds the action for a member that holds newer documents.
fn push_new_revisions(record: &Record, actions: &mut Vec<Action>) {
    let action = Action::NewRevisions(record.id.clone(), record.gossip, record.revisions);
    actions.push(action);
}

/// Returns the incarnation of a process that starts at a wall-clock time, in milliseconds: the
/// time itself, so that a restart has a higher one unless the wall clock went back.
#[must_use]
pub fn incarnation_at(wall: Millis) -> Incarnation {
    wall
}
