//! Tests of message authentication and replay protection.

use cactuslane_wire::token::{IssuedKey, decode, encode};
use cactuslane_wire::{ClusterKey, Purpose, ReplayWindow, WireError};
use yare::parameterized;

/// A sealed value opens with the same key and purpose.
#[test]
fn sealed_value_opens_with_the_same_key_and_purpose() {
    let key = ClusterKey::new("a key between instances");
    let sealed = key.seal(Purpose::Gossip, &(7_u32, "text".to_owned()));
    assert_eq!(
        key.open(Purpose::Gossip, &sealed),
        Ok((7_u32, "text".to_owned()))
    );
}

/// Guards against acceptance of a value that was sealed for another purpose or with another key,
/// has any one bit flipped or is cut short.
#[test]
fn foreign_and_altered_values_are_rejected() {
    let key = ClusterKey::new("a key between instances");
    let sealed = key.seal(Purpose::Gossip, &7_u64);
    let opened: Result<u64, WireError> = key.open(Purpose::Forward, &sealed);
    assert_eq!(opened, Err(WireError::InvalidTag));
    let other = ClusterKey::new("another key between instances");
    assert_eq!(
        other.open::<u64>(Purpose::Gossip, &sealed),
        Err(WireError::InvalidTag)
    );
    for bit in 0..sealed.len() * 8 {
        let mut changed = sealed.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(
            key.open::<u64>(Purpose::Gossip, &changed).is_err(),
            "bit {bit}"
        );
    }
    for length in 0..sealed.len() {
        assert!(key.open::<u64>(Purpose::Gossip, &sealed[..length]).is_err());
    }
}

/// A token decodes from its text form; another purpose and text that is not a token are rejected.
#[test]
fn token_decodes_from_its_text_form() {
    let key = ClusterKey::new("a key between instances");
    let token = IssuedKey {
        caller: "desk".to_owned(),
        instance: "entry-1".to_owned(),
        incarnation: 3,
        issued_at: 5,
        nonce: 9,
    };
    let text = encode(&key, Purpose::IssuedKey, &token);
    assert_eq!(decode(&key, Purpose::IssuedKey, &text), Ok(token));
    assert_eq!(
        decode::<IssuedKey>(&key, Purpose::Resume, &text),
        Err(WireError::InvalidTag)
    );
    assert_eq!(
        decode::<IssuedKey>(&key, Purpose::Resume, "no token"),
        Err(WireError::Malformed)
    );
}

/// Guards against replays: each sequence number is accepted at most once, late ones only within the
/// window of 64 numbers, and none from an earlier incarnation. Each message is given by its
/// incarnation and sequence number.
#[parameterized(
    in_order = { &[(1, 1), (1, 2), (1, 3)], &[true, true, true] },
    repeated = { &[(1, 1), (1, 2), (1, 1), (1, 2)], &[true, true, false, false] },
    late = { &[(1, 5), (1, 3), (1, 4), (1, 3)], &[true, true, true, false] },
    too_late = { &[(1, 100), (1, 36), (1, 37)], &[true, false, true] },
    jump = { &[(1, 1), (1, 1_000), (1, 1)], &[true, true, false] },
    restart = { &[(1, 9), (2, 1), (1, 10), (2, 1)], &[true, true, false, false] },
)]
fn sequence_number_is_accepted_at_most_once(messages: &[(u64, u64)], expected: &[bool]) {
    let mut window = ReplayWindow::default();
    let accepted: Vec<bool> = messages
        .iter()
        .map(|(incarnation, sequence)| window.accept(*incarnation, *sequence))
        .collect();
    assert_eq!(accepted, expected);
}
