//! The attempts of one request, and the decision that follows each failed one.

use std::time::Duration;

use cactuslane_types::Millis;

use crate::routing_config::RetryPolicy;

/// Maximum number of rejected attempts after which a request is still sent again; they don't count
/// towards `max_attempts`.
const MAX_REJECTIONS: u32 = 3;
/// Maximum number of attempts without anything sent after which a request is still sent again;
/// they don't count towards `max_attempts`.
const MAX_UNSENT: u32 = 4;
/// Longest pause after the first attempt without anything sent; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after any number of such attempts.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// The state of one request between its arrival and its final answer.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// Whether the request may be sent again after it may have run.
    retry_policy: RetryPolicy,
    /// Maximum number of attempts that may run the request, at least 1.
    max_attempts: u32,
    /// Time at which the shorter of the caller's and the route's time-outs ends, in milliseconds on
    /// the instance's clock.
    deadline: Millis,
    /// Number of attempts that ran the request or may have run it.
    possible_runs: u32,
    /// Number of attempts that ended with [`AttemptFailure::Rejected`].
    rejections: u32,
    /// Number of attempts that failed before anything was sent.
    unsent: u32,
    /// Time until which any number of these attempts is allowed, in milliseconds on the instance's
    /// clock.
    waits_until: Millis,
    /// Whether the caller has received the head of an answer.
    answer_begun: bool,
}

/// How an unsuccessful attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing was sent to the target.
    Unsent,
    /// The target stated that it did not run the request.
    ///
    /// Also used for a prompt that a separate engine failed to compute, unless nothing was sent
    /// or the deadline passed: it may have computed the prompt, but this is no run of the request.
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
    Retry,
    /// The target's error is forwarded to the caller.
    ForwardFailure,
    /// The caller gets an error from this system.
    Refuse(Refusal),
    /// The connection to the caller is closed in the middle of the answer.
    Abort,
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

impl RequestState {
    /// Creates the state of a request that has not been sent yet.
    ///
    /// `now` is in milliseconds on the instance's clock; the deadline is `timeout` later.
    #[must_use]
    pub fn new(
        retry_policy: RetryPolicy,
        max_attempts: u32,
        now: Millis,
        timeout: Duration,
    ) -> Self {
        Self {
            retry_policy,
            max_attempts: max_attempts.max(1),
            deadline: now + timeout.as_millis() as Millis,
            possible_runs: 0,
            rejections: 0,
            unsent: 0,
            waits_until: 0,
            answer_begun: false,
        }
    }

    /// Returns the state of a request that may have run already, as an instance before this one got no
    /// answer to it.
    #[must_use]
    pub fn after_unknown_run(mut self) -> Self {
        self.possible_runs += 1;
        self
    }

    /// Returns the time from `now`, in milliseconds on the instance's clock, until the deadline;
    /// zero after it.
    #[must_use]
    pub fn remaining(&self, now: Millis) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(now))
    }

    /// Returns whether an earlier attempt was rejected, ran or may have run.
    #[must_use]
    pub fn is_retry(&self) -> bool {
        self.possible_runs + self.rejections > 0
    }

    /// Returns whether the retry policy and `max_attempts` let the request be sent again if the
    /// current attempt is abandoned.
    ///
    /// Takes no account of the deadline, of the retry budget and of an answer that has begun.
    #[must_use]
    pub fn may_retry(&self) -> bool {
        self.retry_policy != RetryPolicy::Never && self.possible_runs + 1 < self.max_attempts
    }

    /// Records that the caller gets the head of an answer, after which no error can be sent.
    pub fn mark_answer_begun(&mut self) {
        self.answer_begun = true;
    }

    /// Returns whether the caller has received the head of an answer.
    #[must_use]
    pub fn has_begun_answer(&self) -> bool {
        self.answer_begun
    }

    /// Allows any number of attempts without anything sent until a time, in milliseconds on the
    /// instance's clock.
    pub fn wait_until(&mut self, time: Millis) {
        self.waits_until = time;
    }

    /// Returns the pause before the next attempt at a target that took no connection, for a random
    /// number in `0.0..1.0`; zero if the request does not wait for targets.
    #[must_use]
    pub fn unsent_pause(&self, now: Millis, draw: f64) -> Duration {
        let left = Duration::from_millis(self.waits_until.min(self.deadline).saturating_sub(now));
        let doublings = self.unsent.saturating_sub(1).min(8);
        let longest = FIRST_PAUSE.saturating_mul(1 << doublings);
        let pause = longest.min(LONGEST_PAUSE).mul_f64(f64::midpoint(1.0, draw));
        pause.min(left)
    }

    /// Records how an attempt ended and decides what follows.
    ///
    /// `budget` takes a retry from the retry budget and returns whether one was left. It is called
    /// only if all other conditions for a retry hold, and not after [`AttemptFailure::Unsent`].
    pub fn next_step(
        &mut self,
        ending: AttemptFailure,
        now: Millis,
        budget: impl FnOnce() -> bool,
    ) -> Step {
        match ending {
            AttemptFailure::Unsent => self.unsent += 1,
            AttemptFailure::Rejected => self.rejections += 1,
            AttemptFailure::Failed | AttemptFailure::Broken | AttemptFailure::Late => {
                self.possible_runs += 1;
            }
        }
        if ending != AttemptFailure::Late
            && self.allows_attempt(now)
            && (ending == AttemptFailure::Unsent || budget())
        {
            return Step::Retry;
        }
        if self.answer_begun {
            return Step::Abort;
        }
        match ending {
            AttemptFailure::Failed => Step::ForwardFailure,
            AttemptFailure::Late if self.possible_runs > 0 => Step::Refuse(Refusal::TimedOut),
            _ => Step::Refuse(self.refusal()),
        }
    }

    /// Returns the refusal that is true of the attempts so far.
    ///
    /// It is `NotRun` only if none of them ran the request or may have run it.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        if self.possible_runs > 0 {
            Refusal::Unknown
        } else {
            Refusal::NotRun
        }
    }

    /// Returns whether another attempt is allowed at `now`, apart from the retry budget.
    fn allows_attempt(&self, now: Millis) -> bool {
        let gives_up = self.unsent > MAX_UNSENT && now >= self.waits_until;
        if now >= self.deadline || gives_up || self.rejections > MAX_REJECTIONS {
            return false;
        }
        let retryable = match self.retry_policy {
            RetryPolicy::Never => self.possible_runs == 0,
            RetryPolicy::Resume => true,
            RetryPolicy::Restart => !self.answer_begun,
        };
        retryable && self.possible_runs < self.max_attempts
    }
}
