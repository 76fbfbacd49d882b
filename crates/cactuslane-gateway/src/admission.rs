//! Requests that wait or are refused while the targets have too little room.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuslane_place::admission::ShareReport;
use cactuslane_place::{Admission, AdmissionRequest, Decision, Forecast, RefusalCause};
use cactuslane_place::{Verdict, Waiting};
use cactuslane_types::{Millis, ServiceName};
use log::info;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::request::CallerRequest;

/// Largest number of services in the reports of another instance that are kept.
const MAX_SERVICES: usize = 64;

/// Decisions about requests that compete for room, by service.
#[derive(Debug, Default)]
pub struct Admissions {
    /// State of each service.
    services: Mutex<BTreeMap<ServiceName, Admission>>,
    /// Waits and refusals by result.
    pub counts: Family<Vec<(&'static str, &'static str)>, Counter>,
}

/// A request's way to its first attempt; a place in the queue is given back when it is dropped.
#[derive(Debug)]
pub struct Entry<'a> {
    /// Decisions of the instance.
    admissions: &'a Admissions,
    /// Service of the request.
    service: &'a str,
    /// Place in the queue while it waits.
    waiting: Option<Waiting>,
    /// Whether it was admitted.
    is_admitted: bool,
}

impl Admissions {
    /// Returns the reports of the customers' work for the other instances.
    #[must_use]
    pub fn reports(&self, version: (u64, u64), now: Millis) -> Vec<ShareReport> {
        let services = self.lock();
        let report = |(service, admission): (&ServiceName, &Admission)| {
            admission.report(service, version, now)
        };
        services.iter().filter_map(report).collect()
    }

    /// Applies a report of another instance.
    pub fn apply(&self, instance: &str, report: ShareReport, now: Millis) {
        let mut services = self.lock();
        if services.len() >= MAX_SERVICES && !services.contains_key(&report.service) {
            return;
        }
        let admission = services.entry(report.service.clone());
        let admission = admission.or_insert_with(|| Admission::new(rand::random()));
        admission.shares.apply(instance, report, now);
    }

    /// Refuses a request that no target would answer before its deadline, and returns the time
    /// after which the caller should return; room is expected in `excess`.
    #[must_use]
    pub fn turn_away(
        &self,
        request: &CallerRequest,
        excess: Duration,
        left: Duration,
        now: Millis,
    ) -> Duration {
        if !competes(request) {
            return excess.min(left / 3);
        }
        self.counts
            .get_or_create(&vec![("result", "deadline")])
            .inc();
        let forecast = Forecast::default();
        let excess_ms = excess.as_secs_f64() * 1000.0;
        self.with(&request.service, |admission| {
            admission.turn_away(&admission_request(request, &forecast, left), excess_ms, now)
        })
    }

    /// Returns what would be decided about a request that arrives now, by a copy of the state;
    /// `None` if callers do not compete for room.
    #[must_use]
    pub fn preview(
        &self,
        request: &CallerRequest,
        forecast: &Forecast,
        left: Duration,
        now: Millis,
    ) -> Option<Verdict> {
        if !competes(request) {
            return None;
        }
        let admission = self.lock().get(&request.service).cloned();
        let mut admission = admission.unwrap_or_else(|| Admission::new(0));
        let asked = admission_request(request, forecast, left);
        Some(admission.decide(&asked, None, now))
    }

    /// Accesses the state of a service.
    fn with<T>(&self, service: &str, action: impl FnOnce(&mut Admission) -> T) -> T {
        let mut services = self.lock();
        if let Some(admission) = services.get_mut(service) {
            return action(admission);
        }
        let admission = services.entry(service.to_owned());
        action(admission.or_insert_with(|| Admission::new(rand::random())))
    }

    /// Locks the states of the services.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Admission>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<'a> Entry<'a> {
    /// Begins the way of a request that has just arrived.
    #[must_use]
    pub fn new(admissions: &'a Admissions, request: &'a CallerRequest) -> Self {
        Self {
            admissions,
            service: &request.service,
            waiting: None,
            is_admitted: !competes(request),
        }
    }

    /// Decides about the request by the expected times at the target that was chosen; waits if that
    /// is the decision, after which a target is chosen again.
    ///
    /// Returns whether the request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should return and the cause if the request is
    /// refused.
    pub async fn pass(
        &mut self,
        request: &CallerRequest,
        forecast: &Forecast,
        left: Duration,
        now: Millis,
    ) -> Result<bool, (Duration, &'static str)> {
        if self.is_admitted {
            return Ok(true);
        }
        let asked = admission_request(request, forecast, left);
        let was_waiting = self.waiting.take();
        let verdict = self.admissions.with(self.service, |admission| {
            admission.decide(&asked, was_waiting, now)
        });
        self.waiting = verdict.waiting;
        let result = match verdict.decision {
            Decision::Run => "run",
            Decision::Wait(_) => "wait",
            Decision::Refuse { cause, .. } => cause_label(cause),
        };
        // Looks after the first, and requests that run without a wait, are too many for a line.
        let is_first = was_waiting.is_none();
        if result != "run" && (is_first || result != "wait") {
            let counter = vec![("result", result)];
            self.admissions.counts.get_or_create(&counter).inc();
            log_decision(request, &asked, &verdict, result);
        }
        match verdict.decision {
            Decision::Run => {
                self.is_admitted = true;
                Ok(true)
            }
            Decision::Wait(time) => {
                tokio::time::sleep(time.min(left)).await;
                Ok(false)
            }
            Decision::Refuse { after, cause } => Err((after, cause_label(cause))),
        }
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        if let Some(waiting) = self.waiting {
            self.admissions
                .with(self.service, |admission| admission.leave(waiting.ticket));
        }
    }
}

/// Returns whether callers of the deployment compete for room: where its configuration has customers.
fn competes(request: &CallerRequest) -> bool {
    request.config.customers.is_some()
}

/// Returns what the decision needs of a request.
fn admission_request<'r>(
    request: &'r CallerRequest,
    forecast: &Forecast,
    left: Duration,
) -> AdmissionRequest<'r> {
    let info = &request.info;
    let work = if info.prompt_tokens > 0 {
        f64::from(info.prompt_tokens) + f64::from(info.max_output)
    } else {
        forecast.service_ms
    };
    AdmissionRequest {
        customer: request.customer.as_deref(),
        priority: request.priority,
        fingerprint: info.fingerprint,
        work,
        service_ms: forecast.service_ms,
        wait_ms: forecast.wait_ms,
        target_ms: forecast.target_ms,
        rivals: forecast.rivals,
        view_age: forecast.view_age,
        stated: info.timeout,
        waited: request.arrived.elapsed(),
        objective: request.route.latency_objective,
        left,
    }
}

/// Returns the metric label of a refusal, which is also its cause in the answer's log line.
#[must_use]
pub fn cause_label(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::Deadline => "deadline",
        RefusalCause::Share => "share",
        RefusalCause::Room => "room",
    }
}

/// Logs that a request waits or is refused, with what decided.
fn log_decision(
    request: &CallerRequest,
    asked: &AdmissionRequest<'_>,
    verdict: &Verdict,
    result: &str,
) {
    let come_back = match verdict.decision {
        Decision::Refuse { after, .. } => after,
        Decision::Wait(_) | Decision::Run => Duration::ZERO,
    };
    info!(
        request = request.info.id,
        route = request.route.name,
        customer = asked.customer.unwrap_or(""),
        result,
        rank = verdict.rank,
        share = verdict.share,
        queue_ms = asked.wait_ms as u64,
        bound_ms = verdict.bound_ms.clamp(0.0, 1e9) as u64,
        expected_ms = (asked.wait_ms + asked.service_ms) as u64,
        waited_ms = asked.waited.as_millis() as u64,
        left_ms = asked.left.as_millis() as u64,
        view_age_ms = asked.view_age.as_millis() as u64,
        reports_age_ms = verdict.reports_age.unwrap_or_default(),
        come_back_ms = come_back.as_millis() as u64;
        "too little room"
    );
}
