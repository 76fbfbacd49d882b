//! The guarantees that a run verifies, from the answers of callers and the records of targets.

pub mod recovery;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_platform_standin::script::{event_count, has_ids};
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

use crate::attempts;
use crate::customers::KEYS;
use crate::load::{Outcome, RequestKind, RequestRecord};
use crate::made::{self, Made, Sources};
use crate::probes::{self, ProbeLog};
use crate::process::WINDOW_S;

/// Time after the end of an unplanned fault during which its effects still excuse answers that are
/// cut and requests run at draining targets.
pub const FAULT_GRACE: Duration = Duration::from_secs(3);
/// Time after a target's entry is set to draining during which instances may still send it
/// requests, because they may not know of the drain yet.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Time after a target first names a limit from which the limit must hold.
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// Length of the window in which the requests at a target with a limit are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Number of requests that such a window may have beyond one and a half times the limit.
const LIMIT_SLACK: f64 = 5.0;
/// Maximum time from the due time of a request to its failure if the instance closed the connection
/// while the request was being sent.
pub const CLOSE_RACE_TIME: Duration = Duration::from_millis(200);
/// Time after the end of the last fault or planned change within which the system must recover.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time after the configuration without a key from which the key must not be served.
const REVOKED_GRACE: Duration = Duration::from_secs(3);
/// Time after the end of a window within which its report is written.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Largest error of a reported number of requests, as a share of it.
const MAX_USAGE_ERROR: f64 = 0.05;
/// Number of requests by which a report may be wrong beyond that, which began near the limits of
/// the window.
const USAGE_SLACK: f64 = 2.0;

/// Name of the guarantee of streams over all attempts of their callers.
const ATTEMPTS: &str = "streams are in order over all attempts";

/// A guarantee that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the guarantee, as in the report.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Id of the request, name of the instance or process, or other subject of the check.
    #[serde(rename = "about")]
    pub subject: String,
    /// Description of what was observed instead.
    #[serde(rename = "seen")]
    pub observed: String,
}

/// What a run observed apart from the answers that callers received.
#[derive(Debug, Default)]
pub struct Observations {
    /// Start times of the runs at all targets, by request id.
    pub runs: BTreeMap<String, Vec<Instant>>,
    /// Start and end of each unplanned fault; faults of targets end when requests have used up all
    /// that were pending.
    pub faults: Vec<(Instant, Instant)>,
    /// What the runs at all targets made, by request id.
    pub made: BTreeMap<String, Vec<Made>>,
    /// Id of a target that is a process, with start and end of a fault of it.
    pub process_faults: Vec<(String, Instant, Instant)>,
    /// Start and end of each drain of a target, with the start times of the target's runs since
    /// that start.
    pub drains: Vec<(Instant, Instant, Vec<Instant>)>,
    /// Start of each time in which a target named a limit, the limit in requests a second and the
    /// arrival times of requests and calls at the target.
    pub limits: Vec<(Instant, f64, Vec<Instant>)>,
    /// Configuration versions in force in each process, with the times at which they were read, in
    /// order.
    pub versions: BTreeMap<String, Vec<(Instant, u64)>>,
    /// Names of instances with the exit codes of their processes that ended other than by
    /// [`Action::Kill`](crate::plan::Action::Kill); `None` if a signal ended the process.
    pub exits: Vec<(String, Option<i32>)>,
    /// Probes of the configuration in force.
    pub probes: ProbeLog,
    /// Time of the configuration that removed the first key; `None` if there was none.
    pub revoked: Option<Instant>,
    /// Counts of each reported window of usage, with the number of its reports.
    pub reports: BTreeMap<u64, (Value, usize)>,
    /// What is wrong with the order of the reports and their contents.
    pub crossings: Vec<String>,
    /// Latest end of a fault or planned change, or the start of one without a known duration;
    /// `None` if there was none.
    pub disruption_end: Option<Instant>,
}

/// Number of checks of each guarantee, by its name.
pub type CheckCounts = BTreeMap<&'static str, u64>;

/// Verifies all guarantees, those that bound a time (drains, limits and recovery) only if `timed` is set.
///
/// Returns the violations and the number of checks. `kinds` are those of the load that `records`
/// belong to.
#[must_use]
pub fn check(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    observations: &Observations,
    timed: bool,
) -> (Vec<Violation>, CheckCounts) {
    let mut checker = Checker {
        observations,
        violations: Vec::new(),
        check_counts: CheckCounts::new(),
        streams: BTreeMap::new(),
    };
    for record in records {
        checker.check_request(record, &kinds[record.kind]);
    }
    for judgement in attempts::judge(records, kinds, observations) {
        let observed = || judgement.wrong.clone().unwrap_or_default();
        let (name, holds) = (ATTEMPTS, judgement.wrong.is_none());
        checker.record_check(name, holds, &judgement.stream, observed);
    }
    checker.check_versions();
    checker.check_exits();
    let crossings = &observations.crossings;
    let observed = || format!("{crossings:?}");
    checker.record_check(
        "one holder, one content",
        crossings.is_empty(),
        "reports",
        observed,
    );
    for finding in probes::judge(&observations.probes, timed) {
        let observed = || finding.observed.clone();
        checker.record_check(finding.guarantee, finding.holds, &finding.subject, observed);
    }
    if timed {
        checker.check_usage(records);
        checker.check_revoked(records);
        checker.check_drains();
        checker.check_limits();
        if let Some(recovery) = recovery::judge(records, observations) {
            let observed = || recovery.observed.clone();
            checker.record_check("recovers", recovery.holds, "the end of the run", observed);
        }
    }
    (checker.violations, checker.check_counts)
}

/// State of the verification of one run.
#[derive(Debug)]
struct Checker<'f> {
    /// Observations that the answers are compared with.
    observations: &'f Observations,
    /// Violations found so far.
    violations: Vec<Violation>,
    /// Number of checks so far, by guarantee.
    check_counts: CheckCounts,
    /// Versions of the targets that made events of a stream, by the id of the request that began it.
    streams: BTreeMap<String, BTreeSet<String>>,
}

impl Checker<'_> {
    /// Counts a check, and adds a violation if `holds` is false.
    fn record_check(
        &mut self,
        guarantee: &'static str,
        holds: bool,
        subject: &str,
        observed: impl Fn() -> String,
    ) {
        *self.check_counts.entry(guarantee).or_default() += 1;
        if !holds {
            self.violations.push(Violation {
                guarantee,
                subject: subject.to_owned(),
                observed: observed(),
            });
        }
    }

    /// Checks the answer to one request against its runs at all targets.
    fn check_request(&mut self, record: &RequestRecord, kind: &RequestKind) {
        let runs = self.observations.runs.get(&record.id).map_or(0, Vec::len);
        let observed = || format!("{runs} runs, {:?}", record.outcome);
        let made = self.observations.made.get(&record.id);
        let made = made.map_or(&[][..], Vec::as_slice);
        let began = record.taken_up.as_ref().map(|part| part.stream.as_str());
        let began = began.unwrap_or(&record.id);
        let sources = Sources {
            made,
            count: event_count(began),
            resumable: !kind.once && has_ids(began),
            last: record.taken_up.as_ref().map_or(0, |part| part.last),
        };
        self.check_made(record, kind, &sources);
        if kind.stream {
            self.check_software(record, &sources);
        }
        if kind.once {
            self.record_check("runs at most once", runs <= 1, &record.id, observed);
        }
        match &record.outcome {
            Outcome::Whole {
                status,
                signed,
                body,
            } => {
                if matches!(status, 408 | 421 | 429 | 503) {
                    self.record_check("not run is true", runs == 0, &record.id, observed);
                } else if *status == 401 && record.key == Some(0) {
                    let removed = self.observations.revoked;
                    let is_true = runs == 0 && removed.is_some_and(|at| at <= record.ended);
                    self.record_check(
                        "keys are known until removed",
                        is_true,
                        &record.id,
                        observed,
                    );
                } else if (400..500).contains(status) {
                    self.record_check("proper requests are allowed", false, &record.id, observed);
                }
                if *status == 200 {
                    let complete = !kind.stream || sources.check_whole(body).is_ok();
                    let valid = *signed && complete && runs > 0;
                    self.record_check("own whole answer", valid, &record.id, observed);
                }
            }
            Outcome::Cut { body, .. } => {
                if kind.stream {
                    let result = sources.follow(body);
                    let observed = || made::describe(result.as_ref().err(), made);
                    self.record_check("events in order", result.is_ok(), &record.id, observed);
                }
                // If the instance closes the connection while the request is being sent, the
                // request was not run and the caller may safely send it to another instance.
                let raced = runs == 0 && record.ended - record.due <= CLOSE_RACE_TIME;
                let excused = raced
                    || is_late(record, kind)
                    || self.is_near_fault(record.due, record.ended)
                    || self.is_near_process_fault(record, &sources);
                self.record_check("no planned change cuts", excused, &record.id, observed);
            }
            Outcome::Left { body, .. } => {
                if kind.stream {
                    let in_order = sources.follow(body).is_ok();
                    self.record_check("events in order", in_order, &record.id, observed);
                }
            }
            Outcome::Unsent | Outcome::GaveUp => {}
        }
    }

    /// Checks that the events of a stream, over all attempts of its caller, are of one version of the
    /// targets' software.
    fn check_software(&mut self, record: &RequestRecord, sources: &Sources) {
        let (Outcome::Whole {
            status: 200, body, ..
        }
        | Outcome::Cut { body, .. }
        | Outcome::Left { body, .. }) = &record.outcome
        else {
            return;
        };
        let Ok(followed) = sources.follow(body) else {
            return;
        };
        let stream = record.taken_up.as_ref().map(|part| part.stream.as_str());
        let stream = stream.unwrap_or(&record.id).to_owned();
        let versions = self.streams.entry(stream).or_default();
        versions.extend(followed.versions());
        let (holds, seen) = (versions.len() <= 1, versions.clone());
        let observed = || {
            let (status, part) = (record.outcome.status(), &record.taken_up);
            let (got, runs) = (followed.describe(), made::describe(None, sources.made));
            format!("{seen:?}, {part:?}, status {status:?} with {got}{runs}")
        };
        let guarantee = if record.taken_up.is_some() {
            "streams that are taken up go on at their version"
        } else {
            "streams are of one version"
        };
        self.record_check(guarantee, holds, &record.id, observed);
    }

    /// Checks the answer to a request that ran against what its runs made.
    fn check_made(&mut self, record: &RequestRecord, kind: &RequestKind, sources: &Sources) {
        let made = sources.made;
        if made.is_empty() {
            return;
        }
        if let Outcome::Whole {
            status: 200, body, ..
        } = &record.outcome
        {
            let (guarantee, result) = if kind.stream {
                ("streams are whole and in order", sources.check_whole(body))
            } else {
                ("plain answers are as made", sources.check_plain(body))
            };
            let observed = || made::describe(result.as_ref().err(), made);
            self.record_check(guarantee, result.is_ok(), &record.id, observed);
        }
        let [only] = made else {
            return;
        };
        let lived = only.ended && !only.copied && only.framing.is_close();
        let disturbed = self.is_near_fault(record.due, record.ended)
            || self.is_near_process_fault(record, sources);
        let has_left = matches!(record.outcome, Outcome::GaveUp | Outcome::Left { .. });
        let is_late = matches!(record.outcome.status(), Some(502 | 504)) && is_late(record, kind);
        if lived && !disturbed && !has_left && !is_late {
            let served = record.outcome.is_served();
            let observed = || format!("{:?}, {only:?}", record.outcome);
            let guarantee = "answers without a length are served";
            self.record_check(guarantee, served, &record.id, observed);
        }
    }

    /// Returns whether each run of a request was near a fault of a target that is a process, or met a
    /// second copy of another answer.
    fn is_near_process_fault(&self, record: &RequestRecord, sources: &Sources) -> bool {
        let disturbed = |run: &Made| {
            let mut faults = self.observations.process_faults.iter();
            run.copied
                || faults.any(|(target, from, to)| {
                    run.target == *target
                        && *from <= record.ended
                        && *to + FAULT_GRACE >= record.due
                })
        };
        let made = sources.made;
        !made.is_empty() && made.iter().all(disturbed)
    }

    /// Checks that no request is served whose key was removed more than [`REVOKED_GRACE`] before,
    /// except near an unplanned fault.
    fn check_revoked(&mut self, records: &[RequestRecord]) {
        let Some(removed) = self.observations.revoked else {
            return;
        };
        for record in records {
            if record.key != Some(0) || record.due < removed + REVOKED_GRACE {
                continue;
            }
            let is_excused = self.is_near_fault(removed, record.ended);
            let holds = is_excused || !record.outcome.is_served();
            let observed = || format!("{:?}", record.outcome);
            self.record_check("removed keys stop", holds, &record.id, observed);
        }
    }

    /// Checks the reported windows near which there was no unplanned fault against the runs.
    fn check_usage(&mut self, records: &[RequestRecord]) {
        let keys: BTreeMap<&str, Option<usize>> = records
            .iter()
            .map(|record| (record.id.as_str(), record.key))
            .collect();
        let (now, unix_now) = (Instant::now(), SystemTime::now());
        let unix_now = unix_now.duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut runs: BTreeMap<(u64, &str), f64> = BTreeMap::new();
        for (request, times) in &self.observations.runs {
            let key = keys.get(request.as_str()).copied().flatten();
            let Some((_, customer)) = key.and_then(|key| KEYS.get(key)) else {
                continue;
            };
            for at in times {
                let window = unix_now.saturating_sub(now - *at).as_secs() / WINDOW_S;
                *runs.entry((window, customer)).or_default() += 1.0;
            }
        }
        for (window, (counts, _)) in &self.observations.reports {
            let begin = Duration::from_secs(window * WINDOW_S);
            let Some(begin) = now.checked_sub(unix_now.saturating_sub(begin)) else {
                continue;
            };
            let end = begin + Duration::from_secs(WINDOW_S) + REPORT_TIME;
            if self.is_near_fault(begin, end) {
                continue;
            }
            for customer in ["acme", "bolt"] {
                let ran = runs.get(&(*window, customer)).copied().unwrap_or_default();
                let reported = counts[customer].as_f64().unwrap_or_default();
                let holds = (reported - ran).abs() <= ran * MAX_USAGE_ERROR + USAGE_SLACK;
                let observed = || format!("{reported} of {ran} requests of {customer}");
                self.record_check("usage is right", holds, &window.to_string(), observed);
            }
        }
    }

    /// Returns whether an unplanned fault overlaps the period, or ended at most [`FAULT_GRACE`]
    /// before it.
    fn is_near_fault(&self, start: Instant, end: Instant) -> bool {
        let overlaps = |(from, to): &(Instant, Instant)| *from <= end && *to + FAULT_GRACE >= start;
        self.observations.faults.iter().any(overlaps)
    }

    /// Checks that the configuration version in force never decreases within a process.
    fn check_versions(&mut self) {
        for (process, versions) in &self.observations.versions {
            let forward = versions.windows(2).all(|pair| pair[0].1 <= pair[1].1);
            let observed = || format!("{versions:?}");
            self.record_check("configuration never goes back", forward, process, observed);
        }
    }

    /// Checks that processes exited with code 0.
    fn check_exits(&mut self) {
        for (instance, code) in &self.observations.exits {
            let observed = || format!("exit code {code:?}");
            self.record_check("stops end well", *code == Some(0), instance, observed);
        }
    }

    /// Checks that no request was run at a draining target later than [`DRAIN_GRACE`] after the
    /// start of the drain, except near an unplanned fault.
    fn check_drains(&mut self) {
        for (from, to, runs) in &self.observations.drains {
            let late = |run: &&Instant| {
                **run > *from + DRAIN_GRACE && **run < *to && !self.is_near_fault(*from, **run)
            };
            let late = runs.iter().filter(late).count();
            let observed = || format!("{late} runs later than {DRAIN_GRACE:?}");
            self.record_check(
                "leaving targets get no work",
                late == 0,
                "a target",
                observed,
            );
        }
    }

    /// Checks that no target gets more than half as much again as its limit allows, and
    /// [`LIMIT_SLACK`] requests, in any [`LIMIT_WINDOW`] that begins later than [`LIMIT_GRACE`]
    /// after it first named the limit.
    fn check_limits(&mut self) {
        for (from, rate, arrivals) in &self.observations.limits {
            let allowed = rate * LIMIT_WINDOW.as_secs_f64() * 1.5 + LIMIT_SLACK;
            let mut most = 0;
            for (first, begin) in arrivals.iter().enumerate() {
                if *begin < *from + LIMIT_GRACE {
                    continue;
                }
                let within = |at: &&Instant| **at < *begin + LIMIT_WINDOW;
                most = most.max(arrivals[first..].iter().take_while(within).count());
            }
            let observed = || format!("{most} requests of {allowed:.1}, limit {rate:.1}/s");
            let holds = most as f64 <= allowed;
            self.record_check("limits of targets hold", holds, "a target", observed);
        }
    }
}

/// Returns whether an answer ended after the time-out of its route, which an instance that lacks
/// processor time may reach before the end.
fn is_late(record: &RequestRecord, kind: &RequestKind) -> bool {
    let took = record.ended - record.due;
    kind.timeout.is_some_and(|timeout| took >= timeout)
}
