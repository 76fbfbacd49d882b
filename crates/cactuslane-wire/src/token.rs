//! Tokens that callers carry between instances.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use cactuslane_types::{CallerId, Incarnation, InstanceId, Millis, ServiceName, TargetId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{ClusterKey, Purpose, WireError};

/// Carries what another instance needs to take up a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// The caller that the stream belongs to.
    pub caller: CallerId,
    /// The id under which the engine knows the stream.
    pub request_id: String,
    /// The hash of the request's body.
    pub body_hash: [u8; 32],
    /// The model.
    pub model: ServiceName,
    /// The engine that generated the tokens so far.
    pub target: TargetId,
}

/// An idempotency key bound to one incarnation of one instance.
///
/// Only that incarnation may execute a call that carries the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedKey {
    /// The caller that the key was issued to.
    pub caller: CallerId,
    /// The instance that may execute the call.
    pub instance: InstanceId,
    /// The instance's incarnation.
    pub incarnation: Incarnation,
    /// The wall-clock time at which it was issued, in milliseconds.
    pub issued_at: Millis,
    /// Makes keys of one caller and incarnation differ.
    pub nonce: u64,
}

/// Proves that a forwarded call comes from an instance of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardProof {
    /// The instance that forwards.
    pub from: InstanceId,
    /// Its incarnation.
    pub from_incarnation: Incarnation,
    /// The number of the forwarded call within that incarnation.
    pub sequence: u64,
    /// The instance that the call is forwarded to.
    pub to: InstanceId,
    /// The incarnation that it is forwarded to.
    pub to_incarnation: Incarnation,
    /// The caller on whose behalf it is forwarded.
    pub caller: CallerId,
    /// The hash of the call: method, path, key and body.
    pub call_hash: [u8; 32],
}

/// Encodes a token as text.
#[must_use]
pub fn encode<T: Serialize>(key: &ClusterKey, purpose: Purpose, token: &T) -> String {
    URL_SAFE_NO_PAD.encode(key.seal(purpose, token))
}

/// Decodes and verifies a token.
///
/// # Errors
///
/// Returns an error where the text is no token or the tag does not match.
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
