//! Metrics of an instance: counters, gauges and histograms.

mod read;

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use cactuslane_flight::routing_config::{RetryPolicy, Route};
use cactuslane_place::placer::Plan;
use cactuslane_store::kv::CallLabels;
use cactuslane_types::CustomerName;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

use crate::duties::Duties;

/// Upper bound of the smallest bucket of times, in seconds.
const MIN_BUCKET: f64 = 0.002;
/// Number of buckets of times; each upper bound is twice the previous one.
const BUCKET_COUNT: u16 = 13;
/// Largest number of customers with labels of their own.
const MAX_CUSTOMERS: usize = 300;
/// Label of all other customers.
const OTHER_CUSTOMERS: &str = "(other)";

/// Names and values of labels; the values are constants of this program, so that there are few.
pub type Labels = Vec<(&'static str, &'static str)>;

/// Metrics of an instance, with the registry that encodes them.
#[derive(Debug)]
pub struct Metrics {
    /// Final answers by kind of route and outcome.
    answers: Family<Labels, Counter>,
    /// Unsuccessful final answers that the gateway generated itself, by cause.
    failures: Family<Labels, Counter>,
    /// Failed attempts at targets, by kind of failure.
    attempts: Family<Labels, Counter>,
    /// Answers that were aborted after they had begun.
    pub cut_streams: Counter,
    /// Requests for permits for targets that have a limit, by result.
    permits: Family<Labels, Counter>,
    /// Requests passed on to other instances, by result.
    passed: Family<Labels, Counter>,
    /// Ends of answers without a length, by whether a call confirmed them.
    unframed_ends: Family<Labels, Counter>,
    /// Messages of other instances that could not be read, by reason.
    unread: Family<Labels, Counter>,
    /// Prompt parts on which targets crash, by what happened to them or to a request with one.
    held_parts: Family<Labels, Counter>,
    /// Times from the arrival of a request until its answer can be forwarded, in seconds, by kind
    /// of route.
    first_byte: Family<Labels, Histogram>,
    /// Times between the chunks of a stream as they are read from a target, in seconds, with waits
    /// for a slow caller; the first one is counted from the start of forwarding, after the head.
    pub pauses: Histogram,
    /// Prompt tokens of placed generations, by whether they are computed or cached.
    prompt_tokens: Family<Labels, Counter>,
    /// KV cache transfers between engines that were planned, by what is transferred.
    transfers: Family<Labels, Counter>,
    /// Orders to engines by result.
    orders: Family<Labels, Counter>,
    /// Requests that began to run, by customer.
    runs: Family<Vec<(&'static str, String)>, Counter>,
    /// Customers that have a label of their own.
    customers: Mutex<BTreeSet<CustomerName>>,
    /// Gauges, which are set when the metrics are read.
    gauges: Gauges,
    /// All metrics by name, for encoding.
    registry: Mutex<Registry>,
}

/// Gauges of the instance's state at the time the metrics are read.
#[derive(Debug, Default)]
struct Gauges {
    /// Version of the configuration in force; 0 if there is none.
    version: Gauge,
    /// Number of targets that accept new requests.
    targets: Gauge,
    /// Number of targets that have named a limit.
    limited: Gauge,
    /// Number of known instances, this one included.
    instances: Gauge,
    /// Number of requests in progress.
    requests: Gauge,
    /// Number of open connections of callers.
    connections: Gauge,
    /// Time since the store last answered or a relay of its changes by another instance was last
    /// applied, in milliseconds; before that, the time since the start of the instance's clock.
    store_age: Gauge,
    /// Time since all that the store had acknowledged of targets and instances was known, in
    /// milliseconds.
    entries_age: Gauge,
    /// Time since all that the store had acknowledged of the configuration was known, in
    /// milliseconds.
    document_age: Gauge,
    /// Number of accepted connections by door.
    doors: Family<Labels, Gauge>,
    /// Number of bytes that are held for callers, by kind.
    held: Family<Labels, Gauge>,
    /// 1 if this instance is cut off from all targets, and 0 otherwise.
    cut: Gauge,
    /// 1 if this instance is the leader, which gives orders to engines, and 0 otherwise.
    office: Gauge,
    /// Fencing token of the leadership, which calls to the platform carry; 0 if it is not held.
    token: Gauge,
    /// Number of processes whose counts of customers' requests are kept.
    usage_processes: Gauge,
}

impl Metrics {
    /// Creates the metrics; `store_calls` counts the store client's calls and is registered too.
    #[must_use]
    pub fn new(store_calls: &Family<CallLabels, Counter>) -> Self {
        let histogram = || Histogram::new(exponential_buckets(MIN_BUCKET, 2.0, BUCKET_COUNT));
        let metrics = Self {
            answers: Family::default(),
            failures: Family::default(),
            attempts: Family::default(),
            cut_streams: Counter::default(),
            permits: Family::default(),
            passed: Family::default(),
            unframed_ends: Family::default(),
            unread: Family::default(),
            held_parts: Family::default(),
            first_byte: Family::new_with_constructor(histogram as fn() -> Histogram),
            pauses: histogram(),
            prompt_tokens: Family::default(),
            transfers: Family::default(),
            orders: Family::default(),
            runs: Family::default(),
            customers: Mutex::default(),
            gauges: Gauges::default(),
            registry: Mutex::new(Registry::with_prefix("cactuslane")),
        };
        metrics.register(store_calls);
        metrics
    }

    /// Adds all metrics to the registry, with their names and help texts.
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
            (
                "passed_requests",
                "Requests passed on to other instances, by result",
                &self.passed,
            ),
            (
                "unframed_ends",
                "Ends of answers without a length, by whether they were confirmed",
                &self.unframed_ends,
            ),
            (
                "unread_messages",
                "Messages of other instances that could not be read, by reason",
                &self.unread,
            ),
            (
                "permits",
                "Requests for permits for targets with a limit, by result",
                &self.permits,
            ),
            (
                "held_parts",
                "Prompt parts on which targets crash, and requests with them, by event",
                &self.held_parts,
            ),
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
        let help = "Requests that began to run at targets, by customer";
        registry.register("customer_runs", help, self.runs.clone());
        let help = "Calls to the store by verb and result";
        registry.register("store_calls", help, store_calls.clone());
        self.gauges.register(&mut registry);
    }

    /// Adds a metric that another part of the program updates.
    pub fn add(&self, name: &str, help: &str, metric: impl Metric) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register(name, help, metric);
    }

    /// Adds the metrics of the calls to the platform.
    pub fn add_duties(&self, duties: &Duties) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let help = "Calls to the platform that one instance at a time makes, by duty and result";
        registry.register("duty_calls", help, duties.calls.clone());
        let help = "Windows of usage by the result of their reports, as the holder saw it";
        registry.register("usage_windows", help, duties.windows.clone());
    }

    /// Adds the counters of refusals and closed connections, which the record of what is held
    /// increments.
    pub fn add_refused(&self, refused: Family<Labels, Counter>) {
        let help = "Refusals and closed connections by limits on what callers hold, by reason";
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register("held_refused", help, refused);
    }

    /// Adds the counters of waits and refusals while the targets have too little room.
    pub fn add_admissions(&self, counts: Family<Labels, Counter>) {
        let help = "Requests that waited or were refused for lack of room, by result";
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register("admissions", help, counts);
    }

    /// Counts a final answer, with its cause if it is an error that the gateway generated itself.
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

    /// Counts a failed attempt at a target by its kind of failure.
    pub fn count_failed_attempt(&self, ending: &'static str) {
        self.attempts.get_or_create(&vec![("ending", ending)]).inc();
    }

    /// Records the time from a request's arrival until its answer can be forwarded, in seconds.
    pub fn observe_first_byte(&self, kind: &'static str, seconds: f64) {
        let histogram = self.first_byte.get_or_create(&vec![("kind", kind)]);
        histogram.observe(seconds);
    }

    /// Counts the prompt tokens and planned transfers of a placed generation; `prompt` is the
    /// prompt's length in tokens.
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

    /// Counts an order to an engine by its result.
    pub fn count_order(&self, result: &'static str) {
        self.orders.get_or_create(&vec![("result", result)]).inc();
    }

    /// Counts a request for a permit by its result.
    pub fn count_permit(&self, result: &'static str) {
        self.permits.get_or_create(&vec![("result", result)]).inc();
    }

    /// Counts a message of another instance that could not be read.
    pub fn count_unread(&self, reason: &'static str) {
        self.unread.get_or_create(&vec![("reason", reason)]).inc();
    }

    /// Counts a request that was passed on to another instance, by its result there.
    pub fn count_passed(&self, result: &'static str) {
        self.passed.get_or_create(&vec![("result", result)]).inc();
    }

    /// Counts the end of an answer without a length.
    pub fn count_end(&self, is_confirmed: bool) {
        let result = if is_confirmed {
            "confirmed"
        } else {
            "unconfirmed"
        };
        let labels = vec![("result", result)];
        self.unframed_ends.get_or_create(&labels).inc();
    }

    /// Counts a request of a customer that began to run; customers beyond the first
    /// [`MAX_CUSTOMERS`] share a label.
    pub fn count_run(&self, customer: &str) {
        let mut customers = self
            .customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !customers.contains(customer) && customers.len() < MAX_CUSTOMERS {
            customers.insert(customer.to_owned());
        }
        let label = if customers.contains(customer) {
            customer
        } else {
            OTHER_CUSTOMERS
        };
        drop(customers);
        let labels = vec![("customer", label_text(label))];
        self.runs.get_or_create(&labels).inc();
    }

    /// Counts an event of a prompt part on which targets crash.
    pub fn count_held(&self, event: &'static str) {
        self.held_parts.get_or_create(&vec![("event", event)]).inc();
    }
}

impl Gauges {
    /// Adds the gauges to a registry, with their names and help texts.
    fn register(&self, registry: &mut Registry) {
        let gauges_by_name = [
            ("configuration_version", "Version in force", &self.version),
            ("targets", "Targets that take new work", &self.targets),
            ("limited_targets", "Targets with a limit", &self.limited),
            ("instances", "Instances known", &self.instances),
            ("requests", "Requests under way", &self.requests),
            ("connections", "Connections of callers", &self.connections),
            (
                "store_age_milliseconds",
                "Time since the store last answered a watch",
                &self.store_age,
            ),
            (
                "entries_age_milliseconds",
                "Time since all acknowledged changes of targets and instances were known",
                &self.entries_age,
            ),
            (
                "document_age_milliseconds",
                "Time since all acknowledged changes of the configuration were known",
                &self.document_age,
            ),
            (
                "cut_off",
                "Whether the instance is cut off from all targets",
                &self.cut,
            ),
            ("office", "Whether the office is held", &self.office),
            (
                "duty_token",
                "Fencing token of the office, 0 if it is not held",
                &self.token,
            ),
            (
                "usage_processes",
                "Processes whose counts of customers' requests are kept",
                &self.usage_processes,
            ),
        ];
        let help = "Accepted connections by door";
        registry.register("door_connections", help, self.doors.clone());
        let help = "Bytes of bodies and answers that are held for callers";
        registry.register("held_bytes", help, self.held.clone());
        for (name, help, gauge) in gauges_by_name {
            registry.register(name, help, gauge.clone());
        }
    }
}

/// Returns a name as the value of a label, which the encoder writes as it is.
fn label_text(name: &str) -> String {
    let name = name.replace(char::is_control, " ");
    name.replace('\\', "\\\\").replace('"', "\\\"")
}

/// Returns the metric label for a kind of route, by its answers and its retry policy.
#[must_use]
pub fn route_kind(route: &Route) -> &'static str {
    match (route.stream, route.retry) {
        (true, RetryPolicy::Resume) => "resumable_stream",
        (true, _) => "stream",
        (false, RetryPolicy::Never) => "once",
        (false, _) => "repeatable",
    }
}
