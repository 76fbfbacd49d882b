//! How many engines compute prompts and how many generate.

use std::collections::BTreeMap;

use cactuslane_flight::document::Engine;
use cactuslane_roles::{PlanParams, Planner, RoleAssignment, UnitCosts, Workload};
use cactuslane_types::{Millis, Role, TargetId};

use crate::picture::Placed;
use crate::speed::PromptSpeed;

/// Weight of the demand of one observation, for each second that it covers.
const WEIGHT: f64 = 0.4;
/// Time that must be observed before anything is changed, in milliseconds.
const MIN_OBSERVED: Millis = 1_000;
/// Share by which the demand may be off.
const DOUBT: f64 = 0.15;
/// Part of an engine's slots that generate at once without pauses that callers notice.
const SLOT_PART: f64 = 0.4;
/// Part of an engine's memory that streams may need, so that shared parts are kept as well.
const MEMORY_PART: f64 = 0.4;
/// Time that a stream lasts at least, in milliseconds.
const STREAM_MS: f64 = 900.0;
/// Time that a change takes an engine away, in milliseconds.
const CHANGE_MS: f64 = 3_000.0;
/// Weight of a change, in lost engine seconds.
const CHANGE_WEIGHT: f64 = 3.0;
/// Time for which a change must pay, in milliseconds.
const PAYBACK_MS: f64 = 60_000.0;
/// Time after a change in which none goes the other way, unless engines were lost, in milliseconds.
const REVERSE_PAUSE: Millis = 20_000;
/// Smallest part of the engines that keep either role.
const LEAST_PART: f64 = 0.25;
/// Streams that count where none was seen, so that engines to generate are kept.
const LEAST_STREAMS: f64 = 1.0;

/// Plans roles from the demand that is observed.
#[derive(Clone, Debug)]
pub struct RolePlan {
    /// The planner.
    planner: Planner,
    /// The prompt tokens to compute, in tokens a millisecond.
    prompts: f64,
    /// The streams that are generated at once.
    streams: f64,
    /// The work and time of the last observation.
    last: Option<(Placed, Millis)>,
    /// The time that was observed, in milliseconds.
    observed: Millis,
    /// The last change.
    turned: Option<Turn>,
}

/// A change of role, for what may follow it.
#[derive(Clone, Copy, Debug)]
struct Turn {
    /// The role that gained an engine.
    role: Role,
    /// Its time.
    at: Millis,
    /// The engines that were left with the other role.
    left: usize,
}

impl Default for RolePlan {
    fn default() -> Self {
        let costs = UnitCosts {
            prefill: 1.0,
            decode: 1.0,
            mixed_prefill: 1.0,
            mixed_decode: 1.0,
        };
        let params = PlanParams {
            costs,
            change_ms: CHANGE_MS,
            change_weight: CHANGE_WEIGHT,
            payback_ms: PAYBACK_MS,
        };
        let mut planner = Planner::new(params);
        planner.allow_mixed = false;
        Self {
            planner,
            prompts: 0.0,
            streams: 0.0,
            last: None,
            observed: 0,
            turned: None,
        }
    }
}

impl RolePlan {
    /// Takes the work placed since ever, the streams that are generated now and the memory
    /// that they need, in tokens.
    pub fn observe(
        &mut self,
        placed: Placed,
        streams: usize,
        memory: u64,
        engine: &Engine,
        now: Millis,
    ) {
        let engines = memory as f64 / (engine.memory as f64 * MEMORY_PART).max(1.0);
        let streams = (streams as f64).max(engines * f64::from(engine.slots) * SLOT_PART);
        let Some((before, at)) = self.last.replace((placed, now)) else {
            return;
        };
        let elapsed = now.saturating_sub(at);
        if elapsed == 0 || (placed == before && self.observed == 0) {
            return;
        }
        let rate = |new: u64, old: u64| new.saturating_sub(old) as f64 / elapsed as f64;
        let prompts = rate(placed.prompt, before.prompt);
        // Streams that have just begun are not yet seen at their full number.
        let streams = streams.max(rate(placed.streams, before.streams) * STREAM_MS);
        // At first all that was seen counts alike.
        let seen = self.observed as f64 / 1000.0;
        let seconds = elapsed as f64 / 1000.0;
        let part = (seconds / (seen + seconds)).max(WEIGHT * seconds).min(1.0);
        self.prompts += (prompts - self.prompts) * part;
        self.streams += (streams - self.streams) * part;
        self.observed += elapsed;
    }

    /// Returns the changes to make now, at most a number of them.
    ///
    /// `engines` holds the engines that serve with their roles and streams.
    pub fn changes(
        &mut self,
        engines: &BTreeMap<TargetId, (Role, usize)>,
        engine: &Engine,
        speed: PromptSpeed,
        most: usize,
        now: Millis,
    ) -> Vec<RoleAssignment> {
        let mut changes = Vec::new();
        if self.observed < MIN_OBSERVED {
            return changes;
        }
        self.planner.params.costs.prefill = speed.prefill_ms(1.0);
        self.planner.params.costs.decode = 1.0 / (f64::from(engine.slots) * SLOT_PART).max(1.0);
        let mix = self.demand();
        let mut roles = engines.clone();
        while changes.len() < most {
            let Some(change) = self.planner.plan_for(&roles, mix, DOUBT, now) else {
                break;
            };
            let gaining = roles.values().filter(|(role, _)| *role == change.role);
            let gaining = gaining.count();
            let losing = roles.len() - gaining;
            let reverses = |turn: Turn| {
                let early = now.saturating_sub(turn.at) < REVERSE_PAUSE;
                turn.role != change.role && early && gaining >= turn.left
            };
            let least = (roles.len() as f64 * LEAST_PART).ceil() as usize;
            if self.turned.is_some_and(reverses) || losing <= least {
                break;
            }
            self.turned = Some(Turn {
                role: change.role,
                at: now,
                left: losing - 1,
            });
            if let Some((role, _)) = roles.get_mut(&change.target) {
                *role = change.role;
            }
            changes.push(change);
        }
        changes
    }

    /// Returns the demand: prompt tokens a millisecond, and streams at once.
    #[must_use]
    pub fn demand(&self) -> Workload {
        Workload {
            prefill: self.prompts,
            decode: self.streams.max(LEAST_STREAMS),
        }
    }

    /// Records a change that was made or begun by someone.
    pub fn changed(&mut self, target: &str, now: Millis) {
        self.planner.record_change(target, now);
    }
}
