//! Event streams are forwarded in complete events only.

use cactuslane_flight::events::{EventError, EventScanner};
use proptest::prelude::*;
use yare::parameterized;

/// Returns `count` server-sent events with consecutive ids starting at `from`.
fn events(from: u64, count: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    for id in from..from + count {
        bytes.extend_from_slice(format!("id: {id}\ndata: piece {id}\n\n").as_bytes());
    }
    bytes
}

#[test]
fn incomplete_event_is_held_back() {
    let mut scanner = EventScanner::default();
    let whole = events(1, 2);
    let cut = whole.len() - 5;
    let forwarded = scanner.feed(&whole[..cut]).expect("the events are valid");
    assert_eq!(forwarded, events(1, 1));
    assert_eq!(scanner.last_id(), Some(1));
    assert!(!scanner.at_boundary());
}

#[test]
fn resumed_stream_accepts_the_next_id_and_rejects_a_repeated_one() {
    let mut scanner = EventScanner::resume_after(Some(4));
    assert_eq!(scanner.feed(&events(5, 1)), Ok(events(5, 1)));
    assert_eq!(scanner.feed(&events(5, 1)), Err(EventError::OutOfOrder));
}

/// Guards against streams that go on elsewhere with a piece missing.
#[parameterized(
    from_the_start = { None, 1, 3 },
    taken_up_by_the_caller = { Some(12), 13, 3 },
    after_one_event = { None, 1, 1 },
)]
fn a_resumed_stream_that_counted_by_one_goes_on_with_the_next_id(
    after: Option<u64>,
    first: u64,
    count: u64,
) {
    let mut scanner = EventScanner::resume_after(after);
    assert_eq!(
        scanner.feed(&events(first, count)),
        Ok(events(first, count))
    );
    let next = first + count;
    let mut missing = scanner.resumed();
    assert_eq!(missing.feed(&events(next + 1, 1)), Err(EventError::Missing));
    assert_eq!(missing.last_id(), Some(next - 1));
    // A target that failed to go on does not end the check.
    let mut again = missing.resumed();
    assert_eq!(again.feed(&events(next + 1, 1)), Err(EventError::Missing));
    let mut whole = again.resumed();
    assert_eq!(whole.feed(&events(next, 2)), Ok(events(next, 2)));
    assert_eq!(
        whole.resumed().feed(&events(next + 3, 1)),
        Err(EventError::Missing)
    );
}

/// Guards against streams that are cut though ids need only grow, as far as their events show.
#[parameterized(
    larger_steps = { None, b"id: 2\ndata: a\n\nid: 4\ndata: b\n\n", 7 },
    another_first_id = { None, b"id: 0\ndata: a\n\n", 2 },
    one_larger_step = { None, b"id: 1\ndata: a\n\nid: 4\ndata: b\n\nid: 5\ndata: c\n\n", 7 },
    no_ids = { None, b"data: a\n\n", 3 },
    no_events = { None, b"", 3 },
    no_events_for_the_caller_yet = { Some(12), b"", 14 },
)]
fn a_resumed_stream_whose_ids_did_not_count_by_one_goes_on_with_any_larger_id(
    after: Option<u64>,
    first: &[u8],
    next: u64,
) {
    let mut scanner = EventScanner::resume_after(after);
    assert_eq!(scanner.feed(first), Ok(first.to_vec()));
    let mut resumed = scanner.resumed();
    assert_eq!(resumed.feed(&events(next, 1)), Ok(events(next, 1)));
}

#[parameterized(
    head_of_an_answer = { b"HTTP/1.1 500 Failed\r\nx-request-id: r1\r\n\r\n" },
    text = { b"the target failed\n\n" },
    object = { b"{\"error\": \"failed\"}\n\n" },
    markup = { b"<html>\n\n" },
    word = { b"failed\n\n" },
)]
fn lines_that_are_no_event_are_rejected(bytes: &[u8]) {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.feed(&events(1, 1)), Ok(events(1, 1)));
    assert_eq!(scanner.feed(bytes), Err(EventError::NotAnEvent));
}

#[parameterized(
    comment = { b": still there\n\n" },
    without_an_id = { b"data: piece\r\n\r\n" },
    without_a_value = { b"data\n\n" },
    other_field = { b"x-weight-versions: 3\nid: 4\ndata: piece\n\n" },
    time = { b"retry: 10\n\n" },
    empty_lines = { b"\r\n\r\n" },
)]
fn lines_of_events_are_forwarded(bytes: &[u8]) {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.feed(bytes), Ok(bytes.to_vec()));
}

/// Guards against a whole stream that counts as cut, and against a cut one that counts as whole.
#[parameterized(
    nothing = { b"", true },
    comment = { b": bye\n", true },
    comments = { b": a\r\n: b\r\n", true },
    comment_without_an_end = { b": by", true },
    empty_line = { b"\n", true },
    empty_line_with_a_return = { b"\r\n", true },
    id = { b"id: 2\n", false },
    beginning_of_a_name = { b"d", false },
    other_field = { b"x-weight-versions: 3\n", false },
    comment_in_an_event = { b": a\nid: 2\n", false },
    event_before_a_comment = { b"data: a\n: b\n", false },
    space = { b" ", false },
)]
fn only_comments_and_empty_lines_may_follow_the_last_event(rest: &[u8], expected: bool) {
    let mut scanner = EventScanner::default();
    let bytes = [&events(1, 1), rest].concat();
    assert_eq!(scanner.feed(&bytes), Ok(events(1, 1)));
    assert_eq!(scanner.ends_with_comments(), expected);
    assert_eq!(scanner.at_boundary(), rest.is_empty());
    assert_eq!(scanner.take_rest(), rest);
}

#[test]
fn unterminated_event_over_the_limit_is_rejected() {
    let mut scanner = EventScanner::default();
    let long = vec![b'x'; (1 << 20) + 1];
    assert_eq!(scanner.feed(&long), Err(EventError::TooLong));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// However the bytes of a stream are split into reads, the same complete events are forwarded.
    #[test]
    fn read_boundaries_do_not_change_the_forwarded_events(
        count in 1_u64..8,
        reads in prop::collection::vec(1_usize..40, 0..12),
    ) {
        let whole = events(1, count);
        let mut scanner = EventScanner::default();
        let (mut forwarded, mut at) = (Vec::new(), 0);
        for read in reads {
            let end = (at + read).min(whole.len());
            forwarded.extend(scanner.feed(&whole[at..end]).expect("the events are valid"));
            prop_assert!(forwarded.is_empty() || forwarded.ends_with(b"\n\n"));
            at = end;
        }
        forwarded.extend(scanner.feed(&whole[at..]).expect("the events are valid"));
        prop_assert_eq!(forwarded, whole);
        prop_assert_eq!(scanner.last_id(), Some(count));
        prop_assert!(scanner.at_boundary());
    }
}

/// Guards against streams that resume after events that were found before a fault but not returned.
#[test]
fn events_that_are_dropped_with_a_fault_are_not_skipped_by_a_resumed_stream() {
    let mut scanner = EventScanner::default();
    let events = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!(scanner.feed(events), Ok(events.to_vec()));
    let faulty = b"id: 3\ndata: c\n\nid: 1\ndata: x\n\n";
    assert_eq!(scanner.feed(faulty), Err(EventError::OutOfOrder));
    assert_eq!(scanner.last_id(), Some(2));
}
