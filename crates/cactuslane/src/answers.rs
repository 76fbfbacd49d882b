//! Answers of instances to commands.

use cactuslane_store::http::Client;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::Value;

use crate::CommandError;

/// Sends a request to an instance and returns the JSON body of an answer with status 200.
///
/// # Errors
///
/// Returns an error with the message in the answer, or `no_message`, for any other status, and one
/// for a body that is no JSON, as it is if the answer breaks off.
pub async fn read_json(
    request: Request<Full<Bytes>>,
    no_message: &str,
) -> Result<Value, CommandError> {
    let failed = |message: String| CommandError::Failed(message);
    let answer = Client::open().send_and_collect(request).await;
    let (status, body) = answer.map_err(|error| failed(error.to_string()))?;
    let value = serde_json::from_slice::<Value>(&body);
    if status != 200 {
        let value = value.unwrap_or(Value::Null);
        let message = value["error"]["message"].as_str().unwrap_or(no_message);
        return Err(failed(format!("{status}: {message}")));
    }
    value.map_err(|error| {
        let bytes = body.len();
        failed(format!(
            "the answer of {bytes} bytes is no JSON, it may have broken off; ask again: {error}"
        ))
    })
}
