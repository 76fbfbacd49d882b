//! What shows that the process which sent an answer without a length went on after it.
//!
//! The system closes all connections of a process that is killed, at the same time and with the same
//! bytes that end an answer. Only what the process did after the end tells the two apart. That it
//! takes no connections shows nothing: it may be leaving, be full or be out of reach. Nor does the
//! removal of its entry: a process that leaves may exit before its answers have ended.

use std::time::Duration;

/// Time after the end of an answer from which bytes that arrive on other connections were sent after
/// it, also if they were lost once on the way.
pub const TRANSIT_TIME: Duration = Duration::from_millis(250);
/// Time for which a sign is awaited of a process that answers no call, where the request can go on at
/// another target.
const RETRY_PATIENCE: Duration = Duration::from_millis(500);
/// Time for which a sign is awaited otherwise of a process that is not known to be leaving.
const PATIENCE: Duration = Duration::from_secs(1);

/// What showed that a process went on after the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered a call that was sent after the end.
    Call,
    /// It sent bytes on another connection, more than [`TRANSIT_TIME`] after the end.
    OtherConnection,
    /// It sent bytes to another instance, more than [`TRANSIT_TIME`] after that was asked.
    OtherInstance,
}

impl Sign {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::OtherConnection => "other connection",
            Self::OtherInstance => "other instance",
        }
    }
}

/// What the entry of a process in the store shows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is there.
    Registered,
    /// It is there, and the process is known to be leaving.
    Leaving,
    /// It was removed, or was never known.
    Absent,
    /// It is that of another process.
    Replaced,
}

/// Returns for how long a sign of a process is awaited that answers no call; `None` if until the
/// deadline of the request.
#[must_use]
pub fn patience(presence: Presence, goes_on_elsewhere: bool) -> Option<Duration> {
    match presence {
        _ if goes_on_elsewhere => Some(RETRY_PATIENCE),
        Presence::Leaving => None,
        _ => Some(PATIENCE),
    }
}
