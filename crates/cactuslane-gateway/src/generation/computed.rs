//! Prompts that prefill engines have computed and keep.

use std::sync::Arc;

use cactuslane_flight::target::Target;
use cactuslane_platform::engine;
use log::info;

use crate::engines;
use crate::state::Gateway;

/// A computed prompt, which is freed at its engine on drop unless a stream has begun from it.
#[derive(Debug)]
pub(super) struct ComputedPrompt {
    /// State of the instance, for the call that frees the prompt.
    pub(super) gateway: Arc<Gateway>,
    /// Prefill engine that computed the prompt and keeps its KV cache.
    pub(super) target: Target,
    /// Id of the KV cache at that engine.
    pub(super) handle: engine::Handle,
    /// Whether a target has begun a stream from it.
    pub(super) used: bool,
    /// Whether an attempt to generate from it was rejected or could not be sent; after a second one
    /// the prompt is freed.
    pub(super) refused: bool,
}

impl ComputedPrompt {
    /// Records that an attempt to generate from it was rejected or could not be sent.
    pub(super) fn mark_refused(mut prompt: Self) -> Self {
        prompt.refused = true;
        prompt
    }
}

impl Drop for ComputedPrompt {
    fn drop(&mut self) {
        if !self.used {
            let gateway = self.gateway.clone();
            tokio::spawn(free(gateway, self.target.clone(), self.handle.clone()));
        }
    }
}

/// Frees a computed prompt; if the call fails, the engine frees it after the configured
/// `handle_ttl`.
async fn free(gateway: Arc<Gateway>, target: Target, handle: engine::Handle) {
    if let Err(error) = engines::free_prompt(&gateway, &target, &handle).await {
        info!(target_id = target.id, error:? = error; "prompt not freed, it lapses by itself");
    }
}
