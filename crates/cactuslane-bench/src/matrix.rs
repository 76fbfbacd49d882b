//! Parallel simulation of all combinations of scenarios, policies and seeds.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::policy::Policy;
use crate::scenario::{Scenario, Shape};
use crate::{Outcome, sim, trace};

/// Number of threads, each of which simulates one combination at a time.
const THREADS: usize = 6;

/// Results of a scenario under a policy with several seeds.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Policy under which the scenario ran.
    pub policy: Policy,
    /// Outcomes in the order of the seeds.
    pub outcomes: Vec<Outcome>,
    /// Whether caller 0 exceeds its usual load in the scenario; it then does not count in
    /// [`Row::worst_share`].
    pub wild_caller: bool,
}

/// Runs every scenario under every policy with every seed; returns a row for each scenario and
/// policy, in their order.
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
    /// Returns the mean of a quantity over the seeds.
    #[must_use]
    pub fn mean(&self, number: impl Fn(&Outcome) -> f64) -> f64 {
        let sum: f64 = self.outcomes.iter().map(number).sum();
        sum / self.outcomes.len().max(1) as f64
    }

    /// Returns the range of a quantity over the seeds (maximum minus minimum), divided by its mean.
    #[must_use]
    pub fn relative_range(&self, number: impl Fn(&Outcome) -> f64) -> f64 {
        let values: Vec<f64> = self.outcomes.iter().map(&number).collect();
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        (high - low) / self.mean(number).max(1e-9)
    }

    /// Returns the lowest share of good answers of any caller, as the mean over the seeds; a caller
    /// that exceeds its usual load does not count.
    #[must_use]
    pub fn worst_share(&self) -> f64 {
        let except = self.wild_caller.then_some(0);
        self.mean(|outcome| outcome.worst_share(except))
    }
}
