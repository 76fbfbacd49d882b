//! What the holder of authority reads off the shared state before it decides.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_authority::plan::Stage;
use cactuslane_authority::{Hold, Wanted};
use cactuslane_config::FencingMode;
use cactuslane_member::Status;
use cactuslane_types::{FencingToken, InstanceId, Millis};

use super::Authority;
use crate::routing::ListedTarget;

impl Authority {
    /// Returns the instances that serve and take new callers.
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

    /// Returns the fencing number under which this instance owns a shard, while its lease holds.
    pub(super) fn fencing(&self, shard: &str) -> Option<FencingToken> {
        let valid = self.session.is_valid(self.shared.now());
        self.ownership.fencing(shard).filter(|_| valid)
    }

    /// Returns whether a target checks fencing numbers.
    pub(super) fn checks(&self, target: &ListedTarget) -> bool {
        let config = self.shared.documents.config();
        let model = config.document.models.get(&target.service);
        model.is_some_and(|model| model.fencing == FencingMode::Checked)
    }

    /// Returns what the plan wants of a target, and whether it is drained everywhere.
    pub(super) fn wanted(&self, id: &str) -> (Option<Wanted>, bool) {
        let plan = self.shared.documents.plan();
        let planned = plan.plan.targets.get(id);
        let Some(planned) = planned.filter(|planned| planned.stage == Stage::Drained) else {
            return (None, false);
        };
        (planned.wanted.clone(), self.is_everywhere(plan.revision))
    }

    /// Returns whether the process that took a hold can send nothing any more.
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

    /// Returns whether every listed instance has a plan in force and nothing left at what it
    /// drains. One that does not answer counts until the platform drops it from the list.
    pub(super) fn is_everywhere(&self, revision: u64) -> bool {
        let listed = self.shared.authority().listed_entries();
        let members = self.shared.members();
        listed.iter().all(|id| {
            members
                .record(id)
                .is_some_and(|record| record.revisions.plan >= revision)
        })
    }

    /// Shows the owned shards to those who ask.
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
