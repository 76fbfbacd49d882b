//! What the authority task reads from the shared state and its own to decide, and the publication
//! of the owned shards.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_authority::plan::Stage;
use cactuslane_authority::{Hold, Wanted};
use cactuslane_config::FencingMode;
use cactuslane_member::Status;
use cactuslane_types::{FencingToken, InstanceId, Millis};

use super::Authority;
use crate::routing::ListedTarget;

impl Authority {
    /// Returns the instances that are alive and take new callers.
    ///
    /// This instance is left out if it is leaving or may not take new work.
    pub(super) fn serving(&self) -> BTreeSet<InstanceId> {
        let members = self.shared.members();
        let alive = members
            .records()
            .filter(|record| record.status == Status::Alive);
        let mut serving: BTreeSet<InstanceId> = alive.map(|record| record.id.clone()).collect();
        drop(members);
        if self.shared.is_leaving() || self.shared.refusal().is_some() {
            serving.remove(&self.shared.settings.instance);
        }
        serving
    }

    /// Returns the fencing token under which this instance owns a shard; `None` if it does not own
    /// the shard or its lease may have expired.
    pub(super) fn fencing(&self, shard: &str) -> Option<FencingToken> {
        let valid = self.session.is_valid(self.shared.now());
        self.ownership.fencing(shard).filter(|_| valid)
    }

    /// Returns whether a target rejects orders with an earlier fencing token, as configured for
    /// its model.
    pub(super) fn checks_fencing(&self, target: &ListedTarget) -> bool {
        let config = self.shared.documents.config();
        let model = config.document.models.get(&target.service);
        model.is_some_and(|model| model.fencing == FencingMode::Checked)
    }

    /// Returns the state that the plan wants of a target, and whether every listed instance has
    /// drained the target.
    ///
    /// While the plan does not drain the target, nothing is wanted of it.
    pub(super) fn wanted(&self, id: &str) -> (Option<Wanted>, bool) {
        let plan = self.shared.documents.plan();
        let planned = plan.plan.targets.get(id);
        let Some(planned) = planned.filter(|planned| planned.stage == Stage::Drained) else {
            return (None, false);
        };
        (
            planned.wanted.clone(),
            self.is_applied_everywhere(plan.revision),
        )
    }

    /// Returns whether the process that took a hold can no longer send orders.
    pub(super) fn is_gone(&self, hold: &Hold, now: Millis) -> bool {
        let newer = {
            let members = self.shared.members();
            let mut records = members.records();
            records.any(|record| {
                record.gossip.to_string() == hold.address && record.incarnation > hold.incarnation
            })
        };
        self.shared.authority().is_gone(hold, newer, now)
    }

    /// Returns whether every listed instance has a plan of at least this revision in force and no
    /// dispatch left at the targets that it drains, by its member record. An instance that cannot
    /// be reached counts until the platform removes it from the list.
    pub(super) fn is_applied_everywhere(&self, revision: u64) -> bool {
        let listed = self.shared.authority().listed_entries();
        let members = self.shared.members();
        listed.iter().all(|id| {
            members
                .record(id)
                .is_some_and(|record| record.revisions.plan >= revision)
        })
    }

    /// Copies the owned shards to the shared view; none while the lease may have expired.
    pub(super) fn publish_owned(&self) {
        let valid = self.session.is_valid(self.shared.now());
        let owned = if valid {
            self.ownership.owned().clone()
        } else {
            BTreeMap::new()
        };
        self.shared.authority().set_owned(owned);
    }
}
