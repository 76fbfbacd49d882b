//! Driver of ownership, orders and planned changes: does the I/O for `cactuslane-authority`.
//!
//! A single task repeats a round: it renews the lease under which this instance owns shards,
//! acquires or releases shards, moves each owned target towards the state that the plan wants, and
//! reports to the planner. The owner of the planner shard also writes the plan.

mod planner;
mod readings;
mod session;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cactuslane_authority::keys;
use cactuslane_authority::orders::{Records, Step, TargetReconciler};
use cactuslane_authority::ownership::{self, OwnerRecord, Ownership, ShardAction};
use cactuslane_authority::{EngineReport, Hold, Wanted};
use cactuslane_store::{Compare, Op, Record, StoreError, Txn, TxnResponse};
use cactuslane_types::{FencingToken, InstanceId, Millis, TargetId, TargetKind};
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::time::sleep;

use crate::routing::ListedTarget;
use crate::shared::Shared;
use crate::transfer::{self, ModelWorkload, PeerRequest, TargetReport};
use planner::PlannerState;
use session::Session;
pub use view::AuthorityView;

/// Pause between two rounds of the authority task.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the shard owners from the key-value service, in milliseconds.
const OWNERS_INTERVAL: Millis = 2_000;
/// Time between two reports of this instance to the planner, in milliseconds.
const REPORT_INTERVAL: Millis = 5_000;
/// Maximum number of steps taken for one target in one round.
const MAX_STEPS: usize = 8;
/// Timeout of one request to a target or to the weight store.
const TARGET_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of the authority task, which only that task uses.
struct Authority {
    /// The state that all tasks of the instance share.
    shared: Arc<Shared>,
    /// Decides which shards this instance acquires and releases.
    ownership: Ownership,
    /// The lease under which this instance owns its shards.
    session: Session,
    /// The shards that had an owner, this instance or another, when the owners were last read.
    taken: BTreeSet<String>,
    /// When the owners are read next, in milliseconds on this instance's clock.
    next_read: Millis,
    /// The reconcilers of the targets that this instance owns or still holds.
    targets: BTreeMap<TargetId, TargetReconciler>,
    /// When the next report to the planner is due, in milliseconds on this instance's clock.
    next_report: Millis,
    /// The state for planning, used while this instance owns the planner shard.
    planner: PlannerState,
}

/// Runs the authority task until it is aborted.
pub async fn run(shared: Arc<Shared>) {
    let ownership = Ownership::new(&shared.settings.instance, shared.incarnation);
    let mut authority = Authority {
        ownership,
        session: Session::default(),
        taken: BTreeSet::new(),
        next_read: 0,
        targets: BTreeMap::new(),
        next_report: 0,
        planner: PlannerState::default(),
        shared,
    };
    loop {
        authority.round().await;
        sleep(ROUND_INTERVAL).await;
    }
}

/// Waits until a leaving instance owns no shards any more, for about 4 s at most.
pub async fn wait_for_release(shared: &Shared) {
    /// Maximum number of checks, 100 ms apart; shards still owned then are freed by lease expiry.
    const MAX_CHECKS: usize = 40;
    for _ in 0..MAX_CHECKS {
        if shared.authority().owned().is_empty() {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

impl Authority {
    /// Runs one round; does nothing before a configuration is in force.
    async fn round(&mut self) {
        if self.shared.documents.config().revision == 0 {
            return;
        }
        let serving = self.serving();
        let candidate = ownership::is_candidate(&self.shared.settings.instance, &serving);
        if candidate || !self.ownership.owned().is_empty() {
            self.update_ownership(&serving).await;
        }
        self.publish_owned();
        self.reconcile_targets().await;
        self.report_to_planner().await;
        if let Some(fencing) = self.fencing(ownership::PLANNER_SHARD) {
            self.planner.round(&self.shared, fencing).await;
        }
    }

    /// Keeps the lease alive, reads the owners when due, and acquires or releases shards.
    async fn update_ownership(&mut self, serving: &BTreeSet<InstanceId>) {
        let shared = Arc::clone(&self.shared);
        if !self.session.keep_alive(&shared).await {
            self.ownership.lease_lost();
            return;
        }
        let now = shared.now();
        if now < self.next_read {
            return;
        }
        self.next_read = now + OWNERS_INTERVAL;
        let Ok(records) = shared.store.range(keys::OWNERS).await else {
            return;
        };
        let owners = parse_owners(&records);
        self.taken = owners.keys().cloned().collect();
        self.ownership.observed(&owners);
        let actions = self
            .ownership
            .next_actions(serving, &self.taken, shared.now());
        for action in actions {
            self.apply_action(action).await;
        }
    }

    /// Acquires or releases one shard in a transaction that fails if its owner has changed.
    async fn apply_action(&mut self, action: ShardAction) {
        let Some(lease) = self.session.lease() else {
            return;
        };
        let txn = match action {
            ShardAction::Acquire(shard) => {
                let Ok(value) = serde_json::to_vec(self.ownership.own_record()) else {
                    return;
                };
                let key = keys::owner(&shard);
                Txn {
                    compare: vec![Compare::Absent(key.clone())],
                    then: vec![Op::Put(key, value, Some(lease))],
                    otherwise: Vec::new(),
                }
            }
            ShardAction::Release(shard, fencing) => {
                let key = keys::owner(&shard);
                Txn {
                    compare: vec![Compare::Created(key.clone(), fencing)],
                    then: vec![Op::Delete(key)],
                    otherwise: Vec::new(),
                }
            }
        };
        // The result is not needed: the next round reads the owners again.
        let _ = self.shared.store.txn(&txn).await;
        self.next_read = 0;
    }

    /// Reconciles the listed engines that are owned or held; drops the state of other listed ones.
    async fn reconcile_targets(&mut self) {
        let listed: Vec<(TargetId, ListedTarget)> = {
            let routing = self.shared.routing();
            let engines = routing
                .targets()
                .iter()
                .filter(|(_, t)| t.kind == TargetKind::Engine);
            engines
                .map(|(id, target)| (id.clone(), target.clone()))
                .collect()
        };
        for (id, target) in listed {
            let fencing = self.fencing(&ownership::shard_of(&id));
            if fencing.is_none() && !self.targets.contains_key(&id) {
                continue;
            }
            self.reconcile(&id, &target, fencing).await;
            let idle = fencing.is_none() && self.targets.get(&id).is_some_and(|t| !t.holds());
            if idle {
                self.targets.remove(&id);
            }
        }
    }

    /// Takes up to [`MAX_STEPS`] steps for one target.
    async fn reconcile(
        &mut self,
        id: &TargetId,
        target: &ListedTarget,
        fencing: Option<FencingToken>,
    ) {
        let checks_fencing = self.checks_fencing(target);
        let (wanted, drained) = self.wanted(id);
        let own_hold = Hold {
            instance: self.shared.settings.instance.clone(),
            incarnation: self.shared.incarnation,
            address: self.shared.gossip.to_string(),
            released: false,
        };
        let mut reconciler = self
            .targets
            .remove(id)
            .unwrap_or_else(|| TargetReconciler::new(own_hold, checks_fencing));
        reconciler.set_fencing(fencing);
        reconciler.set_wanted(wanted, drained);
        for _ in 0..MAX_STEPS {
            // The lease may have expired during the previous step.
            reconciler.set_fencing(fencing.filter(|_| self.session.is_valid(self.shared.now())));
            let now = self.shared.now();
            let step = reconciler.next(&|holder| self.is_gone(holder, now), now);
            if !self.perform(id, target, &mut reconciler, step).await {
                break;
            }
        }
        self.targets.insert(id.clone(), reconciler);
    }

    /// Carries out one step for a target; returns whether another may follow in this round.
    async fn perform(
        &self,
        id: &TargetId,
        target: &ListedTarget,
        reconciler: &mut TargetReconciler,
        step: Step,
    ) -> bool {
        match step {
            Step::Idle => {
                self.shared.authority().set_blocked(id, None);
                // The next round reads a new report from the target.
                reconciler.invalidate_report();
                false
            }
            Step::Blocked(reason) => {
                self.shared.authority().set_blocked(id, Some(&reason));
                reconciler.invalidate_report();
                false
            }
            Step::ReadRecords => match self.read_records(id).await {
                Ok(records) => {
                    reconciler.records_read(records);
                    true
                }
                Err(_) => false,
            },
            Step::WriteHold {
                hold,
                expected,
                fencing,
            } => {
                let key = keys::hold(id);
                let value = serde_json::to_vec(&hold).unwrap_or_default();
                self.write_record(id, reconciler, (key, value), expected, fencing)
                    .await
            }
            Step::WriteIntent {
                intent,
                expected,
                fencing,
            } => {
                let state = if intent.done { "done" } else { "intended" };
                let text = format!(
                    "order {} {} {} {state}, fencing {}",
                    intent.order,
                    intent.wanted.kind.as_str(),
                    intent.wanted.value,
                    intent.fencing,
                );
                self.shared.authority().add_note(id, &text);
                let key = keys::intent(id);
                let value = serde_json::to_vec(&intent).unwrap_or_default();
                self.write_record(id, reconciler, (key, value), expected, Some(fencing))
                    .await
            }
            Step::ReadReport => match self.read_report(target).await {
                Some(report) => {
                    reconciler.reported(report);
                    true
                }
                None => false,
            },
            Step::Send {
                order,
                fencing,
                wanted,
            } => {
                if !self.permit_load(&wanted).await {
                    return false;
                }
                self.send_order(id, target, reconciler, order, fencing, &wanted)
                    .await
            }
        }
    }

    /// Reads the hold and the intent of a target from the key-value service.
    ///
    /// # Errors
    ///
    /// Returns an error if either read fails.
    async fn read_records(&self, id: &str) -> Result<Records, StoreError> {
        let hold = self.shared.store.get(&keys::hold(id)).await?;
        let intent = self.shared.store.get(&keys::intent(id)).await?;
        Ok(Records {
            hold: parse_record(hold),
            intent: parse_record(intent),
        })
    }

    /// Writes a hold or an intent and returns whether the write succeeded.
    ///
    /// The transaction fails unless the record's last change has the revision `expected`, where 0
    /// stands for an absent record, and unless the owner key of the target's shard was created by
    /// the revision `fencing`, if given. In all cases the reconciler reads the records again, since
    /// the answer to a successful write may be lost.
    async fn write_record(
        &self,
        id: &str,
        reconciler: &mut TargetReconciler,
        (key, value): (String, Vec<u8>),
        expected: u64,
        fencing: Option<FencingToken>,
    ) -> bool {
        let mut compare = vec![match expected {
            0 => Compare::Absent(key.clone()),
            revision => Compare::Modified(key.clone(), revision),
        }];
        if let Some(fencing) = fencing {
            let shard = keys::owner(&ownership::shard_of(id));
            compare.push(Compare::Created(shard, fencing));
        }
        let txn = Txn {
            compare,
            then: vec![Op::Put(key, value, None)],
            otherwise: Vec::new(),
        };
        let result: Result<TxnResponse, StoreError> = self.shared.store.txn(&txn).await;
        reconciler.invalidate();
        matches!(result, Ok(answer) if answer.succeeded)
    }

    /// Reads the report of a target; `None` without a valid answer.
    async fn read_report(&self, target: &ListedTarget) -> Option<EngineReport> {
        let answer = self
            .shared
            .client
            .get_json(target.address, "/orders", TARGET_TIMEOUT)
            .await;
        match answer {
            Ok((200, value)) => serde_json::from_value(value).ok(),
            _ => None,
        }
    }

    /// Sends an order to a target and returns whether the target accepted it.
    ///
    /// Opens a new connection: on a kept one that the target has just closed, it would be unknown
    /// whether the target received the order, which must not be repeated.
    async fn send_order(
        &self,
        id: &str,
        target: &ListedTarget,
        reconciler: &mut TargetReconciler,
        order: u64,
        fencing: FencingToken,
        wanted: &Wanted,
    ) -> bool {
        let body = json!({
            "order": order,
            "fencing": fencing,
            "kind": wanted.kind.as_str(),
            "value": wanted.value,
        });
        self.shared.metrics.orders.inc();
        let client = &self.shared.unpooled;
        let answer = client
            .post_json(target.address, "/orders", &body, TARGET_TIMEOUT)
            .await;
        let answered = answer.is_ok();
        let text = match &answer {
            Ok((200, _)) => format!("order {order} was taken, fencing {fencing}"),
            Ok((status, value)) => format!("order {order} was refused with {status}: {value}"),
            Err(error) => format!("order {order} has no answer: {error}"),
        };
        self.shared.authority().add_note(id, &text);
        reconciler.order_sent(answered, self.shared.now());
        matches!(answer, Ok((200, _)))
    }

    /// Requests permission for one load from the weight store if the order loads weights; returns
    /// whether the order may be sent now.
    async fn permit_load(&self, wanted: &Wanted) -> bool {
        if !wanted.loads_weights() {
            return true;
        }
        let address = self.shared.settings.weight_store;
        let answer = self
            .shared
            .client
            .get_json(address, "/weights", TARGET_TIMEOUT)
            .await;
        matches!(answer, Ok((200, _)))
    }

    /// Sends the planner the reports of the owned or held targets and this instance's workload, if
    /// due; stores both here if this instance is the planner or no planner is known.
    async fn report_to_planner(&mut self) {
        let now = self.shared.now();
        if now < self.next_report {
            return;
        }
        let elapsed = (REPORT_INTERVAL + now - self.next_report) as f64;
        self.next_report = now + REPORT_INTERVAL;
        let reports = self.target_reports();
        let workloads = self.take_workloads(elapsed);
        let planner = self.shared.documents.plan().plan.planner.clone();
        if planner == self.shared.settings.instance || planner.is_empty() {
            let mut view = self.shared.authority();
            view.record_reports(reports, now);
            view.record_workloads(planner, workloads, now);
            return;
        }
        let address = self
            .shared
            .members()
            .record(&planner)
            .map(|record| record.gossip);
        let Some(address) = address else { return };
        let me = self.shared.settings.instance.clone();
        let workloads = PeerRequest::Workloads(me, workloads);
        let _ = transfer::request(&self.shared, &planner, address, workloads).await;
        if !reports.is_empty() {
            let reports = PeerRequest::Reports(reports);
            let _ = transfer::request(&self.shared, &planner, address, reports).await;
        }
    }

    /// Returns the latest reports of the targets that this instance owns or holds.
    fn target_reports(&self) -> Vec<TargetReport> {
        let mut reports = Vec::new();
        for (target, reconciler) in &self.targets {
            let Some(report) = reconciler.last_report() else {
                continue;
            };
            let pending = reconciler.intent().is_some_and(|intent| !intent.done);
            reports.push(TargetReport {
                target: target.clone(),
                report: report.clone(),
                pending,
            });
        }
        reports
    }

    /// Returns each model's workload in the last `elapsed` milliseconds, and resets the counts.
    fn take_workloads(&self, elapsed: f64) -> Vec<ModelWorkload> {
        let counts = std::mem::take(&mut self.shared.routing().token_counts);
        let rate = |tokens: u64| tokens as f64 / elapsed.max(1.0);
        let workload = |(model, (prefill, decode))| ModelWorkload {
            model,
            prefill: rate(prefill),
            decode: rate(decode),
        };
        counts.into_iter().map(workload).collect()
    }
}

/// Returns the owner and the fencing token of each shard; leaves out records that do not parse.
fn parse_owners(records: &[Record]) -> BTreeMap<String, (OwnerRecord, FencingToken)> {
    let mut owners = BTreeMap::new();
    for record in records {
        let Some(shard) = record.key.strip_prefix(keys::OWNERS) else {
            continue;
        };
        let Ok(owner) = serde_json::from_slice::<OwnerRecord>(&record.value) else {
            continue;
        };
        owners.insert(shard.to_owned(), (owner, record.created));
    }
    owners
}

/// Parses a record and returns it with the revision of its last change, which is 0 if the record
/// does not exist; a value that does not parse counts as absent, but keeps its revision.
fn parse_record<T: DeserializeOwned>(record: Option<Record>) -> (Option<T>, u64) {
    match record {
        Some(record) => (serde_json::from_slice(&record.value).ok(), record.modified),
        None => (None, 0),
    }
}
