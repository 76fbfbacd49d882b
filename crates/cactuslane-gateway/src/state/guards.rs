//! Guards of what is counted while it is in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use cactuslane_place::Load;
use cactuslane_types::TargetId;

use super::Gateway;

/// Guard that counts one request or connection until it is dropped.
#[derive(Debug)]
pub struct CountGuard {
    /// State that holds the counter.
    gateway: Arc<Gateway>,
    /// Selects the counter.
    counter: fn(&Gateway) -> &AtomicUsize,
}

impl CountGuard {
    /// Increments a counter and returns the guard that decrements it.
    pub(super) fn new(gateway: Arc<Gateway>, counter: fn(&Gateway) -> &AtomicUsize) -> Self {
        counter(&gateway).fetch_add(1, Ordering::Relaxed);
        Self { gateway, counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.gateway).fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard of recorded load at a target, which is removed when it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    /// State whose placer holds the load.
    pub(super) gateway: Arc<Gateway>,
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
        self.gateway.placer().load_view.remove(&self.target, done);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.gateway
            .placer()
            .load_view
            .remove(&self.target, self.load);
    }
}
