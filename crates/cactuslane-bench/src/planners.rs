//! The role planners that are compared.

use std::collections::BTreeMap;

use cactuslane_roles::{PlanParams, Planner, RoleAssignment, UnitCosts, Workload};
use cactuslane_route::Speed;
use cactuslane_types::{Role, TargetId};

use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::trace::{Request, demand_between};

/// Time between two looks, in microseconds.
pub const PLAN_INTERVAL: u64 = 5_000_000;
/// Time for which a change must pay, in milliseconds.
const PAYBACK_MS: f64 = 120_000.0;
/// Time that a change takes an engine away, in milliseconds.
pub const CHANGE_MS: f64 = 6_000.0;

/// Plans the roles of a run.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    /// The policy.
    policy: Policy,
    /// The product's planner.
    planner: Planner,
    /// The demand of the last interval.
    workload: Workload,
}

impl RolePlanner {
    /// Creates the planner of a policy.
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

    /// Takes in the demand of the last interval, as prompt and output tokens a millisecond.
    pub fn observe(&mut self, demand: (f64, f64)) {
        self.workload = Workload {
            prefill: demand.0,
            decode: demand.1,
        };
        self.planner.forecast.observe(self.workload);
    }

    /// Returns the change to make now.
    pub fn plan(
        &mut self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        trace: &[Request],
        now: u64,
    ) -> Option<RoleAssignment> {
        /// Time that a planner which knows the trace looks ahead, in microseconds.
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

/// Returns the change that brings the number of prefill engines towards the demand of now.
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
