//! Calls with an idempotency key that may not be repeated.
//!
//! A key that an instance issued is bound by its text to one incarnation. A caller's own key is
//! bound by a claim in the key-value service. Either way one incarnation alone may execute the
//! call; every other instance forwards to it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cactuslane_once::{BeginOutcome, CallKey, Claim, ClaimKeys, IDEMPOTENCY_WINDOW, StoredAnswer};
use cactuslane_store::StoreError;
use cactuslane_types::Millis;
use cactuslane_wire::Purpose;
use cactuslane_wire::token::{IssuedKey, decode};
use hyper::Response;
use tokio::time::{Instant, timeout};

use super::{ServiceAnswer, ServiceCall, attempt};
use crate::api::addresses::KEY_PREFIX;
use crate::api::forward;
use crate::clock::Clock;
use crate::reply::{Body, Ending};
use crate::shared::Shared;

/// Age of an issued key after which it may not be used for the first time, in milliseconds.
const FIRST_USE: Millis = IDEMPOTENCY_WINDOW / 2;
/// Longest time that a call waits for another one with the same key.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Says which incarnation a key is bound to.
enum Binding {
    /// This one.
    Here,
    /// Another one.
    Elsewhere(Claim),
}

/// Executes a keyed call, here or at the instance that its key is bound to.
pub async fn execute(call: ServiceCall, key: String) -> Result<Response<Body>, Ending> {
    match issued(&call, &key)? {
        Some(token) => execute_issued(call, key, token).await,
        None => execute_claimed(call, key).await,
    }
}

/// Returns the token of a key that an instance issued to this caller.
fn issued(call: &ServiceCall, key: &str) -> Result<Option<IssuedKey>, Ending> {
    let Some(rest) = key.strip_prefix(KEY_PREFIX) else {
        return Ok(None);
    };
    let text = rest.split('.').next().unwrap_or_default();
    let token: IssuedKey =
        decode(&call.call.shared.key, Purpose::IssuedKey, text).map_err(|_| Ending::KeyForeign)?;
    if token.caller != call.call.caller {
        return Err(Ending::KeyForeign);
    }
    Ok(Some(token))
}

/// Executes a call whose key names its instance.
async fn execute_issued(
    call: ServiceCall,
    key: String,
    token: IssuedKey,
) -> Result<Response<Body>, Ending> {
    let shared = call.call.shared.clone();
    let here = token.instance == shared.settings.instance;
    if !here || token.incarnation != shared.incarnation {
        let holder = Claim {
            instance: token.instance,
            incarnation: token.incarnation,
        };
        return forward::send(&call, &holder).await;
    }
    let key: CallKey = (call.call.caller.clone(), key);
    if let Some(response) = begin(&call, &key).await? {
        return Ok(response);
    }
    let expired = Clock::wall().saturating_sub(token.issued_at) > FIRST_USE;
    if expired {
        shared.once().mark_not_sent(&key);
        shared.once_changed.notify_waiters();
        return Err(Ending::KeyExpired);
    }
    run(&call, &key).await
}

/// Executes a call whose key is the caller's own.
async fn execute_claimed(call: ServiceCall, key: String) -> Result<Response<Body>, Ending> {
    let shared = call.call.shared.clone();
    let key: CallKey = (call.call.caller.clone(), key);
    if let Some(response) = begin(&call, &key).await? {
        return Ok(response);
    }
    let binding = claim(&call, &key).await;
    if !matches!(binding, Ok(Binding::Here)) {
        shared.once().mark_not_sent(&key);
        shared.once_changed.notify_waiters();
    }
    match binding? {
        Binding::Here => run(&call, &key).await,
        Binding::Elsewhere(holder) => forward::send(&call, &holder).await,
    }
}

/// Begins a call: returns its known answer, or none if this call is the first.
async fn begin(call: &ServiceCall, key: &CallKey) -> Result<Option<Response<Body>>, Ending> {
    let shared = &call.call.shared;
    let hash = call.hash();
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let changed = shared.once_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let begin = shared.once().begin(key, &hash, shared.now());
        match begin {
            BeginOutcome::First => return Ok(None),
            BeginOutcome::Answered(answer) => return Ok(Some(remembered(answer).response())),
            BeginOutcome::Unknown => return Err(Ending::AnswerUnknown),
            BeginOutcome::Mismatch => return Err(Ending::KeyMismatch),
            BeginOutcome::Full => return Err(Ending::KeysFull),
            BeginOutcome::Wait => {}
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if timeout(left, changed).await.is_err() {
            return Err(Ending::TimedOut);
        }
    }
}

/// Runs a call that is bound to this incarnation, once.
async fn run(call: &ServiceCall, key: &CallKey) -> Result<Response<Body>, Ending> {
    let shared = &call.call.shared;
    call.call.looked_up.store(true, Ordering::Relaxed);
    if !shared.once().mark_sent(key) {
        return Err(Ending::AnswerUnknown);
    }
    let guard = Unfinished {
        shared: shared.clone(),
        key: key.clone(),
        finished: false,
    };
    let result = attempt::execute(call).await;
    guard.finish(&result);
    result.map(|answer| answer.response())
}

/// A call that was sent and has not ended; dropping it leaves its answer unknown.
struct Unfinished {
    /// The state that holds the register.
    shared: Arc<Shared>,
    /// The call's key.
    key: CallKey,
    /// Says whether the end was recorded.
    finished: bool,
}

impl Unfinished {
    /// Records the end of the call.
    fn finish(mut self, result: &Result<ServiceAnswer, Ending>) {
        let mut once = self.shared.once();
        match result {
            Ok(answer) => once.mark_answered(&self.key, to_remember(answer)),
            Err(ending) if ending.outcome() == cactuslane_types::Outcome::NotRun => {
                once.mark_not_sent(&self.key);
            }
            Err(_) => once.mark_unknown(&self.key),
        }
        drop(once);
        self.finished = true;
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.once().mark_unknown(&self.key);
        }
        self.shared.once_changed.notify_waiters();
    }
}

/// Claims a caller's own key for this incarnation, or finds who has.
async fn claim(call: &ServiceCall, key: &CallKey) -> Result<Binding, Ending> {
    let shared = &call.call.shared;
    shared.metrics.claims.inc();
    let me = Claim {
        instance: shared.settings.instance.clone(),
        incarnation: shared.incarnation,
    };
    let places = ClaimKeys::of(key, Clock::wall());
    let span = shared.traces.child("claim", &call.call.span);
    match shared.claims.make(&places, &me).await {
        Ok(answer) if answer.succeeded => Ok(Binding::Here),
        Ok(answer) => {
            let found = answer.reads.into_iter().flatten().next();
            binding(found.map(|record| record.value), &me)
        }
        Err(StoreError::Lost(why)) => {
            // The claim may have been made: who has it is found by reading.
            span.event("claim without an answer", why);
            for place in places.all() {
                let read = shared
                    .store
                    .get(place)
                    .await
                    .map_err(|_| Ending::ClaimFailed)?;
                if let Some(record) = read {
                    return binding(Some(record.value), &me);
                }
            }
            Err(Ending::ClaimFailed)
        }
        Err(error) => {
            span.event("claim failed", error.to_string());
            Err(Ending::ClaimFailed)
        }
    }
}

/// Reads who a claim names.
fn binding(value: Option<Vec<u8>>, me: &Claim) -> Result<Binding, Ending> {
    let value = value.ok_or(Ending::ClaimFailed)?;
    let found: Claim = serde_json::from_slice(&value).map_err(|_| Ending::ClaimFailed)?;
    Ok(if found == *me {
        Binding::Here
    } else {
        Binding::Elsewhere(found)
    })
}

/// Turns an answer into what is remembered.
fn to_remember(answer: &ServiceAnswer) -> StoredAnswer {
    StoredAnswer {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body.to_vec(),
    }
}

/// Turns what is remembered into an answer.
fn remembered(answer: StoredAnswer) -> ServiceAnswer {
    ServiceAnswer {
        status: answer.status,
        headers: answer.headers,
        body: answer.body.into(),
    }
}
