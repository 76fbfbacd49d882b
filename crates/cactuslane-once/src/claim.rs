//! Claims of callers' own idempotency keys in the key-value service.
//!
//! A claim binds a key to one incarnation of one instance. Claims are grouped into buckets, one
//! for each [`IDEMPOTENCY_WINDOW`] of the claiming instance's wall clock. A claim is made only if
//! neither its own bucket nor either neighbouring one holds a claim of the key, so that instances
//! find each other's claims as long as their clocks differ by at most one window. Expired buckets
//! are deleted with all their claims.

use cactuslane_types::{Incarnation, InstanceId, Millis};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{CallKey, IDEMPOTENCY_WINDOW};

/// Prefix of the store keys of all claims; the bucket's number and the key's digest follow.
pub const CLAIM_PREFIX: &str = "cactuslane/once/";

/// The value of a claim, stored as JSON in the key-value service. It also names the incarnation
/// that an issued key is bound to when a call is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Instance that may execute the call.
    pub instance: InstanceId,
    /// Incarnation of the instance that may execute the call; later ones may not.
    pub incarnation: Incarnation,
}

/// The store keys at which a claim of one idempotency key can be found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimKeys {
    /// Store key in the current bucket, at which a new claim is made.
    pub current: String,
    /// Store key in the previous bucket.
    pub previous: String,
    /// Store key in the next bucket, in which an instance whose clock is ahead makes its claims.
    pub next: String,
}

impl ClaimKeys {
    /// Returns the store keys of an idempotency key at a wall-clock time, in milliseconds since
    /// 1970.
    #[must_use]
    pub fn of(key: &CallKey, wall_ms: Millis) -> Self {
        let bucket = wall_ms / IDEMPOTENCY_WINDOW;
        let digest = key_digest(key);
        Self {
            current: store_key(bucket, &digest),
            previous: store_key(bucket.saturating_sub(1), &digest),
            next: store_key(bucket + 1, &digest),
        }
    }

    /// Returns the current, the previous and the next store key.
    #[must_use]
    pub fn all(&self) -> [&String; 3] {
        [&self.current, &self.previous, &self.next]
    }
}

/// Returns the prefixes of the latest buckets that no instance reads any more at the wall-clock
/// time `wall_ms`, in milliseconds since 1970, provided that the clocks of the reading and the
/// deleting instance differ by at most one window.
///
/// They cover 25 hours, so that a day without deletions leaves no claims behind.
#[must_use]
pub fn expired_prefixes(wall_ms: Millis) -> Vec<String> {
    /// Ages of the buckets to delete, in buckets before the current one. At age 2 a bucket is
    /// still the previous one for an instance whose clock is one window behind.
    const AGES: std::ops::Range<u64> = 3..28;
    let bucket = wall_ms / IDEMPOTENCY_WINDOW;
    let old = AGES.filter_map(|age| bucket.checked_sub(age));
    old.map(|bucket| format!("{CLAIM_PREFIX}{bucket:010}/"))
        .collect()
}

/// Returns the store key of a digest in a bucket.
fn store_key(bucket: u64, digest: &str) -> String {
    format!("{CLAIM_PREFIX}{bucket:010}/{digest}")
}

/// Returns the first 16 bytes of the SHA-256 hash of a key, in hex.
///
/// The hash covers the length of the caller's name, so that pairs of caller and key whose
/// concatenations are equal get different digests.
fn key_digest(key: &CallKey) -> String {
    let mut hasher = Sha256::new();
    hasher.update((key.0.len() as u64).to_be_bytes());
    hasher.update(key.0.as_bytes());
    hasher.update(key.1.as_bytes());
    hex::encode(&hasher.finalize()[..16])
}
