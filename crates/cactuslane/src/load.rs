//! The `load` and `compare` commands: an open-loop load generator and comparisons of its figures.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use argh::FromArgs;
use cactuslane_soak::figures::Figures;
use cactuslane_soak::load::aims::SharedAims;
use cactuslane_soak::{LoadSpec, RequestKind, compare, load};
use tokio::time::Instant;

use crate::CommandError;
use crate::check::read_file;

/// sends requests to instances in an open loop, at times that don't depend on earlier answers, and
/// prints the counts of answers and their latencies by path
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// addresses for callers of the instances, each as IP:PORT
    #[argh(positional)]
    addresses: Vec<SocketAddr>,
    /// mean rate in requests per second outside bursts (default: 20)
    #[argh(option, default = "20.0")]
    rate: f64,
    /// duration in seconds (default: 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// seed of the arrival times, kinds and addresses of requests (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// kinds of requests, as PATH:WEIGHT or PATH:WEIGHT:stream, separated by commas
    #[argh(option, default = "String::from(\"/summary/1:3:stream,/lookup/1:1\")")]
    kinds: String,
    /// a burst as START:SECONDS:FACTOR, with its start in seconds since the start of the load and
    /// the factor on the rate; may be repeated
    #[argh(option)]
    burst: Vec<String>,
    /// file to write the figures to, for `compare`
    #[argh(option)]
    output: Option<PathBuf>,
}

/// compares the figures of two runs of `load`
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct CompareCommand {
    /// file with the figures of the first run
    #[argh(positional)]
    before: String,
    /// file with the figures of the second run
    #[argh(positional)]
    after: String,
    /// file to write an HTML page with a plot to
    #[argh(option)]
    page: Option<PathBuf>,
}

/// Runs the load, prints its figures by path and writes them to the output file, if any.
pub async fn execute(command: &LoadCommand) -> Result<(), CommandError> {
    if command.addresses.is_empty() || command.rate <= 0.0 {
        let hint = "give at least one address and a rate above 0";
        return Err(CommandError::Usage(hint.to_owned()));
    }
    let spec = LoadSpec {
        length: Duration::from_secs(command.seconds),
        rate: command.rate,
        bursts: command
            .burst
            .iter()
            .map(|text| parse_burst(text))
            .collect::<Result<_, _>>()?,
        kinds: command
            .kinds
            .split(',')
            .map(parse_kind)
            .collect::<Result<_, _>>()?,
        seed: command.seed,
        keys: Vec::new(),
        unusual: 0.0,
    };
    let addresses = Arc::new(Mutex::new(command.addresses.clone()));
    let start = Instant::now();
    let records = load::send(&spec, &addresses, &SharedAims::default()).await;
    let figures = Figures::from_records(&records, &spec, start);
    for (path, kind) in &figures.kinds {
        println!(
            "{path}: {} sent, {} served, {} refused, {} failed, time to first byte in ms {:?}",
            kind.sent, kind.served, kind.refused, kind.failed, kind.first_ms
        );
    }
    let Some(output) = &command.output else {
        return Ok(());
    };
    let text = serde_json::to_string(&figures);
    let text = text.map_err(|error| CommandError::Failed(error.to_string()))?;
    write_file(output, &text)
}

/// Prints a comparison of two runs and writes the page, if one is asked for.
pub fn execute_compare(command: &CompareCommand) -> Result<(), CommandError> {
    let (before, after) = (
        read_figures(&command.before)?,
        read_figures(&command.after)?,
    );
    let table = compare::table(&before, &after).map_err(CommandError::Failed)?;
    print!("{table}");
    let Some(page) = &command.page else {
        return Ok(());
    };
    let text = compare::page(&table, &before, &after);
    write_file(
        page,
        &text.map_err(|error| CommandError::Failed(error.to_string()))?,
    )
}

/// Reads a file with the figures of a run.
fn read_figures(path: &str) -> Result<Figures, CommandError> {
    let hint = "expected a file written by `cactuslane load --output`";
    let invalid = |error| CommandError::Usage(format!("{path}: {error}; {hint}"));
    serde_json::from_str(&read_file(path)?).map_err(invalid)
}

/// Writes a text file; the error names its path.
fn write_file(path: &PathBuf, text: &str) -> Result<(), CommandError> {
    let failed = |error| CommandError::Failed(format!("{}: {error}", path.display()));
    std::fs::write(path, text).map_err(failed)
}

/// Parses a kind of request, PATH:WEIGHT or PATH:WEIGHT:stream.
fn parse_kind(text: &str) -> Result<RequestKind, CommandError> {
    let hint = "expected PATH:WEIGHT or PATH:WEIGHT:stream, such as /lookup/1:3";
    let invalid = || CommandError::Usage(format!("kind `{text}`: {hint}"));
    let mut parts = text.split(':');
    let path = parts
        .next()
        .filter(|path| path.starts_with('/'))
        .ok_or_else(invalid)?;
    let weight = parts
        .next()
        .and_then(|part| part.parse().ok())
        .ok_or_else(invalid)?;
    let stream = match parts.next() {
        None => false,
        Some("stream") => true,
        Some(_) => return Err(invalid()),
    };
    Ok(RequestKind {
        path: path.to_owned(),
        weight,
        stream,
        once: false,
        ..RequestKind::default()
    })
}

/// Parses a burst, START:SECONDS:FACTOR, into its start, length and factor on the rate.
fn parse_burst(text: &str) -> Result<(Duration, Duration, f64), CommandError> {
    let numbers: Vec<f64> = text
        .split(':')
        .filter_map(|part| part.parse().ok())
        .collect();
    let [start, length, factor] = numbers[..] else {
        let hint = "expected START:SECONDS:FACTOR, such as 4:2:3.5";
        return Err(CommandError::Usage(format!("burst `{text}`: {hint}")));
    };
    let times = (
        Duration::try_from_secs_f64(start),
        Duration::try_from_secs_f64(length),
    );
    let (Ok(start), Ok(length)) = times else {
        let hint = "start and length must be valid times, not negative";
        return Err(CommandError::Usage(format!("burst `{text}`: {hint}")));
    };
    if factor <= 0.0 {
        let hint = "the factor must be above 0";
        return Err(CommandError::Usage(format!("burst `{text}`: {hint}")));
    }
    Ok((start, length, factor))
}
