//! Orders by which the holder of the office changes the roles of engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_flight::target::Target;
use cactuslane_place::RolePlanner;
use cactuslane_platform::engine::{self, OrderAnswer};
use cactuslane_store::kv::Update;
use cactuslane_types::{Millis, Role, ServiceName, TargetId};
use hyper::Method;
use log::{info, warn};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};

use crate::control::LEASE_TTL;
use crate::engines::{self, CALL_TIMEOUT, CallError};
use crate::office::{Holder, LEADER, boot_millis};
use crate::ranking::is_top_ranked;
use crate::state::Gateway;

/// Interval between looks at the office and the demand.
const INTERVAL: Duration = Duration::from_millis(250);
/// Range of the wait before a vacant office is taken, in milliseconds.
const VACANCY: std::ops::Range<u64> = 50..900;
/// Number of instances that try to take a vacant office at first.
const CANDIDATES: usize = 3;
/// Time that these have before all others try.
const CANDIDATES_TIME: Duration = Duration::from_secs(4);
/// Time in which the other instances hear that an engine is about to change.
const NOTICE: Duration = Duration::from_millis(300);
/// Interval between looks at an engine that is changing.
const LOOK_INTERVAL: Duration = Duration::from_millis(700);
/// Time after which an engine that did not change is used as it is.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(9);
/// Part of the engines of a service that may change at once.
const CHANGING_PART: f64 = 0.25;

/// What the holder of the office remembers.
#[derive(Debug, Default)]
struct Desk {
    /// The plans by service.
    plans: BTreeMap<ServiceName, RolePlanner>,
    /// The engines that were to change, with their new role.
    ordered: BTreeMap<TargetId, Role>,
}

/// The engines of one service.
#[derive(Debug)]
struct Group {
    /// The service.
    service: ServiceName,
    /// The measures of its engines.
    engine: EngineSpec,
    /// Its engines.
    targets: Vec<Target>,
}

/// Takes the office when it is vacant and gives orders while it is held, until the instance leaves.
pub async fn hold_office(gateway: Arc<Gateway>) {
    let mut desk = Desk::default();
    let mut vacant_until: Option<Instant> = None;
    loop {
        sleep(INTERVAL).await;
        if gateway.is_leaving() {
            resign(&gateway).await;
            return;
        }
        if gateway.office().is_held(boot_millis()) {
            vacant_until = None;
            desk.work(&gateway);
            continue;
        }
        gateway.placer().load_view.set_changing(Vec::new());
        let me = gateway.holder();
        let gap = gateway.settings().order_gap.as_millis() as Millis;
        let ttl = LEASE_TTL.as_millis() as Millis;
        let Some(candidacy) = gateway.office().candidacy(&me, gap, ttl, boot_millis()) else {
            vacant_until = None;
            continue;
        };
        let random = || Instant::now() + Duration::from_millis(rand::rng().random_range(VACANCY));
        let until = *vacant_until.get_or_insert_with(random);
        let stood = Instant::now().saturating_duration_since(until);
        if Instant::now() < until || (!is_candidate(&gateway) && stood < CANDIDATES_TIME) {
            continue;
        }
        vacant_until = None;
        desk = Desk::default();
        match gateway.store.update(&candidacy.update).await {
            Ok(fencing) => {
                info!(fencing, settle_ms = candidacy.settle; "office taken");
                gateway
                    .office()
                    .acquired(fencing, candidacy.settle, boot_millis());
            }
            Err(error) => info!(error:% = error; "office not taken"),
        }
    }
}

/// Returns whether this instance is among the first that try to take the office.
#[must_use]
pub fn is_candidate(gateway: &Gateway) -> bool {
    let me = gateway.settings().instance.clone();
    let others = gateway.members().alive(gateway.now());
    is_top_ranked(&me, &others, LEADER, CANDIDATES)
}

/// Gives the office up, if it is held.
async fn resign(gateway: &Gateway) {
    if !gateway.office().resign() {
        return;
    }
    let update = Update {
        deletes: vec![LEADER.to_owned()],
        ..Update::default()
    };
    match gateway.store.update(&update).await {
        Ok(_) => info!("office given up"),
        Err(error) => warn!(error:% = error; "office given up, but its key stays until it lapses"),
    }
}

impl Desk {
    /// Orders the changes that pay now.
    fn work(&mut self, gateway: &Arc<Gateway>) {
        let now = gateway.now();
        let changing = gateway.placer().load_view.own_changing().to_vec();
        self.ordered.retain(|id, _| changing.contains(id));
        for group in groups(gateway) {
            let mut engines = engines(gateway, &group, now);
            let plan = self.plans.entry(group.service.clone()).or_default();
            let placed = gateway.placer().load_view.all_placed();
            let (streams, memory) = generating(gateway, &group, now);
            plan.observe(placed, streams, memory, &group.engine, now);
            let troubled = gateway.fleet().in_trouble(now);
            if troubled || gateway.office().may_order(boot_millis()).is_none() {
                continue;
            }
            let bound = (engines.len() as f64 * CHANGING_PART).ceil() as usize;
            let mut changing = 0;
            for (id, (role, _)) in &mut engines {
                if let Some(ordered) = self.ordered.get(id) {
                    *role = *ordered;
                    changing += 1;
                }
            }
            let most = bound.saturating_sub(changing);
            let speed = gateway.placer().speed;
            for change in plan.changes(&engines, &group.engine, speed, most, now) {
                let Some(target) = group.targets.iter().find(|t| t.id == change.target) else {
                    continue;
                };
                self.ordered.insert(target.id.clone(), change.role);
                info!(
                    target_id = target.id,
                    role:? = change.role,
                    engines = group.targets.len(),
                    token_us = (speed.prefill_ms(1.0) * 1000.0) as u64,
                    prompts:% = plan.demand().prefill,
                    streams:% = plan.demand().decode;
                    "role change planned"
                );
                let guard = ChangingGuard::new(gateway, &target.id);
                let task = carry_out(guard, target.clone(), change.role);
                tokio::spawn(task);
            }
        }
    }
}

/// Returns the groups of engines whose roles can be changed.
fn groups(gateway: &Gateway) -> Vec<Group> {
    let now = gateway.now();
    let fleet = gateway.fleet();
    let Some(document) = fleet.document() else {
        return Vec::new();
    };
    let mut groups = Vec::new();
    for (name, service) in &document.services {
        let Some(engine) = &service.engine else {
            continue;
        };
        let mut targets = Vec::new();
        for target in fleet.targets(name, None, now) {
            if target.role != Role::Mixed {
                targets.push(target.clone());
            }
        }
        groups.push(Group {
            service: name.clone(),
            engine: engine.clone(),
            targets,
        });
    }
    groups
}

/// Returns the roles and streams of a group's engines.
fn engines(gateway: &Gateway, group: &Group, now: Millis) -> BTreeMap<TargetId, (Role, usize)> {
    let placer = gateway.placer();
    let mut engines = BTreeMap::new();
    for target in &group.targets {
        let streams = placer.load_view.load(&target.id, now).running as usize;
        engines.insert(target.id.clone(), (target.role, streams));
    }
    engines
}

/// Returns the streams of a group's generating engines and the memory that they need, in tokens.
fn generating(gateway: &Gateway, group: &Group, now: Millis) -> (usize, u64) {
    let placer = gateway.placer();
    let (mut streams, mut memory) = (0, 0);
    for target in &group.targets {
        if !target.role.decodes() {
            continue;
        }
        let load = placer.load_view.load(&target.id, now);
        streams += load.running as usize;
        memory += u64::from(load.kv_tokens);
    }
    (streams, memory)
}

/// Changes the role of one engine, and keeps work away from it meanwhile.
async fn carry_out(guard: ChangingGuard, target: Target, role: Role) {
    let gateway = guard.gateway.clone();
    sleep(NOTICE).await;
    let report = match engines::report(&gateway, &target).await {
        Ok(report) => report,
        Err(error) => {
            warn!(target_id = target.id, error:? = error; "engine not asked, no order sent");
            return;
        }
    };
    if report.busy || report.role == role {
        info!(target_id = target.id, report:? = report; "order not needed now");
        return;
    }
    let answered = match order(&gateway, &target, role, report.orders).await {
        Ok(OrderAnswer::Accepted | OrderAnswer::Holds) => {
            gateway.metrics.count_order("accepted");
            true
        }
        Ok(answer) => {
            gateway.metrics.count_order("refused");
            info!(target_id = target.id, answer:? = answer; "order not accepted");
            return;
        }
        Err(CallError::Unsent(why)) => {
            gateway.metrics.count_order("unsent");
            info!(target_id = target.id, why; "order not sent");
            return;
        }
        Err(CallError::Unknown(why)) => {
            gateway.metrics.count_order("unanswered");
            warn!(target_id = target.id, why; "order may or may not be carried out");
            false
        }
    };
    let began = Instant::now();
    while began.elapsed() < CHANGE_TIMEOUT {
        sleep(LOOK_INTERVAL).await;
        let listed = gateway
            .target(&target.id)
            .is_some_and(|known| known.role == role);
        let Ok(report) = engines::report(&gateway, &target).await else {
            continue;
        };
        if !answered && report.role != role && !report.busy {
            info!(target_id = target.id; "order not carried out yet, engine used as before");
            return;
        }
        if listed && report.role == role && !report.busy {
            info!(target_id = target.id, role:? = role; "role changed");
            return;
        }
    }
    warn!(target_id = target.id, role:? = role; "role not changed in time");
}

/// Sends an order, if the office allows it at that moment.
async fn order(
    gateway: &Gateway,
    target: &Target,
    role: Role,
    orders: u64,
) -> Result<OrderAnswer, CallError> {
    let connection = gateway.pool.checkout(&target.id, target.address).await;
    let mut connection = connection.map_err(CallError::from)?;
    let Some(fencing) = gateway.office().may_order(boot_millis()) else {
        return Err(CallError::Unsent("the office is not held".to_owned()));
    };
    let Holder { instance, .. } = gateway.holder();
    let body = engine::order(role, &instance, fencing, orders);
    let request = engines::build_call(target, Method::POST, engine::ORDER_PATH, body);
    let response = timeout(CALL_TIMEOUT, connection.send(request)).await;
    let response = response.map_err(|_| CallError::Unknown("no answer in time".to_owned()))?;
    let response = response.map_err(CallError::from)?;
    let status = response.status().as_u16();
    info!(target_id = target.id, role:? = role, fencing, orders, status; "order sent");
    Ok(engine::order_answer(status))
}

/// Keeps an engine marked as changing until it is dropped.
#[derive(Debug)]
struct ChangingGuard {
    /// The instance.
    gateway: Arc<Gateway>,
    /// The engine.
    target: TargetId,
}

impl ChangingGuard {
    /// Marks an engine as changing.
    fn new(gateway: &Arc<Gateway>, target: &str) -> Self {
        let mut placer = gateway.placer();
        let mut changing = placer.load_view.own_changing().to_vec();
        changing.push(target.to_owned());
        placer.load_view.set_changing(changing);
        drop(placer);
        Self {
            gateway: gateway.clone(),
            target: target.to_owned(),
        }
    }
}

impl Drop for ChangingGuard {
    fn drop(&mut self) {
        let mut placer = self.gateway.placer();
        let mut changing = placer.load_view.own_changing().to_vec();
        changing.retain(|id| *id != self.target);
        placer.load_view.set_changing(changing);
    }
}
