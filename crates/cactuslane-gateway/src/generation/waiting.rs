//! How long an attempt waits for a target, and what ends the wait early.

use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, StreamOrigin};
use cactuslane_place::placer::Plan;
use cactuslane_types::Millis;
use tokio::time::timeout;

use super::{StreamRequest, eligible};
use crate::crashes;

/// Share of the route's silence limit for which a stream that is taken up waits for targets.
const WAIT_SHARE: f64 = 0.75;
/// Cause of the end of an attempt because the request or a part of its prompt is held.
pub(super) const HELD: &str = "held";
/// Factor on a plan's expected time to the first event. An engine that has not answered after the
/// product, or after a minimum if that is longer, counts as silent.
pub(super) const PROMPT_TIMEOUT_FACTOR: f64 = 5.0;

impl StreamRequest {
    /// Runs a part of an attempt until the request or a part of its prompt is held, and ends it then as broken.
    pub(super) async fn unless_held<T>(
        &self,
        exchange: impl Future<Output = Result<T, (AttemptFailure, String)>>,
    ) -> Result<T, (AttemptFailure, String)> {
        tokio::select! {
            result = exchange => result,
            () = crashes::until_held(&self.gateway, &self.request.info) => {
                Err((AttemptFailure::Broken, HELD.to_owned()))
            }
        }
    }

    /// Lets a stream that its caller takes up wait for targets that take no connection, for a part of
    /// the time after which its caller is expected to disconnect.
    pub(super) fn begin_wait(&mut self) {
        if self.origin == StreamOrigin::NotBegun {
            return;
        }
        let wait = self.request.route.silence_limit.mul_f64(WAIT_SHARE);
        let until = self.gateway.now() + wait.as_millis() as Millis;
        self.state.wait_until(until);
    }

    /// Returns the pause before the next attempt at a target that took no connection.
    pub(super) fn unsent_pause(&self) -> Duration {
        self.state
            .unsent_pause(self.gateway.now(), rand::random::<f64>())
    }

    /// Pauses after an attempt without anything sent if it was a repeated one, or if only targets that
    /// were tried before are left: those that give no permit are left, but never tried.
    pub(super) async fn pause_after(&self, ending: AttemptFailure, is_repeated: bool) {
        if ending == AttemptFailure::Unsent && (is_repeated || self.has_only_tried()) {
            tokio::time::sleep(self.unsent_pause()).await;
        }
    }

    /// Pauses if the request waits for targets and one that can go on with it vanished lately;
    /// returns whether it did.
    pub(super) async fn pause_for_target(&self) -> bool {
        let pause = self.unsent_pause();
        if pause.is_zero() || !self.has_vanished_target() {
            return false;
        }
        tokio::time::sleep(pause).await;
        true
    }

    /// Returns whether a target that can go on with the request vanished lately.
    fn has_vanished_target(&self) -> bool {
        let goes_on = |target: &Target| target.role.decodes() && self.origin.allows(target);
        let service = &self.request.service;
        let fleet = self.gateway.fleet();
        fleet.vanished_lately(service, goes_on, self.gateway.now())
    }

    /// Returns whether there are targets that generate, and each of them was tried before.
    fn has_only_tried(&self) -> bool {
        let fleet = self.gateway.fleet();
        let targets = eligible(&fleet, &self.request, &self.origin, self.gateway.now());
        let mut generating = targets.iter().filter(|target| target.role.decodes());
        !targets.is_empty() && generating.all(|target| self.tried.contains(&target.id))
    }

    /// Returns how long a target may take to send the head of an answer before the request is sent
    /// to another target; unlimited if no retry is allowed.
    pub(super) fn head_timeout(&self, plan: &Plan) -> Duration {
        if !self.state.may_retry() {
            return Duration::MAX;
        }
        let expected = Duration::from_secs_f64(plan.expected * PROMPT_TIMEOUT_FACTOR / 1000.0);
        self.request.route.silence_limit.max(expected)
    }
}

/// Waits for a part of an exchange with a target, at most for `wait`.
///
/// A time-out counts as [`AttemptFailure::Broken`] if `wait` is shorter than the time left for the
/// request, so that the request may be sent again, and as [`AttemptFailure::Late`] otherwise.
pub(super) async fn with_timeout<T>(
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
