//! Each check reports the violations of its guarantee and no others.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_platform_standin::process::Framing;
use cactuslane_platform_standin::script::event_count;
use cactuslane_soak::check::recovery::{self, MIN_JUDGED};
use cactuslane_soak::check::{self, Observations};
use cactuslane_soak::load::{self, LoadSpec, Outcome, RequestKind, RequestRecord};
use cactuslane_soak::made::Made;
use cactuslane_soak::process::WINDOW_S;
use serde_json::json;
use tokio::time::Instant;
use yare::parameterized;

/// Returns a kind of request with the given properties.
fn kind(stream: bool, once: bool) -> RequestKind {
    RequestKind {
        path: "/a/1".to_owned(),
        weight: 1,
        stream,
        once,
        ..RequestKind::default()
    }
}

/// Returns a kind of resumable streams whose route has a time-out in milliseconds.
fn beside(timeout: u64) -> RequestKind {
    RequestKind {
        timeout: Some(Duration::from_millis(timeout)),
        ..kind(true, false)
    }
}

/// Returns the record of a request that was due at `due` and ended 500 ms later.
fn record(due: Instant, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        id: "r1".to_owned(),
        kind: 0,
        key: None,
        front: None,
        due,
        ended: due + Duration::from_millis(500),
        first_byte: Some(due),
        outcome,
        taken_up: None,
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

/// Returns a run at `at`, which made the plain body "x" and a whole stream.
fn made(at: Instant) -> Made {
    let event = |id: u64| (id, format!("id: {id}\ndata: piece {id}\n\n"));
    Made {
        target: "a".to_owned(),
        run: "a/1/1".to_owned(),
        version: "v1".to_owned(),
        at,
        after: 0,
        framing: Framing::Chunks,
        copied: false,
        events: (1..=event_count("r1")).map(event).collect(),
        tail: String::new(),
        body: Some("x".to_owned()),
        ended: true,
        broken: false,
    }
}

/// Returns the guarantees violated by one request with the given result and number of runs, at the
/// time of an unplanned fault if `fault` is set.
fn violated(outcome: Outcome, kind: RequestKind, runs: usize, fault: bool) -> Vec<&'static str> {
    let now = Instant::now();
    let mut observations = Observations::default();
    observations.runs.insert("r1".to_owned(), vec![now; runs]);
    let runs = vec![made(now); runs];
    observations.made.insert("r1".to_owned(), runs);
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
    short_stream = { complete(200, true, "id: 1\ndata: piece 1\n\n"), kind(true, false), 1, &["streams are whole and in order", "own whole answer"] },
    not_as_made = { complete(200, true, "y"), kind(false, false), 1, &["plain answers are as made"] },
    denied = { complete(404, false, ""), kind(false, false), 0, &["proper requests are allowed"] },
    cut_without_fault = { truncated("id: 1\ndata: piece 1\n\n"), kind(true, false), 1, &["no planned change cuts"] },
    cut_before_the_time_out = { truncated("id: 1\ndata: piece 1\n\n"), beside(600), 1, &["no planned change cuts"] },
    cut_after_the_time_out = { truncated("id: 1\ndata: piece 1\n\n"), beside(500), 1, &[] },
    cut_after_the_time_out_in_another_order = { truncated("id: 2\ndata: piece 2\n\n"), beside(500), 1, &["events in order"] },
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
        let late = vec![late; MIN_JUDGED as usize];
        let (violations, _) = check::check(&late, &[kind(false, false)], observations, timed);
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

#[parameterized(
    known = { 200, 1, None, &[] },
    just_removed = { 200, 1, Some(100), &[] },
    served_after_removal = { 200, 1, Some(4_000), &["removed keys stop"] },
    unknown_after_removal = { 401, 0, Some(4_000), &[] },
    unknown_before = { 401, 0, None, &["keys are known until removed"] },
    run_without_a_key = { 401, 1, Some(4_000), &["keys are known until removed"] },
)]
fn a_key_is_known_until_it_is_removed(
    status: u16,
    runs: usize,
    removed_ms: Option<u64>,
    expected: &[&str],
) {
    let now = Instant::now() + Duration::from_secs(10);
    let mut observations = Observations {
        revoked: removed_ms.map(|ms| now - Duration::from_millis(ms)),
        ..Observations::default()
    };
    observations.runs.insert("r1".to_owned(), vec![now; runs]);
    let asked = RequestRecord {
        key: Some(0),
        ..record(now, complete(status, status == 200, "x"))
    };
    let (violations, _) = check::check(&[asked], &[kind(false, false)], &observations, true);
    let found: Vec<_> = violations.iter().map(|found| found.guarantee).collect();
    assert_eq!(found, expected);
}

/// Guards against rejections of a removed key that count as a system that does not recover.
#[parameterized(
    all_served = { &[(1, 200), (0, 401)], Some(0), true },
    only_removed_keys = { &[(0, 401), (0, 401)], Some(0), true },
    known_key_rejected = { &[(1, 401), (0, 401)], Some(0), false },
    known_key_unserved = { &[(1, 503), (0, 401)], Some(0), false },
    removed_key_unserved = { &[(1, 200), (0, 503)], Some(0), false },
    rejected_before_removal = { &[(0, 401)], Some(30_000), false },
    rejected_without_removal = { &[(0, 401)], None, false },
    unserved_before_removal = { &[(0, 503)], Some(30_000), false },
)]
fn recovery_is_checked_without_requests_of_removed_keys(
    asked: &[(usize, u16)],
    removed_ms: Option<u64>,
    holds: bool,
) {
    let now = Instant::now();
    let observations = Observations {
        disruption_end: Some(now),
        revoked: removed_ms.map(|ms| now + Duration::from_millis(ms)),
        ..Observations::default()
    };
    let late = now + Duration::from_secs(20);
    let records = asked.iter().map(|(key, status)| RequestRecord {
        key: Some(*key),
        ..record(late, complete(*status, *status == 200, "x"))
    });
    let records = records.cycle().take(asked.len() * MIN_JUDGED as usize);
    let records: Vec<RequestRecord> = records.collect();
    let (violations, _) = check::check(&records, &[kind(false, false)], &observations, true);
    let recovers = violations
        .iter()
        .all(|violation| violation.guarantee != "recovers");
    assert_eq!(recovers, holds, "{violations:?}");
}

/// Guards against a system that does not recover as some callers left, or as the share is of a few
/// requests; what was cut, refused or not answered counts as before.
#[parameterized(
    one_of_twenty = { 19, 1, 0, Some(true) },
    two_of_twenty = { 18, 2, 0, Some(false) },
    callers_left = { 20, 0, 5, Some(true) },
    too_many_beside_callers_that_left = { 19, 2, 40, Some(false) },
    too_few = { 10, 9, 30, None },
    only_callers_that_left = { 0, 0, 40, None },
)]
fn a_share_of_enough_requests_whose_callers_stay_must_be_served(
    served: usize,
    cut: usize,
    left: usize,
    holds: Option<bool>,
) {
    let now = Instant::now();
    let observations = Observations {
        disruption_end: Some(now),
        ..Observations::default()
    };
    let due = now + Duration::from_secs(20);
    let has_left = Outcome::Left {
        status: 200,
        body: Vec::new(),
    };
    let records = [
        vec![record(due, complete(200, true, "x")); served],
        vec![record(due, truncated("x")); cut],
        vec![record(due, has_left); left],
    ];
    let judged = recovery::judge(&records.concat(), &observations);
    assert_eq!(judged.map(|recovery| recovery.holds), holds);
}

/// Guards against a run that ends before enough requests are judged, whatever its seed.
#[test]
fn enough_requests_are_sent_after_the_recovery() {
    for seed in 0..1_000 {
        let load = LoadSpec {
            length: Duration::from_secs(40),
            rate: 7.0,
            bursts: Vec::new(),
            kinds: load::kinds(),
            seed,
            keys: Vec::new(),
            unusual: 0.0,
        };
        let sent = recovery::load_after(&load).arrivals().len();
        assert!(sent >= 2 * MIN_JUDGED as usize, "seed {seed}: {sent}");
    }
}

#[parameterized(
    right = { 40, false, true },
    nearly = { 37, false, true },
    low = { 35, false, false },
    high = { 45, false, false },
    low_near_a_fault = { 35, true, true },
)]
fn a_report_is_compared_with_the_runs(reported: u64, fault: bool, holds: bool) {
    let now = Instant::now();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix = unix.expect("the clock is set");
    let window = unix.as_secs() / WINDOW_S - 5;
    let middle = Duration::from_secs(window * WINDOW_S) + Duration::from_secs(WINDOW_S) / 2;
    let middle = now - unix.saturating_sub(middle);
    let asked = RequestRecord {
        key: Some(1),
        ..record(middle, complete(200, true, "x"))
    };
    let mut observations = Observations::default();
    observations.runs.insert("r1".to_owned(), vec![middle; 40]);
    let report = (json!({ "acme": reported }), 1);
    observations.reports.insert(window, report);
    if fault {
        observations.faults.push((middle, middle));
    }
    let (violations, _) = check::check(&[asked], &[kind(false, false)], &observations, true);
    assert_eq!(violations.is_empty(), holds, "{violations:?}");
}

/// A target that sends an answer twice has spoilt the attempt that met the copy.
#[parameterized(
    all_runs = { [true, true], &[] },
    one_run = { [true, false], &["no planned change cuts"] },
)]
fn a_cut_is_excused_where_each_run_met_a_copy(copied: [bool; 2], expected: &[&str]) {
    let now = Instant::now();
    let mut observations = Observations::default();
    observations.runs.insert("r1".to_owned(), vec![now; 2]);
    let runs = copied.map(|copied| Made {
        copied,
        ..made(now)
    });
    observations.made.insert("r1".to_owned(), runs.to_vec());
    let record = record(now, truncated("id: 1\ndata: piece 1\n\n"));
    let (violations, _) = check::check(&[record], &[kind(true, false)], &observations, false);
    let names: Vec<&str> = violations.iter().map(|found| found.guarantee).collect();
    assert_eq!(names, expected);
}
