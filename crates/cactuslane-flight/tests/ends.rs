//! What shows that a process went on after the end of its answer.

use std::time::Duration;

use cactuslane_flight::ends::{Presence, patience};
use yare::parameterized;

/// Guards against callers who wait long though their request can go on elsewhere, and against a
/// process that leaves slowly and is given up.
#[parameterized(
    leaving = { Presence::Leaving, false, None },
    leaving_and_resumable = { Presence::Leaving, true, Some(500) },
    registered = { Presence::Registered, false, Some(1_000) },
    registered_and_resumable = { Presence::Registered, true, Some(500) },
    absent = { Presence::Absent, false, Some(1_000) },
)]
fn a_sign_of_a_process_is_awaited_while_it_may_come(
    presence: Presence,
    goes_on: bool,
    expected_ms: Option<u64>,
) {
    let expected = expected_ms.map(Duration::from_millis);
    assert_eq!(patience(presence, goes_on), expected);
}
