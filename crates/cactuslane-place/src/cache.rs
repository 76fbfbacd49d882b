//! Estimate of the contents of one engine's prefix cache.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_flight::request_info::{PartId, PromptPart};
use cactuslane_types::Millis;

/// Largest share of an engine's KV capacity that prompt parts are assumed to fill, those that no
/// request currently needs included.
const CACHE_SHARE: f64 = 0.97;

/// Largest number of parts that an estimate keeps, however short they are.
pub const MAX_PARTS: usize = 4096;
/// Number of parts that are left when there were more.
const KEPT_PARTS: usize = MAX_PARTS / 8 * 7;

/// Estimated contents of one engine's prefix cache, with least-recently-used eviction.
#[derive(Clone, Debug, Default)]
pub struct CacheEstimate {
    /// Cached prompt parts by id.
    parts: BTreeMap<PartId, CachedPart>,
    /// Sum of the lengths of all parts, in tokens.
    total: u64,
}

/// A prompt part that an engine is assumed to cache.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    /// Length of the part in tokens.
    tokens: u32,
    /// Time of the last known use, on this instance's clock.
    last_used: Millis,
    /// Time from which the part is computed and can be fetched, on this instance's clock; an
    /// estimate while it lies in the future.
    ready_at: Millis,
}

impl CacheEstimate {
    /// Returns the number of leading prompt tokens that are cached and need not be computed.
    ///
    /// Counts parts up to the first one that is not cached; parts that are still being computed
    /// count as cached.
    #[must_use]
    pub fn cached(&self, parts: &[PromptPart]) -> u32 {
        let mut tokens = 0;
        for part in parts {
            if !self.parts.contains_key(&part.id) {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }

    /// Returns the number of leading prompt tokens that another engine can fetch at time `at`.
    ///
    /// Unlike [`Self::cached`], stops at the first part that is not computed by then.
    #[must_use]
    pub fn fetchable(&self, parts: &[PromptPart], at: Millis) -> u32 {
        let mut tokens = 0;
        for part in parts {
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

    /// Returns the estimated size of the cache's contents, in tokens.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Records that the engine uses prompt parts, and evicts the least recently used parts beyond
    /// its capacity.
    ///
    /// `kv_capacity` is the engine's KV capacity in tokens. Parts that were not cached are computed
    /// at time `ready`; for cached parts, the earlier of `ready` and the time known so far counts.
    /// At least one part is kept, whatever the capacity.
    pub fn record_use(
        &mut self,
        parts: &[PromptPart],
        kv_capacity: u64,
        now: Millis,
        ready: Millis,
    ) {
        for part in parts {
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
        self.trim();
    }

    /// Corrects the estimate by the complete list of parts that the engine caches.
    ///
    /// Parts that were used or computed at or after `since` are kept even if they are not listed,
    /// as the list may have been made before. Listed parts that were not known get `since` as the
    /// time of their last use, and can be fetched from `now` on.
    pub fn reconcile(&mut self, parts: &[PromptPart], since: Millis, now: Millis) {
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
        self.trim();
    }

    /// Evicts the least recently used parts if there are more than [`MAX_PARTS`].
    fn trim(&mut self) {
        if self.parts.len() <= MAX_PARTS {
            return;
        }
        let parts = self.parts.iter();
        let mut oldest: Vec<_> = parts.map(|(id, kept)| (kept.last_used, *id)).collect();
        oldest.sort_unstable();
        for (_, id) in &oldest[..oldest.len() - KEPT_PARTS] {
            if let Some(kept) = self.parts.remove(id) {
                self.total -= u64::from(kept.tokens);
            }
        }
    }

    /// Evicts the least recently used part, if there is any.
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
