//! Requests whose answers are event streams: their placement, attempts and retries.

mod attempt;
mod choice;
mod computed;
mod gap;
mod overload;
mod permits;
mod prompt;
mod stream;
mod successor;
mod waiting;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, RequestState, Step, StreamOrigin};
use cactuslane_held::Framing;
use cactuslane_place::placer::{PlacementRequest, Plan};
use cactuslane_types::Millis;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use log::info;
use tokio::time::Instant;

use self::computed::ComputedPrompt;
use self::successor::Successor;
use crate::admission::Entry;
use crate::ending::Told;
use crate::fleet::Fleet;
use crate::limits::permits::{Denials, Permit};
use crate::plain::{failure_label, refuse, unknown_outcome};
use crate::reply::{self, AnswerBody};
use crate::request::CallerRequest;
use crate::state::{Gateway, LoadGuard};
use crate::upstream::PooledConnection;
use crate::{crashes, origins};

/// Value of `Retry-After` when no target can serve a request.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Cause of the refusal of a stream that is taken up and whose version is not known.
pub const VERSION_UNKNOWN: &str = "version unknown";

/// A request to be answered by a stream, with the progress of its attempts.
#[derive(Debug)]
struct StreamRequest {
    /// State of the instance that received the request.
    gateway: Arc<Gateway>,
    /// Request as it was received from the caller.
    request: Arc<CallerRequest>,
    /// Deadline of the request and counts of its attempts, which decide about retries.
    state: RequestState,
    /// Ids of the targets that were tried. Engines among them are avoided while others are left;
    /// targets of a service without engines are not used again.
    tried: Vec<String>,
    /// Prompt that a prefill engine computed for the request, until it is sent to a decode engine.
    prompt: Option<ComputedPrompt>,
    /// Number of prompt computations that prefill engines accepted or may have accepted.
    prompt_attempts: u32,
    /// Number of attempts at targets that generate.
    runs: u32,
    /// Permits that the request was denied since it was last sent.
    denials: Denials,
    /// Version at which the stream may begin or go on.
    origin: StreamOrigin,
    /// Whether the retry budget allows no further computation of the prompt by a prefill engine.
    prompt_denied: bool,
    /// Time at which the last event for the caller arrived, or the request if none did.
    last_event: Instant,
    /// Targets of the next attempt, if a silent stream is left for them.
    successor: Option<Successor>,
}

/// An answer of a target whose head has arrived and whose stream is to be forwarded.
#[derive(Debug)]
struct OpenStream {
    /// Headers of the target's answer.
    headers: HeaderMap,
    /// What ends the body.
    framing: Framing,
    /// The end that the target was told.
    told: Told,
    /// Id of the last event that the caller has, after which the target was asked to go on.
    resumed_after: Option<u64>,
    /// Body of the answer, which holds the events.
    body: Incoming,
    /// Connection to the target, reusable after a complete answer.
    connection: PooledConnection,
    /// The target.
    target: Target,
    /// Load of the request at the target, recorded until the stream ends.
    load: LoadGuard,
    /// Time at which the request was sent to the target.
    sent: Instant,
    /// Guard of the attempt, settled at the first event.
    attempt: crashes::SentAttempt,
}

/// Result of the attempts to open a stream.
#[derive(Debug)]
enum Outcome {
    /// A target has begun a stream.
    Opened(Box<OpenStream>),
    /// No stream was opened; the caller gets this answer.
    Answer(Box<Response<AnswerBody>>),
    /// No stream was opened, and the answer to the caller has begun, so that it is aborted.
    Aborted,
}

/// Executes a request and returns its answer; a separate task forwards the body of a stream.
pub async fn execute(
    gateway: &Arc<Gateway>,
    request: Arc<CallerRequest>,
    state: RequestState,
) -> Response<AnswerBody> {
    let origin = origins::find(gateway, &request).await;
    if origin == StreamOrigin::Unknown {
        return refuse(&request, &state, NO_TARGET_RETRY_AFTER, VERSION_UNKNOWN);
    }
    let mut stream_request = StreamRequest {
        gateway: gateway.clone(),
        origin,
        prompt: None,
        prompt_attempts: 0,
        runs: 0,
        denials: Denials::default(),
        prompt_denied: false,
        last_event: request.arrived,
        successor: None,
        request,
        state,
        tried: Vec::new(),
    };
    stream_request.begin_wait();
    match stream_request
        .open_stream(stream_request.request.info.last_event)
        .await
    {
        Outcome::Opened(opened) => stream_request.start_answer(*opened),
        Outcome::Answer(response) => *response,
        Outcome::Aborted => unknown_outcome(&stream_request.request),
    }
}

/// Returns the targets at which a stream may begin or go on; a version that is not listed is used
/// only while no other can generate.
pub fn eligible<'f>(
    fleet: &'f Fleet,
    request: &CallerRequest,
    origin: &StreamOrigin,
    now: Millis,
) -> Vec<&'f Target> {
    let model = request.info.model.as_deref();
    let mut targets = fleet.targets(&request.service, model, now);
    targets.retain(|target| origin.allows(target));
    let generates = |target: &&Target| target.role.decodes() && fleet.is_listed(target);
    if *origin == StreamOrigin::NotBegun && targets.iter().any(generates) {
        targets.retain(|target| fleet.is_listed(target));
    }
    targets
}

/// Returns the time within which the first event of an answer must arrive, as the caller is expected
/// to disconnect then; `left` is the time until the deadline.
pub fn time_to_first(request: &CallerRequest, left: Duration) -> Duration {
    let silence_limit = request.route.silence_limit;
    left.min(silence_limit.saturating_sub(request.arrived.elapsed()))
}

/// Returns what the first placement of a request needs; `left` is the time within which an event
/// must arrive.
pub fn placement_request<'r>(
    request: &'r CallerRequest,
    engine: &'r EngineSpec,
    left: Duration,
) -> PlacementRequest<'r> {
    PlacementRequest {
        info: &request.info,
        engine,
        max_pause: request.route.max_pause,
        latency_objective: request.route.latency_objective,
        priority: request.priority,
        left,
        split: request.route.prompt_aware,
        tried: &[],
    }
}

impl StreamRequest {
    /// Sends the request to one target after another until one begins a stream or no retry is
    /// allowed.
    ///
    /// `last_event` is the id of the last event that the caller has received, if any.
    async fn open_stream(&mut self, last_event: Option<u64>) -> Outcome {
        let mut trial = crashes::TrialGrant::default();
        let (gateway, request) = (self.gateway.clone(), self.request.clone());
        let mut entry = Entry::new(&gateway.admissions, &request);
        let mut has_begun = last_event.is_some() || self.runs > 0;
        let mut placed = BTreeSet::new();
        loop {
            let now = self.gateway.now();
            let left = self.state.remaining(now);
            if left.is_zero() {
                return final_answer(refuse(
                    &self.request,
                    &self.state,
                    Duration::ZERO,
                    "time is over",
                ));
            }
            let chosen = match self.successor.take() {
                Some(successor) => {
                    trial = successor.trial;
                    self.record_placed(&successor.plan);
                    Ok(Some((successor.plan, Some(successor.permit))))
                }
                None => {
                    self.choose(&mut entry, &mut has_begun, &mut trial, left)
                        .await
                }
            };
            let (plan, permit) = match chosen {
                Ok(Some(chosen)) => chosen,
                Ok(None) => continue,
                Err(answer) => return final_answer(*answer),
            };
            // The choice may have taken some of it.
            let left = self.state.remaining(self.gateway.now());
            if left.is_zero() {
                continue;
            }
            let is_repeated = !placed.insert((plan.prefill.clone(), plan.decode.clone()));
            let (ending, answer) = match self.attempt(&plan, permit, left, last_event).await {
                Ok(opened) => return Outcome::Opened(Box::new(opened)),
                Err(failure) => failure,
            };
            let now = self.gateway.now();
            trial.record(ending);
            self.gateway
                .metrics
                .count_failed_attempt(failure_label(ending));
            info!(
                request = self.request.info.id,
                target_id = plan.decode,
                prefill = plan.prefill.as_deref().unwrap_or(""),
                ending:? = ending;
                "attempt failed"
            );
            let budget = || self.gateway.take_retry(&self.request.service);
            match (self.state.next_step(ending, now, budget), answer) {
                (Step::Retry, _) => self.pause_after(ending, is_repeated).await,
                (Step::ForwardFailure, Some(answer)) => return Outcome::Answer(Box::new(answer)),
                (Step::ForwardFailure, None) => {
                    return final_answer(unknown_outcome(&self.request));
                }
                (Step::Refuse(refusal), _) => {
                    let id = &self.request.info.id;
                    let cause = failure_label(ending);
                    return final_answer(reply::refusal(id, refusal, NO_TARGET_RETRY_AFTER, cause));
                }
                (Step::Abort, _) => return Outcome::Aborted,
            }
        }
    }

    /// Returns a target if it takes new work and the stream may begin or go on there.
    fn usable_target(&self, id: &str) -> Option<Target> {
        let target = self.gateway.target(id);
        target.filter(|target| self.origin.allows(target))
    }

    /// Counts the prompt of a request that is about to be sent as placed work, unless it is
    /// computed already.
    fn record_placed(&self, plan: &Plan) {
        let service = self.request.config.services.get(&self.request.service);
        let has_engines = service.is_some_and(|service| service.engine.is_some());
        if self.prompt.is_some() || !has_engines {
            return;
        }
        let unshared = self.request.info.unshared_tokens();
        // Only half of the uncached shared tokens count as placed work, since they will be
        // cached for later requests.
        let shared = plan.uncached.saturating_sub(unshared) / 2;
        let mut placer = self.gateway.placer();
        placer.load_view.record_placed(unshared + shared);
    }

    /// Sends the request to the targets of a plan: to the prefill engine, if there is one, and then
    /// to the target that generates. `permit` is for the first of them, if that is known.
    ///
    /// A failure comes with the answer for the caller if the target sent an error.
    async fn attempt(
        &mut self,
        plan: &Plan,
        mut permit: Option<Permit>,
        left: Duration,
        last_event: Option<u64>,
    ) -> Result<OpenStream, (AttemptFailure, Option<Response<AnswerBody>>)> {
        let unsent = (AttemptFailure::Unsent, None);
        self.gateway
            .metrics
            .count_placement(plan, self.request.info.prompt_tokens);
        info!(
            request = self.request.info.id,
            route = self.request.route.name,
            prompt = self.request.info.prompt_tokens,
            target_id = plan.decode,
            prefill = plan.prefill.as_deref().unwrap_or(""),
            fetch = plan.fetch.as_deref().unwrap_or(""),
            uncached = plan.uncached,
            ahead = plan.ahead,
            expected_ms = plan.expected as u64,
            left_ms = left.as_millis() as u64,
            last_event = last_event.unwrap_or(0),
            resumes = self.request.info.resumes.as_deref().unwrap_or(""),
            version = self.request.config.version;
            "placed"
        );
        if let Some(prefill) = &plan.prefill {
            let prefill = self.usable_target(prefill).ok_or(unsent)?;
            let permit = permit.take().ok_or((AttemptFailure::Unsent, None))?;
            let computed = self
                .compute_prompt(&prefill, plan, left, permit, last_event)
                .await;
            if !matches!(
                computed,
                Err((AttemptFailure::Unsent | AttemptFailure::Rejected, _))
            ) {
                self.prompt_attempts += 1;
            }
            match computed {
                Ok(prompt) => self.prompt = Some(prompt),
                Err((ending, why)) => {
                    info!(request = self.request.info.id, target_id = prefill.id, why; "no prompt");
                    self.tried.push(prefill.id);
                    // A prompt that may have been computed is no run of the request, so that other
                    // failures count as rejections.
                    let unchanged = matches!(ending, AttemptFailure::Unsent | AttemptFailure::Late);
                    return Err((
                        if unchanged {
                            ending
                        } else {
                            AttemptFailure::Rejected
                        },
                        None,
                    ));
                }
            }
        }
        if crashes::is_held(&self.gateway, &self.request.info) {
            return Err((AttemptFailure::Rejected, None));
        }
        let generating = match permit {
            Some(permit) => self
                .usable_target(&plan.decode)
                .map(|target| (target, permit)),
            None => self.acquire_decode(plan).await,
        };
        let (target, permit) = generating.ok_or((AttemptFailure::Unsent, None))?;
        let retried = self.tried.contains(&target.id);
        let is_waiting = !self.unsent_pause().is_zero();
        self.tried.push(target.id.clone());
        self.runs += 1;
        // Another version may have registered since the prompt was placed: it reads the prompt itself.
        let prompt = self.prompt.take();
        let prompt = prompt.filter(|prompt| target.has_version_of(&prompt.target));
        let result = self
            .generate(&target, plan, prompt.as_ref(), last_event, permit)
            .await;
        match (&result, prompt) {
            (Ok(_), Some(mut prompt)) => prompt.used = true,
            // No engine has seen the prompt.
            (Err((AttemptFailure::Unsent, _)), Some(prompt)) if is_waiting => {
                self.prompt = Some(prompt);
            }
            // Another engine may have room for the request, so the prompt is kept for one more try,
            // unless this engine had been tried before.
            (Err((AttemptFailure::Rejected | AttemptFailure::Unsent, _)), Some(prompt))
                if !retried && !prompt.refused =>
            {
                self.prompt = Some(ComputedPrompt::mark_refused(prompt));
            }
            _ => {}
        }
        result
    }
}

/// Returns the outcome for a request that is answered without a stream.
fn final_answer(response: Response<AnswerBody>) -> Outcome {
    Outcome::Answer(Box::new(response))
}
