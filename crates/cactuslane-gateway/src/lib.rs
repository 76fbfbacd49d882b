//! An entry instance that serves routes of opaque requests.
//!
//! [`Gateway::spawn`] returns a running handle. [`ingress`] takes requests in, [`upstream`] keeps
//! connections to targets, [`control`] follows the store, and [`peers`] exchanges load with the
//! other instances. What is decided lies in `cactuslane-flight` and `cactuslane-place`.

pub mod caches;
pub mod control;
pub mod directory;
pub mod engines;
pub mod fleet;
pub mod generation;
pub mod ingress;
pub mod leadership;
pub mod members;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod plain;
pub mod ranking;
pub mod relay;
pub mod reply;
pub mod state;
pub mod upstream;
pub mod watch;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_platform::Settings;
use log::info;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

pub use state::Gateway;

/// Part of the grace at the end of which everything must have stopped.
const STOP_MARGIN: Duration = Duration::from_millis(350);
/// Interval at which a stopping instance looks for the end of its work.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A running entry instance.
#[derive(Debug)]
pub struct GatewayHandle {
    /// The state that all tasks share.
    pub gateway: Arc<Gateway>,
    /// The tasks that end with the instance.
    tasks: Vec<JoinHandle<()>>,
}

/// The reason why an instance did not start.
#[derive(Debug)]
pub struct SpawnError(String);

impl fmt::Display for SpawnError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Gateway {
    /// Binds the addresses of the settings and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns an error where an address can't be bound.
    pub async fn spawn(mut settings: Settings) -> Result<GatewayHandle, SpawnError> {
        let front = bind(&mut settings.front, "front").await?;
        let ready = bind(&mut settings.ready, "ready").await?;
        let failed =
            |error: io::Error| SpawnError(format!("peer address {}: {error}", settings.peer));
        let socket = UdpSocket::bind(settings.peer).await.map_err(failed)?;
        settings.peer = socket.local_addr().map_err(failed)?;
        let directory = match settings.directory {
            Some(ref mut address) => Some(bind(address, "directory").await?),
            None => None,
        };
        info!(
            instance = settings.instance,
            front:% = settings.front,
            ready:% = settings.ready;
            "started"
        );
        let gateway = Arc::new(Gateway::new(settings));
        let socket = Arc::new(socket);
        let (relay_sender, relays) = watch::relay_channel();
        let mut tasks = vec![
            tokio::spawn(watch::follow(gateway.clone(), socket.clone(), relays)),
            tokio::spawn(control::register(gateway.clone())),
            tokio::spawn(caches::refresh_lists(gateway.clone())),
            tokio::spawn(orders::run_leader(gateway.clone())),
            tokio::spawn(peers::exchange(gateway.clone(), socket, relay_sender)),
            tokio::spawn(ingress::serve(gateway.clone(), front)),
            tokio::spawn(directory::serve(gateway.clone(), ready)),
        ];
        if let Some(listener) = directory {
            tasks.push(tokio::spawn(directory::serve(gateway.clone(), listener)));
        }
        Ok(GatewayHandle { gateway, tasks })
    }
}

impl GatewayHandle {
    /// Leaves, serves what is under way and what still arrives, and stops within the grace.
    pub async fn stop(self) {
        let settings = self.gateway.settings();
        let began = tokio::time::Instant::now();
        let end = began + settings.grace.saturating_sub(STOP_MARGIN);
        self.gateway.leave();
        info!(grace_ms = settings.grace.as_millis() as u64; "stopping");
        control::announce_leaving(&self.gateway).await;
        let addresses_expire = began + settings.address_ttl + STOP_MARGIN;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
            let expired = tokio::time::Instant::now() >= addresses_expire;
            if expired && self.gateway.requests() == 0 && self.gateway.connections() == 0 {
                break;
            }
        }
        control::unregister(&self.gateway).await;
        info!(requests = self.gateway.requests(); "stopped");
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Binds one address; port 0 becomes the port that was taken.
async fn bind(address: &mut SocketAddr, name: &str) -> Result<TcpListener, SpawnError> {
    let failed = |error: io::Error| SpawnError(format!("{name} address {address}: {error}"));
    let listener = TcpListener::bind(*address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    *address = bound;
    Ok(listener)
}
