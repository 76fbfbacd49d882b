//! Handling of completion requests by an engine.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::body::Bytes;
use serde_json::json;
use tokio::sync::mpsc;

use super::prompt::{Ask, Transfer};
use super::{Progress, State};
use crate::batch::{Work, blocks_for};
use crate::faults::FaultKind;
use crate::http::{self, Answer, Body};

/// Number of progress messages buffered per stream; a stream whose buffer is full is cancelled.
const TOKEN_BUFFER: usize = 4096;
/// How long the engine is unreachable after a crash.
const CRASH_TIME: Duration = Duration::from_millis(300);

/// Executes one completion request.
///
/// An imported KV cache first takes the time of its transfer.
///
/// # Errors
///
/// Returns the error that closes the connection where a fault asks for it.
pub(super) async fn complete(
    state: &Arc<State>,
    body: &[u8],
    chat: bool,
    fault: Option<FaultKind>,
) -> Answer {
    let ask = match Ask::parse(body, chat) {
        Ok(ask) => ask,
        Err(message) => return Ok(refuse(400, &message)),
    };
    if let Some(refusal) = refusal(state, &ask) {
        return Ok(refusal);
    }
    if ask.transfer == Transfer::Import {
        let time = state.spec.params.transfer_ms * f64::from(ask.prompt) / 1000.0;
        let time = Duration::from_secs_f64(time / 1000.0 / state.spec.pace);
        tokio::time::sleep(time).await;
    }
    let progress = start(state, &ask);
    match fault {
        Some(FaultKind::Lost | FaultKind::Crash) => {
            if fault == Some(FaultKind::Crash) {
                state.lock().crash(CRASH_TIME);
            }
            Err(http::closed())
        }
        _ if ask.stream => Ok(stream(state, ask, progress, fault)),
        _ => whole(state, &ask, progress, fault).await,
    }
}

/// Returns the error answer to a request that the engine does not accept.
///
/// The status is 404 for a model that is not loaded, 503 for work that the role excludes, and 400
/// for a request that needs more memory than the engine has.
fn refusal(state: &State, ask: &Ask) -> Option<Response<Body>> {
    let inner = state.lock();
    if !inner.orders.models.contains(&ask.model) {
        return Some(refuse(
            404,
            &format!("the model {} is not loaded", ask.model),
        ));
    }
    let wrong = match inner.orders.role.as_str() {
        "prefill" => ask.transfer != Transfer::Export,
        "decode" => ask.transfer != Transfer::Import,
        _ => false,
    };
    if wrong {
        return Some(refuse(503, "the engine's role does not take this work"));
    }
    let needed = blocks_for(ask.prompt + ask.output);
    (needed > state.spec.params.blocks)
        .then(|| refuse(400, "the request does not fit the engine's memory"))
}

/// Adds a request to the batch and returns the receiver of its progress.
fn start(state: &State, ask: &Ask) -> mpsc::Receiver<Progress> {
    let (sender, receiver) = mpsc::channel(TOKEN_BUFFER);
    let mut inner = state.lock();
    *inner.runs.entry(ask.request.clone()).or_default() += 1;
    inner.last_id += 1;
    let id = inner.last_id;
    inner.outputs.insert(id, sender);
    inner.batch.add(Work {
        id,
        priority: ask.priority,
        prompt: ask.prompt + ask.resume_from,
        blocks: ask.blocks.clone(),
        output: ask.output.saturating_sub(ask.resume_from).max(1),
        imported: if ask.transfer == Transfer::Import {
            ask.prompt + ask.resume_from
        } else {
            0
        },
        prefill_only: ask.transfer == Transfer::Export,
    });
    state.work.notify_one();
    receiver
}

/// Streams an answer as server-sent events.
///
/// With [`FaultKind::Cut`] the connection is closed after half of the tokens to generate.
fn stream(
    state: &Arc<State>,
    ask: Ask,
    mut progress: mpsc::Receiver<Progress>,
    fault: Option<FaultKind>,
) -> Response<Body> {
    let load = state.lock().shown_report();
    let (sender, receiver) = mpsc::channel(64);
    tokio::spawn(async move {
        let half = ask.resume_from + ask.output.saturating_sub(ask.resume_from) / 2;
        let mut complete = false;
        while let Some(step) = progress.recv().await {
            match step {
                Progress::Token(number) => {
                    let index = ask.resume_from + number;
                    if fault == Some(FaultKind::Cut) && index > half {
                        break;
                    }
                    let chunk = ask.chunk(index, fault == Some(FaultKind::Crossed));
                    if sender
                        .send(Ok(Bytes::from(format!("data: {chunk}\n\n"))))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                Progress::Done => {
                    complete = true;
                    break;
                }
            }
        }
        let end = if complete {
            Ok(Bytes::from(format!(
                "data: {}\n\ndata: [DONE]\n\n",
                ask.last_chunk()
            )))
        } else {
            Err(http::closed())
        };
        let _ = sender.send(end).await;
    });
    Response::builder()
        .status(200)
        .header("content-type", "text/event-stream")
        .header("endpoint-load-metrics", format!("JSON {load}"))
        .body(http::streamed(receiver))
        .expect("the parts of the answer are valid")
}

/// Answers a request with one JSON object, once all tokens are generated.
///
/// # Errors
///
/// Returns the error that closes the connection if the engine cuts the stream.
async fn whole(
    state: &State,
    ask: &Ask,
    mut progress: mpsc::Receiver<Progress>,
    fault: Option<FaultKind>,
) -> Answer {
    let mut last = 0;
    loop {
        match progress.recv().await {
            Some(Progress::Token(number)) => last = number,
            Some(Progress::Done) => break,
            None => return Err(http::closed()),
        }
    }
    let answer = ask.answer(last, &state.spec.name, fault == Some(FaultKind::Crossed));
    let response = http::json(200, &answer);
    let cut = (fault == Some(FaultKind::Cut)).then(|| crate::faults::Fault {
        target: String::new(),
        on: String::new(),
        kind: FaultKind::Cut,
        after: 0,
        count: 0,
        delay_ms: 0,
    });
    http::afflict(response, cut).await
}

/// Builds an error answer in the format of the `OpenAI` API.
fn refuse(status: u16, message: &str) -> Response<Body> {
    http::json(
        status,
        &json!({ "error": { "message": message, "type": "invalid_request_error" } }),
    )
}
