//! Previews, which must be what placing does next, and change nothing.

use std::time::Duration;

use cactuslane_place::{Load, Placement, PlacementRequest, Placer, Preview};
use cactuslane_types::Role;

use crate::{capacities, engine, fleet, info, load};

/// Returns the target that a placement chose.
fn chosen(placement: &Placement) -> Option<&str> {
    match placement {
        Placement::Run(plan) => Some(&plan.decode),
        _ => None,
    }
}

/// Returns the candidate with an id.
fn cost(preview: &Preview, id: &str) -> Option<f64> {
    let mut candidates = preview.candidates.iter();
    let candidate = candidates.find(|candidate| candidate.target == id);
    candidate.expect("it is a candidate").cost
}

#[test]
fn a_preview_of_a_plain_request_is_the_next_choice() {
    let targets = [engine("w1", Role::Mixed), engine("w2", Role::Mixed)];
    let targets: Vec<_> = targets.iter().collect();
    let mut placer = Placer::new("a".to_owned(), 7);
    for _ in 0..50 {
        let before = format!("{placer:?}");
        let preview = placer.preview_plain(&targets, 1_000);
        assert_eq!(format!("{placer:?}"), before);
        let next = placer.place_plain(&targets, &[], 1_000);
        assert_eq!(chosen(&preview.placement), next.as_deref());
        let running = Load {
            running: 1,
            ..Load::default()
        };
        placer.load_view.add(&next.expect("one is chosen"), running);
    }
    let preview = placer.preview_plain(&targets, 1_000);
    let running = preview.candidates.iter().map(|candidate| candidate.running);
    assert_eq!(running.sum::<u32>(), 50);
}

#[test]
fn a_target_that_failed_or_is_denied_says_why_it_is_avoided() {
    let targets = [engine("w1", Role::Mixed), engine("w2", Role::Mixed)];
    let targets: Vec<_> = targets.iter().collect();
    let mut placer = Placer::new("a".to_owned(), 7);
    for _ in 0..5 {
        placer.failed("w1", 1_000);
    }
    let preview = placer.preview_plain(&targets, 1_000);
    assert_eq!(chosen(&preview.placement), Some("w2"));
    let avoided: Vec<_> = preview.candidates.iter().map(|one| one.avoided).collect();
    assert_eq!(avoided, [Some("it failed of late"), None]);
    let nothing = placer.preview_plain(&[], 1_000);
    assert_eq!(nothing.placement, Placement::NoTarget);
    assert!(nothing.candidates.is_empty());
}

#[test]
fn a_preview_of_a_generation_is_the_next_plan() {
    let targets = fleet();
    let targets: Vec<_> = targets.iter().collect();
    let (capacities, info) = (capacities(), info(13_000, 4_000));
    let request = PlacementRequest {
        info: &info,
        engine: &capacities,
        max_pause: Some(Duration::from_millis(150)),
        latency_objective: Duration::from_millis(600),
        priority: 2,
        left: Duration::from_secs(6),
        split: true,
        tried: &[],
    };
    let mut placer = Placer::new("a".to_owned(), 1);
    placer.load_view.add("d1", load(0, 10, 80_000));
    placer.load_view.add("d2", load(60_000, 60, 400_000));
    let before = format!("{placer:?}");
    let preview = placer.preview_generation(&targets, &request, 10_000);
    assert_eq!(format!("{placer:?}"), before);
    assert_eq!(preview.candidates.len(), 2, "only engines that generate");
    assert!(cost(&preview, "d1") <= cost(&preview, "d2"));
    let next = placer.place_generation(&targets, &request, 10_000);
    assert_eq!(preview.placement, next);
    let late = PlacementRequest {
        left: Duration::from_millis(1),
        ..request
    };
    let refused = placer.preview_generation(&targets, &late, 10_000);
    assert!(matches!(refused.placement, Placement::Overloaded { .. }));
    assert!(refused.forecast.service_ms > 1.0);
}
