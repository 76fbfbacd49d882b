//! A target that is a process, with its faults.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_platform_standin::process::{Line, Mood, Step};
use cactuslane_platform_standin::{Place, Store, TargetKind, target};
use rustix::process::Signal;
use tokio::time::Instant;

use super::running::{MadeLog, Program, Running};
use super::{SECOND_VERSION, TargetFault};
use crate::figures::WorkerFigures;
use crate::layout::TargetSpec;
use crate::made::{Made, instant};
use crate::plan::ProcessFault;

/// Time for which a fault waits until the process is in the middle of an answer without a length;
/// afterwards that of any answer will do, for the same time.
const AIM_TIME: Duration = Duration::from_millis(400);
/// Number of calls of [`Worker::step`] of which a slow process runs after one.
const SLOW_TICKS: u32 = 4;
/// Maximum number of starts that fail in a row.
const MAX_FAILURES: u32 = 5;
/// Time from the end of a process that left, or was dark, to the start of the next one.
const RETURN_TIME: Duration = Duration::from_millis(200);

/// A target that is a process.
#[derive(Debug)]
pub struct Worker {
    /// First id.
    pub name: String,
    /// Current id.
    pub id: String,
    /// Place of the target in the deployment, if it is not that of its kind.
    pub place: Option<Place>,
    /// Whether its software has [`SECOND_VERSION`], and the first one otherwise.
    pub is_second: bool,
    /// What its processes are started with.
    pub program: Program,
    /// State of the process and of its current fault.
    pub phase: Phase,
    /// Runs of all processes, with their request ids, by run.
    pub runs: BTreeMap<String, (String, Made)>,
    /// Number of the process, from 1.
    pub process: u64,
    /// Address of the process, at which the next one serves unless it moves.
    address: Option<SocketAddr>,
    /// Process that was started last.
    running: Option<Running>,
    /// Its log.
    log: Option<MadeLog>,
    /// Number of computed prompts that it keeps.
    kept: u64,
    /// Time from the start of the next process to its entry in the store.
    entry_delay: Duration,
    /// Start and end of the current deviation from correct behaviour.
    mood: Option<(Instant, Instant)>,
    /// Number of starts that failed since the last one that did not.
    failures: u32,
}

/// State of the process of a target and of its current fault.
#[derive(Clone, Debug)]
pub enum Phase {
    /// It starts; after a fault, which began at a time under an id.
    Starting(Option<(String, Instant)>),
    /// It serves, but its entry is written only at a time; after a fault as in [`Self::Starting`].
    Unlisted(Option<(String, Instant)>, Instant),
    /// It serves.
    Serving,
    /// It serves until a fault with a duration, which is due since a time.
    Aiming(ProcessFault, Duration, Instant),
    /// It was killed at a time and is started again at another one.
    Down(Instant, Instant, Successor),
    /// It was stopped at a time and is resumed at another one.
    Frozen(Instant, Instant),
    /// It is stopped and resumed from a time to another one, at each call of [`Worker::step`], which
    /// are counted.
    Slowed(Instant, Instant, u32),
    /// It was stopped at a time and is killed at another one.
    Dark(Instant, Instant),
    /// It is draining since a time and ends at another one.
    Leaving(Instant, Instant),
}

/// The process that follows one that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// It has the same id, address and version.
    Same,
    /// It has another id and version, at the same address.
    Renamed,
    /// It has the same id and address, and another version, which its entry states only after a time.
    Upgraded(Duration),
    /// It has another id and version, at an address that another target had if there is one.
    Moved,
    /// It has another id and version, at a free address.
    Elsewhere,
}

impl Worker {
    /// Creates a target, whose process is started by [`Self::step`].
    pub fn new(spec: &TargetSpec, program: Program) -> Self {
        Self {
            name: spec.id.clone(),
            id: spec.id.clone(),
            place: spec.place.clone(),
            is_second: spec.is_second,
            program,
            phase: Phase::Starting(None),
            runs: BTreeMap::new(),
            process: 0,
            address: None,
            running: None,
            log: None,
            kept: 0,
            entry_delay: Duration::ZERO,
            mood: None,
            failures: 0,
        }
    }

    /// Goes on from the current phase, if it is time to; returns a fault that has ended.
    ///
    /// `freed` are the addresses that targets had before they moved.
    pub fn step(
        &mut self,
        store: &Store,
        figures: &mut WorkerFigures,
        freed: &mut Vec<SocketAddr>,
    ) -> io::Result<Option<TargetFault>> {
        let now = Instant::now();
        match self.phase.clone() {
            Phase::Starting(fault) => {
                if !self.poll_started()? {
                    return Ok(None);
                }
                let delay = std::mem::take(&mut self.entry_delay);
                if !delay.is_zero() {
                    self.phase = Phase::Unlisted(fault, now + delay);
                    return Ok(None);
                }
                self.register(store, "ready");
                self.phase = Phase::Serving;
                return Ok(fault.map(|(id, from)| (id, from, now)));
            }
            Phase::Unlisted(fault, until) if until <= now => {
                self.register(store, "ready");
                self.phase = Phase::Serving;
                return Ok(fault.map(|(id, from)| (id, from, now)));
            }
            Phase::Aiming(fault, time, since) => self.aim(fault, (time, since), store, figures)?,
            Phase::Down(from, until, successor) if until <= now => {
                let id = self.id.clone();
                self.succeed(successor, store, freed);
                self.phase = Phase::Starting(Some((id, from)));
            }
            Phase::Slowed(from, until, ticks) if now < until => {
                let runs = ticks % SLOW_TICKS == 0;
                self.signal(if runs { Signal::CONT } else { Signal::STOP });
                self.phase = Phase::Slowed(from, until, ticks + 1);
            }
            Phase::Frozen(from, until) | Phase::Slowed(from, until, _) if until <= now => {
                self.signal(Signal::CONT);
                self.phase = Phase::Serving;
                return Ok(Some((self.id.clone(), from, now)));
            }
            Phase::Dark(from, until) | Phase::Leaving(from, until) if until <= now => {
                self.kill(figures)?;
                self.phase = Phase::Down(from, now + RETURN_TIME, Successor::Elsewhere);
            }
            _ => {}
        }
        Ok(None)
    }

    /// Applies a fault that is due since a time, once the process is in the middle of an answer.
    fn aim(
        &mut self,
        fault: ProcessFault,
        (time, since): (Duration, Instant),
        store: &Store,
        figures: &mut WorkerFigures,
    ) -> io::Result<()> {
        let now = Instant::now();
        let is_open =
            |made: &Made| made.is_open() && (made.framing.is_close() || since + AIM_TIME <= now);
        let open = self.kept > 0 || self.runs.values().any(|(_, made)| is_open(made));
        if !open && now < since + 2 * AIM_TIME {
            return Ok(());
        }
        let until = now + time;
        let successor = match fault {
            ProcessFault::Slow => {
                figures.slowed += 1;
                self.phase = Phase::Slowed(now, until, 0);
                return Ok(());
            }
            ProcessFault::Freeze => {
                self.freeze(time, figures);
                return Ok(());
            }
            ProcessFault::Dark => {
                figures.dark += 1;
                self.signal(Signal::STOP);
                self.phase = Phase::Dark(now, until);
                return Ok(());
            }
            ProcessFault::Leave => {
                figures.left += 1;
                self.register(store, "draining");
                self.phase = Phase::Leaving(now, until);
                return Ok(());
            }
            ProcessFault::Kill => Successor::Same,
            ProcessFault::Rename => {
                figures.renamed += 1;
                Successor::Renamed
            }
            ProcessFault::Upgrade(delay) => {
                figures.upgraded += 1;
                Successor::Upgraded(delay)
            }
            ProcessFault::Move => {
                figures.moved += 1;
                Successor::Moved
            }
        };
        self.kill(figures)?;
        self.phase = Phase::Down(now, until, successor);
        Ok(())
    }

    /// Kills the process.
    fn kill(&mut self, figures: &mut WorkerFigures) -> io::Result<()> {
        self.running = None;
        self.read_log(figures)?;
        for (_, made) in self.runs.values_mut().filter(|(_, made)| made.is_open()) {
            figures.cut += 1;
            figures.cut_without_length += u64::from(made.framing.is_close());
            made.broken = true;
        }
        figures.kills += 1;
        figures.lost_prompts += std::mem::take(&mut self.kept);
        Ok(())
    }

    /// Prepares the start of the process that follows the one that has ended.
    fn succeed(&mut self, successor: Successor, store: &Store, freed: &mut Vec<SocketAddr>) {
        match successor {
            Successor::Same => return,
            Successor::Upgraded(delay) => self.entry_delay = delay,
            Successor::Renamed => {}
            Successor::Elsewhere => self.address = None,
            Successor::Moved => {
                let next = freed.pop();
                freed.extend(self.address.take());
                self.address = next;
            }
        }
        self.is_second = !self.is_second;
        if !matches!(successor, Successor::Upgraded(_)) {
            store.remove_target(&self.id);
            self.id = format!("{}-{}", self.name, self.process + 1);
        }
    }

    /// Writes the entry with a state, `ready` or `draining`.
    fn register(&self, store: &Store, state: &str) {
        let address = self.address.expect("it has started");
        let (id, kind) = (&*self.id, self.program.kind);
        let software = (self.process, self.version());
        if let Some(place) = &self.place {
            target::register_place(store, id, (kind, place), software, (address, state));
        } else {
            target::register_version(store, id, kind, software, address, state);
        }
    }

    /// Returns the version of the target's software.
    fn version(&self) -> &'static str {
        if self.is_second {
            SECOND_VERSION
        } else {
            target::FIRST_VERSION
        }
    }

    /// Stops the process, and resumes it after a time.
    pub fn freeze(&mut self, time: Duration, figures: &mut WorkerFigures) {
        self.signal(Signal::STOP);
        figures.freezes += 1;
        self.phase = Phase::Frozen(Instant::now(), Instant::now() + time);
    }

    /// Lets the process deviate from correct behaviour for a time; returns whether it was told.
    pub fn disturb(&mut self, mood: Mood, time: Duration) -> bool {
        let told = self.mood.is_none()
            && matches!(self.phase, Phase::Serving | Phase::Aiming(..))
            && (self.running.as_mut()).is_some_and(|running| running.set_mood(Some(mood)));
        if told {
            self.mood = Some((Instant::now(), Instant::now() + time));
        }
        told
    }

    /// Ends a deviation from correct behaviour that is due to end, or any one if `all` is set, and
    /// returns it as a fault.
    pub fn end_mood(&mut self, all: bool) -> Option<TargetFault> {
        let now = Instant::now();
        let (from, _) = self.mood.take_if(|(_, until)| all || *until <= now)?;
        if let Some(running) = &mut self.running {
            // A process that has ended since has no deviation.
            running.set_mood(None);
        }
        Some((self.id.clone(), from, now))
    }

    /// Starts a process if there is none, and returns whether it has stated its address.
    fn poll_started(&mut self) -> io::Result<bool> {
        let Some(running) = &self.running else {
            self.process += 1;
            let names = (&*self.name, &*self.id, self.process);
            let (program, address) = (&self.program, self.address);
            let started = tokio::task::block_in_place(|| program.start(names, address))?;
            (self.running, self.log) = (Some(started.0), Some(started.1));
            return Ok(false);
        };
        let Ok(address) = running.poll_address() else {
            self.running = None;
            self.failures += 1;
            // Another process may have taken the port while none of this target had it.
            self.address = None;
            if self.failures == MAX_FAILURES {
                let text = format!("target {} ended before it served", self.id);
                return Err(io::Error::other(text));
            }
            return Ok(false);
        };
        if address.is_some() {
            self.address = address;
            self.failures = 0;
        }
        Ok(address.is_some())
    }

    /// Reads what the process has logged since the last call.
    pub fn read_log(&mut self, figures: &mut WorkerFigures) -> io::Result<()> {
        let Some(log) = &mut self.log else {
            return Ok(());
        };
        for line in log.read()? {
            self.take(line, figures);
        }
        Ok(())
    }

    /// Takes one line of the log.
    fn take(&mut self, line: Line, figures: &mut WorkerFigures) {
        if let Step::Began {
            request,
            after,
            framing,
            copied,
            ..
        } = line.step
        {
            let made = Made {
                target: self.id.clone(),
                run: line.run.clone(),
                version: self.version().to_owned(),
                at: instant(line.at_us),
                after,
                framing,
                copied,
                events: BTreeMap::new(),
                tail: String::new(),
                body: None,
                ended: false,
                broken: false,
            };
            let is_stream = self.program.kind == TargetKind::Decode;
            let is_unlisted = matches!(self.phase, Phase::Unlisted(..));
            figures.before_entry += u64::from(is_stream && is_unlisted);
            self.runs.insert(line.run, (request, made));
            return;
        }
        match line.step {
            Step::Kept => {
                figures.prompts += 1;
                self.kept += 1;
            }
            Step::Fetched(true) => {
                figures.fetched += 1;
                self.kept = self.kept.saturating_sub(1);
            }
            Step::Fetched(false) => figures.gone += 1,
            _ => {}
        }
        let Some((_, made)) = self.runs.get_mut(&line.run) else {
            return;
        };
        match line.step {
            Step::Body(text) => made.body = Some(text),
            Step::Event(id, text) => {
                made.events.insert(id, text);
            }
            Step::Tail(text) => made.tail = text,
            Step::Ended => made.ended = true,
            Step::Broken => made.broken = true,
            Step::Began { .. } | Step::Kept | Step::Fetched(_) => {}
        }
    }

    /// Sends a signal to the process; does nothing if there is none.
    fn signal(&self, signal: Signal) {
        if let Some(running) = &self.running {
            running.signal(signal);
        }
    }
}
