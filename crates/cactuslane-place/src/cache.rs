//! What is believed of the prefix cache of one engine.

use std::collections::BTreeMap;

use cactuslane_flight::ask::{Part, PartId};
use cactuslane_types::Millis;

/// Share of an engine's memory that is believed to hold shared parts.
const CACHE_SHARE: f64 = 0.7;

/// The parts that an engine is believed to keep, least recently used first to go.
#[derive(Clone, Debug, Default)]
pub struct CacheBelief {
    /// The parts with their tokens and last use.
    parts: BTreeMap<PartId, (u32, Millis)>,
    /// The tokens of all parts.
    total: u64,
}

impl CacheBelief {
    /// Returns the tokens of a prompt that need not be computed.
    #[must_use]
    pub fn cached(&self, shared: &[Part]) -> u32 {
        let mut tokens = 0;
        for part in shared {
            if !self.parts.contains_key(&part.id) {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }

    /// Returns the tokens of all parts that are believed to be kept.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Records the use of parts at an engine with a memory in tokens.
    pub fn used(&mut self, shared: &[Part], memory: u64, now: Millis) {
        for part in shared {
            let old = self.parts.insert(part.id, (part.tokens, now));
            self.total -= old.map_or(0, |(tokens, _)| u64::from(tokens));
            self.total += u64::from(part.tokens);
        }
        let bound = (memory as f64 * CACHE_SHARE) as u64;
        while self.total > bound && self.parts.len() > 1 {
            self.evict();
        }
    }

    /// Removes the part that was used least recently.
    fn evict(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, (_, used))| *used);
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return;
        };
        if let Some((tokens, _)) = self.parts.remove(&id) {
            self.total -= u64::from(tokens);
        }
    }
}
