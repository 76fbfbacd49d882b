//! At-most-once execution of calls that may not be repeated.
//!
//! A [`IdempotencyTable`] remembers, for one incarnation of one instance, how far each keyed call came.
//! Only the incarnation that a key is bound to, by its text or by a claim in the key-value
//! service, may execute it; the register then admits each key once.

pub mod claim;

use std::collections::{BTreeMap, VecDeque};

use cactuslane_types::{CallerId, Millis};

pub use claim::{Claim, ClaimKeys};

/// Time for which keys and their answers are remembered, in milliseconds.
pub const IDEMPOTENCY_WINDOW: Millis = 3_600_000;
/// Number of keys that are remembered at most.
const MAX_KEYS: usize = 100_000;
/// Number of bytes of answers that are remembered at most.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Identifies a call: the caller and its idempotency key.
pub type CallKey = (CallerId, String);
/// The hash of a call's method, path and body.
pub type CallHash = [u8; 32];

/// Remembers the keyed calls of one incarnation.
#[derive(Clone, Debug)]
pub struct IdempotencyTable {
    /// Holds the calls.
    calls: BTreeMap<CallKey, CallState>,
    /// Holds the keys in the order in which they came.
    expiry_queue: VecDeque<(Millis, CallKey)>,
    /// The number of bytes of all remembered answers.
    answer_bytes: usize,
    /// Holds the keys with an answer, in the order in which they were answered.
    answered_keys: VecDeque<CallKey>,
    /// The number of keys that are remembered at most.
    max_keys: usize,
    /// The number of bytes of answers that are remembered at most.
    max_bytes: usize,
}

/// The whole answer of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The status.
    pub status: u16,
    /// Holds the headers that are given back.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Says what to do with a call that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// This call is the first: make sure of the binding, then execute it.
    First,
    /// The same call is in progress: wait for its end, then ask again.
    Wait,
    /// The call was executed: give its answer back.
    Answered(StoredAnswer),
    /// The call may have been executed, and its answer is not known.
    Unknown,
    /// The key was used for another call.
    Mismatch,
    /// No more keys can be remembered now.
    Full,
}

/// One remembered call.
#[derive(Clone, Debug)]
struct CallState {
    /// The hash that repetitions must have.
    hash: CallHash,
    /// How far the call came.
    stage: Stage,
}

/// How far a call came.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing was sent, and nobody is about to.
    NotSent,
    /// Somebody makes sure of the binding; nothing was sent.
    Starting,
    /// A byte may have reached a target.
    Sent,
    /// The answer is known.
    Answered(StoredAnswer),
    /// The answer is not known, or no longer.
    Unknown,
}

impl Default for IdempotencyTable {
    fn default() -> Self {
        Self::with_limits(MAX_KEYS, MAX_ANSWER_BYTES)
    }
}

impl IdempotencyTable {
    /// Creates a register with limits on keys and on bytes of answers.
    #[must_use]
    pub fn with_limits(max_keys: usize, max_bytes: usize) -> Self {
        Self {
            calls: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
            answer_bytes: 0,
            answered_keys: VecDeque::new(),
            max_keys,
            max_bytes,
        }
    }

    /// Begins a call; after [`BeginOutcome::First`] one of the other methods must follow.
    pub fn begin(&mut self, key: &CallKey, hash: &CallHash, now: Millis) -> BeginOutcome {
        self.expire_keys(now);
        let Some(call) = self.calls.get_mut(key) else {
            if self.calls.len() >= self.max_keys {
                return BeginOutcome::Full;
            }
            self.calls.insert(
                key.clone(),
                CallState {
                    hash: *hash,
                    stage: Stage::Starting,
                },
            );
            self.expiry_queue.push_back((now, key.clone()));
            return BeginOutcome::First;
        };
        if call.hash != *hash {
            return BeginOutcome::Mismatch;
        }
        match &call.stage {
            Stage::NotSent => {
                call.stage = Stage::Starting;
                BeginOutcome::First
            }
            Stage::Starting | Stage::Sent => BeginOutcome::Wait,
            Stage::Answered(answer) => BeginOutcome::Answered(answer.clone()),
            Stage::Unknown => BeginOutcome::Unknown,
        }
    }

    /// Records that the first byte is about to be sent; false if another call has got ahead.
    #[must_use]
    pub fn mark_sent(&mut self, key: &CallKey) -> bool {
        match self.calls.get_mut(key) {
            Some(call) if call.stage == Stage::Starting => {
                call.stage = Stage::Sent;
                true
            }
            _ => false,
        }
    }

    /// Records that nothing was sent: a later call with the key may be executed.
    pub fn mark_not_sent(&mut self, key: &CallKey) {
        if let Some(call) = self.calls.get_mut(key)
            && matches!(call.stage, Stage::Starting | Stage::Sent)
        {
            call.stage = Stage::NotSent;
        }
    }

    /// Records the whole answer of a call that was sent.
    pub fn mark_answered(&mut self, key: &CallKey, answer: StoredAnswer) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if call.stage != Stage::Sent {
            return;
        }
        self.answer_bytes += answer.body.len();
        call.stage = Stage::Answered(answer);
        self.answered_keys.push_back(key.clone());
        self.evict_answers();
    }

    /// Records that a call was sent and that its answer will not be known.
    pub fn mark_unknown(&mut self, key: &CallKey) {
        if let Some(call) = self.calls.get_mut(key)
            && call.stage == Stage::Sent
        {
            call.stage = Stage::Unknown;
        }
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of calls that were begun and have not ended.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        let in_progress = |call: &&CallState| matches!(call.stage, Stage::Starting | Stage::Sent);
        self.calls.values().filter(in_progress).count()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of bytes of all remembered answers.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Forgets keys older than the window that are not in progress.
    fn expire_keys(&mut self, now: Millis) {
        while let Some((at, key)) = self.expiry_queue.front() {
            if now.saturating_sub(*at) < IDEMPOTENCY_WINDOW {
                return;
            }
            let in_progress = self
                .calls
                .get(key)
                .is_some_and(|call| matches!(call.stage, Stage::Starting | Stage::Sent));
            let (_, key) = self.expiry_queue.pop_front().expect("the front is there");
            if in_progress {
                self.expiry_queue.push_back((now, key));
                continue;
            }
            self.discard_answer(&key);
            self.calls.remove(&key);
        }
    }

    /// Drops the oldest answers beyond the limit; their calls stay known as executed.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.max_bytes {
            let Some(key) = self.answered_keys.pop_front() else {
                return;
            };
            self.discard_answer(&key);
        }
    }

    /// Turns an answered call into one whose answer is no longer known.
    fn discard_answer(&mut self, key: &CallKey) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if let Stage::Answered(answer) = &call.stage {
            self.answer_bytes -= answer.body.len();
            call.stage = Stage::Unknown;
        }
    }
}
