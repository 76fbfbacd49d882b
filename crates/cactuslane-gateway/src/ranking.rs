//! Choice of the instances that perform a task, by rendezvous hashing and without communication.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use cactuslane_types::InstanceId;

/// Number of other instances below which each instance watches the store itself, as relays would
/// save few calls.
const SMALL_DEPLOYMENT: usize = 12;

/// Returns whether an instance is among the `count` instances that rank highest for the task
/// that `key` identifies.
///
/// `others` are the other candidates. While instances know different candidates, more or fewer than
/// `count` of them perform the task.
#[must_use]
pub fn is_top_ranked(me: &str, others: &[InstanceId], key: &str, count: usize) -> bool {
    count_ahead(me, others, key) < count as u64
}

/// Returns the number of candidates that rank higher than an instance for the task that `key`
/// identifies.
#[must_use]
pub fn count_ahead(me: &str, others: &[InstanceId], key: &str) -> u64 {
    let mine = rank(me, key);
    let ahead = others.iter().filter(|other| rank(other, key) > mine);
    ahead.count() as u64
}

/// Returns the `count` instances that rank highest for the task that `key` identifies, the highest
/// first.
#[must_use]
pub fn top_ranked(candidates: Vec<InstanceId>, key: &str, count: usize) -> Vec<InstanceId> {
    let mut ranked = candidates;
    ranked.sort_by_cached_key(|instance| Reverse(rank(instance, key)));
    ranked.truncate(count);
    ranked
}

/// Returns whether a deployment is so small that each instance watches the store itself.
///
/// `others` is the number of other instances that are reachable and not leaving.
#[must_use]
pub fn is_small_deployment(others: usize) -> bool {
    others < SMALL_DEPLOYMENT
}

/// Returns the rank of an instance for a task, a hash of the instance's id and the task's key.
fn rank(instance: &str, key: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (instance, key).hash(&mut hasher);
    hasher.finish()
}
