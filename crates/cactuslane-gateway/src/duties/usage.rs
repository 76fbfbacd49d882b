//! Reports of customers' usage, made by the holder of the duties.
//!
//! The content of a report is written to the store under the condition that there is none yet, so
//! that all instances that ever send the report of a window send the same bytes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_authority::reports::{Counts, Punctuality, ReportPlan, Step, WindowNumber};
use cactuslane_platform::settings::UsageSettings;
use cactuslane_store::kv::{KvClient, KvError, Update};
use cactuslane_types::{CustomerName, FencingToken, InstanceId, Millis, Position};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::{Duties, DutyAnswer, DutyCall};
use crate::keys::USAGE_PREFIX;

/// Interval at which the next step is looked for.
const INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a call to the store that failed.
const STORE_PAUSE: Duration = Duration::from_millis(400);
/// Version of the stored form; contents of another version are not used.
const VERSION: u32 = 1;
/// Time after an acquisition of the leadership in which all instances send their counts to the new
/// leader; mostly, the gap between holders is longer.
const COLLECT_TIME: Duration = Duration::from_secs(2);

/// What the reports are made from; the functions are called often and must return at once.
#[derive(Debug)]
pub struct Sources<C, N> {
    /// Returns the requests of each customer that began in a window, or `None` if its counts are
    /// not kept or none are made.
    pub counts: C,
    /// Returns the true time, in milliseconds since the Unix epoch.
    pub unix_now: N,
    /// Time since when the requests are counted, in milliseconds since the Unix epoch; earlier
    /// windows are not reported.
    pub started: Millis,
    /// Name of the instance.
    pub instance: InstanceId,
}

/// The stored content of a report.
#[derive(Debug, Serialize, Deserialize)]
struct StoredReport {
    /// Version of this form.
    version: u32,
    /// Length of the window, in milliseconds.
    length: Millis,
    /// Number of requests that began in the window, by customer.
    counts: BTreeMap<CustomerName, u64>,
    /// Instance that counted them.
    instance: InstanceId,
}

/// The reports of one instance.
#[derive(Debug)]
struct Reporter<C, N> {
    /// Calls to the platform.
    duties: Arc<Duties>,
    /// Client of the store.
    store: KvClient,
    /// What the reports are made from.
    sources: Sources<C, N>,
    /// Settings for which the plan was made.
    settings: UsageSettings,
    /// Which report is made next.
    plan: ReportPlan,
    /// Fencing token of the leadership, with the time at which this task first saw it.
    acquired: Option<(FencingToken, Instant)>,
    /// Fencing token under which the stored contents were read last.
    read_under: Option<FencingToken>,
}

/// Reports the usage of each window while this instance holds the duties, until the task is
/// aborted; does nothing while the settings ask for no reports.
pub async fn run<C, N>(duties: Arc<Duties>, store: KvClient, sources: Sources<C, N>)
where
    C: Fn(WindowNumber) -> Option<Counts> + Send,
    N: Fn() -> Millis + Send,
{
    let settings = usage_settings(&duties).unwrap_or_default();
    let mut reporter = Reporter {
        duties,
        store,
        settings,
        plan: new_plan(settings, sources.started),
        sources,
        acquired: None,
        read_under: None,
    };
    loop {
        sleep(INTERVAL).await;
        let Some(settings) = usage_settings(&reporter.duties) else {
            continue;
        };
        if settings != reporter.settings {
            reporter.settings = settings;
            reporter.plan = new_plan(settings, (reporter.sources.unix_now)());
            reporter.read_under = None;
        }
        reporter.step().await;
    }
}

impl<C, N> Reporter<C, N>
where
    C: Fn(WindowNumber) -> Option<Counts>,
    N: Fn() -> Millis,
{
    /// Makes the reports that are ready.
    async fn step(&mut self) {
        let acquired = self.duties.acquired_token();
        if acquired != self.acquired.map(|(token, _)| token) {
            self.acquired = acquired.map(|token| (token, Instant::now()));
        }
        let Some(token) = self.duties.token() else {
            self.plan.release();
            return;
        };
        let is_told = self
            .acquired
            .is_some_and(|(_, at)| at.elapsed() >= COLLECT_TIME);
        if !is_told {
            return;
        }
        for window in self.plan.expire(self.now()) {
            self.duties.count_window("missed");
            warn!(window, token; "report of usage missed: no call of it was accepted");
        }
        if self.read_under != Some(token) && !self.read_stored().await {
            return;
        }
        self.read_under = Some(token);
        while let Some(step) = self.plan.next(self.now()) {
            let is_done = match step {
                Step::Store(window) => self.store_content(window).await,
                Step::Send(window, counts) => self.send(window, counts).await,
            };
            // The holder may have changed, and the settings.
            if !is_done || self.duties.token() != Some(token) {
                return;
            }
        }
    }

    /// Reads the contents that other instances stored; returns whether that succeeded.
    async fn read_stored(&mut self) -> bool {
        let (items, _) = match self.store.range(USAGE_PREFIX).await {
            Ok(read) => read,
            Err(error) => {
                warn!(error:% = error; "stored reports of usage not read, no report is made yet");
                sleep(STORE_PAUSE).await;
                return false;
            }
        };
        // The windows become known to the plan, which takes the contents of those that are ready.
        self.plan.next(self.now());
        info!(reports = items.len(); "read the stored reports of usage");
        for item in items {
            let number = item.key.strip_prefix(USAGE_PREFIX);
            if let Some(window) = number.and_then(|number| number.parse().ok()) {
                self.take_content(window, &item.value);
            }
        }
        true
    }

    /// Stores the content of a window, or takes the one that is stored; returns whether the content
    /// is known now.
    async fn store_content(&mut self, window: WindowNumber) -> bool {
        let key = format!("{USAGE_PREFIX}{window}");
        let Some(counts) = (self.sources.counts)(window) else {
            // A content with too low counts would keep another instance from storing its own.
            self.plan.record_failure(window);
            return false;
        };
        let report = StoredReport {
            version: VERSION,
            length: self.settings.window.as_millis() as Millis,
            counts: counts.clone(),
            instance: self.sources.instance.clone(),
        };
        let obsolete = self.plan.obsolete(self.now());
        let deletes = obsolete.iter().map(|old| format!("{USAGE_PREFIX}{old}"));
        let update = Update {
            expected: vec![(key.clone(), Position::default())],
            writes: vec![(
                key.clone(),
                serde_json::to_vec(&report).unwrap_or_default(),
                None,
            )],
            deletes: deletes.collect(),
        };
        let written = self.store.update(&update).await;
        // If they are still there, the next holder deletes them.
        self.plan.forget_stored(&obsolete);
        let Err(error) = written else {
            let age_ms = self.plan.age(window, self.now());
            let requests: u64 = counts.values().sum();
            info!(window, requests, age_ms; "report of usage stored");
            self.plan.record_stored(window, counts);
            return true;
        };
        // Another holder wrote it, or the answer to the own write was lost.
        let is_open = matches!(
            error,
            KvError::Conflict | KvError::Lost(_) | KvError::Malformed(_)
        );
        let read = if is_open {
            self.store.get(&key).await
        } else {
            Err(error.clone())
        };
        if let Ok(read) = &read
            && let Some(item) = &read.item
        {
            info!(window, error:% = error; "report of usage was stored already");
            let value = item.value.clone();
            self.take_content(window, &value);
            return true;
        }
        let age_ms = self.plan.age(window, self.now());
        warn!(window, age_ms, error:% = error; "report of usage not stored, this is tried again");
        self.plan.record_failure(window);
        sleep(STORE_PAUSE).await;
        false
    }

    /// Takes a content that was read from the store.
    fn take_content(&mut self, window: WindowNumber, value: &[u8]) {
        let length = self.settings.window.as_millis() as Millis;
        let report = serde_json::from_slice::<StoredReport>(value);
        let report = report.map_err(|error| error.to_string());
        let report = report.and_then(|report| {
            let fits = report.version == VERSION && report.length == length;
            let (version, length) = (report.version, report.length);
            fits.then_some(report)
                .ok_or_else(|| format!("version {version}, window of {length} ms"))
        });
        match report {
            Ok(report) => self.plan.record_stored(window, report.counts),
            Err(error) => {
                // Its content may have been sent, which no other may follow.
                warn!(window, error; "stored report of usage is unreadable, the window is left out");
                if self.plan.record_unusable(window) {
                    self.duties.count_window("missed");
                }
            }
        }
    }

    /// Sends a report; returns whether it was accepted.
    async fn send(&mut self, window: WindowNumber, counts: Counts) -> bool {
        if !self.duties.may_report() {
            return false;
        }
        let answer = self.duties.call(&DutyCall::Usage { window, counts }).await;
        let now = self.now();
        let age_ms = self.plan.age(window, now);
        if answer != DutyAnswer::Accepted {
            info!(window, age_ms, answer:? = answer; "report of usage not accepted yet");
            self.plan.record_failure(window);
            return false;
        }
        match self.plan.record_accepted(window, now) {
            Punctuality::InTime => self.duties.count_window("in_time"),
            Punctuality::Late => {
                self.duties.count_window("late");
                warn!(window, age_ms; "report of usage was late");
            }
        }
        true
    }

    /// Returns the true time, in milliseconds since the Unix epoch.
    fn now(&self) -> Millis {
        (self.sources.unix_now)()
    }
}

/// Returns when reports are due, if any are.
fn usage_settings(duties: &Duties) -> Option<UsageSettings> {
    duties.settings()?.usage
}

/// Creates the plan of an instance that knows the counts since `started`.
fn new_plan(settings: UsageSettings, started: Millis) -> ReportPlan {
    let millis = |duration: Duration| duration.as_millis() as Millis;
    ReportPlan::new(millis(settings.window), millis(settings.due), started)
}
