//! Runs of several scenarios, policies and seeds, in parallel.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::policy::Policy;
use crate::scenario::{Scenario, Shape};
use crate::{Outcome, sim, trace};

/// Number of runs at once.
const THREADS: usize = 6;

/// The result of a scenario under a policy, over several seeds.
#[derive(Clone, Debug)]
pub struct Row {
    /// The scenario's name.
    pub scenario: &'static str,
    /// The policy.
    pub policy: Policy,
    /// Holds the outcome of each seed.
    pub outcomes: Vec<Outcome>,
    /// Says whether one caller went wild.
    pub wild_caller: bool,
}

/// Runs every scenario under every policy with every seed.
#[must_use]
pub fn run_matrix(scenarios: &[Scenario], policies: &[Policy], seeds: &[u64]) -> Vec<Row> {
    let mut jobs = Vec::new();
    for scenario in scenarios {
        for policy in policies {
            for seed in seeds {
                jobs.push((scenario, *policy, *seed));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, Outcome)>> = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let job = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, policy, seed)) = jobs.get(job) else {
                        return;
                    };
                    let trace = trace::generate(scenario, *seed);
                    let outcome = sim::run(scenario, *policy, &trace, *seed);
                    if let Ok(mut results) = results.lock() {
                        results.push((job, outcome));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(job, _)| *job);
    let mut rows: Vec<Row> = Vec::new();
    for ((_, outcome), (scenario, policy, _)) in results.into_iter().zip(jobs) {
        match rows.last_mut() {
            Some(row) if row.scenario == scenario.name && row.policy == policy => {
                row.outcomes.push(outcome);
            }
            _ => rows.push(Row {
                scenario: scenario.name,
                policy,
                outcomes: vec![outcome],
                wild_caller: scenario.shape == Shape::WildCaller,
            }),
        }
    }
    rows
}

impl Row {
    /// Returns the mean over seeds of a number.
    #[must_use]
    pub fn mean(&self, number: impl Fn(&Outcome) -> f64) -> f64 {
        let sum: f64 = self.outcomes.iter().map(number).sum();
        sum / self.outcomes.len().max(1) as f64
    }

    /// Returns the largest difference between seeds of a number, as a share of its mean.
    #[must_use]
    pub fn relative_range(&self, number: impl Fn(&Outcome) -> f64) -> f64 {
        let values: Vec<f64> = self.outcomes.iter().map(&number).collect();
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        (high - low) / self.mean(number).max(1e-9)
    }

    /// Returns the lowest share of good answers over callers; a wild caller does not count.
    #[must_use]
    pub fn worst_share(&self) -> f64 {
        let except = self.wild_caller.then_some(0);
        self.mean(|outcome| outcome.worst_share(except))
    }
}
