//! Stored records of operators, of the last edits and of the edit history.

use std::collections::BTreeMap;

use cactuslane_authority::keys;
use cactuslane_config::Section;
use serde::{Deserialize, Serialize};

/// Key under which [`LastEdits`] is stored.
pub(crate) const LAST_EDITS_KEY: &str = "cactuslane/edits";
/// Number of edits that the history holds; once it is full, a new one replaces the oldest.
const MAX_HISTORY_EDITS: u64 = 200;

/// One entry of the edit history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Number of the edit; it starts at 1 and grows by one with each edit of any section.
    pub number: u64,
    /// Random number drawn for each call of [`Editor::put`](crate::Editor::put), by which the call
    /// finds its own edit after a lost answer.
    pub id: u64,
    /// Name of the edited section.
    pub section: String,
    /// Name of the operator that made the edit.
    pub by: String,
    /// Wall-clock time on the operator's machine when the edit was prepared, in milliseconds since
    /// the Unix epoch.
    pub at_ms: u64,
    /// Text of the section before the edit.
    pub before: String,
    /// Text of the section after the edit, without surrounding white space.
    pub after: String,
}

/// An operator, stored under the SHA-256 hash of its token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Name that the history shows as the author of edits.
    pub name: String,
    /// Names of the sections that the operator may edit.
    pub sections: Vec<String>,
}

/// Numbers of the last edits; every edit changes this record in its transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LastEdits {
    /// Number of the last edit of any section; 0 before the first one.
    number: u64,
    /// Number of the last edit of each section that has been edited, by the section's name.
    sections: BTreeMap<String, u64>,
}

impl LastEdits {
    /// Returns the number of the last edit of a section; 0 if it has never been edited.
    pub(crate) fn last_of(&self, section: Section) -> u64 {
        self.sections
            .get(section.as_str())
            .copied()
            .unwrap_or_default()
    }

    /// Counts a new edit of a section and returns its number.
    pub(crate) fn add(&mut self, section: Section) -> u64 {
        self.number += 1;
        self.sections
            .insert(section.as_str().to_owned(), self.number);
        self.number
    }
}

/// Returns the key of an edit in the history, padded to ten digits so that keys sort by number.
pub(crate) fn history_key(number: u64) -> String {
    format!("{}{number:010}", keys::HISTORY)
}

/// Returns the key of the operator whose token has this hash.
pub(crate) fn operator_key(hash: &str) -> String {
    format!("{}{hash}", keys::OPERATORS)
}

/// Returns the key of the edit that leaves the history when a new one gets this number.
///
/// It is `None` for numbers below [`MAX_HISTORY_EDITS`]; for that number itself it is the key of an
/// edit 0, which is never written.
pub(crate) fn pruned_history_key(number: u64) -> Option<String> {
    number.checked_sub(MAX_HISTORY_EDITS).map(history_key)
}
