//! Streams are judged over all attempts of their callers.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_platform_standin::process::Framing;
use cactuslane_soak::attempts::judge;
use cactuslane_soak::check::Observations;
use cactuslane_soak::load::{Outcome, RequestKind, RequestRecord, TakenUp};
use cactuslane_soak::made::Made;
use tokio::time::Instant;
use yare::parameterized;

/// Returns the text of an event of a run.
fn event(id: u64, run: &str) -> String {
    format!("id: {id}\ndata: {run}\n\n")
}

/// Returns the events of a range of ids of a run.
fn text(ids: std::ops::RangeInclusive<u64>, run: &str) -> String {
    ids.map(|id| event(id, run)).collect()
}

/// Returns a run that made events from after one on, up to the last one or to 5.
fn run(after: u64, to: u64, name: &str) -> Made {
    Made {
        target: name.to_owned(),
        run: name.to_owned(),
        tail: String::new(),
        version: "v1".to_owned(),
        at: Instant::now(),
        after,
        framing: Framing::Chunks,
        copied: false,
        events: (after + 1..=to)
            .map(|id| (id, event(id, name)))
            .collect::<BTreeMap<_, _>>(),
        body: None,
        ended: to == 5,
        broken: to != 5,
    }
}

/// Returns the record of an attempt, and of a stream that it takes up after an event.
fn attempt(id: &str, last: u64, outcome: Outcome) -> RequestRecord {
    let due = Instant::now();
    RequestRecord {
        id: id.to_owned(),
        kind: 0,
        key: None,
        front: None,
        due,
        ended: due + Duration::from_millis(500),
        first_byte: Some(due),
        outcome,
        taken_up: (last > 0).then(|| TakenUp {
            stream: "r".to_owned(),
            last,
        }),
    }
}

/// Returns the outcome of an attempt that the caller left, and of one that ended as whole.
fn outcomes(first: String, second: String) -> [Outcome; 2] {
    let left = Outcome::Left {
        status: 200,
        body: first.into_bytes(),
    };
    let whole = Outcome::Whole {
        status: 200,
        signed: true,
        body: second.into_bytes(),
    };
    [left, whole]
}

#[parameterized(
    whole = { text(1..=3, "a"), text(4..=5, "b"), None },
    within_an_event = { text(1..=3, "a") + "id: 4\nda", text(4..=5, "b"), None },
    missing = { text(1..=3, "a"), text(5..=5, "b"), Some("after event 3") },
    twice = { text(1..=3, "a"), text(3..=5, "b"), Some("after event 3") },
    not_first = { text(2..=3, "a"), text(4..=5, "b"), Some("after event 0") },
    of_no_run = { text(1..=3, "a"), text(4..=5, "c"), Some("no target made") },
    too_early = { text(1..=3, "a"), text(4..=4, "b"), Some("ended as whole after event 4") },
    begun_again = { text(1..=3, "a"), text(1..=5, "b"), Some("after event 3") },
)]
fn attempts_are_joined(first: String, second: String, wrong: Option<&str>) {
    let [left, whole] = outcomes(first, second);
    let records = [attempt("r", 0, left), attempt("r-1", 3, whole)];
    let mut observations = Observations::default();
    for (id, made) in [("r", run(0, 4, "a")), ("r-1", run(3, 5, "b"))] {
        observations.runs.insert(id.to_owned(), vec![made.at]);
        observations.made.insert(id.to_owned(), vec![made]);
    }
    let kind = RequestKind {
        stream: true,
        ..RequestKind::default()
    };
    let judged = judge(&records, &[kind], &observations);
    let [judgement] = &judged[..] else {
        panic!("{judged:?}");
    };
    assert_eq!(judgement.stream, "r");
    match (&judgement.wrong, wrong) {
        (None, None) => {}
        (Some(seen), Some(wrong)) => assert!(seen.contains(wrong), "{seen}"),
        _ => panic!("{:?}", judgement.wrong),
    }
}
