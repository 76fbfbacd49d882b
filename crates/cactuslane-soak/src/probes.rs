//! Requests to each instance that show from outside which configuration is in force there, while the
//! targets of their routes are stopped and resumed.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_platform::Shape;
use cactuslane_platform_standin::{Place, Store, TargetKind, caller};
use cactuslane_store::http::Client;
use hyper::header::{AUTHORIZATION, HeaderValue};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::check::{FAULT_GRACE, Observations};
use crate::customers::{PROBE_KEY, keyed_document};
use crate::layout::{Layout, TargetSpec};
use crate::load::send_request;
use crate::options::Options;
use crate::plan::{Action, Change, Scope};
use crate::process::Instance;
use crate::workers::Workers;

/// Time after a change within which it is in force in every instance (`config_apply_ms`).
pub const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time after the time-out of its route by which a request must be answered.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Number of late answers from which a quarter of those that reach the time-out is too many.
const LATE_COUNT: usize = 8;
/// Time from a SIGTERM for which an instance is not judged.
const STOP_TIME: Duration = Duration::from_secs(8);
/// Interval between two rounds of probes.
const INTERVAL: Duration = Duration::from_millis(200);
/// Service of the probed routes, whose targets are stopped.
const SERVICE: &str = "ledger";
/// Service without targets, to which a route moves.
const EMPTY_SERVICE: &str = "void";
/// The two time-outs of a route in milliseconds; a silence exceeds the first one and [`ANSWER_SLACK`].
const TIMEOUTS_MS: [u64; 2] = [300, 2_500];
/// Latency objective of the routes in milliseconds.
const OBJECTIVE_MS: u64 = 200;
/// The two limits on the idle time of callers' connections in milliseconds.
const IDLE_MS: [u64; 2] = [15_000, 4_000];
/// Number of slots that the entries of the targets state.
const SLOTS: u32 = 6;
/// Names of the targets.
const TARGETS: [&str; 3] = ["i-h1", "i-h2", "i-h3"];

/// A probed route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// It stays, while its time-out changes.
    Steady,
    /// It is added and removed.
    Added,
    /// It moves between services.
    Moved,
}

/// What a configuration says about the probed routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Routes {
    /// Whether [`Route::Added`] is there.
    pub added: bool,
    /// Whether [`Route::Moved`] is at the service without targets.
    pub moved: bool,
    /// Time-out of the routes in milliseconds.
    pub timeout_ms: u64,
    /// Limit on the idle time of callers' connections in milliseconds.
    pub idle_ms: u64,
}

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Request id.
    pub id: String,
    /// Number of the instance.
    pub instance: usize,
    /// Route that its path is of.
    pub route: Route,
    /// Time at which its process was first probed.
    pub process_since: Instant,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time at which the answer ended, or failed.
    pub ended: Instant,
    /// Status of the complete answer, if there is one.
    pub status: Option<u16>,
}

/// The probes of a run with what they are judged by.
#[derive(Clone, Debug, Default)]
pub struct ProbeLog {
    /// The configurations, in the order of the times at which they were acknowledged.
    pub versions: Vec<(Instant, Routes)>,
    /// The probes.
    pub probes: Vec<Probe>,
    /// Instance of a fault, or all without one, with start and end.
    pub faults: Vec<(Option<usize>, Instant, Instant)>,
    /// Instance that has no links to targets, with start and end; it may answer late, but other
    /// instances answer for it, and no more than itself by an older configuration.
    pub cuts: Vec<(usize, Instant, Instant)>,
}

/// The result of one check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Whether it held.
    pub holds: bool,
    /// Id of the request, or name of the instance.
    pub subject: String,
    /// What was observed.
    pub observed: String,
}

/// Sender of probes, with the targets of their routes; without targets it sends none.
#[derive(Debug)]
pub struct Probes {
    /// The targets.
    targets: Workers,
    /// Deployment whose routes the configuration has beside the probed ones; the stand-in's if
    /// `None`.
    shape: Option<Shape>,
    /// Routes of the configuration that was written last.
    routes: Routes,
    /// What was recorded so far.
    log: ProbeLog,
    /// Client with kept connections to the instances.
    client: Client,
    /// Requests under way.
    tasks: JoinSet<Probe>,
    /// Time at which each process was first probed, by its address.
    processes: BTreeMap<SocketAddr, Instant>,
    /// Number of probes so far.
    count: u64,
    /// Time of the next round.
    next: Instant,
}

impl Default for Routes {
    fn default() -> Self {
        Self {
            added: false,
            moved: false,
            timeout_ms: TIMEOUTS_MS[0],
            idle_ms: IDLE_MS[0],
        }
    }
}

impl Probes {
    /// Creates the targets, unless the run has no targets that are processes.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        let mut targets = Workers::default();
        if options.target_processes {
            let place = Place {
                service: SERVICE.to_owned(),
                domain: Layout::of(options).domains.swap_remove(0),
                slots: SLOTS,
            };
            let specs = TARGETS.map(|name| TargetSpec {
                id: name.to_owned(),
                kind: TargetKind::Plain,
                place: Some(place.clone()),
                is_second: false,
            });
            targets = Workers::of(&specs, options);
        }
        let routes = Routes::default();
        Self {
            targets,
            shape: options.shape.clone(),
            routes,
            log: ProbeLog {
                versions: vec![(Instant::now(), routes)],
                ..ProbeLog::default()
            },
            client: Client::open(),
            tasks: JoinSet::new(),
            processes: BTreeMap::new(),
            count: 0,
            next: Instant::now(),
        }
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn targets(&self) -> usize {
        self.targets.len()
    }

    /// Returns the number of processes of targets that were started.
    #[must_use]
    pub fn processes(&self) -> u64 {
        self.targets.processes()
    }

    /// Returns whether all targets have started.
    #[must_use]
    pub fn all_serve(&self) -> bool {
        self.targets.all_serve()
    }

    /// Returns the latest end of a fault of a target that has ended.
    #[must_use]
    pub fn faults_end(&self) -> Option<Instant> {
        self.targets.faults_end()
    }

    /// Goes on with starting, stopping and resuming the targets.
    ///
    /// # Errors
    ///
    /// Returns an error if a target cannot be started or its log cannot be read.
    pub fn tick_targets(&mut self, store: &Store) -> io::Result<()> {
        self.targets.tick(store)
    }

    /// Returns the configuration with a version and the probed routes.
    #[must_use]
    pub fn document(&self, version: u64) -> Value {
        let mut document = keyed_document(version, self.shape.as_ref());
        if self.targets.is_empty() {
            return document;
        }
        let service = if self.routes.moved {
            EMPTY_SERVICE
        } else {
            SERVICE
        };
        let template = cactuslane_platform_standin::document(version);
        let mut route = template["routes"][0].clone();
        route["target_latency_ms"] = json!(OBJECTIVE_MS);
        let mut routes = vec![(Route::Steady, SERVICE), (Route::Moved, service)];
        if self.routes.added {
            routes.push((Route::Added, SERVICE));
        }
        for (name, service) in routes {
            route["name"] = json!(name.name());
            route["prefix"] = json!(format!("/{}/", name.name()));
            route["service"] = json!(service);
            route["timeout_ms"] = json!(self.routes.timeout_ms);
            append(&mut document["routes"], &route);
        }
        let mut service = template["services"][0].clone();
        for name in [SERVICE, EMPTY_SERVICE] {
            service["name"] = json!(name);
            append(&mut document["services"], &service);
        }
        document["limits"]["idle_timeout_ms"] = json!(self.routes.idle_ms);
        document
    }

    /// Changes the routes of the next configuration, which is written at once.
    pub fn change(&mut self, change: Change) {
        let routes = &mut self.routes;
        match change {
            Change::Presence => routes.added = !routes.added,
            Change::Service => routes.moved = !routes.moved,
            Change::Timeout => routes.timeout_ms = other(TIMEOUTS_MS, routes.timeout_ms),
            Change::Idle => routes.idle_ms = other(IDLE_MS, routes.idle_ms),
        }
        self.log.versions.push((Instant::now(), *routes));
    }

    /// Stops some of the targets, and resumes them after a time.
    pub fn silence(&mut self, count: usize, time: Duration) {
        for number in 0..count {
            self.targets.freeze(number, time);
        }
    }

    /// Records the instances that a fault or planned change puts out of touch for a time.
    pub fn record_fault(&mut self, action: &Action, now: Instant) {
        let (instance, time) = match *action {
            Action::Kill(number, time)
            | Action::Freeze(number, time)
            | Action::StoreLink(number, _, time) => (Some(number), time),
            Action::Path(scope, _, time) => match scope {
                Scope::Targets(number) => {
                    self.log.cuts.push((number, now, now + time));
                    return;
                }
                Scope::Peers(number) | Scope::Instance(number) => (Some(number), time),
                Scope::OthersTargets(_) | Scope::Domain(_) | Scope::All(_) => (None, time),
                Scope::Callers(_) | Scope::AllCallers(_) => return,
            },
            Action::Stop(number) => (Some(number), STOP_TIME),
            Action::Store(_, time) | Action::KillAll(time) => (None, time),
            _ => return,
        };
        self.log.faults.push((instance, now, now + time));
    }

    /// Sends a round of probes to all instances that have started, if it is due.
    pub fn send_due(&mut self, instances: &[Instance]) {
        while let Some(probe) = self.tasks.try_join_next() {
            self.log.probes.extend(probe);
        }
        let now = Instant::now();
        if self.targets.is_empty() || now < self.next {
            return;
        }
        self.next = now + INTERVAL;
        for (number, instance) in instances.iter().enumerate() {
            let Some(addresses) = instance.addresses() else {
                continue;
            };
            for route in [Route::Steady, Route::Added, Route::Moved] {
                self.send(number, addresses.front, route, now);
            }
        }
    }

    /// Sends one probe.
    fn send(&mut self, instance: usize, front: SocketAddr, route: Route, now: Instant) {
        self.count += 1;
        let id = format!("probe-{}", self.count);
        let mut request = caller::request(front, &format!("/{}/1", route.name()), &id);
        let key = HeaderValue::from_str(&format!("Bearer {PROBE_KEY}"));
        let key = key.expect("the key is a header value");
        request.headers_mut().insert(AUTHORIZATION, key);
        let process_since = *self.processes.entry(front).or_insert(now);
        let client = self.client.clone();
        self.tasks.spawn(async move {
            let sent = Instant::now();
            let (outcome, _) = send_request(&client, Some(request), &id).await;
            Probe {
                id,
                instance,
                route,
                process_since,
                sent,
                ended: Instant::now(),
                status: outcome.status(),
            }
        });
    }

    /// Waits for the answers under way, and adds the probes and the runs of their targets to the
    /// observations.
    ///
    /// # Errors
    ///
    /// Returns an error if a log cannot be read.
    pub async fn finish(&mut self, observations: &mut Observations) -> io::Result<()> {
        while let Some(probe) = self.tasks.join_next().await {
            self.log.probes.extend(probe);
        }
        self.targets.finish(observations)?;
        observations.probes = std::mem::take(&mut self.log);
        Ok(())
    }
}

impl Route {
    /// Returns the name, which is also the first part of the path.
    const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Added => "added",
            Self::Moved => "moved",
        }
    }
}

/// Appends an element to a list of the configuration.
fn append(list: &mut Value, element: &Value) {
    if let Some(list) = list.as_array_mut() {
        list.push(element.clone());
    }
}

/// Returns the one of two values that is not the current one.
fn other(values: [u64; 2], current: u64) -> u64 {
    values[usize::from(values[0] == current)]
}

/// Judges each probe by the configurations that may be in force, and the late answers of all; what
/// has a time bound only if `timed` is set and by instances in touch.
#[must_use]
pub fn judge(log: &ProbeLog, timed: bool) -> Vec<Finding> {
    let mut findings = Vec::new();
    let (mut reached, mut late) = (0, Vec::new());
    for probe in &log.probes {
        let status = probe.status.unwrap_or(0);
        let is_denied = matches!(status, 300..=499) && !matches!(status, 408 | 421 | 429);
        if probe.route != Route::Added || status != 404 {
            findings.push(Finding {
                guarantee: "proper requests are allowed",
                holds: !is_denied,
                subject: probe.id.clone(),
                observed: format!("{probe:?}"),
            });
        }
        if !timed || !log.is_in_touch(probe) {
            continue;
        }
        let allowed = log.allowed(probe);
        let fits = |routes: &Routes| match (probe.route, status) {
            (Route::Added, 404) => !routes.added,
            (Route::Added, 200) => routes.added,
            (Route::Moved, 200) => !routes.moved,
            _ => true,
        };
        findings.push(Finding {
            guarantee: "changes are in force in time",
            holds: allowed.iter().any(fits),
            subject: probe.id.clone(),
            observed: format!("{probe:?}, allowed {allowed:?}"),
        });
        if log.is_cut(probe) {
            continue;
        }
        let longest = allowed.iter().map(|routes| routes.timeout_ms).max();
        let timeout = Duration::from_millis(longest.unwrap_or(TIMEOUTS_MS[1]));
        let took = probe.ended - probe.sent;
        reached += usize::from(took > timeout);
        if took > timeout + ANSWER_SLACK {
            late.push((probe.id.as_str(), took));
        }
    }
    let too_many = late.len() * 2 > reached || late.len() >= LATE_COUNT && late.len() * 4 > reached;
    findings.push(Finding {
        guarantee: "time-outs are kept",
        holds: !too_many,
        subject: "probes".to_owned(),
        observed: format!("{late:?} of {reached} that reach the time-out"),
    });
    findings
}

impl ProbeLog {
    /// Returns the configurations that may be in force while a probe is served.
    fn allowed(&self, probe: &Probe) -> Vec<Routes> {
        let old = |(at, _): &&(Instant, Routes)| *at + APPLY_TIME <= probe.sent;
        let first = self.versions.iter().filter(old).count();
        let from = self.versions.iter().skip(first.saturating_sub(1));
        let sent = from.take_while(|(at, _)| *at <= probe.ended);
        sent.map(|(_, routes)| *routes).collect()
    }

    /// Returns whether the instance of a probe had no links to targets from [`FAULT_GRACE`] before it
    /// to its end.
    fn is_cut(&self, probe: &Probe) -> bool {
        let concerns = |(number, from, to): &(usize, Instant, Instant)| {
            let overlaps = *from <= probe.ended && *to + FAULT_GRACE >= probe.sent;
            *number == probe.instance && overlaps
        };
        self.cuts.iter().any(concerns)
    }

    /// Returns whether the instance of a probe was neither started nor disturbed from
    /// [`FAULT_GRACE`] before it to its end; the loss of its links to targets alone does not count.
    fn is_in_touch(&self, probe: &Probe) -> bool {
        let disturbs = |(instance, from, to): &(Option<usize>, Instant, Instant)| {
            let is_own = instance.is_none_or(|number| number == probe.instance);
            is_own && *from <= probe.ended && *to + FAULT_GRACE >= probe.sent
        };
        probe.process_since + FAULT_GRACE <= probe.sent && !self.faults.iter().any(disturbs)
    }
}
