//! The HTTP server for callers, with its limits and its graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::JoinHandle;
use tower::{ServiceBuilder, ServiceExt};

use crate::api;
use crate::reply::{ApiError, Body};
use crate::shared::Shared;

/// Timeout for the complete headers of a request; the connection is closed when it passes.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a connection's read buffer, which bounds the headers of a request, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
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

/// A guard that counts one connection as open until it is dropped.
#[derive(Debug)]
struct ConnectionGuard {
    /// The number of open connections of the server.
    open: Arc<AtomicUsize>,
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

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until shutdown is requested, then waits for those with a request in
/// progress.
async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut shutdown_requested: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let open = Arc::new(AtomicUsize::new(0));
    let requests = Arc::new(Semaphore::new(MAX_REQUESTS));
    // Dropping the set closes all connections at once, as a crash would.
    let mut connections = tokio::task::JoinSet::new();
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
        if open.load(Ordering::Relaxed) as u64 >= shared.settings.max_connections {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let guard = ConnectionGuard {
            open: Arc::clone(&open),
        };
        let served = serve(Arc::clone(&shared), stream, Arc::clone(&requests));
        let watched = graceful.watch(served);
        connections.spawn(async move {
            let _guard = guard;
            let _ = watched.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Builds the HTTP/1 connection that serves one TCP stream.
fn serve(
    shared: Arc<Shared>,
    stream: TcpStream,
    requests: Arc<Semaphore>,
) -> http1::Connection<
    TokioIo<TcpStream>,
    TowerToHyperService<
        impl tower::Service<
            Request<Incoming>,
            Response = Response<Body>,
            Error = tower::BoxError,
            Future: Send,
        > + Clone,
    >,
> {
    let _ = stream.set_nodelay(true);
    let handler = tower::service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(api::handle(shared, request).await) }
    });
    // A request beyond the limit is refused at once instead of queueing for a permit.
    let limited = ServiceBuilder::new()
        .load_shed()
        .layer(tower::limit::GlobalConcurrencyLimitLayer::with_semaphore(
            requests,
        ))
        .service(handler);
    let service = limited.then(
        |result: Result<Response<Body>, tower::BoxError>| async move {
            Ok::<_, tower::BoxError>(result.unwrap_or_else(|_| ApiError::Busy.response()))
        },
    );
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service))
}
