//! Measurements of costs that grow with the size of a deployment, each at several sizes.

pub mod decisions;
pub mod members;
pub mod process;

use std::time::Duration;

/// Value measured at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// Size, in the unit that [`Series::over`] names, such as members, targets, callers or keys.
    pub size: usize,
    /// Measured value, in the unit that [`Series::name`] states.
    pub value: f64,
}

/// Values of one quantity at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Measured quantity with its unit, as printed by `cactuslane capacity`.
    pub name: &'static str,
    /// Unit of the sizes, as printed by `cactuslane capacity`.
    pub over: &'static str,
    /// Points by increasing size.
    pub points: Vec<Point>,
}

impl Series {
    /// Returns the slope of the least-squares line through the points; 0 if all sizes are equal.
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

    /// Returns the value of the least-squares line at a size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        let (mean_size, mean) = self.means();
        mean + self.slope() * (size - mean_size)
    }

    /// Returns the mean size and the mean value of the points.
    fn means(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let sizes: f64 = self.points.iter().map(|point| point.size as f64).sum();
        let values: f64 = self.points.iter().map(|point| point.value).sum();
        (sizes / count, values / count)
    }
}

/// Group of measurements that `cactuslane capacity --part` selects by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Membership over a simulated network.
    Members,
    /// Routing decisions, documents, work updates and the idempotency table of one instance.
    Decisions,
    /// Overhead of an entry instance on calls to a plain service.
    Proxy,
    /// Whole deployments with different numbers of instances.
    Spreading,
    /// Processor time per streamed token and memory of open streams.
    Streams,
}

impl Part {
    /// All groups, in the order in which they run.
    pub const ALL: [Self; 5] = [
        Self::Members,
        Self::Decisions,
        Self::Proxy,
        Self::Spreading,
        Self::Streams,
    ];

    /// Returns the name on the command line.
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

    /// Runs the measurements of the group.
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

/// Converts a duration to microseconds, with fractions.
fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
