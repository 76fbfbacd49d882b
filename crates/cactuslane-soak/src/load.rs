//! Callers that send at set times, whatever becomes of earlier requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuslane_platform_standin::caller::{self, is_signed_answer};
use cactuslane_store::http::{Client, HttpError};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

/// Time after which a caller gives up: a little more than it tells the system.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of callers; each keeps connections of its own.
const CALLER_COUNT: usize = 8;

/// One kind of request of a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// The path.
    pub path: String,
    /// Its share of the requests.
    pub weight: u32,
    /// Whether its answer is a stream of events.
    pub stream: bool,
    /// Whether it may run once at most.
    pub once: bool,
}

/// What a load consists of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadSpec {
    /// Its length.
    pub length: Duration,
    /// The requests a second.
    pub rate: f64,
    /// Times of many requests: start, length and factor on the rate.
    pub bursts: Vec<(Duration, Duration, f64)>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The seed of the arrivals.
    pub seed: u64,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request's id.
    pub id: String,
    /// Its kind, by place in the load.
    pub kind: usize,
    /// The address that it was sent to; none if no address was known.
    pub front: Option<SocketAddr>,
    /// When it was due.
    pub due: Instant,
    /// When its answer ended, or the caller gave up.
    pub ended: Instant,
    /// When the first byte of the answer came.
    pub first_byte: Option<Instant>,
    /// What came.
    pub outcome: Outcome,
}

/// What came as the answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The connection ended before the answer did.
    Cut {
        /// The status, if a head came.
        status: Option<u16>,
        /// The body as far as it came.
        body: Vec<u8>,
    },
    /// The caller gave up.
    GaveUp,
    /// A whole answer.
    Whole {
        /// The status.
        status: u16,
        /// Whether it is signed by a target and belongs to the request.
        signed: bool,
        /// The body.
        body: Vec<u8>,
    },
}

/// Where callers send their requests: they ask again when it is old.
pub type SharedAddresses = Arc<Mutex<Vec<SocketAddr>>>;

impl Outcome {
    /// Returns whether the caller was served.
    #[must_use]
    pub fn is_served(&self) -> bool {
        matches!(
            self,
            Self::Whole {
                status: 200..=299,
                ..
            }
        )
    }

    /// Returns the status, if a head came.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Unsent | Self::GaveUp => None,
            Self::Cut { status, .. } => *status,
            Self::Whole { status, .. } => Some(*status),
        }
    }
}

impl LoadSpec {
    /// Returns the times at which requests are due, with their kinds.
    ///
    /// Arrivals are those of many independent callers, so gaps between them are exponential.
    #[must_use]
    pub fn arrivals(&self) -> Vec<(Duration, usize)> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        let total: u32 = self.kinds.iter().map(|kind| kind.weight).sum();
        loop {
            let burst = |(start, length, _): &&(Duration, Duration, f64)| {
                at >= *start && at < *start + *length
            };
            let factor = self.bursts.iter().find(burst).map_or(1.0, |burst| burst.2);
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / (self.rate * factor));
            if at >= self.length || total == 0 {
                return arrivals;
            }
            let mut remaining = rng.random_range(0..total);
            let mut kind = 0;
            while remaining >= self.kinds[kind].weight {
                remaining -= self.kinds[kind].weight;
                kind += 1;
            }
            arrivals.push((at, kind));
        }
    }
}

/// Sends a load and returns what its callers saw.
pub async fn send(spec: &LoadSpec, addresses: &SharedAddresses) -> Vec<RequestRecord> {
    let clients: Vec<Client> = (0..CALLER_COUNT).map(|_| Client::open()).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(spec.seed ^ 1);
    let began = Instant::now();
    let mut tasks = JoinSet::new();
    let mut records = Vec::new();
    for (number, (at, kind)) in spec.arrivals().into_iter().enumerate() {
        sleep_until(began + at).await;
        while let Some(ended) = tasks.try_join_next() {
            records.extend(ended);
        }
        let known = addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let front = (!known.is_empty()).then(|| known[rng.random_range(0..known.len())]);
        drop(known);
        let client = clients[number % CALLER_COUNT].clone();
        let path = spec.kinds[kind].path.clone();
        let id = format!("s{}-{number}", spec.seed);
        let due = began + at;
        tasks.spawn(async move { send_request(&client, front, &path, id, kind, due).await });
    }
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended);
    }
    records
}

/// Sends one request and reads its answer.
async fn send_request(
    client: &Client,
    front: Option<SocketAddr>,
    path: &str,
    id: String,
    kind: usize,
    due: Instant,
) -> RequestRecord {
    let mut first_byte = None;
    let outcome = match front {
        None => Outcome::Unsent,
        Some(front) => {
            let exchange = exchange(client, front, path, &id, &mut first_byte);
            timeout(ANSWER_TIMEOUT, exchange)
                .await
                .unwrap_or(Outcome::GaveUp)
        }
    };
    RequestRecord {
        id,
        kind,
        front,
        due,
        ended: Instant::now(),
        first_byte,
        outcome,
    }
}

/// Exchanges a request for its answer, as far as it comes.
async fn exchange(
    client: &Client,
    front: SocketAddr,
    path: &str,
    id: &str,
    first_byte: &mut Option<Instant>,
) -> Outcome {
    let request = caller::request(front, path, id);
    match client.send(request).await {
        Ok(response) => read_answer(response, id, first_byte).await,
        Err(HttpError::Connect(_)) => Outcome::Unsent,
        Err(HttpError::Broken(_)) => Outcome::Cut {
            status: None,
            body: Vec::new(),
        },
    }
}

/// Reads an answer to its end, or to where it breaks off.
async fn read_answer(
    response: Response<Incoming>,
    id: &str,
    first_byte: &mut Option<Instant>,
) -> Outcome {
    let (head, mut body) = response.into_parts();
    let status = head.status.as_u16();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        first_byte.get_or_insert_with(Instant::now);
        let Ok(frame) = frame else {
            return Outcome::Cut {
                status: Some(status),
                body: bytes,
            };
        };
        bytes.extend(frame.into_data().unwrap_or_default());
    }
    first_byte.get_or_insert_with(Instant::now);
    Outcome::Whole {
        status,
        signed: is_signed_answer(&head.headers, id),
        body: bytes,
    }
}
