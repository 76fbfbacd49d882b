//! The calls to the platform that one instance at a time makes, which is the leader.
//!
//! A call is made only while the lease of the leader is certain to be valid, which is checked
//! immediately before its bytes are sent, and only one call of a subject at a time.

pub mod exchange;
pub mod usage;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cactuslane_authority::duties::{CallEnd, CallGate, Subject};
use cactuslane_platform::Settings;
use cactuslane_platform::duties::{Post, Verdict, encode_scale, encode_usage, verdict};
use cactuslane_platform::settings::DutySettings;
use cactuslane_types::{CustomerName, DomainName, FencingToken, InstanceId, Millis, ServiceName};
use log::{info, warn};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::time::Instant;

use crate::duties::exchange::ExchangeError;
use crate::leadership::{LEASE_TTL, SharedLeadership, boot_millis};

/// The labels of the counters of calls: `duty` and `result`.
pub type DutyLabels = [(&'static str, &'static str); 2];
/// The label of the counters of windows: `result`.
pub type WindowLabels = [(&'static str, &'static str); 1];

/// Subject of all reports of usage.
const USAGE_SUBJECT: &str = "usage";
/// Number of characters of an error's text that are logged.
const LOGGED_CHARS: usize = 200;

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Reports the requests of each customer that began to run in a window.
    Usage {
        /// Number of the window.
        window: u64,
        /// Number of requests by customer.
        counts: BTreeMap<CustomerName, u64>,
    },
    /// Orders a number of targets of a service in a failure domain.
    Scale {
        /// Service of the targets.
        service: ServiceName,
        /// Failure domain of the targets.
        domain: DomainName,
        /// Number of targets of the kind.
        count: u32,
        /// Whether the targets are of the kind that the platform may reclaim.
        reclaimable: bool,
    },
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The platform accepted the call.
    Accepted,
    /// The platform has no such targets at present (status 409).
    Unavailable,
    /// The platform rejected the call with this status, which repetition will not change.
    Rejected(u16),
    /// The platform took no notice of the call, as there were too many (status 429).
    Limited,
    /// The call may have been accepted already, or be accepted some seconds later; it can be made
    /// again with the same content, and a call with other content must allow for both orders.
    Unknown(String),
    /// Nothing was sent.
    Unsent(String),
}

/// The calls of one instance, which are allowed while it leads.
#[derive(Debug)]
pub struct Duties {
    /// Name of the instance.
    holder: InstanceId,
    /// Settings of the calls; `None` if there are none to be made.
    settings: Mutex<Option<DutySettings>>,
    /// Leadership of the instance.
    leadership: SharedLeadership,
    /// Calls in flight and their rate.
    gate: Mutex<CallGate>,
    /// Time at which the clock of the gate shows 0.
    origin: Instant,
    /// Calls by duty and result.
    pub calls: Family<DutyLabels, Counter>,
    /// Windows of usage whose reports were accepted in time or late, or that were given up.
    pub windows: Family<WindowLabels, Counter>,
}

impl DutyCall {
    /// Returns the name of the duty in metrics and log lines.
    fn duty(&self) -> &'static str {
        match self {
            Self::Usage { .. } => "usage",
            Self::Scale { .. } => "scale",
        }
    }

    /// Returns the subject, of which only one call is made at a time.
    fn subject(&self) -> Subject {
        match self {
            Self::Usage { .. } => USAGE_SUBJECT.to_owned(),
            Self::Scale {
                service, domain, ..
            } => format!("scale/{service}/{domain}"),
        }
    }

    /// Returns the call in the platform's format.
    fn encode(&self) -> Post {
        match self {
            Self::Usage { window, counts } => encode_usage(*window, counts),
            Self::Scale {
                service,
                domain,
                count,
                reclaimable,
            } => encode_scale(service, domain, *count, *reclaimable),
        }
    }

    /// Returns what the call asks for, in a form for log lines.
    fn summary(&self) -> String {
        match self {
            Self::Usage { window, counts } => {
                let total: u64 = counts.values().sum();
                format!(
                    "window {window}, {total} requests of {} customers",
                    counts.len()
                )
            }
            Self::Scale {
                service,
                domain,
                count,
                reclaimable,
            } => {
                let kind = if *reclaimable { " reclaimable" } else { "" };
                format!("{count}{kind} targets of {service} in {domain}")
            }
        }
    }
}

impl DutyAnswer {
    /// Returns the value of the `result` label and of log lines.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Unavailable => "unavailable",
            Self::Rejected(_) => "rejected",
            Self::Limited => "limited",
            Self::Unknown(_) => "unknown",
            Self::Unsent(_) => "unsent",
        }
    }
}

impl Duties {
    /// Creates the calls of an instance, which makes none yet.
    #[must_use]
    pub fn open(settings: &Settings, leadership: SharedLeadership) -> Self {
        Self {
            holder: settings.instance.clone(),
            settings: Mutex::new(settings.duties.clone()),
            leadership,
            gate: Mutex::default(),
            origin: Instant::now(),
            calls: Family::default(),
            windows: Family::default(),
        }
    }

    /// Replaces the settings.
    pub fn configure(&self, settings: Option<DutySettings>) {
        *lock(&self.settings) = settings;
    }

    /// Returns the settings in force; `None` if there are no calls to be made.
    #[must_use]
    pub fn settings(&self) -> Option<DutySettings> {
        lock(&self.settings).clone()
    }

    /// Returns whether this instance appears to be cut off from the platform's address, so that
    /// another one should hold the duties.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        lock(&self.gate).is_cut(self.now())
    }

    /// Records that this instance gave the duties up as it was cut off.
    pub fn record_given_up(&self) {
        lock(&self.gate).clear_unanswered();
    }

    /// Returns the fencing token of a call made now, or `None` if this instance may not make any.
    ///
    /// The answer holds for this moment only: [`Duties::call`] checks it again.
    #[must_use]
    pub fn token(&self) -> Option<FencingToken> {
        let ttl = LEASE_TTL.as_millis() as Millis;
        self.leadership.lock().may_call(ttl, boot_millis())
    }

    /// Returns the fencing token of the leadership, also while no call may be made yet.
    #[must_use]
    pub fn acquired_token(&self) -> Option<FencingToken> {
        self.leadership.lock().token()
    }

    /// Makes a call, unless this instance is not the holder or another call of the subject has not
    /// ended; returns within about 4 seconds.
    ///
    /// Nothing is repeated here: the caller decides what to send then.
    pub async fn call(&self, call: &DutyCall) -> DutyAnswer {
        let Some(settings) = self.settings() else {
            return DutyAnswer::Unsent("no address for calls is set".to_owned());
        };
        let Some(token) = self.token() else {
            return DutyAnswer::Unsent("the office is not held".to_owned());
        };
        let subject = call.subject();
        let admitted = lock(&self.gate).begin(&subject, token, settings.call_rate, self.now());
        if let Err(denial) = admitted {
            return DutyAnswer::Unsent(denial.to_string());
        }
        let guard = CallGuard {
            duties: self,
            subject,
            end: CallEnd::Failed,
        };
        let began = Instant::now();
        let (answer, end) = self.send(settings.address, call, token).await;
        guard.finish(end);
        self.record(call, token, &answer, began);
        answer
    }

    /// Sends a call under a token if that is still in force once a connection is open.
    async fn send(
        &self,
        address: SocketAddr,
        call: &DutyCall,
        token: FencingToken,
    ) -> (DutyAnswer, CallEnd) {
        let post = call.encode();
        let is_held = || self.token() == Some(token);
        let received = exchange::post(address, &self.holder, token, post, is_held).await;
        let (status, text) = match received {
            Ok(received) => received,
            Err(ExchangeError::NotHeld) => {
                let why = "the office was lost while connecting".to_owned();
                return (DutyAnswer::Unsent(why), CallEnd::Failed);
            }
            Err(ExchangeError::Unsent(why)) => {
                return (DutyAnswer::Unsent(why), CallEnd::Unanswered);
            }
            Err(ExchangeError::Broken(why)) => {
                return (DutyAnswer::Unknown(why), CallEnd::Unanswered);
            }
        };
        match verdict(status) {
            Verdict::Accepted => (DutyAnswer::Accepted, CallEnd::Answered),
            Verdict::Unavailable => (DutyAnswer::Unavailable, CallEnd::Answered),
            Verdict::Limited => (DutyAnswer::Limited, CallEnd::Limited),
            Verdict::Failed => {
                let why = format!("status {status}: {text}");
                (DutyAnswer::Unknown(why), CallEnd::Failed)
            }
            Verdict::Rejected => {
                let text: String = text.chars().take(LOGGED_CHARS).collect();
                warn!(duty = call.duty(), status, text; "the platform rejected a call");
                (DutyAnswer::Rejected(status), CallEnd::Failed)
            }
        }
    }

    /// Counts and logs a call that ended.
    fn record(&self, call: &DutyCall, token: FencingToken, answer: &DutyAnswer, began: Instant) {
        let (duty, result) = (call.duty(), answer.label());
        let labels = [("duty", duty), ("result", result)];
        self.calls.get_or_create(&labels).inc();
        let elapsed_ms = began.elapsed().as_millis() as u64;
        let content = call.summary();
        match answer {
            DutyAnswer::Unknown(why) | DutyAnswer::Unsent(why) => {
                warn!(duty, content, token, result, why, elapsed_ms; "call to the platform");
            }
            _ => info!(duty, content, token, result, elapsed_ms; "call to the platform"),
        }
    }

    /// Returns whether a report of usage need not wait for the pause after an earlier one.
    fn may_report(&self) -> bool {
        lock(&self.gate).pause_left(USAGE_SUBJECT, self.now()) == 0
    }

    /// Counts a window of usage by the result of its reports.
    fn count_window(&self, result: &'static str) {
        self.windows.get_or_create(&[("result", result)]).inc();
    }

    /// Returns the time on the clock of the gate.
    fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }
}

/// Guard of a call in flight, which ends it when it is dropped.
#[derive(Debug)]
struct CallGuard<'a> {
    /// The calls of the instance.
    duties: &'a Duties,
    /// The subject of the call.
    subject: Subject,
    /// How the call ended; as failed if the task that makes it is aborted.
    end: CallEnd,
}

impl CallGuard<'_> {
    /// Ends the call.
    fn finish(mut self, end: CallEnd) {
        self.end = end;
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = self.duties.now();
        lock(&self.duties.gate).end(&self.subject, self.end, now);
    }
}

/// Locks a mutex, also if another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
