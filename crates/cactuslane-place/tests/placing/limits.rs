//! Engines that have named limits.

use cactuslane_place::{LimitAnswer, Placement, Placer};

use crate::{fleet, info, load, place, placement};

/// Creates a placer that knows a limit of the decode engines with these indexes in [`fleet`].
fn limited(engines: &[usize]) -> Placer {
    let mut placer = Placer::new("a".to_owned(), 1);
    let answer = LimitAnswer {
        rate: Some(4.0),
        conclusive: true,
        sent: 0,
    };
    for index in engines {
        let target = &fleet()[*index];
        assert!(placer.limits.observe_answer(target, answer, 1));
    }
    placer
}

/// Guards against prompts that are computed for an engine that has no permit left by then.
#[test]
fn no_prompt_is_computed_for_an_engine_with_a_limit() {
    let mut placer = limited(&[2]);
    placer.load_view.add("d2", load(0, 30, 100_000));
    let plan = place(&mut placer, &fleet(), &info(0, 20_000));
    assert_eq!((plan.prefill.is_some(), plan.decode.as_str()), (true, "d2"));
    let mut placer = limited(&[2, 3]);
    let plan = place(&mut placer, &fleet(), &info(0, 20_000));
    assert_eq!(plan.prefill, None);
}

#[test]
fn an_engine_with_a_limit_computes_a_short_prompt_itself() {
    let mut placer = limited(&[2]);
    placer.load_view.add("d2", load(0, 30, 100_000));
    let plan = place(&mut placer, &fleet(), &info(0, 800));
    assert_eq!((plan.prefill, plan.decode.as_str()), (None, "d1"));
}

#[test]
fn engines_without_permits_are_left_out() {
    let mut placer = limited(&[2, 3]);
    for index in [2, 3] {
        let target = &fleet()[index];
        placer.limits.record_exhausted(target, &[], 9_990);
    }
    let left = std::time::Duration::from_secs(6);
    let placement = placement(&mut placer, &fleet(), &info(0, 800), left);
    assert_eq!(placement, Placement::NoTarget);
}
