//! Targets of a service that differ in speed: what callers get by the way in which targets are
//! chosen.

mod capacity;
mod fleet;
mod policies;

use yare::parameterized;

use self::fleet::{Figure, Nature, SLOTS, Scenario, USUAL, WORK, play};
use self::policies::Policy;

/// Ways to choose that the placer is compared with.
const RIVALS: [Policy; 7] = [
    Policy::Before,
    Policy::FixedWeights,
    Policy::LeastOutstanding,
    Policy::TwoChoices,
    Policy::Gradient,
    Policy::Variance,
    Policy::FigureAlone,
];

/// Creates a load of targets by the share of what they can do that callers ask for.
fn scenario(natures: &[Nature], load: f64) -> Scenario {
    let full = |nature: &Nature| f64::from(nature.knee) / nature.slow / WORK;
    Scenario {
        natures: natures.to_vec(),
        changes: Vec::new(),
        instances: 8,
        rate: natures.iter().map(full).sum::<f64>() * load,
        length: 40_000,
        warm_up: 10_000,
        restart: None,
        seed: 1,
    }
}

/// Returns a target whose speed swings around an average, and changes ten times a second.
fn swinging(slow: f64, swing: f64) -> Nature {
    Nature {
        slow,
        swing,
        period: 100,
        ..USUAL
    }
}

/// Returns a target that tells something else.
fn telling(nature: Nature, figure: Figure) -> Nature {
    Nature { figure, ..nature }
}

/// Returns targets of which one is three times slower.
fn differing() -> [Nature; 3] {
    [swinging(1.0, 1.3), swinging(1.5, 1.3), swinging(3.0, 1.3)]
}

#[parameterized(
    equal = { [USUAL; 3], 0.4 },
    differ = { differing(), 0.2 },
    differ_half_full = { differing(), 0.6 },
    differ_nearly_full = { differing(), 0.85 },
    one_slows_down_early = { [USUAL, USUAL, Nature { knee: 3, ..USUAL }], 0.6 },
    one_always_tells_usual = { [USUAL, telling(swinging(3.0, 1.0), Figure::Always(1.0)), USUAL], 0.4 },
    one_always_tells_slow = { [USUAL, telling(USUAL, Figure::Always(20.0)), USUAL], 0.85 },
    flapping = { [Nature { slow: 1.5, swing: 3.0, period: 50, ..USUAL }; 3], 0.4 },
)]
fn callers_get_as_much_in_time_as_by_any_other_way(natures: [Nature; 3], load: f64) {
    let scenario = scenario(&natures, load);
    let ours = play(&scenario, Policy::Paces);
    println!(
        "placer {:.3}, requests by target {:?}",
        ours.in_time(),
        ours.targets
    );
    for policy in RIVALS {
        let other = play(&scenario, policy);
        println!(
            "{policy:?} {:.3}, requests by target {:?}",
            other.in_time(),
            other.targets
        );
        assert!(ours.in_time() >= other.in_time() - 0.01, "{policy:?}");
    }
}

#[test]
fn without_figures_and_slow_targets_choices_are_as_before() {
    for load in [0.3, 0.8] {
        let scenario = scenario(&[telling(USUAL, Figure::Absent); 3], load);
        let before = play(&scenario, Policy::Before);
        assert_eq!(play(&scenario, Policy::Paces).choices, before.choices);
    }
}

/// A change counts within 20 s, and its end too.
#[test]
fn a_target_that_slows_down_is_believed_slow_and_again_usual_in_time() {
    let mut scenario = scenario(&[USUAL; 3], 0.3);
    let slow = Nature { slow: 4.0, ..USUAL };
    scenario.changes = vec![(20_000, 1, slow)];
    scenario.length = 40_000;
    let slowed = play(&scenario, Policy::Paces).slowdowns;
    assert!(slowed[1] > 2.0 && slowed[0] < 1.5, "{slowed:?}");
    scenario.changes.push((40_000, 1, USUAL));
    scenario.length = 60_000;
    let again = play(&scenario, Policy::Paces).slowdowns;
    assert!(again[1] < 1.5, "{again:?}");
}

#[test]
fn half_of_the_instances_may_start_anew() {
    let mut scenario = scenario(&differing(), 0.3);
    let usual = play(&scenario, Policy::Paces).in_time();
    scenario.restart = Some(20_000);
    let restarted = play(&scenario, Policy::Paces).in_time();
    assert!(restarted > usual - 0.02, "{restarted} and {usual}");
}

#[test]
fn all_targets_slow_at_once_stay_level() {
    let mut scenario = scenario(&[USUAL; 3], 0.2);
    let slow = Nature { slow: 2.0, ..USUAL };
    scenario.changes = (0..3).map(|target| (15_000, target, slow)).collect();
    let outcome = play(&scenario, Policy::Paces);
    for target in 0..3 {
        assert!((0.25..0.42).contains(&outcome.share(target)), "{outcome:?}");
    }
    assert!(
        outcome
            .capacities
            .iter()
            .all(|capacity| *capacity >= f64::from(SLOTS) - 1.0)
    );
}
