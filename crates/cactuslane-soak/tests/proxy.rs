//! The proxy passes bytes on, unless it harms a connection.

use std::net::Ipv4Addr;
use std::time::Duration;

use cactuslane_soak::plan::Link;
use cactuslane_soak::proxy::Proxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use yare::parameterized;

/// Time for which an answer is waited for that should not come.
const MISSING: Duration = Duration::from_millis(150);
/// Time for which an answer is waited for that should come.
const HUNG: Duration = Duration::from_secs(30);

/// Starts a server that sends back what it gets, and a proxy before it.
async fn deploy() -> Proxy {
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
    reset = { Link::Reset, false, true },
    stalled = { Link::Stall, true, true },
    silent = { Link::Silent, true, false },
    cut_up = { Link::CutUp, true, false },
    cut_down = { Link::CutDown, true, false },
)]
#[test_macro(tokio::test)]
async fn a_harmed_connection(link: Link, stays_open: bool, new_work: bool) {
    let proxy = deploy().await;
    let mut stream = TcpStream::connect(proxy.address)
        .await
        .expect("it connects");
    assert_eq!(echo(&mut stream, HUNG).await, Some(Ok(b'x')));
    proxy.harm(link);
    let wait = |answers| if answers { HUNG } else { MISSING };
    match echo(&mut stream, wait(!stays_open)).await {
        None => assert!(stays_open),
        Some(answer) => assert!(!stays_open && answer.is_err(), "{answer:?}"),
    }
    let mut new = TcpStream::connect(proxy.address)
        .await
        .expect("it connects");
    assert_eq!(echo(&mut new, wait(new_work)).await.is_some(), new_work);
    proxy.heal();
    let mut healed = TcpStream::connect(proxy.address)
        .await
        .expect("it connects");
    assert_eq!(echo(&mut healed, HUNG).await, Some(Ok(b'x')));
}
