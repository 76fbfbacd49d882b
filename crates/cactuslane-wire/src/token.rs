//! Tokens that callers and instances present in the headers of requests.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use cactuslane_types::{CallerId, Incarnation, InstanceId, Millis, ServiceName, TargetId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{ClusterKey, Purpose, WireError};

/// Token with which a caller resumes a stream at any instance of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// Caller that the stream belongs to; only it can resume the stream.
    pub caller: CallerId,
    /// Id of the request, under which the engine knows the stream.
    pub request_id: String,
    /// SHA-256 hash of the request's body, which has to be the same on a resumption.
    pub body_hash: [u8; 32],
    /// Name of the model, which has to be the same on a resumption.
    pub model: ServiceName,
    /// Engine that generated the tokens so far.
    pub target: TargetId,
}

/// Token in an issued idempotency key, which binds the key to one incarnation of one instance.
///
/// Only that incarnation may execute a call that carries the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedKey {
    /// Caller that the key was issued to; others may not use it.
    pub caller: CallerId,
    /// Instance that may execute the call, not necessarily the one that issued the key.
    pub instance: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Time at which the key was issued, by the wall clock of the issuing instance, in milliseconds
    /// since the Unix epoch. The executing instance compares it with its own wall clock and rejects
    /// a key whose first use comes too late.
    pub issued_at: Millis,
    /// Random number that distinguishes the keys of one caller and incarnation.
    pub nonce: u64,
}

/// Proof that a forwarded call comes from an instance of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardProof {
    /// Instance that forwards the call.
    pub from: InstanceId,
    /// Incarnation of the forwarding instance.
    pub from_incarnation: Incarnation,
    /// Number of the call among those that this incarnation has forwarded, counted from 1.
    pub sequence: u64,
    /// Instance that the call is forwarded to.
    pub to: InstanceId,
    /// Incarnation that the call is forwarded to; a later one may not execute it.
    pub to_incarnation: Incarnation,
    /// Caller on whose behalf the call is forwarded.
    pub caller: CallerId,
    /// SHA-256 hash of the call's method, path, idempotency key and body.
    pub call_hash: [u8; 32],
}

/// Seals a token and encodes it as URL-safe Base64 without padding.
#[must_use]
pub fn encode<T: Serialize>(key: &ClusterKey, purpose: Purpose, token: &T) -> String {
    URL_SAFE_NO_PAD.encode(key.seal(purpose, token))
}

/// Verifies a token in the text form of [`encode`] and decodes it.
///
/// # Errors
///
/// Returns [`WireError::InvalidTag`] if the tag does not match, and [`WireError::Malformed`] if the
/// text is not URL-safe Base64, is too short to hold a tag, or the token does not decode.
pub fn decode<T: DeserializeOwned>(
    key: &ClusterKey,
    purpose: Purpose,
    text: &str,
) -> Result<T, WireError> {
    let sealed = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| WireError::Malformed)?;
    key.open(purpose, &sealed)
}
