//! The speed of an engine, as a linear model of the duration of one batch step.

/// The coefficients of the duration of an engine's step, and the size of its memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// The fixed time of a step, without any work, in milliseconds.
    pub step_ms: f64,
    /// The time to compute one prompt token, in milliseconds.
    pub prefill_ms: f64,
    /// The time that one generating stream adds to a step, in milliseconds.
    pub decode_ms: f64,
    /// The time that 1,000 tokens of context add to a step, in milliseconds.
    pub context_ms: f64,
    /// The factor on the time of the work in a step that both computes prompts and generates.
    pub mixing: f64,
    /// The largest number of prompt tokens in a step of a mixed engine.
    pub chunk: f64,
    /// The largest number of prompt tokens in a step of a prefill engine.
    pub large_chunk: f64,
    /// The time to transfer the KV cache of 1,000 tokens between engines, in milliseconds.
    pub transfer_ms: f64,
    /// The number of tokens that one KV block holds.
    pub block_tokens: u32,
    /// The number of KV blocks in an engine's memory.
    pub blocks: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            step_ms: 8.0,
            prefill_ms: 0.04,
            decode_ms: 0.12,
            context_ms: 0.03,
            mixing: 1.15,
            chunk: 384.0,
            large_chunk: 4096.0,
            transfer_ms: 4.0,
            block_tokens: 64,
            blocks: 2000,
        }
    }
}

impl Speed {
    /// Returns the time of a step with a full chunk of prompt tokens, in milliseconds.
    ///
    /// `running` is the number of generating streams, `context` the number of tokens in all their
    /// contexts.
    #[must_use]
    pub fn mixed_step(&self, running: f64, context: f64) -> f64 {
        let decode = self.decode_work_time(running, context);
        let mixing = if running > 0.0 { self.mixing } else { 1.0 };
        self.step_ms + (self.chunk * self.prefill_ms + decode) * mixing
    }

    /// Returns the time of a step that only generates, in milliseconds.
    #[must_use]
    pub fn decode_step(&self, running: f64, context: f64) -> f64 {
        self.step_ms + self.decode_work_time(running, context)
    }

    /// Returns the prompt throughput of a mixed engine with running streams, in tokens per ms.
    #[must_use]
    pub fn mixed_rate(&self, running: f64, context: f64) -> f64 {
        self.chunk / self.mixed_step(running, context)
    }

    /// Returns the prompt throughput of a prefill engine, in tokens per millisecond.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        self.large_chunk / (self.step_ms + self.large_chunk * self.prefill_ms)
    }

    /// Returns the time to transfer the KV cache of a number of tokens, in milliseconds.
    #[must_use]
    pub fn transfer_time(&self, tokens: f64) -> f64 {
        self.transfer_ms * tokens / 1000.0
    }

    /// Returns the number of KV blocks that a number of tokens occupies, rounded up.
    #[must_use]
    pub fn blocks_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.block_tokens)
    }

    /// Returns the time that generating streams add to a step, in milliseconds.
    fn decode_work_time(&self, running: f64, context: f64) -> f64 {
        running * self.decode_ms + context / 1000.0 * self.context_ms
    }
}
