//! Faults to inject into the stand-ins' operations.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Table of faults to inject, shared by all clones.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The entries, the oldest first.
    table: Arc<Mutex<Vec<Fault>>>,
}

/// Entry of the table of faults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The name of the stand-in, or `*` for all.
    pub target: String,
    /// The operation, or `*` for all.
    ///
    /// Engines have `call`, `order`, `load` and `other`, plain services `call`, the platform `read`,
    /// `write`, `watch`, `list`, `weights` and `lease`.
    pub on: String,
    /// The effect on the operation.
    pub kind: FaultKind,
    /// The number of matching operations that pass before the fault hits.
    #[serde(default)]
    pub after: u32,
    /// The number of operations that the fault still hits.
    #[serde(default = "one")]
    pub count: u32,
    /// The delay of [`FaultKind::Slow`], in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// Effect of a fault on one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// The connection is closed before the operation has an effect.
    Down,
    /// The operation is delayed, on an engine before its effect, elsewhere after it.
    Slow,
    /// The operation takes effect, but the connection is closed without an answer.
    Lost,
    /// The connection is closed in the middle of the answer's body.
    Cut,
    /// The answer of an engine or worker carries the id of another request, `crossed-answer`.
    Crossed,
    /// The process crashes in the middle of the operation; only engines simulate more than a lost
    /// answer.
    Crash,
}

impl Faults {
    /// Parses a table from a JSON array.
    ///
    /// # Errors
    ///
    /// Returns the JSON parser's message, with line and column.
    pub fn parse(text: &str) -> Result<Self, String> {
        let table: Vec<Fault> = serde_json::from_str(text).map_err(|error| error.to_string())?;
        Ok(Self {
            table: Arc::new(Mutex::new(table)),
        })
    }

    /// Adds an entry to the end of the table.
    pub fn add(&self, fault: Fault) {
        self.table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(fault);
    }

    /// Removes all entries, also for the other clones.
    pub fn clear(&self) {
        self.table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Counts one operation and returns the first fault that hits it.
    ///
    /// Each matching entry before that one counts the operation among those that pass.
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
    /// Returns the delay of [`FaultKind::Slow`].
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// Returns the default of [`Fault::count`].
fn one() -> u32 {
    1
}
