//! Estimated times of prompts.

use std::ops::Range;
use std::time::Duration;

use cactuslane_place::{Placement, Placer};
use yare::parameterized;

use crate::{fleet, info, placement};

/// Guards against an estimate by which the waiting times of short prompts grow with the length of a
/// long one.
#[parameterized(
    mostly_short = { 50, false, 150.0..250.0 },
    short_alone = { 0, false, 150.0..250.0 },
    mostly_short_and_varying = { 50, true, 250.0..330.0 },
    short_alone_and_varying = { 0, true, 250.0..330.0 },
)]
fn a_long_prompt_is_not_refused_because_short_ones_wait(
    every: u32,
    varying: bool,
    waits: Range<f64>,
) {
    let mut placer = Placer::new("a".to_owned(), 1);
    for number in 1..=400 {
        // Each prompt waits for 200 ms, or up to 360 ms, and takes 25 ms for 1,000 tokens.
        let wait = if varying {
            f64::from(number / 50 % 10) * 40.0
        } else {
            200.0
        };
        let long = every > 0 && number % every == 0;
        let tokens = if long {
            20_000
        } else {
            500 + number % 10 * 200
        };
        placer
            .speed
            .observe(2, tokens, 0, wait + f64::from(tokens) * 0.025);
    }
    let (whole, fixed) = (placer.speed.prefill_ms(40_000.0), placer.speed.fixed_ms(2));
    assert!((950.0..1_050.0).contains(&whole), "{whole}");
    assert!(waits.contains(&fixed), "{fixed}");
    let left = Duration::from_millis(2_400);
    let placement = placement(&mut placer, &fleet(), &info(0, 40_000), left);
    assert!(matches!(placement, Placement::Run(_)), "{placement:?}");
}

/// Guards against an engine's speed that is not learned as no prompt is long.
#[test]
fn the_speed_of_slow_engines_is_learned_from_short_prompts() {
    let mut placer = Placer::new("a".to_owned(), 1);
    for number in 0..400 {
        let tokens = 1_000 + number % 10 * 200;
        let wait = f64::from(number % 7) * 100.0;
        let elapsed = wait + f64::from(tokens) * 0.2;
        placer.speed.observe(1, tokens, 0, elapsed);
    }
    let token_us = placer.speed.prefill_ms(1_000.0);
    assert!((190.0..230.0).contains(&token_us), "{token_us}");
}
