//! Handling of completion requests by an engine.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_held::chunks;
use hyper::Response;
use hyper::body::Bytes;
use serde_json::json;
use tokio::sync::mpsc;

use super::prompt::{CompletionRequest, Transfer};
use super::{Progress, State};
use crate::batch::{Work, blocks_for};
use crate::faults::FaultKind;
use crate::http::{self, Answer, Body};

/// Number of progress messages buffered for a slow reader; beyond it the stream is cancelled.
const TOKEN_BUFFER: usize = 4096;
/// How long the engine is unreachable after a crash.
const CRASH_TIME: Duration = Duration::from_millis(300);

/// Executes one completion request.
///
/// An imported KV cache first takes the time of its transfer.
///
/// # Errors
///
/// Returns the error that closes the connection if an injected fault requires it.
pub(super) async fn complete(
    state: &Arc<State>,
    body: &[u8],
    chat: bool,
    fault: Option<FaultKind>,
) -> Answer {
    let request = match CompletionRequest::parse(body, chat) {
        Ok(request) => request,
        Err(message) => return Ok(error_response(400, &message)),
    };
    if let Some(rejection) = rejection(state, &request) {
        return Ok(rejection);
    }
    if request.transfer == Transfer::Import {
        let time = state.spec.params.transfer_ms * f64::from(request.prompt) / 1000.0;
        let time = Duration::from_secs_f64(time / 1000.0 / state.spec.pace);
        tokio::time::sleep(time).await;
    }
    let progress = start(state, &request);
    match fault {
        Some(FaultKind::Lost | FaultKind::Crash) => {
            if fault == Some(FaultKind::Crash) {
                state.lock().crash(CRASH_TIME);
            }
            Err(http::closed())
        }
        _ if request.stream => Ok(stream(state, request, progress, fault)),
        _ => respond(state, &request, progress, fault).await,
    }
}

/// Returns the error answer to a request that the engine does not accept.
///
/// The status is 404 for a model that is not loaded, 503 for work that the role excludes, and 400
/// for a request that needs more memory than the engine has.
fn rejection(state: &State, request: &CompletionRequest) -> Option<Response<Body>> {
    let inner = state.lock();
    if !inner.orders.models.contains(&request.model) {
        return Some(error_response(
            404,
            &format!("the model {} is not loaded", request.model),
        ));
    }
    let wrong = match inner.orders.role.as_str() {
        "prefill" => request.transfer != Transfer::Export,
        "decode" => request.transfer != Transfer::Import,
        _ => false,
    };
    if wrong {
        return Some(error_response(
            503,
            "the engine's role does not take this work",
        ));
    }
    let needed = blocks_for(request.prompt + request.output);
    (needed > state.spec.params.blocks)
        .then(|| error_response(400, "the request does not fit the engine's memory"))
}

/// Adds a request to the batch and returns the receiver of its progress.
fn start(state: &State, request: &CompletionRequest) -> mpsc::Receiver<Progress> {
    let (sender, receiver) = mpsc::channel(TOKEN_BUFFER);
    let mut inner = state.lock();
    *inner.runs.entry(request.request_id.clone()).or_default() += 1;
    inner.last_id += 1;
    let id = inner.last_id;
    inner.outputs.insert(id, sender);
    inner.batch.add(Work {
        id,
        priority: request.priority,
        prompt: request.prompt + request.resume_from,
        blocks: request.blocks.clone(),
        output: request.output.saturating_sub(request.resume_from).max(1),
        imported: if request.transfer == Transfer::Import {
            request.prompt + request.resume_from
        } else {
            0
        },
        prefill_only: request.transfer == Transfer::Export,
    });
    state.work.notify_one();
    receiver
}

/// Streams an answer as server-sent events.
///
/// With [`FaultKind::Cut`] the connection is closed after half of the tokens to generate.
fn stream(
    state: &Arc<State>,
    request: CompletionRequest,
    mut progress: mpsc::Receiver<Progress>,
    fault: Option<FaultKind>,
) -> Response<Body> {
    let load = state.lock().shown_report();
    let (sender, body) = chunks::open(64);
    tokio::spawn(async move {
        let half = request.resume_from + request.output.saturating_sub(request.resume_from) / 2;
        let mut complete = false;
        while let Some(step) = progress.recv().await {
            match step {
                Progress::Token(number) => {
                    let index = request.resume_from + number;
                    if fault == Some(FaultKind::Cut) && index > half {
                        break;
                    }
                    let chunk = request.chunk(index, fault == Some(FaultKind::Crossed));
                    if sender
                        .send(Bytes::from(format!("data: {chunk}\n\n")))
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
        if !complete {
            return sender.abort();
        }
        let end = format!("data: {}\n\ndata: [DONE]\n\n", request.last_chunk());
        if sender.send(Bytes::from(end)).await.is_ok() {
            sender.finish();
        }
    });
    Response::builder()
        .status(200)
        .header("content-type", "text/event-stream")
        .header("endpoint-load-metrics", format!("JSON {load}"))
        .body(http::streamed(body))
        .expect("the parts of the answer are valid")
}

/// Answers a request with one JSON object, once all tokens are generated.
///
/// # Errors
///
/// Returns the error that closes the connection if the engine cuts the stream.
async fn respond(
    state: &State,
    request: &CompletionRequest,
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
    let answer = request.answer(last, &state.spec.name, fault == Some(FaultKind::Crossed));
    let response = http::json(200, &answer);
    let cut = (fault == Some(FaultKind::Cut)).then(|| crate::faults::Fault {
        target: String::new(),
        on: String::new(),
        kind: FaultKind::Cut,
        after: 0,
        count: 0,
        delay_ms: 0,
    });
    http::apply_fault(response, cut).await
}

/// Builds an error answer in the format of the `OpenAI` API.
fn error_response(status: u16, message: &str) -> Response<Body> {
    http::json(
        status,
        &json!({ "error": { "message": message, "type": "invalid_request_error" } }),
    )
}
