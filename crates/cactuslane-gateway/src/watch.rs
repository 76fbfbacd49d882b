//! Tracking of the store's changes, by watching it or by relays of other instances.

mod fetch;

use std::sync::Arc;
use std::time::Duration;

use cactuslane_platform::store::CONFIG_KEY;
use cactuslane_store::kv::{Change, KeyRead, KvError, WATCH_GRACE};
use cactuslane_types::{Era, Millis};
use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::backoff::{Backoff, FIRST_PAUSE, backoff_factor, random_pause};
use crate::control::{apply, read_all};
use crate::progress::Progress;
use crate::ranking::is_small_deployment;
use crate::records;
use crate::relay::{self, Continuation, READ_TIME, Relay};
use crate::state::Gateway;

/// The prefix of all keys.
const ALL_KEYS: &str = "";
/// Lower bound of the time that [`watch_wait`] returns.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(500);
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

/// A relay that has arrived from another instance.
#[derive(Debug)]
pub struct ReceivedRelay {
    /// The era in which its sender read the changes.
    pub era: Era,
    /// The changes.
    pub relay: Relay,
    /// The time of its arrival, on the instance's clock.
    pub arrival: Millis,
}

/// The sender of received relays to the task that tracks the store.
pub type RelaySender = mpsc::Sender<ReceivedRelay>;

/// Creates the channel for received relays.
#[must_use]
pub fn relay_channel() -> (RelaySender, mpsc::Receiver<ReceivedRelay>) {
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
    /// It receives relays, but none arrived in time: it calls the store once and relays the changes
    /// to its failure domain.
    StandingIn,
}

impl SyncMode {
    /// Returns whether relays of other instances are applied.
    fn receives(self) -> bool {
        matches!(self, Self::Receiving | Self::StandingIn)
    }

    /// Returns whether the changes that were read are relayed.
    fn relays(self) -> bool {
        matches!(self, Self::Relaying | Self::StandingIn)
    }
}

/// What an instance that receives relays fetches from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fetch {
    /// Nothing.
    Nothing,
    /// The changes that it lacks.
    Missing,
    /// The changes that it lacks, which it relays, as no relays arrive.
    Relayed,
}

/// The tracking of the store's changes by an instance.
#[derive(Debug)]
struct Follower {
    /// The state of the instance, to which changes are applied.
    gateway: Arc<Gateway>,
    /// The socket from which relays are sent.
    socket: Arc<UdpSocket>,
    /// How far the changes are known.
    progress: Progress,
    /// Whether the last call to the store succeeded.
    store_ok: bool,
    /// The pauses after failed calls.
    backoff: Backoff,
    /// The time before which an instance that receives relays does not call the store again, on its
    /// clock.
    retry_at: Millis,
    /// The time of this instance's own last successful read or watch of the store, on its clock.
    last_read: Millis,
    /// The read of the document that is in progress, if any, with the time at which it began.
    document: JoinSet<Result<(KeyRead, Millis), KvError>>,
}

/// Reads all keys and then tracks the store's changes, until the task is aborted.
pub async fn follow(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    mut relays: mpsc::Receiver<ReceivedRelay>,
) {
    let mut store_ok = true;
    let mut backoff = Backoff::default();
    loop {
        let asked = gateway.now();
        let position = match read_all(&gateway).await {
            Ok(position) => position,
            Err(error) => {
                sleep(record_failure(&gateway, "read", &error, &mut backoff)).await;
                store_ok = false;
                continue;
            }
        };
        // Nothing but streams that are taken up waits for the records.
        let reader = gateway.clone();
        tokio::spawn(async move {
            if let Err(error) = records::read_new(&reader).await {
                warn!(error:% = error; "records of streams not read");
            }
        });
        let mut follower = Follower {
            gateway: gateway.clone(),
            socket: socket.clone(),
            progress: Progress::at(position, asked),
            store_ok,
            backoff: Backoff::default(),
            retry_at: 0,
            last_read: gateway.now(),
            document: JoinSet::new(),
        };
        follower.run(&mut relays).await;
        store_ok = follower.store_ok;
        backoff = follower.backoff;
    }
}

impl Follower {
    /// Tracks the store's changes until those after the known position are not available any more,
    /// as they have been compacted or the store is in a new era.
    async fn run(&mut self, relays: &mut mpsc::Receiver<ReceivedRelay>) {
        let mut eras = self.gateway.store.subscribe_era();
        loop {
            self.gateway.observe_progress(&self.progress);
            let era = *eras.borrow_and_update();
            if era > self.progress.era {
                let revision = self.progress.position().revision;
                info!(revision, era; "new era of the store, reading all keys");
                self.spread_reads().await;
                return;
            }
            let mode = self.sync_mode();
            let pause = match mode {
                SyncMode::Receiving | SyncMode::StandingIn => Duration::ZERO,
                SyncMode::Relaying => WATCH_PAUSE,
                SyncMode::Direct => direct_pause(&self.gateway),
            };
            let result = tokio::select! {
                result = self.step(mode, relays) => result,
                // Another call to the store has shown it.
                Ok(()) = eras.changed() => continue,
            };
            match result {
                Ok(()) => sleep(pause).await,
                Err(KvError::Compacted) => {
                    if self.gateway.store.era() > self.progress.era {
                        continue;
                    }
                    let revision = self.progress.position().revision;
                    info!(revision; "history is gone, reading all keys");
                    return;
                }
                Err(error) => {
                    self.store_ok = false;
                    let pause = record_failure(&self.gateway, "watch", &error, &mut self.backoff);
                    if mode == SyncMode::Receiving {
                        // Relays are received meanwhile.
                        self.retry_at = self.gateway.now() + pause.as_millis() as Millis;
                    } else {
                        sleep(pause).await;
                    }
                }
            }
        }
    }

    /// Waits for changes once, from the store or another instance, and applies them.
    async fn step(
        &mut self,
        mode: SyncMode,
        relays: &mut mpsc::Receiver<ReceivedRelay>,
    ) -> Result<(), KvError> {
        if mode != SyncMode::Receiving {
            // Relays of the other instance that watches the store.
            while relays.try_recv().is_ok() {}
            return self.watch(mode, relays).await;
        }
        let may_call = self.gateway.now() >= self.retry_at;
        if may_call && self.document.is_empty() && self.progress.lacks_document() {
            info!(wanted = self.progress.wanted, known = self.progress.document; "reading the document");
            let (store, asked) = (self.gateway.store.clone(), self.gateway.now());
            self.document
                .spawn(async move { Ok((store.get(CONFIG_KEY).await?, asked)) });
        }
        let mode = match self.receive(relays).await? {
            Fetch::Nothing => return Ok(()),
            Fetch::Missing => mode,
            Fetch::Relayed => SyncMode::StandingIn,
        };
        if self.document.is_empty() {
            self.watch(mode, relays).await
        } else {
            self.watch_entries(mode).await
        }
    }

    /// Waits for a random time before all keys are read in a new era, as all instances of a large
    /// deployment do so at the same time.
    async fn spread_reads(&self) {
        let others = self.gateway.alive_peers();
        if !is_small_deployment(others) {
            sleep(random_pause().mul_f64(backoff_factor(others))).await;
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
        } else if is_small_deployment(others) {
            SyncMode::Direct
        } else {
            SyncMode::Relaying
        }
    }

    /// Returns the age of the entries at which this instance reads the store itself if it receives
    /// relays.
    fn relay_timeout(&self) -> Millis {
        let settings = self.gateway.settings();
        let members = self.gateway.members();
        let neighbours = members.alive_in_domain(&settings.domain, self.gateway.now());
        drop(members);
        let limit = self.gateway.knowledge_limit();
        relay::relay_timeout(&settings.instance, &neighbours, limit)
    }

    /// Waits for a relay or the document and applies it; returns which other changes must be
    /// fetched from the store.
    async fn receive(
        &mut self,
        relays: &mut mpsc::Receiver<ReceivedRelay>,
    ) -> Result<Fetch, KvError> {
        let now = self.gateway.now();
        let may_call = now >= self.retry_at;
        if may_call && now >= self.last_read + RESYNC_INTERVAL {
            return Ok(Fetch::Missing);
        }
        let age = now.saturating_sub(self.progress.entries_seen);
        let timeout_ms = self.relay_timeout();
        let wait = timeout_ms
            .saturating_sub(age)
            .max(self.retry_at.saturating_sub(now));
        let limit = Duration::from_millis(wait);
        tokio::select! {
            Some(read) = self.document.join_next() => {
                let read = read.unwrap_or_else(|error| Err(KvError::Lost(error.to_string())));
                let (read, asked) = read?;
                if read.position.era != self.progress.era {
                    return Err(KvError::Compacted);
                }
                if let Some(item) = read.item {
                    apply(&self.gateway, Change::Written(item));
                }
                self.progress.record_document(read.position.revision, asked);
                Ok(Fetch::Nothing)
            }
            received = timeout(limit, relays.recv()) => {
                let Ok(Some(received)) = received else {
                    info!(age, timeout_ms; "no relay in time, reading the store for the others too");
                    return Ok(Fetch::Relayed);
                };
                let (era, from, to) = (received.era, received.relay.from, received.relay.to);
                let is_missing = self.apply_relay(received);
                let may_call = self.gateway.now() >= self.retry_at;
                if is_missing {
                    let known = self.progress.entries;
                    info!(known, era, from, to, age, may_call; "relay leaves a gap");
                }
                Ok(if is_missing && may_call { Fetch::Missing } else { Fetch::Nothing })
            }
        }
    }

    /// Applies a relay; returns whether changes before it must be fetched from the store.
    fn apply_relay(&mut self, received: ReceivedRelay) -> bool {
        let ReceivedRelay {
            era,
            relay,
            arrival,
        } = received;
        let known = self.progress.position_at(self.progress.entries);
        if relay.recovered {
            // Entries may have vanished only because they were not renewed while the store failed.
            let now = self.gateway.now();
            self.gateway.fleet().record_store_failure(now);
        }
        let seen = arrival.saturating_sub(relay.age);
        let (range, to) = (relay.document, relay.to);
        match relay.continue_from(era, known) {
            Continuation::Known if era < known.era => return false,
            Continuation::Known => {}
            // The watch that follows shows the later era, in which all keys are read again.
            Continuation::Gap if era > known.era => return true,
            Continuation::Gap => {
                self.progress.want_document(range.missing);
                return true;
            }
            Continuation::Changes(changes, _) => {
                self.gateway
                    .fleet()
                    .record_store_contact(self.gateway.now());
                for change in changes {
                    apply(&self.gateway, change);
                }
            }
        }
        self.progress.record_relay(to, range, seen);
        false
    }
}

/// Returns the longest wait of a watch in direct mode, at least 500 ms; `pause` is that between two
/// watches.
///
/// `contact_grace` is the time after trouble with its connections for which an instance need not be
/// up to date. The connection of the next watch may have silently failed in that trouble: within
/// that time this watch must have begun and be detected as broken, and the one after it must have
/// fetched the changes. [`record_failure`] sees to it that this one has a new connection.
#[must_use]
pub fn watch_wait(contact_grace: Duration, pause: Duration) -> Duration {
    let read = Duration::from_millis(READ_TIME);
    contact_grace
        .saturating_sub(pause + WATCH_GRACE + FIRST_PAUSE + read)
        .max(MIN_WATCH_WAIT)
}

/// Returns the pause between two watches in direct mode, which grows with the number of other
/// instances; `apply_limit` is the time in which a configuration must be in force.
#[must_use]
pub fn watch_pause(others: usize, apply_limit: Duration) -> Duration {
    let pause = WATCH_PAUSE.mul_f64(1.0 + others as f64 / PAUSE_SCALE);
    pause.min(apply_limit.mul_f64(MAX_PAUSE_SHARE))
}

/// Returns the pause between two watches of an instance in direct mode.
fn direct_pause(gateway: &Gateway) -> Duration {
    watch_pause(gateway.alive_peers(), gateway.settings().apply_limit)
}

/// Records that a call to the store failed, and returns the pause before the next one, which has a
/// new connection: others may have gone silent in the same trouble, or do so during the pause, and
/// each would cost a call its whole time.
fn record_failure(
    gateway: &Gateway,
    call: &str,
    error: &KvError,
    backoff: &mut Backoff,
) -> Duration {
    let now = gateway.now();
    gateway.fleet().record_store_failure(now);
    gateway.store.close_idle();
    let pause = backoff.pause(error, rand::random());
    warn!(call, error:% = error, pause_ms = pause.as_millis() as u64; "store in trouble");
    pause
}
