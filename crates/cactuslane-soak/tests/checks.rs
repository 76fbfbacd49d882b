//! Each check reports the violations of its guarantee and no others.

use std::time::Duration;

use cactuslane_soak::check::{self, Observations};
use cactuslane_soak::load::{Outcome, RequestKind, RequestRecord};
use tokio::time::Instant;
use yare::parameterized;

/// Returns a kind of request with the given properties.
fn kind(stream: bool, once: bool) -> RequestKind {
    RequestKind {
        path: "/a/1".to_owned(),
        weight: 1,
        stream,
        once,
    }
}

/// Returns the record of a request that was due at `due` and ended 500 ms later.
fn record(due: Instant, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        id: "r1".to_owned(),
        kind: 0,
        front: None,
        due,
        ended: due + Duration::from_millis(500),
        first_byte: Some(due),
        outcome,
    }
}

/// Returns the result of a complete answer.
fn complete(status: u16, signed: bool, body: &str) -> Outcome {
    Outcome::Whole {
        status,
        signed,
        body: body.as_bytes().to_vec(),
    }
}

/// Returns the result of an answer that was truncated after `body`.
fn truncated(body: &str) -> Outcome {
    Outcome::Cut {
        status: Some(200),
        body: body.as_bytes().to_vec(),
    }
}

/// Returns the guarantees violated by one request with the given result and number of runs, at the
/// time of an unplanned fault if `fault` is set.
fn violated(outcome: Outcome, kind: RequestKind, runs: usize, fault: bool) -> Vec<&'static str> {
    let now = Instant::now();
    let mut observations = Observations::default();
    observations.runs.insert("r1".to_owned(), vec![now; runs]);
    if fault {
        observations.faults.push((now, now));
    }
    let (violations, _) = check::check(&[record(now, outcome)], &[kind], &observations, true);
    violations
        .into_iter()
        .map(|violation| violation.guarantee)
        .collect()
}

#[parameterized(
    served = { complete(200, true, "x"), kind(false, true), 1, &[] },
    run_twice = { complete(200, true, "x"), kind(false, true), 2, &["runs at most once"] },
    run_twice_when_allowed = { complete(200, true, "x"), kind(false, false), 2, &[] },
    refused = { complete(503, false, ""), kind(false, true), 0, &[] },
    refused_after_a_run = { complete(503, false, ""), kind(false, true), 1, &["not run is true"] },
    unsigned_or_of_another = { complete(200, false, "x"), kind(false, false), 1, &["own whole answer"] },
    served_without_a_run = { complete(200, true, "x"), kind(false, false), 0, &["own whole answer"] },
    short_stream = { complete(200, true, "id: 1\ndata: piece 1\n\n"), kind(true, false), 1, &["own whole answer"] },
    denied = { complete(404, false, ""), kind(false, false), 0, &["proper requests are allowed"] },
    cut_without_fault = { truncated("id: 1\ndata: piece 1\n\n"), kind(true, false), 1, &["no planned change cuts"] },
    not_sent = { Outcome::Unsent, kind(true, false), 0, &[] },
)]
fn a_request_is_checked_against_its_runs(
    outcome: Outcome,
    kind: RequestKind,
    runs: usize,
    expected: &[&str],
) {
    assert_eq!(violated(outcome, kind, runs, false), expected);
}

#[test]
fn a_fault_excuses_a_truncated_stream_but_not_events_out_of_order() {
    let stream = kind(true, false);
    assert!(
        violated(
            truncated("id: 1\ndata: piece 1\n\n"),
            stream.clone(),
            1,
            true
        )
        .is_empty()
    );
    let wrong = violated(truncated("id: 2\ndata: piece 2\n\n"), stream, 1, true);
    assert_eq!(wrong, ["events in order"]);
}

#[test]
fn versions_exits_drains_and_recovery_are_checked() {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let mut observations = Observations::default();
    let guarantees = |observations: &Observations, timed| {
        let late = record(after(20_000), complete(503, false, ""));
        let (violations, _) = check::check(&[late], &[kind(false, false)], observations, timed);
        violations
            .into_iter()
            .map(|violation| violation.guarantee)
            .collect::<Vec<_>>()
    };
    assert!(guarantees(&observations, true).is_empty());
    let versions = vec![(now, 3), (after(10), 2)];
    observations.versions.insert("front-1".to_owned(), versions);
    observations.exits.push(("front-1".to_owned(), None));
    let untimed = ["configuration never goes back", "stops end well"];
    assert_eq!(guarantees(&observations, true), untimed);
    observations
        .drains
        .push((now, after(6_000), vec![after(1_900), after(2_100)]));
    observations.disruption_end = Some(now);
    let timed = ["leaving targets get no work", "recovers"];
    assert_eq!(guarantees(&observations, true), [untimed, timed].concat());
    assert_eq!(guarantees(&observations, false), untimed);
}

#[parameterized(
    within = { 17, 100, true },
    beyond = { 18, 100, false },
    spread = { 40, 1_000, true },
)]
fn a_target_with_a_limit_of_two_gets_seventeen_requests_in_four_seconds(
    count: u32,
    gap_ms: u64,
    holds: bool,
) {
    let named = Instant::now();
    let begin = named + check::LIMIT_GRACE;
    let arrivals = (0..count).map(|number| begin + Duration::from_millis(gap_ms) * number);
    let observations = Observations {
        limits: vec![(named, 2.0, arrivals.collect())],
        ..Observations::default()
    };
    let (violations, _) = check::check(&[], &[], &observations, true);
    assert_eq!(violations.is_empty(), holds, "{violations:?}");
}
