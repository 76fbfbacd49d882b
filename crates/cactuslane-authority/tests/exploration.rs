//! Randomized model test of the ownership and order protocol, with fixed seeds.
//!
//! Three processes, one target and the key-value service take steps in random order. Any time may
//! pass between a process deciding on a step and taking it, and up to the maximum send delay
//! between sending an order and its arrival. Leases lapse unnoticed, answers are lost, and
//! processes die and are replaced.

use std::collections::BTreeSet;

use cactuslane_authority::orders::{MAX_SEND_DELAY, Records, Step, TargetReconciler};
use cactuslane_authority::{EngineReport, Hold, Intent, OrderKind, Wanted};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Number of processes that compete for the target.
const PROCESSES: usize = 3;
/// Maximum lag of the instance list, in milliseconds.
const LIST_LAG: u64 = 30_000;
/// Number of steps in the first phase, with faults.
const FAULTY_STEPS: usize = 400;
/// Number of steps in the second phase, without faults, in which the target must become as wanted.
const FINAL_STEPS: usize = 6_000;

/// The simulated state: time, key-value service, target, orders in flight and processes.
struct Simulation {
    /// The simulated time, in milliseconds.
    now: u64,
    /// The latest revision of the key-value service.
    revision: u64,
    /// The index of the process that owns the target, with its fencing token.
    owner: Option<(usize, u64)>,
    /// The hold and the intent in the key-value service.
    records: Records,
    /// The target that all processes compete for.
    target: Target,
    /// The orders in flight.
    sends: Vec<Send>,
    /// The current process of each instance.
    processes: Vec<Process>,
    /// The state that every process brings the target to.
    wanted: Wanted,
    /// The random number generator of this run.
    random: Pcg64Mcg,
}

/// The simulated target.
struct Target {
    /// Whether the target rejects old fencing tokens.
    checks: bool,
    /// The highest fencing token that an order carried.
    fencing: u64,
    /// The role, which is the only state that orders change here.
    role: String,
    /// The orders that took effect, with their numbers.
    applied: Vec<(u64, Wanted)>,
    /// The number of the order that a crash interrupted; 0 if there is none.
    half_done: u64,
}

/// An order in flight.
#[derive(Clone)]
struct Send {
    /// The index of the sending process, with its incarnation.
    from: (usize, u64),
    /// The number of the order.
    order: u64,
    /// The fencing token that the order carries.
    fencing: u64,
    /// The state that the order establishes.
    wanted: Wanted,
    /// The time from which the order can no longer arrive, in milliseconds.
    until: u64,
}

/// One process of an instance.
struct Process {
    /// The incarnation, which starts at 1 and increases with each replacement.
    incarnation: u64,
    /// The state machine under test.
    reconciler: TargetReconciler,
    /// The step that the process has decided on and not taken yet.
    decided: Option<Step>,
    /// The number of the order whose answer is awaited, with the time at which the wait ends.
    awaited: Option<(u64, u64)>,
    /// The time at which the process died, if it did.
    died: Option<u64>,
}

impl Simulation {
    /// Creates the initial state: no owner, no records and a mixed target.
    fn new(checks: bool, seed: u64) -> Self {
        let processes = (0..PROCESSES)
            .map(|index| Process::new(index, 1, checks))
            .collect();
        Self {
            now: 1_000_000,
            revision: 1,
            owner: None,
            records: Records::default(),
            target: Target {
                checks,
                fencing: 0,
                role: "mixed".to_owned(),
                applied: Vec::new(),
                half_done: 0,
            },
            sends: Vec::new(),
            processes,
            wanted: role("prefill"),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes one random step and checks the invariants.
    fn step(&mut self, faults: bool) {
        let process = self.random.random_range(0..PROCESSES);
        match self.random.random_range(0..100) {
            0..40 => self.decide(process),
            40..70 => self.act(process, faults),
            70..80 => self.deliver(faults),
            80..86 => self.acquire(process),
            86..90 => self.learn(process),
            90..95 => self.pass_time(),
            95 if faults || self.is_owner_dead() => self.owner = None,
            96 if faults => self.kill(process),
            97 => self.replace(process),
            98 if faults => self.change_wanted(),
            _ => {}
        }
        self.check();
    }

    /// Lets a process decide on its next step, unless it is dead or busy.
    fn decide(&mut self, index: usize) {
        let now = self.now;
        let gone: BTreeSet<(String, u64)> = self.gone();
        let process = &mut self.processes[index];
        if process.died.is_some() || process.decided.is_some() || process.awaited.is_some() {
            return;
        }
        process
            .reconciler
            .set_wanted(Some(self.wanted.clone()), true);
        let is_gone = |hold: &Hold| gone.contains(&(hold.instance.clone(), hold.incarnation));
        process.decided = Some(process.reconciler.next(&is_gone, now));
    }

    /// Lets a process take the step that it has decided on, however long ago.
    fn act(&mut self, index: usize, faults: bool) {
        if self.processes[index].died.is_some() {
            return;
        }
        let lost = faults && self.random.random_bool(0.15);
        let Some(step) = self.processes[index].decided.take() else {
            return;
        };
        match step {
            Step::Idle | Step::Blocked(_) => self.processes[index].reconciler.invalidate(),
            Step::ReadRecords if !lost => {
                let records = self.records.clone();
                self.processes[index].reconciler.records_read(records);
            }
            Step::WriteHold {
                hold,
                expected,
                fencing,
            } => {
                if self.records.hold.1 == expected && self.is_owner(index, fencing) {
                    self.revision += 1;
                    self.records.hold = (Some(hold), self.revision);
                }
                self.processes[index].reconciler.invalidate();
            }
            Step::WriteIntent {
                intent,
                expected,
                fencing,
            } => {
                if self.records.intent.1 == expected && self.is_owner(index, Some(fencing)) {
                    self.revision += 1;
                    self.check_done(&intent);
                    self.records.intent = (Some(intent), self.revision);
                }
                self.processes[index].reconciler.invalidate();
            }
            Step::ReadReport if !lost => {
                let report = self.target.report();
                self.processes[index].reconciler.reported(report);
            }
            Step::ReadRecords | Step::ReadReport => {}
            Step::Send {
                order,
                fencing,
                wanted,
            } => {
                let process = &mut self.processes[index];
                let from = (index, process.incarnation);
                let until = self.now + MAX_SEND_DELAY;
                process.awaited = Some((order, self.now + 2_000));
                self.sends.push(Send {
                    from,
                    order,
                    fencing,
                    wanted,
                    until,
                });
            }
        }
    }

    /// Lets a random order in flight arrive; with faults, the target may crash or the answer be
    /// lost.
    fn deliver(&mut self, faults: bool) {
        if self.sends.is_empty() {
            return;
        }
        let chosen = self.random.random_range(0..self.sends.len());
        let send = self.sends.swap_remove(chosen);
        if faults && self.random.random_bool(0.1) {
            self.target.half_done = send.order;
        } else {
            self.apply(&send);
        }
        let answered = !(faults && self.random.random_bool(0.2));
        let (index, incarnation) = send.from;
        let process = &mut self.processes[index];
        let awaits = process
            .awaited
            .is_some_and(|(order, _)| order == send.order);
        if answered && awaits && process.incarnation == incarnation && process.died.is_none() {
            process.awaited = None;
            process.reconciler.order_sent(true, self.now);
        }
    }

    /// Lets the target execute an order, and checks that orders take effect in ascending order of
    /// their numbers and none after a later one was marked as done.
    fn apply(&mut self, send: &Send) {
        let target = &mut self.target;
        if target.checks && send.fencing < target.fencing {
            return;
        }
        target.fencing = target.fencing.max(send.fencing);
        if target.applied.iter().any(|(order, _)| *order == send.order) {
            return;
        }
        let done = self.records.intent.0.as_ref().filter(|intent| intent.done);
        if let Some(done) = done {
            assert!(
                send.order >= done.order,
                "order {} took effect after order {} was marked as done",
                send.order,
                done.order
            );
        }
        let last = target.applied.last().map_or(0, |(order, _)| *order);
        assert!(
            send.order > last,
            "order {} took effect after order {last}",
            send.order
        );
        target.role.clone_from(&send.wanted.value);
        target.half_done = 0;
        target.applied.push((send.order, send.wanted.clone()));
    }

    /// Lets a process acquire the target if no process owns it.
    fn acquire(&mut self, index: usize) {
        if self.owner.is_some() || self.processes[index].died.is_some() {
            return;
        }
        self.revision += 1;
        self.owner = Some((index, self.revision));
        self.processes[index]
            .reconciler
            .set_fencing(Some(self.revision));
    }

    /// Lets a process learn whether it owns the target.
    fn learn(&mut self, index: usize) {
        let fencing = self
            .owner
            .filter(|(owner, _)| *owner == index)
            .map(|(_, fencing)| fencing);
        self.processes[index].reconciler.set_fencing(fencing);
    }

    /// Advances the time by one second; late orders are lost and waits for answers time out.
    fn pass_time(&mut self) {
        self.now += 1_000;
        let now = self.now;
        self.sends.retain(|send| send.until > now);
        for process in &mut self.processes {
            if process.awaited.is_some_and(|(_, until)| until <= now) {
                process.awaited = None;
                process.reconciler.order_sent(false, now);
            }
        }
    }

    /// Kills a process, which takes no further step.
    fn kill(&mut self, index: usize) {
        let now = self.now;
        self.processes[index].died.get_or_insert(now);
    }

    /// Replaces a process that died at least the list lag plus the send delay ago; the lease of the
    /// dead process lapses.
    fn replace(&mut self, index: usize) {
        let checks = self.target.checks;
        let process = &mut self.processes[index];
        let Some(died) = process.died else { return };
        if self.now < died + LIST_LAG + MAX_SEND_DELAY {
            return;
        }
        *process = Process::new(index, process.incarnation + 1, checks);
        if self.owner.is_some_and(|(owner, _)| owner == index) {
            self.owner = None;
        }
    }

    /// Changes the wanted state to a random role.
    fn change_wanted(&mut self) {
        let roles = ["prefill", "decode", "mixed"];
        self.wanted = role(roles[self.random.random_range(0..roles.len())]);
    }

    /// Returns the instances and incarnations that can no longer send orders: all replaced ones,
    /// and those that died longer ago than the list lag plus the send delay.
    fn gone(&self) -> BTreeSet<(String, u64)> {
        let mut gone = BTreeSet::new();
        for (index, process) in self.processes.iter().enumerate() {
            for earlier in 1..process.incarnation {
                gone.insert((name(index), earlier));
            }
            if process
                .died
                .is_some_and(|died| self.now > died + LIST_LAG + MAX_SEND_DELAY)
            {
                gone.insert((name(index), process.incarnation));
            }
        }
        gone
    }

    /// Returns whether the owner has died, in which case its lease lapses.
    fn is_owner_dead(&self) -> bool {
        self.owner
            .is_some_and(|(owner, _)| self.processes[owner].died.is_some())
    }

    /// Returns whether a process owns the target under a fencing token; `None` is always accepted.
    fn is_owner(&self, index: usize, fencing: Option<u64>) -> bool {
        fencing.is_none_or(|fencing| self.owner == Some((index, fencing)))
    }

    /// Checks that an intent is marked as done only when its order took effect.
    fn check_done(&self, intent: &Intent) {
        let took_effect = self
            .target
            .applied
            .iter()
            .any(|(order, _)| *order == intent.order);
        assert!(
            !intent.done || took_effect,
            "order {} is marked as done but did not take effect",
            intent.order
        );
    }

    /// Checks that at most one process has orders in flight to a target that ignores fencing
    /// numbers.
    fn check(&self) {
        if self.target.checks {
            return;
        }
        let senders: BTreeSet<(usize, u64)> = self.sends.iter().map(|send| send.from).collect();
        assert!(
            senders.len() <= 1,
            "orders of several processes are in flight: {senders:?}"
        );
    }

    /// Returns whether the target is as wanted and no order is pending or interrupted.
    fn is_settled(&self) -> bool {
        let intent = self.records.intent.0.as_ref();
        self.target.role == self.wanted.value
            && self.target.half_done == 0
            && intent.is_none_or(|intent| intent.done)
    }
}

impl Target {
    /// Returns the report of the target, with the fields that this test uses.
    fn report(&self) -> EngineReport {
        EngineReport {
            role: self.role.clone(),
            last_order: self.applied.last().map_or(0, |(order, _)| *order),
            half_done: self.half_done,
            ..EngineReport::default()
        }
    }
}

impl Process {
    /// Creates a process that has read nothing yet; all incarnations of an index share an address.
    fn new(index: usize, incarnation: u64, checks: bool) -> Self {
        let hold = Hold {
            instance: name(index),
            incarnation,
            address: format!("127.0.0.1:{}", 7000 + index),
            released: false,
        };
        Self {
            incarnation,
            reconciler: TargetReconciler::new(hold, checks),
            decided: None,
            awaited: None,
            died: None,
        }
    }
}

/// Returns the instance id of a process.
fn name(index: usize) -> String {
    format!("entry-{index}")
}

/// Returns the wanted state that sets a role.
fn role(value: &str) -> Wanted {
    Wanted {
        kind: OrderKind::SetRole,
        value: value.to_owned(),
    }
}

/// Guards against conflicting and late orders when processes are paused or killed and messages are
/// lost, and against a target that does not become as wanted once the faults end.
#[parameterized(
    checked = { true },
    ignored = { false },
)]
fn orders_never_conflict(checks: bool) {
    for seed in 0..2_000 {
        let mut simulation = Simulation::new(checks, seed);
        for _ in 0..FAULTY_STEPS {
            simulation.step(true);
        }
        let mut settled = false;
        for _ in 0..FINAL_STEPS {
            simulation.step(false);
            settled |= simulation.is_settled();
        }
        assert!(
            settled,
            "seed {seed}: the target did not become as wanted in {FINAL_STEPS} steps without faults"
        );
    }
}
