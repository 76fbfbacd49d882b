//! Requests between instances over TCP: documents, and reports for the planner.
//!
//! A frame is a length of four bytes and a sealed postcard value. The answer repeats the request's
//! nonce, so that an old answer has no effect.

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

/// Largest frame, in bytes.
const MAX_FRAME: usize = 4 << 20;
/// Longest time of one exchange.
const EXCHANGE_TIME: Duration = Duration::from_secs(3);
/// Number of exchanges that are served at once.
const MAX_EXCHANGES: usize = 64;

/// A request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Ties the answer to the request.
    pub nonce: u64,
    /// The instance that the request is for.
    pub to: InstanceId,
    /// What is asked.
    pub ask: PeerAsk,
}

/// What one instance asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAsk {
    /// Send the document that is in force.
    Fetch(DocumentKind),
    /// Take in what targets report, for the planner.
    Reports(Vec<TargetReport>),
    /// Take in the work of models at one instance, for the planner.
    Mixes(InstanceId, Vec<ModelMix>),
}

/// What an owner passes on of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetId,
    /// Its report.
    pub report: EngineReport,
    /// Says whether an intent for it is written and not done.
    pub pending: bool,
}

/// The work of one model at one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelMix {
    /// The model.
    pub model: ServiceName,
    /// The prompt tokens a millisecond.
    pub prefill: f64,
    /// The output tokens a millisecond.
    pub decode: f64,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The nonce of the request.
    pub nonce: u64,
    /// What is told.
    pub tell: PeerTell,
}

/// What one instance tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerTell {
    /// A document with its revision; 0 where none is in force.
    Document(DocumentKind, Revision, String),
    /// The request was taken in.
    Taken,
}

/// Serves other instances until the task is aborted.
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
            let _ = timeout(EXCHANGE_TIME, answer(&shared, stream)).await;
        });
    }
}

/// Asks another instance.
///
/// # Errors
///
/// Returns an error where no authentic answer comes in time.
pub async fn ask(
    shared: &Shared,
    to: &str,
    address: SocketAddr,
    ask: PeerAsk,
) -> io::Result<PeerTell> {
    let request = Request {
        nonce: random(),
        to: to.to_owned(),
        ask,
    };
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let sent = write(&mut stream, &shared.key, Purpose::Request, &request).await?;
        shared.metrics.peer_bytes.inc_by(sent);
        let answer: Answer = read(&mut stream, &shared.key, Purpose::Answer).await?;
        if answer.nonce != request.nonce {
            return Err(io::Error::other("an answer to another request"));
        }
        Ok(answer.tell)
    };
    match timeout(EXCHANGE_TIME, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "no answer in time")),
    }
}

/// Fetches a document from another instance and offers it.
///
/// # Errors
///
/// Returns an error where no authentic answer comes in time.
pub async fn fetch(
    shared: &Shared,
    to: &str,
    address: SocketAddr,
    kind: DocumentKind,
) -> io::Result<Revision> {
    match ask(shared, to, address, PeerAsk::Fetch(kind)).await? {
        PeerTell::Document(told, revision, text) if told == kind => {
            if revision > 0 {
                shared.offer(kind, revision, &text);
            }
            Ok(revision)
        }
        _ => Err(io::Error::other("an answer of another kind")),
    }
}

/// Serves one exchange.
async fn answer(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    let request: Request = read(&mut stream, &shared.key, Purpose::Request).await?;
    if request.to != shared.settings.instance {
        return Err(io::Error::other("a request for another instance"));
    }
    let tell = match request.ask {
        PeerAsk::Fetch(DocumentKind::Config) => {
            let config = shared.documents.config();
            PeerTell::Document(DocumentKind::Config, config.revision, config.text.clone())
        }
        PeerAsk::Fetch(DocumentKind::Plan) => {
            let plan = shared.documents.plan();
            PeerTell::Document(DocumentKind::Plan, plan.revision, plan.text.clone())
        }
        PeerAsk::Reports(reports) => {
            shared.authority().take_reports(reports, shared.now());
            PeerTell::Taken
        }
        PeerAsk::Mixes(from, mixes) => {
            shared.authority().take_mixes(from, mixes, shared.now());
            PeerTell::Taken
        }
    };
    let answer = Answer {
        nonce: request.nonce,
        tell,
    };
    let sent = write(&mut stream, &shared.key, Purpose::Answer, &answer).await?;
    shared.metrics.peer_bytes.inc_by(sent);
    Ok(())
}

/// Writes one frame and returns its length.
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

/// Reads one frame.
async fn read<T: DeserializeOwned>(
    stream: &mut TcpStream,
    key: &ClusterKey,
    purpose: Purpose,
) -> io::Result<T> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FRAME {
        return Err(io::Error::other("the frame is too large"));
    }
    let mut sealed = vec![0; length];
    stream.read_exact(&mut sealed).await?;
    key.open(purpose, &sealed)
        .map_err(|error| io::Error::other(error.to_string()))
}
