//! Simulated engines: batch, role, availability and delayed load reports.

use cactuslane_route::Load;
use cactuslane_standin::{Batch, BatchEvent, EngineParams, Work};
use cactuslane_types::Role;
use std::collections::VecDeque;

/// Minimum time between two samples of an engine's load, in microseconds.
const SAMPLE_INTERVAL: u64 = 100_000;

/// Simulated engine. Times are in microseconds of virtual time.
#[derive(Clone, Debug)]
pub struct SimEngine {
    /// Model of the engine's continuous batching.
    pub batch: Batch,
    /// Current role, which also sets the size of prompt chunks.
    pub role: Role,
    /// Index of the failure domain.
    pub domain: usize,
    /// Whether the engine runs; false after a crash and during a role change.
    pub up: bool,
    /// Whether the engine is to get new work; false while it is taken out of service.
    pub in_service: bool,
    /// Role to which the engine changes once its streams have ended.
    pub next_role: Option<Role>,
    /// Factor on the step times that the engine parameters give.
    pub slowdown: f64,
    /// Increases with each crash and role change; step ends scheduled in an earlier epoch are
    /// ignored.
    pub epoch: u64,
    /// Events that take effect at the end of the step in progress.
    pending_events: Vec<BatchEvent>,
    /// Whether a step is in progress.
    stepping: bool,
    /// Load samples with their times, oldest first.
    samples: VecDeque<(u64, Load)>,
}

impl SimEngine {
    /// Creates an idle engine that runs and is in service.
    #[must_use]
    pub fn new(params: EngineParams, domain: usize, role: Role) -> Self {
        let mut engine = Self {
            batch: Batch::new(params),
            role: Role::Mixed,
            domain,
            up: true,
            in_service: true,
            next_role: None,
            slowdown: 1.0,
            epoch: 0,
            pending_events: Vec::new(),
            stepping: false,
            samples: VecDeque::new(),
        };
        engine.set_role(role);
        engine
    }

    /// Sets the role; a prefill engine computes prompts in large chunks.
    pub fn set_role(&mut self, role: Role) {
        self.role = role;
        self.batch.large_chunks = role == Role::Prefill;
    }

    /// Adds the work of a request to the batch.
    pub fn add(&mut self, work: Work) {
        self.batch.add(work);
    }

    /// Starts a step if the engine runs, has work and no step is in progress; returns the length of
    /// the step in microseconds.
    pub fn start_step(&mut self) -> Option<u64> {
        if self.stepping || !self.up || self.batch.is_idle() {
            return None;
        }
        let step = self.batch.step();
        self.pending_events = step.events;
        self.stepping = true;
        Some((step.time.as_secs_f64() * 1e6 * self.slowdown) as u64)
    }

    /// Ends the step in progress and returns its events.
    pub fn end_step(&mut self) -> Vec<BatchEvent> {
        self.stepping = false;
        std::mem::take(&mut self.pending_events)
    }

    /// Drops all streams and the prefix cache, as a crash does, and returns the ids of the streams.
    pub fn crash(&mut self) -> Vec<u64> {
        let ids = self.batch.ids();
        let chunks = self.batch.large_chunks;
        self.batch.reset();
        self.batch.large_chunks = chunks;
        self.pending_events.clear();
        self.stepping = false;
        self.epoch += 1;
        ids
    }

    /// Returns the current load.
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

    /// Samples the load, unless the last sample is less than 100 ms old.
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

    /// Returns the newest sample that is at least `lag` old, and drops all older ones; `None` if
    /// every sample is newer.
    pub fn delayed_load(&mut self, now: u64, lag: u64) -> Option<Load> {
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
