//! HTTP server shared by all stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_held::{ChunkStream, chunks};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

use crate::faults::{Fault, FaultKind};

/// Body of an answer; an error closes the connection.
pub type Body = BoxBody<Bytes, io::Error>;
/// Answer, or an error that closes the connection without one.
pub type Answer = io::Result<Response<Body>>;

/// Running server; dropping it closes all connections.
#[derive(Debug)]
pub struct Server {
    /// The bound address, with the port that was selected.
    pub address: SocketAddr,
    /// The task that accepts connections.
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Builds a JSON answer.
///
/// # Panics
///
/// Panics if the status is not between 100 and 999.
#[must_use]
pub fn json(status: u16, value: &Value) -> Response<Body> {
    let bytes = Bytes::from(value.to_string());
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(bytes))
        .expect("the parts of the answer are valid")
}

/// Builds a body from bytes.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Builds a body that sends chunks as they come, and closes the connection unless they are finished.
#[must_use]
pub fn streamed(chunks: ChunkStream) -> Body {
    chunks.map_err(io::Error::other).boxed()
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns an error if the connection ends before the body.
pub async fn read(body: Incoming) -> io::Result<Bytes> {
    let collected = body.collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

/// Applies a fault to the answer of an operation that has already taken effect.
///
/// [`FaultKind::Crossed`] changes nothing here; engines and workers build that answer themselves.
///
/// # Errors
///
/// Returns the error that closes the connection if the fault loses the answer.
pub async fn apply_fault(answer: Response<Body>, fault: Option<Fault>) -> Answer {
    let Some(fault) = fault else {
        return Ok(answer);
    };
    match fault.kind {
        FaultKind::Down | FaultKind::Lost | FaultKind::Crash => Err(closed()),
        FaultKind::Slow => {
            tokio::time::sleep(fault.delay()).await;
            Ok(answer)
        }
        FaultKind::Crossed => Ok(answer),
        FaultKind::Cut => cut(answer).await,
    }
}

/// Returns the error with which a handler or a body closes its connection.
#[must_use]
pub fn closed() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "closed by a fault")
}

/// Cuts a body in the middle, but sends the `content-length` of the complete body.
async fn cut(answer: Response<Body>) -> Answer {
    let (mut parts, body) = answer.into_parts();
    let bytes = body.collect().await?.to_bytes();
    let length = bytes.len().to_string();
    parts.headers.insert(
        "content-length",
        length.parse().expect("a number is a valid header"),
    );
    let (sender, body) = chunks::open(1);
    let half = bytes.slice(..bytes.len() / 2);
    let _ = sender.send(half).await;
    sender.abort();
    // The pause is meant to let the first half reach the peer before the connection is closed.
    tokio::time::sleep(Duration::from_millis(1)).await;
    Ok(Response::from_parts(parts, streamed(body)))
}

/// Accepts and serves connections until the task is aborted.
async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(handler);
        connections.spawn(async move {
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}
