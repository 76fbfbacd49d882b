//! The choice of the instances that take care of a key, without a word between them.

use std::hash::{DefaultHasher, Hash, Hasher};

use cactuslane_types::InstanceId;

/// Returns whether an instance is among the first, by rendezvous hash, that take care of a key.
///
/// `others` are the other instances that may; where views differ, more or fewer take care for a while.
#[must_use]
pub fn is_top_ranked(me: &str, others: &[InstanceId], key: &str, count: usize) -> bool {
    let mine = rank(me, key);
    let ahead = others.iter().filter(|other| rank(other, key) > mine);
    ahead.take(count).count() < count
}

/// Ranks an instance for a key; the highest is the first.
fn rank(instance: &str, key: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (instance, key).hash(&mut hasher);
    hasher.finish()
}
