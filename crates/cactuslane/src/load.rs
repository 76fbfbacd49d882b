//! The load of callers, and the comparison of two loads.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use argh::FromArgs;
use cactuslane_soak::figures::Figures;
use cactuslane_soak::{LoadSpec, RequestKind, compare, load};
use tokio::time::Instant;

use crate::CommandError;
use crate::check::read;

/// sends requests to instances at set times, whatever becomes of earlier ones, and says what came
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// the addresses for callers
    #[argh(positional)]
    addresses: Vec<SocketAddr>,
    /// requests a second (default: 20)
    #[argh(option, default = "20.0")]
    rate: f64,
    /// length in seconds (default: 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// seed of the arrivals (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// kinds of requests as PATH:WEIGHT or PATH:WEIGHT:stream, separated by commas
    #[argh(option, default = "String::from(\"/summary/1:3:stream,/lookup/1:1\")")]
    kinds: String,
    /// a burst as START:SECONDS:FACTOR
    #[argh(option)]
    burst: Vec<String>,
    /// file for the figures, for `compare`
    #[argh(option)]
    output: Option<PathBuf>,
}

/// compares the figures of two loads
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct CompareCommand {
    /// the figures before
    #[argh(positional)]
    before: String,
    /// the figures after
    #[argh(positional)]
    after: String,
    /// file for a page with a plot
    #[argh(option)]
    page: Option<PathBuf>,
}

/// Sends a load and prints its figures.
pub async fn execute(command: &LoadCommand) -> Result<(), CommandError> {
    if command.addresses.is_empty() || command.rate <= 0.0 {
        let cure = "name one or several addresses and a rate above 0";
        return Err(CommandError::Usage(cure.to_owned()));
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
    };
    let addresses = Arc::new(Mutex::new(command.addresses.clone()));
    let began = Instant::now();
    let seen = load::send(&spec, &addresses).await;
    let figures = Figures::from_records(&seen, &spec, began);
    for (path, kind) in &figures.kinds {
        println!(
            "{path}: {} sent, {} served, {} refused, {} failed, first byte in ms {:?}",
            kind.sent, kind.served, kind.refused, kind.failed, kind.first_ms
        );
    }
    let Some(output) = &command.output else {
        return Ok(());
    };
    let text = serde_json::to_string(&figures);
    let text = text.map_err(|error| CommandError::Failed(error.to_string()))?;
    write(output, &text)
}

/// Compares two loads.
pub fn execute_compare(command: &CompareCommand) -> Result<(), CommandError> {
    let (before, after) = (figures(&command.before)?, figures(&command.after)?);
    let table = compare::table(&before, &after).map_err(CommandError::Failed)?;
    print!("{table}");
    let Some(page) = &command.page else {
        return Ok(());
    };
    let text = compare::page(&table, &before, &after);
    write(
        page,
        &text.map_err(|error| CommandError::Failed(error.to_string()))?,
    )
}

/// Reads the figures of a load.
fn figures(path: &str) -> Result<Figures, CommandError> {
    let cure = "give a file that `cactuslane load --output` has written";
    let wrong = |error| CommandError::Usage(format!("{path}: {error}; {cure}"));
    serde_json::from_str(&read(path)?).map_err(wrong)
}

/// Writes a file.
fn write(path: &PathBuf, text: &str) -> Result<(), CommandError> {
    let failed = |error| CommandError::Failed(format!("{}: {error}", path.display()));
    std::fs::write(path, text).map_err(failed)
}

/// Parses a kind of request.
fn parse_kind(text: &str) -> Result<RequestKind, CommandError> {
    let cure = "write PATH:WEIGHT or PATH:WEIGHT:stream, such as /lookup/1:3";
    let wrong = || CommandError::Usage(format!("kind `{text}`: {cure}"));
    let mut words = text.split(':');
    let path = words
        .next()
        .filter(|path| path.starts_with('/'))
        .ok_or_else(wrong)?;
    let weight = words
        .next()
        .and_then(|word| word.parse().ok())
        .ok_or_else(wrong)?;
    let stream = match words.next() {
        None => false,
        Some("stream") => true,
        Some(_) => return Err(wrong()),
    };
    Ok(RequestKind {
        path: path.to_owned(),
        weight,
        stream,
        once: false,
    })
}

/// Parses a burst.
fn parse_burst(text: &str) -> Result<(Duration, Duration, f64), CommandError> {
    let numbers: Vec<f64> = text
        .split(':')
        .filter_map(|word| word.parse().ok())
        .collect();
    let [start, length, factor] = numbers[..] else {
        let cure = "write START:SECONDS:FACTOR, such as 4:2:3.5";
        return Err(CommandError::Usage(format!("burst `{text}`: {cure}")));
    };
    let times = (
        Duration::try_from_secs_f64(start),
        Duration::try_from_secs_f64(length),
    );
    let (Ok(start), Ok(length)) = times else {
        let cure = "times and the factor may not be negative";
        return Err(CommandError::Usage(format!("burst `{text}`: {cure}")));
    };
    if factor <= 0.0 {
        let cure = "the factor must be above 0";
        return Err(CommandError::Usage(format!("burst `{text}`: {cure}")));
    }
    Ok((start, length, factor))
}
