//! What shows that the process which sent an answer without a length went on after it.
//!
//! The system closes all connections of a process that is killed, at the same time and with the same
//! bytes that end an answer. Only what the process did after the end tells the two apart. That it
//! takes no connections shows nothing: it may be leaving, be full or be out of reach.

use std::time::Duration;

use cactuslane_types::Millis;

/// Time after the end of an answer from which bytes that arrive on other connections were sent after
/// it, also if they were lost once on the way.
pub const TRANSIT_TIME: Duration = Duration::from_millis(250);
/// Time for which a sign is awaited of a process that answers no call, where the request can go on at
/// another target.
const RETRY_PATIENCE: Duration = Duration::from_millis(500);
/// Time for which a sign is awaited otherwise of a process that is not known to be leaving.
const PATIENCE: Duration = Duration::from_secs(1);
/// Number of heartbeats of a target without which the platform removes its entry.
const MISSED_HEARTBEATS: u32 = 3;

/// What showed that a process went on after the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered a call that was sent after the end.
    Call,
    /// It sent bytes on another connection, more than [`TRANSIT_TIME`] after the end.
    OtherConnection,
    /// It sent bytes to another instance, more than [`TRANSIT_TIME`] after that was asked.
    OtherInstance,
    /// It was leaving, and its entry, which was not known to be removed at the end, was removed sooner
    /// than its silence would have removed it: it left in order.
    EntryRemoved,
}

impl Sign {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::OtherConnection => "other connection",
            Self::OtherInstance => "other instance",
            Self::EntryRemoved => "entry removed",
        }
    }
}

/// What the entry of a process in the store shows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is there.
    Registered,
    /// It is there and says that the process is leaving, or it was removed before it said so, and
    /// sooner than the silence of the process would have removed it.
    Leaving,
    /// It said that the process was leaving, and was removed sooner than its silence would have
    /// removed it.
    Left,
    /// It was removed, perhaps as the process was silent, or was never known.
    Absent,
    /// It is that of another process.
    Replaced,
}

/// The removal of an entry from the store, as far as its time is known.
///
/// Both times are in milliseconds on the clock of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Removal {
    /// Time after which the process last wrote the entry.
    pub written_after: Millis,
    /// Time by which the entry had been removed.
    pub removed_by: Millis,
}

impl Removal {
    /// Returns whether the process cannot have been silent for so long that the platform removed its
    /// entry; `heartbeat` is the interval at which targets write their entries, if it is known.
    #[must_use]
    pub fn is_deliberate(self, heartbeat: Option<Duration>) -> bool {
        let silence = Duration::from_millis(self.removed_by.saturating_sub(self.written_after));
        heartbeat.is_some_and(|heartbeat| silence < heartbeat * MISSED_HEARTBEATS)
    }
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
