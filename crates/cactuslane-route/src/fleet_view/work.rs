//! The work that instances have in progress at targets.

use super::Work;

/// The work that one instance has in progress at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkInProgress {
    /// The number of prompt tokens of requests without a first token.
    pub queued: u32,
    /// The number of streams that generate.
    pub running: u32,
    /// The number of tokens in the contexts of all its streams.
    pub context: u32,
    /// The number of pieces of memory reserved for them.
    pub blocks: u32,
}

impl WorkInProgress {
    /// Returns the share of one dispatch, whose first token may have come.
    pub(super) fn of(work: &Work, answered: bool) -> Self {
        Self {
            queued: if answered { 0 } else { work.prefill },
            running: u32::from(answered && work.decodes),
            context: work.context,
            blocks: work.blocks,
        }
    }

    /// Adds another share.
    pub(super) fn add(&mut self, other: &Self) {
        self.queued += other.queued;
        self.running += other.running;
        self.context += other.context;
        self.blocks += other.blocks;
    }

    /// Takes another share away, which was added before.
    pub(super) fn subtract(&mut self, other: &Self) {
        self.queued = self.queued.saturating_sub(other.queued);
        self.running = self.running.saturating_sub(other.running);
        self.context = self.context.saturating_sub(other.context);
        self.blocks = self.blocks.saturating_sub(other.blocks);
    }
}
