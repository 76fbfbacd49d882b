//! Completions of models: admission, generation, and the answer in either form.

mod ask;
mod generation;
mod placement;

use std::time::Duration;

use cactuslane_config::EngineModel;
use cactuslane_wire::Purpose;
use cactuslane_wire::token::{ResumeToken, decode, encode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::{HeaderMap, Response};
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{Call, body};
use crate::reply::{Body, Ending, json_response};
use ask::ModelAsk;
use generation::{Generation, Piece};
pub use placement::Admission;

/// Header with which a caller takes up a stream.
pub const RESUME_HEADER: &str = "cactuslane-resume";
/// Header that names the last event a caller has.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// Longest time that a stream waits for a caller that reads nothing.
const SLOW_CALLER: Duration = Duration::from_secs(30);
/// Number of events that wait for a slow caller.
const BUFFERED_EVENTS: usize = 64;

/// Answers a completion request.
pub async fn handle(call: Call, incoming: Incoming, chat: bool) -> Result<Response<Body>, Ending> {
    let bytes = body::read(incoming, call.shared.settings.max_body).await?;
    let ask = ModelAsk::parse(&bytes, chat)?;
    let model = permitted(&call, &ask.model)?;
    let ask = ask.limited(&model)?;
    let resume = resume_token(&call, &ask)?;
    let stream = ask.stream;
    let mut generation = Generation::begin(call, ask, model, resume).await?;
    // The first event is awaited, so that a refusal can still be one of its own.
    let first = generation.next().await?;
    if stream {
        Ok(streamed(generation, first))
    } else {
        whole(generation, first).await
    }
}

/// Returns the model that a caller asks for, if it may.
fn permitted(call: &Call, name: &str) -> Result<EngineModel, Ending> {
    let unknown = || Ending::NotFound(format!("the model `{name}` does not exist"));
    let document = &call.config.document;
    let caller = document.callers.get(&call.caller).ok_or_else(unknown)?;
    if !caller.models.iter().any(|model| model == name) {
        return Err(unknown());
    }
    document.models.get(name).cloned().ok_or_else(unknown)
}

/// Returns the stream that a request takes up, with the number of tokens the caller has.
fn resume_token(call: &Call, ask: &ModelAsk) -> Result<Option<(ResumeToken, u32)>, Ending> {
    let header = |name: &str| call.headers.get(name).and_then(|value| value.to_str().ok());
    let Some(text) = header(RESUME_HEADER) else {
        return Ok(None);
    };
    let token: ResumeToken =
        decode(&call.shared.key, Purpose::Resume, text).map_err(|_| Ending::BadResume)?;
    if token.caller != call.caller || token.body_hash != ask.hash || token.model != ask.model {
        return Err(Ending::BadResume);
    }
    let from = header(LAST_EVENT_HEADER)
        .unwrap_or("0")
        .parse()
        .map_err(|_| Ending::BadResume)?;
    if from > ask.max_tokens {
        return Err(Ending::BadResume);
    }
    Ok(Some((token, from)))
}

/// Answers with server-sent events.
fn streamed(mut generation: Generation, first: Piece) -> Response<Body> {
    let token = encode(
        &generation.call.shared.key,
        Purpose::Resume,
        &generation.token(),
    );
    let (sender, receiver) = mpsc::channel(BUFFERED_EVENTS);
    tokio::spawn(async move {
        let mut piece = first;
        loop {
            let last = matches!(piece, Piece::End { .. });
            if !send(&sender, Ok(event(&piece))).await {
                return;
            }
            if last {
                send(&sender, Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
                return;
            }
            // A caller that hangs up drops the generation, which cancels it at the engine.
            let next = tokio::select! {
                next = generation.next() => next,
                () = sender.closed() => return,
            };
            match next {
                Ok(next) => piece = next,
                Err(ending) => {
                    let event = format!("data: {}\n\n", ending.body());
                    send(&sender, Ok(Bytes::from(event))).await;
                    send(&sender, Err(std::io::Error::other("the stream broke"))).await;
                    return;
                }
            }
        }
    });
    Response::builder()
        .status(200)
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-cache")
        .header(RESUME_HEADER, token)
        .body(channel_body(receiver))
        .expect("the parts of the answer are valid")
}

/// Sends a frame to the caller; false if it has hung up or reads nothing for long.
async fn send(
    sender: &mpsc::Sender<std::io::Result<Bytes>>,
    frame: std::io::Result<Bytes>,
) -> bool {
    matches!(timeout(SLOW_CALLER, sender.send(frame)).await, Ok(Ok(())))
}

/// Answers with one JSON object.
async fn whole(mut generation: Generation, first: Piece) -> Result<Response<Body>, Ending> {
    let mut text = String::new();
    let mut piece = first;
    let reason = loop {
        match piece {
            Piece::Token { text: token, .. } => text.push_str(&token),
            Piece::End { reason, .. } => break reason,
        }
        piece = generation.next().await?;
    };
    let ask = &generation.ask;
    let (object, choice) = if ask.chat {
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
    let tokens = generation.tokens();
    let usage = json!({
        "prompt_tokens": ask.prompt,
        "completion_tokens": tokens,
        "total_tokens": ask.prompt + tokens,
    });
    Ok(json_response(
        200,
        &json!({
            "id": generation.call.request,
            "object": object,
            "created": crate::clock::Clock::wall() / 1000,
            "model": ask.model,
            "choices": [choice],
            "usage": usage,
        }),
    ))
}

/// Writes a piece as an event, numbered so that a stream can be taken up.
fn event(piece: &Piece) -> Bytes {
    match piece {
        Piece::Token { number, chunk, .. } => {
            Bytes::from(format!("id: {number}\ndata: {chunk}\n\n"))
        }
        Piece::End { chunk, .. } => Bytes::from(format!("data: {chunk}\n\n")),
    }
}

/// Builds a body from a channel of frames.
pub fn channel_body(receiver: mpsc::Receiver<std::io::Result<Bytes>>) -> Body {
    let stream = ReceiverStream { receiver };
    BodyExt::boxed(StreamBody::new(stream))
}

/// Returns the time after which a silent engine counts as broken.
pub fn stall_limit(model: &EngineModel) -> Duration {
    /// Least time of silence that is tolerated.
    const LEAST: Duration = Duration::from_secs(2);
    (model.itl_bound * 20).max(LEAST)
}

/// Returns the deadline of a request's first token, from its header or the model's bound.
pub fn first_limit(headers: &HeaderMap, model: &EngineModel) -> Duration {
    /// Factor of the bound after which a first token is no longer awaited.
    const PATIENCE: u32 = 4;
    let given = headers
        .get("x-request-timeout-ms")
        .and_then(|value| value.to_str().ok());
    let given = given
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    given.unwrap_or(model.ttft_bound * PATIENCE)
}

/// A stream of body frames from a channel.
struct ReceiverStream {
    /// The channel.
    receiver: mpsc::Receiver<std::io::Result<Bytes>>,
}

impl futures_core::Stream for ReceiverStream {
    type Item = std::io::Result<Frame<Bytes>>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.receiver
            .poll_recv(cx)
            .map(|item| item.map(|result| result.map(Frame::data)))
    }
}
