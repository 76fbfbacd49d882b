//! The checks find what breaks a promise, and nothing else.

use std::time::Duration;

use cactuslane_soak::check::{self, Facts};
use cactuslane_soak::load::{Kind, Outcome, Seen};
use tokio::time::Instant;
use yare::parameterized;

/// Returns a kind of request.
fn kind(stream: bool, once: bool) -> Kind {
    Kind {
        path: "/a/1".to_owned(),
        weight: 1,
        stream,
        once,
    }
}

/// Returns what a caller saw of a request that was due at a time.
fn seen(due: Instant, outcome: Outcome) -> Seen {
    Seen {
        id: "r1".to_owned(),
        kind: 0,
        front: None,
        due,
        ended: due + Duration::from_millis(500),
        first: Some(due),
        outcome,
    }
}

/// Returns a whole answer.
fn whole(status: u16, signed: bool, body: &str) -> Outcome {
    Outcome::Whole {
        status,
        signed,
        body: body.as_bytes().to_vec(),
    }
}

/// Returns an answer that was cut.
fn cut(body: &str) -> Outcome {
    Outcome::Cut {
        status: Some(200),
        body: body.as_bytes().to_vec(),
    }
}

/// Returns the promises that are broken by one request that ran some times.
fn broken(outcome: Outcome, kind: Kind, runs: usize, fault: bool) -> Vec<&'static str> {
    let now = Instant::now();
    let mut facts = Facts::default();
    facts.runs.insert("r1".to_owned(), vec![now; runs]);
    if fault {
        facts.faults.push((now, now));
    }
    let (broken, _) = check::check(&[seen(now, outcome)], &[kind], &facts, true);
    broken.into_iter().map(|one| one.promise).collect()
}

#[parameterized(
    served = { whole(200, true, "x"), kind(false, true), 1, &[] },
    twice = { whole(200, true, "x"), kind(false, true), 2, &["runs at most once"] },
    twice_allowed = { whole(200, true, "x"), kind(false, false), 2, &[] },
    refused = { whole(503, false, ""), kind(false, true), 0, &[] },
    refused_after_a_run = { whole(503, false, ""), kind(false, true), 1, &["not run is true"] },
    of_another = { whole(200, false, "x"), kind(false, false), 1, &["own whole answer"] },
    of_nobody = { whole(200, true, "x"), kind(false, false), 0, &["own whole answer"] },
    short_stream = { whole(200, true, "id: 1\ndata: piece 1\n\n"), kind(true, false), 1, &["own whole answer"] },
    denied = { whole(404, false, ""), kind(false, false), 0, &["proper requests are allowed"] },
    cut_without_fault = { cut("id: 1\ndata: piece 1\n\n"), kind(true, false), 1, &["no planned change cuts"] },
    crossed_a_close = { Outcome::Unsent, kind(true, false), 0, &[] },
)]
fn a_request_is_judged(outcome: Outcome, kind: Kind, runs: usize, expected: &[&str]) {
    assert_eq!(broken(outcome, kind, runs, false), expected);
}

#[test]
fn a_fault_excuses_a_cut_but_no_wrong_order() {
    let stream = kind(true, false);
    assert!(broken(cut("id: 1\ndata: piece 1\n\n"), stream.clone(), 1, true).is_empty());
    let wrong = broken(cut("id: 2\ndata: piece 2\n\n"), stream, 1, true);
    assert_eq!(wrong, ["events in order"]);
}

#[test]
fn versions_stops_drains_and_recovery_are_judged() {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let mut facts = Facts::default();
    let promises = |facts: &Facts, timed| {
        let late = seen(after(20_000), whole(503, false, ""));
        let (broken, _) = check::check(&[late], &[kind(false, false)], facts, timed);
        broken
            .into_iter()
            .map(|one| one.promise)
            .collect::<Vec<_>>()
    };
    assert!(promises(&facts, true).is_empty());
    let versions = vec![(now, 3), (after(10), 2)];
    facts.versions.insert("front-1".to_owned(), versions);
    facts.stops.push(("front-1".to_owned(), None));
    let untimed = ["configuration never goes back", "stops end well"];
    assert_eq!(promises(&facts, true), untimed);
    facts
        .drains
        .push((now, after(6_000), vec![after(1_900), after(2_100)]));
    facts.calm = Some(now);
    let timed = ["leaving targets get no work", "recovers"];
    assert_eq!(promises(&facts, true), [untimed, timed].concat());
    assert_eq!(promises(&facts, false), untimed);
}
