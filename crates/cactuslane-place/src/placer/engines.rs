//! The choice of engines that compute prompts and generate.

use cactuslane_flight::request_info::RequestInfo;
use cactuslane_flight::target::Target;
use cactuslane_types::{Millis, Role, TargetId};
use rand::Rng;

use super::{NOISE, Placer, Plan, Wanted};
use crate::cache::CacheBelief;
use crate::picture::Load;

/// Cost of each stream that an engine generates already, in milliseconds.
const STREAM_COST: f64 = 1.0;
/// Cost of all of an engine's memory that is missing, in milliseconds.
const SHORTAGE_COST: f64 = 2_000.0;
/// Share of an engine's memory above which requests are expected to wait for it.
const MEMORY_SHARE: f64 = 0.8;
/// Time for fixed costs of a transfer between two engines, in milliseconds.
const TRANSFER_COST: f64 = 10.0;
/// Cost of a transfer between failure domains beside its time, in milliseconds.
const APART_COST: f64 = 8.0;
/// Weight of a full cache against an empty one in the choice of a new home, in milliseconds.
const FULL_COST: f64 = 20.0;
/// Part of a prompt's time at a generating engine that each of its streams loses.
const STALL_WEIGHT: f64 = 0.3;
/// Weight of the work that a prompt adds for those behind it, against its own wait.
const REREAD_WEIGHT: f64 = 1.0;
/// Part of the time to compute tokens that fetching them costs, as they displace others.
const FETCH_WEIGHT: f64 = 0.25;
/// Fewest tokens that are fetched from another engine.
const MIN_FETCH: u32 = 512;

impl Placer {
    /// Returns the best engine that does all of a generation, with its cost.
    pub(super) fn best_direct(
        &mut self,
        targets: &[&Target],
        wanted: &Wanted<'_>,
        now: Millis,
    ) -> Option<(f64, Plan)> {
        let mut best: Option<(f64, Plan)> = None;
        for target in targets {
            if !target.role.decodes() {
                continue;
            }
            let load = self.picture.load(&target.id, now);
            let uncached = self.uncached(&target.id, wanted.info);
            let tokens = f64::from(load.prompt + uncached);
            let expected =
                self.speed.direct_ms(tokens) * self.factor(&target.id, now) + self.speed.first_ms();
            let own = self.speed.direct_ms(f64::from(uncached));
            let stalled = own * f64::from(load.running) * STALL_WEIGHT;
            let cost = expected + stalled + self.decode_cost(target, load, wanted);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let plan = Plan {
                    fetch: None,
                    prefill: None,
                    decode: target.id.clone(),
                    uncached,
                    ahead: load.prompt,
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
        wanted: &Wanted<'_>,
        now: Millis,
    ) -> Option<(f64, Plan)> {
        let decodes = self.decodes(targets, wanted, now);
        let bytes = f64::from(wanted.info.prompt_tokens) * wanted.engine.token_bytes;
        let link = (wanted.engine.link_mbps * 125.0).max(1.0);
        let transfer = TRANSFER_COST + bytes / link;
        let mut best: Option<(f64, Plan)> = None;
        for target in targets {
            if target.role != Role::Prefill {
                continue;
            }
            let load = self.picture.load(&target.id, now);
            let factor = self.factor(&target.id, now);
            let waiting = self.speed.prefill_ms(f64::from(load.prompt)) * factor;
            let begins = now + waiting as Millis;
            let missing = self.uncached(&target.id, wanted.info);
            let source = self.source(targets, target, wanted.info, begins);
            let (fetch, fetched) = match source {
                Some((source, ready)) if wanted.info.prompt_tokens - ready < missing => {
                    (Some(source), missing - (wanted.info.prompt_tokens - ready))
                }
                _ => (None, 0),
            };
            let uncached = missing - fetched;
            let fetching = if fetch.is_some() {
                TRANSFER_COST + f64::from(fetched) * wanted.engine.token_bytes / link
            } else {
                0.0
            };
            let own = self.speed.prefill_ms(f64::from(uncached)) * factor;
            let computing = waiting + fetching + own;
            let filled = self.caches.get(&target.id).map_or(0, CacheBelief::total);
            let full = filled as f64 / (wanted.engine.kv_capacity.max(1)) as f64;
            let (decode_cost, apart, decode) = nearest(&decodes, target, transfer)?;
            let expected = computing + transfer * apart + self.speed.first_ms();
            let cost = expected
                + self.speed.prefill_ms(f64::from(fetched)) * FETCH_WEIGHT
                + own * REREAD_WEIGHT
                + decode_cost
                + full * FULL_COST
                + self.place_cost(target)
                + self.random.random_range(0.0..NOISE);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let plan = Plan {
                    fetch,
                    prefill: Some(target.id.clone()),
                    decode: decode.id.clone(),
                    uncached,
                    ahead: load.prompt,
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
        wanted: &Wanted<'_>,
        now: Millis,
    ) -> Option<(f64, &'t Target)> {
        let decodes = self.decodes(targets, wanted, now);
        decodes.into_iter().min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Returns the engines that generate, each with its cost.
    fn decodes<'t>(
        &mut self,
        targets: &[&'t Target],
        wanted: &Wanted<'_>,
        now: Millis,
    ) -> Vec<(f64, &'t Target)> {
        let mut decodes = Vec::new();
        for target in targets {
            if target.role != Role::Decode {
                continue;
            }
            let load = self.picture.load(&target.id, now);
            let waiting = self.speed.direct_ms(f64::from(load.prompt));
            let cost =
                waiting * self.factor(&target.id, now) + self.decode_cost(target, load, wanted);
            decodes.push((cost, *target));
        }
        decodes
    }

    /// Returns the cost of one more stream at an engine, in milliseconds.
    fn decode_cost(&mut self, target: &Target, load: Load, wanted: &Wanted<'_>) -> f64 {
        f64::from(load.running) * STREAM_COST
            + shortage(load, wanted) * SHORTAGE_COST
            + self.place_cost(target)
            + self.random.random_range(0.0..NOISE)
    }

    /// Returns the engine from which most of a prompt's shared parts can be fetched at a time, with
    /// their tokens.
    fn source(
        &self,
        targets: &[&Target],
        reader: &Target,
        info: &RequestInfo,
        at: Millis,
    ) -> Option<(TargetId, u32)> {
        let mut best: Option<(u32, bool, &Target)> = None;
        for target in targets {
            let Some(cache) = self.caches.get(&target.id) else {
                continue;
            };
            let ready = cache.ready(info.shared_parts(), at).min(info.prompt_tokens);
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
fn nearest<'t>(
    decodes: &[(f64, &'t Target)],
    prefill: &Target,
    transfer: f64,
) -> Option<(f64, f64, &'t Target)> {
    let mut best: Option<(f64, f64, &Target)> = None;
    for (cost, decode) in decodes {
        let (apart, price) = if decode.domain == prefill.domain {
            (1.0, 0.0)
        } else {
            (2.0, APART_COST)
        };
        let cost = cost + transfer * (apart - 1.0) + price;
        if best.is_none_or(|(least, ..)| cost < least) {
            best = Some((cost, apart, *decode));
        }
    }
    best
}

/// Returns the part of an engine's memory that is missing for a request.
fn shortage(load: Load, wanted: &Wanted<'_>) -> f64 {
    let needed =
        f64::from(load.memory) + f64::from(wanted.info.prompt_tokens + wanted.info.max_output);
    (needed / wanted.engine.kv_capacity.max(1) as f64 - MEMORY_SHARE).max(0.0)
}
