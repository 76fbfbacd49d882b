//! What the placement of a request would be now, without carrying it out.

use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_types::{DomainName, Millis, Role, TargetId};

use super::{Forecast, Placement, PlacementRequest, Placer, Plan};

/// What would become of a request.
#[derive(Clone, Debug)]
pub struct Preview {
    /// The placement.
    pub placement: Placement,
    /// Expected times at the chosen targets; all 0 if there are none.
    pub forecast: Forecast,
    /// Targets that could run the request, or generate, in the order of their ids.
    pub candidates: Vec<Candidate>,
}

/// A target that a request could go to, with what counts for the choice.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the target.
    pub target: TargetId,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Role of the target.
    pub role: Role,
    /// Number of requests in progress there, by what this instance and others know.
    pub running: u32,
    /// What the choice compares, in milliseconds without the random part; for an engine, the expected
    /// time to the first event if it generates. `None` if the target cannot take the request.
    pub cost: Option<f64>,
    /// Expected time in the queue, in milliseconds.
    pub wait_ms: f64,
    /// Factor on the expected time by the answers of late; 1 if it is not slow.
    pub slowdown: f64,
    /// Reason why the target is passed over while others are left.
    pub avoided: Option<&'static str>,
    /// Limit that the target names, in requests a second.
    pub rate: Option<f64>,
    /// Time until this instance asks for a permit again, if it was denied one.
    pub permit_in: Option<Duration>,
}

impl Placer {
    /// Returns what would become of a request to a plain service.
    #[must_use]
    pub fn preview_plain(&self, targets: &[&Target], now: Millis) -> Preview {
        let mut placer = self.clone();
        let chosen = placer.place_plain(targets, &[], now);
        let usable = placer.usable(targets, &[], now);
        let room = placer.room(&usable, now);
        let mut candidates = Vec::new();
        for target in targets {
            let mut candidate = placer.candidate(&usable, target, now);
            candidate.cost = Some(placer.plain_cost(target, room, now).0);
            candidate.wait_ms = placer.forecast_plain(target, targets.len(), now).wait_ms;
            candidates.push(candidate);
        }
        let found = targets
            .iter()
            .find(|target| Some(&target.id) == chosen.as_ref());
        let forecast = found.map(|target| placer.forecast_plain(target, targets.len(), now));
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
        Preview {
            placement,
            forecast: forecast.unwrap_or_default(),
            candidates,
        }
    }

    /// Returns what would become of a generation.
    #[must_use]
    pub fn preview_generation(
        &self,
        targets: &[&Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Preview {
        let mut placer = self.clone();
        let placement = placer.place_generation(targets, request, now);
        let usable = placer.usable(targets, &[], now);
        let mut candidates = Vec::new();
        for target in targets {
            if !target.role.decodes() {
                continue;
            }
            let mut candidate = placer.candidate(&usable, target, now);
            let mut others = targets.to_vec();
            others.retain(|other| other.id == target.id || !other.role.decodes());
            let plan = match placer.place_generation(&others, request, now) {
                Placement::Run(plan) | Placement::Overloaded { plan, .. } => Some(plan),
                Placement::NoTarget => None,
            };
            if let Some(plan) = plan {
                candidate.cost = Some(plan.expected);
                let forecast = placer.forecast_generation(&plan, targets.len(), now);
                candidate.wait_ms = forecast.wait_ms;
            }
            candidates.push(candidate);
        }
        let forecast = match &placement {
            Placement::Run(plan) | Placement::Overloaded { plan, .. } => {
                placer.forecast_generation(plan, targets.len(), now)
            }
            Placement::NoTarget => Forecast::default(),
        };
        Preview {
            placement,
            forecast,
            candidates,
        }
    }

    /// Returns what is known of a target, without a cost; `usable` are those that are not avoided.
    fn candidate(&self, usable: &[&Target], target: &Target, now: Millis) -> Candidate {
        let permit_in = self.limits.wait(target, now);
        let avoided = if usable.iter().any(|other| other.id == target.id) {
            None
        } else if permit_in.is_some() {
            Some("no permit for now")
        } else if self.load_view.is_changing(&target.id, now) {
            Some("its role is about to change")
        } else {
            Some("it failed of late")
        };
        Candidate {
            target: target.id.clone(),
            domain: target.domain.clone(),
            role: target.role,
            running: self.load_view.load(&target.id, now).running,
            cost: None,
            wait_ms: 0.0,
            slowdown: self.slowdown(&target.id, now),
            avoided,
            rate: self.limits.rate(target),
            permit_in,
        }
    }
}
