//! Bringing one target to a wanted state.
//!
//! [`TargetReconciler`] is the part of one process for one target. It says what to do next; the driver
//! does that one thing and reports the result. Between any two steps the process may be paused
//! for any time, its lease may lapse, and others may act.
//!
//! What makes an order safe depends on the target:
//! - One that **checks** fencing numbers refuses orders of earlier owners.
//! - One that **ignores** them gets orders only from the process whose name stands in a hold. A
//!   hold does not lapse. It passes on when its holder gives it back; when the instance list has
//!   not shown the holder's instance for longer than the list lags and a send takes; or when
//!   another incarnation is bound to the holder's address, for longer than a send takes. A paused
//!   holder thus keeps the target until it wakes or is removed by the platform.

use cactuslane_types::{Fencing, Incarnation, InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Longest time that an order may be on its way, in milliseconds.
pub const MAX_SEND_DELAY: Millis = 5_000;

/// Says what one process does next for one target.
#[derive(Clone, Debug)]
pub struct TargetReconciler {
    /// This process.
    own_hold: Hold,
    /// Says whether the target checks fencing numbers.
    checks_fencing: bool,
    /// The fencing number under which this process owns the target.
    fencing: Option<Fencing>,
    /// What the service holds, once it was read under that fencing number.
    records: Option<Records>,
    /// What the target last reported, once it was asked.
    report: Option<EngineReport>,
    /// The report before, for those who only look.
    last_report: Option<EngineReport>,
    /// The time until which an order of this process may be on its way.
    send_deadline: Millis,
    /// The target's wanted state.
    wanted: Option<Wanted>,
    /// Says whether the target is drained everywhere, so that an order may cut streams.
    drained: bool,
}

/// An order's kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Changes the role.
    SetRole,
    /// Changes the version.
    SetVersion,
    /// Loads a model.
    LoadModel,
    /// Unloads a model.
    UnloadModel,
    /// Loads an adapter.
    LoadAdapter,
    /// Unloads an adapter.
    UnloadAdapter,
}

/// A state that a target shall have.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wanted {
    /// The order that brings it about.
    pub kind: OrderKind,
    /// The role, version, model or adapter.
    pub value: String,
}

/// An intent as the service holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Numbers the orders of the target.
    pub order: u64,
    /// What it brings about.
    pub wanted: Wanted,
    /// The fencing number under which it was written.
    pub fencing: Fencing,
    /// The process that wrote it.
    pub by: InstanceId,
    /// Says whether the target has reported its effect.
    pub done: bool,
}

/// A hold as the service holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hold {
    /// The instance that may send orders.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The address that the process is bound to, which no two processes can be at once.
    pub address: String,
    /// Says whether it has given the target back.
    pub released: bool,
}

/// What the service holds on one target, each with the revision of its last change.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Records {
    /// The hold, and its revision or 0.
    pub hold: (Option<Hold>, u64),
    /// The intent, and its revision or 0.
    pub intent: (Option<Intent>, u64),
}

/// What a target reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineReport {
    /// Its role.
    pub role: String,
    /// Holds its models.
    pub models: Vec<String>,
    /// Holds its adapters.
    pub adapters: Vec<String>,
    /// Its version.
    pub version: String,
    /// The number of the last order that took effect.
    pub last_order: u64,
    /// The number of the order that a crash left half done; 0 for none.
    pub half_done: u64,
    /// The number of streams in progress.
    pub streams: usize,
    /// Says whether it is away.
    pub away: bool,
}

/// The next step for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is to be done.
    Idle,
    /// Read hold and intent.
    ReadRecords,
    /// Write a hold, if the owner's key and the hold's revision are unchanged.
    WriteHold {
        /// The new hold.
        hold: Hold,
        /// The revision that the old one must have.
        expected: u64,
        /// The fencing number that the owner's key must have; none for giving back.
        fencing: Option<Fencing>,
    },
    /// Write an intent, if the owner's key and the intent's revision are unchanged.
    WriteIntent {
        /// The new intent.
        intent: Intent,
        /// The revision that the old one must have.
        expected: u64,
        /// The fencing number that the owner's key must have.
        fencing: Fencing,
    },
    /// Read what the target reports.
    ReadReport,
    /// Send an order to the target.
    Send {
        /// Numbers the order.
        order: u64,
        /// The fencing number that it carries.
        fencing: Fencing,
        /// What it brings about.
        wanted: Wanted,
    },
    /// Wait for what is named.
    Blocked(WaitReason),
}

/// What a step waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The target has streams that a disruptive order would cut.
    Streams(usize),
    /// The target is not drained everywhere, so that a disruptive order could cut a request.
    NotDrained,
    /// The target is away.
    Away,
    /// Another process holds the target and is not known to be gone.
    HeldBy(InstanceId),
    /// An order of this process may still be on its way.
    InFlight,
}

impl TargetReconciler {
    /// Creates the part of a process, named by the hold that it would take, for a target.
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

    /// Sets the fencing number under which this process owns the target, or none.
    pub fn set_fencing(&mut self, fencing: Option<Fencing>) {
        if self.fencing != fencing {
            self.fencing = fencing;
            self.records = None;
            self.report = None;
        }
    }

    /// Sets the wanted state, or none, and whether the target is drained everywhere.
    pub fn set_wanted(&mut self, wanted: Option<Wanted>, drained: bool) {
        self.wanted = wanted;
        self.drained = drained;
    }

    /// Takes in what the service holds.
    pub fn records_read(&mut self, records: Records) {
        self.records = Some(records);
    }

    /// Forgets what was read, after a write that failed or whose answer was lost.
    pub fn invalidate(&mut self) {
        self.records = None;
        self.report = None;
    }

    /// Asks the target again before the next step.
    pub fn invalidate_report(&mut self) {
        self.last_report = self.report.take().or(self.last_report.take());
    }

    /// Takes in what the target reports.
    pub fn reported(&mut self, report: EngineReport) {
        self.report = Some(report);
    }

    /// Records that an order was sent; whatever came of it, the target is asked next.
    pub fn order_sent(&mut self, answered: bool, now: Millis) {
        self.report = None;
        self.send_deadline = if answered { 0 } else { now + MAX_SEND_DELAY };
    }

    /// Returns whether this process holds the target, as far as it has read.
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

    /// Returns what the target last reported, which may have been a while ago.
    #[must_use]
    pub fn last_report(&self) -> Option<&EngineReport> {
        self.report.as_ref().or(self.last_report.as_ref())
    }

    /// Returns the intent that was last read.
    #[must_use]
    pub fn intent(&self) -> Option<&Intent> {
        self.records.as_ref()?.intent.0.as_ref()
    }

    /// Returns the next step.
    ///
    /// `is_gone` says whether the process that took a hold can send nothing any more.
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

    /// Gives a hold back when this process no longer owns the target.
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

    /// Returns the step that is needed before this process holds the target, if one is.
    fn acquire_hold(
        &self,
        records: &Records,
        fencing: Fencing,
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

    /// Brings a written intent to its end.
    fn continue_intent(
        &self,
        intent: &Intent,
        records: &Records,
        report: &EngineReport,
        fencing: Fencing,
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
        // An earlier owner's order may still arrive, and a target that crashed after it had taken
        // the order takes it for a repetition: both go on under a new number, which the target's
        // next report tells apart from the old one.
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

    /// Writes a new intent if the target is not as wanted.
    fn begin_intent(
        &self,
        last: Option<&Intent>,
        records: &Records,
        report: &EngineReport,
        fencing: Fencing,
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

    /// Returns why an order that cuts streams has to wait, if it has.
    fn disruption_reason(&self, wanted: &Wanted, report: &EngineReport) -> Option<WaitReason> {
        if !wanted.is_disruptive() {
            return None;
        }
        if !self.drained {
            return Some(WaitReason::NotDrained);
        }
        (report.streams > 0).then_some(WaitReason::Streams(report.streams))
    }

    /// Returns whether a hold is this process's and not given back.
    fn is_own(&self, hold: &Hold) -> bool {
        *hold == self.own_hold
    }
}

impl EngineReport {
    /// Returns whether the target has a wanted state.
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
    /// Returns whether the order makes the target load weights.
    #[must_use]
    pub fn loads_weights(&self) -> bool {
        let kind = self.kind;
        matches!(
            kind,
            OrderKind::SetVersion | OrderKind::LoadModel | OrderKind::LoadAdapter
        )
    }

    /// Returns whether the order cuts streams that are in progress.
    #[must_use]
    pub fn is_disruptive(&self) -> bool {
        matches!(
            self.kind,
            OrderKind::SetRole | OrderKind::SetVersion | OrderKind::UnloadModel
        )
    }
}

impl OrderKind {
    /// Returns the text that orders carry.
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
