//! The latest era of a store, as its answers state it.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use cactuslane_types::Era;
use log::{info, warn};
use tokio::sync::watch;

use super::KvError;

/// The latest era that an answer has stated; 0 before the first one.
#[derive(Debug, Default)]
pub struct Eras {
    /// The era, whose changes wake subscribed tasks.
    latest: watch::Sender<Era>,
    /// The kinds of unexpected statements that were logged.
    logged: Mutex<BTreeSet<&'static str>>,
}

impl Eras {
    /// Returns the latest era.
    pub fn known(&self) -> Era {
        *self.latest.borrow()
    }

    /// Returns a receiver of the latest era.
    pub fn subscribe(&self) -> watch::Receiver<Era> {
        self.latest.subscribe()
    }

    /// Records what the head of an answer states and returns the era of the answer.
    ///
    /// An answer that states no era, or a malformed one, counts as one of the latest era.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Lost`] for an answer of an earlier era.
    pub fn observe(&self, stated: Result<Option<Era>, String>) -> Result<Era, KvError> {
        let known = self.known();
        let era = match stated {
            Ok(Some(era)) => era,
            Ok(None) if known == 0 => return Ok(0),
            Ok(None) => {
                self.log_once("missing", known, "none");
                return Ok(known);
            }
            Err(value) => {
                self.log_once("malformed", known, &value);
                return Ok(known);
            }
        };
        self.latest.send_if_modified(|latest| {
            let is_later = era > *latest;
            if is_later {
                *latest = era;
            }
            is_later
        });
        if era > known && known > 0 {
            info!(era, known; "the store is in a new era, what was learnt before is read again");
        }
        self.check(era)?;
        Ok(era)
    }

    /// Checks that an answer of an era is not outdated.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Lost`] if a later era is known.
    pub fn check(&self, era: Era) -> Result<(), KvError> {
        let known = self.known();
        if era >= known {
            return Ok(());
        }
        self.log_once("earlier", known, &era.to_string());
        Err(KvError::Lost(format!(
            "answer of era {era}, which ended with era {known}"
        )))
    }

    /// Logs an unexpected statement of an era, unless one of its kind was logged before.
    fn log_once(&self, kind: &'static str, known: Era, stated: &str) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.insert(kind) {
            warn!(kind, known, stated; "unexpected era in an answer of the store, reported once");
        }
    }
}
