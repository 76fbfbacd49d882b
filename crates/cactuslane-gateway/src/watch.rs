//! Tracking of the store's changes, by watching it or by relays of other instances.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_store::kv::{Changes, KvError, WATCH_GRACE};
use cactuslane_types::Millis;
use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::control::{apply, random_pause, read_all};
use crate::peers::send_relays;
use crate::relay::{self, Continuation, RELAY_TIMEOUT, Relay};
use crate::state::Gateway;

/// The prefix of all keys.
pub const ALL_KEYS: &str = "";
/// Part of `Settings::contact_grace` that is reserved for a pause, the next watch and its answer.
const WATCH_RESERVE: Duration = Duration::from_secs(1);
/// Lower bound of the time that [`watch_wait`] returns.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Longest wait of a watch whose changes are relayed, so that the other instances receive empty
/// relays while nothing changes.
const RELAY_WAIT: Duration = Duration::from_millis(500);
/// Wait of a watch that only fetches changes that were not relayed.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Pause between watches, so that several changes are fetched by one call.
const WATCH_PAUSE: Duration = Duration::from_millis(300);
/// Number of other instances per which the pause grows by [`WATCH_PAUSE`] in direct mode.
const PAUSE_SCALE: f64 = 30.0;
/// Share of `Settings::apply_limit`, the time in which a configuration must be in force, that the
/// pause may take at most.
const MAX_PAUSE_SHARE: f64 = 0.33;
/// Time since its own last call to the store after which an instance that receives relays fetches
/// the changes after its revision once itself, in milliseconds, so that unnoticed errors are
/// corrected.
const RESYNC_INTERVAL: Millis = 20_000;
/// Capacity of the channel for received relays; further ones are dropped.
const MAX_RELAYS: usize = 64;

/// The sender of received relays to the task that tracks the store.
pub type RelaySender = mpsc::Sender<Relay>;

/// Creates the channel for received relays.
#[must_use]
pub fn relay_channel() -> (RelaySender, mpsc::Receiver<Relay>) {
    mpsc::channel(MAX_RELAYS)
}

/// How an instance learns of the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncMode {
    /// It watches the store for itself only.
    Direct,
    /// It watches the store and relays the changes to its failure domain.
    Relaying,
    /// It receives relays, and calls the store only if these are late or incomplete, or after
    /// [`RESYNC_INTERVAL`].
    Receiving,
}

/// The progress of an instance in tracking the store.
#[derive(Debug)]
struct Follower {
    /// The state of the instance, to which changes are applied.
    gateway: Arc<Gateway>,
    /// The socket from which relays are sent.
    socket: Arc<UdpSocket>,
    /// The revision up to which all changes are applied.
    revision: u64,
    /// Whether the last call to the store succeeded.
    store_ok: bool,
    /// The time of this instance's own last successful read or watch of the store, on its clock.
    last_read: Millis,
}

/// Reads all keys and then tracks the store's changes, until the task is aborted.
pub async fn follow(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    mut relays: mpsc::Receiver<Relay>,
) {
    let mut store_ok = true;
    loop {
        let revision = match read_all(&gateway).await {
            Ok(revision) => revision,
            Err(error) => {
                record_failure(&gateway, "read", &error).await;
                store_ok = false;
                continue;
            }
        };
        let mut follower = Follower {
            gateway: gateway.clone(),
            socket: socket.clone(),
            revision,
            store_ok,
            last_read: gateway.now(),
        };
        follower.run(&mut relays).await;
        store_ok = follower.store_ok;
    }
}

impl Follower {
    /// Tracks the store's changes until those after the known revision have been compacted.
    async fn run(&mut self, relays: &mut mpsc::Receiver<Relay>) {
        loop {
            let mode = self.sync_mode();
            let pause = match mode {
                SyncMode::Receiving => Duration::ZERO,
                SyncMode::Relaying => WATCH_PAUSE,
                SyncMode::Direct => watch_pause(&self.gateway),
            };
            let result = if mode != SyncMode::Receiving || self.receive(relays).await {
                self.watch(mode).await
            } else {
                Ok(())
            };
            match result {
                Ok(()) => sleep(pause).await,
                Err(KvError::Compacted) => {
                    info!(revision = self.revision; "history is gone, reading all keys");
                    return;
                }
                Err(error) => {
                    self.store_ok = false;
                    record_failure(&self.gateway, "watch", &error).await;
                }
            }
        }
    }

    /// Returns how this instance learns of changes at present.
    fn sync_mode(&self) -> SyncMode {
        let now = self.gateway.now();
        let settings = self.gateway.settings();
        let members = self.gateway.members();
        let others = members.count_alive(now);
        let neighbours = members.alive_in_domain(&settings.domain, now);
        if !relay::is_watcher(&settings.instance, others, &neighbours) {
            SyncMode::Receiving
        } else if relay::is_small_deployment(others) {
            SyncMode::Direct
        } else {
            SyncMode::Relaying
        }
    }

    /// Waits for a relay and applies it; returns whether changes must be fetched from the store.
    async fn receive(&mut self, relays: &mut mpsc::Receiver<Relay>) -> bool {
        if self.gateway.now() >= self.last_read + RESYNC_INTERVAL {
            return true;
        }
        let limit = Duration::from_millis(RELAY_TIMEOUT);
        let Ok(Some(relay)) = timeout(limit, relays.recv()).await else {
            return true;
        };
        if relay.recovered {
            // Entries may have vanished only because they were not renewed while the store failed.
            let now = self.gateway.now();
            self.gateway.fleet().record_store_failure(now);
        }
        match relay.continue_from(self.revision) {
            Continuation::Known => false,
            Continuation::Gap => true,
            Continuation::Changes(changes, revision) => {
                self.gateway
                    .fleet()
                    .record_store_contact(self.gateway.now());
                self.apply_all(Changes { changes, revision });
                false
            }
        }
    }

    /// Waits for changes of the store and applies them, after relaying them in relaying mode.
    async fn watch(&mut self, mode: SyncMode) -> Result<(), KvError> {
        let wait = match mode {
            SyncMode::Receiving => NO_WAIT,
            SyncMode::Relaying => RELAY_WAIT,
            SyncMode::Direct => watch_wait(self.gateway.settings().contact_grace),
        };
        let changes = self
            .gateway
            .store
            .watch(ALL_KEYS, self.revision, wait)
            .await?;
        let recovered = !std::mem::replace(&mut self.store_ok, true);
        if recovered {
            info!(revision = self.revision; "store is back");
        }
        self.last_read = self.gateway.now();
        self.gateway.fleet().record_store_contact(self.last_read);
        if mode == SyncMode::Relaying {
            let mut relays = Relay::pack(self.revision, &changes);
            for relay in &mut relays {
                relay.recovered = recovered;
            }
            send_relays(&self.gateway, &self.socket, relays);
        }
        self.apply_all(changes);
        Ok(())
    }

    /// Applies changes in the order of their revisions.
    fn apply_all(&mut self, changes: Changes) {
        for change in changes.changes {
            apply(&self.gateway, change);
        }
        self.revision = changes.revision.max(self.revision);
    }
}

/// Returns the longest wait of a watch in direct mode, at least 500 ms.
///
/// `contact_grace` is the time after trouble with its connections for which an instance need not be
/// up to date. A watch without an answer may be on a connection that has silently failed: within
/// that time it must be detected as broken, and the next watch must have fetched the changes.
#[must_use]
pub fn watch_wait(contact_grace: Duration) -> Duration {
    contact_grace
        .saturating_sub(WATCH_GRACE + WATCH_RESERVE)
        .max(MIN_WATCH_WAIT)
}

/// Returns the pause between two watches in direct mode, which grows with the number of instances.
fn watch_pause(gateway: &Gateway) -> Duration {
    let pause = WATCH_PAUSE.mul_f64(1.0 + gateway.alive_peers() as f64 / PAUSE_SCALE);
    pause.min(gateway.settings().apply_limit.mul_f64(MAX_PAUSE_SHARE))
}

/// Records that a call to the store failed, and waits before the next one.
async fn record_failure(gateway: &Gateway, call: &str, error: &KvError) {
    let now = gateway.now();
    gateway.fleet().record_store_failure(now);
    warn!(call, error:% = error; "store in trouble");
    sleep(random_pause()).await;
}
