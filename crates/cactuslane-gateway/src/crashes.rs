//! Requests on which targets crash, as a whole or by a part of their prompt: what shows a crash, and
//! which requests are not sent because of it.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_flight::AttemptFailure;
use cactuslane_flight::request_info::RequestInfo;
use cactuslane_flight::target::Target;
use cactuslane_place::crashes::{Attempt, StoredSuspect};
use cactuslane_place::{HoldChange, PermitAnswer, Screening, StoreChange, Suspect};
use cactuslane_store::kv::{Item, KvError, Update};
use cactuslane_types::{Millis, TargetId};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::limits;
use crate::ranking::top_ranked;
use crate::reach;
use crate::sending;
use crate::state::Gateway;

/// Prefix of the keys of all held suspects.
pub const HELD_PREFIX: &str = "cactuslane/held-";
/// Prefix of the keys of held parts in the store, followed by the part's id in hexadecimal.
const PARTS_PREFIX: &str = "cactuslane/held-parts/";
/// Prefix of the keys of held requests in the store, followed by the fingerprint in hexadecimal.
const REQUESTS_PREFIX: &str = "cactuslane/held-requests/";
/// Interval at which the store's copy of the held suspects is compared with those known here.
const STORE_INTERVAL: Duration = Duration::from_millis(500);
/// Value of `Retry-After` while the instance that grants trials of a suspect does not answer.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Guard of an attempt that was sent to a target; unless it is settled, its drop records that the
/// attempt was given up.
#[derive(Debug)]
pub struct SentAttempt {
    /// State of the instance.
    gateway: Arc<Gateway>,
    /// Target to which the request was sent.
    target: TargetId,
    /// The attempt, until it is settled.
    attempt: Option<Attempt>,
}

impl SentAttempt {
    /// Creates the guard of an attempt that is sent now.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, info: &RequestInfo, target: &Target) -> Self {
        Self {
            gateway: gateway.clone(),
            target: target.id.clone(),
            attempt: Some(Attempt::new(info, gateway.now())),
        }
    }

    /// Records that the target has answered or ended the attempt.
    pub fn settle(&mut self) {
        self.attempt = None;
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now = self.gateway.now();
            let mut crashes = self.gateway.crashes();
            crashes.record_abandoned(&self.target, attempt, now);
        }
    }
}

/// The grant of a trial, which lasts until the request was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrialGrant(Option<Suspect>);

impl TrialGrant {
    /// Records how an attempt ended; a grant is used up unless nothing was sent.
    pub fn record(&mut self, ending: AttemptFailure) {
        if ending != AttemptFailure::Unsent {
            self.0 = None;
        }
    }
}

/// Why a request is not sent, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Withheld {
    /// Cause of the refusal, for logs and metrics.
    pub cause: &'static str,
    /// Time after which the caller may come back.
    pub wait: Duration,
}

/// Value of a held suspect's key in the store.
#[derive(Debug, Serialize, Deserialize)]
struct StoredValue {
    /// Number of crashes.
    crashes: u32,
    /// Number of trials that failed.
    failed: u32,
    /// Unix time of the last crash, in milliseconds.
    last: u64,
}

/// Decides whether a request may be sent, as far as earlier crashes of targets are concerned.
///
/// # Errors
///
/// Returns why not if the request or a part of its prompt is held.
pub async fn admit(
    gateway: &Gateway,
    info: &RequestInfo,
    trial: &mut TrialGrant,
) -> Result<(), Withheld> {
    let screening = screen(gateway, info);
    let (suspect, wait) = match screening {
        Screening::Clear => return Ok(()),
        Screening::Held(suspect, wait) => (suspect, wait),
        Screening::Trial(suspect) | Screening::Suspected(suspect) => {
            if trial.0 == Some(suspect) {
                return Ok(());
            }
            let answer = request_trial(gateway, suspect).await;
            let is_held = matches!(screening, Screening::Trial(_));
            match answer {
                Some(PermitAnswer::Granted) => {
                    trial.0 = Some(suspect);
                    log_trial(gateway, info, suspect, is_held);
                    return Ok(());
                }
                None if !is_held => return Ok(()),
                Some(PermitAnswer::Denied(wait)) => {
                    (suspect, Duration::from_millis(u64::from(wait)))
                }
                None => (suspect, TRIAL_RETRY_AFTER),
            }
        }
    };
    gateway.metrics.count_held("refused");
    let (wait_ms, trial) = (
        wait.as_millis() as u64,
        !matches!(screening, Screening::Held(..)),
    );
    let cause = match suspect {
        Suspect::Part(part) => {
            let part = format!("{part:x}");
            info!(request = info.id, part, wait_ms, trial; "prompt part is held");
            "part held"
        }
        Suspect::Request(fingerprint) => {
            let fingerprint = format!("{fingerprint:x}");
            info!(request = info.id, fingerprint, wait_ms, trial; "request is held");
            "request held"
        }
    };
    Err(Withheld { cause, wait })
}

/// Returns whether a request or a part of its prompt is held now.
#[must_use]
pub fn is_held(gateway: &Gateway, info: &RequestInfo) -> bool {
    matches!(screen(gateway, info), Screening::Held(..))
}

/// Waits until a request or a part of its prompt is held.
pub async fn until_held(gateway: &Gateway, info: &RequestInfo) {
    loop {
        let changed = gateway.held_changed.notified();
        if is_held(gateway, info) {
            return;
        }
        changed.await;
    }
}

/// Finds out whether a target crashed that closed a connection before it had answered a request, or
/// before the first event of a stream, and records the attempt if so.
///
/// A target that accepts a connection still runs.
pub fn check_lost(gateway: &Arc<Gateway>, info: &RequestInfo, target: &Target, sent: Instant) {
    let (gateway, target) = (gateway.clone(), target.clone());
    let request = info.id.clone();
    let lost = gateway.now();
    let sent_ms = sent.elapsed().as_millis() as u64;
    let attempt = Attempt::new(info, lost.saturating_sub(sent_ms));
    tokio::spawn(async move {
        gateway.pool.reach().record_failure(lost);
        let refused = gateway.pool.dial(target.address).await.is_err();
        let dialled = gateway.now();
        gateway.pool.reach().record_connection(!refused, dialled);
        let crashed = refused && !reach::is_own_fault(&gateway, lost).await;
        let names: Vec<String> = attempt.parts.iter().map(|id| format!("{id:x}")).collect();
        info!(
            request,
            target_id = target.id,
            process:? = target.started_at,
            fingerprint = format!("{:x}", attempt.request),
            parts = names.join(","),
            sent_ms_ago = sent_ms,
            lost_ms_ago = gateway.now().saturating_sub(lost),
            refused,
            crashed;
            "lost before its first event"
        );
        if crashed {
            let now = gateway.now();
            let process = target.started_at;
            gateway
                .crashes()
                .record_crash(&target.id, process, &attempt, lost, now);
        }
    });
}

/// Records that a target answered a request, or sent its first event and went on, at `at`, on the
/// clock of the instance.
pub fn record_begun(gateway: &Gateway, info: &RequestInfo, at: Millis) {
    let now = gateway.now();
    let suspects = Suspect::all(info);
    gateway.crashes().record_begun(&suspects, at, now);
}

/// Applies what has been learned of crashes, and logs the changes.
pub fn sweep(gateway: &Gateway) {
    let changes = gateway.crashes().sweep(gateway.now());
    for change in &changes {
        log_change(gateway, *change);
    }
    if !changes.is_empty() {
        gateway.held_changed.notify_waiters();
    }
}

/// Counts and logs a change of the held suspects.
fn log_change(gateway: &Gateway, change: HoldChange) {
    let (released, why) = match change {
        HoldChange::Held(suspect, crashes, wait) => {
            gateway.metrics.count_held("held");
            let wait_ms = wait.as_millis() as u64;
            match suspect {
                Suspect::Part(part) => warn!(
                    part = format!("{part:x}"),
                    crashes,
                    wait_ms;
                    "targets crash on a prompt part, requests with it are not sent"
                ),
                Suspect::Request(fingerprint) => warn!(
                    fingerprint = format!("{fingerprint:x}"),
                    crashes,
                    wait_ms;
                    "targets crash on a request, it is not sent again"
                ),
            }
            return;
        }
        HoldChange::Begun(suspect) => {
            gateway.metrics.count_held("released");
            (suspect, "a target has begun it")
        }
        HoldChange::Explained(suspect, _) => (suspect, "crashes are explained by another"),
        HoldChange::Discarded(suspect) => (suspect, "not tried for long, or too many"),
    };
    match released {
        Suspect::Part(part) => info!(part = format!("{part:x}"), why; "prompt part is released"),
        Suspect::Request(fingerprint) => {
            info!(fingerprint = format!("{fingerprint:x}"), why; "request is released");
        }
    }
}

/// Decides on another instance's request for a trial of a suspect.
pub fn answer_trial(gateway: &Gateway, suspect: Suspect) -> PermitAnswer {
    if owner(gateway, suspect) != gateway.settings().instance {
        return PermitAnswer::Denied(TRIAL_RETRY_AFTER.as_millis() as u32);
    }
    gateway.crashes().grant_trial(suspect, gateway.now())
}

/// Keeps the store's copy of the held suspects up to date, until the task is aborted.
pub async fn store_held(gateway: Arc<Gateway>) {
    loop {
        // What is held is written at once, as all instances may restart.
        tokio::select! {
            () = sleep(STORE_INTERVAL) => {}
            () = gateway.held_changed.notified() => {}
        }
        let me = gateway.settings().instance.clone();
        let owns = |suspect: Suspect| owner(&gateway, suspect) == me;
        let changes = gateway.crashes().store_changes(owns, gateway.now());
        if changes.is_empty() {
            continue;
        }
        if let Err(error) = store_changes(&gateway, &changes).await {
            warn!(error:% = error; "held suspects not stored, this is tried again");
        }
    }
}

/// Returns the suspect that a key of the store lists as held, if it is such a key.
#[must_use]
pub fn stored_suspect(key: &str) -> Option<Suspect> {
    if let Some(id) = key.strip_prefix(PARTS_PREFIX) {
        return Some(Suspect::Part(u64::from_str_radix(id, 16).ok()?));
    }
    let id = key.strip_prefix(REQUESTS_PREFIX)?;
    Some(Suspect::Request(u64::from_str_radix(id, 16).ok()?))
}

/// Applies an item of the store that lists a suspect as held; one that cannot be decoded is ignored.
pub fn apply_stored(gateway: &Gateway, suspect: Suspect, item: &Item) {
    let Ok(stored) = serde_json::from_slice::<StoredValue>(&item.value) else {
        warn!(key = item.key; "entry of a held suspect is unreadable");
        return;
    };
    let stored = StoredSuspect {
        suspect,
        crashes: stored.crashes,
        failed: stored.failed,
        age: Duration::from_millis(unix_millis().saturating_sub(stored.last)),
    };
    gateway.crashes().record_stored(stored, gateway.now());
}

/// Returns what may be done with a request, as far as its suspects decide.
fn screen(gateway: &Gateway, info: &RequestInfo) -> Screening {
    let suspects = Suspect::all(info);
    gateway.crashes().screen(&suspects, gateway.now())
}

/// Requests a trial of a suspect from the instance that grants it; returns `None` if that does not
/// answer.
async fn request_trial(gateway: &Gateway, suspect: Suspect) -> Option<PermitAnswer> {
    let owner = owner(gateway, suspect);
    if owner == gateway.settings().instance {
        return Some(gateway.crashes().grant_trial(suspect, gateway.now()));
    }
    limits::ask_peer(gateway, |number| {
        sending::request_trial(gateway, &owner, number, suspect)
    })
    .await
}

/// Counts and logs the trial of a suspect that is held or only suspected.
fn log_trial(gateway: &Gateway, info: &RequestInfo, suspect: Suspect, is_held: bool) {
    gateway.metrics.count_held("trial");
    match suspect {
        Suspect::Part(part) => {
            info!(request = info.id, part = format!("{part:x}"); "trial of a held part");
        }
        Suspect::Request(fingerprint) => {
            let fingerprint = format!("{fingerprint:x}");
            info!(request = info.id, fingerprint, is_held; "trial of a request");
        }
    }
}

/// Returns the instance that grants trials of a suspect and keeps the store's copy of it.
fn owner(gateway: &Gateway, suspect: Suspect) -> String {
    let me = gateway.settings().instance.clone();
    let mut candidates = gateway.members().issuer_candidates(gateway.now());
    if !gateway.is_leaving() {
        candidates.push(me.clone());
    }
    let ranked = top_ranked(candidates, &suspect.to_string(), 1);
    ranked.into_iter().next().unwrap_or(me)
}

/// Makes changes in the store's copy of the held suspects.
async fn store_changes(gateway: &Gateway, changes: &[StoreChange]) -> Result<(), KvError> {
    let mut update = Update::default();
    for change in changes {
        match change {
            StoreChange::Write(stored) => {
                let age = stored.age.as_millis() as u64;
                let value = StoredValue {
                    crashes: stored.crashes,
                    failed: stored.failed,
                    last: unix_millis().saturating_sub(age),
                };
                let value = serde_json::to_vec(&value).unwrap_or_default();
                update.writes.push((key(stored.suspect), value, None));
            }
            StoreChange::Delete(suspect) => update.deletes.push(key(*suspect)),
        }
    }
    gateway.store.update(&update).await?;
    Ok(())
}

/// Returns the store key of a held suspect.
fn key(suspect: Suspect) -> String {
    match suspect {
        Suspect::Part(part) => format!("{PARTS_PREFIX}{part:x}"),
        Suspect::Request(fingerprint) => format!("{REQUESTS_PREFIX}{fingerprint:x}"),
    }
}

/// Returns the Unix time in milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
