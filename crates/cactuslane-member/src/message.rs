//! Packets between members, encoded with postcard.

use cactuslane_types::{CallerId, Incarnation, InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::record::Record;

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sending instance.
    pub from: InstanceId,
    /// The sender's incarnation; a higher one restarts the sequence.
    pub incarnation: Incarnation,
    /// The number of the packet among those that the sender built in this incarnation.
    pub sequence: u64,
    /// The request, answer or report.
    pub message: Message,
    /// Member records, the sender's own first; empty on packets without gossip.
    pub records: Vec<Record>,
}

/// The message of a packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an acknowledgement.
    Ping,
    /// Acknowledges the ping or ping request with this sequence number.
    Ack(u64),
    /// Requests a ping of this member; its acknowledgement is relayed to the sender.
    PingRequest(InstanceId),
    /// Reports the demand of callers at the sender.
    Demands(Vec<DemandRecord>),
    /// Reports the sender's work in progress at targets: where it has changed, or at regular
    /// intervals at all targets with work; empty as a heartbeat.
    Work(Vec<WorkRecord>),
}

/// The work that one instance has in progress at one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRecord {
    /// The target that does the work.
    pub target: TargetId,
    /// Number of prompt tokens to compute of requests that await their first token.
    pub queued: u32,
    /// Number of generating streams, which have had their first token.
    pub running: u32,
    /// Number of prompt tokens of the requests that generate at the target.
    pub context: u32,
    /// Number of KV blocks reserved for all requests.
    pub blocks: u32,
}

/// The demand of one caller at one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// The caller, as the configuration names it.
    pub caller: CallerId,
    /// Requests per second that asked for admission, refused ones included.
    pub requests: f32,
    /// Tokens per second of these requests, their full output limits included.
    pub tokens: f32,
    /// Number of admitted requests in progress.
    pub running: u32,
}
