//! A request of a caller, as it is served.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuslane_flight::routing_config::{Route, RoutingConfig};
use cactuslane_flight::{ConnectionId, RequestInfo};
use cactuslane_platform::exchange::{self, Identity};
use cactuslane_types::{CustomerName, TargetId};
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::Instant;

use crate::customers;
use crate::taken::TakenGuard;

/// A request of a caller, read with its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Parameters from the headers that placement and retries depend on.
    pub info: RequestInfo,
    /// Route that matches the host and the path.
    pub route: Route,
    /// Customer whose key it carries; `None` if it carries none that is known.
    pub customer: Option<CustomerName>,
    /// Priority at model engines, that of the customer before that of the route; 0 is the most
    /// urgent.
    pub priority: u8,
    /// Name of the service that was picked among those of the route.
    pub service: String,
    /// Configuration that was in force when the head arrived.
    pub config: Arc<RoutingConfig>,
    /// Method that the target gets as well.
    pub method: Method,
    /// URI as the caller sent it; the target gets its path and query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body, sent unchanged to the target in each attempt.
    pub body: Bytes,
    /// Connection of the caller.
    pub connection: ConnectionId,
    /// Time at which the head had arrived.
    pub arrived: Instant,
    /// Count of a request that another instance passed on, kept until its answer has ended.
    pub(crate) taken: Option<TakenGuard>,
    /// Targets to which it was sent.
    pub(crate) targets: Mutex<BTreeSet<TargetId>>,
}

impl CallerRequest {
    /// Records that the request is sent to a target; returns whether it is the first time.
    #[must_use]
    pub fn record_send(&self, target: &str) -> bool {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        targets.insert(target.to_owned())
    }

    /// Returns the name of the instance that passed the request on; empty if its caller sent it here.
    #[must_use]
    pub fn passed_by(&self) -> &str {
        match self.taken {
            Some(_) => exchange::passed_by(&self.headers),
            None => "",
        }
    }

    /// Returns whether the headers state the caller's place in the stream in an unusual form.
    #[must_use]
    pub fn has_odd_place(&self) -> bool {
        exchange::has_odd_place(&self.headers, self.info.place(self.info.last_event))
    }

    /// Returns what targets are told of the caller's identity.
    #[must_use]
    pub fn identity(&self) -> Identity<'_> {
        customers::identity(&self.config, self.customer.as_deref())
    }

    /// Returns the time that is left until the deadline of the caller or of the route.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        let limit = self.info.timeout.unwrap_or(self.route.timeout);
        let limit = limit.min(self.route.timeout);
        limit.saturating_sub(self.arrived.elapsed())
    }
}
