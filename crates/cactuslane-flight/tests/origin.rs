//! Versions that began streams: what is kept, and what the versions of targets show.

use std::time::Duration;

use cactuslane_flight::origin::{OriginTable, StreamOrigin, VersionHistory, stream_id};
use cactuslane_flight::{Target, TargetState};
use cactuslane_types::{Millis, Role};
use yare::parameterized;

/// Longest time since the beginning of a stream.
const PERIOD: Duration = Duration::from_secs(12);
/// The same in milliseconds.
const PERIOD_MS: Millis = 12_000;

/// Creates a target of a service with a version.
fn target(service: &str, version: Option<&str>) -> Target {
    Target {
        id: "i-1".to_owned(),
        service: service.to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: 1,
        role: Role::Mixed,
        state: TargetState::Ready,
        started_at: Some(1),
        models: Vec::new(),
        version: version.map(str::to_owned),
    }
}

#[parameterized(
    not_begun = { StreamOrigin::NotBegun, Some("v2"), true },
    not_begun_at_none = { StreamOrigin::NotBegun, None, true },
    same = { StreamOrigin::Version("v1".to_owned()), Some("v1"), true },
    other = { StreamOrigin::Version("v1".to_owned()), Some("v1.1"), false },
    not_stated = { StreamOrigin::Version("v1".to_owned()), None, false },
    unknown = { StreamOrigin::Unknown, Some("v1"), false },
    unknown_and_not_stated = { StreamOrigin::Unknown, None, false },
)]
fn a_stream_goes_on_only_at_the_version_that_began_it(
    origin: StreamOrigin,
    version: Option<&str>,
    allowed: bool,
) {
    assert_eq!(origin.allows(&target("model", version)), allowed);
}

#[test]
fn the_first_version_of_a_stream_is_kept_for_a_minute() {
    let mut table = OriginTable::default();
    let (first, other) = (stream_id("r1"), stream_id("r2"));
    table.record(first, "v1", 0);
    table.record(first, "v2", 10);
    assert_eq!(table.version(first).map(String::as_str), Some("v1"));
    table.record(other, "v2", 59_000);
    assert!(table.version(first).is_some());
    table.record(stream_id("r3"), "v2", 60_000);
    assert_eq!(table.version(first), None);
    assert!(table.version(other).is_some());
}

#[test]
fn the_table_of_streams_is_bounded() {
    let mut table = OriginTable::default();
    for number in 0..20_000 {
        table.record(number, "v1", number / 1_000);
    }
    let kept = (0..20_000).filter(|number| table.version(*number).is_some());
    assert_eq!(kept.count(), 16_384);
}

/// Changes of the targets of a service: the time, and the version that a target has then.
type Changes = &'static [(Millis, Option<&'static str>)];

#[parameterized(
    one_for_the_whole_period = { &[(0, Some("v1"))], PERIOD_MS, Some("v1") },
    one_for_less_than_the_period = { &[(0, Some("v1"))], PERIOD_MS - 1, None },
    another_came = { &[(0, Some("v1")), (11_000, Some("v2"))], PERIOD_MS, None },
    another_went_lately = { &[(0, Some("v2")), (9_000, Some("v1"))], 20_000, None },
    another_went_long_ago = { &[(0, Some("v2")), (1_000, Some("v1"))], 20_000, Some("v1") },
    none_stated = { &[(0, None)], PERIOD_MS, None },
    one_not_stated = { &[(0, Some("v1")), (5_000, None)], PERIOD_MS, None },
)]
fn the_only_version_of_a_service_is_that_of_all_its_streams(
    changes: Changes,
    now: Millis,
    expected: Option<&str>,
) {
    let mut history = VersionHistory::default();
    history.record_listing(0);
    let mut present = target("model", None);
    for (number, (at, version)) in changes.iter().enumerate() {
        if number > 0 {
            history.record(&present, *at);
        }
        present = target("model", *version);
        history.record(&present, *at);
    }
    history.record(&target("other", Some("v9")), now);
    let only = history.only_version("model", [&present].into_iter(), PERIOD, now);
    assert_eq!(only.as_deref(), expected);
}

#[test]
fn versions_that_came_and_went_unseen_are_allowed_for() {
    let mut history = VersionHistory::default();
    let present = target("model", Some("v1"));
    history.record(&present, 0);
    let only = |history: &VersionHistory, now| {
        history.only_version("model", [&present].into_iter(), PERIOD, now)
    };
    assert_eq!(only(&history, 30_000), None);
    history.record_listing(30_000);
    assert_eq!(only(&history, 41_999), None);
    assert_eq!(only(&history, 42_000).as_deref(), Some("v1"));
}
