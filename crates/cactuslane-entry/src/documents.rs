//! The configuration and the plan that are in force at this instance.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use cactuslane_authority::Plan;
use cactuslane_config::Document;
use cactuslane_member::Revisions;
use cactuslane_types::{CallerId, Revision};
use serde::{Deserialize, Serialize};

/// The documents in force, shared by all tasks; the revision of each only increases.
#[derive(Debug, Default)]
pub struct Documents {
    /// The configuration in force; revision 0 before the first.
    config: Mutex<Arc<ConfigInForce>>,
    /// The plan in force; revision 0 before the first.
    plan: Mutex<Arc<PlanInForce>>,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigInForce {
    /// The revision of the last change in the key-value service; 0 before the first configuration.
    pub revision: Revision,
    /// The text as stored in the key-value service, which other instances can fetch.
    pub text: String,
    /// The document parsed from the text, which has passed validation.
    pub document: Document,
    /// The callers by the SHA-256 hash of the token that authenticates them, in lower-case hex.
    pub tokens: BTreeMap<String, CallerId>,
}

/// The plan in force.
#[derive(Clone, Debug, Default)]
pub struct PlanInForce {
    /// The revision of the last change in the key-value service; 0 before the first plan.
    pub revision: Revision,
    /// The text as stored in the key-value service, which other instances can fetch.
    pub text: String,
    /// The plan parsed from the text.
    pub plan: Plan,
}

/// The kind of a document that all instances share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The configuration, which operators edit.
    Config,
    /// The plan of changes to targets, which the owner of the planner shard writes.
    Plan,
}

/// The outcome of an attempt to put a document into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The document is now in force.
    Applied,
    /// The document is not newer than the one in force, which stays.
    NotNewer,
    /// The document does not parse or is not valid; the one in force stays.
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

    /// Returns the revisions of both documents in force.
    pub fn revisions(&self) -> Revisions {
        Revisions {
            config: self.config().revision,
            plan: self.plan().revision,
        }
    }

    /// Puts a document into force if it is valid and newer than the one in force.
    pub fn apply(&self, kind: DocumentKind, revision: Revision, text: &str) -> ApplyOutcome {
        match kind {
            DocumentKind::Config => self.apply_config(revision, text),
            DocumentKind::Plan => self.apply_plan(revision, text),
        }
    }

    /// Puts a configuration into force if it is valid and newer; logs each error of an invalid one.
    fn apply_config(&self, revision: Revision, text: &str) -> ApplyOutcome {
        if revision <= self.config().revision {
            return ApplyOutcome::NotNewer;
        }
        let document = match Document::parse("configuration", text) {
            Ok(document) => document,
            Err(diagnostics) => {
                for diagnostic in diagnostics {
                    log::error!(
                        "configuration {revision} is invalid, not put into force: {diagnostic}"
                    );
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
        // Another task may have put a newer revision into force while this one was parsed.
        let mut current = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if revision <= current.revision {
            return ApplyOutcome::NotNewer;
        }
        *current = Arc::new(config);
        ApplyOutcome::Applied
    }

    /// Puts a plan into force if it parses and is newer; logs the error of one that does not parse.
    fn apply_plan(&self, revision: Revision, text: &str) -> ApplyOutcome {
        let plan: Plan = match serde_json::from_str(text) {
            Ok(plan) => plan,
            Err(error) => {
                log::error!("plan {revision} is invalid, not put into force: {error}");
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
