//! An approximate index of which targets have cached which prompt prefixes.

use std::collections::{BTreeMap, VecDeque};

use cactuslane_types::{Millis, TargetId};

/// The hash of a prefix of a prompt that ends at a KV block boundary.
pub type BlockHash = u64;

/// Largest number of prefixes in the index.
const MAX_PREFIXES: usize = 65_536;
/// Largest number of targets per prefix; the one recorded longest ago is dropped.
const MAX_TARGETS: usize = 4;
/// Time after which an entry that was not recorded again is ignored, in milliseconds.
const MAX_AGE: Millis = 120_000;

/// An index of the targets that have computed each prefix.
///
/// A stale entry costs one recomputation of the prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    /// The targets that hold each prefix, with the time at which that was last recorded.
    holders: BTreeMap<BlockHash, Vec<(TargetId, Millis)>>,
    /// The prefixes in the order in which they were added.
    order: VecDeque<BlockHash>,
}

impl PrefixMap {
    /// Records that a target has computed, or has reported as cached, the given prefixes.
    pub fn stored(&mut self, target: &str, blocks: &[BlockHash], now: Millis) {
        for block in blocks {
            let holders = self.holders.entry(*block).or_insert_with(|| {
                self.order.push_back(*block);
                Vec::new()
            });
            match holders.iter_mut().find(|(id, _)| id == target) {
                Some((_, recorded)) => *recorded = now,
                None => holders.push((target.to_owned(), now)),
            }
            if holders.len() > MAX_TARGETS {
                let oldest = holders
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, (_, recorded))| *recorded);
                let oldest = oldest.map_or(0, |(index, _)| index);
                holders.swap_remove(oldest);
            }
        }
        self.evict();
    }

    /// Records that a target has reported the eviction of prefixes.
    pub fn removed(&mut self, target: &str, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(holders) = self.holders.get_mut(block) {
                holders.retain(|(id, _)| id != target);
            }
        }
    }

    /// Removes a target from all prefixes.
    ///
    /// Used after a gap in the target's cache events, as when its memory was lost.
    pub fn forget(&mut self, target: &str) {
        for holders in self.holders.values_mut() {
            holders.retain(|(id, _)| id != target);
        }
    }

    /// Returns the number of consecutive prefixes from the first that each target holds.
    ///
    /// Targets that hold none are left out.
    #[must_use]
    pub fn hits(&self, blocks: &[BlockHash], now: Millis) -> BTreeMap<&str, u32> {
        let mut hits = BTreeMap::new();
        for (index, block) in blocks.iter().enumerate() {
            let Some(holders) = self.holders.get(block) else {
                break;
            };
            let mut any = false;
            for (id, recorded) in holders {
                let known = hits.get(id.as_str()).copied().unwrap_or(0);
                if now.saturating_sub(*recorded) > MAX_AGE || known != index as u32 {
                    continue;
                }
                hits.insert(id.as_str(), index as u32 + 1);
                any = true;
            }
            if !any {
                break;
            }
        }
        hits
    }

    /// Returns the number of prefixes in the index, including those that no target holds any more.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether the index has no prefixes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Evicts the prefixes that were added first until the limit holds.
    fn evict(&mut self) {
        while self.holders.len() > MAX_PREFIXES {
            let Some(block) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&block);
        }
    }
}
