//! Which instances watch the key-value service, and what one may do when it is cut off.

use std::hash::{DefaultHasher, Hasher};

use cactuslane_types::Millis;

use crate::record::Record;

/// Number of instances of each failure domain that watch the service.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Time after which an instance that heard from nobody takes no new work, in milliseconds.
pub const CONTACT_TIMEOUT: Millis = 6_000;
/// Mean time between two readings by an instance that does not watch, in milliseconds.
pub const FALLBACK_READ_INTERVAL: Millis = 60_000;
/// Time between two readings by an instance that is cut from its peers, in milliseconds.
pub const ISOLATED_READ_INTERVAL: Millis = 5_000;
/// Least time between two readings of the instance list, in milliseconds.
pub const LIST_INTERVAL: Millis = 1_000;
/// Number of instances for which the time between readings grows by the least time.
const LIST_SCALE: usize = 100;
/// Time between readings by an instance that has just started and is listed alone, in milliseconds:
/// a fleet that starts at once is listed one by one.
const JOINING_LIST_INTERVAL: Millis = 150;
/// Time after its start in which an instance that is listed alone expects others, in milliseconds.
const JOINING_PERIOD: Millis = 10_000;

/// What one instance was last in contact with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// When the key-value service last answered.
    pub store_seen: Option<Millis>,
    /// When another instance was last heard.
    pub peer_seen: Option<Millis>,
    /// The number of other instances that the list or gossip has named.
    pub peer_count: usize,
    /// Says whether a configuration is in force.
    pub configured: bool,
    /// Says whether the instance list was read since the start.
    pub listed: bool,
    /// Says whether the configuration was confirmed as current since the start.
    pub confirmed: bool,
}

/// Says whether an instance may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It may.
    Ready,
    /// It holds no configuration that is known to be current, or knows no instances yet.
    NotConfigured,
    /// It is cut off from the service and from all peers.
    CutOff,
}

/// Returns whether an instance is among those of its failure domain that watch the service.
///
/// Each instance decides by its own view. Where views differ there are more or fewer watchers for
/// a while, and nothing depends on their number but cost and speed.
#[must_use]
pub fn is_watcher<'r>(members: impl Iterator<Item = &'r Record>, me: &Record) -> bool {
    let own_rank = watch_rank(&me.id);
    let higher = members.filter(|record| {
        record.status.is_reachable()
            && record.domain == me.domain
            && watch_rank(&record.id) > own_rank
    });
    higher.count() < WATCHERS_PER_DOMAIN
}

/// Returns whether an instance may take new work.
#[must_use]
pub fn readiness(contact: &Contact, now: Millis) -> Readiness {
    if !contact.configured || !contact.confirmed || !contact.listed {
        return Readiness::NotConfigured;
    }
    let recent = |at: Option<Millis>| at.is_some_and(|at| now.saturating_sub(at) < CONTACT_TIMEOUT);
    if contact.peer_count == 0 || recent(contact.store_seen) || recent(contact.peer_seen) {
        return Readiness::Ready;
    }
    Readiness::CutOff
}

/// Returns when an instance that does not watch reads the service next, from a random share.
#[must_use]
pub fn next_store_read(contact: &Contact, now: Millis, random: f64) -> Millis {
    let isolated = contact
        .peer_seen
        .is_none_or(|at| now.saturating_sub(at) >= CONTACT_TIMEOUT);
    let mean = if isolated {
        ISOLATED_READ_INTERVAL
    } else {
        FALLBACK_READ_INTERVAL
    };
    now + (mean as f64 * (0.5 + random)) as Millis
}

/// Returns the time until the instance list is read next, in milliseconds.
///
/// `instances` counts all that are known, this one included, `uptime` is the time since the start,
/// and `random` a random share.
#[must_use]
pub fn list_read_delay(instances: usize, uptime: Millis, random: f64) -> Millis {
    let scale = instances as f64 / LIST_SCALE as f64;
    let mean = if instances <= 1 && uptime < JOINING_PERIOD {
        JOINING_LIST_INTERVAL as f64
    } else {
        LIST_INTERVAL as f64 * scale.max(1.0)
    };
    (mean * (0.9 + 0.2 * random)) as Millis
}

/// Ranks an instance as a watcher.
fn watch_rank(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(b"watch");
    hasher.write(id.as_bytes());
    hasher.finish()
}
