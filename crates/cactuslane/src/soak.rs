//! Random faults against real processes.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use cactuslane_soak::{Options, run};

use crate::CommandError;

/// plays random faults against instances that run as processes of their own beside stand-ins of the
/// platform, and checks what callers and targets see; the same seed plays the same faults
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct SoakCommand {
    /// seed of the first run (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of runs, each with the next seed (default: 1)
    #[argh(option, default = "1")]
    runs: u64,
    /// length of a run in seconds (default: 40)
    #[argh(option, default = "40")]
    seconds: u64,
    /// number of instances (default: 4)
    #[argh(option, default = "4")]
    instances: usize,
    /// requests a second (default: 40)
    #[argh(option, default = "40.0")]
    rate: f64,
    /// checks no promise that has a time bound, for machines that are short of processor time
    #[argh(switch)]
    untimed: bool,
    /// folder for reports, settings and logs (default: target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    output: PathBuf,
}

/// Plays the runs; fails where a promise was broken.
pub async fn execute(command: &SoakCommand) -> Result<(), CommandError> {
    if command.instances == 0 || command.seconds < 4 || command.rate <= 0.0 {
        let cure = "give at least one instance, four seconds and some requests a second";
        return Err(CommandError::Usage(cure.to_owned()));
    }
    let failed = |error: std::io::Error| CommandError::Failed(error.to_string());
    let binary = std::env::current_exe().map_err(failed)?;
    let mut broken = Vec::new();
    for seed in command.seed..command.seed + command.runs {
        let options = Options {
            binary: binary.clone(),
            folder: command.output.join(seed.to_string()),
            seed,
            length: Duration::from_secs(command.seconds),
            instances: command.instances,
            rate: command.rate,
            timed: !command.untimed,
        };
        let report = run(&options).await.map_err(failed)?;
        report.write(&options.folder).map_err(failed)?;
        println!("{}", report.summary());
        for one in &report.violations {
            println!("  {}: {}: {}", one.guarantee, one.subject, one.observed);
        }
        if !report.violations.is_empty() {
            broken.push(seed.to_string());
        }
    }
    if broken.is_empty() {
        return Ok(());
    }
    let (seeds, output) = (broken.join(", "), command.output.display());
    Err(CommandError::Failed(format!(
        "promises were broken by seeds {seeds}; logs and reports are in {output}"
    )))
}
