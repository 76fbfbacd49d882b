//! The choice of engines that compute prompts and generate.

use cactuslane_flight::ask::Ask;
use cactuslane_flight::target::Target;
use cactuslane_types::{Millis, Role, TargetId};
use rand::Rng;

use super::{PlacementRequest, Placer, Plan, RANDOM_COST};
use crate::cache::CacheEstimate;
use crate::load_view::Load;

/// Cost of each stream that an engine generates already, in milliseconds.
const STREAM_COST: f64 = 1.0;
/// Cost of all of an engine's memory that is missing, in milliseconds.
const MEMORY_SHORTAGE_COST: f64 = 2_000.0;
/// Share of an engine's memory above which requests are expected to wait for it.
const MEMORY_THRESHOLD: f64 = 0.8;
/// Time for fixed costs of a transfer between two engines, in milliseconds.
const TRANSFER_OVERHEAD: f64 = 10.0;
/// Cost of a transfer between failure domains beside its time, in milliseconds.
const CROSS_DOMAIN_COST: f64 = 8.0;
/// Weight of a full cache against an empty one in the choice of a new home, in milliseconds.
const FULL_CACHE_COST: f64 = 20.0;
/// Part of a prompt's time at a generating engine that each of its streams loses.
const STALL_WEIGHT: f64 = 0.3;
/// Weight of the work that a prompt adds for those behind it, against its own wait.
const QUEUE_WEIGHT: f64 = 1.0;
/// Part of the time to compute tokens that fetching them costs, as they displace others.
const FETCH_WEIGHT: f64 = 0.25;
/// Fewest tokens that are fetched from another engine.
const MIN_FETCH: u32 = 512;

impl Placer {
    /// Returns the best engine that does all of a generation, with its cost.
    pub(super) fn best_direct(
        &mut self,
        targets: &[&Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<(f64, Plan)> {
        let mut best: Option<(f64, Plan)> = None;
        for target in targets {
            if !target.role.decodes() {
                continue;
            }
            let load = self.load_view.load(&target.id, now);
            let uncached = self.uncached(&target.id, request.ask);
            let tokens = f64::from(load.prompt_tokens + uncached);
            let expected = self.speed.direct_ms(tokens) * self.slowdown(&target.id, now)
                + self.speed.first_ms();
            let own = self.speed.direct_ms(f64::from(uncached));
            let stalled = own * f64::from(load.running) * STALL_WEIGHT;
            let cost = expected + stalled + self.decode_cost(target, load, request);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let plan = Plan {
                    fetch: None,
                    prefill: None,
                    decode: target.id.clone(),
                    uncached,
                    ahead: load.prompt_tokens,
                    expected,
                };
                best = Some((cost, plan));
            }
        }
        best
    }

    /// Returns the best pair of engines, with its cost.
    pub(super) fn best_split(
        &mut self,
        targets: &[&Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<(f64, Plan)> {
        let decodes = self.decode_costs(targets, request, now);
        let bytes = f64::from(request.ask.prompt) * request.engine.token_bytes;
        let link = (request.engine.link_mbps * 125.0).max(1.0);
        let transfer = TRANSFER_OVERHEAD + bytes / link;
        let mut best: Option<(f64, Plan)> = None;
        for target in targets {
            if target.role != Role::Prefill {
                continue;
            }
            let load = self.load_view.load(&target.id, now);
            let factor = self.slowdown(&target.id, now);
            let waiting = self.speed.prefill_ms(f64::from(load.prompt_tokens)) * factor;
            let begins = now + waiting as Millis;
            let missing = self.uncached(&target.id, request.ask);
            let source = self.fetch_source(targets, target, request.ask, begins);
            let (fetch, fetched) = match source {
                Some((source, ready)) if request.ask.prompt - ready < missing => {
                    (Some(source), missing - (request.ask.prompt - ready))
                }
                _ => (None, 0),
            };
            let uncached = missing - fetched;
            let fetching = if fetch.is_some() {
                TRANSFER_OVERHEAD + f64::from(fetched) * request.engine.token_bytes / link
            } else {
                0.0
            };
            let own = self.speed.prefill_ms(f64::from(uncached)) * factor;
            let computing = waiting + fetching + own;
            let filled = self.caches.get(&target.id).map_or(0, CacheEstimate::total);
            let full = filled as f64 / (request.engine.memory.max(1)) as f64;
            let (decode_cost, apart, decode) = cheapest_decode(&decodes, target, transfer)?;
            let expected = computing + transfer * apart + self.speed.first_ms();
            let cost = expected
                + self.speed.prefill_ms(f64::from(fetched)) * FETCH_WEIGHT
                + own * QUEUE_WEIGHT
                + decode_cost
                + full * FULL_CACHE_COST
                + self.domain_cost(target)
                + self.random.random_range(0.0..RANDOM_COST);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let plan = Plan {
                    fetch,
                    prefill: Some(target.id.clone()),
                    decode: decode.id.clone(),
                    uncached,
                    ahead: load.prompt_tokens,
                    expected,
                };
                best = Some((cost, plan));
            }
        }
        best
    }

    /// Returns the best engine to generate, with its cost.
    pub(super) fn best_decode<'t>(
        &mut self,
        targets: &[&'t Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<(f64, &'t Target)> {
        let decodes = self.decode_costs(targets, request, now);
        decodes.into_iter().min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Returns the engines that generate, each with its cost.
    fn decode_costs<'t>(
        &mut self,
        targets: &[&'t Target],
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Vec<(f64, &'t Target)> {
        let mut decodes = Vec::new();
        for target in targets {
            if target.role != Role::Decode {
                continue;
            }
            let load = self.load_view.load(&target.id, now);
            let waiting = self.speed.direct_ms(f64::from(load.prompt_tokens));
            let cost =
                waiting * self.slowdown(&target.id, now) + self.decode_cost(target, load, request);
            decodes.push((cost, *target));
        }
        decodes
    }

    /// Returns the cost of one more stream at an engine, in milliseconds.
    fn decode_cost(&mut self, target: &Target, load: Load, request: &PlacementRequest<'_>) -> f64 {
        f64::from(load.running) * STREAM_COST
            + memory_shortage(load, request) * MEMORY_SHORTAGE_COST
            + self.domain_cost(target)
            + self.random.random_range(0.0..RANDOM_COST)
    }

    /// Returns the engine from which most of a prompt's shared parts can be fetched at a time, with
    /// their tokens.
    fn fetch_source(
        &self,
        targets: &[&Target],
        reader: &Target,
        ask: &Ask,
        at: Millis,
    ) -> Option<(TargetId, u32)> {
        let mut best: Option<(u32, bool, &Target)> = None;
        for target in targets {
            let Some(cache) = self.caches.get(&target.id) else {
                continue;
            };
            let ready = cache.fetchable(ask.shared(), at).min(ask.prompt);
            let near = target.domain == reader.domain;
            if target.id == reader.id || ready < MIN_FETCH {
                continue;
            }
            if best.is_none_or(|(most, same, _)| (ready, near) > (most, same)) {
                best = Some((ready, near, target));
            }
        }
        best.map(|(ready, _, target)| (target.id.clone(), ready))
    }
}

/// Returns the engine that generates at the least cost for a prompt computed at another one, with its
/// cost and the factor by which the transfer takes longer.
fn cheapest_decode<'t>(
    decodes: &[(f64, &'t Target)],
    prefill: &Target,
    transfer: f64,
) -> Option<(f64, f64, &'t Target)> {
    let mut best: Option<(f64, f64, &Target)> = None;
    for (cost, decode) in decodes {
        let (apart, price) = if decode.domain == prefill.domain {
            (1.0, 0.0)
        } else {
            (2.0, CROSS_DOMAIN_COST)
        };
        let cost = cost + transfer * (apart - 1.0) + price;
        if best.is_none_or(|(least, ..)| cost < least) {
            best = Some((cost, apart, *decode));
        }
    }
    best
}

/// Returns the part of an engine's memory that is missing for a request.
fn memory_shortage(load: Load, request: &PlacementRequest<'_>) -> f64 {
    let needed = f64::from(load.kv_tokens) + f64::from(request.ask.prompt + request.ask.output);
    (needed / request.engine.memory.max(1) as f64 - MEMORY_THRESHOLD).max(0.0)
}
