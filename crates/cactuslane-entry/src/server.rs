//! The HTTP server for callers, with its limits and its graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::Door;
use cactuslane_held::{HeadLimits, connections};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};

use crate::api;
use crate::reply::ApiError;
use crate::shared::Shared;

/// Limits on the heads of requests; the connection is closed when the time passes.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    bytes: 24 << 10,
    timeout: Duration::from_secs(10),
};
/// Maximum number of requests in progress on all connections.
const MAX_REQUESTS: usize = 20_000;

/// A running server; dropping it ends all its connections at once.
#[derive(Debug)]
pub struct Server {
    /// Signals the accepting task to shut down; `None` once that is done.
    shutdown: Option<oneshot::Sender<()>>,
    /// The task that accepts connections and owns them.
    task: JoinHandle<()>,
}

impl Server {
    /// Spawns a server on a listener.
    pub fn spawn(shared: Arc<Shared>, listener: TcpListener) -> Self {
        let (shutdown, shutdown_requested) = oneshot::channel();
        let task = tokio::spawn(accept(shared, listener, shutdown_requested));
        Self {
            shutdown: Some(shutdown),
            task,
        }
    }

    /// Stops accepting connections and waits until the requests in progress have ended.
    pub async fn shut_down(&mut self) {
        if let Some(shutdown) = self.shutdown.take() {
            let _ = shutdown.send(());
        }
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections until shutdown is requested, then waits for those with a request in
/// progress.
async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut shutdown_requested: oneshot::Receiver<()>,
) {
    let (stop, stopped) = watch::channel(false);
    let requests = Arc::new(Semaphore::new(MAX_REQUESTS));
    // Dropping the set closes all connections at once, as a crash would.
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("a connection was not accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
            _ = &mut shutdown_requested => break,
        };
        while connections.try_join_next().is_some() {}
        if shared.held.count(Door::Front) as u64 >= shared.settings.max_connections {
            continue;
        }
        let Some(guard) = shared.held.open(Door::Front).await else {
            continue;
        };
        let (shared, requests) = (shared.clone(), requests.clone());
        let mut stopped = stopped.clone();
        connections.spawn(async move {
            let respond = |request, connection| {
                let (shared, requests) = (shared.clone(), requests.clone());
                async move {
                    // A request beyond the limit is refused at once instead of queueing for a
                    // permit.
                    let Ok(_permit) = requests.try_acquire() else {
                        return ApiError::Busy.response();
                    };
                    api::handle(shared, request, connection).await
                }
            };
            let stopped = async move {
                let _ = stopped.wait_for(|stopped| *stopped).await;
            };
            connections::serve(guard, stream, || HEAD_LIMITS, stopped, respond).await;
        });
    }
    drop(listener);
    stop.send_replace(true);
    while connections.join_next().await.is_some() {}
}
