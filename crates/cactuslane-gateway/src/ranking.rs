//! The choice of the instances that take care of a thing, without a word between them.

use std::hash::{DefaultHasher, Hash, Hasher};

use cactuslane_types::InstanceId;

/// Returns whether an instance is among the first, by rendezvous hash, that take care of a thing.
///
/// `others` are the other instances that may; where views differ, more or fewer take care for a while.
#[must_use]
pub fn is_among(me: &str, others: &[InstanceId], thing: &str, first: usize) -> bool {
    let mine = rank(me, thing);
    let ahead = others.iter().filter(|other| rank(other, thing) > mine);
    ahead.take(first).count() < first
}

/// Ranks an instance for a thing; the highest is the first.
fn rank(instance: &str, thing: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (instance, thing).hash(&mut hasher);
    hasher.finish()
}
