//! An open-loop load generator: requests are sent at predetermined times, whether or not earlier
//! ones have been answered.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuslane_platform_standin::caller::{self, is_signed_answer};
use cactuslane_store::http::{Client, HttpError};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::AUTHORIZATION;
use hyper::{Request, Response};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

/// Time after which a caller abandons a request: one second more than the deadline of 5 s that it
/// sends in `x-deadline-ms`.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of simulated callers; each has its own connection pool.
const CALLER_COUNT: usize = 8;

/// One kind of request of a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestKind {
    /// Path of the URL that requests are sent to.
    pub path: String,
    /// Relative frequency among the kinds of the load.
    pub weight: u32,
    /// Whether the expected answer is a stream of events.
    pub stream: bool,
    /// Whether a request may run at most once, because it is not safe to repeat.
    pub once: bool,
}

/// Parameters of a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadSpec {
    /// Time from the start of the load within which requests are due.
    pub length: Duration,
    /// Mean number of requests per second outside bursts.
    pub rate: f64,
    /// Periods with a different rate: start, length, and the factor that the rate is multiplied by.
    pub bursts: Vec<(Duration, Duration, f64)>,
    /// Kinds of requests, chosen at random by weight.
    pub kinds: Vec<RequestKind>,
    /// Seed of arrival times, kinds and addresses.
    pub seed: u64,
    /// Keys of customers, which requests state in turn; none if there are none.
    #[serde(default)]
    pub keys: Vec<String>,
}

/// The record of one request and its answer, as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request id, which is unique within a load.
    pub id: String,
    /// Index into [`LoadSpec::kinds`].
    pub kind: usize,
    /// Index into [`LoadSpec::keys`], if there are any.
    pub key: Option<usize>,
    /// Address of the instance that it was sent to, or `None` if no address was known.
    pub front: Option<SocketAddr>,
    /// Time at which the request was due according to the plan of arrivals.
    pub due: Instant,
    /// Time at which the answer ended or failed, or the caller abandoned the request.
    pub ended: Instant,
    /// Time at which the first part of the answer's body was received, or the end of an empty body.
    pub first_byte: Option<Instant>,
    /// Result of the request.
    pub outcome: Outcome,
}

/// The result of a request.
///
/// Violations in reports contain its `Debug` form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No address was known or no connection could be made, so nothing was sent.
    Unsent,
    /// The connection failed before the complete answer was received.
    Cut {
        /// Status, if the head of the answer was received.
        status: Option<u16>,
        /// Part of the body that was received.
        body: Vec<u8>,
    },
    /// The caller abandoned the request after `ANSWER_TIMEOUT`.
    GaveUp,
    /// A complete answer was received.
    Whole {
        /// HTTP status.
        status: u16,
        /// Whether the answer has a target's signature, which is not verified, and the id of the
        /// request.
        signed: bool,
        /// Complete body.
        body: Vec<u8>,
    },
}

/// Addresses of instances that callers send requests to, chosen at random for each request; the
/// list may be replaced while a load runs.
pub type SharedAddresses = Arc<Mutex<Vec<SocketAddr>>>;

impl Outcome {
    /// Returns whether the answer is complete and has a status from 200 to 299.
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

    /// Returns the status, if the head of an answer was received.
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
    /// Returns the times since the start at which requests are due, with the indexes of their
    /// kinds.
    ///
    /// Arrivals form a Poisson process, as those of many independent callers do, so the gaps
    /// between them are exponentially distributed. There are none if all weights are 0.
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

/// Sends a load and returns the records of its requests in the order in which they ended.
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
        let key = number.checked_rem(spec.keys.len());
        let authorization = key.map(|key| format!("Bearer {}", spec.keys[key]));
        tasks.spawn(async move {
            let mut request = front.map(|front| caller::request(front, &path, &id));
            if let Some(request) = &mut request
                && let Some(value) = authorization.and_then(|text| text.parse().ok())
            {
                request.headers_mut().insert(AUTHORIZATION, value);
            }
            let (outcome, first_byte) = send_request(&client, request, &id).await;
            RequestRecord {
                id,
                kind,
                key,
                front,
                due,
                ended: Instant::now(),
                first_byte,
                outcome,
            }
        });
    }
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended);
    }
    records
}

/// Sends one request, if there is one, and waits for the end of its answer, at most
/// [`ANSWER_TIMEOUT`]; returns the time at which the first part of the body was received as well.
async fn send_request(
    client: &Client,
    request: Option<Request<Full<Bytes>>>,
    id: &str,
) -> (Outcome, Option<Instant>) {
    let mut first_byte = None;
    let Some(request) = request else {
        return (Outcome::Unsent, first_byte);
    };
    let exchange = exchange(client, request, id, &mut first_byte);
    let outcome = timeout(ANSWER_TIMEOUT, exchange).await;
    (outcome.unwrap_or(Outcome::GaveUp), first_byte)
}

/// Sends one request and reads its answer; sets `first_byte` as soon as a part of the body is
/// received.
async fn exchange(
    client: &Client,
    request: Request<Full<Bytes>>,
    id: &str,
    first_byte: &mut Option<Instant>,
) -> Outcome {
    match client.send(request).await {
        Ok(response) => read_answer(response, id, first_byte).await,
        Err(HttpError::Connect(_)) => Outcome::Unsent,
        Err(HttpError::Broken(_)) => Outcome::Cut {
            status: None,
            body: Vec::new(),
        },
    }
}

/// Reads the body of an answer up to its end or to the failure of the connection.
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
