//! What a caller asked for.

use std::time::Duration;

/// Identifies a part of a prompt; requests that share a part name the same one.
pub type PartId = u64;

/// A caller's request, as far as decisions need it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// The id of this attempt of the caller.
    pub id: String,
    /// How long the caller waits, from its arrival.
    pub patience: Option<Duration>,
    /// The model that is asked for.
    pub model: Option<String>,
    /// The tokens of the prompt.
    pub prompt: u32,
    /// The largest number of tokens to generate.
    pub output: u32,
    /// The parts of the prompt in order; the last one is the request's own.
    pub parts: Vec<Part>,
    /// The last event that the caller already has.
    pub last_event: Option<u64>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's id.
    pub id: PartId,
    /// The part's length in tokens.
    pub tokens: u32,
}

impl Ask {
    /// Returns the parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the prompt tokens that no other request shares.
    #[must_use]
    pub fn own(&self) -> u32 {
        let shared: u32 = self.shared().iter().map(|part| part.tokens).sum();
        self.prompt.saturating_sub(shared)
    }
}
