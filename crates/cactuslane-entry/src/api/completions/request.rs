//! Parsing of completion requests, and the requests to engines that are built from them.

use cactuslane_config::EngineModel;
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

use crate::reply::ApiError;

/// Number of bytes of text that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Number of bytes of text that are estimated to fill one KV block of an engine.
const BYTES_PER_BLOCK: usize = 256;
/// Maximum number of output tokens of a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Fields of a request to an engine that only the instance may set; removed from the body of the
/// caller.
const RESERVED_FIELDS: [&str; 4] = [
    "request_id",
    "priority",
    "resume_from",
    "kv_transfer_params",
];

/// A parsed completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Name of the model as requested; whether the caller may use it is not checked yet.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the request uses the chat interface.
    pub chat: bool,
    /// Estimated length of the prompt, in tokens; at least 1.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, one per full block of [`BYTES_PER_BLOCK`], shortest prefix
    /// first.
    pub block_hashes: Vec<u64>,
    /// SHA-256 hash of the body as the caller sent it, which a resume token must match.
    pub body_hash: [u8; 32],
    /// Fields of the body without [`RESERVED_FIELDS`], passed on to the engine.
    fields: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError::BadRequest`] if a field is missing, has the wrong type or is not
    /// supported.
    pub fn parse(bytes: &[u8], chat: bool) -> Result<Self, ApiError> {
        let bad_request = |message: String| ApiError::BadRequest(message);
        let value: Value =
            serde_json::from_slice(bytes).map_err(|error| bad_request(error.to_string()))?;
        let Value::Object(mut fields) = value else {
            return Err(bad_request("the body is no JSON object".to_owned()));
        };
        let model = text_field(&fields, "model")?.to_owned();
        let text = if chat {
            chat_text(&fields)?
        } else {
            text_field(&fields, "prompt")?.to_owned()
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad_request("`stream` is neither true nor false".to_owned())),
        };
        if fields.get("n").is_some_and(|n| *n != 1 && !n.is_null()) {
            return Err(bad_request("only `n` of 1 is served".to_owned()));
        }
        let max_tokens = max_tokens(&fields)?;
        for name in RESERVED_FIELDS {
            fields.remove(name);
        }
        Ok(Self {
            model,
            stream,
            chat,
            prompt_tokens: (text.len().div_ceil(BYTES_PER_TOKEN) as u32).max(1),
            max_tokens,
            block_hashes: block_hashes(&text),
            body_hash: Sha256::digest(bytes).into(),
            fields,
        })
    }

    /// Checks the maximum number of output tokens against the limit of the model; raises 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError::BadRequest`] if the request asks for more tokens than the model allows.
    pub fn check_limits(mut self, model: &EngineModel) -> Result<Self, ApiError> {
        let limit = model.max_output as u32;
        if self.max_tokens > limit {
            let message = format!(
                "`max_tokens` is {}, the model allows {limit}",
                self.max_tokens
            );
            return Err(ApiError::BadRequest(message));
        }
        self.max_tokens = self.max_tokens.max(1);
        Ok(self)
    }

    /// Returns the path of the request at the engine, the same as at this instance.
    pub fn path(&self) -> &'static str {
        if self.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        }
    }

    /// Builds the body of a request to an engine. `request_id` is the id of the attempt,
    /// `resume_from` the number of tokens that were generated before, which count towards
    /// `max_tokens`, and `transfer` the parameters of the KV cache transfer, null without one.
    pub fn engine_body(
        &self,
        request_id: &str,
        priority: u8,
        resume_from: u32,
        transfer: &Value,
    ) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("request_id".to_owned(), json!(request_id));
        fields.insert("priority".to_owned(), json!(priority));
        fields.insert("max_tokens".to_owned(), json!(self.max_tokens));
        fields.insert("stream".to_owned(), json!(true));
        if resume_from > 0 {
            fields.insert("resume_from".to_owned(), json!(resume_from));
        }
        if !transfer.is_null() {
            fields.insert("kv_transfer_params".to_owned(), transfer.clone());
        }
        Value::Object(fields)
    }
}

/// Returns the text of a required field.
fn text_field<'f>(fields: &'f Map<String, Value>, name: &str) -> Result<&'f str, ApiError> {
    let text = fields.get(name).and_then(Value::as_str);
    text.ok_or_else(|| ApiError::BadRequest(format!("the field `{name}` is missing or no text")))
}

/// Returns the maximum number of output tokens: `max_completion_tokens`, else `max_tokens`, else
/// [`DEFAULT_MAX_TOKENS`]. A null in the first one that is present gives the default too.
fn max_tokens(fields: &Map<String, Value>) -> Result<u32, ApiError> {
    let given = fields
        .get("max_completion_tokens")
        .or_else(|| fields.get("max_tokens"));
    match given {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => {
            let tokens = value.as_u64().and_then(|tokens| u32::try_from(tokens).ok());
            let message = "`max_tokens` is no whole number".to_owned();
            tokens.ok_or(ApiError::BadRequest(message))
        }
    }
}

/// Returns the messages of a chat request as one text, from which the prompt's length and hashes
/// are computed.
fn chat_text(fields: &Map<String, Value>) -> Result<String, ApiError> {
    let bad_request = |message: &str| ApiError::BadRequest(message.to_owned());
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages =
        messages.ok_or_else(|| bad_request("the field `messages` is missing or no list"))?;
    if messages.is_empty() {
        return Err(bad_request("the field `messages` is empty"));
    }
    let mut text = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        text.push_str(role.ok_or_else(|| bad_request("a message has no role"))?);
        text.push_str(": ");
        match message.get("content") {
            Some(Value::String(content)) => text.push_str(content),
            Some(other) => text.push_str(&other.to_string()),
            None => {}
        }
        text.push('\n');
    }
    Ok(text)
}

/// Returns the hashes of the prefixes that end at a block boundary: the first 8 bytes of SHA-256,
/// as a big-endian number.
fn block_hashes(text: &str) -> Vec<u64> {
    let mut hasher = Sha256::new();
    let mut prefixes = Vec::new();
    for block in text.as_bytes().chunks_exact(BYTES_PER_BLOCK) {
        hasher.update(block);
        let digest = hasher.clone().finalize();
        let first: [u8; 8] = digest[..8]
            .try_into()
            .expect("a digest has more than 8 bytes");
        prefixes.push(u64::from_be_bytes(first));
    }
    prefixes
}
