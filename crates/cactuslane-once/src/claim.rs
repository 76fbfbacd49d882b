//! Claims of callers' own keys in the key-value service.
//!
//! A claim binds a key to one incarnation of one instance. It lives in a bucket of the time at
//! which it was made; a claim is made only if neither its own bucket nor a neighbour holds one,
//! so that clocks which differ by less than a bucket agree. Whole buckets are deleted when old.

use cactuslane_types::{Incarnation, InstanceId, Millis};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{CallKey, IDEMPOTENCY_WINDOW};

/// Prefix of all claims.
pub const CLAIM_PREFIX: &str = "cactuslane/once/";

/// A claim as the key-value service holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The instance that may execute the call.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Holds the places at which a claim of a key can stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimKeys {
    /// The place in the bucket of now, where a new claim is made.
    pub current: String,
    /// The place in the bucket before.
    pub previous: String,
    /// The place in the bucket after.
    pub next: String,
}

impl ClaimKeys {
    /// Returns the places of a key at a wall-clock time.
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

    /// Returns all places.
    #[must_use]
    pub fn all(&self) -> [&String; 3] {
        [&self.current, &self.previous, &self.next]
    }
}

/// Returns the prefixes of buckets that no instance reads any more at a wall-clock time: those of
/// the last day, so that a day without anybody who deletes leaves nothing behind.
#[must_use]
pub fn expired_prefixes(wall_ms: Millis) -> Vec<String> {
    /// Ages of buckets that are deleted, in buckets.
    const AGES: std::ops::Range<u64> = 3..28;
    let bucket = wall_ms / IDEMPOTENCY_WINDOW;
    let old = AGES.filter_map(|age| bucket.checked_sub(age));
    old.map(|bucket| format!("{CLAIM_PREFIX}{bucket:010}/"))
        .collect()
}

/// Returns the place of a name in a bucket.
fn store_key(bucket: u64, digest: &str) -> String {
    format!("{CLAIM_PREFIX}{bucket:010}/{digest}")
}

/// Returns the hash of a key in hex; the length of the caller's name keeps pairs apart.
fn key_digest(key: &CallKey) -> String {
    let mut hasher = Sha256::new();
    hasher.update((key.0.len() as u64).to_be_bytes());
    hasher.update(key.0.as_bytes());
    hasher.update(key.1.as_bytes());
    hex::encode(&hasher.finalize()[..16])
}
