//! Caller limits that hold over the whole fleet without a remote call per request.
//!
//! Each instance measures the demand that reaches it and learns that of the other instances by
//! gossip. Its share of a limit is its share of the total demand. While the known demands are out
//! of date, the fleet as a whole can exceed a limit, by an amount that the sizes of the request and
//! token buckets bound.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_types::{CallerId, InstanceId, Millis};

/// Size of a request or token bucket, as the time that it takes to fill, in milliseconds.
const BURST_TIME: f64 = 1_000.0;
/// Time constant of the decay of measured demand (to 1/e, about a third), in milliseconds.
const DEMAND_DECAY: f64 = 3_000.0;
/// Age at which another instance's demand is no longer used, in milliseconds.
const DEMAND_MAX_AGE: Millis = 10_000;
/// Longest wait that a refused caller is asked for.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The limits and the demand of all callers at one instance.
#[derive(Clone, Debug, Default)]
pub struct CallerLimits {
    /// The state of each caller.
    callers: BTreeMap<CallerId, CallerState>,
}

/// The limits of one caller over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimit {
    /// The limit on requests per second.
    pub rate: f64,
    /// The limit on prompt and output tokens per second.
    pub tokens: f64,
    /// The limit on requests in progress.
    pub concurrency: usize,
}

/// The demand of one caller at one instance, as exchanged by gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The requests per second that asked for admission, refused ones included.
    pub requests: f64,
    /// The tokens per second of these requests, their full output limits included.
    pub tokens: f64,
    /// The number of admitted requests in progress.
    pub running: f64,
}

/// The limit that refuses a request, with the time after which to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitError {
    /// The request rate is exceeded.
    Rate(Duration),
    /// The token rate is exceeded.
    Tokens(Duration),
    /// The number of requests in progress has reached its limit.
    Concurrency(Duration),
}

/// The state of one caller at this instance.
#[derive(Clone, Debug, Default)]
struct CallerState {
    /// The measured demand, as of `changed`.
    demand: Demand,
    /// The time to which the buckets and the demand were advanced.
    changed: Millis,
    /// The level of the request bucket: the number of requests that may start now.
    requests: f64,
    /// The level of the token bucket; negative after a large request.
    tokens: f64,
    /// The number of requests in progress here.
    running: usize,
    /// Whether the buckets have got their initial fill.
    filled: bool,
    /// The last demand received from each other instance, with the time of receipt.
    others: BTreeMap<InstanceId, (Demand, Millis)>,
}

impl CallerLimits {
    /// Admits a request and takes its tokens from the caller's bucket.
    ///
    /// `tokens` is the length of the prompt plus the limit on the output. A request may take more
    /// tokens than the bucket holds, as long as the bucket is not empty.
    ///
    /// # Errors
    ///
    /// Returns the limit that refuses the request, with the time after which to retry.
    pub fn admit(
        &mut self,
        caller: &str,
        limit: &CallerLimit,
        tokens: f64,
        now: Millis,
    ) -> Result<(), LimitError> {
        let state = self.callers.entry(caller.to_owned()).or_default();
        state.advance(limit, now);
        state.demand.requests += 1000.0 / DEMAND_DECAY;
        state.demand.tokens += tokens * 1000.0 / DEMAND_DECAY;
        let shares = state.limit_shares(now);
        if state.requests < 1.0 {
            let rate = (limit.rate * shares.requests).max(1e-9);
            return Err(LimitError::Rate(bounded_wait(
                (1.0 - state.requests) / rate,
            )));
        }
        if state.tokens <= 0.0 {
            let rate = (limit.tokens * shares.tokens).max(1e-9);
            return Err(LimitError::Tokens(bounded_wait(-state.tokens / rate)));
        }
        let others = state.others_running(now);
        if state.running as f64 + others >= limit.concurrency as f64 {
            return Err(LimitError::Concurrency(Duration::from_secs(1)));
        }
        state.requests -= 1.0;
        state.tokens -= tokens;
        state.running += 1;
        Ok(())
    }

    /// Ends an admitted request and returns its unused tokens to the caller's bucket.
    pub fn finish(&mut self, caller: &str, unused: f64) {
        let Some(state) = self.callers.get_mut(caller) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        state.tokens += unused;
    }

    /// Returns the demand of the active callers at this instance, for gossip.
    #[must_use]
    pub fn demands(&self, now: Millis) -> BTreeMap<CallerId, Demand> {
        let mut demands = BTreeMap::new();
        for (caller, state) in &self.callers {
            let mut demand = state.decayed(now);
            demand.running = state.running as f64;
            if demand.requests > 0.01 || state.running > 0 {
                demands.insert(caller.clone(), demand);
            }
        }
        demands
    }

    /// Records the demand of a caller at another instance, as received by gossip.
    pub fn record_demand(&mut self, instance: &str, caller: &str, demand: Demand, now: Millis) {
        let state = self.callers.entry(caller.to_owned()).or_default();
        state.others.insert(instance.to_owned(), (demand, now));
    }

    /// Removes expired demands of other instances, and idle callers.
    pub fn prune(&mut self, now: Millis) {
        for state in self.callers.values_mut() {
            state
                .others
                .retain(|_, (_, received)| now.saturating_sub(*received) < DEMAND_MAX_AGE);
        }
        self.callers.retain(|_, state| {
            let idle = now.saturating_sub(state.changed) > 10 * DEMAND_MAX_AGE;
            state.running > 0 || !state.others.is_empty() || !idle
        });
    }
}

impl CallerState {
    /// Refills the buckets and decays the demand for the time since `changed`.
    fn advance(&mut self, limit: &CallerLimit, now: Millis) {
        let shares = self.limit_shares(now);
        let (rate, tokens) = (limit.rate * shares.requests, limit.tokens * shares.tokens);
        let (full, full_tokens) = (bucket_size(rate), bucket_size(tokens));
        if !self.filled {
            self.filled = true;
            self.requests = full;
            self.tokens = full_tokens;
        }
        let passed = now.saturating_sub(self.changed) as f64 / 1000.0;
        self.requests = (self.requests + rate * passed).min(full);
        self.tokens = (self.tokens + tokens * passed).min(full_tokens);
        self.demand = self.decayed(now);
        self.changed = now;
    }

    /// Returns the demand at this instance, decayed to a time.
    fn decayed(&self, now: Millis) -> Demand {
        let passed = now.saturating_sub(self.changed) as f64;
        let decay = (-passed / DEMAND_DECAY).exp();
        Demand {
            requests: self.demand.requests * decay,
            tokens: self.demand.tokens * decay,
            running: self.running as f64,
        }
    }

    /// Returns the factors, from 0 to 1, by which this instance scales each limit; 1 for
    /// `running`, since the limit on concurrency is not divided.
    fn limit_shares(&self, now: Millis) -> Demand {
        let own = self.decayed(now);
        let mut all = own;
        for (demand, received) in self.others.values() {
            if now.saturating_sub(*received) < DEMAND_MAX_AGE {
                all.requests += demand.requests;
                all.tokens += demand.tokens;
            }
        }
        // The lower bound lets an instance without demand so far admit its first requests.
        let floor = 0.5 / (self.others.len() + 1) as f64;
        let part = |own: f64, all: f64| {
            if all > 0.0 {
                (own / all).max(floor)
            } else {
                floor
            }
        };
        Demand {
            requests: part(own.requests, all.requests),
            tokens: part(own.tokens, all.tokens),
            running: 1.0,
        }
    }

    /// Returns the number of the caller's requests in progress at other instances.
    fn others_running(&self, now: Millis) -> f64 {
        let fresh = |received: Millis| now.saturating_sub(received) < DEMAND_MAX_AGE;
        let running = self
            .others
            .values()
            .filter(|(_, received)| fresh(*received));
        running.map(|(demand, _)| demand.running).sum()
    }
}

/// Returns the size of a bucket for a rate per second, at least 1.
fn bucket_size(rate: f64) -> f64 {
    (rate * BURST_TIME / 1000.0).max(1.0)
}

/// Converts seconds to a wait of at most [`MAX_WAIT`].
fn bounded_wait(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}
