//! Messages and records of the builds that are out already, and what cannot be read.
//!
//! The files in `messages/` hold one message of each kind, as the build of that commit wrote it.

use std::time::Duration;

use cactuslane_authority::{UsageBook, UsageUpdate};
use cactuslane_flight::origin::VersionList;
use cactuslane_gateway::leadership::LeaderRecord;
use cactuslane_gateway::members::Member;
use cactuslane_gateway::messages::{LATER_FORM, Message, MessageError, Received, decode};
use cactuslane_place::ShareReport;
use proptest::collection::vec;
use proptest::prelude::*;
use yare::parameterized;

/// Messages of the build at ac4227f.
const AC4227F: &str = include_str!("messages/ac4227f.txt");
/// Messages of the build at 7d6e381.
const BUILD_7D6E381: &str = include_str!("messages/7d6e381.txt");
/// Messages of the build at 2e8f6ab.
const BUILD_2E8F6AB: &str = include_str!("messages/2e8f6ab.txt");

/// Returns the recorded messages of a build, by name.
fn recorded(file: &str) -> Vec<(String, Vec<u8>)> {
    let mut messages = Vec::new();
    for line in file.lines() {
        let (name, text) = line.split_once(' ').expect("it has a name");
        let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("it is hex");
        let bytes = (0..text.len()).step_by(2).map(digits).collect();
        messages.push((name.to_owned(), bytes));
    }
    messages
}

#[parameterized(
    build_7d6e381 = { BUILD_7D6E381, 11 },
    build_2e8f6ab = { BUILD_2E8F6AB, 13 },
)]
fn messages_of_the_last_builds_are_read_and_written_alike(file: &str, count: usize) {
    let messages = recorded(file);
    assert_eq!(messages.len(), count);
    for (name, bytes) in messages {
        let Ok(Received::Whole(message)) = decode(&bytes) else {
            panic!("{name} is not read");
        };
        assert_eq!(message.encode(), Ok(bytes), "{name}");
    }
}

#[test]
fn messages_of_the_build_before_those_are_read_or_skipped() {
    for (name, bytes) in recorded(AC4227F) {
        let read = decode(&bytes);
        match name.as_str() {
            "update" => {
                let Ok(Received::WithoutReach(update)) = read else {
                    panic!("{read:?}");
                };
                assert_eq!((update.sequence, update.loads.len()), (42, 1));
                assert_eq!(update.observations.len(), 1);
            }
            // It does not tell how old its sender's knowledge of the store is.
            "relay" => assert!(matches!(read, Err(MessageError::Malformed(_)))),
            _ => assert!(matches!(read, Ok(Received::Whole(_))), "{name}: {read:?}"),
        }
    }
}

/// Guards against messages that a build before this one cannot read: it skips what follows the
/// message that it knows.
#[parameterized(
    build_ac4227f = { AC4227F, BUILD_7D6E381 },
    build_7d6e381 = { BUILD_7D6E381, BUILD_2E8F6AB },
)]
fn a_build_reads_the_beginning_of_the_next_one_s_messages(old: &str, new: &str) {
    let (old, new) = (recorded(old), recorded(new));
    for ((name, old), (_, new)) in old.iter().zip(&new) {
        assert!(new.starts_with(old), "{name}");
    }
}

/// Guards against revisions of a later era that a build without eras takes for those of the first
/// one: they are in a message of a kind that it skips, and not in the one that it reads.
#[test]
fn relays_of_a_later_era_are_a_kind_of_their_own() {
    let relays = recorded(BUILD_2E8F6AB);
    let (_, bytes) = relays
        .iter()
        .find(|(name, _)| name == "relay")
        .expect("it is recorded");
    let Ok(Received::Whole(Message::Relay(relay))) = decode(bytes) else {
        panic!("the relay is not read");
    };
    let message = Message::RelayOfEra(2, relay);
    let bytes = message.encode().expect("it is encoded");
    assert_eq!(bytes[0], 13, "the kind after those of the last build");
    assert_eq!(decode(&bytes), Ok(Received::Whole(message)));
}

/// Returns counts of so many customers with names of `length` bytes in six windows.
fn full_book(customers: usize, length: usize) -> UsageBook {
    let mut book = UsageBook::new(("front-a-1".to_owned(), 1_700_000_000_000));
    book.set_length(Some(Duration::from_secs(5)));
    for window in 0..6_u64 {
        for customer in 0..customers {
            let name = format!("{customer:0length$}");
            book.record(&name, 1_700_000_000_000 + window * 5_000);
        }
    }
    book
}

/// Guards against a message that the receiver's buffer cuts.
#[parameterized(
    usual = { 270, 9 },
    long_names = { 270, 250 },
    many = { 1_500, 40 },
)]
fn usage_counts_fit_messages(customers: usize, length: usize) {
    let book = full_book(customers, length);
    let parts = book.counts_of(book.own(), 0);
    let mut counts = 0;
    for windows in parts {
        counts += windows
            .iter()
            .map(|(_, counts)| counts.len())
            .sum::<usize>();
        let message = Message::Usage(UsageUpdate {
            sender: "front-a-1".to_owned(),
            unix_time: u64::MAX,
            process: book.own().clone(),
            windows,
        });
        let bytes = message.encode().expect("it is encoded");
        assert!(bytes.len() <= 9 << 10, "{} bytes", bytes.len());
        assert_eq!(decode(&bytes), Ok(Received::Whole(message)));
    }
    assert_eq!(counts, customers * 6);
}

/// Guards against a change of the form in which other builds read the counts.
#[test]
fn usage_counts_keep_their_form() {
    let message = Message::Usage(UsageUpdate {
        sender: "a".to_owned(),
        unix_time: 300,
        process: ("b".to_owned(), 5),
        windows: vec![(7, vec![("c".to_owned(), 200)])],
    });
    let bytes = [11, 1, b'a', 0xac, 2, 1, b'b', 5, 1, 7, 1, 1, b'c', 0xc8, 1];
    assert_eq!(message.encode(), Ok(bytes.to_vec()));
    assert_eq!(decode(&bytes), Ok(Received::Whole(message)));
}

#[parameterized(
    later_form = { &[LATER_FORM, 1, 2], MessageError::LaterForm(LATER_FORM) },
    unknown_kind = { &[16, 0], MessageError::UnknownKind(16) },
    empty = { &[], MessageError::Malformed("empty".to_owned()) },
)]
fn a_message_that_cannot_be_read_says_why(bytes: &[u8], expected: MessageError) {
    assert_eq!(decode(bytes), Err(expected));
}

/// Guards against a change of what instances ask each other of the processes of targets.
#[parameterized(
    query = { Message::ProcessQuery(300, "i".to_owned(), 400), &[14, 172, 2, 1, b'i', 144, 3] },
    heard = { Message::ProcessHeard(300), &[15, 172, 2] },
)]
fn questions_for_processes_keep_their_form(message: Message, bytes: &[u8]) {
    assert_eq!(message.encode().as_deref(), Ok(bytes));
    assert_eq!(decode(bytes), Ok(Received::Whole(message)));
}

#[test]
fn what_a_later_build_appends_is_skipped() {
    for (name, mut bytes) in recorded(BUILD_2E8F6AB) {
        let read = decode(&bytes);
        bytes.extend([7, 7, 7]);
        assert_eq!(decode(&bytes), read, "{name}");
    }
}

/// Guards against a change of what instances tell each other of customers.
#[test]
fn a_report_of_shares_keeps_its_form() {
    let report = ShareReport {
        service: "m".to_owned(),
        version: (5, 6),
        named: vec![("c".to_owned(), 300)],
        rest: (2, 7),
        is_pressed: true,
    };
    let message = Message::Shares("i".to_owned(), report);
    let bytes = [12, 1, b'i', 1, b'm', 5, 6, 1, 1, b'c', 172, 2, 2, 7, 1];
    assert_eq!(message.encode().as_deref(), Ok(&bytes[..]));
    assert_eq!(decode(&bytes), Ok(Received::Whole(message)));
}

/// Guards against a record of the store that an older or a later build has written and this one
/// cannot read.
#[test]
fn records_of_other_builds_are_read() {
    let member = r#"{"instance":"front-a-1","front":"10.1.0.38:8149","peer":"10.1.0.38:7380",
        "domain":"a","leaving":false,"started":1700000000000,"later":[1]}"#;
    let member: Member = serde_json::from_str(member).expect("it is read");
    assert_eq!(member.instance, "front-a-1");
    assert!(!member.compares, "its build may not compare configurations");
    let leader = r#"{"instance":"front-a-1","started":1700000000000,"later":null}"#;
    let leader: LeaderRecord = serde_json::from_str(leader).expect("it is read");
    assert_eq!(leader.started, 1_700_000_000_000);
    let list = r#"{"model":["v1",null]}"#;
    let list: VersionList = serde_json::from_str(list).expect("it is read");
    assert_eq!(list["model"].len(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Guards against an end of the process by a message, and against one that is read by guess.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in vec(any::<u8>(), 0..200)) {
        let read = decode(&bytes);
        let known = bytes.first().is_some_and(|kind| *kind < 16);
        prop_assert!(known || read.is_err());
    }

    #[test]
    fn damaged_messages_are_read_or_refused(
        number in 0..13_usize, at in any::<prop::sample::Index>(), byte in any::<u8>(),
        length in any::<prop::sample::Index>(),
    ) {
        let (_, mut bytes) = recorded(BUILD_2E8F6AB).swap_remove(number);
        let at = at.index(bytes.len());
        bytes[at] = byte;
        bytes.truncate(length.index(bytes.len() + 1));
        if let Ok(Received::Whole(message)) = decode(&bytes) {
            let again = message.encode().map(|bytes| decode(&bytes).is_ok());
            prop_assert_eq!(again, Ok(true));
        }
    }
}
