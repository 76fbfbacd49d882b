//! Leadership: who may send orders, by the leader key, the lease and the era of the store.

mod contents;
mod exploration;

use cactuslane_gateway::leadership::{LeaderKey, LeaderRecord, Leadership, SettleTime};
use cactuslane_store::kv::Lease;
use cactuslane_types::Position;

/// Lease of the instance.
const LEASE: Lease = Lease { era: 1, id: 77 };
/// Time between the orders of two leaders.
const SETTLE: SettleTime = SettleTime {
    gap: 3_300,
    ttl: 4_000,
};

/// Returns the position of a revision of the first era.
fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

/// Returns the key that names a leader, under the lease of this instance, at a revision.
fn key(name: &str, revision: u64) -> LeaderKey {
    LeaderKey {
        record: leader(name),
        position: at(revision),
        lease: Some(LEASE.id),
    }
}

/// Returns the state of an instance that has acquired the leadership of the first era at 1,100 ms.
fn leading() -> Leadership {
    let mut leadership = Leadership::default();
    leadership.observe_era(1, 500);
    leadership.renewed(LEASE, 1_000, 4_000);
    leadership.acquired(at(9), 0, 1_100);
    assert_eq!(leadership.may_order(1_200), Some(9));
    leadership
}

/// Creates the record of the leader with a name.
fn leader(name: &str) -> LeaderRecord {
    LeaderRecord {
        instance: name.to_owned(),
        started: 1,
    }
}

#[test]
fn leadership_after_another_leader_settles_and_ends_with_the_next_leader() {
    let mut leadership = Leadership::default();
    let me = leader("a");
    assert!(
        leadership.candidacy(&me, SETTLE, 1_100).is_none(),
        "there is no lease, and the last leader was not read"
    );
    leadership.observe_last_leader(Some("b".to_owned()), at(5));
    leadership.renewed(LEASE, 1_000, 4_000);
    let candidacy = leadership
        .candidacy(&me, SETTLE, 1_100)
        .expect("the leadership is vacant");
    assert_eq!(candidacy.settle, 7_300);
    assert_eq!(candidacy.update.expected[1].1, at(5));
    leadership.acquired(at(9), candidacy.settle, 1_100);
    assert!(leadership.is_held(1_200) && leadership.may_order(1_200).is_none());
    // A revision from before the acquisition is ignored; another leader's record ends the term.
    leadership.observe_leader(None, at(8), &me, SETTLE, 1_200);
    assert!(leadership.is_held(1_200));
    leadership.observe_leader(Some(key("b", 12)), at(12), &me, SETTLE, 1_200);
    assert!(!leadership.is_held(1_200));
}

/// Guards against an order too soon after that of another instance, by a leader that acquires the
/// leadership a second time before its settling time has passed.
#[test]
fn the_last_leader_waits_for_the_rest_of_its_settling_time() {
    let mut leadership = Leadership::default();
    let me = leader("a");
    leadership.observe_last_leader(Some("b".to_owned()), at(5));
    leadership.renewed(LEASE, 1_000, 14_000);
    leadership.acquired(at(9), 7_300, 1_100);
    leadership.give_up().expect("it leads");
    leadership.observe_last_leader(Some("a".to_owned()), at(9));
    let settle = |leadership: &Leadership, now| {
        let candidacy = leadership.candidacy(&me, SETTLE, now);
        candidacy.expect("the leadership is vacant").settle
    };
    assert_eq!(settle(&leadership, 1_400), 7_000);
    assert_eq!(
        settle(&leadership, 8_000),
        SETTLE.gap,
        "its own last orders"
    );
    // Another process of the instance does not know how long the first one had waited.
    let mut restarted = Leadership::default();
    restarted.observe_last_leader(Some("a".to_owned()), at(9));
    restarted.renewed(LEASE, 1_000, 14_000);
    assert_eq!(settle(&restarted, 1_400), SETTLE.gap + SETTLE.ttl);
}

#[test]
fn the_first_leader_ever_does_not_wait() {
    let mut leadership = Leadership::default();
    let me = leader("a");
    leadership.observe_last_leader(None, at(0));
    leadership.renewed(LEASE, 1_000, 4_000);
    let candidacy = leadership
        .candidacy(&me, SETTLE, 1_100)
        .expect("the leadership is vacant");
    leadership.acquired(at(9), candidacy.settle, 1_100);
    assert_eq!(leadership.may_order(1_200), Some(9));
    leadership.lapsed();
    assert!(leadership.may_order(1_200).is_none());
}

#[test]
fn leadership_whose_acquisition_got_no_answer_is_detected_and_settles() {
    let mut leadership = Leadership::default();
    let me = leader("a");
    leadership.observe_last_leader(None, at(0));
    leadership.renewed(LEASE, 1_000, 4_000);
    leadership.observe_leader(Some(key("a", 12)), at(12), &me, SETTLE, 1_200);
    assert!(leadership.is_held(1_200) && leadership.may_order(1_200).is_none());
}

/// Guards against a leader that goes on after the store lost its acquisition.
#[test]
fn a_new_era_of_the_store_ends_the_term_and_the_lease() {
    let mut leadership = leading();
    leadership.observe_leader(Some(key("a", 9)), at(9), &leader("a"), SETTLE, 1_150);
    leadership.observe_era(2, 1_200);
    assert!(leadership.may_order(1_200).is_none() && !leadership.is_held(1_200));
    // What an answer of the earlier era says, which arrives late, changes nothing.
    leadership.renewed(LEASE, 1_150, 4_000);
    leadership.observe_leader(Some(key("a", 9)), at(9), &leader("a"), SETTLE, 1_250);
    leadership.acquired(at(9), 0, 1_250);
    assert!(!leadership.is_held(1_300) && leadership.leader().is_none());
}

/// Guards against a leader of the new era that does not wait for one of the earlier era that has not
/// seen the new one: the older copy names this instance as the last leader.
#[test]
fn the_first_leader_of_an_era_waits_for_those_of_the_earlier_one() {
    let mut leadership = Leadership::default();
    leadership.observe_era(2, 1_000);
    leadership.observe_last_leader(Some("a".to_owned()), Position::new(2, 5));
    leadership.renewed(Lease { era: 2, id: 3 }, 1_000, 4_000);
    let candidacy = leadership.candidacy(&leader("a"), SETTLE, 1_100);
    let candidacy = candidacy.expect("the leadership is vacant");
    leadership.acquired(Position::new(2, 7), candidacy.settle, 1_100);
    leadership.renewed(Lease { era: 2, id: 3 }, 8_000, 9_000);
    // Its lease ends 4 s after its last renewal, and 3.3 s pass before the first call or order.
    assert!(leadership.may_call(SETTLE.ttl, 8_299).is_none());
    assert!(leadership.may_call(SETTLE.ttl, 8_300).is_some());
    assert!(leadership.may_order(8_300).is_none());
    let token = leadership.may_order(12_300).expect("the wait is over");
    assert!(
        token > 9_000_000,
        "{token} is above all tokens of the first era"
    );
}

/// Guards against a fleet without a leader while the key of one whose term ended stays in the store.
#[test]
fn a_term_that_ended_while_the_store_was_silent_is_resumed() {
    let mut leadership = leading();
    let me = leader("a");
    leadership.observe_leader(Some(key("a", 9)), at(9), &me, SETTLE, 1_150);
    assert!(!leadership.is_held(4_400));
    assert!(
        !leadership.resume(&me, SETTLE, 4_400),
        "the lease may have ended"
    );
    leadership.renewed(LEASE, 9_000, 4_000);
    assert!(leadership.resume(&me, SETTLE, 9_100));
    assert!(leadership.may_order(9_200).is_none());
    leadership.renewed(LEASE, 16_000, 4_000);
    assert_eq!(leadership.may_order(16_500), Some(9));
}

/// Guards against a term under a key that another lease keeps in the store.
#[test]
fn a_leader_key_under_an_earlier_lease_is_deleted_and_not_used() {
    let mut leadership = Leadership::default();
    let me = leader("a");
    leadership.observe_era(2, 500);
    leadership.renewed(Lease { era: 2, id: 78 }, 1_000, 4_000);
    let kept = LeaderKey {
        position: Position::new(2, 9),
        ..key("a", 9)
    };
    leadership.observe_leader(Some(kept), Position::new(2, 12), &me, SETTLE, 1_100);
    assert!(!leadership.is_held(1_200) && !leadership.resume(&me, SETTLE, 1_200));
    let update = leadership.stale_key(&me).expect("the key is stale");
    assert_eq!(update.expected[0].1, Position::new(2, 9));
    assert_eq!(update.deletes.len(), 1);
}

/// Guards against the deletion of a later leader's key by one that is carried out late.
#[test]
fn a_leader_that_gives_up_deletes_its_own_key_only() {
    let mut leadership = leading();
    let update = leadership.give_up().expect("it leads");
    assert_eq!(update.expected[0].1, at(9));
    assert!(leadership.give_up().is_none());
}

/// Guards against orders below a fencing token that engines have seen, if the store's era is not
/// stated as it should be.
#[test]
fn no_term_begins_with_a_fencing_token_below_a_known_one() {
    let mut leadership = Leadership::default();
    leadership.renewed(LEASE, 1_000, 4_000);
    leadership.observe_leader(Some(key("b", 50)), at(50), &leader("a"), SETTLE, 1_050);
    leadership.observe_leader(None, at(51), &leader("a"), SETTLE, 1_060);
    leadership.acquired(at(20), 0, 1_100);
    assert!(!leadership.is_held(1_200));
    leadership.acquired(at(52), 0, 1_100);
    assert!(leadership.is_held(1_200));
}

/// Guards against a vacancy that is overlooked because an earlier read of the key arrives late.
#[test]
fn an_earlier_state_of_the_leader_key_does_not_replace_a_later_one() {
    let mut leadership = Leadership::default();
    let me = leader("a");
    leadership.renewed(LEASE, 1_000, 4_000);
    leadership.observe_last_leader(Some("b".to_owned()), at(5));
    leadership.observe_leader(Some(key("b", 5)), at(5), &me, SETTLE, 1_050);
    leadership.observe_leader(None, at(8), &me, SETTLE, 1_100);
    leadership.observe_leader(Some(key("b", 5)), at(5), &me, SETTLE, 1_150);
    assert!(leadership.candidacy(&me, SETTLE, 1_200).is_some());
}
