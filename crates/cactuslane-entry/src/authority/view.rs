//! The state of the authority task that other tasks read or add to.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cactuslane_authority::Hold;
use cactuslane_authority::orders::{MAX_SEND_DELAY, WaitReason};
use cactuslane_store::list::{ListedInstance, ListedKind};
use cactuslane_types::{FencingToken, Incarnation, InstanceId, Millis, TargetId};
use serde_json::{Value, json};

use crate::clock::Clock;
use crate::transfer::{ModelWorkload, TargetReport};

/// Maximum lag of the platform's instance list behind the actual instances, in milliseconds.
const LIST_LAG: Millis = 30_000;
/// Age after which a target's report or an instance's workload is no longer used, in milliseconds.
const MAX_REPORT_AGE: Millis = 20_000;
/// Maximum number of notes kept for one target; the oldest are dropped.
const MAX_NOTES: usize = 32;

/// State shared between the authority task and the tasks that read the instance list, receive
/// reports or explain a target to operators.
///
/// Times are in milliseconds on this instance's clock.
#[derive(Debug, Default)]
pub struct AuthorityView {
    /// The entry instances in the instance list as last read.
    listed: BTreeSet<InstanceId>,
    /// When a holder's instance was first found missing from the list; removed once it is listed.
    absent_since: BTreeMap<InstanceId, Millis>,
    /// When a newer incarnation was first seen at the address of a holder, by that address and the
    /// holder's incarnation.
    replaced_since: BTreeMap<(String, Incarnation), Millis>,
    /// Whether the instance list has been read since the start.
    list_read: bool,
    /// The latest report of each target, with the time it arrived; filled at the planner.
    reports: BTreeMap<TargetId, (TargetReport, Millis)>,
    /// The latest workloads of the models at each instance, with the time they arrived; filled at
    /// the planner.
    workloads: BTreeMap<InstanceId, (Vec<ModelWorkload>, Millis)>,
    /// The shards that this instance owns, with their fencing tokens; empty while its lease may
    /// have expired.
    owned: BTreeMap<String, FencingToken>,
    /// The latest notes on orders to each target, oldest first, shown to operators.
    notes: BTreeMap<TargetId, VecDeque<Value>>,
    /// What the next step for each blocked target waits for, shown to operators.
    blocked: BTreeMap<TargetId, String>,
}

impl AuthorityView {
    /// Stores which entry instances the instance list names.
    pub fn record_list(&mut self, list: &[ListedInstance]) {
        let entries = list
            .iter()
            .filter(|listed| listed.kind == ListedKind::Entry);
        self.listed = entries.map(|listed| listed.instance.clone()).collect();
        self.list_read = true;
        let listed = &self.listed;
        self.absent_since.retain(|id, _| !listed.contains(id));
    }

    /// Returns the entry instances in the instance list as last read.
    pub fn listed_entries(&self) -> BTreeSet<InstanceId> {
        self.listed.clone()
    }

    /// Returns whether the process that took a hold can no longer send orders.
    ///
    /// `replaced` says whether a newer incarnation is bound to the holder's address now. Then the
    /// process counts as gone if this was first seen more than [`MAX_SEND_DELAY`] ago. Otherwise it
    /// counts as gone if its instance was first found missing from the list more than [`LIST_LAG`]
    /// plus [`MAX_SEND_DELAY`] ago.
    pub fn is_gone(&mut self, hold: &Hold, replaced: bool, now: Millis) -> bool {
        if replaced {
            let key = (hold.address.clone(), hold.incarnation);
            let since = *self.replaced_since.entry(key).or_insert(now);
            return now.saturating_sub(since) > MAX_SEND_DELAY;
        }
        if !self.list_read || self.listed.contains(&hold.instance) {
            return false;
        }
        let since = *self
            .absent_since
            .entry(hold.instance.clone())
            .or_insert(now);
        now.saturating_sub(since) > LIST_LAG + MAX_SEND_DELAY
    }

    /// Stores reports of targets that arrived at `now`, replacing earlier ones.
    pub fn record_reports(&mut self, reports: Vec<TargetReport>, now: Millis) {
        for report in reports {
            self.reports.insert(report.target.clone(), (report, now));
        }
    }

    /// Stores the workloads of an instance that arrived at `now`, replacing its earlier ones.
    pub fn record_workloads(
        &mut self,
        from: InstanceId,
        workloads: Vec<ModelWorkload>,
        now: Millis,
    ) {
        self.workloads.insert(from, (workloads, now));
    }

    /// Returns the latest report of a target, if younger than [`MAX_REPORT_AGE`].
    pub fn report(&self, target: &str, now: Millis) -> Option<TargetReport> {
        let (report, at) = self.reports.get(target)?;
        (now.saturating_sub(*at) < MAX_REPORT_AGE).then(|| report.clone())
    }

    /// Returns the sum of the recent workloads of all instances for each model, as prompt and
    /// output tokens per millisecond.
    pub fn total_workloads(&self, now: Millis) -> BTreeMap<String, (f64, f64)> {
        let mut totals: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for (workloads, at) in self.workloads.values() {
            if now.saturating_sub(*at) > MAX_REPORT_AGE {
                continue;
            }
            for workload in workloads {
                let sum = totals.entry(workload.model.clone()).or_default();
                sum.0 += workload.prefill;
                sum.1 += workload.decode;
            }
        }
        totals
    }

    /// Sets the shards that this instance owns, with their fencing tokens.
    pub fn set_owned(&mut self, owned: BTreeMap<String, FencingToken>) {
        self.owned = owned;
    }

    /// Returns the shards that this instance owns, with their fencing tokens; none while its lease
    /// may have expired.
    pub fn owned(&self) -> BTreeMap<String, FencingToken> {
        self.owned.clone()
    }

    /// Logs what was done to a target and keeps it for explanations to operators.
    pub fn add_note(&mut self, target: &str, text: &str) {
        log::info!("target {target}: {text}");
        let notes = self.notes.entry(target.to_owned()).or_default();
        if notes.len() >= MAX_NOTES {
            notes.pop_front();
        }
        notes.push_back(json!({ "at_ms": Clock::unix_time(), "what": text }));
    }

    /// Sets what the next step for a target waits for; `None` if it is not blocked.
    pub fn set_blocked(&mut self, target: &str, reason: Option<&WaitReason>) {
        match reason {
            Some(reason) => {
                self.blocked
                    .insert(target.to_owned(), describe_wait(reason));
            }
            None => {
                self.blocked.remove(target);
            }
        }
    }

    /// Returns the shard of a target, the notes on it and what it waits for, shown to operators.
    pub fn explain(&self, target: &str) -> Value {
        json!({
            "shard": cactuslane_authority::ownership::shard_of(target),
            "notes": self.notes.get(target),
            "waits_for": self.blocked.get(target),
        })
    }
}

/// Returns the text that completes "waits for" in the explanation of a target.
fn describe_wait(reason: &WaitReason) -> String {
    match reason {
        WaitReason::Streams(count) => format!("{count} streams to end"),
        WaitReason::NotDrained => "every listed instance to stop sending to it".to_owned(),
        WaitReason::Away => "the target to come back".to_owned(),
        WaitReason::HeldBy(id) => format!("{id} to give it back or to leave the instance list"),
        WaitReason::InFlight => "an order that may still be on its way".to_owned(),
    }
}
