//! Whether events are missing after a gap in the ids of a stream.

use cactuslane_flight::events::{EventError, EventScanner};
use cactuslane_flight::{Gap, StatedRun};
use yare::parameterized;

/// Returns what a target states of a run of a request.
fn run(request: &str, events: u64) -> StatedRun {
    StatedRun {
        request: request.to_owned(),
        events,
    }
}

/// Guards against a stream that is held back, or cut, though its target states no more events than
/// arrived, and against one that is given on though it states more.
#[parameterized(
    nothing_is_stated = { &[], None, 1, false },
    fewer_are_stated = { &[("r1", 1)], None, 2, false },
    as_many_are_stated = { &[("r1", 2)], None, 2, false },
    more_are_stated = { &[("r1", 5)], None, 2, true },
    of_another_request = { &[("r2", 5)], None, 2, false },
    of_two_runs = { &[("r1", 5), ("r1", 2)], None, 2, false },
    of_a_resumed_stream = { &[("r1", 5)], Some(3), 2, false },
    more_of_a_resumed_stream = { &[("r1", 7)], Some(3), 2, true },
    of_a_resumed_run_alone = { &[("r1", 2)], Some(3), 2, false },
)]
fn events_are_missing_if_the_target_states_more_of_them(
    stated: &[(&str, u64)],
    resumed_after: Option<u64>,
    arrived: u64,
    expected: bool,
) {
    let stated: Vec<StatedRun> = stated.iter().map(|(id, made)| run(id, *made)).collect();
    let gap = Gap::new(EventScanner::default(), "r1", &stated, resumed_after);
    assert_eq!(gap.is_open(arrived), expected);
}

/// Guards against events that are lost, or come in another order, as they were held back until those
/// that were on their way had arrived.
#[test]
fn events_are_given_on_once_as_many_arrived_as_were_made() {
    let mut gap = Gap::new(EventScanner::default(), "r1", &[run("r1", 3)], None);
    assert_eq!(gap.pass(b"a".to_vec(), 1), Some(Vec::new()));
    assert_eq!(gap.pass(b"b".to_vec(), 2), Some(Vec::new()));
    assert_eq!(gap.pass(b"c".to_vec(), 3), Some(b"abc".to_vec()));
    assert_eq!(gap.pass(b"d".to_vec(), 4), Some(b"d".to_vec()));
    assert!(!gap.is_open(4));
}

/// Guards against memory that grows with a stream whose target states too many events.
#[test]
fn a_bounded_number_of_bytes_is_held_back() {
    let mut gap = Gap::new(EventScanner::default(), "r1", &[run("r1", 1_000)], None);
    assert_eq!(gap.pass(vec![0; 256 << 10], 1), Some(Vec::new()));
    assert_eq!(gap.pass(vec![0; 1], 2), None);
}

/// Guards against a stream that goes on elsewhere after events that its caller did not get.
#[test]
fn a_stream_goes_on_after_the_last_event_before_the_gap() {
    let mut scanner = EventScanner::default();
    scanner.expect_next();
    let first = b"id: 1\ndata: a\n\n";
    assert_eq!(scanner.feed(first), Ok(first.to_vec()));
    let later = b"id: 4\ndata: d\n\nid: 9\ndata: i\n\n";
    assert_eq!(scanner.feed(later), Err(EventError::Missing));
    let gap = Gap::new(scanner.clone(), "r1", &[run("r1", 9)], None);
    scanner.accept_gap();
    assert_eq!(scanner.feed(&[]), Ok(later.to_vec()));
    assert_eq!((scanner.last_id(), scanner.events()), (Some(9), 3));
    assert!(gap.is_open(scanner.events()));
    let before = gap.into_before();
    assert_eq!((before.last_id(), before.rejected_id()), (Some(1), Some(4)));
}
