//! The division of the streams that the store keeps for one process into segments, so that a write
//! does not repeat them all.

use std::collections::{BTreeMap, BTreeSet};

use super::{StoredStreams, StreamId};

/// Number of streams from which on a segment is not written again.
const SEGMENT_STREAMS: usize = 16;
/// Largest number of segments that one write deletes.
const MAX_DELETES: usize = 16;

/// Number of a segment, counted from 0 in each process.
pub type SegmentNumber = u64;

/// A write of segments to the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentWrite {
    /// The segment to write.
    pub number: SegmentNumber,
    /// All streams of that segment.
    pub streams: StoredStreams,
    /// The segments to delete, whose streams need not be kept any longer.
    pub deletes: Vec<SegmentNumber>,
}

/// A segment that is, or may be, in the store.
#[derive(Clone, Debug)]
struct Segment {
    /// Its streams.
    streams: StoredStreams,
    /// Whether the store acknowledged them.
    acknowledged: bool,
}

/// The segments of one process that are in the store.
#[derive(Clone, Debug, Default)]
pub struct StreamSegments {
    /// The segments by their numbers.
    segments: BTreeMap<SegmentNumber, Segment>,
    /// Number of the next segment.
    next: SegmentNumber,
}

impl StreamSegments {
    /// Returns the write after which the store keeps all of `streams`; `None` if it does already.
    #[must_use]
    pub fn plan(&self, streams: &StoredStreams) -> Option<SegmentWrite> {
        let acknowledged = self
            .segments
            .values()
            .filter(|segment| segment.acknowledged);
        let stored = acknowledged.flat_map(|segment| ids(&segment.streams));
        let stored: BTreeSet<StreamId> = stored.collect();
        let mut new = StoredStreams::new();
        for (version, streams) in streams {
            let missing = streams.iter().filter(|stream| !stored.contains(stream));
            let missing: Vec<StreamId> = missing.copied().collect();
            if !missing.is_empty() {
                new.insert(version.clone(), missing);
            }
        }
        if new.is_empty() {
            return None;
        }
        let kept: BTreeSet<StreamId> = ids(streams).collect();
        let mut write = SegmentWrite {
            number: self.next,
            ..SegmentWrite::default()
        };
        for (number, segment) in &self.segments {
            if ids(&segment.streams).any(|stream| kept.contains(&stream)) {
                continue;
            }
            if write.deletes.len() < MAX_DELETES {
                write.deletes.push(*number);
            }
        }
        if let Some((number, last)) = self.segments.last_key_value()
            && number + 1 == self.next
            && ids(&last.streams).count() < SEGMENT_STREAMS
            && !write.deletes.contains(number)
        {
            write.number = *number;
            write.streams.clone_from(&last.streams);
        }
        for (version, streams) in new {
            write.streams.entry(version).or_default().extend(streams);
        }
        Some(write)
    }

    /// Records that the store acknowledged a write.
    pub fn record(&mut self, write: SegmentWrite) {
        for number in &write.deletes {
            self.segments.remove(number);
        }
        self.next = self.next.max(write.number + 1);
        let segment = Segment {
            streams: write.streams,
            acknowledged: true,
        };
        self.segments.insert(write.number, segment);
    }

    /// Records that a write failed: it may take effect later, so that its segment is not written
    /// again.
    pub fn record_failure(&mut self, write: SegmentWrite) {
        self.next = self.next.max(write.number + 1) + 1;
        self.segments.entry(write.number).or_insert(Segment {
            streams: write.streams,
            acknowledged: false,
        });
    }

    /// Records that the store may have lost all segments; their numbers are not used again.
    pub fn clear(&mut self) {
        self.segments.clear();
    }
}

/// Returns the streams of a segment.
fn ids(streams: &StoredStreams) -> impl Iterator<Item = StreamId> {
    streams.values().flatten().copied()
}
