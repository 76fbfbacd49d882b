//! Parsing of completion requests.

use cactuslane_config::EngineModel;
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

use crate::reply::Ending;

/// Number of bytes of text that count as one token.
const TOKEN_BYTES: usize = 4;
/// Number of bytes of text that fill one piece of an engine's memory.
const BLOCK_BYTES: usize = 256;
/// Number of tokens of an answer whose request names none.
const DEFAULT_TOKENS: u32 = 16;
/// Fields that only this system may set in a request to an engine.
const RESERVED: [&str; 4] = [
    "request_id",
    "priority",
    "resume_from",
    "kv_transfer_params",
];

/// A parsed completion request.
#[derive(Clone, Debug)]
pub struct ModelAsk {
    /// The model's name.
    pub model: String,
    /// Says whether the answer is streamed.
    pub stream: bool,
    /// Says whether it came over the chat interface.
    pub chat: bool,
    /// The length of the prompt in tokens, estimated.
    pub prompt: u32,
    /// The largest number of tokens of the answer.
    pub max_tokens: u32,
    /// Holds the hashes of the prompt's prefixes, one a piece of engine memory.
    pub blocks: Vec<u64>,
    /// The hash of the body as the caller sent it.
    pub hash: [u8; 32],
    /// Holds the fields of the body.
    fields: Map<String, Value>,
}

impl ModelAsk {
    /// Parses a request's body.
    pub fn parse(bytes: &[u8], chat: bool) -> Result<Self, Ending> {
        let bad = |message: String| Ending::BadRequest(message);
        let value: Value = serde_json::from_slice(bytes).map_err(|error| bad(error.to_string()))?;
        let Value::Object(mut fields) = value else {
            return Err(bad("the body is no JSON object".to_owned()));
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
            Some(_) => return Err(bad("`stream` is neither true nor false".to_owned())),
        };
        if fields.get("n").is_some_and(|n| *n != 1 && !n.is_null()) {
            return Err(bad("only `n` of 1 is served".to_owned()));
        }
        let max_tokens = max_tokens(&fields)?;
        for name in RESERVED {
            fields.remove(name);
        }
        Ok(Self {
            model,
            stream,
            chat,
            prompt: (text.len().div_ceil(TOKEN_BYTES) as u32).max(1),
            max_tokens,
            blocks: blocks(&text),
            hash: Sha256::digest(bytes).into(),
            fields,
        })
    }

    /// Applies the limits of the model.
    pub fn limited(mut self, model: &EngineModel) -> Result<Self, Ending> {
        let limit = model.max_output as u32;
        if self.max_tokens > limit {
            let message = format!(
                "`max_tokens` is {}, the model allows {limit}",
                self.max_tokens
            );
            return Err(Ending::BadRequest(message));
        }
        self.max_tokens = self.max_tokens.max(1);
        Ok(self)
    }

    /// Returns the path at the engine.
    pub fn path(&self) -> &'static str {
        if self.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        }
    }

    /// Builds the body of a request to an engine.
    pub fn upstream(&self, request: &str, priority: u8, from: u32, transfer: &Value) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("request_id".to_owned(), json!(request));
        fields.insert("priority".to_owned(), json!(priority));
        fields.insert("max_tokens".to_owned(), json!(self.max_tokens));
        fields.insert("stream".to_owned(), json!(true));
        if from > 0 {
            fields.insert("resume_from".to_owned(), json!(from));
        }
        if !transfer.is_null() {
            fields.insert("kv_transfer_params".to_owned(), transfer.clone());
        }
        Value::Object(fields)
    }
}

/// Returns a text field that must be present.
fn text_field<'f>(fields: &'f Map<String, Value>, name: &str) -> Result<&'f str, Ending> {
    let text = fields.get(name).and_then(Value::as_str);
    text.ok_or_else(|| Ending::BadRequest(format!("the field `{name}` is missing or no text")))
}

/// Returns the limit on the answer's tokens.
fn max_tokens(fields: &Map<String, Value>) -> Result<u32, Ending> {
    let given = fields
        .get("max_completion_tokens")
        .or_else(|| fields.get("max_tokens"));
    match given {
        None | Some(Value::Null) => Ok(DEFAULT_TOKENS),
        Some(value) => {
            let tokens = value.as_u64().and_then(|tokens| u32::try_from(tokens).ok());
            let message = "`max_tokens` is no whole number".to_owned();
            tokens.ok_or(Ending::BadRequest(message))
        }
    }
}

/// Returns the text that a chat request's messages make.
fn chat_text(fields: &Map<String, Value>) -> Result<String, Ending> {
    let bad = |message: &str| Ending::BadRequest(message.to_owned());
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.ok_or_else(|| bad("the field `messages` is missing or no list"))?;
    if messages.is_empty() {
        return Err(bad("the field `messages` is empty"));
    }
    let mut text = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        text.push_str(role.ok_or_else(|| bad("a message has no role"))?);
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

/// Returns the hashes of all prefixes that end at a piece's border.
fn blocks(text: &str) -> Vec<u64> {
    let mut hasher = Sha256::new();
    let mut prefixes = Vec::new();
    for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
        hasher.update(block);
        let digest = hasher.clone().finalize();
        let first: [u8; 8] = digest[..8]
            .try_into()
            .expect("a digest has more than 8 bytes");
        prefixes.push(u64::from_be_bytes(first));
    }
    prefixes
}
