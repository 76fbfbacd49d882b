//! Entry instance: routes the requests of callers to targets and returns the answers.
//!
//! [`Gateway::spawn`] starts an instance and returns its handle. [`ingress`] accepts requests,
//! [`upstream`] pools connections to targets, [`control`] registers the instance and applies
//! changes of the store, [`watch`] tracks these, and [`peers`] exchanges load with the other
//! instances. The decisions on requests are made in `cactuslane-flight` and `cactuslane-place`,
//! without I/O.

pub mod admission;
pub mod answers;
pub mod arrivals;
pub mod backoff;
pub mod bodies;
pub mod caches;
pub mod calls;
pub mod control;
pub mod crashes;
pub mod customers;
pub mod directory;
pub mod duties;
pub mod ending;
pub mod engines;
pub mod fleet;
pub mod generation;
pub mod ingress;
pub mod keys;
pub mod leadership;
pub mod limits;
pub mod members;
pub mod messages;
pub mod metered;
pub mod metrics;
pub mod orders;
pub mod origins;
pub mod passing;
pub mod peers;
pub mod plain;
pub mod preview;
pub mod processes;
pub mod progress;
pub mod queue;
pub mod ranking;
pub mod reach;
pub mod records;
pub mod relay;
pub mod reply;
pub mod request;
pub mod scaling;
pub mod sending;
pub mod sockets;
pub mod state;
pub mod taken;
pub mod upstream;
pub mod usage;
pub mod versions;
pub mod watch;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::Door;
use cactuslane_held::connections;
use cactuslane_platform::Settings;
use log::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

pub use state::Gateway;

use crate::duties::usage::Sources;

/// Time before the end of the grace period at which a stopping instance no longer waits for
/// requests; also the margin added to the time for which callers may cache its address.
const STOP_MARGIN: Duration = Duration::from_millis(350);
/// Time before the end of the grace period from which a stopping instance deletes its entry although
/// it still serves requests: a call to the store that gets no answer, and another one.
const UNREGISTER_TIME: Duration = Duration::from_secs(3);
/// Number of free ports that are tried for the address between instances.
const BIND_ATTEMPTS: u32 = 20;
/// Interval at which a stopping instance checks whether all requests and connections have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Handle of a running entry instance.
#[derive(Debug)]
pub struct GatewayHandle {
    /// The state that all tasks of the instance share.
    pub gateway: Arc<Gateway>,
    /// The background tasks, which are aborted at the end of [`GatewayHandle::stop`].
    tasks: Vec<JoinHandle<()>>,
}

/// The reason why an instance did not start, with the address that could not be bound.
#[derive(Debug)]
pub struct SpawnError(String);

impl fmt::Display for SpawnError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Gateway {
    /// Binds the addresses of the settings and starts the tasks of an instance.
    ///
    /// A port of 0 in the settings becomes the port that was bound.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn spawn(mut settings: Settings) -> Result<GatewayHandle, SpawnError> {
        let front = bind(&mut settings.front, "front")?;
        let ready = bind(&mut settings.ready, "ready")?;
        let (socket, passed) = bind_peer(&mut settings.peer).await?;
        let directory = match settings.directory {
            Some(ref mut address) => Some(bind(address, "directory")?),
            None => None,
        };
        info!(
            instance = settings.instance,
            front:% = settings.front,
            ready:% = settings.ready,
            directory = settings.directory.map(|address| address.to_string()),
            peer:% = settings.peer;
            "started"
        );
        let scales = settings.duties.as_ref().is_some_and(|duties| duties.scale);
        let gateway = Arc::new(Gateway::new(settings));
        let socket = Arc::new(socket);
        gateway.peer_socket.get_or_init(|| socket.clone());
        let (relay_sender, relays) = watch::relay_channel();
        let mut tasks = vec![
            tokio::spawn(watch::follow(gateway.clone(), socket.clone(), relays)),
            tokio::spawn(control::register(gateway.clone())),
            tokio::spawn(caches::refresh_lists(gateway.clone())),
            tokio::spawn(crashes::store_held(gateway.clone())),
            tokio::spawn(versions::maintain_list(gateway.clone())),
            tokio::spawn(records::store_begun(gateway.clone())),
            tokio::spawn(orders::run_leader(gateway.clone())),
            tokio::spawn(peers::exchange(gateway.clone(), socket, relay_sender)),
            tokio::spawn(reach::run(gateway.clone())),
            tokio::spawn(usage::run(gateway.clone())),
            tokio::spawn(ingress::serve_passed(gateway.clone(), passed)),
            tokio::spawn(ingress::serve(gateway.clone(), front)),
            tokio::spawn(directory::serve(gateway.clone(), ready, Door::Ready)),
        ];
        if scales {
            tasks.push(tokio::spawn(scaling::run(gateway.clone())));
        }
        if let Some(listener) = directory {
            let task = directory::serve(gateway.clone(), listener, Door::Directory);
            tasks.push(tokio::spawn(task));
        }
        let usage_due = gateway
            .duties
            .settings()
            .is_some_and(|duties| duties.usage.is_some());
        if usage_due {
            tasks.push(spawn_reports(&gateway));
        }
        Ok(GatewayHandle { gateway, tasks })
    }
}

/// Starts the task that reports customers' usage while this instance leads.
fn spawn_reports(gateway: &Arc<Gateway>) -> JoinHandle<()> {
    let (counting, clock) = (gateway.clone(), gateway.clone());
    let sources = Sources {
        counts: move |window| {
            let unix_now = counting.unix_now();
            counting.usage().kept_report(window, unix_now)
        },
        unix_now: move || clock.unix_now(),
        started: gateway.started,
        instance: gateway.settings().instance.clone(),
    };
    let (duties, store) = (gateway.duties.clone(), gateway.store.clone());
    tokio::spawn(duties::usage::run(duties, store, sources))
}

impl GatewayHandle {
    /// Serves the metrics at another port as well, until [`GatewayHandle::stop`].
    ///
    /// If the port cannot be bound, this is logged and the instance runs without it.
    pub fn serve_metrics(&mut self, port: u16) {
        let address = SocketAddr::new(self.gateway.settings().ready.ip(), port);
        match connections::listen(address) {
            Ok(listener) => {
                let task = directory::serve(self.gateway.clone(), listener, Door::Ready);
                self.tasks.push(tokio::spawn(task));
            }
            Err(error) => warn!(address:%, error:% = error; "metrics are not served there"),
        }
    }

    /// Announces that the instance is leaving, serves requests in progress and those that still
    /// arrive, and stops within the grace period.
    ///
    /// It stops early once callers can no longer have its address cached and no request or
    /// connection is open. The instance's entry is deleted before the last look at them, as a request
    /// may arrive while the store is slow to answer.
    pub async fn stop(self) {
        let settings = self.gateway.settings();
        let began = tokio::time::Instant::now();
        let end = began + settings.grace.saturating_sub(STOP_MARGIN);
        self.gateway.leave();
        info!(grace_ms = settings.grace.as_millis() as u64; "stopping");
        control::announce_leaving(&self.gateway).await;
        let addresses_expire = began + settings.address_ttl + STOP_MARGIN;
        let mut unregistering: Option<JoinHandle<()>> = None;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
            let now = tokio::time::Instant::now();
            let idle = self.gateway.requests() == 0 && self.gateway.connections() == 0;
            let is_last = now + UNREGISTER_TIME >= end;
            if unregistering.is_none() && (is_last || (idle && now >= addresses_expire)) {
                usage::flush(&self.gateway);
                let gateway = self.gateway.clone();
                let unregister = async move { control::unregister(&gateway).await };
                unregistering = Some(tokio::spawn(unregister));
                continue;
            }
            if idle && unregistering.as_ref().is_some_and(JoinHandle::is_finished) {
                break;
            }
        }
        usage::flush(&self.gateway);
        info!(requests = self.gateway.requests(); "stopped");
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Binds the UDP socket for messages between instances and the TCP listener for requests that they
/// pass on, at the same address, and sets `address` to the bound one.
async fn bind_peer(address: &mut SocketAddr) -> Result<(UdpSocket, TcpListener), SpawnError> {
    let mut attempts = if address.port() == 0 {
        BIND_ATTEMPTS
    } else {
        1
    };
    loop {
        attempts -= 1;
        let mut bound = *address;
        let listener = bind(&mut bound, "peer")?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => {
                *address = bound;
                return Ok((socket, listener));
            }
            // Another socket may have the port that was chosen for the listener.
            Err(_) if attempts > 0 => {}
            Err(error) => return Err(SpawnError(format!("peer address {bound}: {error}"))),
        }
    }
}

/// Binds a TCP listener and sets `address` to the bound one, which replaces port 0 by the chosen
/// port.
fn bind(address: &mut SocketAddr, name: &str) -> Result<TcpListener, SpawnError> {
    let failed = |error: io::Error| SpawnError(format!("{name} address {address}: {error}"));
    let listener = connections::listen(*address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    *address = bound;
    Ok(listener)
}
