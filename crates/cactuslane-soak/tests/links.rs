//! Links carry what the faults of their paths allow.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactuslane_soak::links::{Links, Source};
use cactuslane_soak::passed::PathFigures;
use cactuslane_soak::plan::{self, PathFault, Scope};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;
use yare::parameterized;

/// Time after which an echo that should not arrive counts as missing.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum wait for what should arrive, after which the test fails.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// What a byte over a connection came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Echo {
    /// It came back.
    Back,
    /// It did not come back in time.
    Missing,
    /// The connection failed, or none was made.
    Failed,
}

/// Starts an echo server and returns its address.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port can be bound");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    address
}

/// Creates the links of two instances.
fn links() -> Links {
    let names = vec!["one".to_owned(), "two".to_owned()];
    Links::open(Ipv4Addr::LOCALHOST, names)
}

/// Sends a byte and waits for it to come back.
async fn echo(stream: &mut TcpStream, wait: Duration) -> Echo {
    if stream.write_all(b"x").await.is_err() {
        return Echo::Failed;
    }
    match timeout(wait, stream.read_u8()).await {
        Err(_) => Echo::Missing,
        Ok(Ok(_)) => Echo::Back,
        Ok(Err(_)) => Echo::Failed,
    }
}

/// Makes a connection and sends a byte over it.
async fn connect(address: SocketAddr, wait: Duration) -> Echo {
    match timeout(wait, TcpStream::connect(address)).await {
        Err(_) => Echo::Missing,
        Ok(Err(_)) => Echo::Failed,
        Ok(Ok(mut stream)) => echo(&mut stream, wait).await,
    }
}

/// Waits until a byte over a new connection comes to a result, as links change by and by.
async fn become_of_new(address: SocketAddr, wait: Duration, result: Echo) {
    while connect(address, wait).await != result {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn one_instance_reaches_the_targets_while_the_others_are_cut_off() {
    let (links, target) = (links(), echo_server().await);
    let one = links.route(Source::Instance(0), "t", target);
    let two = links.route(Source::Instance(1), "t", target);
    let peer = links.route(Source::Instance(1), "one", target);
    let _ = links.inject(Scope::OthersTargets(0), PathFault::Refused);
    become_of_new(two, ABSENCE_TIMEOUT, Echo::Failed).await;
    assert_eq!(connect(one, ARRIVAL_TIMEOUT).await, Echo::Back);
    assert_eq!(connect(peer, ARRIVAL_TIMEOUT).await, Echo::Back);
}

#[parameterized(
    silent = { PathFault::Silent, Echo::Missing, Echo::Missing, true },
    cut_up = { PathFault::CutUp, Echo::Missing, Echo::Missing, true },
    cut_down = { PathFault::CutDown, Echo::Missing, Echo::Missing, true },
    refused = { PathFault::Refused, Echo::Failed, Echo::Failed, false },
    reset = { PathFault::Reset, Echo::Failed, Echo::Back, false },
    stalled = { PathFault::Stall, Echo::Missing, Echo::Back, false },
)]
#[test_macro(tokio::test)]
async fn a_fault_applies_to_one_instance_and_ends(
    fault: PathFault,
    open_echo: Echo,
    new_echo: Echo,
    arrives_late: bool,
) {
    let (links, target) = (links(), echo_server().await);
    let address = links.route(Source::Instance(0), "t", target);
    let other = links.route(Source::Instance(1), "t", target);
    assert_eq!(links.route(Source::Instance(0), "t", target), address);
    assert_ne!(address, other);
    let renamed = links.route(Source::Instance(0), "another id", target);
    assert_eq!(renamed, address);
    let mut open = TcpStream::connect(address).await.expect("it accepts");
    assert_eq!(echo(&mut open, ARRIVAL_TIMEOUT).await, Echo::Back);
    let fault = links.inject(Scope::Targets(0), fault);
    assert_eq!(echo(&mut open, ABSENCE_TIMEOUT).await, open_echo);
    let wait = if new_echo == Echo::Missing {
        ABSENCE_TIMEOUT
    } else {
        ARRIVAL_TIMEOUT
    };
    become_of_new(address, wait, new_echo).await;
    assert_eq!(connect(other, ARRIVAL_TIMEOUT).await, Echo::Back);
    links.end(fault);
    if arrives_late {
        let late = timeout(ARRIVAL_TIMEOUT, open.read_u8()).await;
        assert_eq!(late.expect("it arrives").ok(), Some(b'x'));
    }
    become_of_new(address, ARRIVAL_TIMEOUT, Echo::Back).await;
}

#[tokio::test]
async fn the_end_of_one_fault_leaves_the_other() {
    let (links, target) = (links(), echo_server().await);
    let address = links.route(Source::Instance(0), "t", target);
    let first = links.inject(Scope::Targets(0), PathFault::Silent);
    let second = links.inject(Scope::Instance(0), PathFault::Refused);
    links.end(first);
    become_of_new(address, ABSENCE_TIMEOUT, Echo::Failed).await;
    let later = links.route(Source::Instance(0), "u", echo_server().await);
    become_of_new(later, ABSENCE_TIMEOUT, Echo::Failed).await;
    links.end(second);
    become_of_new(address, ARRIVAL_TIMEOUT, Echo::Back).await;
}

#[parameterized(
    whole = { None },
    silent = { Some(PathFault::Silent) },
)]
#[test_macro(tokio::test)]
async fn a_reset_at_one_end_is_one_at_the_other_after_a_silence(fault: Option<PathFault>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port can be bound");
    let target = listener.local_addr().expect("the listener is bound");
    let links = links();
    let address = links.route(Source::Callers, "one", target);
    let mut client = TcpStream::connect(address).await.expect("it accepts");
    let (server, _) = listener.accept().await.expect("it is connected");
    let linger = socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO));
    linger.expect("the option is set");
    let fault = fault.map(|fault| links.inject(Scope::Callers(0), fault));
    drop(server);
    if let Some(fault) = fault {
        let read = timeout(ABSENCE_TIMEOUT, client.read_u8()).await;
        assert!(read.is_err(), "{read:?}");
        links.end(fault);
    }
    let read = timeout(ARRIVAL_TIMEOUT, client.read_u8()).await;
    let error = read.expect("it ends").expect_err("no byte was sent");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Sends a datagram and returns its text and sender as they arrive, if they do.
async fn datagram(from: &UdpSocket, at: SocketAddr, to: &UdpSocket) -> Option<SocketAddr> {
    from.send_to(b"news", at).await.expect("it is sent");
    let mut buffer = [0; 16];
    let received = timeout(ABSENCE_TIMEOUT, to.recv_from(&mut buffer)).await;
    let (length, sender) = received.ok()?.expect("a datagram is received");
    assert_eq!(&buffer[..length], b"news");
    Some(sender)
}

#[tokio::test]
async fn a_cut_one_way_lets_datagrams_the_other_way_through() {
    let links = links();
    let bind = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0));
    let one = bind().await.expect("a port can be bound");
    let two = bind().await.expect("a port can be bound");
    let (at_one, at_two) = (one.local_addr(), two.local_addr());
    let (at_one, at_two) = (at_one.expect("bound"), at_two.expect("bound"));
    let to_two = links.route(Source::Instance(0), "two", at_two);
    let to_one = datagram(&one, to_two, &two).await.expect("it arrives");
    assert_eq!(links.route(Source::Instance(1), "one", at_one), to_one);
    assert_eq!(datagram(&two, to_one, &one).await, Some(to_two));
    let fault = links.inject(Scope::Peers(0), PathFault::CutUp);
    assert_eq!(datagram(&one, to_two, &two).await, None);
    assert_eq!(datagram(&two, to_one, &one).await, Some(to_two));
    links.end(fault);
    let fault = links.inject(Scope::Peers(0), PathFault::CutDown);
    assert_eq!(datagram(&one, to_two, &two).await, Some(to_one));
    assert_eq!(datagram(&two, to_one, &one).await, None);
    links.end(fault);
    let _ = links.inject(Scope::Domain(plan::domain(0)), PathFault::Lossy(100));
    assert_eq!(datagram(&one, to_two, &two).await, None);
}

#[test]
fn faults_of_paths_depend_on_the_seed_alone() {
    let length = Duration::from_secs(40);
    let mut scopes = BTreeSet::new();
    for seed in 0..40 {
        let steps = plan::draw_paths(seed, length, 4);
        assert_eq!(steps, plan::draw_paths(seed, length, 4));
        assert_eq!(steps.is_empty(), plan::is_planned_only(seed));
        for step in steps {
            assert!(step.at + step.action.duration() <= length.mul_f64(0.7));
            assert!(!step.action.is_planned());
            let mut figures = PathFigures::default();
            figures.count_faults(&[step]);
            scopes.extend(figures.faults.into_keys());
        }
    }
    for name in [
        "Targets Silent",
        "Targets CutUp",
        "Peers Refused",
        "All Stall",
        "Domain Lossy",
    ] {
        assert!(scopes.contains(name), "{scopes:?}");
    }
}
