//! The choice of targets.

mod engines;

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::ask::{Ask, Part};
use cactuslane_flight::document::Engine;
use cactuslane_flight::target::Target;
use cactuslane_route::health::{Availability, Health};
use cactuslane_types::{DomainName, Millis, TargetId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::cache::CacheBelief;
use crate::observations::{Observations, Observed};
use crate::picture::{Picture, Told, Use, heard_parts, told_parts};
use crate::speed::PromptSpeed;

/// Cost of a target in another failure domain, in milliseconds.
const DOMAIN_COST: f64 = 3.0;
/// Range of the random cost that spreads equal choices, in milliseconds.
const NOISE: f64 = 2.0;
/// Share of the allowed pause between events that a prompt may take at a generating engine.
const PAUSE_SHARE: f64 = 0.5;
/// Pause between events that is assumed where a route states none, in milliseconds.
const DEFAULT_PAUSE: f64 = 150.0;
/// Part of the time for a first event within which a prompt that is computed elsewhere is surely on
/// time.
const ON_TIME_PART: f64 = 0.7;
/// Age that the list of an engine's parts may have, in milliseconds.
const LIST_AGE: Millis = 3_500;
/// Failures in a row, of a target that answers, after which it is left alone for a while.
const FAILURE_STREAK: u32 = 4;
/// Rejections in a row after which a target is left alone for a while: one that rejects at once looks
/// idle, and would draw ever more work.
const REJECTION_STREAK: u32 = 2;
/// Factor on the expected time above which a request is not taken any more.
const REFUSE_FACTOR: f64 = 1.0;

/// Chooses targets by load, prefix caches, place and health.
#[derive(Clone, Debug)]
pub struct Placer {
    /// The load of the targets.
    pub picture: Picture,
    /// The speed of the engines.
    pub speed: PromptSpeed,
    /// The prefix caches of the engines.
    caches: BTreeMap<TargetId, CacheBelief>,
    /// The health of the targets.
    health: BTreeMap<TargetId, Condition>,
    /// What instances tell each other of targets.
    pub observations: Observations,
    /// The uses that the other instances have not been told.
    untold: Vec<Use>,
    /// The failure domain of this instance.
    domain: DomainName,
    /// The source of randomness.
    random: Pcg64Mcg,
}

/// The health of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    /// What its answers and failures say.
    health: Health,
    /// The failures that it answered in a row.
    streak: u32,
    /// The requests that it rejected in a row.
    rejections: u32,
}

/// A generation to place.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The request.
    pub ask: &'a Ask,
    /// The measures of the engines.
    pub engine: &'a Engine,
    /// The longest pause between events that is on time.
    pub pause: Option<Duration>,
    /// The time within which the first event is on time.
    pub objective: Duration,
    /// The time that is left, or after which the caller leaves.
    pub left: Duration,
    /// Whether the prompt may be computed at another engine than the one that generates.
    pub split: bool,
    /// The targets that were tried before.
    pub tried: &'a [TargetId],
}

/// The targets of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The engine that computes the prompt, if it is another one.
    pub prefill: Option<TargetId>,
    /// The engine that generates.
    pub decode: TargetId,
    /// The engine from which shared parts are fetched first.
    pub fetch: Option<TargetId>,
    /// The prompt tokens that are to be computed.
    pub uncached: u32,
    /// The prompt tokens ahead of it.
    pub ahead: u32,
    /// The expected time to the first event, in milliseconds.
    pub expected: f64,
}

/// The answer to the question for a place.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The request is sent.
    Run(Plan),
    /// The request would not be answered in time.
    Overloaded {
        /// The time after which it would be.
        excess: Duration,
    },
    /// No target takes the request.
    NoTarget,
}

impl Placer {
    /// Creates a placer for an instance of a failure domain.
    #[must_use]
    pub fn new(domain: DomainName, seed: u64) -> Self {
        Self {
            picture: Picture::default(),
            speed: PromptSpeed::default(),
            caches: BTreeMap::new(),
            health: BTreeMap::new(),
            observations: Observations::default(),
            untold: Vec::new(),
            domain,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Chooses a target for a request of a plain service.
    pub fn plain(
        &mut self,
        targets: &[&Target],
        tried: &[TargetId],
        now: Millis,
    ) -> Option<TargetId> {
        let usable = self.usable(targets, tried, now);
        let mut best: Option<(f64, &Target)> = None;
        for target in usable {
            let load = self.picture.load(&target.id, now);
            let busy = (f64::from(load.running) + 1.0) / f64::from(target.slots.max(1));
            let cost = busy * 100.0 * self.factor(&target.id, now)
                + self.place_cost(target)
                + self.random.random_range(0.0..NOISE);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, target));
            }
        }
        best.map(|(_, target)| target.id.clone())
    }

    /// Chooses the engines of a generation.
    pub fn generation(
        &mut self,
        targets: &[&Target],
        wanted: &Wanted<'_>,
        now: Millis,
    ) -> Placement {
        let usable = self.usable(targets, wanted.tried, now);
        let Some((direct_cost, direct)) = self.best_direct(&usable, wanted, now) else {
            return Placement::NoTarget;
        };
        let pause = wanted
            .pause
            .map_or(DEFAULT_PAUSE, |pause| pause.as_secs_f64() * 1000.0);
        let objective = wanted.objective.as_secs_f64() * 1000.0;
        let left = wanted.left.as_secs_f64() * 1000.0;
        let own = self.speed.direct_ms(f64::from(direct.uncached));
        let fits = own <= pause * PAUSE_SHARE;
        let split = if wanted.split {
            self.best_split(&usable, wanted, now)
        } else {
            None
        };
        let plan = match split {
            Some((cost, split)) if cost <= direct_cost => split,
            // What is on time elsewhere need not hold up the streams of an engine that generates.
            Some((_, split)) if split.expected <= objective * ON_TIME_PART => split,
            // A prompt that is too long here is better late elsewhere, but not far too late.
            Some((_, split)) if !fits && split.expected <= objective * 1.5 => split,
            _ => direct,
        };
        if plan.expected > left * REFUSE_FACTOR {
            let excess = Duration::from_secs_f64((plan.expected - left).max(0.0) / 1000.0);
            return Placement::Overloaded { excess };
        }
        Placement::Run(plan)
    }

    /// Chooses the engine that generates from a prompt that was computed elsewhere.
    pub fn decode(&mut self, targets: &[&Target], wanted: &Wanted<'_>, now: Millis) -> Placement {
        let mut best = None;
        // An engine that was tried is better than to lose the prompt.
        for tried in [wanted.tried, &[]] {
            let usable = self.usable(targets, tried, now);
            best = best.or_else(|| self.best_decode(&usable, wanted, now));
        }
        let Some((_, decode)) = best else {
            return Placement::NoTarget;
        };
        Placement::Run(Plan {
            fetch: None,
            prefill: None,
            decode: decode.id.clone(),
            uncached: 0,
            ahead: 0,
            expected: self.speed.first_ms(),
        })
    }

    /// Records that a target answered in a time, against the time that was expected.
    pub fn answered(&mut self, target: &str, observed_ms: f64, expected_ms: f64, now: Millis) {
        let condition = self.health.entry(target.to_owned()).or_default();
        condition.streak = 0;
        condition.rejections = 0;
        condition.health.answered(observed_ms, expected_ms, now);
    }

    /// Records that a target answered with a failure of its own.
    pub fn answered_failure(&mut self, target: &str, now: Millis) {
        let condition = self.health.entry(target.to_owned()).or_default();
        condition.streak += 1;
        if condition.streak >= FAILURE_STREAK {
            condition.health.failed(now);
        }
    }

    /// Records that a target rejected a request although its entry says that it takes work.
    pub fn rejected(&mut self, target: &str, now: Millis) {
        let condition = self.health.entry(target.to_owned()).or_default();
        condition.rejections += 1;
        if condition.rejections >= REJECTION_STREAK {
            condition.health.failed(now);
            self.observations.failed(target, now);
        }
    }

    /// Records that a target gave no whole answer.
    pub fn failed(&mut self, target: &str, now: Millis) {
        self.observations.failed(target, now);
        let condition = self.health.entry(target.to_owned()).or_default();
        condition.health.failed(now);
    }

    /// Records that an engine keeps the parts of a prompt, or will after some milliseconds.
    pub fn keeps(&mut self, target: &str, parts: &[Part], memory: u64, ready_in: f64, now: Millis) {
        if parts.is_empty() {
            return;
        }
        let cache = self.caches.entry(target.to_owned()).or_default();
        cache.used(parts, memory, now, now + ready_in as Millis);
        self.untold.push(Use {
            target: target.to_owned(),
            parts: told_parts(parts),
            ready_in: ready_in as u32,
            all: false,
        });
    }

    /// Takes the list of all parts that an engine keeps, and tells the other instances.
    pub fn listed(&mut self, target: &str, parts: &[Part], now: Millis) {
        let cache = self.caches.entry(target.to_owned()).or_default();
        cache.listed(parts, now.saturating_sub(LIST_AGE), now);
        self.untold.push(Use {
            target: target.to_owned(),
            parts: told_parts(parts),
            ready_in: 0,
            all: true,
        });
    }

    /// Takes what another instance told.
    pub fn hear(&mut self, told: &Told, memory: impl Fn(&str) -> u64, now: Millis) {
        // Uses count even from a message that came late.
        if self.picture.hear(told, now) {
            for observation in &told.observations {
                if observation.observed == Observed::Failed {
                    self.hear_failed(&observation.target, &told.instance, now);
                }
            }
        }
        for told_use in &told.uses {
            let cache = self.caches.entry(told_use.target.clone()).or_default();
            if told_use.all {
                let since = now.saturating_sub(LIST_AGE);
                cache.listed(&heard_parts(&told_use.parts), since, now);
                continue;
            }
            let ready = now + Millis::from(told_use.ready_in);
            let memory = memory(&told_use.target);
            cache.used(&heard_parts(&told_use.parts), memory, now, ready);
        }
    }

    /// Leaves a target alone for a while that fails others, unless it is left alone here already.
    fn hear_failed(&mut self, target: &str, instance: &str, now: Millis) {
        if !self.observations.hear_failed(target, instance, now) {
            return;
        }
        let condition = self.health.entry(target.to_owned()).or_default();
        if condition.health.availability(now) != Availability::Paused {
            condition.health.failed(now);
        }
    }

    /// Takes the oldest uses that the other instances have not been told, at most a number of them.
    pub fn take_untold(&mut self, most: usize) -> Vec<Use> {
        let most = most.min(self.untold.len());
        self.untold.drain(..most).collect()
    }

    /// Forgets a target that is gone or has started anew.
    pub fn forget(&mut self, target: &str) {
        self.caches.remove(target);
        self.health.remove(target);
    }

    /// Returns the targets that may be used.
    ///
    /// Those that fail or change their role count only where no other generates.
    fn usable<'t>(
        &self,
        targets: &[&'t Target],
        tried: &[TargetId],
        now: Millis,
    ) -> Vec<&'t Target> {
        let mut usable = Vec::new();
        let mut rest = Vec::new();
        let mut changing = Vec::new();
        for target in targets {
            if tried.contains(&target.id) {
                continue;
            }
            if self.picture.is_changing(&target.id, now) {
                changing.push(*target);
                continue;
            }
            let condition = self.health.get(&target.id).copied().unwrap_or_default();
            match condition.health.availability(now) {
                Availability::Available => usable.push(*target),
                Availability::Probe if self.picture.own(&target.id).running == 0 => {
                    usable.push(*target);
                }
                Availability::Probe | Availability::Paused => rest.push(*target),
            }
        }
        // An engine that is to change its role may still serve, and is better than none.
        let generates = |targets: &[&Target]| targets.iter().any(|target| target.role.decodes());
        for more in [rest, changing] {
            if !generates(&usable) {
                usable.extend(more);
            }
        }
        usable
    }

    /// Returns the prompt tokens that an engine would have to compute.
    fn uncached(&self, target: &str, ask: &Ask) -> u32 {
        let cache = self.caches.get(target);
        let cached = cache.map_or(0, |cache| cache.cached(&ask.parts));
        ask.prompt.saturating_sub(cached)
    }

    /// Returns the factor by which a target is slower than expected.
    fn factor(&self, target: &str, now: Millis) -> f64 {
        self.health
            .get(target)
            .map_or(1.0, |condition| condition.health.factor(now).max(1.0))
    }

    /// Returns the cost of a target's place, in milliseconds.
    fn place_cost(&self, target: &Target) -> f64 {
        if target.domain == self.domain {
            0.0
        } else {
            DOMAIN_COST
        }
    }
}
