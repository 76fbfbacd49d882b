//! Customers' shares of the work that all instances together admit.

use std::collections::BTreeMap;

use cactuslane_route::share::CallerShares;
use cactuslane_types::{CustomerName, InstanceId, Millis, ServiceName};
use serde::{Deserialize, Serialize};

/// Largest number of customers that a report names.
pub const MAX_NAMED: usize = 16;
/// Time for which another instance's report counts after its arrival, in milliseconds.
const REPORT_LIFETIME: Millis = 3_000;
/// Time for which the sums over the reports are kept, in milliseconds.
const SUMS_LIFETIME: Millis = 250;

/// Work that an instance has recently admitted for customers of a service.
///
/// Work is decayed to the time of sending, in tokens or in milliseconds, as the service counts it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Service that the requests were for.
    pub service: ServiceName,
    /// Start of the sender's process in Unix milliseconds, and number of the report.
    pub version: (u64, u64),
    /// Customers with the most work, at most [`MAX_NAMED`], and their work.
    pub named: Vec<(CustomerName, u32)>,
    /// Number of the other customers, and their work together.
    pub rest: (u32, u32),
    /// Whether the sender sees too little room at the targets.
    pub is_pressed: bool,
}

/// Customers' shares of the admitted work, by this instance's requests and the reports of others.
#[derive(Clone, Debug, Default)]
pub struct CustomerShares {
    /// Work that this instance admitted.
    own: CallerShares,
    /// Last reports of the other instances, with their arrival times.
    reports: BTreeMap<InstanceId, (Millis, ShareReport)>,
    /// Sums over the reports that count.
    sums: Sums,
}

/// Sums over reports.
#[derive(Clone, Debug, Default)]
struct Sums {
    /// Time at which they were computed; `None` if a report has arrived since.
    computed: Option<Millis>,
    /// Work by customer.
    named: BTreeMap<CustomerName, f64>,
    /// Work of all customers, the unnamed ones included.
    work: f64,
    /// Largest number of customers that one report counts.
    customers: usize,
    /// Arrival time of the oldest report.
    oldest: Option<Millis>,
}

impl CustomerShares {
    /// Records admitted work of a customer.
    pub(super) fn admitted(&mut self, customer: &str, work: f64, now: Millis) {
        self.own.admitted(customer, work, 1.0, now);
    }

    /// Applies the report of another instance; returns false if it is a duplicate or older than the
    /// last one.
    pub fn apply(&mut self, instance: &str, mut report: ShareReport, now: Millis) -> bool {
        report.named.truncate(MAX_NAMED);
        let known = self.reports.get(instance);
        if known.is_some_and(|(_, known)| known.version >= report.version) {
            return false;
        }
        if known.is_none() {
            self.reports
                .retain(|_, (received, _)| now.saturating_sub(*received) <= REPORT_LIFETIME);
        }
        self.reports.insert(instance.to_owned(), (now, report));
        self.sums.computed = None;
        true
    }

    /// Returns whether another instance has reported lately that it sees too little room.
    pub(super) fn is_pressed(&self, now: Millis) -> bool {
        let mut reports = self.reports.values();
        reports.any(|(received, report)| {
            report.is_pressed && now.saturating_sub(*received) <= REPORT_LIFETIME
        })
    }

    /// Returns this instance's report; `None` if it has admitted no work of customers.
    pub(super) fn report(
        &self,
        service: &str,
        version: (u64, u64),
        is_pressed: bool,
        now: Millis,
    ) -> Option<ShareReport> {
        let mut work: Vec<(&str, u32)> = Vec::new();
        for (customer, decayed) in self.own.work(now) {
            if decayed >= 1.0 {
                work.push((customer, decayed as u32));
            }
        }
        if work.is_empty() {
            return None;
        }
        work.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        let (named, rest) = work.split_at(work.len().min(MAX_NAMED));
        let rest_work = rest
            .iter()
            .fold(0_u32, |sum, (_, work)| sum.saturating_add(*work));
        Some(ShareReport {
            service: service.to_owned(),
            version,
            named: named
                .iter()
                .map(|(customer, work)| ((*customer).to_owned(), *work))
                .collect(),
            rest: (rest.len() as u32, rest_work),
            is_pressed,
        })
    }

    /// Returns the ratio of a customer's share of the admitted work to its fair share, and the age of
    /// the oldest report that counted in milliseconds; the ratio is 1 if nobody competes with it.
    ///
    /// Reports older than 3 s do not count, so that an instance that is cut off goes by its own
    /// requests.
    pub fn over(&mut self, customer: &str, now: Millis) -> (f64, Option<Millis>) {
        self.update_sums(now);
        let sums = &self.sums;
        let age = sums.oldest.map(|oldest| now.saturating_sub(oldest));
        let mut work = sums.work;
        let mut customers = sums.named.len();
        let mut own = sums.named.get(customer).copied().unwrap_or_default();
        for (name, decayed) in self.own.work(now) {
            if decayed < 1.0 {
                continue;
            }
            work += decayed;
            customers += usize::from(!sums.named.contains_key(name));
            if name == customer {
                own += decayed;
            }
        }
        let customers = customers.max(sums.customers);
        if work <= 0.0 || customers <= 1 {
            return (1.0, age);
        }
        (own / work * customers as f64, age)
    }

    /// Computes the sums again if they are old, without the reports that no longer count.
    fn update_sums(&mut self, now: Millis) {
        let computed = self.sums.computed;
        if computed.is_some_and(|at| now.saturating_sub(at) < SUMS_LIFETIME) {
            return;
        }
        self.reports
            .retain(|_, (received, _)| now.saturating_sub(*received) <= REPORT_LIFETIME);
        let mut sums = Sums {
            computed: Some(now),
            ..Sums::default()
        };
        for (received, report) in self.reports.values() {
            for (customer, work) in &report.named {
                let sum = sums.named.entry(customer.clone()).or_default();
                *sum += f64::from(*work);
                sums.work += f64::from(*work);
            }
            let (count, work) = report.rest;
            sums.work += f64::from(work);
            sums.customers = sums.customers.max(report.named.len() + count as usize);
            sums.oldest = Some(sums.oldest.map_or(*received, |at| at.min(*received)));
        }
        self.sums = sums;
    }
}
