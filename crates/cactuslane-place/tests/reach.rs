//! Detection of an instance's own cut from all targets, and the choice of instances that serve its
//! callers.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_place::{Reach, ReachChange, ReachReport};
use cactuslane_types::{DomainName, InstanceId, Millis, ServiceName, TargetId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Length of a step of the simulation, in milliseconds.
const STEP: Millis = 50;
/// Interval between the reports of an instance, in milliseconds.
const REPORT_INTERVAL: Millis = 400;
/// Time after which a connection that hangs is given up, in milliseconds.
const CONNECT_TIMEOUT: Millis = 450;

/// A kind of deployment.
#[derive(Clone, Copy, Debug)]
struct Site {
    /// Requests a second at each instance.
    rate: f64,
    /// Time from the beginning of a cut within which it must be known, in milliseconds.
    contact: Millis,
}

/// A deployment of seven instances.
const SMALL: Site = Site {
    rate: 15.0,
    contact: 3_000,
};
/// A deployment of 85 instances.
const GROWN: Site = Site {
    rate: 4.0,
    contact: 4_000,
};

/// How the links of an instance that is cut off fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Connections hang, old ones too.
    Hang,
    /// Connections are closed and new ones refused.
    Reset,
    /// New connections are refused, and old ones go on.
    RefuseNew,
}

/// Instances that send requests to targets, each at a rate.
struct World {
    /// The time, in milliseconds.
    now: Millis,
    /// The instances.
    instances: BTreeMap<InstanceId, Reach>,
    /// The targets with their services.
    targets: Vec<(TargetId, ServiceName)>,
    /// The targets that are down.
    down: BTreeSet<TargetId>,
    /// The instances that are cut off from all targets.
    cut: BTreeMap<InstanceId, Mode>,
    /// Events that are due at a time.
    due: Vec<(Millis, InstanceId, Event)>,
    /// Requests a second at each instance.
    rate: f64,
    /// The random numbers.
    rng: Pcg64Mcg,
}

/// What happens to an instance at a time.
enum Event {
    /// A connection for a request is made, or not.
    Connected(bool),
    /// A trial connection is made, or not.
    Tried(TargetId, bool),
    /// A byte of a target arrives, unless that is down.
    Heard(TargetId),
}

impl World {
    /// Creates instances, 12 engines and 3 targets of a plain service.
    fn new(count: usize, rate: f64, seed: u64) -> Self {
        let mut targets = Vec::new();
        for number in 0..15 {
            let service = if number < 12 { "model" } else { "register" };
            targets.push((format!("t-{number}"), service.to_owned()));
        }
        let names = (0..count).map(|number| format!("front-{number:02}"));
        Self {
            now: 0,
            instances: names.map(|name| (name, Reach::default())).collect(),
            targets,
            down: BTreeSet::new(),
            cut: BTreeMap::new(),
            due: Vec::new(),
            rate,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Runs the instances for a time; returns the instances that found themselves cut off, with the
    /// times.
    fn run(&mut self, time: Millis) -> Vec<(InstanceId, Millis)> {
        let end = self.now + time;
        let mut lost = Vec::new();
        while self.now < end {
            self.now += STEP;
            self.apply_due();
            let names: Vec<InstanceId> = self.instances.keys().cloned().collect();
            for name in &names {
                self.send_requests(name);
                let now = self.now;
                let reach = self.instances.get_mut(name).expect("it exists");
                if let Some(ReachChange::Lost(..)) = reach.update(now) {
                    lost.push((name.clone(), now));
                }
                for target in reach.begin_round(&self.targets, &mut self.rng, now) {
                    let (made, after) = self.connect(name, &target);
                    let event = Event::Tried(target, made);
                    self.due.push((now + after, name.clone(), event));
                }
                if now.is_multiple_of(REPORT_INTERVAL) {
                    let report = self.instances[name].report(1, now);
                    for (other, reach) in &mut self.instances {
                        if other != name {
                            reach.apply_report(name, report, now);
                        }
                    }
                }
            }
        }
        lost
    }

    /// Applies the events that are due.
    fn apply_due(&mut self) {
        let now = self.now;
        let (due, later) = self.due.drain(..).partition(|(at, ..)| *at <= now);
        self.due = later;
        for (_, name, event) in due {
            let hears = self
                .cut
                .get(&name)
                .is_none_or(|mode| *mode == Mode::RefuseNew);
            let reach = self.instances.get_mut(&name).expect("it exists");
            match event {
                Event::Connected(made) => reach.record_connection(made, now),
                Event::Tried(target, made) => reach.record_trial(&target, made),
                Event::Heard(target) if hears && !self.down.contains(&target) => {
                    reach.record_heard(now);
                }
                Event::Heard(_) => {}
            }
        }
    }

    /// Returns whether a connection to a target is made, and after which time that is known.
    fn connect(&self, name: &str, target: &str) -> (bool, Millis) {
        match self.cut.get(name) {
            Some(Mode::Hang) => (false, CONNECT_TIMEOUT),
            Some(Mode::Reset | Mode::RefuseNew) => (false, 1),
            None => (!self.down.contains(target), 1),
        }
    }

    /// Sends the requests of one step, half of them on new connections.
    fn send_requests(&mut self, name: &str) {
        if !self.rng.random_bool(self.rate * STEP as f64 / 1000.0) {
            return;
        }
        let now = self.now;
        let (target, _) = &self.targets[self.rng.random_range(..self.targets.len())];
        let target = target.clone();
        let is_down = self.down.contains(&target);
        let (made, after) = self.connect(name, &target);
        if self.rng.random_bool(0.5) {
            let event = Event::Connected(made);
            self.due.push((now + after, name.to_owned(), event));
            if !made {
                return;
            }
        }
        let reach = self.instances.get_mut(name).expect("it exists");
        reach.record_sent(now);
        if is_down || self.cut.get(name) == Some(&Mode::Reset) {
            reach.record_failure(now + 1);
            return;
        }
        let answer = now + self.rng.random_range(20..400);
        self.due
            .push((answer, name.to_owned(), Event::Heard(target)));
    }

    /// Returns the instances that take themselves for cut off.
    fn believed_cut(&self) -> Vec<&str> {
        let cut = self.instances.iter().filter(|(_, reach)| reach.is_cut());
        cut.map(|(name, _)| name.as_str()).collect()
    }
}

#[parameterized(
    one_of_7_hang = { 7, 1, Mode::Hang, SMALL },
    three_of_7_hang = { 7, 3, Mode::Hang, SMALL },
    three_of_7_reset = { 7, 3, Mode::Reset, SMALL },
    three_of_7_refuse = { 7, 3, Mode::RefuseNew, SMALL },
    six_of_7_hang = { 7, 6, Mode::Hang, SMALL },
    domain_of_85_hang = { 85, 22, Mode::Hang, GROWN },
    domain_of_85_reset = { 85, 22, Mode::Reset, GROWN },
    domain_of_85_refuse = { 85, 22, Mode::RefuseNew, GROWN },
)]
fn instances_find_their_own_cut_and_its_end(count: usize, cut: usize, mode: Mode, site: Site) {
    for seed in 0..5 {
        let mut world = World::new(count, site.rate, seed);
        assert_eq!(world.run(10_000), []);
        let names: Vec<InstanceId> = world.instances.keys().take(cut).cloned().collect();
        let began = world.now;
        world.cut = names.iter().map(|name| (name.clone(), mode)).collect();
        let lost = world.run(12_000);
        for name in &names {
            let found = lost.iter().find(|(lost, _)| lost == name);
            let (_, at) = found.unwrap_or_else(|| panic!("{name} of seed {seed} does not know"));
            assert!(
                at - began <= site.contact,
                "{name}, seed {seed}: {}",
                at - began
            );
        }
        assert_eq!(world.believed_cut(), names);
        world.cut.clear();
        world.run(1_500);
        assert!(world.believed_cut().is_empty());
    }
}

#[parameterized(
    one_target = { 1 },
    the_plain_service = { 3 },
    all_targets = { 15 },
)]
fn targets_that_fail_for_all_are_no_cut(count: usize) {
    for seed in 0..20 {
        let mut world = World::new(7, 15.0, seed);
        world.run(5_000);
        let down = world.targets.iter().rev().take(count);
        world.down = down.map(|(target, _)| target.clone()).collect();
        assert_eq!(world.run(6_000), [], "seed {seed}");
        world.down.clear();
        assert_eq!(world.run(6_000), [], "seed {seed}");
    }
}

#[test]
fn instances_that_are_all_cut_off_do_not_pass_requests_to_each_other() {
    let mut world = World::new(7, 15.0, 1);
    world.run(5_000);
    let names = world.instances.keys();
    world.cut = names.map(|name| (name.clone(), Mode::Hang)).collect();
    world.run(8_000);
    let now = world.now;
    let candidates: Vec<(InstanceId, DomainName)> = world
        .instances
        .keys()
        .map(|name| (name.clone(), "a".to_owned()))
        .collect();
    for reach in world.instances.values_mut() {
        let helper = reach.choose_helper(&candidates, "a", &mut world.rng, now);
        assert_eq!(helper, None);
    }
}

#[test]
fn a_cut_failure_domain_does_not_overrun_single_instances() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut candidates = Vec::new();
    for number in 0..63 {
        let domain = ["b", "c", "d"][number % 3];
        candidates.push((format!("front-{number:02}"), domain.to_owned()));
    }
    let mut taken: BTreeMap<InstanceId, u32> = BTreeMap::new();
    let mut cut: Vec<Reach> = (0..22).map(|_| Reach::default()).collect();
    for round in 0..10 {
        let now = round * REPORT_INTERVAL;
        for (number, (name, _)) in candidates.iter().enumerate() {
            // One instance is so busy that it must get none.
            let requests = if number == 7 { 500 } else { 5 } + taken.get(name).unwrap_or(&0);
            let report = ReachReport {
                heard_age: Some(10),
                is_cut: false,
                requests,
            };
            for reach in &mut cut {
                reach.apply_report(name, report, now);
            }
        }
        for reach in &mut cut {
            for _ in 0..3 {
                let helper = reach.choose_helper(&candidates, "a", &mut rng, now);
                *taken
                    .entry(helper.expect("others hear targets"))
                    .or_default() += 1;
            }
        }
    }
    // 660 requests over 62 instances are 10.6 each.
    assert!(taken.values().all(|count| *count <= 22), "{taken:?}");
    assert_eq!(taken.get("front-07"), None);
}

#[test]
fn a_near_instance_is_preferred_to_an_equally_busy_one() {
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let mut reach = Reach::default();
    let candidates = [("near", "a"), ("far", "b")];
    let candidates = candidates.map(|(name, domain)| (name.to_owned(), domain.to_owned()));
    for (name, _) in &candidates {
        let report = ReachReport {
            heard_age: Some(10),
            is_cut: false,
            requests: 3,
        };
        reach.apply_report(name, report, 0);
    }
    let helper = reach.choose_helper(&candidates, "a", &mut rng, 100);
    assert_eq!(helper.as_deref(), Some("near"));
    // Reports count for 1.5 s.
    assert_eq!(reach.choose_helper(&candidates, "a", &mut rng, 1_600), None);
}

/// Guards against failures that stay in doubt, as others follow.
#[test]
fn a_failure_is_not_in_doubt_once_a_target_was_reached_after_it() {
    let mut reach = Reach::default();
    let target = |id: &str| (id.to_owned(), "register".to_owned());
    reach.record_sent(980);
    reach.record_failure(1_000);
    reach.record_connection(false, 1_010);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let round = reach.begin_round(&[target("i-1"), target("i-2")], &mut rng, 1_300);
    assert_eq!(round.len(), 2);
    assert!(reach.is_doubtful(1_000));
    reach.record_trial("i-1", true);
    // A byte that was under way shows nothing of later failures.
    reach.record_heard(1_310);
    reach.record_failure(1_350);
    assert!(reach.is_in_doubt());
    assert!(!reach.is_doubtful(1_000));
    assert!(reach.is_doubtful(1_250));
    assert!(reach.is_doubtful(1_350));
}
