//! Sums of the work that an instance has in progress at a target.

use super::Work;

/// The work that one instance, or several, have in progress at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkInProgress {
    /// The number of prompt tokens to compute of requests that await their first token.
    pub queued: u32,
    /// The number of generating streams, which have had their first token.
    pub running: u32,
    /// The number of prompt tokens of requests that generate at the target, queued ones included.
    pub context: u32,
    /// The number of KV blocks reserved for all requests.
    pub blocks: u32,
}

impl WorkInProgress {
    /// Returns the work of one dispatch; `answered` is true if its first token has come.
    pub(super) fn of(work: &Work, answered: bool) -> Self {
        Self {
            queued: if answered { 0 } else { work.prefill },
            running: u32::from(answered && work.decodes),
            context: work.context,
            blocks: work.blocks,
        }
    }

    /// Adds the work of a dispatch or an instance.
    pub(super) fn add(&mut self, other: &Self) {
        self.queued += other.queued;
        self.running += other.running;
        self.context += other.context;
        self.blocks += other.blocks;
    }

    /// Subtracts work that was added before.
    pub(super) fn subtract(&mut self, other: &Self) {
        self.queued = self.queued.saturating_sub(other.queued);
        self.running = self.running.saturating_sub(other.running);
        self.context = self.context.saturating_sub(other.context);
        self.blocks = self.blocks.saturating_sub(other.blocks);
    }
}
