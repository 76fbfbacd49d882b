//! At-most-once execution of calls that may not be repeated.
//!
//! An [`IdempotencyTable`] records, for one incarnation of one instance, the stage that each call
//! with an idempotency key has reached. Each key is bound to one incarnation: a key issued by an
//! instance by the token in its text, which names the incarnation, a caller's own key by a
//! [`Claim`] in the key-value service. Only that incarnation may execute the call, and its table
//! lets the call be executed at most once while it retains the key, which is at least
//! [`IDEMPOTENCY_WINDOW`] from the first call with it.

pub mod claim;

use std::collections::{BTreeMap, VecDeque};

use cactuslane_types::{CallerId, Millis};

pub use claim::{Claim, ClaimKeys};

/// Retention of a key and its answer, from the first call with the key, and length of a bucket of
/// claims, in milliseconds.
pub const IDEMPOTENCY_WINDOW: Millis = 3_600_000;
/// Maximum number of keys in a default table.
const MAX_KEYS: usize = 100_000;
/// Maximum total length of the stored answers' bodies in a default table, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Identity of a call: the caller and its idempotency key.
pub type CallKey = (CallerId, String);
/// Hash of a call's method, path, idempotency key and body.
pub type CallHash = [u8; 32];

/// The calls with an idempotency key that one incarnation of an instance has begun.
///
/// It is kept in memory only and reads no clock: times are passed in, in milliseconds of this
/// instance's monotonic clock.
#[derive(Clone, Debug)]
pub struct IdempotencyTable {
    /// The hash and the stage of each call whose key has not expired.
    calls: BTreeMap<CallKey, CallState>,
    /// Each key of `calls` with the time at which its retention began, the earliest first.
    expiry_queue: VecDeque<(Millis, CallKey)>,
    /// Total length of the stored answers' bodies, in bytes.
    answer_bytes: usize,
    /// The keys in the order in which their answers were stored, for eviction of the oldest; keys
    /// that have expired since stay in it until an eviction reaches them.
    answered_keys: VecDeque<CallKey>,
    /// Maximum number of keys in `calls`.
    max_keys: usize,
    /// Maximum of `answer_bytes`; the oldest answers are evicted beyond it.
    max_bytes: usize,
}

/// The complete answer of a call, stored for later calls with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers that are returned to the caller.
    pub headers: Vec<(String, String)>,
    /// Complete body, whose length counts towards the table's limit on bytes.
    pub body: Vec<u8>,
}

/// Outcome of [`IdempotencyTable::begin`]: what the caller of the table does with the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// No call with the key is in progress, was executed or may have been executed: verify that the
    /// key is bound to this incarnation, then execute the call.
    First,
    /// The same call is in progress: wait until it ends, then begin again.
    Wait,
    /// The call was executed: return its stored answer.
    Answered(StoredAnswer),
    /// The call may have been executed, and its answer is not known or no longer stored.
    Unknown,
    /// The key was used for a call with another hash.
    Mismatch,
    /// The key is new, and the table already holds its maximum number of keys.
    Full,
}

/// State of the call with one key.
#[derive(Clone, Debug)]
struct CallState {
    /// Hash of the first call with the key, which later calls must match.
    hash: CallHash,
    /// Stage that the call has reached.
    stage: Stage,
}

/// Stage of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// No target can have started the call, and no attempt is in progress: the next call may be
    /// executed.
    NotSent,
    /// The binding of the key is being verified; nothing was sent to a target.
    Starting,
    /// An attempt is in progress, and a byte may have reached a target.
    Sent,
    /// The call was executed, and its answer is stored.
    Answered(StoredAnswer),
    /// The call was sent, and its answer is not known or was evicted.
    Unknown,
}

impl Default for IdempotencyTable {
    fn default() -> Self {
        Self::with_limits(MAX_KEYS, MAX_ANSWER_BYTES)
    }
}

impl IdempotencyTable {
    /// Creates an empty table with a maximum number of keys and of bytes of answer bodies.
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

    /// Begins a call at the time `now`, after the removal of expired keys.
    ///
    /// After [`BeginOutcome::First`] the key is in progress, and other calls with it have to wait.
    /// [`mark_not_sent`](Self::mark_not_sent) ends this; after [`mark_sent`](Self::mark_sent), also
    /// [`mark_answered`](Self::mark_answered) and [`mark_unknown`](Self::mark_unknown) do. A key in
    /// progress does not expire.
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

    /// Records that the first byte of a begun call is about to be sent to a target. Returns false,
    /// and changes nothing, if the call is in another stage, so that two calls never both send.
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

    /// Ends a call in progress as not executed by any target, so that a later call with the key may
    /// be executed.
    pub fn mark_not_sent(&mut self, key: &CallKey) {
        if let Some(call) = self.calls.get_mut(key)
            && matches!(call.stage, Stage::Starting | Stage::Sent)
        {
            call.stage = Stage::NotSent;
        }
    }

    /// Stores the complete answer of a call that was sent; evicts the oldest answers beyond the
    /// limit. Ignored if the call is not in the sent stage, for instance because its answer was
    /// recorded as unknown before.
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

    /// Ends a call that was sent as one whose answer is not known: the key is not executed again
    /// until it expires.
    pub fn mark_unknown(&mut self, key: &CallKey) {
        if let Some(call) = self.calls.get_mut(key)
            && call.stage == Stage::Sent
        {
            call.stage = Stage::Unknown;
        }
    }

    /// Returns the number of keys in the table, in any stage.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of calls in progress, that is begun or sent and not ended.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        let in_progress = |call: &&CallState| matches!(call.stage, Stage::Starting | Stage::Sent);
        self.calls.values().filter(in_progress).count()
    }

    /// Returns whether the table holds no key, in any stage.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the total length of the stored answers' bodies, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Removes the keys whose retention has ended; the retention of a key in progress starts again.
    fn expire_keys(&mut self, now: Millis) {
        while let Some((at, key)) = self.expiry_queue.front() {
            if now.saturating_sub(*at) < IDEMPOTENCY_WINDOW {
                return;
            }
            let in_progress = self
                .calls
                .get(key)
                .is_some_and(|call| matches!(call.stage, Stage::Starting | Stage::Sent));
            let (_, key) = self
                .expiry_queue
                .pop_front()
                .expect("the expiry queue is not empty");
            if in_progress {
                self.expiry_queue.push_back((now, key));
                continue;
            }
            self.discard_answer(&key);
            self.calls.remove(&key);
        }
    }

    /// Discards the oldest answers beyond the limit; their keys stay, so that their calls are not
    /// executed again.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.max_bytes {
            let Some(key) = self.answered_keys.pop_front() else {
                return;
            };
            self.discard_answer(&key);
        }
    }

    /// Discards the stored answer of a key, if there is one, and sets its stage to unknown.
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
