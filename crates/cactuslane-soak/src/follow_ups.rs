//! Actions that end or follow up the steps of a plan.

use tokio::time::Instant;

use crate::links::FaultId;

/// An action that ends or follows up a step of the plan.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowUp {
    /// Starts an instance, unless it has a process.
    Start(usize),
    /// Resumes an instance with SIGCONT.
    Thaw(usize),
    /// Lets the store answer all calls again.
    HealStore,
    /// Ends the fault on the connections between an instance and the store.
    HealStoreLink(usize),
    /// Ends the fault on the connections to a target.
    HealTargetLink(usize),
    /// Removes the late ends of a target that no request has met.
    EndLate(usize),
    /// Ends a fault of paths.
    EndFault(FaultId),
    /// Ends the drain of a target that started at the given time.
    EndDrain(usize, Instant),
    /// Ends the limit of a target, in requests a second, that it has named since the given time.
    EndLimit(usize, f64, Instant),
}

/// Follow-ups that were not applied yet, with the times at which they are due.
#[derive(Clone, Debug, Default)]
pub struct FollowUps(Vec<(Instant, FollowUp)>);

impl FollowUps {
    /// Adds a follow-up that is due at a time.
    pub fn schedule(&mut self, at: Instant, follow_up: FollowUp) {
        self.0.push((at, follow_up));
    }

    /// Removes and returns those that are due.
    pub fn take_due(&mut self, now: Instant) -> Vec<FollowUp> {
        self.take(|at, _| at <= now)
    }

    /// Removes and returns the ends of drains of a target, also those that are not due yet.
    ///
    /// Steps are applied late on a busy machine, and their ends as much later, so that the end of a
    /// drain may be due in the middle of the next one of the same target.
    pub fn take_drain_ends(&mut self, target: usize) -> Vec<FollowUp> {
        self.take(|_, end| matches!(end, FollowUp::EndDrain(other, _) if *other == target))
    }

    /// Removes and returns the ends of limits of a target, also those that are not due yet.
    pub fn take_limit_ends(&mut self, target: usize) -> Vec<FollowUp> {
        self.take(|_, end| matches!(end, FollowUp::EndLimit(other, ..) if *other == target))
    }

    /// Removes and returns those that match.
    fn take(&mut self, matches: impl Fn(Instant, &FollowUp) -> bool) -> Vec<FollowUp> {
        let taken = self.0.extract_if(.., |(at, end)| matches(*at, end));
        taken.map(|(_, follow_up)| follow_up).collect()
    }
}
