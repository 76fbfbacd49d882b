//! The state that all tasks of an instance share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_flight::AttemptFailure;
use cactuslane_flight::budget::{USED_SHARE, WindowedRetryBudget, slack_share};
use cactuslane_flight::routing_config::RoutingConfig;
use cactuslane_flight::target::Target;
use cactuslane_place::{Load, Placer};
use cactuslane_platform::Settings;
use cactuslane_store::kv::KvClient;
use cactuslane_types::{Millis, ServiceName, TargetId};
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::office::{Holder, Office};
use crate::upstream::ConnectionPool;

/// The state of one instance.
#[derive(Debug)]
pub struct Gateway {
    /// The settings in force.
    settings: Mutex<Arc<Settings>>,
    /// The origin of the instance's clock.
    clock_origin: Instant,
    /// The start of the process, in Unix milliseconds.
    pub started: u64,
    /// The configuration and the targets.
    fleet: Mutex<Fleet>,
    /// The other instances.
    members: Mutex<Members>,
    /// The office of the instance that gives orders.
    office: Mutex<Office>,
    /// The choice of targets.
    placer: Mutex<Placer>,
    /// The budgets of repeated sends by service.
    retry_budgets: Mutex<BTreeMap<ServiceName, WindowedRetryBudget>>,
    /// The connections to targets.
    pub pool: ConnectionPool,
    /// The client of the store.
    pub store: KvClient,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The time since which the instance is leaving.
    leaving: Mutex<Option<Instant>>,
    /// The requests under way.
    requests: AtomicUsize,
    /// The open connections of callers.
    connections: AtomicUsize,
}

impl Gateway {
    /// Creates the state of an instance.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let store = KvClient::open(settings.store, cactuslane_platform::store::codec());
        let placer = Placer::new(settings.domain.clone(), rand::random());
        let metrics = Metrics::new(&store.calls);
        let mut fleet = Fleet::default();
        fleet.set_hold(settings.drain);
        Self {
            settings: Mutex::new(Arc::new(settings)),
            clock_origin: Instant::now(),
            started,
            fleet: Mutex::new(fleet),
            members: Mutex::default(),
            office: Mutex::default(),
            placer: Mutex::new(placer),
            retry_budgets: Mutex::default(),
            pool: ConnectionPool::default(),
            store,
            metrics,
            leaving: Mutex::default(),
            requests: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        }
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        lock(&self.settings).clone()
    }

    /// Puts new settings in force; addresses that are bound stay as they are.
    pub fn reload(&self, settings: Settings) {
        self.fleet().set_hold(settings.drain);
        *lock(&self.settings) = Arc::new(settings);
    }

    /// Returns the time on the instance's clock, in milliseconds.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock_origin.elapsed().as_millis() as Millis
    }

    /// Locks the configuration and the targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the other instances.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Returns the number of other instances that were heard lately.
    #[must_use]
    pub fn others(&self) -> usize {
        self.members().count_alive(self.now())
    }

    /// Locks the office of the instance that gives orders.
    pub fn office(&self) -> MutexGuard<'_, Office> {
        lock(&self.office)
    }

    /// Returns this process as a holder of the office.
    #[must_use]
    pub fn holder(&self) -> Holder {
        Holder {
            instance: self.settings().instance.clone(),
            started: self.started,
        }
    }

    /// Locks the choice of targets.
    pub fn placer(&self) -> MutexGuard<'_, Placer> {
        lock(&self.placer)
    }

    /// Returns the configuration in force, if one is known.
    #[must_use]
    pub fn document(&self) -> Option<Arc<RoutingConfig>> {
        self.fleet().document()
    }

    /// Returns a target that takes new work.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<Target> {
        let now = self.now();
        self.fleet().target(id, now).cloned()
    }

    /// Returns whether the instance is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        lock(&self.leaving).is_some()
    }

    /// Returns whether the instance takes new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.document().is_some()
    }

    /// Starts to leave.
    pub fn leave(&self) {
        lock(&self.leaving).get_or_insert_with(Instant::now);
    }

    /// Returns the time since the instance was told to stop, if it was.
    #[must_use]
    pub fn since_stop(&self) -> Option<Duration> {
        Some((*lock(&self.leaving))?.elapsed())
    }

    /// Returns the number of requests under way.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections of callers.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> CountGuard {
        CountGuard::new(self.clone(), |gateway| &gateway.requests)
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn count_connection(self: &Arc<Self>) -> CountGuard {
        CountGuard::new(self.clone(), |gateway| &gateway.connections)
    }

    /// Counts a request for a service in its budget of repeated sends.
    pub fn record_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes a repeated send from a service's budget; false if none is left.
    #[must_use]
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.try_take(now))
    }

    /// Records that an attempt at a target ended without an answer to the request.
    pub fn record_failure(&self, target: &str, ending: AttemptFailure) {
        let now = self.now();
        if ending == AttemptFailure::Rejected {
            self.placer().rejected(target, now);
        } else {
            self.placer().failed(target, now);
        }
    }

    /// Records work at a target until the guard is dropped.
    #[must_use]
    pub fn track_load(self: &Arc<Self>, target: &str, load: Load) -> LoadGuard {
        self.placer().load_view.add(target, load);
        LoadGuard {
            gateway: self.clone(),
            target: target.to_owned(),
            load,
        }
    }

    /// Uses the budget of a service with this instance's part of what all share.
    fn with_budget<T>(
        &self,
        service: &str,
        action: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let settings = self.settings();
        let sharers = self.members().sharers();
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

/// Counts something until it is dropped.
#[derive(Debug)]
pub struct CountGuard {
    /// The instance.
    gateway: Arc<Gateway>,
    /// Returns the counter.
    counter: fn(&Gateway) -> &AtomicUsize,
}

impl CountGuard {
    /// Adds one to a counter.
    fn new(gateway: Arc<Gateway>, counter: fn(&Gateway) -> &AtomicUsize) -> Self {
        counter(&gateway).fetch_add(1, Ordering::Relaxed);
        Self { gateway, counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.gateway).fetch_sub(1, Ordering::Relaxed);
    }
}

/// Work at a target, which is taken away when the guard is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    /// The instance.
    gateway: Arc<Gateway>,
    /// The target.
    target: TargetId,
    /// The work.
    load: Load,
}

impl LoadGuard {
    /// Records that the prompt is computed.
    pub fn prompt_done(&mut self) {
        if self.load.prompt_tokens == 0 {
            return;
        }
        let done = Load {
            prompt_tokens: self.load.prompt_tokens,
            ..Load::default()
        };
        self.load.prompt_tokens = 0;
        self.gateway.placer().load_view.remove(&self.target, done);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.gateway
            .placer()
            .load_view
            .remove(&self.target, self.load);
    }
}

/// Locks a value; a panic elsewhere does not make it unusable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
