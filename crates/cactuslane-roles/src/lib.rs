//! Role planning: how many engines compute prompts, generate tokens or do both.
//!
//! [`Planner::plan`] is a pure function of the measured demand and the roles in force. It orders
//! at most one change at a time, and only when the forecast, less its doubt, pays for it.

pub mod forecast;

use std::collections::BTreeMap;

use cactuslane_route::Speed;
use cactuslane_types::{Millis, Role, TargetId};

pub use forecast::{Forecast, Mix};

/// Number of standard deviations of the forecast that a gain must exceed.
const DOUBT: f64 = 1.0;
/// Utilization up to which nothing is gained by a change.
const COMFORT: f64 = 0.7;

/// Plans the roles of one model's engines.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Holds the parameters.
    pub params: PlanParams,
    /// Is the forecast of the demand.
    pub forecast: Forecast,
    /// Holds the time of each engine's last change.
    changed: BTreeMap<TargetId, Millis>,
}

/// Holds what decides whether a change pays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanParams {
    /// Is the capacity of each role.
    pub rates: Rates,
    /// Is the time that a change takes an engine away, in milliseconds.
    pub change_ms: f64,
    /// Is the deployment's weight on a change, in lost engine seconds.
    pub change_weight: f64,
    /// Is the time for which a change must pay, in milliseconds.
    pub payback_ms: f64,
}

/// Is the capacity of one engine in each role, in tokens a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Is the prompt tokens of a prefill engine.
    pub prefill: f64,
    /// Is the output tokens of a decode engine.
    pub decode: f64,
    /// Is the prompt tokens of a mixed engine that does nothing else.
    pub mixed_prefill: f64,
    /// Is the output tokens of a mixed engine that does nothing else.
    pub mixed_decode: f64,
}

/// Is one change of role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Is the engine.
    pub target: TargetId,
    /// Is its new role.
    pub role: Role,
}

/// Is the number of engines of each role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Split {
    /// Is the number of prefill engines.
    pub prefill: usize,
    /// Is the number of decode engines.
    pub decode: usize,
    /// Is the number of mixed engines.
    pub mixed: usize,
}

impl Planner {
    /// Creates a planner.
    #[must_use]
    pub fn new(params: PlanParams) -> Self {
        Self {
            params,
            forecast: Forecast::default(),
            changed: BTreeMap::new(),
        }
    }

    /// Returns the change to make now, if one pays.
    ///
    /// `roles` holds the engines that serve with their roles, and how many streams each has.
    pub fn plan(
        &mut self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        now: Millis,
    ) -> Option<Change> {
        let mix = self.forecast.at(self.params.payback_ms / 2.0)?;
        let doubt = self.forecast.doubt() * DOUBT;
        self.plan_for(roles, mix, doubt, now)
    }

    /// Returns the change to make now for a mix that may be off by a share, if one pays.
    pub fn plan_for(
        &mut self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        mix: Mix,
        doubt: f64,
        now: Millis,
    ) -> Option<Change> {
        let split = Split::of(roles);
        let current = self.params.rates.utilization(split, mix);
        if current < COMFORT {
            return None;
        }
        let (best, gain) = self.best_step(split, mix, doubt)?;
        if gain <= 0.0 {
            return None;
        }
        let change = self.choose_engine(roles, split, best, now)?;
        self.changed.insert(change.target.clone(), now);
        Some(change)
    }

    /// Records a change that was made outside this planner, such as an earlier owner's.
    pub fn changed(&mut self, target: &str, at: Millis) {
        self.changed.insert(target.to_owned(), at);
    }

    /// Returns the best split that differs by one engine, with its net gain in engine seconds.
    fn best_step(&self, split: Split, mix: Mix, doubt: f64) -> Option<(Split, f64)> {
        let engines = (split.prefill + split.decode + split.mixed) as f64;
        let mut best: Option<(Split, f64)> = None;
        for next in split.neighbours() {
            let gain = self.sure_gain(split, next, mix, doubt);
            let saved = gain * engines * self.params.payback_ms / 1000.0;
            let cost = self.params.change_ms / 1000.0 + self.params.change_weight;
            let net = saved - cost;
            if best.is_none_or(|(_, highest)| net > highest) {
                best = Some((next, net));
            }
        }
        best
    }

    /// Returns the utilization that a step saves, at the least over the forecast's doubt.
    fn sure_gain(&self, from: Split, to: Split, mix: Mix, doubt: f64) -> f64 {
        let rates = &self.params.rates;
        let mut least = f64::INFINITY;
        for shift in [-doubt, 0.0, doubt] {
            let shifted = mix.shifted(shift);
            let gain = rates.utilization(from, shifted) - rates.utilization(to, shifted);
            least = least.min(gain);
        }
        least
    }

    /// Returns the engine with the fewest streams whose last change is long enough ago.
    fn choose_engine(
        &self,
        roles: &BTreeMap<TargetId, (Role, usize)>,
        from: Split,
        to: Split,
        now: Millis,
    ) -> Option<Change> {
        let (old, new) = from.difference(to)?;
        let rested = |id: &TargetId| {
            let last = self.changed.get(id).copied();
            last.is_none_or(|last| now.saturating_sub(last) as f64 >= self.params.payback_ms)
        };
        let able = roles
            .iter()
            .filter(|(id, (role, _))| *role == old && rested(id));
        let (target, _) = able.min_by_key(|(_, (_, streams))| *streams)?;
        Some(Change {
            target: target.clone(),
            role: new,
        })
    }
}

impl Rates {
    /// Returns the capacity of an engine from its speed at a usual load.
    #[must_use]
    pub fn of(speed: &Speed) -> Self {
        /// Number of streams that an engine generates at once at a usual load.
        const STREAMS: f64 = 60.0;
        /// Number of tokens in their contexts.
        const CONTEXT: f64 = 90_000.0;
        let decode = STREAMS / speed.decode_step(STREAMS, CONTEXT);
        let prefill_step = speed.chunk * speed.prefill_ms * speed.mixing + speed.step_ms;
        Self {
            prefill: speed.prefill_rate(),
            decode,
            mixed_prefill: speed.chunk / prefill_step,
            mixed_decode: decode / speed.mixing,
        }
    }

    /// Returns the least utilization at which a split serves a mix; above 1 it falls short.
    ///
    /// Mixed engines take what the others leave, dividing their time between both kinds of work.
    #[must_use]
    pub fn utilization(&self, split: Split, mix: Mix) -> f64 {
        let (mut low, mut high) = (0.0, 100.0);
        for _ in 0..24 {
            let middle = f64::midpoint(low, high);
            if self.serves(split, mix, middle) {
                high = middle;
            } else {
                low = middle;
            }
        }
        high
    }

    /// Returns whether a split serves a mix when every engine works at a utilization.
    fn serves(&self, split: Split, mix: Mix, utilization: f64) -> bool {
        let prefill = self.prefill * split.prefill as f64 * utilization;
        let decode = self.decode * split.decode as f64 * utilization;
        // Work that goes through a split needs both engines; only the smaller side counts.
        let ratio = mix.decode / mix.prefill.max(1e-9);
        let through = if split.prefill > 0 && split.decode > 0 {
            prefill.min(decode / ratio.max(1e-9)).min(mix.prefill)
        } else {
            0.0
        };
        let left_prefill = mix.prefill - through;
        let left_decode = mix.decode - through * ratio;
        let time = left_prefill / self.mixed_prefill + left_decode / self.mixed_decode;
        time <= split.mixed as f64 * utilization + 1e-9
    }
}

impl Split {
    /// Counts the roles of engines.
    #[must_use]
    pub fn of(roles: &BTreeMap<TargetId, (Role, usize)>) -> Self {
        let mut split = Self::default();
        for (role, _) in roles.values() {
            *split.count(*role) += 1;
        }
        split
    }

    /// Returns the splits that differ by one engine and still serve both kinds of work.
    fn neighbours(self) -> Vec<Self> {
        let roles = [Role::Prefill, Role::Decode, Role::Mixed];
        let mut neighbours = Vec::new();
        for from in roles {
            for to in roles {
                let mut next = self;
                if from == to || *next.count(from) == 0 {
                    continue;
                }
                *next.count(from) -= 1;
                *next.count(to) += 1;
                if next.mixed > 0 || (next.prefill > 0 && next.decode > 0) {
                    neighbours.push(next);
                }
            }
        }
        neighbours
    }

    /// Returns the role that loses and the role that gains an engine.
    fn difference(self, to: Self) -> Option<(Role, Role)> {
        let counts = |split: Self, role| *{ split }.count(role);
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
    fn count(&mut self, role: Role) -> &mut usize {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}
