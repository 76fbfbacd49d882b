//! Tests of accepted connections over loopback.

use std::cell::Cell;
use std::fs;
use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::{Door, HeldLimits};
use cactuslane_held::connections::{listen, serve};
use cactuslane_held::{ConnectionGuard, HeadLimits, Held};
use http_body_util::Full;
use hyper::Response;
use hyper::body::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Limits that give each door its smallest number of connections.
const LIMITS: HeldLimits = HeldLimits {
    bodies: 1 << 20,
    answers: 1 << 20,
    connections: 0,
};
/// Limits on heads.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    bytes: 16 << 10,
    timeout: Duration::from_mins(1),
};
/// Time after which a test counts as hung and fails.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Fills the front door, so that the connection that was opened first is to be closed.
async fn replace_first(held: &Arc<Held>) -> Vec<ConnectionGuard> {
    let mut guards = Vec::new();
    for _ in 0..LIMITS.at_door(Door::Front) {
        guards.push(held.open(Door::Front).await.expect("one can be replaced"));
    }
    guards
}

/// Guards against requests that are executed and then cut, as their connection was idle when it was
/// chosen to be closed.
#[tokio::test]
async fn a_request_that_begins_as_its_connection_is_closed_gets_its_answer() {
    for _ in 0..32 {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        let listener = listener.expect("a port can be bound");
        let address = listener.local_addr().expect("it is bound");
        let mut caller = TcpStream::connect(address).await.expect("it listens");
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.write_all(request).await.expect("it is connected");
        let (stream, _) = listener.accept().await.expect("a caller waits");
        stream.readable().await.expect("the request arrives");
        let held = Arc::new(Held::new(LIMITS));
        let guard = held.open(Door::Front).await.expect("the door is empty");
        let others = replace_first(&held).await;
        let began = Cell::new(false);
        let respond = |_, _| {
            began.set(true);
            async {
                yield_now().await;
                Response::new(Full::new(Bytes::from_static(b"whole")))
            }
        };
        serve(guard, stream, HEAD_LIMITS, pending(), respond).await;
        let mut answer = Vec::new();
        let read = timeout(TEST_TIMEOUT, caller.read_to_end(&mut answer)).await;
        let is_whole = matches!(read, Ok(Ok(_))) && answer.ends_with(b"whole");
        assert!(!began.get() || is_whole, "a request that began was cut");
        drop(others);
    }
}

/// Guards against a queue of connections to be accepted that a burst fills, after which callers
/// connect a second or more later.
#[tokio::test]
async fn a_burst_of_connections_is_taken_before_any_is_accepted() {
    let most = fs::read_to_string("/proc/sys/net/core/somaxconn");
    let most = most.ok().and_then(|text| text.trim().parse().ok());
    let burst = most.unwrap_or(usize::MAX).min(400);
    let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let listener = listener.expect("a port can be bound");
    let address = listener.local_addr().expect("it is bound");
    let mut callers = Vec::new();
    for _ in 0..burst {
        let connecting = TcpStream::connect(address);
        let connected = timeout(TEST_TIMEOUT, connecting).await;
        callers.push(connected.expect("it connects").expect("it listens"));
    }
    for _ in 0..burst {
        listener.accept().await.expect("a caller waits");
    }
}
