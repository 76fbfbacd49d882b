//! Counts of customers' requests: what this instance counts, sends and receives.
//!
//! Nothing is counted or sent unless usage is to be reported and the configuration has customers.

pub mod book;
pub mod spread;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_authority::usage::Window;
use cactuslane_authority::{AgreedClock, UsageBook, UsageUpdate};
use cactuslane_flight::AttemptFailure;
use cactuslane_types::{InstanceId, Millis};
use log::{info, warn};
use rand::seq::SliceRandom;
use tokio::time::{Instant, MissedTickBehavior, interval};

use self::spread::Sending;
use crate::request::CallerRequest;
use crate::sending;
use crate::state::Gateway;

/// Interval at which counts that have changed are sent.
const INTERVAL: Duration = Duration::from_millis(500);
/// Number of ticks after which the time of day is told to some instances.
const TIME_TICKS: u64 = 4;
/// Number of ticks after the start at each of which it is told.
const FIRST_TIME_TICKS: u64 = 10;
/// Number of instances that are told the time of day.
const TOLD_PEERS: usize = 5;
/// Change of the agreed time of day from which on it is logged, in milliseconds.
const LOGGED_CHANGE: u64 = 200;

/// Guard of an attempt at a target without a model, which counts its run when the head of an answer shows
/// it, and else when the attempt ends.
///
/// If it is dropped before, the request was given up, and counts as begun when it was sent.
#[derive(Debug)]
pub struct RunGuard<'a> {
    /// State of the instance.
    gateway: &'a Gateway,
    /// The request.
    request: &'a CallerRequest,
    /// Time at which it is sent, in Unix milliseconds.
    sent: Millis,
    /// Time at which it is sent.
    began: Instant,
    /// Whether its run is counted, or none is to be counted.
    settled: AtomicBool,
}

impl Gateway {
    /// Locks the counts of customers' requests.
    pub fn usage(&self) -> MutexGuard<'_, UsageBook> {
        lock(&self.usage.book)
    }

    /// Returns the time of day on which the instances agree, in Unix milliseconds; it does not
    /// follow a jump of this instance's clock.
    #[must_use]
    pub fn unix_now(&self) -> Millis {
        self.with_clock(|clock| clock.unix_at(self.elapsed()))
    }

    /// Calls a function with the agreed clock, which is created if there is none.
    fn with_clock<T>(&self, action: impl FnOnce(&mut AgreedClock) -> T) -> T {
        let mut clock = lock(&self.usage.clock);
        action(clock.get_or_insert_with(|| AgreedClock::with_offset(self.own_offset())))
    }

    /// Returns the difference between the time of day by the own clock and the steady clock, in
    /// microseconds.
    fn own_offset(&self) -> i64 {
        let read = || {
            let before = self.elapsed();
            let unix = SystemTime::now().duration_since(UNIX_EPOCH);
            let taken = self.elapsed().saturating_sub(before);
            let unix = unix.unwrap_or_default().as_micros() as i64;
            (taken, unix - before.as_micros() as i64)
        };
        // Between two readings the thread may have to wait, hence the shortest of a few.
        let readings = [read(), read(), read()];
        let shortest = readings.into_iter().min();
        shortest.map_or(0, |(_, offset)| offset)
    }
}

impl<'a> RunGuard<'a> {
    /// Creates the guard of an attempt that is sent now.
    #[must_use]
    pub fn new(gateway: &'a Gateway, request: &'a CallerRequest) -> Self {
        Self {
            gateway,
            request,
            sent: gateway.unix_now(),
            began: Instant::now(),
            settled: AtomicBool::new(false),
        }
    }

    /// Counts the run as the head of its answer arrives: the body may follow much later.
    pub fn answered(&self) {
        let elapsed = self.began.elapsed().as_secs_f64() * 1000.0;
        let mut runs = lock(&self.gateway.usage.runs);
        let before_answer = runs.observe(&self.request.service, elapsed);
        drop(runs);
        self.count(self.sent + (elapsed - before_answer) as Millis);
    }

    /// Counts the run, if it is not counted yet, unless the attempt ended so that the target cannot have
    /// begun it.
    pub fn end(&self, ending: Option<AttemptFailure>) {
        match ending {
            Some(AttemptFailure::Unsent | AttemptFailure::Rejected) => {
                self.settled.store(true, Ordering::Relaxed);
            }
            _ => self.count(self.sent),
        }
    }

    /// Counts the run as begun at a time of day, unless it is settled.
    fn count(&self, at: Millis) {
        if !self.settled.swap(true, Ordering::Relaxed) {
            count_run(self.gateway, self.request, at);
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.count(self.sent);
    }
}

/// Counts a request that began to run at a time of day, in Unix milliseconds.
pub fn count_run(gateway: &Gateway, request: &CallerRequest, at: Millis) {
    if let Some(customer) = &request.customer {
        // The first requests run before the first tick.
        activate(gateway);
        gateway.usage().record(customer, at);
        gateway.metrics.count_run(customer);
    }
}

/// Sends counts to the instances that collect them, and tells others the time of day, until the task
/// is aborted.
pub async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number: u64 = 0;
    let mut logged = None;
    loop {
        ticks.tick().await;
        if !activate(&gateway) {
            continue;
        }
        number += 1;
        let now = gateway.now();
        let own = gateway.own_offset();
        let (change, agreed, samples) = gateway.with_clock(|clock| {
            let change = clock.update_offset(own, now);
            (change, clock.unix(now), clock.sample_count())
        });
        if change.unsigned_abs() >= LOGGED_CHANGE {
            let own_ahead_ms = own_unix() as i64 - agreed as i64;
            warn!(change_ms = change, own_ahead_ms, samples; "the agreed time of day has changed");
        }
        log_counted(&gateway, &mut logged, agreed);
        send_counts(&gateway);
        if number < FIRST_TIME_TICKS || number.is_multiple_of(TIME_TICKS) {
            tell_time(&gateway);
        }
    }
}

/// Sends the counts that have changed, as the instance stops.
pub fn flush(gateway: &Gateway) {
    if !activate(gateway) {
        return;
    }
    send_counts(gateway);
    let receivers = lock(&gateway.usage.spread).receivers();
    let unix_now = gateway.unix_now();
    let book = gateway.usage();
    let window = book.window_of(unix_now);
    let requests = book.own_total(window);
    drop(book);
    info!(window, requests, receivers:?; "usage counts sent by a process that stops");
}

/// Applies another instance's update.
///
/// One of an instance that is not known is skipped once all have ended that deleted their entries before this one
/// started; the time that it states is not used.
pub fn apply(gateway: &Gateway, update: &UsageUpdate) {
    if !activate(gateway) {
        return;
    }
    let is_known = gateway.members().is_known(&update.sender);
    if !is_known && gateway.elapsed() > gateway.settings().grace {
        return;
    }
    if is_known {
        let now = gateway.now();
        gateway.with_clock(|clock| clock.record(&update.sender, update.unix_time, now));
    }
    let unix_now = gateway.unix_now();
    gateway
        .usage()
        .apply(&update.process, &update.windows, unix_now);
}

/// Brings the length of the windows in line with settings and configuration; returns whether usage is
/// counted.
fn activate(gateway: &Gateway) -> bool {
    let settings = gateway.settings();
    let usage = settings.duties.as_ref().and_then(|duties| duties.usage);
    let has_customers = || {
        let config = gateway.routing_config();
        config.is_some_and(|config| config.customers.is_some())
    };
    let length = usage.filter(|_| has_customers()).map(|usage| usage.window);
    if gateway.usage().set_length(length) {
        let window_ms = length.map(|length| length.as_millis() as Millis);
        let unix_ms = gateway.unix_now();
        info!(window_ms:? = window_ms, unix_ms; "counting of customers' requests has changed");
    }
    length.is_some()
}

/// Logs what this instance counted in the last window, once it is over for a tick.
fn log_counted(gateway: &Gateway, logged: &mut Option<Window>, agreed: Millis) {
    let interval = INTERVAL.as_millis() as Millis;
    let book = gateway.usage();
    let window = book.window_of(agreed.saturating_sub(interval));
    let last = logged.replace(window);
    if let Some(last) = last.filter(|last| *last < window) {
        let requests = book.own_total(last);
        drop(book);
        info!(window = last, requests; "requests of a window of usage counted");
    }
}

/// Sends the counts that are due.
fn send_counts(gateway: &Gateway) {
    let (alive, spare) = {
        let (members, now) = (gateway.members(), gateway.now());
        (members.alive_processes(now), members.spare_processes(now))
    };
    let leader = gateway.leadership().leader().cloned();
    let unix_now = gateway.unix_now();
    let sendings = {
        let mut spread = lock(&gateway.usage.spread);
        let mut book = gateway.usage();
        spread.tick(&mut book, &alive, &spare, leader.as_ref(), unix_now)
    };
    for Sending {
        to,
        process,
        windows,
    } in sendings
    {
        if process.0 != gateway.settings().instance {
            info!(process = process.0, to:? = to; "usage counts of a process that is gone passed on");
        }
        let update = UsageUpdate {
            sender: gateway.settings().instance.clone(),
            unix_time: own_unix(),
            process,
            windows,
        };
        sending::send_usage(gateway, update, &to);
    }
}

/// Tells some other instances the time of day by the own clock.
fn tell_time(gateway: &Gateway) {
    let mut told: Vec<InstanceId> = gateway.members().alive(gateway.now());
    told.shuffle(&mut rand::rng());
    told.truncate(TOLD_PEERS);
    let update = UsageUpdate {
        sender: gateway.settings().instance.clone(),
        unix_time: own_unix(),
        process: gateway.usage().own().clone(),
        windows: Vec::new(),
    };
    sending::send_usage(gateway, update, &told);
}

/// Returns the time of day by the own clock, in Unix milliseconds.
fn own_unix() -> Millis {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as Millis
}

/// Locks a mutex, also if another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
