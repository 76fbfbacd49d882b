//! Forwarding of event streams to callers.

use std::borrow::Cow;
use std::error::Error;

use cactuslane_flight::events::EventScanner;
use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, Gap, ServingProcess, Silence, Step, StreamOrigin};
use cactuslane_held::{Framing, framing};
use cactuslane_platform::exchange;
use cactuslane_types::Millis;
use http_body_util::{BodyExt, Either};
use hyper::Response;
use hyper::body::{Bytes, Frame};
use log::{info, warn};
use tokio::time::{Instant, timeout};

use super::gap::MISSING;
use super::{OpenStream, Outcome, StreamRequest};
use crate::ending::{self, Answered};
use crate::metrics;
use crate::plain::failure_label;
use crate::queue::{self, AnswerSender};
use crate::reply::AnswerBody;
use crate::{crashes, origins, usage};

/// Time after the first event of a stream from which the end of its target is no longer put down to
/// the request, in milliseconds.
const SETTLING_TIME: Millis = 200;

/// How the forwarding of one target's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The stream ended after a complete event.
    Complete,
    /// The connection to the target failed, or the stream ended within an event or was invalid.
    Broken,
    /// The connection to the target failed before a complete event, or so shortly after the first
    /// one that the target may have crashed on the request.
    Lost,
    /// The request or a part of its prompt is held, and no event had arrived.
    Held,
    /// No event arrived for too long, and another target takes up the stream.
    Silent,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerLeft,
}

/// How the forwarding of one target's stream ended, and what showed it.
type Observed = (StreamEnd, Cow<'static, str>);

/// What is known of the beginning of a target's stream.
#[derive(Clone, Copy, Debug, Default)]
struct Beginning {
    /// Time at which the first event arrived, on the clock of the instance.
    first: Option<Millis>,
    /// Whether the beginning was recorded.
    recorded: bool,
}

impl Beginning {
    /// Returns whether the first event arrived so long ago that the target did not crash on it.
    fn is_settled(self, now: Millis) -> bool {
        self.first.is_some_and(|first| now >= first + SETTLING_TIME)
    }
}

impl StreamRequest {
    /// Returns the answer, and starts a task that forwards the events to its body.
    pub(super) fn start_answer(mut self, opened: OpenStream) -> Response<AnswerBody> {
        self.state.mark_answer_begun();
        let seconds = self.request.arrived.elapsed().as_secs_f64();
        let kind = metrics::route_kind(&self.request.route);
        self.gateway.metrics.observe_first_byte(kind, seconds);
        let headers = exchange::answer_headers(&opened.headers);
        let (sender, body) = queue::open(&self.gateway.held, self.request.connection);
        let guard = self.gateway.count_request();
        tokio::spawn(async move {
            self.forward_answer(opened, sender).await;
            drop(guard);
        });
        let mut response = Response::new(Either::Right(body));
        *response.headers_mut() = headers;
        response
    }

    /// Forwards events until the answer is complete, and resumes the stream at another target after
    /// a failure where that is allowed.
    async fn forward_answer(mut self, mut opened: OpenStream, sender: AnswerSender) {
        let mut scanner = EventScanner::resume_after(self.request.info.last_event);
        loop {
            self.expect_next(&mut scanner, &opened.target);
            let (stream_end, shown_by) = self
                .forward_events(&mut opened, &mut scanner, &sender)
                .await;
            self.log_end(&opened, &scanner, stream_end, &shown_by);
            self.record_ids(&scanner, &opened.target, stream_end);
            let ending = match stream_end {
                StreamEnd::Complete => {
                    let keep_alive = exchange::keep_alive_timeout(&opened.headers);
                    self.gateway.pool.check_in(opened.connection, keep_alive);
                    let rest = scanner.take_rest();
                    if rest.is_empty() || sender.send(rest).await.is_ok() {
                        sender.finish();
                    }
                    return;
                }
                StreamEnd::CallerLeft => return,
                StreamEnd::Broken | StreamEnd::Lost | StreamEnd::Silent | StreamEnd::Held => {
                    AttemptFailure::Broken
                }
                StreamEnd::DeadlinePassed => AttemptFailure::Late,
            };
            let now = self.gateway.now();
            if stream_end != StreamEnd::Held {
                self.gateway.placer().failed(&opened.target.id, now);
            }
            if stream_end == StreamEnd::Lost {
                opened.attempt.settle();
                let info = &self.request.info;
                crashes::check_lost(&self.gateway, info, &opened.target, opened.sent);
            }
            self.gateway
                .metrics
                .count_failed_attempt(failure_label(ending));
            drop(opened);
            let gateway = self.gateway.clone();
            // For a silent stream a retry has already been taken from the budget.
            let budget =
                || stream_end == StreamEnd::Silent || gateway.take_retry(&self.request.service);
            let next = match self.state.next_step(ending, now, budget) {
                // Events without ids that the caller has would come once more.
                Step::Retry if !scanner.may_resume() => Outcome::Aborted,
                Step::Retry => tokio::select! {
                    next = self.open_stream(scanner.last_id()) => next,
                    () = sender.closed() => return,
                },
                Step::ForwardFailure | Step::Refuse(_) | Step::Abort => Outcome::Aborted,
            };
            let Outcome::Opened(next) = next else {
                self.gateway.metrics.cut_streams.inc();
                warn!(
                    request = self.request.info.id,
                    cause = failure_label(ending),
                    last_event = scanner.last_id().unwrap_or(0),
                    since_arrival_ms = self.request.arrived.elapsed().as_millis() as u64;
                    "answer cut"
                );
                return sender.abort();
            };
            scanner = scanner.resumed();
            opened = *next;
        }
    }

    /// Forwards the complete events of one target's stream until it ends; events that were held back
    /// then are as if they had not arrived.
    async fn forward_events(
        &mut self,
        opened: &mut OpenStream,
        scanner: &mut EventScanner,
        sender: &AnswerSender,
    ) -> Observed {
        let mut gap = None;
        let observed = self
            .forward_until_end(opened, scanner, sender, &mut gap)
            .await;
        let Some(gap) = gap.filter(|gap| gap.is_open(scanner.events())) else {
            return observed;
        };
        *scanner = gap.into_before();
        if observed.0 == StreamEnd::Complete {
            return (StreamEnd::Broken, MISSING.into());
        }
        observed
    }

    /// Forwards the complete events of one target's stream until it ends, but for those after a gap
    /// that is not decided.
    async fn forward_until_end(
        &mut self,
        opened: &mut OpenStream,
        scanner: &mut EventScanner,
        sender: &AnswerSender,
        gap: &mut Option<Gap>,
    ) -> Observed {
        let may_retry = self.state.may_retry();
        let mut silence = Silence::new(self.request.route.silence_limit);
        let mut last_received = Instant::now();
        let mut last_event = last_received;
        let mut beginning = Beginning::default();
        loop {
            let left = self.state.remaining(self.gateway.now());
            let frame = tokio::select! {
                biased;
                frame = timeout(left, opened.body.frame()) => frame,
                () = sender.closed() => return (StreamEnd::CallerLeft, "closed".into()),
                () = crashes::until_held(&self.gateway, &self.request.info),
                    if beginning.first.is_none() => return (StreamEnd::Held, "held".into()),
                // Bytes that complete no event do not end a silence. It is no reason to abort an
                // answer: until another target can take up the stream, it is read on.
                found = self.find_successor(&opened.target, &silence, last_event),
                    if may_retry && scanner.may_resume() =>
                {
                    if found.is_some() {
                        self.successor = found;
                        return (StreamEnd::Silent, "silence".into());
                    }
                    if silence.record_search() {
                        // New requests are kept from a target that may hang.
                        let now = self.gateway.now();
                        self.gateway.placer().failed(&opened.target.id, now);
                    }
                    continue;
                }
            };
            let now = self.gateway.now();
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(end @ (None | Some(Err(_)))) => {
                    let begun = beginning.first.is_some();
                    match self.confirm_end(opened, scanner, begun, end).await {
                        Ok(()) => {
                            self.record_begun(&mut beginning);
                            opened.attempt.settle();
                            return (StreamEnd::Complete, opened.framing.label().into());
                        }
                        Err((AttemptFailure::Late, why)) => {
                            return (StreamEnd::DeadlinePassed, why);
                        }
                        Err((_, why)) if beginning.is_settled(now) => {
                            return (StreamEnd::Broken, why);
                        }
                        Err((_, why)) => return (StreamEnd::Lost, why),
                    }
                }
                Err(_) => return (StreamEnd::DeadlinePassed, "deadline".into()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            opened.load.prompt_done();
            let received = Instant::now();
            let pause = received - std::mem::replace(&mut last_received, received);
            self.gateway.metrics.pauses.observe(pause.as_secs_f64());
            let events = match self.read_events(opened, scanner, gap, &data, sender).await {
                Ok(events) => events,
                Err(observed) => return observed,
            };
            if !events.is_empty() {
                last_event = received;
                self.last_event = received;
                silence.end();
                if beginning.first.is_none() {
                    beginning.first = Some(now);
                    usage::count_run(&self.gateway, &self.request, self.gateway.unix_now());
                }
                opened.attempt.settle();
                if self.origin == StreamOrigin::NotBegun {
                    let (gateway, target) = (&self.gateway, &opened.target);
                    let process = opened.connection.process();
                    self.origin = origins::record_begun(gateway, &self.request, target, process);
                }
            }
            if beginning.is_settled(now) {
                self.record_begun(&mut beginning);
            }
            if !events.is_empty() && sender.send(events).await.is_err() {
                return (StreamEnd::CallerLeft, "closed".into());
            }
        }
    }

    /// Returns the complete events that bytes of a target's stream end, but for those that are held
    /// back after a gap.
    ///
    /// # Errors
    ///
    /// Returns how the forwarding ended if the stream is not valid or the caller left.
    async fn read_events(
        &self,
        opened: &OpenStream,
        scanner: &mut EventScanner,
        gap: &mut Option<Gap>,
        bytes: &[u8],
        sender: &AnswerSender,
    ) -> Result<Vec<u8>, Observed> {
        tokio::select! {
            biased;
            events = self.feed(opened, scanner, gap, bytes) => {
                events.map_err(|why| (StreamEnd::Broken, why))
            }
            () = sender.closed() => Err((StreamEnd::CallerLeft, "closed".into())),
        }
    }

    /// Confirms that a stream whose body has ended, or failed, is whole.
    ///
    /// # Errors
    ///
    /// Returns what shows that it broke off, or may have, and whether the deadline explains that.
    async fn confirm_end(
        &self,
        opened: &OpenStream,
        scanner: &EventScanner,
        begun: bool,
        end: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Result<(), (AttemptFailure, Cow<'static, str>)> {
        let broken = |why| Err((AttemptFailure::Broken, why));
        if let Some(Err(error)) = end {
            return broken(describe(&error));
        }
        // The end of a connection may cut a comment as well as an event.
        let is_event_cut = match opened.framing {
            Framing::Length | Framing::Chunks => !scanner.ends_with_comments(),
            Framing::Connection => !scanner.at_boundary(),
        };
        if is_event_cut {
            return broken("end within an event".into());
        }
        // Only a caller that has events may get no more of them.
        let is_new = scanner.last_id().unwrap_or(0) == 0;
        if !begun && (is_new || opened.framing == Framing::Connection) {
            return broken("end before any event".into());
        }
        let answered = Answered {
            target: &opened.target,
            framing: opened.framing,
            told: opened.told,
            sent: opened.sent,
            goes_on: self.state.may_retry() && scanner.may_resume(),
        };
        let confirmed = ending::confirm(&self.gateway, &self.request, answered).await;
        confirmed.map_err(|(ending, why)| (ending, why.into()))
    }

    /// Logs how a target's stream ended, what showed it, and which events it consisted of.
    fn log_end(&self, opened: &OpenStream, scanner: &EventScanner, end: StreamEnd, shown_by: &str) {
        let (event, ending) = match end {
            StreamEnd::Complete => ("stream ended", ""),
            StreamEnd::CallerLeft => ("caller left", ""),
            StreamEnd::DeadlinePassed => ("stream broke off", "Late"),
            _ => ("stream broke off", "Broken"),
        };
        info!(
            request = self.request.info.id,
            target_id = opened.target.id,
            process:? = opened.target.started_at,
            served_by:? = opened.connection.process().and_then(ServingProcess::started_at),
            ending,
            end:? = end,
            shown_by,
            framing = opened.framing.label(),
            closes = framing::announces_close(&opened.headers),
            passed_by = self.request.passed_by(),
            resumed_after = opened.resumed_after.unwrap_or(0),
            due_event = scanner.due().unwrap_or(0),
            rejected_event = scanner.rejected_id().unwrap_or(0),
            first_event = scanner.first_id().unwrap_or(0),
            last_event = scanner.last_id().unwrap_or(0),
            events = scanner.events(),
            max_output = self.request.info.max_output,
            run = self.runs,
            since_arrival_ms = self.request.arrived.elapsed().as_millis() as u64;
            "{event}"
        );
    }

    /// Reports ids other than the next one where those of the target's service counted by one.
    fn expect_next(&self, scanner: &mut EventScanner, target: &Target) {
        let ids = self.gateway.event_ids();
        if ids.is_next_due(&target.service, target.version.as_deref()) {
            scanner.expect_next();
        }
    }

    /// Records what a target's stream showed of the ids of its service.
    fn record_ids(&self, scanner: &EventScanner, target: &Target, end: StreamEnd) {
        let (service, version) = (target.service.as_str(), target.version.as_deref());
        let mut ids = self.gateway.event_ids();
        if scanner.due().is_some()
            && scanner.first_id().is_some()
            && scanner.rejected_id().is_none()
        {
            ids.record_right(service, version);
        }
        if end != StreamEnd::Complete {
            return;
        }
        let was_due = ids.is_next_due(service, version);
        ids.record_whole(service, version, scanner);
        let is_due = ids.is_next_due(service, version);
        if was_due != is_due {
            let last_event = scanner.last_id().unwrap_or(0);
            info!(request = self.request.info.id, service, version, last_event, is_due; "event ids of a service");
        }
    }

    /// Records, once, that the target began to answer the request and did not crash on it.
    fn record_begun(&self, beginning: &mut Beginning) {
        if let Some(first) = beginning.first
            && !std::mem::replace(&mut beginning.recorded, true)
        {
            crashes::record_begun(&self.gateway, &self.request.info, first);
        }
    }
}

/// Describes the error of a connection with its cause.
fn describe(error: &hyper::Error) -> Cow<'static, str> {
    match error.source() {
        Some(source) => format!("{error}: {source}").into(),
        None => error.to_string().into(),
    }
}
