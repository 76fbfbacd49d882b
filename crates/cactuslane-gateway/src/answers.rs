//! What targets say of themselves in their answers, of whatever purpose.

use cactuslane_flight::target::Target;
use cactuslane_place::{Observed, PaceChange};
use cactuslane_platform::exchange;
use cactuslane_types::Millis;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use log::{info, warn};

use crate::limits;
use crate::limits::permits::Purpose;
use crate::state::Gateway;

/// Applies what the head of an answer says of its target.
///
/// `sent` is the time at which the request was sent, on the clock of the instance.
pub fn observe(
    gateway: &Gateway,
    target: &Target,
    purpose: Purpose,
    status: StatusCode,
    headers: &HeaderMap,
    sent: Millis,
) {
    limits::observe_answer(gateway, target, purpose, status, headers, sent);
    observe_pause(gateway, target, status, headers);
    let config = gateway.routing_config();
    let competes = config.is_some_and(|config| config.customers.is_some());
    let load = exchange::target_load(headers);
    if competes || load.slowdown.is_some() {
        let counts = load.running.zip(load.waiting);
        let (mut placer, now) = (gateway.placer(), gateway.now());
        if let Some((running, waiting)) = counts {
            let known = placer.load_view.load(&target.id, now).running;
            let queues = &mut placer.queues;
            queues.observe(&target.id, running, waiting, known, now);
        }
        let paces = &mut placer.paces;
        paces.observe_told(target, counts, load.slowdown, now);
    }
    if !exchange::is_leaving(headers) {
        return;
    }
    let is_new = gateway
        .fleet()
        .observe_leaving(&target.id, target.started_at);
    if is_new {
        info!(
            target_id = target.id,
            purpose:? = purpose,
            status = status.as_u16(),
            sent_ms_ago = gateway.now().saturating_sub(sent);
            "target says that it is leaving"
        );
        gateway.queue_observation(target, Observed::Leaving);
    }
}

/// Records that another target answers at the address of a target, and tells the other instances.
pub fn record_replaced(gateway: &Gateway, target: &Target) {
    let is_new = gateway
        .fleet()
        .observe_replaced(&target.id, target.started_at);
    if is_new {
        info!(target_id = target.id; "another target has the address");
        gateway.queue_observation(target, Observed::Replaced);
    }
}

/// Applies the pause that a target asks for when it turns a request away.
fn observe_pause(gateway: &Gateway, target: &Target, status: StatusCode, headers: &HeaderMap) {
    let pause = match exchange::requested_pause(status.as_u16(), headers) {
        Ok(Some(pause)) => pause,
        Ok(None) => return,
        Err(value) => {
            warn!(target_id = target.id, value; "pause of a target is unreadable, there is none");
            return;
        }
    };
    let now = gateway.now();
    let is_new = gateway
        .fleet()
        .observe_pause(&target.id, target.started_at, pause, now);
    if is_new {
        info!(
            target_id = target.id,
            pause_ms = pause.as_millis() as u64;
            "target wants a pause"
        );
    }
}

/// Logs beliefs of the speed of targets that have changed by much.
pub fn log_changes(changes: &[PaceChange]) {
    for change in changes {
        info!(
            target_id = change.target,
            capacity = change.now.capacity,
            capacity_before = change.before.capacity,
            slowdown = change.now.slowdown,
            slowdown_before = change.before.slowdown,
            answers = change.answers;
            "target works at another speed"
        );
    }
}
