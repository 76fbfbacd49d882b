//! Pings of an instance that knows the others only from the instance list.
//!
//! Until it has received a record of another instance, it can give callers no address but its own;
//! with one ping a period, a few lost datagrams would prolong that by seconds.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cactuslane_member::message::Message;
use cactuslane_member::{Action, MemberParams, Membership, Packet, Record};

/// Number of listed instances other than the one under test.
const OTHERS: u16 = 5;

/// Returns the record of an instance as its own process knows it.
fn own_record(number: u16) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
    let mut record = Record::from_list(&format!("entry-{number}"), address, &"near".to_owned());
    record.incarnation = 1;
    record.serving = SocketAddr::from(([127, 0, 0, 1], 8_000 + number));
    record
}

/// Returns the membership of an instance that knows others only from the instance list.
fn starting_membership() -> Membership {
    let mut members = Membership::new(own_record(0), MemberParams::default(), 1);
    for number in 1..=OTHERS {
        let record = own_record(number);
        members.add_listed(&record.id, record.gossip, &record.domain, 0);
    }
    members
}

/// Returns the distinct addresses that actions send pings to.
fn pinged(actions: &[Action]) -> BTreeSet<SocketAddr> {
    let mut addresses = BTreeSet::new();
    for action in actions {
        if let Action::Send(address, packet) = action
            && packet.message == Message::Ping
        {
            addresses.insert(*address);
        }
    }
    addresses
}

/// A joining instance pings several others at the same time, and again every 300 ms, until it has
/// received a record of one of them.
#[test]
fn joining_instance_pings_several_until_a_record_arrives() {
    let mut members = starting_membership();
    assert!(pinged(&members.tick(0)).len() >= 4);
    assert!(pinged(&members.tick(100)).is_empty());
    assert!(pinged(&members.tick(300)).len() >= 4);
    let other = own_record(3);
    let packet = Packet {
        from: other.id.clone(),
        incarnation: other.incarnation,
        sequence: 9,
        message: Message::Ack(1),
        records: vec![other.clone()],
    };
    members.receive(other.gossip, &packet, 350);
    let known = members.record("entry-3").expect("it is listed");
    assert_eq!(known.serving, other.serving);
    assert!(pinged(&members.tick(600)).is_empty());
}

/// An instance that knows no other sends nothing.
#[test]
fn instance_without_others_sends_nothing() {
    let mut members = Membership::new(own_record(0), MemberParams::default(), 1);
    assert!(members.tick(0).is_empty());
    assert!(members.tick(300).is_empty());
}
