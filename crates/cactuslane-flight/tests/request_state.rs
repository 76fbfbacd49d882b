//! The life of a request: what is sent again, and when "not run" is true.

use std::time::Duration;

use cactuslane_flight::{AttemptFailure, Refusal, RequestState, RetryPolicy, Step};
use proptest::prelude::*;
use yare::parameterized;

/// The time that the caller has, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

/// Creates a request with a number of attempts.
fn state(repeat: RetryPolicy, attempts: u32) -> RequestState {
    RequestState::new(repeat, attempts, 0, Duration::from_millis(TIMEOUT_MS))
}

#[parameterized(
    never_after_a_break = { RetryPolicy::Never, AttemptFailure::Broken, Step::Refuse(Refusal::Unknown) },
    never_after_a_failure = { RetryPolicy::Never, AttemptFailure::Failed, Step::ForwardFailure },
    never_after_a_rejection = { RetryPolicy::Never, AttemptFailure::Rejected, Step::Retry },
    never_unsent = { RetryPolicy::Never, AttemptFailure::Unsent, Step::Retry },
    never_late = { RetryPolicy::Never, AttemptFailure::Late, Step::Refuse(Refusal::TimedOut) },
    whole_after_a_break = { RetryPolicy::Restart, AttemptFailure::Broken, Step::Retry },
    whole_after_a_failure = { RetryPolicy::Restart, AttemptFailure::Failed, Step::Retry },
    whole_late = { RetryPolicy::Restart, AttemptFailure::Late, Step::Refuse(Refusal::TimedOut) },
    stream_after_a_break = { RetryPolicy::Resume, AttemptFailure::Broken, Step::Retry },
    stream_after_a_rejection = { RetryPolicy::Resume, AttemptFailure::Rejected, Step::Retry },
)]
fn the_first_end_of_an_attempt_decides(repeat: RetryPolicy, ending: AttemptFailure, step: Step) {
    let mut state = state(repeat, 2);
    assert_eq!(state.next_step(ending, 10, || true), step);
}

#[test]
fn a_repeated_send_needs_a_place_in_the_budget() {
    let mut state = state(RetryPolicy::Restart, 2);
    let step = state.next_step(AttemptFailure::Broken, 10, || false);
    assert_eq!(step, Step::Refuse(Refusal::Unknown));
}

#[test]
fn a_rejected_request_without_budget_has_not_run() {
    let mut state = state(RetryPolicy::Never, 1);
    let step = state.next_step(AttemptFailure::Rejected, 10, || false);
    assert_eq!(step, Step::Refuse(Refusal::NotRun));
}

#[test]
fn a_stream_that_began_is_resumed_and_a_whole_answer_is_not_begun_again() {
    let mut stream = state(RetryPolicy::Resume, 2);
    stream.mark_answer_begun();
    assert_eq!(
        stream.next_step(AttemptFailure::Broken, 10, || true),
        Step::Retry
    );
    let mut other = state(RetryPolicy::Never, 2);
    other.mark_answer_begun();
    assert_eq!(
        other.next_step(AttemptFailure::Broken, 10, || true),
        Step::Abort
    );
}

#[test]
fn attempts_are_bounded() {
    let mut state = state(RetryPolicy::Restart, 2);
    assert_eq!(
        state.next_step(AttemptFailure::Broken, 10, || true),
        Step::Retry
    );
    let step = state.next_step(AttemptFailure::Broken, 20, || true);
    assert_eq!(step, Step::Refuse(Refusal::Unknown));
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut state = state(RetryPolicy::Restart, 2);
    let step = state.next_step(AttemptFailure::Rejected, TIMEOUT_MS, || true);
    assert_eq!(step, Step::Refuse(Refusal::NotRun));
    assert!(state.remaining(TIMEOUT_MS).is_zero());
}

/// Returns any end of an attempt.
fn any_ending() -> impl Strategy<Value = AttemptFailure> {
    prop_oneof![
        Just(AttemptFailure::Unsent),
        Just(AttemptFailure::Rejected),
        Just(AttemptFailure::Failed),
        Just(AttemptFailure::Broken),
        Just(AttemptFailure::Late),
    ]
}

/// Returns any rule of repetition.
fn any_repeat() -> impl Strategy<Value = RetryPolicy> {
    prop_oneof![
        Just(RetryPolicy::Never),
        Just(RetryPolicy::Resume),
        Just(RetryPolicy::Restart)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever happens, the promises of a request hold.
    #[test]
    fn promises_hold_in_any_order_of_events(
        repeat in any_repeat(),
        attempts in 1_u32..4,
        begins in prop::option::of(0_usize..6),
        endings in prop::collection::vec((any_ending(), 1_u64..300, any::<bool>()), 1..12),
    ) {
        let mut state = state(repeat, attempts);
        let (mut now, mut runs, mut began) = (0, 0, false);
        for (index, (ending, elapsed, budget)) in endings.into_iter().enumerate() {
            if begins == Some(index) {
                state.mark_answer_begun();
                began = true;
            }
            now += elapsed;
            if matches!(ending, AttemptFailure::Failed | AttemptFailure::Broken | AttemptFailure::Late) {
                runs += 1;
            }
            let mut asked = false;
            let step = state.next_step(ending, now, || { asked = true; budget });
            if step != Step::Retry {
                // "Not run" is said only where nothing may have run, and nothing has begun.
                if step == Step::Refuse(Refusal::NotRun) {
                    prop_assert_eq!(runs, 0);
                }
                prop_assert_eq!(step == Step::Abort, began);
                break;
            }
            prop_assert!(now < TIMEOUT_MS);
            prop_assert!(runs < attempts);
            prop_assert!(repeat != RetryPolicy::Never || runs == 0);
            prop_assert!(repeat != RetryPolicy::Restart || !began);
            prop_assert!(ending == AttemptFailure::Unsent || (asked && budget));
        }
    }
}
