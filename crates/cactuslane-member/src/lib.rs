//! Membership of entry instances and the spreading of revisions between them.
//!
//! [`Membership`] is a failure detector with gossip in the manner of SWIM: each period it pings
//! one member, asks others to ping a silent one, and puts a few member records on every message.
//! It is pure: the driver sends what it returns and passes on what arrives.

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

/// Number of times that a new member's record is put on messages for others.
const NEW_INCARNATION_SENDS: u32 = 4;

/// Number of members that urgent news goes to, so that a few lost datagrams do not hold it up.
const PING_FANOUT: usize = 4;

/// The membership as one instance sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    /// This instance's own record.
    own: Record,
    /// Holds the parameters.
    params: MemberParams,
    /// Holds the other members.
    members: BTreeMap<InstanceId, Member>,
    /// The order in which members are pinged.
    probe_order: Vec<InstanceId>,
    /// The ping that waits for its answer.
    probe: Option<Probe>,
    /// Holds pings sent for others: our sequence, who asked, and under which sequence.
    relays: BTreeMap<u64, (SocketAddr, u64, Millis)>,
    /// The time of the next period.
    next_period: Millis,
    /// The earliest time to ask for the records of others again.
    next_join: Millis,
    /// The last sequence number.
    sequence: u64,
    /// Says whether this instance refuted a suspicion and has not yet sent that to others.
    refutation_pending: bool,
    /// The source of randomness.
    random: Pcg64Mcg,
}

/// Holds the parameters of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberParams {
    /// The length of a period, in milliseconds.
    pub period: Millis,
    /// The time after which others are asked to ping a silent member, in milliseconds.
    pub ping_timeout: Millis,
    /// The number of members that are asked.
    pub indirect_probes: usize,
    /// The time after which a suspected member counts as gone, in milliseconds.
    pub suspicion_timeout: Millis,
    /// The time for which a gone member is remembered, in milliseconds.
    pub gone_retention: Millis,
    /// The number of records on a message at most.
    pub max_records: usize,
}

/// Another member.
#[derive(Clone, Debug)]
struct Member {
    /// Its record.
    record: Record,
    /// When its status last changed here.
    changed: Millis,
    /// How often its record is still put on messages.
    sends_left: u32,
}

/// What the driver does for the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a packet.
    Send(SocketAddr, Packet),
    /// A member has newer documents than before.
    NewRevisions(InstanceId, SocketAddr, Revisions),
    /// A member's status changed.
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
    /// Creates the membership of an instance that knows nobody yet.
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

    /// Adds a member that the instance list names, if it is not known.
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

    /// Sets the revisions that this instance holds, and spreads them.
    pub fn set_revisions(&mut self, revisions: Revisions) {
        if self.own.revisions == revisions {
            return;
        }
        self.own.revisions = revisions;
    }

    /// Marks this instance as leaving, and spreads it.
    pub fn leave(&mut self) {
        self.own.status = Status::Leaving;
        self.own.status_version += 1;
    }

    /// Returns packets that carry the newest records at once, to some members.
    pub fn urgent_pings(&mut self) -> Vec<Action> {
        let ids = self.random_members(PING_FANOUT, "");
        ids.iter().filter_map(|id| self.ping(id)).collect()
    }

    /// Does what the time calls for.
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

    /// Takes in a packet; the driver has verified its authenticity and freshness.
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

    /// Builds a packet with the records that are most worth spreading.
    pub fn packet(&mut self, message: Message, to: Option<&InstanceId>) -> Packet {
        let records = self.choose_records(to);
        Packet {
            records,
            ..self.packet_without_records(message)
        }
    }
}

/// Readings.
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

    /// Returns the records of the members that work, this instance's first.
    pub fn reachable(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.status.is_reachable())
    }

    /// Returns the record of a member.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&Record> {
        if id == self.own.id {
            return Some(&self.own);
        }
        self.members.get(id).map(|member| &member.record)
    }
}

/// Records.
impl Membership {
    /// Takes in one record if it is newer than what is known.
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
        // Everybody learns a revision from its holder; only news of a status is spread for others.
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

    /// Answers a record that says something worse of this instance than its own.
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

    /// Suspects a member that gave no sign of life.
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
        // The suspect hears of it at once, so that it can refute in time.
        actions.extend(self.ping(id));
    }

    /// Turns members that were suspected for long into gone ones, and forgets old ones.
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

    /// Chooses records for a message: the own, the newest, then random ones.
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
        // A few places are left for random records, which mend what was lost.
        pending.truncate(self.params.max_records.saturating_sub(2));
        for (_, id) in pending {
            let Some(member) = self.members.get_mut(&id) else {
                continue;
            };
            member.sends_left -= 1;
            records.push(member.record.clone());
        }
        // A member that is suspected hears of it, so that it can refute.
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

    /// Returns how often a new record is put on messages.
    fn sends_per_change(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        3 * (u32::BITS - members.leading_zeros())
    }
}

/// Reports that a member holds newer documents.
fn push_new_revisions(record: &Record, actions: &mut Vec<Action>) {
    let action = Action::NewRevisions(record.id.clone(), record.gossip, record.revisions);
    actions.push(action);
}

/// Returns the incarnation of a process that starts at a wall-clock time.
#[must_use]
pub fn incarnation_at(wall: Millis) -> Incarnation {
    wall
}
