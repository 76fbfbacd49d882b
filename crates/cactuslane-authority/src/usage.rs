//! Counts of the requests that began to run, by window of time and customer, of all instances.
//!
//! Each process counts its own requests and sends its counts to others. Counts are cumulative, and of
//! two counts of one process, window and customer the larger one holds, so that updates may arrive
//! twice, late or in another order. A process that starts again counts beside its predecessor.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cactuslane_types::{CustomerName, InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Number of a window, from 0 at the Unix epoch on.
pub type Window = u64;
/// Process of an instance: its name, and its start in Unix milliseconds.
pub type ProcessId = (InstanceId, u64);

/// Number of windows before the current one whose counts are kept and sent.
const KEPT_WINDOWS: u64 = 5;
/// Number of windows after the current one whose counts are taken, as clocks differ.
const EARLY_WINDOWS: u64 = 2;
/// Largest number of processes whose counts are kept for one window.
const MAX_PROCESSES: usize = 2_000;
/// Largest number of customers whose counts are kept for one process and window.
const MAX_CUSTOMERS: usize = 2_000;
/// Size up to which counts are added to an update, in bytes; one more may follow.
const MAX_UPDATE_BYTES: usize = 8 << 10;
/// Largest encoded size of a count without the customer's name, in bytes.
const COUNT_BYTES: usize = 8;

/// Counts of one process by customer.
type Counts = BTreeMap<CustomerName, u32>;

/// Cumulative counts of one process, and the time of day at its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// Instance that sends the update.
    pub sender: InstanceId,
    /// Time of day by the sender's own clock, in Unix milliseconds.
    pub unix_time: Millis,
    /// Process whose counts these are.
    pub process: ProcessId,
    /// Numbers of requests that began, by window and customer; empty if only the time is told.
    pub windows: Vec<(Window, Vec<(CustomerName, u32)>)>,
}

/// Counts of an update, by window.
pub type WindowCounts = Vec<(Window, Vec<(CustomerName, u32)>)>;

/// The counts of all processes, as far as this one knows them.
#[derive(Clone, Debug)]
pub struct UsageBook {
    /// This process.
    own: ProcessId,
    /// Length of a window, in milliseconds; `None` if nothing is counted.
    length: Option<Millis>,
    /// Counts by window and process, this one included.
    counts: BTreeMap<Window, BTreeMap<ProcessId, Counts>>,
    /// Customers whose own counts have changed since the last update, by window.
    changed: BTreeMap<Window, BTreeSet<CustomerName>>,
}

impl UsageBook {
    /// Creates the book of a process; it counts nothing until it is given the length of a window.
    #[must_use]
    pub fn new(own: ProcessId) -> Self {
        Self {
            own,
            length: None,
            counts: BTreeMap::new(),
            changed: BTreeMap::new(),
        }
    }

    /// Sets the length of a window, and returns whether it was another one before; counts of windows
    /// of that length are discarded.
    pub fn set_length(&mut self, length: Option<Duration>) -> bool {
        let length = length.map(|length| length.as_millis() as Millis);
        let length = length.filter(|length| *length > 0);
        let has_changed = length != self.length;
        if has_changed {
            self.counts.clear();
            self.changed.clear();
            self.length = length;
        }
        has_changed
    }

    /// Returns the window of a time of day in Unix milliseconds; 0 if nothing is counted.
    #[must_use]
    pub fn window_of(&self, unix_ms: Millis) -> Window {
        self.length.map_or(0, |length| unix_ms / length)
    }

    /// Counts a request of a customer that began to run at a time of day.
    pub fn record(&mut self, customer: &str, unix_ms: Millis) {
        if self.length.is_none() {
            return;
        }
        let window = self.window_of(unix_ms);
        let processes = self.counts.entry(window).or_default();
        let counts = processes.entry(self.own.clone()).or_default();
        *counts.entry(customer.to_owned()).or_default() += 1;
        let changed = self.changed.entry(window).or_default();
        changed.insert(customer.to_owned());
    }

    /// Applies counts of another process, or of this one as another process returns them.
    ///
    /// Windows that are over for long or far ahead of `unix_ms` are skipped, and so are processes
    /// and customers beyond a number that no deployment has.
    pub fn apply(&mut self, process: &ProcessId, windows: &WindowCounts, unix_ms: Millis) {
        if self.length.is_none() || *process == self.own {
            return;
        }
        let current = self.window_of(unix_ms);
        for (window, update) in windows {
            let oldest = current.saturating_sub(KEPT_WINDOWS);
            if *window < oldest || *window > current.saturating_add(EARLY_WINDOWS) {
                continue;
            }
            let processes = self.counts.entry(*window).or_default();
            if processes.len() >= MAX_PROCESSES && !processes.contains_key(process) {
                continue;
            }
            let counts = processes.entry(process.clone()).or_default();
            for (customer, count) in update {
                if counts.len() >= MAX_CUSTOMERS && !counts.contains_key(customer) {
                    continue;
                }
                let known = counts.entry(customer.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
    }

    /// Returns the own counts that have changed since the last call, in parts that fit a message.
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<WindowCounts> {
        let mut parts = Parts::default();
        for (window, customers) in std::mem::take(&mut self.changed) {
            let processes = self.counts.get(&window);
            let Some(counts) = processes.and_then(|processes| processes.get(&self.own)) else {
                continue;
            };
            for customer in customers {
                let count = counts.get(&customer).copied().unwrap_or_default();
                parts.add(window, customer, count);
            }
        }
        parts.done
    }

    /// Returns all counts of a process from a window on, in parts that fit a message.
    #[must_use]
    pub fn counts_of(&self, process: &ProcessId, from: Window) -> Vec<WindowCounts> {
        let mut parts = Parts::default();
        for (window, processes) in self.counts.range(from..) {
            for (customer, count) in processes.get(process).into_iter().flatten() {
                parts.add(*window, customer.clone(), *count);
            }
        }
        parts.done
    }

    /// Returns this process.
    #[must_use]
    pub fn own(&self) -> &ProcessId {
        &self.own
    }

    /// Returns the processes whose counts are kept.
    #[must_use]
    pub fn processes(&self) -> BTreeSet<ProcessId> {
        let processes = self.counts.values().flat_map(BTreeMap::keys);
        processes.cloned().collect()
    }

    /// Returns the number of requests of all customers that this process counted in a window.
    #[must_use]
    pub fn own_total(&self, window: Window) -> u64 {
        let processes = self.counts.get(&window);
        let counts = processes.and_then(|processes| processes.get(&self.own));
        let counts = counts.into_iter().flat_map(BTreeMap::values);
        counts.map(|count| u64::from(*count)).sum()
    }

    /// Returns the number of requests of each customer that began in a window, over all processes.
    #[must_use]
    pub fn report(&self, window: Window) -> BTreeMap<CustomerName, u64> {
        let mut sums = BTreeMap::new();
        let processes = self.counts.get(&window).into_iter().flatten();
        for (customer, count) in processes.flat_map(|(_, counts)| counts) {
            *sums.entry(customer.clone()).or_default() += u64::from(*count);
        }
        sums
    }

    /// Returns [`UsageBook::report`] at a time of day; `None` if nothing is counted or the counts of
    /// the window are not kept any more.
    #[must_use]
    pub fn kept_report(
        &self,
        window: Window,
        unix_ms: Millis,
    ) -> Option<BTreeMap<CustomerName, u64>> {
        let oldest = self.window_of(unix_ms).saturating_sub(KEPT_WINDOWS);
        (self.length.is_some() && window >= oldest).then(|| self.report(window))
    }

    /// Discards the counts of windows that are over for long at a time of day.
    pub fn sweep(&mut self, unix_ms: Millis) {
        let oldest = self.window_of(unix_ms).saturating_sub(KEPT_WINDOWS);
        self.counts.retain(|window, _| *window >= oldest);
        self.changed.retain(|window, _| *window >= oldest);
    }
}

/// Counts that are divided into parts that fit a message.
#[derive(Debug, Default)]
struct Parts {
    /// The parts, of which the last one takes more counts.
    done: Vec<WindowCounts>,
    /// Size of the last part, in bytes.
    bytes: usize,
}

impl Parts {
    /// Adds a count to the last part, or to a new one if that is full.
    fn add(&mut self, window: Window, customer: CustomerName, count: u32) {
        if self.done.is_empty() || self.bytes >= MAX_UPDATE_BYTES {
            self.done.push(Vec::new());
            self.bytes = 0;
        }
        self.bytes += customer.len() + COUNT_BYTES;
        let Some(part) = self.done.last_mut() else {
            return;
        };
        match part.last_mut() {
            Some((last, counts)) if *last == window => counts.push((customer, count)),
            _ => part.push((window, vec![(customer, count)])),
        }
    }
}

/// Estimates of when requests began to run, from the times of their answers.
///
/// A request may wait at its target before it runs, so that its run is taken to have lasted as long
/// as the shortest exchange with a target of the same service.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    /// Shortest time between sending and answer, in milliseconds, by service; it grows slowly, so
    /// that it follows a service that gets slower.
    shortest: BTreeMap<String, f64>,
}

/// Factor by which the shortest time grows with each answer.
const SHORTEST_GROWTH: f64 = 1.02;

impl RunTimes {
    /// Returns the time before its answer at which a request began to run, in milliseconds, after an
    /// exchange of `elapsed` milliseconds with a target of a service.
    pub fn observe(&mut self, service: &str, elapsed: f64) -> f64 {
        let Some(shortest) = self.shortest.get_mut(service) else {
            self.shortest.insert(service.to_owned(), elapsed);
            return elapsed;
        };
        *shortest = elapsed.min(*shortest * SHORTEST_GROWTH);
        *shortest
    }
}
