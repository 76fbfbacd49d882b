//! The `soak` command: random faults injected into instances that run as processes.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use cactuslane_soak::{Options, run};

use crate::CommandError;

/// runs instances as separate processes with simulated platform and targets, injects random faults,
/// and checks guarantees against what callers and targets see; the seed determines the faults
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct SoakCommand {
    /// seed of the first run; each later run takes the next seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of runs (default: 1)
    #[argh(option, default = "1")]
    runs: u64,
    /// time in seconds during which a run sends requests, at least 4 (default: 40)
    #[argh(option, default = "40")]
    seconds: u64,
    /// number of instances, at least 1 (default: 4)
    #[argh(option, default = "4")]
    instances: usize,
    /// mean rate in requests per second outside the burst of each run (default: 40)
    #[argh(option, default = "40.0")]
    rate: f64,
    /// skip guarantees with a time bound, for machines that are short of processor time
    #[argh(switch)]
    untimed: bool,
    /// directory for reports, settings and logs, with a subdirectory per seed (default:
    /// target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    output: PathBuf,
}

/// Runs one soak per seed and prints each summary and violation; fails if a guarantee was violated.
pub async fn execute(command: &SoakCommand) -> Result<(), CommandError> {
    if command.instances == 0 || command.seconds < 4 || command.rate <= 0.0 {
        let hint = "give at least one instance, at least four seconds and a rate above 0";
        return Err(CommandError::Usage(hint.to_owned()));
    }
    let failed = |error: std::io::Error| CommandError::Failed(error.to_string());
    let binary = std::env::current_exe().map_err(failed)?;
    let mut failed_seeds = Vec::new();
    for seed in command.seed..command.seed + command.runs {
        let options = Options {
            binary: binary.clone(),
            folder: command.output.join(seed.to_string()),
            seed,
            length: Duration::from_secs(command.seconds),
            instances: command.instances,
            rate: command.rate,
            timed: !command.untimed,
            links: true,
            target_processes: true,
        };
        let report = run(&options).await.map_err(failed)?;
        report.write(&options.folder).map_err(failed)?;
        println!("{}", report.summary());
        for stall in &report.stalls {
            println!("  the run itself stood still: {stall}");
        }
        for violation in &report.violations {
            println!(
                "  {}: {}: {}",
                violation.guarantee, violation.subject, violation.observed
            );
        }
        if !report.violations.is_empty() {
            failed_seeds.push(seed.to_string());
        }
    }
    if failed_seeds.is_empty() {
        return Ok(());
    }
    let (seeds, output) = (failed_seeds.join(", "), command.output.display());
    Err(CommandError::Failed(format!(
        "guarantees were violated with seeds {seeds}; logs and reports are in {output}"
    )))
}
