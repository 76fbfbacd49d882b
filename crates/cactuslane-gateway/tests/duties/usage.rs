//! Reports of usage: one content for each window, whatever fails.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuslane_platform_standin::{DutyEndpoint, Mode, Reply, Store};
use serde_json::json;
use tokio::time::sleep;
use yare::parameterized;

use crate::holder::{FIRST, Holder, START, run_test, wait_until};

/// Time after which the report of the first window is ready, in milliseconds.
const READY: u64 = 5_000 + 2_000;
/// Time for which nothing is expected to happen.
const QUIET: Duration = Duration::from_millis(700);
/// Time after which a new holder has reported, unless there is nothing to report.
const COLLECTING: Duration = Duration::from_secs(3);
/// Time within which no holder acts between two calls of another.
const LEASE: Duration = Duration::from_secs(3);

/// The stand-ins and a clock that stands.
struct Bench {
    /// Key-value store.
    store: Store,
    /// Address of the platform.
    platform: DutyEndpoint,
    /// Clock of all holders.
    clock: Arc<AtomicU64>,
}

impl Bench {
    /// Starts the stand-ins.
    async fn start() -> Self {
        Self {
            store: Store::bind().await.expect("a port can be bound"),
            platform: DutyEndpoint::bind().await.expect("a port can be bound"),
            clock: Arc::new(AtomicU64::new(START)),
        }
    }

    /// Starts an instance that reports once it holds the duties.
    fn holder(&self, name: &str) -> Holder {
        let holder = Holder::new(name, self.platform.address);
        holder.report(self.store.address, &self.clock);
        holder
    }

    /// Sets the clock to a time after the start, in milliseconds.
    fn advance_to(&self, millis: u64) {
        self.clock.store(START + millis, Ordering::Relaxed);
    }

    /// Waits until a number of windows was reported.
    async fn wait_for_windows(&self, number: usize) {
        wait_until(|| self.platform.windows().len() >= number).await;
    }
}

#[test]
fn each_window_is_reported_once_it_has_ended() {
    run_test(async {
        let bench = Bench::start().await;
        let holder = bench.holder("front-1");
        holder.take(9);
        bench.advance_to(READY - 1);
        sleep(COLLECTING).await;
        assert_eq!(bench.platform.arrived(), 0);
        bench.advance_to(READY);
        bench.wait_for_windows(1).await;
        holder.counted.store(5, Ordering::Relaxed);
        bench.advance_to(READY + 10_000);
        bench.wait_for_windows(3).await;
        sleep(QUIET).await;
        let windows = bench.platform.windows();
        assert_eq!(windows[&FIRST], (json!({ "c1": 1 }), 1));
        assert_eq!(windows[&(FIRST + 1)], (json!({ "c1": 5 }), 1));
        assert_eq!(windows[&(FIRST + 2)], (json!({ "c1": 5 }), 1));
        assert_eq!(bench.store.keys("cactuslane/usage/").len(), 3);
    });
}

#[parameterized(
    reset = { Reply::Reset },
    garbage = { Reply::Garbage },
    slow = { Reply::Slow(Duration::from_secs(5)) },
)]
fn a_report_whose_answer_was_lost_is_repeated_unchanged(reply: Reply) {
    run_test(async {
        let bench = Bench::start().await;
        let holder = bench.holder("front-1");
        holder.take(9);
        bench.platform.set_reply(reply);
        bench.advance_to(READY);
        bench.wait_for_windows(1).await;
        holder.counted.store(5, Ordering::Relaxed);
        wait_until(|| bench.platform.windows()[&FIRST].1 >= 2).await;
        bench.platform.set_reply(Reply::Accept);
        let before = bench.platform.arrived();
        wait_until(|| bench.platform.arrived() > before).await;
        assert_eq!(bench.platform.windows()[&FIRST].0, json!({ "c1": 1 }));
        assert!(bench.platform.violations(LEASE).is_empty());
    });
}

#[test]
fn the_next_holder_sends_the_content_of_the_last_one() {
    run_test(async {
        let bench = Bench::start().await;
        let (first, second) = (bench.holder("front-1"), bench.holder("front-2"));
        second.counted.store(5, Ordering::Relaxed);
        first.take(9);
        bench.platform.set_reply(Reply::Reset);
        bench.advance_to(READY);
        bench.wait_for_windows(1).await;
        first.lose();
        second.take(12);
        bench.platform.set_reply(Reply::Accept);
        let by_second = || {
            let calls = bench.platform.accepted();
            calls.iter().filter(|call| call.holder == "front-2").count()
        };
        wait_until(|| by_second() > 0).await;
        bench.advance_to(READY + 5_000);
        bench.wait_for_windows(2).await;
        let windows = bench.platform.windows();
        assert_eq!(windows[&FIRST].0, json!({ "c1": 1 }));
        assert_eq!(windows[&(FIRST + 1)].0, json!({ "c1": 5 }));
        let found = bench.platform.violations(LEASE);
        assert!(found.is_empty(), "{found:?}");
    });
}

#[test]
fn a_window_without_counts_is_left_to_another_holder() {
    run_test(async {
        let bench = Bench::start().await;
        let (first, second) = (bench.holder("front-1"), bench.holder("front-2"));
        first.counted.store(0, Ordering::Relaxed);
        first.take(9);
        bench.advance_to(READY);
        sleep(COLLECTING).await;
        assert_eq!(bench.platform.arrived(), 0);
        first.lose();
        second.take(12);
        bench.wait_for_windows(1).await;
        assert_eq!(bench.platform.accepted()[0].holder, "front-2");
    });
}

/// Both instances consider themselves the holder, which the store's condition alone must survive.
#[test]
fn calls_of_two_holders_that_cross_have_one_content() {
    run_test(async {
        let bench = Bench::start().await;
        let (first, second) = (bench.holder("front-1"), bench.holder("front-2"));
        second.counted.store(5, Ordering::Relaxed);
        first.take(9);
        second.take(12);
        bench.advance_to(READY + 10_000);
        wait_until(|| {
            let windows = bench.platform.windows();
            windows.len() == 3 && windows.values().all(|(_, number)| *number == 2)
        })
        .await;
        let found = bench.platform.violations(Duration::ZERO);
        assert!(
            !found.iter().any(|text| text.contains("contents")),
            "{found:?}"
        );
    });
}

#[parameterized(
    refusing = { Mode::Busy },
    silent = { Mode::Silent },
)]
fn nothing_is_reported_while_the_store_is_unavailable(mode: Mode) {
    run_test(async {
        let bench = Bench::start().await;
        let holder = bench.holder("front-1");
        holder.take(9);
        bench.advance_to(READY);
        bench.wait_for_windows(1).await;
        bench.store.set_mode(mode);
        bench.advance_to(READY + 5_000);
        sleep(QUIET).await;
        assert_eq!(bench.platform.windows().len(), 1);
        bench.store.set_mode(Mode::Serving);
        bench.wait_for_windows(2).await;
    });
}

#[test]
fn a_content_whose_write_got_no_answer_is_the_one_that_is_sent() {
    run_test(async {
        let bench = Bench::start().await;
        let holder = bench.holder("front-1");
        holder.take(9);
        bench.store.set_mode(Mode::Losing);
        bench.advance_to(READY);
        bench.wait_for_windows(1).await;
        let stored = bench.store.read(&format!("cactuslane/usage/{FIRST}"));
        let stored = stored.expect("the content is stored");
        assert_eq!(bench.platform.windows()[&FIRST].0, stored["counts"]);
    });
}

#[test]
fn a_window_whose_stored_content_is_unreadable_is_left_out() {
    run_test(async {
        let bench = Bench::start().await;
        let key = |window| format!("cactuslane/usage/{window}");
        bench.store.write_text(&key(FIRST), "\u{1}{");
        let other = json!({ "version": 2, "length": 5_000, "counts": {}, "instance": "x" });
        bench.store.write(&key(FIRST + 1), &other);
        bench.store.write_text("cactuslane/usage/x", "{}");
        let holder = bench.holder("front-1");
        holder.take(9);
        bench.advance_to(READY + 10_000);
        bench.wait_for_windows(1).await;
        sleep(QUIET).await;
        let windows: Vec<u64> = bench.platform.windows().into_keys().collect();
        assert_eq!(windows, [FIRST + 2]);
        let missed = holder
            .duties
            .windows
            .get_or_create(&[("result", "missed")])
            .get();
        assert_eq!(missed, 2);
    });
}

#[test]
fn windows_of_a_time_without_the_platform_are_reported_afterwards() {
    run_test(async {
        let bench = Bench::start().await;
        let holder = bench.holder("front-1");
        holder.take(9);
        bench.platform.set_reply(Reply::Status(503));
        bench.advance_to(READY + 5_000);
        wait_until(|| bench.platform.arrived() >= 2).await;
        assert!(bench.platform.windows().is_empty());
        bench.platform.set_reply(Reply::Accept);
        bench.wait_for_windows(2).await;
        // A window far in the past is given up.
        bench.platform.set_reply(Reply::Status(503));
        bench.advance_to(READY + 10_000);
        let before = bench.platform.arrived();
        wait_until(|| bench.platform.arrived() > before).await;
        bench.advance_to(READY + 60_000);
        bench.platform.set_reply(Reply::Accept);
        bench.wait_for_windows(3).await;
        let count = |result| {
            holder
                .duties
                .windows
                .get_or_create(&[("result", result)])
                .get()
        };
        wait_until(|| count("missed") > 0).await;
        assert!(!bench.platform.windows().contains_key(&(FIRST + 2)));
    });
}
