//! The platform's lagging list of instances, in Prometheus's HTTP service discovery format.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_types::{DomainName, InstanceId, ServiceName};
use serde::Deserialize;

use crate::http::{Client, HttpError};

/// Longest time that reading the list may take.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Names the instance.
    pub instance: InstanceId,
    /// The address that it serves on.
    pub address: SocketAddr,
    /// Its kind.
    pub kind: ListedKind,
    /// Its failure domain.
    pub domain: DomainName,
    /// The model or plain service that it serves; empty for an entry.
    pub service: ServiceName,
    /// Says whether it is leaving.
    pub leaving: bool,
    /// The address for UDP of an entry.
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

/// One group of the published format.
#[derive(Debug, Deserialize)]
struct Group {
    /// Holds addresses.
    targets: Vec<String>,
    /// Holds the labels of all addresses of the group.
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

/// Reads the list again and again, and transfers it only when it has changed.
#[derive(Debug)]
pub struct ListReader {
    /// Sends the requests.
    client: Client,
    /// The list's address.
    address: SocketAddr,
    /// The tag of the list that was read last.
    tag: Option<String>,
}

impl ListReader {
    /// Opens a reader; no connection is made before the first reading.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            client: Client::open(),
            address,
            tag: None,
        }
    }

    /// Reads the list; none if it is the one that was read last.
    ///
    /// Entries that cannot be understood are left out.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole list comes in time.
    pub async fn read(&mut self) -> Result<Option<Vec<ListedInstance>>, HttpError> {
        let tag = self.tag.clone();
        let answer = self
            .client
            .get_if_changed(self.address, "/instances", tag, LIST_TIMEOUT);
        let Some((tag, value)) = answer.await? else {
            return Ok(None);
        };
        let groups: Vec<Group> =
            serde_json::from_value(value).map_err(|error| HttpError::Broken(error.to_string()))?;
        self.tag = tag;
        Ok(Some(groups.iter().flat_map(parse_group).collect()))
    }
}

/// Turns one group into instances.
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
