//! What attempts at targets have in common, and the attempts that targets ended by crashing.

use std::fmt;

use cactuslane_flight::request_info::{Fingerprint, PartId, RequestInfo};
use cactuslane_types::Millis;
use serde::{Deserialize, Serialize};

use super::Time;

/// Largest number of parts that are kept of one attempt, the first ones.
const MAX_PARTS: usize = 16;

/// Something that requests have in common and on which targets may crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspect {
    /// A shared part of a prompt.
    Part(PartId),
    /// A request as a whole, whatever its id.
    Request(Fingerprint),
}

impl Suspect {
    /// Returns all that a request has in common with others: itself and the shared parts of its
    /// prompt.
    #[must_use]
    pub fn all(info: &RequestInfo) -> Vec<Self> {
        let mut suspects = vec![Self::Request(info.fingerprint)];
        for part in info.shared_parts() {
            suspects.push(Self::Part(part.id));
        }
        suspects
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part {part:x}"),
            Self::Request(fingerprint) => write!(f, "request {fingerprint:x}"),
        }
    }
}

/// An attempt that did not get an answer, or not an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Shared parts of its prompt.
    pub parts: Vec<PartId>,
    /// Time at which it was sent, on the clock of the instance.
    pub(super) sent: Time,
}

impl Attempt {
    /// Creates the record of an attempt that was sent at `sent`, in milliseconds on the clock of the
    /// instance.
    #[must_use]
    pub fn new(info: &RequestInfo, sent: Millis) -> Self {
        let parts = info.shared_parts().iter().map(|part| part.id);
        let parts = parts.take(MAX_PARTS);
        Self {
            request: info.fingerprint,
            parts: parts.collect(),
            sent: sent as Time,
        }
    }

    /// Returns whether the attempt has a suspect.
    pub(super) fn has(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Part(part) => self.parts.contains(&part),
            Suspect::Request(request) => self.request == request,
        }
    }

    /// Returns the suspects of the attempt.
    pub(super) fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.parts.iter().map(|part| Suspect::Part(*part));
        std::iter::once(Suspect::Request(self.request)).chain(parts)
    }
}
