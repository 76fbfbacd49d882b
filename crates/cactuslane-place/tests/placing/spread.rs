//! Choice of engines by many instances that hear of each other's requests late.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::request_info::PromptPart;
use cactuslane_flight::target::Target;
use cactuslane_place::load_view::PeerUpdate;
use cactuslane_place::{CrashUpdate, Placement, PlacementRequest, Placer};
use cactuslane_types::Role;

use crate::{capacities, engine, info};

/// Guards against instances that all choose the engine that looks best in the last updates.
#[test]
fn instances_do_not_all_choose_the_same_engine_between_updates() {
    const INSTANCES: u32 = 60;
    const ENGINES: u32 = 20;
    const INTERVAL: u64 = 200;
    let engines = |prefix: &str, role: Role| -> Vec<Target> {
        let ids = 0..ENGINES;
        ids.map(|number| engine(&format!("{prefix}{number}"), role))
            .collect()
    };
    let mut targets = engines("p", Role::Prefill);
    targets.extend(engines("d", Role::Decode));
    let targets: Vec<&Target> = targets.iter().collect();
    let capacities = capacities();
    let mut placers = Vec::new();
    for instance in 0..INSTANCES {
        let mut placer = Placer::new("a".to_owned(), u64::from(instance));
        // The caches of the engines are full to different degrees.
        for number in 0..ENGINES {
            let part = PromptPart {
                id: 1_000 + u64::from(number),
                tokens: 20_000 * number,
            };
            let target = format!("p{number}");
            placer.record_cached(&target, &[part], capacities.kv_capacity, 0.0, 0);
        }
        placers.push(placer);
    }
    let mut chosen = BTreeMap::new();
    for round in 1..=20 {
        let now = 10_000 + round * INTERVAL;
        chosen.clear();
        let mut updates = Vec::new();
        for (instance, placer) in placers.iter_mut().enumerate() {
            let info = info(0, 2_000);
            let request = PlacementRequest {
                info: &info,
                engine: &capacities,
                max_pause: None,
                latency_objective: Duration::from_millis(600),
                priority: 2,
                left: Duration::from_millis(2_400),
                split: true,
                tried: &[],
            };
            let Placement::Run(plan) = placer.place_generation(&targets, &request, now) else {
                panic!("no plan");
            };
            placer.load_view.record_placed(plan.uncached);
            *chosen
                .entry(plan.prefill.unwrap_or(plan.decode))
                .or_default() += 1;
            // The prompts of a round are computed by its end.
            updates.push(PeerUpdate {
                instance: format!("i{instance}"),
                started: 1,
                sequence: round,
                loads: Vec::new(),
                cache_updates: Vec::new(),
                placed: placer.load_view.own_placed(),
                changing: Vec::new(),
                observations: Vec::new(),
                crashes: CrashUpdate::default(),
            });
        }
        for (instance, placer) in placers.iter_mut().enumerate() {
            for (sender, update) in updates.iter().enumerate() {
                if sender != instance {
                    placer.apply_update(update, |_| 0, now + INTERVAL / 2);
                }
            }
        }
    }
    let busiest: u32 = chosen.values().copied().max().unwrap_or_default();
    assert!(busiest <= 4 * INSTANCES / ENGINES, "{chosen:?}");
}
