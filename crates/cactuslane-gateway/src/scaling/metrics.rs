//! Metrics of the numbers of targets.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;

use cactuslane_scaling::{Kind, Order, OrderAnswer};
use cactuslane_types::DomainName;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::metrics::Metrics;

/// Names and values of labels.
type Labels = Vec<(&'static str, String)>;

/// Numbers that were decided on, and orders by result.
#[derive(Debug)]
pub struct ScalingMetrics {
    /// Number of targets that are to be there, by service, failure domain and kind.
    desired: Family<Labels, Gauge<i64>>,
    /// Orders by kind and result.
    orders: Family<Labels, Counter<u64, AtomicU64>>,
}

impl ScalingMetrics {
    /// Creates the metrics and adds them to those of the instance.
    pub fn open(metrics: &Metrics) -> Self {
        let scaling = Self {
            desired: Family::default(),
            orders: Family::default(),
        };
        let help = "Targets that are to be there, at the instance that orders them";
        metrics.add("scaling_desired", help, scaling.desired.clone());
        let help = "Orders of numbers of targets by result";
        metrics.add("scaling_orders", help, scaling.orders.clone());
        scaling
    }

    /// Sets the numbers that are to be there of a service.
    pub fn set_desired(&self, service: &str, desired: &BTreeMap<(DomainName, Kind), u32>) {
        for ((domain, kind), count) in desired {
            let labels = vec![
                ("service", service.to_owned()),
                ("domain", domain.clone()),
                ("kind", kind.as_str().to_owned()),
            ];
            self.desired.get_or_create(&labels).set(i64::from(*count));
        }
    }

    /// Counts an order by its answer.
    pub fn count_order(&self, order: &Order, answer: OrderAnswer) {
        let labels = vec![
            ("kind", order.kind.as_str().to_owned()),
            ("result", result_label(answer).to_owned()),
        ];
        self.orders.get_or_create(&labels).inc();
    }

    /// Removes the numbers once this instance no longer orders any.
    pub fn clear(&self) {
        self.desired.clear();
    }
}

/// Returns the label of an answer.
fn result_label(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::Unavailable => "unavailable",
        OrderAnswer::Rejected => "rejected",
        OrderAnswer::Limited => "limited",
        OrderAnswer::Unknown => "unknown",
        OrderAnswer::Unsent => "unsent",
    }
}
