//! What the runs at targets made, by the targets' records, and answers that are judged by it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_platform_standin::process::Framing;
use cactuslane_platform_standin::target::Run;
use tokio::time::Instant;

/// One run of a request at a target.
#[derive(Clone, Debug)]
pub struct Made {
    /// Id of the target.
    pub target: String,
    /// Name of the run, which its events state.
    pub run: String,
    /// Version of its software.
    pub version: String,
    /// Time at which the run began.
    pub at: Instant,
    /// Id of the event that a stream goes on after; 0 for a new one and for plain answers.
    pub after: u64,
    /// How the end of the answer is marked.
    pub framing: Framing,
    /// Whether a second copy of an earlier answer was sent on the connection.
    pub copied: bool,
    /// Events that were made, by id.
    pub events: BTreeMap<u64, String>,
    /// Lines after the last event, if they were made.
    pub tail: String,
    /// Whole body of a plain answer, if it was made.
    pub body: Option<String>,
    /// Whether all of the answer was made.
    pub ended: bool,
    /// Whether its caller closed the connection before.
    pub broken: bool,
}

/// Runs from which the answer to a request may come.
#[derive(Clone, Copy, Debug)]
pub struct Sources<'m> {
    /// Runs at all targets.
    pub made: &'m [Made],
    /// Number of events of the whole stream.
    pub count: u64,
    /// Whether a stream may go on at another target.
    pub resumable: bool,
    /// Id of the last event that the caller had before; 0 if the request takes up no stream.
    pub last: u64,
}

/// The part of a stream that a body holds.
#[derive(Clone, Debug)]
pub struct Followed<'b> {
    /// Id of the last whole event, or of the last one that the caller had before.
    pub last: u64,
    /// Bytes after it: the beginning of the next event, or of the lines after the last one.
    pub rest: &'b [u8],
    /// Whether all events came and the lines after the last one as they were made.
    pub whole: bool,
    /// Runs that made the events, in their order, with the first and last id of each.
    pub parts: Vec<(&'b Made, u64, u64)>,
}

impl Made {
    /// Returns the record of a run at a target within the soak, whose software has a version.
    #[must_use]
    pub fn of_run(target: &str, version: &str, run: Run) -> Self {
        let framing = if run.body.is_some() {
            Framing::Length
        } else {
            Framing::Chunks
        };
        Self {
            target: target.to_owned(),
            run: run.name,
            version: version.to_owned(),
            at: run.at,
            after: run.after,
            framing,
            copied: false,
            events: run.events,
            tail: String::new(),
            body: run.body,
            ended: run.ended,
            broken: false,
        }
    }

    /// Returns whether the run has sent a part of an answer and has more to send.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let begun = !self.events.is_empty() || self.body.is_some();
        begun && !self.ended && !self.broken
    }
}

impl Followed<'_> {
    /// Returns the versions of the targets that made the events.
    #[must_use]
    pub fn versions(&self) -> BTreeSet<String> {
        let versions = self.parts.iter().map(|(run, ..)| run.version.clone());
        versions.collect()
    }

    /// Describes which run made which events.
    #[must_use]
    pub fn describe(&self) -> String {
        let part = |(run, first, last): &(&Made, u64, u64)| {
            format!("{first} to {last} of {} {}", run.run, run.version)
        };
        let parts: Vec<String> = self.parts.iter().map(part).collect();
        format!("events {}", parts.join(", "))
    }
}

impl Sources<'_> {
    /// Follows the body of a stream, which may end within an event, along the events that were made.
    ///
    /// # Errors
    ///
    /// Returns what is wrong if an event is missing, comes twice or was not made for the request, or
    /// if it comes from another run than the one before and that run was not resumed there.
    pub fn follow<'b>(&'b self, body: &'b [u8]) -> Result<Followed<'b>, String> {
        let mut rest = body;
        let mut parts: Vec<(&Made, u64, u64)> = Vec::new();
        let mut source: Option<usize> = None;
        for id in self.last + 1..=self.count {
            let runs = self.made.iter().enumerate();
            let texts = runs.filter_map(|(number, run)| Some((number, run.events.get(&id)?)));
            let texts: Vec<(usize, &String)> = texts.collect();
            let found = texts
                .iter()
                .find(|(_, text)| rest.starts_with(text.as_bytes()));
            let Some(&(from, text)) = found else {
                let is_begun = |(_, text): &(_, &String)| text.as_bytes().starts_with(rest);
                if rest.is_empty() || texts.iter().any(is_begun) {
                    let last = id - 1;
                    return Ok(Followed {
                        last,
                        rest,
                        whole: false,
                        parts,
                    });
                }
                let text = String::from_utf8_lossy(rest);
                return Err(format!("no run made event {id} as {text:?}"));
            };
            if source != Some(from) {
                if source.is_some() && !self.resumable {
                    return Err(format!("event {id} is of another run"));
                }
                let run = &self.made[from];
                if run.after != id - 1 {
                    let after = run.after;
                    return Err(format!("event {id} is of a run that began after {after}"));
                }
                source = Some(from);
                parts.push((run, id, id));
            }
            if let Some((_, _, last)) = parts.last_mut() {
                *last = id;
            }
            rest = &rest[text.len()..];
        }
        // A stream that breaks off after its last event goes on at a run that makes no event.
        let may_end = |(number, run): &(usize, &Made)| {
            source.is_none_or(|from| from == *number) || run.after == self.count
        };
        let runs = self.made.iter().enumerate().filter(may_end);
        let tails: Vec<&[u8]> = runs.map(|(_, run)| run.tail.as_bytes()).collect();
        if !rest.is_empty() && !tails.iter().any(|tail| tail.starts_with(rest)) {
            return Err(format!("{} bytes follow the last event", rest.len()));
        }
        let last = self.count;
        Ok(Followed {
            last,
            rest,
            whole: tails.contains(&rest) || tails.is_empty() && rest.is_empty(),
            parts,
        })
    }

    /// Checks that a body is a whole stream.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn check_whole(&self, body: &[u8]) -> Result<(), String> {
        let Followed {
            last, rest, whole, ..
        } = self.follow(body)?;
        if whole {
            return Ok(());
        }
        let (count, bytes) = (self.count, rest.len());
        Err(format!(
            "ended as whole after event {last} of {count} and {bytes} bytes of the next"
        ))
    }

    /// Checks that a body is a whole plain answer.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn check_plain(&self, body: &[u8]) -> Result<(), String> {
        let bodies = self.made.iter().filter_map(|run| run.body.as_deref());
        if bodies.into_iter().any(|text| text.as_bytes() == body) {
            return Ok(());
        }
        let text = String::from_utf8_lossy(body);
        Err(format!("no run made the body {text:?}"))
    }
}

/// Describes what is wrong with an answer, and the runs that it may come from.
#[must_use]
pub fn describe(wrong: Option<&String>, made: &[Made]) -> String {
    let runs: Vec<String> = made.iter().map(describe_run).collect();
    format!("{}; {}", wrong.map_or("", String::as_str), runs.join(", "))
}

/// Describes a run in short.
fn describe_run(run: &Made) -> String {
    let Made {
        run: name,
        version,
        framing,
        after,
        ended,
        broken,
        ..
    } = run;
    let ids = (run.events.first_key_value(), run.events.last_key_value());
    let events = match (ids, &run.body) {
        ((Some((first, _)), Some((last, _))), _) => format!("events {first} to {last}"),
        (_, Some(body)) => format!("a body of {} bytes", body.len()),
        _ => "nothing".to_owned(),
    };
    format!(
        "{name} {version} {framing:?} after {after} made {events}, ended {ended}, broken {broken}"
    )
}

/// Returns the instant of a time since the Unix epoch in microseconds, which has passed.
pub(crate) fn instant(at_us: u64) -> Instant {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let ago = now
        .unwrap_or_default()
        .saturating_sub(Duration::from_micros(at_us));
    let now = Instant::now();
    now.checked_sub(ago).unwrap_or(now)
}
