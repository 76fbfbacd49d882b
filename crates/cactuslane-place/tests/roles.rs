//! Role planning follows the demand without oscillating.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_place::{PlacedWork, PromptSpeed, RolePlanner};
use cactuslane_types::{Role, TargetId};
use yare::parameterized;

/// Returns the capacities of the engines.
fn capacities() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_capacity: 490_000,
        token_bytes: 163_840.0,
        link_mbps: 1_700_000.0,
        handle_ttl: Duration::from_secs(5),
    }
}

/// Creates `all` engines with 3 requests each, `prefill` of them prefill engines and the others
/// decode engines.
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

/// Runs the planner against a demand for 40 s, in which planned changes take effect at once.
///
/// `demand` returns prompt tokens per second and streams, which are both the number of concurrent
/// streams and of those that begin per second. Returns the numbers of prefill engines at the end
/// and of role changes.
fn simulate(all: usize, prefill: usize, demand: impl Fn(u64) -> (u64, u64)) -> (usize, usize) {
    let mut engines = engines(all, prefill);
    let (mut planner, mut placed, mut changes) = (RolePlanner::default(), PlacedWork::default(), 0);
    for now in (0..40_000).step_by(250) {
        let (prompt, streams) = demand(now);
        placed.prompt_tokens += prompt / 4;
        placed.streams += streams / 4;
        planner.observe(placed, streams as usize, 0, &capacities(), now);
        for change in planner.changes(&engines, &capacities(), &PromptSpeed::default(), 2, now) {
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
fn engines_become_prefill_engines_under_a_prompt_heavy_load() {
    let (prefill, changes) = simulate(12, 4, |_| (240_000, 52));
    assert!((6..=9).contains(&prefill), "{prefill}");
    assert!(changes <= 6, "{changes}");
}

#[test]
fn a_light_load_changes_no_role() {
    assert_eq!(simulate(12, 4, |_| (60_000, 16)), (4, 0));
}

#[test]
fn short_swings_of_the_demand_cause_few_role_changes() {
    let swing = |now: u64| {
        if (now / 2_800).is_multiple_of(2) {
            (330_000, 44)
        } else {
            (150_000, 60)
        }
    };
    let (_, changes) = simulate(12, 4, swing);
    assert!(changes <= 8, "{changes}");
}

#[test]
fn each_role_keeps_a_quarter_of_the_engines() {
    let (prefill, _) = simulate(12, 4, |_| (2_000_000, 4));
    assert_eq!(prefill, 9);
}

/// Guards against waiting out the reversal delay where decode engines are lost soon after others
/// were changed to prefill: the change is undone at once.
#[test]
fn a_role_change_is_reversed_at_once_if_engines_were_lost() {
    let mut engines = engines(12, 4);
    let (mut planner, mut placed, mut changes) =
        (RolePlanner::default(), PlacedWork::default(), Vec::new());
    for now in (0..16_000).step_by(250) {
        let (prompt, streams) = if now < 4_000 {
            (240_000, 52)
        } else {
            (180_000, 90)
        };
        placed.prompt_tokens += prompt / 4;
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
        planner.observe(placed, streams as usize, 0, &capacities(), now);
        for change in planner.changes(&engines, &capacities(), &PromptSpeed::default(), 2, now) {
            changes.push((now, change.role));
            engines.insert(change.target, (change.role, 0));
        }
    }
    assert!(
        changes
            .iter()
            .any(|(now, role)| *now < 4_000 && *role == Role::Prefill),
        "{changes:?}"
    );
    assert!(
        changes
            .iter()
            .any(|(now, role)| *now > 6_000 && *role == Role::Decode),
        "{changes:?}"
    );
}

/// Guards against changes that were held back as too early and still keep their engines from
/// changing when all engines that generate are lost.
#[test]
fn engines_generate_again_when_all_that_did_are_lost() {
    let mut engines = engines(12, 5);
    let (mut planner, mut placed) = (RolePlanner::default(), PlacedWork::default());
    for now in (0..18_000).step_by(250) {
        let (prompt, streams) = if now < 4_000 {
            (240_000, 52)
        } else {
            (150_000, 90)
        };
        placed.prompt_tokens += prompt / 4;
        placed.streams += streams / 4;
        if now == 14_000 {
            engines.retain(|_, (role, _)| *role == Role::Prefill);
        }
        planner.observe(placed, streams as usize, 0, &capacities(), now);
        for change in planner.changes(&engines, &capacities(), &PromptSpeed::default(), 2, now) {
            engines.insert(change.target, (change.role, 0));
        }
    }
    let decode = engines.values().filter(|(role, _)| role.decodes()).count();
    assert!(decode > 0, "{engines:?}");
}

/// Guards against a new leader that waits for work to be placed while no engine is left on which
/// any could be.
#[test]
fn engines_generate_again_though_nothing_is_placed_while_none_does() {
    let mut engines = engines(7, 7);
    let mut planner = RolePlanner::default();
    for now in (0..3_000).step_by(250) {
        planner.observe(PlacedWork::default(), 0, 0, &capacities(), now);
        for change in planner.changes(&engines, &capacities(), &PromptSpeed::default(), 2, now) {
            engines.insert(change.target, (change.role, 0));
        }
    }
    let decode = engines.values().filter(|(role, _)| role.decodes()).count();
    assert!((2..=4).contains(&decode), "{engines:?}");
}

/// Guards against role changes at the start of a deployment, while few engines are known.
#[test]
fn no_role_is_changed_while_the_first_engines_become_known() {
    let mut planner = RolePlanner::default();
    for (known, now) in (0..1_500).step_by(250).enumerate() {
        let all = engines(9, 4);
        let known: BTreeMap<_, _> = all.into_iter().take(known.min(4)).collect();
        planner.observe(PlacedWork::default(), 0, 0, &capacities(), now);
        let changes = planner.changes(&known, &capacities(), &PromptSpeed::default(), 1, now);
        assert!(changes.is_empty(), "{changes:?} with {known:?}");
    }
}

/// While engines are given up or added a sixth at a time, at worst all of one role, both roles keep
/// carrying their demand.
#[parameterized(
    decode_leaves = { 90, 32, 50, Role::Decode },
    prefill_leaves = { 90, 58, 50, Role::Prefill },
    prefill_joins = { 40, 25, 90, Role::Prefill },
    decode_joins = { 40, 25, 90, Role::Decode },
)]
fn both_roles_carry_their_demand_as_the_number_changes(
    all: usize,
    prefill: usize,
    goal: usize,
    role: Role,
) {
    let mut engines = engines(all, prefill);
    let speed = PromptSpeed::default();
    let (mut planner, mut placed) = (RolePlanner::default(), PlacedWork::default());
    for now in (0..60_000).step_by(250) {
        placed.prompt_tokens += 800_000 / 4;
        placed.streams += 250 / 4;
        planner.observe(placed, 250, 0, &capacities(), now);
        let limit = engines.len().div_ceil(4);
        for change in planner.changes(&engines, &capacities(), &speed, limit, now) {
            engines.insert(change.target, (change.role, 0));
        }
        if now >= 8_000 && now % 4_000 == 0 {
            let step = engines.len() / 6;
            for index in 0..step {
                if engines.len() > goal {
                    let leaving = engines.iter().find(|(_, (known, _))| *known == role);
                    let Some(id) = leaving.map(|(id, _)| id.clone()) else {
                        break;
                    };
                    engines.remove(&id);
                } else if engines.len() < goal {
                    engines.insert(format!("n{now}-{index}"), (role, 0));
                }
            }
        }
        let prefill = engines.values().filter(|(role, _)| *role == Role::Prefill);
        let prefill = prefill.count();
        let decode = engines.len() - prefill;
        // 800 tokens a millisecond take 20 engines, 250 streams 10 at 40% of their slots.
        assert!(prefill >= 20, "{now}: {prefill} of {}", engines.len());
        assert!(decode >= 10, "{now}: {decode} of {}", engines.len());
    }
    assert_eq!(engines.len(), goal);
}
