//! Arrivals of bytes from targets, for tasks that need a sign that a process goes on.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use cactuslane_flight::ServingProcess;
use cactuslane_types::TargetId;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection to a target, as far as it tells which process is at its other end.
#[derive(Debug)]
pub struct Line {
    /// Target that it leads to.
    target: TargetId,
    /// Time at which it was established.
    opened: Instant,
    /// Process at its other end, once that has stated which one it is.
    process: OnceLock<ServingProcess>,
}

impl Line {
    /// Creates the description of a connection that has just been established.
    #[must_use]
    pub fn new(target: &str) -> Self {
        Self {
            target: target.to_owned(),
            opened: Instant::now(),
            process: OnceLock::new(),
        }
    }

    /// Returns the process at its other end, if that has stated on it which one it is.
    #[must_use]
    pub fn process(&self) -> Option<ServingProcess> {
        self.process.get().copied()
    }

    /// Records which process the other end stated to be, unless it stated that before.
    pub fn record_process(&self, process: ServingProcess) {
        self.process.get_or_init(|| process);
    }
}

/// The process of which a sign is needed.
#[derive(Clone, Debug)]
pub struct Sought {
    /// Its target.
    pub target: TargetId,
    /// Start of the process as Unix time in milliseconds, if it states one.
    pub started_at: Option<u64>,
    /// A time at which it had the address of the target, so that connections which were established
    /// before lead to it; `None` if only its own statement counts.
    pub present: Option<Instant>,
}

impl Sought {
    /// Returns whether a connection leads to the process.
    fn is_at(&self, line: &Line) -> bool {
        if line.target != self.target {
            return false;
        }
        match line.process() {
            Some(process) => process.started_at() == self.started_at,
            None => self.present.is_some_and(|present| line.opened <= present),
        }
    }
}

/// Records of who awaits bytes of which process.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// Number of watches, so that arrivals cost nothing while there is none.
    count: Arc<AtomicUsize>,
    /// The watches, by number.
    watches: Arc<Mutex<Watches>>,
}

/// The watches, and the number of the last one.
#[derive(Debug, Default)]
struct Watches {
    /// The watches, by number.
    open: BTreeMap<u64, (Sought, Arc<Notify>)>,
    /// Number of the last one.
    last: u64,
}

/// A watch for bytes of a process, until it is dropped.
#[derive(Debug)]
pub struct Watch<'a> {
    /// All watches.
    arrivals: &'a Arrivals,
    /// Number of the watch.
    number: u64,
    /// Wakes the watching task.
    heard: Arc<Notify>,
}

impl Arrivals {
    /// Watches for bytes of a process from now on.
    #[must_use]
    pub fn watch(&self, sought: Sought) -> Watch<'_> {
        let heard = Arc::new(Notify::new());
        let mut watches = self.lock();
        watches.last += 1;
        let number = watches.last;
        watches.open.insert(number, (sought, heard.clone()));
        self.count.store(watches.open.len(), Ordering::Relaxed);
        Watch {
            arrivals: self,
            number,
            heard,
        }
    }

    /// Returns the number of open watches.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Records that bytes arrive on a connection that had none unread before.
    pub fn record(&self, line: &Line) {
        if self.count() == 0 {
            return;
        }
        for (sought, heard) in self.lock().open.values() {
            if sought.is_at(line) {
                heard.notify_one();
            }
        }
    }

    /// Locks the watches, also if another thread panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, Watches> {
        self.watches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Watch<'_> {
    /// Waits until bytes of the process arrive.
    pub async fn heard(&self) {
        self.heard.notified().await;
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let mut watches = self.arrivals.lock();
        watches.open.remove(&self.number);
        let count = watches.open.len();
        self.arrivals.count.store(count, Ordering::Relaxed);
    }
}
