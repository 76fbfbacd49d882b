//! State of an instance: routing configuration, targets and other instances.

use std::time::Duration;

use cactuslane_flight::routing_config::{RoutingConfig, Service};
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_gateway::Gateway;
use cactuslane_gateway::backoff::Backoff;
use cactuslane_gateway::ending::{self, Told};
use cactuslane_gateway::fleet::{Effect, Fleet};
use cactuslane_gateway::members::{Member, Members};
use cactuslane_gateway::ranking::is_small_deployment;
use cactuslane_gateway::relay::READ_TIME;
use cactuslane_gateway::watch::{watch_pause, watch_wait};
use cactuslane_place::Observed;
use cactuslane_store::kv::{KvError, WATCH_GRACE};
use cactuslane_types::{Position, Role};
use rustix::time::{ClockId, clock_gettime};
use yare::parameterized;

/// Creates a decode engine of service `desk` that serves model `m`.
fn target(id: &str, state: TargetState) -> Target {
    Target {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: "a".to_owned(),
        slots: 6,
        role: Role::Decode,
        state,
        started_at: Some(1),
        models: vec!["m".to_owned()],
        version: Some("v1".to_owned()),
        reclaimable: false,
        leaves_in: None,
    }
}

/// Returns the ids of the targets that take new work for model `m`.
fn ids(fleet: &Fleet, now: u64) -> Vec<String> {
    let targets = fleet.targets("desk", Some("m"), now);
    targets.iter().map(|target| target.id.clone()).collect()
}

#[test]
fn an_older_or_equal_configuration_version_is_ignored() {
    let version = |version| RoutingConfig {
        version,
        ..RoutingConfig::default()
    };
    let mut fleet = Fleet::default();
    assert!(fleet.set_routing_config(version(7)));
    assert!(!fleet.set_routing_config(version(4)));
    assert!(!fleet.set_routing_config(version(7)));
    assert!(fleet.set_routing_config(version(12)));
    assert_eq!(fleet.routing_config().expect("one is in force").version, 12);
}

/// Guards against a copy that others take for one of before the return of the store, though it was
/// read again since, and against the position of a document that is not in force.
#[parameterized(
    same_document = { "a", 2, 50, (2, 50) },
    earlier_position = { "a", 1, 90, (1, 100) },
    other_document_of_the_same_version = { "b", 2, 50, (1, 100) },
)]
fn a_document_that_is_read_again_confirms_the_one_in_force(
    service: &str,
    era: u64,
    revision: u64,
    expected: (u64, u64),
) {
    let document = |service: &str, position| {
        let service = Service {
            health_path: format!("/{service}"),
            max_connections: 1,
            engine: None,
            scaling: None,
        };
        RoutingConfig {
            version: 7,
            position,
            services: [("desk".to_owned(), service)].into(),
            ..RoutingConfig::default()
        }
    };
    let mut fleet = Fleet::default();
    assert!(fleet.set_routing_config(document("a", Position::new(1, 100))));
    let again = document(service, Position::new(era, revision));
    assert!(!fleet.set_routing_config(again));
    let config = fleet.routing_config().expect("one is in force");
    assert_eq!(config.position, Position::new(expected.0, expected.1));
    assert_eq!(config.services["desk"].health_path, "/a");
}

#[test]
fn a_draining_target_gets_no_new_work_even_if_no_other_is_left() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    fleet.put(target("i-1", TargetState::Draining));
    assert!(ids(&fleet, 0).is_empty());
    fleet.record_store_failure(0);
    assert!(fleet.lapse("i-1", 10));
    assert!(ids(&fleet, 20).is_empty());
}

#[test]
fn a_lapsed_target_is_used_only_without_others_and_within_the_fallback_period() {
    let mut fleet = Fleet::default();
    fleet.set_fallback_period(Duration::from_secs(2));
    fleet.put(target("i-1", TargetState::Ready));
    fleet.put(target("i-2", TargetState::Ready));
    fleet.lapse("i-1", 1_000);
    assert_eq!(ids(&fleet, 1_100), ["i-2"]);
    fleet.lapse("i-2", 1_000);
    assert_eq!(ids(&fleet, 1_100), ["i-1", "i-2"]);
    assert!(ids(&fleet, 2_000).is_empty());
}

#[test]
fn targets_that_lapse_while_the_store_fails_stay_usable_until_they_can_register_again() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    fleet.put(target("i-2", TargetState::Ready));
    fleet.record_store_failure(5_000);
    fleet.retain(&["i-2".to_owned()], 5_100);
    assert_eq!(ids(&fleet, 7_000), ["i-1", "i-2"]);
    assert_eq!(ids(&fleet, 7_300), ["i-2"]);
}

/// Guards against new work for a target that left without draining, once other instances report
/// that they reach the store again.
#[test]
fn a_target_that_vanished_before_the_store_failed_stays_gone() {
    let mut fleet = Fleet::default();
    fleet.set_fallback_period(Duration::from_secs(2));
    fleet.put(target("i-1", TargetState::Ready));
    fleet.put(target("i-2", TargetState::Ready));
    fleet.lapse("i-1", 1_000);
    fleet.record_store_failure(3_500);
    assert_eq!(ids(&fleet, 3_600), ["i-2"]);
    assert!(fleet.target("i-1", 3_600).is_none());
    // Failures less than 2.2 s apart belong to the same disruption.
    fleet.lapse("i-2", 5_000);
    fleet.record_store_failure(5_500);
    fleet.record_store_failure(7_500);
    assert_eq!(ids(&fleet, 9_600), ["i-2"]);
    assert!(ids(&fleet, 9_700).is_empty());
}

#[test]
fn a_restart_under_the_same_id_is_detected() {
    let mut fleet = Fleet::default();
    assert_eq!(
        fleet.put(target("i-1", TargetState::Ready)),
        Effect::Started
    );
    assert_eq!(fleet.put(target("i-1", TargetState::Ready)), Effect::Same);
    let again = Target {
        started_at: Some(2),
        ..target("i-1", TargetState::Ready)
    };
    assert_eq!(fleet.put(again), Effect::Started);
}

#[test]
fn an_observed_role_is_kept_until_the_entry_changes() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    assert!(
        fleet
            .observe_role("i-1", Some(1), Role::Prefill, 0)
            .is_some()
    );
    let role = |fleet: &Fleet| fleet.known("i-1").expect("it is known").role;
    fleet.put(target("i-1", TargetState::Ready));
    assert_eq!(role(&fleet), Role::Prefill);
    let changed = Target {
        role: Role::Prefill,
        ..target("i-1", TargetState::Ready)
    };
    fleet.put(changed);
    fleet.put(target("i-1", TargetState::Ready));
    assert_eq!(role(&fleet), Role::Decode);
}

#[test]
fn a_replaced_target_gets_no_work_until_its_entry_changes() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    fleet.observe_replaced("i-1", Some(1));
    fleet.record_store_failure(0);
    assert!(ids(&fleet, 10).is_empty());
    // An unchanged entry does not make the target usable again.
    fleet.put(target("i-1", TargetState::Ready));
    assert!(ids(&fleet, 20).is_empty());
    let again = Target {
        started_at: Some(2),
        ..target("i-1", TargetState::Ready)
    };
    fleet.put(again);
    assert_eq!(ids(&fleet, 30), ["i-1"]);
}

/// Returns the longest pause between two watches of a deployment in which each instance watches the
/// store, whose configurations must be in force within 2 s.
fn longest_pause() -> Duration {
    let others = (0..100).filter(|others| is_small_deployment(*others));
    watch_pause(others.max().unwrap_or(0), Duration::from_secs(2))
}

/// A watch whose connection fails silently just before the answer must time out, and the next watch
/// must answer, within the time for which the instance need not be up to date.
#[parameterized(
    short_time = { 3_000 },
    long_time = { 4_000 },
)]
fn a_silently_failed_watch_is_replaced_within_the_contact_grace(contact_grace: u64) {
    let contact_grace = Duration::from_millis(contact_grace);
    let next_watch = Duration::from_millis(900);
    let wait = watch_wait(contact_grace, longest_pause());
    assert!(wait + WATCH_GRACE + next_watch <= contact_grace);
    assert!(wait >= Duration::from_secs(1));
}

/// Guards against waits that are short enough one by one, but add up to more than the time for which
/// an instance need not be up to date after the last trouble with its connections.
#[parameterized(
    short_time = { 3_000 },
    long_time = { 4_000 },
)]
fn all_waits_after_the_last_trouble_fit_in_the_contact_grace(contact_grace: u64) {
    let contact_grace = Duration::from_millis(contact_grace);
    let pause = longest_pause();
    let watch = watch_wait(contact_grace, pause) + WATCH_GRACE;
    let read = Duration::from_millis(READ_TIME);
    let mut backoff = Backoff::default();
    let mut refused = Duration::ZERO;
    for _ in 0..9 {
        refused = backoff.pause(&KvError::Refused(String::new()), 1.0);
    }
    let lost = backoff.pause(&KvError::Lost(String::new()), 1.0);
    // The trouble ends just after the event that the first wait follows.
    let answered_before = pause + watch + lost + read;
    let sent_before = watch + lost + read;
    let refused_before = refused + read;
    for sum in [answered_before, sent_before, refused_before] {
        assert!(sum <= contact_grace, "{sum:?}");
    }
}

/// Creates the entry of an instance, whose front port is the length of its name.
fn member(name: &str, leaving: bool) -> Member {
    Member {
        instance: name.to_owned(),
        front: format!("127.0.0.1:{}", name.len())
            .parse()
            .expect("it is an address"),
        peer: "127.0.0.1:9".parse().expect("it is an address"),
        domain: "a".to_owned(),
        leaving,
        started: 1,
        compares: true,
    }
}

#[test]
fn callers_get_the_addresses_of_reachable_instances() {
    let mut members = Members::default();
    members.put(member("a", false), 0);
    members.put(member("bb", false), 0);
    members.put(member("ccc", true), 0);
    members.record_message("a", 5_000);
    members.record_message("ccc", 5_000);
    let ports = |members: &Members, now| -> Vec<u16> {
        members
            .serving(now)
            .iter()
            .map(|(address, _)| address.port())
            .collect()
    };
    assert_eq!(
        ports(&members, 5_100),
        [1],
        "bb sends no messages, ccc is leaving"
    );
    // No other instance is reachable, so the fault may lie here: all registered ones are returned.
    assert_eq!(ports(&members, 9_000), [1, 2]);
    // A lapsed entry alone does not exclude an instance whose messages still arrive.
    members.lapse("a", 9_000);
    members.record_message("a", 9_050);
    assert_eq!(ports(&members, 9_100), [1]);
    assert_eq!(members.sweep(20_000), ["a"]);
}

#[tokio::test]
async fn the_fallback_period_follows_the_settings() {
    let mut settings = cactuslane_platform_standin::settings(
        "front-1",
        "127.0.0.1:1".parse().expect("it is an address"),
    );
    settings.drain_limit = Duration::from_secs(2);
    let gateway = Gateway::new(settings.clone());
    gateway.fleet().put(target("i-1", TargetState::Ready));
    gateway.fleet().lapse("i-1", 1_000);
    assert_eq!(ids(&gateway.fleet(), 1_900), ["i-1"]);
    assert!(ids(&gateway.fleet(), 2_000).is_empty());
    settings.drain_limit = Duration::from_secs(4);
    gateway.reload(settings);
    assert_eq!(ids(&gateway.fleet(), 2_900), ["i-1"]);
}

/// Guards against an instance that tells callers an address at which it does not listen.
#[tokio::test]
async fn a_reload_keeps_the_addresses_that_are_bound() {
    let store = "127.0.0.1:1".parse().expect("it is an address");
    let started = cactuslane_platform_standin::settings("front-1", store);
    let gateway = Gateway::new(started.clone());
    let mut changed = started.clone();
    for address in [&mut changed.front, &mut changed.ready, &mut changed.peer] {
        address.set_port(address.port().wrapping_add(1));
    }
    changed.directory = None;
    changed.drain_limit = Duration::from_secs(9);
    gateway.reload(changed);
    let settings = gateway.settings();
    assert_eq!(settings.drain_limit, Duration::from_secs(9));
    let expected = (
        started.front,
        started.ready,
        started.peer,
        started.directory,
    );
    let kept = (
        settings.front,
        settings.ready,
        settings.peer,
        settings.directory,
    );
    assert_eq!(kept, expected);
}

#[test]
fn observations_of_an_earlier_process_are_ignored() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    assert!(
        fleet
            .observe_role("i-1", Some(7), Role::Prefill, 0)
            .is_none()
    );
    assert!(!fleet.observe_replaced("i-1", None));
    assert_eq!(ids(&fleet, 0), ["i-1"]);
    assert!(fleet.observe_replaced("i-1", Some(1)));
    assert!(!fleet.observe_replaced("i-1", Some(1)));
    assert!(ids(&fleet, 0).is_empty());
}

#[test]
fn an_engine_that_shows_both_roles_in_turn_gets_no_work_for_a_second() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    let observe = |fleet: &mut Fleet, role, now| fleet.observe_role("i-1", Some(1), role, now);
    assert_eq!(
        observe(&mut fleet, Role::Prefill, 1_000),
        Some(Observed::Role(Role::Prefill))
    );
    assert_eq!(ids(&fleet, 1_100), ["i-1"]);
    assert_eq!(
        observe(&mut fleet, Role::Decode, 1_200),
        Some(Observed::Changing)
    );
    assert!(ids(&fleet, 2_100).is_empty());
    // The answer to a request from before is ignored while the role is changing.
    assert_eq!(observe(&mut fleet, Role::Prefill, 1_300), None);
    assert_eq!(ids(&fleet, 2_200), ["i-1"]);
    assert_eq!(
        observe(&mut fleet, Role::Prefill, 2_300),
        Some(Observed::Changing)
    );
    // Once the contradiction is more than 3 s old, a single answer sets the role again.
    assert_eq!(
        observe(&mut fleet, Role::Decode, 9_000),
        Some(Observed::Role(Role::Decode))
    );
    assert!(fleet.observe_changing("i-1", Some(1), 9_100));
    assert!(!fleet.observe_changing("i-1", Some(1), 9_200));
    assert!(ids(&fleet, 9_300).is_empty());
}

/// Guards against a target that ends a stream at a deadline which the instance does not take for one.
#[parameterized(
    nothing_passed = { 0, 4_000 },
    less_than_a_millisecond = { 900, 4_000 },
    more_than_one = { 1_900, 3_999 },
    all = { 5_000_000, 0 },
)]
fn a_target_is_told_no_earlier_end_than_the_deadline(passed_us: u64, told_ms: u128) {
    let passed = Duration::from_micros(passed_us);
    let told = ending::told_time(Duration::from_secs(4), passed);
    assert_eq!(told.as_millis(), told_ms);
}

/// Guards against a target that is told, from a second reading of a clock, an end before the one by
/// which its answer is judged: what it ends then would pass for whole.
#[test]
fn the_end_that_a_target_is_told_is_the_one_that_its_answer_is_judged_by() {
    let now = || {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    };
    let end = now() + Duration::from_secs(4);
    for number in 0..2_000_u32 {
        // The time that is left is told in whole milliseconds, as that of requests.
        let told = Told::read(|| {
            let left = end.saturating_sub(now());
            Duration::from_millis(left.as_millis() as u64)
        });
        let sent = now() + Duration::from_micros(u64::from(number % 700));
        while now() < sent {}
        // The target counts from the arrival of the request, which is later.
        let left = told.left();
        let stops = now() + left;
        let judged = Duration::from_millis(told.deadline());
        assert!(stops >= judged, "{number}: {stops:?} {judged:?}");
    }
}
