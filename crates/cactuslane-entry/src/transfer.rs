//! Requests between instances over TCP: documents, and reports for the planner.
//!
//! Each connection carries one request and one response, each in a frame: a big-endian length of
//! four bytes, then a sealed postcard value. The response repeats the nonce of the request, so that
//! a replayed response is rejected.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_authority::EngineReport;
use cactuslane_types::{InstanceId, Revision, ServiceName, TargetId};
use cactuslane_wire::{ClusterKey, Purpose};
use rand::random;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::documents::DocumentKind;
use crate::shared::Shared;

/// Maximum size of the sealed value of a received frame, in bytes.
const MAX_FRAME: usize = 4 << 20;
/// Timeout of one exchange, on either side, connecting included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of exchanges served at once; further connections are closed at once.
const MAX_EXCHANGES: usize = 64;

/// A request to another instance, with fields against replay and misdelivery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// A random number that the response must repeat.
    pub nonce: u64,
    /// The instance that the request is for; any other rejects it.
    pub to: InstanceId,
    /// What the instance is asked to do.
    pub body: PeerRequest,
}

/// The content of a request from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the document in force.
    Fetch(DocumentKind),
    /// Passes reports of targets to the planner.
    Reports(Vec<TargetReport>),
    /// Passes the workloads of the models at the named instance to the planner.
    Workloads(InstanceId, Vec<ModelWorkload>),
}

/// The report of one target, as its owner passes it to the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target that the report is about.
    pub target: TargetId,
    /// The state that the target last reported to its owner.
    pub report: EngineReport,
    /// Whether an intent for the target is written and not done.
    pub pending: bool,
}

/// The workload of one model at one instance, by the answers completed since its previous report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelWorkload {
    /// The name of the model in the configuration.
    pub model: ServiceName,
    /// Prompt tokens per millisecond.
    pub prefill: f64,
    /// Output tokens per millisecond.
    pub decode: f64,
}

/// A response to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// The nonce of the request that the response belongs to.
    pub nonce: u64,
    /// What the instance responds.
    pub body: PeerResponse,
}

/// The content of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The kind, revision and text of a document; revision 0 if none is in force.
    Document(DocumentKind, Revision, String),
    /// The reports or workloads of the request have been stored.
    Accepted,
}

/// Serves requests of other instances until the task is aborted.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_EXCHANGES));
    let mut exchanges = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while exchanges.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        exchanges.spawn(async move {
            let _permit = permit;
            let _ = timeout(EXCHANGE_TIMEOUT, serve_exchange(&shared, stream)).await;
        });
    }
}

/// Sends a request to another instance and returns the content of the response.
///
/// # Errors
///
/// Returns an error if no authentic response to this request arrives within [`EXCHANGE_TIMEOUT`].
pub async fn request(
    shared: &Shared,
    to: &str,
    address: SocketAddr,
    body: PeerRequest,
) -> io::Result<PeerResponse> {
    let request = Request {
        nonce: random(),
        to: to.to_owned(),
        body,
    };
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let sent = write(&mut stream, &shared.key, Purpose::Request, &request).await?;
        shared.metrics.peer_bytes.inc_by(sent);
        let response: Response = read(&mut stream, &shared.key, Purpose::Answer).await?;
        if response.nonce != request.nonce {
            return Err(io::Error::other(
                "the response repeats the nonce of another request",
            ));
        }
        Ok(response.body)
    };
    match timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "no response within the timeout",
        )),
    }
}

/// Fetches a document from another instance, puts it into force if it is valid and newer, and
/// returns its revision; 0 if the other instance has none.
///
/// # Errors
///
/// Returns an error if no authentic response arrives within [`EXCHANGE_TIMEOUT`], or if it does not
/// contain a document of this kind.
pub async fn fetch(
    shared: &Shared,
    to: &str,
    address: SocketAddr,
    kind: DocumentKind,
) -> io::Result<Revision> {
    match request(shared, to, address, PeerRequest::Fetch(kind)).await? {
        PeerResponse::Document(received, revision, text) if received == kind => {
            if revision > 0 {
                shared.apply_document(kind, revision, &text);
            }
            Ok(revision)
        }
        _ => Err(io::Error::other(
            "the response does not contain the requested document",
        )),
    }
}

/// Serves one exchange on an accepted connection.
///
/// # Errors
///
/// Returns an error if the request is not authentic, not for this instance or longer than
/// [`MAX_FRAME`], or if the connection fails.
async fn serve_exchange(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    let request: Request = read(&mut stream, &shared.key, Purpose::Request).await?;
    if request.to != shared.settings.instance {
        return Err(io::Error::other(
            "the request is addressed to another instance",
        ));
    }
    let body = match request.body {
        PeerRequest::Fetch(DocumentKind::Config) => {
            let config = shared.documents.config();
            PeerResponse::Document(DocumentKind::Config, config.revision, config.text.clone())
        }
        PeerRequest::Fetch(DocumentKind::Plan) => {
            let plan = shared.documents.plan();
            PeerResponse::Document(DocumentKind::Plan, plan.revision, plan.text.clone())
        }
        PeerRequest::Reports(reports) => {
            shared.authority().record_reports(reports, shared.now());
            PeerResponse::Accepted
        }
        PeerRequest::Workloads(from, workloads) => {
            shared
                .authority()
                .record_workloads(from, workloads, shared.now());
            PeerResponse::Accepted
        }
    };
    let response = Response {
        nonce: request.nonce,
        body,
    };
    let sent = write(&mut stream, &shared.key, Purpose::Answer, &response).await?;
    shared.metrics.peer_bytes.inc_by(sent);
    Ok(())
}

/// Seals a value and writes it as one frame; returns the number of bytes written.
///
/// # Errors
///
/// Returns an error if the connection fails.
async fn write<T: Serialize>(
    stream: &mut TcpStream,
    key: &ClusterKey,
    purpose: Purpose,
    value: &T,
) -> io::Result<u64> {
    let sealed = key.seal(purpose, value);
    stream.write_u32(sealed.len() as u32).await?;
    stream.write_all(&sealed).await?;
    stream.flush().await?;
    Ok(sealed.len() as u64 + 4)
}

/// Reads one frame and returns the value in it.
///
/// # Errors
///
/// Returns an error if the connection fails, the frame exceeds [`MAX_FRAME`], or the value is not
/// authentic for this purpose.
async fn read<T: DeserializeOwned>(
    stream: &mut TcpStream,
    key: &ClusterKey,
    purpose: Purpose,
) -> io::Result<T> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FRAME {
        return Err(io::Error::other("the frame exceeds the maximum size"));
    }
    let mut sealed = vec![0; length];
    stream.read_exact(&mut sealed).await?;
    key.open(purpose, &sealed)
        .map_err(|error| io::Error::other(error.to_string()))
}
