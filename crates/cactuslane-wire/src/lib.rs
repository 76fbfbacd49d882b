//! Authenticated messages and tokens between instances, encoded with postcard.
//!
//! A [`ClusterKey`] seals a value for one [`Purpose`]; a value sealed for one purpose does not open
//! for another. A [`ReplayWindow`] rejects messages that were received before.

pub mod replay;
pub mod token;

use std::fmt;

use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

pub use replay::ReplayWindow;

/// Length in bytes of an authentication tag, a truncated HMAC-SHA-256.
pub const TAG_BYTES: usize = 16;

/// Key that authenticates messages between the instances of one deployment.
#[derive(Clone)]
pub struct ClusterKey {
    /// Secret that all instances of the deployment share.
    secret: Vec<u8>,
}

/// Use of a sealed value, so that a value sealed for one use is rejected in another.
///
/// The number of the variant is authenticated with each value; the order is part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Gossip datagrams between instances, which also carry the membership.
    Gossip,
    /// Requests between instances over TCP.
    Request,
    /// Answers to requests between instances over TCP.
    Answer,
    /// Tokens with which a caller resumes a stream at any instance.
    Resume,
    /// Tokens in the idempotency keys that are issued with the addresses of instances.
    IssuedKey,
    /// Proofs in calls that one instance forwards to another.
    Forward,
}

/// Reason why sealed bytes were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are shorter than a tag, or the value or its text form does not decode.
    Malformed,
    /// The tag does not match: the bytes are forged, corrupted, sealed for another purpose or from
    /// another deployment.
    InvalidTag,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed message",
            Self::InvalidTag => "message with a wrong authentication tag",
        })
    }
}

impl ClusterKey {
    /// Creates a key from `cluster_key` in the settings.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            secret: secret.as_bytes().to_vec(),
        }
    }

    /// Encodes and authenticates a value; returns the tag followed by the value in postcard. The
    /// value is not encrypted.
    ///
    /// # Panics
    ///
    /// Panics if postcard cannot encode the type of the value; it can encode all message types of
    /// these crates.
    #[must_use]
    pub fn seal<T: Serialize>(&self, purpose: Purpose, value: &T) -> Vec<u8> {
        let body = postcard::to_stdvec(value).expect("message types are encodable");
        let mut sealed = self.tag(purpose, &body);
        sealed.extend_from_slice(&body);
        sealed
    }

    /// Verifies a sealed value and decodes it.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::InvalidTag`] if the tag does not match, and [`WireError::Malformed`] if
    /// `sealed` is shorter than a tag or the value does not decode.
    pub fn open<T: DeserializeOwned>(
        &self,
        purpose: Purpose,
        sealed: &[u8],
    ) -> Result<T, WireError> {
        let Some((tag, body)) = sealed.split_at_checked(TAG_BYTES) else {
            return Err(WireError::Malformed);
        };
        self.mac(purpose, body)
            .verify_truncated_left(tag)
            .map_err(|_| WireError::InvalidTag)?;
        postcard::from_bytes(body).map_err(|_| WireError::Malformed)
    }

    /// Returns the tag of an encoded value: the first bytes of its HMAC.
    fn tag(&self, purpose: Purpose, body: &[u8]) -> Vec<u8> {
        self.mac(purpose, body).finalize().into_bytes()[..TAG_BYTES].to_vec()
    }

    /// Returns an HMAC that has been fed a purpose and an encoded value.
    fn mac(&self, purpose: Purpose, body: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        mac.update(&[purpose as u8]);
        mac.update(body);
        mac
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}
