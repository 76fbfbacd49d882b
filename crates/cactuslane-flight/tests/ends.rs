//! What shows that a process went on after the end of its answer.

use std::time::Duration;

use cactuslane_flight::ends::{Presence, Removal, patience};
use yare::parameterized;

/// Guards against an entry that was removed as its process was silent, and is taken for one that the
/// process removed as it left.
#[parameterized(
    at_once = { 1_000, 1_000, Some(1_000), true },
    within_three_heartbeats = { 1_000, 3_999, Some(1_000), true },
    after_three_heartbeats = { 1_000, 4_000, Some(1_000), false },
    at_another_interval = { 1_000, 4_000, Some(1_200), true },
    last_write_is_not_known = { 0, 50_000, Some(1_000), false },
    interval_is_not_known = { 1_000, 1_000, None, false },
)]
fn an_entry_is_removed_by_its_process_if_silence_would_take_longer(
    written_after: u64,
    removed_by: u64,
    heartbeat_ms: Option<u64>,
    expected: bool,
) {
    let removal = Removal {
        written_after,
        removed_by,
    };
    let heartbeat = heartbeat_ms.map(Duration::from_millis);
    assert_eq!(removal.is_deliberate(heartbeat), expected);
}

/// Guards against callers who wait long though their request can go on elsewhere, and against a
/// process that leaves slowly and is given up.
#[parameterized(
    leaving = { Presence::Leaving, false, None },
    leaving_and_resumable = { Presence::Leaving, true, Some(500) },
    registered = { Presence::Registered, false, Some(1_000) },
    registered_and_resumable = { Presence::Registered, true, Some(500) },
    absent = { Presence::Absent, false, Some(1_000) },
    left = { Presence::Left, false, Some(1_000) },
)]
fn a_sign_of_a_process_is_awaited_while_it_may_come(
    presence: Presence,
    goes_on: bool,
    expected_ms: Option<u64>,
) {
    let expected = expected_ms.map(Duration::from_millis);
    assert_eq!(patience(presence, goes_on), expected);
}
