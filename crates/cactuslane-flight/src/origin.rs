//! The software versions that began streams, as other versions cannot go on with them.

mod begun;
mod evidence;
mod history;
mod segments;

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_types::{Millis, SoftwareVersion};

pub use begun::{BegunStreams, StoredStreams};
pub use evidence::{Evidence, RegisteredVersions, StoreReads};
pub use history::{VersionHistory, VersionList};
pub use segments::{SegmentNumber, SegmentWrite, StreamSegments};

use crate::request_info::{Fingerprint, fingerprint};
use crate::target::Target;

/// Identifier of a stream: a hash of the id of the caller's attempt that brought its first event.
pub type StreamId = Fingerprint;

/// Time for which the version of a stream is kept, in milliseconds.
const RETENTION: Millis = 60_000;
/// Largest number of streams whose versions are kept; those begun first are discarded.
const MAX_STREAMS: usize = 16_384;

/// Returns the identifier of the stream that a caller's attempt with this id began.
#[must_use]
pub fn stream_id(request: &str) -> StreamId {
    fingerprint(&[request.as_bytes()])
}

/// The version at which a stream may go on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamOrigin {
    /// The caller has no event yet, so that any version may begin the stream.
    #[default]
    NotBegun,
    /// This version began the stream.
    Version(SoftwareVersion),
    /// It is not known which version began the stream, so that none may go on.
    Unknown,
}

impl StreamOrigin {
    /// Returns whether a stream may begin or go on at a target.
    #[must_use]
    pub fn allows(&self, target: &Target) -> bool {
        match self {
            Self::NotBegun => true,
            Self::Version(version) => target.version.as_ref() == Some(version),
            Self::Unknown => false,
        }
    }
}

/// Versions of the streams that have begun, those of other instances included.
#[derive(Debug, Default)]
pub struct OriginTable {
    /// Version, and time of the beginning, by stream.
    streams: BTreeMap<StreamId, (SoftwareVersion, Millis)>,
    /// The streams in the order of these times.
    order: BTreeSet<(Millis, StreamId)>,
}

impl OriginTable {
    /// Records that a version began a stream; what is known of the stream already is kept.
    pub fn record(&mut self, stream: StreamId, version: &str, now: Millis) {
        if self.streams.contains_key(&stream) {
            return;
        }
        self.streams.insert(stream, (version.to_owned(), now));
        self.order.insert((now, stream));
        while let Some((at, oldest)) = self.order.first().copied() {
            if self.order.len() <= MAX_STREAMS && now < at + RETENTION {
                return;
            }
            self.order.pop_first();
            self.streams.remove(&oldest);
        }
    }

    /// Returns the version that began a stream, if it is known.
    #[must_use]
    pub fn version(&self, stream: StreamId) -> Option<&SoftwareVersion> {
        self.streams.get(&stream).map(|(version, _)| version)
    }
}
