//! One run: instances, stand-ins, faults and callers on one machine.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::PoisonError;
use std::time::Duration;

use cactuslane_platform_standin::{Fault, Mode, Store, Target, TargetKind, caller, document};
use cactuslane_store::http::Client;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use rustix::process::Signal;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::check::{self, Observations};
use crate::figures::Figures;
use crate::load::{self, Kind, LoadSpec, SharedAddresses};
use crate::plan::{self, Action, PlanStep, StoreFault, TargetFault};
use crate::process::Instance;
use crate::proxy::Proxy;
use crate::report::Report;

/// Interval between looks at the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for a question to an instance.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a slow target takes, which is longer than callers like.
const SLOW_DELAY_MS: u64 = 900;
/// Time at the end of a run in which runs at targets still end.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub binary: PathBuf,
    /// The folder for settings and logs.
    pub folder: PathBuf,
    /// The seed of the faults and of the load.
    pub seed: u64,
    /// Its length.
    pub length: Duration,
    /// The number of instances.
    pub instances: usize,
    /// The requests a second.
    pub rate: f64,
    /// Whether promises with a time bound are checked.
    pub timed: bool,
}

/// The deployment of a run.
#[derive(Debug)]
struct Deployment {
    /// The store.
    store: Store,
    /// The proxies before the store, one an instance.
    store_links: Vec<Proxy>,
    /// The targets.
    targets: Vec<Target>,
    /// The proxies before the targets.
    target_links: Vec<Proxy>,
    /// The instances.
    instances: Vec<Instance>,
    /// Where callers send their requests.
    addresses: SharedAddresses,
    /// The version of the configuration that was written last.
    version: u64,
    /// What was seen.
    observations: Observations,
    /// What is to be done later.
    follow_ups: Vec<(Instant, FollowUp)>,
    /// The times at which target faults began that no request has met yet.
    target_faults: BTreeMap<usize, Instant>,
}

/// What is done some time after a step.
#[derive(Clone, Debug, PartialEq)]
enum FollowUp {
    /// An instance starts.
    Start(usize),
    /// An instance is thawed.
    Thaw(usize),
    /// The store serves again.
    HealStore,
    /// The connections to the store are healed.
    HealStoreLink(usize),
    /// The connections to a target are healed.
    HealTargetLink(usize),
    /// A target that left serves again; it began to leave at a time.
    Serve(usize, Instant),
}

/// Runs a seed and returns what was seen.
///
/// # Errors
///
/// Returns an error where the deployment can't be started.
pub async fn run(options: &Options) -> io::Result<Report> {
    std::fs::create_dir_all(&options.folder)?;
    let mut deployment = Deployment::start(options).await?;
    let steps = plan::draw(
        options.seed,
        options.length,
        options.instances,
        deployment.targets.len(),
    );
    let spec = LoadSpec {
        length: options.length,
        rate: options.rate,
        bursts: vec![(options.length.mul_f64(0.4), Duration::from_secs(3), 3.0)],
        kinds: kinds(),
        seed: options.seed,
    };
    let began = Instant::now();
    let addresses = deployment.addresses.clone();
    let callers = {
        let spec = spec.clone();
        tokio::spawn(async move { load::send(&spec, &addresses).await })
    };
    deployment.play(&steps, began, options.length).await?;
    let records = callers.await.map_err(io::Error::other)?;
    sleep(SETTLE_TIME).await;
    for target in &deployment.targets {
        for (request, runs) in target.run_times() {
            deployment
                .observations
                .runs
                .entry(request)
                .or_default()
                .extend(runs);
        }
    }
    let (broken, checked) = check::check(
        &records,
        &spec.kinds,
        &deployment.observations,
        options.timed,
    );
    let figures = Figures::of(&records, &spec, began);
    Ok(Report {
        seed: options.seed,
        length: options.length,
        instances: options.instances,
        steps,
        broken,
        checked,
        figures,
    })
}

/// Returns the kinds of requests of a run.
fn kinds() -> Vec<Kind> {
    let kind = |path: &str, weight, stream, once| Kind {
        path: path.to_owned(),
        weight,
        stream,
        once,
    };
    vec![
        kind("/summary/1", 4, true, false),
        kind("/report/1", 2, true, true),
        kind("/lookup/1", 3, false, false),
        kind("/correction/1", 3, false, true),
    ]
}

impl Deployment {
    /// Starts stand-ins, proxies and instances, and waits until the instances are ready.
    async fn start(options: &Options) -> io::Result<Self> {
        let store = Store::bind().await?;
        store.configure(&document(1));
        let (mut targets, mut target_links) = (Vec::new(), Vec::new());
        for (id, kind) in [
            ("i-w1", TargetKind::Plain),
            ("i-w2", TargetKind::Plain),
            ("i-w3", TargetKind::Plain),
            ("i-p1", TargetKind::Prefill),
            ("i-p2", TargetKind::Prefill),
            ("i-d1", TargetKind::Decode),
            ("i-d2", TargetKind::Decode),
            ("i-d3", TargetKind::Decode),
        ] {
            let target = Target::bind(id, kind, &store).await?;
            let link = Proxy::bind(target.address).await?;
            target.register_at(&store, link.address, "ready");
            targets.push(target);
            target_links.push(link);
        }
        let (mut instances, mut store_links) = (Vec::new(), Vec::new());
        for number in 0..options.instances {
            let link = Proxy::bind(store.address).await?;
            let name = format!("front-{number}");
            let instance = Instance::new(&name, &options.binary, &options.folder, link.address);
            instances.push(instance);
            store_links.push(link);
        }
        let mut deployment = Self {
            store,
            store_links,
            targets,
            target_links,
            instances,
            addresses: SharedAddresses::default(),
            version: 1,
            observations: Observations::default(),
            follow_ups: Vec::new(),
            target_faults: BTreeMap::new(),
        };
        for number in 0..options.instances {
            deployment.start_instance(number)?;
        }
        while deployment.poll_addresses().await < options.instances {
            sleep(POLL_INTERVAL).await;
        }
        Ok(deployment)
    }

    /// Starts the process of an instance.
    fn start_instance(&mut self, number: usize) -> io::Result<()> {
        tokio::task::block_in_place(|| self.instances[number].start()).map(|_| ())
    }

    /// Plays the steps and looks at the processes until the end.
    async fn play(
        &mut self,
        steps: &[PlanStep],
        began: Instant,
        length: Duration,
    ) -> io::Result<()> {
        let end = began + length;
        let mut steps = steps.iter().peekable();
        let mut next_poll = began;
        while Instant::now() < end {
            let now = Instant::now();
            while let Some(step) = steps.next_if(|step| began + step.at <= now) {
                self.apply(&step.action)?;
            }
            let due: Vec<(Instant, FollowUp)> = self
                .follow_ups
                .extract_if(.., |(at, _)| *at <= now)
                .collect();
            for (_, follow_up) in due {
                self.apply_follow_up(&follow_up)?;
            }
            self.collect_exits();
            self.record_target_faults();
            if now >= next_poll {
                next_poll = now + POLL_INTERVAL;
                self.poll_addresses().await;
                self.poll_versions().await;
            }
            sleep_until(Instant::now() + POLL_INTERVAL / 4).await;
        }
        Ok(())
    }

    /// Does what a step says.
    fn apply(&mut self, action: &Action) -> io::Result<()> {
        let now = Instant::now();
        let until = now + action.duration();
        self.observations.disruption_end = self.observations.disruption_end.max(Some(until));
        let planned = action.is_planned();
        if !planned && !matches!(action, Action::Target(..)) {
            self.observations.faults.push((now, until));
        }
        match *action {
            Action::Kill(number, _) => {
                self.instances[number].kill();
                self.follow_ups.push((until, FollowUp::Start(number)));
            }
            Action::Stop(number) => self.instances[number].signal(Signal::TERM),
            Action::Freeze(number, _) => {
                self.instances[number].signal(Signal::STOP);
                self.follow_ups.push((until, FollowUp::Thaw(number)));
            }
            Action::Reload(number) => {
                self.instances[number].write_settings()?;
                self.instances[number].signal(Signal::HUP);
            }
            Action::Store(fault, _) => {
                self.store.set_mode(store_mode(fault));
                self.follow_ups.push((until, FollowUp::HealStore));
            }
            Action::Compact => self.store.compact(),
            Action::StoreLink(number, link, _) => {
                self.store_links[number].inject_fault(link);
                self.follow_ups
                    .push((until, FollowUp::HealStoreLink(number)));
            }
            Action::TargetLink(number, link, _) => {
                self.target_links[number].inject_fault(link);
                self.follow_ups
                    .push((until, FollowUp::HealTargetLink(number)));
            }
            Action::Target(number, fault, count) => {
                for _ in 0..count {
                    self.targets[number].inject_fault(standin_fault(fault));
                }
                self.target_faults.entry(number).or_insert(now);
            }
            Action::Drain(number, _) => {
                self.register(number, "draining");
                self.follow_ups.push((until, FollowUp::Serve(number, now)));
            }
            Action::Configure => {
                self.version += 1;
                self.store.configure(&document(self.version));
            }
        }
        Ok(())
    }

    /// Does what follows a step.
    fn apply_follow_up(&mut self, follow_up: &FollowUp) -> io::Result<()> {
        match *follow_up {
            FollowUp::Start(number) => {
                if self.instances[number].addresses().is_none() {
                    self.start_instance(number)?;
                }
            }
            FollowUp::Thaw(number) => self.instances[number].signal(Signal::CONT),
            FollowUp::HealStore => self.store.set_mode(Mode::Serving),
            FollowUp::HealStoreLink(number) => self.store_links[number].heal(),
            FollowUp::HealTargetLink(number) => self.target_links[number].heal(),
            FollowUp::Serve(number, from) => {
                let history = self.targets[number].run_times().into_values();
                let runs = history.flatten().filter(|run| *run >= from).collect();
                self.observations.drains.push((from, Instant::now(), runs));
                self.register(number, "ready");
            }
        }
        Ok(())
    }

    /// Writes the entry of a target with a state.
    fn register(&self, number: usize, state: &str) {
        let address = self.target_links[number].address;
        self.targets[number].register_at(&self.store, address, state);
    }

    /// Takes the exit codes of processes that have ended, and starts these anew.
    fn collect_exits(&mut self) {
        for number in 0..self.instances.len() {
            let Some(code) = self.instances[number].take_exit_code() else {
                continue;
            };
            let name = self.instances[number].name.clone();
            self.observations.exits.push((name, code));
            self.follow_ups
                .push((Instant::now(), FollowUp::Start(number)));
        }
    }

    /// Ends the time of target faults that requests have met.
    fn record_target_faults(&mut self) {
        let targets = &self.targets;
        let applied = self
            .target_faults
            .extract_if(.., |number, _| targets[*number].pending_faults() == 0);
        let now = Instant::now();
        for (_, from) in applied {
            self.observations.faults.push((from, now));
            self.observations.disruption_end = self.observations.disruption_end.max(Some(now));
        }
    }

    /// Asks the instances for the addresses of those that serve, and returns their number.
    async fn poll_addresses(&mut self) -> usize {
        for instance in &self.instances {
            let Some(addresses) = instance.addresses() else {
                continue;
            };
            let address = format!("http://{}{}", addresses.ready, caller::ADDRESSES_PATH);
            let Some(answer) = query(&address).await else {
                continue;
            };
            let listed = caller::addresses(&answer);
            let serving = listed.len();
            let mut known = self
                .addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if !listed.is_empty() {
                *known = listed;
            }
            return serving;
        }
        0
    }

    /// Notes the versions that the processes have in force.
    async fn poll_versions(&mut self) {
        for instance in &self.instances {
            let Some(addresses) = instance.addresses() else {
                continue;
            };
            let address = format!("http://{}/metrics", addresses.ready);
            let Some(text) = query(&address).await else {
                continue;
            };
            let text = String::from_utf8_lossy(&text).into_owned();
            let name = "cactuslane_configuration_version ";
            let version = text.lines().find_map(|line| line.strip_prefix(name));
            if let Some(version) = version.and_then(|version| version.parse().ok()) {
                let process = format!("{} at {}", instance.name, addresses.front);
                let versions = self.observations.versions.entry(process).or_default();
                versions.push((Instant::now(), version));
            }
        }
    }
}

/// Asks an instance a question; nothing if it gives no whole answer in time.
async fn query(address: &str) -> Option<Bytes> {
    let request = Request::get(address).body(Full::new(Bytes::new())).ok()?;
    let client = Client::open_unpooled();
    let answer = timeout(QUERY_TIMEOUT, client.send_and_collect(request)).await;
    let (status, body) = answer.ok()?.ok()?;
    (status == 200).then_some(body)
}

/// Returns how the store treats calls.
fn store_mode(fault: StoreFault) -> Mode {
    match fault {
        StoreFault::Busy => Mode::Busy,
        StoreFault::Silent => Mode::Silent,
        StoreFault::Losing => Mode::Losing,
    }
}

/// Returns what a target does to the next request.
fn standin_fault(fault: TargetFault) -> Fault {
    match fault {
        TargetFault::Reject => Fault::Reject,
        TargetFault::Fail => Fault::Fail,
        TargetFault::Lose => Fault::Lose,
        TargetFault::Cross => Fault::Cross,
        TargetFault::Break => Fault::Break(3),
        TargetFault::Unsigned => Fault::Unsigned,
        TargetFault::Slow => Fault::Slow(SLOW_DELAY_MS),
    }
}
