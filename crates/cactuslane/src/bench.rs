//! The `bench` command: simulated comparison of routing and role decisions.

use argh::FromArgs;
use cactuslane_bench::scenario::FleetSpec;
use cactuslane_bench::{Policy, Row, Scenario, run_matrix};

use crate::CommandError;

/// simulates the routing and role decisions on modelled engines in virtual time and compares them
/// with simpler policies and with one that knows the whole trace in advance
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// name of the deployment: cluj or split (default: cluj)
    #[argh(option, default = "String::from(\"cluj\")")]
    deployment: String,
    /// names of scenarios, separated by commas (default: all)
    #[argh(option, default = "String::new()")]
    scenarios: String,
    /// names of policies, separated by commas (default: all)
    #[argh(option, default = "String::new()")]
    policies: String,
    /// number of seeds per scenario and policy; the first seed is 1 (default: 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// factor by which a step that mixes prefill and decode is slower (default: the scenario's)
    #[argh(option)]
    mixing: Option<f64>,
    /// number of entry instances (default: the deployment's)
    #[argh(option)]
    entries: Option<usize>,
    /// least age in milliseconds of a load report when an instance gets it (default: the
    /// scenario's)
    #[argh(option)]
    lag: Option<u64>,
    /// interval in milliseconds at which an instance tells the others about its work in progress, 0
    /// for never (default: the scenario's)
    #[argh(option)]
    tell: Option<u64>,
    /// least time in milliseconds between two such updates of an instance, when a dispatch causes
    /// the second one before the interval of --tell has passed (default: the scenario's)
    #[argh(option)]
    tell_least: Option<u64>,
    /// number of engines that may change their role at once (default: the scenario's)
    #[argh(option)]
    at_once: Option<usize>,
    /// load as a share of the estimated capacity of the fleet with all engines mixed (default: the
    /// scenario's)
    #[argh(option)]
    load: Option<f64>,
}

/// Runs every scenario under every policy with every seed and prints a table.
pub fn execute(command: &BenchCommand) -> Result<(), CommandError> {
    let fleet = match command.deployment.as_str() {
        "cluj" => FleetSpec::cluj(),
        "split" => FleetSpec::split(),
        name => {
            let message = format!("unknown deployment `{name}`; expected cluj or split");
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
    /// Overrides the values of a scenario for which an option was given.
    fn apply_overrides(&self, scenario: &mut Scenario) {
        scenario.params.mixing = self.mixing.unwrap_or(scenario.params.mixing);
        scenario.fleet.entries = self.entries.unwrap_or(scenario.fleet.entries).max(1);
        scenario.lag_ms = self.lag.unwrap_or(scenario.lag_ms);
        scenario.update_ms = self.tell.unwrap_or(scenario.update_ms);
        scenario.min_update_ms = self.tell_least.unwrap_or(scenario.min_update_ms);
        scenario.max_changes = self.at_once.unwrap_or(scenario.max_changes);
        scenario.load = self.load.unwrap_or(scenario.load);
    }
}

/// Returns the items of a comma-separated list of names, or all items if the list is empty.
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
        let message = format!("unknown name `{name}`; run without the option to see all names");
        found.push(find(name).ok_or(CommandError::Usage(message))?);
    }
    Ok(found)
}

/// Prints a table with one row per scenario and policy, with means over the seeds.
///
/// `goodput` is good answers per second, that is, complete ones within the bounds on latency;
/// `share` is its ratio to that of the clairvoyant policy in the same scenario, and `spread` the
/// largest difference of goodput between seeds, as a share of the mean. `changes` counts planned
/// role changes, and `refused` refusals, where a request that is refused several times counts each
/// time. `away%` is the share of the offered requests that were refused and not retried. `first95`
/// is the 95th percentile of the time to the first token of admitted requests since their last
/// arrival, in milliseconds, and `worst` the lowest share of good answers of any caller, without
/// the overloading caller of the scenario `wild-caller`. `wasted%` is the number of tokens of
/// answers that were not good, as a share of 300 tokens per offered request.
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
            row.relative_range(cactuslane_bench::Outcome::goodput) * 100.0,
            row.mean(|o| o.role_changes as f64),
            row.mean(|o| o.refused as f64),
            row.mean(|o| o.rejected as f64) / offered * 100.0,
            row.mean(|o| o.ttft_p95() as f64),
            row.worst_share(),
            row.mean(|o| o.wasted_tokens as f64 / (o.offered as f64 * 300.0)) * 100.0,
        );
    }
}
