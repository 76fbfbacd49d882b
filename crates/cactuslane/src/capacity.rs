//! Measurements of what grows with the fleet.

use std::fmt::Write;

use argh::FromArgs;
use cactuslane_bench::capacity::{Series, measure};

/// measures what grows with the fleet, at several sizes, and prints points and slopes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityCommand {}

/// Measures and prints.
pub fn execute() {
    for series in measure() {
        print(&series);
    }
}

/// Prints one series on a line.
fn print(series: &Series) {
    let mut points = String::new();
    for point in &series.points {
        // Writing to a string does not fail.
        let _ = write!(points, " {}: {:.3},", point.size, point.value);
    }
    println!(
        "{} | over {} |{} slope {:.6}",
        series.name,
        series.over,
        points,
        series.slope()
    );
}
