//! Measurements of what grows with the fleet.

use std::fmt::Write;

use argh::FromArgs;
use cactuslane_bench::capacity::{Part, Series};

use crate::CommandError;

/// measures what grows with the fleet, at several sizes, and prints points and slopes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityCommand {
    /// one part alone: members, decisions, proxy, spreading or streams
    #[argh(option)]
    part: Option<String>,
}

/// Measures and prints.
pub fn execute(command: &CapacityCommand) -> Result<(), CommandError> {
    let is_selected = |part: &Part| command.part.as_ref().is_none_or(|name| name == part.name());
    let parts: Vec<Part> = Part::ALL.into_iter().filter(is_selected).collect();
    if parts.is_empty() {
        let names = Part::ALL.map(Part::name).join(", ");
        return Err(CommandError::Usage(format!(
            "there is no such part; choose one of {names}"
        )));
    }
    for part in parts {
        for series in part.measure() {
            print_series(&series);
        }
    }
    Ok(())
}

/// Prints one series on a line.
fn print_series(series: &Series) {
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
