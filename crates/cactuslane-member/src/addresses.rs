//! Selection of the instance addresses that a caller gets.

use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;

use cactuslane_types::{DomainName, InstanceId};

use crate::record::{Record, Status};

/// Largest number of addresses in an answer, and of home instances of a caller.
pub const MAX_ADDRESSES: usize = 6;

/// One address in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address {
    /// The instance that serves there.
    pub instance: InstanceId,
    /// The address for callers.
    pub serving: SocketAddr,
    /// The failure domain of the instance.
    pub domain: DomainName,
}

/// Returns the addresses for a caller in the order of preference.
///
/// Only the home instances of the caller are returned, so that few instances have to share the
/// enforcement of its limits. Those in the failure domain `near_domain` come first. Within each
/// group the order depends on `seed`, which differs between requests, so that the processes that
/// use one caller name spread evenly. Leaving and gone members are never returned, suspected ones
/// only if there is no alive one.
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
        // If no member seems alive, this instance may itself be cut off or slow.
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

/// Returns the home instances of a caller: at most [`MAX_ADDRESSES`] alive instances.
///
/// They are those with the highest hash of caller and instance (rendezvous hashing), so each
/// instance computes the same ones from the same members. One instance of each failure domain
/// comes before a second one of any.
#[must_use]
pub fn home_instances<'r>(
    members: impl Iterator<Item = &'r Record>,
    caller: &str,
) -> Vec<&'r Record> {
    homes_with_status(members, caller, Status::Alive)
}

/// Returns the home instances among members with the status and a known address for callers.
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
        // Each pass takes the highest-ranked remaining instance of each failure domain.
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

/// Returns the rendezvous hash of a caller and an instance; the highest ranks first.
fn home_rank(caller: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(caller.as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_bytes());
    hasher.finish()
}
