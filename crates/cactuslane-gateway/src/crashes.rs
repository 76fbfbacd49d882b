//! Requests whose prompts have parts on which targets crash: what shows a crash, and which requests
//! are not sent because of it.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_flight::request_info::{PartId, PromptPart, RequestInfo};
use cactuslane_flight::target::Target;
use cactuslane_place::crashes::StoredPart;
use cactuslane_place::{HoldChange, PermitAnswer, Screening, StoreChange};
use cactuslane_store::kv::{Item, KvError, Update};
use cactuslane_types::{Millis, TargetId};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::limits;
use crate::peers;
use crate::ranking::top_ranked;
use crate::state::Gateway;

/// Prefix of the keys of held parts in the store, followed by the part's id in hexadecimal.
pub const HELD_PREFIX: &str = "cactuslane/held-parts/";
/// Maximum time to wait for a connection that shows whether a target still runs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Interval at which the store's copy of the held parts is compared with those known here.
const STORE_INTERVAL: Duration = Duration::from_millis(500);
/// Value of `Retry-After` while the instance that grants trials of a part does not answer.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Guard of an attempt that was sent to a target; unless it is settled, its drop records that the
/// attempt was given up.
#[derive(Debug)]
pub struct SentAttempt {
    /// State of the instance.
    gateway: Arc<Gateway>,
    /// Target to which the request was sent.
    target: TargetId,
    /// Shared parts of the prompt.
    parts: Vec<PromptPart>,
}

impl SentAttempt {
    /// Creates the guard of an attempt.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, info: &RequestInfo, target: &Target) -> Self {
        Self {
            gateway: gateway.clone(),
            target: target.id.clone(),
            parts: info.shared_parts().to_vec(),
        }
    }

    /// Records that the target has answered or ended the attempt.
    pub fn settle(&mut self) {
        self.parts.clear();
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if !self.parts.is_empty() {
            let now = self.gateway.now();
            let mut crashes = self.gateway.crashes();
            crashes.record_abandoned(&self.target, &self.parts, now);
        }
    }
}

/// Value of a held part's key in the store.
#[derive(Debug, Serialize, Deserialize)]
struct StoredValue {
    /// Number of crashes.
    crashes: u32,
    /// Number of trials that failed.
    failed: u32,
    /// Unix time of the last crash, in milliseconds.
    last: u64,
}

/// Decides whether a request may be sent, as far as its prompt parts are concerned.
///
/// # Errors
///
/// Returns the time after which the caller may come back if a part is held.
pub async fn admit(gateway: &Gateway, info: &RequestInfo) -> Result<(), Duration> {
    let screening = screen(gateway, info);
    let (part, wait) = match screening {
        Screening::Clear => return Ok(()),
        Screening::Held(part, wait) => (part, wait),
        Screening::Trial(part) => match request_trial(gateway, part).await {
            Ok(()) => {
                gateway.metrics.count_held("trial");
                info!(request = info.id, part = format!("{part:x}"); "trial of a held part");
                return Ok(());
            }
            Err(wait) => (part, wait),
        },
    };
    gateway.metrics.count_held("refused");
    info!(
        request = info.id,
        part = format!("{part:x}"),
        wait_ms = wait.as_millis() as u64,
        trial = matches!(screening, Screening::Trial(_));
        "prompt part is held"
    );
    Err(wait)
}

/// Returns whether a part of a request's prompt is held now.
#[must_use]
pub fn is_held(gateway: &Gateway, info: &RequestInfo) -> bool {
    matches!(screen(gateway, info), Screening::Held(..))
}

/// Waits until a part of a request's prompt is held.
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
/// before the first event of a stream, and records the shared parts of the prompt if so.
///
/// A target that accepts a connection still runs.
pub fn check_lost(gateway: &Arc<Gateway>, info: &RequestInfo, target: &Target, sent: Instant) {
    let (gateway, target) = (gateway.clone(), target.clone());
    let (request, parts) = (info.id.clone(), info.shared_parts().to_vec());
    let fingerprint = info.fingerprint;
    let sent_ms = sent.elapsed().as_millis() as u64;
    tokio::spawn(async move {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
        let crashed = !matches!(connecting, Ok(Ok(_)));
        let names: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
        info!(
            request,
            target_id = target.id,
            process:? = target.started_at,
            fingerprint = format!("{fingerprint:x}"),
            parts = names.join(","),
            sent_ms_ago = sent_ms,
            crashed;
            "lost before its first event"
        );
        if crashed && !parts.is_empty() {
            let now = gateway.now();
            let process = target.started_at;
            gateway
                .crashes()
                .record_crash(&target.id, process, &parts, now);
        }
    });
}

/// Records that a target sent the first event of a request at `at`, on the clock of the instance,
/// and went on.
pub fn record_begun(gateway: &Gateway, info: &RequestInfo, at: Millis) {
    let now = gateway.now();
    let parts = info.shared_parts();
    gateway.crashes().record_begun(parts, at, now);
}

/// Applies what has been learned of crashes, and logs the changes.
pub fn sweep(gateway: &Gateway) {
    let changes = gateway.crashes().sweep(gateway.now());
    for change in &changes {
        match change {
            HoldChange::Held(part, crashes, wait) => {
                gateway.metrics.count_held("held");
                warn!(
                    part = format!("{part:x}"),
                    crashes,
                    wait_ms = wait.as_millis() as u64;
                    "targets crash on a prompt part, requests with it are not sent"
                );
            }
            HoldChange::Begun(part) => {
                gateway.metrics.count_held("released");
                info!(part = format!("{part:x}"), why = "a target has begun it"; "prompt part is released");
            }
            HoldChange::Discarded(part) => {
                info!(part = format!("{part:x}"), why = "not tried for long, or too many"; "prompt part is released");
            }
        }
    }
    if !changes.is_empty() {
        gateway.held_changed.notify_waiters();
    }
}

/// Decides on another instance's request for a trial of a part.
pub fn answer_trial(gateway: &Gateway, part: PartId) -> PermitAnswer {
    if owner(gateway, part) != gateway.settings().instance {
        return PermitAnswer::Denied(TRIAL_RETRY_AFTER.as_millis() as u32);
    }
    gateway.crashes().grant_trial(part, gateway.now())
}

/// Keeps the store's copy of the held parts up to date, until the task is aborted.
pub async fn store_held(gateway: Arc<Gateway>) {
    loop {
        sleep(STORE_INTERVAL).await;
        let me = gateway.settings().instance.clone();
        let owns = |part: PartId| owner(&gateway, part) == me;
        let changes = gateway.crashes().store_changes(owns, gateway.now());
        if changes.is_empty() {
            continue;
        }
        if let Err(error) = store_changes(&gateway, &changes).await {
            warn!(error:% = error; "held parts not stored, this is tried again");
        }
    }
}

/// Applies an item of the store that lists a held part; one that cannot be decoded is ignored.
pub fn apply_stored(gateway: &Gateway, id: &str, item: &Item) {
    let part = PartId::from_str_radix(id, 16);
    let stored = serde_json::from_slice::<StoredValue>(&item.value);
    let (Ok(part), Ok(stored)) = (part, stored) else {
        warn!(key = item.key; "entry of a held part is unreadable");
        return;
    };
    let stored = StoredPart {
        part,
        crashes: stored.crashes,
        failed: stored.failed,
        age: Duration::from_millis(unix_millis().saturating_sub(stored.last)),
    };
    gateway.crashes().record_stored(stored, gateway.now());
}

/// Records that the store no longer lists a part as held.
pub fn apply_deleted(gateway: &Gateway, id: &str) {
    if let Ok(part) = PartId::from_str_radix(id, 16) {
        gateway.crashes().record_deleted(part);
    }
}

/// Records that the store lists no other parts as held than those with these ids.
pub fn retain_stored(gateway: &Gateway, ids: &[String]) {
    let parts = ids.iter().map(|id| PartId::from_str_radix(id, 16));
    let parts: Vec<PartId> = parts.filter_map(Result::ok).collect();
    gateway.crashes().retain_stored(&parts);
}

/// Returns what may be done with a request, as far as its prompt parts decide.
fn screen(gateway: &Gateway, info: &RequestInfo) -> Screening {
    let parts = info.shared_parts();
    if parts.is_empty() {
        return Screening::Clear;
    }
    gateway.crashes().screen(parts, gateway.now())
}

/// Requests a trial of a part from the instance that grants it.
///
/// # Errors
///
/// Returns the time after which another trial may be requested.
async fn request_trial(gateway: &Gateway, part: PartId) -> Result<(), Duration> {
    let owner = owner(gateway, part);
    let answer = if owner == gateway.settings().instance {
        Some(gateway.crashes().grant_trial(part, gateway.now()))
    } else {
        limits::ask_peer(gateway, |number| {
            peers::request_trial(gateway, &owner, number, part)
        })
        .await
    };
    match answer {
        Some(PermitAnswer::Granted) => Ok(()),
        Some(PermitAnswer::Denied(wait)) => Err(Duration::from_millis(u64::from(wait))),
        None => Err(TRIAL_RETRY_AFTER),
    }
}

/// Returns the instance that grants trials of a part and keeps the store's copy of it.
fn owner(gateway: &Gateway, part: PartId) -> String {
    let me = gateway.settings().instance.clone();
    let mut candidates = gateway.members().issuer_candidates(gateway.now());
    if !gateway.is_leaving() {
        candidates.push(me.clone());
    }
    let ranked = top_ranked(candidates, &format!("{part:x}"), 1);
    ranked.into_iter().next().unwrap_or(me)
}

/// Makes changes in the store's copy of the held parts.
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
                update.writes.push((key(stored.part), value, None));
            }
            StoreChange::Delete(part) => update.deletes.push(key(*part)),
        }
    }
    gateway.store.update(&update).await?;
    Ok(())
}

/// Returns the store key of a held part.
fn key(part: PartId) -> String {
    format!("{HELD_PREFIX}{part:x}")
}

/// Returns the Unix time in milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
