//! The proxy passes bytes on, unless it harms a connection.

use std::net::Ipv4Addr;
use std::time::Duration;

use cactuslane_soak::plan::LinkFault;
use cactuslane_soak::proxy::Proxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use yare::parameterized;

/// Time for which an answer is waited for that should not come.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which an answer is waited for that should come.
const ECHO_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server that sends back what it gets, and a proxy before it.
async fn start_echo_proxy() -> Proxy {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("it binds");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    Proxy::bind(address).await.expect("it binds")
}

/// Sends a byte and returns what comes back: nothing where the time is over.
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
    link: LinkFault,
    stays_open: bool,
    new_works: bool,
) {
    let proxy = start_echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address)
        .await
        .expect("it connects");
    assert_eq!(echo(&mut stream, ECHO_TIMEOUT).await, Some(Ok(b'x')));
    proxy.inject_fault(link);
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
        .expect("it connects");
    assert_eq!(echo(&mut new, wait(new_works)).await.is_some(), new_works);
    proxy.heal();
    let mut healed = TcpStream::connect(proxy.address)
        .await
        .expect("it connects");
    assert_eq!(echo(&mut healed, ECHO_TIMEOUT).await, Some(Ok(b'x')));
}
