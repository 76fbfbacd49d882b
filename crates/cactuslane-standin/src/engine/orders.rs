//! Orders that change an engine's role, models, adapters or version.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::{CRASH_TIME, State};
use crate::faults::FaultKind;
use crate::http::{self, Answer};

/// State of an engine that orders change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderState {
    /// The role: `mixed` at the start, else as the last order set it, such as `prefill`.
    pub role: String,
    /// The names of the loaded models.
    pub models: BTreeSet<String>,
    /// The names of the loaded adapters.
    pub adapters: BTreeSet<String>,
    /// The running version; `1` at the start.
    pub version: String,
    /// The highest fencing token seen in an order; 0 before the first.
    pub fencing: u64,
    /// The number of the order that a crash interrupted; 0 once an order takes effect.
    pub half_done: u64,
    /// Every order that took effect, the oldest first.
    pub history: Vec<OrderRecord>,
}

/// Record of an order that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// The order's number, by which a repeated order is recognised.
    pub order: u64,
    /// The fencing token in the order.
    pub fencing: u64,
    /// The order's kind, such as `set-role`.
    pub kind: String,
    /// The role, version, model or adapter in the order.
    pub value: String,
    /// The number of streams in progress when it took effect.
    pub streams: usize,
}

impl OrderState {
    /// Creates the state of an engine with one loaded model.
    pub(super) fn new(model: &str) -> Self {
        Self {
            role: "mixed".to_owned(),
            models: BTreeSet::from([model.to_owned()]),
            adapters: BTreeSet::new(),
            version: "1".to_owned(),
            fencing: 0,
            half_done: 0,
            history: Vec::new(),
        }
    }

    /// Applies an order; returns false if its kind is unknown.
    fn apply(&mut self, kind: &str, value: &str) -> bool {
        let value = value.to_owned();
        match kind {
            "set-role" => self.role = value,
            "set-version" => self.version = value,
            "load-model" => drop(self.models.insert(value)),
            "unload-model" => drop(self.models.remove(&value)),
            "load-adapter" => drop(self.adapters.insert(value)),
            "unload-adapter" => drop(self.adapters.remove(&value)),
            _ => return false,
        }
        true
    }
}

/// Executes one order.
///
/// An order that has taken effect before is confirmed without being applied again.
///
/// # Errors
///
/// Returns the error that closes the connection for a crash, which leaves the order half done,
/// or for a lost answer, after which the order has taken effect.
pub(super) fn execute(state: &Arc<State>, body: &Value, fault: Option<FaultKind>) -> Answer {
    let mut inner = state.lock();
    let order = body["order"].as_u64().unwrap_or_default();
    let fencing = body["fencing"].as_u64().unwrap_or_default();
    let kind = body["kind"].as_str().unwrap_or_default();
    let value = body["value"].as_str().unwrap_or_default();
    if state.spec.checks_fencing && fencing < inner.orders.fencing {
        let newest = inner.orders.fencing;
        return Ok(http::json(
            409,
            &json!({ "error": "old fencing number", "newest": newest }),
        ));
    }
    inner.orders.fencing = inner.orders.fencing.max(fencing);
    if inner.orders.history.iter().any(|done| done.order == order) {
        return Ok(http::json(
            200,
            &json!({ "order": order, "repeated": true }),
        ));
    }
    let streams = inner.outputs.len();
    if fault == Some(FaultKind::Crash) {
        inner.orders.half_done = order;
        inner.crash(CRASH_TIME);
        return Err(http::closed());
    }
    if !inner.orders.apply(kind, value) {
        return Ok(http::json(
            400,
            &json!({ "error": "unknown kind of order" }),
        ));
    }
    inner.orders.half_done = 0;
    inner.orders.history.push(OrderRecord {
        order,
        fencing,
        kind: kind.to_owned(),
        value: value.to_owned(),
        streams,
    });
    if kind == "set-role" || kind == "set-version" {
        // The engine restarts its batch, which cuts the streams in progress.
        inner.crash(state.spec.change_time.div_f64(state.spec.pace));
    }
    if fault == Some(FaultKind::Lost) {
        return Err(http::closed());
    }
    Ok(http::json(200, &json!({ "order": order })))
}

/// Returns the state that orders change, as JSON.
pub(super) fn report(state: &State) -> Value {
    let inner = state.lock();
    let orders = &inner.orders;
    let last = orders.history.last().map_or(0, |record| record.order);
    let away = inner.away_until.is_some_and(|until| until > Instant::now());
    json!({
        "role": orders.role,
        "models": orders.models,
        "adapters": orders.adapters,
        "version": orders.version,
        "fencing": orders.fencing,
        "last_order": last,
        "half_done": orders.half_done,
        "streams": inner.outputs.len(),
        "away": away,
    })
}
