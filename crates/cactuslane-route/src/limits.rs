//! Limits of callers that hold over the whole fleet without a call a request.
//!
//! Each instance measures the demand that reaches it and hears the others' by gossip. It allows
//! itself the share of a limit that its demand is of the whole. While the shares are late, the
//! fleet as a whole can exceed a limit; the burst of a bucket bounds by how much.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_types::{CallerId, InstanceId, Millis};

/// Length of the burst that a limit allows, in milliseconds.
const BURST_TIME: f64 = 1_000.0;
/// Time in which measured demand fades to a third, in milliseconds.
const DEMAND_DECAY: f64 = 3_000.0;
/// Age after which an instance's share is no longer used, in milliseconds.
const DEMAND_MAX_AGE: Millis = 10_000;
/// Longest time after which a caller is told to come back.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Holds the use of all callers at one instance.
#[derive(Clone, Debug, Default)]
pub struct CallerLimits {
    /// Holds the callers.
    callers: BTreeMap<CallerId, CallerState>,
}

/// The limit of one caller over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimit {
    /// The rate of requests a second.
    pub rate: f64,
    /// The rate of tokens a second.
    pub tokens: f64,
    /// The number of requests in progress.
    pub concurrency: usize,
}

/// The demand of one caller at one instance, as gossip carries it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The rate of requests a second that asked.
    pub requests: f64,
    /// The rate of tokens a second that asked.
    pub tokens: f64,
    /// The number of requests in progress.
    pub running: f64,
}

/// Says which limit refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitError {
    /// The rate of requests; come back after the time.
    Rate(Duration),
    /// The rate of tokens; come back after the time.
    Tokens(Duration),
    /// The number of requests in progress; come back after the time.
    Concurrency(Duration),
}

/// The use of one caller at this instance.
#[derive(Clone, Debug, Default)]
struct CallerState {
    /// The measured demand.
    demand: Demand,
    /// The time of the last change.
    changed: Millis,
    /// The number of requests that may start now.
    requests: f64,
    /// The number of tokens that may be taken now; negative after a large request.
    tokens: f64,
    /// The number of requests in progress here.
    running: usize,
    /// Says whether the buckets were filled for the first time.
    filled: bool,
    /// Holds the others' demand with the time it was heard.
    others: BTreeMap<InstanceId, (Demand, Millis)>,
}

impl CallerLimits {
    /// Admits a request with its tokens, or says which limit refuses it.
    ///
    /// # Errors
    ///
    /// Returns the limit and when to come back.
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

    /// Ends a request, giving back the tokens that it did not use.
    pub fn finish(&mut self, caller: &str, unused: f64) {
        let Some(state) = self.callers.get_mut(caller) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        state.tokens += unused;
    }

    /// Returns the demand of all callers here, for gossip.
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

    /// Records the demand of a caller at another instance.
    pub fn record_demand(&mut self, instance: &str, caller: &str, demand: Demand, now: Millis) {
        let state = self.callers.entry(caller.to_owned()).or_default();
        state.others.insert(instance.to_owned(), (demand, now));
    }

    /// Forgets callers that are not in use.
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
    /// Refills the buckets for the time that has passed.
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

    /// Returns the demand here, faded to now.
    fn decayed(&self, now: Millis) -> Demand {
        let passed = now.saturating_sub(self.changed) as f64;
        let decay = (-passed / DEMAND_DECAY).exp();
        Demand {
            requests: self.demand.requests * decay,
            tokens: self.demand.tokens * decay,
            running: self.running as f64,
        }
    }

    /// Returns the shares of the limits that this instance may use.
    fn limit_shares(&self, now: Millis) -> Demand {
        let own = self.decayed(now);
        let mut all = own;
        for (demand, received) in self.others.values() {
            if now.saturating_sub(*received) < DEMAND_MAX_AGE {
                all.requests += demand.requests;
                all.tokens += demand.tokens;
            }
        }
        // A floor lets an instance with no demand yet serve its first requests.
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

    /// Returns the number of the caller's requests in progress elsewhere.
    fn others_running(&self, now: Millis) -> f64 {
        let fresh = |received: Millis| now.saturating_sub(received) < DEMAND_MAX_AGE;
        let running = self
            .others
            .values()
            .filter(|(_, received)| fresh(*received));
        running.map(|(demand, _)| demand.running).sum()
    }
}

/// Returns the size of a bucket for a rate: a burst, but at least one request.
fn bucket_size(rate: f64) -> f64 {
    (rate * BURST_TIME / 1000.0).max(1.0)
}

/// Returns a waiting time from seconds, bounded.
fn bounded_wait(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}
