//! The routes, services and limits that are in force.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_types::ServiceName;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The version that the operator gave; it only grows.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// What a caller may send and how long it may take.
    pub limits: Limits,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be sent again.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether the requests name the parts of a prompt.
    pub generates: bool,
    /// The longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// The time without any event after which callers leave.
    pub patience: Duration,
    /// The longest pause between events of an answer that is on time.
    pub pause: Option<Duration>,
    /// The rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The services that share the requests, by weight.
    pub services: Vec<(ServiceName, u32)>,
    /// The number of targets on which one request may run.
    pub max_attempts: u32,
}

/// What may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing: the request runs at most once.
    Never,
    /// A stream, from the event after the last one that was forwarded.
    Resume,
    /// The whole request.
    Whole,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of the health check.
    pub health_path: String,
    /// The connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// What its model engines can do; none for a plain service.
    pub engine: Option<Engine>,
}

/// The measures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The number of requests in one batch.
    pub slots: u32,
    /// The memory, in tokens.
    pub memory: u64,
    /// The memory of one token, in bytes.
    pub token_bytes: f64,
    /// The bandwidth of transfers between engines, in Mbit/s.
    pub link_mbps: f64,
    /// The time for which the KV cache of a computed prompt is kept.
    pub handle_ttl: Duration,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time to receive the head of a request.
    pub header_timeout: Duration,
    /// The time after which an idle connection may be closed.
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

impl Document {
    /// Returns the route with the longest prefix that a path begins with.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
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
    /// Returns the service for a draw from 0 (inclusive) to 1 (exclusive), by weight.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
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
