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

use crate::check::{self, Facts};
use crate::figures::Figures;
use crate::load::{self, Addresses, Kind, LoadSpec};
use crate::plan::{self, Action, PlanStep, StoreTrouble, TargetTrouble};
use crate::process::Instance;
use crate::proxy::Proxy;
use crate::report::Report;

/// Interval between looks at the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for a question to an instance.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a slow target takes, which is longer than callers like.
const SLOW_MILLIS: u64 = 900;
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
    addresses: Addresses,
    /// The version of the configuration that was written last.
    version: u64,
    /// What was seen.
    facts: Facts,
    /// What is to be done later.
    later: Vec<(Instant, Later)>,
    /// The times at which target faults began that no request has met yet.
    target_faults: BTreeMap<usize, Instant>,
}

/// What is done some time after a step.
#[derive(Clone, Debug, PartialEq)]
enum Later {
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
    let seen = callers.await.map_err(io::Error::other)?;
    sleep(SETTLE_TIME).await;
    for target in &deployment.targets {
        for (request, runs) in target.run_times() {
            deployment
                .facts
                .runs
                .entry(request)
                .or_default()
                .extend(runs);
        }
    }
    let (broken, checked) = check::check(&seen, &spec.kinds, &deployment.facts, options.timed);
    let figures = Figures::of(&seen, &spec, began);
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
            addresses: Addresses::default(),
            version: 1,
            facts: Facts::default(),
            later: Vec::new(),
            target_faults: BTreeMap::new(),
        };
        for number in 0..options.instances {
            deployment.start_instance(number)?;
        }
        while deployment.serving().await < options.instances {
            sleep(LOOK_INTERVAL).await;
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
        let mut look = began;
        while Instant::now() < end {
            let now = Instant::now();
            while let Some(step) = steps.next_if(|step| began + step.at <= now) {
                self.take(&step.action)?;
            }
            let due: Vec<(Instant, Later)> =
                self.later.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, later) in due {
                self.take_later(&later)?;
            }
            self.collect_ended();
            self.close_target_faults();
            if now >= look {
                look = now + LOOK_INTERVAL;
                self.serving().await;
                self.observe_versions().await;
            }
            sleep_until(Instant::now() + LOOK_INTERVAL / 4).await;
        }
        Ok(())
    }

    /// Does what a step says.
    fn take(&mut self, action: &Action) -> io::Result<()> {
        let now = Instant::now();
        let until = now + action.lasts();
        self.facts.calm = self.facts.calm.max(Some(until));
        let planned = action.is_planned();
        if !planned && !matches!(action, Action::Target(..)) {
            self.facts.faults.push((now, until));
        }
        match *action {
            Action::Kill(number, _) => {
                self.instances[number].kill();
                self.later.push((until, Later::Start(number)));
            }
            Action::Stop(number) => self.instances[number].signal(Signal::TERM),
            Action::Freeze(number, _) => {
                self.instances[number].signal(Signal::STOP);
                self.later.push((until, Later::Thaw(number)));
            }
            Action::Reload(number) => {
                self.instances[number].write_settings()?;
                self.instances[number].signal(Signal::HUP);
            }
            Action::Store(trouble, _) => {
                self.store.set_mode(mode(trouble));
                self.later.push((until, Later::HealStore));
            }
            Action::Compact => self.store.compact(),
            Action::StoreLink(number, link, _) => {
                self.store_links[number].harm(link);
                self.later.push((until, Later::HealStoreLink(number)));
            }
            Action::TargetLink(number, link, _) => {
                self.target_links[number].harm(link);
                self.later.push((until, Later::HealTargetLink(number)));
            }
            Action::Target(number, trouble, count) => {
                for _ in 0..count {
                    self.targets[number].inject_fault(fault(trouble));
                }
                self.target_faults.entry(number).or_insert(now);
            }
            Action::Drain(number, _) => {
                self.register(number, "draining");
                self.later.push((until, Later::Serve(number, now)));
            }
            Action::Configure => {
                self.version += 1;
                self.store.configure(&document(self.version));
            }
        }
        Ok(())
    }

    /// Does what follows a step.
    fn take_later(&mut self, later: &Later) -> io::Result<()> {
        match *later {
            Later::Start(number) => {
                if self.instances[number].addresses().is_none() {
                    self.start_instance(number)?;
                }
            }
            Later::Thaw(number) => self.instances[number].signal(Signal::CONT),
            Later::HealStore => self.store.set_mode(Mode::Serving),
            Later::HealStoreLink(number) => self.store_links[number].heal(),
            Later::HealTargetLink(number) => self.target_links[number].heal(),
            Later::Serve(number, from) => {
                let history = self.targets[number].run_times().into_values();
                let runs = history.flatten().filter(|run| *run >= from).collect();
                self.facts.drains.push((from, Instant::now(), runs));
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
    fn collect_ended(&mut self) {
        for number in 0..self.instances.len() {
            let Some(code) = self.instances[number].ended() else {
                continue;
            };
            let name = self.instances[number].name.clone();
            self.facts.stops.push((name, code));
            self.later.push((Instant::now(), Later::Start(number)));
        }
    }

    /// Ends the time of target faults that requests have met.
    fn close_target_faults(&mut self) {
        let targets = &self.targets;
        let met = self
            .target_faults
            .extract_if(.., |number, _| targets[*number].pending_faults() == 0);
        let now = Instant::now();
        for (_, from) in met {
            self.facts.faults.push((from, now));
            self.facts.calm = self.facts.calm.max(Some(now));
        }
    }

    /// Asks the instances for the addresses of those that serve, and returns their number.
    async fn serving(&mut self) -> usize {
        for instance in &self.instances {
            let Some(addresses) = instance.addresses() else {
                continue;
            };
            let address = format!("http://{}{}", addresses.ready, caller::ADDRESSES_PATH);
            let Some(answer) = question(&address).await else {
                continue;
            };
            let found = caller::addresses(&answer);
            let serving = found.len();
            let mut known = self
                .addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if !found.is_empty() {
                *known = found;
            }
            return serving;
        }
        0
    }

    /// Notes the versions that the processes have in force.
    async fn observe_versions(&mut self) {
        for instance in &self.instances {
            let Some(addresses) = instance.addresses() else {
                continue;
            };
            let address = format!("http://{}/metrics", addresses.ready);
            let Some(text) = question(&address).await else {
                continue;
            };
            let text = String::from_utf8_lossy(&text).into_owned();
            let name = "cactuslane_configuration_version ";
            let version = text.lines().find_map(|line| line.strip_prefix(name));
            if let Some(version) = version.and_then(|version| version.parse().ok()) {
                let process = format!("{} at {}", instance.name, addresses.front);
                let versions = self.facts.versions.entry(process).or_default();
                versions.push((Instant::now(), version));
            }
        }
    }
}

/// Asks an instance a question; nothing if it gives no whole answer in time.
async fn question(address: &str) -> Option<Bytes> {
    let request = Request::get(address).body(Full::new(Bytes::new())).ok()?;
    let client = Client::open_unpooled();
    let answer = timeout(QUESTION_TIMEOUT, client.send_and_collect(request)).await;
    let (status, body) = answer.ok()?.ok()?;
    (status == 200).then_some(body)
}

/// Returns how the store treats calls.
fn mode(trouble: StoreTrouble) -> Mode {
    match trouble {
        StoreTrouble::Busy => Mode::Busy,
        StoreTrouble::Silent => Mode::Silent,
        StoreTrouble::Losing => Mode::Losing,
    }
}

/// Returns what a target does to the next request.
fn fault(trouble: TargetTrouble) -> Fault {
    match trouble {
        TargetTrouble::Reject => Fault::Reject,
        TargetTrouble::Fail => Fault::Fail,
        TargetTrouble::Lose => Fault::Lose,
        TargetTrouble::Cross => Fault::Cross,
        TargetTrouble::Break => Fault::Break(3),
        TargetTrouble::Unsigned => Fault::Unsigned,
        TargetTrouble::Slow => Fault::Slow(SLOW_MILLIS),
    }
}
