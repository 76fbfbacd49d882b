//! A proxy on loopback that harms the connections that pass through it.

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

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 << 10;

/// A running proxy; dropping it cuts its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Its address.
    pub address: SocketAddr,
    /// How connections are treated.
    state: Arc<State>,
    /// The task that accepts connections.
    task: JoinHandle<()>,
}

/// How connections are treated.
#[derive(Debug)]
struct State {
    /// The harm to all of them, if any.
    fault: watch::Sender<Option<LinkFault>>,
    /// The tasks of the open ones, with a way to make each silent for good.
    open: Mutex<Vec<(JoinHandle<()>, watch::Sender<bool>)>>,
}

impl Proxy {
    /// Binds a proxy before a server.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be bound.
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

    /// Harms connections until [`Self::heal`] is called; resets and stalls happen once.
    pub fn inject_fault(&self, link: LinkFault) {
        match link {
            LinkFault::Reset => self.reset(),
            LinkFault::Stall => self.stall(),
            _ => {
                self.state.fault.send_replace(Some(link));
            }
        }
    }

    /// Ends the harm; open connections that lost bytes are reset.
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

    /// Makes all open connections silent for good.
    fn stall(&self) {
        let open = self.state.open.lock();
        for (_, stalled) in open.unwrap_or_else(PoisonError::into_inner).iter() {
            stalled.send_replace(true);
        }
    }

    /// Takes the open connections.
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

/// Accepts connections until the task is aborted.
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

/// Passes bytes both ways until both sides have ended or the task is aborted.
async fn forward(
    client: TcpStream,
    server: SocketAddr,
    fault: watch::Receiver<Option<LinkFault>>,
    stalled: watch::Receiver<bool>,
) {
    // An aborted task resets both connections, as a broken path does.
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

/// Passes bytes one way, unless that way is cut.
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
    // The other side learns of the end, if it is still there.
    let _ = to.shutdown().await;
}
