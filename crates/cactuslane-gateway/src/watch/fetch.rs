//! Fetching of the store's changes, with large values apart from all others.

use std::time::Duration;

use cactuslane_platform::store::CONFIG_KEY;
use cactuslane_store::kv::{Change, Changes, KvError, position_of};
use cactuslane_types::{Millis, Position};
use log::info;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{
    ALL_KEYS, Follower, ReceivedRelay, SyncMode, direct_pause, record_failure, watch_wait,
};
use crate::control::{SMALL_KEYS, apply};
use crate::keys::RECORDS_PREFIX;
use crate::relay::Relay;
use crate::sending::send_relays;

/// Longest wait of a watch whose changes are relayed, so that the other instances receive empty
/// relays while nothing changes.
const RELAY_WAIT: Duration = Duration::from_millis(500);
/// Wait of a watch that only fetches changes that were not relayed.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Time after its head within which a response of ordinary size has arrived; while a larger one
/// arrives, the other changes are fetched beside it at this interval.
const LARGE_RESPONSE: Duration = Duration::from_millis(200);
/// Size of a response, in bytes, above which it holds a large document that is arriving already.
const SMALL_RESPONSE: u64 = 64 << 10;

impl Follower {
    /// Waits for changes of the store and applies them, after relaying them in relaying mode.
    ///
    /// While a large response arrives, changes of small values are fetched beside it.
    pub(super) async fn watch(
        &mut self,
        mode: SyncMode,
        relays: &mut mpsc::Receiver<ReceivedRelay>,
    ) -> Result<(), KvError> {
        let wait = match mode {
            SyncMode::Receiving | SyncMode::StandingIn => NO_WAIT,
            SyncMode::Relaying => RELAY_WAIT,
            SyncMode::Direct => {
                let pause = direct_pause(&self.gateway);
                watch_wait(self.gateway.settings().contact_grace, pause)
            }
        };
        let asked = self.gateway.now();
        let from = self.progress.position();
        let response = self.gateway.store.watch(ALL_KEYS, from, wait).await?;
        let mut reading = JoinSet::new();
        reading.spawn(response.changes());
        let changes = self.await_changes(mode, reading, relays).await?;
        let elapsed = self.gateway.now() - asked;
        if mode.receives() || elapsed > (wait + LARGE_RESPONSE).as_millis() as Millis {
            log_read(mode, from, &changes, elapsed);
        }
        // An empty response shows that the store waited as long as it was asked to.
        let waited = if changes.changes.is_empty() {
            wait
        } else {
            Duration::ZERO
        };
        let seen = (asked + waited.as_millis() as Millis).min(self.gateway.now());
        let recovered = !std::mem::replace(&mut self.store_ok, true);
        self.backoff.reset();
        if recovered {
            info!(revision = self.progress.position().revision; "store is back");
        }
        self.last_read = self.gateway.now();
        self.gateway.fleet().record_store_contact(self.last_read);
        if mode.relays() {
            let known = self.progress;
            let mut relays = Relay::pack(known.entries, known.document, &changes);
            for relay in &mut relays {
                relay.recovered = recovered;
            }
            self.send(relays, seen);
        }
        self.apply_all(&changes);
        self.progress.record_all(changes.position.revision, seen);
        Ok(())
    }

    /// Waits for the changes of a response; while a large one arrives, relays of other instances are
    /// applied and changes of small values are fetched that these do not bring.
    async fn await_changes(
        &mut self,
        mode: SyncMode,
        mut reading: JoinSet<Result<Changes, KvError>>,
        relays: &mut mpsc::Receiver<ReceivedRelay>,
    ) -> Result<Changes, KvError> {
        let mut missing = None;
        let (mut is_large, mut has_gap) = (false, true);
        let mut next = Instant::now() + LARGE_RESPONSE;
        loop {
            tokio::select! {
                Some(read) = reading.join_next() => {
                    return read.unwrap_or_else(|error| Err(KvError::Lost(error.to_string())));
                }
                Some(received) = relays.recv(), if mode.receives() => {
                    has_gap |= self.apply_relay(received);
                    continue;
                }
                () = sleep_until(next) => {}
            }
            if !std::mem::replace(&mut is_large, true) {
                let revision = self.progress.position().revision;
                info!(mode:?, revision; "large response of the store, reading other changes beside it");
            }
            let age = self
                .gateway
                .now()
                .saturating_sub(self.progress.entries_seen);
            if !mode.receives() || has_gap || age >= self.relay_timeout() {
                match self.catch_up(mode, missing).await {
                    Ok(found) => (missing, has_gap) = (found, false),
                    Err(KvError::Compacted) => return Err(KvError::Compacted),
                    Err(error) => {
                        let (gateway, backoff) = (&self.gateway, &mut self.backoff);
                        sleep(record_failure(gateway, "watch beside", &error, backoff)).await;
                    }
                }
            }
            next = Instant::now() + LARGE_RESPONSE;
        }
    }

    /// Fetches the changes of small values while the document is read.
    pub(super) async fn watch_entries(&mut self, mode: SyncMode) -> Result<(), KvError> {
        self.catch_up(mode, Some(self.progress.wanted)).await?;
        self.store_ok = true;
        self.backoff.reset();
        self.last_read = self.gateway.now();
        Ok(())
    }

    /// Fetches the changes of small values and applies them, after relaying them in relaying mode.
    ///
    /// `missing` is the revision up to which the document may have changed, or `None` if it is not
    /// known to have changed; what holds afterwards is returned.
    async fn catch_up(
        &mut self,
        mode: SyncMode,
        missing: Option<u64>,
    ) -> Result<Option<u64>, KvError> {
        let asked = self.gateway.now();
        let from = self.progress.position_at(self.progress.entries);
        let mut fetches = JoinSet::new();
        for prefix in SMALL_KEYS {
            let store = self.gateway.store.clone();
            fetches.spawn(async move { store.watch(prefix, from, NO_WAIT).await?.changes().await });
        }
        let unchanged = match missing {
            Some(_) => None,
            None => self.find_unchanged().await,
        };
        let mut changes = Changes {
            position: self.progress.position_at(unchanged.unwrap_or(u64::MAX)),
            ..Changes::default()
        };
        while let Some(fetched) = fetches.join_next().await {
            let some = fetched.unwrap_or_else(|error| Err(KvError::Lost(error.to_string())))?;
            changes.position = changes.position.min(some.position);
            changes.changes.extend(some.changes);
        }
        let position = changes.position;
        changes
            .changes
            .retain(|change| position_of(change) <= position);
        changes.changes.sort_by_key(position_of);
        let revision = position.revision;
        let missing = match unchanged {
            Some(_) => None,
            None => Some(missing.unwrap_or(revision)),
        };
        self.gateway.fleet().record_store_contact(asked);
        if mode.relays() {
            let known = self.progress;
            let mut relays = Relay::pack(known.entries, known.document, &changes);
            if let Some(missing) = missing {
                for relay in &mut relays {
                    relay.withhold_document(missing);
                }
            }
            self.send(relays, asked);
        }
        self.apply_all(&changes);
        self.progress.record_entries(revision, asked);
        if missing.is_none() {
            self.progress.record_document(revision, asked);
        }
        self.gateway.observe_progress(&self.progress);
        Ok(missing)
    }

    /// Returns a revision up to which the document has not changed; `None` if it has, or if that
    /// is not known in a short time.
    async fn find_unchanged(&self) -> Option<u64> {
        let fetch = async {
            let store = &self.gateway.store;
            let known = self.progress.position_at(self.progress.document);
            let response = store.watch(CONFIG_KEY, known, NO_WAIT).await?;
            if response
                .length()
                .is_some_and(|bytes| bytes > SMALL_RESPONSE)
            {
                return Ok(None);
            }
            let changes = response.changes().await?;
            Ok::<_, KvError>(
                changes
                    .changes
                    .is_empty()
                    .then_some(changes.position.revision),
            )
        };
        timeout(LARGE_RESPONSE, fetch).await.ok()?.ok()?
    }

    /// Sends relays of changes that include all that the store had acknowledged at `seen`.
    fn send(&self, mut relays: Vec<Relay>, seen: Millis) {
        let age = self.gateway.now().saturating_sub(seen);
        for relay in &mut relays {
            relay.age = age;
        }
        send_relays(&self.gateway, &self.socket, self.progress.era, relays);
    }

    /// Applies changes in the order of their revisions, unless they are known.
    fn apply_all(&self, changes: &Changes) {
        for change in &changes.changes {
            let is_document = matches!(change, Change::Written(item) if item.key == CONFIG_KEY);
            if is_document || position_of(change).revision > self.progress.entries {
                apply(&self.gateway, change.clone());
            }
        }
    }
}

/// Logs what a read of the store brought that was large, or that no relay made needless.
fn log_read(mode: SyncMode, from: Position, changes: &Changes, elapsed_ms: Millis) {
    let (mut bytes, mut record_bytes) = (0, 0);
    for change in &changes.changes {
        let Change::Written(item) = change else {
            continue;
        };
        bytes += item.value.len();
        if item.key.starts_with(RECORDS_PREFIX) {
            record_bytes += item.value.len();
        }
    }
    let (from, to) = (from.revision, changes.position.revision);
    let count = changes.changes.len();
    info!(mode:?, from, to, count, bytes, record_bytes, elapsed_ms; "read changes of the store");
}
