//! Limits that targets name in their answers.

use cactuslane_flight::target::Target;
use cactuslane_flight::target_limits::LimitAnswer;
use cactuslane_platform::exchange;
use cactuslane_types::Millis;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use log::{info, warn};

use crate::state::Gateway;

/// What an exchange with a target was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request of a caller, or the computation of its prompt.
    Request,
    /// A call that does not run a request, such as for the target's state.
    Call,
}

/// Records the limit that an answer of a target names or does not name.
///
/// `sent` is the time at which the request was sent, on the clock of the instance.
pub fn observe_answer(
    gateway: &Gateway,
    target: &Target,
    purpose: Purpose,
    status: StatusCode,
    headers: &HeaderMap,
    sent: Millis,
) {
    let rate = match exchange::request_limit(headers) {
        Ok(rate) => rate,
        Err(value) => {
            warn!(target_id = target.id, value; "limit of a target is unreadable, the last one stays");
            return;
        }
    };
    let now = gateway.now();
    let answer = LimitAnswer {
        rate,
        conclusive: purpose == Purpose::Request && status.is_success(),
        sent,
    };
    let mut limits = gateway.limits();
    let before = limits.rate(target);
    if limits.observe_answer(target, answer, now) {
        info!(
            target_id = target.id,
            per_second:? = rate,
            before:? = before,
            purpose:? = purpose,
            status = status.as_u16(),
            sent_ms_ago = now.saturating_sub(sent);
            "limit of a target changed"
        );
    }
}

/// Records that a request is about to be sent to a target, and logs it if the target has a limit.
pub fn record_send(gateway: &Gateway, target: &Target, purpose: Purpose, request: &str) {
    let Some(rate) = gateway.limits().rate(target) else {
        return;
    };
    gateway.metrics.limited_sends.inc();
    info!(
        request,
        target_id = target.id,
        per_second = rate,
        purpose:? = purpose;
        "sent to a target with a limit"
    );
}
