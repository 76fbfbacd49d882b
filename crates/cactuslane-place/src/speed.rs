//! The speed at which engines compute prompts, learned from their answers.

/// Time for one prompt token before anything was observed, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.025;
/// Time from a computed prompt to the first event before anything was observed, in milliseconds.
const INITIAL_FIRST_MS: f64 = 60.0;
/// Weight of a new observation of that time.
const FIRST_WEIGHT: f64 = 0.1;
/// Bounds of the learned time for one prompt token, in milliseconds.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.5);
/// Weight of a new observation.
const TOKEN_WEIGHT: f64 = 0.05;
/// Fewest tokens of an observation; less is dominated by fixed costs.
const MIN_TOKENS: u32 = 1000;
/// Factor by which an engine that also generates computes prompts more slowly.
const GENERATING_SLOWDOWN: f64 = 2.0;

/// The time that engines take for a prompt token.
#[derive(Clone, Copy, Debug)]
pub struct PromptSpeed {
    /// The time for one token at an engine that computes prompts only, in milliseconds.
    token_ms: f64,
    /// The time from a computed prompt to the first event, in milliseconds.
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
    /// Returns the time for prompt tokens at an engine that computes prompts only, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms
    }

    /// Returns the time for prompt tokens at an engine that also generates, in milliseconds.
    #[must_use]
    pub fn direct_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms * GENERATING_SLOWDOWN
    }

    /// Returns the time from a computed prompt to the first event, in milliseconds.
    #[must_use]
    pub fn first_ms(&self) -> f64 {
        self.first_ms
    }

    /// Records the time from a computed prompt to the first event.
    pub fn observe_first(&mut self, elapsed_ms: f64) {
        self.first_ms += (elapsed_ms - self.first_ms) * FIRST_WEIGHT;
    }

    /// Records how long an engine took for the tokens that were ahead of a prompt and its own.
    pub fn observe(&mut self, tokens: u32, elapsed_ms: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let sample = (elapsed_ms / f64::from(tokens)).clamp(TOKEN_MS_RANGE.0, TOKEN_MS_RANGE.1);
        self.token_ms += (sample - self.token_ms) * TOKEN_WEIGHT;
    }
}
