//! Benchmarks of the decisions.

use argh::FromArgs;
use cactuslane_bench::scenario::FleetSpec;
use cactuslane_bench::{Policy, Row, Scenario, run_matrix};

use crate::CommandError;

/// runs the routing and role decisions against modelled engines in virtual time, and compares
/// them with simpler policies and with one that knows the trace
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// the deployment: cluj or split (default: cluj)
    #[argh(option, default = "String::from(\"cluj\")")]
    deployment: String,
    /// scenarios, separated by commas (default: all)
    #[argh(option, default = "String::new()")]
    scenarios: String,
    /// policies, separated by commas (default: all)
    #[argh(option, default = "String::new()")]
    policies: String,
    /// number of seeds (default: 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// factor of a mixed step's time in the engine model, in place of the scenario's
    #[argh(option)]
    mixing: Option<f64>,
    /// number of entry instances, in place of the deployment's
    #[argh(option)]
    entries: Option<usize>,
    /// lag of load reports in milliseconds, in place of the scenario's
    #[argh(option)]
    lag: Option<u64>,
    /// time between two tellings of work in progress in milliseconds, 0 for none
    #[argh(option)]
    tell: Option<u64>,
    /// least time between two tellings after a dispatch in milliseconds
    #[argh(option)]
    tell_least: Option<u64>,
    /// number of engines that may change their role at once
    #[argh(option)]
    at_once: Option<usize>,
    /// load as a share of the mixed fleet's capacity, in place of the scenario's
    #[argh(option)]
    load: Option<f64>,
}

/// Runs the benchmark and prints a table.
pub fn execute(command: &BenchCommand) -> Result<(), CommandError> {
    let fleet = match command.deployment.as_str() {
        "cluj" => FleetSpec::cluj(),
        "split" => FleetSpec::split(),
        name => {
            let message = format!("there is no deployment `{name}`; choose cluj or split");
            return Err(CommandError::Usage(message));
        }
    };
    let mut scenarios = select(&command.scenarios, Scenario::all(fleet), |name| {
        Scenario::named(name, fleet)
    })?;
    for scenario in &mut scenarios {
        command.apply_overrides(scenario);
    }
    let policies = select(&command.policies, Policy::all(fleet.engines), |name| {
        Policy::named(name, fleet.engines)
    })?;
    let seeds: Vec<u64> = (1..=command.seeds.max(1)).collect();
    let rows = run_matrix(&scenarios, &policies, &seeds);
    print_table(&rows);
    Ok(())
}

impl BenchCommand {
    /// Changes a scenario as the options ask.
    fn apply_overrides(&self, scenario: &mut Scenario) {
        scenario.params.mixing = self.mixing.unwrap_or(scenario.params.mixing);
        scenario.fleet.entries = self.entries.unwrap_or(scenario.fleet.entries).max(1);
        scenario.lag_ms = self.lag.unwrap_or(scenario.lag_ms);
        scenario.tell_ms = self.tell.unwrap_or(scenario.tell_ms);
        scenario.tell_least_ms = self.tell_least.unwrap_or(scenario.tell_least_ms);
        scenario.at_once = self.at_once.unwrap_or(scenario.at_once);
        scenario.load = self.load.unwrap_or(scenario.load);
    }
}

/// Finds what a list of names asks for.
fn select<T>(
    names: &str,
    all: Vec<T>,
    find: impl Fn(&str) -> Option<T>,
) -> Result<Vec<T>, CommandError> {
    if names.is_empty() {
        return Ok(all);
    }
    let mut found = Vec::new();
    for name in names.split(',') {
        let message = format!("there is no `{name}`; run without the option to see all names");
        found.push(find(name).ok_or(CommandError::Usage(message))?);
    }
    Ok(found)
}

/// Prints a table, a row for each scenario and policy.
fn print_table(rows: &[Row]) {
    println!(
        "{:<13} {:<18} {:>8} {:>6} {:>7} {:>8} {:>8} {:>7} {:>7} {:>6} {:>8}",
        "scenario",
        "policy",
        "goodput",
        "share",
        "spread",
        "changes",
        "refused",
        "away%",
        "first95",
        "worst",
        "wasted%"
    );
    for row in rows {
        let clairvoyant = rows
            .iter()
            .find(|other| other.scenario == row.scenario && other.policy == Policy::Clairvoyant);
        let goodput = row.mean(cactuslane_bench::Outcome::goodput);
        let share = clairvoyant.map_or(f64::NAN, |clairvoyant| {
            goodput / clairvoyant.mean(cactuslane_bench::Outcome::goodput)
        });
        let offered = row.mean(|o| o.offered as f64);
        println!(
            "{:<13} {:<18} {:>8.2} {:>6.3} {:>6.1}% {:>8.1} {:>8.0} {:>6.1}% {:>7.0} {:>6.2} {:>7.1}%",
            row.scenario,
            row.policy.name(),
            goodput,
            share,
            row.spread(cactuslane_bench::Outcome::goodput) * 100.0,
            row.mean(|o| o.changes as f64),
            row.mean(|o| o.refused as f64),
            row.mean(|o| o.turned_away as f64) / offered * 100.0,
            row.mean(|o| o.first_95() as f64),
            row.worst_share(),
            row.mean(|o| o.wasted as f64 / (o.offered as f64 * 300.0)) * 100.0,
        );
    }
}
