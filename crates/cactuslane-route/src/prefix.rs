//! Beliefs about which targets have cached which prompt prefixes.

use std::collections::{BTreeMap, VecDeque};

use cactuslane_types::{Millis, TargetId};

/// The hash of a prompt's prefix that ends at a piece's border.
pub type BlockHash = u64;

/// Number of prefixes that are remembered at most.
const MAX_PREFIXES: usize = 65_536;
/// Number of targets that are remembered for one prefix at most.
const MAX_TARGETS: usize = 4;
/// Age after which a belief is no longer used, in milliseconds.
const MAX_AGE: Millis = 120_000;

/// Remembers where prefixes were computed; a wrong belief costs one recomputation.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    /// Holds the targets of each prefix with the time of the last use.
    holders: BTreeMap<BlockHash, Vec<(TargetId, Millis)>>,
    /// Holds the order in which prefixes were first seen.
    order: VecDeque<BlockHash>,
}

impl PrefixMap {
    /// Records that a target has computed or reported a prompt's prefixes.
    pub fn stored(&mut self, target: &str, blocks: &[BlockHash], now: Millis) {
        for block in blocks {
            let holders = self.holders.entry(*block).or_insert_with(|| {
                self.order.push_back(*block);
                Vec::new()
            });
            match holders.iter_mut().find(|(id, _)| id == target) {
                Some((_, used)) => *used = now,
                None => holders.push((target.to_owned(), now)),
            }
            if holders.len() > MAX_TARGETS {
                let oldest = holders
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, (_, used))| *used);
                let oldest = oldest.map_or(0, |(index, _)| index);
                holders.swap_remove(oldest);
            }
        }
        self.evict();
    }

    /// Records that a target has reported the removal of prefixes.
    pub fn removed(&mut self, target: &str, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(holders) = self.holders.get_mut(block) {
                holders.retain(|(id, _)| id != target);
            }
        }
    }

    /// Forgets a target whose memory is gone.
    pub fn forget(&mut self, target: &str) {
        for holders in self.holders.values_mut() {
            holders.retain(|(id, _)| id != target);
        }
    }

    /// Returns, for each believed target, how many leading prefixes it has.
    #[must_use]
    pub fn hits(&self, blocks: &[BlockHash], now: Millis) -> BTreeMap<&str, u32> {
        let mut hits = BTreeMap::new();
        for (index, block) in blocks.iter().enumerate() {
            let Some(holders) = self.holders.get(block) else {
                break;
            };
            let mut any = false;
            for (id, used) in holders {
                let known = hits.get(id.as_str()).copied().unwrap_or(0);
                if now.saturating_sub(*used) > MAX_AGE || known != index as u32 {
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

    /// Returns the number of remembered prefixes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no prefix is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Drops the oldest prefixes beyond the limit.
    fn evict(&mut self) {
        while self.holders.len() > MAX_PREFIXES {
            let Some(block) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&block);
        }
    }
}
