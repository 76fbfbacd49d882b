//! The story of one request, from saved logs of several instances.

use argh::FromArgs;
use serde_json::{Map, Value};

use crate::CommandError;
use crate::check::read;

/// Time around a request in which events of its targets belong to its story, in milliseconds.
const AROUND: u64 = 5_000;
/// Fields that every line has, and that the story shows elsewhere or not at all.
const COMMON: [&str; 4] = ["at_ms", "level", "event", "request"];

/// tells the story of a request: what was decided on it and what became of its targets, from the
/// saved logs of one or several instances
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "logs")]
pub struct LogsCommand {
    /// the id of the request
    #[argh(positional)]
    request: String,
    /// the log files; lines that are no log lines are passed over
    #[argh(positional)]
    files: Vec<String>,
}

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    /// The file that it stands in.
    file: String,
    /// The time of day, in Unix milliseconds.
    at: u64,
    /// The fields.
    fields: Map<String, Value>,
}

/// Tells the story.
pub fn execute(command: &LogsCommand) -> Result<(), CommandError> {
    if command.files.is_empty() {
        let cure = "name one or several log files behind the request";
        return Err(CommandError::Usage(format!("no log files: {cure}")));
    }
    let mut lines = Vec::new();
    for file in &command.files {
        lines.extend(parse(file, &read(file)?));
    }
    let story = story(&lines, &command.request);
    let Some(first) = story.first() else {
        let names = command.files.join(", ");
        let request = &command.request;
        return Err(CommandError::Failed(format!(
            "no line of request {request} in {names}"
        )));
    };
    let start = first.at;
    for line in &story {
        println!("{}", describe(line, start));
    }
    Ok(())
}

/// Parses the log lines of a text; what stands before a line's first brace is left out.
fn parse(file: &str, text: &str) -> Vec<Line> {
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
            continue;
        };
        let Some(at) = fields.get("at_ms").and_then(Value::as_u64) else {
            continue;
        };
        // A prefix names the instance where one file holds the lines of several.
        let prefix = line[..start].split_whitespace().last();
        let file = prefix.unwrap_or(file).to_owned();
        lines.push(Line { file, at, fields });
    }
    lines
}

/// Returns the lines of a request and those on its targets around it, in the order of time.
fn story(lines: &[Line], request: &str) -> Vec<Line> {
    let text = |line: &Line, name: &str| {
        line.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned()
    };
    let mut story: Vec<Line> = Vec::new();
    for line in lines {
        if text(line, "request") == request {
            story.push(line.clone());
        }
    }
    let mut targets = Vec::new();
    for line in &story {
        targets.push(text(line, "target_id"));
        targets.push(text(line, "prefill"));
    }
    targets.retain(|target| !target.is_empty());
    let start = story.iter().map(|line| line.at).min().unwrap_or_default();
    let end = story.iter().map(|line| line.at).max().unwrap_or_default();
    let mut told = Vec::new();
    for line in lines {
        let near = line.at + AROUND >= start && line.at <= end + AROUND;
        let own = line.fields.contains_key("request");
        let target = text(line, "target_id");
        // One line is enough where all instances say the same of a target.
        let news = (target.clone(), text(line, "event"));
        if near && !own && targets.contains(&target) && !told.contains(&news) {
            told.push(news);
            story.push(line.clone());
        }
    }
    story.sort_by_key(|line| line.at);
    story
}

/// Describes one line.
fn describe(line: &Line, start: u64) -> String {
    let event = line.fields.get("event").and_then(Value::as_str);
    let since = line.at as i64 - start as i64;
    let mut text = format!(
        "{since:>7} ms  {}  {}",
        line.file,
        event.unwrap_or_default()
    );
    for (name, value) in &line.fields {
        if COMMON.contains(&name.as_str()) {
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
