//! Streams of events on their way to callers.

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

use super::{Opened, Outcome, Run};
use crate::metrics;
use crate::plain::label;
use crate::reply::{Broken, Pieces, Reply};

/// Pieces that may wait for a slow caller.
const PIECES: usize = 64;
/// Part of the time after which callers leave a silent stream, after which it goes on elsewhere.
const SILENCE_PART: f64 = 0.75;

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

impl Run {
    /// Answers with a stream that another task pumps.
    pub(super) fn stream(mut self, opened: Opened) -> Response<Reply> {
        self.state.mark_answer_begun();
        let seconds = self.job.arrived.elapsed().as_secs_f64();
        let kind = metrics::kind(&self.job.route);
        self.gateway.metrics.began(kind, seconds);
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
        let mut scanner = EventScanner::resume_after(self.job.info.last_event);
        loop {
            let ended = self.forward(&mut opened, &mut scanner, &sender).await;
            let ending = match ended {
                Ended::Whole => {
                    let keep = exchange::keep_alive(&opened.headers);
                    self.gateway.pool.give_back(opened.connection, keep);
                    return;
                }
                Ended::Left => {
                    info!(request = self.job.info.id; "caller left");
                    return;
                }
                Ended::Broken | Ended::Silent => AttemptFailure::Broken,
                Ended::Late => AttemptFailure::Late,
            };
            let now = self.gateway.now();
            self.gateway.placer().failed(&opened.target, now);
            self.gateway.metrics.attempted(label(ending));
            info!(
                request = self.job.info.id,
                target_id = opened.target,
                ending:? = ending,
                last_event = scanner.last_id().unwrap_or(0);
                "stream broke off"
            );
            drop(opened);
            let gateway = self.gateway.clone();
            // A silent stream was given up only with a place in the budget.
            let budget = || ended == Ended::Silent || gateway.take_repeat(&self.job.service);
            let next = match self.state.next_step(ending, now, budget) {
                Step::Retry => self.open(scanner.last_id()).await,
                Step::ForwardFailure | Step::Refuse(_) | Step::Abort => Outcome::Cut,
            };
            let Outcome::Opened(next) = next else {
                self.gateway.metrics.cut_streams.inc();
                warn!(
                    request = self.job.info.id,
                    cause = label(ending),
                    last_event = scanner.last_id().unwrap_or(0),
                    since_arrival_ms = self.job.arrived.elapsed().as_millis() as u64;
                    "answer cut"
                );
                // A caller that is gone needs no sign that the answer broke off.
                let _ = sender.send(Err(Broken)).await;
                return;
            };
            scanner = EventScanner::resume_after(scanner.last_id());
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
        let mut patient = !self.state.may_retry();
        let mut last = Instant::now();
        loop {
            let left = self.state.remaining(self.gateway.now());
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
            let now = Instant::now();
            let pause = now - std::mem::replace(&mut last, now);
            self.gateway.metrics.pauses.observe(pause.as_secs_f64());
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
        self.job.route.silence_limit.mul_f64(SILENCE_PART)
    }
}
