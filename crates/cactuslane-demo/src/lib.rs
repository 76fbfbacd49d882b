//! A complete deployment on loopback: entry instances, with stand-ins for the platform, the model
//! engines and the plain service.
//!
//! [`Cluster::spawn`] starts everything as tasks of one process. The demo command, the end-to-end
//! tests and the capacity benchmark use it.

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

/// Key of the configuration document in the platform's key-value store.
pub const CONFIG_KEY: &str = "cactuslane/config";
/// Bearer token of the only caller in the default configuration document.
pub const CALLER_TOKEN: &str = "demo-caller-token";
/// Bearer token of the only operator.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
/// Record of the operator in the platform's key-value store, which permits edits of all sections.
const OPERATOR: &str =
    r#"{"name": "demo", "sections": ["models", "capacity", "callers", "maintenance"]}"#;
/// Secret shared by all entry instances, which authenticates messages between them.
const CLUSTER_KEY: &str = "demo-cluster-key-0123456789";

/// A running deployment; dropping it stops all instances and stand-ins at once.
#[derive(Debug)]
pub struct Cluster {
    /// The stand-in for the platform: key-value store, instance list and weight store.
    pub platform: Platform,
    /// The entry instances by name, `entry-1` onwards.
    pub entries: BTreeMap<String, Entry>,
    /// The stand-in model engines by name, `engine-1` onwards.
    pub engines: BTreeMap<String, Engine>,
    /// The stand-in workers of the plain service by name, `service-1` onwards.
    pub workers: BTreeMap<String, Worker>,
    /// The number of runs of each idempotency key, counted by all workers together.
    pub run_counter: RunCounter,
    /// The table of faults to inject, shared by all stand-ins.
    pub faults: Faults,
    /// The description of what was started.
    pub deployment: Deployment,
    /// The options that were passed to [`Cluster::spawn`].
    options: Options,
}

/// The options of a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The factor by which engines run faster than real ones; above 0.
    pub pace: f64,
    /// The delay with which changes appear in the platform's instance list.
    pub list_lag: Duration,
    /// The delay with which the engines' load reports are shown.
    pub report_lag: Duration,
    /// The time for which callers may use an answer of `/v1/addresses`; a stopping instance goes on
    /// serving for as long.
    pub address_validity: Duration,
    /// The number of entry instances; if `None`, that of the deployment.
    pub entries: Option<usize>,
    /// The configuration document; if `None`, that of the deployment.
    pub document: Option<String>,
    /// The counter of the plain service's runs by idempotency key.
    pub run_counter: RunCounter,
    /// Whether engines refuse orders with an outdated fencing token; if `None`, as the deployment
    /// specifies.
    pub checks_fencing: Option<bool>,
}

/// The reason for which a deployment did not start.
#[derive(Debug)]
pub enum DemoError {
    /// A stand-in for the platform or a target could not bind its address.
    StandIn(io::Error),
    /// An entry instance could not bind one of its addresses.
    Entry(EntryError),
}

impl Default for Options {
    fn default() -> Self {
        Self {
            pace: 1.0,
            list_lag: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            address_validity: Duration::from_secs(5),
            entries: None,
            document: None,
            run_counter: RunCounter::default(),
            checks_fencing: None,
        }
    }
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StandIn(error) => write!(
                f,
                "cannot start a stand-in for the platform or a target: {error}"
            ),
            Self::Entry(error) => write!(f, "cannot start an entry instance: {error}"),
        }
    }
}

impl Cluster {
    /// Starts the platform, the targets and then the entry instances of a deployment.
    ///
    /// The platform's list shows them all when this returns; [`Self::wait_ready`] waits until the
    /// instances accept requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or an entry instance cannot bind an address.
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
            .unwrap_or_else(|| deployment.document(&hash_token(CALLER_TOKEN)));
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
        // Shows the targets without the delay of the list, so that entry instances find them there
        // as they start.
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

    /// Starts the entry instance `entry-{index + 1}`, adds it to the platform's list and returns
    /// its name.
    ///
    /// The list shows it after [`Options::list_lag`].
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot bind an address.
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

    /// Returns the settings of an entry instance, which listens on free ports of loopback and uses
    /// the stand-in platform.
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
            address_validity: self.options.address_validity,
            max_body: 8 << 20,
            max_connections: 10_000,
            memory: None,
            operator_sha256: Some(hash_token(OPERATOR_TOKEN)),
            json_logs: false,
        }
    }

    /// Waits until all entry instances accept requests; returns false if this takes over 1 min.
    pub async fn wait_ready(&self) -> bool {
        /// Timeout for all instances together.
        const READY_TIMEOUT: Duration = Duration::from_mins(1);
        let all = async {
            while !self.entries.values().all(Entry::is_ready) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all).await.is_ok()
    }

    /// Stops all entry instances gracefully and concurrently, then drops the stand-ins.
    pub async fn stop(mut self) {
        let mut stops = tokio::task::JoinSet::new();
        for (_, entry) in std::mem::take(&mut self.entries) {
            stops.spawn(entry.stop());
        }
        while stops.join_next().await.is_some() {}
    }

    /// Starts one engine or worker and adds it to the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot bind its address.
    async fn spawn_target(&mut self, target: &TargetSpec) -> io::Result<()> {
        let (address, kind) = if target.is_engine {
            let spec = EngineSpec {
                name: target.name.clone(),
                model: target.service.to_owned(),
                params: EngineParams::default(),
                pace: self.options.pace,
                lag: self.options.report_lag,
                checks_fencing: self
                    .options
                    .checks_fencing
                    .unwrap_or(self.deployment.fencing),
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

/// Returns the key of the operator's record in the platform's key-value store, which holds the
/// hash of the token instead of the token.
fn operator_key() -> String {
    format!("cactuslane/operators/{}", hash_token(OPERATOR_TOKEN))
}

/// Returns the loopback address with port 0, which binds a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
