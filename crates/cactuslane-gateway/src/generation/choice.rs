//! Choice of the targets of an attempt.

use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_place::placer::{Placement, PlacementRequest, Plan};
use hyper::Response;

use super::{StreamRequest, eligible, placement_request, time_to_first};
use crate::admission::Entry;
use crate::crashes;
use crate::limits::permits::{Denials, Permit};
use crate::plain::refuse;
use crate::reply::AnswerBody;

/// Base of `Retry-After` when the engines are overloaded. Twice the time by which the first event
/// is expected too late is added; the sum is limited to a third of the time left.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(700);

impl StreamRequest {
    /// Chooses the targets of the next attempt, with the permit for the first of them if that is
    /// known; returns `None` if they must be chosen again.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that is refused.
    pub(super) async fn choose(
        &mut self,
        entry: &mut Entry<'_>,
        has_begun: &mut bool,
        trial: &mut crashes::TrialGrant,
        left: Duration,
    ) -> Result<Option<(Plan, Option<Permit>)>, Box<Response<AnswerBody>>> {
        let now = self.gateway.now();
        let refused = |request: &Self, after, cause| {
            Box::new(refuse(&request.request, &request.state, after, cause))
        };
        if let Err(withheld) = crashes::admit(&self.gateway, &self.request.info, trial).await {
            return Err(refused(self, withheld.wait, withheld.cause));
        }
        // What the caller of a begun answer would do is no reason to cut it.
        let time = if self.state.has_begun_answer() {
            left
        } else {
            time_to_first(&self.request, left)
        };
        let (placement, targets) = self.place(time, None);
        let plan = match placement {
            Placement::Run(plan) => plan,
            Placement::Overloaded {
                plan,
                excess,
                other_ms,
            } => {
                let room_in = excess * 2 + OVERLOAD_RETRY_AFTER;
                let admissions = &self.gateway.admissions;
                let after = admissions.turn_away(&self.request, room_in, left, now);
                self.log_overload(&plan, excess, other_ms, left, after);
                return Err(refused(self, after, "overloaded"));
            }
            Placement::NoTarget if self.pause_for_target().await => return Ok(None),
            Placement::NoTarget => return Err(Box::new(self.refuse_without_target())),
        };
        // What has begun is neither refused nor delayed by what has not.
        if !*has_begun {
            let gateway = &self.gateway;
            let forecast = gateway.placer().forecast_generation(&plan, targets, now);
            match entry.pass(&self.request, &forecast, left, now).await {
                Ok(true) => *has_begun = true,
                Ok(false) => return Ok(None),
                Err((after, cause)) => return Err(refused(self, after, cause)),
            }
        }
        self.record_placed(&plan);
        let Ok(permit) = self.acquire_first(&plan).await else {
            self.denials.add();
            return Ok(None);
        };
        self.denials = Denials::default();
        let is_over = self.state.remaining(self.gateway.now()).is_zero();
        if !is_over && self.repeats_prompt(&plan) && !self.gateway.take_retry(&self.request.service)
        {
            self.prompt_denied = true;
            return Ok(None);
        }
        Ok(Some((plan, permit)))
    }

    /// Chooses the targets of the next attempt among those of the service, whose number is returned
    /// as well; `time` is the time within which an event must arrive, and `silent` the process whose
    /// stream they are to take up, if any.
    pub(super) fn place(&self, time: Duration, silent: Option<&Target>) -> (Placement, usize) {
        let now = self.gateway.now();
        let request = &self.request;
        let fleet = self.gateway.fleet();
        let mut targets = eligible(&fleet, request, &self.origin, now);
        if let Some(silent) = silent {
            let is_same =
                |target: &Target| target.id == silent.id && target.started_at == silent.started_at;
            targets.retain(|target| !is_same(target));
        }
        let mut placer = self.gateway.placer();
        self.denials.filter(&mut targets, &placer.limits);
        let service = request.config.services.get(&request.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            let chosen = placer.place_plain(&targets, &self.tried, now);
            let placement = chosen.map_or(Placement::NoTarget, |decode| {
                Placement::Run(Plan {
                    fetch: None,
                    prefill: None,
                    decode,
                    uncached: 0,
                    ahead: 0,
                    expected: 0.0,
                })
            });
            return (placement, targets.len());
        };
        let first = placement_request(request, engine, time);
        let placement_request = PlacementRequest {
            split: first.split
                && self.prompt_attempts < request.route.max_attempts
                && !self.prompt_denied,
            tried: &self.tried,
            ..first
        };
        if let Some(prompt) = &self.prompt {
            targets.retain(|target| target.has_version_of(&prompt.target));
            let placement = placer.place_decode(&targets, &placement_request, now);
            return (placement, targets.len());
        }
        let mut placement = placer.place_generation(&targets, &placement_request, now);
        if placement == Placement::NoTarget && !self.tried.is_empty() {
            let retry_request = PlacementRequest {
                tried: &[],
                ..placement_request
            };
            placement = placer.place_generation(&targets, &retry_request, now);
        }
        (placement, targets.len())
    }
}
