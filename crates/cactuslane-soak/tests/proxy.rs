//! The proxy forwards bytes except where the injected fault discards them or ends the connection.

use std::net::Ipv4Addr;
use std::time::Duration;

use cactuslane_soak::plan::LinkFault;
use cactuslane_soak::proxy::Proxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use yare::parameterized;

/// Time after which an echo that should not arrive counts as missing.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum wait for an echo that should arrive, after which the test fails.
const ECHO_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an echo server and a proxy in front of it, and returns the proxy.
async fn start_echo_proxy() -> Proxy {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port can be bound");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    Proxy::bind(address).await.expect("a port can be bound")
}

/// Sends a byte and returns the byte or error received, or `None` if nothing arrives within `wait`.
async fn echo(stream: &mut TcpStream, wait: Duration) -> Option<Result<u8, std::io::ErrorKind>> {
    if let Err(error) = stream.write_all(b"x").await {
        return Some(Err(error.kind()));
    }
    let read = timeout(wait, stream.read_u8()).await.ok()?;
    Some(read.map_err(|error| error.kind()))
}

#[parameterized(
    reset = { LinkFault::Reset, false, true },
    stalled = { LinkFault::Stall, true, true },
    silent = { LinkFault::Silent, true, false },
    cut_up = { LinkFault::CutUp, true, false },
    cut_down = { LinkFault::CutDown, true, false },
)]
#[test_macro(tokio::test)]
async fn a_fault_applies_to_open_and_new_connections_until_healed(
    fault: LinkFault,
    stays_open: bool,
    new_works: bool,
) {
    let proxy = start_echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address)
        .await
        .expect("the proxy accepts a connection");
    assert_eq!(echo(&mut stream, ECHO_TIMEOUT).await, Some(Ok(b'x')));
    proxy.inject_fault(fault);
    let wait = |answers| {
        if answers {
            ECHO_TIMEOUT
        } else {
            ABSENCE_TIMEOUT
        }
    };
    match echo(&mut stream, wait(!stays_open)).await {
        None => assert!(stays_open),
        Some(answer) => assert!(!stays_open && answer.is_err(), "{answer:?}"),
    }
    let mut new = TcpStream::connect(proxy.address)
        .await
        .expect("the proxy accepts a connection");
    assert_eq!(echo(&mut new, wait(new_works)).await.is_some(), new_works);
    proxy.heal();
    let mut healed = TcpStream::connect(proxy.address)
        .await
        .expect("the proxy accepts a connection");
    assert_eq!(echo(&mut healed, ECHO_TIMEOUT).await, Some(Ok(b'x')));
}
