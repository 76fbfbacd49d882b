//! Recognition of the customers whose requests arrive, by their keys.
//!
//! Each request is compared with the configuration that is in force when its head arrives, whatever
//! an earlier request on the same connection carried. Keys appear in no log line, metric, message or
//! answer.

use cactuslane_flight::routing_config::{Route, RoutingConfig};
use cactuslane_platform::exchange::{self, Identity, KeyError};
use cactuslane_types::CustomerName;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};

use crate::reply::{self, AnswerBody};

/// The caller of a request, as far as its credentials show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Customer that holds the key; `None` on public routes without a known key, and if the
    /// configuration has no customers.
    pub customer: Option<CustomerName>,
    /// Priority of its requests at model engines; 0 is the most urgent.
    pub priority: u8,
}

/// The reason why a request is rejected for its credentials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It carries no key.
    Missing,
    /// Its credentials have another form than that of a key.
    Malformed,
    /// No customer holds its key.
    Unknown,
}

impl Denial {
    /// Returns the cause for the answer, the log line and the metric.
    #[must_use]
    pub fn cause(self) -> &'static str {
        match self {
            Self::Missing => "no key",
            Self::Malformed => "malformed key",
            Self::Unknown => "unknown key",
        }
    }
}

impl Caller {
    /// Returns the bytes that tell requests of different callers apart: the customer's name, which
    /// stays the same when its keys change, or else the credentials.
    #[must_use]
    pub fn credentials<'a>(&'a self, headers: &'a HeaderMap) -> &'a [u8] {
        match &self.customer {
            Some(customer) => customer.as_bytes(),
            None => exchange::credentials(headers),
        }
    }
}

/// Finds the caller of a request by the headers.
///
/// # Errors
///
/// Returns an error if the configuration has customers, the route is not public and the request
/// carries no key that one of them holds.
pub fn identify(
    config: &RoutingConfig,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Caller, Denial> {
    let unknown = Caller {
        customer: None,
        priority: route.priority,
    };
    let Some(customers) = &config.customers else {
        return Ok(unknown);
    };
    let found = match exchange::key(headers) {
        Ok(key) => customers.find(key).ok_or(Denial::Unknown),
        Err(KeyError::Missing) => Err(Denial::Missing),
        Err(KeyError::Malformed) => Err(Denial::Malformed),
    };
    match found {
        Ok(customer) => Ok(Caller {
            customer: Some(customer.name.clone()),
            priority: customer.priority.unwrap_or(route.priority),
        }),
        Err(_) if route.public => Ok(unknown),
        Err(denial) => Err(denial),
    }
}

/// Returns the answer to a request that is rejected for its credentials.
#[must_use]
pub fn deny(id: &str, denial: Denial) -> Response<AnswerBody> {
    let mut response = reply::error(id, StatusCode::UNAUTHORIZED, denial.cause());
    exchange::request_key(response.headers_mut());
    response
}

/// Returns what targets are told of the identity of a caller.
#[must_use]
pub fn identity<'a>(config: &RoutingConfig, customer: Option<&'a str>) -> Identity<'a> {
    if config.customers.is_none() {
        return Identity::Credentials;
    }
    Identity::Customer(customer)
}
