//! The server for callers: connections, limits and the graceful end.

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
use crate::reply::{Body, Ending};
use crate::shared::Shared;

/// Longest time in which a request's head must arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Largest number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Number of requests in progress at most.
const MAX_REQUESTS: usize = 20_000;

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// Tells the accepting task to finish.
    shutdown: Option<oneshot::Sender<()>>,
    /// The accepting task.
    task: JoinHandle<()>,
}

/// Counts connections.
#[derive(Debug)]
struct ConnectionGuard {
    /// The number of open connections.
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

    /// Takes no more connections and waits for the requests in progress.
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

/// Accepts connections until told to finish, then waits for those that are busy.
async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut shutdown_requested: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let open = Arc::new(AtomicUsize::new(0));
    let requests = Arc::new(Semaphore::new(MAX_REQUESTS));
    // Dropping the set ends all connections, as a crash would.
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

/// Builds the connection that serves one stream.
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
    // A request beyond the limit is refused at once instead of waiting.
    let limited = ServiceBuilder::new()
        .load_shed()
        .layer(tower::limit::GlobalConcurrencyLimitLayer::with_semaphore(
            requests,
        ))
        .service(handler);
    let service = limited.then(
        |result: Result<Response<Body>, tower::BoxError>| async move {
            Ok::<_, tower::BoxError>(result.unwrap_or_else(|_| Ending::Busy.response()))
        },
    );
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service))
}
