//! Speed at which engines compute prompts, estimated from their response times.

/// Initial estimate of the time for one prompt token, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.025;
/// Initial estimate of the time from a computed prompt to the first event, in milliseconds.
const INITIAL_FIRST_MS: f64 = 60.0;
/// Weight of a new observation in the moving average of the time to the first event.
const FIRST_WEIGHT: f64 = 0.1;
/// Bounds to which an observed time for one prompt token is clamped, in milliseconds.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.5);
/// Weight of a new observation in the moving average of the time for one prompt token.
const TOKEN_WEIGHT: f64 = 0.05;
/// Smallest number of tokens of an observation that counts; the time for fewer is dominated by
/// fixed costs.
const MIN_TOKENS: u32 = 1000;
/// Factor by which prompts take longer on an engine that also generates than on one that only
/// computes prompts.
const GENERATING_SLOWDOWN: f64 = 2.0;

/// Estimated times that engines take for prompts, as exponential moving averages over all engines.
#[derive(Clone, Copy, Debug)]
pub struct PromptSpeed {
    /// Time for one prompt token on an engine that only computes prompts, in milliseconds.
    token_ms: f64,
    /// Time from a computed prompt to the first event, in milliseconds.
    first_ms: f64,
}

impl Default for PromptSpeed {
    fn default() -> Self {
        Self {
            token_ms: INITIAL_TOKEN_MS,
            first_ms: INITIAL_FIRST_MS,
        }
    }
}

impl PromptSpeed {
    /// Returns the time to compute `tokens` prompt tokens on an engine that only computes prompts,
    /// in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms
    }

    /// Returns the time to compute `tokens` prompt tokens on an engine that also generates, in
    /// milliseconds.
    #[must_use]
    pub fn direct_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms * GENERATING_SLOWDOWN
    }

    /// Returns the time from a computed prompt to the first event, in milliseconds.
    #[must_use]
    pub fn first_ms(&self) -> f64 {
        self.first_ms
    }

    /// Records a measured time from a computed prompt to the first event, in milliseconds.
    pub fn observe_first(&mut self, elapsed_ms: f64) {
        self.first_ms += (elapsed_ms - self.first_ms) * FIRST_WEIGHT;
    }

    /// Records the time that a prefill engine took for a prompt, in milliseconds.
    ///
    /// `tokens` counts the prompt tokens that were queued ahead of it and its own uncached tokens.
    pub fn observe(&mut self, tokens: u32, elapsed_ms: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let sample = (elapsed_ms / f64::from(tokens)).clamp(TOKEN_MS_RANGE.0, TOKEN_MS_RANGE.1);
        self.token_ms += (sample - self.token_ms) * TOKEN_WEIGHT;
    }
}
