//! The time-out of heads, which follows the limit that is in force.

use std::fmt::{self, Debug, Formatter};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Sleep, Timer};
use tokio::time::{Instant, sleep_until};

/// Function that returns the longest time to wait for a whole head at present.
pub type HeadTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Timer of one connection, whose sleeps end by the limit in force in place of the deadline that
/// they are given.
pub struct HeadTimer(pub HeadTimeout);

/// A wait for a head.
struct HeadSleep {
    /// Start of the wait.
    began: Instant,
    /// The limit.
    timeout: HeadTimeout,
    /// End of the wait by the limit that was last read.
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl HeadTimer {
    /// Begins a wait.
    fn begin(&self) -> Pin<Box<dyn Sleep>> {
        let began = Instant::now();
        let timeout = self.0.clone();
        let sleep = Box::pin(sleep_until(began + timeout()));
        Box::pin(HeadSleep {
            began,
            timeout,
            sleep,
        })
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        self.begin()
    }

    fn sleep_until(&self, _: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        self.begin()
    }
}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            // The limit may have been raised meanwhile.
            let deadline = self.began + (self.timeout)();
            if deadline <= Instant::now() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(deadline);
        }
    }
}

impl Sleep for HeadSleep {}

impl Debug for HeadTimer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("HeadTimer").finish_non_exhaustive()
    }
}
