//! The datagrams of a link between two instances.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::WeakLinks;
use crate::plan::PathFault;

/// Largest datagram, in bytes.
const MAX_BYTES: usize = 64 << 10;

/// Forwarder of datagrams from one instance to another; dropping it closes its port.
#[derive(Debug)]
pub(super) struct Forwarder {
    /// Socket at which the datagrams of one instance arrive, and from which those of the other one
    /// are sent to it.
    pub(super) socket: Arc<UdpSocket>,
    /// Task that forwards them.
    task: JoinHandle<()>,
}

impl Forwarder {
    /// Starts a forwarder at an address; `ends` are the numbers of the sender and of the receiver,
    /// and the receiver's address.
    ///
    /// The receiver gets them from the link by which it reaches the sender.
    pub(super) fn bind(
        address: SocketAddr,
        ends: (usize, usize, SocketAddr),
        links: WeakLinks,
        fault: &watch::Sender<Option<PathFault>>,
    ) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        let task = tokio::spawn(forward(socket.clone(), ends, links, fault.subscribe()));
        Ok(Self { socket, task })
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards datagrams until the links are closed.
async fn forward(
    socket: Arc<UdpSocket>,
    (near, far, to): (usize, usize, SocketAddr),
    links: WeakLinks,
    fault: watch::Receiver<Option<PathFault>>,
) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        // An error tells that an earlier datagram found no receiver.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let fault = *fault.borrow();
        let is_lost = match fault {
            Some(PathFault::Silent | PathFault::Refused | PathFault::CutUp) => true,
            Some(PathFault::Lossy(share)) => rand::rng().random_range(0..100) < share,
            _ => false,
        };
        if is_lost {
            continue;
        }
        let Some(links) = links.upgrade() else {
            return;
        };
        let Some(back) = links.socket(far, near, from) else {
            continue;
        };
        drop(links);
        let Some(PathFault::Late(time)) = fault else {
            // A datagram that cannot be sent is lost.
            let _ = back.send_to(&buffer[..length], to).await;
            continue;
        };
        let datagram = buffer[..length].to_vec();
        tokio::spawn(async move {
            sleep(time).await;
            let _ = back.send_to(&datagram, to).await;
        });
    }
}
