//! Versions that began streams: what is kept, and what the versions of targets show.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::origin::{
    BegunStreams, OriginTable, RegisteredVersions, SegmentNumber, StoreReads, StoredStreams,
    StreamOrigin, StreamSegments, VersionHistory, VersionList, stream_id,
};
use cactuslane_flight::{Target, TargetState};
use cactuslane_types::{Millis, Position, Role};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Longest time since the beginning of a stream.
const PERIOD: Duration = Duration::from_secs(12);
/// The same in milliseconds.
const PERIOD_MS: Millis = 12_000;

/// Returns the position of a revision of the first era.
fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

/// Creates reads of the store that were sent at 0 and show a list and no further targets.
fn reads(list: VersionList, revision: u64) -> StoreReads {
    StoreReads::new(
        Duration::ZERO,
        list,
        at(revision),
        RegisteredVersions::new(),
    )
}

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
        reclaimable: false,
        leaves_in: None,
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
    let reads = reads(VersionList::new(), 7);
    let evidence = reads.evidence(Duration::ZERO).expect("they came later");
    let only = history.only_version("model", [&present].into_iter(), PERIOD, now, evidence);
    assert_eq!(only.as_deref(), expected);
}

#[test]
fn versions_that_came_and_went_unseen_are_allowed_for() {
    let mut history = VersionHistory::default();
    let present = target("model", Some("v1"));
    history.record(&present, 0);
    let reads = reads(VersionList::new(), 7);
    let evidence = reads.evidence(Duration::ZERO).expect("they came later");
    let only = |history: &VersionHistory, now| {
        history.only_version("model", [&present].into_iter(), PERIOD, now, evidence)
    };
    assert_eq!(only(&history, 30_000), None);
    history.record_listing(30_000);
    assert_eq!(only(&history, 41_999), None);
    assert_eq!(only(&history, 42_000).as_deref(), Some("v1"));
}

/// Guards against an old view that is taken for the present one: the history knows v1 alone, what the
/// store says beyond it came after the changes that were applied.
#[parameterized(
    nothing_else = { &["v1"], &[], 5, Some("v1") },
    asked_when_the_question_came = { &["v1"], &[], 10, Some("v1") },
    asked_before_the_question = { &["v1"], &[], 11, None },
    another_is_listed = { &["v1", "v2"], &[], 5, None },
    only_another_is_listed = { &["v2"], &[], 5, None },
    another_has_registered = { &["v1"], &[("model", Some("v2"))], 5, None },
    one_without_a_version_has_registered = { &["v1"], &[("model", None)], 5, None },
    the_same_has_registered = { &["v1"], &[("model", Some("v1"))], 5, Some("v1") },
    another_service_has_registered = { &["v1"], &[("other", Some("v2"))], 5, Some("v1") },
    not_listed_any_more = { &[], &[], 5, None },
)]
fn the_only_version_is_known_by_what_the_store_says_after_the_question(
    listed: &[&str],
    registered: &[(&str, Option<&str>)],
    arrived: u64,
    expected: Option<&str>,
) {
    let mut history = VersionHistory::default();
    history.record_listing(0);
    history.set_list(list(&["v1"]), at(7));
    let present = target("model", Some("v1"));
    history.record(&present, 0);
    let listed = if listed.is_empty() {
        VersionList::new()
    } else {
        list(listed)
    };
    let registered = registered.iter();
    let registered = registered.map(|(service, version)| {
        let version = version.map(str::to_owned);
        ((*service).to_owned(), version)
    });
    let asked = Duration::from_millis(10);
    let reads = StoreReads::new(asked, listed, at(8), registered.collect());
    let evidence = reads.evidence(Duration::from_millis(arrived));
    let only = evidence.and_then(|evidence| {
        history.only_version("model", [&present].into_iter(), PERIOD, 1, evidence)
    });
    assert_eq!(only.as_deref(), expected);
}

/// Creates a list of the versions of the service `model`.
fn list(versions: &[&str]) -> VersionList {
    let versions = versions.iter().map(|version| Some((*version).to_owned()));
    BTreeMap::from([("model".to_owned(), versions.collect())])
}

#[parameterized(
    listed_alone = { &["v1"], "v1", Some("v1") },
    another_listed = { &["v1", "v2"], "v1", None },
    another_present = { &["v1"], "v2", None },
    not_listed = { &[], "v1", None },
)]
fn an_instance_that_has_just_started_knows_the_only_version_by_the_list(
    listed: &[&str],
    version: &str,
    expected: Option<&str>,
) {
    let mut history = VersionHistory::default();
    if !listed.is_empty() {
        history.set_list(list(listed), at(7));
    }
    let present = target("model", Some(version));
    history.record(&present, 0);
    history.record_listing(0);
    let listed_now = if listed.is_empty() {
        VersionList::new()
    } else {
        list(listed)
    };
    let reads = reads(listed_now, 7);
    let evidence = reads.evidence(Duration::ZERO).expect("they came later");
    let only = history.only_version("model", [&present].into_iter(), PERIOD, 1, evidence);
    assert_eq!(only.as_deref(), expected);
    let is_mixed = history.is_mixed("model", [&present].into_iter(), PERIOD, 1);
    assert_eq!(is_mixed, expected.is_none() && !listed.is_empty());
    let begins = listed.is_empty() || listed.contains(&version);
    assert_eq!(history.is_listed(&present), begins);
}

#[parameterized(
    nothing_before_the_period = { &[], &[(0, "v1")], PERIOD_MS - 1, None },
    the_first_list_after_it = { &[], &[(0, "v1")], PERIOD_MS, Some(&["v1"]) },
    the_first_list_with_one_that_went = { &[], &[(0, "v1"), (5_000, "v2")], PERIOD_MS, Some(&["v1", "v2"]) },
    a_new_version_at_once = { &["v1"], &[(0, "v2")], 1, Some(&["v1", "v2"]) },
    as_it_should_be = { &["v1"], &[(0, "v1")], 50_000, None },
    gone_for_less_than_the_period = { &["v1", "v2"], &[(0, "v1"), (20_000, "v2")], 31_999, None },
    gone_for_the_period = { &["v1", "v2"], &[(0, "v1"), (20_000, "v2")], 32_000, Some(&["v2"]) },
    perhaps_present_before_the_start = { &["v1", "v2"], &[(0, "v2")], PERIOD_MS - 1, None },
    absent_since_the_start = { &["v1", "v2"], &[(0, "v2")], PERIOD_MS, Some(&["v2"]) },
)]
fn a_version_is_listed_as_long_as_streams_of_it_may_go_on(
    listed: &[&str],
    changes: &[(Millis, &str)],
    now: Millis,
    expected: Option<&[&str]>,
) {
    let mut history = VersionHistory::default();
    if !listed.is_empty() {
        history.set_list(list(listed), at(7));
    }
    history.record_listing(0);
    let mut present = target("model", Some(changes[0].1));
    for (at, version) in changes {
        history.record(&present, *at);
        present = target("model", Some(version));
        history.record(&present, *at);
    }
    let outdated = history.seems_outdated([&present].into_iter(), PERIOD, now);
    assert_eq!(outdated, expected.is_some());
    let reads = reads(VersionList::new(), 7);
    let evidence = reads.evidence(Duration::ZERO).expect("they came later");
    let wanted = history.wanted_list([&present].into_iter(), PERIOD, now, evidence);
    assert_eq!(wanted, expected.map(list));
    // Without an answer of the store, a version is only added.
    if let Some(extended) = history.extended_list([&present].into_iter()) {
        let extended = extended.get("model").cloned().unwrap_or_default();
        let listed = listed.iter().map(|version| Some((*version).to_owned()));
        assert!(extended.is_superset(&listed.collect()));
        assert!(extended.contains(&present.version));
    }
}

/// Guards against a version that is removed from the list although targets have it again, which an old
/// view does not show.
#[parameterized(
    gone = { &[], Some(&["v1"]) },
    there_again = { &["v2"], None },
    another_one_came = { &["v2", "v3"], Some(&["v1", "v2", "v3"]) },
)]
fn a_version_is_removed_only_by_what_the_store_says(
    registered: &[&str],
    expected: Option<&[&str]>,
) {
    let mut history = VersionHistory::default();
    history.record_listing(0);
    history.set_list(list(&["v1", "v2"]), at(7));
    let present = target("model", Some("v1"));
    history.record(&target("model", Some("v2")), 10);
    let now = 10 + PERIOD_MS;
    assert!(history.seems_outdated([&present].into_iter(), PERIOD, now));
    assert_eq!(history.extended_list([&present].into_iter()), None);
    let registered = registered.iter();
    let registered = registered.map(|version| ("model".to_owned(), Some((*version).to_owned())));
    let listed = list(&["v1", "v2"]);
    let reads = StoreReads::new(Duration::ZERO, listed, at(8), registered.collect());
    let evidence = reads.evidence(Duration::ZERO).expect("they came later");
    let wanted = history.wanted_list([&present].into_iter(), PERIOD, now, evidence);
    assert_eq!(wanted, expected.map(list));
}

#[test]
fn an_older_list_does_not_replace_a_newer_one() {
    let mut history = VersionHistory::default();
    history.set_list(list(&["v1", "v2"]), at(9));
    history.set_list(list(&["v1"]), at(8));
    assert!(history.is_listed(&target("model", Some("v2"))));
    assert_eq!(history.position(), at(9));
    history.set_list(list(&["v1"]), Position::new(2, 8));
    assert!(
        !history.is_listed(&target("model", Some("v2"))),
        "a later era"
    );
    history.clear_list();
    history.set_list(list(&["v1"]), at(8));
    assert!(!history.is_listed(&target("model", Some("v2"))));
}

#[test]
fn streams_of_services_with_several_versions_are_stored_while_they_may_go_on() {
    let mut begun = BegunStreams::default();
    begun.record(1, "model", "v1", 0);
    begun.record(2, "model", "v2", 1_000);
    begun.record(3, "other", "v1", 2_000);
    let mixed = |service: &str| service == "model";
    let stored = begun.stored(PERIOD, mixed, PERIOD_MS - 1);
    let expected = [("v1", vec![1]), ("v2", vec![2])];
    let expected = expected.map(|(version, streams)| (version.to_owned(), streams));
    assert_eq!(stored, BTreeMap::from(expected));
    let stored = begun.stored(PERIOD, mixed, PERIOD_MS);
    assert_eq!(stored, BTreeMap::from([("v2".to_owned(), vec![2])]));
    assert!(begun.stored(PERIOD, |_| false, PERIOD_MS).is_empty());
}

/// The outcome of a write to the store of a test.
#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    /// It took effect and was acknowledged.
    Acknowledged,
    /// It was not acknowledged, and takes effect after the next one.
    Late,
    /// The store has lost all keys of the process.
    Lapsed,
}

/// Guards against records that repeat all streams of their lifetime with each write, and against
/// streams that are not in the store after a write.
#[parameterized(
    acknowledged = { 0.0, 0.0 },
    late = { 0.3, 0.0 },
    lapsed = { 0.0, 0.05 },
    both = { 0.2, 0.05 },
)]
fn each_stream_is_written_a_bounded_number_of_times(late: f64, lapsed: f64) {
    /// Interval between two writes, in milliseconds.
    const WRITE_MS: Millis = 222;
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut begun, mut segments) = (BegunStreams::default(), StreamSegments::default());
        let mut store: BTreeMap<SegmentNumber, StoredStreams> = BTreeMap::new();
        let mut pending: Vec<(SegmentNumber, StoredStreams)> = Vec::new();
        let (mut streams, mut written) = (0, 0);
        for round in 0..300 {
            let now = round * WRITE_MS;
            for _ in 0..random.random_range(0..4) {
                streams += 1;
                begun.record(streams, "model", "v1", now);
            }
            let kept = begun.stored(PERIOD, |_| true, now);
            let Some(write) = segments.plan(&kept) else {
                continue;
            };
            written += write.streams.values().map(Vec::len).sum::<usize>();
            let outcome = match random.random::<f64>() {
                draw if draw < late => Outcome::Late,
                draw if draw < late + lapsed => Outcome::Lapsed,
                _ => Outcome::Acknowledged,
            };
            match outcome {
                Outcome::Late => {
                    pending.push((write.number, write.streams.clone()));
                    segments.record_failure(write);
                    continue;
                }
                Outcome::Lapsed => {
                    store.clear();
                    segments.clear();
                    segments.record_failure(write);
                    continue;
                }
                Outcome::Acknowledged => {}
            }
            for number in &write.deletes {
                store.remove(number);
            }
            store.insert(write.number, write.streams.clone());
            segments.record(write);
            store.extend(pending.drain(..));
            let in_store = |stream| {
                let mut all = store.values().flat_map(BTreeMap::values).flatten();
                all.any(|other| other == stream)
            };
            assert!(kept.values().flatten().all(in_store), "seed {seed}");
            // A process has some 80 streams within their lifetime.
            assert!(store.len() <= 40, "seed {seed}: {} keys", store.len());
        }
        if lapsed == 0.0 {
            let most = 12 * streams as usize;
            assert!(written <= most, "seed {seed}: {written} for {streams}");
        }
    }
}

/// Step of the simulated fleet, in milliseconds.
const STEP: Millis = 100;

/// Plays releases, returns to older versions and losses of all instances. An instance that says that
/// streams began at one version only must be right for each of the last period.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 }, seed_5 = { 5 })]
fn the_only_version_is_that_of_all_streams_through_losses_of_all_instances(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = vec![target("model", Some("v1")); 3];
    let (mut stored, mut revision) = (VersionList::new(), 0);
    let mut history: Option<VersionHistory> = None;
    let mut streams: Vec<(Millis, String)> = Vec::new();
    let (mut known, mut lost) = (0, 0);
    for now in (0..2_000_000).step_by(STEP as usize) {
        if random.random_bool(0.004) {
            let version = format!("v{}", random.random_range(1..4));
            let replaced = random.random_range(0..fleet.len());
            if let Some(history) = &mut history {
                history.record(&fleet[replaced], now);
            }
            fleet[replaced] = target("model", Some(&version));
        }
        if random.random_bool(0.004) {
            (history, lost) = (None, lost + 1);
        }
        let history = match &mut history {
            Some(history) => history,
            None if random.random_bool(0.9) => continue,
            None => {
                let started = history.insert(VersionHistory::default());
                started.set_list(stored.clone(), at(revision));
                started.record_listing(now);
                started
            }
        };
        for present in &fleet {
            history.record(present, now);
        }
        let reads = reads(stored.clone(), revision);
        let evidence = reads.evidence(Duration::ZERO).expect("they came later");
        if let Some(only) = history.only_version("model", fleet.iter(), PERIOD, now, evidence) {
            known += 1;
            let recent = streams.iter().filter(|(at, _)| now < at + PERIOD_MS);
            assert!(recent.into_iter().all(|(_, version)| *version == only));
        }
        // The write of a list takes some time.
        let wanted = history.extended_list(fleet.iter());
        let wanted = wanted.or_else(|| history.wanted_list(fleet.iter(), PERIOD, now, evidence));
        if let Some(wanted) = wanted.filter(|_| random.random_bool(0.3)) {
            (stored, revision) = (wanted, revision + 1);
            history.set_list(stored.clone(), at(revision));
        }
        let at = &fleet[random.random_range(0..fleet.len())];
        if history.is_listed(at) || !fleet.iter().any(|target| history.is_listed(target)) {
            streams.push((now, at.version.clone().unwrap_or_default()));
        }
    }
    assert!(known > 100 && lost > 20, "{known} {lost}");
}
