//! A simulated fleet of instances that send requests to one target with a limit.

mod events;

use std::collections::{BTreeMap, VecDeque};

use cactuslane_flight::target::{Target, TargetState};
use cactuslane_gateway::members::{Member, Members};
use cactuslane_gateway::ranking::top_ranked;
use cactuslane_place::limits::ISSUERS;
use cactuslane_place::{LimitNotice, PermitAnswer, TargetLimits};
use cactuslane_types::{Millis, Role};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of times that an instance asks for limits after its start.
const QUERIES: Millis = 3;
/// Time between these.
const QUERY_INTERVAL: Millis = 100;
/// Range of the delays of messages between instances.
const MESSAGE_DELAY: std::ops::Range<Millis> = 1..4;
/// Delay with which changes of the list of instances are known to each of them.
const STORE_DELAY: std::ops::Range<Millis> = 0..1_000;

/// The instances, the target and what happened there.
pub struct Fleet {
    /// Instances by number.
    instances: Vec<Instance>,
    /// Events by time and order of creation.
    events: BTreeMap<(Millis, u64), Event>,
    /// Number of events created.
    created: u64,
    /// The time, on a clock that all share.
    pub now: Millis,
    /// Limit that the target names, in requests a second.
    limit: Option<f64>,
    /// Arrival times of requests at the target.
    pub arrivals: Vec<Millis>,
    /// Requests of callers a second, over all instances.
    demand: f64,
    /// Share of the messages that are lost.
    lost: f64,
    /// Random generator of demand, delays and losses.
    random: Pcg64Mcg,
    /// The target.
    target: Target,
}

/// One instance.
#[derive(Default)]
struct Instance {
    /// What it knows of the limit.
    limits: TargetLimits,
    /// What it knows of the other instances.
    members: Members,
    /// Whether its process runs.
    up: bool,
    /// Whether no message reaches it or leaves it.
    cut: bool,
    /// Time until which it does nothing.
    frozen: Millis,
    /// Number of its current process.
    process: u64,
    /// Whether it is leaving.
    leaving: bool,
    /// Requests for permits that it waits for, by number.
    calls: BTreeMap<u64, Call>,
}

/// A request for a permit.
struct Call {
    /// Issuer whose answer is awaited.
    asked: Option<usize>,
    /// Issuers to ask next.
    next: VecDeque<String>,
}

/// Something that happens at an instance, unless the process that it concerns has ended.
#[derive(Clone)]
enum Event {
    /// A caller sends a request.
    Demand,
    /// Every instance sends a message to all others.
    Heartbeat,
    /// An instance gets a message of another.
    Alive(usize, usize),
    /// An instance learns that another one started, at this time.
    Joined(usize, usize),
    /// An instance learns that another one is leaving.
    Leaving(usize, usize),
    /// An instance asks others for their limits.
    Query(usize),
    /// An instance is asked by another for its limits.
    Queried(usize, usize),
    /// An instance gets a notice.
    Notice(usize, LimitNotice),
    /// An instance gets a request for a permit, with the number and the sender.
    Ask(usize, u64, usize, LimitNotice),
    /// An instance gets the answer to a request for a permit from an issuer, or none in time.
    Answered(usize, u64, usize, Option<PermitAnswer>),
    /// A request of a process of an instance arrives at the target.
    Arrival(usize, u64, Millis),
    /// A process of an instance gets an answer to a request that was sent at this time.
    Answer(usize, u64, Millis, Option<f64>),
}

impl Fleet {
    /// Creates a fleet in which all instances know each other, with demand a second and a share of
    /// lost messages.
    pub fn new(count: usize, demand: f64, lost: f64, seed: u64) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            events: BTreeMap::new(),
            created: 0,
            now: 100_000,
            limit: None,
            arrivals: Vec::new(),
            demand,
            lost,
            random: Pcg64Mcg::seed_from_u64(seed),
            target: target(),
        };
        fleet.schedule(0, Event::Demand);
        fleet.schedule(0, Event::Heartbeat);
        for _ in 0..count {
            fleet.add();
        }
        fleet.run(3_000);
        fleet
    }

    /// Starts one more instance, and returns its number.
    pub fn add(&mut self) -> usize {
        self.instances.push(Instance::default());
        let number = self.instances.len() - 1;
        self.start(number);
        number
    }

    /// Starts the process of an instance, which knows the others at once.
    pub fn start(&mut self, number: usize) {
        let process = self.instances[number].process + 1;
        let mut members = Members::default();
        for other in 0..self.instances.len() {
            if other != number && self.instances[other].up {
                members.put(self.member(other, false), self.now);
            }
        }
        self.instances[number] = Instance {
            members,
            up: true,
            process,
            ..Instance::default()
        };
        for query in 0..QUERIES {
            self.schedule(query * QUERY_INTERVAL, Event::Query(number));
        }
        for other in 0..self.instances.len() {
            if other != number {
                let delay = self.random.random_range(STORE_DELAY);
                self.schedule(delay, Event::Joined(other, number));
            }
        }
    }

    /// Ends the process of an instance without notice.
    pub fn kill(&mut self, number: usize) {
        self.instances[number].up = false;
    }

    /// Announces that an instance is leaving; it goes on sending.
    pub fn leave(&mut self, number: usize) {
        self.instances[number].leaving = true;
        for other in 0..self.instances.len() {
            let delay = self.random.random_range(STORE_DELAY);
            self.schedule(delay, Event::Leaving(other, number));
        }
    }

    /// Cuts an instance off from the others, or connects it again; it still reaches the target.
    pub fn cut(&mut self, number: usize, cut: bool) {
        self.instances[number].cut = cut;
    }

    /// Freezes an instance for a time; its messages wait.
    pub fn freeze(&mut self, number: usize, time: Millis) {
        self.instances[number].frozen = self.now + time;
    }

    /// Sets the limit that the target names.
    pub fn name_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
    }

    /// Returns the instances that issue permits, as all see it while none fails.
    pub fn issuers(&self) -> Vec<usize> {
        let names = (0..self.instances.len()).map(name).collect();
        let issuers = top_ranked(names, &self.target.id, ISSUERS);
        issuers.iter().map(|issuer| number(issuer)).collect()
    }

    /// Returns the largest number of arrivals in any window, among those that end after `since`.
    pub fn busiest(&self, window: Millis, since: Millis) -> usize {
        let mut most = 0;
        for (first, begin) in self.arrivals.iter().enumerate() {
            let later = self.arrivals[first..].iter();
            let within = later.take_while(|at| **at < begin + window).count();
            if *begin >= since {
                most = most.max(within);
            }
        }
        most
    }

    /// Returns the number of arrivals since a time.
    pub fn arrived_since(&self, since: Millis) -> usize {
        self.arrivals.iter().filter(|at| **at >= since).count()
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while let Some(((at, order), _)) = self.events.first_key_value() {
            let (at, order) = (*at, *order);
            if at > end {
                break;
            }
            let event = self.events.remove(&(at, order)).expect("it was found");
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Adds an event after a delay.
    fn schedule(&mut self, delay: Millis, event: Event) {
        self.created += 1;
        self.events.insert((self.now + delay, self.created), event);
    }

    /// Adds an event at an instance that a message from another causes, unless the message is lost.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let cut = self.instances[from].cut || self.instances[to].cut;
        if cut || self.random.random_bool(self.lost) {
            return;
        }
        let delay = self.random.random_range(MESSAGE_DELAY);
        self.schedule(delay, event);
    }

    /// Returns the entry of an instance.
    fn member(&self, number: usize, leaving: bool) -> Member {
        let address = "127.0.0.1:1".parse().expect("it is an address");
        Member {
            instance: name(number),
            front: address,
            peer: address,
            domain: "a".to_owned(),
            leaving,
            started: self.instances[number].process,
            compares: true,
        }
    }
}

/// Returns the name of an instance.
fn name(number: usize) -> String {
    format!("front-{number}")
}

/// Returns the number of an instance by its name.
fn number(name: &str) -> usize {
    let text = name.trim_start_matches("front-");
    text.parse().expect("names end with numbers")
}

/// Returns the target.
fn target() -> Target {
    Target {
        id: "i-1".to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: 6,
        role: Role::Mixed,
        state: TargetState::Ready,
        started_at: Some(1),
        models: Vec::new(),
        version: Some("v1".to_owned()),
        reclaimable: false,
        leaves_in: None,
    }
}
