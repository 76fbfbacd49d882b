//! The routers, queues and limits of one instance, updated from the configuration, the plan and the
//! instance list.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use cactuslane_authority::Plan;
use cactuslane_authority::plan::Stage;
use cactuslane_config::{Document, Drain};
use cactuslane_member::WorkRecord;
use cactuslane_route::fleet_view::WorkInProgress;
use cactuslane_route::{
    CallerLimits, CallerShares, DispatchId, FairQueue, OutputEstimator, RetryBudget, Router,
    TargetFacts, subset,
};
use cactuslane_store::list::{ListedInstance, ListedKind};
use cactuslane_types::{Millis, Role, ServiceName, TargetId, TargetKind};

use crate::shared::Shared;

/// The routing state of one instance.
#[derive(Debug)]
pub struct Routing {
    /// The router of each model and plain service with listed targets.
    pub routers: BTreeMap<ServiceName, Router>,
    /// The queue of each model, for requests that wait for a target.
    pub queues: BTreeMap<ServiceName, FairQueue>,
    /// The limits of callers and the demand measured for them.
    pub limits: CallerLimits,
    /// The callers' shares of the recently admitted work; under overload, those above their fair
    /// share are refused first.
    pub shares: CallerShares,
    /// The budget of retries, common to all models and services.
    pub retries: RetryBudget,
    /// The estimator of answer lengths, for the memory to reserve at engines.
    pub outputs: OutputEstimator,
    /// The prompt and output tokens of each model's completed answers since the authority task last
    /// took the counts.
    pub token_counts: BTreeMap<ServiceName, (u64, u64)>,
    /// All targets of the instance list.
    targets: BTreeMap<TargetId, ListedTarget>,
    /// The number of alive instances, this one included; all are assumed to route to the same
    /// targets.
    instances: usize,
    /// The seed of the routers' random generators.
    seed: u64,
    /// The targets that get no new work, by configuration and plan.
    drained: BTreeSet<TargetId>,
    /// The roles of engines by the plan.
    roles: BTreeMap<TargetId, Role>,
    /// The names of the configured models and services; targets of others get no work.
    services: Vec<ServiceName>,
}

/// A target of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// The address for requests, load reports and orders.
    pub address: SocketAddr,
    /// Whether it is an engine or a plain service.
    pub kind: TargetKind,
    /// The failure domain in which it runs.
    pub domain: String,
    /// The model or plain service that it serves.
    pub service: ServiceName,
    /// Whether the instance list shows it as leaving; it then gets no new work.
    pub leaving: bool,
}

/// A guard for a dispatch in progress; dropping it ends the dispatch in the router's fleet view.
#[derive(Debug)]
pub struct Dispatch {
    /// The state whose routing holds the dispatch.
    shared: Arc<Shared>,
    /// The model or plain service whose router holds the dispatch.
    service: ServiceName,
    /// The id of the dispatch in that router's fleet view.
    id: DispatchId,
}

impl Routing {
    /// Creates a routing state without targets, whose routers get the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            routers: BTreeMap::new(),
            queues: BTreeMap::new(),
            limits: CallerLimits::default(),
            shares: CallerShares::default(),
            // The share applies until a configuration is in force.
            retries: RetryBudget::new(0.1),
            outputs: OutputEstimator::default(),
            token_counts: BTreeMap::new(),
            targets: BTreeMap::new(),
            instances: 1,
            seed,
            drained: BTreeSet::new(),
            roles: BTreeMap::new(),
            services: Vec::new(),
        }
    }

    /// Applies the configuration and the plan in force.
    pub fn apply(&mut self, document: &Document, plan: &Plan) {
        self.retries.share = document.retry_share;
        self.services = document
            .models
            .keys()
            .chain(document.services.keys())
            .cloned()
            .collect();
        let drains = document.maintenance.drains.iter();
        let at_once = drains.filter(|(_, drain)| **drain == Drain::Now);
        self.drained = at_once.map(|(id, _)| id.clone()).collect();
        for (id, planned) in &plan.targets {
            if planned.stage == Stage::Drained {
                self.drained.insert(id.clone());
            }
        }
        self.roles.clone_from(&plan.roles);
        self.update_facts();
    }

    /// Replaces the targets by those of the instance list, and selects the ones that this instance,
    /// named `instance`, routes to.
    pub fn set_targets(&mut self, instance: &str, list: &[ListedInstance]) {
        self.targets.clear();
        for listed in list {
            let kind = match listed.kind {
                ListedKind::Entry => continue,
                ListedKind::Engine => TargetKind::Engine,
                ListedKind::Service => TargetKind::Service,
            };
            let target = ListedTarget {
                address: listed.address,
                kind,
                domain: listed.domain.clone(),
                service: listed.service.clone(),
                leaving: listed.leaving,
            };
            self.targets.insert(listed.instance.clone(), target);
        }
        self.choose_subsets(instance);
        self.update_facts();
    }

    /// Sets the number of alive instances, this one included; at least 1 is assumed.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
        for router in self.routers.values_mut() {
            router.fleet.instances = self.instances;
        }
    }

    /// Records the work that another instance has in progress at this instance's targets.
    ///
    /// Every router gets the update, even an empty one, so that the other instance's work does not
    /// count as out of date there.
    pub fn record_peer_work(&mut self, from: &str, records: &[WorkRecord], now: Millis) {
        for router in self.routers.values_mut() {
            let mut peer_work = Vec::new();
            for record in records {
                if router.fleet.target(&record.target).is_none() {
                    continue;
                }
                let work = WorkInProgress {
                    queued: record.queued,
                    running: record.running,
                    context: record.context,
                    blocks: record.blocks,
                };
                peer_work.push((record.target.clone(), work));
            }
            router.fleet.record_peer_work(from, &peer_work, now);
        }
    }

    /// Removes the work in progress of an instance that is gone.
    pub fn remove_peer(&mut self, from: &str) {
        for router in self.routers.values_mut() {
            router.fleet.remove_peer(from);
        }
    }

    /// Returns all targets of the instance list, also those that this instance does not route to.
    pub fn targets(&self) -> &BTreeMap<TargetId, ListedTarget> {
        &self.targets
    }

    /// Returns the subset of the listed targets that this instance routes to.
    pub fn used_targets(&self) -> Vec<(TargetId, ListedTarget)> {
        let mut used = Vec::new();
        for router in self.routers.values() {
            for (id, _) in router.fleet.targets() {
                if let Some(target) = self.targets.get(id) {
                    used.push((id.clone(), target.clone()));
                }
            }
        }
        used
    }

    /// Returns the address of a listed target.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.targets.get(id).map(|target| target.address)
    }

    /// Returns whether this instance has no dispatch in progress at the targets that a plan drains.
    pub fn has_drained(&self, plan: &Plan) -> bool {
        let drained = plan
            .targets
            .iter()
            .filter(|(_, planned)| planned.stage == Stage::Drained);
        for (id, _) in drained {
            let busy = |router: &Router| router.fleet.outstanding(id) > 0;
            if self.routers.values().any(busy) {
                return false;
            }
        }
        true
    }

    /// Selects the subset of each service's targets that this instance routes to. They count as not
    /// serving until `update_facts` is called.
    fn choose_subsets(&mut self, instance: &str) {
        let mut by_service: BTreeMap<ServiceName, Vec<TargetId>> = BTreeMap::new();
        for (id, target) in &self.targets {
            by_service
                .entry(target.service.clone())
                .or_default()
                .push(id.clone());
        }
        for (service, ids) in &by_service {
            let chosen = subset::choose(instance, ids, subset::SUBSET_SIZE);
            let (seed, instances) = (self.seed, self.instances);
            let router = self
                .routers
                .entry(service.clone())
                .or_insert_with(|| Router::new(seed));
            router.fleet.instances = instances;
            router.fleet.retain(|id| chosen.contains(id));
            for id in chosen {
                let target = &self.targets[&id];
                router.fleet.set(&id, facts(target, false, Role::Mixed));
            }
        }
        self.routers
            .retain(|service, _| by_service.contains_key(service));
    }

    /// Updates the facts of the routers' targets from the instance list, the configuration and the
    /// plan.
    fn update_facts(&mut self) {
        for (service, router) in &mut self.routers {
            let configured = self.services.contains(service);
            let ids: Vec<TargetId> = router.fleet.targets().map(|(id, _)| id.clone()).collect();
            for id in ids {
                let Some(target) = self.targets.get(&id) else {
                    continue;
                };
                let serving = configured && !target.leaving && !self.drained.contains(&id);
                let role = self.roles.get(&id).copied().unwrap_or_default();
                router.fleet.set(&id, facts(target, serving, role));
            }
        }
    }
}

impl Dispatch {
    /// Creates the guard of a dispatch that the service's router has recorded as sent.
    pub fn new(shared: &Arc<Shared>, service: &str, id: DispatchId) -> Self {
        Self {
            shared: Arc::clone(shared),
            service: service.to_owned(),
            id,
        }
    }

    /// Records that the first token has arrived, or the answer of a plain service.
    pub fn record_answer(&self) {
        let now = self.shared.now();
        if let Some(router) = self.shared.routing().routers.get_mut(&self.service) {
            router.fleet.first_token(self.id, now);
        }
    }

    /// Records that the target has failed the dispatch, which ends it and counts for the target's
    /// health.
    pub fn record_failure(&self) {
        let now = self.shared.now();
        if let Some(router) = self.shared.routing().routers.get_mut(&self.service) {
            router.fleet.failed(self.id, now);
        }
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        if let Some(router) = self.shared.routing().routers.get_mut(&self.service) {
            router.fleet.done(self.id);
        }
    }
}

/// Builds the facts of a target; `serving` is whether it may get new work.
fn facts(target: &ListedTarget, serving: bool, role: Role) -> TargetFacts {
    TargetFacts {
        domain: target.domain.clone(),
        service: target.service.clone(),
        role,
        serving,
    }
}
