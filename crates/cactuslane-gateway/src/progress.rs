//! How far an instance knows the store: up to which revisions, and as of which times.

use std::time::Duration;

use cactuslane_types::{Era, Millis, Position};

use crate::relay::DocumentRange;

/// How far an instance knows the store.
///
/// The configuration document is tracked apart from all other keys, the entries, as it may be so
/// large that it takes long to arrive. Times are in milliseconds on the clock of this instance: all
/// changes that the store had acknowledged by then are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The era of the store in which all of this was read; no revision holds beyond it.
    pub era: Era,
    /// The revision up to which all changes of entries are applied.
    pub entries: u64,
    /// The time as of which the entries are known.
    pub entries_seen: Millis,
    /// The revision up to which the document is known.
    pub document: u64,
    /// The time as of which the document is known.
    pub document_seen: Millis,
    /// The revision up to which the document has to be read, as another instance reported a change
    /// of it.
    pub wanted: u64,
    /// The revisions between which relays showed no change of the document that is still unread.
    unchanged: Unchanged,
}

/// A range of revisions without an unread change of the document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Unchanged {
    /// The first revision; a document that was read at it or later is still the current one.
    from: u64,
    /// The last revision, inclusive.
    to: u64,
    /// The time as of which the range was reported.
    seen: Millis,
}

impl Progress {
    /// Creates the progress of an instance that has read all keys at a position, with a call that
    /// was sent at `seen`.
    #[must_use]
    pub fn at(position: Position, seen: Millis) -> Self {
        let revision = position.revision;
        Self {
            era: position.era,
            entries: revision,
            entries_seen: seen,
            document: revision,
            document_seen: seen,
            wanted: revision,
            unchanged: Unchanged::default(),
        }
    }

    /// Returns the position up to which all changes are known.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position_at(self.entries.min(self.document))
    }

    /// Returns the position of a revision of this era.
    #[must_use]
    pub fn position_at(&self, revision: u64) -> Position {
        Position::new(self.era, revision)
    }

    /// Returns whether the entries are known as of a time that is at most `limit` before `now`.
    #[must_use]
    pub fn is_recent(&self, now: Millis, limit: Duration) -> bool {
        u128::from(now.saturating_sub(self.entries_seen)) <= limit.as_millis()
    }

    /// Returns whether the document is known to have changed since it was last read.
    #[must_use]
    pub fn lacks_document(&self) -> bool {
        self.wanted > self.document
    }

    /// Records that the document changed at a revision.
    pub fn want_document(&mut self, revision: u64) {
        self.wanted = self.wanted.max(revision);
    }

    /// Records that all changes up to a revision are applied.
    pub fn record_all(&mut self, revision: u64, seen: Millis) {
        self.record_entries(revision, seen);
        self.record_document(revision, seen);
    }

    /// Records that the changes of entries up to a revision are applied.
    pub fn record_entries(&mut self, revision: u64, seen: Millis) {
        self.entries = self.entries.max(revision);
        self.entries_seen = self.entries_seen.max(seen);
    }

    /// Records that the document as of a revision is applied.
    pub fn record_document(&mut self, revision: u64, seen: Millis) {
        self.document = self.document.max(revision);
        self.document_seen = self.document_seen.max(seen);
        self.extend_document();
    }

    /// Records that a relay was applied that holds the changes of entries up to `to`, and those of
    /// the document in a range.
    pub fn record_relay(&mut self, to: u64, range: DocumentRange, seen: Millis) {
        self.record_entries(to, seen);
        if range.missing > self.document {
            self.want_document(range.missing);
            self.unchanged = Unchanged {
                from: range.missing,
                to: range.missing,
                seen,
            };
            return;
        }
        let known = &mut self.unchanged;
        if range.from > known.to {
            known.from = range.from;
        }
        if range.to >= known.to {
            (known.to, known.seen) = (range.to, seen);
        }
        self.extend_document();
    }

    /// Extends what is known of the document by the revisions without a change of it.
    fn extend_document(&mut self) {
        let unchanged = self.unchanged;
        if unchanged.from <= self.document && !self.lacks_document() {
            self.document = self.document.max(unchanged.to);
            self.document_seen = self.document_seen.max(unchanged.seen);
        }
    }
}
