//! A seeded exploration of the ownership and order protocol.
//!
//! Three processes, one target and the key-value service take steps in random order. A process may
//! be paused for any time between deciding on a step and doing it, and between sending an order
//! and its arrival; leases lapse unnoticed, answers are lost, processes die and are replaced.

use std::collections::BTreeSet;

use cactuslane_authority::orders::{MAX_SEND_DELAY, Records, Step, TargetReconciler};
use cactuslane_authority::{EngineReport, Hold, Intent, OrderKind, Wanted};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Number of processes.
const PROCESSES: usize = 3;
/// Longest time by which the instance list lags, in milliseconds.
const LIST_LAG: u64 = 30_000;
/// Number of steps with faults.
const FAULTY_STEPS: usize = 400;
/// Number of steps without faults after them.
const CALM_STEPS: usize = 6_000;

/// Everything that the processes share.
struct World {
    /// The time, in milliseconds.
    now: u64,
    /// The service's revision.
    revision: u64,
    /// The owner with its fencing number.
    owner: Option<(usize, u64)>,
    /// Holds hold and intent.
    records: Records,
    /// The target.
    target: Target,
    /// Holds orders on their way.
    sends: Vec<Send>,
    /// Holds the processes.
    processes: Vec<Process>,
    /// The wanted value.
    wanted: Wanted,
    /// The source of randomness.
    random: Pcg64Mcg,
}

/// The target.
struct Target {
    /// Says whether it refuses old fencing numbers.
    checks: bool,
    /// The highest fencing number seen.
    fencing: u64,
    /// Its role.
    role: String,
    /// Holds the orders that took effect.
    applied: Vec<(u64, Wanted)>,
    /// The order that a crash left half done.
    half_done: u64,
}

/// An order on its way.
#[derive(Clone)]
struct Send {
    /// The sender with its incarnation.
    from: (usize, u64),
    /// Numbers the order.
    order: u64,
    /// Its fencing number.
    fencing: u64,
    /// What it brings about.
    wanted: Wanted,
    /// When it is lost at the latest.
    until: u64,
}

/// One process.
struct Process {
    /// Its incarnation.
    incarnation: u64,
    /// Its part for the target.
    owner: TargetReconciler,
    /// The step that it has decided on and not done.
    decided: Option<Step>,
    /// The send whose answer it awaits, with the time at which it gives up.
    awaited: Option<(u64, u64)>,
    /// When it died, if it did.
    died: Option<u64>,
}

impl World {
    /// Creates a world before anything has happened.
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

    /// Takes one random step.
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
            98 if faults => self.change_wish(),
            _ => {}
        }
        self.check();
    }

    /// Lets a process decide on its next step.
    fn decide(&mut self, index: usize) {
        let now = self.now;
        let gone: BTreeSet<(String, u64)> = self.gone();
        let process = &mut self.processes[index];
        if process.died.is_some() || process.decided.is_some() || process.awaited.is_some() {
            return;
        }
        process.owner.set_wanted(Some(self.wanted.clone()), true);
        let is_gone = |hold: &Hold| gone.contains(&(hold.instance.clone(), hold.incarnation));
        process.decided = Some(process.owner.next(&is_gone, now));
    }

    /// Lets a process do the step that it has decided on, however long ago.
    fn act(&mut self, index: usize, faults: bool) {
        if self.processes[index].died.is_some() {
            return;
        }
        let lost = faults && self.random.random_bool(0.15);
        let Some(step) = self.processes[index].decided.take() else {
            return;
        };
        match step {
            Step::Idle | Step::Blocked(_) => self.processes[index].owner.invalidate(),
            Step::ReadRecords if !lost => {
                let records = self.records.clone();
                self.processes[index].owner.records_read(records);
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
                self.processes[index].owner.invalidate();
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
                self.processes[index].owner.invalidate();
            }
            Step::ReadReport if !lost => {
                let report = self.target.report();
                self.processes[index].owner.reported(report);
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

    /// Lets an order on its way arrive.
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
            process.owner.order_sent(true, self.now);
        }
    }

    /// Lets the target execute an order.
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
                "order {} after {} was done",
                send.order,
                done.order
            );
        }
        let last = target.applied.last().map_or(0, |(order, _)| *order);
        assert!(send.order > last, "order {} after order {last}", send.order);
        target.role.clone_from(&send.wanted.value);
        target.half_done = 0;
        target.applied.push((send.order, send.wanted.clone()));
    }

    /// Lets a process acquire the target if nobody owns it.
    fn acquire(&mut self, index: usize) {
        if self.owner.is_some() || self.processes[index].died.is_some() {
            return;
        }
        self.revision += 1;
        self.owner = Some((index, self.revision));
        self.processes[index].owner.set_fencing(Some(self.revision));
    }

    /// Lets a process learn whether it owns the target.
    fn learn(&mut self, index: usize) {
        let fencing = self
            .owner
            .filter(|(owner, _)| *owner == index)
            .map(|(_, fencing)| fencing);
        self.processes[index].owner.set_fencing(fencing);
    }

    /// Lets a second pass.
    fn pass_time(&mut self) {
        self.now += 1_000;
        let now = self.now;
        self.sends.retain(|send| send.until > now);
        for process in &mut self.processes {
            if process.awaited.is_some_and(|(_, until)| until <= now) {
                process.awaited = None;
                process.owner.order_sent(false, now);
            }
        }
    }

    /// Kills a process.
    fn kill(&mut self, index: usize) {
        let now = self.now;
        self.processes[index].died.get_or_insert(now);
    }

    /// Replaces a process that died long enough ago for the platform to notice.
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

    /// Changes what is wanted of the target.
    fn change_wish(&mut self) {
        let roles = ["prefill", "decode", "mixed"];
        self.wanted = role(roles[self.random.random_range(0..roles.len())]);
    }

    /// Returns the processes that can send nothing any more, as the instance list tells.
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

    /// Returns whether the owner has died, so that its lease lapses.
    fn is_owner_dead(&self) -> bool {
        self.owner
            .is_some_and(|(owner, _)| self.processes[owner].died.is_some())
    }

    /// Returns whether a process owns the target under a fencing number; none always holds.
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
            "order {} is done without effect",
            intent.order
        );
    }

    /// Checks what must hold at every moment.
    fn check(&self) {
        if self.target.checks {
            return;
        }
        let senders: BTreeSet<(usize, u64)> = self.sends.iter().map(|send| send.from).collect();
        assert!(
            senders.len() <= 1,
            "orders of several processes are on their way: {senders:?}"
        );
    }

    /// Returns whether the target is as wanted and nothing is pending.
    fn is_settled(&self) -> bool {
        let intent = self.records.intent.0.as_ref();
        self.target.role == self.wanted.value
            && self.target.half_done == 0
            && intent.is_none_or(|intent| intent.done)
    }
}

impl Target {
    /// Returns what the target reports.
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
    /// Creates a process.
    fn new(index: usize, incarnation: u64, checks: bool) -> Self {
        let hold = Hold {
            instance: name(index),
            incarnation,
            address: format!("127.0.0.1:{}", 7000 + index),
            released: false,
        };
        Self {
            incarnation,
            owner: TargetReconciler::new(hold, checks),
            decided: None,
            awaited: None,
            died: None,
        }
    }
}

/// Names a process.
fn name(index: usize) -> String {
    format!("entry-{index}")
}

/// Wants a role.
fn role(value: &str) -> Wanted {
    Wanted {
        kind: OrderKind::SetRole,
        value: value.to_owned(),
    }
}

/// Orders never conflict and never take effect late, whatever is paused, lost or killed; and when
/// the faults end, the target comes to be as wanted.
#[parameterized(
    checked = { true },
    ignored = { false },
)]
fn orders_never_conflict(checks: bool) {
    for seed in 0..2_000 {
        let mut world = World::new(checks, seed);
        for _ in 0..FAULTY_STEPS {
            world.step(true);
        }
        let mut settled = false;
        for _ in 0..CALM_STEPS {
            world.step(false);
            settled |= world.is_settled();
        }
        assert!(settled, "seed {seed}: the target is not as wanted");
    }
}
