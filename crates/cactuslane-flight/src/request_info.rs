//! The parameters of a caller's request.

use std::time::Duration;

use sha2::{Digest, Sha256};

/// Identifier of a prompt part; requests that share a part of their prompts send the same one.
pub type PartId = u64;

/// Identifier of what a request asks for, the same for equal requests: a hash of the method, host,
/// path, caller and body, without the id.
pub type Fingerprint = u64;

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
    /// Id of the caller's attempt that brought the first event, if it resumes a stream and says so.
    pub resumes: Option<String>,
    /// Fingerprint of the request; 0 until its body was read.
    pub fingerprint: Fingerprint,
}

/// What the caller of a stream has of it, after which the stream goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamPlace<'a> {
    /// Id of the last event that the caller has; `None` for a new stream.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event, if the caller named it.
    pub resumes: Option<&'a str>,
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
    /// Returns the place at which the stream goes on once the caller has the event `last_event`.
    #[must_use]
    pub fn place(&self, last_event: Option<u64>) -> StreamPlace<'_> {
        StreamPlace {
            last_event,
            resumes: self.resumes.as_deref(),
        }
    }

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

/// Returns the fingerprint of a request with these values, which is the same at all instances.
#[must_use]
pub fn fingerprint(fields: &[&[u8]]) -> Fingerprint {
    let mut hasher = Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    let hash = hasher.finalize();
    let (first, _) = hash.split_at(size_of::<Fingerprint>());
    first
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
