//! Connections to targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cactuslane_types::TargetId;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Longest time for which the kernel waits for sent bytes to be acknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an idle connection is kept if the target does not say for how long it does.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time before a target closes an idle connection at which it is not used any more.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Kept connections to targets.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// The idle connections by target.
    idle: Mutex<BTreeMap<TargetId, Vec<PooledConnection>>>,
}

/// A connection that one request uses.
#[derive(Debug)]
pub struct PooledConnection {
    /// The target.
    target: TargetId,
    /// Sends the request.
    sender: SendRequest<Full<Bytes>>,
    /// The time until which the connection may be used again.
    expires: Instant,
}

/// The reason why there is no head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// Nothing was sent.
    Unsent(String),
    /// The request was sent, at least in part.
    Broken(String),
}

impl ConnectionPool {
    /// Returns an idle connection to a target, or makes one.
    ///
    /// # Errors
    ///
    /// Returns an error where no connection can be made.
    pub async fn checkout(
        &self,
        target: &str,
        address: SocketAddr,
    ) -> Result<PooledConnection, SendError> {
        if let Some(connection) = self.take_idle(target) {
            return Ok(connection);
        }
        let unsent = |error: String| SendError::Unsent(error);
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| unsent(format!("no connection within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| unsent(error.to_string()))?;
        set_socket_options(&stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection to a target ended");
            }
        });
        Ok(PooledConnection {
            target: target.to_owned(),
            sender,
            expires: Instant::now(),
        })
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn check_in(&self, mut connection: PooledConnection, keep_alive: Option<Duration>) {
        let keep_alive = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |keep_alive| {
            keep_alive.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        connection.expires = Instant::now() + keep_alive;
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(connection.target.clone())
            .or_default()
            .push(connection);
    }

    /// Closes the idle connections to a target.
    pub fn close_idle(&self, target: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(target);
    }

    /// Closes the idle connections that are too old to be used again.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections
                .retain(|connection| connection.expires > now && !connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Takes the idle connection that was used last.
    fn take_idle(&self, target: &str) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            if connection.expires > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

impl PooledConnection {
    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] only where not a byte was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let unsent = error.take_message().is_some();
                let text = error.into_error().to_string();
                if unsent {
                    SendError::Unsent(text)
                } else {
                    SendError::Broken(text)
                }
            })
    }
}

/// Sets the options of a connection; one that is refused is only logged.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let results = [
        ("nodelay", stream.set_nodelay(true)),
        (
            "user timeout",
            socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)),
        ),
    ];
    for (option, result) in results {
        if let Err(error) = result {
            log::debug!(option, error:% = error; "socket option refused");
        }
    }
}
