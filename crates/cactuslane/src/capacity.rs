//! The `capacity` command: measurements of costs that grow with the size of the fleet.

use std::fmt::Write;

use argh::FromArgs;
use cactuslane_bench::capacity::{Part, Series};

use crate::CommandError;

/// measures costs that grow with the size of the fleet, at several sizes, and prints the values and
/// the slope of a least-squares line through them
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityCommand {
    /// measure only this part: members, decisions, proxy, spreading or streams
    #[argh(option)]
    part: Option<String>,
}

/// Runs the measurements and prints one line per series.
pub fn execute(command: &CapacityCommand) -> Result<(), CommandError> {
    let is_selected = |part: &Part| command.part.as_ref().is_none_or(|name| name == part.name());
    let parts: Vec<Part> = Part::ALL.into_iter().filter(is_selected).collect();
    if parts.is_empty() {
        let names = Part::ALL.map(Part::name).join(", ");
        return Err(CommandError::Usage(format!(
            "unknown part; expected one of {names}"
        )));
    }
    for part in parts {
        for series in part.measure() {
            print_series(&series);
        }
    }
    Ok(())
}

/// Prints a series on one line: its values by size and the slope per unit of size.
fn print_series(series: &Series) {
    let mut points = String::new();
    for point in &series.points {
        // Writing to a `String` can't fail.
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
