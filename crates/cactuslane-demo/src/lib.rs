//! A whole deployment on loopback: entry instances, platform, engines and plain services.
//!
//! [`Cluster::spawn`] starts everything as tasks of one process. The demo command and the tests
//! of whole paths share it.

pub mod caller;

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactuslane_config::Settings;
use cactuslane_config::document::hash_token;
use cactuslane_entry::{Entry, EntryError};
use cactuslane_standin::engine::{Engine, EngineSpec};
use cactuslane_standin::platform::Platform;
use cactuslane_standin::service::{RunCounter, Worker};
use cactuslane_standin::{Deployment, EngineParams, Faults, TargetSpec};

/// Key of the configuration document at the platform.
pub const CONFIG_KEY: &str = "cactuslane/config";
/// Token of the only caller.
pub const TOKEN: &str = "demo-caller-token";
/// Token of the operators.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
/// The record of the operator, who may edit all sections.
const OPERATOR: &str =
    r#"{"name": "demo", "sections": ["models", "capacity", "callers", "maintenance"]}"#;
/// Key between the instances.
const CLUSTER_KEY: &str = "demo-cluster-key-0123456789";

/// A running deployment; dropping it stops everything at once.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// Holds the entry instances by name.
    pub entries: BTreeMap<String, Entry>,
    /// Holds the engines by name.
    pub engines: BTreeMap<String, Engine>,
    /// Holds the workers of the plain service by name.
    pub workers: BTreeMap<String, Worker>,
    /// The register that the workers share.
    pub run_counter: RunCounter,
    /// The table of faults of all stand-ins.
    pub faults: Faults,
    /// The deployment.
    pub deployment: Deployment,
    /// Holds what was chosen for it.
    options: Options,
}

/// Holds what can be chosen for a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The factor by which engines run faster than real ones.
    pub pace: f64,
    /// How far the instance list is behind.
    pub list_lag: Duration,
    /// How far load reports are behind.
    pub report_lag: Duration,
    /// How long callers may use an address answer.
    pub validity: Duration,
    /// The number of entry instances; none for the deployment's own.
    pub entries: Option<usize>,
    /// The configuration; none for the deployment's own.
    pub document: Option<String>,
    /// The register of the plain service's runs.
    pub run_counter: RunCounter,
    /// Says whether engines check fencing numbers; none for the deployment's own way.
    pub fencing: Option<bool>,
}

/// Says why a deployment did not start.
#[derive(Debug)]
pub enum DemoError {
    /// A stand-in did not start.
    StandIn(io::Error),
    /// An entry instance did not start.
    Entry(EntryError),
}

impl Default for Options {
    fn default() -> Self {
        Self {
            pace: 1.0,
            list_lag: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            validity: Duration::from_secs(5),
            entries: None,
            document: None,
            run_counter: RunCounter::default(),
            fencing: None,
        }
    }
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StandIn(error) => write!(f, "a stand-in did not start: {error}"),
            Self::Entry(error) => write!(f, "an entry instance did not start: {error}"),
        }
    }
}

impl Cluster {
    /// Spawns a deployment.
    ///
    /// # Errors
    ///
    /// Returns an error where a part does not start.
    pub async fn spawn(
        deployment: Deployment,
        faults: Faults,
        options: Options,
    ) -> Result<Self, DemoError> {
        let platform = Platform::bind(loopback(), faults.clone(), options.list_lag)
            .await
            .map_err(DemoError::StandIn)?;
        let document = options
            .document
            .clone()
            .unwrap_or_else(|| deployment.document(&hash_token(TOKEN)));
        platform.put(CONFIG_KEY, document.as_bytes());
        platform.put(&operator_key(), OPERATOR.as_bytes());
        let mut cluster = Self {
            platform,
            entries: BTreeMap::new(),
            engines: BTreeMap::new(),
            workers: BTreeMap::new(),
            run_counter: options.run_counter.clone(),
            faults,
            deployment,
            options,
        };
        for target in cluster.deployment.targets() {
            cluster
                .spawn_target(&target)
                .await
                .map_err(DemoError::StandIn)?;
        }
        // Whoever starts finds the targets on the list.
        cluster.platform.publish_now();
        let entries = cluster
            .options
            .entries
            .unwrap_or(cluster.deployment.entries);
        for index in 0..entries {
            cluster.spawn_entry(index).await.map_err(DemoError::Entry)?;
        }
        cluster.platform.publish_now();
        Ok(cluster)
    }

    /// Spawns the entry instance with an index, from 0, and lists it.
    ///
    /// # Errors
    ///
    /// Returns an error where it does not start.
    pub async fn spawn_entry(&mut self, index: usize) -> Result<String, EntryError> {
        let name = format!("entry-{}", index + 1);
        let domain = self.deployment.domain(index);
        let settings = self.settings(&name, domain);
        let entry = Entry::spawn(settings).await?;
        let gossip = entry.gossip_address().to_string();
        let labels = [
            ("kind", "entry"),
            ("failure_domain", domain),
            ("gossip", gossip.as_str()),
        ];
        self.platform.list_instance(&name, entry.address(), &labels);
        self.entries.insert(name.clone(), entry);
        Ok(name)
    }

    /// Returns the settings of an entry instance.
    #[must_use]
    pub fn settings(&self, name: &str, domain: &str) -> Settings {
        let platform = self.platform.address();
        Settings {
            instance: name.to_owned(),
            domain: domain.to_owned(),
            listen: loopback(),
            gossip: loopback(),
            store: platform,
            instance_list: platform,
            weight_store: platform,
            cluster_key: CLUSTER_KEY.to_owned(),
            address_validity: self.options.validity,
            max_body: 8 << 20,
            max_connections: 10_000,
            operator_sha256: Some(hash_token(OPERATOR_TOKEN)),
            json_logs: false,
        }
    }

    /// Waits until all entry instances take work; false if they do not for long.
    pub async fn ready(&self) -> bool {
        /// Longest time to wait.
        const LONGEST: Duration = Duration::from_mins(1);
        let all = async {
            while !self.entries.values().all(Entry::is_ready) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(LONGEST, all).await.is_ok()
    }

    /// Stops all entry instances gracefully, at the same time.
    pub async fn stop(mut self) {
        let mut stops = tokio::task::JoinSet::new();
        for (_, entry) in std::mem::take(&mut self.entries) {
            stops.spawn(entry.stop());
        }
        while stops.join_next().await.is_some() {}
    }

    /// Spawns one target and lists it.
    async fn spawn_target(&mut self, target: &TargetSpec) -> io::Result<()> {
        let (address, kind) = if target.is_engine {
            let spec = EngineSpec {
                name: target.name.clone(),
                model: target.service.to_owned(),
                params: EngineParams::default(),
                pace: self.options.pace,
                lag: self.options.report_lag,
                checks_fencing: self.options.fencing.unwrap_or(self.deployment.fencing),
                change_time: Duration::from_secs(6),
            };
            let engine = Engine::bind(loopback(), spec, self.faults.clone()).await?;
            let address = engine.address();
            self.engines.insert(target.name.clone(), engine);
            (address, "engine")
        } else {
            let (register, faults) = (self.run_counter.clone(), self.faults.clone());
            let worker = Worker::bind(loopback(), &target.name, register, faults).await?;
            let address = worker.address();
            self.workers.insert(target.name.clone(), worker);
            (address, "service")
        };
        let labels = [
            ("kind", kind),
            ("failure_domain", target.domain),
            ("service", target.service),
        ];
        self.platform.list_instance(&target.name, address, &labels);
        Ok(())
    }
}

/// Returns the key of the operator's record.
fn operator_key() -> String {
    format!("cactuslane/operators/{}", hash_token(OPERATOR_TOKEN))
}

/// Returns the loopback address with a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
