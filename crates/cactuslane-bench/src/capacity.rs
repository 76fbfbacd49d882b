//! Measurements of what grows with the fleet, each at several sizes.

pub mod decisions;
pub mod members;
pub mod process;

use std::time::Duration;

/// One measured number at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// The size: members, targets, callers or keys.
    pub size: usize,
    /// The number.
    pub value: f64,
}

/// A number measured at several sizes.
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
        let (mean_size, mean) = self.means();
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
    pub fn value_at(&self, size: f64) -> f64 {
        let (mean_size, mean) = self.means();
        mean + self.slope() * (size - mean_size)
    }

    /// Returns the means of sizes and values.
    fn means(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let sizes: f64 = self.points.iter().map(|point| point.size as f64).sum();
        let values: f64 = self.points.iter().map(|point| point.value).sum();
        (sizes / count, values / count)
    }
}

/// A part of the measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Membership over a modelled network.
    Members,
    /// Decisions and tables of one node.
    Decisions,
    /// What an entry adds to a call.
    Proxy,
    /// Whole instances at several numbers.
    Spreading,
    /// Streams: tokens and memory.
    Streams,
}

impl Part {
    /// Holds all parts.
    pub const ALL: [Self; 5] = [
        Self::Members,
        Self::Decisions,
        Self::Proxy,
        Self::Spreading,
        Self::Streams,
    ];

    /// Returns the part's name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Members => "members",
            Self::Decisions => "decisions",
            Self::Proxy => "proxy",
            Self::Spreading => "spreading",
            Self::Streams => "streams",
        }
    }

    /// Runs the part's measurements.
    #[must_use]
    pub fn measure(self) -> Vec<Series> {
        match self {
            Self::Members => members::measure(),
            Self::Decisions => decisions::measure(),
            Self::Proxy => process::proxy(),
            Self::Spreading => process::instances(),
            Self::Streams => process::streams(),
        }
    }
}

/// Returns a duration in microseconds.
fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
