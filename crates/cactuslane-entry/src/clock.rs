//! The two clocks of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use cactuslane_types::Millis;
use tokio::time::Instant;

/// Gives the time since the start, which never goes back, and the wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The start of the process.
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Returns the wall-clock time in milliseconds since 1970; it may be wrong or jump.
    pub fn unix_time() -> Millis {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        elapsed.as_millis() as Millis
    }
}
