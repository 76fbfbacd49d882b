//! The news of the store, read from it or passed on by another instance.

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

/// The start of all keys.
pub const ALL_KEYS: &str = "";
/// Time for a pause, the next watch and its news, within what an instance is excused for.
const WATCH_RESERVE: Duration = Duration::from_secs(1);
/// Shortest wait of a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Longest wait of a watch whose news others wait for, so that they hear of it while nothing changes.
const RELAY_WAIT: Duration = Duration::from_millis(500);
/// Wait of a watch that only brings what is missing.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Pause between watches, in which news gather.
const WATCH_PAUSE: Duration = Duration::from_millis(300);
/// Number of instances that lengthen the pause by its own length, where all of them watch.
const PAUSE_SCALE: f64 = 30.0;
/// Part of the time for a configuration that the pause may take.
const MAX_PAUSE_SHARE: f64 = 0.33;
/// Time after which an instance reads the store itself although all is passed on to it, in
/// milliseconds: it finds what went wrong unnoticed.
const RESYNC_INTERVAL: Millis = 20_000;
/// Relays that may wait.
const MAX_RELAYS: usize = 64;

/// A way for relays to reach the task that follows the store.
pub type RelaySender = mpsc::Sender<Relay>;

/// Creates the way for relays.
#[must_use]
pub fn relay_channel() -> (RelaySender, mpsc::Receiver<Relay>) {
    mpsc::channel(MAX_RELAYS)
}

/// How an instance gets to know of the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncMode {
    /// It watches the store for itself.
    Direct,
    /// It watches the store and passes the changes on.
    Relaying,
    /// It hears of them, and reads the store only where it does not.
    Receiving,
}

/// What an instance knows of the store.
#[derive(Debug)]
struct Follower {
    /// The instance.
    gateway: Arc<Gateway>,
    /// The socket for messages to the others.
    socket: Arc<UdpSocket>,
    /// The revision up to which all is known.
    revision: u64,
    /// Whether the last call succeeded.
    store_ok: bool,
    /// When the store itself was last read.
    last_read: Millis,
}

/// Follows the store until the task is ended.
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
    /// Follows the store until its history is gone.
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

    /// Returns how this instance gets to know of changes now.
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

    /// Waits for what others pass on and takes it; true where the store has to be read.
    async fn receive(&mut self, relays: &mut mpsc::Receiver<Relay>) -> bool {
        if self.gateway.now() >= self.last_read + RESYNC_INTERVAL {
            return true;
        }
        let limit = Duration::from_millis(RELAY_TIMEOUT);
        let Ok(Some(relay)) = timeout(limit, relays.recv()).await else {
            return true;
        };
        if relay.recovered {
            // What vanished may have vanished for want of the store alone.
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

    /// Reads what has changed, and passes it on if others wait for it.
    async fn watch(&mut self, mode: SyncMode) -> Result<(), KvError> {
        let wait = match mode {
            SyncMode::Receiving => NO_WAIT,
            SyncMode::Relaying => RELAY_WAIT,
            SyncMode::Direct => watch_wait(self.gateway.settings().excused),
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

    /// Takes changes.
    fn apply_all(&mut self, changes: Changes) {
        for change in changes.changes {
            apply(&self.gateway, change);
        }
        self.revision = changes.revision.max(self.revision);
    }
}

/// Returns the longest wait of a watch, where an instance is excused for a time after trouble.
///
/// A watch that hears nothing may stand on a connection that has gone silent. It must be known to
/// be broken, and the next one must bring the news, before the instance is held to them again.
#[must_use]
pub fn watch_wait(excused: Duration) -> Duration {
    excused
        .saturating_sub(WATCH_GRACE + WATCH_RESERVE)
        .max(MIN_WATCH_WAIT)
}

/// Returns the pause between two watches where all instances watch, in which news gather.
fn watch_pause(gateway: &Gateway) -> Duration {
    let pause = WATCH_PAUSE.mul_f64(1.0 + gateway.alive_peers() as f64 / PAUSE_SCALE);
    pause.min(gateway.settings().apply.mul_f64(MAX_PAUSE_SHARE))
}

/// Records trouble with the store and pauses.
async fn record_failure(gateway: &Gateway, call: &str, error: &KvError) {
    let now = gateway.now();
    gateway.fleet().record_store_failure(now);
    warn!(call, error:% = error; "store in trouble");
    sleep(random_pause()).await;
}
