//! Requests to the OpenAI-compatible API and the text of their answers.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::batch::BlockHash;

/// Number of bytes of prompt text that count as one token.
const TOKEN_BYTES: usize = 4;
/// Number of bytes of prompt text per memory block: 64 tokens of 4 bytes.
const BLOCK_BYTES: usize = 256;
/// Number of tokens to generate if the request sets no limit.
const DEFAULT_TOKENS: u32 = 16;
/// Words that answers consist of.
const WORDS: [&str; 16] = [
    "north", "south", "lane", "count", "junction", "signal", "pitch", "permit", "fee", "evening",
    "survey", "corridor", "baseline", "morning", "square", "tally",
];

/// Parsed completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The name of the model that should answer.
    pub model: String,
    /// The id given by the sender, or `unnamed`; repeated in the answer.
    pub request_id: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether it is a chat completion.
    pub chat: bool,
    /// The length of the prompt in tokens.
    pub prompt: u32,
    /// The length of the complete answer in tokens, those before `resume_from` included.
    pub output: u32,
    /// The hashes of the prompt's prefixes, one per full block.
    pub blocks: Vec<BlockHash>,
    /// The priority; 0 is the most urgent, 1 the default.
    pub priority: u8,
    /// The number of tokens of the answer that the caller already has.
    pub resume_from: u32,
    /// The part of the work that another engine does.
    pub transfer: Transfer,
    /// The SHA-256 hash of the prompt's text, which selects the words of the answer.
    seed: [u8; 32],
}

/// Transfer of the KV cache between two engines that share a request's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// One engine does all the work.
    None,
    /// Another engine has computed the prompt, and its KV cache is imported.
    Import,
    /// The prompt is computed and its KV cache is exported; another engine generates.
    Export,
}

impl CompletionRequest {
    /// Parses the JSON body of a request.
    ///
    /// # Errors
    ///
    /// Returns a message if the body is not JSON or lacks the model or the prompt.
    pub fn parse(body: &[u8], chat: bool) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let model = value["model"]
            .as_str()
            .ok_or("the field `model` is missing")?;
        let text = if chat {
            chat_text(&value)?
        } else {
            completion_text(&value)?
        };
        let limit = value["max_tokens"]
            .as_u64()
            .or_else(|| value["max_completion_tokens"].as_u64());
        let output = limit.map_or(DEFAULT_TOKENS, |limit| (limit as u32).max(1));
        let params = &value["kv_transfer_params"];
        let transfer = match (&params["do_remote_prefill"], &params["do_remote_decode"]) {
            (Value::Bool(true), _) => Transfer::Import,
            (_, Value::Bool(true)) => Transfer::Export,
            _ => Transfer::None,
        };
        Ok(Self {
            model: model.to_owned(),
            request_id: value["request_id"].as_str().unwrap_or("unnamed").to_owned(),
            stream: value["stream"].as_bool().unwrap_or(false),
            chat,
            prompt: (text.len().div_ceil(TOKEN_BYTES) as u32).max(1),
            output,
            blocks: blocks(&text),
            priority: value["priority"].as_u64().unwrap_or(1) as u8,
            resume_from: value["resume_from"].as_u64().unwrap_or_default() as u32,
            transfer,
            seed: Sha256::digest(text.as_bytes()).into(),
        })
    }

    /// Returns the text of the answer's token with a number, counted from 1.
    ///
    /// The text depends on the prompt and the number only, so every engine generates the same.
    #[must_use]
    pub fn token(&self, number: u32) -> String {
        let byte = self.seed[number as usize % self.seed.len()];
        let word = WORDS[(byte as usize + number as usize) % WORDS.len()];
        format!(" {word}{number}")
    }

    /// Returns the text of the answer's first tokens.
    #[must_use]
    pub fn text(&self, tokens: u32) -> String {
        (1..=tokens).map(|number| self.token(number)).collect()
    }

    /// Builds the JSON event of one token; `crossed` replaces the id by `crossed-answer`.
    #[must_use]
    pub fn chunk(&self, number: u32, crossed: bool) -> Value {
        let text = self.token(number);
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": null })
        };
        self.envelope(&choice, crossed, true)
    }

    /// Builds the last JSON event of a stream, with the finish reason.
    #[must_use]
    pub fn last_chunk(&self) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "delta": {}, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": "length" })
        };
        self.envelope(&choice, false, true)
    }

    /// Builds an answer that is not streamed, with the tokens after `resume_from`.
    ///
    /// `crossed` replaces the id by `crossed-answer`.
    #[must_use]
    pub fn answer(&self, tokens: u32, engine: &str, crossed: bool) -> Value {
        let text: String = (1..=tokens)
            .map(|number| self.token(self.resume_from + number))
            .collect();
        let choice = if self.chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        let mut answer = self.envelope(&choice, crossed, false);
        let total = self.prompt + tokens;
        answer["usage"] = json!({
            "prompt_tokens": self.prompt, "completion_tokens": tokens, "total_tokens": total,
        });
        if self.transfer == Transfer::Export {
            answer["kv_transfer_params"] = json!({
                "do_remote_prefill": true,
                "remote_engine_id": engine,
                "remote_request_id": self.request_id,
            });
        }
        answer
    }

    /// Builds the fields that complete answers and stream events share.
    fn envelope(&self, choice: &Value, crossed: bool, chunk: bool) -> Value {
        let object = match (self.chat, chunk) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        let id = if crossed {
            "crossed-answer"
        } else {
            self.request_id.as_str()
        };
        json!({ "id": id, "object": object, "created": 0, "model": self.model, "choices": [choice] })
    }
}

/// Joins the roles and contents of a chat request's messages.
fn chat_text(value: &Value) -> Result<String, String> {
    let messages = value["messages"]
        .as_array()
        .ok_or("the field `messages` is missing")?;
    let mut text = String::new();
    for message in messages {
        text.push_str(message["role"].as_str().unwrap_or_default());
        text.push_str(": ");
        match &message["content"] {
            Value::String(content) => text.push_str(content),
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    Ok(text)
}

/// Returns the prompt of a completion request.
fn completion_text(value: &Value) -> Result<String, String> {
    let prompt = value["prompt"]
        .as_str()
        .ok_or("the field `prompt` is missing")?;
    Ok(prompt.to_owned())
}

/// Returns the hashes of all prefixes that end at a block boundary.
///
/// A hash is the first 8 bytes of the prefix's SHA-256 hash.
fn blocks(text: &str) -> Vec<BlockHash> {
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
