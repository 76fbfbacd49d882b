//! Tests of at-most-once execution: the idempotency table and the claims of keys.

use cactuslane_once::claim::expired_prefixes;
use cactuslane_once::{
    BeginOutcome, CallKey, ClaimKeys, IDEMPOTENCY_WINDOW, IdempotencyTable, StoredAnswer,
};
use yare::parameterized;

/// Returns the key of a call of the caller `desk`.
fn key(name: &str) -> CallKey {
    ("desk".to_owned(), name.to_owned())
}

/// Returns a successful answer with a body of `length` bytes.
fn answer(length: usize) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![7; length],
    }
}

/// One step of a test case.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Begins the call with a hash that repeats this byte, expecting the outcome of this name.
    Begin(u8, &'static str),
    /// Marks the call as sent, expecting that this is allowed (true) or refused (false).
    Send(bool),
    /// Marks the call as not sent.
    NotSent,
    /// Stores an answer with a body of 3 bytes.
    Answered,
    /// Marks the answer of the call as unknown.
    Unknown,
    /// Advances the time that is passed to `begin`, in milliseconds.
    Advance(u64),
}

/// A call is sent at most once while its key is retained, and a call with the same key gets the
/// outcome that matches the stage of the first one, also if its hash differs or its answer is late.
#[parameterized(
    answered = { &[Step::Begin(1, "first"), Step::Send(true), Step::Answered, Step::Begin(1, "answered")] },
    in_progress = { &[Step::Begin(1, "first"), Step::Begin(1, "wait"), Step::Send(true), Step::Begin(1, "wait")] },
    answer_unknown = { &[Step::Begin(1, "first"), Step::Send(true), Step::Unknown, Step::Begin(1, "unknown"), Step::Send(false)] },
    not_sent = { &[Step::Begin(1, "first"), Step::NotSent, Step::Begin(1, "first"), Step::Send(true)] },
    sent_twice = { &[Step::Begin(1, "first"), Step::Send(true), Step::Send(false)] },
    other_body = { &[Step::Begin(1, "first"), Step::Send(true), Step::Answered, Step::Begin(2, "mismatch")] },
    other_body_not_sent = { &[Step::Begin(1, "first"), Step::NotSent, Step::Begin(2, "mismatch")] },
    late_answer = { &[Step::Begin(1, "first"), Step::Send(true), Step::Unknown, Step::Answered, Step::Begin(1, "unknown")] },
    within_window = { &[Step::Begin(1, "first"), Step::Send(true), Step::Answered, Step::Advance(IDEMPOTENCY_WINDOW - 1), Step::Begin(1, "answered")] },
    after_window = { &[Step::Begin(1, "first"), Step::Send(true), Step::Answered, Step::Advance(IDEMPOTENCY_WINDOW), Step::Begin(1, "first")] },
    in_progress_after_window = { &[Step::Begin(1, "first"), Step::Send(true), Step::Advance(IDEMPOTENCY_WINDOW), Step::Begin(1, "wait")] },
)]
fn a_call_is_executed_at_most_once(steps: &[Step]) {
    let mut table = IdempotencyTable::default();
    let key = key("k");
    let mut now = 0;
    for step in steps {
        match step {
            Step::Begin(hash, expected) => {
                let found = match table.begin(&key, &[*hash; 32], now) {
                    BeginOutcome::First => "first",
                    BeginOutcome::Wait => "wait",
                    BeginOutcome::Answered(found) => {
                        assert_eq!(found, answer(3));
                        "answered"
                    }
                    BeginOutcome::Unknown => "unknown",
                    BeginOutcome::Mismatch => "mismatch",
                    BeginOutcome::Full => "full",
                };
                assert_eq!(found, *expected);
            }
            Step::Send(expected) => assert_eq!(table.mark_sent(&key), *expected),
            Step::NotSent => table.mark_not_sent(&key),
            Step::Answered => table.mark_answered(&key, answer(3)),
            Step::Unknown => table.mark_unknown(&key),
            Step::Advance(time) => now += time,
        }
    }
}

/// Calls are counted as in progress from their beginning until they end as answered, as unknown or
/// as not sent; a stopping instance waits for this count to reach zero.
#[test]
fn calls_in_progress_are_counted() {
    let mut table = IdempotencyTable::default();
    for name in ["a", "b", "c"] {
        assert_eq!(table.begin(&key(name), &[0; 32], 0), BeginOutcome::First);
    }
    assert!(table.mark_sent(&key("a")) && table.mark_sent(&key("b")));
    assert_eq!(table.in_progress(), 3);
    table.mark_answered(&key("a"), answer(1));
    table.mark_unknown(&key("b"));
    table.mark_not_sent(&key("c"));
    assert_eq!(table.in_progress(), 0);
}

/// A full table refuses new keys instead of evicting old ones, whose calls could then be executed
/// a second time.
#[test]
fn a_full_table_refuses_new_keys() {
    let mut table = IdempotencyTable::with_limits(2, 1_000);
    for name in ["a", "b"] {
        assert_eq!(table.begin(&key(name), &[0; 32], 0), BeginOutcome::First);
        assert!(table.mark_sent(&key(name)));
        table.mark_unknown(&key(name));
    }
    assert_eq!(table.begin(&key("c"), &[0; 32], 0), BeginOutcome::Full);
    assert_eq!(table.begin(&key("a"), &[0; 32], 0), BeginOutcome::Unknown);
}

/// Answers beyond the limit on bytes are evicted, the oldest first; their keys stay known, so that
/// their calls are not executed again.
#[test]
fn evicted_answers_become_unknown() {
    let mut table = IdempotencyTable::with_limits(100, 1_000);
    for name in ["a", "b", "c"] {
        assert_eq!(table.begin(&key(name), &[0; 32], 0), BeginOutcome::First);
        assert!(table.mark_sent(&key(name)));
        table.mark_answered(&key(name), answer(400));
    }
    assert!(table.answer_bytes() <= 1_000);
    assert_eq!(table.begin(&key("a"), &[0; 32], 0), BeginOutcome::Unknown);
    assert_eq!(
        table.begin(&key("c"), &[0; 32], 0),
        BeginOutcome::Answered(answer(400))
    );
}

/// Two instances whose clocks differ by at most one window look up each other's claims, wherever in
/// its bucket the time of the first one lies.
#[parameterized(
    same = { 0 },
    behind = { -30_000 },
    ahead = { 30_000 },
    by_one_window = { 3_600_000 },
)]
fn claims_are_found_despite_clock_differences(difference: i64) {
    let wall_ms = 1_000 * IDEMPOTENCY_WINDOW;
    for offset in [0, 1, IDEMPOTENCY_WINDOW / 2, IDEMPOTENCY_WINDOW - 1] {
        let mine = ClaimKeys::of(&key("k"), wall_ms + offset);
        let theirs = ClaimKeys::of(
            &key("k"),
            (wall_ms + offset).saturating_add_signed(difference),
        );
        assert!(mine.all().contains(&&theirs.current));
        assert!(theirs.all().contains(&&mine.current));
    }
}

/// Claims made six windows ago are deleted, but no bucket that an instance still reads is deleted
/// if the clock of the deleting instance is off by 50 minutes.
#[parameterized(
    exact = { 0 },
    behind = { -3_000_000 },
    ahead = { 3_000_000 },
)]
fn only_expired_claims_are_deleted(difference: i64) {
    let wall_ms = 1_000 * IDEMPOTENCY_WINDOW + IDEMPOTENCY_WINDOW / 2;
    let deleted = expired_prefixes(wall_ms.saturating_add_signed(difference));
    let read = ClaimKeys::of(&key("k"), wall_ms);
    for store_key in read.all() {
        assert!(
            !deleted.iter().any(|prefix| store_key.starts_with(prefix)),
            "{store_key}"
        );
    }
    let old = ClaimKeys::of(&key("k"), wall_ms - 6 * IDEMPOTENCY_WINDOW);
    assert!(deleted.iter().any(|prefix| old.current.starts_with(prefix)));
}

/// Two pairs of caller and key whose concatenations are equal have different claims.
#[test]
fn claims_of_callers_differ() {
    let one = ClaimKeys::of(&("ab".to_owned(), "c".to_owned()), IDEMPOTENCY_WINDOW);
    let other = ClaimKeys::of(&("a".to_owned(), "bc".to_owned()), IDEMPOTENCY_WINDOW);
    assert_ne!(one, other);
}
