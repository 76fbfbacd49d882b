//! Driver of the planner, run by the instance that owns the planner shard: updates the plan,
//! decides role changes and deletes expired claims.

use std::collections::BTreeMap;

use cactuslane_authority::keys;
use cactuslane_authority::ownership::PLANNER_SHARD;
use cactuslane_authority::plan::{ObservedTarget, Plan, Requirements, next_plan};
use cactuslane_authority::window::{DailyWindow, is_open};
use cactuslane_config::{Document, Drain};
use cactuslane_once::claim::expired_prefixes;
use cactuslane_roles::forecast::OBSERVATION_INTERVAL;
use cactuslane_roles::{PlanParams, Planner, UnitCosts, Workload};
use cactuslane_route::Speed;
use cactuslane_store::{Compare, Op, Txn};
use cactuslane_types::{FencingToken, Millis, Role, ServiceName, TargetId, TargetKind};

use crate::clock::Clock;
use crate::shared::Shared;

/// Time between two updates of the plan, in milliseconds.
const PLAN_INTERVAL: Millis = 2_000;
/// Time between two deletions of expired claims, in milliseconds.
const DELETION_INTERVAL: Millis = 600_000;
/// Assumed maximum error of this instance's wall clock, in seconds, by which maintenance windows
/// are shortened at both ends.
const CLOCK_MARGIN: u64 = 10;

/// The state that the owner of the planner shard keeps between rounds.
#[derive(Debug, Default)]
pub struct PlannerState {
    /// When the next update of the plan is due, in milliseconds on this instance's clock.
    next_plan: Millis,
    /// When the next deletion of expired claims is due, in milliseconds on this instance's clock.
    next_deletion: Millis,
    /// When the next observation of the workload is due, in milliseconds on this instance's clock.
    next_observation: Millis,
    /// The role planner of each model that the configuration plans roles for.
    planners: BTreeMap<ServiceName, Planner>,
    /// The role that a role planner last assigned to each engine whose role it changed.
    roles: BTreeMap<TargetId, Role>,
}

impl PlannerState {
    /// Updates the plan and deletes expired claims when due.
    ///
    /// `fencing` is the fencing token under which this instance owns the planner shard.
    pub async fn round(&mut self, shared: &Shared, fencing: FencingToken) {
        let now = shared.now();
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN_INTERVAL;
        let Ok(record) = shared.store.get(keys::PLAN).await else {
            return;
        };
        let (plan, revision) = match &record {
            Some(record) => {
                let plan = serde_json::from_slice(&record.value).unwrap_or_default();
                (plan, record.modified)
            }
            None => (Plan::default(), 0),
        };
        let observed = observed_targets(shared, now);
        self.plan_roles(shared, &plan, &observed, now);
        let requirements = self.requirements(shared);
        let mut next = next_plan(&plan, &requirements, &observed, Clock::unix_time());
        next.planner.clone_from(&shared.settings.instance);
        if next != plan {
            write_plan(shared, &next, revision, fencing).await;
        }
        if now >= self.next_deletion {
            self.next_deletion = now + DELETION_INTERVAL;
            delete_expired_claims(shared, fencing).await;
        }
    }

    /// Returns the changes that the configuration and the role planners require, with their limits.
    fn requirements(&self, shared: &Shared) -> Requirements {
        let config = shared.documents.config();
        let document = &config.document;
        let maintenance = &document.maintenance;
        let mut requirements = Requirements {
            edit: config.revision,
            roles: self.roles.clone(),
            max_unavailable: maintenance.max_unavailable,
            per_domain: maintenance.per_domain,
            window_open: is_window_open(document),
            ..Requirements::default()
        };
        for (target, drain) in &maintenance.drains {
            let verb = match drain {
                // Not planned: each instance drains the target as soon as the edit is in force.
                Drain::Now => continue,
                Drain::Replace => "replace",
                Drain::Withdraw => "withdraw",
            };
            requirements.drains.insert(target.clone(), verb);
        }
        for (name, model) in &document.models {
            requirements
                .versions
                .insert(name.clone(), model.version.clone());
            requirements
                .min_serving
                .insert(name.clone(), model.min_serving);
        }
        for (name, service) in &document.services {
            requirements
                .min_serving
                .insert(name.clone(), service.min_serving);
        }
        requirements
    }

    /// Feeds the role planners with the observed workload and stores their decisions, when due.
    fn plan_roles(
        &mut self,
        shared: &Shared,
        plan: &Plan,
        observed: &BTreeMap<TargetId, ObservedTarget>,
        now: Millis,
    ) {
        if now < self.next_observation {
            return;
        }
        self.next_observation = now + OBSERVATION_INTERVAL;
        let config = shared.documents.config();
        let workloads = shared.authority().total_workloads(now);
        for (model, capacity) in &config.document.roles {
            let Some(engine) = config.document.models.get(model) else {
                continue;
            };
            let itl_bound_ms = engine.itl_bound.as_secs_f64() * 1000.0;
            let params = PlanParams {
                costs: UnitCosts::from_speed(&Speed::default(), itl_bound_ms),
                change_ms: capacity.change_time.as_secs_f64() * 1000.0,
                change_weight: capacity.change_weight,
                payback_ms: capacity.payback.as_secs_f64() * 1000.0,
            };
            let planner = self
                .planners
                .entry(model.clone())
                .or_insert_with(|| Planner::new(params));
            planner.params = params;
            let (prefill, decode) = workloads.get(model).copied().unwrap_or_default();
            planner.forecast.observe(Workload { prefill, decode });
            let mut roles = BTreeMap::new();
            for (id, target) in observed {
                let Some(report) = target.report.as_ref().filter(|_| target.service == *model)
                else {
                    continue;
                };
                let role = Role::parse(&report.role).unwrap_or_default();
                roles.insert(id.clone(), (role, report.streams));
            }
            // One change per model at a time: the next is decided when the last has taken effect
            // and no engine of the model is in the plan any more.
            let busy = plan.targets.keys().any(|id| roles.contains_key(id));
            if busy {
                continue;
            }
            if let Some(change) = planner.plan(&roles, now) {
                log::info!(
                    "role change decided: target {} becomes {}",
                    change.target,
                    change.role.as_str()
                );
                self.roles.insert(change.target, change.role);
            }
        }
    }
}

/// Returns the state of all listed targets as known to this instance.
fn observed_targets(shared: &Shared, now: Millis) -> BTreeMap<TargetId, ObservedTarget> {
    let targets = shared.routing().targets().clone();
    let view = shared.authority();
    let mut observed = BTreeMap::new();
    for (id, target) in targets {
        let report = view.report(&id, now);
        let pending = report.as_ref().is_some_and(|report| report.pending);
        observed.insert(
            id,
            ObservedTarget {
                service: target.service,
                domain: target.domain,
                live: !target.leaving,
                engine: target.kind == TargetKind::Engine,
                report: report.map(|report| report.report),
                pending,
            },
        );
    }
    observed
}

/// Returns whether a maintenance window is open; false if the time zone is unknown.
fn is_window_open(document: &Document) -> bool {
    let maintenance = &document.maintenance;
    let mut windows = Vec::new();
    for window in &maintenance.windows {
        windows.push(DailyWindow {
            days: window.days.clone(),
            from: window.from,
            until: window.until,
        });
    }
    match is_open(
        &maintenance.time_zone,
        &windows,
        Clock::unix_time(),
        CLOCK_MARGIN,
    ) {
        Ok(open) => open,
        Err(error) => {
            log::warn!(
                "`maintenance.time_zone` is not usable, so windows count as closed: {error}"
            );
            false
        }
    }
}

/// Deletes the claims that no instance reads any more by [`expired_prefixes`], if this instance
/// still owns the planner shard.
async fn delete_expired_claims(shared: &Shared, fencing: FencingToken) {
    let deletions = expired_prefixes(Clock::unix_time())
        .into_iter()
        .map(Op::DeletePrefix);
    let txn = Txn {
        compare: vec![Compare::Created(keys::owner(PLANNER_SHARD), fencing)],
        then: deletions.collect(),
        otherwise: Vec::new(),
    };
    // A failure needs no handling: the next deletion covers the same claims.
    let _ = shared.store.txn(&txn).await;
}

/// Writes a plan, if this instance still owns the planner shard and the stored plan still has the
/// revision `expected`, where 0 stands for no plan.
///
/// Otherwise the transaction has no effect, and the next update starts from the stored plan.
async fn write_plan(shared: &Shared, plan: &Plan, expected: u64, fencing: FencingToken) {
    let Ok(value) = serde_json::to_vec(plan) else {
        return;
    };
    let key = keys::PLAN.to_owned();
    let unchanged = match expected {
        0 => Compare::Absent(key.clone()),
        revision => Compare::Modified(key.clone(), revision),
    };
    let owned = Compare::Created(keys::owner(PLANNER_SHARD), fencing);
    let txn = Txn {
        compare: vec![unchanged, owned],
        then: vec![Op::Put(key, value, None)],
        otherwise: Vec::new(),
    };
    if let Err(error) = shared.store.txn(&txn).await {
        log::warn!("failed to write the plan: {error}");
    }
}
