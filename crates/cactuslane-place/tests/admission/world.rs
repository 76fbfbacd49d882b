//! Instances that decide by old views of the targets, and callers that compete for them, in virtual
//! time.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_place::{Admission, AdmissionRequest, Decision};
use cactuslane_types::{CustomerName, Millis};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between the views that an instance gets of the targets, in milliseconds.
const VIEW_INTERVAL: Millis = 150;
/// Time between the reports of customers' work, in milliseconds.
const REPORT_INTERVAL: Millis = 1_000;
/// Number of failure domains.
const DOMAINS: usize = 3;
/// Time after the beginning from which requests count, in milliseconds.
const WARM_UP: Millis = 3_000;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time at a target in milliseconds.
    pub work: Millis,
    /// Latency objective in milliseconds.
    pub objective: Millis,
    /// Time from the first arrival until the caller leaves, in milliseconds.
    pub deadline: Millis,
}

/// An urgent, short kind.
pub const CHECK: Kind = Kind {
    priority: 0,
    work: 20,
    objective: 250,
    deadline: 3_000,
};
/// A less urgent, long kind.
pub const REPORT: Kind = Kind {
    priority: 2,
    work: 60,
    objective: 1_200,
    deadline: 5_000,
};

/// A load to play.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of instances.
    pub instances: usize,
    /// Work that callers ask for, as a multiple of what the targets can do.
    pub overload: f64,
    /// Customers with their shares of the requests, in any unit.
    pub customers: Vec<(CustomerName, f64)>,
    /// Kinds of requests, all equally frequent.
    pub kinds: Vec<Kind>,
    /// Time for which requests arrive, in milliseconds.
    pub length: Millis,
    /// Times from which and to which the load applies; outside it is 0.5.
    pub burst: Option<(Millis, Millis)>,
    /// Time from which the targets of the first domain are gone.
    pub lost_at: Option<Millis>,
    /// Time from which reports of customers' work are no longer delivered.
    pub silent_from: Option<Millis>,
    /// Customer whose callers repeat five times at once instead of once at the time told.
    pub abuser: Option<CustomerName>,
    /// Whether admission is used; otherwise only what misses its deadline is refused.
    pub admission: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            instances: 24,
            overload: 0.7,
            customers: (0..20)
                .map(|number| (format!("c{number:02}"), 1.0))
                .collect(),
            kinds: vec![CHECK, REPORT],
            length: 20_000,
            burst: None,
            lost_at: None,
            silent_from: None,
            abuser: None,
            admission: true,
        }
    }
}

/// Requests of a group and what became of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests that callers began.
    pub asked: u32,
    /// Requests answered within their objective.
    pub on_time: u32,
    /// Requests answered later, before the callers left.
    pub late: u32,
}

impl Tally {
    /// Returns the share of the requests that were answered within their objective.
    pub fn on_time(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }

    /// Returns the share of the requests that were answered.
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.asked.max(1))
    }
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// All requests.
    pub all: Tally,
    /// Requests by customer.
    pub customers: BTreeMap<CustomerName, Tally>,
    /// Requests by the index of their kind.
    pub kinds: BTreeMap<usize, Tally>,
    /// Requests by the domain of the instance that they first arrived at.
    pub domains: BTreeMap<usize, Tally>,
    /// Longest time in milliseconds for which a request was held and then refused.
    pub longest_hold: Millis,
    /// Arrivals of repeats by time in slices of 50 ms.
    pub returns: BTreeMap<Millis, u32>,
    /// Largest number of requests that waited at one instance.
    pub most_waiting: usize,
}

/// A request on its way.
#[derive(Clone, Debug)]
struct Call {
    /// Customer that sends it.
    customer: CustomerName,
    /// Index of its kind.
    kind: usize,
    /// Domain of its first instance.
    domain: usize,
    /// Time of the first attempt.
    first: Millis,
    /// Time of this attempt.
    arrived: Millis,
    /// Number of attempts before.
    tries: u32,
    /// Fingerprint.
    fingerprint: u64,
    /// Instance of this attempt.
    instance: usize,
}

/// Something that happens.
#[derive(Clone, Debug)]
enum Event {
    /// A caller begins a request.
    Begin,
    /// A request arrives at an instance, or looks for room again.
    Decide(Call, Option<cactuslane_place::Waiting>),
    /// An instance gets a new view of the targets.
    View(usize),
    /// An instance sends its report of customers' work.
    Report(usize),
}

/// An instance.
struct Instance {
    /// Its decisions.
    admission: Admission,
    /// Time up to which each target is busy, by the last view and own requests since.
    view: Vec<Millis>,
    /// Number of reports sent.
    reports: u64,
}

/// The instances, the targets and what is to happen.
struct World<'s> {
    /// The load.
    scenario: &'s Scenario,
    /// Time up to which each target is busy.
    targets: Vec<Millis>,
    /// The instances.
    instances: Vec<Instance>,
    /// What is to happen, by time and number.
    events: BTreeMap<(Millis, u64), Event>,
    /// Number of events so far.
    number: u64,
    /// Source of all draws.
    random: Pcg64Mcg,
    /// Result so far.
    outcome: Outcome,
}

/// Plays a load and returns what callers got.
pub fn play(scenario: &Scenario) -> Outcome {
    let new = |seed| Instance {
        admission: Admission::new(seed),
        view: vec![0; 6],
        reports: 0,
    };
    let mut world = World {
        scenario,
        targets: vec![0; 6],
        instances: (0..scenario.instances as u64).map(new).collect(),
        events: BTreeMap::new(),
        number: 0,
        random: Pcg64Mcg::seed_from_u64(7),
        outcome: Outcome::default(),
    };
    world.push(0, Event::Begin);
    for index in 0..scenario.instances {
        let offset = index as Millis * 6;
        world.push(offset % VIEW_INTERVAL, Event::View(index));
        world.push(offset * 7 % REPORT_INTERVAL, Event::Report(index));
    }
    while let Some(((now, _), event)) = world.events.pop_first() {
        world.handle(event, now);
    }
    world.outcome
}

impl World<'_> {
    /// Adds something that happens.
    fn push(&mut self, at: Millis, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    /// Lets something happen.
    fn handle(&mut self, event: Event, now: Millis) {
        let is_over = now > self.scenario.length;
        match event {
            Event::Begin if !is_over => self.begin(now),
            Event::Decide(call, waiting) => self.decide(call, waiting, now),
            Event::View(index) if !is_over => {
                self.instances[index].view.clone_from(&self.targets);
                self.push(now + VIEW_INTERVAL, Event::View(index));
            }
            Event::Report(index) if !is_over => self.report(index, now),
            _ => {}
        }
    }

    /// Sends an instance's report to all others.
    fn report(&mut self, index: usize, now: Millis) {
        self.push(now + REPORT_INTERVAL, Event::Report(index));
        if self.scenario.silent_from.is_some_and(|from| now >= from) {
            return;
        }
        let instance = &mut self.instances[index];
        instance.reports += 1;
        let version = (1, instance.reports);
        let Some(report) = instance.admission.report("models", version, now) else {
            return;
        };
        for (other, instance) in self.instances.iter_mut().enumerate() {
            if other != index {
                let shares = &mut instance.admission.shares;
                shares.apply(&format!("i{index}"), report.clone(), now);
            }
        }
    }

    /// Begins a request and sets the time of the next one.
    fn begin(&mut self, now: Millis) {
        let scenario = self.scenario;
        let is_on = scenario
            .burst
            .is_none_or(|(from, to)| (from..to).contains(&now));
        let overload = if is_on { scenario.overload } else { 0.5 };
        let work: Millis = scenario.kinds.iter().map(|kind| kind.work).sum();
        let mean = work as f64 / scenario.kinds.len() as f64;
        let rate = overload * self.targets.len() as f64 / mean;
        let mut at = 0.0;
        // Several requests may begin within a millisecond.
        while at < 1.0 {
            let total: f64 = scenario.customers.iter().map(|(_, weight)| weight).sum();
            let mut left = self.random.random_range(0.0..total);
            let mut customers = scenario.customers.iter();
            let customer = customers.find(|(_, weight)| {
                left -= weight;
                left < 0.0
            });
            let customer = customer.map_or(String::new(), |(name, _)| name.clone());
            let kind = self.random.random_range(0..scenario.kinds.len());
            let instance = self.random.random_range(0..self.instances.len());
            let call = Call {
                customer,
                kind,
                domain: instance % DOMAINS,
                first: now,
                arrived: now,
                tries: 0,
                fingerprint: self.random.random_range(1..u64::MAX),
                instance,
            };
            self.count(&call, |tally| tally.asked += 1);
            self.push(now, Event::Decide(call, None));
            let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
            at += -draw.ln() / rate;
        }
        self.push(now + at as Millis, Event::Begin);
    }

    /// Lets an instance decide about a request.
    fn decide(&mut self, call: Call, waiting: Option<cactuslane_place::Waiting>, now: Millis) {
        let kind = self.scenario.kinds[call.kind];
        let lost = self.scenario.lost_at.is_some_and(|at| now >= at);
        let random = &mut self.random;
        let instance = &mut self.instances[call.instance];
        let mut best = (Millis::MAX, 0);
        // Two targets are drawn, as all instances would take the same best one of an old view.
        while best.0 == Millis::MAX || random.random_bool(0.5) {
            let target = random.random_range(0..instance.view.len());
            if lost && target % DOMAINS == 0 {
                continue;
            }
            best = best.min((instance.view[target].saturating_sub(now), target));
        }
        let (_, target) = best;
        let wait = instance.view[target].saturating_sub(now);
        let left = (call.first + kind.deadline).saturating_sub(now);
        let request = AdmissionRequest {
            customer: Some(&call.customer),
            priority: kind.priority,
            fingerprint: call.fingerprint,
            work: kind.work as f64,
            service_ms: kind.work as f64,
            wait_ms: wait as f64,
            target_ms: kind.work as f64,
            rivals: (self.scenario.instances - 1) as f64 / self.targets.len() as f64,
            view_age: Duration::from_millis(VIEW_INTERVAL),
            stated: Some(Duration::from_millis(
                call.first + kind.deadline - call.arrived,
            )),
            waited: Duration::from_millis(now - call.arrived),
            objective: Duration::from_millis(kind.objective),
            left: Duration::from_millis(left),
        };
        let (decision, waiting) = if self.scenario.admission {
            let verdict = instance.admission.decide(&request, waiting, now);
            (verdict.decision, verdict.waiting)
        } else if wait + kind.work > left {
            let excess = Duration::from_millis(wait + kind.work - left);
            let after = (excess * 2 + Duration::from_millis(700)).min(request.left / 3);
            let cause = cactuslane_place::RefusalCause::Deadline;
            (Decision::Refuse { after, cause }, None)
        } else {
            (Decision::Run, None)
        };
        let length = instance.admission.waiting();
        self.outcome.most_waiting = self.outcome.most_waiting.max(length);
        match decision {
            Decision::Run => self.run(&call, target, now),
            Decision::Wait(time) => {
                let at = now + (time.as_millis() as Millis).max(1);
                self.push(at, Event::Decide(call, waiting));
            }
            Decision::Refuse { after, .. } => self.refuse(call, after, now),
        }
    }

    /// Runs a request at a target.
    fn run(&mut self, call: &Call, target: usize, now: Millis) {
        let kind = self.scenario.kinds[call.kind];
        let view = &mut self.instances[call.instance].view[target];
        *view = (*view).max(now) + kind.work;
        let start = self.targets[target].max(now);
        // A target drops what its caller has left.
        if start > call.first + kind.deadline {
            return;
        }
        self.targets[target] = start + kind.work;
        let took = start + kind.work - call.first;
        if took > kind.deadline {
            return;
        }
        self.count(call, |tally| {
            if took <= kind.objective {
                tally.on_time += 1;
            } else {
                tally.late += 1;
            }
        });
    }

    /// Refuses a request, whose caller may return.
    fn refuse(&mut self, call: Call, after: Duration, now: Millis) {
        let held = now - call.arrived;
        self.outcome.longest_hold = self.outcome.longest_hold.max(held);
        let kind = self.scenario.kinds[call.kind];
        let is_abuser = self.scenario.abuser.as_ref() == Some(&call.customer);
        let (most, wait) = if is_abuser {
            (5, 10)
        } else {
            (1, after.as_millis() as Millis)
        };
        let at = now + wait;
        if call.tries >= most || at >= call.first + kind.deadline {
            return;
        }
        // Half of the callers keep their connections.
        let instance = if self.random.random_bool(0.5) {
            call.instance
        } else {
            self.random.random_range(0..self.instances.len())
        };
        *self.outcome.returns.entry(at / 50).or_default() += 1;
        let call = Call {
            tries: call.tries + 1,
            arrived: at,
            instance,
            ..call
        };
        self.push(at, Event::Decide(call, None));
    }

    /// Counts a request in all its groups.
    fn count(&mut self, call: &Call, add: impl Fn(&mut Tally)) {
        if call.first < WARM_UP {
            return;
        }
        let outcome = &mut self.outcome;
        add(&mut outcome.all);
        add(outcome.customers.entry(call.customer.clone()).or_default());
        add(outcome.kinds.entry(call.kind).or_default());
        add(outcome.domains.entry(call.domain).or_default());
    }
}
