//! The load of targets as the sum of what instances state.

use std::collections::BTreeMap;

use cactuslane_place::CrashUpdate;
use cactuslane_place::load_view::{Load, LoadView, PeerUpdate, PlacedWork};
use cactuslane_types::{InstanceId, Millis, TargetId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

/// Time for which an update counts, in milliseconds.
const LIFETIME: Millis = 1_500;
/// Number of targets.
const TARGETS: u32 = 6;

/// Returns the id of a target.
fn target(number: u32) -> TargetId {
    format!("t{number}")
}

/// Creates an update with random loads and changes of roles.
fn update(instance: &str, sequence: u64, random: &mut Pcg64Mcg) -> PeerUpdate {
    let mut loads = Vec::new();
    let mut changing = Vec::new();
    for number in 0..TARGETS {
        if random.random_bool(0.5) {
            let load = Load {
                prompt_tokens: random.random_range(0..3) * 1_000,
                running: random.random_range(0..4),
                kv_tokens: random.random_range(0..2),
            };
            loads.push((target(number), load));
        }
        if random.random_bool(0.1) {
            changing.push(target(number));
        }
    }
    PeerUpdate {
        instance: instance.to_owned(),
        started: 1,
        sequence,
        loads,
        cache_updates: Vec::new(),
        placed: PlacedWork::default(),
        changing,
        observations: Vec::new(),
        crashes: CrashUpdate::default(),
    }
}

/// Guards against loads that are counted twice, or for longer than an update counts, whatever is
/// lost, repeated, late or forgotten.
#[parameterized(seed_1 = { 1, true }, seed_2 = { 2, true }, seed_3 = { 3, false }, seed_4 = { 4, false })]
fn the_load_of_a_target_is_the_sum_of_the_last_recent_updates(seed: u64, expires: bool) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut view = LoadView::default();
    let mut last: BTreeMap<InstanceId, (PeerUpdate, Millis)> = BTreeMap::new();
    let mut now = 0;
    for sequence in 1..3_000 {
        now += random.random_range(0..200);
        let instance = format!("i{}", random.random_range(0..8));
        if random.random_bool(0.05) {
            view.forget(&instance);
            last.remove(&instance);
        } else {
            // One in ten updates is older than the last one.
            let sequence = if random.random_bool(0.1) {
                sequence / 2
            } else {
                sequence
            };
            let update = update(&instance, sequence, &mut random);
            let is_newer = last
                .get(&instance)
                .is_none_or(|(known, _)| known.sequence < sequence);
            assert_eq!(view.apply_update(&update, now), is_newer);
            if is_newer {
                last.insert(instance, (update, now));
            }
        }
        let later = now + random.random_range(0..2) * 2_000;
        if expires {
            view.expire(later);
        }
        let recent = last.values().filter(|(_, at)| later - at <= LIFETIME);
        let recent: Vec<&PeerUpdate> = recent.map(|(update, _)| update).collect();
        for number in 0..TARGETS {
            let id = target(number);
            let mut expected = Load::default();
            for (_, load) in recent
                .iter()
                .flat_map(|update| &update.loads)
                .filter(|(at, _)| *at == id)
            {
                expected.add(*load);
            }
            assert_eq!(view.load(&id, later), expected);
            let changes = recent.iter().any(|update| update.changing.contains(&id));
            assert_eq!(view.is_changing(&id, later), changes);
        }
        now = now.max(if expires { later } else { now });
    }
}

#[test]
fn loads_beyond_all_bounds_do_not_overflow() {
    let mut view = LoadView::default();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for instance in ["a", "b"] {
        let mut update = update(instance, 1, &mut random);
        let most = Load {
            prompt_tokens: u32::MAX,
            running: u32::MAX,
            kv_tokens: u32::MAX,
        };
        update.loads = vec![(target(1), most)];
        assert!(view.apply_update(&update, 1));
    }
    assert_eq!(view.load(&target(1), 1).running, u32::MAX);
}
