//! The `soak` command: random faults injected into instances that run as processes.

use std::path::{Path, PathBuf};
use std::time::Duration;

use argh::FromArgs;
use cactuslane_platform::Shape;
use cactuslane_soak::findings::Summary;
use cactuslane_soak::{Options, layout, run};
use tokio::signal::unix::{SignalKind, signal};

use crate::CommandError;

/// Number of instances without a site file.
const DEFAULT_INSTANCES: usize = 4;
/// Share of the requests in an unusual form with a site file.
const UNUSUAL: f64 = 0.5;
/// Mean rate in requests per second without a site file.
const DEFAULT_RATE: f64 = 40.0;

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
    /// number of instances, at least 1 (default: those of the site file, or 4)
    #[argh(option)]
    instances: Option<usize>,
    /// mean rate in requests per second outside the burst of each run (default: that of the site file,
    /// or 40)
    #[argh(option)]
    rate: Option<f64>,
    /// site file of the platform: plays its instances, failure domains, targets, routes and load
    #[argh(option)]
    site: Option<PathBuf>,
    /// share of a processor that each instance gets, above 0 and at most 1 (default: that of the site
    /// file, or no limit)
    #[argh(option)]
    cpu_share: Option<f64>,
    /// longest time in seconds by which the entry of a target follows its start under the same id with
    /// another version (default: 0.8 in the releases of a site's targets; otherwise no target starts so)
    #[argh(option)]
    entry_delay: Option<f64>,
    /// skip guarantees with a time bound, for machines that are short of processor time
    #[argh(switch)]
    untimed: bool,
    /// directory for reports, settings and logs, with a subdirectory per seed (default:
    /// target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    output: PathBuf,
}

/// Performs the runs until a signal ends them, and with them the processes that they started.
pub async fn execute(command: &SoakCommand) -> Result<(), CommandError> {
    let failed = |error: std::io::Error| CommandError::Failed(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(failed)?;
    let name = tokio::select! {
        result = perform(command) => return result,
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
        _ = hang_up.recv() => "SIGHUP",
    };
    Err(CommandError::Failed(format!(
        "{name} ended the run, which has no report; the processes that it started are killed"
    )))
}

/// Runs one soak per seed and prints each summary and violation; fails if a guarantee was violated.
async fn perform(command: &SoakCommand) -> Result<(), CommandError> {
    let shape = match &command.site {
        Some(path) => Some(read_site(path)?),
        None => None,
    };
    let of_site = shape.as_ref();
    let instances = of_site.map_or(DEFAULT_INSTANCES, |shape| shape.domains().len());
    let instances = command.instances.unwrap_or(instances);
    let rate = command.rate.or_else(|| of_site.map(Shape::rate));
    let rate = rate.unwrap_or(DEFAULT_RATE);
    let cpu_share = command.cpu_share.or_else(|| of_site.map(Shape::cpu_share));
    let is_share = |share: f64| share > 0.0 && share <= 1.0;
    if instances == 0 || command.seconds < 4 || rate <= 0.0 || !cpu_share.is_none_or(is_share) {
        let hint = "give at least one instance, at least four seconds, a rate above 0, and a share of \
                    a processor above 0 and of at most 1";
        return Err(CommandError::Usage(hint.to_owned()));
    }
    let cpu_share = cpu_share.filter(|share| *share < 1.0);
    let entry_delay = match command.entry_delay.map(Duration::try_from_secs_f64) {
        Some(Err(_)) => {
            let hint = "give an entry delay of 0 s or more";
            return Err(CommandError::Usage(hint.to_owned()));
        }
        Some(Ok(delay)) => Some(delay),
        None => None,
    };
    let failed = |error: std::io::Error| CommandError::Failed(error.to_string());
    let binary = std::env::current_exe().map_err(failed)?;
    let command_line = std::env::args().collect::<Vec<String>>().join(" ");
    let mut summary = Summary::default();
    let mut failed_seeds = Vec::new();
    for seed in command.seed..command.seed + command.runs {
        let options = Options {
            binary: binary.clone(),
            folder: command.output.join(seed.to_string()),
            seed,
            length: Duration::from_secs(command.seconds),
            instances,
            rate,
            timed: !command.untimed,
            links: true,
            entry_delay,
            target_processes: true,
            shape: shape.clone(),
            unusual: if shape.is_some() { UNUSUAL } else { 0.0 },
            command: command_line.clone(),
            cpu_share,
        };
        let report = run(&options).await.map_err(failed)?;
        report.write(&options.folder).map_err(failed)?;
        println!("{}", report.summary());
        println!("  {}", report.usage.summary());
        println!("  {}", report.situations());
        for stall in &report.stalls {
            println!("  the run itself stood still: {stall}");
        }
        for violation in &report.violations {
            println!(
                "  {}: {}: {}",
                violation.guarantee, violation.subject, violation.observed
            );
        }
        summary.add(&report.findings);
        if !report.violations.is_empty() {
            failed_seeds.push(seed.to_string());
        }
    }
    if failed_seeds.is_empty() {
        return Ok(());
    }
    for line in summary.lines() {
        println!("{line}");
    }
    let (seeds, output) = (failed_seeds.join(", "), command.output.display());
    Err(CommandError::Failed(format!(
        "guarantees were violated with seeds {seeds}; logs, reports and findings are in {output}"
    )))
}

/// Reads a site file, and prints what of it the runs do not play.
fn read_site(path: &Path) -> Result<Shape, CommandError> {
    let shape = Shape::open(path).map_err(|error| CommandError::Usage(error.to_string()))?;
    let unknown: Vec<&str> = shape.unknown.iter().map(String::as_str).collect();
    if !unknown.is_empty() {
        println!(
            "not understood in {}: {}",
            path.display(),
            unknown.join(", ")
        );
    }
    let others = layout::not_played(&shape);
    if !others.is_empty() {
        println!("disruptions that no run plays: {}", others.join(", "));
    }
    Ok(shape)
}
