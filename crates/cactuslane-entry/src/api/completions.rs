//! Completions by model engines: admission, generation and both forms of the answer, streamed and
//! as one JSON object.

mod generation;
mod placement;
mod request;

use std::io;
use std::time::Duration;

use cactuslane_config::EngineModel;
use cactuslane_flight::Kind;
use cactuslane_held::{ChunkSender, Reserved, chunks};
use cactuslane_wire::Purpose;
use cactuslane_wire::token::{ResumeToken, decode, encode};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Response};
use serde_json::json;
use tokio::time::timeout;

use super::{CallerRequest, body, json_size};
use crate::reply::{ApiError, Body, json_response};
use generation::{Generation, OutputChunk};
pub use placement::Admission;
use request::CompletionRequest;

/// Header of a streamed answer with the token with which the caller can resume the stream at any
/// instance, and of the request that does so.
pub const RESUME_HEADER: &str = "cactuslane-resume";
/// Header of a resuming request with the id of the last event that the caller received, which is
/// the number of tokens it has; 0 if it is missing.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// Maximum time for which a stream with a full buffer waits for the caller to read; the stream is
/// aborted after it.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of events that are buffered for a caller that reads slowly.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Answers a completion request, of the chat interface if `chat` is set.
pub async fn handle(
    mut call: CallerRequest,
    incoming: Incoming,
    chat: bool,
) -> Result<Response<Body>, ApiError> {
    let bytes = body::read(
        &call.shared.held,
        call.connection,
        incoming,
        call.shared.settings.max_body,
    )
    .await?;
    call.reserved = hold_parsed(&call, &bytes).await?;
    let params = CompletionRequest::parse(&bytes, chat)?;
    let model = permitted_model(&call, &params.model)?;
    let params = params.check_limits(&model)?;
    let resume = resume_token(&call, &params)?;
    let stream = params.stream;
    let mut generation = Generation::begin(call, params, model, resume).await?;
    // Waits for the first chunk, so that an error before it is answered with its HTTP status.
    let first = generation.next().await?;
    if stream {
        Ok(stream_response(generation, first))
    } else {
        json_completion(generation, first).await
    }
}

/// Reserves the memory that a body takes once it is parsed; `None` if the cost of its connection
/// covers it.
async fn hold_parsed(call: &CallerRequest, body: &[u8]) -> Result<Option<Reserved>, ApiError> {
    let values = json_size::count_values(body);
    if values > json_size::MAX_VALUES {
        let message = format!(
            "the body has {values} values, the limit is {}",
            json_size::MAX_VALUES
        );
        return Err(ApiError::BadRequest(message));
    }
    let size = json_size::parsed_size(body, values);
    if size == 0 {
        return Ok(None);
    }
    let held = &call.shared.held;
    let reserved = held.hold(call.connection, Kind::Body, size).await;
    if reserved.is_none() {
        held.report("parsed body refused", "bodies", call.connection);
        return Err(ApiError::Busy);
    }
    Ok(reserved)
}

/// Returns the model with a name, if it exists and the caller may use it.
fn permitted_model(call: &CallerRequest, name: &str) -> Result<EngineModel, ApiError> {
    let unknown = || ApiError::NotFound(format!("the model `{name}` does not exist"));
    let document = &call.config.document;
    let caller = document.callers.get(&call.caller).ok_or_else(unknown)?;
    if !caller.models.iter().any(|model| model == name) {
        return Err(unknown());
    }
    document.models.get(name).cloned().ok_or_else(unknown)
}

/// Returns the verified resume token and the number of tokens that the caller has, or `None` if the
/// request resumes no stream. The request must have the same caller, model and body as the first
/// one.
fn resume_token(
    call: &CallerRequest,
    params: &CompletionRequest,
) -> Result<Option<(ResumeToken, u32)>, ApiError> {
    let header = |name: &str| call.headers.get(name).and_then(|value| value.to_str().ok());
    let Some(text) = header(RESUME_HEADER) else {
        return Ok(None);
    };
    let token: ResumeToken =
        decode(&call.shared.key, Purpose::Resume, text).map_err(|_| ApiError::BadResume)?;
    if token.caller != call.caller
        || token.body_hash != params.body_hash
        || token.model != params.model
    {
        return Err(ApiError::BadResume);
    }
    let mut last = None;
    for value in call.headers.get_all(LAST_EVENT_HEADER) {
        let value = value.to_str().ok().and_then(|text| text.parse().ok());
        let value: u32 = value.ok_or(ApiError::BadResume)?;
        if last.is_some_and(|last| last != value) {
            return Err(ApiError::BadResume);
        }
        last = Some(value);
    }
    let from = last.unwrap_or(0);
    if from > params.max_tokens {
        return Err(ApiError::BadResume);
    }
    Ok(Some((token, from)))
}

/// Answers with server-sent events, which a spawned task sends.
fn stream_response(mut generation: Generation, first: OutputChunk) -> Response<Body> {
    let token = encode(
        &generation.call.shared.key,
        Purpose::Resume,
        &generation.resume_token(),
    );
    let (sender, body) = chunks::open(MAX_BUFFERED_EVENTS);
    tokio::spawn(async move {
        let mut output = first;
        loop {
            let last = matches!(output, OutputChunk::End { .. });
            if !send(&sender, sse_event(&output)).await {
                return;
            }
            if last {
                if send(&sender, Bytes::from_static(b"data: [DONE]\n\n")).await {
                    sender.finish();
                }
                return;
            }
            // If the caller disconnects, the generation is dropped, which cancels it at the engine.
            let next = tokio::select! {
                next = generation.next() => next,
                () = sender.closed() => return,
            };
            match next {
                Ok(next) => output = next,
                Err(error) => {
                    let event = format!("data: {}\n\n", error.body());
                    send(&sender, Bytes::from(event)).await;
                    return sender.abort();
                }
            }
        }
    });
    Response::builder()
        .status(200)
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-cache")
        .header(RESUME_HEADER, token)
        .body(body.map_err(io::Error::other).boxed())
        .expect("the parts of the answer are valid")
}

/// Sends a chunk to the caller; returns false if the caller has disconnected or has not read for
/// [`SEND_TIMEOUT`].
async fn send(sender: &ChunkSender, chunk: Bytes) -> bool {
    matches!(timeout(SEND_TIMEOUT, sender.send(chunk)).await, Ok(Ok(())))
}

/// Answers with one JSON object after the end of the generation.
async fn json_completion(
    mut generation: Generation,
    first: OutputChunk,
) -> Result<Response<Body>, ApiError> {
    let mut text = String::new();
    let mut output = first;
    let reason = loop {
        match output {
            OutputChunk::Token { text: token, .. } => text.push_str(&token),
            OutputChunk::End { reason, .. } => break reason,
        }
        output = generation.next().await?;
    };
    let params = &generation.params;
    let (object, choice) = if params.chat {
        let message = json!({ "role": "assistant", "content": text });
        (
            "chat.completion",
            json!({ "index": 0, "message": message, "finish_reason": reason }),
        )
    } else {
        (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": reason }),
        )
    };
    let tokens = generation.generated_tokens();
    let usage = json!({
        "prompt_tokens": params.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": params.prompt_tokens + tokens,
    });
    Ok(json_response(
        200,
        &json!({
            "id": generation.call.request_id,
            "object": object,
            "created": crate::clock::Clock::unix_time() / 1000,
            "model": params.model,
            "choices": [choice],
            "usage": usage,
        }),
    ))
}

/// Formats a chunk as an event. The id of the event of a token is the token's number, from which
/// the stream can be resumed.
fn sse_event(output: &OutputChunk) -> Bytes {
    match output {
        OutputChunk::Token { number, chunk, .. } => {
            Bytes::from(format!("id: {number}\ndata: {chunk}\n\n"))
        }
        OutputChunk::End { chunk, .. } => Bytes::from(format!("data: {chunk}\n\n")),
    }
}

/// Returns the maximum time between two chunks of an engine's stream, after which the attempt
/// counts as failed: 20 times the bound on the time between tokens, but at least 2 s.
pub fn stall_timeout(model: &EngineModel) -> Duration {
    /// Lower bound of the time-out.
    const MIN_TIMEOUT: Duration = Duration::from_secs(2);
    (model.itl_bound * 20).max(MIN_TIMEOUT)
}

/// Returns the maximum time of one attempt from its start to its first chunk: the header
/// `x-request-timeout-ms` of the request, or a multiple of the model's bound.
pub fn first_token_timeout(headers: &HeaderMap, model: &EngineModel) -> Duration {
    /// Multiple of the bound on the first token that applies if the request has no time-out.
    const TIMEOUT_FACTOR: u32 = 4;
    let given = headers
        .get("x-request-timeout-ms")
        .and_then(|value| value.to_str().ok());
    let given = given
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    given.unwrap_or(model.ttft_bound * TIMEOUT_FACTOR)
}
