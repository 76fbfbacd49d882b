//! The rules, one by one.

use std::time::Duration;

use cactuslane_place::{Admission, AdmissionRequest, Decision, RefusalCause, ShareReport, Verdict};
use cactuslane_types::Millis;
use yare::parameterized;

/// A request with an objective of 200 ms and a deadline of 2 s that takes 20 ms.
const REQUEST: AdmissionRequest<'_> = AdmissionRequest {
    customer: None,
    priority: 1,
    fingerprint: 0,
    work: 20.0,
    service_ms: 20.0,
    wait_ms: 0.0,
    target_ms: 20.0,
    rivals: 0.0,
    view_age: Duration::ZERO,
    stated: None,
    waited: Duration::ZERO,
    objective: Duration::from_millis(200),
    left: Duration::from_secs(2),
};

/// Returns a service under sustained pressure, and the time.
fn pressed() -> (Admission, Millis) {
    let mut admission = Admission::new(1);
    for step in 0..20 {
        let request = AdmissionRequest {
            wait_ms: 600.0,
            ..REQUEST
        };
        let verdict = admission.decide(&request, None, step * 50);
        if let Some(waiting) = verdict.waiting {
            admission.leave(waiting.ticket);
        }
    }
    (admission, 1_000)
}

/// Returns the time after which a refused caller is to return.
fn refused(verdict: &Verdict) -> Option<(Duration, RefusalCause)> {
    match verdict.decision {
        Decision::Refuse { after, cause } => Some((after, cause)),
        _ => None,
    }
}

#[test]
fn a_request_runs_at_once_without_pressure() {
    let mut admission = Admission::new(1);
    let verdict = admission.decide(&REQUEST, None, 0);
    assert_eq!(verdict.decision, Decision::Run);
    assert!(verdict.bound_ms.is_infinite());
}

#[test]
fn what_misses_its_deadline_is_refused_at_arrival() {
    let mut admission = Admission::new(1);
    let request = AdmissionRequest {
        wait_ms: 2_000.0,
        ..REQUEST
    };
    let (after, cause) = refused(&admission.decide(&request, None, 0)).expect("it is refused");
    assert_eq!(cause, RefusalCause::Deadline);
    assert!(after > Duration::ZERO && after <= request.left / 3);
}

#[test]
fn what_can_be_in_time_goes_before_what_cannot() {
    let (mut admission, now) = pressed();
    let wait_ms = 100.0;
    let in_time = AdmissionRequest { wait_ms, ..REQUEST };
    let late = AdmissionRequest {
        waited: Duration::from_millis(150),
        ..in_time
    };
    let verdict = admission.decide(&late, None, now);
    assert!(refused(&verdict).is_some(), "{verdict:?}");
    let verdict = admission.decide(&in_time, None, now);
    assert_eq!(verdict.decision, Decision::Run);
}

#[test]
fn what_is_late_runs_while_there_is_room() {
    let (mut admission, now) = pressed();
    let late = AdmissionRequest {
        waited: Duration::from_millis(500),
        wait_ms: 5.0,
        ..REQUEST
    };
    assert_eq!(admission.decide(&late, None, now).decision, Decision::Run);
}

#[test]
fn a_burst_makes_requests_wait_and_run() {
    let mut admission = Admission::new(1);
    let request = AdmissionRequest {
        wait_ms: 600.0,
        ..REQUEST
    };
    let mut now = 0;
    let mut waiting = None;
    let mut looks = 0;
    loop {
        let verdict = admission.decide(&request, waiting, now);
        let Decision::Wait(time) = verdict.decision else {
            assert_eq!(verdict.decision, Decision::Run);
            break;
        };
        now += time.as_millis() as Millis + 1;
        waiting = verdict.waiting;
        looks += 1;
    }
    assert!(looks <= 9, "{looks}");
    assert!((50..=150).contains(&now), "{now}");
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn the_queue_is_bounded() {
    let mut admission = Admission::new(1);
    let request = AdmissionRequest {
        wait_ms: 600.0,
        ..REQUEST
    };
    for _ in 0..200 {
        admission.decide(&request, None, 0);
    }
    assert_eq!(admission.waiting(), 64);
}

#[test]
fn a_waiting_request_that_goes_first_gets_the_room() {
    let (mut admission, now) = pressed();
    let urgent = AdmissionRequest {
        priority: 0,
        wait_ms: 150.0,
        ..REQUEST
    };
    let first = admission.decide(&urgent, None, now);
    assert!(matches!(first.decision, Decision::Wait(_)), "{first:?}");
    let with_room = AdmissionRequest {
        wait_ms: 60.0,
        ..REQUEST
    };
    let second = admission.decide(&with_room, None, now + 2);
    assert!(matches!(second.decision, Decision::Wait(_)), "{second:?}");
    let again = AdmissionRequest {
        wait_ms: 60.0,
        waited: Duration::from_millis(15),
        ..urgent
    };
    let first = admission.decide(&again, first.waiting, now + 15);
    assert_eq!(first.decision, Decision::Run);
    let second = admission.decide(&with_room, second.waiting, now + 17);
    assert_eq!(second.decision, Decision::Run);
}

#[test]
fn one_who_returns_in_time_goes_before_a_new_one_and_that_before_an_early_one() {
    let (mut admission, now) = pressed();
    let full = AdmissionRequest {
        fingerprint: 7,
        wait_ms: 900.0,
        left: Duration::from_millis(800),
        ..REQUEST
    };
    let (after, _) = refused(&admission.decide(&full, None, now)).expect("it is refused");
    let early = admission.decide(&full, None, now + 1);
    let new = AdmissionRequest {
        fingerprint: 8,
        ..full
    };
    let newcomer = admission.decide(&new, None, now + 2);
    let late = now + 3 + after.as_millis() as Millis * 2;
    let returned = admission.decide(&full, None, late);
    assert!(returned.rank < newcomer.rank && newcomer.rank < early.rank);
}

#[parameterized(
    long = { 9_000 },
    short = { 300 },
)]
fn refused_callers_return_at_different_times_and_better_ranks_sooner(left: Millis) {
    let (mut admission, now) = pressed();
    let left = Duration::from_millis(left);
    let mut times = Vec::new();
    for _ in 0..40 {
        let better = AdmissionRequest {
            wait_ms: 9_500.0,
            left,
            ..REQUEST
        };
        let worse = AdmissionRequest {
            priority: 4,
            ..better
        };
        let verdict = admission.clone().decide(&better, None, now);
        let (sooner, _) = refused(&verdict).expect("it is refused");
        let verdict = admission.decide(&worse, None, now);
        let (later, _) = refused(&verdict).expect("it is refused");
        assert!(sooner <= later, "{sooner:?} {later:?}");
        assert!(later <= left / 3, "{later:?}");
        times.push(later);
    }
    times.sort();
    times.dedup();
    assert!(times.len() > 30, "{times:?}");
}

#[test]
fn a_customer_beyond_its_share_is_refused_first() {
    let (mut admission, now) = pressed();
    let of = |customer: &'static str, wait_ms| AdmissionRequest {
        customer: Some(customer),
        wait_ms,
        ..REQUEST
    };
    for step in 0..50 {
        admission.decide(&of("large", 0.0), None, now + step);
    }
    for customer in ["a", "b", "c", "d"] {
        admission.decide(&of(customer, 0.0), None, now + 50);
    }
    let large = admission.decide(&of("large", 80.0), None, now + 60);
    let small = admission.decide(&of("a", 80.0), None, now + 60);
    assert!(
        large.share > 3.0 && small.share < 1.0,
        "{large:?} {small:?}"
    );
    assert!(matches!(large.decision, Decision::Wait(_)), "{large:?}");
    assert_eq!(small.decision, Decision::Run);
    admission.leave(large.waiting.expect("it waits").ticket);
    // It is not starved: it runs while there is room.
    let large = admission.decide(&of("large", 10.0), None, now + 61);
    assert_eq!(large.decision, Decision::Run);
}

/// Returns a report by which customer `large` has nearly all work.
fn report(number: u64) -> ShareReport {
    ShareReport {
        service: "models".to_owned(),
        version: (1, number),
        named: vec![("large".to_owned(), 10_000), ("a".to_owned(), 100)],
        rest: (0, 0),
        is_pressed: true,
    }
}

#[test]
fn reports_count_until_they_are_old_and_then_own_requests_alone() {
    let (mut admission, now) = pressed();
    assert!(admission.shares.apply("i2", report(2), now));
    assert!(!admission.shares.apply("i2", report(2), now + 1));
    assert!(!admission.shares.apply("i2", report(1), now + 1));
    let (share, age) = admission.shares.over("large", now + 2_900);
    assert!(share > 1.9, "{share}");
    assert_eq!(age, Some(2_900));
    assert_eq!(admission.shares.over("large", now + 3_200), (1.0, None));
}

#[test]
fn an_instance_reports_what_it_admitted_while_any_instance_is_short_of_room() {
    let mut admission = Admission::new(1);
    let request = AdmissionRequest {
        customer: Some("a"),
        work: 300.0,
        ..REQUEST
    };
    admission.decide(&request, None, 0);
    assert_eq!(admission.report("models", (7, 1), 10), None);
    admission.shares.apply("i2", report(1), 10);
    let sent = admission
        .report("models", (7, 1), 10)
        .expect("one is short of room");
    assert!(!sent.is_pressed);
    assert_eq!(sent.named.len(), 1);
    assert!((295..=300).contains(&sent.named[0].1), "{sent:?}");
    assert_eq!(admission.report("models", (7, 2), 4_000), None);
}

#[test]
fn a_report_names_the_largest_customers_and_sums_up_the_rest() {
    let (mut admission, now) = pressed();
    for number in 0..40_u32 {
        let name = format!("c{number:02}");
        let request = AdmissionRequest {
            customer: Some(&name),
            work: f64::from(number + 1) * 10.0,
            ..REQUEST
        };
        admission.decide(&request, None, now);
    }
    let report = admission
        .report("models", (7, 1), now)
        .expect("it is short of room");
    assert_eq!(report.named.len(), 16);
    assert_eq!(report.named[0], ("c39".to_owned(), 400));
    let rest: u32 = (1..=24).map(|number| number * 10).sum();
    assert_eq!(report.rest, (24, rest));
}
