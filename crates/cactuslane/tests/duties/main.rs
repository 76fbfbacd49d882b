//! Tests of gateway processes of which the one that holds the duties is killed, or paused past its
//! lease and continued, while customers' requests are served and their usage is reported.

mod fleet;
mod ledger;

use std::collections::BTreeSet;
use std::time::Duration;

use cactuslane_platform_standin::Reply;
use yare::parameterized;

use fleet::{Fleet, run_test, wait_until};
use ledger::{LENGTH, check_windows, unix_now};

/// `lease_ms` of the stand-in's settings, within which no holder acts between two calls of another.
const LEASE: Duration = Duration::from_secs(3);
/// Number of windows that are reported after the failure is over.
const LATER_WINDOWS: u64 = 2;

/// What happens to the holder of the duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It is killed.
    Killed,
    /// It is stopped until another one reports, and then continued.
    Paused,
}

/// Guards against windows that are lost, reported with two contents or with too few requests by the
/// next holder, and against reports of the former one.
#[parameterized(
    killed_between_reports = { Failure::Killed, Reply::Accept },
    killed_while_reporting = { Failure::Killed, Reply::Reset },
    paused_between_reports = { Failure::Paused, Reply::Accept },
    paused_while_reporting = { Failure::Paused, Reply::Reset },
)]
fn usage_is_reported_through_a_failure_of_the_holder(failure: Failure, reply: Reply) {
    run_test(async move {
        let mut fleet = Fleet::start().await;
        let complete_from = unix_now() / LENGTH + 1;
        let reported = |fleet: &Fleet| fleet.platform.windows().keys().next_back().copied();
        wait_until(|| reported(&fleet) >= Some(complete_from)).await;
        // Without an answer, the holder has a report to repeat when it fails.
        fleet.platform.set_reply(reply);
        let before = fleet.platform.accepted();
        wait_until(|| fleet.platform.accepted().len() > before.len()).await;
        let call = fleet.platform.accepted().pop().expect("there is a call");
        let failed_at = unix_now();
        let holder = call.holder.clone();
        match failure {
            Failure::Killed => fleet.kill(&holder),
            Failure::Paused => fleet.signal(&holder, "STOP"),
        }
        let at_failure = fleet.platform.accepted().len();
        fleet.platform.set_reply(Reply::Accept);
        let by_next = |fleet: &Fleet| {
            let calls = fleet.platform.accepted();
            calls.iter().any(|call| call.holder != holder)
        };
        wait_until(|| by_next(&fleet)).await;
        if failure == Failure::Paused {
            fleet.signal(&holder, "CONT");
            fleet.wait_until_served(&holder).await;
        }
        fleet.wait_until_known().await;
        let whole_again = unix_now() / LENGTH + 1;
        wait_until(|| reported(&fleet) >= Some(whole_again + LATER_WINDOWS)).await;
        let calls = fleet.platform.accepted();
        let later = &calls[at_failure..];
        let stale: Vec<_> = later.iter().filter(|c| c.token <= call.token).collect();
        assert!(stale.is_empty(), "calls under the lost lease: {stale:?}");
        // The next holder cannot know what was accepted, so that it repeats recent windows.
        let mut sent = BTreeSet::new();
        let again = later
            .iter()
            .find(|c| !sent.insert((c.token, c.body["window"].as_u64())));
        assert!(again.is_none(), "repeated after its acceptance: {again:?}");
        let violations = fleet.platform.violations(LEASE);
        assert!(violations.is_empty(), "{violations:?}");
        if reply == Reply::Reset {
            let window = call.body["window"].as_u64().expect("it has a window");
            let (_, reports) = fleet.platform.windows()[&window];
            assert!(reports > 1, "window {window} is repeated");
        }
        let outage = (failed_at / LENGTH, whole_again);
        check_windows(&fleet, &holder, complete_from, outage);
    });
}
