//! Counters of one instance, in the text format of Prometheus.

use std::sync::atomic::Ordering;

use cactuslane_store::Store;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Holds the counters.
#[derive(Debug)]
pub struct Metrics {
    /// Holds the names under which they are given out.
    registry: Registry,
    /// Counts answers by status and outcome.
    pub answers: Family<AnswerLabels, Counter>,
    /// Counts dispatches by target.
    pub dispatches: Family<TargetLabels, Counter>,
    /// Counts calls that were sent again.
    pub retries: Counter,
    /// Counts streams that went on elsewhere.
    pub resumed: Counter,
    /// Counts calls forwarded to the instance that their key is bound to.
    pub forwarded: Counter,
    /// Counts claims of keys in the key-value service.
    pub claims: Counter,
    /// Counts bytes sent to other instances.
    pub peer_bytes: Counter,
    /// Counts datagrams that were refused as forged or repeated.
    pub refused_packets: Counter,
    /// Counts orders sent to targets.
    pub orders: Counter,
    /// The revision of the configuration in force.
    pub config_revision: Gauge,
    /// The revision of the plan in force.
    pub plan_revision: Gauge,
    /// Measures the time to the first token, in seconds.
    pub first_token: Histogram,
    /// Counts reads of the key-value service.
    store_reads: Gauge,
    /// Counts writes to the key-value service.
    store_writes: Gauge,
}

/// Labels an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// The status.
    pub status: u16,
    /// The outcome, or `answered`.
    pub outcome: &'static str,
}

/// Labels a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TargetLabels {
    /// The target.
    pub target: String,
}

impl Metrics {
    /// Creates counters at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("cactuslane"),
            answers: Family::default(),
            dispatches: Family::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            forwarded: Counter::default(),
            claims: Counter::default(),
            peer_bytes: Counter::default(),
            refused_packets: Counter::default(),
            orders: Counter::default(),
            config_revision: Gauge::default(),
            plan_revision: Gauge::default(),
            first_token: Histogram::new(exponential_buckets(0.005, 2.0, 14)),
            store_reads: Gauge::default(),
            store_writes: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns all counters as text.
    pub fn text(&self, store: &Store) -> String {
        let calls = store.calls();
        self.store_reads
            .set(calls.reads.load(Ordering::Relaxed) as i64);
        self.store_writes
            .set(calls.writes.load(Ordering::Relaxed) as i64);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Gives every counter its name.
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "answers",
            "Answers by status and outcome",
            self.answers.clone(),
        );
        r.register(
            "dispatches",
            "Dispatches by target",
            self.dispatches.clone(),
        );
        r.register("retries", "Calls sent again", self.retries.clone());
        r.register(
            "resumed",
            "Streams that went on elsewhere",
            self.resumed.clone(),
        );
        r.register(
            "forwarded",
            "Calls forwarded to another instance",
            self.forwarded.clone(),
        );
        r.register("claims", "Claims of keys", self.claims.clone());
        r.register(
            "peer_bytes",
            "Bytes sent to other instances",
            self.peer_bytes.clone(),
        );
        r.register(
            "refused_packets",
            "Datagrams refused",
            self.refused_packets.clone(),
        );
        r.register("orders", "Orders sent to targets", self.orders.clone());
        r.register(
            "config_revision",
            "Configuration in force",
            self.config_revision.clone(),
        );
        r.register("plan_revision", "Plan in force", self.plan_revision.clone());
        r.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        r.register(
            "store_reads",
            "Reads of the key-value service",
            self.store_reads.clone(),
        );
        r.register(
            "store_writes",
            "Writes to the key-value service",
            self.store_writes.clone(),
        );
    }
}
