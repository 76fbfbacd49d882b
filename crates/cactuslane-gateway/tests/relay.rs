//! Relays of store changes, and the rate of calls to a failing store.

use std::time::Duration;

use cactuslane_gateway::backoff::backoff_factor;
use cactuslane_gateway::backoff::{Backoff, FIRST_PAUSE};
use cactuslane_gateway::keys::RECORDS_PREFIX;
use cactuslane_gateway::relay::{Continuation, READ_TIME, Relay, is_watcher, relay_timeout};
use cactuslane_platform::store::CONFIG_KEY;
use cactuslane_store::kv::{Change, Changes, Item, KvError, WATCH_GRACE, position_of};
use cactuslane_types::{Era, Position};
use yare::parameterized;

/// The era of the store in these tests.
const ERA: Era = 3;

/// Returns the position of a revision.
fn at(revision: u64) -> Position {
    Position::new(ERA, revision)
}

/// Returns the change that writes a value of `bytes` bytes at a revision.
fn written(revision: u64, bytes: usize) -> Change {
    Change::Written(Item {
        key: format!("k{revision}"),
        value: vec![7; bytes],
        position: at(revision),
        lease: None,
    })
}

/// Returns the change that deletes the key of a revision.
fn deleted(revision: u64) -> Change {
    let key = format!("k{revision}");
    let position = at(revision);
    Change::Deleted { key, position }
}

/// Applies relays to an instance that knows all changes up to `known`.
///
/// Returns the changes that it applies, the revision that it then knows, and whether it would have
/// to read the store.
fn apply(relays: Vec<Relay>, mut known: u64) -> (Vec<Change>, u64, bool) {
    let (mut all, mut gap) = (Vec::new(), false);
    for relay in relays {
        match relay.continue_from(ERA, at(known)) {
            Continuation::Changes(changes, revision) => {
                all.extend(changes);
                known = revision;
            }
            Continuation::Known => {}
            Continuation::Gap => gap = true,
        }
    }
    (all, known, gap)
}

/// Guards against records of streams in the messages to all instances, and against a gap where one
/// is too large for a message.
#[test]
fn records_of_streams_are_not_relayed() {
    let record = |revision, bytes| {
        Change::Written(Item {
            key: format!("{RECORDS_PREFIX}front-1/7"),
            value: vec![7; bytes],
            position: at(revision),
            lease: None,
        })
    };
    let changes = Changes {
        changes: vec![record(11, 5), written(12, 5), record(13, 9_000)],
        position: at(13),
    };
    let (all, revision, missing) = apply(Relay::pack(10, 10, &changes), 10);
    assert_eq!(all, [written(12, 5)]);
    assert_eq!((revision, missing), (13, false));
}

#[parameterized(
    no_change_known = { 10, &[11, 12, 14], 14, false },
    some_changes_known = { 12, &[14], 14, false },
    all_changes_known = { 14, &[], 14, false },
    later_revision_known = { 20, &[], 20, false },
    gap_before_the_relay = { 9, &[], 9, true },
)]
fn a_relay_yields_only_the_changes_after_the_known_revision(
    known: u64,
    applied: &[u64],
    known_after: u64,
    gap: bool,
) {
    let changes = Changes {
        changes: vec![written(11, 5), deleted(12), written(14, 5)],
        position: at(14),
    };
    let (all, revision, missing) = apply(Relay::pack(10, 10, &changes), known);
    let mut expected = changes.changes;
    expected.retain(|change| match change {
        Change::Written(item) => applied.contains(&item.position.revision),
        Change::Deleted { position, .. } => applied.contains(&position.revision),
    });
    assert_eq!((all, revision, missing), (expected, known_after, gap));
}

#[test]
fn large_batches_are_split_into_relays_but_no_revision_is_split() {
    let mut changes = Vec::new();
    for revision in 1..40 {
        changes.push(written(revision, 400));
        changes.push(deleted(revision));
    }
    let packed = Changes {
        changes: changes.clone(),
        position: at(45),
    };
    let relays = Relay::pack(0, 0, &packed);
    assert!(relays.len() > 1);
    for relay in &relays {
        let bytes: usize = relay
            .changes
            .iter()
            .map(|change| change.value.as_ref().map_or(0, Vec::len))
            .sum();
        assert!(bytes <= 9 << 10, "{bytes}");
    }
    assert_eq!(apply(relays, 0), (changes, 45, false));
}

#[test]
fn a_change_too_large_for_a_relay_leaves_a_gap() {
    let packed = Changes {
        changes: vec![written(1, 10), written(2, 100_000), written(3, 10)],
        position: at(3),
    };
    let relays = Relay::pack(0, 0, &packed);
    let (all, known, gap) = apply(relays.clone(), 0);
    assert_eq!((all, known, gap), (vec![written(1, 10)], 1, true));
    // The missing change has been read from the store in the meantime.
    assert_eq!(apply(relays, 2), (vec![written(3, 10)], 3, false));
}

#[parameterized(
    alone = { 0, 0, 1 },
    small = { 6, 3, 3 },
    large = { 72, 25, 2 },
)]
fn two_instances_of_each_domain_watch_the_store_in_a_large_deployment(
    others: usize,
    domain: usize,
    expected: usize,
) {
    let names: Vec<String> = (0..domain.max(1))
        .map(|number| format!("front-{number}"))
        .collect();
    let mut watching = 0;
    for me in &names {
        let neighbours: Vec<String> = names.iter().filter(|name| *name != me).cloned().collect();
        watching += usize::from(is_watcher(me, others, &neighbours));
    }
    assert_eq!(watching, expected);
}

/// An update of which one change is too large is left out as a whole; otherwise receivers would
/// consider its revision known and never read the large change.
#[parameterized(
    large_first = { true },
    large_last = { false },
)]
fn an_update_with_a_change_too_large_for_a_relay_is_left_out_as_a_whole(first: bool) {
    let mut update = vec![written(5, 100_000), deleted(5)];
    if !first {
        update.reverse();
    }
    let changes = [vec![written(4, 10)], update, vec![written(6, 10)]].concat();
    let packed = Changes {
        changes,
        position: at(6),
    };
    let relays = Relay::pack(3, 3, &packed);
    let (all, known, gap) = apply(relays.clone(), 3);
    assert_eq!((all, known, gap), (vec![written(4, 10)], 4, true));
    assert_eq!(apply(relays, 5), (vec![written(6, 10)], 6, false));
}

/// All instances retry to register while the store fails: a large deployment must call it about as
/// often as a dozen instances would, as far as the largest factor of 8 allows.
#[parameterized(
    small = { 6, 12.0 },
    large = { 72, 12.0 },
    target_size = { 329, 42.0 },
)]
fn the_rate_of_calls_to_a_failing_store_is_bounded(others: usize, most: f64) {
    let calls = (others + 1) as f64 / backoff_factor(others);
    assert!(calls <= most, "{calls}");
    assert!(backoff_factor(others) <= 8.0);
}

/// Returns the pauses after calls that fail with an error until they fill a period, at the mean of
/// the random part.
fn pauses(error: &KvError, period: Duration) -> Vec<Duration> {
    let mut backoff = Backoff::default();
    let (mut pauses, mut total) = (Vec::new(), Duration::ZERO);
    while total < period {
        let pause = backoff.pause(error, 0.5);
        pauses.push(pause);
        total += pause;
    }
    pauses
}

/// Guards against calls at a steady rate while the store rejects an instance, and against an
/// instance that learns too late that the store takes it back.
#[test]
fn an_instance_that_the_store_rejects_asks_less_and_less_often() {
    let rejected = pauses(
        &KvError::Refused("status 429".to_owned()),
        Duration::from_secs(9),
    );
    assert!(rejected.len() <= 12, "{rejected:?}");
    assert!(rejected.is_sorted());
    let mut backoff = Backoff::default();
    for _ in 0..100 {
        let error = KvError::Refused(String::new());
        assert!(backoff.pause(&error, 1.0) <= Duration::from_millis(1_500));
    }
    backoff.reset();
    let first = backoff.pause(&KvError::Refused(String::new()), 1.0);
    assert_eq!(first, Duration::from_millis(300));
}

/// Guards against a long pause after a call that took its time-out, as the store rejected others
/// before it.
#[test]
fn the_pause_after_a_call_without_an_answer_does_not_depend_on_rejections() {
    let mut backoff = Backoff::default();
    for _ in 0..6 {
        let _ = backoff.pause(&KvError::Refused(String::new()), 1.0);
    }
    let lost = backoff.pause(&KvError::Lost(String::new()), 1.0);
    assert_eq!(lost, FIRST_PAUSE);
}

/// Guards against a growing pause after calls that took their time-out.
#[test]
fn calls_without_an_answer_are_repeated_at_once() {
    let lost = pauses(&KvError::Lost(String::new()), Duration::from_secs(9));
    assert!(
        lost.iter()
            .all(|pause| *pause == Duration::from_millis(200))
    );
}

#[test]
fn a_large_document_leaves_no_gap_but_is_marked_as_missing() {
    let document = |revision, bytes| {
        Change::Written(Item {
            key: CONFIG_KEY.to_owned(),
            value: vec![7; bytes],
            position: at(revision),
            lease: None,
        })
    };
    let changes = Changes {
        changes: vec![written(11, 5), document(12, 20_000), written(13, 5)],
        position: at(14),
    };
    let relays = Relay::pack(10, 10, &changes);
    assert_eq!(relays[0].document.missing, 12);
    let (all, revision, gap) = apply(relays, 10);
    assert_eq!((all.len(), revision, gap), (2, 14, false));
    // A small one is applied even if the entries are known beyond its revision.
    let changes = Changes {
        changes: vec![written(11, 5), document(12, 20)],
        position: at(14),
    };
    let relays = Relay::pack(13, 10, &changes);
    assert_eq!((relays[0].document.from, relays[0].document.to), (10, 14));
    let Continuation::Changes(changes, _) = relays[0].clone().continue_from(ERA, at(13)) else {
        panic!("the relay goes further than the instance");
    };
    assert_eq!(changes, [document(12, 20)]);
}

/// Guards against waits in a row that are each sound and together exceed the limit for changes.
#[parameterized(
    few = { 7, 3_000 },
    grown = { 85, 3_000 },
    large = { 195, 4_000 },
    target_size = { 330, 15_000 },
)]
fn a_receiver_that_reads_the_store_twice_knows_changes_within_the_limit(
    instances: usize,
    limit_ms: u64,
) {
    let names: Vec<String> = (0..instances).map(|n| format!("front-{n}")).collect();
    for me in &names {
        let neighbours: Vec<String> = names.iter().filter(|name| *name != me).cloned().collect();
        let age = relay_timeout(me, &neighbours, Duration::from_millis(limit_ms));
        let failed = (WATCH_GRACE + FIRST_PAUSE).as_millis() as u64;
        assert!(age + failed + READ_TIME <= limit_ms, "{me}: {age} ms");
    }
}

/// Guards against changes of an earlier era that arrive late, and against those of a later era that
/// continue the revisions of the earlier one.
#[parameterized(
    same_era = { 3, 3, Some(Vec::from([12])) },
    earlier_era = { 2, 3, Some(Vec::new()) },
    later_era = { 4, 3, None },
    no_era_in_the_first_one = { 1, 1, Some(Vec::from([12])) },
    no_era_from_a_store_without = { 1, 0, Some(Vec::from([12])) },
    no_era_in_a_later_one = { 1, 2, Some(Vec::new()) },
)]
fn a_relay_continues_its_own_era_only(era: Era, known: Era, applied: Option<Vec<u64>>) {
    let changes = Changes {
        changes: vec![written(12, 5)],
        position: Position::new(era, 12),
    };
    let relay = Relay::pack(10, 10, &changes).remove(0);
    let found = match relay.continue_from(era, Position::new(known, 10)) {
        Continuation::Changes(changes, _) => {
            assert!(
                changes
                    .iter()
                    .all(|change| position_of(change).era == known)
            );
            let revisions = changes.iter().map(|change| position_of(change).revision);
            Some(revisions.collect())
        }
        Continuation::Known => Some(Vec::new()),
        Continuation::Gap => None,
    };
    assert_eq!(found, applied);
}
