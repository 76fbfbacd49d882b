//! Which event is likely next in a stream, as far as the earlier streams of its service showed.
//!
//! That is no reason to cut a stream: another event than the likely one raises the question
//! whether events are missing, which [`Gap`](crate::gaps::Gap) decides.

use std::collections::BTreeMap;

use cactuslane_types::{ServiceName, SoftwareVersion};

use crate::events::EventScanner;

/// Number of whole streams whose ids count by one after which the next id is due.
const MIN_STREAMS: u32 = 16;
/// Number of events of a stream that shows whether ids count by one.
const MIN_EVENTS: u64 = 2;
/// Number of streams with another event than the one that was due after which none is due any more.
const MAX_WRONG: u32 = 3;
/// Number of streams with the events that were due after which earlier ones with others are forgotten.
const FORGET_STREAMS: u32 = 256;
/// Largest number of services and versions of which something is known; all is learnt anew then.
const MAX_ENTRIES: usize = 256;

/// What streams showed of the event ids of their services, for each software version.
///
/// Ids need only grow, so that a stream whose ids count tokens may begin at any. Only where the
/// whole streams so far counted 1, 2, 3 is the next id due for each event of a stream.
#[derive(Clone, Debug, Default)]
pub struct EventIds {
    /// What is known by service and version.
    seen: BTreeMap<(ServiceName, Option<SoftwareVersion>), Seen>,
}

/// What the streams of one service at one version showed.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Number of whole streams that counted by one.
    streams: u32,
    /// Number of streams that had another event than the one that was due, until it is forgotten.
    wrong: u32,
    /// Number of streams since then that had the events that were due.
    right: u32,
    /// Whether a whole stream did not count by one, or too many had another event than was due.
    varies: bool,
}

impl EventIds {
    /// Returns whether a stream of a service is likely to begin, or to go on, with the next id.
    #[must_use]
    pub fn is_next_due(&self, service: &str, version: Option<&str>) -> bool {
        let seen = self.seen.get(&key(service, version));
        seen.is_some_and(|seen| seen.streams >= MIN_STREAMS && !seen.varies)
    }

    /// Records a stream that ended as whole; one that its caller took up is no evidence, as the
    /// caller says where.
    pub fn record_whole(&mut self, service: &str, version: Option<&str>, scanner: &EventScanner) {
        let Some(by_one) = scanner.counts_by_one() else {
            return;
        };
        let seen = self.entry(service, version);
        if !by_one {
            seen.varies = true;
        } else if scanner.last_id() >= Some(MIN_EVENTS) {
            seen.streams = seen.streams.saturating_add(1);
        }
    }

    /// Records that a stream had the events that were due.
    pub fn record_right(&mut self, service: &str, version: Option<&str>) {
        let seen = self.entry(service, version);
        seen.right = seen.right.saturating_add(1);
        if seen.right >= FORGET_STREAMS {
            seen.wrong = 0;
        }
    }

    /// Records that a stream had another event than the one that was due, and nothing showed that
    /// events are missing; returns whether events are due any longer.
    pub fn record_wrong(&mut self, service: &str, version: Option<&str>) -> bool {
        let seen = self.entry(service, version);
        seen.wrong = seen.wrong.saturating_add(1);
        seen.right = 0;
        seen.varies |= seen.wrong >= MAX_WRONG;
        !seen.varies
    }

    /// Returns the number of services and versions of which something is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Returns what is known of a service at a version.
    fn entry(&mut self, service: &str, version: Option<&str>) -> &mut Seen {
        let key = key(service, version);
        if self.seen.len() >= MAX_ENTRIES && !self.seen.contains_key(&key) {
            self.seen.clear();
        }
        self.seen.entry(key).or_default()
    }
}

/// Returns the key of a service at a version.
fn key(service: &str, version: Option<&str>) -> (ServiceName, Option<SoftwareVersion>) {
    (service.to_owned(), version.map(str::to_owned))
}
