//! Acquisition of the leadership, and the orders by which the leader changes the roles of engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_flight::target::Target;
use cactuslane_place::RolePlanner;
use cactuslane_platform::engine::{self, OrderAnswer};
use cactuslane_store::kv::KvError;
use cactuslane_types::{Millis, Position, Role, ServiceName, TargetId};
use hyper::Method;
use log::{info, warn};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};

use crate::answers;
use crate::backoff::random_pause;
use crate::control::read_leader;
use crate::engines::{self, CALL_TIMEOUT, CallError};
use crate::leadership::{LEADER_KEY, LeaderRecord, SettleTime, boot_millis, delete_key};
use crate::limits;
use crate::limits::permits::Purpose;
use crate::ranking::is_top_ranked;
use crate::state::Gateway;

/// Interval at which the leadership is checked and, by the leader, the demand.
const INTERVAL: Duration = Duration::from_millis(250);
/// Range of the random delay before an instance tries to acquire a vacant leadership, in
/// milliseconds.
const CAMPAIGN_DELAY: std::ops::Range<u64> = 50..900;
/// Number of instances that may try first to acquire a vacant leadership.
const CANDIDATES: usize = 3;
/// Time after its random delay for which an instance that is not among the first candidates still
/// waits, so that these can acquire the leadership.
const CANDIDATES_HEAD_START: Duration = Duration::from_secs(4);
/// Delay before an order, in which the other instances receive the message that the engine's role
/// is about to change, unless the updates of this instance are further apart: in a large
/// deployment, or while there is nothing else to send.
const ORDER_DELAY: Duration = Duration::from_millis(300);
/// Interval between requests for the report of an engine whose role is changing.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Time after an order after which an engine that has not changed its role is used as it is.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(9);
/// Share of the engines of a service whose roles may change at the same time; the number is rounded
/// up.
const MAX_CHANGING_SHARE: f64 = 0.25;

/// Time for which an instance that gave up the leadership, as it was cut off from the platform's
/// address, does not try to acquire it again, so that all others come first.
const CUT_PAUSE: Duration = Duration::from_secs(20);

/// The leader's record of demand and orders, discarded at each attempt to acquire the leadership.
#[derive(Debug, Default)]
struct LeaderState {
    /// The planners, with the demand that they observed, by service.
    planners: BTreeMap<ServiceName, RolePlanner>,
    /// The engines whose role is being changed, with the new role.
    ordered: BTreeMap<TargetId, Role>,
}

/// The engines of one service whose roles can be changed.
#[derive(Debug)]
struct EngineGroup {
    /// The name of the service.
    service: ServiceName,
    /// The capacities of each of its engines.
    engine: EngineSpec,
    /// Its engines that take new work and have a single role.
    targets: Vec<Target>,
}

/// Acquires the leadership when it is vacant, and orders role changes while this instance leads,
/// until the instance is leaving.
pub async fn run_leader(gateway: Arc<Gateway>) {
    let mut state = LeaderState::default();
    let mut campaign_at: Option<Instant> = None;
    let mut not_before = Instant::now();
    loop {
        sleep(INTERVAL).await;
        if gateway.is_leaving() {
            give_up(&gateway).await;
            return;
        }
        if gateway.leadership().is_held(boot_millis()) {
            campaign_at = None;
            if gateway.duties.is_cut() && gateway.alive_peers() > 0 {
                warn!("cut off from the platform's address, another instance may do better");
                gateway.duties.record_given_up();
                give_up(&gateway).await;
                not_before = Instant::now() + CUT_PAUSE;
                continue;
            }
            if !gateway.pool.reach().is_cut() {
                state.order_changes(&gateway);
            }
            continue;
        }
        gateway.placer().load_view.set_changing(Vec::new());
        if Instant::now() < not_before {
            continue;
        }
        let me = gateway.leader_record();
        let settle = SettleTime::of(&gateway.settings());
        if gateway.leadership().resume(&me, settle, boot_millis()) {
            info!("office resumed, its key still names this process");
            state = LeaderState::default();
            continue;
        }
        let update = gateway.leadership().stale_key(&me);
        if let Some(update) = update {
            let deleted = gateway.store.update(&update).await;
            info!(deleted:? = deleted; "key of the office names this process, which can't use it");
            sleep(random_pause()).await;
            continue;
        }
        let Some(candidacy) = gateway.leadership().candidacy(&me, settle, boot_millis()) else {
            campaign_at = None;
            continue;
        };
        let random =
            || Instant::now() + Duration::from_millis(rand::rng().random_range(CAMPAIGN_DELAY));
        let start = *campaign_at.get_or_insert_with(random);
        let overdue = Instant::now().saturating_duration_since(start);
        if Instant::now() < start || (!is_candidate(&gateway) && overdue < CANDIDATES_HEAD_START) {
            continue;
        }
        campaign_at = None;
        state = LeaderState::default();
        match gateway.store.update(&candidacy.update).await {
            Ok(position) => {
                let mut leadership = gateway.leadership();
                leadership.acquired(position, candidacy.settle, boot_millis());
                let fencing = leadership.token();
                info!(fencing, era = position.era, settle_ms = candidacy.settle; "office taken");
            }
            Err(error) => {
                info!(error:% = error; "office not taken");
                if error == KvError::Conflict {
                    // Without a further change of the key, nothing else shows who leads.
                    if let Err(error) = read_leader(&gateway).await {
                        warn!(error:% = error; "key of the office not read");
                    }
                }
            }
        }
    }
}

/// Returns whether this instance is among those that may try first to acquire the leadership, by
/// rendezvous hash over the instances that are reachable and not leaving.
#[must_use]
pub fn is_candidate(gateway: &Gateway) -> bool {
    let me = gateway.settings().instance.clone();
    let others = gateway.members().alive(gateway.now());
    is_top_ranked(&me, &others, LEADER_KEY, CANDIDATES)
}

/// Ends this instance's term, if it leads, and deletes the leader key.
async fn give_up(gateway: &Gateway) {
    let Some(update) = gateway.leadership().give_up() else {
        return;
    };
    let mut result = gateway.store.update(&update).await;
    if result == Err(KvError::Conflict) {
        // The key of an update need not have the position of the update itself.
        result = delete_own_key(gateway).await;
    }
    match result {
        Ok(_) => info!("office given up"),
        Err(error) => warn!(error:% = error; "office given up, but its key stays until it lapses"),
    }
}

/// Deletes the leader key if it names this process, and returns the position of the deletion.
async fn delete_own_key(gateway: &Gateway) -> Result<Position, KvError> {
    let read = gateway.store.get(LEADER_KEY).await?;
    let me = gateway.leader_record();
    let own = read.item.filter(|item| {
        serde_json::from_slice::<LeaderRecord>(&item.value).is_ok_and(|leader| leader == me)
    });
    match own {
        Some(item) => gateway.store.update(&delete_key(item.position)).await,
        None => Ok(read.position),
    }
}

impl LeaderState {
    /// Updates the demand of each service and starts the role changes that pay off now.
    ///
    /// No changes are started if the term permits no orders yet, or if the store failed so recently
    /// that targets may be missing.
    fn order_changes(&mut self, gateway: &Arc<Gateway>) {
        let now = gateway.now();
        let changing = gateway.placer().load_view.own_changing().to_vec();
        self.ordered.retain(|id, _| changing.contains(id));
        for group in engine_groups(gateway) {
            let mut engines = engine_roles(gateway, &group, now);
            let planner = self.planners.entry(group.service.clone()).or_default();
            let placed = gateway.placer().load_view.all_placed();
            let (streams, kv_tokens) = decode_load(gateway, &group, now);
            planner.observe(placed, streams, kv_tokens, &group.engine, now);
            let degraded = gateway.fleet().store_failed_recently(now);
            if degraded || gateway.leadership().may_order(boot_millis()).is_none() {
                continue;
            }
            let limit = (engines.len() as f64 * MAX_CHANGING_SHARE).ceil() as usize;
            let mut changing = 0;
            for (id, (role, _)) in &mut engines {
                if let Some(ordered) = self.ordered.get(id) {
                    *role = *ordered;
                    changing += 1;
                }
            }
            let allowed = limit.saturating_sub(changing);
            let speed = gateway.placer().speed.clone();
            for change in planner.changes(&engines, &group.engine, &speed, allowed, now) {
                let Some(target) = group.targets.iter().find(|t| t.id == change.target) else {
                    continue;
                };
                self.ordered.insert(target.id.clone(), change.role);
                info!(
                    target_id = target.id,
                    role:? = change.role,
                    engines = group.targets.len(),
                    token_us = (speed.waiting_token_ms() * 1000.0) as u64,
                    prompts:% = planner.demand().prefill,
                    streams:% = planner.demand().decode;
                    "role change planned"
                );
                let guard = ChangingGuard::new(gateway, &target.id);
                let task = change_role(guard, target.clone(), change.role);
                tokio::spawn(task);
            }
        }
    }
}

/// Returns the engines whose roles can be changed, by service: all that take new work except
/// those with the mixed role and those with a limit, which the calls of a change would use up.
fn engine_groups(gateway: &Gateway) -> Vec<EngineGroup> {
    let now = gateway.now();
    let fleet = gateway.fleet();
    let Some(config) = fleet.routing_config() else {
        return Vec::new();
    };
    let mut groups = Vec::new();
    for (name, service) in &config.services {
        let Some(engine) = &service.engine else {
            continue;
        };
        let mut targets = Vec::new();
        for target in fleet.targets(name, None, now) {
            let limited = gateway.placer().limits.rate(target).is_some();
            if target.role != Role::Mixed && !limited {
                targets.push(target.clone());
            }
        }
        groups.push(EngineGroup {
            service: name.clone(),
            engine: engine.clone(),
            targets,
        });
    }
    groups
}

/// Returns the role and the number of running or waiting requests of each engine of a group.
fn engine_roles(
    gateway: &Gateway,
    group: &EngineGroup,
    now: Millis,
) -> BTreeMap<TargetId, (Role, usize)> {
    let placer = gateway.placer();
    let mut engines = BTreeMap::new();
    for target in &group.targets {
        let streams = placer.load_view.load(&target.id, now).running as usize;
        engines.insert(target.id.clone(), (target.role, streams));
    }
    engines
}

/// Returns the number of requests at those engines of a group whose role is to generate, and the
/// KV cache space reserved for these requests, in tokens.
fn decode_load(gateway: &Gateway, group: &EngineGroup, now: Millis) -> (usize, u64) {
    let placer = gateway.placer();
    let (mut streams, mut kv_tokens) = (0, 0);
    for target in &group.targets {
        if !target.role.decodes() {
            continue;
        }
        let load = placer.load_view.load(&target.id, now);
        streams += load.running as usize;
        kv_tokens += u64::from(load.kv_tokens);
    }
    (streams, kv_tokens)
}

/// Orders one engine to change its role and waits for the change to complete.
///
/// The guard keeps the engine marked as changing meanwhile, so that it gets no new work while
/// others can serve.
async fn change_role(guard: ChangingGuard, target: Target, role: Role) {
    let gateway = guard.gateway.clone();
    sleep(ORDER_DELAY).await;
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
    let answered = match send_order(&gateway, &target, role, report.orders).await {
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
        sleep(REPORT_INTERVAL).await;
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

/// Sends an order, if this instance may send orders once it has a connection to the engine.
///
/// `orders` is the number of orders that the engine had accepted; it refuses the order if it has
/// accepted another one since.
///
/// # Errors
///
/// Returns [`CallError::Unsent`] if the order was not sent, and [`CallError::Unknown`] if the
/// engine may carry it out although no answer arrived.
async fn send_order(
    gateway: &Gateway,
    target: &Target,
    role: Role,
    orders: u64,
) -> Result<OrderAnswer, CallError> {
    let pause = gateway.fleet().pause_left(&target.id, gateway.now());
    if !pause.is_zero() {
        return Err(CallError::Unsent(format!(
            "the target wants a pause of {pause:?}"
        )));
    }
    let permit = limits::acquire(gateway, target, "").await;
    let permit = permit.map_err(|wait| {
        CallError::Unsent(format!("the target's limit allows no order for {wait:?}"))
    })?;
    // On a kept connection a late copy of an earlier answer could be taken for that to the order.
    let connection = gateway.pool.connect(&target.id, target.address).await;
    let mut connection = connection.map_err(CallError::from)?;
    let Some(fencing) = gateway.leadership().may_order(boot_millis()) else {
        return Err(CallError::Unsent("the office is not held".to_owned()));
    };
    let LeaderRecord { instance, .. } = gateway.leader_record();
    let body = engine::encode_order(role, &instance, fencing, orders);
    let request = engines::build_call(target, Method::POST, engine::ORDER_PATH, body);
    let sent = gateway.now();
    let response = timeout(CALL_TIMEOUT, connection.send(request, permit)).await;
    let response = response.map_err(|_| CallError::Unknown("no answer in time".to_owned()))?;
    let response = response.map_err(CallError::from)?;
    let (status, headers) = (response.status(), response.headers());
    answers::observe(gateway, target, Purpose::Call, status, headers, sent);
    let status = status.as_u16();
    info!(target_id = target.id, role:? = role, fencing, orders, status; "order sent");
    Ok(engine::decode_order_answer(status))
}

/// Guard that keeps an engine marked as changing its role until it is dropped.
#[derive(Debug)]
struct ChangingGuard {
    /// The state of the instance, which holds the list of changing engines.
    gateway: Arc<Gateway>,
    /// The id of the marked engine.
    target: TargetId,
}

impl ChangingGuard {
    /// Marks an engine as changing its role, which the next update reports to the other instances.
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
