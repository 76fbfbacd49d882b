//! Tokens that callers carry between instances.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use cactuslane_types::{CallerId, Incarnation, InstanceId, Millis, ServiceName, TargetId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Key, Purpose, WireError};

/// Carries what another instance needs to take up a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// Is the caller that the stream belongs to.
    pub caller: CallerId,
    /// Is the id under which the engine knows the stream.
    pub request: String,
    /// Is the hash of the request's body.
    pub body: [u8; 32],
    /// Is the model.
    pub model: ServiceName,
    /// Is the engine that generated the tokens so far.
    pub target: TargetId,
}

/// Is an idempotency key bound to one incarnation of one instance.
///
/// Only that incarnation may execute a call that carries the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedKey {
    /// Is the caller that the key was issued to.
    pub caller: CallerId,
    /// Is the instance that may execute the call.
    pub instance: InstanceId,
    /// Is the instance's incarnation.
    pub incarnation: Incarnation,
    /// Is the wall-clock time at which it was issued, in milliseconds.
    pub issued: Millis,
    /// Makes keys of one caller and incarnation differ.
    pub serial: u64,
}

/// Proves that a forwarded call comes from an instance of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardProof {
    /// Is the instance that forwards.
    pub from: InstanceId,
    /// Is its incarnation.
    pub incarnation: Incarnation,
    /// Is the number of the forwarded call within that incarnation.
    pub sequence: u64,
    /// Is the instance that the call is forwarded to.
    pub to: InstanceId,
    /// Is the incarnation that it is forwarded to.
    pub to_incarnation: Incarnation,
    /// Is the caller on whose behalf it is forwarded.
    pub caller: CallerId,
    /// Is the hash of the call: method, path, key and body.
    pub call: [u8; 32],
}

/// Encodes a token as text.
#[must_use]
pub fn encode<T: Serialize>(key: &Key, purpose: Purpose, token: &T) -> String {
    URL_SAFE_NO_PAD.encode(key.seal(purpose, token))
}

/// Decodes and verifies a token.
///
/// # Errors
///
/// Returns an error where the text is no token or the tag does not match.
pub fn decode<T: DeserializeOwned>(
    key: &Key,
    purpose: Purpose,
    text: &str,
) -> Result<T, WireError> {
    let sealed = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| WireError::Malformed)?;
    key.open(purpose, &sealed)
}
