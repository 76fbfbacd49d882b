//! The deployment of a run: its start, and the steps and queries while it runs.

mod apply;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use cactuslane_platform_standin::store::View;
use cactuslane_platform_standin::{DutyEndpoint, Store, Target, caller};
use tokio::time::{Instant, sleep, sleep_until};

use crate::check::Observations;
use crate::figures::Usage;
use crate::follow_ups::FollowUps;
use crate::layout::Layout;
use crate::links::{Links, Source};
use crate::load::SharedAddresses;
use crate::load::aims::SharedAims;
use crate::options::Options;
use crate::passed::PathFigures;
use crate::plan::{self, PlanStep, Release};
use crate::probes::Probes;
use crate::process::Instance;
use crate::proxy::Proxy;
use crate::queries;
use crate::workers::{SECOND_VERSION, Workers};

/// Interval at which the instances are polled for addresses and configuration versions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time from which an operation of the run is reported as a stall, as steps are applied late.
const STALL_TIME: Duration = Duration::from_secs(1);

/// The deployment of a run and what was observed of it.
#[derive(Debug)]
pub(crate) struct Deployment {
    /// Stand-in for the platform's store.
    pub(crate) store: Store,
    /// Views of the store, one for each instance, if the paths have links.
    _views: Vec<View>,
    /// Links of the paths between callers, instances and targets, if they have any.
    pub(crate) links: Option<Links>,
    /// Stand-in for the address that takes reports of usage.
    pub(crate) platform: DutyEndpoint,
    /// Proxies in front of the store, one for each instance, in the same order.
    pub(crate) store_links: Vec<Proxy>,
    /// Stand-ins for the platform's targets.
    pub(crate) targets: Vec<Target>,
    /// Proxies in front of the targets, in the same order.
    pub(crate) target_links: Vec<Proxy>,
    /// Targets that run as processes.
    pub(crate) workers: Workers,
    /// Probes of the configuration in force, with targets of their own.
    pub(crate) probes: Probes,
    /// Instances under test.
    pub(crate) instances: Vec<Instance>,
    /// Sizes of the logs of the instances at the start of the run, in bytes.
    log_starts: Vec<u64>,
    /// Addresses of instances that callers send requests to.
    pub(crate) addresses: SharedAddresses,
    /// Instances at which callers prefer to take streams up.
    pub(crate) aims: SharedAims,
    /// Version of the configuration that was written last.
    pub(crate) version: u64,
    /// Observations for the checks.
    pub(crate) observations: Observations,
    /// Actions that end or follow up steps.
    pub(crate) follow_ups: FollowUps,
    /// Times at which faults were first injected into targets that still have pending ones, by
    /// target.
    pub(crate) target_faults: BTreeMap<usize, Instant>,
    /// Largest memory of all instances at a time so far, in bytes.
    peak_memory: u64,
    /// Operations that took [`STALL_TIME`] or more.
    pub(crate) stalls: Vec<String>,
}

impl Deployment {
    /// Starts stand-ins, proxies and instances, and waits until an instance lists the addresses of
    /// all.
    ///
    /// With `release` all targets of engines begin at the first version.
    pub(crate) async fn start(options: &Options, release: Option<&Release>) -> io::Result<Self> {
        let store = Store::bind().await?;
        let platform = DutyEndpoint::bind().await?;
        let (mut targets, mut target_links) = (Vec::new(), Vec::new());
        let mut layout = Layout::of(options);
        if release.is_some() {
            set_first_version(&mut layout);
        }
        for spec in &layout.tasks {
            let target = Target::bind(&spec.id, spec.kind, &store).await?;
            let link = Proxy::bind(target.address).await?;
            target.set_own_answers();
            if spec.is_second {
                target.set_version(SECOND_VERSION);
            }
            if let Some(place) = &spec.place {
                target.set_place(place);
            }
            target.register_at(&store, link.address, "ready");
            targets.push(target);
            target_links.push(link);
        }
        let (binary, folder) = (&options.binary, &options.folder);
        let workers = Workers::of(&layout.processes, options);
        let probes = Probes::new(options);
        store.configure(&probes.document(1));
        let bounds = options.shape.as_ref().map(|shape| shape.bounds);
        let bounds = bounds.unwrap_or_default();
        let names: Vec<String> = (0..options.instances).map(instance_name).collect();
        let links = options.links.then(|| Links::open(options.host(), names));
        let (mut instances, mut store_links) = (Vec::new(), Vec::new());
        let mut views = Vec::new();
        for number in 0..options.instances {
            let mut address = store.address;
            if let Some(links) = links.clone() {
                let source = Source::Instance(number);
                let route = move |name: &str, to| links.route(source, name, to);
                let view = View::bind(&store, Arc::new(route)).await?;
                address = view.address;
                views.push(view);
            }
            let link = Proxy::bind(address).await?;
            let name = instance_name(number);
            let mut instance = Instance::new(
                &name,
                options.host(),
                binary,
                folder,
                link.address,
                platform.address,
            );
            // The failure domains of a deployment follow each other in the same order.
            let domain = match &options.shape {
                Some(_) => &layout.domains[number % layout.domains.len()],
                None if links.is_some() => plan::domain(number),
                None => &layout.domains[0],
            };
            instance.set_place(domain, bounds);
            instance.limit_cpu(options.cpu_share, number as f64 / options.instances as f64);
            instances.push(instance);
            store_links.push(link);
        }
        let size = |instance: &Instance| fs::metadata(instance.log()).map_or(0, |log| log.len());
        let log_starts = instances.iter().map(size).collect();
        let mut deployment = Self {
            store,
            _views: views,
            links,
            platform,
            store_links,
            targets,
            target_links,
            workers,
            probes,
            instances,
            log_starts,
            addresses: SharedAddresses::default(),
            aims: SharedAims::default(),
            version: 1,
            observations: Observations::default(),
            follow_ups: FollowUps::default(),
            target_faults: BTreeMap::new(),
            peak_memory: 0,
            stalls: Vec::new(),
        };
        for number in 0..options.instances {
            deployment.start_instance(number)?;
        }
        while deployment.poll_addresses().await < options.instances
            || !deployment.workers.all_serve()
            || !deployment.probes.all_serve()
        {
            deployment.workers.tick(&deployment.store)?;
            deployment.probes.tick_targets(&deployment.store)?;
            deployment.poll_started()?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(deployment)
    }

    /// Starts the process of an instance.
    fn start_instance(&mut self, number: usize) -> io::Result<()> {
        tokio::task::block_in_place(|| self.instances[number].start())
    }

    /// Reads the addresses of the processes that are starting.
    fn poll_started(&mut self) -> io::Result<()> {
        for instance in &mut self.instances {
            instance.poll_started()?;
        }
        Ok(())
    }

    /// Applies the steps and polls the instances until `length` has passed since `began`.
    pub(crate) async fn play(
        &mut self,
        plan: &[PlanStep],
        release: Option<&Release>,
        (began, length): (Instant, Duration),
    ) -> io::Result<()> {
        let end = began + length;
        let mut steps = plan.iter().peekable();
        let mut next_poll = began;
        while Instant::now() < end {
            let now = Instant::now();
            while let Some(step) = steps.next_if(|step| began + step.at <= now) {
                let since = Instant::now();
                self.apply(&step.action)?;
                self.note_stall(&step.action, since, began);
            }
            for follow_up in self.follow_ups.take_due(now) {
                let since = Instant::now();
                self.apply_follow_up(&follow_up)?;
                self.note_stall(&follow_up, since, began);
            }
            self.aim(plan, release, now.duration_since(began));
            let since = Instant::now();
            self.poll_started()?;
            self.workers.tick(&self.store)?;
            self.probes.tick_targets(&self.store)?;
            self.probes.send_due(&self.instances);
            self.collect_exits();
            self.record_target_faults();
            self.note_stall(&"records", since, began);
            if now >= next_poll {
                next_poll = now + POLL_INTERVAL;
                let since = Instant::now();
                self.poll_addresses().await;
                self.poll_versions().await;
                self.read_usage();
                self.note_stall(&"queries", since, began);
            }
            let since = Instant::now();
            sleep_until(since + POLL_INTERVAL / 4).await;
            self.note_stall(&"pause", since, began);
        }
        Ok(())
    }

    /// Returns the latest end of a disruption so far; `None` if there was none.
    pub(crate) fn disruption_end(&self) -> Option<Instant> {
        let ends = [self.workers.faults_end(), self.probes.faults_end()];
        self.observations.disruption_end.max(ends[0]).max(ends[1])
    }

    /// Sets the instances at which callers prefer to take streams up at a time since the start of the
    /// run.
    fn aim(&self, plan: &[PlanStep], release: Option<&Release>, at: Duration) {
        let addresses = |numbers: Vec<usize>| {
            let address = |number: usize| {
                let front = self.instances[number].addresses()?.front;
                Some(self.callers_address(front))
            };
            numbers.into_iter().filter_map(address).collect()
        };
        let (cut, blind) = (
            addresses(plan::cut_off(plan, at)),
            addresses(plan::blind(plan, at)),
        );
        let mut aims = self.aims.lock().unwrap_or_else(PoisonError::into_inner);
        (aims.cut, aims.blind) = (cut, blind);
        aims.is_releasing = release.is_some_and(|release| release.is_at(at));
    }

    /// Reads what the processes used so far.
    pub(crate) fn read_usage(&mut self) -> Usage {
        let mut usage = Usage {
            targets: self.workers.processes() + self.probes.processes(),
            ..Usage::default()
        };
        for instance in &mut self.instances {
            usage.slices += instance.slices();
            let figures = instance.read_usage();
            usage.instances += figures.processes;
            usage.memory += figures.memory;
            usage.cpu_time += figures.cpu_time();
        }
        self.peak_memory = self.peak_memory.max(usage.memory);
        usage.memory = self.peak_memory;
        usage
    }

    /// Records an operation that took [`STALL_TIME`] or more.
    fn note_stall(&mut self, operation: &impl Debug, since: Instant, began: Instant) {
        let took = since.elapsed();
        if took >= STALL_TIME {
            let at = since.duration_since(began);
            let stall = format!("{operation:?} from {at:.1?} on took {took:.1?}");
            self.stalls.push(stall);
        }
    }

    /// Replaces the callers' addresses by those that the first instance that answers lists, in the
    /// order of their numbers, unless it lists none.
    ///
    /// Returns the number of addresses in that list, or 0 if no instance answers.
    async fn poll_addresses(&mut self) -> usize {
        let answers = queries::ask_all(&self.instances, caller::ADDRESSES_PATH).await;
        if let Some(first) = answers.first() {
            let mut listed = caller::addresses(&first.body);
            for address in &mut listed {
                *address = self.callers_address(*address);
            }
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

    /// Returns the address that callers use for one that an instance lists: that of a link, if the
    /// paths have links and an instance has the address.
    fn callers_address(&self, listed: SocketAddr) -> SocketAddr {
        let is_listed = |instance: &&Instance| {
            let addresses = instance.addresses();
            addresses.is_some_and(|addresses| addresses.front == listed)
        };
        let instance = self.instances.iter().find(is_listed);
        match (&self.links, instance) {
            (Some(links), Some(instance)) => links.route(Source::Callers, &instance.name, listed),
            _ => listed,
        }
    }

    /// Returns the counts of the faults of paths and of the events in the logs of the instances.
    pub(crate) fn path_figures(&self, steps: &[PlanStep]) -> io::Result<PathFigures> {
        let mut figures = PathFigures::default();
        let Some(links) = &self.links else {
            return Ok(figures);
        };
        figures.count_faults(steps);
        figures.unbound = links.unbound();
        for (instance, from) in self.instances.iter().zip(&self.log_starts) {
            figures.count_events(instance.log(), *from)?;
        }
        Ok(figures)
    }

    /// Records the configuration version in force in each instance, from its metrics.
    async fn poll_versions(&mut self) {
        for answer in queries::ask_all(&self.instances, "/metrics").await {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let name = "cactuslane_configuration_version ";
            let version = text.lines().find_map(|line| line.strip_prefix(name));
            if let Some(version) = version.and_then(|version| version.parse().ok()) {
                let versions = &mut self.observations.versions;
                let process = versions.entry(answer.process).or_default();
                process.push((answer.at, version));
            }
        }
    }
}

/// Returns the name of the instance with a number.
fn instance_name(number: usize) -> String {
    format!("front-{number}")
}

/// Gives all targets the first version.
fn set_first_version(layout: &mut Layout) {
    for spec in layout.tasks.iter_mut().chain(&mut layout.processes) {
        spec.is_second = false;
    }
}
