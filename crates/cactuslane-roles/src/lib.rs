//! Role planning: how many engines compute prompts, generate tokens or do both.
//!
//! [`Planner::plan`] is a pure function of the measured demand and the roles in force. It orders
//! at most one change at a time, and only when the forecast, less its uncertainty, pays for it.

pub mod forecast;

use std::collections::BTreeMap;

use cactuslane_route::Speed;
use cactuslane_types::{Millis, Role, TargetId};

pub use forecast::{Forecast, Workload};

/// Number of standard deviations of the mix over which a split must hold.
const STD_DEVIATIONS: f64 = 1.0;
/// Share by which the model of an engine may be wrong: a smaller gain is none.
const MIN_GAIN: f64 = 0.15;
/// Utilization up to which nothing is gained by a change.
const MIN_UTILIZATION: f64 = 0.55;

/// Plans the roles of one model's engines.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Holds the parameters.
    pub params: PlanParams,
    /// Whether an engine may do both kinds of work.
    pub allow_mixed: bool,
    /// The forecast of the demand.
    pub forecast: Forecast,
    /// Holds the time of each engine's last change.
    last_changes: BTreeMap<TargetId, Millis>,
}

/// Holds what decides whether a change pays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanParams {
    /// The capacity of each role.
    pub rates: Rates,
    /// The time that a change takes an engine away, in milliseconds.
    pub change_ms: f64,
    /// The deployment's weight on a change, in lost engine seconds.
    pub change_weight: f64,
    /// The time for which a change must pay, in milliseconds.
    pub payback_ms: f64,
}

/// The time that an engine takes for one token of each kind, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// That of a prompt token on a prefill engine.
    pub prefill: f64,
    /// That of an output token on a decode engine.
    pub decode: f64,
    /// That of a prompt token on a mixed engine that also generates.
    pub mixed_prefill: f64,
    /// That of an output token on a mixed engine that also computes prompts.
    pub mixed_decode: f64,
}

/// One change of role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleAssignment {
    /// The engine.
    pub target: TargetId,
    /// Its new role.
    pub role: Role,
}

/// The number of engines of each role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Split {
    /// The number of prefill engines.
    pub prefill: usize,
    /// The number of decode engines.
    pub decode: usize,
    /// The number of mixed engines.
    pub mixed: usize,
}

impl Planner {
    /// Creates a planner.
    #[must_use]
    pub fn new(params: PlanParams) -> Self {
        Self {
            params,
            allow_mixed: true,
            forecast: Forecast::default(),
            last_changes: BTreeMap::new(),
        }
    }

    /// Returns the change to make now, if one pays.
    ///
    /// `roles` holds the engines that serve with their roles, and how many streams each has.
    pub fn plan(
        &mut self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        now: Millis,
    ) -> Option<RoleAssignment> {
        let workload = self.forecast.predict(self.params.payback_ms / 2.0)?;
        let uncertainty = self.forecast.uncertainty() * STD_DEVIATIONS;
        self.plan_for(roles, workload, uncertainty, now)
    }

    /// Returns the change to make now for a mix that may be off by a share, if one pays.
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

    /// Records a change that was made outside this planner, such as an earlier owner's.
    pub fn record_change(&mut self, target: &str, at: Millis) {
        self.last_changes.insert(target.to_owned(), at);
    }

    /// Returns the split with the lowest utilization, at its worst over the doubt.
    fn best_split(
        &self,
        from: Split,
        workload: Workload,
        uncertainty: f64,
    ) -> Option<(Split, f64)> {
        let mut best: Option<(Split, f64)> = None;
        for split in from.all_of_same_size(self.allow_mixed) {
            let utilization = self.worst_utilization(split, workload, uncertainty);
            // Among equals the nearest wins.
            let utilization = utilization + 1e-6 * from.steps_to(split) as f64;
            if best.is_none_or(|(_, lowest)| utilization < lowest) {
                best = Some((split, utilization));
            }
        }
        best
    }

    /// Returns whether a gain in utilization pays for all changes up to a split.
    fn pays_back(&self, from: Split, to: Split, gain: f64) -> bool {
        let engines = (from.prefill + from.decode + from.mixed) as f64;
        let saved = gain * engines * self.params.payback_ms / 1000.0;
        let cost = self.params.change_ms / 1000.0 + self.params.change_weight;
        saved > cost * from.steps_to(to) as f64
    }

    /// Returns the best split one change nearer to another.
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

    /// Returns the utilization of a split, at its worst over the doubt.
    fn worst_utilization(&self, split: Split, workload: Workload, uncertainty: f64) -> f64 {
        let mut worst: f64 = 0.0;
        for shift in [-uncertainty, 0.0, uncertainty] {
            worst = worst.max(
                self.params
                    .rates
                    .utilization(split, workload.shifted(shift)),
            );
        }
        worst
    }

    /// Returns the engine with the fewest streams whose last change is long enough ago.
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

impl Rates {
    /// Returns the times of an engine from its speed at a usual load, under a bound on the time
    /// between tokens in milliseconds.
    #[must_use]
    pub fn of(speed: &Speed, itl_bound: f64) -> Self {
        /// Number of streams that an engine generates at once at a usual load.
        const TYPICAL_STREAMS: f64 = 60.0;
        /// Number of tokens in their contexts.
        const TYPICAL_CONTEXT: f64 = 90_000.0;
        /// Factor by which a mixed engine is worse when it cannot keep the bound.
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

    /// Returns the least utilization at which a split serves a mix; above 1 it falls short.
    ///
    /// Mixed engines take what the others leave, dividing their time between both kinds of work.
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

    /// Returns whether a split serves a mix when every engine works at a utilization.
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
    /// Counts the roles of engines.
    #[must_use]
    pub fn from_roles(roles: &BTreeMap<TargetId, (Role, usize)>) -> Self {
        let mut split = Self::default();
        for (role, _) in roles.values() {
            *split.count_mut(*role) += 1;
        }
        split
    }

    /// Returns the splits that differ by one engine and still serve both kinds of work.
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

    /// Returns all splits of as many engines that serve both kinds of work.
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

    /// Returns whether both kinds of work find an engine.
    fn serves_both(self) -> bool {
        self.mixed > 0 || (self.prefill > 0 && self.decode > 0)
    }

    /// Returns the number of changes to another split of as many engines.
    fn steps_to(self, other: Self) -> usize {
        let moved = self.prefill.abs_diff(other.prefill)
            + self.decode.abs_diff(other.decode)
            + self.mixed.abs_diff(other.mixed);
        moved / 2
    }

    /// Returns the role that loses and the role that gains an engine.
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

    /// Returns the count of one role.
    fn count_mut(&mut self, role: Role) -> &mut usize {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}
