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
    config: Mutex<Arc<ConfigInForce>>,
    /// The plan.
    plan: Mutex<Arc<PlanInForce>>,
}

/// A configuration with its revision.
#[derive(Clone, Debug, Default)]
pub struct ConfigInForce {
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
pub enum ApplyOutcome {
    /// It is in force now.
    Applied,
    /// It is not newer than the one in force.
    NotNewer,
    /// It has faults; the one in force stays.
    Invalid,
}

impl Documents {
    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<ConfigInForce> {
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
    pub fn apply(&self, kind: DocumentKind, revision: Revision, text: &str) -> ApplyOutcome {
        match kind {
            DocumentKind::Config => self.apply_config(revision, text),
            DocumentKind::Plan => self.apply_plan(revision, text),
        }
    }

    /// Puts a configuration into force if it is newer and without faults.
    fn apply_config(&self, revision: Revision, text: &str) -> ApplyOutcome {
        if revision <= self.config().revision {
            return ApplyOutcome::NotNewer;
        }
        let document = match Document::parse("configuration", text) {
            Ok(document) => document,
            Err(diagnostics) => {
                for diagnostic in diagnostics {
                    log::error!("revision {revision} is refused: {diagnostic}");
                }
                return ApplyOutcome::Invalid;
            }
        };
        let tokens = document
            .callers
            .iter()
            .map(|(id, caller)| (caller.token_sha256.clone(), id.clone()))
            .collect();
        let config = ConfigInForce {
            revision,
            text: text.to_owned(),
            document,
            tokens,
        };
        // Another task may have been faster: the lock decides.
        let mut current = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if revision <= current.revision {
            return ApplyOutcome::NotNewer;
        }
        *current = Arc::new(config);
        ApplyOutcome::Applied
    }

    /// Puts a plan into force if it is newer and without faults.
    fn apply_plan(&self, revision: Revision, text: &str) -> ApplyOutcome {
        let plan: Plan = match serde_json::from_str(text) {
            Ok(plan) => plan,
            Err(error) => {
                log::error!("plan {revision} is refused: {error}");
                return ApplyOutcome::Invalid;
            }
        };
        let mut current = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        if revision <= current.revision {
            return ApplyOutcome::NotNewer;
        }
        *current = Arc::new(PlanInForce {
            revision,
            text: text.to_owned(),
            plan,
        });
        ApplyOutcome::Applied
    }
}
