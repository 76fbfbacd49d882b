//! Authenticity and freshness of messages.

use cactuslane_wire::token::{IssuedKey, decode, encode};
use cactuslane_wire::{ClusterKey, Purpose, ReplayWindow, WireError};
use yare::parameterized;

/// A sealed value opens under the same key and purpose.
#[test]
fn a_value_opens() {
    let key = ClusterKey::new("a key between instances");
    let sealed = key.seal(Purpose::Gossip, &(7_u32, "text".to_owned()));
    assert_eq!(
        key.open(Purpose::Gossip, &sealed),
        Ok((7_u32, "text".to_owned()))
    );
}

/// A value does not open for another purpose, under another key, or with any bit changed.
#[test]
fn forged_values_do_not_open() {
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

/// A token survives its text form.
#[test]
fn a_token_is_read_back() {
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

/// Every number is accepted once, late ones within the window, none of an earlier incarnation.
#[parameterized(
    in_order = { &[(1, 1), (1, 2), (1, 3)], &[true, true, true] },
    repeated = { &[(1, 1), (1, 2), (1, 1), (1, 2)], &[true, true, false, false] },
    late = { &[(1, 5), (1, 3), (1, 4), (1, 3)], &[true, true, true, false] },
    too_late = { &[(1, 100), (1, 36), (1, 37)], &[true, false, true] },
    jump = { &[(1, 1), (1, 1_000), (1, 1)], &[true, true, false] },
    restart = { &[(1, 9), (2, 1), (1, 10), (2, 1)], &[true, true, false, false] },
)]
fn a_number_is_accepted_once(numbers: &[(u64, u64)], expected: &[bool]) {
    let mut window = ReplayWindow::default();
    let accepted: Vec<bool> = numbers
        .iter()
        .map(|(incarnation, number)| window.accept(*incarnation, *number))
        .collect();
    assert_eq!(accepted, expected);
}
