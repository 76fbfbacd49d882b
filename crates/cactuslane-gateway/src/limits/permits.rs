//! Permits to send to targets that name limits, and the requests of other instances for them.

use cactuslane_flight::target::Target;
use cactuslane_place::{LimitNotice, TargetLimits};
use cactuslane_types::TargetId;
use serde::{Deserialize, Serialize};

use crate::calls::CallNumber;

/// Number of denied permits after which a request is placed only on targets without a limit.
const MAX_DENIALS: u32 = 3;

/// What an exchange with a target is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request of a caller, or the computation of its prompt.
    Request,
    /// A call that does not run a request, such as for the target's state.
    Call,
}

/// Permission to send one request or call to a target now.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    /// Target that it applies to.
    target: TargetId,
}

impl Permit {
    /// Creates the permit for a target.
    pub(super) fn new(target: TargetId) -> Self {
        Self { target }
    }

    /// Returns whether the permit applies to a target.
    #[must_use]
    pub fn applies_to(&self, target: &str) -> bool {
        self.target == target
    }
}

/// Permits that one request was denied since it was last sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Denials(u32);

impl Denials {
    /// Counts a denied permit.
    pub fn add(&mut self) {
        self.0 += 1;
    }

    /// Removes the targets that the request is not to be placed on any more: those with a limit,
    /// after several denied permits.
    pub fn filter(self, targets: &mut Vec<&Target>, limits: &TargetLimits) {
        if self.0 >= MAX_DENIALS {
            targets.retain(|target| limits.rate(target).is_none());
        }
    }
}

/// A request to another instance for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number that the answer repeats.
    pub number: CallNumber,
    /// What the sender knows of the target's limit.
    pub notice: LimitNotice,
}
