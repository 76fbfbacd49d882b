//! Which targets and instances a run has, and where they are.

use std::collections::BTreeMap;

use cactuslane_platform::site::{DisruptionKind, Repetition, RouteShape, ServiceShape, Shape};
use cactuslane_platform_standin::{Place, TargetKind};

use crate::load::{self, RequestKind, Size};
use crate::options::Options;

/// Failure domain of instances and targets where no deployment is given.
const DOMAIN: &str = "a";
/// Number of targets of a kind of which one is a task within the soak, so that its links and drains
/// can be disturbed; the others are processes.
const TASK_INTERVAL: usize = 3;
/// Targets of the stand-in's deployment whose software has the second version at first.
const SECOND_TARGETS: [&str; 5] = ["i-p2", "i-d2", "i-s2", "i-s4", "i-q2"];
/// Factor on the requests per second of a route that gives its weight in the load.
const WEIGHT_FACTOR: f64 = 1000.0;

/// The targets and instances of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Targets that are tasks within the soak.
    pub tasks: Vec<TargetSpec>,
    /// Targets that are processes.
    pub processes: Vec<TargetSpec>,
    /// Failure domain of each instance.
    pub domains: Vec<String>,
}

/// A target of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// First id.
    pub id: String,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Place in the deployment; that of its kind in the stand-in's deployment if `None`.
    pub place: Option<Place>,
    /// Whether its software has the second version, and the first one otherwise.
    pub is_second: bool,
}

impl Layout {
    /// Returns the layout of a run.
    #[must_use]
    pub fn of(options: &Options) -> Self {
        let Some(shape) = &options.shape else {
            return Self::of_standin(options);
        };
        let mut layout = Self {
            tasks: Vec::new(),
            processes: Vec::new(),
            domains: shape.domains(),
        };
        for (number, service) in shape.services.iter().enumerate() {
            layout.add_service(number, service, options.target_processes);
        }
        layout
    }

    /// Returns the layout of a run without a deployment of its own.
    fn of_standin(options: &Options) -> Self {
        let spec = |(id, kind): (&str, TargetKind)| TargetSpec {
            id: id.to_owned(),
            kind,
            place: None,
            is_second: options.target_processes && SECOND_TARGETS.contains(&id),
        };
        let tasks = [
            ("i-w1", TargetKind::Plain),
            ("i-w2", TargetKind::Plain),
            ("i-w3", TargetKind::Plain),
            ("i-p1", TargetKind::Prefill),
            ("i-p2", TargetKind::Prefill),
            ("i-d1", TargetKind::Decode),
            ("i-d2", TargetKind::Decode),
            ("i-d3", TargetKind::Decode),
        ];
        let mut processes = Vec::new();
        if options.target_processes {
            processes.extend([
                ("i-x1", TargetKind::Plain),
                ("i-x2", TargetKind::Plain),
                ("i-s1", TargetKind::Decode),
                ("i-s2", TargetKind::Decode),
                ("i-x3", TargetKind::Plain),
                ("i-s3", TargetKind::Decode),
                ("i-s4", TargetKind::Decode),
                ("i-q1", TargetKind::Prefill),
                ("i-q2", TargetKind::Prefill),
            ]);
        }
        Self {
            tasks: tasks.into_iter().map(spec).collect(),
            processes: processes.into_iter().map(spec).collect(),
            domains: vec![DOMAIN.to_owned(); options.instances],
        }
    }

    /// Adds the targets of a service, of which every other one of a kind has the second version.
    fn add_service(&mut self, service: usize, shape: &ServiceShape, has_processes: bool) {
        let total: usize = shape.targets.values().sum();
        let prefill_count = shape.engine.map_or(0, |engine| {
            let count = (total as f64 * engine.prefill).round() as usize;
            count.clamp(1, total.saturating_sub(1).max(1))
        });
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (number, domain) in spread(&shape.targets).into_iter().enumerate() {
            let (kind, letter) = match shape.engine {
                None => (TargetKind::Plain, "w"),
                Some(_) if number < prefill_count => (TargetKind::Prefill, "p"),
                Some(_) => (TargetKind::Decode, "d"),
            };
            let count = counts.entry(letter).or_default();
            let spec = TargetSpec {
                id: format!("i-{service}{letter}{number}"),
                kind,
                place: Some(Place {
                    service: shape.name.clone(),
                    domain,
                    slots: shape.slots,
                }),
                is_second: has_processes && *count % 2 == 1 && kind != TargetKind::Plain,
            };
            let is_task = kind == TargetKind::Prefill || count.is_multiple_of(TASK_INTERVAL);
            *count += 1;
            if is_task || !has_processes {
                self.tasks.push(spec);
            } else {
                self.processes.push(spec);
            }
        }
    }
}

/// Returns the kinds of requests of a run: those of the routes of the deployment, or of the
/// stand-in's configuration.
#[must_use]
pub fn kinds(shape: Option<&Shape>) -> Vec<RequestKind> {
    let Some(shape) = shape else {
        return load::kinds();
    };
    shape.routes.iter().map(kind).collect()
}

/// Returns the names of the disruptions of a deployment that no run plays.
#[must_use]
pub fn not_played(shape: &Shape) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for disruption in &shape.disruptions {
        let name = format!("{:?}", disruption.kind);
        if !is_played(disruption.kind) && !names.contains(&name) {
            names.push(name);
        }
    }
    names
}

/// Returns whether an action of a plan or the form of some requests plays a kind of disruption, with
/// figures of its own.
fn is_played(kind: DisruptionKind) -> bool {
    match kind {
        DisruptionKind::KillInstances
        | DisruptionKind::KillTogether
        | DisruptionKind::FreezeInstances
        | DisruptionKind::StopInstances
        | DisruptionKind::Reload
        | DisruptionKind::CutStore
        | DisruptionKind::CutInstances
        | DisruptionKind::LoseOnLinks
        | DisruptionKind::ResetConnections
        | DisruptionKind::StoreDown
        | DisruptionKind::StoreLosing
        | DisruptionKind::Compact
        | DisruptionKind::Change
        | DisruptionKind::KillTargets
        | DisruptionKind::ReplaceTargets
        | DisruptionKind::RemoveTargets
        | DisruptionKind::FailRequests
        | DisruptionKind::LoseAnswers
        | DisruptionKind::WrongBytes
        | DisruptionKind::GiveUp
        | DisruptionKind::RepeatAtOnce
        | DisruptionKind::Burst => true,
        DisruptionKind::AddInstances
        | DisruptionKind::ReplaceInstances
        | DisruptionKind::KillAfterChange
        | DisruptionKind::SlowInstances
        | DisruptionKind::StepClock
        | DisruptionKind::StoreSlow
        | DisruptionKind::Changes
        | DisruptionKind::Enlarge
        | DisruptionKind::LateOrders
        | DisruptionKind::DropHandles
        | DisruptionKind::SlowTransfers => false,
    }
}

/// Returns the requests of a route.
fn kind(route: &RouteShape) -> RequestKind {
    RequestKind {
        path: format!("/{}/1", route.name),
        weight: (route.rate * WEIGHT_FACTOR).round() as u32,
        stream: matches!(route.repetition, Repetition::Resumable | Repetition::Stream),
        once: matches!(route.repetition, Repetition::Stream | Repetition::Once),
        deadline: Some(route.deadline),
        timeout: Some(route.timeout),
        size: route.stream.map(|stream| Size {
            shared_tokens: stream.shared_tokens as u32,
            own_tokens: stream.own_tokens as u32,
            parts: (stream.parts as u32).max(1),
            events: (stream.events as u32).max(1),
        }),
        is_read: route.method == "GET",
    }
}

/// Returns the numbers of the targets that send streams.
#[must_use]
pub fn streaming(targets: &[TargetSpec]) -> Vec<usize> {
    let sends = |number: &usize| targets[*number].kind == TargetKind::Decode;
    (0..targets.len()).filter(sends).collect()
}

/// Returns the failure domain of each target, one domain after the other.
fn spread(targets: &BTreeMap<String, usize>) -> Vec<String> {
    let mut domains = Vec::new();
    for round in 0..targets.values().copied().max().unwrap_or(0) {
        for (domain, _) in targets.iter().filter(|(_, count)| **count > round) {
            domains.push(domain.clone());
        }
    }
    domains
}
