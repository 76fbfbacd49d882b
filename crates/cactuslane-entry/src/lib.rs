//! One entry instance: the drivers around the decisions.
//!
//! [`Entry::spawn`] starts an instance from its settings. Each module drives one matter: `server`
//! and `api` answer callers, `upstream` calls targets, `sync` keeps documents current, `gossip`
//! and `transfer` talk to other instances, `fleet` follows the targets, and `authority` owns,
//! orders and plans.

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
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

pub use reply::{ENDINGS, Ending};

use shared::Shared;

/// A running entry instance; dropping it stops it at once, as a crash does.
#[derive(Debug)]
pub struct Entry {
    /// The state that all tasks share.
    shared: Arc<Shared>,
    /// Holds the background tasks.
    tasks: JoinSet<()>,
    /// The server for callers.
    server: server::Server,
}

/// Says why an instance did not start.
#[derive(Debug)]
pub enum EntryError {
    /// An address could not be bound.
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
    /// Starts an instance; ports of 0 take free ones.
    ///
    /// # Errors
    ///
    /// Returns an error where an address cannot be bound.
    pub async fn spawn(settings: Settings) -> Result<Self, EntryError> {
        let (socket, transfers) = bind_peers(settings.gossip).await?;
        let gossip = socket
            .local_addr()
            .map_err(|e| EntryError::Bind(settings.gossip, e))?;
        let listen = settings.listen;
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| EntryError::Bind(listen, e))?;
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

    /// Returns the address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.serving
    }

    /// Returns the address for other instances.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.shared.gossip
    }

    /// Returns whether the instance takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.refusal().is_none()
    }

    /// Returns the revision of the configuration in force.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        self.shared.documents.config().revision
    }

    /// Returns the number of bytes sent to other instances.
    #[must_use]
    pub fn peer_bytes(&self) -> u64 {
        self.shared.metrics.peer_bytes.get()
    }

    /// Waits for keyed calls whose callers have hung up; each ends within its own time.
    async fn finish_keyed_calls(&self) {
        while self.shared.once().in_progress() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the instance list tells this instance to leave.
    pub async fn wait_for_leave(&self) {
        /// Time between two looks.
        const POLL_INTERVAL: Duration = Duration::from_millis(200);
        while !self.shared.is_leaving() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops gracefully: leaves the address answers, serves for as long as callers may hold its
    /// address, then ends when the requests in progress have ended.
    pub async fn stop(mut self) {
        self.shared.leave();
        log::info!("instance {} is leaving", self.shared.settings.instance);
        tokio::time::sleep(self.shared.settings.address_validity).await;
        self.server.shut_down().await;
        self.finish_keyed_calls().await;
        authority::step_down(&self.shared).await;
        // The last packets tell the others of it.
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.tasks.shutdown().await;
        log::info!("instance {} has stopped", self.shared.settings.instance);
    }
}

/// Binds UDP and TCP for other instances on one port.
async fn bind_peers(address: SocketAddr) -> Result<(UdpSocket, TcpListener), EntryError> {
    /// Number of tries to find a port that is free for both.
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
