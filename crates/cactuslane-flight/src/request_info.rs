//! The parameters of a caller's request.

use std::time::Duration;

/// Identifier of a prompt part; requests that share a part of their prompts send the same one.
pub type PartId = u64;

/// The parameters of a caller's request that routing and retry decisions depend on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// Id that the caller gave this attempt of its own, not one of the attempts at targets that it
    /// leads to; empty if it sent none.
    pub id: String,
    /// Longest time that the caller waits, from the arrival of the request; `None` if not stated.
    pub timeout: Option<Duration>,
    /// Name of the requested model; `None` allows targets of any model.
    pub model: Option<String>,
    /// Length of the prompt, in tokens; 0 if not stated.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; 0 if not stated.
    pub max_output: u32,
    /// Parts of the prompt, in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller already received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// One part of a prompt, the unit in which prompt prefixes are cached and shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part, the same in all requests that share it.
    pub id: PartId,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

impl RequestInfo {
    /// Returns the parts that other requests may share: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of prompt tokens outside the shared parts.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        let shared: u32 = self.shared_parts().iter().map(|part| part.tokens).sum();
        self.prompt_tokens.saturating_sub(shared)
    }
}
