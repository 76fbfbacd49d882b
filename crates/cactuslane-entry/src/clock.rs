//! The monotonic and the wall clock of an instance.

use std::time::{SystemTime, UNIX_EPOCH};

use cactuslane_types::Millis;
use tokio::time::Instant;

/// A monotonic clock that counts from the start of the instance; also reads the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The time at which the clock was started, with the instance.
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start in milliseconds, which never decreases.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Returns the wall-clock time in milliseconds since 1970, which may be wrong or jump.
    pub fn unix_time() -> Millis {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        elapsed.as_millis() as Millis
    }
}
