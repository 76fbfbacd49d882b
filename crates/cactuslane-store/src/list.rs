//! The platform's list of instances, in the format of Prometheus's HTTP service discovery.
//!
//! The list lags behind the actual set of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_types::{DomainName, InstanceId, ServiceName};
use serde::Deserialize;

use crate::http::{Client, HttpError};

/// Timeout of one read of the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// An instance in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance's identifier, from the label `instance`.
    pub instance: InstanceId,
    /// The address on which the instance serves requests.
    pub address: SocketAddr,
    /// Whether it is an entry, an engine or a worker of a plain service.
    pub kind: ListedKind,
    /// The failure domain of the instance; empty if the list has none.
    pub domain: DomainName,
    /// The model or plain service that the instance serves; empty for an entry.
    pub service: ServiceName,
    /// Whether the list marks the instance as leaving.
    pub leaving: bool,
    /// The UDP address for gossip between entries; `None` if absent or malformed.
    pub gossip: Option<SocketAddr>,
}

/// The kind of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedKind {
    /// An entry instance of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A worker of a plain service.
    Service,
}

/// A target group of the discovery format.
#[derive(Debug, Deserialize)]
struct Group {
    /// The addresses of the group, each as IP address and port.
    targets: Vec<String>,
    /// The labels that apply to each address of the group.
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

/// Polls the list; an unchanged list is not transferred again if the server supports entity tags.
#[derive(Debug)]
pub struct ListReader {
    /// The HTTP client; it reuses idle connections.
    client: Client,
    /// The address of the server that publishes the list.
    address: SocketAddr,
    /// The entity tag of the list that was last read.
    tag: Option<String>,
}

impl ListReader {
    /// Creates a reader; it connects on the first read.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            client: Client::open(),
            address,
            tag: None,
        }
    }

    /// Reads the list; returns `None` if it has not changed since the last read.
    ///
    /// Groups of an unknown kind and addresses that cannot be parsed are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete, well-formed list is received within 2 s.
    pub async fn read(&mut self) -> Result<Option<Vec<ListedInstance>>, HttpError> {
        let tag = self.tag.clone();
        let response = self
            .client
            .get_if_changed(self.address, "/instances", tag, LIST_TIMEOUT);
        let Some((tag, value)) = response.await? else {
            return Ok(None);
        };
        let groups: Vec<Group> =
            serde_json::from_value(value).map_err(|error| HttpError::Broken(error.to_string()))?;
        self.tag = tag;
        Ok(Some(groups.iter().flat_map(parse_group).collect()))
    }
}

/// Returns the instances of a group; empty if its kind is unknown.
fn parse_group(group: &Group) -> Vec<ListedInstance> {
    let label = |name: &str| group.labels.get(name).cloned().unwrap_or_default();
    let kind = match label("kind").as_str() {
        "entry" => ListedKind::Entry,
        "engine" => ListedKind::Engine,
        "service" => ListedKind::Service,
        _ => return Vec::new(),
    };
    let mut instances = Vec::new();
    for target in &group.targets {
        let Ok(address) = target.parse() else {
            continue;
        };
        instances.push(ListedInstance {
            instance: label("instance"),
            address,
            kind,
            domain: label("failure_domain"),
            service: label("service"),
            leaving: label("state") == "leaving",
            gossip: label("gossip").parse().ok(),
        });
    }
    instances
}
