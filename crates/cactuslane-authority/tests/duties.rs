//! Calls to the platform keep its rate, wait for each other and after failures, and never carry a
//! lower token.

use std::collections::VecDeque;

use cactuslane_authority::duties::{CallEnd, CallGate, Denial};
use cactuslane_authority::leader_term::{LeaderTerm, lease_valid_until};
use yare::parameterized;

/// Subject of most calls.
const SUBJECT: &str = "usage";
/// Number of calls a second that is not reached.
const HIGH_RATE: f64 = 1_000.0;
/// Time to live of the leader's lease, in milliseconds.
const TTL: u64 = 4_000;
/// Minimum time between the calls of two holders, in milliseconds.
const GAP: u64 = 3_300;

#[parameterized(
    slow = { 1.5 },
    usual = { 10.0 },
    fast = { 37.0 },
)]
fn no_second_has_more_calls_than_the_rate(rate: f64) {
    let mut gate = CallGate::default();
    let mut recent = VecDeque::new();
    let mut made = 0;
    for now in 0..60_000 {
        let subject = format!("scale/{}", now % 7);
        if gate.begin(&subject, 5, rate, now).is_err() {
            continue;
        }
        gate.end(&subject, CallEnd::Answered, now);
        made += 1;
        recent.push_back(now);
        while recent.front().is_some_and(|at| at + 1_000 <= now) {
            recent.pop_front();
        }
        assert!(recent.len() as f64 <= rate.max(1.0).ceil(), "{recent:?}");
    }
    assert!(f64::from(made) >= 60.0 * rate * 0.45, "{made} calls");
}

#[test]
fn calls_of_one_subject_wait_for_each_other_and_others_do_not() {
    let mut gate = CallGate::default();
    assert_eq!(gate.begin(SUBJECT, 5, HIGH_RATE, 0), Ok(()));
    assert_eq!(
        gate.begin(SUBJECT, 5, HIGH_RATE, 9_000),
        Err(Denial::InFlight)
    );
    assert_eq!(gate.begin("scale/chat/a", 5, HIGH_RATE, 9_000), Ok(()));
    gate.end(SUBJECT, CallEnd::Answered, 9_000);
    assert_eq!(gate.begin(SUBJECT, 5, HIGH_RATE, 9_000), Ok(()));
}

#[test]
fn pauses_after_failures_grow_to_a_bound_and_end_with_an_answer() {
    let mut gate = CallGate::default();
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..40 {
        gate.begin(SUBJECT, 5, HIGH_RATE, now).unwrap();
        gate.end(SUBJECT, CallEnd::Failed, now);
        let Err(Denial::Wait(wait)) = gate.begin(SUBJECT, 5, HIGH_RATE, now) else {
            panic!("a call follows a failed one at once");
        };
        // Other subjects do not wait.
        assert_eq!(gate.begin("other", 5, HIGH_RATE, now), Ok(()));
        gate.end("other", CallEnd::Answered, now);
        pauses.push(wait);
        now += wait;
    }
    assert_eq!(pauses[..4], [300, 600, 1_200, 2_400]);
    assert!(pauses[4..].iter().all(|pause| *pause == 4_000));
    gate.begin(SUBJECT, 5, HIGH_RATE, now).unwrap();
    gate.end(SUBJECT, CallEnd::Answered, now);
    assert_eq!(gate.begin(SUBJECT, 5, HIGH_RATE, now), Ok(()));
}

#[test]
fn all_subjects_wait_after_a_call_too_many() {
    let mut gate = CallGate::default();
    gate.begin(SUBJECT, 5, HIGH_RATE, 0).unwrap();
    gate.end(SUBJECT, CallEnd::Limited, 0);
    assert_eq!(
        gate.begin("other", 5, HIGH_RATE, 100),
        Err(Denial::Wait(200))
    );
    assert_eq!(gate.begin("other", 5, HIGH_RATE, 300), Ok(()));
}

#[test]
fn no_call_carries_a_lower_token_than_an_earlier_one() {
    let mut gate = CallGate::default();
    gate.begin(SUBJECT, 9, HIGH_RATE, 0).unwrap();
    gate.end(SUBJECT, CallEnd::Answered, 0);
    assert_eq!(gate.begin(SUBJECT, 8, HIGH_RATE, 0), Err(Denial::OldToken));
    assert_eq!(gate.begin("other", 8, HIGH_RATE, 0), Err(Denial::OldToken));
    assert_eq!(gate.begin(SUBJECT, 10, HIGH_RATE, 0), Ok(()));
}

/// Plays two instances that take the leadership from each other as often as the store allows: the
/// calls of one never carry a lower token than those of the other before, and the order A, B, A
/// takes longer than [`GAP`], whether leases lapse or are given up.
#[parameterized(
    lapses = { false },
    gives_up = { true },
)]
fn calls_of_two_holders_do_not_cross(gives_up: bool) {
    for cut in (0..8_000).step_by(90) {
        let mut calls: Vec<(u64, usize, u64)> = Vec::new();
        let mut acquired = 0;
        for turn in 0..6 {
            let holder = turn % 2;
            let mut term = LeaderTerm::acquired(
                acquired + 1,
                acquired,
                if turn == 0 { 0 } else { GAP + TTL },
                lease_valid_until(acquired, TTL),
            );
            // The holder renews every 1.3 s until it is cut off from the store.
            let end = acquired + cut;
            let mut renewed = acquired;
            for sent in (acquired..end).step_by(1_300) {
                term.renewed(sent, TTL);
                renewed = sent;
            }
            let lapse = if gives_up { end } else { renewed + TTL };
            for now in (acquired..lapse + 2 * TTL).step_by(50) {
                let has_given_up = gives_up && now >= end;
                if !has_given_up && term.may_call(now, TTL) {
                    calls.push((now, holder, term.fencing));
                }
            }
            acquired = lapse;
        }
        calls.sort_unstable();
        assert!(calls.is_sorted_by_key(|(_, _, token)| *token), "{calls:?}");
        for (first, a, _) in &calls {
            let later = calls.iter().filter(|(at, ..)| *at > *first);
            let mut other = false;
            for (at, b, _) in later {
                other |= a != b;
                assert!(
                    !other || a != b || *at > first + GAP,
                    "cut {cut}: {calls:?}"
                );
            }
        }
    }
}

#[test]
fn a_holder_that_was_paused_past_its_lease_makes_no_call() {
    let mut term = LeaderTerm::acquired(9, 0, 0, lease_valid_until(0, TTL));
    term.renewed(1_300, TTL);
    assert!(term.may_call(4_699, TTL));
    assert!(!term.may_call(4_700, TTL));
    assert!(!term.may_call(60_000, TTL));
}

#[test]
fn a_new_holder_waits_for_the_gap_only() {
    let term = LeaderTerm::acquired(9, 1_000, GAP + TTL, 60_000);
    assert!(!term.may_call(1_000 + GAP - 1, TTL));
    assert!(term.may_call(1_000 + GAP, TTL));
    assert!(!term.may_order(1_000 + GAP));
}
