//! Records that stand beside the document.

use std::collections::BTreeMap;

use cactuslane_authority::keys;
use cactuslane_config::Section;
use serde::{Deserialize, Serialize};

/// The key of the record of the last edits.
pub(crate) const LAST_EDITS_KEY: &str = "cactuslane/edits";
/// Number of edits that the history holds.
const MAX_HISTORY_EDITS: u64 = 200;

/// One edit of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Its number; numbers only grow.
    pub number: u64,
    /// Tells it from every other try.
    pub id: u64,
    /// The section.
    pub section: String,
    /// The operator's name.
    pub by: String,
    /// The wall-clock time in milliseconds.
    pub at_ms: u64,
    /// The section's text before.
    pub before: String,
    /// The section's text after.
    pub after: String,
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// The name that the history shows.
    pub name: String,
    /// Holds the sections that the operator may edit.
    pub sections: Vec<String>,
}

/// The record of the last edits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LastEdits {
    /// The number of the last edit.
    number: u64,
    /// Holds the number of the last edit of each section.
    sections: BTreeMap<String, u64>,
}

impl LastEdits {
    /// Returns the number of the last edit of a section.
    pub(crate) fn last_of(&self, section: Section) -> u64 {
        self.sections
            .get(section.as_str())
            .copied()
            .unwrap_or_default()
    }

    /// Adds an edit of a section and returns its number.
    pub(crate) fn add(&mut self, section: Section) -> u64 {
        self.number += 1;
        self.sections
            .insert(section.as_str().to_owned(), self.number);
        self.number
    }
}

/// Returns the key of an edit.
pub(crate) fn history_key(number: u64) -> String {
    format!("{}{number:010}", keys::HISTORY)
}

/// Returns the key of an operator.
pub(crate) fn operator_key(hash: &str) -> String {
    format!("{}{hash}", keys::OPERATORS)
}

/// Returns the key of the edit that a new one drops from the history.
pub(crate) fn pruned_history_key(number: u64) -> Option<String> {
    number.checked_sub(MAX_HISTORY_EDITS).map(history_key)
}
