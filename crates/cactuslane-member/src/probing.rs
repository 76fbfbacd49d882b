//! Direct and indirect pings of members, and suspicion of a member that acknowledges none.

use std::net::SocketAddr;

use cactuslane_types::{InstanceId, Millis};
use rand::Rng;

use super::{Action, Membership};
use crate::message::Message;
use crate::record::Status;

/// A probe, that is a direct ping and later indirect ones, that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    /// The pinged member.
    member: InstanceId,
    /// The sequence number of the direct ping.
    sequence: u64,
    /// When other members are asked to ping it, unless it has acknowledged.
    indirect_at: Millis,
    /// The sequence numbers of the ping requests to other members.
    indirect_sequences: Vec<u64>,
    /// When the member is suspected, unless it has acknowledged.
    deadline: Millis,
}

impl Membership {
    /// Returns whether other members are listed but no record of any has been received.
    ///
    /// Until then this instance can give callers no address but its own, as the instance list has
    /// no addresses for callers.
    pub(super) fn is_joining(&self) -> bool {
        let mut members = self.members.values().peekable();
        members.peek().is_some() && members.all(|member| member.record.serving.port() == 0)
    }

    /// Pings the next member of the probe order and starts its timeouts.
    pub(super) fn start_probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(member) = self.next_probed_member() else {
            return;
        };
        let Some(action) = self.ping(&member) else {
            return;
        };
        actions.push(action);
        self.probe = Some(Probe {
            member,
            sequence: self.sequence,
            indirect_at: now + self.params.ping_timeout,
            indirect_sequences: Vec::new(),
            deadline: now + self.params.period.saturating_sub(1),
        });
    }

    /// Requests indirect pings after the ping timeout, and suspects the member after the deadline.
    pub(super) fn check_probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        if now >= probe.deadline {
            self.probe = None;
            self.suspect(&probe.member, now, actions);
            return;
        }
        if now < probe.indirect_at || !probe.indirect_sequences.is_empty() {
            return;
        }
        for helper in self.random_members(self.params.indirect_probes, &probe.member) {
            let Some(address) = self.members.get(&helper).map(|member| member.record.gossip) else {
                continue;
            };
            let packet = self.packet(Message::PingRequest(probe.member.clone()), Some(&helper));
            if let Some(probe) = &mut self.probe {
                probe.indirect_sequences.push(packet.sequence);
            }
            actions.push(Action::Send(address, packet));
        }
    }

    /// Ends the probe that is acknowledged, or relays the acknowledgement to the asking member.
    pub(super) fn handle_ack(
        &mut self,
        sequence: u64,
        from: &InstanceId,
        actions: &mut Vec<Action>,
    ) {
        if let Some((asker, asker_sequence, _)) = self.relays.remove(&sequence) {
            let packet = self.packet(Message::Ack(asker_sequence), None);
            actions.push(Action::Send(asker, packet));
            return;
        }
        let answered = self.probe.as_ref().is_some_and(|probe| {
            let direct = probe.sequence == sequence && probe.member == *from;
            direct || probe.indirect_sequences.contains(&sequence)
        });
        if answered {
            self.probe = None;
        }
    }

    /// Pings a member on behalf of another, and keeps for at least a period where to relay the
    /// acknowledgement.
    pub(super) fn relay(
        &mut self,
        asker: SocketAddr,
        asker_sequence: u64,
        id: &InstanceId,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(action) = self.ping(id) else { return };
        self.relays.retain(|_, (_, _, expires)| *expires > now);
        self.relays.insert(
            self.sequence,
            (asker, asker_sequence, now + self.params.period),
        );
        actions.push(action);
    }

    /// Builds a ping of a member; `None` if the member is unknown.
    pub(super) fn ping(&mut self, id: &str) -> Option<Action> {
        let member = self.members.get(id)?;
        let address = member.record.gossip;
        let id = id.to_owned();
        let packet = self.packet(Message::Ping, Some(&id));
        Some(Action::Send(address, packet))
    }

    /// Returns the next member to probe. Each round covers all members that are not gone, in a new
    /// random order.
    fn next_probed_member(&mut self) -> Option<InstanceId> {
        while let Some(id) = self.probe_order.pop() {
            let known = self.members.get(&id);
            if known.is_some_and(|member| member.record.status != Status::Gone) {
                return Some(id);
            }
        }
        let mut order: Vec<InstanceId> = Vec::new();
        for (id, member) in &self.members {
            if member.record.status != Status::Gone {
                order.push(id.clone());
            }
        }
        for index in (1..order.len()).rev() {
            order.swap(index, self.random.random_range(0..=index));
        }
        self.probe_order = order;
        self.probe_order.pop()
    }

    /// Returns up to `count` random members that are not gone, without `except`.
    pub(super) fn random_members(&mut self, count: usize, except: &str) -> Vec<InstanceId> {
        let mut ids: Vec<InstanceId> = Vec::new();
        for (id, member) in &self.members {
            if id != except && member.record.status != Status::Gone {
                ids.push(id.clone());
            }
        }
        let count = count.min(ids.len());
        for index in 0..count {
            let other = self.random.random_range(index..ids.len());
            ids.swap(index, other);
        }
        ids.truncate(count);
        ids
    }
}
