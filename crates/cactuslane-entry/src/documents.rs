//! The configuration and the plan that are in force at this instance.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use cactuslane_authority::Plan;
use cactuslane_config::Document;
use cactuslane_member::Revisions;
use cactuslane_types::{CallerId, Revision};
use serde::{Deserialize, Serialize};

/// Holds the documents in force; neither ever goes back to an earlier revision.
#[derive(Debug, Default)]
pub struct Documents {
    /// The configuration.
    config: Mutex<Arc<Config>>,
    /// The plan.
    plan: Mutex<Arc<PlanInForce>>,
}

/// A configuration with its revision.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The revision; 0 before the first.
    pub revision: Revision,
    /// The text.
    pub text: String,
    /// The checked document.
    pub document: Document,
    /// Finds callers by the hash of their token.
    pub tokens: BTreeMap<String, CallerId>,
}

/// A plan with its revision.
#[derive(Clone, Debug, Default)]
pub struct PlanInForce {
    /// The revision; 0 before the first.
    pub revision: Revision,
    /// The text.
    pub text: String,
    /// The plan.
    pub plan: Plan,
}

/// Names a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The configuration.
    Config,
    /// The plan.
    Plan,
}

/// What came of an offered document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Taken,
    /// It is not newer than the one in force.
    Old,
    /// It has faults; the one in force stays.
    Invalid,
}

impl Documents {
    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> Arc<PlanInForce> {
        Arc::clone(&self.plan.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the revisions in force.
    pub fn revisions(&self) -> Revisions {
        Revisions {
            config: self.config().revision,
            plan: self.plan().revision,
        }
    }

    /// Puts a document into force if it is newer and without faults.
    pub fn offer(&self, kind: DocumentKind, revision: Revision, text: &str) -> Offer {
        match kind {
            DocumentKind::Config => self.offer_config(revision, text),
            DocumentKind::Plan => self.offer_plan(revision, text),
        }
    }

    /// Puts a configuration into force if it is newer and without faults.
    fn offer_config(&self, revision: Revision, text: &str) -> Offer {
        if revision <= self.config().revision {
            return Offer::Old;
        }
        let document = match Document::parse("configuration", text) {
            Ok(document) => document,
            Err(diagnostics) => {
                for diagnostic in diagnostics {
                    log::error!("revision {revision} is refused: {diagnostic}");
                }
                return Offer::Invalid;
            }
        };
        let tokens = document
            .callers
            .iter()
            .map(|(id, caller)| (caller.token_sha256.clone(), id.clone()))
            .collect();
        let config = Config {
            revision,
            text: text.to_owned(),
            document,
            tokens,
        };
        // Another task may have been faster: the lock decides.
        let mut current = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if revision <= current.revision {
            return Offer::Old;
        }
        *current = Arc::new(config);
        Offer::Taken
    }

    /// Puts a plan into force if it is newer and without faults.
    fn offer_plan(&self, revision: Revision, text: &str) -> Offer {
        let plan: Plan = match serde_json::from_str(text) {
            Ok(plan) => plan,
            Err(error) => {
                log::error!("plan {revision} is refused: {error}");
                return Offer::Invalid;
            }
        };
        let mut current = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        if revision <= current.revision {
            return Offer::Old;
        }
        *current = Arc::new(PlanInForce {
            revision,
            text: text.to_owned(),
            plan,
        });
        Offer::Taken
    }
}
