//! One generation, over as many engines as it takes.

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

use super::ask::ModelAsk;
use super::placement::{Admission, Placed, place};
use super::{first_limit, stall_limit};
use crate::api::sse::EventParser;
use crate::api::{Call, trace_header};
use crate::metrics::TargetLabels;
use crate::reply::Ending;
use crate::routing::Dispatch;
use crate::upstream::{self, CallError};

/// Number of engines that one request tries at most.
const MAX_ATTEMPTS: u32 = 4;
/// Largest answer of an engine that computes a prompt, in bytes.
const MAX_PREFILL_ANSWER: usize = 1 << 20;

/// A generation in progress; dropping it cancels it at the engine.
pub struct Generation {
    /// The caller's request.
    pub call: Call,
    /// What it asks for.
    pub ask: ModelAsk,
    /// The model.
    model: EngineModel,
    /// Its share of the caller's limits.
    admission: Admission,
    /// The engine's stream, if one is open.
    stream: Option<EngineStream>,
    /// The number of the last token that was taken in.
    number: u32,
    /// The number of tokens that the caller had before.
    start: u32,
    /// The number of attempts so far.
    attempts: u32,
    /// Says whether an engine may have started it.
    started: bool,
    /// Holds the engines that failed.
    tried: Vec<TargetId>,
    /// The engine of the last attempt.
    target: TargetId,
    /// When the request arrived.
    arrived: Instant,
}

/// A piece of an answer.
#[derive(Clone, Debug)]
pub enum Piece {
    /// A token.
    Token {
        /// Numbers it from 1.
        number: u32,
        /// Its text.
        text: String,
        /// Its chunk, under the caller's request id.
        chunk: Value,
    },
    /// The end.
    End {
        /// The reason, as the engine gives it.
        reason: Value,
        /// Its chunk, under the caller's request id.
        chunk: Value,
    },
}

/// The open stream of one attempt.
struct EngineStream {
    /// The body of the engine's answer.
    body: Incoming,
    /// Splits the body into events.
    parser: EventParser,
    /// Holds events that were not taken in yet.
    events: VecDeque<String>,
    /// Identifies the attempt at the engine.
    id: String,
    /// The attempt's dispatch in the picture.
    dispatch: Dispatch,
    /// Says whether a token has come.
    answered: bool,
    /// When the attempt counts as broken.
    deadline: Instant,
}

impl Generation {
    /// Admits a request; the first piece is taken with [`Generation::next`].
    pub async fn begin(
        call: Call,
        ask: ModelAsk,
        model: EngineModel,
        resume: Option<(ResumeToken, u32)>,
    ) -> Result<Self, Ending> {
        let caller = call
            .config
            .document
            .callers
            .get(&call.caller)
            .ok_or(Ending::Unauthorized)?;
        let tokens = f64::from(ask.prompt + ask.max_tokens);
        let admission = Admission::take(&call.shared, &call.caller, caller, tokens)?;
        let (target, start) =
            resume.map_or((TargetId::new(), 0), |(token, from)| (token.target, from));
        call.shared.routing().retries.attempted();
        let mut generation = Self {
            call,
            ask,
            model,
            admission,
            stream: None,
            number: start,
            start,
            attempts: 0,
            started: false,
            tried: Vec::new(),
            target,
            arrived: Instant::now(),
        };
        if start > 0 {
            generation.call.shared.metrics.resumed.inc();
        }
        if start < generation.ask.max_tokens {
            generation.open().await?;
        }
        Ok(generation)
    }

    /// Returns the next piece, going on at another engine where one breaks.
    pub async fn next(&mut self) -> Result<Piece, Ending> {
        if self.number >= self.ask.max_tokens && self.stream.is_none() {
            return Ok(self.end());
        }
        loop {
            match self.read().await {
                Ok(piece) => return Ok(piece),
                Err(why) => self.recover(&why).await?,
            }
        }
    }

    /// Builds the end of a stream whose tokens the caller already had.
    fn end(&self) -> Piece {
        let reason = json!("length");
        let (object, choice) = if self.ask.chat {
            let choice = json!({ "index": 0, "delta": {}, "finish_reason": reason });
            ("chat.completion.chunk", choice)
        } else {
            (
                "text_completion",
                json!({ "index": 0, "text": "", "finish_reason": reason }),
            )
        };
        let chunk = json!({
            "id": self.call.request,
            "object": object,
            "created": 0,
            "model": self.ask.model,
            "choices": [choice],
        });
        Piece::End { reason, chunk }
    }

    /// Returns the number of tokens generated for this request.
    pub fn tokens(&self) -> u32 {
        self.number - self.start
    }

    /// Returns the token with which the caller can take up the stream elsewhere.
    pub fn token(&self) -> ResumeToken {
        ResumeToken {
            caller: self.call.caller.clone(),
            request_id: self.call.request.clone(),
            body_hash: self.ask.hash,
            model: self.ask.model.clone(),
            target: self.target.clone(),
        }
    }

    /// Reads the next piece of the open stream.
    async fn read(&mut self) -> Result<Piece, CallError> {
        let Some(stream) = &mut self.stream else {
            return Err(CallError::NotSent("no stream is open".to_owned()));
        };
        loop {
            let Some(data) = stream.events.pop_front() else {
                stream.fill().await?;
                continue;
            };
            if data == "[DONE]" {
                return Err(CallError::Broken("the stream ended early".to_owned()));
            }
            let piece = stream.piece(&data, self.number + 1, &self.call.request)?;
            stream.deadline = Instant::now() + stall_limit(&self.model);
            match &piece {
                Piece::Token { .. } => {
                    self.number += 1;
                    if !stream.answered {
                        stream.answered = true;
                        stream.dispatch.answered();
                        let passed = self.arrived.elapsed().as_secs_f64();
                        self.call.shared.metrics.first_token.observe(passed);
                        self.call
                            .span
                            .event("first token", format!("{passed:.4} s"));
                    }
                }
                Piece::End { .. } => self.finish(),
            }
            return Ok(piece);
        }
    }

    /// Records the end of a whole answer.
    fn finish(&mut self) {
        let shared = Arc::clone(&self.call.shared);
        let key = format!("{}/{}", self.call.caller, self.ask.model);
        let mut routing = shared.routing();
        let work = routing.work.entry(self.ask.model.clone()).or_default();
        work.0 += u64::from(self.ask.prompt);
        work.1 += u64::from(self.tokens());
        routing
            .outputs
            .record(&key, self.number, self.ask.max_tokens);
        if let Some(router) = routing.routers.get_mut(&self.ask.model) {
            router
                .prefixes
                .stored(&self.target, &self.ask.blocks, shared.clock.now());
        }
        drop(routing);
        self.admission.unused = f64::from(self.ask.max_tokens.saturating_sub(self.number));
        self.stream = None;
    }

    /// Goes on at another engine after a failure, or gives up.
    async fn recover(&mut self, why: &CallError) -> Result<(), Ending> {
        self.call
            .span
            .event("engine failed", format!("{}: {why:?}", self.target));
        if let Some(stream) = self.stream.take() {
            stream.dispatch.failed();
        }
        self.tried.push(self.target.clone());
        let allowed = self.call.shared.routing().retries.take();
        if self.attempts >= MAX_ATTEMPTS || !allowed {
            return Err(self.given_up(why));
        }
        self.call.shared.metrics.retries.inc();
        if self.number > self.start {
            self.call.shared.metrics.resumed.inc();
        }
        self.open().await
    }

    /// Returns the ending of a generation that is given up.
    fn given_up(&self, why: &CallError) -> Ending {
        match why {
            _ if !self.started => Ending::NotSent,
            CallError::TimedOut => Ending::TimedOut,
            CallError::NotSent(why) | CallError::Broken(why) => Ending::Broken(why.clone()),
        }
    }

    /// Finds engines and opens a stream, trying others while that fails.
    async fn open(&mut self) -> Result<(), Ending> {
        loop {
            self.attempts += 1;
            let placed = self.place().await?;
            match self.connect(placed).await {
                Ok(stream) => {
                    self.stream = Some(stream);
                    return Ok(());
                }
                Err(why) => {
                    self.call
                        .span
                        .event("attempt failed", format!("{}: {why:?}", self.target));
                    self.tried.push(self.target.clone());
                    let allowed = self.call.shared.routing().retries.take();
                    if self.attempts >= MAX_ATTEMPTS || !allowed {
                        return Err(self.given_up(&why));
                    }
                    self.call.shared.metrics.retries.inc();
                }
            }
        }
    }

    /// Finds a place; one that was started elsewhere before is refused as unknown.
    async fn place(&mut self) -> Result<Placed, Ending> {
        let key = format!("{}/{}", self.call.caller, self.ask.model);
        let left = self.ask.max_tokens - self.number;
        let (reserve, bound_factor) = {
            let routing = self.call.shared.routing();
            let bound_factor = routing
                .shares
                .bound_factor(&self.call.caller, self.call.shared.now());
            (routing.outputs.reserve(&key, left), bound_factor)
        };
        let request = RouteRequest {
            service: self.ask.model.clone(),
            domain: self.call.shared.settings.domain.clone(),
            prompt: self.ask.prompt + self.number,
            output: reserve,
            block_hashes: self.ask.blocks.clone(),
            ttft_bound: self.ttft_bound(),
            itl_bound: self.model.itl_bound.as_secs_f64() * 1000.0,
            bound_factor,
            tried: self.tried.clone(),
        };
        let caller = self.call.config.document.callers.get(&self.call.caller);
        let caller = caller.ok_or(Ending::Unauthorized)?;
        let waited = if self.attempts > 1 {
            Duration::ZERO
        } else {
            self.arrived.elapsed()
        };
        let placed = place(
            &self.call.shared,
            &request,
            (&self.call.caller, caller),
            waited,
        )
        .await;
        placed.map_err(|ending| match ending {
            Ending::Overloaded(_) | Ending::NoTarget if self.started => {
                Ending::Broken("no other engine could go on".to_owned())
            }
            ending => ending,
        })
    }

    /// Returns the bound on the time to the next token, in milliseconds.
    ///
    /// A stream that broke is worth more than its bound: it may wait longer.
    fn ttft_bound(&self) -> f64 {
        /// Factor of the bound that a stream in progress may wait.
        const PATIENCE: f64 = 4.0;
        let bound = self.model.ttft_bound.as_secs_f64() * 1000.0;
        if self.number > 0 || self.attempts > 1 {
            bound * PATIENCE
        } else {
            bound
        }
    }

    /// Opens the stream of one attempt.
    async fn connect(&mut self, placed: Placed) -> Result<EngineStream, CallError> {
        let shared = Arc::clone(&self.call.shared);
        let first = Dispatch::new(&shared, &self.ask.model, placed.first);
        let second = placed
            .second
            .map(|id| Dispatch::new(&shared, &self.ask.model, id));
        let id = format!("{}/{}", self.call.request, self.attempts);
        let deadline = Instant::now() + first_limit(&self.call.headers, &self.model);
        let span = shared.traces.child("engine", &self.call.span);
        span.set("plan", format!("{:?}", placed.choice.plan));
        span.set("expected_ms", placed.choice.first_token);
        span.set("cached_tokens", i64::from(placed.choice.cached));
        let (target, transfer, dispatch) = match &placed.choice.plan {
            Plan::Whole(target) => (target.clone(), Value::Null, first),
            Plan::Split { prefill, decode } => {
                self.target.clone_from(prefill);
                let transfer = self.prefill(prefill, &id, deadline, first).await?;
                let dispatch = second.expect("a split has two dispatches");
                (decode.clone(), transfer, dispatch)
            }
        };
        self.target.clone_from(&target);
        let body = self
            .ask
            .upstream(&id, self.priority(), self.number, &transfer);
        let request = self.request(&target, &body, &trace_header(&span).1)?;
        let result = upstream::head(&shared.client, request, deadline).await;
        self.started |= !matches!(&result, Err(CallError::NotSent(_)));
        let response = result.inspect_err(|_| dispatch.failed())?;
        if response.status() != 200 {
            dispatch.failed();
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
            id,
            dispatch,
            answered: false,
            deadline,
        })
    }

    /// Computes the prompt on one engine and returns what another needs to import it.
    async fn prefill(
        &mut self,
        target: &str,
        id: &str,
        deadline: Instant,
        dispatch: Dispatch,
    ) -> Result<Value, CallError> {
        let ask = json!({ "do_remote_decode": true });
        let mut body = self.ask.upstream(id, self.priority(), self.number, &ask);
        body["stream"] = json!(false);
        let request = self.request(target, &body, &self.call.span.traceparent())?;
        let wait = deadline.saturating_duration_since(Instant::now());
        let client = &self.call.shared.client;
        let answer = upstream::whole(client, request, MAX_PREFILL_ANSWER, wait).await;
        self.started |= !matches!(&answer, Err(CallError::NotSent(_)));
        let answer = answer.inspect_err(|_| dispatch.failed())?;
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let transfer = value["kv_transfer_params"].clone();
        if answer.status != 200 || value["id"].as_str() != Some(id) || transfer.is_null() {
            dispatch.failed();
            return Err(CallError::Broken(
                "the engine did not export the KV cache".to_owned(),
            ));
        }
        dispatch.answered();
        Ok(transfer)
    }

    /// Builds a request to an engine.
    fn request(
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
        upstream::request("POST", address, self.ask.path(), &headers, bytes)
            .ok_or_else(|| CallError::NotSent("the request could not be built".to_owned()))
    }

    /// Returns the priority at the engine, which is the caller's.
    ///
    /// Among equals the engine keeps the order of arrival, which is what admission counts on.
    fn priority(&self) -> u8 {
        let caller = self.call.config.document.callers.get(&self.call.caller);
        caller.map_or(1, |caller| caller.priority)
    }
}

impl EngineStream {
    /// Reads more events.
    async fn fill(&mut self) -> Result<(), CallError> {
        let Some(data) = upstream::next_data(&mut self.body, self.deadline).await? else {
            return Err(CallError::Broken("the stream ended early".to_owned()));
        };
        let events = self.parser.push(&data);
        let events = events.map_err(|_| CallError::Broken("a malformed event".to_owned()))?;
        self.events.extend(events);
        Ok(())
    }

    /// Turns an event into a piece, if it belongs to this attempt.
    fn piece(&self, data: &str, number: u32, request: &str) -> Result<Piece, CallError> {
        let broken = |why: &str| CallError::Broken(why.to_owned());
        let mut chunk: Value =
            serde_json::from_str(data).map_err(|_| broken("a malformed chunk"))?;
        if chunk["id"].as_str() != Some(self.id.as_str()) {
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
            return Ok(Piece::End { reason, chunk });
        }
        Ok(Piece::Token {
            number,
            text,
            chunk,
        })
    }
}
