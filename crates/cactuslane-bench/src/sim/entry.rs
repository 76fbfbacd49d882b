//! Simulated entry instances: routing, admission and baseline policies.

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

/// Name of the model that all engines serve and all requests ask for.
pub const MODEL: &str = "model";

/// Simulated entry instance.
pub struct SimEntry {
    /// Router of the product, with the instance's view of the fleet.
    pub router: Router,
    /// Queue of requests that wait for a decision, in fair order.
    pub queue: FairQueue,
    /// Time of the next scheduled check of the queue, in microseconds.
    pub next_check: u64,
    /// Whether each engine serves, by index and as far as the instance knows.
    pub serving: BTreeMap<usize, bool>,
    /// Work in progress at each target as last published to the other instances.
    pub published: BTreeMap<TargetId, WorkInProgress>,
    /// Time of the last update to the other instances, in microseconds.
    pub published_at: u64,
    /// Whether an early update after a dispatch is scheduled.
    pub publish_pending: bool,
    /// Number of entry instances in the simulation.
    pub instances: usize,
    /// Indices of the queued requests by queue ticket.
    tickets: BTreeMap<u64, usize>,
    /// Shares of the callers in the admitted work.
    shares: CallerShares,
    /// Estimator of answer lengths.
    outputs: OutputEstimator,
    /// Number of choices of baseline policies so far plus the seed: the position in the rotation.
    turns: usize,
    /// Random generator of the baseline policies.
    random: Pcg64Mcg,
}

impl SimEntry {
    /// Creates an entry instance that knows no engines and assumes the speed `engine` for all of
    /// them.
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

    /// Puts a request into the queue. One that has streamed `tokens` before its engine failed goes
    /// ahead of new requests.
    pub fn push(&mut self, index: usize, request: &Request, tokens: u32) {
        let priority = u8::from(tokens == 0);
        let cost = f64::from(request.prompt) + f64::from(self.reserve(request));
        let caller = caller_name(request.caller);
        let ticket = self.queue.push(&caller, priority, cost, 1.0);
        self.tickets.insert(ticket, index);
    }

    /// Returns up to `count` tickets from the head of the queue with the indices of their requests.
    pub fn head(&self, count: usize) -> Vec<(u64, usize)> {
        self.queue
            .tickets()
            .take(count)
            .map(|ticket| (ticket, self.tickets[&ticket]))
            .collect()
    }

    /// Removes a ticket from the queue; `served` is true if its request was dispatched.
    pub fn remove(&mut self, ticket: u64, served: bool) {
        self.queue.remove(ticket, served);
        self.tickets.remove(&ticket);
    }

    /// Returns the number of output tokens to reserve for a request by the lengths of earlier
    /// answers.
    pub fn reserve(&self, request: &Request) -> u32 {
        self.outputs
            .reserve(&output_key(request), request.max_output)
    }

    /// Builds the router's view of a request. `exact` is true if the output length is known
    /// instead of estimated. A request whose stream broke off gets four times the bound on the
    /// first token.
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

    /// Records the work of an admitted request in its caller's share.
    pub fn admitted(&mut self, request: &Request, now: u64) {
        let work = f64::from(request.prompt) + f64::from(self.reserve(request));
        self.shares
            .admitted(&caller_name(request.caller), work, 1.0, now);
    }

    /// Records the length of a complete answer, and that its prompt is cached on the engine.
    pub fn finished(&mut self, request: &Request, engine: &str, now: u64) {
        self.outputs
            .record(&output_key(request), request.output, request.max_output);
        self.router
            .prefixes
            .stored(engine, &request.block_hashes, now);
    }

    /// Returns the index of the engine that a baseline policy chooses among those that serve, or
    /// among all if none serves.
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

/// Returns the target id of an engine.
fn engine_id(engine: usize) -> String {
    format!("engine-{engine:03}")
}

/// Returns the name of a caller by its index.
fn caller_name(caller: usize) -> String {
    format!("caller-{caller}")
}

/// Returns the key for estimates of answer lengths: caller and requested maximum.
fn output_key(request: &Request) -> String {
    format!("{}/{}", caller_name(request.caller), request.max_output)
}
