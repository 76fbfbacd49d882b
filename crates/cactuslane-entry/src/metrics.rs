//! Metrics of one instance, in the text format of Prometheus.

use std::sync::atomic::Ordering;

use cactuslane_flight::{Door, Kind};
use cactuslane_held::Held;
use cactuslane_store::Store;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The metrics of one instance since its start.
#[derive(Debug)]
pub struct Metrics {
    /// The registry with the names and help texts of all metrics.
    registry: Registry,
    /// Answers to callers by status and outcome.
    pub answers: Family<AnswerLabels, Counter>,
    /// Calls to plain services and streams begun at engines, by target.
    pub dispatches: Family<TargetLabels, Counter>,
    /// Retries of calls after a failed attempt.
    pub retries: Counter,
    /// Streams continued at another engine after a failure, or by a caller's resume token.
    pub resumed: Counter,
    /// Calls forwarded to the instance to which their idempotency key is bound.
    pub forwarded: Counter,
    /// Claims of callers' own idempotency keys that were requested from the key-value service.
    pub claims: Counter,
    /// Bytes sent to other instances over UDP and TCP.
    pub peer_bytes: Counter,
    /// Datagrams refused as forged or repeated, or with this instance as their sender.
    pub refused_packets: Counter,
    /// Orders sent to targets, unanswered and refused ones included.
    pub orders: Counter,
    /// The revision of the configuration in force; 0 before the first.
    pub config_revision: Gauge,
    /// The revision of the plan in force; 0 before the first.
    pub plan_revision: Gauge,
    /// The time from a request's admission to the first token of each of its engine streams, in
    /// seconds.
    pub first_token: Histogram,
    /// Number of bytes of bodies that are held for callers.
    held_bytes: Gauge,
    /// Number of connections of callers.
    connections: Gauge,
    /// Reads of the key-value service, set from the store client's counter.
    store_reads: Gauge,
    /// Writes to the key-value service, set from the store client's counter.
    store_writes: Gauge,
}

/// The labels of an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// The HTTP status code.
    pub status: u16,
    /// `not-run` or `unknown` if the answer has the outcome header, else `answered`.
    pub outcome: &'static str,
}

/// The label of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TargetLabels {
    /// The id of the target.
    pub target: String,
}

impl Metrics {
    /// Creates and registers all metrics at zero, and those of what is held for callers.
    pub fn new(record: &Held) -> Self {
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
            held_bytes: Gauge::default(),
            connections: Gauge::default(),
            store_reads: Gauge::default(),
            store_writes: Gauge::default(),
        };
        metrics.register();
        let help = "Refusals and closed connections by limits on what callers hold, by reason";
        let refused = record.refused.clone();
        metrics.registry.register("held_refused", help, refused);
        let bytes = metrics.held_bytes.clone();
        let help = "Bytes of bodies that are held for callers";
        metrics.registry.register("held_bytes", help, bytes);
        let connections = metrics.connections.clone();
        let help = "Connections of callers";
        metrics.registry.register("connections", help, connections);
        metrics
    }

    /// Returns all metrics as text, with the current counts of the store client.
    pub fn text(&self, store: &Store, held: &Held) -> String {
        self.held_bytes.set(held.bytes(Kind::Body) as i64);
        self.connections.set(held.count(Door::Front) as i64);
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

    /// Registers every metric with its name and help text.
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
