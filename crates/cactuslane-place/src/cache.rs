//! What is believed of the prefix cache of one engine.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_flight::ask::{Part, PartId};
use cactuslane_types::Millis;

/// Share of an engine's memory that is believed to hold parts that no request needs now.
const CACHE_SHARE: f64 = 0.97;

/// The parts that an engine is believed to keep, least recently used first to go.
#[derive(Clone, Debug, Default)]
pub struct CacheEstimate {
    /// The parts by id.
    parts: BTreeMap<PartId, CachedPart>,
    /// The tokens of all parts.
    total: u64,
}

/// One part that an engine is believed to keep.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    /// Its length in tokens.
    tokens: u32,
    /// The time of its last use.
    last_used: Millis,
    /// The time at which it is computed.
    ready_at: Millis,
}

impl CacheEstimate {
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

    /// Returns the tokens of a prompt that another engine can fetch at a time.
    #[must_use]
    pub fn fetchable(&self, shared: &[Part], at: Millis) -> u32 {
        let mut tokens = 0;
        for part in shared {
            if self
                .parts
                .get(&part.id)
                .is_none_or(|kept| kept.ready_at > at)
            {
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
    pub fn record_use(&mut self, shared: &[Part], kv_capacity: u64, now: Millis, ready: Millis) {
        for part in shared {
            let old = self.parts.get(&part.id).copied();
            let kept = CachedPart {
                tokens: part.tokens,
                last_used: now,
                ready_at: old.map_or(ready, |old| old.ready_at.min(ready)),
            };
            self.parts.insert(part.id, kept);
            self.total -= old.map_or(0, |old| u64::from(old.tokens));
            self.total += u64::from(part.tokens);
        }
        let bound = (kv_capacity as f64 * CACHE_SHARE) as u64;
        while self.total > bound && self.parts.len() > 1 {
            self.evict();
        }
    }

    /// Takes the list of all parts that an engine keeps.
    ///
    /// What was used or computed since a time may be missing in a list that was made before.
    pub fn reconcile(&mut self, parts: &[Part], since: Millis, now: Millis) {
        let listed: BTreeSet<PartId> = parts.iter().map(|part| part.id).collect();
        self.parts
            .retain(|id, kept| kept.last_used.max(kept.ready_at) >= since || listed.contains(id));
        for part in parts {
            self.parts.entry(part.id).or_insert(CachedPart {
                tokens: part.tokens,
                last_used: since,
                ready_at: now,
            });
        }
        self.total = self.parts.values().map(|kept| u64::from(kept.tokens)).sum();
    }

    /// Removes the part that was used least recently.
    fn evict(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, kept)| kept.last_used);
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return;
        };
        if let Some(kept) = self.parts.remove(&id) {
            self.total -= u64::from(kept.tokens);
        }
    }
}
