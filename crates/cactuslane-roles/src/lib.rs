//! Role planning: how many engines of a model compute prompts, generate tokens or do both.
//!
//! [`Planner::plan`] does no I/O and reads no clock: it decides from the recorded demand, the
//! current roles and the time of each engine's last change, all of which the caller supplies. It
//! returns at most one change at a time, and only if the gain exceeds the cost of the change. The
//! gain is the reduction of the worst-case utilization: the highest for the forecast workload as it
//! is, and shifted by the uncertainty of the forecast towards prompts or towards output.

pub mod forecast;

use std::collections::BTreeMap;

use cactuslane_route::Speed;
use cactuslane_types::{Millis, Role, TargetId};

pub use forecast::{Forecast, Workload};

/// Number of standard deviations by which the workload may differ from the forecast in the worst
/// case for which a split is chosen.
const STD_DEVIATIONS: f64 = 1.0;
/// Least share by which the current utilization must exceed that of the best split: the performance
/// model of an engine may be wrong by this share, so a smaller gain does not count.
const MIN_GAIN: f64 = 0.15;
/// Worst-case utilization below which no role changes, since a change gains nothing there.
const MIN_UTILIZATION: f64 = 0.55;

/// Planner of the roles of one model's engines.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Engine times and change costs for the decisions; may be replaced between two plans.
    pub params: PlanParams,
    /// Whether engines may be assigned the role `mixed`. Without it, engines that are mixed already
    /// may stay so.
    pub allow_mixed: bool,
    /// Forecast for [`Planner::plan`], which the caller feeds with observations.
    pub forecast: Forecast,
    /// Time of each engine's last change, in milliseconds on the clock of `now` in
    /// [`Planner::plan`].
    last_changes: BTreeMap<TargetId, Millis>,
}

/// Parameters that decide whether a role change pays off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanParams {
    /// Engine time of each kind of work by role.
    pub costs: UnitCosts,
    /// Time for which an engine is out of service during a change, in milliseconds.
    pub change_ms: f64,
    /// Cost that the deployment assigns to a change in addition to `change_ms`, in engine seconds.
    pub change_weight: f64,
    /// Time within which a change must pay off, in milliseconds; also the least time between two
    /// changes of one engine.
    pub payback_ms: f64,
}

/// Engine time of one token of each kind, in milliseconds.
///
/// Another unit of work may take the place of the token if [`Workload`] counts in it as well:
/// `cactuslane-place` states `decode` as the share of an engine that one concurrent stream takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnitCosts {
    /// Time of a prompt token on an engine that only computes prompts.
    pub prefill: f64,
    /// Time of an output token on an engine that only generates.
    pub decode: f64,
    /// Time of a prompt token on a mixed engine that also generates.
    pub mixed_prefill: f64,
    /// Time of an output token on a mixed engine that also computes prompts.
    pub mixed_decode: f64,
}

/// Role that the planner assigns to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleAssignment {
    /// Engine whose role changes.
    pub target: TargetId,
    /// Role that the engine takes.
    pub role: Role,
}

/// Number of engines in each role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Split {
    /// Number of engines that only compute prompts.
    pub prefill: usize,
    /// Number of engines that only generate tokens.
    pub decode: usize,
    /// Number of engines that do both.
    pub mixed: usize,
}

impl Planner {
    /// Creates a planner without observations that may assign the role `mixed`.
    #[must_use]
    pub fn new(params: PlanParams) -> Self {
        Self {
            params,
            allow_mixed: true,
            forecast: Forecast::default(),
            last_changes: BTreeMap::new(),
        }
    }

    /// Returns the change to make now for the workload that [`Planner::forecast`] predicts for the
    /// middle of the payback time, or `None` if no change pays off, no engine may change yet or
    /// there is no forecast yet.
    ///
    /// `roles` holds the role and the number of streams of each engine that serves the model.
    /// `now` is in milliseconds on a monotonic clock. The planner assumes that a returned
    /// change is carried out, and keeps the engine in its new role for the payback time.
    pub fn plan(
        &mut self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        now: Millis,
    ) -> Option<RoleAssignment> {
        let workload = self.forecast.predict(self.params.payback_ms / 2.0)?;
        let uncertainty = self.forecast.uncertainty() * STD_DEVIATIONS;
        self.plan_for(roles, workload, uncertainty, now)
    }

    /// Returns the change to make now for a given workload, or `None` if no change pays off or no
    /// engine may change yet.
    ///
    /// `uncertainty` is the relative error that either demand of the workload may have.
    pub fn plan_for(
        &mut self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        workload: Workload,
        uncertainty: f64,
        now: Millis,
    ) -> Option<RoleAssignment> {
        let split = Split::from_roles(roles);
        let current = self.worst_utilization(split, workload, uncertainty);
        if current < MIN_UTILIZATION {
            return None;
        }
        let (best, utilization) = self.best_split(split, workload, uncertainty)?;
        if best == split || utilization * (1.0 + MIN_GAIN) > current {
            return None;
        }
        if !self.pays_back(split, best, current - utilization) {
            return None;
        }
        let step = self.first_step(split, best, workload, uncertainty)?;
        let change = self.choose_engine(roles, split, step, now)?;
        self.last_changes.insert(change.target.clone(), now);
        Some(change)
    }

    /// Records a change that this planner did not decide, such as one by the instance that ran the
    /// planner before. The planner does not change the engine again within the payback time after
    /// `at`, which is in milliseconds on the clock of `now` in [`Planner::plan`].
    pub fn record_change(&mut self, target: &str, at: Millis) {
        self.last_changes.insert(target.to_owned(), at);
    }

    /// Withdraws a change that was returned but is not carried out, so that its engine may change.
    pub fn withdraw(&mut self, change: &RoleAssignment) {
        self.last_changes.remove(&change.target);
    }

    /// Returns the split with the lowest worst-case utilization, and that utilization plus 1e-6
    /// for each change that leads there.
    fn best_split(
        &self,
        from: Split,
        workload: Workload,
        uncertainty: f64,
    ) -> Option<(Split, f64)> {
        let mut best: Option<(Split, f64)> = None;
        for split in from.all_of_same_size(self.allow_mixed) {
            let utilization = self.worst_utilization(split, workload, uncertainty);
            // Of splits with equal utilization, the one that takes the fewest changes wins.
            let utilization = utilization + 1e-6 * from.steps_to(split) as f64;
            if best.is_none_or(|(_, lowest)| utilization < lowest) {
                best = Some((split, utilization));
            }
        }
        best
    }

    /// Returns whether the engine time that a reduction of the utilization by `gain` saves within
    /// the payback time exceeds the cost of all changes from one split to the other.
    fn pays_back(&self, from: Split, to: Split, gain: f64) -> bool {
        let engines = (from.prefill + from.decode + from.mixed) as f64;
        let saved = gain * engines * self.params.payback_ms / 1000.0;
        let cost = self.params.change_ms / 1000.0 + self.params.change_weight;
        saved > cost * from.steps_to(to) as f64
    }

    /// Returns the split with the lowest worst-case utilization among those that are one change
    /// nearer to `to`.
    fn first_step(
        &self,
        from: Split,
        to: Split,
        workload: Workload,
        uncertainty: f64,
    ) -> Option<Split> {
        let remaining = from.steps_to(to);
        let nearer = from
            .neighbours(self.allow_mixed)
            .into_iter()
            .filter(|next| next.steps_to(to) < remaining);
        nearer.min_by(|a, b| {
            let utilization = |split: &Split| self.worst_utilization(*split, workload, uncertainty);
            utilization(a).total_cmp(&utilization(b))
        })
    }

    /// Returns the highest utilization of a split for the workload as given and shifted by the
    /// uncertainty towards either kind of work.
    fn worst_utilization(&self, split: Split, workload: Workload, uncertainty: f64) -> f64 {
        let mut worst: f64 = 0.0;
        for shift in [-uncertainty, 0.0, uncertainty] {
            worst = worst.max(
                self.params
                    .costs
                    .utilization(split, workload.shifted(shift)),
            );
        }
        worst
    }

    /// Returns the change of the engine with the fewest streams, among the engines of the role that
    /// shrinks that have not changed within the payback time.
    fn choose_engine(
        &self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        from: Split,
        to: Split,
        now: Millis,
    ) -> Option<RoleAssignment> {
        let (old, new) = from.difference(to)?;
        let cooled_down = |id: &TargetId| {
            let last = self.last_changes.get(id).copied();
            last.is_none_or(|last| now.saturating_sub(last) as f64 >= self.params.payback_ms)
        };
        let candidates = roles
            .iter()
            .filter(|(id, (role, _))| *role == old && cooled_down(id));
        let (target, _) = candidates.min_by_key(|(_, (_, streams))| *streams)?;
        Some(RoleAssignment {
            target: target.clone(),
            role: new,
        })
    }
}

impl UnitCosts {
    /// Computes the times per token from the speed of an engine at a typical load, with `itl_bound`
    /// as the bound on the inter-token latency, in milliseconds.
    #[must_use]
    pub fn from_speed(speed: &Speed, itl_bound: f64) -> Self {
        /// Number of streams that an engine generates concurrently at a typical load.
        const TYPICAL_STREAMS: f64 = 60.0;
        /// Total number of tokens in the contexts of these streams.
        const TYPICAL_CONTEXT: f64 = 90_000.0;
        /// Additional factor on the work of a mixed engine whose steps exceed the bound.
        const OVER_BOUND_FACTOR: f64 = 4.0;
        let decode_step = speed.decode_step(TYPICAL_STREAMS, TYPICAL_CONTEXT);
        let decode_work = decode_step - speed.step_ms;
        let exceeds_bound = speed.mixed_step(TYPICAL_STREAMS, TYPICAL_CONTEXT) > itl_bound;
        let factor = if exceeds_bound {
            speed.mixing * OVER_BOUND_FACTOR
        } else {
            speed.mixing
        };
        Self {
            prefill: 1.0 / speed.prefill_rate(),
            decode: decode_step / TYPICAL_STREAMS,
            mixed_prefill: speed.prefill_ms * factor,
            mixed_decode: (speed.step_ms + decode_work * factor) / TYPICAL_STREAMS,
        }
    }

    /// Returns the lowest utilization, equal on all engines, at which a split serves a workload.
    ///
    /// Above 1 the split cannot serve the workload; 100 is the largest value returned. Mixed
    /// engines take the work that exceeds the capacity of the others. If both kinds exceed it, they
    /// divide their time between both, and each token takes the time of a mixed engine.
    #[must_use]
    pub fn utilization(&self, split: Split, workload: Workload) -> f64 {
        let (mut low, mut high) = (0.0, 100.0);
        for _ in 0..24 {
            let middle = f64::midpoint(low, high);
            if self.can_serve(split, workload, middle) {
                high = middle;
            } else {
                low = middle;
            }
        }
        high
    }

    /// Returns whether a split serves a workload if every engine runs at the given utilization.
    fn can_serve(&self, split: Split, workload: Workload, utilization: f64) -> bool {
        let served = |engines: usize, time: f64| engines as f64 * utilization / time;
        let prefill = (workload.prefill - served(split.prefill, self.prefill)).max(0.0);
        let decode = (workload.decode - served(split.decode, self.decode)).max(0.0);
        let time = match (prefill > 0.0, decode > 0.0) {
            (true, true) => prefill * self.mixed_prefill + decode * self.mixed_decode,
            (true, false) => prefill * self.prefill,
            (false, _) => decode * self.decode,
        };
        time <= split.mixed as f64 * utilization + 1e-9
    }
}

impl Split {
    /// Counts the engines in each role; the number of streams is not used.
    #[must_use]
    pub fn from_roles(roles: &BTreeMap<TargetId, (Role, usize)>) -> Self {
        let mut split = Self::default();
        for (role, _) in roles.values() {
            *split.count_mut(*role) += 1;
        }
        split
    }

    /// Returns the splits that one role change leads to and that can serve both kinds of work.
    ///
    /// No engine becomes mixed unless `allow_mixed` is set.
    fn neighbours(self, allow_mixed: bool) -> Vec<Self> {
        let roles = [Role::Prefill, Role::Decode, Role::Mixed];
        let mut neighbours = Vec::new();
        for from in roles {
            for to in roles {
                let mut next = self;
                let blocked = to == Role::Mixed && !allow_mixed;
                if from == to || blocked || *next.count_mut(from) == 0 {
                    continue;
                }
                *next.count_mut(from) -= 1;
                *next.count_mut(to) += 1;
                if next.serves_both() {
                    neighbours.push(next);
                }
            }
        }
        neighbours
    }

    /// Returns all splits of the same number of engines that can serve both kinds of work.
    ///
    /// Unless `allow_mixed` is set, none has more mixed engines than this split.
    fn all_of_same_size(self, allow_mixed: bool) -> Vec<Self> {
        let engines = self.prefill + self.decode + self.mixed;
        let mut splits = Vec::new();
        for prefill in 0..=engines {
            for decode in 0..=engines - prefill {
                let split = Self {
                    prefill,
                    decode,
                    mixed: engines - prefill - decode,
                };
                if split.serves_both() && (allow_mixed || split.mixed <= self.mixed) {
                    splits.push(split);
                }
            }
        }
        splits
    }

    /// Returns whether there is an engine for each kind of work.
    fn serves_both(self) -> bool {
        self.mixed > 0 || (self.prefill > 0 && self.decode > 0)
    }

    /// Returns the number of role changes to another split of the same number of engines.
    fn steps_to(self, other: Self) -> usize {
        let moved = self.prefill.abs_diff(other.prefill)
            + self.decode.abs_diff(other.decode)
            + self.mixed.abs_diff(other.mixed);
        moved / 2
    }

    /// Returns the first role that has fewer engines in `to` and the first that has more, in the
    /// order prefill, decode, mixed, or `None` if there is no such pair.
    fn difference(self, to: Self) -> Option<(Role, Role)> {
        let counts = |split: Self, role| *{ split }.count_mut(role);
        let roles = [Role::Prefill, Role::Decode, Role::Mixed];
        let old = roles
            .into_iter()
            .find(|role| counts(self, *role) > counts(to, *role))?;
        let new = roles
            .into_iter()
            .find(|role| counts(self, *role) < counts(to, *role))?;
        Some((old, new))
    }

    /// Returns the number of engines in one role for reading or updating.
    fn count_mut(&mut self, role: Role) -> &mut usize {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}
