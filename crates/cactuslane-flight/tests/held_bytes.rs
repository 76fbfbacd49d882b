//! Tests of the budget for what is held on behalf of callers.

use cactuslane_flight::held_bytes::{
    CONNECTION_COST, FREE_BYTES, HeldBytes, HeldLimits, Opening, PROGRESS_BYTES, Reservation,
    STALL_TIME,
};
use cactuslane_flight::{Activity, ConnectionId, Door, Kind};
use proptest::prelude::*;
use yare::parameterized;

/// Limits with space for 100,000 bytes of bodies, 80,000 of them for callers.
const LIMITS: HeldLimits = HeldLimits {
    bodies: 100_000,
    answers: 50_000,
    connections: 1000,
};

/// Opens a connection at the front door; it receives a body from now on.
fn open_reading(held: &mut HeldBytes, now: u64) -> ConnectionId {
    let Opening::Opened(id, None) = held.open(Door::Front, now) else {
        panic!("the door is not full");
    };
    held.set_activity(id, Activity::Reading, now);
    id
}

#[parameterized(
    smallest_machine = { Some(160 << 20), Some(4100), 160 << 20 },
    larger_machine = { Some(512 << 20), Some(8192), 512 << 20 },
    few_descriptors = { Some(160 << 20), Some(600), 160 << 20 },
    unlimited = { None, None, 512 << 20 },
)]
fn limits_leave_a_third_of_the_memory(memory: Option<u64>, descriptors: Option<u32>, assumed: u64) {
    let limits = HeldLimits::of_process(memory, descriptors);
    let mut connections = 0;
    for door in Door::ALL {
        connections += limits.at_door(door);
    }
    let bytes = limits.bodies + limits.answers + connections * CONNECTION_COST;
    assert!(bytes as u64 <= assumed * 2 / 3);
    assert!(limits.bodies / 100 * 80 >= 2 * (4 << 20));
    assert!(limits.answers >= 16 << 20);
    if let Some(descriptors) = descriptors {
        assert!(connections <= descriptors as usize / 2);
    }
}

#[test]
fn a_full_budget_refuses_while_all_make_progress() {
    let mut held = HeldBytes::new(LIMITS);
    let first = open_reading(&mut held, 0);
    let second = open_reading(&mut held, 0);
    assert_eq!(
        held.reserve(first, Kind::Body, 80_000, 0),
        Reservation::Granted
    );
    assert_eq!(
        held.reserve(second, Kind::Body, 1, STALL_TIME - 1),
        Reservation::Refused
    );
    held.record_bytes(first, PROGRESS_BYTES, STALL_TIME - 1);
    assert_eq!(
        held.reserve(second, Kind::Body, 1, STALL_TIME),
        Reservation::Refused
    );
}

#[test]
fn bytes_that_trickle_are_no_progress() {
    let mut held = HeldBytes::new(LIMITS);
    let slow = open_reading(&mut held, 0);
    let other = open_reading(&mut held, 0);
    assert_eq!(
        held.reserve(slow, Kind::Body, 80_000, 0),
        Reservation::Granted
    );
    for now in 1..=STALL_TIME {
        held.record_bytes(slow, 1, now);
    }
    let reserved = held.reserve(other, Kind::Body, 1, STALL_TIME);
    assert_eq!(reserved, Reservation::Close(slow));
    assert_eq!(
        held.reserve(other, Kind::Body, 1, STALL_TIME),
        Reservation::Wait
    );
    held.release(slow, Kind::Body, 80_000);
    held.close(slow);
    assert_eq!(
        held.reserve(other, Kind::Body, 1, STALL_TIME),
        Reservation::Granted
    );
}

#[test]
fn the_connection_that_holds_most_for_longest_is_closed() {
    let mut held = HeldBytes::new(LIMITS);
    let small = open_reading(&mut held, 0);
    let large = open_reading(&mut held, 500);
    let other = open_reading(&mut held, 1500);
    assert_eq!(
        held.reserve(small, Kind::Body, 10_000, 0),
        Reservation::Granted
    );
    assert_eq!(
        held.reserve(large, Kind::Body, 70_000, 500),
        Reservation::Granted
    );
    assert_eq!(
        held.reserve(other, Kind::Body, 1, 1500),
        Reservation::Close(large)
    );
}

#[test]
fn requests_in_execution_are_not_closed() {
    let mut held = HeldBytes::new(LIMITS);
    let served = open_reading(&mut held, 0);
    let other = open_reading(&mut held, 0);
    assert_eq!(
        held.reserve(served, Kind::Body, 80_000, 0),
        Reservation::Granted
    );
    held.set_activity(served, Activity::Serving, 0);
    assert_eq!(
        held.reserve(other, Kind::Body, 1, 60_000),
        Reservation::Refused
    );
}

#[test]
fn callers_that_do_not_read_are_closed_when_answers_need_space() {
    let mut held = HeldBytes::new(LIMITS);
    let unread = open_reading(&mut held, 0);
    let other = open_reading(&mut held, 0);
    held.set_activity(unread, Activity::Serving, 0);
    assert_eq!(
        held.reserve(unread, Kind::Answer, 50_000, 0),
        Reservation::Granted
    );
    assert_eq!(
        held.reserve(other, Kind::Answer, 1, 5000),
        Reservation::Refused
    );
    held.set_blocked(unread, true, 5000);
    assert_eq!(
        held.reserve(other, Kind::Answer, 1, 5500),
        Reservation::Refused
    );
    assert_eq!(
        held.reserve(other, Kind::Answer, 1, 6000),
        Reservation::Close(unread)
    );
}

#[test]
fn space_is_kept_for_requests_that_other_instances_pass_on() {
    let mut held = HeldBytes::new(LIMITS);
    let caller = open_reading(&mut held, 0);
    assert_eq!(
        held.reserve(caller, Kind::Body, 80_000, 0),
        Reservation::Granted
    );
    let Opening::Opened(instance, None) = held.open(Door::Instances, 0) else {
        panic!("the door is not full");
    };
    assert_eq!(
        held.reserve(instance, Kind::Body, 20_000, 0),
        Reservation::Granted
    );
    assert_eq!(
        held.reserve(instance, Kind::Body, 1, 0),
        Reservation::Refused
    );
}

#[test]
fn a_full_door_replaces_the_oldest_waiting_connection() {
    let mut held = HeldBytes::new(LIMITS);
    let count = LIMITS.at_door(Door::Front);
    for now in 0..count as u64 {
        assert_eq!(held.open(Door::Front, now), Opening::Opened(now, None));
    }
    held.set_activity(0, Activity::Serving, 0);
    let next = count as u64;
    assert_eq!(held.open(Door::Front, next), Opening::Opened(next, Some(1)));
    assert_eq!(held.count(Door::Front), count);
    for door in [Door::Instances, Door::Directory, Door::Ready] {
        assert!(matches!(held.open(door, next), Opening::Opened(_, None)));
    }
}

/// Opens a connection at the front door that has been idle since it was served at a time.
fn open_served(held: &mut HeldBytes, now: u64) -> ConnectionId {
    let Opening::Opened(id, None) = held.open(Door::Front, now) else {
        panic!("the door is not full");
    };
    held.set_activity(id, Activity::Serving, now);
    held.set_activity(id, Activity::Waiting, now);
    id
}

#[test]
fn an_idle_connection_that_was_served_outlasts_a_crowd_that_sends_no_heads() {
    let mut held = HeldBytes::new(LIMITS);
    let served = open_served(&mut held, 0);
    for now in 1..3 * LIMITS.at_door(Door::Front) as u64 {
        let Opening::Opened(_, replaced) = held.open(Door::Front, now) else {
            panic!("connections of the crowd can be replaced");
        };
        assert_ne!(replaced, Some(served));
        if let Some(replaced) = replaced {
            held.close(replaced);
        }
    }
    assert!(held.confirm_close(served, 60_000));
}

#[test]
fn new_connections_get_half_of_a_door_that_idle_ones_fill() {
    let mut held = HeldBytes::new(LIMITS);
    let count = LIMITS.at_door(Door::Front);
    for now in 0..count as u64 {
        open_served(&mut held, now);
    }
    let mut closed = Vec::new();
    for now in 0..count {
        let Opening::Opened(_, Some(replaced)) = held.open(Door::Front, (count + now) as u64)
        else {
            panic!("an idle connection can be replaced");
        };
        held.close(replaced);
        closed.push(replaced as usize);
    }
    let (idle, new): (Vec<_>, Vec<_>) = closed.into_iter().partition(|&id| id < count);
    assert_eq!(idle, (0..=count / 2).collect::<Vec<_>>());
    assert_eq!(new, (count..count + new.len()).collect::<Vec<_>>());
}

#[test]
fn a_request_that_began_before_its_connection_was_closed_is_not_cut() {
    let mut held = HeldBytes::new(LIMITS);
    let count = LIMITS.at_door(Door::Front);
    let idle = open_served(&mut held, 0);
    for now in 1..count as u64 {
        open_served(&mut held, now);
    }
    let opening = held.open(Door::Front, 5000);
    assert_eq!(opening, Opening::Opened(count as u64, Some(idle)));
    assert_eq!((held.count(Door::Front), held.closing()), (count, 1));
    held.set_activity(idle, Activity::Serving, 5000);
    assert!(!held.confirm_close(idle, 60_000));
    assert_eq!((held.count(Door::Front), held.closing()), (count + 1, 0));
    held.close(idle);
    assert_eq!((held.count(Door::Front), held.closing()), (count, 0));
}

#[test]
fn a_body_that_goes_on_before_its_connection_was_closed_is_not_cut() {
    let mut held = HeldBytes::new(LIMITS);
    let slow = open_reading(&mut held, 0);
    let other = open_reading(&mut held, 0);
    let granted = held.reserve(slow, Kind::Body, 80_000, 0);
    assert_eq!(granted, Reservation::Granted);
    let reserved = held.reserve(other, Kind::Body, 1, STALL_TIME);
    assert_eq!(reserved, Reservation::Close(slow));
    held.record_bytes(slow, PROGRESS_BYTES, STALL_TIME);
    assert!(!held.confirm_close(slow, STALL_TIME));
    let reserved = held.reserve(other, Kind::Body, 1, STALL_TIME);
    assert_eq!(reserved, Reservation::Refused);
    let reserved = held.reserve(other, Kind::Body, 1, 2 * STALL_TIME);
    assert_eq!(reserved, Reservation::Close(slow));
    assert!(held.confirm_close(slow, 2 * STALL_TIME));
}

#[test]
fn a_full_door_refuses_while_all_requests_are_executed() {
    let mut held = HeldBytes::new(LIMITS);
    for _ in 0..LIMITS.at_door(Door::Front) {
        let id = open_reading(&mut held, 0);
        held.set_activity(id, Activity::Serving, 0);
    }
    assert_eq!(held.open(Door::Front, 60_000), Opening::Refused);
    held.close(0);
    assert!(matches!(
        held.open(Door::Front, 60_000),
        Opening::Opened(_, None)
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against bytes that are counted twice or stay counted: whatever the order, no more than
    /// the limit is held, and nothing is once all is released.
    #[test]
    fn whatever_is_reserved_is_within_the_limit_and_comes_back(
        steps in proptest::collection::vec((0..8_u64, 1..60_000_usize, any::<bool>()), 1..200)
    ) {
        let mut held = HeldBytes::new(LIMITS);
        for _ in 0..8 {
            open_reading(&mut held, 0);
        }
        let mut granted = Vec::new();
        for (now, (id, bytes, release)) in steps.into_iter().enumerate() {
            if release && !granted.is_empty() {
                let (id, kind, bytes) = granted.swap_remove(bytes % granted.len());
                held.release(id, kind, bytes);
                continue;
            }
            let kind = if bytes % 2 == 0 { Kind::Body } else { Kind::Answer };
            match held.reserve(id, kind, bytes, now as u64 * 100) {
                Reservation::Granted => granted.push((id, kind, bytes)),
                Reservation::Close(other) => {
                    prop_assert_ne!(other, id);
                    held.close(other);
                }
                Reservation::Wait | Reservation::Refused => {}
            }
            prop_assert!(held.bytes(Kind::Body) <= LIMITS.bodies);
            prop_assert!(held.bytes(Kind::Answer) <= LIMITS.answers);
        }
        for (id, kind, bytes) in granted {
            held.release(id, kind, bytes);
        }
        prop_assert_eq!(held.bytes(Kind::Body) + held.bytes(Kind::Answer), 0);
    }
}

/// A body that stays within what the connection's cost covers needs no reservation.
const _: () = assert!(FREE_BYTES < CONNECTION_COST);
