//! Counters of what the instance did.

use std::sync::Mutex;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Smallest bucket of times, in seconds.
const FIRST_BUCKET: f64 = 0.002;
/// Number of buckets of times; each is twice as large as the one before.
const BUCKETS: u16 = 13;

/// Labels of a counter of outcomes.
type Labels = Vec<(&'static str, &'static str)>;

/// The counters of an instance.
#[derive(Debug)]
pub struct Metrics {
    /// The final answers by outcome.
    pub answers: Family<Labels, Counter>,
    /// The ends of attempts at targets.
    pub attempts: Family<Labels, Counter>,
    /// The times to the first byte of an answer, in seconds.
    pub first_byte: Histogram,
    /// All of them, for the text form.
    registry: Mutex<Registry>,
}

impl Default for Metrics {
    fn default() -> Self {
        let answers = Family::default();
        let attempts = Family::default();
        let first_byte = Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let mut registry = Registry::with_prefix("cactuslane");
        registry.register("answers", "Final answers by outcome", answers.clone());
        registry.register("attempts", "Ends of attempts at targets", attempts.clone());
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of an answer",
            first_byte.clone(),
        );
        Self {
            answers,
            attempts,
            first_byte,
            registry: Mutex::new(registry),
        }
    }
}

impl Metrics {
    /// Counts a final answer.
    pub fn answered(&self, outcome: &'static str) {
        self.answers
            .get_or_create(&vec![("outcome", outcome)])
            .inc();
    }

    /// Counts the end of an attempt.
    pub fn attempted(&self, ending: &'static str) {
        self.attempts.get_or_create(&vec![("ending", ending)]).inc();
    }

    /// Returns the metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock();
        let registry = registry.unwrap_or_else(std::sync::PoisonError::into_inner);
        match encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics can't be written: {error}\n"),
        }
    }
}
