//! Limits that targets name in their answers, and the permits by which all instances together keep
//! them.

pub mod permits;

use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_place::limits::ISSUERS;
use cactuslane_place::{LimitAnswer, LimitNotice, PermitAnswer};
use cactuslane_platform::exchange;
use cactuslane_types::{InstanceId, Millis};
use hyper::StatusCode;
use hyper::header::HeaderMap;
use log::{info, warn};
use tokio::time::{sleep, timeout};

use self::permits::{Permit, PermitRequest, Purpose};
use crate::calls::CallNumber;
use crate::ranking::top_ranked;
use crate::sending;
use crate::state::Gateway;

/// Minimum time between two requests for a permit.
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(20);
/// Maximum time to wait for the answer of an issuer.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Acquires the permission to send one request or call to a target, which must then be sent without
/// delay.
///
/// `request` is the id of the caller's request for the log, empty for a call.
///
/// # Errors
///
/// Returns the time until a permit is expected if none can be had now.
pub async fn acquire(
    gateway: &Gateway,
    target: &Target,
    request: &str,
) -> Result<Permit, Duration> {
    let Some(per_second) = gateway.placer().limits.rate(target) else {
        return Ok(Permit::new(target.id.clone()));
    };
    let me = gateway.settings().instance.clone();
    let issuers = issuers(gateway, &target.id);
    let draw = rand::random_range(0..ISSUERS);
    let now = gateway.now();
    let order = gateway
        .placer()
        .limits
        .ask_order(target, &me, &issuers, draw, now);
    for issuer in &order {
        let answer = if *issuer == me {
            let mut placer = gateway.placer();
            let limits = &mut placer.limits;
            Some(limits.issue(&target.id, target.started_at, issuers.len(), gateway.now()))
        } else {
            ask(gateway, target, issuer).await
        };
        let wait = match answer {
            Some(PermitAnswer::Granted) => {
                gateway.metrics.count_permit("granted");
                info!(request, target_id = target.id, per_second, issuer; "permit granted");
                return Ok(Permit::new(target.id.clone()));
            }
            Some(PermitAnswer::Denied(wait)) => Some(Duration::from_millis(u64::from(wait))),
            None => None,
        };
        let result = if wait.is_some() {
            "denied"
        } else {
            "unanswered"
        };
        gateway.metrics.count_permit(result);
        let now = gateway.now();
        let mut placer = gateway.placer();
        placer.limits.record_denial(target, issuer, wait, now);
    }
    let now = gateway.now();
    let wait = gateway
        .placer()
        .limits
        .record_exhausted(target, &issuers, now);
    info!(
        request,
        target_id = target.id,
        per_second,
        asked = order.len(),
        issuers = issuers.len(),
        wait_ms = wait.as_millis() as u64;
        "no permit"
    );
    Err(wait)
}

/// Acquires the permission for a call or request, once the target's limit allows one; the caller
/// bounds the wait.
pub async fn acquire_in_time(gateway: &Gateway, target: &Target) -> Permit {
    loop {
        match acquire(gateway, target, "").await {
            Ok(permit) => return permit,
            Err(wait) => sleep(wait.max(MIN_PERMIT_WAIT)).await,
        }
    }
}

/// Records the limit that an answer of a target names or does not name, and notifies the other
/// instances of a change.
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
    let mut placer = gateway.placer();
    let before = placer.limits.rate(target);
    if !placer.limits.observe_answer(target, answer, now) {
        return;
    }
    let notice = placer.limits.notice(target, now);
    drop(placer);
    info!(
        target_id = target.id,
        per_second:? = rate,
        before:? = before,
        purpose:? = purpose,
        status = status.as_u16(),
        sent_ms_ago = now.saturating_sub(sent);
        "limit of a target changed"
    );
    if let Some(notice) = notice {
        sending::notify_limit(gateway, notice);
    }
}

/// Applies another instance's notice on a limit.
pub fn apply_notice(gateway: &Gateway, notice: &LimitNotice, peer: &str) {
    let now = gateway.now();
    if gateway.placer().limits.apply_notice(notice, now) {
        info!(
            target_id = notice.target,
            per_second:? = notice.rate,
            age_ms = notice.age,
            peer;
            "heard of the limit of a target"
        );
    }
}

/// Answers another instance's request for a permit.
pub fn answer_request(gateway: &Gateway, request: &PermitRequest, peer: &str) -> PermitAnswer {
    let notice = &request.notice;
    apply_notice(gateway, notice, peer);
    let issuers = issuers(gateway, &notice.target);
    let now = gateway.now();
    if !issuers.contains(&gateway.settings().instance) {
        return PermitAnswer::Denied(ASK_TIMEOUT.as_millis() as u32);
    }
    let mut placer = gateway.placer();
    let limits = &mut placer.limits;
    limits.issue(&notice.target, notice.process, issuers.len(), now)
}

/// Asks another instance for a permit; returns `None` if it is not reachable or does not answer in
/// time.
async fn ask(gateway: &Gateway, target: &Target, issuer: &str) -> Option<PermitAnswer> {
    let notice = gateway.placer().limits.notice(target, gateway.now())?;
    ask_peer(gateway, |number| {
        sending::request_permit(gateway, issuer, PermitRequest { number, notice })
    })
    .await
}

/// Waits for another instance's answer to the request that `send` sends with a number; returns
/// `None` if the instance is not reachable or does not answer in time.
pub async fn ask_peer(
    gateway: &Gateway,
    send: impl FnOnce(CallNumber) -> bool,
) -> Option<PermitAnswer> {
    let mut call = gateway.permit_calls.open(1);
    if !send(call.number) {
        return None;
    }
    timeout(ASK_TIMEOUT, call.answers.recv()).await.ok()?
}

/// Returns the instances that issue permits for a target.
fn issuers(gateway: &Gateway, target: &str) -> Vec<InstanceId> {
    let mut candidates = gateway.members().issuer_candidates(gateway.now());
    if !gateway.is_leaving() {
        candidates.push(gateway.settings().instance.clone());
    }
    top_ranked(candidates, target, ISSUERS)
}
