//! The engines of a run.

use cactuslane_route::Load;
use cactuslane_standin::{Batch, BatchEvent, EngineParams, Work};
use cactuslane_types::Role;
use std::collections::VecDeque;

/// Time between two samples of an engine's load, in microseconds.
const SAMPLE_INTERVAL: u64 = 100_000;

/// One engine of a run.
#[derive(Clone, Debug)]
pub struct SimEngine {
    /// Its batch.
    pub batch: Batch,
    /// Its role.
    pub role: Role,
    /// The number of its failure domain.
    pub domain: usize,
    /// Says whether it works.
    pub up: bool,
    /// Says whether it is asked to take new work.
    pub wanted: bool,
    /// The role that it changes to when its streams have ended.
    pub next_role: Option<Role>,
    /// The factor by which it is slower than its parameters say.
    pub slowness: f64,
    /// Tells steps of before a crash from later ones.
    pub epoch: u64,
    /// Holds what happens at the end of the step in progress.
    pending: Vec<BatchEvent>,
    /// Says whether a step is in progress.
    stepping: bool,
    /// Holds samples of its load with their times.
    samples: VecDeque<(u64, Load)>,
}

impl SimEngine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(params: EngineParams, domain: usize, role: Role) -> Self {
        let mut engine = Self {
            batch: Batch::new(params),
            role: Role::Mixed,
            domain,
            up: true,
            wanted: true,
            next_role: None,
            slowness: 1.0,
            epoch: 0,
            pending: Vec::new(),
            stepping: false,
            samples: VecDeque::new(),
        };
        engine.set_role(role);
        engine
    }

    /// Sets the role.
    pub fn set_role(&mut self, role: Role) {
        self.role = role;
        self.batch.large_chunks = role == Role::Prefill;
    }

    /// Adds work.
    pub fn add(&mut self, work: Work) {
        self.batch.add(work);
    }

    /// Starts a step if there is work and none is in progress; returns its length in microseconds.
    pub fn start_step(&mut self) -> Option<u64> {
        if self.stepping || !self.up || self.batch.is_idle() {
            return None;
        }
        let step = self.batch.step();
        self.pending = step.events;
        self.stepping = true;
        Some((step.time.as_secs_f64() * 1e6 * self.slowness) as u64)
    }

    /// Ends the step in progress and returns what happened.
    pub fn end_step(&mut self) -> Vec<BatchEvent> {
        self.stepping = false;
        std::mem::take(&mut self.pending)
    }

    /// Loses all work and memory, as a crash does, and returns the streams that were cut.
    pub fn crash(&mut self) -> Vec<u64> {
        let ids = self.batch.ids();
        let chunks = self.batch.large_chunks;
        self.batch.reset();
        self.batch.large_chunks = chunks;
        self.pending.clear();
        self.stepping = false;
        self.epoch += 1;
        ids
    }

    /// Returns the load now.
    #[must_use]
    pub fn load(&self) -> Load {
        let load = self.batch.load();
        Load {
            queued: load.queued_tokens,
            running: load.running,
            free: load.free_blocks,
            context: load.context_tokens,
        }
    }

    /// Samples the load if it is time.
    pub fn sample(&mut self, now: u64) {
        if self
            .samples
            .back()
            .is_some_and(|(at, _)| now - at < SAMPLE_INTERVAL)
        {
            return;
        }
        let load = self.load();
        self.samples.push_back((now, load));
    }

    /// Returns the newest sample that is older than a lag, and drops those before it.
    pub fn sampled(&mut self, now: u64, lag: u64) -> Option<Load> {
        let until = now.saturating_sub(lag);
        while self.samples.len() > 1 && self.samples[1].0 <= until {
            self.samples.pop_front();
        }
        self.samples
            .front()
            .filter(|(at, _)| *at <= until)
            .map(|(_, load)| *load)
    }
}
