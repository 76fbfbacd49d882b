//! The routing configuration: routes, services and limits.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_types::{DomainName, Position, ServiceName};

use crate::config_position::ConfigPosition;
use crate::customers::Customers;

/// One version of the operators' configuration, as decoded from the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// Version number set by the operator; it only grows, and a version that is not larger than the
    /// one in force is not applied.
    pub version: u64,
    /// Position of the document in the history of the store, at which it was read or last confirmed.
    pub position: Position,
    /// Routes of all hosts; of several matches the longest prefix wins.
    pub routes: Vec<Route>,
    /// Services that routes refer to, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Customers with their keys; `None` if requests need no key.
    pub customers: Option<Customers>,
}

/// Rules for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for operators and log lines.
    pub name: String,
    /// Host that the request is addressed to, compared without regard to ASCII case.
    pub host: String,
    /// Prefix of the path, with a slash at both ends so that it matches whole segments only.
    pub prefix: String,
    /// Whether a request may be sent again after it may have run.
    pub retry: RetryPolicy,
    /// Whether answers are streams of server-sent events.
    pub stream: bool,
    /// Whether requests name the parts of their prompts; only then may one engine compute the
    /// prompt and another one generate.
    pub prompt_aware: bool,
    /// Time after which a request is abandoned, from its arrival; a caller may state a shorter one.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, counts as on time.
    pub latency_objective: Duration,
    /// Time without an event, from the arrival or the last event, after which callers are expected
    /// to disconnect.
    pub silence_limit: Duration,
    /// Longest pause between two events of a stream that counts as on time, if configured.
    pub max_pause: Option<Duration>,
    /// Priority of the requests at model engines; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the requests are divided, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Maximum number of attempts that may run a request; rejected and unsent ones don't count.
    ///
    /// Also limits how often the prompt may be computed on a separate engine.
    pub max_attempts: u32,
    /// Whether requests need no key although the configuration has customers.
    pub public: bool,
}

/// Whether a request may be sent again after an attempt that may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It is not sent again, so that it runs at most once.
    Never,
    /// The stream is resumed after the last event that was forwarded.
    Resume,
    /// The request is sent again from the start, unless an answer to the caller has begun.
    Restart,
}

/// A named group of targets that routes send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check at the service's targets.
    pub health_path: String,
    /// Maximum number of connections that one target accepts, from all callers together.
    pub max_connections: u32,
    /// Capacities of the service's model engines; `None` for a service without a model.
    pub engine: Option<EngineSpec>,
    /// Limits and prices of the number of targets; `None` if that number is not ordered.
    pub scaling: Option<ScalingSpec>,
}

/// Limits and prices by which the number of a service's targets is ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Smallest number of targets in each failure domain.
    pub min: u32,
    /// Largest number of targets in each failure domain.
    pub max: u32,
    /// Time from an order until a new target serves.
    pub boot_time: Duration,
    /// Price of a reclaimable target as a share of that of others; `None` if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of a target for a second, by failure domain.
    pub prices: BTreeMap<DomainName, f64>,
}

/// Capacities of a service's model engines, the same for each of them.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// Size of one token in the KV cache, in bytes.
    pub token_bytes: f64,
    /// Bandwidth of KV cache transfers between engines, in Mbit/s.
    pub link_mbps: f64,
    /// Time for which an engine keeps the KV cache of a prompt that it computed for another engine.
    pub handle_ttl: Duration,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub header_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RoutingConfig {
    /// Returns which copy of the document this is.
    #[must_use]
    pub fn config_position(&self) -> ConfigPosition {
        ConfigPosition::new(self.position, self.version)
    }

    /// Returns whether two copies say the same, wherever in the store they stood.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        let Self {
            version,
            position: _,
            routes,
            services,
            limits,
            customers,
        } = self;
        let same_routing = *routes == other.routes && *services == other.services;
        *version == other.version
            && same_routing
            && *limits == other.limits
            && *customers == other.customers
    }

    /// Returns the longest time that a stream may take on any route; zero if no route has streams.
    #[must_use]
    pub fn stream_timeout(&self) -> Duration {
        let streams = self.routes.iter().filter(|route| route.stream);
        let timeouts = streams.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut best: Option<&Route> = None;
        for route in &self.routes {
            if !route.host.eq_ignore_ascii_case(host) || !path.starts_with(&route.prefix) {
                continue;
            }
            if best.is_none_or(|best| route.prefix.len() > best.prefix.len()) {
                best = Some(route);
            }
        }
        best
    }
}

impl Route {
    /// Returns the service for a random number in `0.0..1.0`, in proportion to the weights.
    ///
    /// Returns `None` if the route has no services.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}
