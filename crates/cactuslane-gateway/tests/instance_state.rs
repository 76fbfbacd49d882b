//! What an instance believes of targets, of the others and of the office.

use std::time::Duration;

use cactuslane_flight::routing_config::RoutingConfig;
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_gateway::Gateway;
use cactuslane_gateway::fleet::{Effect, Fleet};
use cactuslane_gateway::leadership::{LeaderRecord, Leadership};
use cactuslane_gateway::members::{Member, Members};
use cactuslane_gateway::watch::watch_wait;
use cactuslane_place::Observed;
use cactuslane_store::kv::WATCH_GRACE;
use cactuslane_types::Role;
use yare::parameterized;

/// Creates a target.
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
    }
}

/// Returns the ids of the targets that take work.
fn ids(fleet: &Fleet, now: u64) -> Vec<String> {
    let targets = fleet.targets("desk", Some("m"), now);
    targets.iter().map(|target| target.id.clone()).collect()
}

#[test]
fn an_older_configuration_never_comes_back() {
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

#[test]
fn a_draining_target_gets_no_new_work_even_alone() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    fleet.put(target("i-1", TargetState::Draining));
    assert!(ids(&fleet, 0).is_empty());
    fleet.note_trouble(0);
    assert!(fleet.lapse("i-1", 10));
    assert!(ids(&fleet, 20).is_empty());
}

#[test]
fn a_vanished_target_is_used_only_where_no_other_is_left_and_not_for_long() {
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
fn targets_that_lapse_while_the_store_is_away_stay_until_they_can_be_back() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    fleet.put(target("i-2", TargetState::Ready));
    fleet.note_trouble(5_000);
    fleet.retain(&["i-2".to_owned()], 5_100);
    assert_eq!(ids(&fleet, 7_000), ["i-1", "i-2"]);
    assert_eq!(ids(&fleet, 7_300), ["i-2"]);
}

#[test]
fn a_new_start_under_the_same_id_is_noticed() {
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
fn a_role_that_a_target_shows_outlives_its_old_entry() {
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
fn a_target_whose_address_another_one_has_gets_no_work_until_its_entry_changes() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    fleet.observe_replaced("i-1", Some(1));
    fleet.note_trouble(0);
    assert!(ids(&fleet, 10).is_empty());
    // The same old entry is no news.
    fleet.put(target("i-1", TargetState::Ready));
    assert!(ids(&fleet, 20).is_empty());
    let again = Target {
        started_at: Some(2),
        ..target("i-1", TargetState::Ready)
    };
    fleet.put(again);
    assert_eq!(ids(&fleet, 30), ["i-1"]);
}

/// A watch that was cut without a word just before it would answer is followed by another one
/// within the time for which an instance is excused.
#[parameterized(
    small_fleet = { 3_000 },
    large_fleet = { 4_000 },
)]
fn a_silent_watch_is_noticed_while_the_instance_is_excused(excused: u64) {
    let excused = Duration::from_millis(excused);
    let next = Duration::from_millis(900);
    assert!(watch_wait(excused) + WATCH_GRACE + next <= excused);
    assert!(watch_wait(excused) >= Duration::from_secs(1));
}

/// Creates the entry of an instance.
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
    }
}

#[test]
fn callers_are_sent_to_instances_that_live() {
    let mut members = Members::default();
    members.put(member("a", false), 0);
    members.put(member("bb", false), 0);
    members.put(member("ccc", true), 0);
    members.heard("a", 5_000);
    members.heard("ccc", 5_000);
    let ports = |members: &Members, now| -> Vec<u16> {
        members
            .serving(now)
            .iter()
            .map(|(address, _)| address.port())
            .collect()
    };
    assert_eq!(ports(&members, 5_100), [1], "one is silent, one is leaving");
    // Heard of nobody: the fault is nearer here, and all that are registered are named.
    assert_eq!(ports(&members, 9_000), [1, 2]);
    // An entry that lapsed with the store is no reason while the instance is heard.
    members.lapse("a", 9_000);
    members.heard("a", 9_050);
    assert_eq!(ports(&members, 9_100), [1]);
    assert_eq!(members.sweep(20_000), ["a"]);
}

/// Creates the holder of a name.
fn holder(name: &str) -> LeaderRecord {
    LeaderRecord {
        instance: name.to_owned(),
        started: 1,
    }
}

#[test]
fn the_office_is_taken_once_and_settles_after_another_holder() {
    let mut office = Leadership::default();
    let me = holder("a");
    assert!(
        office.candidacy(&me, 3_300, 4_000, 1_100).is_none(),
        "no lease, and the store was not read"
    );
    office.observed_last(Some("b".to_owned()), 5);
    office.renewed(77, 1_000, 4_000);
    let candidacy = office
        .candidacy(&me, 3_300, 4_000, 1_100)
        .expect("the office is vacant");
    assert_eq!(candidacy.settle, 7_300);
    assert_eq!(candidacy.update.expected[1].1, 5);
    office.acquired(9, candidacy.settle, 1_100);
    assert!(office.is_held(1_200) && office.may_order(1_200).is_none());
    // News from before is old; news of another holder ends it.
    office.observed(None, 8, &me, 0, 1_200);
    assert!(office.is_held(1_200));
    office.observed(Some(holder("b")), 12, &me, 0, 1_200);
    assert!(!office.is_held(1_200));
}

#[test]
fn a_holder_that_comes_back_under_its_name_needs_no_settling() {
    let mut office = Leadership::default();
    let me = holder("a");
    office.observed_last(Some("a".to_owned()), 5);
    office.renewed(77, 1_000, 4_000);
    let candidacy = office
        .candidacy(&me, 3_300, 4_000, 1_100)
        .expect("the office is vacant");
    office.acquired(9, candidacy.settle, 1_100);
    assert_eq!(office.may_order(1_200), Some(9));
    office.lapsed();
    assert!(office.may_order(1_200).is_none());
}

#[test]
fn an_office_taken_without_an_answer_is_found_and_settles() {
    let mut office = Leadership::default();
    let me = holder("a");
    office.observed_last(None, 0);
    office.renewed(77, 1_000, 4_000);
    office.observed(Some(me.clone()), 12, &me, 7_300, 1_200);
    assert!(office.is_held(1_200) && office.may_order(1_200).is_none());
}

#[tokio::test]
async fn an_instance_holds_vanished_targets_by_its_settings() {
    let mut settings = cactuslane_platform_standin::settings(
        "front-1",
        "127.0.0.1:1".parse().expect("it is an address"),
    );
    settings.drain = Duration::from_secs(2);
    let gateway = Gateway::new(settings.clone());
    gateway.fleet().put(target("i-1", TargetState::Ready));
    gateway.fleet().lapse("i-1", 1_000);
    assert_eq!(ids(&gateway.fleet(), 1_900), ["i-1"]);
    assert!(ids(&gateway.fleet(), 2_000).is_empty());
    settings.drain = Duration::from_secs(4);
    gateway.reload(settings);
    assert_eq!(ids(&gateway.fleet(), 2_900), ["i-1"]);
}

#[test]
fn news_of_an_earlier_process_is_no_news() {
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
fn an_engine_that_shows_either_role_gets_no_work_for_a_while() {
    let mut fleet = Fleet::default();
    fleet.put(target("i-1", TargetState::Ready));
    let saw = |fleet: &mut Fleet, role, now| fleet.observe_role("i-1", Some(1), role, now);
    assert_eq!(
        saw(&mut fleet, Role::Prefill, 1_000),
        Some(Observed::Role(Role::Prefill))
    );
    assert_eq!(ids(&fleet, 1_100), ["i-1"]);
    assert_eq!(
        saw(&mut fleet, Role::Decode, 1_200),
        Some(Observed::Changing)
    );
    assert!(ids(&fleet, 2_100).is_empty());
    // What was sent before says nothing new.
    assert_eq!(saw(&mut fleet, Role::Prefill, 1_300), None);
    assert_eq!(ids(&fleet, 2_200), ["i-1"]);
    assert_eq!(
        saw(&mut fleet, Role::Prefill, 2_300),
        Some(Observed::Changing)
    );
    // Long after, one answer is believed again.
    assert_eq!(
        saw(&mut fleet, Role::Decode, 9_000),
        Some(Observed::Role(Role::Decode))
    );
    assert!(fleet.observe_changing("i-1", Some(1), 9_100));
    assert!(!fleet.observe_changing("i-1", Some(1), 9_200));
    assert!(ids(&fleet, 9_300).is_empty());
}
