//! The choice of entry addresses for a caller.

use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;

use cactuslane_types::{DomainName, InstanceId};

use crate::record::{Record, Status};

/// Number of addresses in an answer at most.
pub const MAX_ADDRESSES: usize = 6;

/// One address of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address {
    /// Names the instance.
    pub instance: InstanceId,
    /// Its address for callers.
    pub serving: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Returns the addresses for a caller in the order of preference.
///
/// Each caller has home instances, those with the highest hash of both names, so that its limits
/// are shared between few. Those in the caller's failure domain come first; the seed of the
/// question turns the order within each group, so that callers of one name spread evenly. Members
/// that leave or are gone never stand in an answer, suspected ones only where no other is left.
#[must_use]
pub fn choose<'r>(
    members: impl Iterator<Item = &'r Record>,
    caller: &str,
    near_domain: &str,
    seed: u64,
) -> Vec<Address> {
    let members: Vec<&Record> = members.collect();
    let mut homes = home_instances(members.iter().copied(), caller);
    if homes.is_empty() {
        // Whoever hears nobody may be the one that is cut off or slow.
        homes = homes_with_status(members.into_iter(), caller, Status::Suspect);
    }
    let rank = |record: &&Record| {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(seed);
        hasher.write(record.id.as_bytes());
        (record.domain != near_domain, hasher.finish())
    };
    homes.sort_by_key(rank);
    let mut addresses = Vec::new();
    for record in homes {
        addresses.push(Address {
            instance: record.id.clone(),
            serving: record.serving,
            domain: record.domain.clone(),
        });
    }
    addresses
}

/// Returns the home instances of a caller: at most [`MAX_ADDRESSES`] that serve.
///
/// One instance of each failure domain comes before a second of any.
#[must_use]
pub fn home_instances<'r>(
    members: impl Iterator<Item = &'r Record>,
    caller: &str,
) -> Vec<&'r Record> {
    homes_with_status(members, caller, Status::Alive)
}

/// Returns the home instances among those with a status.
fn homes_with_status<'r>(
    members: impl Iterator<Item = &'r Record>,
    caller: &str,
    status: Status,
) -> Vec<&'r Record> {
    let serves = |record: &&Record| record.status == status && record.serving.port() != 0;
    let mut ranked: Vec<(u64, &Record)> = members
        .filter(serves)
        .map(|record| (home_rank(caller, &record.id), record))
        .collect();
    ranked.sort_by_key(|(rank, record)| (std::cmp::Reverse(*rank), record.id.clone()));
    let mut chosen: Vec<&Record> = Vec::new();
    let mut rest: Vec<&Record> = ranked.into_iter().map(|(_, record)| record).collect();
    while chosen.len() < MAX_ADDRESSES && !rest.is_empty() {
        // One pass takes the best instance of each failure domain.
        let mut domains: Vec<&DomainName> = Vec::new();
        let mut remaining = Vec::new();
        for record in rest {
            if chosen.len() < MAX_ADDRESSES && !domains.contains(&&record.domain) {
                domains.push(&record.domain);
                chosen.push(record);
            } else {
                remaining.push(record);
            }
        }
        rest = remaining;
    }
    chosen
}

/// Ranks an instance for a caller.
fn home_rank(caller: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(caller.as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_bytes());
    hasher.finish()
}
