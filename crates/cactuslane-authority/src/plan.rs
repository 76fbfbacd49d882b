//! Planned changes: which targets are drained, which orders they get, and why others wait.
//!
//! The owner of the planner shard runs [`next_plan`] and writes the result; every instance routes
//! according to it. A target is first drained by all instances. Its owner sends a disruptive order
//! only once every listed instance has applied the plan and the target has no streams in progress.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_types::{DomainName, InstanceId, Millis, Revision, Role, ServiceName, TargetId};
use serde::{Deserialize, Serialize};

use crate::orders::{EngineReport, OrderKind, Wanted};

/// The plan in force, as stored in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The instance that owned the planner shard when the plan was written.
    #[serde(default)]
    pub planner: InstanceId,
    /// The planned change of each target that needs one.
    pub targets: BTreeMap<TargetId, Planned>,
    /// The reported roles of engines other than mixed ones.
    pub roles: BTreeMap<TargetId, Role>,
}

/// The planned change of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planned {
    /// Whether the target still serves or is drained.
    pub stage: Stage,
    /// The state that an order establishes after the drain; `None` for a drain alone.
    pub wanted: Option<Wanted>,
    /// The reason for the change and, if it waits, what it waits for; shown to operators.
    pub reason: String,
    /// The revision of the configuration in force when the target entered the plan.
    pub edit: Revision,
    /// The wall-clock time at which the stage began, in milliseconds since 1970.
    pub since: Millis,
}

/// The stage of a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The target still serves and the change waits.
    Waiting,
    /// The target receives no new requests.
    Drained,
}

/// The state of a target as known to the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedTarget {
    /// The model or plain service that the target serves.
    pub service: ServiceName,
    /// The failure domain that the target belongs to.
    pub domain: DomainName,
    /// Whether the target is on the platform's instance list and not marked there as leaving.
    pub live: bool,
    /// Whether the target is a model engine, which reports its state, or a plain service.
    pub engine: bool,
    /// The latest report; `None` if no recent one is known.
    pub report: Option<EngineReport>,
    /// Whether an intent for the target is written and not done.
    pub pending: bool,
}

/// The changes that configuration and role planner require, and the limits on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Requirements {
    /// The revision of the configuration.
    pub edit: Revision,
    /// The targets that operators want to drain within the limits, with the verb that the reason
    /// shows. Immediate drains bypass the plan and are not among them.
    pub drains: BTreeMap<TargetId, &'static str>,
    /// The wanted version of each model.
    pub versions: BTreeMap<ServiceName, String>,
    /// The wanted roles of engines, from the role planner.
    pub roles: BTreeMap<TargetId, Role>,
    /// The number of targets of each model or service that planned changes must leave serving.
    pub min_serving: BTreeMap<ServiceName, usize>,
    /// The number of targets of one service that may be drained at the same time.
    pub max_unavailable: usize,
    /// The number of targets of one failure domain that may be drained at the same time.
    pub per_domain: usize,
    /// Whether a maintenance window is open.
    pub window_open: bool,
}

/// A change that one target requires.
struct RequiredChange {
    /// The state that an order establishes; `None` for a drain alone.
    wanted: Option<Wanted>,
    /// The reason for the change, shown to operators.
    reason: String,
    /// Whether the change may start only while a maintenance window is open.
    needs_window: bool,
}

/// Returns the plan that follows the one in force.
///
/// The result depends on the arguments alone, so that the next planner can continue from the
/// written plan if this one fails. No further target is drained while that would exceed a limit or
/// the change needs a maintenance window and none is open. A drained target serves again as soon as
/// it requires no change. `wall_ms`, the wall-clock time in milliseconds since 1970, only dates the
/// stages that begin.
#[must_use]
pub fn next_plan(
    plan: &Plan,
    requirements: &Requirements,
    observed: &BTreeMap<TargetId, ObservedTarget>,
    wall_ms: Millis,
) -> Plan {
    let planner = plan.planner.clone();
    let mut next = Plan {
        planner,
        targets: BTreeMap::new(),
        roles: roles_of(observed),
    };
    let mut availability = Availability::new(plan, observed);
    for (id, target) in observed {
        let Some(change) = required_change(id, target, requirements, plan) else {
            availability.mark_returned(id, target, plan);
            continue;
        };
        let old = plan.targets.get(id);
        let drained = old.is_some_and(|old| old.stage == Stage::Drained);
        let wait = if drained {
            None
        } else {
            availability.deferral_reason(target, &change, requirements)
        };
        let (stage, reason) = match wait {
            None => (Stage::Drained, change.reason),
            Some(wait) => (Stage::Waiting, format!("{}; waits: {wait}", change.reason)),
        };
        if stage == Stage::Drained && !drained {
            availability.mark_drained(target);
        }
        let since = match old {
            Some(old) if old.stage == stage => old.since,
            _ => wall_ms,
        };
        let edit = old.map_or(requirements.edit, |old| old.edit);
        next.targets.insert(
            id.clone(),
            Planned {
                stage,
                wanted: change.wanted,
                reason,
                edit,
                since,
            },
        );
    }
    next
}

/// Returns the most urgent change that a target requires: a drain requested by an operator, then a
/// change already started, then a version, then a role.
fn required_change(
    id: &TargetId,
    target: &ObservedTarget,
    requirements: &Requirements,
    plan: &Plan,
) -> Option<RequiredChange> {
    if let Some(verb) = requirements.drains.get(id) {
        let reason = format!("maintenance asks to {verb} it");
        return Some(RequiredChange {
            wanted: None,
            reason,
            needs_window: true,
        });
    }
    let report = target.report.as_ref();
    // A change that has started is completed first, even if it is no longer required.
    let started = plan
        .targets
        .get(id)
        .filter(|planned| planned.stage == Stage::Drained);
    let Some(report) = report else {
        // A target without a recent report stays drained if its started change includes an order.
        let wanted = started?.wanted.clone()?;
        let reason = "it does not answer in the middle of a change".to_owned();
        return Some(RequiredChange {
            wanted: Some(wanted),
            reason,
            needs_window: false,
        });
    };
    if let Some(wanted) = started.and_then(|started| started.wanted.as_ref())
        && (target.pending || !report.satisfies(wanted) || report.half_done != 0 || report.away)
    {
        let reason = format!("{} {} is under way", wanted.kind.as_str(), wanted.value);
        return Some(RequiredChange {
            wanted: Some(wanted.clone()),
            reason,
            needs_window: false,
        });
    }
    if let Some(version) = requirements.versions.get(&target.service) {
        let wanted = Wanted {
            kind: OrderKind::SetVersion,
            value: version.clone(),
        };
        if !report.satisfies(&wanted) || report.half_done != 0 {
            let reason = format!("version {} is to become {version}", report.version);
            return Some(RequiredChange {
                wanted: Some(wanted),
                reason,
                needs_window: true,
            });
        }
    }
    if let Some(role) = requirements.roles.get(id) {
        let wanted = Wanted {
            kind: OrderKind::SetRole,
            value: role.as_str().to_owned(),
        };
        if !report.satisfies(&wanted) || report.half_done != 0 {
            let reason = format!("role {} is to become {}", report.role, role.as_str());
            return Some(RequiredChange {
                wanted: Some(wanted),
                reason,
                needs_window: false,
            });
        }
    }
    None
}

/// Returns the roles that engines report, without those of mixed engines.
fn roles_of(observed: &BTreeMap<TargetId, ObservedTarget>) -> BTreeMap<TargetId, Role> {
    let mut roles = BTreeMap::new();
    for (id, target) in observed {
        let role = target
            .report
            .as_ref()
            .and_then(|report| Role::parse(&report.role));
        if let Some(role) = role
            && role != Role::Mixed
        {
            roles.insert(id.clone(), role);
        }
    }
    roles
}

/// The numbers of drained and of serving targets, against which the limits are checked.
struct Availability {
    /// The number of drained targets of each service.
    drained_by_service: BTreeMap<ServiceName, usize>,
    /// The number of drained targets of each failure domain.
    drained_by_domain: BTreeMap<DomainName, usize>,
    /// The number of targets of each service that serve and are not drained.
    serving: BTreeMap<ServiceName, usize>,
}

impl Availability {
    /// Counts the observed targets under the plan in force.
    fn new(plan: &Plan, observed: &BTreeMap<TargetId, ObservedTarget>) -> Self {
        let mut availability = Self {
            drained_by_service: BTreeMap::new(),
            drained_by_domain: BTreeMap::new(),
            serving: BTreeMap::new(),
        };
        let drained: BTreeSet<&TargetId> = plan
            .targets
            .iter()
            .filter(|(_, planned)| planned.stage == Stage::Drained)
            .map(|(id, _)| id)
            .collect();
        for (id, target) in observed {
            if target.is_serving() {
                *availability
                    .serving
                    .entry(target.service.clone())
                    .or_default() += 1;
            }
            if drained.contains(id) {
                availability.mark_drained(target);
            }
        }
        availability
    }

    /// Counts a target as drained and, if it served, as no longer serving.
    fn mark_drained(&mut self, target: &ObservedTarget) {
        *self
            .drained_by_service
            .entry(target.service.clone())
            .or_default() += 1;
        *self
            .drained_by_domain
            .entry(target.domain.clone())
            .or_default() += 1;
        if target.is_serving() {
            let serving = self.serving.entry(target.service.clone()).or_default();
            *serving = serving.saturating_sub(1);
        }
    }

    /// Counts a serving target that the plan in force drains as serving again, for the minimum that
    /// must serve. For the limits on drained targets, it counts as drained until the next plan.
    fn mark_returned(&mut self, id: &TargetId, target: &ObservedTarget, plan: &Plan) {
        let drained = plan
            .targets
            .get(id)
            .is_some_and(|old| old.stage == Stage::Drained);
        if drained && target.is_serving() {
            *self.serving.entry(target.service.clone()).or_default() += 1;
        }
    }

    /// Returns the reason why a change of a target has to wait; `None` if it can start.
    fn deferral_reason(
        &self,
        target: &ObservedTarget,
        change: &RequiredChange,
        requirements: &Requirements,
    ) -> Option<String> {
        if change.needs_window && !requirements.window_open {
            return Some("no maintenance window is open".to_owned());
        }
        let drained = self
            .drained_by_service
            .get(&target.service)
            .copied()
            .unwrap_or_default();
        if drained >= requirements.max_unavailable {
            return Some(format!("{drained} of {} are away already", target.service));
        }
        let domain_drained = self
            .drained_by_domain
            .get(&target.domain)
            .copied()
            .unwrap_or_default();
        if domain_drained >= requirements.per_domain {
            return Some(format!(
                "{domain_drained} of {} are away already",
                target.domain
            ));
        }
        let minimum = requirements
            .min_serving
            .get(&target.service)
            .copied()
            .unwrap_or_default();
        let serving = self
            .serving
            .get(&target.service)
            .copied()
            .unwrap_or_default();
        if target.is_serving() && serving <= minimum {
            return Some(format!(
                "{serving} serve {}, and {minimum} must",
                target.service
            ));
        }
        None
    }
}

impl ObservedTarget {
    /// Returns whether the target serves: it is live and, if it is an engine, has a recent report
    /// that does not show it as away.
    fn is_serving(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|report| !report.away);
        self.live && (!self.engine || reported)
    }
}
