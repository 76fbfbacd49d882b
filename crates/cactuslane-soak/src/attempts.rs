//! Streams over all attempts of their callers, compared with what the targets made.

use std::collections::{BTreeMap, BTreeSet};

use crate::check::Observations;
use crate::load::{Outcome, RequestKind, RequestRecord};
use crate::made::Made;

/// A stream that a caller got in one or more attempts.
#[derive(Clone, Debug)]
struct Stream<'r> {
    /// The attempts that brought a part of it, in order.
    attempts: Vec<&'r RequestRecord>,
    /// Runs of all its attempts.
    made: Vec<&'r Made>,
}

/// The result for one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judgement {
    /// Id of the request that brought the first event.
    pub stream: String,
    /// What is wrong with the events that the caller got in all attempts together, if anything.
    pub wrong: Option<String>,
}

/// Compares the events that each caller got of a stream in several attempts together with those that
/// the targets made in these attempts. An event that was cut within its text does not count as received.
#[must_use]
pub fn judge(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    observations: &Observations,
) -> Vec<Judgement> {
    let mut streams: BTreeMap<&str, Stream> = BTreeMap::new();
    for record in records {
        if !kinds[record.kind].stream || body(record).is_none() {
            continue;
        }
        let part = record.taken_up.as_ref();
        let id = part.map_or(record.id.as_str(), |part| part.stream.as_str());
        let stream = streams.entry(id).or_insert_with(|| Stream {
            attempts: Vec::new(),
            made: Vec::new(),
        });
        let made = observations
            .made
            .get(&record.id)
            .map_or(&[][..], Vec::as_slice);
        stream.attempts.push(record);
        stream.made.extend(made);
    }
    let judgement = |(id, stream): (&str, Stream)| Judgement {
        stream: id.to_owned(),
        wrong: stream.check().err(),
    };
    let joined = streams.into_iter();
    let joined = joined.filter(|(_, stream)| stream.attempts.len() > 1);
    joined.map(judgement).collect()
}

impl Stream<'_> {
    /// Checks that the events of all attempts follow each other from the first one, that targets made
    /// them, and that an answer that ends as whole ends with the last event.
    fn check(&self) -> Result<(), String> {
        let mut last = 0;
        let lengths: BTreeSet<u64> = self
            .made
            .iter()
            .filter(|run| run.ended)
            .map(|run| run.events.keys().last().copied().unwrap_or(run.after))
            .collect();
        for record in &self.attempts {
            let id = &record.id;
            for event in events(body(record).unwrap_or_default()) {
                let event = String::from_utf8_lossy(event);
                let number = event_id(&event);
                if number != Some(last + 1) {
                    return Err(format!(
                        "{id} brought the event {event:?} after event {last}"
                    ));
                }
                last += 1;
                let is_made =
                    |run: &&Made| run.events.get(&last).map(String::as_str) == Some(&*event);
                if !self.made.iter().any(is_made) {
                    return Err(format!("no target made the event {event:?} of {id}"));
                }
            }
            let is_whole = matches!(record.outcome, Outcome::Whole { .. });
            if is_whole && !lengths.contains(&last) {
                return Err(format!(
                    "{id} ended as whole after event {last}, and whole streams of {lengths:?} were made"
                ));
            }
        }
        Ok(())
    }
}

/// Returns what an attempt brought of a stream, if anything.
fn body(record: &RequestRecord) -> Option<&[u8]> {
    match &record.outcome {
        Outcome::Whole {
            status: 200, body, ..
        }
        | Outcome::Cut {
            status: Some(200),
            body,
        }
        | Outcome::Left { status: 200, body } => Some(body),
        _ => None,
    }
}

/// Returns the whole events of a body, with their ends.
fn events(body: &[u8]) -> Vec<&[u8]> {
    let (mut events, mut begin) = (Vec::new(), 0);
    while let Some(end) = body[begin..].windows(2).position(|pair| pair == b"\n\n") {
        let next = begin + end + 2;
        events.push(&body[begin..next]);
        begin = next;
    }
    events
}

/// Returns the id of an event.
fn event_id(event: &str) -> Option<u64> {
    let id = event.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
