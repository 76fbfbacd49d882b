//! Counts of the faults of paths, and of what the logs of instances tell of requests passed on.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Seek, SeekFrom};
use std::path::Path;

use serde::Serialize;
use serde_json::Value;

use crate::plan::{Action, PlanStep};

/// Faults of paths in a run, and what the instances did about them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PathFigures {
    /// Number of faults that were applied, by scope and fault without their numbers.
    pub faults: BTreeMap<String, u64>,
    /// Number of times that an instance found itself cut off from all targets.
    pub cut_off: u64,
    /// Number of requests that an instance passed on to another one, once for each that it asked.
    pub passed: u64,
    /// Number of those that take up a stream after an event.
    pub passed_resumptions: u64,
    /// Number of those whose headers state the place in an odd form.
    pub passed_odd: u64,
    /// Number of those that the other instance declined, as its configuration was older.
    pub passed_behind: u64,
    /// Number of requests of another instance that an instance took.
    pub taken: u64,
    /// Number of answers to such requests that arrived whole.
    pub answered: u64,
    /// Number of addresses that were used directly, as no link could be bound.
    pub unbound: u64,
}

impl PathFigures {
    /// Counts the faults of paths among the steps of a plan.
    pub fn count_faults(&mut self, steps: &[PlanStep]) {
        for step in steps {
            let Action::Path(scope, fault, _) = &step.action else {
                continue;
            };
            let name = format!("{scope:?} {fault:?}");
            let mut words = name.split(' ');
            let mut word = || words.next().unwrap_or_default().split('(').next();
            let (scope, fault) = (word().unwrap_or_default(), word().unwrap_or_default());
            *self.faults.entry(format!("{scope} {fault}")).or_default() += 1;
        }
    }

    /// Counts the events in the log of an instance from an offset in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub fn count_events(&mut self, log: &Path, from: u64) -> io::Result<()> {
        let mut file = File::open(log)?;
        file.seek(SeekFrom::Start(from))?;
        for line in BufReader::new(file).lines() {
            // The last line of a process that was killed may be incomplete.
            let Ok(line) = serde_json::from_str::<Value>(&line?) else {
                continue;
            };
            match line["event"].as_str().unwrap_or_default() {
                "request passed on" => {
                    self.passed += 1;
                    let is_resumption = line["last_event"].as_u64().is_some_and(|last| last > 0);
                    self.passed_resumptions += u64::from(is_resumption);
                    let is_odd = line["odd_headers"] == true;
                    self.passed_odd += u64::from(is_resumption && is_odd);
                }
                "other instance is behind" => self.passed_behind += 1,
                "request of another instance taken" => self.taken += 1,
                "passed answer ended" => self.answered += 1,
                event if event.starts_with("cut off from all targets") => self.cut_off += 1,
                _ => {}
            }
        }
        Ok(())
    }
}
