//! Guards of what is counted while it is in progress.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cactuslane_place::{Load, Placer};
use cactuslane_types::TargetId;

/// Guard that counts one request or connection until it is dropped.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// Increments a counter and returns the guard that decrements it.
    pub(super) fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard of recorded load at a target, which is removed when it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    /// Placer that holds the load.
    pub(super) placer: Arc<Mutex<Placer>>,
    /// Id of the target.
    pub(super) target: TargetId,
    /// Load that is still recorded.
    pub(super) load: Load,
}

impl LoadGuard {
    /// Removes the prompt tokens from the recorded load once the prompt has been computed.
    pub fn prompt_done(&mut self) {
        if self.load.prompt_tokens == 0 {
            return;
        }
        let done = Load {
            prompt_tokens: self.load.prompt_tokens,
            ..Load::default()
        };
        self.load.prompt_tokens = 0;
        self.lock_placer().load_view.remove(&self.target, done);
    }

    /// Locks the placer.
    fn lock_placer(&self) -> MutexGuard<'_, Placer> {
        self.placer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.lock_placer().load_view.remove(&self.target, self.load);
    }
}
