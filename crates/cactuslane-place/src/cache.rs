//! What is believed of the prefix cache of one engine.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_flight::request_info::{PartId, PromptPart};
use cactuslane_types::Millis;

/// Share of an engine's memory that is believed to hold parts that no request needs now.
const CACHE_SHARE: f64 = 0.97;

/// The parts that an engine is believed to keep, least recently used first to go.
#[derive(Clone, Debug, Default)]
pub struct CacheBelief {
    /// The parts by id.
    parts: BTreeMap<PartId, Kept>,
    /// The tokens of all parts.
    total: u64,
}

/// One part that an engine is believed to keep.
#[derive(Clone, Copy, Debug)]
struct Kept {
    /// Its length in tokens.
    tokens: u32,
    /// The time of its last use.
    used: Millis,
    /// The time at which it is computed.
    ready: Millis,
}

impl CacheBelief {
    /// Returns the tokens of a prompt that need not be computed.
    #[must_use]
    pub fn cached(&self, shared: &[PromptPart]) -> u32 {
        let mut tokens = 0;
        for part in shared {
            if !self.parts.contains_key(&part.id) {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }

    /// Returns the tokens of a prompt that another engine can fetch at a time.
    #[must_use]
    pub fn ready(&self, shared: &[PromptPart], at: Millis) -> u32 {
        let mut tokens = 0;
        for part in shared {
            if self.parts.get(&part.id).is_none_or(|kept| kept.ready > at) {
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

    /// Records the use of parts at an engine with a memory in tokens; those that it did not keep
    /// are ready at a time.
    pub fn used(&mut self, shared: &[PromptPart], memory: u64, now: Millis, ready: Millis) {
        for part in shared {
            let old = self.parts.get(&part.id).copied();
            let kept = Kept {
                tokens: part.tokens,
                used: now,
                ready: old.map_or(ready, |old| old.ready.min(ready)),
            };
            self.parts.insert(part.id, kept);
            self.total -= old.map_or(0, |old| u64::from(old.tokens));
            self.total += u64::from(part.tokens);
        }
        let bound = (memory as f64 * CACHE_SHARE) as u64;
        while self.total > bound && self.parts.len() > 1 {
            self.evict();
        }
    }

    /// Takes the list of all parts that an engine keeps.
    ///
    /// What was used or computed since a time may be missing in a list that was made before.
    pub fn listed(&mut self, parts: &[PromptPart], since: Millis, now: Millis) {
        let listed: BTreeSet<PartId> = parts.iter().map(|part| part.id).collect();
        self.parts
            .retain(|id, kept| kept.used.max(kept.ready) >= since || listed.contains(id));
        for part in parts {
            self.parts.entry(part.id).or_insert(Kept {
                tokens: part.tokens,
                used: since,
                ready: now,
            });
        }
        self.total = self.parts.values().map(|kept| u64::from(kept.tokens)).sum();
    }

    /// Removes the part that was used least recently.
    fn evict(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, kept)| kept.used);
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return;
        };
        if let Some(kept) = self.parts.remove(&id) {
            self.total -= u64::from(kept.tokens);
        }
    }
}
