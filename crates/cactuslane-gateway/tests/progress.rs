//! How far an instance knows the store, from relays and its own reads.

use cactuslane_gateway::progress::Progress;
use cactuslane_gateway::relay::DocumentRange;
use cactuslane_types::Position;

/// Returns a range of revisions of the document, with a change that is missing, or 0.
fn range(from: u64, to: u64, missing: u64) -> DocumentRange {
    DocumentRange { from, to, missing }
}

/// Returns the progress of an instance that has read all keys at a revision of the first era.
fn read_at(revision: u64, seen: u64) -> Progress {
    Progress::at(Position::new(1, revision), seen)
}

#[test]
fn a_missing_document_is_wanted_and_does_not_hold_up_entries() {
    let mut progress = read_at(10, 100);
    progress.record_relay(14, range(10, 10, 12), 200);
    assert_eq!((progress.entries, progress.entries_seen), (14, 200));
    assert_eq!((progress.document, progress.document_seen), (10, 100));
    assert!(progress.lacks_document());
    assert_eq!(progress.position(), Position::new(1, 10));
    progress.record_document(13, 250);
    assert!(!progress.lacks_document());
    assert_eq!((progress.document, progress.document_seen), (13, 250));
}

#[test]
fn relays_during_the_read_of_a_document_count_once_it_is_read() {
    let mut progress = read_at(10, 100);
    progress.record_relay(14, range(10, 10, 12), 200);
    progress.record_relay(16, range(12, 16, 0), 300);
    progress.record_relay(18, range(16, 18, 0), 400);
    assert_eq!(progress.document, 10);
    progress.record_document(13, 250);
    assert_eq!((progress.document, progress.document_seen), (18, 400));
}

#[test]
fn a_change_during_the_read_of_a_document_is_read_after_it() {
    let mut progress = read_at(10, 100);
    progress.record_relay(14, range(10, 10, 12), 200);
    progress.record_relay(20, range(12, 20, 19), 300);
    progress.record_relay(24, range(20, 24, 0), 400);
    progress.record_document(13, 250);
    assert!(progress.lacks_document());
    assert_eq!(progress.document, 13);
    progress.record_document(21, 500);
    assert_eq!((progress.document, progress.document_seen), (24, 500));
}

#[test]
fn a_range_that_begins_after_the_known_document_shows_nothing() {
    let mut progress = read_at(10, 100);
    progress.record_relay(20, range(15, 20, 0), 300);
    assert_eq!((progress.document, progress.document_seen), (10, 100));
    progress.record_all(17, 350);
    assert_eq!((progress.document, progress.document_seen), (20, 350));
}

#[test]
fn an_old_relay_does_not_make_the_knowledge_recent() {
    let mut progress = read_at(10, 1_000);
    progress.record_relay(10, range(10, 10, 0), 400);
    assert_eq!(progress.entries_seen, 1_000);
}
