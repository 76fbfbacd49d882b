//! The right to give orders ends before another process can get it.

use cactuslane_authority::leader_term::{LeaderTerm, lease_valid_until};

/// The time to live of the lease, in milliseconds.
const TTL: u64 = 4_000;
/// The time that must lie between orders of two holders, in milliseconds.
const GAP: u64 = 3_300;

#[test]
fn nothing_is_ordered_before_the_old_holder_is_silent() {
    let term = LeaderTerm::acquired(9, 1_000, 500, 4_400);
    assert!(!term.may_order(1_499));
    assert!(term.may_order(1_500));
}

#[test]
fn nothing_is_ordered_after_the_lease_may_have_lapsed() {
    let mut term = LeaderTerm::acquired(9, 0, 0, lease_valid_until(0, TTL));
    assert!(term.may_order(3_399));
    assert!(!term.may_order(3_400) && term.is_expired(3_400));
    term.renewed(2_000, TTL);
    assert!(term.may_order(5_399));
    // An answer that comes late takes nothing back.
    term.renewed(1_000, TTL);
    assert!(term.may_order(5_399));
}

#[test]
fn a_suspended_holder_wakes_without_authority() {
    let term = LeaderTerm::acquired(9, 0, 0, lease_valid_until(0, TTL));
    assert!(!term.may_order(60_000));
}

/// Whatever the delays of renewals are, the last order of a holder and the first of the next one
/// are a gap apart, even where the store takes the first one's keys away at once.
#[test]
fn holders_never_order_within_the_gap() {
    for cut in (0..8_000).step_by(100) {
        // The holder renews every 1.3 s until it is cut off, and its keys go at that moment.
        let mut first = LeaderTerm::acquired(5, 0, 0, lease_valid_until(0, TTL));
        for sent in (0..cut).step_by(1_300) {
            first.renewed(sent, TTL);
        }
        let second = LeaderTerm::acquired(6, cut, GAP + TTL, cut + 60_000);
        let last = (0..30_000)
            .rev()
            .find(|now| first.may_order(*now))
            .unwrap_or(0);
        let next = (0..30_000)
            .find(|now| second.may_order(*now))
            .expect("it may at some time");
        assert!(next >= last + GAP, "cut at {cut}: {last} and {next}");
    }
}
