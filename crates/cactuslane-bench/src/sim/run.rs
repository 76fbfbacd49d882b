//! How far a request has come in a run.

use cactuslane_route::DispatchId;

/// Number of bits of a stream's id that tell attempts apart.
const ATTEMPT_BITS: u32 = 8;

/// Is the state of one request.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Is when it arrived, the last time it did, in microseconds.
    pub arrived: u64,
    /// Is the entry instance.
    pub entry: usize,
    /// Is how far it has come.
    pub stage: Stage,
    /// Is the number of attempts so far.
    pub attempt: u32,
    /// Is how often the caller came back after a refusal.
    pub come_backs: u32,
    /// Is the first engine and its dispatch.
    pub first: Option<(usize, DispatchId)>,
    /// Is the engine that generates after another one, and its dispatch.
    pub second: Option<(usize, DispatchId)>,
    /// Says whether the dispatch has been answered.
    pub answered: bool,
    /// Is the number of tokens so far.
    pub tokens: u32,
    /// Is the time to the first token, in milliseconds.
    pub first_ms: f64,
    /// Is when the last token came, in microseconds.
    pub last: u64,
    /// Is the number of gaps between tokens above the bound.
    pub slow_gaps: u32,
}

/// Is how far a request has come.
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

impl Run {
    /// Returns the id of the stream of the current attempt.
    #[must_use]
    pub fn stream(&self, index: usize) -> u64 {
        (index as u64) << ATTEMPT_BITS | u64::from(self.attempt & 0xff)
    }

    /// Returns the request of a stream.
    #[must_use]
    pub fn index(stream: u64) -> usize {
        (stream >> ATTEMPT_BITS) as usize
    }
}
