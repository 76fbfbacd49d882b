//! Choice of targets for requests, with the records of load, caches and health behind it.

mod engines;
mod plain;
pub mod preview;
mod spread;

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::request_info::{PromptPart, RequestInfo};
use cactuslane_flight::routing_config::EngineSpec;
use cactuslane_flight::target::Target;
use cactuslane_route::health::{Availability, Health};
use cactuslane_types::{DomainName, Millis, TargetId};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::cache::CacheEstimate;
use crate::limits::TargetLimits;
use crate::load_view::{CacheUpdate, LoadView, PeerUpdate, decode_parts, encode_parts};
use crate::observations::{Observations, Observed};
use crate::pace::TargetPaces;
use crate::queues::TargetQueues;
use crate::speed::PromptSpeed;

pub use self::plain::Forecast;

/// Cost of a target in another failure domain than this instance's, in milliseconds.
const DOMAIN_COST: f64 = 3.0;
/// Upper bound of the random cost that spreads requests over equally good targets, in milliseconds.
const RANDOM_COST: f64 = 2.0;
/// Share of the longest allowed pause between events that computing a prompt may take on an engine
/// that generates.
const PAUSE_SHARE: f64 = 0.5;
/// Longest allowed pause between events where the route sets none, in milliseconds.
const DEFAULT_PAUSE: f64 = 150.0;
/// Share of the route's latency objective for the first event: a prompt goes to a prefill engine,
/// even at a higher cost, if the first event is expected within this share. The rest is a margin.
const ON_TIME_SHARE: f64 = 0.7;
/// Share of the time left for a request within which its first event counts as in time with a
/// margin: more urgent prompts may yet overtake it at a prefill engine.
const IN_TIME_SHARE: f64 = 0.5;
/// Largest assumed age of an engine's list of cached parts when it is applied, in milliseconds:
/// parts that were used or computed since then may be missing from the list.
const MAX_LIST_AGE: Millis = 3_500;
/// Number of error answers, with no successful answer in between, after which a target is paused.
const FAILURE_STREAK: u32 = 4;
/// Number of rejections, with no successful answer in between, after which a target is paused: a
/// target that rejects requests immediately looks idle and would attract more and more of them.
const REJECTION_STREAK: u32 = 2;
/// Factor on the time left for a request: a request whose first event is expected later is refused.
const REFUSE_FACTOR: f64 = 1.0;

/// Chooses targets by load, prefix caches, failure domain and health.
#[derive(Clone, Debug)]
pub struct Placer {
    /// Load of the targets.
    pub load_view: LoadView,
    /// Limits that targets have named.
    pub limits: TargetLimits,
    /// Estimated speed of the engines.
    pub speed: PromptSpeed,
    /// Queues at the targets of plain services.
    pub queues: TargetQueues,
    /// Speed of the targets, and how much each of them takes well.
    pub paces: TargetPaces,
    /// Estimated contents of the engines' prefix caches.
    caches: BTreeMap<TargetId, CacheEstimate>,
    /// Health of the targets, as this instance measures it.
    health: BTreeMap<TargetId, TargetHealth>,
    /// Observations of targets that instances share.
    pub observations: Observations,
    /// Cache updates that have not been sent to the other instances, oldest first.
    pending_updates: Vec<CacheUpdate>,
    /// Failure domain of this instance.
    domain: DomainName,
    /// Random generator for the random cost, with the seed given to `new` so that tests are
    /// repeatable.
    random: Pcg64Mcg,
}

/// Health of one target, with the counts of bad answers since its last successful one.
#[derive(Clone, Copy, Debug, Default)]
struct TargetHealth {
    /// Slowness, and the pause after failures.
    health: Health,
    /// Number of error answers since the last successful answer.
    failure_streak: u32,
    /// Number of rejected requests since the last successful answer.
    rejection_streak: u32,
}

/// A generation to place, with its limits.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The caller's request, with its prompt parts and largest output in tokens.
    pub info: &'a RequestInfo,
    /// Capacities of the service's engines.
    pub engine: &'a EngineSpec,
    /// Longest allowed pause between events, if the route sets one.
    pub max_pause: Option<Duration>,
    /// Latency objective for the first event.
    pub latency_objective: Duration,
    /// Priority of the request at the engines; 0 is the most urgent.
    pub priority: u8,
    /// Time left until the deadline, or until the caller is expected to disconnect if that comes
    /// first.
    pub left: Duration,
    /// Whether the prompt may be computed on another engine than the one that generates.
    pub split: bool,
    /// Targets that were tried before and are avoided.
    pub tried: &'a [TargetId],
}

/// Targets chosen for a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Prefill engine that computes the prompt, if it is not the engine that generates.
    pub prefill: Option<TargetId>,
    /// Engine that generates, or the target of a request to a plain service.
    pub decode: TargetId,
    /// Engine from which the prefill engine first fetches shared prompt parts, if that saves time.
    pub fetch: Option<TargetId>,
    /// Number of prompt tokens to compute.
    pub uncached: u32,
    /// Number of prompt tokens queued ahead on the engine that computes the prompt.
    pub ahead: u32,
    /// Expected time from the placement to the first event, in milliseconds.
    pub expected: f64,
}

/// Outcome of placing a generation.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The request can be sent to the chosen targets.
    Run(Plan),
    /// The first event of the best plan is expected only after the time left has passed.
    Overloaded {
        /// Preferred plan, which is not carried out.
        plan: Plan,
        /// Time by which the expected time to the first event exceeds the time left.
        excess: Duration,
        /// Expected time to the first event of the other plan, in milliseconds, if there are two: one
        /// with a prefill engine and one without.
        other_ms: Option<f64>,
    },
    /// No usable target can serve the request.
    NoTarget,
}

impl Placer {
    /// Creates a placer for an instance in a failure domain, with a seed for the random cost.
    #[must_use]
    pub fn new(domain: DomainName, seed: u64) -> Self {
        Self {
            load_view: LoadView::default(),
            limits: TargetLimits::default(),
            speed: PromptSpeed::default(),
            queues: TargetQueues::default(),
            paces: TargetPaces::default(),
            caches: BTreeMap::new(),
            health: BTreeMap::new(),
            observations: Observations::default(),
            pending_updates: Vec::new(),
            domain,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Chooses the engines of a generation, or refuses it if its first event would come too late.
    ///
    /// Either one engine does all of it, or a prefill engine computes the prompt and another engine,
    /// without a limit, generates. The split is taken where it costs no more, where it meets the objective with a
    /// margin, or where the prompt would interrupt the streams of a generating engine for too long
    /// and the split is sooner or in time with a margin.
    pub fn place_generation(
        &mut self,
        targets: &[&Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Placement {
        self.load_view.expire(now);
        let usable = self.usable(targets, request.tried, now);
        let Some((direct_cost, direct)) = self.plan_direct(&usable, request, now) else {
            return Placement::NoTarget;
        };
        let pause = request
            .max_pause
            .map_or(DEFAULT_PAUSE, |pause| pause.as_secs_f64() * 1000.0);
        let objective = request.latency_objective.as_secs_f64() * 1000.0;
        let left = request.left.as_secs_f64() * 1000.0;
        // Prompts that the engine computes already interrupt its streams as well.
        let prompt_ms = self
            .speed
            .direct_ms(f64::from(direct.ahead + direct.uncached));
        let fits_pause = prompt_ms <= pause * PAUSE_SHARE;
        let split = if request.split {
            self.plan_split(&usable, request, now)
        } else {
            None
        };
        let direct_ms = direct.expected;
        let split_ms = split.as_ref().map(|(_, split)| split.expected);
        let decode = usable.iter().find(|target| target.id == direct.decode);
        let is_limited = decode.is_some_and(|target| self.limits.rate(target).is_some());
        let on_time = direct_ms <= objective * ON_TIME_SHARE;
        let plan = match split {
            // An engine with a limit runs few streams that the prompt could interrupt.
            Some((cost, _)) if is_limited && on_time && direct_cost <= cost => direct,
            Some((cost, split)) if cost <= direct_cost => split,
            // A prompt that a prefill engine computes in time need not delay the streams of an
            // engine that generates.
            Some((_, split)) if split.expected <= objective * ON_TIME_SHARE => split,
            // A prompt that would interrupt streams for too long goes to a prefill engine even if
            // it misses the objective there: one late answer is better than several.
            Some((_, split))
                if !fits_pause && split.expected <= direct_ms.max(left * IN_TIME_SHARE) =>
            {
                split
            }
            _ => direct,
        };
        if plan.expected > left * REFUSE_FACTOR {
            let excess = Duration::from_secs_f64((plan.expected - left).max(0.0) / 1000.0);
            let other_ms = if plan.prefill.is_some() {
                Some(direct_ms)
            } else {
                split_ms
            };
            return Placement::Overloaded {
                plan,
                excess,
                other_ms,
            };
        }
        Placement::Run(plan)
    }

    /// Chooses the engine that generates from a prompt that a prefill engine has computed.
    pub fn place_decode(
        &mut self,
        targets: &[&Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Placement {
        self.load_view.expire(now);
        let mut best = None;
        // Retrying an engine, or using one with a limit, is better than discarding the computed
        // prompt.
        for (tried, limited) in [(request.tried, false), (request.tried, true), (&[], true)] {
            let usable = self.usable(targets, tried, now);
            best = best.or_else(|| self.choose_decode(&usable, request, limited, now));
        }
        let Some(decode) = best else {
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

    /// Records the time in which a target answered, and the time that was expected, both in
    /// milliseconds.
    ///
    /// Ends a pause of the target and resets its counts of error answers and rejections.
    pub fn answered(&mut self, target: &str, observed_ms: f64, expected_ms: f64, now: Millis) {
        let condition = self.health.entry(target.to_owned()).or_default();
        condition.failure_streak = 0;
        condition.rejection_streak = 0;
        condition.health.answered(observed_ms, expected_ms, now);
    }

    /// Records an error answer of a target, and pauses the target after several with no successful
    /// answer in between.
    pub fn answered_failure(&mut self, target: &str, now: Millis) {
        let condition = self.health.entry(target.to_owned()).or_default();
        condition.failure_streak += 1;
        if condition.failure_streak >= FAILURE_STREAK {
            condition.health.failed(now);
        }
    }

    /// Records that a target rejected a request although its registry entry says that it takes
    /// work.
    ///
    /// After several with no successful answer in between, pauses the target and queues the failure
    /// for the other instances.
    pub fn rejected(&mut self, target: &str, now: Millis) {
        let condition = self.health.entry(target.to_owned()).or_default();
        condition.rejection_streak += 1;
        if condition.rejection_streak >= REJECTION_STREAK {
            condition.health.failed(now);
            self.observations.failed(target, now);
        }
    }

    /// Records that a target gave no complete answer: pauses the target and queues the failure for
    /// the other instances.
    pub fn failed(&mut self, target: &str, now: Millis) {
        self.observations.failed(target, now);
        let condition = self.health.entry(target.to_owned()).or_default();
        condition.health.failed(now);
    }

    /// Records that an engine caches the parts of a prompt, or will do so in `ready_in`
    /// milliseconds, and queues that for the other instances.
    ///
    /// `kv_capacity` is the engine's KV capacity in tokens.
    pub fn record_cached(
        &mut self,
        target: &str,
        parts: &[PromptPart],
        kv_capacity: u64,
        ready_in: f64,
        now: Millis,
    ) {
        if parts.is_empty() {
            return;
        }
        let cache = self.caches.entry(target.to_owned()).or_default();
        cache.record_use(parts, kv_capacity, now, now + ready_in as Millis);
        self.pending_updates.push(CacheUpdate {
            target: target.to_owned(),
            parts: encode_parts(parts),
            ready_in: ready_in as u32,
            complete: false,
        });
    }

    /// Corrects the cache estimate by an engine's complete list of cached parts, and queues the
    /// list for the other instances.
    pub fn reconcile_cache(&mut self, target: &str, parts: &[PromptPart], now: Millis) {
        let cache = self.caches.entry(target.to_owned()).or_default();
        cache.reconcile(parts, now.saturating_sub(MAX_LIST_AGE), now);
        self.pending_updates.push(CacheUpdate {
            target: target.to_owned(),
            parts: encode_parts(parts),
            ready_in: 0,
            complete: true,
        });
    }

    /// Applies the update of another instance.
    ///
    /// `kv_capacity` returns the KV capacity of an engine in tokens.
    pub fn apply_update(
        &mut self,
        update: &PeerUpdate,
        kv_capacity: impl Fn(&str) -> u64,
        now: Millis,
    ) {
        // No two messages hold the same cache updates, so these are applied even if the message is
        // older than the last one.
        if self.load_view.apply_update(update, now) {
            for observation in &update.observations {
                if observation.observed == Observed::Failed {
                    self.apply_failure_report(&observation.target, &update.instance, now);
                }
            }
        }
        for cache_update in &update.cache_updates {
            let cache = self.caches.entry(cache_update.target.clone()).or_default();
            if cache_update.complete {
                let since = now.saturating_sub(MAX_LIST_AGE);
                cache.reconcile(&decode_parts(&cache_update.parts), since, now);
                continue;
            }
            let ready = now + Millis::from(cache_update.ready_in);
            let kv_capacity = kv_capacity(&cache_update.target);
            cache.record_use(&decode_parts(&cache_update.parts), kv_capacity, now, ready);
        }
    }

    /// Forgets the failures of all targets, which were due to this instance's own links.
    pub fn forget_failures(&mut self) {
        self.health.clear();
        self.observations.drop_failures();
    }

    /// Pauses a target that several other instances report as failing, unless it is paused already.
    fn apply_failure_report(&mut self, target: &str, instance: &str, now: Millis) {
        if !self.observations.add_failure_report(target, instance, now) {
            return;
        }
        let condition = self.health.entry(target.to_owned()).or_default();
        if condition.health.availability(now) != Availability::Paused {
            condition.health.failed(now);
        }
    }

    /// Removes and returns the oldest unsent cache updates, at most `limit` of them.
    pub fn take_cache_updates(&mut self, limit: usize) -> Vec<CacheUpdate> {
        let limit = limit.min(self.pending_updates.len());
        self.pending_updates.drain(..limit).collect()
    }

    /// Discards the cache estimate, the health and the speed of a target that is gone or has
    /// restarted: they apply to the previous process only.
    pub fn forget(&mut self, target: &str) {
        self.caches.remove(target);
        self.health.remove(target);
        self.queues.forget(target);
        self.paces.forget(target);
    }

    /// Returns the targets that a request may be sent to, without those that were tried.
    ///
    /// A target that failed or is slow is probed with one request of this instance at a time.
    /// Targets that are paused or busy with a probe are added only if no other target can generate,
    /// and targets whose role is changing only if none of those can either. Targets for which no
    /// permit is expected now are left out in any case.
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
            if tried.contains(&target.id) || self.limits.wait(target, now).is_some() {
                continue;
            }
            if self.load_view.is_changing(&target.id, now) {
                changing.push(*target);
                continue;
            }
            let condition = self.health.get(&target.id).copied().unwrap_or_default();
            match condition.health.availability(now) {
                Availability::Available => usable.push(*target),
                Availability::Probe if self.load_view.own(&target.id).running == 0 => {
                    usable.push(*target);
                }
                Availability::Probe | Availability::Paused => rest.push(*target),
            }
        }
        // An engine whose role is about to change may still serve, which is better than no engine.
        let generates = |targets: &[&Target]| targets.iter().any(|target| target.role.decodes());
        for more in [rest, changing] {
            if !generates(&usable) {
                usable.extend(more);
            }
        }
        usable
    }

    /// Returns the number of prompt tokens that an engine would have to compute.
    fn uncached(&self, target: &str, info: &RequestInfo) -> u32 {
        let cache = self.caches.get(target);
        let cached = cache.map_or(0, |cache| cache.cached(&info.parts));
        info.prompt_tokens.saturating_sub(cached)
    }

    /// Returns the factor by which a target is slower than expected, at least 1.
    fn slowdown(&self, target: &str, now: Millis) -> f64 {
        self.health
            .get(target)
            .map_or(1.0, |condition| condition.health.factor(now).max(1.0))
    }

    /// Returns the cost of sending a request to a target's failure domain, in milliseconds.
    fn domain_cost(&self, target: &Target) -> f64 {
        if target.domain == self.domain {
            0.0
        } else {
            DOMAIN_COST
        }
    }
}
