//! Randomized model test of the leadership, with fixed seeds, through returns of the store from older
//! copies.
//!
//! Three instances compete for the leadership. Calls to the store are carried out late or not at all,
//! their answers arrive late or are lost, processes are paused and restarted, and the store comes back
//! from copies that are some seconds old. Orders reach one engine, which checks nothing by itself.

use cactuslane_gateway::leadership::{Candidacy, LeaderKey, LeaderRecord, Leadership};
use cactuslane_store::kv::{Lease, Update};
use cactuslane_types::{Era, Millis, Position};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

use super::SETTLE;
use super::contents::Contents;

/// Number of instances.
const INSTANCES: usize = 3;
/// Number of runs of one case.
const SEEDS: u64 = 25;
/// Time of one step, in milliseconds.
const STEP: Millis = 50;
/// Length of the part of a run with faults, in milliseconds.
const FAULTY_TIME: Millis = 400_000;
/// Length of the part without faults, at whose end there must be a leader, in milliseconds.
const CALM_TIME: Millis = 40_000;
/// Time after which a process gives a call up, in milliseconds; the store may carry it out later.
const CALL_TIMEOUT: Millis = 1_500;
/// Longest time until an order arrives, in milliseconds.
const ORDER_DELAY: Millis = 300;
/// Time that must lie between orders of two instances, in milliseconds.
const ORDER_GAP: Millis = 3_000;
/// Number of copies that are kept, one for each second.
const COPIES: usize = 9;

/// A call to the store.
#[derive(Clone)]
enum Call {
    /// Requests a lease.
    Grant,
    /// Renews a lease.
    Renew(Lease),
    /// Applies an update, which acquires the leadership after this settling time if one is given.
    Update(Update, Option<Millis>),
    /// Reads the keys.
    Read,
}

/// The answer to a call.
enum Answer {
    /// The lease that was granted, or that was renewed.
    Leased(Lease),
    /// The lease does not exist.
    NoLease,
    /// The position of the update, or `None` if a condition does not hold.
    Updated(Option<Position>),
    /// The leader key and the last leader, read at a position.
    Keys(Option<LeaderKey>, Option<(String, u64)>, Position),
}

/// A call on its way to the store.
struct Sent {
    /// The index of the instance, and the start of its process.
    from: (usize, u64),
    /// The call.
    call: Call,
    /// The time at which it was sent.
    began: Millis,
    /// The time at which the store carries it out.
    arrival: Millis,
}

/// An answer on its way to a process.
struct Answered {
    /// The index of the instance, and the start of its process.
    to: (usize, u64),
    /// The call that it answers, with the time at which that was sent.
    call: (Call, Millis),
    /// The answer, with the era that it states.
    answer: (Answer, Era),
    /// The time at which it arrives.
    arrival: Millis,
}

/// The process of an instance.
struct Process {
    /// Its record as the leader.
    record: LeaderRecord,
    /// The state under test.
    leadership: Leadership,
    /// The latest era that it has seen.
    era: Era,
    /// Its lease.
    lease: Option<Lease>,
    /// The times from which it makes the next call for its lease, read and attempt to lead.
    next: [Millis; 3],
    /// The time until which it is paused.
    paused: Millis,
}

/// The simulated deployment.
struct Simulation {
    /// The time, in milliseconds.
    now: Millis,
    /// The contents of the store, and its era.
    store: (Contents, Era),
    /// The times between which the store is away, and the copy from which it returns.
    away: Option<(Millis, Contents, Millis)>,
    /// The copies, the oldest first, with the times at which they were taken.
    copies: Vec<(Contents, Millis)>,
    /// The processes.
    processes: Vec<Process>,
    /// The calls on their way.
    calls: Vec<Sent>,
    /// The answers on their way.
    answers: Vec<Answered>,
    /// The orders on their way: arrival, instance and fencing token.
    sends: Vec<(Millis, usize, u64)>,
    /// The orders that have arrived.
    orders: Vec<(Millis, usize, u64)>,
    /// The number of returns from copies.
    rewinds: usize,
    /// The random number generator.
    random: Pcg64Mcg,
}

impl Process {
    /// Starts the process of an instance.
    fn start(index: usize, now: Millis) -> Self {
        Self {
            record: LeaderRecord {
                instance: format!("i-{index}"),
                started: now,
            },
            leadership: Leadership::default(),
            era: 0,
            lease: None,
            next: [now; 3],
            paused: 0,
        }
    }
}

impl Simulation {
    /// Starts a deployment on an empty store.
    fn new(seed: u64) -> Self {
        Self {
            now: 1_000,
            store: (Contents::default(), 1),
            away: None,
            copies: Vec::new(),
            processes: (0..INSTANCES)
                .map(|index| Process::start(index, 1_000))
                .collect(),
            calls: Vec::new(),
            answers: Vec::new(),
            sends: Vec::new(),
            orders: Vec::new(),
            rewinds: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns whether an event happens that does so once in `period` milliseconds on average.
    fn happens(&mut self, period: Millis) -> bool {
        self.random.random_ratio(STEP as u32, period as u32)
    }

    /// Lets one step of time pass.
    fn step(&mut self, faults: bool) {
        self.now += STEP;
        self.step_store(faults);
        self.carry_out(faults);
        self.deliver();
        for index in 0..INSTANCES {
            if faults && self.happens(30_000) {
                self.processes[index].paused = self.now + self.random.random_range(500..9_000);
            }
            if faults && self.happens(40_000) {
                self.processes[index] = Process::start(index, self.now);
            }
            if self.now >= self.processes[index].paused {
                self.run(index, faults);
            }
        }
        self.receive_orders();
    }

    /// Lets leases end, copies be taken, and the store go and come back from a copy.
    fn step_store(&mut self, faults: bool) {
        if let Some((until, copy, age)) = &self.away {
            if self.now < *until {
                return;
            }
            let mut contents = copy.clone();
            for end in contents.leases.values_mut() {
                *end += *age;
            }
            self.store = (contents, self.store.1 + 1);
            (self.away, self.rewinds) = (None, self.rewinds + 1);
            self.copies.clear();
        }
        self.store.0.expire(self.now);
        if self.now.is_multiple_of(1_000) {
            self.copies.push((self.store.0.clone(), self.now));
            if self.copies.len() > COPIES {
                self.copies.remove(0);
            }
        }
        if self.happens(700) {
            // Another writer changes another key.
            self.store.0.revision += 1;
        }
        if faults && !self.copies.is_empty() && self.happens(25_000) {
            let chosen = self.random.random_range(0..self.copies.len());
            let (copy, taken) = self.copies[chosen].clone();
            let until = self.now + self.random.random_range(100..2_500);
            self.away = Some((until, copy, until - taken));
        }
    }

    /// Lets the store carry out the calls that have arrived.
    fn carry_out(&mut self, faults: bool) {
        let arrived: Vec<Sent> = self
            .calls
            .extract_if(.., |call| call.arrival <= self.now)
            .collect();
        for sent in arrived {
            if self.away.is_some() {
                continue;
            }
            let answer = self.execute(&sent.call);
            if faults && self.random.random_bool(0.1) {
                continue;
            }
            let delay = if faults && self.random.random_bool(0.1) {
                self.random.random_range(0..4_000)
            } else {
                5
            };
            self.answers.push(Answered {
                to: sent.from,
                call: (sent.call, sent.began),
                answer: (answer, self.store.1),
                arrival: self.now + delay,
            });
        }
    }

    /// Carries out a call.
    fn execute(&mut self, call: &Call) -> Answer {
        let now = self.now;
        let (contents, era) = (&mut self.store.0, self.store.1);
        let ttl = SETTLE.ttl;
        match call {
            Call::Grant => {
                contents.granted += 1;
                let id = contents.granted;
                contents.leases.insert(id, now + ttl);
                Answer::Leased(Lease { era, id })
            }
            Call::Renew(lease) => match contents.leases.get_mut(&lease.id) {
                Some(end) => {
                    *end = now + ttl;
                    Answer::Leased(*lease)
                }
                None => Answer::NoLease,
            },
            Call::Update(update, _) => {
                let revision = contents.update(update);
                Answer::Updated(revision.map(|revision| Position::new(era, revision)))
            }
            Call::Read => {
                let key = contents
                    .leader
                    .clone()
                    .map(|(record, revision, lease)| LeaderKey {
                        record,
                        position: Position::new(era, revision),
                        lease: Some(lease),
                    });
                let position = Position::new(era, contents.revision);
                Answer::Keys(key, contents.last.clone(), position)
            }
        }
    }

    /// Delivers the answers that have arrived to the processes that still wait for them.
    fn deliver(&mut self) {
        let (now, processes) = (self.now, &mut self.processes);
        let ready = |answered: &mut Answered| {
            let paused = processes[answered.to.0].paused;
            answered.arrival.max(paused) <= now
        };
        let arrived: Vec<Answered> = self.answers.extract_if(.., ready).collect();
        for answered in arrived {
            let process = &mut self.processes[answered.to.0];
            let ((call, sent), (answer, era)) = (answered.call, answered.answer);
            let is_late = self.now > sent + CALL_TIMEOUT || era < process.era;
            if process.record.started != answered.to.1 || is_late {
                continue;
            }
            process.era = era;
            process.leadership.observe_era(era, self.now);
            process.apply(&call, sent, answer, self.now);
        }
    }

    /// Lets a process make the calls that are due and send an order if it may.
    fn run(&mut self, index: usize, faults: bool) {
        let now = self.now;
        let draw = self.random.random_range(0..1_000);
        let gives_up = faults && self.happens(20_000);
        let process = &mut self.processes[index];
        let mut calls = Vec::new();
        process.lease = process.lease.filter(|lease| lease.era == process.era);
        if now >= process.next[0] {
            process.next[0] = now + 1_300;
            calls.push(process.lease.map_or(Call::Grant, Call::Renew));
        }
        if now >= process.next[1] {
            process.next[1] = now + CALL_TIMEOUT;
            calls.push(Call::Read);
        }
        let (leadership, me) = (&mut process.leadership, &process.record);
        if leadership.is_held(now) {
            if let Some(token) = leadership.may_order(now) {
                self.sends.push((now + draw % ORDER_DELAY, index, token));
            }
            if gives_up {
                let update = leadership.give_up().expect("it leads");
                calls.push(Call::Update(update, None));
            }
        } else if now >= process.next[2] {
            process.next[2] = now + 250 + draw;
            if !leadership.resume(me, SETTLE, now) {
                if let Some(update) = leadership.stale_key(me) {
                    calls.push(Call::Update(update, None));
                } else if let Some(Candidacy { update, settle }) =
                    leadership.candidacy(me, SETTLE, now)
                {
                    calls.push(Call::Update(update, Some(settle)));
                }
            }
        }
        let from = (index, process.record.started);
        for call in calls {
            let delay = if faults && self.random.random_bool(0.1) {
                self.random.random_range(0..6_000)
            } else {
                5
            };
            self.calls.push(Sent {
                from,
                call,
                began: now,
                arrival: now + delay,
            });
        }
    }

    /// Lets orders arrive at the engine, and checks them.
    fn receive_orders(&mut self) {
        let now = self.now;
        let mut arrived: Vec<_> = self.sends.extract_if(.., |send| send.0 <= now).collect();
        arrived.sort_unstable();
        for order in arrived {
            if let Some(last) = self.orders.last() {
                assert!(order.2 >= last.2, "token falls: {last:?}, {order:?}");
                let same = order.1 == last.1;
                assert!(same || order.2 > last.2, "two holders: {last:?}, {order:?}");
                let apart = order.0 >= last.0 + ORDER_GAP;
                assert!(same || apart, "too early: {last:?}, {order:?}");
            }
            self.orders.push(order);
        }
    }
}

impl Process {
    /// Applies the answer to a call that was sent at a time.
    fn apply(&mut self, call: &Call, sent: Millis, answer: Answer, now: Millis) {
        match (call, answer) {
            (_, Answer::Leased(lease)) => {
                // A lease of an earlier era may be another one in this era.
                if lease.era == self.era {
                    self.lease = Some(lease);
                    self.leadership.renewed(lease, sent, SETTLE.ttl);
                }
            }
            (_, Answer::NoLease) => {
                self.lease = None;
                self.leadership.lapsed();
            }
            (Call::Update(update, Some(settle)), Answer::Updated(Some(position))) => {
                let leases = update.writes.iter().filter_map(|(_, _, lease)| *lease);
                if leases.min_by_key(|lease| lease.era).map(|lease| lease.era) == Some(self.era) {
                    self.leadership.acquired(position, *settle, now);
                }
            }
            (_, Answer::Updated(_)) => {}
            (_, Answer::Keys(leader, last, position)) => {
                self.next[1] = now + 300;
                let (name, revision) = last.map_or((None, 0), |(name, at)| (Some(name), at));
                let last = Position::new(position.era, revision);
                self.leadership.observe_last_leader(name, last);
                let at = leader.as_ref().map_or(position, |key| key.position);
                self.leadership
                    .observe_leader(leader, at, &self.record, SETTLE, now);
            }
        }
    }
}

/// Guards against two leaders that both act, and against fencing tokens that fall, whatever the order
/// in which processes learn that the store came back from an older copy.
#[parameterized(
    seeds_0 = { 0 }, seeds_1 = { 1 }, seeds_2 = { 2 }, seeds_3 = { 3 },
    seeds_4 = { 4 }, seeds_5 = { 5 }, seeds_6 = { 6 }, seeds_7 = { 7 },
)]
fn one_instance_orders_at_a_time_through_returns_of_the_store(seeds: u64) {
    let (mut rewinds, mut orders) = (0, 0);
    for seed in seeds * SEEDS..(seeds + 1) * SEEDS {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed);
        while simulation.now < FAULTY_TIME {
            simulation.step(true);
        }
        while simulation.now < FAULTY_TIME + CALM_TIME {
            simulation.step(false);
        }
        let now = simulation.now;
        let leads = |process: &Process| process.leadership.may_order(now).is_some();
        let leaders = simulation.processes.iter().filter(|process| leads(process));
        assert_eq!(leaders.count(), 1, "leaders at the end, seed {seed}");
        rewinds += simulation.rewinds;
        orders += simulation.orders.len();
    }
    assert!(rewinds > 100 && orders > 1_000, "{rewinds}, {orders}");
}
