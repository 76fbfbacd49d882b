//! How far a request has come in a run.

use cactuslane_route::DispatchId;

/// Number of bits of a stream's id that tell attempts apart.
const ATTEMPT_BITS: u32 = 8;

/// The state of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestState {
    /// When it arrived, the last time it did, in microseconds.
    pub arrived: u64,
    /// The entry instance.
    pub entry: usize,
    /// How far it has come.
    pub stage: Stage,
    /// The number of attempts so far.
    pub attempt: u32,
    /// How often the caller came back after a refusal.
    pub retries: u32,
    /// The first engine and its dispatch.
    pub first_dispatch: Option<(usize, DispatchId)>,
    /// The engine that generates after another one, and its dispatch.
    pub decode_dispatch: Option<(usize, DispatchId)>,
    /// Says whether the dispatch has been answered.
    pub answered: bool,
    /// The number of tokens so far.
    pub tokens: u32,
    /// The time to the first token, in milliseconds.
    pub ttft_ms: f64,
    /// When the last token came, in microseconds.
    pub last_token: u64,
    /// The number of gaps between tokens above the bound.
    pub slow_gaps: u32,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It waits at an entry or has not arrived.
    #[default]
    Waiting,
    /// It was sent to an engine.
    Sent,
    /// It has ended.
    Ended,
}

impl RequestState {
    /// Returns the id of the stream of the current attempt.
    #[must_use]
    pub fn stream_id(&self, index: usize) -> u64 {
        (index as u64) << ATTEMPT_BITS | u64::from(self.attempt & 0xff)
    }

    /// Returns the request of a stream.
    #[must_use]
    pub fn request_index(stream: u64) -> usize {
        (stream >> ATTEMPT_BITS) as usize
    }
}
