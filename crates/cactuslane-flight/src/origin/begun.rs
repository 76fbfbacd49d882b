//! The streams that this instance began, and what the store is to keep of them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cactuslane_types::{Millis, ServiceName, SoftwareVersion};

use super::StreamId;

/// Largest number of streams that are kept; those begun first are discarded.
const MAX_STREAMS: usize = 4_096;

/// The streams that the store keeps for one instance, by the version that began them.
pub type StoredStreams = BTreeMap<SoftwareVersion, Vec<StreamId>>;

/// A stream that this instance began.
#[derive(Clone, Debug)]
struct Begun {
    /// Time of its first event.
    at: Millis,
    /// Identifier of the stream.
    stream: StreamId,
    /// Service of the target that began it.
    service: ServiceName,
    /// Version of that target.
    version: SoftwareVersion,
}

/// The streams that this instance began recently.
#[derive(Debug, Default)]
pub struct BegunStreams {
    /// The streams in the order of their beginnings.
    streams: VecDeque<Begun>,
}

impl BegunStreams {
    /// Records that a target of a service began a stream.
    pub fn record(&mut self, stream: StreamId, service: &str, version: &str, now: Millis) {
        if self.streams.len() == MAX_STREAMS {
            self.streams.pop_front();
        }
        self.streams.push_back(Begun {
            at: now,
            stream,
            service: service.to_owned(),
            version: version.to_owned(),
        });
    }

    /// Returns the streams of the services that `is_mixed` selects, and discards those that began
    /// longer than `lifetime` ago.
    #[must_use]
    pub fn stored(
        &mut self,
        lifetime: Duration,
        is_mixed: impl Fn(&str) -> bool,
        now: Millis,
    ) -> StoredStreams {
        let lifetime = lifetime.as_millis() as Millis;
        self.streams.retain(|begun| now < begun.at + lifetime);
        let mut mixed: BTreeMap<&str, bool> = BTreeMap::new();
        let mut stored = StoredStreams::new();
        for begun in &self.streams {
            let service = begun.service.as_str();
            if *mixed.entry(service).or_insert_with(|| is_mixed(service)) {
                let streams = stored.entry(begun.version.clone()).or_default();
                streams.push(begun.stream);
            }
        }
        stored
    }
}
