//! The roles of engines follow the demand, and do not swing.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_place::{Placed, PromptSpeed, RolePlan};
use cactuslane_types::{Role, TargetId};

/// The measures of the engines.
fn measures() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_capacity: 490_000,
        token_bytes: 163_840.0,
        link_mbps: 1_700_000.0,
        handle_ttl: Duration::from_secs(5),
    }
}

/// Creates engines, the first ones of which compute prompts.
fn engines(all: usize, prefill: usize) -> BTreeMap<TargetId, (Role, usize)> {
    let role = |index| {
        if index < prefill {
            Role::Prefill
        } else {
            Role::Decode
        }
    };
    (0..all)
        .map(|index| (format!("e{index:02}"), (role(index), 3)))
        .collect()
}

/// Plays a demand against the plan and returns the number of prefill engines and of changes.
fn play(all: usize, prefill: usize, demand: impl Fn(u64) -> (u64, u64)) -> (usize, usize) {
    let mut engines = engines(all, prefill);
    let (mut plan, mut placed, mut changes) = (RolePlan::default(), Placed::default(), 0);
    for now in (0..40_000).step_by(250) {
        let (prompt, streams) = demand(now);
        placed.prompt += prompt / 4;
        placed.streams += streams / 4;
        plan.observe(placed, streams as usize, 0, &measures(), now);
        for change in plan.changes(&engines, &measures(), PromptSpeed::default(), 2, now) {
            changes += 1;
            engines.insert(change.target, (change.role, 0));
        }
    }
    let prefill = engines
        .values()
        .filter(|(role, _)| *role == Role::Prefill)
        .count();
    (prefill, changes)
}

#[test]
fn engines_compute_prompts_where_prompts_are_the_load() {
    let (prefill, changes) = play(12, 4, |_| (240_000, 52));
    assert!((6..=9).contains(&prefill), "{prefill}");
    assert!(changes <= 6, "{changes}");
}

#[test]
fn a_light_load_changes_nothing() {
    assert_eq!(play(12, 4, |_| (60_000, 16)), (4, 0));
}

#[test]
fn short_swings_do_not_swing_the_roles() {
    let swing = |now: u64| {
        if (now / 2_800).is_multiple_of(2) {
            (330_000, 44)
        } else {
            (150_000, 60)
        }
    };
    let (_, changes) = play(12, 4, swing);
    assert!(changes <= 8, "{changes}");
}

#[test]
fn either_role_keeps_a_quarter_of_the_engines() {
    let (prefill, _) = play(12, 4, |_| (2_000_000, 4));
    assert_eq!(prefill, 9);
}

/// Engines that generate are lost soon after others were ordered away from it: the change is undone.
#[test]
fn a_change_is_undone_at_once_where_engines_were_lost_since() {
    let mut engines = engines(12, 4);
    let (mut plan, mut placed, mut turned) = (RolePlan::default(), Placed::default(), Vec::new());
    for now in (0..16_000).step_by(250) {
        let (prompt, streams) = if now < 4_000 {
            (240_000, 52)
        } else {
            (180_000, 90)
        };
        placed.prompt += prompt / 4;
        placed.streams += streams / 4;
        if now == 6_000 {
            let generating =
                |(_, (role, _)): &(&TargetId, &mut (Role, usize))| *role == Role::Decode;
            let lost: Vec<TargetId> = engines
                .iter_mut()
                .filter(generating)
                .map(|(id, _)| id.clone())
                .collect();
            for id in &lost[..3] {
                engines.remove(id);
            }
        }
        plan.observe(placed, streams as usize, 0, &measures(), now);
        for change in plan.changes(&engines, &measures(), PromptSpeed::default(), 2, now) {
            turned.push((now, change.role));
            engines.insert(change.target, (change.role, 0));
        }
    }
    assert!(
        turned
            .iter()
            .any(|(now, role)| *now < 4_000 && *role == Role::Prefill),
        "{turned:?}"
    );
    assert!(
        turned
            .iter()
            .any(|(now, role)| *now > 6_000 && *role == Role::Decode),
        "{turned:?}"
    );
}
