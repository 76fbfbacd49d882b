//! The state of one request between its arrival and its final answer.

use std::time::Duration;

use cactuslane_types::Millis;

use crate::document::Repeat;

/// Sends of one request that targets may reject, beyond the attempts that may run.
const MAX_REJECTIONS: u32 = 3;
/// Connections that may fail before anything was sent.
const MAX_UNSENT: u32 = 4;

/// One request between its arrival and its final answer.
#[derive(Clone, Debug)]
pub struct Flight {
    /// What may be sent again.
    repeat: Repeat,
    /// The number of targets on which the request may run.
    max_attempts: u32,
    /// The time at which the caller or the route gives up.
    deadline: Millis,
    /// The sends of which nobody knows whether they ran, or that did run.
    runs: u32,
    /// The sends that targets rejected.
    rejections: u32,
    /// The connections that failed before anything was sent.
    unsent: u32,
    /// Whether the caller has the head of an answer.
    began: bool,
}

/// How one attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nothing was sent.
    Unsent,
    /// The target said that it did not run the request.
    Rejected,
    /// The target answered with a failure of its own.
    Failed,
    /// No whole answer came: the request may have run.
    Broken,
    /// The deadline came before the answer.
    Late,
}

/// What happens next to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is sent to another target, or again to the same.
    Again,
    /// The caller gets the target's failure.
    Pass,
    /// The caller gets a refusal.
    Refuse(Refusal),
    /// The caller's connection is closed in the middle of the answer.
    Cut,
}

/// A final answer that comes from this system and from no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target ran the request, and none will.
    NotRun,
    /// A target may have run the request.
    Unknown,
    /// A target may have run the request, and the time is over.
    TimedOut,
}

impl Flight {
    /// Creates the state of a request that has just arrived.
    #[must_use]
    pub fn new(repeat: Repeat, max_attempts: u32, now: Millis, patience: Duration) -> Self {
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

    /// Returns the time that is left; zero after the deadline.
    #[must_use]
    pub fn left(&self, now: Millis) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(now))
    }

    /// Returns whether a send needs a place in the budget of repeated sends.
    #[must_use]
    pub fn repeats(&self) -> bool {
        self.runs + self.rejections > 0
    }

    /// Returns whether the request may be sent again if the attempt under way is given up.
    #[must_use]
    pub fn may_move(&self) -> bool {
        self.repeat != Repeat::Never && self.runs + 1 < self.max_attempts
    }

    /// Records that the caller has the head of an answer.
    pub fn begin(&mut self) {
        self.began = true;
    }

    /// Decides what follows the end of an attempt.
    ///
    /// The budget is asked only where a repeated send is allowed otherwise.
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

    /// Returns the refusal that is true now.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        if self.runs > 0 {
            Refusal::Unknown
        } else {
            Refusal::NotRun
        }
    }

    /// Returns whether another send is allowed.
    fn may_send(&self, now: Millis) -> bool {
        if now >= self.deadline || self.unsent > MAX_UNSENT || self.rejections > MAX_REJECTIONS {
            return false;
        }
        let again = match self.repeat {
            Repeat::Never => self.runs == 0,
            Repeat::Resume => true,
            Repeat::Whole => !self.began,
        };
        again && self.runs < self.max_attempts
    }
}
