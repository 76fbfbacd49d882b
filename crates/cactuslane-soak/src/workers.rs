//! Targets that run as processes, which are killed, stopped and started again.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver, TryRecvError};
use std::time::Duration;

use cactuslane_platform_standin::process::{Line, Step};
use cactuslane_platform_standin::{Place, Store, TargetKind, target};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::Instant;

use crate::check::Observations;
use crate::figures::WorkerFigures;
use crate::layout::TargetSpec;
use crate::made::{Made, instant};
use crate::plan::{self, ProcessFault};

/// Time for which a fault waits until the process is in the middle of an answer without a length;
/// afterwards that of any answer will do, for the same time.
const AIM_TIME: Duration = Duration::from_millis(400);
/// Number of calls of [`Workers::tick`] of which a slow process runs after one.
const SLOW_TICKS: u32 = 4;
/// Version of the software of some targets; a target that gets another id gets the other version.
pub const SECOND_VERSION: &str = "v2";
/// Maximum number of starts that fail in a row.
const MAX_FAILURES: u32 = 5;

/// The targets of a run that are processes; by default there are none.
#[derive(Debug, Default)]
pub struct Workers {
    /// The targets, in the order of their numbers.
    targets: Vec<Worker>,
    /// Id of a target, with start and end of each fault that has ended.
    faults: Vec<(String, Instant, Instant)>,
    /// Counts so far.
    figures: WorkerFigures,
}

/// A target that is a process.
#[derive(Debug)]
struct Worker {
    /// First id.
    name: String,
    /// Current id.
    id: String,
    /// Kind of the target.
    kind: TargetKind,
    /// Whether its software has [`SECOND_VERSION`], and the first one otherwise.
    is_second: bool,
    /// Place of the target in the deployment, if it is not that of its kind.
    place: Option<Place>,
    /// Executable with the command `target`.
    binary: PathBuf,
    /// Folder of the logs.
    folder: PathBuf,
    /// Seed of the framings.
    seed: u64,
    /// Whether some answers are sent a second time on their connection.
    copies: bool,
    /// Number of the process, from 1.
    process: u64,
    /// Address of the first process, at which the later ones serve.
    address: Option<SocketAddr>,
    /// Process that was started last.
    running: Option<Running>,
    /// Log of that process and the part of its last line that was read.
    log: Option<(File, Vec<u8>)>,
    /// Runs of all processes, with their request ids, by run.
    runs: BTreeMap<String, (String, Made)>,
    /// State of the process and of its current fault.
    phase: Phase,
    /// Number of starts that failed since the last one that did not.
    failures: u32,
}

/// State of the process of a target and of its current fault.
#[derive(Clone, Debug)]
enum Phase {
    /// It starts; after a fault, which began at a time under an id.
    Starting(Option<(String, Instant)>),
    /// It serves.
    Serving,
    /// It serves until a fault with a duration, which is due since a time.
    Aiming(ProcessFault, Duration, Instant),
    /// It was killed at a time and is started again at another one, with another id if set.
    Down(Instant, Instant, bool),
    /// It was stopped at a time and is resumed at another one.
    Frozen(Instant, Instant),
    /// It is stopped and resumed from a time to another one, at each call of [`Workers::tick`], which
    /// are counted.
    Slowed(Instant, Instant, u32),
}

/// A child process; dropping it kills the process, whose end a thread awaits.
#[derive(Debug)]
struct Running {
    /// Handle of the process; `None` once it is dropped.
    child: Option<Child>,
    /// Receives the address that it listens on.
    started: Receiver<SocketAddr>,
}

impl Workers {
    /// Creates the targets, whose processes are started by [`Self::tick`].
    #[must_use]
    pub fn of(targets: &[TargetSpec], binary: &Path, folder: &Path, seed: u64) -> Self {
        let worker = |spec: &TargetSpec| Worker {
            name: spec.id.clone(),
            id: spec.id.clone(),
            kind: spec.kind,
            is_second: spec.is_second,
            place: spec.place.clone(),
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            seed,
            copies: !plan::is_planned_only(seed),
            process: 0,
            address: None,
            running: None,
            log: None,
            runs: BTreeMap::new(),
            phase: Phase::Starting(None),
            failures: 0,
        };
        Self {
            targets: targets.iter().map(worker).collect(),
            faults: Vec::new(),
            figures: WorkerFigures::default(),
        }
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there is no target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the number of processes that were started.
    #[must_use]
    pub fn processes(&self) -> u64 {
        self.targets.iter().map(|worker| worker.process).sum()
    }

    /// Returns whether all processes have started.
    #[must_use]
    pub fn all_serve(&self) -> bool {
        let serves = |worker: &Worker| !matches!(worker.phase, Phase::Starting(_));
        self.targets.iter().all(serves)
    }

    /// Disturbs a target as soon as it is in the middle of an answer; does nothing while an earlier
    /// fault lasts.
    pub fn disturb(&mut self, number: usize, fault: ProcessFault, time: Duration) {
        let worker = &mut self.targets[number];
        if matches!(worker.phase, Phase::Serving) {
            worker.phase = Phase::Aiming(fault, time, Instant::now());
        } else {
            self.figures.left_out += 1;
        }
    }

    /// Stops a target that serves with SIGSTOP at once, and resumes it after a time.
    pub fn freeze(&mut self, number: usize, time: Duration) {
        let worker = &mut self.targets[number];
        if matches!(worker.phase, Phase::Serving) {
            worker.freeze(time, &mut self.figures);
        }
    }

    /// Reads the logs, starts processes, registers those that have started, and applies and ends
    /// faults.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or a log cannot be read.
    pub fn tick(&mut self, store: &Store) -> io::Result<()> {
        for worker in &mut self.targets {
            worker.read_log()?;
            let fault = worker.step(store, &mut self.figures)?;
            self.faults.extend(fault);
        }
        Ok(())
    }

    /// Adds the runs and faults to the observations and returns the counts; a fault that lasts ends
    /// now.
    ///
    /// # Errors
    ///
    /// Returns an error if a log cannot be read.
    pub fn finish(&mut self, observations: &mut Observations) -> io::Result<WorkerFigures> {
        let mut figures = self.figures;
        for worker in &mut self.targets {
            worker.read_log()?;
            let (id, now) = (worker.id.clone(), Instant::now());
            match worker.phase.clone() {
                Phase::Starting(Some((id, from))) => self.faults.push((id, from, now)),
                Phase::Down(from, ..) | Phase::Frozen(from, _) | Phase::Slowed(from, ..) => {
                    self.faults.push((id, from, now));
                }
                _ => {}
            }
            for (request, made) in worker.runs.values() {
                let runs = observations.runs.entry(request.clone()).or_default();
                runs.push(made.at);
                let of_request = observations.made.entry(request.clone()).or_default();
                of_request.push(made.clone());
                figures.after_copies += u64::from(made.copied);
                if !made.framing.is_close() {
                    continue;
                }
                if worker.kind == TargetKind::Decode {
                    figures.streams_without_length += 1;
                } else {
                    figures.plain_without_length += 1;
                }
            }
        }
        for (_, _, to) in &self.faults {
            observations.disruption_end = observations.disruption_end.max(Some(*to));
        }
        observations.process_faults.append(&mut self.faults);
        Ok(figures)
    }
}

impl Worker {
    /// Goes on from the current phase, if it is time to; returns a fault that has ended.
    fn step(
        &mut self,
        store: &Store,
        figures: &mut WorkerFigures,
    ) -> io::Result<Option<(String, Instant, Instant)>> {
        let now = Instant::now();
        match self.phase.clone() {
            Phase::Starting(fault) => {
                if self.poll_started()? {
                    let address = self.address.expect("it has started");
                    let (id, process) = (&*self.id, self.process);
                    let software = (process, self.version());
                    if let Some(place) = &self.place {
                        let place = (self.kind, place);
                        target::register_place(store, id, place, software, address);
                    } else {
                        target::register_version(store, id, self.kind, software, address);
                    }
                    self.phase = Phase::Serving;
                    return Ok(fault.map(|(id, from)| (id, from, now)));
                }
            }
            Phase::Aiming(fault, time, since) => {
                let is_open = |made: &Made| {
                    made.is_open() && (made.framing.is_close() || since + AIM_TIME <= now)
                };
                let open = self.runs.values().any(|(_, made)| is_open(made));
                if !open && now < since + 2 * AIM_TIME {
                    return Ok(None);
                }
                if fault == ProcessFault::Slow {
                    figures.slowed += 1;
                    self.phase = Phase::Slowed(now, now + time, 0);
                    return Ok(None);
                }
                if fault == ProcessFault::Freeze {
                    self.freeze(time, figures);
                    return Ok(None);
                }
                self.running = None;
                self.read_log()?;
                for (_, made) in self.runs.values_mut().filter(|(_, made)| made.is_open()) {
                    figures.cut += 1;
                    figures.cut_without_length += u64::from(made.framing.is_close());
                    made.broken = true;
                }
                figures.kills += 1;
                let renames = fault == ProcessFault::Rename;
                figures.renamed += u64::from(renames);
                self.phase = Phase::Down(now, now + time, renames);
            }
            Phase::Down(from, until, renames) if until <= now => {
                let id = self.id.clone();
                if renames {
                    store.remove_target(&self.id);
                    self.id = format!("{}-{}", self.name, self.process + 1);
                    self.is_second = !self.is_second;
                }
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
            Phase::Serving | Phase::Down(..) | Phase::Frozen(..) | Phase::Slowed(..) => {}
        }
        Ok(None)
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
    fn freeze(&mut self, time: Duration, figures: &mut WorkerFigures) {
        self.signal(Signal::STOP);
        figures.freezes += 1;
        self.phase = Phase::Frozen(Instant::now(), Instant::now() + time);
    }

    /// Starts a process if there is none, and returns whether it has stated its address.
    fn poll_started(&mut self) -> io::Result<bool> {
        let Some(running) = &self.running else {
            tokio::task::block_in_place(|| self.start())?;
            return Ok(false);
        };
        match running.started.try_recv() {
            Ok(address) => {
                self.address = Some(address);
                self.failures = 0;
                Ok(true)
            }
            Err(TryRecvError::Empty) => Ok(false),
            Err(TryRecvError::Disconnected) => {
                self.running = None;
                self.failures += 1;
                // Another process may have taken the port while none of this target had it.
                self.address = None;
                if self.failures == MAX_FAILURES {
                    let text = format!("target {} ended before it served", self.id);
                    return Err(io::Error::other(text));
                }
                Ok(false)
            }
        }
    }

    /// Starts a process.
    fn start(&mut self) -> io::Result<()> {
        self.process += 1;
        let log = format!("{}-{}.made", self.name, self.process);
        let log = self.folder.join(log);
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        // A run that was ended may have left the log of a process with the same number.
        drop(File::create(&log)?);
        let mut command = Command::new(&self.binary);
        command.args(["target", "--id", &self.id]);
        command.args(["--process", &self.process.to_string()]);
        command.args(["--seed", &self.seed.to_string()]);
        command.args(["--address", &self.address.unwrap_or(free).to_string()]);
        command.arg("--log").arg(&log);
        if self.kind == TargetKind::Decode {
            command.arg("--streams");
        }
        if self.copies {
            command.arg("--copies");
        }
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the stdout of the process is not piped"))?;
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            let read = BufReader::new(output).read_line(&mut line);
            if let Ok(address) = line.trim().parse()
                && read.is_ok()
            {
                // The receiver is dropped if the process is killed while it starts.
                let _ = sender.send(address);
            }
        });
        let child = Some(child);
        self.running = Some(Running { child, started });
        self.log = Some((File::open(&log)?, Vec::new()));
        Ok(())
    }

    /// Reads what the process has logged since the last call.
    fn read_log(&mut self) -> io::Result<()> {
        let Some((file, rest)) = &mut self.log else {
            return Ok(());
        };
        file.read_to_end(rest)?;
        let Some(end) = rest.iter().rposition(|byte| *byte == b'\n') else {
            return Ok(());
        };
        let lines: Vec<u8> = rest.drain(..=end).collect();
        for line in lines.split(|byte| *byte == b'\n') {
            if line.is_empty() {
                continue;
            }
            let line: Line = serde_json::from_slice(line).map_err(io::Error::other)?;
            self.take(line);
        }
        Ok(())
    }

    /// Takes one line of the log.
    fn take(&mut self, line: Line) {
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
                body: None,
                ended: false,
                broken: false,
            };
            self.runs.insert(line.run, (request, made));
            return;
        }
        let Some((_, made)) = self.runs.get_mut(&line.run) else {
            return;
        };
        match line.step {
            Step::Began { .. } => {}
            Step::Body(text) => made.body = Some(text),
            Step::Event(id, text) => {
                made.events.insert(id, text);
            }
            Step::Ended => made.ended = true,
            Step::Broken => made.broken = true,
        }
    }

    /// Sends a signal to the process; does nothing if there is none.
    fn signal(&self, signal: Signal) {
        let child = self.running.as_ref().and_then(|run| run.child.as_ref());
        let pid = child.and_then(|child| Pid::from_raw(i32::try_from(child.id()).ok()?));
        if let Some(pid) = pid {
            // A process that has ended is started again after the next fault.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        // Killing fails if the process has already ended.
        let _ = child.kill();
        std::thread::spawn(move || child.wait());
    }
}
