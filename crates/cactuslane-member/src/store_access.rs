//! Access of instances to the key-value store.
//!
//! Decides which instances watch the store, when the others read it, and whether an instance that
//! has lost contact may take new work. Times are those of this instance's clock.

use std::hash::{DefaultHasher, Hasher};

use cactuslane_types::Millis;

use crate::record::Record;

/// Number of instances of each failure domain that watch the store.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Time for which an instance takes new work after its last contact with the store or any peer, in
/// milliseconds. Without a packet of any peer for as long, it counts as isolated and reads the
/// store more often.
pub const CONTACT_TIMEOUT: Millis = 6_000;
/// Mean time between two reads by an instance that does not watch the store, in milliseconds.
pub const FALLBACK_READ_INTERVAL: Millis = 60_000;
/// Mean time between two reads by an instance that is isolated from its peers, in milliseconds.
pub const ISOLATED_READ_INTERVAL: Millis = 5_000;
/// Mean time between two reads of the instance list with up to 100 known instances, in
/// milliseconds.
pub const LIST_INTERVAL: Millis = 1_000;
/// Number of known instances above which the time between reads of the instance list grows in
/// proportion to their number.
const LIST_SCALE: usize = 100;
/// Mean time between reads of the instance list by an instance that has just started and knows no
/// other, in milliseconds: instances that start simultaneously appear in the list one by one.
const JOINING_LIST_INTERVAL: Millis = 150;
/// Time after its start in which an instance that knows no other expects more to be listed, in
/// milliseconds.
const JOINING_PERIOD: Millis = 10_000;

/// Contact of one instance with the store and its peers since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// When the store last answered a read or watch; `None` before the first answer.
    pub store_seen: Option<Millis>,
    /// When the last authentic packet of another instance arrived; `None` before the first.
    pub peer_seen: Option<Millis>,
    /// Number of other instances known from the instance list or gossip.
    pub peer_count: usize,
    /// Whether a configuration is in force.
    pub configured: bool,
    /// Whether the instance list has been read since the start.
    pub listed: bool,
    /// Whether the store or peers have confirmed the configuration as current since the start.
    pub confirmed: bool,
}

/// Whether an instance may take new work, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// May take new work.
    Ready,
    /// Has no configuration confirmed as current, or has not read the instance list yet.
    NotConfigured,
    /// Knows other instances, but has lost contact with the store and with all of them.
    CutOff,
}

/// Returns whether an instance is among those of its failure domain that watch the store.
///
/// Only those of `members` count that are reachable in the instance's own view. While views differ,
/// there may be more or fewer watchers; only the load on the store and the delay of updates depend
/// on that.
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

/// Returns whether an instance may take new work at a time; one that knows no peers needs no
/// contact.
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

/// Returns when an instance that does not watch reads the store next: half to one and a half times
/// the mean after `now`, for `random` in 0..1.
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

/// Returns the time until the next read of the instance list, in milliseconds.
///
/// `instances` is the number of known instances, this one included, and `uptime` the time since the
/// start, in milliseconds. `random`, in 0..1, varies the mean by 10% either way.
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

/// Returns the hash that ranks an instance among the watchers of its failure domain.
fn watch_rank(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(b"watch");
    hasher.write(id.as_bytes());
    hasher.finish()
}
