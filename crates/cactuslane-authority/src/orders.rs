//! State machine that brings one target to its wanted state.
//!
//! [`TargetReconciler`] holds what one process knows about one target and returns the next
//! [`Step`]. The driver carries out that single step and passes the result back. Between any two
//! steps, the process may be paused for any length of time, its lease may lapse, and other
//! processes may act.
//!
//! What prevents conflicting orders depends on the target:
//! - A target that **checks** fencing tokens rejects orders from earlier owners.
//! - A target that **ignores** them receives orders only from the process named in its [`Hold`]
//!   record. A hold does not expire. Another process may take it over once the holder has released
//!   it; once the platform's instance list has not named the holder's instance for longer than the
//!   maximum list lag plus [`MAX_SEND_DELAY`]; or once a newer incarnation has been bound to the
//!   holder's address for longer than [`MAX_SEND_DELAY`]. A paused holder therefore keeps the
//!   target until it resumes or the platform removes it. The driver decides the last two cases.

use cactuslane_types::{FencingToken, Incarnation, InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Longest time that an order may be in flight once the wait for its answer ended, in milliseconds.
pub const MAX_SEND_DELAY: Millis = 5_000;

/// The state that one process keeps about one target, from which it derives the next step.
#[derive(Clone, Debug)]
pub struct TargetReconciler {
    /// The unreleased hold that identifies this process.
    own_hold: Hold,
    /// Whether the target checks fencing tokens.
    checks_fencing: bool,
    /// The fencing token under which this process owns the target, if it does.
    fencing: Option<FencingToken>,
    /// The records in the key-value service; `None` if they must be read before the next step.
    records: Option<Records>,
    /// The target's report; `None` if it must be read before the next step.
    report: Option<EngineReport>,
    /// The report last discarded by `invalidate_report`, for `last_report`: it decides no step.
    last_report: Option<EngineReport>,
    /// The time until which an unanswered order may be in flight, on the clock of `next`; or 0.
    send_deadline: Millis,
    /// The state that the plan requires of the target, if any.
    wanted: Option<Wanted>,
    /// Whether all instances on the platform's list drained it, which disruptive orders require.
    drained: bool,
}

/// The kind of change that an order makes to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Changes the role; cuts streams in progress.
    SetRole,
    /// Changes the model's version; loads weights and cuts streams in progress.
    SetVersion,
    /// Loads a model's weights; does not interrupt streams.
    LoadModel,
    /// Unloads a model; cuts streams in progress.
    UnloadModel,
    /// Loads an adapter's weights; does not interrupt streams.
    LoadAdapter,
    /// Unloads an adapter; does not interrupt streams.
    UnloadAdapter,
}

/// One property that a target must have, such as its role or a loaded model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wanted {
    /// The kind of order that establishes the property.
    pub kind: OrderKind,
    /// The role, version, model or adapter that the order carries.
    pub value: String,
}

/// The record of an order in the key-value service, written before the order is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// The number of the order, which increases with each new order for the target.
    pub order: u64,
    /// The state that the order establishes.
    pub wanted: Wanted,
    /// The fencing token of the owner that gave the order its number.
    pub fencing: FencingToken,
    /// The instance that gave the order its number.
    pub by: InstanceId,
    /// Whether a report of the target has confirmed that the order took effect.
    pub done: bool,
}

/// The record that names the only process that may send orders to a target without fencing checks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hold {
    /// The instance that may send orders.
    pub instance: InstanceId,
    /// The incarnation of that instance, which identifies the process.
    pub incarnation: Incarnation,
    /// The gossip address that the process is bound to; no two can be bound to it at the same
    /// time.
    pub address: String,
    /// Whether the process has released the target.
    pub released: bool,
}

/// The records of one target in the key-value service, each with the revision of its last change.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Records {
    /// The hold and its revision, which is 0 if the record does not exist.
    pub hold: (Option<Hold>, u64),
    /// The intent and its revision, which is 0 if the record does not exist.
    pub intent: (Option<Intent>, u64),
}

/// The state that a target reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineReport {
    /// The current role, in the text form that orders carry.
    pub role: String,
    /// The loaded models.
    pub models: Vec<String>,
    /// The loaded adapters.
    pub adapters: Vec<String>,
    /// The version of the model that the engine runs.
    pub version: String,
    /// The number of the last order that took effect; 0 if there was none.
    pub last_order: u64,
    /// The number of the order that a crash interrupted; 0 if there is none.
    pub half_done: u64,
    /// The number of streams in progress.
    pub streams: usize,
    /// Whether the target is temporarily out of service, for example while it restarts.
    pub away: bool,
}

/// The next action that the driver takes for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing: nothing else is wanted, or this process neither owns nor holds the target.
    Idle,
    /// Read the hold and the intent from the key-value service.
    ReadRecords,
    /// Write a hold in a transaction that fails if the owner's key or the hold has changed.
    WriteHold {
        /// The new hold.
        hold: Hold,
        /// The revision that the current hold must have; 0 if there must be none.
        expected: u64,
        /// The fencing token, as in `WriteIntent`; `None` to release without ownership.
        fencing: Option<FencingToken>,
    },
    /// Write an intent in a transaction that fails if the owner's key or the intent has changed.
    WriteIntent {
        /// The new intent.
        intent: Intent,
        /// The revision that the current intent must have; 0 if there must be none.
        expected: u64,
        /// The fencing token, which is the revision that must have created the owner's key.
        fencing: FencingToken,
    },
    /// Read the target's report.
    ReadReport,
    /// Send an order to the target.
    Send {
        /// The number of the order, as in its intent.
        order: u64,
        /// The fencing token that the order carries.
        fencing: FencingToken,
        /// The state that the order establishes.
        wanted: Wanted,
    },
    /// Wait until the stated condition no longer applies.
    Blocked(WaitReason),
}

/// The reason why no step can be taken yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The target has this number of streams in progress, which a disruptive order would cut.
    Streams(usize),
    /// Not every listed instance has drained the target, so a disruptive order could cut a request.
    NotDrained,
    /// The target reports that it is temporarily out of service.
    Away,
    /// A process of the named instance holds the target and may still send orders.
    HeldBy(InstanceId),
    /// An unanswered order of this process may still be in flight, so the hold is not released yet.
    InFlight,
}

impl TargetReconciler {
    /// Creates the state of a process that has read nothing yet and would take `own_hold`.
    #[must_use]
    pub fn new(own_hold: Hold, checks_fencing: bool) -> Self {
        Self {
            own_hold,
            checks_fencing,
            fencing: None,
            records: None,
            report: None,
            last_report: None,
            send_deadline: 0,
            wanted: None,
            drained: false,
        }
    }

    /// Sets the fencing token under which this process owns the target, or `None`. If the token
    /// changes, records and report are read again.
    pub fn set_fencing(&mut self, fencing: Option<FencingToken>) {
        if self.fencing != fencing {
            self.fencing = fencing;
            self.records = None;
            self.report = None;
        }
    }

    /// Sets the wanted state, if any, and whether every listed instance has drained the target.
    pub fn set_wanted(&mut self, wanted: Option<Wanted>, drained: bool) {
        self.wanted = wanted;
        self.drained = drained;
    }

    /// Stores the records that were read from the key-value service.
    pub fn records_read(&mut self, records: Records) {
        self.records = Some(records);
    }

    /// Discards records and report, which is needed after every write: it may have failed, or its
    /// answer may have been lost.
    pub fn invalidate(&mut self) {
        self.records = None;
        self.report = None;
    }

    /// Discards the report so that the target is read again; `last_report` still returns it.
    pub fn invalidate_report(&mut self) {
        self.last_report = self.report.take().or(self.last_report.take());
    }

    /// Stores the report that was read from the target.
    pub fn reported(&mut self, report: EngineReport) {
        self.report = Some(report);
    }

    /// Records that an order was sent. Whether it was answered or not, the target is read next; an
    /// unanswered order counts as in flight for [`MAX_SEND_DELAY`] from `now`, when the wait ended.
    pub fn order_sent(&mut self, answered: bool, now: Millis) {
        self.report = None;
        self.send_deadline = if answered { 0 } else { now + MAX_SEND_DELAY };
    }

    /// Returns whether this process has an unreleased hold; false if records must be read again.
    #[must_use]
    pub fn holds(&self) -> bool {
        let records = self.records.as_ref();
        records.is_some_and(|records| {
            records
                .hold
                .0
                .as_ref()
                .is_some_and(|hold| self.is_own(hold))
        })
    }

    /// Returns the report or, if it must be read again, an older one kept by `invalidate_report`.
    #[must_use]
    pub fn last_report(&self) -> Option<&EngineReport> {
        self.report.as_ref().or(self.last_report.as_ref())
    }

    /// Returns the intent if there is one and the records do not have to be read again.
    #[must_use]
    pub fn intent(&self) -> Option<&Intent> {
        self.records.as_ref()?.intent.0.as_ref()
    }

    /// Returns the next step.
    ///
    /// `is_gone` returns whether the process that took a hold can no longer send orders.
    #[must_use]
    pub fn next(&self, is_gone: &dyn Fn(&Hold) -> bool, now: Millis) -> Step {
        let Some(records) = &self.records else {
            return Step::ReadRecords;
        };
        let Some(fencing) = self.fencing else {
            return self.release_hold(records, now);
        };
        if !self.checks_fencing
            && let Some(step) = self.acquire_hold(records, fencing, is_gone)
        {
            return step;
        }
        let Some(report) = &self.report else {
            return Step::ReadReport;
        };
        match &records.intent.0 {
            Some(intent) if !intent.done => self.continue_intent(intent, records, report, fencing),
            intent => self.begin_intent(intent.as_ref(), records, report, fencing),
        }
    }

    /// Returns the step that releases the hold of this process, which no longer owns the target.
    /// The hold is kept while an unanswered order could still arrive among the next holder's.
    fn release_hold(&self, records: &Records, now: Millis) -> Step {
        let Some(hold) = &records.hold.0 else {
            return Step::Idle;
        };
        if !self.is_own(hold) {
            return Step::Idle;
        }
        if now < self.send_deadline {
            return Step::Blocked(WaitReason::InFlight);
        }
        let hold = Hold {
            released: true,
            ..hold.clone()
        };
        Step::WriteHold {
            hold,
            expected: records.hold.1,
            fencing: None,
        }
    }

    /// Returns the step that takes the hold or waits for it; `None` if this process has it.
    fn acquire_hold(
        &self,
        records: &Records,
        fencing: FencingToken,
        is_gone: &dyn Fn(&Hold) -> bool,
    ) -> Option<Step> {
        if let Some(hold) = &records.hold.0 {
            if self.is_own(hold) {
                return None;
            }
            if !hold.released && !is_gone(hold) {
                return Some(Step::Blocked(WaitReason::HeldBy(hold.instance.clone())));
            }
        }
        let hold = self.own_hold.clone();
        Some(Step::WriteHold {
            hold,
            expected: records.hold.1,
            fencing: Some(fencing),
        })
    }

    /// Returns the next step for an intent that is not done.
    fn continue_intent(
        &self,
        intent: &Intent,
        records: &Records,
        report: &EngineReport,
        fencing: FencingToken,
    ) -> Step {
        if report.away {
            return Step::Blocked(WaitReason::Away);
        }
        let expected = records.intent.1;
        if report.last_order == intent.order && report.half_done != intent.order {
            let intent = Intent {
                done: true,
                ..intent.clone()
            };
            return Step::WriteIntent {
                intent,
                expected,
                fencing,
            };
        }
        // The intent gets a new order number in two cases, so that the target's next report
        // distinguishes the new order from the old one: when an earlier owner wrote it, because
        // that owner's order may still arrive; and when the target crashed after this or a later
        // order took effect, because it would take a resend under the same number for a duplicate.
        let crashed_after = report.half_done != 0 && report.last_order >= intent.order;
        if intent.fencing != fencing || crashed_after {
            let order = intent.order.max(report.last_order) + 1;
            let intent = Intent {
                order,
                fencing,
                by: self.own_hold.instance.clone(),
                ..intent.clone()
            };
            return Step::WriteIntent {
                intent,
                expected,
                fencing,
            };
        }
        if let Some(reason) = self.disruption_reason(&intent.wanted, report) {
            return Step::Blocked(reason);
        }
        Step::Send {
            order: intent.order,
            fencing,
            wanted: intent.wanted.clone(),
        }
    }

    /// Returns the step that writes a new intent, if the target is not as wanted.
    fn begin_intent(
        &self,
        last: Option<&Intent>,
        records: &Records,
        report: &EngineReport,
        fencing: FencingToken,
    ) -> Step {
        let Some(wanted) = &self.wanted else {
            return Step::Idle;
        };
        if report.away {
            return Step::Blocked(WaitReason::Away);
        }
        if report.satisfies(wanted) && report.half_done == 0 {
            return Step::Idle;
        }
        if let Some(reason) = self.disruption_reason(wanted, report) {
            return Step::Blocked(reason);
        }
        let order = last.map_or(0, |last| last.order).max(report.last_order) + 1;
        let by = self.own_hold.instance.clone();
        let intent = Intent {
            order,
            wanted: wanted.clone(),
            fencing,
            by,
            done: false,
        };
        Step::WriteIntent {
            intent,
            expected: records.intent.1,
            fencing,
        }
    }

    /// Returns why an order must wait, if it would cut streams.
    fn disruption_reason(&self, wanted: &Wanted, report: &EngineReport) -> Option<WaitReason> {
        if !wanted.is_disruptive() {
            return None;
        }
        if !self.drained {
            return Some(WaitReason::NotDrained);
        }
        (report.streams > 0).then_some(WaitReason::Streams(report.streams))
    }

    /// Returns whether a hold belongs to this process and is not released.
    fn is_own(&self, hold: &Hold) -> bool {
        *hold == self.own_hold
    }
}

impl EngineReport {
    /// Returns whether the reported state includes a wanted one.
    #[must_use]
    pub fn satisfies(&self, wanted: &Wanted) -> bool {
        let value = &wanted.value;
        match wanted.kind {
            OrderKind::SetRole => self.role == *value,
            OrderKind::SetVersion => self.version == *value,
            OrderKind::LoadModel => self.models.contains(value),
            OrderKind::UnloadModel => !self.models.contains(value),
            OrderKind::LoadAdapter => self.adapters.contains(value),
            OrderKind::UnloadAdapter => !self.adapters.contains(value),
        }
    }
}

impl Wanted {
    /// Returns whether the order makes the target load weights from the weight store.
    #[must_use]
    pub fn loads_weights(&self) -> bool {
        let kind = self.kind;
        matches!(
            kind,
            OrderKind::SetVersion | OrderKind::LoadModel | OrderKind::LoadAdapter
        )
    }

    /// Returns whether the order cuts streams in progress on the target.
    #[must_use]
    pub fn is_disruptive(&self) -> bool {
        matches!(
            self.kind,
            OrderKind::SetRole | OrderKind::SetVersion | OrderKind::UnloadModel
        )
    }
}

impl OrderKind {
    /// Returns the name of the kind in orders and in the key-value service.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SetRole => "set-role",
            Self::SetVersion => "set-version",
            Self::LoadModel => "load-model",
            Self::UnloadModel => "unload-model",
            Self::LoadAdapter => "load-adapter",
            Self::UnloadAdapter => "unload-adapter",
        }
    }
}
