//! The attempts of one request, and the decision that follows each failed one.

use std::time::Duration;

use cactuslane_types::Millis;

use crate::routing_config::RetryPolicy;

/// Maximum number of rejected attempts after which a request is still sent again; they don't count
/// as attempts that may have run.
const MAX_REJECTIONS: u32 = 3;
/// Maximum number of attempts that failed before anything was sent after which a request is still
/// sent again.
const MAX_UNSENT: u32 = 4;

/// The state of one request between its arrival and its final answer.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Whether the request may be sent again after it may have run.
    repeat: RetryPolicy,
    /// Maximum number of attempts that may run the request, at least 1.
    max_attempts: u32,
    /// Time at which the caller's or the route's time-out ends, on the clock of `now`.
    deadline: Millis,
    /// Number of attempts that ran the request or may have run it.
    runs: u32,
    /// Number of attempts that ended with [`Ending::Rejected`].
    rejections: u32,
    /// Number of attempts that failed before anything was sent.
    unsent: u32,
    /// Whether the caller has received the head of an answer.
    began: bool,
}

/// How an unsuccessful attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nothing was sent to the target.
    Unsent,
    /// The target stated that it did not run the request.
    ///
    /// Also stands for a prompt that a separate engine failed to compute: it may have computed the
    /// prompt, but this is no run of the request.
    Rejected,
    /// The target answered with an error status of its own.
    Failed,
    /// No complete, valid answer arrived, or the target was too slow; the request may have run.
    Broken,
    /// The deadline passed before the answer was complete.
    Late,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request is sent again, to another target or to the same one.
    Again,
    /// The target's error is forwarded to the caller.
    Pass,
    /// The caller gets an error from this system.
    Refuse(Refusal),
    /// The connection to the caller is closed in the middle of the answer.
    Cut,
}

/// A final error that this system itself sends to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target ran the request, and none will.
    NotRun,
    /// A target may have run the request.
    Unknown,
    /// A target may have run the request, and the deadline has passed.
    TimedOut,
}

impl Flight {
    /// Creates the state of a request that has not been sent yet.
    ///
    /// `now` is in milliseconds on the instance's clock; the deadline is `patience` later.
    #[must_use]
    pub fn new(repeat: RetryPolicy, max_attempts: u32, now: Millis, patience: Duration) -> Self {
        Self {
            repeat,
            max_attempts: max_attempts.max(1),
            deadline: now + patience.as_millis() as Millis,
            runs: 0,
            rejections: 0,
            unsent: 0,
            began: false,
        }
    }

    /// Returns the time until the deadline; zero after it.
    #[must_use]
    pub fn left(&self, now: Millis) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(now))
    }

    /// Returns whether an earlier attempt was rejected, ran or may have run.
    #[must_use]
    pub fn repeats(&self) -> bool {
        self.runs + self.rejections > 0
    }

    /// Returns whether the request may be sent again if the current attempt is abandoned.
    #[must_use]
    pub fn may_move(&self) -> bool {
        self.repeat != RetryPolicy::Never && self.runs + 1 < self.max_attempts
    }

    /// Records that the caller gets the head of an answer, after which no error can be sent.
    pub fn begin(&mut self) {
        self.began = true;
    }

    /// Records how an attempt ended and decides what follows.
    ///
    /// `budget` takes a retry from the retry budget and returns whether one was left. It is called
    /// only if all other conditions for a retry hold, and not after [`Ending::Unsent`].
    pub fn after(&mut self, ending: Ending, now: Millis, budget: impl FnOnce() -> bool) -> Step {
        match ending {
            Ending::Unsent => self.unsent += 1,
            Ending::Rejected => self.rejections += 1,
            Ending::Failed | Ending::Broken | Ending::Late => self.runs += 1,
        }
        if ending != Ending::Late && self.may_send(now) && (ending == Ending::Unsent || budget()) {
            return Step::Again;
        }
        if self.began {
            return Step::Cut;
        }
        match ending {
            Ending::Failed => Step::Pass,
            Ending::Late if self.runs > 0 => Step::Refuse(Refusal::TimedOut),
            _ => Step::Refuse(self.refusal()),
        }
    }

    /// Returns the refusal that is true of the attempts so far.
    ///
    /// It is `NotRun` only if none of them ran the request or may have run it.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        if self.runs > 0 {
            Refusal::Unknown
        } else {
            Refusal::NotRun
        }
    }

    /// Returns whether another attempt is allowed at `now`, apart from the retry budget.
    fn may_send(&self, now: Millis) -> bool {
        if now >= self.deadline || self.unsent > MAX_UNSENT || self.rejections > MAX_REJECTIONS {
            return false;
        }
        let again = match self.repeat {
            RetryPolicy::Never => self.runs == 0,
            RetryPolicy::Resume => true,
            RetryPolicy::Restart => !self.began,
        };
        again && self.runs < self.max_attempts
    }
}
