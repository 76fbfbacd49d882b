//! Queues at the targets of plain services.

use cactuslane_flight::target::Target;
use cactuslane_place::{Load, Placer};
use cactuslane_types::Role;

use crate::engine;

/// Returns a target with six slots.
fn target(id: &str) -> Target {
    Target {
        slots: 6,
        ..engine(id, Role::Mixed)
    }
}

/// Returns a placer that has measured a work time of 30 ms, at 1,000 ms.
fn measured(target: &Target) -> Placer {
    let mut placer = Placer::new("a".to_owned(), 1);
    placer.queues.observe(&target.id, 1, 0, 1_000);
    placer.queues.observe_work(target, 30.0, 6.0, 1_000);
    placer
}

#[test]
fn no_wait_is_expected_before_work_was_measured_or_while_slots_are_free() {
    let target = target("w1");
    let placer = Placer::new("a".to_owned(), 1);
    assert!(placer.forecast_plain(&target, 3, 1_000).service_ms < f64::EPSILON);
    let forecast = measured(&target).forecast_plain(&target, 3, 1_000);
    assert!((forecast.service_ms - 30.0).abs() < 0.1, "{forecast:?}");
    assert!(forecast.wait_ms < f64::EPSILON, "{forecast:?}");
}

#[test]
fn answers_that_waited_do_not_count_as_work() {
    let target = target("w1");
    let mut placer = measured(&target);
    placer.queues.observe(&target.id, 6, 10, 1_100);
    placer.queues.observe_work(&target, 500.0, 6.0, 1_100);
    let work = placer.queues.work_ms(&target.service);
    assert!(
        work.is_some_and(|work| (work - 30.0).abs() < 0.1),
        "{work:?}"
    );
}

#[test]
fn what_a_target_tells_of_its_queue_counts_and_fades() {
    let target = target("w1");
    let mut placer = measured(&target);
    placer.queues.observe(&target.id, 6, 12, 1_000);
    // 13 requests go first at six slots of 30 ms.
    let wait = placer.forecast_plain(&target, 3, 1_000).wait_ms;
    assert!((wait - 65.0).abs() < 0.5, "{wait}");
    let wait = placer.forecast_plain(&target, 3, 1_250).wait_ms;
    assert!(wait < 10.0, "{wait}");
    placer.load_view.add(
        "w1",
        Load {
            running: 18,
            ..Load::default()
        },
    );
    let wait = placer.forecast_plain(&target, 3, 4_000).wait_ms;
    assert!((wait - 65.0).abs() < 0.5, "{wait}");
}

// Deployments whose queues are not recorded keep the target with the least load.
#[test]
fn busy_targets_are_drawn_at_random_only_while_their_queues_are_told() {
    let (busy, busier) = (target("w1"), target("w2"));
    let mut placer = Placer::new("a".to_owned(), 1);
    for (id, running) in [("w1", 12), ("w2", 13)] {
        let load = Load {
            running,
            ..Load::default()
        };
        placer.load_view.add(id, load);
    }
    let count_busier = |placer: &mut Placer| {
        let chosen = (0..50).map(|_| placer.place_plain(&[&busy, &busier], &[], 1_000));
        chosen.filter(|id| id.as_deref() == Some("w2")).count()
    };
    assert_eq!(count_busier(&mut placer), 0);
    placer.queues.observe("w1", 6, 6, 900);
    placer.queues.observe("w2", 6, 6, 900);
    assert!(count_busier(&mut placer) > 2);
}
