//! Probes are judged by the configurations that may be in force, and by the time-outs of their
//! routes.

use std::time::Duration;

use cactuslane_soak::plan::{self, Action, Behind, PlanStep, Release, draw_silences};
use cactuslane_soak::probes::{Probe, ProbeLog, Route, Routes, judge};
use tokio::time::Instant;
use yare::parameterized;

/// Time of the change in milliseconds since the start.
const CHANGED_MS: u64 = 10_000;

/// Returns the record of a probe, in milliseconds since the start.
fn probe(start: Instant, route: Route, sent_ms: u64, took_ms: u64, status: Option<u16>) -> Probe {
    let sent = start + Duration::from_millis(sent_ms);
    Probe {
        id: "probe-1".to_owned(),
        instance: 1,
        route,
        process_since: start,
        sent,
        ended: sent + Duration::from_millis(took_ms),
        status,
    }
}

/// Returns the log of probes around a change of all routes.
fn log(start: Instant, probes: Vec<Probe>) -> ProbeLog {
    let routes = Routes {
        added: true,
        moved: true,
        timeout_ms: 2_500,
        idle_ms: 4_000,
    };
    let changed = start + Duration::from_millis(CHANGED_MS);
    ProbeLog {
        versions: vec![(start, Routes::default()), (changed, routes)],
        probes,
        faults: Vec::new(),
        cuts: Vec::new(),
    }
}

/// Returns the guarantees that a log violates.
fn violated(log: &ProbeLog, timed: bool) -> Vec<&'static str> {
    let findings = judge(log, timed).into_iter();
    let broken = findings.filter(|finding| !finding.holds);
    broken.map(|finding| finding.guarantee).collect()
}

/// Guards against checks that miss a configuration that comes into force late, or a proper request
/// that is turned away.
#[parameterized(
    added_in_time = { Route::Added, 12_100, Some(200), &[] },
    absent_in_time = { Route::Added, 11_900, Some(404), &[] },
    absent_too_long = { Route::Added, 12_100, Some(404), &["changes are in force in time"] },
    served_before_it_is_there = { Route::Added, 9_000, Some(200), &["changes are in force in time"] },
    moved_in_time = { Route::Moved, 12_100, Some(503), &[] },
    run_at_the_old_service = { Route::Moved, 12_100, Some(200), &["changes are in force in time"] },
    run_before_the_move = { Route::Moved, 11_900, Some(200), &[] },
    steady_absent = { Route::Steady, 9_000, Some(404), &["proper requests are allowed"] },
    steady_forbidden = { Route::Steady, 9_000, Some(403), &["proper requests are allowed"] },
    steady_limited = { Route::Steady, 9_000, Some(429), &[] },
    added_forbidden = { Route::Added, 12_100, Some(401), &["proper requests are allowed"] },
    unanswered = { Route::Added, 12_100, None, &[] },
)]
fn a_probe_is_judged_by_the_configurations_that_may_be_in_force(
    route: Route,
    sent_ms: u64,
    status: Option<u16>,
    expected: &[&str],
) {
    let start = Instant::now();
    let log = log(start, vec![probe(start, route, sent_ms, 10, status)]);
    assert_eq!(violated(&log, true), expected);
}

#[test]
fn an_instance_out_of_touch_may_be_late_but_may_not_turn_away() {
    let start = Instant::now();
    let absent = |route| probe(start, route, 14_000, 10, Some(404));
    let mut log = log(start, vec![absent(Route::Added), absent(Route::Steady)]);
    let fault = start + Duration::from_millis(11_500);
    let cases: [(Option<usize>, u64, bool); 4] = [
        (Some(1), 0, true),
        (None, 0, true),
        (Some(2), 0, false),
        (Some(1), 4_000, false),
    ];
    for (instance, before_ms, excused) in cases {
        let at = fault - Duration::from_millis(before_ms);
        log.faults = vec![(instance, at, at)];
        let late = violated(&log, true).contains(&"changes are in force in time");
        assert_eq!(late, !excused, "{instance:?} {before_ms} ms before");
        assert!(violated(&log, true).contains(&"proper requests are allowed"));
    }
}

/// Guards against an old configuration that shows only at instances whose requests others serve, as
/// they have no links to targets.
#[test]
fn an_instance_without_links_to_targets_may_be_late_but_not_behind() {
    let start = Instant::now();
    let from = start + Duration::from_secs(4);
    let waiting = probe(start, Route::Steady, 5_000, 900, Some(504));
    let mut log = log(start, vec![waiting; 8]);
    log.cuts = vec![(1, from, from + Duration::from_secs(12))];
    assert_eq!(violated(&log, true), Vec::<&str>::new());
    let cut = std::mem::take(&mut log.cuts);
    assert_eq!(violated(&log, true), ["time-outs are kept"]);
    log.cuts = cut;
    log.probes = vec![probe(start, Route::Added, 14_000, 10, Some(404))];
    assert_eq!(violated(&log, true), ["changes are in force in time"]);
}

#[test]
fn a_change_that_one_instance_does_not_read_is_beside_one_that_passes_requests_on() {
    let (length, mut drawn) = (Duration::from_secs(40), 0);
    for seed in 0..100 {
        let release = Release::draw(seed, length, 7, &[0, 1]);
        let Some(behind) = Behind::draw(seed, length, 7, release.as_ref()) else {
            continue;
        };
        drawn += 1;
        assert!(release.is_none_or(|release| release.until <= behind.from));
        assert!(behind.until <= length.mul_f64(0.7));
        assert_ne!(behind.blind, behind.cut);
        let mut steps = plan::draw(seed, length, 7, 4);
        steps.extend(plan::draw_paths(seed, length, 7));
        behind.join(&mut steps);
        let ends = |step: &&PlanStep| {
            let end = step.at + step.action.duration();
            let is_beside = step.at < behind.until && end >= behind.from;
            is_beside && matches!(step.action, Action::KillAll(_) | Action::Store(..))
        };
        assert_eq!(steps.iter().find(ends), None, "seed {seed}");
        let changes = steps.iter().filter(|step| {
            let is_beside = (behind.from..behind.until).contains(&step.at);
            is_beside && matches!(step.action, Action::Change(_))
        });
        assert_eq!(changes.count(), 1, "seed {seed}");
    }
    assert!((20..60).contains(&drawn), "{drawn}");
    assert_eq!(Behind::draw(1, Duration::from_secs(8), 7, None), None);
}

/// Guards against checks that miss requests which outlast the time-out of their route.
#[parameterized(
    answered_in_the_slack = { 10, 750, 0, true },
    half = { 3, 750, 3, true },
    more_than_half = { 3, 750, 4, false },
    few_of_many = { 30, 750, 7, true },
    over_a_quarter = { 20, 750, 8, false },
    not_waiting = { 0, 250, 0, true },
)]
fn late_answers_are_counted(count: usize, took_ms: u64, late: usize, holds: bool) {
    let start = Instant::now();
    let waiting = |took_ms| probe(start, Route::Steady, 5_000, took_ms, Some(504));
    let mut probes = vec![waiting(took_ms); count];
    probes.extend(vec![waiting(900); late]);
    assert_eq!(violated(&log(start, probes), true).is_empty(), holds);
}

#[test]
fn each_silence_is_beside_a_change() {
    let steps = draw_silences(1, Duration::from_secs(30), 3);
    let counts: Vec<usize> = steps
        .iter()
        .filter_map(|step| match step.action {
            Action::Silence(count, _) => Some(count),
            _ => None,
        })
        .collect();
    assert_eq!(counts.len() * 2, steps.len());
    assert!(counts.contains(&2) && counts.contains(&3), "{counts:?}");
}
