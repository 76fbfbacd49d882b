//! Which event is due next where the ids of a service went up by one.

use cactuslane_flight::event_ids::EventIds;
use cactuslane_flight::events::{EventError, EventScanner};
use yare::parameterized;

/// Version of the targets.
const VERSION: Option<&str> = Some("v1");

/// Feeds a whole new stream with these ids to a scanner, and records it.
fn record(ids: &mut EventIds, stream: &[u64]) {
    let mut scanner = EventScanner::default();
    let mut text = String::new();
    for id in stream {
        text += "id: ";
        text += &id.to_string();
        text += "\ndata: a\n\n";
    }
    scanner
        .feed(text.as_bytes())
        .expect("the stream is in order");
    ids.record_whole("model", VERSION, &scanner);
}

/// Returns a record of a service whose streams counted by one.
fn learnt() -> EventIds {
    let mut ids = EventIds::default();
    for _ in 0..16 {
        record(&mut ids, &[1, 2, 3]);
    }
    assert!(ids.is_next_due("model", VERSION));
    ids
}

/// Guards against a take-up, or a new stream, that begins at another event than the one that is due.
#[parameterized(
    new_at_1 = { None, 1, 1, Ok(()) },
    new_later = { None, 1, 2, Err(EventError::Missing) },
    new_at_0 = { None, 1, 0, Err(EventError::Missing) },
    new_after_nothing = { Some(0), 1, 1, Ok(()) },
    next = { Some(3), 4, 4, Ok(()) },
    later = { Some(3), 4, 6, Err(EventError::Missing) },
    repeated = { Some(3), 4, 3, Err(EventError::OutOfOrder) },
    largest = { Some(u64::MAX - 1), u64::MAX, u64::MAX, Ok(()) },
)]
fn the_first_event_must_be_the_one_that_is_due(
    after: Option<u64>,
    due: u64,
    first: u64,
    expected: Result<(), EventError>,
) {
    let mut scanner = EventScanner::resume_after(after);
    scanner.expect_next();
    let event = format!("id: {first}\ndata: a\n\n");
    let found = scanner.feed(event.as_bytes());
    assert_eq!(found, expected.map(|()| event.into_bytes()));
    assert_eq!(scanner.due(), Some(due));
    let rejected = expected.is_err().then_some(first);
    assert_eq!(scanner.rejected_id(), rejected);
}

/// Guards against a stream that is cut though nothing of it is missing.
#[parameterized(
    no_events = { b"" },
    no_ids = { b"data: a\n\ndata: b\n\n" },
    comment_first = { b": hello\n\nretry: 5\n\nid: 4\ndata: a\n\n" },
)]
fn a_stream_in_which_nothing_is_missing_is_given_on(bytes: &[u8]) {
    let mut scanner = EventScanner::resume_after(Some(3));
    scanner.expect_next();
    assert_eq!(scanner.feed(bytes), Ok(bytes.to_vec()));
}

/// Guards against a cut where the stream itself has shown that its ids do not count by one.
#[test]
fn a_stream_whose_own_ids_do_not_count_by_one_goes_on_with_any_larger_id() {
    let mut scanner = EventScanner::default();
    let events = b"id: 1\ndata: a\n\nid: 4\ndata: b\n\n";
    assert_eq!(scanner.feed(events), Ok(events.to_vec()));
    let mut resumed = scanner.resumed();
    resumed.expect_next();
    let event = b"id: 7\ndata: c\n\n";
    assert_eq!(resumed.feed(event), Ok(event.to_vec()));
    assert_eq!(resumed.due(), None);
}

/// Guards against checks of services whose ids mean something else.
#[parameterized(
    by_tokens = { &[1, 4, 5] },
    from_zero = { &[0, 1, 2] },
    from_another = { &[2, 3, 4] },
    one_other_id = { &[7] },
)]
fn a_service_with_one_stream_of_other_ids_is_not_checked_again(stream: &[u64]) {
    for learnt_before in [false, true] {
        let mut ids = if learnt_before {
            learnt()
        } else {
            EventIds::default()
        };
        record(&mut ids, stream);
        for _ in 0..100 {
            record(&mut ids, &[1, 2, 3]);
        }
        assert!(!ids.is_next_due("model", VERSION));
        // Another service and another version have ids of their own.
        assert!(!ids.is_next_due("other", VERSION));
        assert!(!ids.is_next_due("model", Some("v2")));
    }
}

/// Guards against a check for want of evidence.
#[parameterized(
    few_streams = { 15, &[1, 2, 3] },
    single_events = { 100, &[1] },
    no_ids = { 100, &[] },
)]
fn a_service_is_not_checked_before_enough_streams_were_seen(count: u32, stream: &[u64]) {
    let mut ids = EventIds::default();
    for _ in 0..count {
        record(&mut ids, stream);
    }
    assert!(!ids.is_next_due("model", VERSION));
}

/// Guards against a caller who makes instances believe that the ids of a service do not count by one.
#[test]
fn a_stream_that_a_caller_takes_up_is_no_evidence() {
    let mut ids = learnt();
    let mut scanner = EventScanner::resume_after(Some(3));
    let events = b"id: 9\ndata: a\n\n";
    assert_eq!(scanner.feed(events), Ok(events.to_vec()));
    ids.record_whole("model", VERSION, &scanner);
    assert!(ids.is_next_due("model", VERSION));
}

/// Guards against a service all of whose streams are cut, as its ids have another meaning now.
#[test]
fn a_service_that_violates_the_record_again_and_again_is_not_checked_any_more() {
    let mut ids = learnt();
    for _ in 0..10 {
        ids.record_wrong("model", VERSION);
        ids.record_wrong("model", VERSION);
        assert!(ids.is_next_due("model", VERSION));
        // Enough streams have the events that are due for the others to be forgotten.
        for _ in 0..256 {
            ids.record_right("model", VERSION);
        }
    }
    // Streams of two kinds may come in turn.
    for _ in 0..3 {
        ids.record_wrong("model", VERSION);
        ids.record_right("model", VERSION);
    }
    assert!(!ids.is_next_due("model", VERSION));
    record(&mut ids, &[1, 2, 3]);
    assert!(!ids.is_next_due("model", VERSION));
}

/// Guards against memory that grows with the versions that a deployment has had.
#[test]
fn a_bounded_number_of_versions_is_kept() {
    let mut ids = EventIds::default();
    let mut scanner = EventScanner::default();
    scanner
        .feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        .expect("it is in order");
    for number in 0..10_000 {
        let version = format!("v{number}");
        ids.record_whole("model", Some(&version), &scanner);
        assert!(ids.len() <= 256);
    }
}

/// Guards against a stream that is given on without the events that are missing in its middle.
#[test]
fn a_stream_in_whose_middle_an_event_is_missing_is_not_given_on() {
    let mut scanner = EventScanner::default();
    scanner.expect_next();
    let first = b"id: 1\ndata: a\n\n";
    assert_eq!(scanner.feed(first), Ok(first.to_vec()));
    assert_eq!(
        scanner.feed(b"id: 3\ndata: c\n\n"),
        Err(EventError::Missing)
    );
    assert_eq!(
        (scanner.last_id(), scanner.rejected_id()),
        (Some(1), Some(3))
    );
}
