//! The connections of a link.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::plan::PathFault;

/// Maximum number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;
/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 256;
/// Time for which connections are refused after the far end has refused one.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Time after which a block of bytes that was lost is sent again.
const RETRANSMISSION_TIME: Duration = Duration::from_millis(200);
/// Program of a socket filter that discards all packets.
const DISCARD_ALL: [SockFilter; 1] = [SockFilter::new(0x06, 0, 0, 0)];

/// Open connections of a path.
#[derive(Clone, Debug, Default)]
pub(super) struct Open(Arc<Mutex<Vec<Connection>>>);

/// Forwarding task of a connection, with the sender that stalls it permanently.
type Connection = (JoinHandle<()>, watch::Sender<bool>);

/// Acceptor of a link's connections; dropping it closes its port, but not its connections.
#[derive(Debug)]
pub(super) struct Listener {
    /// Address that it listens on.
    pub(super) address: SocketAddr,
    /// Task that accepts connections.
    task: JoinHandle<()>,
}

/// The faults of a connection: that of its path, and whether it is stalled permanently.
#[derive(Clone, Debug)]
struct Faults {
    /// Fault of the path.
    path: watch::Receiver<Option<PathFault>>,
    /// Whether the connection is stalled.
    stalled: watch::Receiver<bool>,
}

impl Open {
    /// Resets a share of the connections, in percent.
    pub(super) fn reset(&self, share: u8) {
        for (number, (task, _)) in self.lock().iter().enumerate() {
            if is_chosen(number, share) {
                task.abort();
            }
        }
    }

    /// Stalls a share of the connections permanently, in percent.
    pub(super) fn stall(&self, share: u8) {
        for (number, (_, stalled)) in self.lock().iter().enumerate() {
            if is_chosen(number, share) {
                stalled.send_replace(true);
            }
        }
    }

    /// Adds a connection.
    fn add(&self, connection: Connection) {
        let mut open = self.lock();
        open.retain(|(task, _)| !task.is_finished());
        open.push(connection);
    }

    /// Locks the list.
    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Listener {
    /// Starts accepting connections at the first address, which are forwarded to the second one.
    pub(super) fn spawn(
        socket: Socket,
        (address, to): (SocketAddr, SocketAddr),
        fault: &watch::Sender<Option<PathFault>>,
        open: &Open,
    ) -> io::Result<Self> {
        socket.listen(BACKLOG)?;
        let listener = listener(&socket)?;
        let (fault, open) = (fault.subscribe(), open.clone());
        let task = tokio::spawn(async move {
            // The port stays bound until the task ends.
            let _ = accept(&socket, listener, to, fault, &open).await;
        });
        Ok(Self { address, task })
    }
}

/// Binds a socket to a free port of a host, which it keeps while it does not listen.
pub(super) fn bind(host: Ipv4Addr) -> io::Result<(Socket, SocketAddr)> {
    let free = std::net::TcpListener::bind((host, 0))?;
    let address = free.local_addr()?;
    drop(free);
    // The system gives up a port of its own choice when the socket stops listening.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok((socket, address))
}

/// Returns a listener on a socket that listens.
fn listener(socket: &Socket) -> io::Result<TcpListener> {
    TcpListener::from_std(socket.try_clone()?.into())
}

/// Accepts connections as the fault of the path allows, until the path or a system call fails.
async fn accept(
    socket: &Socket,
    first: TcpListener,
    to: SocketAddr,
    mut fault: watch::Receiver<Option<PathFault>>,
    open: &Open,
) -> io::Result<()> {
    let refused = Arc::new(Notify::new());
    let mut listening = Some(first);
    loop {
        let current = *fault.borrow_and_update();
        match current {
            Some(PathFault::Refused) => {
                stop_listening(socket, &mut listening)?;
                fault.changed().await.map_err(io::Error::other)?;
                continue;
            }
            Some(PathFault::Silent | PathFault::CutUp | PathFault::CutDown) => {
                socket.attach_filter(&DISCARD_ALL)?;
                let changed = fault.changed().await;
                socket.detach_filter()?;
                changed.map_err(io::Error::other)?;
                continue;
            }
            _ => {}
        }
        if listening.is_none() {
            socket.listen(BACKLOG)?;
            listening = Some(listener(socket)?);
        }
        let Some(listener) = &listening else {
            continue;
        };
        tokio::select! {
            accepted = listener.accept() => if let Ok((client, _)) = accepted {
                let (stall, stalled) = watch::channel(false);
                let faults = Faults { path: fault.clone(), stalled };
                let task = tokio::spawn(forward(client, to, faults, refused.clone()));
                open.add((task, stall));
            },
            () = refused.notified() => {
                stop_listening(socket, &mut listening)?;
                // A fault that begins or ends in the meantime is seen in the next round.
                let _ = timeout(REFUSAL_TIME, fault.changed()).await;
            }
            changed = fault.changed() => changed.map_err(io::Error::other)?,
        }
    }
}

/// Closes the port of a socket, which refuses connections until it listens again.
fn stop_listening(socket: &Socket, listening: &mut Option<TcpListener>) -> io::Result<()> {
    if listening.take().is_some() {
        socket.shutdown(Shutdown::Read)?;
    }
    Ok(())
}

/// Forwards bytes in both directions until both ends have ended the connection; resets it if one of
/// them does, or if the task is aborted.
async fn forward(mut client: TcpStream, to: SocketAddr, faults: Faults, refused: Arc<Notify>) {
    set_linger(&client, Some(Duration::ZERO));
    let Ok(mut server) = TcpStream::connect(to).await else {
        let mut faults = faults;
        // An error tells that the links are closed.
        let _ = delay(&mut faults, false).await;
        return refused.notify_one();
    };
    set_linger(&server, Some(Duration::ZERO));
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.split();
    let up = forward_one_way(&mut from_client, &mut to_server, faults.clone(), true);
    let down = forward_one_way(&mut from_server, &mut to_client, faults, false);
    if tokio::try_join!(up, down).is_ok() {
        // What is still to be read at the ends must not be discarded.
        set_linger(&client, None);
        set_linger(&server, None);
    }
}

/// Sets for how long the system delivers what was sent after a socket is closed; with zero it sends
/// a reset.
fn set_linger(stream: &TcpStream, time: Option<Duration>) {
    // The connection may have ended.
    let _ = SockRef::from(stream).set_linger(time);
}

/// Forwards bytes, and the end of the stream or its reset, in one direction; `is_up` is set from the open end to
/// the far one.
async fn forward_one_way(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut faults: Faults,
    is_up: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        delay(&mut faults, is_up).await?;
        let read = read?;
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..read]).await?;
    }
}

/// Waits for as long as the faults hold back what is sent in a direction.
async fn delay(faults: &mut Faults, is_up: bool) -> io::Result<()> {
    let passes = |fault: &Option<PathFault>| match fault {
        Some(PathFault::Silent) => false,
        Some(PathFault::CutUp) => !is_up,
        Some(PathFault::CutDown) => is_up,
        _ => true,
    };
    let fault = *faults
        .path
        .wait_for(passes)
        .await
        .map_err(io::Error::other)?;
    if *faults.stalled.borrow() {
        std::future::pending::<()>().await;
    }
    match fault {
        Some(PathFault::Late(time)) => sleep(time).await,
        Some(PathFault::Lossy(share)) => {
            while rand::rng().random_range(0..100) < share {
                sleep(RETRANSMISSION_TIME).await;
            }
        }
        _ => {}
    }
    Ok(())
}

/// Returns whether the connection with a number is among an even share of all, in percent.
fn is_chosen(number: usize, share: u8) -> bool {
    let share = usize::from(share);
    (number + 1) * share / 100 > number * share / 100
}
