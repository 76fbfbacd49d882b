//! What an instance keeps of customers' requests.

use std::sync::Mutex;

use cactuslane_authority::usage::ProcessId;
use cactuslane_authority::{AgreedClock, RunTimes, UsageBook};

use super::spread::Spread;

/// Counts of customers' requests, and the agreed time of day.
#[derive(Debug)]
pub struct Usage {
    /// Counts of all instances, as far as they are known.
    pub(super) book: Mutex<UsageBook>,
    /// The time of day on which the instances agree; `None` until it is asked for.
    pub(super) clock: Mutex<Option<AgreedClock>>,
    /// Estimates of when requests began to run.
    pub(super) runs: Mutex<RunTimes>,
    /// State of sending the counts.
    pub(super) spread: Mutex<Spread>,
}

impl Usage {
    /// Creates the empty counts of a process.
    #[must_use]
    pub fn new(own: ProcessId) -> Self {
        Self {
            book: Mutex::new(UsageBook::new(own)),
            clock: Mutex::default(),
            runs: Mutex::default(),
            spread: Mutex::default(),
        }
    }
}
