//! Requests that are answered by a stream of events.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::events::EventScanner;
use cactuslane_flight::target::Target;
use cactuslane_flight::{Ending, Flight, Step};
use cactuslane_place::Load;
use cactuslane_place::placer::{Placement, Plan, Wanted};
use cactuslane_platform::engine;
use cactuslane_platform::exchange::{self, Sent, Work};
use http_body_util::{BodyExt, Either};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use log::info;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::engines;
use crate::ingress::Job;
use crate::plain::{label, refuse, send, unanswered, whole_body};
use crate::reply::{self, Broken, Pieces, Reply};
use crate::state::{Gateway, LoadGuard};
use crate::upstream::Lent;

/// Pieces that may wait for a slow caller.
const PIECES: usize = 64;
/// Time after which a caller may come back when no target takes its request.
const NO_TARGET_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time after which a caller may come back to an overloaded system.
const LEAST_PAUSE: Duration = Duration::from_millis(700);
/// Times the expected time of a prompt after which its engine counts as silent.
const PROMPT_FACTOR: f64 = 3.0;
/// Least time after which an engine that computes a prompt counts as silent.
const PROMPT_PATIENCE: Duration = Duration::from_millis(900);
/// Part of the time after which callers leave a silent stream, after which it goes on elsewhere.
const SILENCE_PART: f64 = 0.75;

/// A request on its way through engines.
#[derive(Debug)]
struct Run {
    /// The instance.
    gateway: Arc<Gateway>,
    /// The request.
    job: Arc<Job>,
    /// Its state.
    flight: Flight,
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

/// How the reading of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// At its end.
    Whole,
    /// The target broke off.
    Broken,
    /// The target fell silent, and the request may go on elsewhere.
    Silent,
    /// The time is over.
    Late,
    /// The caller has left.
    Left,
}

/// A computed prompt that is freed unless it was used.
#[derive(Debug)]
struct Prompt {
    /// The instance.
    gateway: Arc<Gateway>,
    /// The engine that keeps it.
    target: Target,
    /// Its id at the engine.
    handle: engine::Handle,
    /// Whether another engine has fetched it.
    used: bool,
    /// Whether an engine refused to go on from it.
    refused: bool,
}

impl Prompt {
    /// Records that an engine refused to go on from it.
    fn refused(mut prompt: Self) -> Self {
        prompt.refused = true;
        prompt
    }
}

impl Drop for Prompt {
    fn drop(&mut self) {
        if !self.used {
            let gateway = self.gateway.clone();
            tokio::spawn(release(gateway, self.target.clone(), self.handle.clone()));
        }
    }
}

/// Executes a request and returns its answer, the stream still to come.
pub async fn execute(gateway: &Arc<Gateway>, job: Job, flight: Flight) -> Response<Reply> {
    let mut run = Run {
        gateway: gateway.clone(),
        prompt: None,
        prompts: 0,
        job: Arc::new(job),
        flight,
        tried: Vec::new(),
    };
    match run.open(run.job.ask.last_event).await {
        Outcome::Opened(opened) => run.stream(*opened),
        Outcome::Answer(response) => *response,
        Outcome::Cut => unanswered(&run.job),
    }
}

impl Run {
    /// Answers with a stream that another task pumps.
    fn stream(mut self, opened: Opened) -> Response<Reply> {
        self.flight.begin();
        let metrics = &self.gateway.metrics;
        metrics
            .first_byte
            .observe(self.job.arrived.elapsed().as_secs_f64());
        let headers = exchange::answer_headers(&opened.headers);
        let (sender, receiver) = mpsc::channel(PIECES);
        let guard = self.gateway.count_request();
        tokio::spawn(async move {
            self.pump(opened, sender).await;
            drop(guard);
        });
        let mut response = Response::new(Either::Right(Pieces::new(receiver)));
        *response.headers_mut() = headers;
        response
    }

    /// Forwards events until the answer is whole, resuming at another target where that is allowed.
    async fn pump(mut self, mut opened: Opened, sender: mpsc::Sender<Result<Bytes, Broken>>) {
        let mut scanner = EventScanner::after(self.job.ask.last_event);
        loop {
            let ended = self.forward(&mut opened, &mut scanner, &sender).await;
            let ending = match ended {
                Ended::Whole => {
                    let keep = exchange::keep_alive(&opened.headers);
                    self.gateway.pool.give_back(opened.connection, keep);
                    return;
                }
                Ended::Left => {
                    info!(request = self.job.ask.id; "caller left");
                    return;
                }
                Ended::Broken | Ended::Silent => Ending::Broken,
                Ended::Late => Ending::Late,
            };
            let now = self.gateway.now();
            self.gateway.placer().failed(&opened.target, now);
            self.gateway.metrics.attempted(label(ending));
            info!(
                request = self.job.ask.id,
                target_id = opened.target,
                ending:? = ending,
                last_event = scanner.last().unwrap_or(0);
                "stream broke off"
            );
            drop(opened);
            let gateway = self.gateway.clone();
            // A silent stream was given up only with a place in the budget.
            let budget = || ended == Ended::Silent || gateway.take_repeat(&self.job.service);
            let next = match self.flight.after(ending, now, budget) {
                Step::Again => self.open(scanner.last()).await,
                Step::Pass | Step::Refuse(_) | Step::Cut => Outcome::Cut,
            };
            let Outcome::Opened(next) = next else {
                let _ = sender.send(Err(Broken)).await;
                return;
            };
            scanner = EventScanner::after(scanner.last());
            opened = *next;
        }
    }

    /// Forwards the whole events of one target's stream.
    async fn forward(
        &self,
        opened: &mut Opened,
        scanner: &mut EventScanner,
        sender: &mpsc::Sender<Result<Bytes, Broken>>,
    ) -> Ended {
        let mut patient = !self.flight.may_move();
        loop {
            let left = self.flight.left(self.gateway.now());
            let wait = if patient {
                left
            } else {
                left.min(self.silence())
            };
            let frame = tokio::select! {
                frame = timeout(wait, opened.body.frame()) => frame,
                () = sender.closed() => return Ended::Left,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if scanner.at_boundary() => return Ended::Whole,
                Ok(None | Some(Err(_))) => return Ended::Broken,
                Err(_) if wait < left => {
                    // Silence alone is no reason to end an answer that can't go on elsewhere.
                    if self.gateway.take_repeat(&self.job.service) {
                        return Ended::Silent;
                    }
                    patient = true;
                    continue;
                }
                Err(_) => return Ended::Late,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            opened.load.prompt_done();
            let Ok(events) = scanner.feed(&data) else {
                return Ended::Broken;
            };
            if !events.is_empty() && sender.send(Ok(Bytes::from(events))).await.is_err() {
                return Ended::Left;
            }
        }
    }

    /// Returns the silence after which a stream goes on elsewhere, if it may.
    fn silence(&self) -> Duration {
        self.job.route.patience.mul_f64(SILENCE_PART)
    }

    /// Sends the request to targets until one begins a stream.
    async fn open(&mut self, last_event: Option<u64>) -> Outcome {
        loop {
            let now = self.gateway.now();
            let left = self.flight.left(now);
            if left.is_zero() {
                return answered(refuse(
                    &self.job,
                    &self.flight,
                    Duration::ZERO,
                    "time is over",
                ));
            }
            let plan = match self.place(left) {
                Placement::Run(plan) => plan,
                Placement::Overloaded { excess } => {
                    let after = (excess * 2 + LEAST_PAUSE).min(left / 3);
                    info!(
                        request = self.job.ask.id,
                        excess_ms = excess.as_millis() as u64,
                        left_ms = left.as_millis() as u64,
                        come_back_ms = after.as_millis() as u64;
                        "no engine would answer in time"
                    );
                    return answered(refuse(&self.job, &self.flight, after, "overloaded"));
                }
                Placement::NoTarget => {
                    let why = "no target";
                    return answered(refuse(&self.job, &self.flight, NO_TARGET_PAUSE, why));
                }
            };
            let (ending, answer) = match self.attempt(&plan, left, last_event).await {
                Ok(opened) => return Outcome::Opened(Box::new(opened)),
                Err(failure) => failure,
            };
            let now = self.gateway.now();
            self.gateway.metrics.attempted(label(ending));
            info!(
                request = self.job.ask.id,
                target_id = plan.decode,
                prefill = plan.prefill.as_deref().unwrap_or(""),
                ending:? = ending;
                "attempt failed"
            );
            let budget = || self.gateway.take_repeat(&self.job.service);
            match (self.flight.after(ending, now, budget), answer) {
                (Step::Again, _) => {}
                (Step::Pass, Some(answer)) => return Outcome::Answer(Box::new(answer)),
                (Step::Pass, None) => return answered(unanswered(&self.job)),
                (Step::Refuse(refusal), _) => {
                    let id = &self.job.ask.id;
                    return answered(reply::refusal(id, refusal, NO_TARGET_PAUSE));
                }
                (Step::Cut, _) => return Outcome::Cut,
            }
        }
    }

    /// Chooses targets.
    fn place(&self, left: Duration) -> Placement {
        let now = self.gateway.now();
        let job = &self.job;
        let fleet = self.gateway.fleet();
        let model = job.ask.model.as_deref();
        let targets = fleet.targets(&job.service, model, now);
        let mut placer = self.gateway.placer();
        let service = job.document.services.get(&job.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            let chosen = placer.plain(&targets, &self.tried, now);
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
        let wanted = Wanted {
            ask: &job.ask,
            engine,
            pause: job.route.pause,
            objective: job.route.objective,
            left: left.min(job.route.patience.saturating_sub(job.arrived.elapsed())),
            split: job.route.generates && self.prompts < job.route.max_attempts,
            tried: &self.tried,
        };
        if self.prompt.is_some() {
            return placer.decode(&targets, &wanted, now);
        }
        let placement = placer.generation(&targets, &wanted, now);
        if let Placement::Run(plan) = &placement {
            let shared: u32 = job.ask.shared().iter().map(|part| part.tokens).sum();
            let own = job.ask.prompt.saturating_sub(shared);
            // Shared parts that are missing now will be there later.
            let missing = plan.uncached.saturating_sub(own) / 2;
            placer.picture.placed(own + missing);
        }
        if placement != Placement::NoTarget || self.tried.is_empty() {
            return placement;
        }
        let again = Wanted {
            tried: &[],
            ..wanted
        };
        placer.generation(&targets, &again, now)
    }

    /// Sends the request to the chosen targets.
    async fn attempt(
        &mut self,
        plan: &Plan,
        left: Duration,
        last_event: Option<u64>,
    ) -> Result<Opened, (Ending, Option<Response<Reply>>)> {
        let unsent = (Ending::Unsent, None);
        info!(
            request = self.job.ask.id,
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
            if !matches!(computed, Err((Ending::Unsent | Ending::Rejected, _))) {
                self.prompts += 1;
            }
            match computed {
                Ok(prompt) => self.prompt = Some(prompt),
                Err((ending, why)) => {
                    info!(request = self.job.ask.id, target_id = prefill.id, why; "no prompt");
                    self.tried.push(prefill.id);
                    // A prompt that may have been computed is no run of the request.
                    let kept = matches!(ending, Ending::Unsent | Ending::Late);
                    return Err((if kept { ending } else { Ending::Rejected }, None));
                }
            }
        }
        let target = self.decode_target(plan);
        let target = target.ok_or((Ending::Unsent, None))?;
        let again = self.tried.contains(&target.id);
        self.tried.push(target.id.clone());
        let prompt = self.prompt.take();
        let result = self
            .generate(&target, plan, prompt.as_ref(), last_event)
            .await;
        match (&result, prompt) {
            (Ok(_), Some(mut prompt)) => prompt.used = true,
            // Another engine may have room where this one had none.
            (Err((Ending::Rejected | Ending::Unsent, _)), Some(prompt))
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
        let changing = self.gateway.placer().picture.is_changing(&plan.decode, now);
        if (planned.is_some() && !changing) || self.prompt.is_none() {
            return planned;
        }
        let Placement::Run(again) = self.place(self.flight.left(now)) else {
            return planned;
        };
        self.gateway.target(&again.decode)
    }

    /// Has an engine compute the prompt.
    async fn compute(
        &self,
        target: &Target,
        plan: &Plan,
        left: Duration,
    ) -> Result<Prompt, (Ending, String)> {
        let load = Load {
            prompt: plan.uncached,
            running: 1,
            memory: self.job.ask.prompt,
        };
        let _load = self.gateway.load(&target.id, load);
        self.keeps(target, plan.expected);
        let began = Instant::now();
        let fetch = plan.fetch.as_ref().and_then(|id| self.gateway.target(id));
        let patience = Duration::from_secs_f64(plan.expected * PROMPT_FACTOR / 1000.0);
        let wait = left.min(patience.max(PROMPT_PATIENCE));
        let sent = Sent {
            target: &target.id,
            left,
            priority: Some(self.job.route.priority),
            work: Work::Prompt,
            fetch: fetch.map(|engine| engine.address),
            last_event: None,
        };
        let exchange = async {
            let (connection, response) = send(&self.gateway, &self.job, target, &sent).await?;
            let keep = exchange::keep_alive(response.headers());
            let status = response.status();
            let body = whole_body(response.into_body()).await?;
            self.gateway.pool.give_back(connection, keep);
            if status != StatusCode::OK {
                return Err((Ending::Broken, format!("status {status}")));
            }
            engine::computed(&body).map_err(|why| (Ending::Broken, why))
        };
        let result = timeout(wait, exchange).await;
        let now = self.gateway.now();
        let result = result.unwrap_or_else(|_| {
            let ending = if wait < left {
                Ending::Broken
            } else {
                Ending::Late
            };
            Err((ending, format!("no prompt within {wait:?}")))
        });
        match result {
            Ok(computed) => {
                let elapsed = began.elapsed().as_secs_f64() * 1000.0;
                info!(
                    request = self.job.ask.id,
                    target_id = target.id,
                    elapsed_ms = elapsed as u64,
                    expected_ms = plan.expected as u64;
                    "prompt computed"
                );
                let mut placer = self.gateway.placer();
                placer.speed.observe(plan.uncached + plan.ahead, elapsed);
                placer.answered(&target.id, elapsed, plan.expected, now);
                Ok(Prompt {
                    gateway: self.gateway.clone(),
                    target: target.clone(),
                    handle: computed.handle,
                    used: false,
                    refused: false,
                })
            }
            Err((ending, why)) => {
                if ending != Ending::Rejected {
                    self.gateway.placer().failed(&target.id, now);
                }
                Err((ending, why))
            }
        }
    }

    /// Has a target generate and returns the stream that it has begun.
    async fn generate(
        &self,
        target: &Target,
        plan: &Plan,
        prompt: Option<&Prompt>,
        last_event: Option<u64>,
    ) -> Result<Opened, (Ending, Option<Response<Reply>>)> {
        let load = Load {
            prompt: if prompt.is_some() { 0 } else { plan.uncached },
            running: 1,
            memory: self.job.ask.prompt + self.job.ask.output,
        };
        let load = self.gateway.load(&target.id, load);
        let source = prompt.map(|prompt| engine::source(prompt.target.address, &prompt.handle));
        let left = self.flight.left(self.gateway.now());
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
        let result = timeout(wait, send(&self.gateway, &self.job, target, &sent)).await;
        let now = self.gateway.now();
        let result = result.unwrap_or_else(|_| {
            let ending = if wait < left {
                Ending::Broken
            } else {
                Ending::Late
            };
            Err((ending, format!("no head within {wait:?}")))
        });
        let (connection, response) = match result {
            Ok(exchange) => exchange,
            Err((ending, why)) => {
                if ending != Ending::Rejected {
                    self.gateway.placer().failed(&target.id, now);
                }
                info!(request = self.job.ask.id, target_id = target.id, why; "no stream");
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
                Ending::Failed,
                Some(reply::whole(head.status, headers, body)),
            ));
        }
        if !exchange::signed(&head.headers) {
            return Err((Ending::Broken, None));
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
            request = self.job.ask.id,
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
        if !self.flight.may_move() {
            return Duration::MAX;
        }
        let expected = Duration::from_secs_f64(plan.expected * PROMPT_FACTOR / 1000.0);
        self.job.route.patience.max(expected)
    }

    /// Records that a target keeps the shared parts of the prompt, or will after some milliseconds.
    fn keeps(&self, target: &Target, ready_in: f64) {
        let service = self.job.document.services.get(&self.job.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return;
        };
        let now = self.gateway.now();
        self.gateway.placer().keeps(
            &target.id,
            &self.job.ask.parts,
            engine.memory,
            ready_in,
            now,
        );
    }
}

/// Returns the outcome of a request that is answered without a stream.
fn answered(response: Response<Reply>) -> Outcome {
    Outcome::Answer(Box::new(response))
}

/// Frees a computed prompt that no engine has fetched.
async fn release(gateway: Arc<Gateway>, target: Target, handle: engine::Handle) {
    if let Err(error) = engines::release(&gateway, &target, &handle).await {
        info!(target_id = target.id, error:? = error; "prompt not freed, it lapses by itself");
    }
}
