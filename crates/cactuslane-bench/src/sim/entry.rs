//! The entry instances of a run.

use std::collections::BTreeMap;

use cactuslane_route::fleet_view::WorkInProgress;
use cactuslane_route::{
    CallerShares, FairQueue, OutputEstimator, RouteParams, RouteRequest, Router, Speed,
};
use cactuslane_types::TargetId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::run::RequestState;
use crate::policy::Policy;
use crate::scenario::FleetSpec;
use crate::trace::Request;

/// Name of the only model.
pub const MODEL: &str = "model";

/// One entry instance.
pub struct SimEntry {
    /// Decides where requests go.
    pub router: Router,
    /// Orders waiting requests.
    pub queue: FairQueue,
    /// When the queue is looked at next.
    pub next_check: u64,
    /// Holds which engines serve, as the entry knows.
    pub serving: BTreeMap<usize, bool>,
    /// Holds what the others were told last.
    pub published: BTreeMap<TargetId, WorkInProgress>,
    /// When the others were told last, in microseconds.
    pub published_at: u64,
    /// Says whether the others are about to be told of a dispatch.
    pub publish_pending: bool,
    /// The number of instances.
    pub instances: usize,
    /// Holds the requests of tickets.
    tickets: BTreeMap<u64, usize>,
    /// Measures callers' shares.
    shares: CallerShares,
    /// Learns the length of answers.
    outputs: OutputEstimator,
    /// Counts dispatches, for policies that take turns.
    turns: usize,
    /// The source of randomness of simple policies.
    random: Pcg64Mcg,
}

impl SimEntry {
    /// Creates an entry instance.
    pub fn new(policy: Policy, engine: Speed, instances: usize, seed: u64) -> Self {
        let mut router = Router::new(seed);
        router.speed = engine;
        router.fleet.instances = instances.max(2);
        if policy == Policy::Clairvoyant {
            router.params = RouteParams {
                noise: 0.01,
                noise_age: 0.0,
                ..RouteParams::default()
            };
        }
        Self {
            router,
            queue: FairQueue::default(),
            next_check: 0,
            serving: BTreeMap::new(),
            published: BTreeMap::new(),
            published_at: 0,
            publish_pending: false,
            instances,
            tickets: BTreeMap::new(),
            shares: CallerShares::default(),
            outputs: OutputEstimator::default(),
            turns: seed as usize,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Puts a request into the queue; one that broke goes first.
    pub fn push(&mut self, index: usize, request: &Request, tokens: u32) {
        let priority = u8::from(tokens == 0);
        let cost = f64::from(request.prompt) + f64::from(self.reserve(request));
        let caller = caller_name(request.caller);
        let ticket = self.queue.push(&caller, priority, cost, 1.0);
        self.tickets.insert(ticket, index);
    }

    /// Returns the first requests of the queue with their tickets.
    pub fn head(&self, count: usize) -> Vec<(u64, usize)> {
        self.queue
            .tickets()
            .take(count)
            .map(|ticket| (ticket, self.tickets[&ticket]))
            .collect()
    }

    /// Removes a ticket.
    pub fn remove(&mut self, ticket: u64, served: bool) {
        self.queue.remove(ticket, served);
        self.tickets.remove(&ticket);
    }

    /// Returns the output tokens to expect of a request.
    pub fn reserve(&self, request: &Request) -> u32 {
        self.outputs
            .reserve(&output_key(request), request.max_output)
    }

    /// Builds what the router is asked.
    pub fn route_request(
        &self,
        request: &Request,
        state: &RequestState,
        fleet: &FleetSpec,
        exact: bool,
        now: u64,
    ) -> RouteRequest {
        let output = if exact {
            request.output
        } else {
            self.reserve(request)
        };
        let ttft_factor = if state.tokens > 0 { 4.0 } else { 1.0 };
        RouteRequest {
            service: MODEL.to_owned(),
            domain: String::new(),
            prompt: request.prompt + state.tokens,
            output: output.saturating_sub(state.tokens).max(1),
            block_hashes: request.block_hashes.clone(),
            ttft_bound: fleet.ttft_bound * ttft_factor,
            itl_bound: fleet.itl_bound,
            bound_factor: self.shares.bound_factor(&caller_name(request.caller), now),
            tried: Vec::new(),
        }
    }

    /// Records an admitted request.
    pub fn admitted(&mut self, request: &Request, now: u64) {
        let work = f64::from(request.prompt) + f64::from(self.reserve(request));
        self.shares
            .admitted(&caller_name(request.caller), work, 1.0, now);
    }

    /// Learns from a whole answer.
    pub fn finished(&mut self, request: &Request, engine: &str, now: u64) {
        self.outputs
            .record(&output_key(request), request.output, request.max_output);
        self.router
            .prefixes
            .stored(engine, &request.block_hashes, now);
    }

    /// Chooses an engine by a simple policy.
    pub fn choose_baseline(&mut self, policy: Policy, engines: usize) -> usize {
        let mut candidates: Vec<usize> = (0..engines)
            .filter(|e| self.serving.get(e).copied().unwrap_or(true))
            .collect();
        if candidates.is_empty() {
            candidates = (0..engines).collect();
        }
        self.turns += 1;
        let load = |engine: usize| self.router.fleet.outstanding(&engine_id(engine));
        match policy {
            Policy::RandomOfTwo => {
                let a = candidates[self.random.random_range(0..candidates.len())];
                let b = candidates[self.random.random_range(0..candidates.len())];
                if load(a) <= load(b) { a } else { b }
            }
            Policy::LeastOutstanding => {
                let start = self.turns % candidates.len();
                let order = candidates[start..].iter().chain(&candidates[..start]);
                order
                    .min_by_key(|engine| load(**engine))
                    .copied()
                    .unwrap_or_default()
            }
            _ => candidates[self.turns % candidates.len()],
        }
    }
}

/// Returns the name of an engine.
fn engine_id(engine: usize) -> String {
    format!("engine-{engine:03}")
}

/// Returns the name of a caller.
fn caller_name(caller: usize) -> String {
    format!("caller-{caller}")
}

/// Returns the key under which the length of answers is learnt.
fn output_key(request: &Request) -> String {
    format!("{}/{}", caller_name(request.caller), request.max_output)
}
