//! One generation, which continues on another engine when an engine fails.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_config::EngineModel;
use cactuslane_route::{Plan, RouteRequest};
use cactuslane_types::TargetId;
use cactuslane_wire::token::ResumeToken;
use hyper::body::{Bytes, Incoming};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::placement::{Admission, Placement, wait_for_placement};
use super::request::CompletionRequest;
use super::{first_token_timeout, stall_timeout};
use crate::api::sse::EventParser;
use crate::api::{CallerRequest, trace_header};
use crate::metrics::TargetLabels;
use crate::reply::ApiError;
use crate::routing::Dispatch;
use crate::upstream::{self, CallError};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum size of the answer of an engine that only computes a prompt, in bytes.
const MAX_PREFILL_ANSWER: usize = 1 << 20;

/// A generation in progress; dropping it cancels it at the engine.
pub struct Generation {
    /// Request as it came from the caller.
    pub call: CallerRequest,
    /// Parsed body of the request.
    pub params: CompletionRequest,
    /// Configuration of the model.
    model: EngineModel,
    /// Admission within the caller's limits, held until the generation is dropped.
    admission: Admission,
    /// The open stream of an engine, if there is one.
    stream: Option<EngineStream>,
    /// Number of the last token of the answer so far, from 1; starts at `resumed_from`.
    last_token: u32,
    /// Number of tokens that the caller had before this request; 0 if it resumes no stream.
    resumed_from: u32,
    /// Number of attempts so far.
    attempts: u32,
    /// Whether an engine may have started the request.
    maybe_started: bool,
    /// Engines that have failed the request; the router prefers others.
    tried: Vec<TargetId>,
    /// Engine last used; before the first attempt that of the resume token, or empty.
    target: TargetId,
    /// When the request was admitted, after its body was read.
    admitted_at: Instant,
}

/// A part of the answer.
#[derive(Clone, Debug)]
pub enum OutputChunk {
    /// One token.
    Token {
        /// Number of the token, from 1.
        number: u32,
        /// Text of the token.
        text: String,
        /// The engine's chunk, with the id of the caller's request.
        chunk: Value,
    },
    /// End of the answer.
    End {
        /// Finish reason as the engine gives it.
        reason: Value,
        /// The engine's chunk, with the id of the caller's request.
        chunk: Value,
    },
}

/// The open stream of one attempt.
struct EngineStream {
    /// Body of the engine's answer.
    body: Incoming,
    /// Parser that splits the body into events.
    parser: EventParser,
    /// Data of the events that were received and not yet processed.
    events: VecDeque<String>,
    /// Id of the attempt at the engine, which each chunk must repeat.
    attempt_id: String,
    /// Dispatch of the attempt, which counts in the load estimates until it is dropped.
    dispatch: Dispatch,
    /// Whether a token of the attempt has been received.
    token_received: bool,
    /// Time at which the attempt fails unless its next chunk arrives; each chunk postpones it.
    deadline: Instant,
}

impl Generation {
    /// Admits a request and opens its first stream; [`Generation::next`] returns the output.
    pub async fn begin(
        call: CallerRequest,
        params: CompletionRequest,
        model: EngineModel,
        resume: Option<(ResumeToken, u32)>,
    ) -> Result<Self, ApiError> {
        let caller = call
            .config
            .document
            .callers
            .get(&call.caller)
            .ok_or(ApiError::Unauthorized)?;
        let tokens = f64::from(params.prompt_tokens + params.max_tokens);
        let admission = Admission::acquire(&call.shared, &call.caller, caller, tokens)?;
        let (target, resumed_from) =
            resume.map_or((TargetId::new(), 0), |(token, from)| (token.target, from));
        call.shared.routing().retries.attempted();
        let mut generation = Self {
            call,
            params,
            model,
            admission,
            stream: None,
            last_token: resumed_from,
            resumed_from,
            attempts: 0,
            maybe_started: false,
            tried: Vec::new(),
            target,
            admitted_at: Instant::now(),
        };
        if resumed_from > 0 {
            generation.call.shared.metrics.resumed.inc();
        }
        if resumed_from < generation.params.max_tokens {
            generation.open_stream().await?;
        }
        Ok(generation)
    }

    /// Returns the next part of the answer, from another engine if the current one fails.
    pub async fn next(&mut self) -> Result<OutputChunk, ApiError> {
        if self.last_token >= self.params.max_tokens && self.stream.is_none() {
            return Ok(self.length_end());
        }
        loop {
            match self.read().await {
                Ok(output) => return Ok(output),
                Err(error) => self.recover(&error).await?,
            }
        }
    }

    /// Builds the end of a resumed answer of which the caller already had all tokens.
    fn length_end(&self) -> OutputChunk {
        let reason = json!("length");
        let (object, choice) = if self.params.chat {
            let choice = json!({ "index": 0, "delta": {}, "finish_reason": reason });
            ("chat.completion.chunk", choice)
        } else {
            (
                "text_completion",
                json!({ "index": 0, "text": "", "finish_reason": reason }),
            )
        };
        let chunk = json!({
            "id": self.call.request_id,
            "object": object,
            "created": 0,
            "model": self.params.model,
            "choices": [choice],
        });
        OutputChunk::End { reason, chunk }
    }

    /// Returns the number of tokens generated for this request.
    pub fn generated_tokens(&self) -> u32 {
        self.last_token - self.resumed_from
    }

    /// Returns the token with which the caller can resume the stream at any instance.
    pub fn resume_token(&self) -> ResumeToken {
        ResumeToken {
            caller: self.call.caller.clone(),
            request_id: self.call.request_id.clone(),
            body_hash: self.params.body_hash,
            model: self.params.model.clone(),
            target: self.target.clone(),
        }
    }

    /// Reads the next chunk of the open stream.
    async fn read(&mut self) -> Result<OutputChunk, CallError> {
        let Some(stream) = &mut self.stream else {
            return Err(CallError::NotSent("no stream is open".to_owned()));
        };
        loop {
            let Some(data) = stream.events.pop_front() else {
                stream.read_events().await?;
                continue;
            };
            if data == "[DONE]" {
                return Err(CallError::Broken("the stream ended early".to_owned()));
            }
            let output = stream.parse(&data, self.last_token + 1, &self.call.request_id)?;
            stream.deadline = Instant::now() + stall_timeout(&self.model);
            match &output {
                OutputChunk::Token { .. } => {
                    self.last_token += 1;
                    if !stream.token_received {
                        stream.token_received = true;
                        stream.dispatch.record_answer();
                        let ttft = self.admitted_at.elapsed().as_secs_f64();
                        self.call.shared.metrics.first_token.observe(ttft);
                        self.call.span.event("first token", format!("{ttft:.4} s"));
                    }
                }
                OutputChunk::End { .. } => self.record_end(),
            }
            return Ok(output);
        }
    }

    /// Records an answer's token counts, length, prefixes and unused tokens; closes its stream.
    fn record_end(&mut self) {
        let shared = Arc::clone(&self.call.shared);
        let key = format!("{}/{}", self.call.caller, self.params.model);
        let mut routing = shared.routing();
        let work = routing
            .token_counts
            .entry(self.params.model.clone())
            .or_default();
        work.0 += u64::from(self.params.prompt_tokens);
        work.1 += u64::from(self.generated_tokens());
        routing
            .outputs
            .record(&key, self.last_token, self.params.max_tokens);
        if let Some(router) = routing.routers.get_mut(&self.params.model) {
            router
                .prefixes
                .stored(&self.target, &self.params.block_hashes, shared.clock.now());
        }
        drop(routing);
        self.admission.unused = f64::from(self.params.max_tokens.saturating_sub(self.last_token));
        self.stream = None;
    }

    /// Continues on another engine after a failure, within the retry budget and [`MAX_ATTEMPTS`].
    async fn recover(&mut self, error: &CallError) -> Result<(), ApiError> {
        self.call
            .span
            .event("engine failed", format!("{}: {error:?}", self.target));
        if let Some(stream) = self.stream.take() {
            stream.dispatch.record_failure();
        }
        self.tried.push(self.target.clone());
        let allowed = self.call.shared.routing().retries.take();
        if self.attempts >= MAX_ATTEMPTS || !allowed {
            return Err(self.final_error(error));
        }
        self.call.shared.metrics.retries.inc();
        if self.last_token > self.resumed_from {
            self.call.shared.metrics.resumed.inc();
        }
        self.open_stream().await
    }

    /// Returns the error of a generation that is not retried.
    fn final_error(&self, error: &CallError) -> ApiError {
        match error {
            _ if !self.maybe_started => ApiError::NotSent,
            CallError::TimedOut => ApiError::TimedOut,
            CallError::NotSent(text) | CallError::Broken(text) => ApiError::Broken(text.clone()),
        }
    }

    /// Opens a stream, on other engines if that fails, within retry budget and [`MAX_ATTEMPTS`].
    async fn open_stream(&mut self) -> Result<(), ApiError> {
        loop {
            self.attempts += 1;
            let placement = self.find_placement().await?;
            match self.connect(placement).await {
                Ok(stream) => {
                    self.stream = Some(stream);
                    return Ok(());
                }
                Err(error) => {
                    self.call
                        .span
                        .event("attempt failed", format!("{}: {error:?}", self.target));
                    self.tried.push(self.target.clone());
                    let allowed = self.call.shared.routing().retries.take();
                    if self.attempts >= MAX_ATTEMPTS || !allowed {
                        return Err(self.final_error(&error));
                    }
                    self.call.shared.metrics.retries.inc();
                }
            }
        }
    }

    /// Finds a placement. If an engine may have started, a refusal is `Broken` (outcome unknown).
    async fn find_placement(&mut self) -> Result<Placement, ApiError> {
        let key = format!("{}/{}", self.call.caller, self.params.model);
        let left = self.params.max_tokens - self.last_token;
        let (reserve, bound_factor) = {
            let routing = self.call.shared.routing();
            let bound_factor = routing
                .shares
                .bound_factor(&self.call.caller, self.call.shared.now());
            (routing.outputs.reserve(&key, left), bound_factor)
        };
        let request = RouteRequest {
            service: self.params.model.clone(),
            domain: self.call.shared.settings.domain.clone(),
            prompt: self.params.prompt_tokens + self.last_token,
            output: reserve,
            block_hashes: self.params.block_hashes.clone(),
            ttft_bound: self.ttft_bound(),
            itl_bound: self.model.itl_bound.as_secs_f64() * 1000.0,
            bound_factor,
            tried: self.tried.clone(),
        };
        let caller = self.call.config.document.callers.get(&self.call.caller);
        let caller = caller.ok_or(ApiError::Unauthorized)?;
        let waited = if self.attempts > 1 {
            Duration::ZERO
        } else {
            self.admitted_at.elapsed()
        };
        let placement = wait_for_placement(
            &self.call.shared,
            &request,
            (&self.call.caller, caller),
            waited,
        )
        .await;
        placement.map_err(|error| match error {
            ApiError::Overloaded(_) | ApiError::NoTarget if self.maybe_started => {
                ApiError::Broken("no other engine could go on".to_owned())
            }
            error => error,
        })
    }

    /// Returns the bound on the time to the next token, in milliseconds.
    fn ttft_bound(&self) -> f64 {
        /// Factor for a retried or resumed stream, whose loss is worse than exceeding the bound.
        const RETRY_BOUND_FACTOR: f64 = 4.0;
        let bound = self.model.ttft_bound.as_secs_f64() * 1000.0;
        if self.last_token > 0 || self.attempts > 1 {
            bound * RETRY_BOUND_FACTOR
        } else {
            bound
        }
    }

    /// Opens the stream of one attempt.
    async fn connect(&mut self, placement: Placement) -> Result<EngineStream, CallError> {
        let shared = Arc::clone(&self.call.shared);
        let first = Dispatch::new(&shared, &self.params.model, placement.first);
        let second = placement
            .second
            .map(|id| Dispatch::new(&shared, &self.params.model, id));
        let attempt_id = format!("{}/{}", self.call.request_id, self.attempts);
        let deadline = Instant::now() + first_token_timeout(&self.call.headers, &self.model);
        let span = shared.traces.child("engine", &self.call.span);
        span.set("plan", format!("{:?}", placement.choice.plan));
        span.set("expected_ms", placement.choice.first_token);
        span.set("cached_tokens", i64::from(placement.choice.cached));
        let (target, transfer, dispatch) = match &placement.choice.plan {
            Plan::Whole(target) => (target.clone(), Value::Null, first),
            Plan::Split { prefill, decode } => {
                self.target.clone_from(prefill);
                let transfer = self.prefill(prefill, &attempt_id, deadline, first).await?;
                let dispatch = second.expect("a split has two dispatches");
                (decode.clone(), transfer, dispatch)
            }
        };
        self.target.clone_from(&target);
        let body =
            self.params
                .engine_body(&attempt_id, self.priority(), self.last_token, &transfer);
        let request = self.engine_request(&target, &body, &trace_header(&span).1)?;
        let result = upstream::send(&shared.client, request, deadline).await;
        self.maybe_started |= !matches!(&result, Err(CallError::NotSent(_)));
        let response = result.inspect_err(|_| dispatch.record_failure())?;
        if response.status() != 200 {
            dispatch.record_failure();
            return Err(CallError::Broken(format!(
                "the engine answered {}",
                response.status()
            )));
        }
        let labels = TargetLabels { target };
        shared.metrics.dispatches.get_or_create(&labels).inc();
        Ok(EngineStream {
            body: response.into_body(),
            parser: EventParser::default(),
            events: VecDeque::new(),
            attempt_id,
            dispatch,
            token_received: false,
            deadline,
        })
    }

    /// Computes the prompt on one engine; returns the parameters to import its KV cache on another.
    async fn prefill(
        &mut self,
        target: &str,
        attempt_id: &str,
        deadline: Instant,
        dispatch: Dispatch,
    ) -> Result<Value, CallError> {
        let export = json!({ "do_remote_decode": true });
        let mut body =
            self.params
                .engine_body(attempt_id, self.priority(), self.last_token, &export);
        body["stream"] = json!(false);
        let request = self.engine_request(target, &body, &self.call.span.traceparent())?;
        let wait = deadline.saturating_duration_since(Instant::now());
        let client = &self.call.shared.client;
        let answer = upstream::send_and_collect(client, request, MAX_PREFILL_ANSWER, wait).await;
        self.maybe_started |= !matches!(&answer, Err(CallError::NotSent(_)));
        let answer = answer.inspect_err(|_| dispatch.record_failure())?;
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let transfer = value["kv_transfer_params"].clone();
        if answer.status != 200 || value["id"].as_str() != Some(attempt_id) || transfer.is_null() {
            dispatch.record_failure();
            return Err(CallError::Broken(
                "the engine did not export the KV cache".to_owned(),
            ));
        }
        dispatch.record_answer();
        Ok(transfer)
    }

    /// Builds a request to an engine.
    fn engine_request(
        &self,
        target: &str,
        body: &Value,
        traceparent: &str,
    ) -> Result<hyper::Request<http_body_util::Full<Bytes>>, CallError> {
        let address = self.call.shared.routing().address(target);
        let address =
            address.ok_or_else(|| CallError::NotSent("no address is known".to_owned()))?;
        let headers = [
            ("content-type", "application/json"),
            ("traceparent", traceparent),
        ];
        let bytes = Bytes::from(body.to_string());
        upstream::request("POST", address, self.params.path(), &headers, bytes)
            .ok_or_else(|| CallError::NotSent("the request could not be built".to_owned()))
    }

    /// Returns the caller's priority, 1 by default. Admission relies on the engine to start
    /// requests of equal priority in the order of their arrival.
    fn priority(&self) -> u8 {
        let caller = self.call.config.document.callers.get(&self.call.caller);
        caller.map_or(1, |caller| caller.priority)
    }
}

impl EngineStream {
    /// Reads body data and adds the events that it completes.
    async fn read_events(&mut self) -> Result<(), CallError> {
        let Some(data) = upstream::next_data(&mut self.body, self.deadline).await? else {
            return Err(CallError::Broken("the stream ended early".to_owned()));
        };
        let events = self.parser.push(&data);
        let events = events.map_err(|_| CallError::Broken("a malformed event".to_owned()))?;
        self.events.extend(events);
        Ok(())
    }

    /// Parses the data of an event; fails if it does not belong to this attempt.
    fn parse(&self, data: &str, number: u32, request: &str) -> Result<OutputChunk, CallError> {
        let broken = |text: &str| CallError::Broken(text.to_owned());
        let mut chunk: Value =
            serde_json::from_str(data).map_err(|_| broken("a malformed chunk"))?;
        if chunk["id"].as_str() != Some(self.attempt_id.as_str()) {
            return Err(broken("an answer to another request"));
        }
        let choice = &chunk["choices"][0];
        let reason = choice["finish_reason"].clone();
        let text = choice["delta"]["content"]
            .as_str()
            .or_else(|| choice["text"].as_str());
        let text = text.unwrap_or_default().to_owned();
        chunk["id"] = json!(request);
        if !reason.is_null() {
            return Ok(OutputChunk::End { reason, chunk });
        }
        Ok(OutputChunk::Token {
            number,
            text,
            chunk,
        })
    }
}
