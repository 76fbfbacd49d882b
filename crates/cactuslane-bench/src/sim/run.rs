//! State of a request in the simulation.

use cactuslane_route::DispatchId;

/// Number of low bits of a stream id that hold the attempt modulo 256, so that attempts of a
/// request have different streams. The higher bits hold the request.
const ATTEMPT_BITS: u32 = 8;

/// State of a request. Engines and entry instances are given by index.
#[derive(Clone, Debug, Default)]
pub struct RequestState {
    /// Time of the last arrival, retries included, in microseconds.
    pub arrived: u64,
    /// Entry instance that handles the request.
    pub entry: usize,
    /// Progress of the request.
    pub stage: Stage,
    /// Number of the current attempt: increases with each dispatch and each failure of an engine.
    pub attempt: u32,
    /// Number of retries after refusals.
    pub retries: u32,
    /// Only engine of the request, or the one that computes the prompt of a split request, with its
    /// dispatch; `None` once that dispatch has ended.
    pub first_dispatch: Option<(usize, DispatchId)>,
    /// Engine that generates the answer of a split request, with its dispatch.
    pub decode_dispatch: Option<(usize, DispatchId)>,
    /// Whether the router has been informed of a first token; stays set in later attempts.
    pub answered: bool,
    /// Number of output tokens so far, over all attempts.
    pub tokens: u32,
    /// Time from the last arrival before the first token to that token, in milliseconds.
    pub ttft_ms: f64,
    /// Time of the last token, in microseconds.
    pub last_token: u64,
    /// Number of gaps between tokens that exceeded the bound.
    pub slow_gaps: u32,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// The request waits at an entry instance, for a retry, or has not arrived yet.
    #[default]
    Waiting,
    /// The request was dispatched to an engine.
    Sent,
    /// The request was answered completely or rejected.
    Ended,
}

impl RequestState {
    /// Returns the id of the stream of the current attempt of the request `index`.
    #[must_use]
    pub fn stream_id(&self, index: usize) -> u64 {
        (index as u64) << ATTEMPT_BITS | u64::from(self.attempt & 0xff)
    }

    /// Returns the index of the request to which a stream id belongs.
    #[must_use]
    pub fn request_index(stream: u64) -> usize {
        (stream >> ATTEMPT_BITS) as usize
    }
}
