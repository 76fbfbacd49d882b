//! Connections to targets, which are kept open between requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuslane_flight::{AttemptFailure, ServingProcess};
use cactuslane_place::Reach;
use cactuslane_types::{Millis, TargetId};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::arrivals::{Arrivals, Line};
use crate::limits::permits::Permit;
use crate::metered::{Allowance, Heard, MeteredStream, is_disturbed};
use crate::sockets::set_socket_options;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Time for which an idle connection is kept if the target states no keep-alive time-out.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time before the end of a target's keep-alive time-out from which an idle connection is no longer
/// used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 32;
/// Number of requests after whose rejection a connection is closed.
const MAX_REJECTED: usize = 64;
/// Maximum number of bytes that are read until the head of an answer is complete, informational
/// answers included.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Idle connections to targets, for later requests, and the state of the links to targets.
#[derive(Debug)]
pub struct ConnectionPool {
    /// Time at which the instance's clock shows 0.
    origin: Instant,
    /// Time at which a byte of any target last arrived.
    heard: Heard,
    /// Tasks that await bytes of a target's process.
    pub arrivals: Arrivals,
    /// Whether the instance is cut off from all targets.
    reach: Mutex<Reach>,
    /// Addresses that are connected to in place of those of targets, where a proxy is between.
    proxies: Mutex<BTreeMap<SocketAddr, SocketAddr>>,
    /// Idle connections by target, the most recently used one last.
    idle: Mutex<BTreeMap<TargetId, Vec<PooledConnection>>>,
}

/// A connection to a target, idle in the pool or in use by one request.
#[derive(Debug)]
pub struct PooledConnection {
    /// Id of the target that the connection leads to.
    target: TargetId,
    /// The process at its other end, once that has stated which one it is.
    line: Arc<Line>,
    /// Hyper's handle for sending requests.
    sender: SendRequest<Full<Bytes>>,
    /// The connection, which hyper reads and writes.
    stream: Arc<TcpStream>,
    /// Ids of the requests that the target rejected on it. It may send a rejection once more, which
    /// would be taken for the answer to another request with the same id.
    rejected: BTreeSet<String>,
    /// Number of bytes that may still be read from it.
    allowance: Allowance,
    /// Time until which the idle connection may be used again; meaningless until it is first put
    /// into the pool.
    expires: Instant,
}

/// Reason why no head of an answer arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    Unsent(String),
    /// The request may have been sent, at least in part.
    Broken(String),
}

impl ConnectionPool {
    /// Creates a pool without connections; `origin` is the origin of the instance's clock.
    #[must_use]
    pub fn open(origin: Instant) -> Self {
        Self {
            origin,
            heard: Heard::new(origin),
            arrivals: Arrivals::default(),
            reach: Mutex::default(),
            proxies: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Locks the state of the links to targets.
    pub fn reach(&self) -> MutexGuard<'_, Reach> {
        let mut reach = self.reach.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(at) = self.heard.last() {
            reach.record_heard(at);
        }
        reach
    }

    /// Connects to a proxy in place of an address from now on.
    pub fn use_proxy(&self, address: SocketAddr, proxy: SocketAddr) {
        let mut proxies = self.proxies.lock().unwrap_or_else(PoisonError::into_inner);
        proxies.insert(address, proxy);
    }

    /// Returns the address to connect to in place of a target's.
    fn proxy_of(&self, address: SocketAddr) -> SocketAddr {
        let proxies = self.proxies.lock().unwrap_or_else(PoisonError::into_inner);
        proxies.get(&address).copied().unwrap_or(address)
    }

    /// Returns the time on the instance's clock, in milliseconds.
    fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// Establishes a TCP connection to a target's address within 450 ms.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is none.
    pub async fn dial(&self, address: SocketAddr) -> Result<TcpStream, String> {
        let address = self.proxy_of(address);
        timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| format!("no connection within {CONNECT_TIMEOUT:?}"))?
            .map_err(|error| error.to_string())
    }

    /// Returns an idle connection to a target on which no request with an id was rejected, or
    /// establishes a new one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] if no connection can be established.
    pub async fn checkout(
        &self,
        target: &str,
        address: SocketAddr,
        id: &str,
    ) -> Result<PooledConnection, SendError> {
        match self.take_idle(target, id) {
            Some(connection) => Ok(connection),
            None => self.connect(target, address).await,
        }
    }

    /// Establishes a new connection to a target.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] if that fails.
    pub async fn connect(
        &self,
        target: &str,
        address: SocketAddr,
    ) -> Result<PooledConnection, SendError> {
        let connection = self.try_connect(target, address).await;
        let now = self.now();
        self.reach().record_connection(connection.is_ok(), now);
        connection
    }

    /// Establishes a trial connection to a target, whose result counts with its round alone.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] if that fails.
    pub async fn try_connect(
        &self,
        target: &str,
        address: SocketAddr,
    ) -> Result<PooledConnection, SendError> {
        let unsent = |error: String| SendError::Unsent(error);
        let stream = self.dial(address).await.map_err(unsent)?;
        set_socket_options(&stream);
        let allowance = Allowance::default();
        let stream = Arc::new(stream);
        let line = Arc::new(Line::new(target));
        let metered = MeteredStream::new(
            stream.clone(),
            allowance.clone(),
            self.heard.clone(),
            line.clone(),
            self.arrivals.clone(),
        );
        let (sender, connection) = http1::handshake(TokioIo::new(metered))
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
            stream,
            line,
            rejected: BTreeSet::new(),
            allowance,
            expires: Instant::now(),
        })
    }

    /// Puts a connection into the pool after its answer was read to the end, unless it is closed;
    /// closes the one that was used least recently if the pool has 32 of the target.
    ///
    /// `keep_alive` is the time after which the target closes an idle connection, if it stated one.
    pub fn check_in(&self, mut connection: PooledConnection, keep_alive: Option<Duration>) {
        let keep_alive = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |keep_alive| {
            keep_alive.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        connection.expires = Instant::now() + keep_alive;
        if connection.sender.is_closed() || connection.rejected.len() >= MAX_REJECTED {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.target.clone()).or_default();
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes the idle connections to a target.
    pub fn close_idle(&self, target: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(target);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    /// Closes the idle connections that have expired or that the target has closed.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections
                .retain(|connection| connection.expires > now && !connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Removes and returns the usable idle connection that was used last.
    ///
    /// Connections on which a request with the id was rejected stay idle.
    #[must_use]
    pub fn take_idle(&self, target: &str, id: &str) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(target)?;
        let usable = |connection: &PooledConnection| {
            connection.expires > now
                && connection.sender.is_ready()
                && !is_disturbed(&connection.stream)
        };
        loop {
            let fits = |connection: &PooledConnection| !connection.rejected.contains(id);
            let connection = connections.remove(connections.iter().rposition(fits)?);
            if usable(&connection) {
                return Some(connection);
            }
        }
    }
}

impl PooledConnection {
    /// Returns the process at its other end, if that has stated on it which one it is.
    #[must_use]
    pub fn process(&self) -> Option<ServingProcess> {
        self.line.process()
    }

    /// Records which process the other end stated to be, unless it stated that before.
    pub fn record_process(&self, process: ServingProcess) {
        self.line.record_process(process);
    }

    /// Waits until the next request can be sent; returns whether it can, as the other end may have
    /// closed the connection after the last answer.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Records that the target rejected the request with an id.
    pub fn record_rejected(&mut self, id: &str) {
        self.rejected.insert(id.to_owned());
    }

    /// Allows a number of bytes of the body to be read; the connection fails if there are more.
    pub fn allow(&self, bytes: usize) {
        self.allowance.set(bytes);
    }

    /// Sends a request and returns the answer once its head has arrived, which may have 256 KiB.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] only if no byte was sent, otherwise [`SendError::Broken`].
    /// Nothing is sent if the permit is for another target.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        permit: Permit,
    ) -> Result<Response<Incoming>, SendError> {
        if !permit.applies_to(&self.target) {
            let text = format!("the permit is not for {}", self.target);
            return Err(SendError::Unsent(text));
        }
        self.allowance.set(MAX_HEAD_BYTES);
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

/// Returns the kind of failure of a request that got no head of an answer, and its cause.
#[must_use]
pub fn attempt_failure(error: SendError) -> (AttemptFailure, String) {
    match error {
        SendError::Unsent(why) => (AttemptFailure::Unsent, why),
        SendError::Broken(why) => (AttemptFailure::Broken, why),
    }
}
