//! Streams are cut at whole events.

use cactuslane_flight::events::{EventError, EventScanner};
use proptest::prelude::*;

/// Writes events with ids from a number on.
fn events(from: u64, count: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    for id in from..from + count {
        bytes.extend_from_slice(format!("id: {id}\ndata: piece {id}\n\n").as_bytes());
    }
    bytes
}

#[test]
fn a_half_event_is_held_back() {
    let mut scanner = EventScanner::default();
    let whole = events(1, 2);
    let cut = whole.len() - 5;
    let forwarded = scanner.feed(&whole[..cut]).expect("these are events");
    assert_eq!(forwarded, events(1, 1));
    assert_eq!(scanner.last_id(), Some(1));
    assert!(!scanner.at_boundary());
}

#[test]
fn a_resumed_stream_goes_on_after_the_last_event() {
    let mut scanner = EventScanner::resume_after(Some(4));
    assert_eq!(scanner.feed(&events(5, 1)), Ok(events(5, 1)));
    assert_eq!(scanner.feed(&events(5, 1)), Err(EventError::OutOfOrder));
}

#[test]
fn an_event_without_end_is_no_event() {
    let mut scanner = EventScanner::default();
    let long = vec![b'x'; (1 << 20) + 1];
    assert_eq!(scanner.feed(&long), Err(EventError::TooLong));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// However a stream is cut into pieces, what is forwarded is the same whole events.
    #[test]
    fn pieces_do_not_matter(count in 1_u64..8, cuts in prop::collection::vec(1_usize..40, 0..12)) {
        let whole = events(1, count);
        let mut scanner = EventScanner::default();
        let (mut forwarded, mut at) = (Vec::new(), 0);
        for cut in cuts {
            let end = (at + cut).min(whole.len());
            forwarded.extend(scanner.feed(&whole[at..end]).expect("these are events"));
            prop_assert!(forwarded.is_empty() || forwarded.ends_with(b"\n\n"));
            at = end;
        }
        forwarded.extend(scanner.feed(&whole[at..]).expect("these are events"));
        prop_assert_eq!(forwarded, whole);
        prop_assert_eq!(scanner.last_id(), Some(count));
        prop_assert!(scanner.at_boundary());
    }
}
