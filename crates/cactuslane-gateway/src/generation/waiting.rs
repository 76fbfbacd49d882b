//! How long an attempt waits for a target, and what ends the wait early.

use std::time::Duration;

use cactuslane_flight::AttemptFailure;
use cactuslane_place::placer::Plan;
use tokio::time::timeout;

use super::StreamRequest;
use crate::crashes;

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
