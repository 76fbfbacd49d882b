//! A small model of demand, of targets that boot, and of the platform that takes orders.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::routing_config::ScalingSpec;
use cactuslane_scaling::{
    Capacity, DomainTargets, Kind, Observation, Order, OrderAnswer, Scaler, Status,
};
use cactuslane_types::{DomainName, Millis};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between two decisions, in milliseconds.
pub const STEP: Millis = 250;
/// Boot time of a target, in milliseconds.
pub const BOOT: Millis = 4_000;
/// Time from an order until the registry shows its first effect, in milliseconds.
const LAG: Millis = 750;
/// Time for which a target that was given up still runs, in milliseconds.
const DRAIN: Millis = 2_000;
/// Capacity of a target.
pub const CAPACITY: Capacity = Capacity {
    token_ms: 0.02,
    slots: 64.0,
    kv_tokens: 500_000.0,
};

/// Targets of one failure domain and kind.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Number that serve.
    live: u32,
    /// Times at which targets that boot begin to serve.
    booting: Vec<Millis>,
    /// Times at which targets that are down serve again.
    down: Vec<Millis>,
    /// Times until which targets that were given up are paid for.
    leaving: Vec<Millis>,
    /// Number that was ordered.
    desired: u32,
}

/// What decides on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Nothing is ordered.
    Never,
    /// A sixth more above 70% use, a sixth fewer below 40%.
    Threshold,
    /// A sixth more while requests wait, a sixth fewer after a second in which none did.
    Queue,
    /// The decision under test.
    Forecast,
}

/// What happens during a day.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The demand is multiplied for a time.
    Burst(f64, Millis),
    /// The demand is multiplied for the first seconds, as caches are empty.
    Cold(f64, Millis),
    /// The demand is multiplied from now on.
    Step(f64),
    /// A share of the targets of all domains is down for a time.
    Crash(f64, Millis),
    /// All targets of a domain are lost, and none boot there for a time.
    LoseDomain(&'static str, Millis),
    /// All reclaimable targets of a domain are taken away.
    Reclaim(&'static str),
    /// There are no reclaimable targets to be had for a time.
    NoReclaimable(Millis),
    /// Another instance takes the duty over, without a record.
    Takeover,
    /// The demand of only a third of the instances is known for a time.
    Stale(Millis),
    /// All orders get an answer of this kind for a time, without effect.
    Answers(OrderAnswer, Millis),
    /// Orders are accepted and not followed for a time.
    Ignored(Millis),
    /// Orders have their effect and the answer is lost for a time.
    LostAnswers(Millis),
}

/// What callers got and what it cost.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Demand over capacity, as a share of the whole demand.
    pub lost: f64,
    /// Seconds of targets times their prices.
    pub cost: f64,
    /// Orders that were sent, with their times.
    pub orders: Vec<(Millis, Order)>,
    /// Numbers of targets that serve, in each step.
    pub live: Vec<u32>,
    /// Largest number of targets by failure domain and their smallest one.
    pub bounds: BTreeMap<DomainName, (u32, u32)>,
}

/// One day: demand, events and the policy.
#[derive(Clone, Debug)]
pub struct Day {
    /// What decides.
    pub policy: Policy,
    /// Targets by failure domain at the start.
    pub start: u32,
    /// Mean demand in targets that are fully used.
    pub demand: f64,
    /// Share by which the demand swings, over 11 s.
    pub swing: f64,
    /// Events by time.
    pub events: Vec<(Millis, Event)>,
    /// Length in milliseconds.
    pub length: Millis,
    /// Price of a reclaimable target.
    pub reclaimable_price: Option<f64>,
    /// Seed of the noise.
    pub seed: u64,
}

impl Day {
    /// A day of a policy without events.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            start: 30,
            demand: 20.0,
            swing: 0.27,
            events: Vec::new(),
            length: 60_000,
            reclaimable_price: None,
            seed: 7,
        }
    }

    /// Adds an event.
    pub fn with(mut self, at: Millis, event: Event) -> Self {
        self.events.push((at, event));
        self
    }

    /// Returns the event of a matching kind that is in progress.
    fn active<T>(&self, now: Millis, pick: impl Fn(&Event) -> Option<(T, Millis)>) -> Option<T> {
        for (at, event) in &self.events {
            if let Some((value, length)) = pick(event)
                && now >= *at
                && now < at + length
            {
                return Some(value);
            }
        }
        None
    }

    /// Returns the demand at a time, in targets that are fully used.
    fn demand_at(&self, now: Millis) -> f64 {
        let phase = now as f64 / 11_000.0 * std::f64::consts::TAU;
        let mut demand = self.demand * (1.0 + self.swing * phase.sin());
        for (at, event) in &self.events {
            match event {
                Event::Burst(factor, length) | Event::Cold(factor, length)
                    if now >= *at && now < at + length =>
                {
                    demand *= factor;
                }
                Event::Step(factor) if now >= *at => demand *= factor,
                _ => {}
            }
        }
        demand
    }

    /// Plays the day.
    pub fn play(&self) -> Outcome {
        let spec = spec(self.reclaimable_price);
        let mut platform = Platform::new(&spec, self.start);
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut scaler = Scaler::default();
        let mut outcome = Outcome::default();
        let (mut tokens, mut asked, mut lost) = (0.0, 0.0, 0.0);
        let (mut backlog, mut quiet) = (0.0, 0);
        for step in 0..self.length / STEP {
            let now = step * STEP;
            for (at, event) in &self.events {
                if *at == now {
                    platform.apply(event, now);
                    if *event == Event::Takeover {
                        scaler = Scaler::default();
                    }
                }
            }
            platform.advance(now);
            let demand = self.demand_at(now) * rng.random_range(0.85..1.15);
            let live = platform.live();
            let served = (demand + backlog).min(f64::from(live));
            // What waits for more than a second is lost.
            let waiting = demand + backlog - served;
            backlog = waiting.min(f64::from(live) * 0.5);
            lost += waiting - backlog;
            asked += demand;
            outcome.live.push(live);
            platform.bill(&mut outcome);
            match self.policy {
                Policy::Never => {}
                Policy::Threshold => {
                    let used = demand / f64::from(live.max(1));
                    platform.scale_all(used > 0.7, used < 0.4, now);
                }
                Policy::Queue => {
                    quiet = if waiting > 0.0 { 0 } else { quiet + 1 };
                    platform.scale_all(waiting > 0.0, quiet > 0 && quiet % 4 == 0, now);
                }
                Policy::Forecast => {
                    let heard = self.active(now, |event| match event {
                        Event::Stale(length) => Some((0.33, *length)),
                        _ => None,
                    });
                    tokens += demand * 0.7 * STEP as f64 / CAPACITY.token_ms * heard.unwrap_or(1.0);
                    let observed = Observation {
                        prompt_tokens: tokens as u64,
                        streams: demand * 0.3 * CAPACITY.slots * heard.unwrap_or(1.0),
                        kv_tokens: 0.0,
                        queued_tokens: backlog * 50.0 / CAPACITY.token_ms,
                    };
                    scaler.observe(&observed, &spec, now);
                    let status = platform.status(heard.is_none());
                    let plan = scaler.plan(&spec, &CAPACITY, &status, now);
                    for order in plan.orders {
                        let answer = self.answer(&mut platform, &order, now);
                        scaler.answered(&order, answer, now);
                        outcome.orders.push((now, order));
                    }
                }
            }
        }
        outcome.lost = lost / asked;
        outcome
    }

    /// Has the platform take an order, as the events of the day permit.
    fn answer(&self, platform: &mut Platform, order: &Order, now: Millis) -> OrderAnswer {
        let refused = self.active(now, |event| match event {
            Event::Answers(answer, length) => Some((*answer, *length)),
            Event::NoReclaimable(length) if order.kind == Kind::Reclaimable => {
                Some((OrderAnswer::Unavailable, *length))
            }
            Event::Ignored(length) => Some((OrderAnswer::Accepted, *length)),
            _ => None,
        });
        if let Some(answer) = refused {
            return answer;
        }
        platform.order(order, now);
        let lost = self.active(now, |event| match event {
            Event::LostAnswers(length) => Some(((), *length)),
            _ => None,
        });
        match lost {
            Some(()) => OrderAnswer::Unknown,
            None => OrderAnswer::Accepted,
        }
    }
}

/// Limits and prices of the model's service.
pub fn spec(reclaimable_price: Option<f64>) -> ScalingSpec {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    ScalingSpec {
        min: 1,
        max: 60,
        boot_time: Duration::from_millis(BOOT),
        reclaimable_price,
        prices: prices
            .iter()
            .map(|(name, price)| ((*name).to_owned(), *price))
            .collect(),
    }
}

/// The platform that takes orders, with all targets.
#[derive(Clone, Debug)]
struct Platform {
    /// Limits and prices.
    spec: ScalingSpec,
    /// Targets by failure domain and kind.
    groups: BTreeMap<(DomainName, Kind), Group>,
    /// Domains in which no targets boot, with the times until then.
    dead: BTreeMap<DomainName, Millis>,
    /// Orders without effect yet, with the times of that.
    accepted: Vec<(Millis, Order)>,
}

impl Platform {
    /// Creates a platform with `start` ordinary targets in each domain.
    fn new(spec: &ScalingSpec, start: u32) -> Self {
        let mut groups = BTreeMap::new();
        for domain in spec.prices.keys() {
            let group = Group {
                live: start,
                desired: start,
                ..Group::default()
            };
            groups.insert((domain.clone(), Kind::Ordinary), group);
            groups.insert((domain.clone(), Kind::Reclaimable), Group::default());
        }
        Self {
            spec: spec.clone(),
            groups,
            dead: BTreeMap::new(),
            accepted: Vec::new(),
        }
    }

    /// Takes an order within the limits of both kinds together.
    fn order(&mut self, order: &Order, now: Millis) {
        let mut total = order.count;
        for ((domain, kind), group) in &self.groups {
            if *domain == order.domain && *kind != order.kind {
                total += group.desired;
            }
        }
        assert!(
            total >= self.spec.min && total <= self.spec.max,
            "{order:?}: {total}"
        );
        self.accepted.push((now + LAG, order.clone()));
    }

    /// Scales all domains by a sixth, if asked to.
    fn scale_all(&mut self, up: bool, down: bool, now: Millis) {
        for ((_, kind), group) in &mut self.groups {
            if *kind == Kind::Ordinary && group.booting.is_empty() && group.leaving.is_empty() {
                let step = (group.live / 6).max(1);
                if up {
                    group.desired = (group.live + step).min(self.spec.max);
                } else if down {
                    group.desired = group.live.saturating_sub(step).max(self.spec.min);
                }
            }
        }
        self.advance(now);
    }

    /// Applies an event.
    fn apply(&mut self, event: &Event, now: Millis) {
        for ((domain, kind), group) in &mut self.groups {
            match event {
                Event::Crash(share, length) => {
                    let count = (f64::from(group.live) * share) as u32;
                    group.live -= count;
                    group.down.extend(vec![now + length; count as usize]);
                }
                Event::LoseDomain(lost, length) if lost == domain => {
                    let count = group.live as usize;
                    group.live = 0;
                    group.down.extend(vec![now + length; count]);
                    group.booting.clear();
                    self.dead.insert(domain.clone(), now + length);
                }
                Event::Reclaim(lost) if lost == domain && *kind == Kind::Reclaimable => {
                    *group = Group::default();
                }
                _ => {}
            }
        }
    }

    /// Starts and stops targets as ordered.
    fn advance(&mut self, now: Millis) {
        for (at, order) in std::mem::take(&mut self.accepted) {
            let key = (order.domain.clone(), order.kind);
            if now < at {
                self.accepted.push((at, order));
            } else if let Some(group) = self.groups.get_mut(&key) {
                group.desired = order.count;
            }
        }
        for ((domain, _), group) in &mut self.groups {
            let is_dead = self.dead.get(domain).is_some_and(|until| now < *until);
            let before = group.booting.len() + group.down.len();
            group.booting.retain(|at| now < *at);
            group.down.retain(|at| now < *at);
            group.leaving.retain(|at| now < *at);
            group.live += (before - group.booting.len() - group.down.len()) as u32;
            let members =
                |group: &Group| group.live + group.booting.len() as u32 + group.down.len() as u32;
            while members(group) < group.desired && !is_dead {
                group.booting.push(now + BOOT);
            }
            while members(group) > group.desired {
                if group.booting.pop().is_none() {
                    if group.live == 0 {
                        break;
                    }
                    group.live -= 1;
                    group.leaving.push(now + DRAIN);
                }
            }
        }
    }

    /// Returns the number of targets that serve.
    fn live(&self) -> u32 {
        self.groups.values().map(|group| group.live).sum()
    }

    /// Adds the seconds of one step to the outcome.
    fn bill(&self, outcome: &mut Outcome) {
        let seconds = STEP as f64 / 1000.0;
        let mut totals: BTreeMap<DomainName, u32> = BTreeMap::new();
        for ((domain, kind), group) in &self.groups {
            let count = group.live as usize + group.booting.len() + group.leaving.len();
            let mut price = self.spec.prices[domain];
            if *kind == Kind::Reclaimable {
                price *= self.spec.reclaimable_price.unwrap_or(1.0);
            }
            outcome.cost += seconds * price * count as f64;
            *totals.entry(domain.clone()).or_default() += group.live;
        }
        for (domain, total) in totals {
            let bounds = outcome.bounds.entry(domain).or_insert((total, total));
            *bounds = (bounds.0.max(total), bounds.1.min(total));
        }
    }

    /// Returns what an instance knows of the targets.
    fn status(&self, is_complete: bool) -> Status {
        let mut domains: BTreeMap<DomainName, DomainTargets> = BTreeMap::new();
        for ((domain, kind), group) in &self.groups {
            let targets = domains.entry(domain.clone()).or_default();
            match kind {
                Kind::Ordinary => targets.ordinary = group.live,
                Kind::Reclaimable => targets.reclaimable = group.live,
            }
        }
        let live = self.live();
        let prefill = (f64::from(live) * 0.66) as u32;
        Status {
            domains,
            prefill,
            decode: live - prefill,
            objective: Duration::from_millis(250),
            is_complete,
        }
    }
}
