//! Packets between members.

use cactuslane_types::{CallerId, Incarnation, InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::record::Record;

/// Is one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Is the sender.
    pub from: InstanceId,
    /// Is the sender's incarnation.
    pub incarnation: Incarnation,
    /// Numbers the sender's packets within the incarnation.
    pub sequence: u64,
    /// Is what the packet asks or answers.
    pub message: Message,
    /// Holds member records, the sender's own first.
    pub records: Vec<Record>,
}

/// Is what a packet asks or answers.
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

/// Is the work that one instance has in progress at one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// Is the target.
    pub target: TargetId,
    /// Is the number of prompt tokens of requests without a first token.
    pub queued: u32,
    /// Is the number of streams that generate.
    pub running: u32,
    /// Is the number of tokens in the contexts of all its streams.
    pub context: u32,
    /// Is the number of pieces of memory reserved for them.
    pub pieces: u32,
}

/// Is the demand of one caller at one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// Is the caller.
    pub caller: CallerId,
    /// Is the rate of requests a second.
    pub requests: f32,
    /// Is the rate of tokens a second.
    pub tokens: f32,
    /// Is the number of requests in progress.
    pub running: u32,
}
