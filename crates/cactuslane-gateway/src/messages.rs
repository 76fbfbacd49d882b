//! Messages between instances, and the forms in which builds of this program write and read them.
//!
//! The first byte of a message tells its form. Below [`LATER_FORM`] it is the kind of a message of
//! the first form, which every build reads: postcard follows, and a build skips what a later one
//! appends to a message, and kinds that it does not know. From [`LATER_FORM`] on it names a later
//! form, of which this build reads none. An instance must not write a form or rely on a kind that
//! another one may not read.

use std::fmt;

use cactuslane_authority::UsageUpdate;
use cactuslane_flight::origin::StreamId;
use cactuslane_place::admission::ShareReport;
use cactuslane_place::load_view::PeerUpdate;
use cactuslane_place::{LimitNotice, Observation, PermitAnswer, ReachReport, Suspect};
use cactuslane_types::{Era, InstanceId, SoftwareVersion, TargetId};
use serde::{Deserialize, Serialize};

use crate::calls::CallNumber;
use crate::limits::permits::PermitRequest;
use crate::relay::Relay;

/// The first byte from which on a message is of a later form.
pub const LATER_FORM: u8 = 0x80;
/// Number of kinds of messages of the first form.
const KINDS: u8 = 16;
/// Kind of [`Message::Update`].
const UPDATE_KIND: u8 = 0;

/// A message of the first form. Kinds keep their places, and new ones follow the last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's load, cache updates and observations, and the state of its links to targets.
    Update(PeerUpdate, ReachReport),
    /// Store changes that the sender read in the first era, or in a store that states none.
    Relay(Relay),
    /// The limit of a target, as the sender has just learned it.
    Limit(InstanceId, LimitNotice),
    /// A request for the limits and the leaving targets that the receiver knows.
    LimitQuery,
    /// A request for a permit to send a request to a target with a limit.
    PermitRequest(InstanceId, PermitRequest),
    /// The answer to the request for a permit or a trial with this number.
    Permit(u64, PermitAnswer),
    /// A request, with this number, for a trial of a held suspect.
    TrialRequest(u64, Suspect),
    /// Observations of targets that the sender knows, in answer to a query.
    Observations(InstanceId, Vec<Observation>),
    /// A software version that began a stream.
    StreamBegun(StreamId, SoftwareVersion),
    /// A query, with this number, for the version that began a stream.
    OriginQuery(CallNumber, StreamId),
    /// The answer to the query with this number.
    Origin(CallNumber, Option<SoftwareVersion>),
    /// Counts of customers' requests, and the time of day at the sender.
    Usage(UsageUpdate),
    /// Work that the sender has recently admitted for customers of a service.
    Shares(InstanceId, ShareReport),
    /// Store changes that the sender read in this era, which is later than the first one: a build
    /// that knows no eras skips them and reads the store itself.
    RelayOfEra(Era, Relay),
    /// A query, with this number, whether bytes arrive from now on of the process of a target that started at this
    /// Unix time in milliseconds.
    ProcessQuery(CallNumber, TargetId, u64),
    /// The answer to the query with this number: bytes of the process have arrived.
    ProcessHeard(CallNumber),
}

/// A message as it was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A complete message.
    Whole(Message),
    /// An update of a build that states nothing of its links to targets.
    WithoutReach(PeerUpdate),
}

/// The reason why a message cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// It is of a later form, which begins with this byte.
    LaterForm(u8),
    /// It is of the first form, and of a kind that this build does not know.
    UnknownKind(u8),
    /// It is empty, too short or not valid.
    Malformed(String),
}

impl MessageError {
    /// Returns the value of the `reason` label of the counter for this error.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::LaterForm(_) => "later_form",
            Self::UnknownKind(_) => "unknown_kind",
            Self::Malformed(_) => "malformed",
        }
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LaterForm(form) => write!(f, "a later form, {form:#04x}"),
            Self::UnknownKind(kind) => write!(f, "an unknown kind, {kind}"),
            Self::Malformed(why) => write!(f, "malformed: {why}"),
        }
    }
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_stdvec(self).map_err(|error| MessageError::Malformed(error.to_string()))
    }
}

/// Decodes a message; bytes after it are skipped, as a later build may append to it.
///
/// # Errors
///
/// Returns an error if this build cannot read the message.
pub fn decode(bytes: &[u8]) -> Result<Received, MessageError> {
    match bytes.first() {
        None => return Err(MessageError::Malformed("empty".to_owned())),
        Some(&form) if form >= LATER_FORM => return Err(MessageError::LaterForm(form)),
        Some(&kind) if kind >= KINDS => return Err(MessageError::UnknownKind(kind)),
        Some(_) => {}
    }
    let error = match postcard::from_bytes(bytes) {
        Ok(message) => return Ok(Received::Whole(message)),
        Err(error) => error,
    };
    if bytes[0] == UPDATE_KIND
        && let Ok((update, rest)) = postcard::take_from_bytes(&bytes[1..])
        && rest.is_empty()
    {
        return Ok(Received::WithoutReach(update));
    }
    Err(MessageError::Malformed(error.to_string()))
}
