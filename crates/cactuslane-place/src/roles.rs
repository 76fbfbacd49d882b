//! Number of engines that compute prompts and of those that generate, by observed demand.

use std::collections::BTreeMap;

use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_roles::{PlanParams, Planner, RoleAssignment, UnitCosts, Workload};
use cactuslane_types::{Millis, Role, TargetId};

use crate::load_view::PlacedWork;
use crate::speed::PromptSpeed;

/// Weight of an observation in the moving averages of the demand, for each second that it covers.
const OBSERVATION_WEIGHT: f64 = 0.4;
/// Shortest time that must have been observed before roles are changed, in milliseconds.
const MIN_OBSERVED: Millis = 1_000;
/// Share by which the estimate of either demand may be wrong.
const DEMAND_ERROR: f64 = 0.15;
/// Share of an engine's slots that can generate at the same time without pauses that callers
/// notice.
const SLOT_SHARE: f64 = 0.4;
/// Share of an engine's KV capacity that streams may fill, so that there is room to cache shared
/// prompt parts as well.
const MEMORY_SHARE: f64 = 0.4;
/// Assumed shortest duration of a stream, in milliseconds.
const MIN_STREAM_MS: f64 = 900.0;
/// Time for which an engine is unavailable during a role change, in milliseconds.
const CHANGE_MS: f64 = 3_000.0;
/// Cost of a role change in addition to [`CHANGE_MS`], in lost engine seconds.
const CHANGE_WEIGHT: f64 = 3.0;
/// Time within which a role change must pay off, in milliseconds.
const PAYBACK_MS: f64 = 60_000.0;
/// Time after a role change during which none in the other direction is made, unless engines were
/// lost, in milliseconds.
const REVERSAL_DELAY: Millis = 20_000;
/// Time without an engine that generates after which some are made to, in milliseconds; engines
/// that start may not be known yet.
const RESTORE_DELAY: Millis = 2_000;
/// Smallest share of the engines that each role keeps.
const MIN_ROLE_SHARE: f64 = 0.25;
/// Number of streams that is assumed if fewer are observed, so that some engines keep generating.
const MIN_STREAMS: f64 = 1.0;

/// Plans role changes of a service's engines from the observed demand.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    /// Planner that weighs the gain of a role change against its cost.
    planner: Planner,
    /// Moving average of the prompt tokens to compute, in tokens per millisecond.
    prompt_rate: f64,
    /// Moving average of the number of concurrent streams.
    streams: f64,
    /// Cumulative placed work at the last observation, and the time of that observation.
    last: Option<(PlacedWork, Millis)>,
    /// Total time covered by observations, in milliseconds.
    observed: Millis,
    /// Last role change that was planned.
    last_change: Option<RoleChange>,
    /// Time since which no engine generates.
    idle_since: Option<Millis>,
}

/// A planned role change, kept to prevent its early reversal.
#[derive(Clone, Copy, Debug)]
struct RoleChange {
    /// Role that gained an engine.
    role: Role,
    /// Time at which the change was planned.
    at: Millis,
    /// Number of engines that remained in the other role.
    remaining: usize,
}

impl Default for RolePlanner {
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
            prompt_rate: 0.0,
            streams: 0.0,
            last: None,
            observed: 0,
            last_change: None,
            idle_since: None,
        }
    }
}

impl RolePlanner {
    /// Updates the demand by one observation.
    ///
    /// `placed` is the cumulative work of all instances, `streams` the current number of requests
    /// at the engines that generate, and `kv_tokens` the KV cache space reserved for these, in
    /// tokens.
    pub fn observe(
        &mut self,
        placed: PlacedWork,
        streams: usize,
        kv_tokens: u64,
        engine: &EngineSpec,
        now: Millis,
    ) {
        // Few streams may fill the KV caches of many engines; they then count as the number of
        // streams that these engines can generate.
        let engines_by_kv = kv_tokens as f64 / (engine.kv_capacity as f64 * MEMORY_SHARE).max(1.0);
        let streams = (streams as f64).max(engines_by_kv * f64::from(engine.slots) * SLOT_SHARE);
        let Some((before, at)) = self.last.replace((placed, now)) else {
            return;
        };
        let elapsed = now.saturating_sub(at);
        // The time before the first work is placed does not count as observed.
        if elapsed == 0 || (placed == before && self.observed == 0) {
            return;
        }
        let rate = |new: u64, old: u64| new.saturating_sub(old) as f64 / elapsed as f64;
        let prompts = rate(placed.prompt_tokens, before.prompt_tokens);
        // The current number does not yet show the full number of streams that have just begun, so
        // the rate at which they begin sets a lower bound.
        let streams = streams.max(rate(placed.streams, before.streams) * MIN_STREAM_MS);
        // At first, all observed time counts equally, as in a plain average.
        let seen = self.observed as f64 / 1000.0;
        let seconds = elapsed as f64 / 1000.0;
        let part = (seconds / (seen + seconds))
            .max(OBSERVATION_WEIGHT * seconds)
            .min(1.0);
        self.prompt_rate += (prompts - self.prompt_rate) * part;
        self.streams += (streams - self.streams) * part;
        self.observed += elapsed;
    }

    /// Returns the role changes to make now, at most `limit` of them.
    ///
    /// `engines` holds the role of each serving engine and its number of requests in progress.
    pub fn changes(
        &mut self,
        engines: &BTreeMap<TargetId, (Role, usize)>,
        engine: &EngineSpec,
        speed: &PromptSpeed,
        limit: usize,
        now: Millis,
    ) -> Vec<RoleAssignment> {
        let generates = |(role, _): &(Role, usize)| role.decodes();
        if engines.is_empty() || engines.values().any(generates) {
            self.idle_since = None;
        } else {
            let since = *self.idle_since.get_or_insert(now);
            if limit > 0 && now >= since + RESTORE_DELAY {
                return self.restore_generation(engines, limit, now);
            }
        }
        let mut changes = Vec::new();
        if self.observed < MIN_OBSERVED {
            return changes;
        }
        // Waiting counts as work, so that engines are added where prompts queue.
        self.planner.params.costs.prefill = speed.waiting_token_ms();
        self.planner.params.costs.decode = 1.0 / (f64::from(engine.slots) * SLOT_SHARE).max(1.0);
        let mix = self.demand();
        let mut roles = engines.clone();
        while changes.len() < limit {
            let Some(change) = self.planner.plan_for(&roles, mix, DEMAND_ERROR, now) else {
                break;
            };
            let gaining = roles.values().filter(|(role, _)| *role == change.role);
            let gaining = gaining.count();
            let losing = roles.len() - gaining;
            let reverses = |last: RoleChange| {
                let early = now.saturating_sub(last.at) < REVERSAL_DELAY;
                last.role != change.role && early && gaining >= last.remaining
            };
            let least = (roles.len() as f64 * MIN_ROLE_SHARE).ceil() as usize;
            if self.last_change.is_some_and(reverses) || losing <= least {
                self.planner.withdraw(&change);
                break;
            }
            self.last_change = Some(RoleChange {
                role: change.role,
                at: now,
                remaining: losing - 1,
            });
            if let Some((role, _)) = roles.get_mut(&change.target) {
                *role = change.role;
            }
            changes.push(change);
        }
        changes
    }

    /// Returns the changes that let the least loaded engines generate, where none does. They do not
    /// depend on the demand, as no work can be placed and so none is observed.
    fn restore_generation(
        &mut self,
        engines: &BTreeMap<TargetId, (Role, usize)>,
        limit: usize,
        now: Millis,
    ) -> Vec<RoleAssignment> {
        let least = (engines.len() as f64 * MIN_ROLE_SHARE).ceil() as usize;
        let mut targets: Vec<(usize, &TargetId)> = Vec::new();
        for (target, (_, requests)) in engines {
            targets.push((*requests, target));
        }
        targets.sort();
        targets.truncate(least.min(limit));
        let mut changes = Vec::new();
        for (_, target) in targets {
            self.planner.record_change(target, now);
            changes.push(RoleAssignment {
                target: target.clone(),
                role: Role::Decode,
            });
        }
        self.last_change = Some(RoleChange {
            role: Role::Decode,
            at: now,
            remaining: engines.len() - changes.len(),
        });
        changes
    }

    /// Returns the demand: prompt tokens per millisecond in `prefill`, and the number of concurrent
    /// streams in `decode`.
    #[must_use]
    pub fn demand(&self) -> Workload {
        Workload {
            prefill: self.prompt_rate,
            decode: self.streams.max(MIN_STREAMS),
        }
    }

    /// Records a role change of an engine that was made or begun outside this planner.
    pub fn changed(&mut self, target: &str, now: Millis) {
        self.planner.record_change(target, now);
    }
}
