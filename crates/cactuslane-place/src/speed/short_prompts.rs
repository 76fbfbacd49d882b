//! The time for one prompt token, from the times of short prompts.

use std::collections::VecDeque;

/// Number of the last prompts that are kept.
const SAMPLES: usize = 60;
/// Number of prompts after which the time for one token is estimated anew.
const INTERVAL: usize = 20;
/// Quantile of the times of prompts that the estimated line follows: that of the prompts that hardly
/// wait.
const QUANTILE: f64 = 0.1;
/// Smallest ratio of the longest to the shortest prompt that shows how the time grows with length.
const MIN_SPREAD: f64 = 1.5;

/// The last short prompts that had none queued ahead.
#[derive(Clone, Debug, Default)]
pub(super) struct ShortPrompts {
    /// Number of tokens and time in milliseconds of each, oldest first.
    samples: VecDeque<(u32, f64)>,
    /// Number of prompts added since the last estimate.
    added: usize,
}

impl ShortPrompts {
    /// Adds a prompt, and returns a new estimate of the time for one token in milliseconds if one is
    /// due and the prompts show it.
    pub(super) fn add(&mut self, tokens: u32, elapsed_ms: f64) -> Option<f64> {
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((tokens, elapsed_ms));
        self.added += 1;
        if self.samples.len() < SAMPLES || self.added < INTERVAL {
            return None;
        }
        self.added = 0;
        let lengths = || self.samples.iter().map(|(tokens, _)| f64::from(*tokens));
        let shortest = lengths().fold(f64::INFINITY, f64::min);
        let longest = lengths().fold(0.0, f64::max);
        if longest < shortest * MIN_SPREAD {
            return None;
        }
        self.slope()
    }

    /// Returns the slope of the line through two samples that fits the quantile best, by quantile
    /// regression.
    fn slope(&self) -> Option<f64> {
        let mut best: Option<(f64, f64)> = None;
        for (first, (x, y)) in self.samples.iter().enumerate() {
            for (other_x, other_y) in self.samples.iter().skip(first + 1) {
                if x == other_x {
                    continue;
                }
                let (x, other_x) = (f64::from(*x), f64::from(*other_x));
                let slope = (other_y - y) / (other_x - x);
                let loss = self.loss(slope, y - slope * x);
                if slope > 0.0 && best.is_none_or(|(least, _)| loss < least) {
                    best = Some((loss, slope));
                }
            }
        }
        best.map(|(_, slope)| slope)
    }

    /// Returns the quantile loss of a line.
    fn loss(&self, slope: f64, intercept: f64) -> f64 {
        let mut loss = 0.0;
        for (x, y) in &self.samples {
            let above = y - slope * f64::from(*x) - intercept;
            loss += above
                * if above > 0.0 {
                    QUANTILE
                } else {
                    QUANTILE - 1.0
                };
        }
        loss
    }
}
