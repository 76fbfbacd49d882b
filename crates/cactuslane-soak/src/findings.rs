//! What is known of each violation on one time line, and counts of violations over runs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

use crate::check::{FAULT_GRACE, Observations, Violation};
use crate::load::{Outcome, RequestRecord};
use crate::made::{Made, instant};
use crate::options::Options;
use crate::plan::PlanStep;

/// Maximum number of violations of a run that are written to files.
const MAX_FILES: usize = 40;
/// Name that counts of violations have for no disruption.
const NONE: &str = "none";

/// A run, as far as findings refer to it.
#[derive(Debug)]
pub struct RunRecords<'r> {
    /// Parameters of the run.
    pub options: &'r Options,
    /// Start of the load.
    pub began: Instant,
    /// Steps of the plan.
    pub steps: &'r [PlanStep],
    /// Requests with their answers.
    pub records: &'r [RequestRecord],
    /// What else was observed.
    pub observations: &'r Observations,
}

/// A violation with the disruptions during it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the guarantee.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Subject of the check.
    #[serde(rename = "about")]
    pub subject: String,
    /// Names of the actions that lasted, or had ended shortly before, while the request was under way.
    pub disruptions: BTreeSet<String>,
    /// What is known of it on one time line.
    #[serde(skip)]
    pub text: String,
}

/// Numbers of violations by guarantee and by disruption.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of violations of each guarantee.
    guarantees: BTreeMap<&'static str, u64>,
    /// Number of violations of each guarantee during each disruption.
    disruptions: BTreeMap<(&'static str, String), u64>,
}

/// One line of a time line: the time, who observed it, and what was observed.
type Line = (Instant, String, String);

impl Summary {
    /// Counts the violations of a run.
    pub fn add(&mut self, findings: &[Finding]) {
        for finding in findings {
            *self.guarantees.entry(finding.guarantee).or_default() += 1;
            for disruption in &finding.disruptions {
                let key = (finding.guarantee, disruption.clone());
                *self.disruptions.entry(key).or_default() += 1;
            }
            if finding.disruptions.is_empty() {
                let key = (finding.guarantee, NONE.to_owned());
                *self.disruptions.entry(key).or_default() += 1;
            }
        }
    }

    /// Returns a line for each guarantee that was violated.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let line = |(guarantee, count): (&&'static str, &u64)| {
            let during = self
                .disruptions
                .iter()
                .filter(|(key, _)| key.0 == *guarantee);
            let during: Vec<String> = during
                .map(|((_, disruption), count)| format!("{disruption} {count}"))
                .collect();
            format!("{guarantee}: {count}, by disruption: {}", during.join(", "))
        };
        self.guarantees.iter().map(line).collect()
    }
}

/// Collects what is known of each violation, and writes it to `finding-NUMBER.txt` in the folder of the
/// run, up to 40 of them.
///
/// # Errors
///
/// Returns an error if a file cannot be written, or a log cannot be read.
pub fn write(run: &RunRecords, violations: &[Violation]) -> io::Result<Vec<Finding>> {
    for entry in fs::read_dir(&run.options.folder)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if name.starts_with("finding-") {
            fs::remove_file(&path)?;
        }
    }
    let mut findings = Vec::new();
    for (number, violation) in violations.iter().enumerate() {
        let finding = run.find(violation)?;
        if number < MAX_FILES {
            let name = format!("finding-{}.txt", number + 1);
            fs::write(run.options.folder.join(name), &finding.text)?;
        }
        findings.push(finding);
    }
    Ok(findings)
}

impl RunRecords<'_> {
    /// Collects what is known of a violation.
    fn find(&self, violation: &Violation) -> io::Result<Finding> {
        let first = first_id(&violation.subject);
        let is_attempt = |record: &&RequestRecord| first_id(&record.id) == first;
        let attempts: Vec<&RequestRecord> = self.records.iter().filter(is_attempt).collect();
        let end = self.began + self.options.length;
        let from = attempts.iter().map(|record| record.due).min();
        let to = attempts.iter().map(|record| record.ended).max();
        let (from, to) = (from.unwrap_or(self.began), to.unwrap_or(end));
        let mut lines = Vec::new();
        for record in &attempts {
            lines.extend(describe_attempt(record));
            self.add_runs(&record.id, &mut lines);
        }
        let disruptions = self.add_disruptions(from, to, &mut lines);
        let mut ids: BTreeSet<&str> = attempts.iter().map(|record| record.id.as_str()).collect();
        ids.insert(&violation.subject);
        add_log_lines(&self.options.folder, &ids, &mut lines)?;
        lines.sort_by_key(|line| line.0);
        let mut text = format!(
            "{}: {}\nseed {}; command: {}\nobserved: {}\n\n",
            violation.guarantee,
            violation.subject,
            self.options.seed,
            self.options.command,
            violation.observed,
        );
        for (at, who, what) in lines {
            let time = signed_seconds(at, self.began);
            writeln!(text, "{time:>9.3} s  {who:<14} {what}").map_err(io::Error::other)?;
        }
        Ok(Finding {
            guarantee: violation.guarantee,
            subject: violation.subject.clone(),
            disruptions,
            text,
        })
    }

    /// Adds the runs of a request at all targets.
    fn add_runs(&self, id: &str, lines: &mut Vec<Line>) {
        let made = self
            .observations
            .made
            .get(id)
            .map_or(&[][..], Vec::as_slice);
        for run in made {
            lines.push((run.at, run.target.clone(), describe_run(id, run)));
        }
    }

    /// Adds the disruptions that touch a period, or ended up to [`FAULT_GRACE`] before it, and returns
    /// the names of the actions.
    fn add_disruptions(
        &self,
        from: Instant,
        to: Instant,
        lines: &mut Vec<Line>,
    ) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for step in self.steps {
            let begin = self.began + step.at;
            if begin > to || begin + step.action.duration() + FAULT_GRACE < from {
                continue;
            }
            let text = format!("{:?}", step.action);
            let name = text.split(['(', ' ']).next().unwrap_or_default();
            names.insert(name.to_owned());
            lines.push((begin, "disruption".to_owned(), text));
        }
        for (target, begin, end) in &self.observations.process_faults {
            if *begin > to || *end + FAULT_GRACE < from {
                continue;
            }
            lines.push((
                *begin,
                target.clone(),
                "its process is disturbed".to_owned(),
            ));
            lines.push((*end, target.clone(), "its process serves again".to_owned()));
        }
        names
    }
}

/// Describes an attempt at its start, its first byte and its end.
fn describe_attempt(record: &RequestRecord) -> Vec<Line> {
    let id = &record.id;
    let who = || "caller".to_owned();
    let front = record
        .front
        .map_or("no instance".to_owned(), |front| front.to_string());
    let part = record.taken_up.as_ref().map_or(String::new(), |part| {
        format!(", takes up {} after event {}", part.stream, part.last)
    });
    let mut lines = vec![(record.due, who(), format!("{id} is due, to {front}{part}"))];
    if let Some(at) = record.first_byte {
        lines.push((at, who(), format!("{id}: first part of the body")));
    }
    let outcome = match &record.outcome {
        Outcome::Unsent => "not sent".to_owned(),
        Outcome::GaveUp => "given up after the deadline".to_owned(),
        Outcome::Cut { status, body } => format!("cut, status {status:?}, {}", quote(body)),
        Outcome::Left { status, body } => format!("left, status {status}, {}", quote(body)),
        Outcome::Whole {
            status,
            signed,
            body,
        } => format!("whole, status {status}, signed {signed}, {}", quote(body)),
    };
    lines.push((record.ended, who(), format!("{id} ends: {outcome}")));
    lines
}

/// Describes a run at a target, with the events that it made.
fn describe_run(id: &str, run: &Made) -> String {
    let events: String = run.events.values().map(String::as_str).collect();
    let made = run.body.as_deref().unwrap_or(&events);
    format!(
        "{id} runs, version {}, after event {}, {:?}, after a copy {}, ended {}, broken {}: {}",
        run.version,
        run.after,
        run.framing,
        run.copied,
        run.ended,
        run.broken,
        quote(made.as_bytes()),
    )
}

/// Adds the lines of the instances' logs that name one of the requests.
fn add_log_lines(folder: &Path, ids: &BTreeSet<&str>, lines: &mut Vec<Line>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|end| end != "log") {
            continue;
        }
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let text = fs::read(&path)?;
        for line in String::from_utf8_lossy(&text).lines() {
            let Ok(value) = serde_json::from_str::<Value>(line) else {
                continue;
            };
            let names = |field: &str| value[field].as_str().is_some_and(|id| ids.contains(id));
            let at = value["at_ms"].as_u64();
            if let (true, Some(at)) = (names("request") || names("resumes"), at) {
                lines.push((instant(at * 1000), name.to_string(), line.to_owned()));
            }
        }
    }
    Ok(())
}

/// Returns the id of the first attempt of a caller from that of any of its attempts.
fn first_id(id: &str) -> &str {
    let end = id.match_indices('-').nth(1);
    end.map_or(id, |(end, _)| &id[..end])
}

/// Returns a body as a quoted text.
fn quote(body: &[u8]) -> String {
    format!("{:?}", String::from_utf8_lossy(body))
}

/// Returns the seconds from a time to another one, negative if that is earlier.
fn signed_seconds(at: Instant, from: Instant) -> f64 {
    let before: Duration = from.saturating_duration_since(at);
    at.saturating_duration_since(from).as_secs_f64() - before.as_secs_f64()
}
