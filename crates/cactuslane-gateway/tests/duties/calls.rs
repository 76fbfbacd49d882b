//! Single calls: what reaches the platform, and what each kind of answer and failure means.

use std::time::Duration;

use cactuslane_gateway::duties::DutyAnswer;
use cactuslane_gateway::duties::exchange::{self, ExchangeError};
use cactuslane_gateway::leadership::boot_millis;
use cactuslane_platform::duties::encode_scale;
use cactuslane_platform_standin::link::Blackhole;
use cactuslane_platform_standin::{DutyEndpoint, Reply};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::timeout;
use yare::parameterized;

use crate::holder::{Holder, order, run_test, wait_until};

#[test]
fn a_call_carries_the_holder_and_its_token() {
    run_test(async {
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        let holder = Holder::new("front-1", platform.address);
        holder.take(12);
        assert_eq!(
            holder.duties.call(&order("a", 6)).await,
            DutyAnswer::Accepted
        );
        let calls = platform.accepted();
        let call = &calls[0];
        assert_eq!((call.holder.as_str(), call.token), ("front-1", 12));
        assert_eq!(call.path, "/scale");
        let expected = json!({ "service": "chat", "zone": "a", "desired_count": 6 });
        assert_eq!(call.body, expected);
    });
}

#[parameterized(
    unavailable = { Reply::Status(409), "unavailable" },
    limited = { Reply::Status(429), "limited" },
    rejected = { Reply::Status(404), "rejected" },
    failed = { Reply::Status(503), "unknown" },
    silent = { Reply::Silent, "unknown" },
    reset = { Reply::Reset, "unknown" },
    garbage = { Reply::Garbage, "unknown" },
    slow = { Reply::Slow(Duration::from_millis(400)), "accepted" },
)]
fn an_answer_is_told_from_none(reply: Reply, result: &str) {
    run_test(async {
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        platform.set_reply(reply);
        let holder = Holder::new("front-1", platform.address);
        holder.take(12);
        let answer = holder.duties.call(&order("a", 6)).await;
        assert_eq!(answer.label(), result, "{answer:?}");
        assert_eq!(platform.arrived(), 1);
        // A call that failed does not keep the next one back for long.
        platform.set_reply(Reply::Accept);
        wait_for_accepted(&holder).await;
    });
}

#[test]
fn nothing_is_sent_without_the_office() {
    run_test(async {
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        let holder = Holder::new("front-1", platform.address);
        let unsent = async || {
            let answer = holder.duties.call(&order("a", 6)).await;
            assert_eq!(answer.label(), "unsent", "{answer:?}");
        };
        unsent().await;
        // The process was paused until its lease had lapsed.
        let before = boot_millis().saturating_sub(4_000);
        holder.take_under(9, 4_000, 0, before);
        unsent().await;
        // It has just taken over from another instance.
        holder.take_under(12, 100_000, 60_000, boot_millis());
        unsent().await;
        holder.take(13);
        holder.leadership.lock().leave();
        unsent().await;
        assert_eq!(platform.arrived(), 0);
    });
}

#[test]
fn nothing_is_sent_if_the_office_is_lost_while_connecting() {
    run_test(async {
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        let post = encode_scale("chat", "a", 6, true);
        let sent = exchange::post(platform.address, "front-1", 9, post, || false).await;
        assert_eq!(sent, Err(ExchangeError::NotHeld));
        assert_eq!(platform.arrived(), 0);
    });
}

#[test]
fn calls_to_an_address_that_is_cut_off_were_not_sent() {
    run_test(async {
        let cut = Blackhole::bind().await.expect("a port can be bound");
        let holder = Holder::new("front-1", cut.address);
        holder.take(9);
        let answer = holder.duties.call(&order("a", 6)).await;
        assert_eq!(answer.label(), "unsent", "{answer:?}");
        let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = closed.local_addr().expect("it is bound");
        drop(closed);
        let holder = Holder::new("front-1", address);
        holder.take(9);
        let answer = holder.duties.call(&order("a", 6)).await;
        assert_eq!(answer.label(), "unsent", "{answer:?}");
    });
}

#[test]
fn one_call_of_a_subject_is_made_at_a_time() {
    run_test(async {
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        platform.set_reply(Reply::Slow(Duration::from_millis(300)));
        let holder = Holder::new("front-1", platform.address);
        holder.take(9);
        let (first, second, other) = (order("a", 6), order("a", 5), order("b", 6));
        let (first, second, other) = tokio::join!(
            holder.duties.call(&first),
            holder.duties.call(&second),
            holder.duties.call(&other),
        );
        assert_eq!(first, DutyAnswer::Accepted);
        assert_eq!(second.label(), "unsent");
        assert_eq!(other, DutyAnswer::Accepted);
    });
}

#[test]
fn a_call_that_is_given_up_ends() {
    run_test(async {
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        platform.set_reply(Reply::Silent);
        let holder = Holder::new("front-1", platform.address);
        holder.take(9);
        let call = order("a", 6);
        let given_up = timeout(Duration::from_millis(100), holder.duties.call(&call)).await;
        assert!(given_up.is_err());
        platform.set_reply(Reply::Accept);
        wait_for_accepted(&holder).await;
    });
}

/// The connection of a call that is given up is reset, so that its peer gets nothing later.
#[test]
fn a_call_that_is_given_up_is_not_sent_later() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("it is bound");
        let holder = Holder::new("front-1", address);
        holder.take(9);
        let call = order("a", 6);
        let (given_up, accepted) = tokio::join!(
            timeout(Duration::from_millis(100), holder.duties.call(&call)),
            listener.accept()
        );
        assert!(given_up.is_err());
        let (stream, _) = accepted.expect("a connection was made");
        wait_until(|| stream.take_error().ok().flatten().is_some()).await;
    });
}

/// Repeats a call until it is accepted.
async fn wait_for_accepted(holder: &Holder) {
    while holder.duties.call(&order("a", 6)).await != DutyAnswer::Accepted {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
