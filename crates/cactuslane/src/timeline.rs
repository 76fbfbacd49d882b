//! The `logs` command: the timeline of one request, from saved logs of several instances.

use argh::FromArgs;
use serde_json::{Map, Value};

use crate::CommandError;
use crate::check::read_file;

/// Time before a request's first line and after its last one in which events of its targets are
/// shown, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Fields that are not printed as `name=value`: the time and the event have columns of their own,
/// and the level and the request are left out.
const OMITTED_FIELDS: [&str; 4] = ["at_ms", "level", "event", "request"];

/// prints the timeline of a request from the saved logs of one or several instances: the decisions
/// on it and the events of its targets
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "logs")]
pub struct LogsCommand {
    /// id of the request
    #[argh(positional)]
    request: String,
    /// log files; lines that can't be parsed as log lines are skipped
    #[argh(positional)]
    files: Vec<String>,
}

/// A parsed log line.
#[derive(Clone, Debug)]
struct LogLine {
    /// Name of the instance from the line's prefix, or else the path of the log file.
    source: String,
    /// Time of the event on the clock of its instance, in Unix milliseconds.
    at_ms: u64,
    /// All fields of the JSON object, `at_ms` included.
    fields: Map<String, Value>,
}

/// Prints the timeline; fails if no file has a line of the request.
pub fn execute(command: &LogsCommand) -> Result<(), CommandError> {
    if command.files.is_empty() {
        let hint = "give at least one log file after the request";
        return Err(CommandError::Usage(format!("no log files; {hint}")));
    }
    let mut lines = Vec::new();
    for file in &command.files {
        lines.extend(parse(file, &read_file(file)?));
    }
    let timeline = request_timeline(&lines, &command.request);
    let Some(first) = timeline.first() else {
        let names = command.files.join(", ");
        let request = &command.request;
        return Err(CommandError::Failed(format!(
            "no line of request {request} in {names}"
        )));
    };
    let start = first.at_ms;
    for line in &timeline {
        println!("{}", format_line(line, start));
    }
    Ok(())
}

/// Parses the log lines of a file; text before the first brace of a line is a prefix.
fn parse(file: &str, text: &str) -> Vec<LogLine> {
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
            continue;
        };
        let Some(at_ms) = fields.get("at_ms").and_then(Value::as_u64) else {
            continue;
        };
        // The last word of a prefix names the instance in files that hold the lines of several.
        let prefix = line[..start].split_whitespace().last();
        let source = prefix.unwrap_or(file).to_owned();
        lines.push(LogLine {
            source,
            at_ms,
            fields,
        });
    }
    lines
}

/// Returns the lines of a request and, from the time around it, those on its targets that belong
/// to no request, sorted by the times on the clocks of their instances.
fn request_timeline(lines: &[LogLine], request: &str) -> Vec<LogLine> {
    let text = |line: &LogLine, name: &str| {
        line.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned()
    };
    let mut timeline: Vec<LogLine> = Vec::new();
    for line in lines {
        if text(line, "request") == request {
            timeline.push(line.clone());
        }
    }
    let mut targets = Vec::new();
    for line in &timeline {
        targets.push(text(line, "target_id"));
        targets.push(text(line, "prefill"));
    }
    targets.retain(|target| !target.is_empty());
    let start = timeline
        .iter()
        .map(|line| line.at_ms)
        .min()
        .unwrap_or_default();
    let end = timeline
        .iter()
        .map(|line| line.at_ms)
        .max()
        .unwrap_or_default();
    let mut seen = Vec::new();
    for line in lines {
        let near = line.at_ms + WINDOW_MS >= start && line.at_ms <= end + WINDOW_MS;
        let of_request = line.fields.contains_key("request");
        let target = text(line, "target_id");
        // Several instances may log the same event of a target; only the first line read is shown.
        // This also leaves out later events of the same name on that target.
        let key = (target.clone(), text(line, "event"));
        if near && !of_request && targets.contains(&target) && !seen.contains(&key) {
            seen.push(key);
            timeline.push(line.clone());
        }
    }
    timeline.sort_by_key(|line| line.at_ms);
    timeline
}

/// Formats a line: milliseconds since the timeline's first line, source, event and other fields.
fn format_line(line: &LogLine, start_ms: u64) -> String {
    let event = line.fields.get("event").and_then(Value::as_str);
    let elapsed = line.at_ms as i64 - start_ms as i64;
    let mut text = format!(
        "{elapsed:>7} ms  {}  {}",
        line.source,
        event.unwrap_or_default()
    );
    for (name, value) in &line.fields {
        if OMITTED_FIELDS.contains(&name.as_str()) {
            continue;
        }
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        if !value.is_empty() {
            text.push_str("  ");
            text.push_str(name);
            text.push('=');
            text.push_str(&value);
        }
    }
    text
}
