//! Permits for the targets of a generation, and the choice of another target where there is none.

use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_place::placer::{Placement, Plan};
use hyper::Response;

use super::{NO_TARGET_RETRY_AFTER, StreamRequest};
use crate::limits;
use crate::limits::permits::{Denials, Permit};
use crate::plain::refuse_without_target;
use crate::reply::AnswerBody;

impl StreamRequest {
    /// Acquires a permit for the target that a plan uses first; returns `None` if that target is
    /// gone.
    ///
    /// # Errors
    ///
    /// Returns the time until a permit is expected if none can be had now.
    pub(super) async fn acquire_first(&self, plan: &Plan) -> Result<Option<Permit>, Duration> {
        let first = plan.prefill.as_ref().unwrap_or(&plan.decode);
        let Some(target) = self.usable_target(first) else {
            return Ok(None);
        };
        let id = &self.request.info.id;
        limits::acquire(&self.gateway, &target, id).await.map(Some)
    }

    /// Returns the target that generates, with a permit for it, or `None` if there is none.
    pub(super) async fn acquire_decode(&mut self, plan: &Plan) -> Option<(Target, Permit)> {
        while !self.state.remaining(self.gateway.now()).is_zero() {
            let target = self.decode_target(plan)?;
            let id = &self.request.info.id;
            if let Ok(permit) = limits::acquire(&self.gateway, &target, id).await {
                self.denials = Denials::default();
                return Some((target, permit));
            }
            self.denials.add();
        }
        None
    }

    /// Returns the answer to a request for which there is no target, or only such whose limits
    /// allow no request now.
    pub(super) fn refuse_without_target(&self) -> Response<AnswerBody> {
        let (request, state) = (&self.request, &self.state);
        refuse_without_target(&self.gateway, request, state, NO_TARGET_RETRY_AFTER)
    }

    /// Returns the target that generates.
    ///
    /// It is the planned one, unless that is gone, changing its role or out of permits by the time
    /// the prompt is computed; another one is then chosen. If none can be, the planned one is
    /// returned unless it is gone or out of permits.
    fn decode_target(&self, plan: &Plan) -> Option<Target> {
        let now = self.gateway.now();
        let planned = self.usable_target(&plan.decode);
        let placer = self.gateway.placer();
        let planned = planned.filter(|target| placer.limits.wait(target, now).is_none());
        let changing = placer.load_view.is_changing(&plan.decode, now);
        drop(placer);
        if (planned.is_some() && !changing) || self.prompt.is_none() {
            return planned;
        }
        let (Placement::Run(replacement), _) = self.place(self.state.remaining(now), None) else {
            return planned;
        };
        self.usable_target(&replacement.decode)
    }
}
