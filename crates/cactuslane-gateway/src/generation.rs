//! Requests that are answered by a stream of events.

mod prompt;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, RequestState, Step};
use cactuslane_place::Load;
use cactuslane_place::placer::{Placement, PlacementRequest, Plan};
use cactuslane_platform::engine;
use cactuslane_platform::exchange::{self, Sent, Work};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use log::info;
use tokio::time::{Instant, timeout};

use self::prompt::Prompt;
use crate::ingress::Job;
use crate::plain::{label, refuse, send, unanswered, whole_body};
use crate::reply::{self, Reply};
use crate::state::{Gateway, LoadGuard};
use crate::upstream::Lent;

/// Time after which a caller may come back when no target takes its request.
const NO_TARGET_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time after which a caller may come back to an overloaded system.
const LEAST_PAUSE: Duration = Duration::from_millis(700);
/// Times the expected time of a prompt after which its engine counts as silent.
const PROMPT_FACTOR: f64 = 5.0;

/// A request on its way through engines.
#[derive(Debug)]
struct Run {
    /// The instance.
    gateway: Arc<Gateway>,
    /// The request.
    job: Arc<Job>,
    /// Its state.
    state: RequestState,
    /// The targets that were tried.
    tried: Vec<String>,
    /// The prompt that was computed for the request.
    prompt: Option<Prompt>,
    /// The prompts that engines accepted, or may have.
    prompts: u32,
}

/// A stream that a target has begun.
#[derive(Debug)]
struct Opened {
    /// The head's headers.
    headers: HeaderMap,
    /// The stream.
    body: Incoming,
    /// The connection.
    connection: Lent,
    /// The target.
    target: String,
    /// The work at the target.
    load: LoadGuard,
}

/// The end of the search for a target.
#[derive(Debug)]
enum Outcome {
    /// A stream has begun.
    Opened(Box<Opened>),
    /// The caller gets this answer.
    Answer(Box<Response<Reply>>),
    /// The answer that has begun breaks off.
    Cut,
}

/// Executes a request and returns its answer, the stream still to come.
pub async fn execute(gateway: &Arc<Gateway>, job: Job, state: RequestState) -> Response<Reply> {
    let mut run = Run {
        gateway: gateway.clone(),
        prompt: None,
        prompts: 0,
        job: Arc::new(job),
        state,
        tried: Vec::new(),
    };
    match run.open(run.job.info.last_event).await {
        Outcome::Opened(opened) => run.stream(*opened),
        Outcome::Answer(response) => *response,
        Outcome::Cut => unanswered(&run.job),
    }
}

impl Run {
    /// Sends the request to targets until one begins a stream.
    async fn open(&mut self, last_event: Option<u64>) -> Outcome {
        loop {
            let now = self.gateway.now();
            let left = self.state.remaining(now);
            if left.is_zero() {
                return answered(refuse(
                    &self.job,
                    &self.state,
                    Duration::ZERO,
                    "time is over",
                ));
            }
            let plan = match self.place(left) {
                Placement::Run(plan) => plan,
                Placement::Overloaded { excess } => {
                    let after = (excess * 2 + LEAST_PAUSE).min(left / 3);
                    info!(
                        request = self.job.info.id,
                        excess_ms = excess.as_millis() as u64,
                        left_ms = left.as_millis() as u64,
                        come_back_ms = after.as_millis() as u64;
                        "no engine would answer in time"
                    );
                    return answered(refuse(&self.job, &self.state, after, "overloaded"));
                }
                Placement::NoTarget => {
                    let why = "no target";
                    return answered(refuse(&self.job, &self.state, NO_TARGET_PAUSE, why));
                }
            };
            let (ending, answer) = match self.attempt(&plan, left, last_event).await {
                Ok(opened) => return Outcome::Opened(Box::new(opened)),
                Err(failure) => failure,
            };
            let now = self.gateway.now();
            self.gateway.metrics.attempted(label(ending));
            info!(
                request = self.job.info.id,
                target_id = plan.decode,
                prefill = plan.prefill.as_deref().unwrap_or(""),
                ending:? = ending;
                "attempt failed"
            );
            let budget = || self.gateway.take_repeat(&self.job.service);
            match (self.state.next_step(ending, now, budget), answer) {
                (Step::Retry, _) => {}
                (Step::ForwardFailure, Some(answer)) => return Outcome::Answer(Box::new(answer)),
                (Step::ForwardFailure, None) => return answered(unanswered(&self.job)),
                (Step::Refuse(refusal), _) => {
                    let id = &self.job.info.id;
                    let cause = label(ending);
                    return answered(reply::refusal(id, refusal, NO_TARGET_PAUSE, cause));
                }
                (Step::Abort, _) => return Outcome::Cut,
            }
        }
    }

    /// Chooses targets.
    fn place(&self, left: Duration) -> Placement {
        let now = self.gateway.now();
        let job = &self.job;
        let fleet = self.gateway.fleet();
        let model = job.info.model.as_deref();
        let targets = fleet.targets(&job.service, model, now);
        let mut placer = self.gateway.placer();
        let service = job.document.services.get(&job.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            let chosen = placer.place_plain(&targets, &self.tried, now);
            return chosen.map_or(Placement::NoTarget, |decode| {
                Placement::Run(Plan {
                    fetch: None,
                    prefill: None,
                    decode,
                    uncached: 0,
                    ahead: 0,
                    expected: 0.0,
                })
            });
        };
        let wanted = PlacementRequest {
            info: &job.info,
            engine,
            max_pause: job.route.max_pause,
            latency_objective: job.route.latency_objective,
            left: left.min(
                job.route
                    .silence_limit
                    .saturating_sub(job.arrived.elapsed()),
            ),
            split: job.route.prompt_aware && self.prompts < job.route.max_attempts,
            tried: &self.tried,
        };
        if self.prompt.is_some() {
            return placer.place_decode(&targets, &wanted, now);
        }
        let mut placement = placer.place_generation(&targets, &wanted, now);
        if placement == Placement::NoTarget && !self.tried.is_empty() {
            let again = PlacementRequest {
                tried: &[],
                ..wanted
            };
            placement = placer.place_generation(&targets, &again, now);
        }
        if let Placement::Run(plan) = &placement {
            let own = job.info.unshared_tokens();
            // Shared parts that are missing now will be there later.
            let missing = plan.uncached.saturating_sub(own) / 2;
            placer.load_view.record_placed(own + missing);
        }
        placement
    }

    /// Sends the request to the chosen targets.
    async fn attempt(
        &mut self,
        plan: &Plan,
        left: Duration,
        last_event: Option<u64>,
    ) -> Result<Opened, (AttemptFailure, Option<Response<Reply>>)> {
        let unsent = (AttemptFailure::Unsent, None);
        self.gateway
            .metrics
            .placed(plan, self.job.info.prompt_tokens);
        info!(
            request = self.job.info.id,
            target_id = plan.decode,
            prefill = plan.prefill.as_deref().unwrap_or(""),
            fetch = plan.fetch.as_deref().unwrap_or(""),
            uncached = plan.uncached,
            ahead = plan.ahead,
            expected_ms = plan.expected as u64,
            left_ms = left.as_millis() as u64,
            version = self.job.document.version;
            "placed"
        );
        if let Some(prefill) = &plan.prefill {
            let prefill = self.gateway.target(prefill).ok_or(unsent)?;
            let computed = self.compute(&prefill, plan, left).await;
            if !matches!(
                computed,
                Err((AttemptFailure::Unsent | AttemptFailure::Rejected, _))
            ) {
                self.prompts += 1;
            }
            match computed {
                Ok(prompt) => self.prompt = Some(prompt),
                Err((ending, why)) => {
                    info!(request = self.job.info.id, target_id = prefill.id, why; "no prompt");
                    self.tried.push(prefill.id);
                    // A prompt that may have been computed is no run of the request.
                    let kept = matches!(ending, AttemptFailure::Unsent | AttemptFailure::Late);
                    return Err((
                        if kept {
                            ending
                        } else {
                            AttemptFailure::Rejected
                        },
                        None,
                    ));
                }
            }
        }
        let target = self.decode_target(plan);
        let target = target.ok_or((AttemptFailure::Unsent, None))?;
        let again = self.tried.contains(&target.id);
        self.tried.push(target.id.clone());
        let prompt = self.prompt.take();
        let result = self
            .generate(&target, plan, prompt.as_ref(), last_event)
            .await;
        match (&result, prompt) {
            (Ok(_), Some(mut prompt)) => prompt.used = true,
            // Another engine may have room where this one had none.
            (Err((AttemptFailure::Rejected | AttemptFailure::Unsent, _)), Some(prompt))
                if !again && !prompt.refused =>
            {
                self.prompt = Some(Prompt::refused(prompt));
            }
            _ => {}
        }
        result
    }

    /// Returns the engine that generates: the planned one, unless it is changing by now.
    fn decode_target(&self, plan: &Plan) -> Option<Target> {
        let now = self.gateway.now();
        let planned = self.gateway.target(&plan.decode);
        let changing = self
            .gateway
            .placer()
            .load_view
            .is_changing(&plan.decode, now);
        if (planned.is_some() && !changing) || self.prompt.is_none() {
            return planned;
        }
        let Placement::Run(again) = self.place(self.state.remaining(now)) else {
            return planned;
        };
        self.gateway.target(&again.decode)
    }

    /// Has a target generate and returns the stream that it has begun.
    async fn generate(
        &self,
        target: &Target,
        plan: &Plan,
        prompt: Option<&Prompt>,
        last_event: Option<u64>,
    ) -> Result<Opened, (AttemptFailure, Option<Response<Reply>>)> {
        let load = Load {
            prompt_tokens: if prompt.is_some() { 0 } else { plan.uncached },
            running: 1,
            kv_tokens: self.job.info.prompt_tokens + self.job.info.max_output,
        };
        let load = self.gateway.load(&target.id, load);
        let source = prompt.map(|prompt| engine::source(prompt.target.address, &prompt.handle));
        let left = self.state.remaining(self.gateway.now());
        let sent = Sent {
            target: &target.id,
            left,
            priority: Some(self.job.route.priority),
            work: source.as_deref().map_or(Work::Whole, Work::From),
            fetch: None,
            last_event,
        };
        let began = Instant::now();
        let wait = left.min(self.head_patience(plan));
        let head = send(&self.gateway, &self.job, target, &sent);
        let result = within(wait, left, "head", head).await;
        let now = self.gateway.now();
        let (connection, response) = match result {
            Ok(exchange) => exchange,
            Err((ending, why)) => {
                self.gateway.unanswered(&target.id, ending);
                info!(request = self.job.info.id, target_id = target.id, why; "no stream");
                return Err((ending, None));
            }
        };
        let (head, body) = response.into_parts();
        if !head.status.is_success() {
            self.gateway.placer().answered_failure(&target.id, now);
            let body = whole_body(body)
                .await
                .map_err(|(ending, _)| (ending, None))?;
            let headers = exchange::answer_headers(&head.headers);
            return Err((
                AttemptFailure::Failed,
                Some(reply::whole(head.status, headers, body)),
            ));
        }
        if !exchange::signed(&head.headers) {
            return Err((AttemptFailure::Broken, None));
        }
        let mut placer = self.gateway.placer();
        placer.answered(&target.id, 1.0, 1.0, now);
        if prompt.is_some() {
            placer
                .speed
                .observe_first(began.elapsed().as_secs_f64() * 1000.0);
        }
        drop(placer);
        info!(
            request = self.job.info.id,
            target_id = target.id,
            since_arrival_ms = self.job.arrived.elapsed().as_millis() as u64;
            "stream begun"
        );
        self.keeps(target, 0.0);
        Ok(Opened {
            headers: head.headers,
            body,
            connection,
            target: target.id.clone(),
            load,
        })
    }

    /// Returns how long a target may take to begin a stream that may go on elsewhere.
    fn head_patience(&self, plan: &Plan) -> Duration {
        if !self.state.may_retry() {
            return Duration::MAX;
        }
        let expected = Duration::from_secs_f64(plan.expected * PROMPT_FACTOR / 1000.0);
        self.job.route.silence_limit.max(expected)
    }

    /// Records that a target keeps the shared parts of the prompt, or will after some milliseconds.
    fn keeps(&self, target: &Target, ready_in: f64) {
        let service = self.job.document.services.get(&self.job.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return;
        };
        let now = self.gateway.now();
        self.gateway.placer().record_cached(
            &target.id,
            &self.job.info.parts,
            engine.kv_capacity,
            ready_in,
            now,
        );
    }
}

/// Waits for a part of an exchange: a target is silent where time is left, else the time is over.
async fn within<T>(
    wait: Duration,
    left: Duration,
    part: &str,
    exchange: impl Future<Output = Result<T, (AttemptFailure, String)>>,
) -> Result<T, (AttemptFailure, String)> {
    let ending = if wait < left {
        AttemptFailure::Broken
    } else {
        AttemptFailure::Late
    };
    let silent = Err((ending, format!("no {part} within {wait:?}")));
    timeout(wait, exchange).await.unwrap_or(silent)
}

/// Returns the outcome of a request that is answered without a stream.
fn answered(response: Response<Reply>) -> Outcome {
    Outcome::Answer(Box::new(response))
}
