//! One entry instance: the tasks, network I/O and clocks around the crates that make its decisions.
//!
//! [`Entry::spawn`] starts an instance from its settings. `server` and `api` answer callers, and
//! `upstream` calls targets. `sync` keeps the configuration and the plan up to date. `gossip` and
//! `transfer` exchange data with the other instances. `fleet` follows the instance list and the
//! load of targets. `authority` owns targets, sends them orders and plans changes. `claims` writes
//! the claims of callers' idempotency keys.

mod api;
mod authority;
mod claims;
mod clock;
mod documents;
mod fleet;
mod gossip;
mod metrics;
mod reply;
mod routing;
mod server;
mod shared;
mod sync;
mod traces;
mod transfer;
mod upstream;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_config::Settings;
use cactuslane_held::connections;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

pub use reply::{API_ERRORS, ApiError};

use shared::Shared;

/// A running entry instance; dropping it stops it at once, as a crash would.
#[derive(Debug)]
pub struct Entry {
    /// The state that the instance's tasks share.
    shared: Arc<Shared>,
    /// The background tasks, which are aborted when the set is dropped.
    tasks: JoinSet<()>,
    /// The HTTP server for callers.
    server: server::Server,
}

/// The reason for which an instance did not start.
#[derive(Debug)]
pub enum EntryError {
    /// The address for callers or for other instances could not be bound.
    Bind(SocketAddr, io::Error),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address, error) => write!(
                f,
                "cannot bind {address}: {error} (hint: check `listen` and `gossip` in the settings)"
            ),
        }
    }
}

impl Entry {
    /// Starts an instance. A port of 0 in the settings is replaced by a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn spawn(settings: Settings) -> Result<Self, EntryError> {
        let (socket, transfers) = bind_peers(settings.gossip).await?;
        let gossip = socket
            .local_addr()
            .map_err(|e| EntryError::Bind(settings.gossip, e))?;
        let listen = settings.listen;
        let listener = connections::listen(listen).map_err(|e| EntryError::Bind(listen, e))?;
        let serving = listener
            .local_addr()
            .map_err(|e| EntryError::Bind(listen, e))?;
        let shared = Arc::new(Shared::new(settings, serving, gossip));
        let mut tasks = JoinSet::new();
        tasks.spawn(gossip::run(Arc::clone(&shared), socket));
        tasks.spawn(transfer::serve(Arc::clone(&shared), transfers));
        tasks.spawn(sync::run(Arc::clone(&shared)));
        tasks.spawn(fleet::run(Arc::clone(&shared)));
        tasks.spawn(authority::run(Arc::clone(&shared)));
        tasks.spawn(claims::run(Arc::clone(&shared)));
        let server = server::Server::spawn(Arc::clone(&shared), listener);
        log::info!("instance {} started on {serving}", shared.settings.instance);
        Ok(Self {
            shared,
            tasks,
            server,
        })
    }

    /// Returns the address for callers, with the port that was bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.serving
    }

    /// Returns the address for other instances, with the port that was bound for UDP and TCP.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.shared.gossip
    }

    /// Returns whether the instance takes new work; a leaving one may still do so.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.refusal().is_none()
    }

    /// Returns the revision of the configuration in force; 0 before the first.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        self.shared.documents.config().revision
    }

    /// Returns the number of bytes sent to other instances since the start, over UDP and TCP.
    #[must_use]
    pub fn peer_bytes(&self) -> u64 {
        self.shared.metrics.peer_bytes.get()
    }

    /// Waits for the calls with an idempotency key that go on after their callers have
    /// disconnected; each ends within its own timeout.
    async fn finish_keyed_calls(&self) {
        while self.shared.idempotency().in_progress() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the instance list shows this instance as leaving.
    pub async fn wait_for_leave(&self) {
        /// Interval at which the instance's leaving state is checked.
        const POLL_INTERVAL: Duration = Duration::from_millis(200);
        while !self.shared.is_leaving() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops the instance gracefully.
    ///
    /// It announces that it is leaving, so that answers with instance addresses no longer name it,
    /// and goes on serving for as long as callers may use an earlier answer. Then it waits for the
    /// requests in progress and for a while for the release of what it owns.
    pub async fn stop(mut self) {
        self.shared.leave();
        log::info!("instance {} is leaving", self.shared.settings.instance);
        tokio::time::sleep(self.shared.settings.address_validity).await;
        self.server.shut_down().await;
        self.finish_keyed_calls().await;
        authority::wait_for_release(&self.shared).await;
        // Gives the gossip task time to send its last packets.
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.tasks.shutdown().await;
        log::info!("instance {} has stopped", self.shared.settings.instance);
    }
}

/// Binds the UDP socket and the TCP listener for other instances to the same port.
async fn bind_peers(address: SocketAddr) -> Result<(UdpSocket, TcpListener), EntryError> {
    /// Maximum number of attempts to find a port that is free for both, if the port in the settings
    /// is 0.
    const MAX_ATTEMPTS: usize = 20;
    let mut last = io::Error::other("no port is free for both UDP and TCP");
    for _ in 0..MAX_ATTEMPTS {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|e| EntryError::Bind(address, e))?;
        let bound = socket
            .local_addr()
            .map_err(|e| EntryError::Bind(address, e))?;
        match TcpListener::bind(bound).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(error) => last = error,
        }
        if address.port() != 0 {
            break;
        }
    }
    Err(EntryError::Bind(address, last))
}
