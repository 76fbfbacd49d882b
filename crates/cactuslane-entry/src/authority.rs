//! Ownership, orders and planned changes: the driver around `cactuslane-authority`.

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
use crate::transfer::{self, ModelMix, PeerAsk, TargetReport};
use planner::PlannerState;
use session::Session;
pub use view::AuthorityView;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Time between two readings of the owners, in milliseconds.
const OWNERS_INTERVAL: Millis = 2_000;
/// Time between two reports to the planner, in milliseconds.
const REPORT_INTERVAL: Millis = 5_000;
/// Number of steps for one target in one round at most.
const MAX_STEPS: usize = 8;
/// Longest time for a question or an order to a target.
const TARGET_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of the authority task.
struct Authority {
    /// The state of the instance.
    shared: Arc<Shared>,
    /// Decides which shards this instance owns.
    ownership: Ownership,
    /// The lease under which it owns them.
    session: Session,
    /// Holds the shards that have an owner.
    taken: BTreeSet<String>,
    /// When the owners are read next.
    next_owners: Millis,
    /// Holds the part of this instance for each target that it owns or holds.
    targets: BTreeMap<TargetId, TargetReconciler>,
    /// When the planner is told next.
    next_report: Millis,
    /// The planner, which works while this instance holds its office.
    planner: PlannerState,
}

/// Works until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let ownership = Ownership::new(&shared.settings.instance, shared.incarnation);
    let mut authority = Authority {
        ownership,
        session: Session::default(),
        taken: BTreeSet::new(),
        next_owners: 0,
        targets: BTreeMap::new(),
        next_report: 0,
        planner: PlannerState::default(),
        shared,
    };
    loop {
        authority.round().await;
        sleep(ROUND).await;
    }
}

/// Waits until a leaving instance has given back what it owns, for a while.
pub async fn step_down(shared: &Shared) {
    /// Number of looks before it is left to the lease to end.
    const LOOKS: usize = 40;
    for _ in 0..LOOKS {
        if shared.authority().owned().is_empty() {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

impl Authority {
    /// Does one round of work.
    async fn round(&mut self) {
        if self.shared.documents.config().revision == 0 {
            return;
        }
        let serving = self.serving();
        let candidate = ownership::is_candidate(&self.shared.settings.instance, &serving);
        if candidate || !self.ownership.owned().is_empty() {
            self.own(&serving).await;
        }
        self.publish_owned();
        self.drive_targets().await;
        self.report().await;
        if let Some(fencing) = self.fencing(ownership::PLANNER_SHARD) {
            self.planner.round(&self.shared, fencing).await;
        }
    }

    /// Keeps the lease, reads the owners and moves shards.
    async fn own(&mut self, serving: &BTreeSet<InstanceId>) {
        let shared = Arc::clone(&self.shared);
        if !self.session.keep(&shared).await {
            self.ownership.lease_lost();
            return;
        }
        let now = shared.now();
        if now < self.next_owners {
            return;
        }
        self.next_owners = now + OWNERS_INTERVAL;
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
            self.make_move(action).await;
        }
    }

    /// Acquires or releases one shard.
    async fn make_move(&mut self, action: ShardAction) {
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
        // Whatever came of it is seen when the owners are read next.
        let _ = self.shared.store.txn(&txn).await;
        self.next_owners = 0;
    }

    /// Brings every target that this instance owns or holds a step on.
    async fn drive_targets(&mut self) {
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
            self.drive(&id, &target, fencing).await;
            let idle = fencing.is_none() && self.targets.get(&id).is_some_and(|t| !t.holds());
            if idle {
                self.targets.remove(&id);
            }
        }
    }

    /// Brings one target some steps on.
    async fn drive(&mut self, id: &TargetId, target: &ListedTarget, fencing: Option<FencingToken>) {
        let checks = self.checks(target);
        let (wanted, drained) = self.wanted(id);
        let me = Hold {
            instance: self.shared.settings.instance.clone(),
            incarnation: self.shared.incarnation,
            address: self.shared.gossip.to_string(),
            released: false,
        };
        let mut owner = self
            .targets
            .remove(id)
            .unwrap_or_else(|| TargetReconciler::new(me, checks));
        owner.set_fencing(fencing);
        owner.set_wanted(wanted, drained);
        for _ in 0..MAX_STEPS {
            // The lease may have run out while a step was waited for.
            owner.set_fencing(fencing.filter(|_| self.session.is_valid(self.shared.now())));
            let now = self.shared.now();
            let step = owner.next(&|holder| self.is_gone(holder, now), now);
            if !self.perform(id, target, &mut owner, step).await {
                break;
            }
        }
        self.targets.insert(id.clone(), owner);
    }

    /// Does one step for a target; false if nothing more can be done in this round.
    async fn perform(
        &self,
        id: &TargetId,
        target: &ListedTarget,
        owner: &mut TargetReconciler,
        step: Step,
    ) -> bool {
        match step {
            Step::Idle => {
                self.shared.authority().blocked(id, None);
                // The next round asks the target anew.
                owner.invalidate_report();
                false
            }
            Step::Blocked(reason) => {
                self.shared.authority().blocked(id, Some(&reason));
                owner.invalidate_report();
                false
            }
            Step::ReadRecords => match self.read_records(id).await {
                Ok(records) => {
                    owner.records_read(records);
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
                self.write(id, owner, (key, value), expected, fencing).await
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
                self.shared.authority().note(id, &text);
                let key = keys::intent(id);
                let value = serde_json::to_vec(&intent).unwrap_or_default();
                self.write(id, owner, (key, value), expected, Some(fencing))
                    .await
            }
            Step::ReadReport => match self.ask(target).await {
                Some(report) => {
                    owner.reported(report);
                    true
                }
                None => false,
            },
            Step::Send {
                order,
                fencing,
                wanted,
            } => {
                if !self.may_load(&wanted).await {
                    return false;
                }
                self.send(id, target, owner, order, fencing, &wanted).await
            }
        }
    }

    /// Reads hold and intent of a target.
    async fn read_records(&self, id: &str) -> Result<Records, StoreError> {
        let hold = self.shared.store.get(&keys::hold(id)).await?;
        let intent = self.shared.store.get(&keys::intent(id)).await?;
        Ok(Records {
            hold: parsed(hold),
            intent: parsed(intent),
        })
    }

    /// Writes a record if it and the owner's key are unchanged; the records are read again.
    async fn write(
        &self,
        id: &str,
        owner: &mut TargetReconciler,
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
        owner.invalidate();
        matches!(result, Ok(answer) if answer.succeeded)
    }

    /// Asks a target what it has.
    async fn ask(&self, target: &ListedTarget) -> Option<EngineReport> {
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

    /// Sends an order to a target.
    async fn send(
        &self,
        id: &str,
        target: &ListedTarget,
        owner: &mut TargetReconciler,
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
        self.shared.authority().note(id, &text);
        owner.order_sent(answered, self.shared.now());
        matches!(answer, Ok((200, _)))
    }

    /// Returns whether the weight store allows an order that loads weights now.
    async fn may_load(&self, wanted: &Wanted) -> bool {
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

    /// Tells the planner what targets report and how much work this instance has seen.
    async fn report(&mut self) {
        let now = self.shared.now();
        if now < self.next_report {
            return;
        }
        let passed = (REPORT_INTERVAL + now - self.next_report) as f64;
        self.next_report = now + REPORT_INTERVAL;
        let reports = self.reports();
        let mixes = self.mixes(passed);
        let planner = self.shared.documents.plan().plan.planner.clone();
        if planner == self.shared.settings.instance || planner.is_empty() {
            let mut view = self.shared.authority();
            view.take_reports(reports, now);
            view.take_mixes(planner, mixes, now);
            return;
        }
        let address = self
            .shared
            .members()
            .record(&planner)
            .map(|record| record.gossip);
        let Some(address) = address else { return };
        let me = self.shared.settings.instance.clone();
        let mixes = PeerAsk::Mixes(me, mixes);
        let _ = transfer::ask(&self.shared, &planner, address, mixes).await;
        if !reports.is_empty() {
            let reports = PeerAsk::Reports(reports);
            let _ = transfer::ask(&self.shared, &planner, address, reports).await;
        }
    }

    /// Returns the last reports of the targets that this instance owns.
    fn reports(&self) -> Vec<TargetReport> {
        let mut reports = Vec::new();
        for (target, owner) in &self.targets {
            let Some(report) = owner.last_report() else {
                continue;
            };
            let pending = owner.intent().is_some_and(|intent| !intent.done);
            reports.push(TargetReport {
                target: target.clone(),
                report: report.clone(),
                pending,
            });
        }
        reports
    }

    /// Takes the work that this instance has seen over a time in milliseconds.
    fn mixes(&self, passed: f64) -> Vec<ModelMix> {
        let work = std::mem::take(&mut self.shared.routing().work);
        let rate = |tokens: u64| tokens as f64 / passed.max(1.0);
        let mix = |(model, (prefill, decode))| ModelMix {
            model,
            prefill: rate(prefill),
            decode: rate(decode),
        };
        work.into_iter().map(mix).collect()
    }
}

/// Parses the records of owners.
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

/// Parses a record with its revision; an absent one has revision 0.
fn parsed<T: DeserializeOwned>(record: Option<Record>) -> (Option<T>, u64) {
    match record {
        Some(record) => (serde_json::from_slice(&record.value).ok(), record.modified),
        None => (None, 0),
    }
}
