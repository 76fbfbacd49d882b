//! Counters, gauges and histograms of what the instance does and believes.

use std::sync::{Mutex, PoisonError};

use cactuslane_flight::routing_config::{RetryPolicy, Route};
use cactuslane_place::placer::Plan;
use cactuslane_store::kv::CallLabels;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::state::Gateway;

/// Smallest bucket of times, in seconds.
const MIN_BUCKET: f64 = 0.002;
/// Number of buckets of times; each is twice as large as the one before.
const BUCKET_COUNT: u16 = 13;

/// Labels of a counter; their values are words of this program, so that there are few.
type Labels = Vec<(&'static str, &'static str)>;

/// The metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    /// The final answers by kind of route and outcome.
    answers: Family<Labels, Counter>,
    /// The final answers that are no success and no target's, by cause.
    failures: Family<Labels, Counter>,
    /// The ends of attempts at targets that did not succeed.
    attempts: Family<Labels, Counter>,
    /// The answers that broke off after they had begun.
    pub cut_streams: Counter,
    /// The times to the first byte of an answer, in seconds.
    first_byte: Family<Labels, Histogram>,
    /// The times between the pieces of a stream, in seconds.
    pub pauses: Histogram,
    /// The prompt tokens of placed generations by source.
    prompt_tokens: Family<Labels, Counter>,
    /// The transfers between engines that were asked for.
    transfers: Family<Labels, Counter>,
    /// The orders to engines by result.
    orders: Family<Labels, Counter>,
    /// The gauges.
    gauges: Gauges,
    /// All of them, for the text form.
    registry: Mutex<Registry>,
}

/// Gauges that are set when the metrics are read.
#[derive(Debug, Default)]
struct Gauges {
    /// The version of the configuration in force.
    version: Gauge,
    /// The targets that take new work.
    targets: Gauge,
    /// The instances that are known, this one included.
    instances: Gauge,
    /// The requests under way.
    requests: Gauge,
    /// The open connections of callers.
    connections: Gauge,
    /// The time since the store last answered a watch, in milliseconds.
    store_age: Gauge,
    /// Whether the instance holds the office that gives orders.
    office: Gauge,
}

impl Metrics {
    /// Creates metrics that show the store's calls as well.
    #[must_use]
    pub fn new(store_calls: &Family<CallLabels, Counter>) -> Self {
        let histogram = || Histogram::new(exponential_buckets(MIN_BUCKET, 2.0, BUCKET_COUNT));
        let metrics = Self {
            answers: Family::default(),
            failures: Family::default(),
            attempts: Family::default(),
            cut_streams: Counter::default(),
            first_byte: Family::new_with_constructor(histogram as fn() -> Histogram),
            pauses: histogram(),
            prompt_tokens: Family::default(),
            transfers: Family::default(),
            orders: Family::default(),
            gauges: Gauges::default(),
            registry: Mutex::new(Registry::with_prefix("cactuslane")),
        };
        metrics.register(store_calls);
        metrics
    }

    /// Adds all metrics to the registry.
    fn register(&self, store_calls: &Family<CallLabels, Counter>) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let counters = [
            (
                "answers",
                "Final answers by kind of route and outcome",
                &self.answers,
            ),
            (
                "failures",
                "Final answers of the system's own that are no success, by cause",
                &self.failures,
            ),
            (
                "attempts",
                "Attempts at targets that did not succeed, by their end",
                &self.attempts,
            ),
            (
                "prompt_tokens",
                "Prompt tokens of placed generations by source",
                &self.prompt_tokens,
            ),
            (
                "transfers",
                "Transfers between engines that were asked for",
                &self.transfers,
            ),
            ("orders", "Orders to engines by result", &self.orders),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let help = "Answers that broke off after they had begun";
        registry.register("cut_streams", help, self.cut_streams.clone());
        let help = "Time to the first byte of an answer";
        registry.register("first_byte_seconds", help, self.first_byte.clone());
        let help = "Time between the pieces of a stream";
        registry.register("pause_seconds", help, self.pauses.clone());
        let help = "Calls to the store by verb and result";
        registry.register("store_calls", help, store_calls.clone());
        let gauges = &self.gauges;
        let gauges_by_name = [
            ("configuration_version", "Version in force", &gauges.version),
            ("targets", "Targets that take new work", &gauges.targets),
            ("instances", "Instances known", &gauges.instances),
            ("requests", "Requests under way", &gauges.requests),
            ("connections", "Connections of callers", &gauges.connections),
            (
                "store_age_milliseconds",
                "Time since the store last answered a watch",
                &gauges.store_age,
            ),
            ("office", "Whether the office is held", &gauges.office),
        ];
        for (name, help, gauge) in gauges_by_name {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Adds a counter of another part of the program.
    pub fn add(&self, name: &str, help: &str, counter: Counter) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register(name, help, counter);
    }

    /// Counts a final answer, with its cause where it is a failure of the system's own.
    pub fn count_answer(
        &self,
        kind: &'static str,
        outcome: &'static str,
        cause: Option<&'static str>,
    ) {
        let labels = vec![("kind", kind), ("outcome", outcome)];
        self.answers.get_or_create(&labels).inc();
        if let Some(cause) = cause {
            self.failures.get_or_create(&vec![("cause", cause)]).inc();
        }
    }

    /// Counts the end of an attempt.
    pub fn count_failed_attempt(&self, ending: &'static str) {
        self.attempts.get_or_create(&vec![("ending", ending)]).inc();
    }

    /// Records the time to the first byte of an answer, in seconds.
    pub fn observe_first_byte(&self, kind: &'static str, seconds: f64) {
        let histogram = self.first_byte.get_or_create(&vec![("kind", kind)]);
        histogram.observe(seconds);
    }

    /// Counts the tokens and transfers of a placed generation with a prompt of some tokens.
    pub fn count_placement(&self, plan: &Plan, prompt: u32) {
        let tokens = |source| self.prompt_tokens.get_or_create(&vec![("source", source)]);
        tokens("computed").inc_by(u64::from(plan.uncached));
        tokens("kept").inc_by(u64::from(prompt.saturating_sub(plan.uncached)));
        for (what, engine) in [("prompt", &plan.prefill), ("shared", &plan.fetch)] {
            if engine.is_some() {
                self.transfers.get_or_create(&vec![("what", what)]).inc();
            }
        }
    }

    /// Counts an order to an engine.
    pub fn count_order(&self, result: &'static str) {
        self.orders.get_or_create(&vec![("result", result)]).inc();
    }

    /// Returns the metrics as text.
    #[must_use]
    pub fn text(&self, gateway: &Gateway) -> String {
        self.gauges.update(gateway);
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        match encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics can't be written: {error}\n"),
        }
    }
}

impl Gauges {
    /// Sets all gauges to what holds now.
    fn update(&self, gateway: &Gateway) {
        let now = gateway.now();
        let version = gateway.document().map_or(0, |document| document.version);
        self.version.set(version as i64);
        let fleet = gateway.fleet();
        self.targets.set(fleet.count(now) as i64);
        let heard = fleet.heard().unwrap_or(0);
        drop(fleet);
        self.store_age.set(now.saturating_sub(heard) as i64);
        self.instances.set(gateway.members().sharers() as i64);
        self.requests.set(gateway.requests() as i64);
        self.connections.set(gateway.connections() as i64);
        let held = gateway.office().is_held(crate::office::boot_millis());
        self.office.set(i64::from(held));
    }
}

/// Returns the word for a kind of route in metrics.
#[must_use]
pub fn route_kind(route: &Route) -> &'static str {
    match (route.stream, route.retry) {
        (true, RetryPolicy::Resume) => "resumable_stream",
        (true, _) => "stream",
        (false, RetryPolicy::Never) => "once",
        (false, _) => "repeatable",
    }
}
