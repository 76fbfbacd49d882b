//! Speed at which engines compute prompts, estimated from their response times.

mod short_prompts;

use std::collections::{BTreeMap, VecDeque};

use self::short_prompts::ShortPrompts;

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
/// Weight of a new observation in the moving averages of the time beyond that for tokens.
const FIXED_WEIGHT: f64 = 0.05;
/// Weight of a new observation in the moving average of the time for one token with waiting.
const WAITING_WEIGHT: f64 = 0.05;
/// Smallest number of tokens of an observation that counts for the time for one token with waiting.
const MIN_WAITING_TOKENS: u32 = 1_000;
/// Smallest number of uncached tokens of a prompt that shows the time for one token; that of shorter
/// ones is dominated by overhead and waiting.
const MIN_TOKENS: u32 = 4_000;
/// Number of the last observations that show the time for one token.
const SAMPLES: usize = 60;
/// Number of assumed observations from which the estimate of the time for one token by long prompts
/// starts.
const INITIAL_SAMPLES: usize = 20;
/// Quantile of the observed times for one token that is taken as the speed of an engine.
const SPEED_QUANTILE: f64 = 0.1;
/// Factor by which prompts take longer on an engine that also generates than on one that only
/// computes prompts.
const GENERATING_SLOWDOWN: f64 = 2.0;

/// Estimated times that engines take for prompts, over all engines, where work takes as long as
/// usual.
///
/// Waiting only adds to the time of a prompt, and hardly depends on its length. The fastest of the
/// long prompts therefore show the time for one token, and the rest of the time is averaged by
/// priority. Until there is a long prompt, a line along the fastest of the short ones shows it.
#[derive(Clone, Debug)]
pub struct PromptSpeed {
    /// Times for one token of the last long prompts in milliseconds, oldest first.
    samples: VecDeque<f64>,
    /// Short prompts, until there is a long one.
    short: Option<ShortPrompts>,
    /// Time for one prompt token on an engine that only computes prompts, in milliseconds.
    token_ms: f64,
    /// Moving average of the time for one prompt token with the time of waiting, in milliseconds.
    waiting_token_ms: f64,
    /// Time beyond that for tokens by priority, in milliseconds.
    fixed_ms: BTreeMap<u8, f64>,
    /// Time from a computed prompt to the first event, in milliseconds.
    first_ms: f64,
}

impl Default for PromptSpeed {
    fn default() -> Self {
        Self {
            samples: VecDeque::from([INITIAL_TOKEN_MS; INITIAL_SAMPLES]),
            short: Some(ShortPrompts::default()),
            token_ms: INITIAL_TOKEN_MS,
            waiting_token_ms: INITIAL_TOKEN_MS,
            fixed_ms: BTreeMap::new(),
            first_ms: INITIAL_FIRST_MS,
        }
    }
}

impl PromptSpeed {
    /// Returns the time to compute `tokens` prompt tokens on an engine that only computes prompts,
    /// in milliseconds, without [`Self::fixed_ms`].
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms
    }

    /// Returns the time to compute `tokens` prompt tokens on an engine that also generates, in
    /// milliseconds, without [`Self::fixed_ms`].
    #[must_use]
    pub fn direct_ms(&self, tokens: f64) -> f64 {
        self.prefill_ms(tokens) * GENERATING_SLOWDOWN
    }

    /// Returns the time for one prompt token with the time of waiting, in milliseconds.
    ///
    /// It grows with the queues at the engines that compute prompts.
    #[must_use]
    pub fn waiting_token_ms(&self) -> f64 {
        self.waiting_token_ms
    }

    /// Returns the time that a prompt of a priority takes beyond that for its tokens and those
    /// queued ahead of it, in milliseconds.
    ///
    /// It holds overhead and waiting for work that this instance does not know of, and is negative
    /// where prompts overtake those that are queued ahead.
    #[must_use]
    pub fn fixed_ms(&self, priority: u8) -> f64 {
        let fixed = self.fixed_ms.get(&priority).copied();
        fixed.unwrap_or(INITIAL_FIXED_MS)
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
    /// `uncached` counts the prompt's own uncached tokens, `ahead` those that were queued ahead.
    pub fn observe(&mut self, priority: u8, uncached: u32, ahead: u32, elapsed_ms: f64) {
        if uncached >= MIN_TOKENS {
            self.short = None;
            self.add_sample(elapsed_ms / f64::from(uncached));
        } else if ahead == 0 {
            let short = self.short.as_mut();
            if let Some(token_ms) = short.and_then(|short| short.add(uncached, elapsed_ms)) {
                self.start_from(token_ms);
            }
        }
        let tokens = uncached + ahead;
        if tokens >= MIN_WAITING_TOKENS {
            let (low, high) = TOKEN_MS_RANGE;
            let sample = (elapsed_ms / f64::from(tokens)).clamp(low, high);
            self.waiting_token_ms += (sample - self.waiting_token_ms) * WAITING_WEIGHT;
        }
        let computing = self.prefill_ms(f64::from(uncached) + f64::from(ahead));
        let fixed = self.fixed_ms.entry(priority).or_insert(INITIAL_FIXED_MS);
        *fixed += (elapsed_ms - computing - *fixed) * FIXED_WEIGHT;
    }

    /// Replaces the assumed time for one token.
    fn start_from(&mut self, token_ms: f64) {
        let (low, high) = TOKEN_MS_RANGE;
        self.token_ms = token_ms.clamp(low, high);
        self.samples = VecDeque::from([self.token_ms; INITIAL_SAMPLES]);
    }

    /// Adds an observed time for one token and estimates it anew.
    fn add_sample(&mut self, token_ms: f64) {
        let (low, high) = TOKEN_MS_RANGE;
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(token_ms.clamp(low, high));
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.token_ms = sorted[(sorted.len() as f64 * SPEED_QUANTILE) as usize];
    }
}
