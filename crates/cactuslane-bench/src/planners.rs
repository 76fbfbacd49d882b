//! Role planning under each policy.

use std::collections::BTreeMap;

use cactuslane_roles::{PlanParams, Planner, RoleAssignment, UnitCosts, Workload};
use cactuslane_route::Speed;
use cactuslane_types::{Role, TargetId};

use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::trace::{Request, demand_between};

/// Time between two plans, in microseconds.
pub const PLAN_INTERVAL: u64 = 5_000_000;
/// Time within which a role change must pay off, in milliseconds.
const PAYBACK_MS: f64 = 120_000.0;
/// Time for which an engine is out of service during a role change, in milliseconds.
pub const CHANGE_MS: f64 = 6_000.0;

/// Role planner of one simulation.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    /// Policy that selects how roles are planned.
    policy: Policy,
    /// Planner of the product.
    planner: Planner,
    /// Demand in the last interval.
    workload: Workload,
}

impl RolePlanner {
    /// Creates the planner of a policy. The weight of a change is the deployment's, but 0 for
    /// [`Policy::Clairvoyant`].
    #[must_use]
    pub fn new(policy: Policy, scenario: &Scenario, speed: &Speed) -> Self {
        let weight = match policy {
            Policy::Clairvoyant => 0.0,
            _ => scenario.fleet.change_weight,
        };
        let params = PlanParams {
            costs: UnitCosts::from_speed(speed, scenario.fleet.itl_bound),
            change_ms: CHANGE_MS,
            change_weight: weight,
            payback_ms: PAYBACK_MS,
        };
        Self {
            policy,
            planner: Planner::new(params),
            workload: Workload::default(),
        }
    }

    /// Records the demand of the last interval, in prompt and output tokens per millisecond.
    pub fn observe(&mut self, demand: (f64, f64)) {
        self.workload = Workload {
            prefill: demand.0,
            decode: demand.1,
        };
        self.planner.forecast.observe(self.workload);
    }

    /// Returns the role change to make now, if any. `roles` holds the role and the number of
    /// streams of each engine; `now` is in microseconds.
    pub fn plan(
        &mut self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        trace: &[Request],
        now: u64,
    ) -> Option<RoleAssignment> {
        /// Length of the trace ahead that [`Policy::Clairvoyant`] plans for, in microseconds.
        const LOOKAHEAD: u64 = 60_000_000;
        match self.policy {
            Policy::Cactuslane => self.planner.plan(roles, now / 1000),
            Policy::Clairvoyant => {
                let (prefill, decode) = demand_between(trace, now, now + LOOKAHEAD);
                self.planner
                    .plan_for(roles, Workload { prefill, decode }, 0.0, now / 1000)
            }
            Policy::Threshold => threshold(&self.planner.params.costs, self.workload, roles),
            _ => None,
        }
    }
}

/// Returns the change that moves the number of prefill engines towards its share of the engine time
/// that the last interval's demand takes. The engine with the fewest streams changes.
fn threshold(
    costs: &UnitCosts,
    workload: Workload,
    roles: &BTreeMap<TargetId, (Role, usize)>,
) -> Option<RoleAssignment> {
    let prefill = workload.prefill * costs.prefill;
    let decode = workload.decode * costs.decode;
    let engines = roles.len() as f64;
    let wanted = (engines * prefill / (prefill + decode).max(1e-9)).round();
    let wanted = wanted.clamp(1.0, engines - 1.0) as usize;
    let current = roles
        .values()
        .filter(|(role, _)| *role == Role::Prefill)
        .count();
    let (from, to) = match current.cmp(&wanted) {
        std::cmp::Ordering::Less => (Role::Decode, Role::Prefill),
        std::cmp::Ordering::Greater => (Role::Prefill, Role::Decode),
        std::cmp::Ordering::Equal => return None,
    };
    let candidates = roles.iter().filter(|(_, (role, _))| *role == from);
    let (target, _) = candidates.min_by_key(|(_, (_, streams))| *streams)?;
    Some(RoleAssignment {
        target: target.clone(),
        role: to,
    })
}
