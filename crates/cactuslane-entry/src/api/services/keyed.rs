//! Calls with an idempotency key that may not be repeated.
//!
//! A key is bound to one incarnation of one instance: an issued key by the token in its text, a
//! caller's own key by a claim in the key-value service. Only that incarnation may execute the
//! call; all other instances forward the call to it.

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
use crate::reply::{ApiError, Body};
use crate::shared::Shared;

/// Age of an issued key beyond which a first use is refused, in milliseconds, from the wall-clock
/// time of its issue to this instance's. It is below the retention of used keys, so that a key
/// whose record has expired cannot be taken for an unused one, even if this instance's wall clock
/// is set back by up to the difference between the two.
const MAX_FIRST_USE_AGE: Millis = IDEMPOTENCY_WINDOW / 2;
/// Maximum time for which a call waits for another one with the same key.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// The incarnation that a key is bound to.
enum Binding {
    /// This incarnation.
    Local,
    /// Another incarnation, of this or another instance.
    Remote(Claim),
}

/// Executes a call with a key, here or at the instance that its key is bound to.
pub async fn execute(call: ServiceCall, key: String) -> Result<Response<Body>, ApiError> {
    match issued_key(&call, &key)? {
        Some(token) => execute_issued(call, key, token).await,
        None => execute_claimed(call, key).await,
    }
}

/// Returns the token in a key that an instance has issued to this caller; `None` for a caller's own
/// key.
fn issued_key(call: &ServiceCall, key: &str) -> Result<Option<IssuedKey>, ApiError> {
    let Some(rest) = key.strip_prefix(KEY_PREFIX) else {
        return Ok(None);
    };
    let text = rest.split('.').next().unwrap_or_default();
    let token: IssuedKey = decode(&call.request.shared.key, Purpose::IssuedKey, text)
        .map_err(|_| ApiError::KeyForeign)?;
    if token.caller != call.request.caller {
        return Err(ApiError::KeyForeign);
    }
    Ok(Some(token))
}

/// Executes a call with an issued key here, or forwards it to the incarnation that the key names.
async fn execute_issued(
    call: ServiceCall,
    key: String,
    token: IssuedKey,
) -> Result<Response<Body>, ApiError> {
    let shared = call.request.shared.clone();
    let here = token.instance == shared.settings.instance;
    if !here || token.incarnation != shared.incarnation {
        let holder = Claim {
            instance: token.instance,
            incarnation: token.incarnation,
        };
        return forward::send(&call, &holder).await;
    }
    let key: CallKey = (call.request.caller.clone(), key);
    if let Some(response) = begin(&call, &key).await? {
        return Ok(response);
    }
    let expired = Clock::unix_time().saturating_sub(token.issued_at) > MAX_FIRST_USE_AGE;
    if expired {
        shared.idempotency().mark_not_sent(&key);
        shared.idempotency_changed.notify_waiters();
        return Err(ApiError::KeyExpired);
    }
    run(&call, &key).await
}

/// Executes a call whose key is the caller's own, after claiming the key.
async fn execute_claimed(call: ServiceCall, key: String) -> Result<Response<Body>, ApiError> {
    let shared = call.request.shared.clone();
    let key: CallKey = (call.request.caller.clone(), key);
    if let Some(response) = begin(&call, &key).await? {
        return Ok(response);
    }
    let binding = claim(&call, &key).await;
    if !matches!(binding, Ok(Binding::Local)) {
        shared.idempotency().mark_not_sent(&key);
        shared.idempotency_changed.notify_waiters();
    }
    match binding? {
        Binding::Local => run(&call, &key).await,
        Binding::Remote(holder) => forward::send(&call, &holder).await,
    }
}

/// Begins a call in the idempotency table: returns the stored answer, or `None` if this call is the
/// one to execute. Waits while another call with the key is in progress.
async fn begin(call: &ServiceCall, key: &CallKey) -> Result<Option<Response<Body>>, ApiError> {
    let shared = &call.request.shared;
    let hash = call.hash();
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let changed = shared.idempotency_changed.notified();
        tokio::pin!(changed);
        // Registers for changes before the table is read, so that none in between is missed.
        changed.as_mut().enable();
        let outcome = shared.idempotency().begin(key, &hash, shared.now());
        match outcome {
            BeginOutcome::First => return Ok(None),
            BeginOutcome::Answered(answer) => return Ok(Some(from_stored(answer).response())),
            BeginOutcome::Unknown => return Err(ApiError::AnswerUnknown),
            BeginOutcome::Mismatch => return Err(ApiError::KeyMismatch),
            BeginOutcome::Full => return Err(ApiError::KeysFull),
            BeginOutcome::Wait => {}
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if timeout(left, changed).await.is_err() {
            return Err(ApiError::TimedOut);
        }
    }
}

/// Executes a call that was begun and whose key is bound to this incarnation, and records its end.
async fn run(call: &ServiceCall, key: &CallKey) -> Result<Response<Body>, ApiError> {
    let shared = &call.request.shared;
    call.request.key_verified.store(true, Ordering::Relaxed);
    if !shared.idempotency().mark_sent(key) {
        return Err(ApiError::AnswerUnknown);
    }
    let guard = UnfinishedCall {
        shared: shared.clone(),
        key: key.clone(),
        finished: false,
    };
    let result = attempt::execute(call).await;
    guard.finish(&result);
    result.map(|answer| answer.response())
}

/// A call that was sent and whose end is not recorded yet. Dropping it records its answer as
/// unknown if it has not finished, and wakes the calls that wait for a change of the table.
struct UnfinishedCall {
    /// State that holds the table.
    shared: Arc<Shared>,
    /// Caller and key of the call.
    key: CallKey,
    /// Whether the end was recorded.
    finished: bool,
}

impl UnfinishedCall {
    /// Records the end of the call.
    fn finish(mut self, result: &Result<ServiceAnswer, ApiError>) {
        let mut idempotency = self.shared.idempotency();
        match result {
            Ok(answer) => idempotency.mark_answered(&self.key, to_stored(answer)),
            Err(error) if error.outcome() == cactuslane_types::Outcome::NotRun => {
                idempotency.mark_not_sent(&self.key);
            }
            Err(_) => idempotency.mark_unknown(&self.key),
        }
        drop(idempotency);
        self.finished = true;
    }
}

impl Drop for UnfinishedCall {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.idempotency().mark_unknown(&self.key);
        }
        self.shared.idempotency_changed.notify_waiters();
    }
}

/// Claims a caller's own key for this incarnation, or finds the incarnation that has claimed it.
async fn claim(call: &ServiceCall, key: &CallKey) -> Result<Binding, ApiError> {
    let shared = &call.request.shared;
    shared.metrics.claims.inc();
    let own_claim = Claim {
        instance: shared.settings.instance.clone(),
        incarnation: shared.incarnation,
    };
    let store_keys = ClaimKeys::of(key, Clock::unix_time());
    let span = shared.traces.child("claim", &call.request.span);
    match shared.claims.claim(&store_keys, &own_claim).await {
        Ok(answer) if answer.succeeded => Ok(Binding::Local),
        Ok(answer) => {
            let found = answer.reads.into_iter().flatten().next();
            binding(found.map(|record| record.value), &own_claim)
        }
        Err(StoreError::Lost(why)) => {
            // The claim may have been stored although the answer was lost: read the store keys
            // to find its owner.
            span.event("claim without an answer", why);
            for store_key in store_keys.all() {
                let read = shared
                    .store
                    .get(store_key)
                    .await
                    .map_err(|_| ApiError::ClaimFailed)?;
                if let Some(record) = read {
                    return binding(Some(record.value), &own_claim);
                }
            }
            Err(ApiError::ClaimFailed)
        }
        Err(error) => {
            span.event("claim failed", error.to_string());
            Err(ApiError::ClaimFailed)
        }
    }
}

/// Returns the binding that the stored value of a claim gives; fails if there is no valid value.
fn binding(value: Option<Vec<u8>>, own_claim: &Claim) -> Result<Binding, ApiError> {
    let value = value.ok_or(ApiError::ClaimFailed)?;
    let found: Claim = serde_json::from_slice(&value).map_err(|_| ApiError::ClaimFailed)?;
    Ok(if found == *own_claim {
        Binding::Local
    } else {
        Binding::Remote(found)
    })
}

/// Converts an answer to its stored form.
fn to_stored(answer: &ServiceAnswer) -> StoredAnswer {
    StoredAnswer {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body.to_vec(),
    }
}

/// Converts a stored answer back.
fn from_stored(answer: StoredAnswer) -> ServiceAnswer {
    ServiceAnswer {
        status: answer.status,
        headers: answer.headers,
        body: answer.body.into(),
    }
}
