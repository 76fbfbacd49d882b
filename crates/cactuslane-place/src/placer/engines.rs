//! Choice of the engines that compute a prompt and generate its output.

use cactuslane_flight::request_info::RequestInfo;
use cactuslane_flight::target::Target;
use cactuslane_types::{Millis, Role};
use rand::Rng;

use super::{PlacementRequest, Placer, Plan, RANDOM_COST, spread};
use crate::cache::CacheEstimate;
use crate::load_view::Load;

/// Cost of each request that a generating engine already runs or queues, in milliseconds.
const STREAM_COST: f64 = 1.0;
/// Cost of a KV cache shortage as large as an engine's whole KV capacity, in milliseconds.
const MEMORY_SHORTAGE_COST: f64 = 2_000.0;
/// Share of an engine's KV capacity above which requests are expected to wait for free space.
const MEMORY_THRESHOLD: f64 = 0.8;
/// Fixed overhead of a transfer between two engines, in milliseconds.
const TRANSFER_OVERHEAD: f64 = 10.0;
/// Cost of a transfer between failure domains in addition to its duration, in milliseconds.
const CROSS_DOMAIN_COST: f64 = 8.0;
/// Cost of a full prefix cache over an empty one, in milliseconds: parts that no engine caches yet
/// should go where there is room.
const FULL_CACHE_COST: f64 = 20.0;
/// Share of a prompt's time on a generating engine by which each of the engine's streams is
/// delayed.
const STALL_WEIGHT: f64 = 0.3;
/// Weight of the delay that a prompt causes for the requests queued behind it, relative to the
/// prompt's own delay.
const QUEUE_WEIGHT: f64 = 1.0;
/// Cost of fetching tokens as a share of the time to compute them, as they evict others from the
/// cache.
const FETCH_WEIGHT: f64 = 0.25;
/// Smallest number of tokens for which a fetch from another engine is considered.
const MIN_FETCH: u32 = 512;

/// An engine that could compute the prompt of a request.
#[derive(Debug)]
struct Candidate<'t> {
    /// Cost in milliseconds.
    cost: f64,
    /// Engine that computes the prompt.
    target: &'t Target,
    /// Engine from which it first fetches shared prompt parts, if that saves time.
    fetch: Option<&'t Target>,
    /// Number of prompt tokens to compute.
    uncached: u32,
    /// Number of prompt tokens queued ahead.
    ahead: u32,
    /// Expected time to the first event, in milliseconds.
    expected: f64,
}

impl Placer {
    /// Returns a plan in which one engine computes the prompt and generates, with its cost in
    /// milliseconds.
    pub(super) fn plan_direct(
        &mut self,
        targets: &[&Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<(f64, Plan)> {
        let mut candidates = Vec::new();
        for target in targets {
            if !target.role.decodes() {
                continue;
            }
            let load = self.load_view.load(&target.id, now);
            let uncached = self.uncached(&target.id, request.info);
            let tokens = f64::from(load.prompt_tokens + uncached);
            let fixed = self.speed.fixed_ms(request.priority);
            let tokens_ms = self.speed.direct_ms(tokens);
            let factor = self.paces.factor(&target.id, tokens_ms, now);
            let expected = (tokens_ms * self.slowdown(&target.id, now)
                + fixed.max(0.0)
                + self.speed.first_ms())
                * factor;
            let prompt_ms = self.speed.direct_ms(f64::from(uncached)) * factor;
            let stalled = prompt_ms * f64::from(load.running) * STALL_WEIGHT;
            candidates.push(Candidate {
                cost: expected + stalled + self.decode_cost(target, load, request, factor),
                target,
                fetch: None,
                uncached,
                ahead: load.prompt_tokens,
                expected,
            });
        }
        let unseen_ms = self.load_view.unseen(now).streams * STREAM_COST;
        let chosen = self.choose(&candidates, |candidate| candidate.cost, unseen_ms)?;
        let plan = Plan {
            fetch: None,
            prefill: None,
            decode: chosen.target.id.clone(),
            uncached: chosen.uncached,
            ahead: chosen.ahead,
            expected: chosen.expected,
        };
        Some((chosen.cost, plan))
    }

    /// Returns a plan in which a prefill engine computes the prompt and another engine generates,
    /// with its cost in milliseconds.
    pub(super) fn plan_split(
        &mut self,
        targets: &[&Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<(f64, Plan)> {
        let decoders = self.decode_costs(targets, request, false, now);
        let bytes = f64::from(request.info.prompt_tokens) * request.engine.token_bytes;
        // 1 Mbit/s is 125 bytes per millisecond.
        let bytes_per_ms = (request.engine.link_mbps * 125.0).max(1.0);
        let transfer = TRANSFER_OVERHEAD + bytes / bytes_per_ms;
        let mut candidates = Vec::new();
        for target in targets {
            if target.role != Role::Prefill {
                continue;
            }
            let load = self.load_view.load(&target.id, now);
            let waiting = self.speed.prefill_ms(f64::from(load.prompt_tokens));
            let factor = self.paces.factor(&target.id, waiting, now);
            let slowdown = self.slowdown(&target.id, now) * factor;
            let waiting = waiting * slowdown;
            let begins = now + waiting as Millis;
            let missing = self.uncached(&target.id, request.info);
            let source = self.fetch_source(targets, target, request.info, begins);
            let (fetch, fetched) = match source {
                Some((source, ready)) if request.info.prompt_tokens - ready < missing => {
                    (Some(source), missing - (request.info.prompt_tokens - ready))
                }
                _ => (None, 0),
            };
            let uncached = missing - fetched;
            let fetching = if fetch.is_some() {
                TRANSFER_OVERHEAD + f64::from(fetched) * request.engine.token_bytes / bytes_per_ms
            } else {
                0.0
            };
            let prompt_ms = self.speed.prefill_ms(f64::from(uncached)) * slowdown;
            let fixed = self.speed.fixed_ms(request.priority) * factor;
            let computing = (waiting + fixed).max(0.0) + fetching + prompt_ms;
            let filled = self.caches.get(&target.id).map_or(0, CacheEstimate::total);
            let full = filled as f64 / (request.engine.kv_capacity.max(1)) as f64;
            let Some((decode_cost, transfer_factor)) = cheapest_decode(&decoders, target, transfer)
            else {
                continue;
            };
            let expected = computing + transfer * transfer_factor + self.speed.first_ms();
            let cost = expected
                + self.speed.prefill_ms(f64::from(fetched)) * FETCH_WEIGHT
                + prompt_ms * QUEUE_WEIGHT
                + decode_cost
                + full * FULL_CACHE_COST
                + self.domain_cost(target)
                + self.random.random_range(0.0..RANDOM_COST);
            candidates.push(Candidate {
                cost,
                target,
                fetch,
                uncached,
                ahead: load.prompt_tokens,
                expected,
            });
        }
        let unseen = self.load_view.unseen(now);
        let unseen_ms = self.speed.prefill_ms(unseen.prompt_tokens);
        let chosen = self.choose(&candidates, |candidate| candidate.cost, unseen_ms)?;
        let unseen_ms = unseen.streams * STREAM_COST;
        let mut decoders = decoders;
        decoders.retain(|(_, decode)| decode.has_version_of(chosen.target));
        let decode_cost = |(cost, decode): &(f64, &Target)| {
            cost + transfer_cost(chosen.target, decode, transfer).1
        };
        let (_, decode) = self.choose(&decoders, decode_cost, unseen_ms)?;
        let first_ms = self.speed.first_ms();
        let slow_first = first_ms * (self.paces.factor(&decode.id, first_ms, now) - 1.0);
        let plan = Plan {
            fetch: chosen.fetch.map(|source| source.id.clone()),
            prefill: Some(chosen.target.id.clone()),
            decode: decode.id.clone(),
            uncached: chosen.uncached,
            ahead: chosen.ahead,
            expected: chosen.expected + slow_first,
        };
        Some((chosen.cost, plan))
    }

    /// Returns a decode engine with a low cost; one with a limit only if `limited` is set.
    pub(super) fn choose_decode<'t>(
        &mut self,
        targets: &[&'t Target],
        request: &PlacementRequest<'_>,
        limited: bool,
        now: Millis,
    ) -> Option<&'t Target> {
        let candidates = self.decode_costs(targets, request, limited, now);
        let unseen_ms = self.load_view.unseen(now).streams * STREAM_COST;
        let (_, decode) = self.choose(&candidates, |(cost, _)| *cost, unseen_ms)?;
        Some(decode)
    }

    /// Chooses among candidates by their costs and by the cost that other instances have added
    /// unseen, both in milliseconds.
    fn choose<'c, C>(
        &mut self,
        candidates: &'c [C],
        cost: impl Fn(&C) -> f64,
        unseen_ms: f64,
    ) -> Option<&'c C> {
        let costs: Vec<f64> = candidates.iter().map(cost).collect();
        let chosen = spread::choose(&costs, unseen_ms, self.random.random_range(0.0..1.0))?;
        candidates.get(chosen)
    }

    /// Returns the decode engines, each with its cost in milliseconds.
    ///
    /// Mixed engines are left out: only decode engines import KV caches. Engines with a limit are
    /// left out unless `limited` is set: there may be no permit by the time the prompt is computed.
    fn decode_costs<'t>(
        &mut self,
        targets: &[&'t Target],
        request: &PlacementRequest<'_>,
        limited: bool,
        now: Millis,
    ) -> Vec<(f64, &'t Target)> {
        let mut candidates = Vec::new();
        for target in targets {
            if target.role != Role::Decode || (!limited && self.limits.rate(target).is_some()) {
                continue;
            }
            let load = self.load_view.load(&target.id, now);
            let waiting = self.speed.direct_ms(f64::from(load.prompt_tokens));
            let first_ms = self.speed.first_ms();
            let factor = self.paces.factor(&target.id, first_ms, now);
            let cost = waiting * self.slowdown(&target.id, now) * factor
                + first_ms * (factor - 1.0)
                + self.decode_cost(target, load, request, factor);
            candidates.push((cost, *target));
        }
        candidates
    }

    /// Returns the cost of one more stream at an engine where work takes longer than usual by a
    /// factor, in milliseconds.
    fn decode_cost(
        &mut self,
        target: &Target,
        load: Load,
        request: &PlacementRequest<'_>,
        factor: f64,
    ) -> f64 {
        f64::from(load.running) * STREAM_COST * factor
            + memory_shortage(load, request) * MEMORY_SHORTAGE_COST
            + self.domain_cost(target)
            + self.random.random_range(0.0..RANDOM_COST)
    }

    /// Returns the engine from which a prefill engine can fetch most of a prompt's shared parts at
    /// time `at`, with their length in tokens.
    ///
    /// Among equals, an engine in the prefill engine's failure domain is preferred.
    fn fetch_source<'t>(
        &self,
        targets: &[&'t Target],
        prefill: &Target,
        info: &RequestInfo,
        at: Millis,
    ) -> Option<(&'t Target, u32)> {
        let mut best: Option<(u32, bool, &'t Target)> = None;
        for target in targets {
            let Some(cache) = self.caches.get(&target.id) else {
                continue;
            };
            let ready = cache
                .fetchable(info.shared_parts(), at)
                .min(info.prompt_tokens);
            let near = target.domain == prefill.domain;
            let usable = target.id != prefill.id && target.has_version_of(prefill);
            if !usable || ready < MIN_FETCH {
                continue;
            }
            if best.is_none_or(|(most, same, _)| (ready, near) > (most, same)) {
                best = Some((ready, near, target));
            }
        }
        best.map(|(ready, _, target)| (target, ready))
    }
}

/// Returns the lowest cost of a decode engine with the software version of a prefill engine, for a
/// prompt computed there, in milliseconds, and the factor on the time of the transfer to it.
///
/// `transfer` is the transfer time within a failure domain, in milliseconds.
fn cheapest_decode(
    decoders: &[(f64, &Target)],
    prefill: &Target,
    transfer: f64,
) -> Option<(f64, f64)> {
    let mut best: Option<(f64, f64)> = None;
    for (cost, decode) in decoders {
        if !decode.has_version_of(prefill) {
            continue;
        }
        let (transfer_factor, surcharge) = transfer_cost(prefill, decode, transfer);
        if best.is_none_or(|(least, _)| cost + surcharge < least) {
            best = Some((cost + surcharge, transfer_factor));
        }
    }
    best
}

/// Returns the factor on the time of a transfer between two engines, which is 2 between failure
/// domains, and the cost of the transfer beyond one within a failure domain, in milliseconds.
fn transfer_cost(prefill: &Target, decode: &Target, transfer: f64) -> (f64, f64) {
    if decode.domain == prefill.domain {
        (1.0, 0.0)
    } else {
        (2.0, transfer + CROSS_DOMAIN_COST)
    }
}

/// Returns the share of an engine's KV capacity by which the reserved space, with that of the
/// request, would exceed [`MEMORY_THRESHOLD`].
fn memory_shortage(load: Load, request: &PlacementRequest<'_>) -> f64 {
    let needed =
        f64::from(load.kv_tokens) + f64::from(request.info.prompt_tokens + request.info.max_output);
    (needed / request.engine.kv_capacity.max(1) as f64 - MEMORY_THRESHOLD).max(0.0)
}
