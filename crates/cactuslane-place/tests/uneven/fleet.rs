//! Instances that place requests on plain targets of unlike speed, in virtual time.

use std::collections::{BTreeMap, VecDeque};

use cactuslane_flight::target::{Target, TargetState};
use cactuslane_place::load_view::PeerUpdate;
use cactuslane_place::{CrashUpdate, Load, Placer};
use cactuslane_types::{Millis, Role};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::policies::{Policy, Rivals};

/// Time between an instance's updates, in milliseconds.
const UPDATE_INTERVAL: Millis = 150;
/// Average work of a request, in milliseconds.
pub const WORK: f64 = 30.0;
/// Time within which an answer is in time, in milliseconds.
pub const OBJECTIVE: Millis = 100;
/// Number of slots of a target.
pub const SLOTS: u32 = 6;

/// How a target works.
#[derive(Clone, Copy, Debug)]
pub struct Nature {
    /// Average factor on the time of its work.
    pub slow: f64,
    /// Largest factor by which it is faster or slower at a moment.
    pub swing: f64,
    /// Time between two changes of its speed, in milliseconds.
    pub period: Millis,
    /// Number of requests beyond which all of them are slower.
    pub knee: u32,
    /// Figure that it tells; none, or one that does not change, if it lies.
    pub figure: Figure,
}

/// What a target tells of its speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Figure {
    /// The truth.
    True,
    /// Nothing.
    Absent,
    /// Always this factor.
    Always(f64),
}

/// A target that takes all its slots well and works as fast as usual.
pub const USUAL: Nature = Nature {
    slow: 1.0,
    swing: 1.0,
    period: 1_000,
    knee: SLOTS,
    figure: Figure::True,
};

/// A load to play.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Natures of the targets.
    pub natures: Vec<Nature>,
    /// Changes of natures: the time in milliseconds, the target and its nature from then on.
    pub changes: Vec<(Millis, usize, Nature)>,
    /// Number of instances.
    pub instances: usize,
    /// Requests a millisecond over all instances.
    pub rate: f64,
    /// Length in milliseconds.
    pub length: Millis,
    /// Time from which requests count, in milliseconds.
    pub warm_up: Millis,
    /// Time at which half of the instances start anew, if they do.
    pub restart: Option<Millis>,
    /// Seed.
    pub seed: u64,
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests and those in time, by target.
    pub targets: Vec<(u32, u32)>,
    /// Times of the answers in milliseconds.
    pub times: Vec<Millis>,
    /// Capacities that the first instance believed in at the end, by target.
    pub capacities: Vec<f64>,
    /// Average factors that it believed in.
    pub slowdowns: Vec<f64>,
    /// Chosen targets, in order.
    pub choices: Vec<usize>,
}

impl Outcome {
    /// Returns the share of the requests that were answered in time.
    pub fn in_time(&self) -> f64 {
        let all: u32 = self.targets.iter().map(|(all, _)| all).sum();
        let good: u32 = self.targets.iter().map(|(_, good)| good).sum();
        f64::from(good) / f64::from(all.max(1))
    }

    /// Returns the share of the requests that a target got.
    pub fn share(&self, target: usize) -> f64 {
        let all: u32 = self.targets.iter().map(|(all, _)| all).sum();
        f64::from(self.targets[target].0) / f64::from(all.max(1))
    }
}

/// A request at a target.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Instance that sent it.
    instance: usize,
    /// Time at which it was sent.
    sent: Millis,
    /// Number of requests that its instance expected at the target.
    ahead: f64,
    /// Work that is left, in milliseconds at the usual speed.
    left: f64,
}

/// A target with its requests.
#[derive(Clone, Debug)]
struct Server {
    /// How it works.
    nature: Nature,
    /// Factor on the time of its work now.
    slow: f64,
    /// Requests that run.
    running: Vec<Running>,
    /// Requests that wait, oldest first.
    waiting: VecDeque<Running>,
}

impl Server {
    /// Works for a millisecond and returns the requests that ended.
    fn work(&mut self, now: Millis, random: &mut Pcg64Mcg) -> Vec<Running> {
        if now.is_multiple_of(self.nature.period) {
            let swing = self.nature.swing.ln();
            self.slow = self.nature.slow * (random.random_range(-1.0..=1.0) * swing).exp();
        }
        let crowd = f64::from(self.running.len() as u32) / f64::from(self.nature.knee);
        let done = 1.0 / (self.slow * crowd.max(1.0));
        let mut ended = Vec::new();
        self.running.retain_mut(|request| {
            request.left -= done;
            if request.left <= 0.0 {
                ended.push(*request);
            }
            request.left > 0.0
        });
        while self.running.len() < SLOTS as usize {
            let Some(next) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(next);
        }
        ended
    }

    /// Returns the figure that an answer tells.
    fn figure(&self) -> Option<f64> {
        match self.nature.figure {
            Figure::True => Some(self.slow),
            Figure::Absent => None,
            Figure::Always(factor) => Some(factor),
        }
    }
}

/// Plays a load and returns what callers got.
pub fn play(scenario: &Scenario, policy: Policy) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(scenario.seed);
    let count = scenario.natures.len();
    let targets: Vec<Target> = (0..count).map(target).collect();
    let listed: Vec<&Target> = targets.iter().collect();
    let mut servers: Vec<Server> = scenario
        .natures
        .iter()
        .map(|nature| server(*nature))
        .collect();
    let new = |instance: usize| Placer::new("a".to_owned(), scenario.seed + instance as u64);
    let mut placers: Vec<Placer> = (0..scenario.instances).map(new).collect();
    let mut rivals = vec![Rivals::new(&scenario.natures); scenario.instances];
    let mut outcome = Outcome {
        targets: vec![(0, 0); count],
        ..Outcome::default()
    };
    let load = Load {
        running: 1,
        ..Load::default()
    };
    for now in 1..=scenario.length {
        for (at, index, nature) in &scenario.changes {
            if *at == now {
                servers[*index].nature = *nature;
                servers[*index].slow = nature.slow;
            }
        }
        if scenario.restart == Some(now) {
            for (instance, placer) in placers.iter_mut().enumerate().skip(scenario.instances / 2) {
                let loads = placer.load_view.loads();
                *placer = new(instance);
                for (target, load) in loads {
                    placer.load_view.add(&target, load);
                }
            }
        }
        for (index, server) in servers.iter_mut().enumerate() {
            let counts = (server.running.len() as u32, server.waiting.len() as u32);
            for request in server.work(now, &mut random) {
                let elapsed = now - request.sent;
                if request.sent >= scenario.warm_up {
                    let (all, good) = &mut outcome.targets[index];
                    *all += 1;
                    *good += u32::from(elapsed <= OBJECTIVE);
                    outcome.times.push(elapsed);
                }
                let placer = &mut placers[request.instance];
                placer.load_view.remove(&targets[index].id, load);
                let (running, waiting) = counts;
                let figure = server.figure();
                let known = placer.load_view.load(&targets[index].id, now).running;
                placer
                    .queues
                    .observe(&targets[index].id, running, waiting, known, now);
                if policy == Policy::Paces {
                    let told = Some((running, waiting));
                    placer
                        .paces
                        .observe_told(&targets[index], told, figure, now);
                    let (elapsed, ahead) = (elapsed as f64, request.ahead);
                    placer.answered_plain(&targets[index], elapsed, 100.0, ahead, now);
                } else {
                    placer.answered(&targets[index].id, elapsed as f64, 100.0, now);
                }
                rivals[request.instance].answered(index, elapsed as f64, figure);
            }
        }
        if random.random_range(0.0..1.0) < scenario.rate {
            let instance = random.random_range(0..scenario.instances);
            let placer = &mut placers[instance];
            let rival = &mut rivals[instance];
            let index = choose(policy, placer, rival, &listed, &mut random, now);
            let index = index.expect("there is a target");
            outcome.choices.push(index);
            let ahead = placer.count_plain(&targets[index].id, now);
            placer.load_view.add(&targets[index].id, load);
            servers[index].waiting.push_back(Running {
                instance,
                sent: now,
                ahead,
                left: WORK * random.random_range(0.5..1.5),
            });
        }
        exchange(&mut placers, now);
    }
    let beliefs: BTreeMap<_, _> = placers[0].paces.beliefs(scenario.length).collect();
    for target in &targets {
        outcome.capacities.push(placers[0].paces.capacity(target));
        let belief = beliefs.get(&target.id);
        outcome
            .slowdowns
            .push(belief.map_or(1.0, |belief| belief.slowdown));
    }
    outcome
}

/// Returns the index of the target that a way to choose takes.
fn choose(
    policy: Policy,
    placer: &mut Placer,
    rival: &mut Rivals,
    listed: &[&Target],
    random: &mut Pcg64Mcg,
    now: Millis,
) -> Option<usize> {
    if matches!(policy, Policy::Paces | Policy::Before) {
        let chosen = placer.place_plain(listed, &[], now);
        return chosen.and_then(|id| listed.iter().position(|target| target.id == id));
    }
    let count = |target: &&Target| placer.count_plain(&target.id, now);
    let counts: Vec<f64> = listed.iter().map(count).collect();
    rival.choose(policy, &counts, random)
}

/// Lets each instance tell the others of its load at its time.
fn exchange(placers: &mut [Placer], now: Millis) {
    for sender in 0..placers.len() {
        let turn = now + 7 * sender as Millis;
        if turn.is_multiple_of(UPDATE_INTERVAL) {
            let update = PeerUpdate {
                instance: format!("i{sender}"),
                started: 1,
                sequence: now,
                loads: placers[sender].load_view.loads(),
                cache_updates: Vec::new(),
                placed: placers[sender].load_view.own_placed(),
                changing: Vec::new(),
                observations: Vec::new(),
                crashes: CrashUpdate::default(),
            };
            for (_, placer) in others(placers, sender) {
                placer.apply_update(&update, |_| 0, now);
            }
        }
    }
}

/// Returns all instances but one.
fn others(placers: &mut [Placer], one: usize) -> impl Iterator<Item = (usize, &mut Placer)> {
    let all = placers.iter_mut().enumerate();
    all.filter(move |(instance, _)| *instance != one)
}

/// Creates an idle target.
fn server(nature: Nature) -> Server {
    Server {
        nature,
        slow: nature.slow,
        running: Vec::new(),
        waiting: VecDeque::new(),
    }
}

/// Returns the entry of a target.
pub fn target(index: usize) -> Target {
    Target {
        id: format!("w{index}"),
        service: "app".to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: SLOTS,
        role: Role::Mixed,
        state: TargetState::Ready,
        started_at: None,
        models: Vec::new(),
        version: None,
        reclaimable: false,
        leaves_in: None,
    }
}
