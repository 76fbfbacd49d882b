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
use crate::peers::pass_on;
use crate::relay::{self, Relay, SILENCE, Taken};
use crate::state::Gateway;

/// The start of all keys.
pub const ALL: &str = "";
/// Time for a pause, the next watch and its news, within what an instance is excused for.
const WATCH_RESERVE: Duration = Duration::from_secs(1);
/// Shortest wait of a watch.
const LEAST_WAIT: Duration = Duration::from_millis(500);
/// Longest wait of a watch whose news others wait for, so that they hear of it while nothing changes.
const RELAY_WAIT: Duration = Duration::from_millis(500);
/// Wait of a watch that only brings what is missing.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Pause between watches, in which news gather.
const WATCH_PAUSE: Duration = Duration::from_millis(300);
/// Number of instances that lengthen the pause by its own length, where all of them watch.
const WATCH_FLEET: f64 = 30.0;
/// Part of the time for a configuration that the pause may take.
const WATCH_PART: f64 = 0.33;
/// Time after which an instance reads the store itself although all is passed on to it, in
/// milliseconds: it finds what went wrong unnoticed.
const BACKSTOP: Millis = 20_000;
/// Relays that may wait.
const MAX_RELAYS: usize = 64;

/// A way for relays to reach the task that follows the store.
pub type RelaySender = mpsc::Sender<Relay>;

/// Creates the way for relays.
#[must_use]
pub fn relays() -> (RelaySender, mpsc::Receiver<Relay>) {
    mpsc::channel(MAX_RELAYS)
}

/// How an instance gets to know of the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    /// It watches the store for itself.
    Watch,
    /// It watches the store and passes the changes on.
    Share,
    /// It hears of them, and reads the store only where it does not.
    Hear,
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
    well: bool,
    /// When the store itself was last read.
    read: Millis,
}

/// Follows the store until the task is ended.
pub async fn follow(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    mut relays: mpsc::Receiver<Relay>,
) {
    let mut well = true;
    loop {
        let revision = match read_all(&gateway).await {
            Ok(revision) => revision,
            Err(error) => {
                trouble(&gateway, "read", &error).await;
                well = false;
                continue;
            }
        };
        let mut follower = Follower {
            gateway: gateway.clone(),
            socket: socket.clone(),
            revision,
            well,
            read: gateway.now(),
        };
        follower.run(&mut relays).await;
        well = follower.well;
    }
}

impl Follower {
    /// Follows the store until its history is gone.
    async fn run(&mut self, relays: &mut mpsc::Receiver<Relay>) {
        loop {
            let duty = self.duty();
            let pause = match duty {
                Duty::Hear => Duration::ZERO,
                Duty::Share => WATCH_PAUSE,
                Duty::Watch => watch_pause(&self.gateway),
            };
            let read = if duty != Duty::Hear || self.hear(relays).await {
                self.read(duty).await
            } else {
                Ok(())
            };
            match read {
                Ok(()) => sleep(pause).await,
                Err(KvError::Compacted) => {
                    info!(revision = self.revision; "history is gone, reading all keys");
                    return;
                }
                Err(error) => {
                    self.well = false;
                    trouble(&self.gateway, "watch", &error).await;
                }
            }
        }
    }

    /// Returns how this instance gets to know of changes now.
    fn duty(&self) -> Duty {
        let now = self.gateway.now();
        let settings = self.gateway.settings();
        let members = self.gateway.members();
        let others = members.count_alive(now);
        let neighbours = members.neighbours(&settings.domain, now);
        if !relay::watches(&settings.instance, others, &neighbours) {
            Duty::Hear
        } else if relay::is_small(others) {
            Duty::Watch
        } else {
            Duty::Share
        }
    }

    /// Waits for what others pass on and takes it; true where the store has to be read.
    async fn hear(&mut self, relays: &mut mpsc::Receiver<Relay>) -> bool {
        if self.gateway.now() >= self.read + BACKSTOP {
            return true;
        }
        let silence = Duration::from_millis(SILENCE);
        let Ok(Some(relay)) = timeout(silence, relays.recv()).await else {
            return true;
        };
        if relay.recovered {
            // What vanished may have vanished for want of the store alone.
            let now = self.gateway.now();
            self.gateway.fleet().note_trouble(now);
        }
        match relay.take(self.revision) {
            Taken::Known => false,
            Taken::Gap => true,
            Taken::Changes(changes, revision) => {
                self.gateway.fleet().note_heard(self.gateway.now());
                self.take(Changes { changes, revision });
                false
            }
        }
    }

    /// Reads what has changed, and passes it on if others wait for it.
    async fn read(&mut self, duty: Duty) -> Result<(), KvError> {
        let wait = match duty {
            Duty::Hear => NO_WAIT,
            Duty::Share => RELAY_WAIT,
            Duty::Watch => watch_wait(self.gateway.settings().excused),
        };
        let changes = self.gateway.store.watch(ALL, self.revision, wait).await?;
        let recovered = !std::mem::replace(&mut self.well, true);
        if recovered {
            info!(revision = self.revision; "store is back");
        }
        self.read = self.gateway.now();
        self.gateway.fleet().note_heard(self.read);
        if duty == Duty::Share {
            let mut relays = Relay::pack(self.revision, &changes);
            for relay in &mut relays {
                relay.recovered = recovered;
            }
            pass_on(&self.gateway, &self.socket, relays);
        }
        self.take(changes);
        Ok(())
    }

    /// Takes changes.
    fn take(&mut self, changes: Changes) {
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
        .max(LEAST_WAIT)
}

/// Returns the pause between two watches where all instances watch, in which news gather.
fn watch_pause(gateway: &Gateway) -> Duration {
    let pause = WATCH_PAUSE.mul_f64(1.0 + gateway.alive_peers() as f64 / WATCH_FLEET);
    pause.min(gateway.settings().apply.mul_f64(WATCH_PART))
}

/// Records trouble with the store and pauses.
async fn trouble(gateway: &Gateway, call: &str, error: &KvError) {
    let now = gateway.now();
    gateway.fleet().note_trouble(now);
    warn!(call, error:% = error; "store in trouble");
    sleep(random_pause()).await;
}
