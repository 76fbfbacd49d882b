//! One attempt at a target that generates.

use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, ServingProcess};
use cactuslane_held::Framing;
use cactuslane_place::Load;
use cactuslane_place::placer::Plan;
use cactuslane_platform::engine;
use cactuslane_platform::exchange::{self, Phases, SendParams};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use log::info;
use tokio::time::Instant;

use super::computed::ComputedPrompt;
use super::waiting::{HELD, with_timeout};
use super::{OpenStream, StreamRequest};
use crate::ending::{self, Answered, Told};
use crate::limits::permits::Permit;
use crate::plain::send;
use crate::reply::{self, AnswerBody};
use crate::upstream::PooledConnection;
use crate::{crashes, engines, usage};

/// Maximum size of the body of a target's failure, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;

impl StreamRequest {
    /// Sends the request to the target that generates and returns the stream once its head has
    /// arrived.
    pub(super) async fn generate(
        &self,
        target: &Target,
        plan: &Plan,
        prompt: Option<&ComputedPrompt>,
        last_event: Option<u64>,
        permit: Permit,
    ) -> Result<OpenStream, (AttemptFailure, Option<Response<AnswerBody>>)> {
        // A target that was placed may have registered another process since.
        if !self.origin.allows(target) {
            return Err((AttemptFailure::Unsent, None));
        }
        let load = Load {
            prompt_tokens: if prompt.is_some() { 0 } else { plan.uncached },
            running: 1,
            kv_tokens: self.request.info.prompt_tokens + self.request.info.max_output,
        };
        let load = self.gateway.track_load(&target.id, load);
        let source =
            prompt.map(|prompt| engine::prompt_source(prompt.target.address, &prompt.handle));
        let told = Told::read(|| self.state.remaining(self.gateway.now()));
        let left = told.left();
        let params = SendParams {
            target: &target.id,
            priority: Some(self.request.priority),
            identity: self.request.identity(),
            phases: source.as_deref().map_or(Phases::All, Phases::Decode),
            fetch: None,
            place: Some(self.request.info.place(last_event)),
            ..SendParams::default()
        };
        let began = Instant::now();
        let wait = left.min(self.head_timeout(plan));
        let mut attempt = crashes::SentAttempt::new(&self.gateway, &self.request.info, target);
        let head = async {
            let head = send(&self.gateway, &self.request, target, &params, told, permit).await;
            if let Err((ending, _)) = &head {
                attempt.settle();
                if *ending == AttemptFailure::Broken {
                    crashes::check_lost(&self.gateway, &self.request.info, target, began);
                }
            }
            head
        };
        let head = self.unless_held(head);
        let result = with_timeout(wait, left, "head", head).await;
        let now = self.gateway.now();
        let (connection, response) = match result {
            Ok(exchange) => exchange,
            Err((ending, why)) => {
                if why != HELD {
                    self.gateway.record_failure(&target.id, ending);
                }
                if ending == AttemptFailure::Rejected {
                    engines::ask_rejecting(&self.gateway, target);
                }
                info!(request = self.request.info.id, target_id = target.id, why; "no stream");
                return Err((ending, None));
            }
        };
        let framing = Framing::of(&response);
        let (head, body) = response.into_parts();
        connection.allow(if head.status.is_success() {
            usize::MAX
        } else {
            MAX_FAILURE_BYTES
        });
        if !head.status.is_success() {
            attempt.settle();
            let failure = self
                .read_failure(target, (framing, began, told), head, body)
                .await;
            return Err(failure);
        }
        if !exchange::is_signed(&head.headers) {
            return Err((AttemptFailure::Broken, None));
        }
        let mut placer = self.gateway.placer();
        placer.answered(&target.id, 1.0, 1.0, now);
        if prompt.is_some() {
            let elapsed = began.elapsed().as_secs_f64() * 1000.0;
            let factor = placer.paces.factor(&target.id, elapsed, now);
            placer.speed.observe_first(elapsed / factor);
        }
        drop(placer);
        self.log_begun(target, &connection, &head.headers, last_event);
        self.record_cached(target, 0.0);
        Ok(OpenStream {
            headers: head.headers,
            framing,
            told,
            resumed_after: last_event,
            body,
            connection,
            target: target.clone(),
            load,
            sent: began,
            attempt,
        })
    }

    /// Reads the body of a target's failure, and returns the answer to the caller unless its status
    /// promises that the request did not run; `sent` is the time at which the request was sent.
    async fn read_failure(
        &self,
        target: &Target,
        (framing, sent, told): (Framing, Instant, Told),
        head: Parts,
        body: Incoming,
    ) -> (AttemptFailure, Option<Response<AnswerBody>>) {
        let (gateway, request) = (&self.gateway, &self.request);
        usage::count_run(gateway, request, gateway.unix_now());
        let now = gateway.now();
        gateway.placer().answered_failure(&target.id, now);
        let answered = Answered {
            target,
            framing,
            told,
            sent,
            goes_on: self.state.may_retry(),
        };
        let reading = ending::read_whole(gateway, request, answered, body);
        let left = self.state.remaining(now);
        let body = match with_timeout(left, left, "body", reading).await {
            Ok(body) => body,
            Err((ending, _)) => return (ending, None),
        };
        // The target ran the request, so that its status must not promise the opposite.
        if exchange::promises_not_run(head.status.as_u16()) {
            return (AttemptFailure::Failed, None);
        }
        let headers = exchange::answer_headers(&head.headers);
        let answer = reply::buffered(head.status, headers, body);
        (AttemptFailure::Failed, Some(answer))
    }

    /// Logs that a target begins a stream, after the event with this id if it resumes one.
    fn log_begun(
        &self,
        target: &Target,
        connection: &PooledConnection,
        headers: &HeaderMap,
        last_event: Option<u64>,
    ) {
        let told = exchange::target_load(headers);
        let load = told
            .running
            .zip(told.waiting)
            .map(|(running, waiting)| format!("{running} running, {waiting} waiting"));
        info!(
            request = self.request.info.id,
            target_id = target.id,
            since_arrival_ms = self.request.arrived.elapsed().as_millis() as u64,
            target_load = load.as_deref().unwrap_or(""),
            target_slowdown:? = told.slowdown,
            target_version = target.version.as_deref().unwrap_or(""),
            process:? = target.started_at,
            served_by:? = connection.process().and_then(ServingProcess::started_at),
            last_event = last_event.unwrap_or(0);
            "stream begun"
        );
    }

    /// Records that an engine caches the parts of the prompt, or will do so in `ready_in`
    /// milliseconds.
    pub(super) fn record_cached(&self, target: &Target, ready_in: f64) {
        let service = self.request.config.services.get(&self.request.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return;
        };
        let now = self.gateway.now();
        self.gateway.placer().record_cached(
            &target.id,
            &self.request.info.parts,
            engine.kv_capacity,
            ready_in,
            now,
        );
    }
}
