//! The customers of a run, and the configuration with their keys.

use std::collections::BTreeMap;

use cactuslane_platform::Shape;
use cactuslane_platform_standin::{document, shape_document};
use serde_json::{Value, json};

/// Keys that callers state in turn, with their customers; the first one is in the first
/// configuration only.
pub const KEYS: [(&str, &str); 4] = [
    ("k-old", "acme"),
    ("k-1", "acme"),
    ("k-2", "bolt"),
    ("k-3", "bolt"),
];

/// Key of the probes, whose customer is not among those whose usage is checked.
pub const PROBE_KEY: &str = "k-probe";

/// Returns the configuration of a deployment, or the stand-in's, with customers, whose first key is
/// in version 1 only.
#[must_use]
pub fn keyed_document(version: u64, shape: Option<&Shape>) -> Value {
    let mut document = match shape {
        Some(shape) => shape_document(version, shape),
        None => document(version),
    };
    let mut customers: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (key, customer) in &KEYS[usize::from(version > 1)..] {
        customers.entry(customer).or_default().push(key);
    }
    customers.insert("probe", vec![PROBE_KEY]);
    let customer = |(name, keys)| json!({ "name": name, "api_keys": keys });
    document["tenants"] = customers.into_iter().map(customer).collect();
    document
}
