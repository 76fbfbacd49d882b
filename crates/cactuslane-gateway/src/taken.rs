//! Counts of the requests that this instance takes from others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest number of requests of other instances' callers in progress at this instance.
const MAX_TAKEN: usize = 64;
/// Largest size of their bodies together, in bytes.
const MAX_TAKEN_BYTES: usize = 16 << 20;

/// Requests of other instances' callers in progress.
#[derive(Debug, Default)]
pub struct TakenRequests {
    /// Their number.
    count: AtomicUsize,
    /// The size of their bodies, in bytes.
    bytes: AtomicUsize,
}

/// Guard that counts a request of another instance's caller until it is dropped.
#[derive(Debug)]
pub struct TakenGuard {
    /// The counters.
    taken: Arc<TakenRequests>,
    /// Size of the request's body, in bytes.
    bytes: usize,
}

impl TakenGuard {
    /// Counts a request with a body of so many bytes; `None` if there are too many.
    #[must_use]
    pub fn take(taken: &Arc<TakenRequests>, bytes: usize) -> Option<Self> {
        // The guard is created first, so that it also takes back what is counted here.
        let guard = Self {
            taken: taken.clone(),
            bytes,
        };
        let count = taken.count.fetch_add(1, Ordering::Relaxed) + 1;
        let total = taken.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        (count <= MAX_TAKEN && total <= MAX_TAKEN_BYTES).then_some(guard)
    }
}

impl Drop for TakenGuard {
    fn drop(&mut self) {
        let taken = &self.taken;
        taken.count.fetch_sub(1, Ordering::Relaxed);
        taken.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
