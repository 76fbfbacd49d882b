//! Authenticated postcard messages and tokens between instances.
//!
//! A [`ClusterKey`] seals a value for one [`Purpose`]; a value sealed for one purpose does not open
//! for another. A [`ReplayWindow`] refuses messages that were seen before.

pub mod replay;
pub mod token;

use std::fmt;

use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

pub use replay::ReplayWindow;

/// Length of an authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Authenticates messages between the instances of one deployment.
#[derive(Clone)]
pub struct ClusterKey {
    /// The shared secret.
    secret: Vec<u8>,
}

/// Separates the uses of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Datagrams of membership.
    Gossip,
    /// Requests over TCP.
    Request,
    /// Answers over TCP.
    Answer,
    /// Tokens with which a caller resumes a stream.
    Resume,
    /// Idempotency keys issued with an address answer.
    IssuedKey,
    /// Calls that one instance forwards to another.
    Forward,
}

/// Says why sealed bytes were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are shorter than a tag or not of the expected encoding.
    Malformed,
    /// The tag does not match: forged, corrupted or of another deployment.
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
    /// Creates a key from the secret in the settings.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            secret: secret.as_bytes().to_vec(),
        }
    }

    /// Encodes and authenticates a value: the tag, then postcard.
    ///
    /// # Panics
    ///
    /// Panics if the value's type cannot be encoded by postcard, which no message type of these
    /// crates is.
    #[must_use]
    pub fn seal<T: Serialize>(&self, purpose: Purpose, value: &T) -> Vec<u8> {
        let body = postcard::to_stdvec(value).expect("message types are encodable");
        let mut sealed = self.tag(purpose, &body);
        sealed.extend_from_slice(&body);
        sealed
    }

    /// Verifies and decodes a sealed value.
    ///
    /// # Errors
    ///
    /// Returns an error where the tag does not match or the body does not decode.
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

    /// Computes the truncated tag of a body.
    fn tag(&self, purpose: Purpose, body: &[u8]) -> Vec<u8> {
        self.mac(purpose, body).finalize().into_bytes()[..TAG_BYTES].to_vec()
    }

    /// Starts the authentication code over a purpose and a body.
    fn mac(&self, purpose: Purpose, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("any key length works");
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
