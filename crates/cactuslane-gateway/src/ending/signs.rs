//! Search for a sign that the process which sent an answer without a length went on after its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::ends::{Presence, Sign, TRANSIT_TIME, patience};
use cactuslane_flight::target::Target;
use cactuslane_types::TargetId;
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

use super::Answered;
use super::calls::{Denial, ask_twice};
use crate::arrivals::Sought;
use crate::calls::CallNumber;
use crate::messages::Message;
use crate::request::CallerRequest;
use crate::sending;
use crate::state::Gateway;

/// Pause between calls to a process that did not answer one.
const CALL_PAUSE: Duration = Duration::from_millis(500);
/// Number of times that the other instances are asked, as messages may be lost.
const QUERIES: u32 = 2;
/// Pause between these.
const QUERY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which an instance that is asked waits for bytes.
const QUERY_TIME: Duration = Duration::from_secs(1);
/// Largest number of watches for bytes that an instance has open when it takes on another one for
/// others.
const MAX_WATCHES: usize = 64;
/// Number of turns of the runtime in which it reads what had arrived before, also after it was late.
const TURNS: u32 = 3;

/// Waits for a sign of the process that sent an answer, whose end has just arrived.
///
/// # Errors
///
/// Returns the cause if it has ended, or if there is no sign in time.
pub(super) async fn find(
    gateway: &Gateway,
    request: &CallerRequest,
    answered: Answered<'_>,
) -> Result<Sign, String> {
    let target = answered.target;
    let service = request.config.services.get(&request.service);
    let is_engine = service.is_some_and(|service| service.engine.is_some());
    let sought = Sought {
        target: target.id.clone(),
        started_at: target.started_at,
        present: Some(answered.sent).filter(|_| !is_engine),
    };
    tokio::select! {
        biased;
        called = call_until_denied(gateway, request, answered) => called,
        () = hear(gateway, sought) => Ok(Sign::OtherConnection),
        () = hear_elsewhere(gateway, target), if is_engine => Ok(Sign::OtherInstance),
    }
}

/// Calls the process until it answers, as long as a sign of it may be awaited; once alone if its answer
/// does not tell it from the next process of its target.
async fn call_until_denied(
    gateway: &Gateway,
    request: &CallerRequest,
    answered: Answered<'_>,
) -> Result<Sign, String> {
    let service = request.config.services.get(&request.service);
    let is_engine = service.is_some_and(|service| service.engine.is_some());
    let is_told = is_engine && answered.target.started_at.is_some();
    let mut denied_at = None;
    loop {
        let why = match ask_twice(gateway, request, answered.target).await {
            Ok(()) => return Ok(Sign::Call),
            Err(Denial::Ended(why)) => return Err(why),
            Err(Denial::Unknown(why)) => why,
        };
        let denied_at: Instant = *denied_at.get_or_insert_with(Instant::now);
        let presence = presence(gateway, answered.target);
        if presence == Presence::Replaced {
            return Err("the target was started again".to_owned());
        }
        let patience = patience(presence, answered.goes_on);
        let left = request.time_left();
        let left = patience.map_or(left, |patience| {
            left.min(patience.saturating_sub(denied_at.elapsed()))
        });
        if left <= CALL_PAUSE || !is_told {
            sleep(left).await;
            return Err(why);
        }
        sleep(CALL_PAUSE).await;
    }
}

/// Returns what the store shows of the process that registered a target.
fn presence(gateway: &Gateway, target: &Target) -> Presence {
    gateway.fleet().presence(&target.id, target.started_at)
}

/// Waits until bytes of a process arrive that it sent later than now.
async fn hear(gateway: &Gateway, sought: Sought) {
    sleep(TRANSIT_TIME).await;
    for _ in 0..TURNS {
        yield_now().await;
    }
    gateway.pool.arrivals.watch(sought).heard().await;
}

/// Waits until another instance has heard the process that registered a target.
async fn hear_elsewhere(gateway: &Gateway, target: &Target) {
    let mut call = gateway.process_calls.open(1);
    let Some(started_at) = target.started_at else {
        return std::future::pending().await;
    };
    for _ in 0..QUERIES {
        sending::query_process(gateway, call.number, &target.id, started_at);
        if let Ok(Some(())) = timeout(QUERY_PAUSE, call.answers.recv()).await {
            return;
        }
    }
    if call.answers.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Answers the query of another instance once bytes of a process arrive.
pub fn answer_query(
    gateway: &Arc<Gateway>,
    socket: &Arc<UdpSocket>,
    (number, target, started_at): (CallNumber, TargetId, u64),
    from: SocketAddr,
) {
    if gateway.pool.arrivals.count() >= MAX_WATCHES {
        return;
    }
    let sought = Sought {
        target,
        started_at: Some(started_at),
        present: None,
    };
    let (gateway, socket) = (gateway.clone(), socket.clone());
    tokio::spawn(async move {
        if timeout(QUERY_TIME, hear(&gateway, sought)).await.is_ok() {
            sending::send(&socket, &Message::ProcessHeard(number), &[from]);
        }
    });
}
