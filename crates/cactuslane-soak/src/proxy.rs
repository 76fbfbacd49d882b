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

use crate::plan::Link;

/// Bytes that are passed on at once.
const BUFFER: usize = 16 << 10;

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
    harm: watch::Sender<Option<Link>>,
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
            harm: watch::channel(None).0,
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
    pub fn harm(&self, link: Link) {
        match link {
            Link::Reset => self.reset(),
            Link::Stall => self.stall(),
            _ => {
                self.state.harm.send_replace(Some(link));
            }
        }
    }

    /// Ends the harm; open connections that lost bytes are reset.
    pub fn heal(&self) {
        let harm = self.state.harm.send_replace(None);
        if matches!(harm, Some(Link::Silent | Link::CutUp | Link::CutDown)) {
            self.reset();
        }
    }

    /// Resets all open connections.
    fn reset(&self) {
        for (task, _) in self.take() {
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
    fn take(&self) -> Vec<(JoinHandle<()>, watch::Sender<bool>)> {
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
        let harm = state.harm.subscribe();
        let task = tokio::spawn(pass(client, server, harm, stalled));
        let mut open = state.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|(task, _)| !task.is_finished());
        open.push((task, stall));
    }
}

/// Passes bytes both ways until both sides have ended or the task is aborted.
async fn pass(
    client: TcpStream,
    server: SocketAddr,
    harm: watch::Receiver<Option<Link>>,
    stalled: watch::Receiver<bool>,
) {
    // An aborted task resets both connections, as a broken path does.
    let reset = |stream: &TcpStream| {
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
    };
    reset(&client);
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    reset(&server);
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let up = pump(
        &mut from_client,
        &mut to_server,
        &harm,
        &stalled,
        Link::CutUp,
    );
    let down = pump(
        &mut from_server,
        &mut to_client,
        &harm,
        &stalled,
        Link::CutDown,
    );
    tokio::join!(up, down);
}

/// Passes bytes one way, unless that way is cut.
async fn pump(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    harm: &watch::Receiver<Option<Link>>,
    stalled: &watch::Receiver<bool>,
    cut: Link,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        let harm = *harm.borrow();
        if *stalled.borrow() || harm == Some(Link::Silent) || harm == Some(cut) {
            continue;
        }
        if let Some(Link::Late(time)) = harm {
            sleep(time).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    // The other side learns of the end, if it is still there.
    let _ = to.shutdown().await;
}
