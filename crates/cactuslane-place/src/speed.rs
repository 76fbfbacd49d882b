//! Speed at which engines compute prompts, estimated from their response times.

/// Initial estimate of the time for one prompt token, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.025;
/// Initial estimate of the time that a prompt takes regardless of its length, in milliseconds.
const INITIAL_FIXED_MS: f64 = 20.0;
/// Initial estimate of the time from a computed prompt to the first event, in milliseconds.
const INITIAL_FIRST_MS: f64 = 60.0;
/// Weight of a new observation in the moving average of the time to the first event.
const FIRST_WEIGHT: f64 = 0.1;
/// Bounds of the estimated time for one prompt token, in milliseconds.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.5);
/// Factor on the weights of all earlier observations of prompts with each new one.
const DECAY: f64 = 0.995;
/// Sum of squared deviations of the numbers of tokens that the initial estimate of the time for one
/// token always counts for, as observations of similar lengths alone give no slope.
const INITIAL_SPREAD: f64 = 5e8;
/// Factor by which prompts take longer on an engine that also generates than on one that only
/// computes prompts.
const GENERATING_SLOWDOWN: f64 = 2.0;

/// Estimated times that engines take for prompts, over all engines.
///
/// The time of a prompt is a line over its number of tokens, fitted by least squares. Most prompts
/// are short and mostly wait, so that their time per token says nothing about a long one.
#[derive(Clone, Copy, Debug)]
pub struct PromptSpeed {
    /// Line through the observed times of prompts.
    line: Line,
    /// Time from a computed prompt to the first event, in milliseconds.
    first_ms: f64,
}

/// Line fitted to observed times of prompts over their numbers of tokens.
#[derive(Clone, Copy, Debug)]
struct Line {
    /// Sum of the decayed weights of the observations.
    weight: f64,
    /// Mean number of tokens.
    tokens: f64,
    /// Mean time, in milliseconds.
    elapsed: f64,
    /// Sum of the squared deviations of the numbers of tokens from their mean.
    spread: f64,
    /// Sum of the products of the deviations of the numbers of tokens and of the times.
    joint: f64,
}

impl Default for PromptSpeed {
    fn default() -> Self {
        let line = Line {
            weight: 0.0,
            tokens: 0.0,
            elapsed: INITIAL_FIXED_MS,
            spread: 0.0,
            joint: 0.0,
        };
        Self {
            line,
            first_ms: INITIAL_FIRST_MS,
        }
    }
}

impl PromptSpeed {
    /// Returns the time to compute `tokens` prompt tokens on an engine that only computes prompts,
    /// in milliseconds, without [`Self::fixed_ms`].
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.line.slope()
    }

    /// Returns the time to compute `tokens` prompt tokens on an engine that also generates, in
    /// milliseconds, without [`Self::fixed_ms`].
    #[must_use]
    pub fn direct_ms(&self, tokens: f64) -> f64 {
        self.prefill_ms(tokens) * GENERATING_SLOWDOWN
    }

    /// Returns the time that a prompt takes regardless of its length, in milliseconds: overhead,
    /// and waiting for work that this instance does not know of.
    #[must_use]
    pub fn fixed_ms(&self) -> f64 {
        self.line.intercept()
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
        self.line.add(f64::from(tokens), elapsed_ms);
    }
}

impl Line {
    /// Adds an observation and reduces the weights of the earlier ones.
    fn add(&mut self, tokens: f64, elapsed: f64) {
        self.weight = self.weight * DECAY + 1.0;
        let deviation = tokens - self.tokens;
        self.tokens += deviation / self.weight;
        self.elapsed += (elapsed - self.elapsed) / self.weight;
        self.spread = self.spread * DECAY + deviation * (tokens - self.tokens);
        self.joint = self.joint * DECAY + deviation * (elapsed - self.elapsed);
    }

    /// Returns the slope, in milliseconds for each token.
    fn slope(&self) -> f64 {
        let (low, high) = TOKEN_MS_RANGE;
        let joint = self.joint + INITIAL_SPREAD * INITIAL_TOKEN_MS;
        (joint / (self.spread + INITIAL_SPREAD)).clamp(low, high)
    }

    /// Returns the height at 0 tokens, in milliseconds, at least 0.
    fn intercept(&self) -> f64 {
        (self.elapsed - self.slope() * self.tokens).max(0.0)
    }
}
