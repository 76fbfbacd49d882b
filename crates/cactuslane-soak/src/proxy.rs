//! A TCP proxy on the loopback interface that injects network faults into its connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::plan::LinkFault;

/// Maximum number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

/// A running proxy; dropping it closes its port and resets its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    /// Current fault and open connections, shared with the accepting task.
    state: Arc<State>,
    /// Task that accepts connections.
    task: JoinHandle<()>,
}

/// The current fault and the open connections.
#[derive(Debug)]
struct State {
    /// Fault that applies to all connections, or `None`.
    fault: watch::Sender<Option<LinkFault>>,
    /// Forwarding tasks of the open connections, with senders that stall each of them permanently.
    open: Mutex<Vec<(JoinHandle<()>, watch::Sender<bool>)>>,
}

impl Proxy {
    /// Starts a proxy that forwards to `server`, on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn bind(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            fault: watch::channel(None).0,
            open: Mutex::default(),
        });
        let task = tokio::spawn(accept(listener, server, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Injects a fault until [`Self::heal`] is called; resets and stalls apply once, to the
    /// connections that are open.
    pub fn inject_fault(&self, fault: LinkFault) {
        match fault {
            LinkFault::Reset => self.reset(),
            LinkFault::Stall => self.stall(),
            _ => {
                self.state.fault.send_replace(Some(fault));
            }
        }
    }

    /// Ends the fault, and resets the open connections if it discarded bytes, because their streams
    /// may have gaps.
    pub fn heal(&self) {
        let fault = self.state.fault.send_replace(None);
        if matches!(
            fault,
            Some(LinkFault::Silent | LinkFault::CutUp | LinkFault::CutDown)
        ) {
            self.reset();
        }
    }

    /// Resets all open connections.
    fn reset(&self) {
        for (task, _) in self.take_open() {
            task.abort();
        }
    }

    /// Stalls all open connections permanently.
    fn stall(&self) {
        let open = self.state.open.lock();
        for (_, stalled) in open.unwrap_or_else(PoisonError::into_inner).iter() {
            stalled.send_replace(true);
        }
    }

    /// Removes the open connections from the state and returns them.
    fn take_open(&self) -> Vec<(JoinHandle<()>, watch::Sender<bool>)> {
        let open = self.state.open.lock();
        std::mem::take(&mut *open.unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.reset();
    }
}

/// Accepts connections until the task is aborted or accepting fails.
async fn accept(listener: TcpListener, server: SocketAddr, state: Arc<State>) {
    while let Ok((client, _)) = listener.accept().await {
        let (stall, stalled) = watch::channel(false);
        let fault = state.fault.subscribe();
        let task = tokio::spawn(forward(client, server, fault, stalled));
        let mut open = state.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|(task, _)| !task.is_finished());
        open.push((task, stall));
    }
}

/// Forwards bytes in both directions until both have ended or the task is aborted.
async fn forward(
    client: TcpStream,
    server: SocketAddr,
    fault: watch::Receiver<Option<LinkFault>>,
    stalled: watch::Receiver<bool>,
) {
    // With a linger time of zero, dropping the sockets of an aborted task sends a reset, as a
    // failure of the network path does.
    let set_options = |stream: &TcpStream| {
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
    };
    set_options(&client);
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    set_options(&server);
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let up = forward_one_way(
        &mut from_client,
        &mut to_server,
        &fault,
        &stalled,
        LinkFault::CutUp,
    );
    let down = forward_one_way(
        &mut from_server,
        &mut to_client,
        &fault,
        &stalled,
        LinkFault::CutDown,
    );
    tokio::join!(up, down);
}

/// Forwards bytes in one direction, subject to the current fault; `cut` is the fault that discards
/// the bytes of this direction only.
async fn forward_one_way(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    fault: &watch::Receiver<Option<LinkFault>>,
    stalled: &watch::Receiver<bool>,
    cut: LinkFault,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        let fault = *fault.borrow();
        if *stalled.borrow() || fault == Some(LinkFault::Silent) || fault == Some(cut) {
            continue;
        }
        if let Some(LinkFault::Late(time)) = fault {
            sleep(time).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    // Forwards the end of the stream; the receiver may already have closed the connection.
    let _ = to.shutdown().await;
}
