//! Choice of addresses and of watchers, readiness of an instance without contact, and reads of the
//! instance list.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cactuslane_member::addresses;
use cactuslane_member::store_access::{
    CONTACT_TIMEOUT, Contact, LIST_INTERVAL, Readiness, WATCHERS_PER_DOMAIN, is_watcher,
    list_read_delay, readiness,
};
use cactuslane_member::{Record, Status};
use yare::parameterized;

/// Returns records of alive members in three failure domains.
fn members(count: usize) -> Vec<Record> {
    let mut members = Vec::new();
    for index in 0..count {
        let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16));
        let domain = format!("domain-{}", index % 3);
        let mut record = Record::from_list(&format!("entry-{index}"), address, &domain);
        record.serving = address;
        members.push(record);
    }
    members
}

/// An instance is ready while it has contact with the store or a peer or knows no peers, and never
/// without a confirmed configuration.
#[parameterized(
    all = { Some(0), Some(0), 6, true, Readiness::Ready },
    no_store = { None, Some(0), 6, true, Readiness::Ready },
    no_peers = { Some(0), None, 6, true, Readiness::Ready },
    old_store = { Some(CONTACT_TIMEOUT), Some(0), 6, true, Readiness::Ready },
    cut_off = { Some(CONTACT_TIMEOUT), Some(CONTACT_TIMEOUT), 6, true, Readiness::CutOff },
    alone = { Some(CONTACT_TIMEOUT), None, 0, true, Readiness::Ready },
    unconfirmed = { Some(0), Some(0), 6, false, Readiness::NotConfigured },
)]
fn readiness_follows_contact(
    store: Option<u64>,
    peer: Option<u64>,
    peer_count: usize,
    confirmed: bool,
    expected: Readiness,
) {
    /// The time at which readiness is determined, in milliseconds.
    const NOW: u64 = 100_000;
    let contact = Contact {
        store_seen: store.map(|age| NOW - age),
        peer_seen: peer.map(|age| NOW - age),
        peer_count,
        configured: true,
        listed: true,
        confirmed,
    };
    assert_eq!(readiness(&contact, NOW), expected);
}

/// Each failure domain has [`WATCHERS_PER_DOMAIN`] watchers, whatever the number of instances.
#[parameterized(
    seven = { 7 },
    all = { 330 },
)]
fn watchers_per_domain_do_not_depend_on_count(count: usize) {
    let members = members(count);
    let mut watching: BTreeMap<&str, usize> = BTreeMap::new();
    for member in &members {
        if is_watcher(members.iter(), member) {
            *watching.entry(member.domain.as_str()).or_default() += 1;
        }
    }
    assert_eq!(watching.len(), 3);
    assert!(
        watching.values().all(|count| *count == WATCHERS_PER_DOMAIN),
        "{watching:?}"
    );
}

/// Addresses are those of alive instances from several failure domains, the near domain first.
#[test]
fn addresses_in_the_near_domain_come_first() {
    let mut members = members(12);
    members[1].status = Status::Leaving;
    members[2].status = Status::Suspect;
    members[3].status = Status::Gone;
    for seed in 0..50 {
        let chosen = addresses::choose(members.iter(), "desk", "domain-1", seed);
        let ids: BTreeSet<&str> = chosen
            .iter()
            .map(|address| address.instance.as_str())
            .collect();
        assert!(ids.is_disjoint(&BTreeSet::from(["entry-1", "entry-2", "entry-3"])));
        assert_eq!(chosen[0].domain, "domain-1");
        let domains: BTreeSet<&str> = chosen
            .iter()
            .map(|address| address.domain.as_str())
            .collect();
        assert_eq!(domains.len(), 3);
    }
}

/// Callers spread evenly: no instance is first in twice its share of the answers or more.
#[test]
fn first_addresses_spread_evenly() {
    let members = members(30);
    let mut first: BTreeMap<String, u32> = BTreeMap::new();
    for caller in 0..270 {
        for seed in 0..10 {
            let chosen = addresses::choose(members.iter(), &format!("c{caller}"), "", seed);
            *first.entry(chosen[0].instance.clone()).or_default() += 1;
        }
    }
    let mean = 270.0 * 10.0 / 30.0;
    assert_eq!(first.len(), 30);
    assert!(
        first.values().all(|count| f64::from(*count) < 2.0 * mean),
        "{first:?}"
    );
}

#[test]
fn suspected_members_are_chosen_only_if_none_is_alive() {
    let mut members = members(3);
    for member in &mut members {
        member.status = Status::Suspect;
    }
    let chosen = |members: &[Record]| addresses::choose(members.iter(), "desk", "", 1).len();
    assert_eq!(chosen(&members), 3);
    members[1].status = Status::Alive;
    assert_eq!(chosen(&members), 1);
    members[1].status = Status::Leaving;
    assert_eq!(chosen(&members), 2);
}

/// An instance that knows no other reads the instance list more often just after its start. One
/// that knows others, or has known none for a minute, reads it at the normal interval.
#[parameterized(
    starting_alone = { 1, 500, 100, 300 },
    long_alone = { 1, 60_000, LIST_INTERVAL * 9 / 10, LIST_INTERVAL * 11 / 10 },
    starting_with_others = { 2, 500, LIST_INTERVAL * 9 / 10, LIST_INTERVAL * 11 / 10 },
    many = { 330, 500, LIST_INTERVAL * 29 / 10, LIST_INTERVAL * 37 / 10 },
)]
fn starting_instance_without_others_reads_the_list_sooner(
    instances: usize,
    uptime: u64,
    least: u64,
    most: u64,
) {
    for random in [0.0, 0.5, 0.999] {
        let pause = list_read_delay(instances, uptime, random);
        assert!((least..=most).contains(&pause), "{pause}");
    }
}
