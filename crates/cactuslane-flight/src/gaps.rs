//! Whether events are missing where the ids of a stream leave some out.
//!
//! Ids need only grow, and an event may hold several tokens, so that an id which is not the next one
//! shows nothing by itself, whatever other streams looked like. Only what the target states of
//! the same run does: it has made more events than it sent.

use crate::events::EventScanner;

/// Maximum size of the events that are held back until their number is known, in bytes.
const MAX_HELD: usize = 256 << 10;

/// A run, as its target states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatedRun {
    /// Id of the request.
    pub request: String,
    /// Number of events that the run has made, at some time before the statement.
    pub events: u64,
}

/// A gap in the ids of a run, and the events after it until it is decided.
#[derive(Clone, Debug)]
pub struct Gap {
    /// State of the stream before the gap.
    before: EventScanner,
    /// Number of events that the target has made in this run, at least.
    made: u64,
    /// Events after the gap that were not given on yet.
    held: Vec<u8>,
}

impl Gap {
    /// Creates the record of a gap after the events of `before`, the first one of which came after
    /// the event with the id `resumed_after`, if the run goes on with a stream.
    ///
    /// A target may count the events of such a run from the beginning of the stream or of the run: the
    /// smaller number counts, as do the fewest events if it states several runs of the request.
    #[must_use]
    pub fn new(
        before: EventScanner,
        request: &str,
        stated: &[StatedRun],
        resumed_after: Option<u64>,
    ) -> Self {
        let runs = stated.iter().filter(|run| run.request == request);
        let made = runs.map(|run| run.events).min().unwrap_or(0);
        Self {
            before,
            made: made.saturating_sub(resumed_after.unwrap_or(0)),
            held: Vec::new(),
        }
    }

    /// Returns the number of events that the target has made in this run, at least; 0 if it stated
    /// none.
    #[must_use]
    pub fn made(&self) -> u64 {
        self.made
    }

    /// Returns whether fewer events arrived than the target has made: the others are missing, or on
    /// their way.
    #[must_use]
    pub fn is_open(&self, arrived: u64) -> bool {
        arrived < self.made
    }

    /// Holds events back while the gap is open, and returns those that may be given on; `arrived` is
    /// the number of events of the run with them.
    ///
    /// Returns `None` if they are too many to be held back: the others are missing then.
    pub fn pass(&mut self, events: Vec<u8>, arrived: u64) -> Option<Vec<u8>> {
        if self.held.is_empty() && !self.is_open(arrived) {
            return Some(events);
        }
        self.held.extend(events);
        if !self.is_open(arrived) {
            return Some(std::mem::take(&mut self.held));
        }
        (self.held.len() <= MAX_HELD).then(Vec::new)
    }

    /// Returns the state of the stream before the gap, after which another target may go on.
    #[must_use]
    pub fn into_before(self) -> EventScanner {
        self.before
    }
}
