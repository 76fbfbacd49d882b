//! What an instance does until it has heard of the first other one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cactuslane_member::message::Message;
use cactuslane_member::{Action, MemberParams, Membership, Packet, Record};

/// Number of the listed instances beside the one under test.
const OTHERS: u16 = 5;

/// Returns the record of an instance as its own process knows it.
fn own_record(number: u16) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
    let mut record = Record::from_list(&format!("entry-{number}"), address, &"near".to_owned());
    record.incarnation = 1;
    record.serving = SocketAddr::from(([127, 0, 0, 1], 8_000 + number));
    record
}

/// Returns the membership of an instance that knows the list alone.
fn starting() -> Membership {
    let mut members = Membership::new(own_record(0), MemberParams::default(), 1);
    for number in 1..=OTHERS {
        let record = own_record(number);
        members.add_listed(&record.id, record.gossip, &record.domain, 0);
    }
    members
}

/// Returns the addresses that are pinged.
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

/// Several others are asked at once, and again soon, until a record of one of them is known.
#[test]
fn several_are_asked_until_one_is_heard() {
    let mut members = starting();
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

/// An instance that is alone asks nobody.
#[test]
fn an_instance_that_is_alone_asks_nobody() {
    let mut members = Membership::new(own_record(0), MemberParams::default(), 1);
    assert!(members.tick(0).is_empty());
    assert!(members.tick(300).is_empty());
}
