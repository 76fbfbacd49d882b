//! The life of a request: what is sent again, and when "not run" is true.

use std::time::Duration;

use cactuslane_flight::{Ending, Flight, Refusal, RetryPolicy, Step};
use proptest::prelude::*;
use yare::parameterized;

/// The time that the caller has, in milliseconds.
const PATIENCE: u64 = 1_000;

/// Creates a request with a number of attempts.
fn flight(repeat: RetryPolicy, attempts: u32) -> Flight {
    Flight::new(repeat, attempts, 0, Duration::from_millis(PATIENCE))
}

#[parameterized(
    never_after_a_break = { RetryPolicy::Never, Ending::Broken, Step::Refuse(Refusal::Unknown) },
    never_after_a_failure = { RetryPolicy::Never, Ending::Failed, Step::Pass },
    never_after_a_rejection = { RetryPolicy::Never, Ending::Rejected, Step::Again },
    never_unsent = { RetryPolicy::Never, Ending::Unsent, Step::Again },
    never_late = { RetryPolicy::Never, Ending::Late, Step::Refuse(Refusal::TimedOut) },
    whole_after_a_break = { RetryPolicy::Restart, Ending::Broken, Step::Again },
    whole_after_a_failure = { RetryPolicy::Restart, Ending::Failed, Step::Again },
    whole_late = { RetryPolicy::Restart, Ending::Late, Step::Refuse(Refusal::TimedOut) },
    stream_after_a_break = { RetryPolicy::Resume, Ending::Broken, Step::Again },
    stream_after_a_rejection = { RetryPolicy::Resume, Ending::Rejected, Step::Again },
)]
fn the_first_end_of_an_attempt_decides(repeat: RetryPolicy, ending: Ending, step: Step) {
    let mut flight = flight(repeat, 2);
    assert_eq!(flight.after(ending, 10, || true), step);
}

#[test]
fn a_repeated_send_needs_a_place_in_the_budget() {
    let mut flight = flight(RetryPolicy::Restart, 2);
    let step = flight.after(Ending::Broken, 10, || false);
    assert_eq!(step, Step::Refuse(Refusal::Unknown));
}

#[test]
fn a_rejected_request_without_budget_has_not_run() {
    let mut flight = flight(RetryPolicy::Never, 1);
    let step = flight.after(Ending::Rejected, 10, || false);
    assert_eq!(step, Step::Refuse(Refusal::NotRun));
}

#[test]
fn a_stream_that_began_is_resumed_and_a_whole_answer_is_not_begun_again() {
    let mut stream = flight(RetryPolicy::Resume, 2);
    stream.begin();
    assert_eq!(stream.after(Ending::Broken, 10, || true), Step::Again);
    let mut other = flight(RetryPolicy::Never, 2);
    other.begin();
    assert_eq!(other.after(Ending::Broken, 10, || true), Step::Cut);
}

#[test]
fn attempts_are_bounded() {
    let mut flight = flight(RetryPolicy::Restart, 2);
    assert_eq!(flight.after(Ending::Broken, 10, || true), Step::Again);
    let step = flight.after(Ending::Broken, 20, || true);
    assert_eq!(step, Step::Refuse(Refusal::Unknown));
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut flight = flight(RetryPolicy::Restart, 2);
    let step = flight.after(Ending::Rejected, PATIENCE, || true);
    assert_eq!(step, Step::Refuse(Refusal::NotRun));
    assert!(flight.left(PATIENCE).is_zero());
}

/// Returns any end of an attempt.
fn any_ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        Just(Ending::Unsent),
        Just(Ending::Rejected),
        Just(Ending::Failed),
        Just(Ending::Broken),
        Just(Ending::Late),
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
        let mut flight = flight(repeat, attempts);
        let (mut now, mut runs, mut began) = (0, 0, false);
        for (index, (ending, elapsed, budget)) in endings.into_iter().enumerate() {
            if begins == Some(index) {
                flight.begin();
                began = true;
            }
            now += elapsed;
            if matches!(ending, Ending::Failed | Ending::Broken | Ending::Late) {
                runs += 1;
            }
            let mut asked = false;
            let step = flight.after(ending, now, || { asked = true; budget });
            if step != Step::Again {
                // "Not run" is said only where nothing may have run, and nothing has begun.
                if step == Step::Refuse(Refusal::NotRun) {
                    prop_assert_eq!(runs, 0);
                }
                prop_assert_eq!(step == Step::Cut, began);
                break;
            }
            prop_assert!(now < PATIENCE);
            prop_assert!(runs < attempts);
            prop_assert!(repeat != RetryPolicy::Never || runs == 0);
            prop_assert!(repeat != RetryPolicy::Restart || !began);
            prop_assert!(ending == Ending::Unsent || (asked && budget));
        }
    }
}
