//! Queues at the targets of plain services.

use cactuslane_flight::target::Target;
use cactuslane_place::queues::TargetQueues;
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
    placer.queues.observe(&target.id, 1, 0, 0, 1_000);
    placer.queues.observe_work(target, 30.0, 0.0, 6.0, 1_000);
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
    placer.queues.observe(&target.id, 6, 10, 0, 1_100);
    placer.queues.observe_work(&target, 500.0, 0.0, 6.0, 1_100);
    let work = placer.queues.work_ms(&target.service);
    assert!(
        work.is_some_and(|work| (work - 30.0).abs() < 0.1),
        "{work:?}"
    );
}

/// Guards against an overload that is not noticed as every answer has waited from the start on.
#[test]
fn work_is_inferred_until_an_answer_did_not_wait() {
    let target = target("w1");
    let mut placer = Placer::new("a".to_owned(), 1);
    let queues = &mut placer.queues;
    let work = |queues: &TargetQueues| queues.work_ms(&target.service).unwrap_or_default();
    queues.observe_work(&target, 90.0, 17.0, 6.0, 900);
    assert!(work(queues) < f64::EPSILON, "the target tells of no queue");
    queues.observe(&target.id, 6, 12, 0, 1_000);
    queues.observe_work(&target, 90.0, 17.0, 6.0, 1_000);
    assert!((work(queues) - 30.0).abs() < 0.1, "{}", work(queues));
    // The last ones of a queue leave nobody waiting behind them.
    queues.observe(&target.id, 3, 0, 0, 1_100);
    queues.observe_work(&target, 100.0, 11.0, 6.0, 1_100);
    assert!((work(queues) - 31.0).abs() < 0.1, "{}", work(queues));
    queues.observe_work(&target, 40.0, 2.0, 6.0, 1_100);
    queues.observe_work(&target, 600.0, 17.0, 6.0, 1_100);
    assert!((work(queues) - 40.0).abs() < 0.1, "{}", work(queues));
    let expected = queues.expected_ms(&target, 17.0, 6.0);
    assert!((expected - 120.0).abs() < 0.1, "{expected}");
}

#[test]
fn what_a_target_tells_of_its_queue_counts_and_fades() {
    let target = target("w1");
    let mut placer = measured(&target);
    placer.queues.observe(&target.id, 6, 12, 0, 1_000);
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

/// Guards against a burst of which every request finds the queue that was told before it.
#[test]
fn requests_since_a_target_told_of_its_queue_count() {
    let target = target("w1");
    let mut placer = measured(&target);
    let load = |running| Load {
        running,
        ..Load::default()
    };
    placer.load_view.add("w1", load(4));
    placer.queues.observe(&target.id, 5, 0, 4, 1_000);
    placer.load_view.add("w1", load(12));
    let count = placer.count_plain("w1", 1_000);
    assert!((count - 17.0).abs() < 0.1, "{count}");
    placer.load_view.remove("w1", load(16));
    let count = placer.count_plain("w1", 1_250);
    assert!((0.0..1.0).contains(&count), "{count}");
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
    placer.queues.observe("w1", 6, 6, 12, 900);
    placer.queues.observe("w2", 6, 6, 13, 900);
    assert!(count_busier(&mut placer) > 2);
}
