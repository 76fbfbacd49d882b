//! Statistics of a load: how many requests were served, refused and failed, and their latencies.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::load::{LoadSpec, Outcome, RequestRecord};
use crate::made::Made;

/// Number of events beyond which a stream counts as long.
const LONG_STREAM: u64 = 40;
/// Number of bootstrap resamples from which a confidence interval is estimated.
const RESAMPLE_COUNT: usize = 400;

/// Statistics of one load, which `cactuslane load` stores as JSON for `cactuslane compare`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Statistics of each kind of request, by path.
    pub kinds: BTreeMap<String, KindFigures>,
    /// Number of requests due in each second since the start, and how many of those were served.
    pub seconds: Vec<(u64, u64)>,
}

/// Statistics of the requests of one path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KindFigures {
    /// Number of requests that were due, including those that could not be sent.
    pub sent: u64,
    /// Number of requests answered completely with a status from 200 to 299.
    pub served: u64,
    /// Number of requests answered with status 429 or 503, including truncated answers.
    pub refused: u64,
    /// Number of all other requests: without an answer, or with a truncated answer or a complete
    /// one of any other status.
    pub failed: u64,
    /// Percentiles `p50`, `p95` and `p99` of the time to the first byte in milliseconds, over
    /// complete answers of any status; the time starts when a request is due.
    pub first_ms: BTreeMap<String, f64>,
    /// Times to the first byte of the first `MAX_SAMPLES` complete answers to end, in milliseconds,
    /// for comparisons.
    pub sample: Vec<f64>,
}

/// Maximum number of times to the first byte that are kept for each kind of request.
const MAX_SAMPLES: usize = 2_000;

impl Figures {
    /// Computes the statistics of a load that started at `began`.
    ///
    /// Latency is measured from the time at which a request is due, not from when it was sent, so
    /// that a delayed caller does not hide it (coordinated omission).
    ///
    /// # Panics
    ///
    /// Panics if the kind of a record is not an index into `spec.kinds`. Recording a latency never
    /// panics, because the histogram has no upper bound.
    #[must_use]
    pub fn from_records(records: &[RequestRecord], spec: &LoadSpec, began: Instant) -> Self {
        let mut figures = Self::default();
        let mut histograms: BTreeMap<usize, Histogram<u64>> = BTreeMap::new();
        for record in records {
            let path = &spec.kinds[record.kind].path;
            let kind = figures.kinds.entry(path.clone()).or_default();
            kind.sent += 1;
            let second = (record.due - began).as_secs() as usize;
            if figures.seconds.len() <= second {
                figures.seconds.resize(second + 1, (0, 0));
            }
            figures.seconds[second].0 += 1;
            if record.outcome.is_served() {
                kind.served += 1;
                figures.seconds[second].1 += 1;
            } else if matches!(record.outcome.status(), Some(429 | 503)) {
                kind.refused += 1;
            } else {
                kind.failed += 1;
            }
            let first_byte = record
                .first_byte
                .filter(|_| matches!(record.outcome, Outcome::Whole { .. }));
            if let Some(first_byte) = first_byte {
                let latency = first_byte - record.due;
                let histogram = histograms.entry(record.kind).or_insert_with(new_histogram);
                let recorded = histogram.record(latency.as_micros() as u64);
                recorded.expect("the histogram resizes to hold any value");
                if kind.sample.len() < MAX_SAMPLES {
                    kind.sample.push(latency.as_secs_f64() * 1000.0);
                }
            }
        }
        for (kind, histogram) in histograms {
            let Some(figures) = figures.kinds.get_mut(&spec.kinds[kind].path) else {
                continue;
            };
            for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
                let micros = histogram.value_at_quantile(quantile);
                figures
                    .first_ms
                    .insert(name.to_owned(), micros as f64 / 1000.0);
            }
        }
        figures
    }
}

/// Returns a histogram of microseconds with three significant digits and no upper bound.
fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are supported")
}

/// Returns the ratio of the median of `after` to that of `before`, and the lower and upper bounds
/// of its 95 % confidence interval, which is estimated by bootstrap resampling.
///
/// Returns `None` if either sample is empty.
#[must_use]
pub fn median_ratio(before: &[f64], after: &[f64], seed: u64) -> Option<(f64, f64, f64)> {
    if before.is_empty() || after.is_empty() {
        return None;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut resample = |sample: &[f64]| {
        let values = (0..sample.len()).map(|_| sample[rng.random_range(0..sample.len())]);
        median(values.collect())
    };
    let mut ratios: Vec<f64> = Vec::new();
    for _ in 0..RESAMPLE_COUNT {
        ratios.push(resample(after) / resample(before).max(f64::EPSILON));
    }
    ratios.sort_by(f64::total_cmp);
    let quantile = |share: f64| ratios[((RESAMPLE_COUNT - 1) as f64 * share) as usize];
    let ratio = median(after.to_vec()) / median(before.to_vec()).max(f64::EPSILON);
    Some((ratio, quantile(0.025), quantile(0.975)))
}

/// Returns the upper median of a sample that is not empty.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Formats a duration in seconds with one decimal.
#[must_use]
pub fn format_seconds(time: Duration) -> String {
    format!("{:.1} s", time.as_secs_f64())
}

/// What the processes of a run used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Number of processes of instances.
    pub instances: u64,
    /// Number of processes of targets.
    pub targets: u64,
    /// Largest memory of all instances at a time, in bytes.
    pub memory: u64,
    /// Processor time of all processes of instances.
    pub cpu_time: Duration,
    /// Number of times that instances were stopped as their slice of a processor ended.
    pub slices: u64,
}

impl Usage {
    /// Returns the figures in one line.
    #[must_use]
    pub fn summary(&self) -> String {
        format!(
            "{} processes of instances and {} of targets; the instances used {} MiB at most and {} of \
             processor time, and were stopped {} times at the end of a slice",
            self.instances,
            self.targets,
            self.memory >> 20,
            format_seconds(self.cpu_time),
            self.slices,
        )
    }
}

/// What was done to the targets that run as processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WorkerFigures {
    /// Number of processes that were killed, renamed targets included.
    pub kills: u64,
    /// Number of targets that got another id.
    pub renamed: u64,
    /// Number of times that a process was stopped and resumed.
    pub freezes: u64,
    /// Number of times that a process was slowed down.
    pub slowed: u64,
    /// Number of targets that were stopped for good.
    pub dark: u64,
    /// Number of targets that were draining and left.
    pub left: u64,
    /// Number of targets that started again under their id with another version.
    pub upgraded: u64,
    /// Number of streams that such targets began, or went on with, before their entries stated it.
    pub before_entry: u64,
    /// Number of targets that started again at an address that another one had, or at a free one.
    pub moved: u64,
    /// Number of times that a target deviated from correct behaviour for a time.
    pub moods: u64,
    /// Number of computed prompts.
    pub prompts: u64,
    /// Number of computed prompts that other targets fetched.
    pub fetched: u64,
    /// Number of computed prompts that were gone when other targets fetched them.
    pub gone: u64,
    /// Number of computed prompts that a process kept when it was killed, lapsed ones included.
    pub lost_prompts: u64,
    /// Number of faults that were left out, as the process had not started again.
    pub left_out: u64,
    /// Number of runs of streams whose answer had no length.
    pub streams_without_length: u64,
    /// Number of runs of plain requests whose answer had no length.
    pub plain_without_length: u64,
    /// Number of runs on a connection on which an earlier answer was sent twice.
    pub after_copies: u64,
    /// Number of answers in the middle of which a process was killed.
    pub cut: u64,
    /// Number of those without a length.
    pub cut_without_length: u64,
}

/// Situations of streams that targets made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StreamFigures {
    /// Number of runs that went on with a stream within one answer.
    pub resumed: u64,
    /// Number of runs that made an event of a long stream beyond those of the others.
    pub long: u64,
    /// Number of runs that made events without ids.
    pub unnumbered: u64,
    /// Number of those that ended before their last event.
    pub unnumbered_cut: u64,
    /// Number of streams that targets ended in due form at the deadline, before all was made.
    pub stopped: u64,
}

impl StreamFigures {
    /// Counts the situations among the runs at all targets, by request id.
    #[must_use]
    pub fn of(made: &BTreeMap<String, Vec<Made>>) -> Self {
        let mut figures = Self::default();
        for runs in made.values() {
            let first = runs.iter().map(|run| run.after).min().unwrap_or(0);
            for run in runs {
                let Some((last, event)) = run.events.last_key_value() else {
                    continue;
                };
                let is_unnumbered = !event.starts_with("id:");
                figures.resumed += u64::from(run.after > first);
                figures.long += u64::from(*last > LONG_STREAM);
                figures.unnumbered += u64::from(is_unnumbered);
                figures.unnumbered_cut += u64::from(is_unnumbered && !run.ended);
            }
        }
        figures
    }
}
