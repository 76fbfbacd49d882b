//! Pings, and what their answers or their absence say of a member.

use std::net::SocketAddr;

use cactuslane_types::{InstanceId, Millis};
use rand::Rng;

use super::{Action, Membership};
use crate::message::Message;
use crate::record::Status;

/// A ping that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    /// The member.
    target: InstanceId,
    /// The sequence number of the ping.
    sequence: u64,
    /// When others are asked.
    ask_at: Millis,
    /// Holds the sequence numbers of the questions to others.
    asked: Vec<u64>,
    /// When the member is suspected.
    until: Millis,
}

impl Membership {
    /// Returns whether others are listed and no record of any of them has been heard.
    ///
    /// Until then this instance cannot name another to callers, as the list holds no serving
    /// addresses.
    pub(super) fn is_joining(&self) -> bool {
        let mut members = self.members.values().peekable();
        members.peek().is_some() && members.all(|member| member.record.serving.port() == 0)
    }

    /// Pings the next member of the round.
    pub(super) fn start_probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(action) = self.ping(&target) else {
            return;
        };
        actions.push(action);
        self.probe = Some(Probe {
            target,
            sequence: self.sequence,
            ask_at: now + self.params.direct_wait,
            asked: Vec::new(),
            until: now + self.params.period.saturating_sub(1),
        });
    }

    /// Asks others about a silent member, then suspects it.
    pub(super) fn check_probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        if now >= probe.until {
            self.probe = None;
            self.suspect(&probe.target, now, actions);
            return;
        }
        if now < probe.ask_at || !probe.asked.is_empty() {
            return;
        }
        for helper in self.pick(self.params.helpers, &probe.target) {
            let Some(address) = self.members.get(&helper).map(|m| m.record.gossip) else {
                continue;
            };
            let packet = self.packet(Message::PingFor(probe.target.clone()), Some(&helper));
            if let Some(probe) = &mut self.probe {
                probe.asked.push(packet.sequence);
            }
            actions.push(Action::Send(address, packet));
        }
    }

    /// Ends the probe that an acknowledgement answers, or passes it on.
    pub(super) fn acknowledged(
        &mut self,
        sequence: u64,
        from: &InstanceId,
        actions: &mut Vec<Action>,
    ) {
        if let Some((asker, theirs, _)) = self.relays.remove(&sequence) {
            let packet = self.packet(Message::Ack(theirs), None);
            actions.push(Action::Send(asker, packet));
            return;
        }
        let answered = self.probe.as_ref().is_some_and(|probe| {
            let direct = probe.sequence == sequence && probe.target == *from;
            direct || probe.asked.contains(&sequence)
        });
        if answered {
            self.probe = None;
        }
    }

    /// Pings a member for another one.
    pub(super) fn relay(
        &mut self,
        asker: SocketAddr,
        theirs: u64,
        id: &InstanceId,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(action) = self.ping(id) else { return };
        self.relays.retain(|_, (_, _, until)| *until > now);
        self.relays
            .insert(self.sequence, (asker, theirs, now + self.params.period));
        actions.push(action);
    }

    /// Builds a ping for a member.
    pub(super) fn ping(&mut self, id: &str) -> Option<Action> {
        let member = self.members.get(id)?;
        let address = member.record.gossip;
        let id = id.to_owned();
        let packet = self.packet(Message::Ping, Some(&id));
        Some(Action::Send(address, packet))
    }

    /// Returns the next member to ping, in rounds of random order.
    fn next_target(&mut self) -> Option<InstanceId> {
        while let Some(id) = self.round.pop() {
            let known = self.members.get(&id);
            if known.is_some_and(|member| member.record.status != Status::Gone) {
                return Some(id);
            }
        }
        let mut round: Vec<InstanceId> = Vec::new();
        for (id, member) in &self.members {
            if member.record.status != Status::Gone {
                round.push(id.clone());
            }
        }
        for index in (1..round.len()).rev() {
            round.swap(index, self.random.random_range(0..=index));
        }
        self.round = round;
        self.round.pop()
    }

    /// Returns some random members that are not gone, other than one.
    pub(super) fn pick(&mut self, count: usize, except: &str) -> Vec<InstanceId> {
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
