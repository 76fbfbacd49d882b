//! Packets between members.

use cactuslane_types::{CallerId, Incarnation, InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::record::Record;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Numbers the sender's packets within the incarnation.
    pub sequence: u64,
    /// What the packet asks or answers.
    pub message: Message,
    /// Holds member records, the sender's own first.
    pub records: Vec<Record>,
}

/// What a packet asks or answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an acknowledgement.
    Ping,
    /// Acknowledges the packet with a sequence number.
    Ack(u64),
    /// Asks to ping a member and to pass its acknowledgement on.
    PingFor(InstanceId),
    /// Carries the demand of callers at the sender.
    Demands(Vec<DemandRecord>),
    /// Carries what the sender has in progress at targets, where that has changed.
    Shares(Vec<ShareRecord>),
}

/// The work that one instance has in progress at one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// The target.
    pub target: TargetId,
    /// The number of prompt tokens of requests without a first token.
    pub queued: u32,
    /// The number of streams that generate.
    pub running: u32,
    /// The number of tokens in the contexts of all its streams.
    pub context: u32,
    /// The number of pieces of memory reserved for them.
    pub blocks: u32,
}

/// The demand of one caller at one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// The caller.
    pub caller: CallerId,
    /// The rate of requests a second.
    pub requests: f32,
    /// The rate of tokens a second.
    pub tokens: f32,
    /// The number of requests in progress.
    pub running: u32,
}
