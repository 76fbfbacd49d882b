//! The promises that a run checks, from what callers and targets saw.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_platform_standin::target::EVENT_COUNT;
use serde::Serialize;
use tokio::time::Instant;

use crate::load::{Kind, Outcome, RequestRecord};

/// Time after an unplanned fault in which it may still show.
pub const FAULT_GRACE: Duration = Duration::from_secs(3);
/// Time after a target began to leave in which instances may not know it yet.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Time in which a request that was sent while its connection was closed hears of that.
pub const CLOSE_RACE_TIME: Duration = Duration::from_millis(200);
/// Time after the last fault in which the system recovers.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Least share of requests that is served after it has recovered.
const MIN_SERVED_SHARE: f64 = 0.95;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// The promise.
    pub promise: &'static str,
    /// The request, or what else it concerns.
    pub about: String,
    /// What was seen.
    pub seen: String,
}

/// What a run saw beside the requests.
#[derive(Debug, Default)]
pub struct Observations {
    /// The times of the runs at all targets, by request.
    pub runs: BTreeMap<String, Vec<Instant>>,
    /// The times in which unplanned faults were at work.
    pub faults: Vec<(Instant, Instant)>,
    /// The times in which targets were leaving, with the times of the runs that they got then.
    pub drains: Vec<(Instant, Instant, Vec<Instant>)>,
    /// The versions that each process had in force, in order.
    pub versions: BTreeMap<String, Vec<(Instant, u64)>>,
    /// The exit codes of processes that were told to stop, by instance.
    pub exits: Vec<(String, Option<i32>)>,
    /// When the last fault or change had ended.
    pub disruption_end: Option<Instant>,
}

/// How often each promise was checked.
pub type Checked = BTreeMap<&'static str, u64>;

/// Checks all promises; those with a time bound only where that is asked for.
#[must_use]
pub fn check(
    records: &[RequestRecord],
    kinds: &[Kind],
    observations: &Observations,
    timed: bool,
) -> (Vec<Broken>, Checked) {
    let mut checker = Checker {
        observations,
        broken: Vec::new(),
        checked: Checked::new(),
    };
    for record in records {
        checker.check_request(record, &kinds[record.kind]);
    }
    checker.check_versions();
    checker.check_exits();
    if timed {
        checker.check_drains();
        checker.check_recovery(records);
    }
    (checker.broken, checker.checked)
}

/// Checks under way.
#[derive(Debug)]
struct Checker<'f> {
    /// What the run saw.
    observations: &'f Observations,
    /// The promises that were broken.
    broken: Vec<Broken>,
    /// How often each was checked.
    checked: Checked,
}

impl Checker<'_> {
    /// Counts a check, and records it where the promise was broken.
    fn record_check(
        &mut self,
        promise: &'static str,
        holds: bool,
        about: &str,
        seen: impl Fn() -> String,
    ) {
        *self.checked.entry(promise).or_default() += 1;
        if !holds {
            self.broken.push(Broken {
                promise,
                about: about.to_owned(),
                seen: seen(),
            });
        }
    }

    /// Checks what a caller got against what targets ran.
    fn check_request(&mut self, record: &RequestRecord, kind: &Kind) {
        let runs = self.observations.runs.get(&record.id).map_or(0, Vec::len);
        let observed = || format!("{runs} runs, {:?}", record.outcome);
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
                } else if (400..500).contains(status) {
                    self.record_check("proper requests are allowed", false, &record.id, observed);
                }
                if *status == 200 {
                    let complete = !kind.stream || *body == stream_body(EVENT_COUNT);
                    let valid = *signed && complete && runs > 0;
                    self.record_check("own whole answer", valid, &record.id, observed);
                }
            }
            Outcome::Cut { body, .. } => {
                if kind.stream {
                    let in_order = stream_body(EVENT_COUNT).starts_with(body);
                    self.record_check("events in order", in_order, &record.id, observed);
                }
                // A request that crosses the close of its connection may be sent again elsewhere.
                let raced = runs == 0 && record.ended - record.due <= CLOSE_RACE_TIME;
                let excused = raced || self.is_near_fault(record.due, record.ended);
                self.record_check("no planned change cuts", excused, &record.id, observed);
            }
            Outcome::Unsent | Outcome::GaveUp => {}
        }
    }

    /// Returns whether an unplanned fault was at work at a time, or shortly before.
    fn is_near_fault(&self, start: Instant, end: Instant) -> bool {
        let overlaps = |(from, to): &(Instant, Instant)| *from <= end && *to + FAULT_GRACE >= start;
        self.observations.faults.iter().any(overlaps)
    }

    /// Checks that no process went back to an older configuration.
    fn check_versions(&mut self) {
        for (process, versions) in &self.observations.versions {
            let forward = versions.windows(2).all(|pair| pair[0].1 <= pair[1].1);
            let observed = || format!("{versions:?}");
            self.record_check("configuration never goes back", forward, process, observed);
        }
    }

    /// Checks that planned stops ended well.
    fn check_exits(&mut self) {
        for (instance, code) in &self.observations.exits {
            let observed = || format!("exit code {code:?}");
            self.record_check("stops end well", *code == Some(0), instance, observed);
        }
    }

    /// Checks that leaving targets got no new work.
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

    /// Checks that requests are served again after all faults.
    fn check_recovery(&mut self, records: &[RequestRecord]) {
        let Some(disruption_end) = self.observations.disruption_end else {
            return;
        };
        let after = records
            .iter()
            .filter(|record| record.due > disruption_end + RECOVERY_TIME);
        let (mut total, mut served) = (0_u32, 0_u32);
        for record in after {
            total += 1;
            served += u32::from(record.outcome.is_served());
        }
        let recovered = f64::from(served) >= f64::from(total) * MIN_SERVED_SHARE;
        let observed = || format!("{served} of {total} served");
        self.record_check("recovers", recovered, "the end of the run", observed);
    }
}

/// Returns a stream of some events.
fn stream_body(count: u64) -> Vec<u8> {
    let event = |id: u64| format!("id: {id}\ndata: piece {id}\n\n");
    (1..=count).map(event).collect::<String>().into_bytes()
}
