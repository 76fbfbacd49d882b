//! What the authority task knows and shows to others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cactuslane_authority::Hold;
use cactuslane_authority::orders::{MAX_SEND_DELAY, WaitReason};
use cactuslane_store::list::{ListedInstance, ListedKind};
use cactuslane_types::{FencingToken, Incarnation, InstanceId, Millis, TargetId};
use serde_json::{Value, json};

use crate::clock::Clock;
use crate::transfer::{ModelMix, TargetReport};

/// Longest time by which the instance list lags, in milliseconds.
const LIST_LAG: Millis = 30_000;
/// Age after which a report is no longer used, in milliseconds.
const REPORT_AGE: Millis = 20_000;
/// Number of notes that are kept for one target.
const MAX_NOTES: usize = 32;

/// What the authority task knows and shows.
#[derive(Debug, Default)]
pub struct AuthorityView {
    /// Holds the entry instances that the list last named.
    listed: BTreeSet<InstanceId>,
    /// Holds since when instances that were once named have not been.
    absent: BTreeMap<InstanceId, Millis>,
    /// Holds since when other incarnations have been seen at the addresses of holders.
    replaced: BTreeMap<(String, Incarnation), Millis>,
    /// Says whether the list was read at all.
    read: bool,
    /// Holds the latest reports of targets, at the planner.
    reports: BTreeMap<TargetId, (TargetReport, Millis)>,
    /// Holds the latest work of models at each instance, at the planner.
    mixes: BTreeMap<InstanceId, (Vec<ModelMix>, Millis)>,
    /// Holds the shards that this instance owns.
    owned: BTreeMap<String, FencingToken>,
    /// Holds notes on each target, for explanations.
    notes: BTreeMap<TargetId, VecDeque<Value>>,
    /// Holds what each target waits for.
    blocked: BTreeMap<TargetId, String>,
}

impl AuthorityView {
    /// Takes in the instance list.
    pub fn take_list(&mut self, list: &[ListedInstance]) {
        let entries = list
            .iter()
            .filter(|listed| listed.kind == ListedKind::Entry);
        self.listed = entries.map(|listed| listed.instance.clone()).collect();
        self.read = true;
        let listed = &self.listed;
        self.absent.retain(|id, _| !listed.contains(id));
    }

    /// Returns the entry instances that the list last named.
    pub fn listed_entries(&self) -> BTreeSet<InstanceId> {
        self.listed.clone()
    }

    /// Returns whether the process that took a hold can send nothing any more: its instance has
    /// not been named for longer than the list lags and a send takes, or for longer than a send
    /// takes another incarnation has been bound to its address.
    pub fn is_gone(&mut self, hold: &Hold, replaced: bool, now: Millis) -> bool {
        if replaced {
            let key = (hold.address.clone(), hold.incarnation);
            let since = *self.replaced.entry(key).or_insert(now);
            return now.saturating_sub(since) > MAX_SEND_DELAY;
        }
        if !self.read || self.listed.contains(&hold.instance) {
            return false;
        }
        let since = *self.absent.entry(hold.instance.clone()).or_insert(now);
        now.saturating_sub(since) > LIST_LAG + MAX_SEND_DELAY
    }

    /// Takes in reports of targets.
    pub fn take_reports(&mut self, reports: Vec<TargetReport>, now: Millis) {
        for report in reports {
            self.reports.insert(report.target.clone(), (report, now));
        }
    }

    /// Takes in the work of models at an instance.
    pub fn take_mixes(&mut self, from: InstanceId, mixes: Vec<ModelMix>, now: Millis) {
        self.mixes.insert(from, (mixes, now));
    }

    /// Returns the fresh report of a target.
    pub fn report(&self, target: &str, now: Millis) -> Option<TargetReport> {
        let (report, at) = self.reports.get(target)?;
        (now.saturating_sub(*at) < REPORT_AGE).then(|| report.clone())
    }

    /// Returns the work of each model over all instances, as prompt and output tokens a
    /// millisecond.
    pub fn work(&self, now: Millis) -> BTreeMap<String, (f64, f64)> {
        let mut work: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for (mixes, at) in self.mixes.values() {
            if now.saturating_sub(*at) > REPORT_AGE {
                continue;
            }
            for mix in mixes {
                let sum = work.entry(mix.model.clone()).or_default();
                sum.0 += mix.prefill;
                sum.1 += mix.decode;
            }
        }
        work
    }

    /// Sets the shards that this instance owns.
    pub fn set_owned(&mut self, owned: BTreeMap<String, FencingToken>) {
        self.owned = owned;
    }

    /// Returns the shards that this instance owns.
    pub fn owned(&self) -> BTreeMap<String, FencingToken> {
        self.owned.clone()
    }

    /// Notes what was done to a target.
    pub fn note(&mut self, target: &str, text: &str) {
        log::info!("target {target}: {text}");
        let notes = self.notes.entry(target.to_owned()).or_default();
        if notes.len() >= MAX_NOTES {
            notes.pop_front();
        }
        notes.push_back(json!({ "at_ms": Clock::wall(), "what": text }));
    }

    /// Notes what a target waits for.
    pub fn blocked(&mut self, target: &str, block: Option<&WaitReason>) {
        match block {
            Some(block) => {
                self.blocked.insert(target.to_owned(), explain_block(block));
            }
            None => {
                self.blocked.remove(target);
            }
        }
    }

    /// Explains what was done to a target.
    pub fn explain(&self, target: &str) -> Value {
        json!({
            "shard": cactuslane_authority::ownership::shard_of(target),
            "notes": self.notes.get(target),
            "waits_for": self.blocked.get(target),
        })
    }
}

/// Explains what a step waits for.
fn explain_block(block: &WaitReason) -> String {
    match block {
        WaitReason::Streams(count) => format!("{count} streams to end"),
        WaitReason::NotDrained => "every listed instance to stop sending to it".to_owned(),
        WaitReason::Away => "the target to come back".to_owned(),
        WaitReason::HeldBy(id) => format!("{id} to give it back or to leave the instance list"),
        WaitReason::InFlight => "an order that may still be on its way".to_owned(),
    }
}
