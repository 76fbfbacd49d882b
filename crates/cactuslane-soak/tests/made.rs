//! Answers are judged by what targets that run as processes made.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_platform_standin::process::Framing;
use cactuslane_platform_standin::script::event_count;
use cactuslane_soak::check::{self, Observations};
use cactuslane_soak::figures::StreamFigures;
use cactuslane_soak::load::{Outcome, RequestKind, RequestRecord, TakenUp};
use cactuslane_soak::made::{Made, Sources};
use cactuslane_soak::plan::{self, Action};
use tokio::time::Instant;
use yare::parameterized;

/// Returns the text of an event of a run.
fn event(run: &str, id: u64) -> String {
    format!("id: {id}\ndata: piece {id} of {run}\n\n")
}

/// Returns the id of a request that begins a stream of 8 events.
fn request() -> String {
    let ids = (1..).map(|number| format!("r{number}"));
    let found = ids.into_iter().find(|id| event_count(id) == 8);
    found.expect("the ids do not end")
}

/// Returns a run that made the events from `after` to `last`.
fn made(run: &str, after: u64, last: u64) -> Made {
    let events: BTreeMap<u64, String> = (after + 1..=last).map(|id| (id, event(run, id))).collect();
    Made {
        target: run.to_owned(),
        run: run.to_owned(),
        version: "v1".to_owned(),
        at: Instant::now(),
        after,
        framing: Framing::Close,
        copied: false,
        events,
        tail: String::new(),
        body: None,
        ended: last == 8,
        broken: false,
    }
}

/// Returns a body of the events with the ids of runs.
fn body(parts: &[(&str, std::ops::RangeInclusive<u64>)]) -> String {
    let events = |(run, ids): &(&str, std::ops::RangeInclusive<u64>)| {
        ids.clone().map(|id| event(run, id)).collect::<String>()
    };
    parts.iter().map(events).collect()
}

#[parameterized(
    of_one_run = { &[("a", 1..=8)], true, true },
    of_a_run_that_was_not_resumed = { &[("c", 1..=8)], false, true },
    resumed = { &[("a", 1..=3), ("b", 4..=8)], true, true },
    resumed_twice = { &[("a", 1..=3), ("b", 4..=5), ("d", 6..=8)], true, true },
    joined_with_a_run_of_the_same_beginning = { &[("a", 1..=4), ("c", 5..=8)], true, false },
    resumed_and_without_its_end = { &[("a", 1..=3), ("b", 4..=7)], true, false },
    joined_though_not_resumable = { &[("a", 1..=3), ("b", 4..=8)], false, false },
    joined_at_another_event = { &[("a", 1..=5), ("b", 6..=8)], true, false },
    without_its_end = { &[("a", 1..=3)], true, false },
    empty = { &[], true, false },
    with_a_gap = { &[("a", 1..=2), ("a", 4..=8)], true, false },
    with_an_event_twice = { &[("a", 1..=3), ("a", 3..=8)], true, false },
    with_an_event_twice_by_another_run = { &[("a", 1..=4), ("b", 4..=8)], true, false },
    out_of_order = { &[("a", 1..=1), ("a", 3..=3), ("a", 2..=2), ("a", 4..=8)], true, false },
    not_made = { &[("e", 1..=8)], true, false },
    beyond_its_end = { &[("a", 1..=8), ("a", 8..=8)], true, false },
)]
fn a_stream_is_whole_if_each_event_was_made_in_turn(
    parts: &[(&str, std::ops::RangeInclusive<u64>)],
    resumable: bool,
    whole: bool,
) {
    let made = [
        made("a", 0, 8),
        made("b", 3, 8),
        made("c", 0, 8),
        made("d", 5, 8),
    ];
    let sources = Sources {
        made: &made,
        count: 8,
        resumable,
        last: 0,
    };
    let result = sources.check_whole(body(parts).as_bytes());
    assert_eq!(result.is_ok(), whole, "{result:?}");
}

#[parameterized(
    within_an_event = { "id: 1\ndata: piece 1 of a\n\nid: 2\nda", true },
    between_events = { "id: 1\ndata: piece 1 of a\n\n", true },
    of_another_request = { "id: 1\ndata: piece 1 of a\n\nid: 2\ndata: x", false },
)]
fn a_cut_stream_is_the_beginning_of_what_was_made(body: &str, in_order: bool) {
    let made = [made("a", 0, 8)];
    let sources = Sources {
        made: &made,
        count: 8,
        resumable: true,
        last: 0,
    };
    let result = sources.follow(body.as_bytes());
    assert_eq!(result.is_ok(), in_order, "{result:?}");
}

#[parameterized(
    all = { ": end\n\n", true, true },
    none = { "", true, false },
    a_part = { ": e", true, false },
    other_lines = { ": and\n\n", false, false },
    lines_of_a_run_that_ended_elsewhere = { "\n", false, false },
)]
fn a_stream_is_whole_with_the_lines_after_its_last_event(end: &str, in_order: bool, whole: bool) {
    let ends = |run: Made, tail: &str| Made {
        tail: tail.to_owned(),
        ..run
    };
    let made = [
        ends(made("a", 0, 8), ": end\n\n"),
        ends(made("b", 3, 8), "\n"),
    ];
    let sources = Sources {
        made: &made,
        count: 8,
        resumable: true,
        last: 0,
    };
    let text = body(&[("a", 1..=8)]) + end;
    assert_eq!(sources.follow(text.as_bytes()).is_ok(), in_order);
    assert_eq!(sources.check_whole(text.as_bytes()).is_ok(), whole);
}

/// Returns the guarantees that the answer `outcome` to a request violates, whose only run was `run`,
/// at the time of a fault of its target if `disturbed` is set.
fn violated(outcome: Outcome, stream: bool, run: Made, disturbed: bool) -> Vec<&'static str> {
    violated_beside(outcome, stream, run, disturbed, None)
}

/// Does the same for a request of a route with a time-out, which took 500 ms.
fn violated_beside(
    outcome: Outcome,
    stream: bool,
    run: Made,
    disturbed: bool,
    timeout: Option<Duration>,
) -> Vec<&'static str> {
    let now = run.at;
    let record = RequestRecord {
        id: request(),
        kind: 0,
        key: None,
        front: None,
        due: now,
        ended: now + Duration::from_millis(500),
        first_byte: Some(now),
        outcome,
        taken_up: None,
    };
    let kind = RequestKind {
        path: "/a/1".to_owned(),
        weight: 1,
        stream,
        once: true,
        timeout,
        ..RequestKind::default()
    };
    let mut observations = Observations::default();
    observations.runs.insert(request(), vec![now]);
    if disturbed {
        let fault = (run.target.clone(), now, now);
        observations.process_faults.push(fault);
    }
    observations.made.insert(request(), vec![run]);
    let (violations, _) = check::check(&[record], &[kind], &observations, false);
    let names = violations.into_iter().map(|violation| violation.guarantee);
    names.collect()
}

/// Returns the result of a complete answer.
fn complete(status: u16, body: String) -> Outcome {
    Outcome::Whole {
        status,
        signed: true,
        body: body.into_bytes(),
    }
}

#[test]
fn a_stream_that_its_target_did_not_end_is_not_whole() {
    let short = complete(200, body(&[("a", 1..=3)]));
    let expected = ["streams are whole and in order", "own whole answer"];
    assert_eq!(violated(short, true, made("a", 0, 3), true), expected);
    let whole = complete(200, body(&[("a", 1..=8)]));
    assert!(violated(whole, true, made("a", 0, 8), true).is_empty());
}

#[parameterized(
    whole = { "all", true },
    short = { "al", false },
    empty = { "", false },
)]
fn a_plain_answer_is_the_body_that_was_made(body: &str, holds: bool) {
    let mut run = made("a", 0, 0);
    run.body = Some("all".to_owned());
    let expected: &[&str] = if holds {
        &[]
    } else {
        &["plain answers are as made"]
    };
    assert_eq!(
        violated(complete(200, body.to_owned()), false, run, true),
        expected
    );
}

#[parameterized(
    after_the_time_out = { 504, 400, true },
    before_it = { 504, 600, false },
    not_run = { 503, 400, false },
)]
fn an_answer_without_a_length_is_withheld_only_after_the_time_out(
    status: u16,
    timeout: u64,
    allowed: bool,
) {
    let mut run = made("a", 0, 0);
    run.body = Some("all".to_owned());
    run.ended = true;
    let timeout = Some(Duration::from_millis(timeout));
    let names = violated_beside(complete(status, String::new()), false, run, false, timeout);
    let guarantee = "answers without a length are served";
    assert_eq!(!names.contains(&guarantee), allowed, "{names:?}");
}

#[test]
fn an_answer_without_a_length_is_withheld_only_near_a_fault_of_its_target() {
    let mut run = made("a", 0, 0);
    run.body = Some("all".to_owned());
    run.ended = true;
    let refused = || complete(502, String::new());
    let expected = ["answers without a length are served"];
    assert_eq!(violated(refused(), false, run.clone(), false), expected);
    assert!(violated(refused(), false, run, true).is_empty());
    let cut = Outcome::Cut {
        status: Some(200),
        body: body(&[("a", 1..=3)]).into_bytes(),
    };
    let expected = [
        "answers without a length are served",
        "no planned change cuts",
    ];
    let run = made("a", 0, 8);
    assert_eq!(violated(cut.clone(), true, run.clone(), false), expected);
    assert!(violated(cut, true, run, true).is_empty());
}

#[test]
fn faults_of_a_target_process_do_not_overlap_and_leave_planned_changes_alone() {
    let length = Duration::from_secs(30);
    let mut disturbed = 0;
    for seed in 0..40 {
        let steps = plan::draw(seed, length, 4, 8);
        let limited = |action: &Action| matches!(action, Action::Limit(..));
        let planned = |action: &Action| action.is_planned() || limited(action);
        let planned_only = steps.iter().all(|step| planned(&step.action));
        let faults = plan::draw_processes(seed, length, 4);
        assert_eq!(faults, plan::draw_processes(seed, length, 4));
        assert_eq!(faults.is_empty(), planned_only, "seed {seed}");
        disturbed += faults.len();
        let mut ends = BTreeMap::new();
        for step in faults {
            let Action::Process(process, _, time) = step.action else {
                panic!("not a fault of a process: {step:?}");
            };
            let end = ends.insert(process, step.at + time);
            assert!(end.is_none_or(|end| end < step.at), "seed {seed}");
        }
    }
    assert!(disturbed > 100);
}

/// Guards against a stream of two versions that the checks take for whole, over the attempts of its
/// caller and within one answer.
#[parameterized(
    of_one_version = { "v2", "v2", false, &[] },
    taken_up_at_another = { "v1", "v2", false, &["streams that are taken up go on at their version"] },
    joined_in_one_answer = { "v2", "v1", true, &["streams are of one version"] },
)]
fn a_stream_is_of_one_version(first: &str, second: &str, joined: bool, expected: &[&'static str]) {
    let now = Instant::now();
    let run = |run: &str, version: &str, after| Made {
        version: version.to_owned(),
        ..made(run, after, 8)
    };
    let record = |id: &str, outcome, taken_up| RequestRecord {
        id: id.to_owned(),
        kind: 0,
        key: None,
        front: None,
        due: now,
        ended: now + Duration::from_millis(500),
        first_byte: Some(now),
        outcome,
        taken_up,
    };
    let kind = RequestKind {
        path: "/a/1".to_owned(),
        weight: 1,
        stream: true,
        once: false,
        ..RequestKind::default()
    };
    let mut observations = Observations::default();
    observations.faults.push((now, now));
    let mut add = |id: &str, made: Vec<Made>| {
        let times = made.iter().map(|run| run.at).collect();
        observations.runs.insert(id.to_owned(), times);
        observations.made.insert(id.to_owned(), made);
    };
    let records = if joined {
        add(&request(), vec![run("a", first, 0), run("b", second, 3)]);
        let parts = [("a", 1..=3), ("b", 4..=8)];
        vec![record(&request(), complete(200, body(&parts)), None)]
    } else {
        add(&request(), vec![run("a", first, 0)]);
        add("next", vec![run("b", second, 3)]);
        let cut = Outcome::Cut {
            status: Some(200),
            body: body(&[("a", 1..=3)]).into_bytes(),
        };
        let part = TakenUp {
            stream: request(),
            last: 3,
        };
        let rest = complete(200, body(&[("b", 4..=8)]));
        vec![
            record(&request(), cut, None),
            record("next", rest, Some(part)),
        ]
    };
    let (violations, _) = check::check(&records, &[kind], &observations, false);
    let names = violations.iter().map(|violation| violation.guarantee);
    assert_eq!(names.collect::<Vec<_>>(), expected, "{violations:?}");
}

/// Returns the run with its events without ids.
fn without_ids(run: Made) -> Made {
    let strip = |(id, text): (u64, String)| (id, text.split_once('\n').unwrap().1.to_owned());
    let events = run.events.into_iter().map(strip).collect();
    Made { events, ..run }
}

// Guards against a stream that begins again as no id tells where it broke off.
#[parameterized(
    of_one_run = { &[("a", 1..=8)], true },
    begun_again = { &[("a", 1..=3), ("b", 1..=8)], false },
    begun_again_and_gone_on = { &[("a", 1..=3), ("b", 4..=8)], false },
)]
fn a_stream_without_ids_is_of_one_run(parts: &[(&str, std::ops::RangeInclusive<u64>)], ok: bool) {
    let made = [made("a", 0, 8), made("b", 0, 8)].map(without_ids);
    let text = |(run, ids): &(&str, std::ops::RangeInclusive<u64>)| {
        let event = |id: u64| format!("data: piece {id} of {run}\n\n");
        ids.clone().map(event).collect::<String>()
    };
    let body: String = parts.iter().map(text).collect();
    let sources = Sources {
        made: &made,
        count: 8,
        resumable: false,
        last: 0,
    };
    assert_eq!(sources.check_whole(body.as_bytes()).is_ok(), ok);
}

#[test]
fn situations_of_streams_are_counted() {
    let made = BTreeMap::from([
        ("r1".to_owned(), vec![made("a", 0, 3), made("b", 3, 8)]),
        ("r1-1".to_owned(), vec![made("c", 5, 8)]),
        ("r2".to_owned(), vec![without_ids(made("d", 0, 4))]),
        ("r3".to_owned(), vec![made("e", 0, 45)]),
    ]);
    let figures = StreamFigures {
        resumed: 1,
        long: 1,
        unnumbered: 1,
        unnumbered_cut: 1,
        stopped: 0,
    };
    assert_eq!(StreamFigures::of(&made), figures);
}
