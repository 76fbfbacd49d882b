//! Planned changes: which targets are drained now, which orders they get, and why others wait.
//!
//! The planner's owner runs [`next_plan`] and writes the result; every instance routes by it. A
//! target is drained first, everywhere; its owner sends a disruptive order only when every listed
//! instance has the plan in force and the target has no streams.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_types::{DomainName, InstanceId, Millis, Revision, Role, ServiceName, TargetId};
use serde::{Deserialize, Serialize};

use crate::orders::{EngineReport, OrderKind, Wanted};

/// The plan in force, as the service holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The instance that holds the planner's office.
    #[serde(default)]
    pub planner: InstanceId,
    /// Holds what is planned for targets.
    pub targets: BTreeMap<TargetId, Planned>,
    /// Holds the roles of engines that are not mixed.
    pub roles: BTreeMap<TargetId, Role>,
}

/// What is planned for one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planned {
    /// The stage.
    pub stage: Stage,
    /// The order that follows the drain, if one does.
    pub wanted: Option<Wanted>,
    /// Says why it is done or why it waits.
    pub reason: String,
    /// The revision of the configuration that asked for it.
    pub edit: Revision,
    /// The wall-clock time at which the stage began, in milliseconds.
    pub since: Millis,
}

/// The stage of a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The target serves; the change waits.
    Waiting,
    /// The target gets no new work.
    Drained,
}

/// A target as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The model or plain service.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: DomainName,
    /// Says whether the instance list shows it as live.
    pub live: bool,
    /// Says whether it is a model engine, which reports its state.
    pub engine: bool,
    /// What it last reported; none if it did not answer lately.
    pub report: Option<EngineReport>,
    /// Says whether an intent for it is written and not done.
    pub pending: bool,
}

/// What the configuration asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Aims {
    /// The revision of the configuration.
    pub edit: Revision,
    /// Holds the targets that operators want away, with the word for it.
    pub drains: BTreeMap<TargetId, &'static str>,
    /// Holds the wanted version of each model.
    pub versions: BTreeMap<ServiceName, String>,
    /// Holds the wanted roles, from the role planner.
    pub roles: BTreeMap<TargetId, Role>,
    /// Holds the number of targets that must go on serving, for each model or service.
    pub min_serving: BTreeMap<ServiceName, usize>,
    /// The number of targets of one service that may be away at once.
    pub max_unavailable: usize,
    /// The number of targets of one failure domain that may be away at once.
    pub per_domain: usize,
    /// Says whether a window for planned work is open.
    pub open: bool,
}

/// A change that one target needs.
struct Need {
    /// The order, or none for a drain alone.
    wanted: Option<Wanted>,
    /// Says why.
    reason: String,
    /// Says whether it waits for a window.
    windowed: bool,
}

/// Returns the plan that follows from the one in force.
///
/// It is a pure function of what is seen, so a planner that dies is followed by another that
/// goes on from the written plan. No target is added while the fleet cannot spare it; a target
/// that is drained goes back as soon as nothing more is asked of it.
#[must_use]
pub fn next_plan(plan: &Plan, aims: &Aims, seen: &BTreeMap<TargetId, Seen>, wall: Millis) -> Plan {
    let planner = plan.planner.clone();
    let mut next = Plan {
        planner,
        targets: BTreeMap::new(),
        roles: roles_of(seen),
    };
    let mut away = Away::new(plan, seen);
    for (id, target) in seen {
        let Some(need) = need_of(id, target, aims, plan) else {
            away.returned(id, target, plan);
            continue;
        };
        let old = plan.targets.get(id);
        let drained = old.is_some_and(|old| old.stage == Stage::Drained);
        let wait = if drained {
            None
        } else {
            away.why_wait(target, &need, aims)
        };
        let (stage, reason) = match wait {
            None => (Stage::Drained, need.reason),
            Some(wait) => (Stage::Waiting, format!("{}; waits: {wait}", need.reason)),
        };
        if stage == Stage::Drained && !drained {
            away.add(target);
        }
        let since = match old {
            Some(old) if old.stage == stage => old.since,
            _ => wall,
        };
        let edit = old.map_or(aims.edit, |old| old.edit);
        next.targets.insert(
            id.clone(),
            Planned {
                stage,
                wanted: need.wanted,
                reason,
                edit,
                since,
            },
        );
    }
    next
}

/// Returns what a target needs, the most urgent first.
fn need_of(id: &TargetId, target: &Seen, aims: &Aims, plan: &Plan) -> Option<Need> {
    if let Some(word) = aims.drains.get(id) {
        let reason = format!("maintenance asks to {word} it");
        return Some(Need {
            wanted: None,
            reason,
            windowed: true,
        });
    }
    let report = target.report.as_ref();
    // What was started is brought to its end first, even if nobody wants it any more.
    let started = plan
        .targets
        .get(id)
        .filter(|planned| planned.stage == Stage::Drained);
    let Some(report) = report else {
        // A target that does not answer in the middle of a change stays drained.
        let wanted = started?.wanted.clone()?;
        let reason = "it does not answer in the middle of a change".to_owned();
        return Some(Need {
            wanted: Some(wanted),
            reason,
            windowed: false,
        });
    };
    if let Some(wanted) = started.and_then(|started| started.wanted.as_ref())
        && (target.pending || !report.has(wanted) || report.half_done != 0 || report.away)
    {
        let reason = format!("{} {} is under way", wanted.kind.as_str(), wanted.value);
        return Some(Need {
            wanted: Some(wanted.clone()),
            reason,
            windowed: false,
        });
    }
    if let Some(version) = aims.versions.get(&target.service) {
        let wanted = Wanted {
            kind: OrderKind::SetVersion,
            value: version.clone(),
        };
        if !report.has(&wanted) || report.half_done != 0 {
            let reason = format!("version {} is to become {version}", report.version);
            return Some(Need {
                wanted: Some(wanted),
                reason,
                windowed: true,
            });
        }
    }
    if let Some(role) = aims.roles.get(id) {
        let wanted = Wanted {
            kind: OrderKind::SetRole,
            value: role.as_str().to_owned(),
        };
        if !report.has(&wanted) || report.half_done != 0 {
            let reason = format!("role {} is to become {}", report.role, role.as_str());
            return Some(Need {
                wanted: Some(wanted),
                reason,
                windowed: false,
            });
        }
    }
    None
}

/// Returns the roles that engines report, but for mixed ones.
fn roles_of(seen: &BTreeMap<TargetId, Seen>) -> BTreeMap<TargetId, Role> {
    let mut roles = BTreeMap::new();
    for (id, target) in seen {
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

/// Counts what is away and what serves.
struct Away {
    /// Holds the number of drained targets of each service.
    services: BTreeMap<ServiceName, usize>,
    /// Holds the number of drained targets of each failure domain.
    domains: BTreeMap<DomainName, usize>,
    /// Holds the number of serving targets of each service.
    serving: BTreeMap<ServiceName, usize>,
}

impl Away {
    /// Counts the targets under a plan.
    fn new(plan: &Plan, seen: &BTreeMap<TargetId, Seen>) -> Self {
        let mut away = Self {
            services: BTreeMap::new(),
            domains: BTreeMap::new(),
            serving: BTreeMap::new(),
        };
        let drained: BTreeSet<&TargetId> = plan
            .targets
            .iter()
            .filter(|(_, planned)| planned.stage == Stage::Drained)
            .map(|(id, _)| id)
            .collect();
        for (id, target) in seen {
            if target.is_serving() {
                *away.serving.entry(target.service.clone()).or_default() += 1;
            }
            if drained.contains(id) {
                away.add(target);
            }
        }
        away
    }

    /// Counts a target as drained.
    fn add(&mut self, target: &Seen) {
        *self.services.entry(target.service.clone()).or_default() += 1;
        *self.domains.entry(target.domain.clone()).or_default() += 1;
        if target.is_serving() {
            let serving = self.serving.entry(target.service.clone()).or_default();
            *serving = serving.saturating_sub(1);
        }
    }

    /// Counts a target that was drained as back.
    fn returned(&mut self, id: &TargetId, target: &Seen, plan: &Plan) {
        let drained = plan
            .targets
            .get(id)
            .is_some_and(|old| old.stage == Stage::Drained);
        if drained && target.is_serving() {
            *self.serving.entry(target.service.clone()).or_default() += 1;
        }
    }

    /// Returns why a change of a target waits, if it does.
    fn why_wait(&self, target: &Seen, need: &Need, aims: &Aims) -> Option<String> {
        if need.windowed && !aims.open {
            return Some("no maintenance window is open".to_owned());
        }
        let away = self
            .services
            .get(&target.service)
            .copied()
            .unwrap_or_default();
        if away >= aims.max_unavailable {
            return Some(format!("{away} of {} are away already", target.service));
        }
        let near = self
            .domains
            .get(&target.domain)
            .copied()
            .unwrap_or_default();
        if near >= aims.per_domain {
            return Some(format!("{near} of {} are away already", target.domain));
        }
        let least = aims
            .min_serving
            .get(&target.service)
            .copied()
            .unwrap_or_default();
        let serving = self
            .serving
            .get(&target.service)
            .copied()
            .unwrap_or_default();
        if target.is_serving() && serving <= least {
            return Some(format!(
                "{serving} serve {}, and {least} must",
                target.service
            ));
        }
        None
    }
}

impl Seen {
    /// Returns whether the target serves, as far as is known.
    fn is_serving(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|report| !report.away);
        self.live && (!self.engine || reported)
    }
}
