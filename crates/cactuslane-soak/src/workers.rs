//! Targets that run as processes, which are killed, stopped and started again.

mod running;
mod worker;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_platform_standin::process::Mood;
use cactuslane_platform_standin::{Store, TargetKind};
use tokio::time::Instant;

use self::running::Program;
use self::worker::{Phase, Successor, Worker};
use crate::check::Observations;
use crate::figures::WorkerFigures;
use crate::layout::TargetSpec;
use crate::options::Options;
use crate::plan::{self, ProcessFault};

/// Version of the software of some targets; a target that gets another id gets the other version.
pub const SECOND_VERSION: &str = "v2";
/// Number of targets whose faults [`plan::draw_processes`] draws, which are the first ones.
pub const KILLED_TARGETS: usize = 4;

/// Id of a target, with start and end of a fault of it.
pub type TargetFault = (String, Instant, Instant);

/// The targets of a run that are processes; by default there are none.
#[derive(Debug, Default)]
pub struct Workers {
    /// The targets, in the order of their numbers.
    targets: Vec<Worker>,
    /// Faults that have ended.
    faults: Vec<TargetFault>,
    /// Addresses that targets had before they moved.
    freed: Vec<SocketAddr>,
    /// Counts so far.
    figures: WorkerFigures,
}

impl Workers {
    /// Creates the targets, whose processes are started by [`Self::tick`].
    #[must_use]
    pub fn of(targets: &[TargetSpec], options: &Options) -> Self {
        let worker = |spec: &TargetSpec| {
            let program = Program {
                binary: options.binary.clone(),
                folder: options.folder.clone(),
                host: options.target_host(),
                kind: spec.kind,
                seed: options.seed,
                copies: !plan::is_planned_only(options.seed),
            };
            Worker::new(spec, program)
        };
        Self {
            targets: targets.iter().map(worker).collect(),
            ..Self::default()
        }
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns the number of the first target that computes prompts, as those after it do.
    #[must_use]
    pub fn prompts(&self) -> usize {
        let computes = |worker: &Worker| worker.program.kind == TargetKind::Prefill;
        let first = self.targets.iter().position(computes);
        first.unwrap_or(self.len())
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
        let serves =
            |worker: &Worker| !matches!(worker.phase, Phase::Starting(_) | Phase::Unlisted(..));
        self.targets.iter().all(serves)
    }

    /// Disturbs a target as soon as it is in the middle of an answer; does nothing while an earlier
    /// fault lasts, but that a release takes the place of a kill.
    pub fn disturb(&mut self, number: usize, fault: ProcessFault, time: Duration) {
        let worker = &mut self.targets[number];
        match (&mut worker.phase, fault) {
            (Phase::Serving, _) => worker.phase = Phase::Aiming(fault, time, Instant::now()),
            (Phase::Aiming(earlier @ ProcessFault::Kill, ..), ProcessFault::Upgrade(_)) => {
                *earlier = fault;
            }
            (Phase::Down(.., successor @ Successor::Same), ProcessFault::Upgrade(delay)) => {
                *successor = Successor::Upgraded(delay);
                self.figures.upgraded += 1;
            }
            _ => self.figures.left_out += 1,
        }
    }

    /// Lets a target deviate from correct behaviour for a time; does nothing while it does not serve
    /// or another deviation lasts.
    pub fn set_mood(&mut self, number: usize, mood: Mood, time: Duration) {
        if self.targets[number].disturb(mood, time) {
            self.figures.moods += 1;
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
            worker.read_log(&mut self.figures)?;
            let fault = worker.step(store, &mut self.figures, &mut self.freed)?;
            self.faults.extend(fault);
            self.faults.extend(worker.end_mood(false));
        }
        Ok(())
    }

    /// Returns the latest end of a fault that has ended.
    #[must_use]
    pub fn faults_end(&self) -> Option<Instant> {
        self.faults.iter().map(|(.., end)| *end).max()
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
            worker.read_log(&mut figures)?;
            self.faults.extend(worker.end_mood(true));
            let (id, now) = (worker.id.clone(), Instant::now());
            match worker.phase.clone() {
                Phase::Starting(Some((id, from))) | Phase::Unlisted(Some((id, from)), _) => {
                    self.faults.push((id, from, now));
                }
                Phase::Down(from, ..)
                | Phase::Frozen(from, _)
                | Phase::Slowed(from, ..)
                | Phase::Dark(from, _)
                | Phase::Leaving(from, _) => self.faults.push((id, from, now)),
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
                if worker.program.kind == TargetKind::Decode {
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
