//! The promises that a run checks, from what callers and targets saw.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_platform_standin::target::EVENT_COUNT;
use serde::Serialize;
use tokio::time::Instant;

use crate::load::{Kind, Outcome, Seen};

/// Time after an unplanned fault in which it may still show.
pub const AFTERMATH: Duration = Duration::from_secs(3);
/// Time after a target began to leave in which instances may not know it yet.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time in which a request that was sent while its connection was closed hears of that.
pub const CROSS_TIME: Duration = Duration::from_millis(200);
/// Time after the last fault in which the system recovers.
pub const RECOVER_TIME: Duration = Duration::from_secs(12);
/// Least share of requests that is served after it has recovered.
const RECOVERED: f64 = 0.95;

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
pub struct Facts {
    /// The times of the runs at all targets, by request.
    pub runs: BTreeMap<String, Vec<Instant>>,
    /// The times in which unplanned faults were at work.
    pub faults: Vec<(Instant, Instant)>,
    /// The times in which targets were leaving, with the times of the runs that they got then.
    pub drains: Vec<(Instant, Instant, Vec<Instant>)>,
    /// The versions that each process had in force, in order.
    pub versions: BTreeMap<String, Vec<(Instant, u64)>>,
    /// The exit codes of processes that were told to stop, by instance.
    pub stops: Vec<(String, Option<i32>)>,
    /// When the last fault or change had ended.
    pub calm: Option<Instant>,
}

/// How often each promise was checked.
pub type Checked = BTreeMap<&'static str, u64>;

/// Checks all promises; those with a time bound only where that is asked for.
#[must_use]
pub fn check(seen: &[Seen], kinds: &[Kind], facts: &Facts, timed: bool) -> (Vec<Broken>, Checked) {
    let mut checks = Checks {
        facts,
        broken: Vec::new(),
        checked: Checked::new(),
    };
    for seen in seen {
        checks.request(seen, &kinds[seen.kind]);
    }
    checks.versions();
    checks.stops();
    if timed {
        checks.drains();
        checks.recovery(seen);
    }
    (checks.broken, checks.checked)
}

/// Checks under way.
#[derive(Debug)]
struct Checks<'f> {
    /// What the run saw.
    facts: &'f Facts,
    /// The promises that were broken.
    broken: Vec<Broken>,
    /// How often each was checked.
    checked: Checked,
}

impl Checks<'_> {
    /// Counts a check, and records it where the promise was broken.
    fn hold(&mut self, promise: &'static str, holds: bool, about: &str, seen: impl Fn() -> String) {
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
    fn request(&mut self, seen: &Seen, kind: &Kind) {
        let runs = self.facts.runs.get(&seen.id).map_or(0, Vec::len);
        let described = || format!("{runs} runs, {:?}", seen.outcome);
        if kind.once {
            self.hold("runs at most once", runs <= 1, &seen.id, described);
        }
        match &seen.outcome {
            Outcome::Whole {
                status,
                signed,
                body,
            } => {
                if matches!(status, 408 | 421 | 429 | 503) {
                    self.hold("not run is true", runs == 0, &seen.id, described);
                } else if (400..500).contains(status) {
                    self.hold("proper requests are allowed", false, &seen.id, described);
                }
                if *status == 200 {
                    let whole = !kind.stream || *body == events(EVENT_COUNT);
                    let own = *signed && whole && runs > 0;
                    self.hold("own whole answer", own, &seen.id, described);
                }
            }
            Outcome::Cut { body, .. } => {
                if kind.stream {
                    let in_order = events(EVENT_COUNT).starts_with(body);
                    self.hold("events in order", in_order, &seen.id, described);
                }
                // A request that crosses the close of its connection may be sent again elsewhere.
                let crossed = runs == 0 && seen.ended - seen.due <= CROSS_TIME;
                let excused = crossed || self.is_excused(seen.due, seen.ended);
                self.hold("no planned change cuts", excused, &seen.id, described);
            }
            Outcome::Unsent | Outcome::GaveUp => {}
        }
    }

    /// Returns whether an unplanned fault was at work at a time, or shortly before.
    fn is_excused(&self, start: Instant, end: Instant) -> bool {
        let near = |(from, to): &(Instant, Instant)| *from <= end && *to + AFTERMATH >= start;
        self.facts.faults.iter().any(near)
    }

    /// Checks that no process went back to an older configuration.
    fn versions(&mut self) {
        for (process, versions) in &self.facts.versions {
            let forward = versions.windows(2).all(|pair| pair[0].1 <= pair[1].1);
            let described = || format!("{versions:?}");
            self.hold("configuration never goes back", forward, process, described);
        }
    }

    /// Checks that planned stops ended well.
    fn stops(&mut self) {
        for (instance, code) in &self.facts.stops {
            let described = || format!("exit code {code:?}");
            self.hold("stops end well", *code == Some(0), instance, described);
        }
    }

    /// Checks that leaving targets got no new work.
    fn drains(&mut self) {
        for (from, to, runs) in &self.facts.drains {
            let late = |run: &&Instant| {
                **run > *from + DRAIN_TIME && **run < *to && !self.is_excused(*from, **run)
            };
            let late = runs.iter().filter(late).count();
            let described = || format!("{late} runs later than {DRAIN_TIME:?}");
            self.hold(
                "leaving targets get no work",
                late == 0,
                "a target",
                described,
            );
        }
    }

    /// Checks that requests are served again after all faults.
    fn recovery(&mut self, seen: &[Seen]) {
        let Some(calm) = self.facts.calm else {
            return;
        };
        let after = seen.iter().filter(|seen| seen.due > calm + RECOVER_TIME);
        let (mut all, mut served) = (0_u32, 0_u32);
        for seen in after {
            all += 1;
            served += u32::from(seen.outcome.is_served());
        }
        let recovered = f64::from(served) >= f64::from(all) * RECOVERED;
        let described = || format!("{served} of {all} served");
        self.hold("recovers", recovered, "the end of the run", described);
    }
}

/// Returns a stream of some events.
fn events(count: u64) -> Vec<u8> {
    let event = |id: u64| format!("id: {id}\ndata: piece {id}\n\n");
    (1..=count).map(event).collect::<String>().into_bytes()
}
