//! Measurements of what grows with the fleet, each at several sizes.

pub mod decisions;
pub mod members;
pub mod process;

use std::time::Duration;

/// Is one measured number at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// Is the size: members, targets, callers or keys.
    pub size: usize,
    /// Is the number.
    pub value: f64,
}

/// Is a number measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Says what was measured, with its unit.
    pub name: &'static str,
    /// Says what the sizes count.
    pub over: &'static str,
    /// Holds the points in the order of their sizes.
    pub points: Vec<Point>,
}

impl Series {
    /// Returns the slope of a straight line through the points, by least squares.
    #[must_use]
    pub fn slope(&self) -> f64 {
        let count = self.points.len() as f64;
        let mean_size = self
            .points
            .iter()
            .map(|point| point.size as f64)
            .sum::<f64>()
            / count;
        let mean = self.points.iter().map(|point| point.value).sum::<f64>() / count;
        let (mut cross, mut square) = (0.0, 0.0);
        for point in &self.points {
            let size = point.size as f64 - mean_size;
            cross += size * (point.value - mean);
            square += size * size;
        }
        if square > 0.0 { cross / square } else { 0.0 }
    }

    /// Returns the value that the line gives at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        let count = self.points.len() as f64;
        let mean_size = self
            .points
            .iter()
            .map(|point| point.size as f64)
            .sum::<f64>()
            / count;
        let mean = self.points.iter().map(|point| point.value).sum::<f64>() / count;
        mean + self.slope() * (size - mean_size)
    }
}

/// Runs all measurements.
#[must_use]
pub fn measure() -> Vec<Series> {
    let mut series = members::measure();
    series.extend(decisions::measure());
    series.extend(process::measure());
    series
}

/// Returns a duration in microseconds.
fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
