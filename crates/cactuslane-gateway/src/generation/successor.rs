//! Search for a target that takes up the stream of a silent one.

use std::time::Duration;

use cactuslane_flight::Silence;
use cactuslane_flight::target::Target;
use cactuslane_place::placer::{Placement, Plan};
use log::info;
use tokio::time::{Instant, sleep};

use super::StreamRequest;
use crate::crashes;
use crate::limits::permits::Permit;

/// Targets that take up a stream, with all that is needed to send the request to them at once.
#[derive(Debug)]
pub(super) struct Successor {
    /// The targets.
    pub(super) plan: Plan,
    /// Permit for the first of them.
    pub(super) permit: Permit,
    /// Grant of a trial, if the request needs one.
    pub(super) trial: crashes::TrialGrant,
}

impl StreamRequest {
    /// Waits until a search is due, and returns the targets that take up the stream of `target`,
    /// whose last event arrived at `last_event`, if they would send an event while the caller waits.
    ///
    /// The retry has then been taken from the budget.
    pub(super) async fn find_successor(
        &self,
        target: &Target,
        silence: &Silence,
        last_event: Instant,
    ) -> Option<Successor> {
        let wait = silence.until_search(last_event.elapsed());
        if !wait.is_zero() {
            sleep(wait).await;
        }
        let left = self.state.remaining(self.gateway.now());
        let time = silence.time_to_resume(self.last_event.elapsed(), left);
        let result = self.prepare(target, time).await;
        let cause = match result {
            Ok(successor) => return Some(successor),
            Err(cause) => cause,
        };
        info!(
            request = self.request.info.id,
            target_id = target.id,
            cause,
            silent_ms = last_event.elapsed().as_millis() as u64,
            time_ms = time.as_millis() as u64,
            left_ms = left.as_millis() as u64;
            "silent stream kept"
        );
        None
    }

    /// Chooses targets other than `target` that would send an event within `time`, and acquires
    /// the permissions to send the request to them.
    ///
    /// # Errors
    ///
    /// Returns why there are none now.
    async fn prepare(&self, target: &Target, time: Duration) -> Result<Successor, &'static str> {
        let plan = match self.place(time, Some(target)).0 {
            Placement::Run(plan) => plan,
            Placement::Overloaded { .. } => return Err("overloaded"),
            Placement::NoTarget => return Err("no target"),
        };
        let mut trial = crashes::TrialGrant::default();
        let admitted = crashes::admit(&self.gateway, &self.request.info, &mut trial).await;
        admitted.map_err(|withheld| withheld.cause)?;
        let permit = self.acquire_first(&plan).await;
        let permit = permit.ok().flatten().ok_or("no permit")?;
        let retries = 1 + usize::from(self.repeats_prompt(&plan));
        let service = &self.request.service;
        if (0..retries).any(|_| !self.gateway.take_retry(service)) {
            return Err("retry budget");
        }
        Ok(Successor {
            plan,
            permit,
            trial,
        })
    }

    /// Returns whether a plan computes the prompt once more for a request that ran already.
    ///
    /// The retry that follows a run is counted already, but not a prompt computed again for it.
    pub(super) fn repeats_prompt(&self, plan: &Plan) -> bool {
        plan.prefill.is_some() && self.prompt_attempts > 0 && self.runs > 0
    }
}
