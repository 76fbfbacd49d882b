//! Figures of a load: what callers got, and how long they waited.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::load::{LoadSpec, Outcome, RequestRecord};

/// Number of samples from which an interval is estimated.
const RESAMPLE_COUNT: usize = 400;

/// The figures of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The figures of each kind, by path.
    pub kinds: BTreeMap<String, KindFigures>,
    /// The requests that were due in each second, and those of them that were served.
    pub seconds: Vec<(u64, u64)>,
}

/// The figures of one kind of request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KindFigures {
    /// The requests.
    pub sent: u64,
    /// Those that were served.
    pub served: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those that failed or were cut.
    pub failed: u64,
    /// Quantiles of the time from when a request was due to the first byte, in milliseconds.
    pub first_ms: BTreeMap<String, f64>,
    /// The first bytes of up to some requests, in milliseconds, for comparisons.
    pub sample: Vec<f64>,
}

/// Requests of a kind whose times are kept for comparisons.
const MAX_SAMPLES: usize = 2_000;

impl Figures {
    /// Counts what callers saw.
    ///
    /// Times count from when a request was due, so that a caller that is held up hides nothing.
    ///
    /// # Panics
    ///
    /// Never: a histogram without bounds takes any time.
    #[must_use]
    pub fn of(records: &[RequestRecord], spec: &LoadSpec, began: Instant) -> Self {
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
                recorded.expect("the histogram grows with its values");
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

/// Returns a histogram of microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// Returns the ratio of the medians of two samples with its interval of 95 in 100, by resampling.
///
/// Nothing where either sample is empty.
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

/// Returns the median of some numbers.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Returns a length of time in words.
#[must_use]
pub fn format_seconds(time: Duration) -> String {
    format!("{:.1} s", time.as_secs_f64())
}
