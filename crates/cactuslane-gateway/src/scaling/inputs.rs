//! What the decision on the number of targets is based on, as this instance knows it.

use std::time::Duration;

use cactuslane_flight::routing_config::{Route, RoutingConfig, ScalingSpec, Service};
use cactuslane_place::Placer;
use cactuslane_scaling::{Capacity, Observation, Status};
use cactuslane_types::{Millis, Role, ServiceName};

use crate::fleet::Fleet;
use crate::state::Gateway;

/// Share of the other instances whose recent updates must be known for the demand to be complete.
const HEARD_SHARE: f64 = 0.8;
/// Largest factor by which waiting counts in the time for one prompt token: prompts that share an
/// engine take somewhat longer than the fastest ones, and longer waiting is judged by the queues.
const MAX_WAITING: f64 = 1.25;

/// State of one service.
#[derive(Clone, Debug)]
pub struct ServiceInputs {
    /// Limits and prices.
    pub spec: ScalingSpec,
    /// What one target carries.
    pub capacity: Capacity,
    /// Demand of all instances together.
    pub observed: Observation,
    /// The registered targets, and how complete the knowledge is.
    pub status: Status,
    /// Number of other instances whose updates the demand includes.
    pub heard: usize,
    /// Age of the oldest of these updates, in milliseconds.
    pub age: Millis,
}

/// Returns the state of all services whose number of targets is ordered.
pub fn read_services(gateway: &Gateway, now: Millis) -> Vec<(ServiceName, ServiceInputs)> {
    let others = gateway.members().instance_count().saturating_sub(1);
    let Some(config) = gateway.routing_config() else {
        return Vec::new();
    };
    let progress = gateway.progress();
    let limit = gateway.knowledge_limit().as_millis() as Millis;
    let is_recent = progress.is_some_and(|known| {
        let seen = known.entries_seen.min(known.document_seen);
        now.saturating_sub(seen) <= limit
    });
    let fleet = gateway.fleet();
    let placer = gateway.placer();
    let (heard, age) = placer.load_view.update_age(now);
    let is_complete = is_recent && heard as f64 >= others as f64 * HEARD_SHARE;
    let mut services = Vec::new();
    for (name, service) in &config.services {
        let Some(spec) = &service.scaling else {
            continue;
        };
        let mut inputs = read_service(&fleet, &placer, name, service, spec, now);
        inputs.status.objective = objective(&config, name);
        inputs.status.is_complete = is_complete;
        (inputs.heard, inputs.age) = (heard, age);
        services.push((name.clone(), inputs));
    }
    services
}

/// Returns the state of one service, without what is the same for all of them.
fn read_service(
    fleet: &Fleet,
    placer: &Placer,
    name: &str,
    service: &Service,
    spec: &ScalingSpec,
    now: Millis,
) -> ServiceInputs {
    let mut status = Status::default();
    for domain in spec.prices.keys() {
        status.domains.entry(domain.clone()).or_default();
    }
    let mut observed = Observation {
        prompt_tokens: placer.load_view.all_placed().prompt_tokens,
        ..Observation::default()
    };
    let (mut slots, mut has_mixed) = (1, false);
    for target in fleet.registered(name) {
        let counts = status.domains.entry(target.domain.clone()).or_default();
        if target.reclaimable {
            counts.reclaimable += 1;
        } else {
            counts.ordinary += 1;
        }
        match target.role {
            Role::Prefill => status.prefill += 1,
            Role::Decode => status.decode += 1,
            Role::Mixed => has_mixed = true,
        }
        slots = slots.max(target.slots);
        let load = placer.load_view.load(&target.id, now);
        observed.queued_tokens += f64::from(load.prompt_tokens);
        if target.role.decodes() {
            observed.streams += f64::from(load.running);
            observed.kv_tokens += f64::from(load.kv_tokens);
        }
    }
    if has_mixed {
        (status.prefill, status.decode) = (0, 0);
    }
    let capacity = match &service.engine {
        Some(engine) => {
            let fastest = placer.speed.prefill_ms(1.0);
            let waiting = placer.speed.waiting_token_ms();
            Capacity {
                token_ms: waiting.clamp(fastest, fastest * MAX_WAITING),
                slots: f64::from(engine.slots),
                kv_tokens: engine.kv_capacity as f64,
            }
        }
        None => Capacity {
            token_ms: 0.0,
            slots: f64::from(slots),
            kv_tokens: 0.0,
        },
    };
    ServiceInputs {
        spec: spec.clone(),
        capacity,
        observed,
        status,
        heard: 0,
        age: 0,
    }
}

/// Returns the smallest latency objective of the routes to a service; zero if there is none.
fn objective(config: &RoutingConfig, service: &str) -> Duration {
    let leads = |route: &&Route| route.services.iter().any(|(name, _)| name == service);
    let routes = config.routes.iter().filter(leads);
    let objectives = routes.map(|route| route.latency_objective);
    objectives.min().unwrap_or_default()
}
