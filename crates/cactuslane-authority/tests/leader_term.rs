//! A leader's term ends before the next leader can send orders.

use cactuslane_authority::leader_term::{LeaderTerm, lease_valid_until};

/// Time to live of the lease, in milliseconds.
const TTL: u64 = 4_000;
/// Minimum time between the orders of two leaders, in milliseconds.
const GAP: u64 = 3_300;

#[test]
fn no_order_is_sent_before_the_previous_leaders_orders_have_arrived() {
    let term = LeaderTerm::acquired(9, 1_000, 500, 4_400);
    assert!(!term.may_order(1_499));
    assert!(term.may_order(1_500));
}

#[test]
fn no_order_is_sent_after_the_lease_may_have_lapsed() {
    let mut term = LeaderTerm::acquired(9, 0, 0, lease_valid_until(0, TTL));
    assert!(term.may_order(3_399));
    assert!(!term.may_order(3_400) && term.is_expired(3_400));
    term.renewed(2_000, TTL);
    assert!(term.may_order(5_399));
    // A late answer to an older renewal does not shorten the term.
    term.renewed(1_000, TTL);
    assert!(term.may_order(5_399));
}

#[test]
fn a_leader_resuming_after_suspension_may_not_order() {
    let term = LeaderTerm::acquired(9, 0, 0, lease_valid_until(0, TTL));
    assert!(!term.may_order(60_000));
}

/// Guards against orders of two leaders within [`GAP`]: however old the first leader's last renewal
/// is, and even if the store deletes its keys as soon as it is cut off.
#[test]
fn orders_of_two_leaders_are_a_gap_apart() {
    for cut in (0..8_000).step_by(100) {
        // The first leader renews every 1.3 s until it is cut off, when its keys are deleted.
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
            .expect("the second leader may order eventually");
        assert!(
            next >= last + GAP,
            "cut off at {cut} ms: last order at {last} ms, next leader's first at {next} ms"
        );
    }
}
