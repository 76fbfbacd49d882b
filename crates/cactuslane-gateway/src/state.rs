//! The state that the tasks of an instance share.

mod guards;
mod knowledge;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_flight::budget::{USED_SHARE, WindowedRetryBudget, slack_share};
use cactuslane_flight::origin::StoredStreams;
use cactuslane_flight::routing_config::RoutingConfig;
use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, BegunStreams, EventIds, HeldLimits, OriginTable};
use cactuslane_held::Held;
use cactuslane_place::{CrashTracker, Load, Observation, Observed, PermitAnswer, Placer};
use cactuslane_platform::Settings;
use cactuslane_store::http::Client;
use cactuslane_store::kv::KvClient;
use cactuslane_types::{Millis, Position, ServiceName, SoftwareVersion, TargetId};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::admission::Admissions;
use crate::calls::PeerCalls;
use crate::duties::Duties;
use crate::fleet::Fleet;
use crate::leadership::{LeaderRecord, Leadership, SharedLeadership};
use crate::members::Members;
use crate::metrics::Metrics;
use crate::origins::reads::LastReads;
use crate::progress::Progress;
use crate::records::RecordsRead;
use crate::taken::TakenRequests;
use crate::upstream::ConnectionPool;
use crate::usage::book::Usage;

pub use self::guards::{CountGuard, LoadGuard};

/// Factor on the time-out of a route for the longest time since the beginning of a stream that a
/// caller takes up.
pub const STREAM_LIFETIME_FACTOR: u32 = 2;

/// Time between questions to one engine that turns requests away, in milliseconds.
const ASK_INTERVAL: Millis = 500;

/// State of one instance.
#[derive(Debug)]
pub struct Gateway {
    /// Settings in force, replaced as a whole by a reload.
    settings: Mutex<Arc<Settings>>,
    /// Time at which the instance's clock shows 0.
    clock_origin: Instant,
    /// Unix time of the start of the process, in milliseconds.
    pub started: u64,
    /// Routing configuration and targets.
    fleet: Mutex<Fleet>,
    /// How far the store is known, and whether that is older than [`Gateway::knowledge_limit`].
    progress: Mutex<Option<(Progress, bool)>>,
    /// Other instances, as known from the store and their messages.
    members: Mutex<Members>,
    /// Leadership: the right of one instance at a time to give orders to engines.
    leadership: SharedLeadership,
    /// Calls to the platform that the leader makes.
    pub duties: Arc<Duties>,
    /// Placer that chooses targets, with its records of load, caches and health.
    placer: Arc<Mutex<Placer>>,
    /// Requests that wait or are refused while the targets have too little room.
    pub admissions: Admissions,
    /// Crashes of targets, and the prompt parts that are held because of them.
    crashes: Mutex<CrashTracker>,
    /// Wakes the tasks that wait for a change of the held parts.
    pub held_changed: Notify,
    /// Requests for permits and trials that other instances have not answered yet.
    pub permit_calls: PeerCalls<PermitAnswer>,
    /// Queries for the versions of streams that other instances have not answered yet.
    pub origin_calls: PeerCalls<Option<SoftwareVersion>>,
    /// Queries for processes of targets that other instances have not answered yet.
    pub process_calls: PeerCalls<()>,
    /// Versions of the streams that have begun.
    origins: Mutex<OriginTable>,
    /// What streams showed of the event ids of their services.
    event_ids: Mutex<EventIds>,
    /// Streams that this instance began.
    begun: Mutex<BegunStreams>,
    /// Wakes the task that records these in the store.
    pub begun_changed: Notify,
    /// Wakes the task that lists the versions of streams in the store.
    pub versions_changed: Notify,
    /// How far the records of streams are known; locked while they are read.
    pub records_read: tokio::sync::Mutex<RecordsRead>,
    /// Last reads of the store for streams that are taken up; locked while others are made.
    pub take_up_reads: Arc<tokio::sync::Mutex<LastReads>>,
    /// Whether all records were read once.
    pub records_complete: AtomicBool,
    /// Socket for messages to the other instances, once it is bound.
    pub peer_socket: OnceLock<Arc<UdpSocket>>,
    /// Senders of messages that could not be read, with the reasons that were logged.
    unread_logged: Mutex<BTreeSet<(SocketAddr, &'static str)>>,
    /// Times at which engines that turned requests away were last asked for their state.
    asked: Mutex<BTreeMap<TargetId, Millis>>,
    /// Retry budgets by service.
    retry_budgets: Mutex<BTreeMap<ServiceName, WindowedRetryBudget>>,
    /// Idle connections to targets.
    pub pool: ConnectionPool,
    /// Client of the key-value store.
    pub store: KvClient,
    /// Position of this instance's own entry in the store; of revision 0 if it has none.
    entry: Mutex<Position>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Time at which the instance began to stop; `None` before.
    leaving: Mutex<Option<Instant>>,
    /// Connections, bodies and answers that are held for callers.
    pub held: Arc<Held>,
    /// Number of requests in progress.
    requests: Arc<AtomicUsize>,
    /// Number of open connections of callers.
    connections: Arc<AtomicUsize>,
    /// Client that passes requests on to other instances.
    pub helpers: Client,
    /// Requests of other instances' callers in progress, and the bytes of their bodies.
    pub taken: Arc<TakenRequests>,
    /// Counts of customers' requests, and the agreed time of day.
    pub usage: Usage,
    /// Time at which a placement was last previewed; `None` before.
    pub previewed: Mutex<Option<Millis>>,
}

impl Gateway {
    /// Creates the state of an instance that knows no configuration, targets or other instances.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let store = KvClient::open(settings.store, cactuslane_platform::store::codec());
        let placer = Placer::new(settings.domain.clone(), rand::random());
        let admissions = Admissions::default();
        let metrics = Metrics::new(&store.calls);
        let limits = HeldLimits::of_process(settings.memory, settings.descriptors);
        let held = Arc::new(Held::new(limits));
        metrics.add_refused(held.refused.clone());
        metrics.add_admissions(admissions.counts.clone());
        let mut fleet = Fleet::default();
        let clock_origin = Instant::now();
        let usage = Usage::new((settings.instance.clone(), started));
        fleet.set_fallback_period(settings.drain_limit);
        let leadership = SharedLeadership::new(&store);
        let duties = Duties::open(&settings, leadership.clone());
        metrics.add_duties(&duties);
        Self {
            settings: Mutex::new(Arc::new(settings)),
            clock_origin,
            started,
            fleet: Mutex::new(fleet),
            progress: Mutex::default(),
            members: Mutex::default(),
            leadership,
            duties: Arc::new(duties),
            placer: Arc::new(Mutex::new(placer)),
            admissions,
            crashes: Mutex::default(),
            held_changed: Notify::new(),
            permit_calls: PeerCalls::default(),
            origin_calls: PeerCalls::default(),
            process_calls: PeerCalls::default(),
            origins: Mutex::default(),
            event_ids: Mutex::default(),
            begun: Mutex::default(),
            begun_changed: Notify::new(),
            versions_changed: Notify::new(),
            records_read: tokio::sync::Mutex::default(),
            take_up_reads: Arc::default(),
            records_complete: AtomicBool::new(false),
            peer_socket: OnceLock::new(),
            unread_logged: Mutex::default(),
            asked: Mutex::default(),
            retry_budgets: Mutex::default(),
            pool: ConnectionPool::open(clock_origin),
            store,
            entry: Mutex::default(),
            metrics,
            leaving: Mutex::default(),
            held,
            requests: Arc::default(),
            connections: Arc::default(),
            // A kept connection may have failed silently, which a request that must not be repeated
            // would not survive.
            helpers: Client::open_unpooled(),
            taken: Arc::default(),
            usage,
            previewed: Mutex::default(),
        }
    }

    /// Returns the settings in force; a later reload does not change them.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        lock(&self.settings).clone()
    }

    /// Replaces the settings, except for the addresses to listen on: those that were bound at the
    /// start stay in force.
    pub fn reload(&self, mut settings: Settings) {
        let bound = self.settings();
        settings.front = bound.front;
        settings.ready = bound.ready;
        settings.directory = bound.directory;
        settings.peer = bound.peer;
        self.fleet().set_fallback_period(settings.drain_limit);
        self.duties.configure(settings.duties.clone());
        let limits = HeldLimits::of_process(settings.memory, settings.descriptors);
        self.held.set_limits(limits);
        *lock(&self.settings) = Arc::new(settings);
    }

    /// Returns the time on the instance's clock, in milliseconds since this state was created.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.elapsed().as_millis() as Millis
    }

    /// Returns the time on the instance's clock, since this state was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.clock_origin.elapsed()
    }

    /// Locks the routing configuration and the targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the records of the other instances.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Returns the number of other instances that sent a message recently and are not leaving.
    #[must_use]
    pub fn alive_peers(&self) -> usize {
        self.members().count_alive(self.now())
    }

    /// Locks the leadership.
    pub fn leadership(&self) -> MutexGuard<'_, Leadership> {
        self.leadership.lock()
    }

    /// Returns the position of this instance's own entry in the store, as this process last wrote it.
    #[must_use]
    pub fn entry_position(&self) -> Position {
        *lock(&self.entry)
    }

    /// Records the position at which this process wrote its own entry in the store.
    pub fn record_entry(&self, position: Position) {
        *lock(&self.entry) = position;
    }

    /// Returns the record that names this process as the leader.
    #[must_use]
    pub fn leader_record(&self) -> LeaderRecord {
        LeaderRecord {
            instance: self.settings().instance.clone(),
            started: self.started,
        }
    }

    /// Locks the placer.
    pub fn placer(&self) -> MutexGuard<'_, Placer> {
        lock(&self.placer)
    }

    /// Locks the records of crashes.
    pub fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.crashes)
    }

    /// Locks the versions of the streams that have begun.
    pub fn origins(&self) -> MutexGuard<'_, OriginTable> {
        lock(&self.origins)
    }

    /// Locks what streams showed of the event ids of their services.
    pub fn event_ids(&self) -> MutexGuard<'_, EventIds> {
        lock(&self.event_ids)
    }

    /// Locks the streams that this instance began.
    pub fn begun(&self) -> MutexGuard<'_, BegunStreams> {
        lock(&self.begun)
    }

    /// Locks the senders whose unreadable messages were logged, with the reasons.
    pub fn unread_logged(&self) -> MutexGuard<'_, BTreeSet<(SocketAddr, &'static str)>> {
        lock(&self.unread_logged)
    }

    /// Returns whether an engine that turned a request away may be asked for its state, which is so
    /// once in [`ASK_INTERVAL`].
    #[must_use]
    pub fn may_ask(&self, target: &str) -> bool {
        let now = self.now();
        let mut asked = lock(&self.asked);
        asked.retain(|_, at| now < *at + ASK_INTERVAL);
        if asked.contains_key(target) {
            return false;
        }
        asked.insert(target.to_owned(), now);
        true
    }

    /// Returns the longest time since the beginning of a stream that a caller takes up.
    #[must_use]
    pub fn stream_lifetime(&self) -> Duration {
        let config = self.routing_config();
        let timeout = config.map_or(Duration::ZERO, |config| config.stream_timeout());
        timeout * STREAM_LIFETIME_FACTOR
    }

    /// Returns the streams that this instance began and whose versions the store is to keep, as
    /// their services have several.
    #[must_use]
    pub fn stored_streams(&self) -> StoredStreams {
        let (lifetime, now) = (self.stream_lifetime(), self.now());
        let fleet = self.fleet();
        let is_mixed = |service: &str| fleet.is_mixed(service, lifetime, now);
        self.begun().stored(lifetime, is_mixed, now)
    }

    /// Returns the routing configuration in force; `None` until one was read.
    #[must_use]
    pub fn routing_config(&self) -> Option<Arc<RoutingConfig>> {
        self.fleet().routing_config()
    }

    /// Returns a target if it accepts new requests.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<Target> {
        let now = self.now();
        self.fleet().target(id, now).cloned()
    }

    /// Returns whether the instance has begun to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        lock(&self.leaving).is_some()
    }

    /// Returns whether the instance accepts new callers: it is configured and not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routing_config().is_some()
    }

    /// Records that the instance begins to stop.
    pub fn leave(&self) {
        self.leadership().leave();
        lock(&self.leaving).get_or_insert_with(Instant::now);
    }

    /// Returns the time since the instance began to stop; `None` before.
    #[must_use]
    pub fn since_stop(&self) -> Option<Duration> {
        Some((*lock(&self.leaving))?.elapsed())
    }

    /// Returns the number of requests in progress, with the streams that are being forwarded.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections of callers.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn count_request(&self) -> CountGuard {
        CountGuard::new(&self.requests)
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub fn count_connection(&self) -> CountGuard {
        CountGuard::new(&self.connections)
    }

    /// Counts a request in its service's retry budget, which allows retries in proportion to the
    /// requests.
    pub fn record_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes a retry from a service's budget; returns false if none is left.
    #[must_use]
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.try_take(now))
    }

    /// Records in the placer that an attempt at a target ended without an answer to the request.
    pub fn record_failure(&self, target: &str, ending: AttemptFailure) {
        let now = self.now();
        if ending == AttemptFailure::Rejected {
            self.placer().rejected(target, now);
        } else {
            self.placer().failed(target, now);
        }
    }

    /// Queues an observation of a target for sending to the other instances.
    pub fn queue_observation(&self, target: &Target, observed: Observed) {
        self.placer().observations.add(Observation {
            target: target.id.clone(),
            started_at: target.started_at,
            observed,
        });
    }

    /// Records load of this instance at a target until the guard is dropped.
    #[must_use]
    pub fn track_load(&self, target: &str, load: Load) -> LoadGuard {
        self.placer().load_view.add(target, load);
        LoadGuard {
            placer: self.placer.clone(),
            target: target.to_owned(),
            load,
        }
    }

    /// Accesses the retry budget of a service, with this instance's current share of the slack, the
    /// retries that are allowed beyond the ratio.
    fn with_budget<T>(
        &self,
        service: &str,
        action: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let settings = self.settings();
        let sharers = self.members().instance_count();
        let window = settings.retry_window.as_millis() as Millis;
        let slack = slack_share(settings.retry_slack, sharers, self.now(), window);
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(service.to_owned()).or_insert_with(|| {
            WindowedRetryBudget::new(settings.retry_ratio * USED_SHARE, slack, window)
        });
        budget.set_slack(slack);
        action(budget)
    }
}

/// Locks a mutex, also if another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
