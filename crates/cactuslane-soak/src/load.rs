//! An open-loop load generator: requests are sent at predetermined times, whether or not earlier
//! ones have been answered.

pub mod aims;
mod callers;
pub mod forms;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

pub use self::callers::send;
pub(crate) use self::callers::send_request;

/// Time for which callers wait where the kind of request states none.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// Time after its deadline at which a caller abandons a request.
pub const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// One kind of request of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestKind {
    /// Path of the URL that requests are sent to.
    pub path: String,
    /// Relative frequency among the kinds of the load.
    pub weight: u32,
    /// Whether the expected answer is a stream of events.
    pub stream: bool,
    /// Whether a request may run at most once, because it is not safe to repeat.
    pub once: bool,
    /// Time for which callers wait; [`DEADLINE`] if `None`.
    #[serde(default)]
    pub deadline: Option<Duration>,
    /// Time-out of the route, if the load states it.
    #[serde(default)]
    pub timeout: Option<Duration>,
    /// Sizes of the prompt and the answer; those of the stand-in's callers if `None`.
    #[serde(default)]
    pub size: Option<Size>,
    /// Whether requests only read, with the method GET and without a body.
    #[serde(default)]
    pub is_read: bool,
}

/// Mean sizes of the prompts and streams of a kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Tokens of the part of the prompt that requests share.
    pub shared_tokens: u32,
    /// Tokens of the part that only its request has.
    pub own_tokens: u32,
    /// Number of different shared parts.
    pub parts: u32,
    /// Number of events that callers expect.
    pub events: u32,
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
    /// Share of the requests that callers send or read in an unusual, but allowed form.
    #[serde(default)]
    pub unusual: f64,
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
    /// The part of a stream that the caller had before, if the request takes one up.
    pub taken_up: Option<TakenUp>,
}

/// The part of a stream that a caller has when it takes the stream up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUp {
    /// Id of the request that brought the first event.
    pub stream: String,
    /// Id of the last event.
    pub last: u64,
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
    /// The caller abandoned the request [`ANSWER_SLACK`] after its deadline.
    GaveUp,
    /// The caller closed the connection in the middle of the answer.
    Left {
        /// Status of the answer.
        status: u16,
        /// Part of the body that was received.
        body: Vec<u8>,
    },
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
            Self::Whole { status, .. } | Self::Left { status, .. } => Some(*status),
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

/// Returns the kinds of requests of a run, which match the routes of the stand-in configuration.
#[must_use]
pub fn kinds() -> Vec<RequestKind> {
    let kind = |path: &str, weight, stream, once| RequestKind {
        path: path.to_owned(),
        weight,
        stream,
        once,
        ..RequestKind::default()
    };
    vec![
        kind("/summary/1", 4, true, false),
        kind("/report/1", 2, true, true),
        kind("/lookup/1", 3, false, false),
        kind("/correction/1", 3, false, true),
    ]
}
