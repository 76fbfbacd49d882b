//! The planner's office: the driver around the plan and the role planner.

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

/// Time between two looks at the plan, in milliseconds.
const PLAN_INTERVAL: Millis = 2_000;
/// Time between two deletions of old claims, in milliseconds.
const DELETION_INTERVAL: Millis = 600_000;
/// Time by which clocks may be wrong, in seconds.
const CLOCK_MARGIN: u64 = 10;

/// The state of the planner's office.
#[derive(Debug, Default)]
pub struct PlannerState {
    /// When the plan is looked at next.
    next_plan: Millis,
    /// When old claims are deleted next.
    next_deletion: Millis,
    /// When the work is observed next.
    next_observation: Millis,
    /// Holds a role planner for each model.
    planners: BTreeMap<ServiceName, Planner>,
    /// Holds the roles that the role planners want.
    roles: BTreeMap<TargetId, Role>,
}

impl PlannerState {
    /// Plans, if it is time.
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
        let seen = observed_targets(shared, now);
        self.plan_roles(shared, &plan, &seen, now);
        let aims = self.aims(shared);
        let mut next = next_plan(&plan, &aims, &seen, Clock::wall());
        next.planner.clone_from(&shared.settings.instance);
        if next != plan {
            write(shared, &next, revision, fencing).await;
        }
        if now >= self.next_deletion {
            self.next_deletion = now + DELETION_INTERVAL;
            delete_old_claims(shared, fencing).await;
        }
    }

    /// Returns what the configuration and the role planners ask for.
    fn aims(&self, shared: &Shared) -> Requirements {
        let config = shared.documents.config();
        let document = &config.document;
        let maintenance = &document.maintenance;
        let mut aims = Requirements {
            edit: config.revision,
            roles: self.roles.clone(),
            max_unavailable: maintenance.max_unavailable,
            per_domain: maintenance.per_domain,
            window_open: windows_open(document),
            ..Requirements::default()
        };
        for (target, drain) in &maintenance.drains {
            let word = match drain {
                Drain::Now => continue,
                Drain::Replace => "replace",
                Drain::Withdraw => "withdraw",
            };
            aims.drains.insert(target.clone(), word);
        }
        for (name, model) in &document.models {
            aims.versions.insert(name.clone(), model.version.clone());
            aims.min_serving.insert(name.clone(), model.min_serving);
        }
        for (name, service) in &document.services {
            aims.min_serving.insert(name.clone(), service.min_serving);
        }
        aims
    }

    /// Lets the role planners decide.
    fn plan_roles(
        &mut self,
        shared: &Shared,
        plan: &Plan,
        seen: &BTreeMap<TargetId, ObservedTarget>,
        now: Millis,
    ) {
        if now < self.next_observation {
            return;
        }
        self.next_observation = now + OBSERVATION_INTERVAL;
        let config = shared.documents.config();
        let work = shared.authority().work(now);
        for (model, capacity) in &config.document.roles {
            let Some(engine) = config.document.models.get(model) else {
                continue;
            };
            let between = engine.itl_bound.as_secs_f64() * 1000.0;
            let params = PlanParams {
                costs: UnitCosts::from_speed(&Speed::default(), between),
                change_ms: capacity.change_time.as_secs_f64() * 1000.0,
                change_weight: capacity.change_weight,
                payback_ms: capacity.payback.as_secs_f64() * 1000.0,
            };
            let planner = self
                .planners
                .entry(model.clone())
                .or_insert_with(|| Planner::new(params));
            planner.params = params;
            let (prefill, decode) = work.get(model).copied().unwrap_or_default();
            planner.forecast.observe(Workload { prefill, decode });
            let mut roles = BTreeMap::new();
            for (id, target) in seen {
                let Some(report) = target.report.as_ref().filter(|_| target.service == *model)
                else {
                    continue;
                };
                let role = Role::parse(&report.role).unwrap_or_default();
                roles.insert(id.clone(), (role, report.streams));
            }
            // One change at a time: the next is weighed when the last has taken effect.
            let busy = plan.targets.keys().any(|id| roles.contains_key(id));
            if busy {
                continue;
            }
            if let Some(change) = planner.plan(&roles, now) {
                log::info!(
                    "target {} is to become {}",
                    change.target,
                    change.role.as_str()
                );
                self.roles.insert(change.target, change.role);
            }
        }
    }
}

/// Returns the targets as the planner sees them.
fn observed_targets(shared: &Shared, now: Millis) -> BTreeMap<TargetId, ObservedTarget> {
    let targets = shared.routing().targets().clone();
    let view = shared.authority();
    let mut seen = BTreeMap::new();
    for (id, target) in targets {
        let report = view.report(&id, now);
        let pending = report.as_ref().is_some_and(|report| report.pending);
        seen.insert(
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
    seen
}

/// Returns whether a window for planned work is open; one that cannot be read is closed.
fn windows_open(document: &Document) -> bool {
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
        Clock::wall(),
        CLOCK_MARGIN,
    ) {
        Ok(open) => open,
        Err(error) => {
            log::warn!("the time zone of `maintenance` is not usable: {error}");
            false
        }
    }
}

/// Deletes the claims that nobody reads any more, if this instance still holds the office.
async fn delete_old_claims(shared: &Shared, fencing: FencingToken) {
    let deletions = expired_prefixes(Clock::wall())
        .into_iter()
        .map(Op::DeletePrefix);
    let txn = Txn {
        compare: vec![Compare::Created(keys::owner(PLANNER_SHARD), fencing)],
        then: deletions.collect(),
        otherwise: Vec::new(),
    };
    // What was not deleted now is deleted the next time.
    let _ = shared.store.txn(&txn).await;
}

/// Writes a plan, if this instance still holds the office and nobody else has written.
async fn write(shared: &Shared, plan: &Plan, expected: u64, fencing: FencingToken) {
    let Ok(value) = serde_json::to_vec(plan) else {
        return;
    };
    let key = keys::PLAN.to_owned();
    let unchanged = match expected {
        0 => Compare::Absent(key.clone()),
        revision => Compare::Modified(key.clone(), revision),
    };
    let office = Compare::Created(keys::owner(PLANNER_SHARD), fencing);
    let txn = Txn {
        compare: vec![unchanged, office],
        then: vec![Op::Put(key, value, None)],
        otherwise: Vec::new(),
    };
    if let Err(error) = shared.store.txn(&txn).await {
        log::warn!("the plan was not written: {error}");
    }
}
