//! What instances tell each other of the speed of targets.

use std::ops::Bound;

use cactuslane_flight::target::Target;
use cactuslane_types::{Millis, TargetId};
use serde::{Deserialize, Serialize};

use super::curve::{Curve, Level};
use super::figure::Figure;
use super::{TargetPace, TargetPaces};

/// Largest number of targets in the reports that are taken at once.
const MAX_REPORTS: usize = 24;
/// Number of unsent answers from which they are reported.
const MIN_ANSWERS: f64 = 3.0;
/// Ratio between the unsent figures of a target and the average, from which they are reported.
const FIGURE_RATIO: f64 = 1.2;
/// Weight of unsent figures up to which they are not reported.
const MIN_FIGURES: f64 = 0.5;
/// Largest weight of the answers of one level, or of the figures, in a report.
const MAX_WEIGHT: f64 = 20.0;
/// Largest logarithm of a time in milliseconds that a report can hold.
const MAX_TIME: f64 = 14.0;
/// Least and largest factor that a report can hold.
const FACTOR_RANGE: (f64, f64) = (0.2, 20.0);

/// What an instance has observed of the speed of a target since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Target that was observed.
    pub target: TargetId,
    /// Start of the target's process in Unix milliseconds, if its registry entry states it: the
    /// report applies to that process only.
    pub started_at: Option<u64>,
    /// Average of the figures that the target told, in percent, and their weight in tenths of one.
    pub figure: (u16, u16),
    /// Number of slots by which the levels are counted; 0 without levels.
    pub slots: u32,
    /// Times of answers by level.
    pub levels: Vec<LevelReport>,
}

/// Answers of a target at one number of running requests, or at a few close ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelReport {
    /// Number of the level, from 0.
    pub level: u8,
    /// Number of answers.
    pub answers: u8,
    /// Average of the natural logarithm of their times in milliseconds, in thousandths.
    pub time: u16,
}

/// Observations of a target that the other instances were not sent yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Unsent {
    /// Figures that it told.
    figure: Level,
    /// Answers by level; empty without any.
    levels: Vec<Level>,
}

impl Unsent {
    /// Adds a figure with its weight.
    pub(super) fn add_figure(&mut self, factor: f64, weight: f64) {
        self.figure.add(weight, factor);
    }

    /// Adds an answer at one of `count` levels by the logarithm of its time.
    pub(super) fn add_answer(&mut self, count: usize, level: usize, time: f64) {
        self.levels.resize(count, Level::default());
        if let Some(level) = self.levels.get_mut(level) {
            level.add(1.0, time);
        }
    }

    /// Forgets the answers, whose levels no longer count the same requests.
    pub(super) fn forget_levels(&mut self) {
        self.levels.clear();
    }

    /// Returns whether the other instances should be told; `average` is that of the figures.
    fn is_due(&self, average: f64) -> bool {
        let answers: f64 = self.levels.iter().map(|level| level.weight).sum();
        let ratio = self.figure.mean / average;
        let differs = ratio >= FIGURE_RATIO || ratio * FIGURE_RATIO <= 1.0;
        answers >= MIN_ANSWERS || (self.figure.weight > MIN_FIGURES && differs)
    }
}

impl TargetPaces {
    /// Removes and returns observations that the other instances were not sent yet, of a bounded
    /// number of targets by turns: answers if there are some, and figures that differ from the
    /// average before.
    pub fn take_reports(&mut self, now: Millis) -> Vec<PaceReport> {
        let mut reports = Vec::new();
        let start = self.reported.take();
        let after = start.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let first = self
            .targets
            .range_mut::<TargetId, _>((after, Bound::Unbounded));
        for (target, pace) in first {
            if reports.len() == MAX_REPORTS {
                self.reported = reports
                    .last()
                    .map(|report: &PaceReport| report.target.clone());
                return reports;
            }
            reports.extend(pace.take_report(target, now));
        }
        reports
    }

    /// Applies what another instance has observed of a target; nothing if it was another process.
    pub fn apply_report(&mut self, target: &Target, report: &PaceReport, now: Millis) {
        if report.started_at != target.started_at {
            return;
        }
        let Some(pace) = self.pace(target) else {
            return;
        };
        let (percent, tenths) = report.figure;
        if percent > 0 && tenths > 0 {
            let (low, high) = FACTOR_RANGE;
            let factor = (f64::from(percent) / 100.0).clamp(low, high);
            let weight = (f64::from(tenths) / 10.0).min(MAX_WEIGHT);
            let figure = pace.figure.get_or_insert_with(|| Figure::new(now));
            figure.add(factor, weight, now);
        }
        if report.levels.is_empty() || report.slots != target.slots {
            return;
        }
        let curve = pace.curve(target.slots, now);
        for level in &report.levels {
            let answers = Level {
                weight: f64::from(level.answers).min(MAX_WEIGHT),
                mean: (f64::from(level.time) / 1_000.0).min(MAX_TIME),
            };
            curve.add(usize::from(level.level), answers, now);
        }
    }
}

impl TargetPace {
    /// Removes and returns what the other instances should be told, if anything.
    fn take_report(&mut self, target: &str, now: Millis) -> Option<PaceReport> {
        let average = self.figure.map_or(1.0, |figure| figure.average(now));
        if !self.unsent.is_due(average) {
            return None;
        }
        let unsent = std::mem::take(&mut self.unsent);
        let levels = unsent.levels.iter().enumerate();
        let levels = levels.filter(|(_, level)| level.weight >= 1.0);
        Some(PaceReport {
            target: target.to_owned(),
            started_at: self.started_at,
            figure: (
                (unsent.figure.mean * 100.0).round() as u16,
                (unsent.figure.weight * 10.0).round() as u16,
            ),
            slots: self.curve.as_ref().map_or(0, Curve::slots),
            levels: levels
                .map(|(index, level)| LevelReport {
                    level: index as u8,
                    answers: level.weight.min(MAX_WEIGHT) as u8,
                    time: (level.mean.clamp(0.0, MAX_TIME) * 1_000.0).round() as u16,
                })
                .collect(),
        })
    }
}
