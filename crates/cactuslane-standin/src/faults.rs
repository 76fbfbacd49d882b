//! Tables of faults that stand-ins bring about.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A table of faults that stand-ins share.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Holds the entries of the table.
    table: Arc<Mutex<Vec<Fault>>>,
}

/// One entry of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Names the stand-in, or `*` for all.
    pub target: String,
    /// Names the operation, such as `call`, `order`, `read`, `write` or `list`, or `*` for all.
    pub on: String,
    /// What happens.
    pub kind: FaultKind,
    /// The number of operations that pass first.
    #[serde(default)]
    pub after: u32,
    /// The number of operations that are hit.
    #[serde(default = "one")]
    pub count: u32,
    /// The delay of a slow operation, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// What a fault does to one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// The connection is closed before the operation has an effect.
    Down,
    /// The operation takes longer.
    Slow,
    /// The operation takes effect and its answer is lost.
    Lost,
    /// The answer's body ends in the middle.
    Cut,
    /// The answer is that of another request.
    Crossed,
    /// The process crashes in the middle of the operation.
    Crash,
}

impl Faults {
    /// Parses a table from a JSON array.
    ///
    /// # Errors
    ///
    /// Returns the parser's message with line and column.
    pub fn parse(text: &str) -> Result<Self, String> {
        let table: Vec<Fault> = serde_json::from_str(text).map_err(|error| error.to_string())?;
        Ok(Self {
            table: Arc::new(Mutex::new(table)),
        })
    }

    /// Adds an entry.
    pub fn add(&self, fault: Fault) {
        self.table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(fault);
    }

    /// Removes all entries.
    pub fn clear(&self) {
        self.table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Counts one operation and returns the fault that hits it.
    #[must_use]
    pub fn take(&self, target: &str, on: &str) -> Option<Fault> {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        for fault in table.iter_mut() {
            let named = fault.target == "*" || fault.target == target;
            if !named || (fault.on != "*" && fault.on != on) || fault.count == 0 {
                continue;
            }
            if fault.after > 0 {
                fault.after -= 1;
                continue;
            }
            fault.count -= 1;
            return Some(fault.clone());
        }
        None
    }
}

impl Fault {
    /// Returns the delay of a slow operation.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// The default number of operations that a fault hits.
fn one() -> u32 {
    1
}
