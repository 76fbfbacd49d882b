//! Forwarding of event streams to callers.

use std::time::Duration;

use cactuslane_flight::events::EventScanner;
use cactuslane_flight::{AttemptFailure, Step};
use cactuslane_platform::exchange;
use http_body_util::{BodyExt, Either};
use hyper::Response;
use hyper::body::Bytes;
use log::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::{OpenStream, Outcome, StreamRequest};
use crate::metrics;
use crate::plain::failure_label;
use crate::reply::{AnswerAborted, AnswerBody, ChunkStream};

/// Maximum number of chunks that are queued for a slow caller.
const CHANNEL_CAPACITY: usize = 64;
/// Silence after which a stream is resumed at another target, as a share of the route's silence
/// limit, at which callers are expected to disconnect.
const SILENCE_SHARE: f64 = 0.75;

/// How the forwarding of one target's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The stream ended after a complete event.
    Complete,
    /// The connection to the target failed, or the stream ended within an event or was invalid.
    Broken,
    /// The connection to the target failed before a complete event.
    Lost,
    /// The target was silent for too long, and a retry was taken from the budget.
    Silent,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerLeft,
}

impl StreamRequest {
    /// Returns the answer, and starts a task that forwards the events to its body.
    pub(super) fn start_answer(mut self, opened: OpenStream) -> Response<AnswerBody> {
        self.state.mark_answer_begun();
        let seconds = self.request.arrived.elapsed().as_secs_f64();
        let kind = metrics::route_kind(&self.request.route);
        self.gateway.metrics.observe_first_byte(kind, seconds);
        let headers = exchange::answer_headers(&opened.headers);
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let guard = self.gateway.count_request();
        tokio::spawn(async move {
            self.forward_answer(opened, sender).await;
            drop(guard);
        });
        let mut response = Response::new(Either::Right(ChunkStream::new(receiver)));
        *response.headers_mut() = headers;
        response
    }

    /// Forwards events until the answer is complete, and resumes the stream at another target after
    /// a failure where that is allowed.
    async fn forward_answer(
        mut self,
        mut opened: OpenStream,
        sender: mpsc::Sender<Result<Bytes, AnswerAborted>>,
    ) {
        let mut scanner = EventScanner::resume_after(self.request.info.last_event);
        loop {
            let stream_end = self
                .forward_events(&mut opened, &mut scanner, &sender)
                .await;
            let ending = match stream_end {
                StreamEnd::Complete => {
                    let keep_alive = exchange::keep_alive_timeout(&opened.headers);
                    self.gateway.pool.check_in(opened.connection, keep_alive);
                    return;
                }
                StreamEnd::CallerLeft => {
                    info!(request = self.request.info.id; "caller left");
                    return;
                }
                StreamEnd::Lost => {
                    self.log_lost(&opened.target, opened.sent, "no event");
                    AttemptFailure::Broken
                }
                StreamEnd::Broken | StreamEnd::Silent => AttemptFailure::Broken,
                StreamEnd::DeadlinePassed => AttemptFailure::Late,
            };
            let now = self.gateway.now();
            self.gateway.placer().failed(&opened.target, now);
            self.gateway
                .metrics
                .count_failed_attempt(failure_label(ending));
            info!(
                request = self.request.info.id,
                target_id = opened.target,
                ending:? = ending,
                last_event = scanner.last_id().unwrap_or(0);
                "stream broke off"
            );
            drop(opened);
            let gateway = self.gateway.clone();
            // For a silent stream a retry has already been taken from the budget.
            let budget =
                || stream_end == StreamEnd::Silent || gateway.take_retry(&self.request.service);
            let next = match self.state.next_step(ending, now, budget) {
                Step::Retry => self.open_stream(scanner.last_id()).await,
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
                // The send fails only if the caller has disconnected, and then no abort is needed.
                let _ = sender.send(Err(AnswerAborted)).await;
                return;
            };
            scanner = EventScanner::resume_after(scanner.last_id());
            opened = *next;
        }
    }

    /// Forwards the complete events of one target's stream until it ends.
    async fn forward_events(
        &self,
        opened: &mut OpenStream,
        scanner: &mut EventScanner,
        sender: &mpsc::Sender<Result<Bytes, AnswerAborted>>,
    ) -> StreamEnd {
        let mut ignore_silence = !self.state.may_retry();
        let mut last_received = Instant::now();
        let mut has_event = false;
        loop {
            let left = self.state.remaining(self.gateway.now());
            let wait = if ignore_silence {
                left
            } else {
                left.min(self.silence_timeout())
            };
            let frame = tokio::select! {
                frame = timeout(wait, opened.body.frame()) => frame,
                () = sender.closed() => return StreamEnd::CallerLeft,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if scanner.at_boundary() => return StreamEnd::Complete,
                Ok(None | Some(Err(_))) if has_event => return StreamEnd::Broken,
                Ok(None | Some(Err(_))) => return StreamEnd::Lost,
                Err(_) if wait < left => {
                    // Silence alone is no reason to abort an answer: if the budget does not allow
                    // the stream to be resumed elsewhere, it is read until the deadline.
                    if self.gateway.take_retry(&self.request.service) {
                        return StreamEnd::Silent;
                    }
                    ignore_silence = true;
                    continue;
                }
                Err(_) => return StreamEnd::DeadlinePassed,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            opened.load.prompt_done();
            let now = Instant::now();
            let pause = now - std::mem::replace(&mut last_received, now);
            self.gateway.metrics.pauses.observe(pause.as_secs_f64());
            let Ok(events) = scanner.feed(&data) else {
                return StreamEnd::Broken;
            };
            has_event |= !events.is_empty();
            if !events.is_empty() && sender.send(Ok(Bytes::from(events))).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
    }

    /// Returns the silence after which a stream is resumed at another target, if that is allowed.
    fn silence_timeout(&self) -> Duration {
        self.request.route.silence_limit.mul_f64(SILENCE_SHARE)
    }
}
