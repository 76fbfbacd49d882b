//! The routers, queues and limits of one instance, kept in step with the documents.

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
use cactuslane_store::list::{Listed, ListedKind};
use cactuslane_types::{Millis, Role, ServiceName, TargetId, TargetKind};

use crate::shared::Shared;

/// Holds what routing knows.
#[derive(Debug)]
pub struct Routing {
    /// Holds a router for each model and plain service.
    pub routers: BTreeMap<ServiceName, Router>,
    /// Holds a queue for each model.
    pub queues: BTreeMap<ServiceName, FairQueue>,
    /// Holds the use of each caller.
    pub limits: CallerLimits,
    /// Measures callers' shares of the admitted work.
    pub shares: CallerShares,
    /// Bounds retries.
    pub retries: RetryBudget,
    /// Learns the length of answers.
    pub outputs: OutputEstimator,
    /// Counts the work of each model since it was last taken: prompt and output tokens.
    pub token_counts: BTreeMap<ServiceName, (u64, u64)>,
    /// Holds all listed targets.
    targets: BTreeMap<TargetId, ListedTarget>,
    /// The number of instances that route to the same targets.
    instances: usize,
    /// Seeds the routers.
    seed: u64,
    /// Holds the targets that get no new work, by configuration and plan.
    drained: BTreeSet<TargetId>,
    /// Holds the roles of engines, by the plan.
    roles: BTreeMap<TargetId, Role>,
    /// Holds the names of the configured models and services.
    services: Vec<ServiceName>,
}

/// A target of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Its address.
    pub address: SocketAddr,
    /// Its kind.
    pub kind: TargetKind,
    /// Its failure domain.
    pub domain: String,
    /// What it serves.
    pub service: ServiceName,
    /// Says whether the list shows it as leaving.
    pub leaving: bool,
}

/// A dispatch in progress; dropping it ends it in the picture.
#[derive(Debug)]
pub struct Dispatch {
    /// The state that holds the picture.
    shared: Arc<Shared>,
    /// The model or service.
    service: ServiceName,
    /// The dispatch in that picture.
    id: DispatchId,
}

impl Routing {
    /// Creates routing that knows no target.
    pub fn new(seed: u64) -> Self {
        Self {
            routers: BTreeMap::new(),
            queues: BTreeMap::new(),
            limits: CallerLimits::default(),
            shares: CallerShares::default(),
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

    /// Takes in the documents in force.
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

    /// Takes in the instance list.
    pub fn set_targets(&mut self, instance: &str, list: &[Listed]) {
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

    /// Takes in the number of instances that serve.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
        for router in self.routers.values_mut() {
            router.fleet.instances = self.instances;
        }
    }

    /// Takes in what another instance has in progress.
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

    /// Forgets what an instance that is gone had in progress.
    pub fn remove_peer(&mut self, from: &str) {
        for router in self.routers.values_mut() {
            router.fleet.remove_peer(from);
        }
    }

    /// Returns all listed targets.
    pub fn targets(&self) -> &BTreeMap<TargetId, ListedTarget> {
        &self.targets
    }

    /// Returns the targets that this instance routes to.
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

    /// Returns the address of a target.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.targets.get(id).map(|target| target.address)
    }

    /// Returns whether no dispatch is left at the targets that a plan drains.
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

    /// Chooses the targets of each service that this instance routes to.
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

    /// Brings the routers' facts in step with list and plan.
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
    /// Takes over a dispatch that the picture holds.
    pub fn new(shared: &Arc<Shared>, service: &str, id: DispatchId) -> Self {
        Self {
            shared: Arc::clone(shared),
            service: service.to_owned(),
            id,
        }
    }

    /// Records the first token, or the answer of a plain service.
    pub fn record_answer(&self) {
        let now = self.shared.now();
        if let Some(router) = self.shared.routing().routers.get_mut(&self.service) {
            router.fleet.first_token(self.id, now);
        }
    }

    /// Records a failure of the target.
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

/// Builds the facts of a target.
fn facts(target: &ListedTarget, serving: bool, role: Role) -> TargetFacts {
    TargetFacts {
        domain: target.domain.clone(),
        service: target.service.clone(),
        role,
        serving,
    }
}
