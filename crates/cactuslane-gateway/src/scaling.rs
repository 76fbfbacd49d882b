//! Orders of numbers of targets, which the leader sends to the platform.

mod inputs;
mod metrics;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_scaling::{Kind, Order, OrderAnswer, Plan, Scaler};
use cactuslane_types::{DomainName, FencingToken, ServiceName};
use log::info;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::duties::{Duties, DutyAnswer, DutyCall};
use crate::state::Gateway;

use inputs::{ServiceInputs, read_services};
use metrics::ScalingMetrics;

/// Interval at which the demand is read and orders are decided on.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number of times that an order is tried to be sent, as the rate of calls may not permit it at once.
const SEND_ATTEMPTS: u32 = 8;
/// Time between these attempts.
const SEND_PAUSE: Duration = Duration::from_millis(250);

/// The answer to an order, as the task that sent it returns it.
#[derive(Debug)]
struct Answered {
    /// Fencing token under which the order was decided on.
    token: FencingToken,
    /// Service of the targets.
    service: ServiceName,
    /// The order.
    order: Order,
    /// Its answer.
    answer: OrderAnswer,
}

/// The decisions of one term, with what carries them out.
#[derive(Debug)]
struct Driver {
    /// Calls to the platform.
    duties: Arc<Duties>,
    /// Metrics of the decisions.
    metrics: ScalingMetrics,
    /// Fencing token of the term that the record belongs to.
    token: Option<FencingToken>,
    /// Record of demand and orders by service, discarded at the end of the term.
    scalers: BTreeMap<ServiceName, Scaler>,
    /// Sender of answers, for the tasks that send orders.
    sender: mpsc::UnboundedSender<Answered>,
    /// Answers that have arrived.
    answers: mpsc::UnboundedReceiver<Answered>,
}

/// Orders numbers of targets while this instance leads, until it is leaving.
pub async fn run(gateway: Arc<Gateway>) {
    let mut driver = Driver::open(
        gateway.duties.clone(),
        ScalingMetrics::open(&gateway.metrics),
    );
    while !gateway.is_leaving() {
        sleep(INTERVAL).await;
        let token = gateway.leadership().token();
        driver.begin_term(token);
        let settings = gateway.duties.settings();
        if token.is_none() || !settings.is_some_and(|settings| settings.scale) {
            continue;
        }
        // Entries that lapsed while the store was away come back within a few seconds, and an
        // instance that reaches no target knows little of the demand.
        let now = gateway.now();
        let unknown = gateway.fleet().store_failed_recently(now) || gateway.pool.reach().is_cut();
        for (service, inputs) in read_services(&gateway, now) {
            driver.step(&service, &inputs, !unknown, now);
        }
    }
}

impl Driver {
    /// Creates a driver that has no term.
    fn open(duties: Arc<Duties>, metrics: ScalingMetrics) -> Self {
        let (sender, answers) = mpsc::unbounded_channel();
        Self {
            duties,
            metrics,
            token: None,
            scalers: BTreeMap::new(),
            sender,
            answers,
        }
    }

    /// Discards the record if the term has changed or ended.
    fn begin_term(&mut self, token: Option<FencingToken>) {
        if self.token != token {
            self.token = token;
            self.scalers.clear();
            self.metrics.clear();
        }
    }

    /// Records the demand of a service and, if `may_order` and the platform may be called, sends the
    /// orders that follow.
    fn step(&mut self, service: &ServiceName, inputs: &ServiceInputs, may_order: bool, now: u64) {
        self.take_answers(now);
        let scaler = self.scalers.entry(service.clone()).or_default();
        scaler.observe(&inputs.observed, &inputs.spec, now);
        let Some(token) = self.duties.token().filter(|_| may_order) else {
            return;
        };
        let plan = scaler.plan(&inputs.spec, &inputs.capacity, &inputs.status, now);
        self.metrics.set_desired(service, &plan.desired);
        let mut by_domain: BTreeMap<DomainName, Vec<Order>> = BTreeMap::new();
        for order in &plan.orders {
            log_order(service, order, &plan, inputs);
            let orders = by_domain.entry(order.domain.clone()).or_default();
            orders.push(order.clone());
        }
        for orders in by_domain.into_values() {
            let (duties, sender) = (self.duties.clone(), self.sender.clone());
            tokio::spawn(send_orders(duties, token, service.clone(), orders, sender));
        }
    }

    /// Applies the answers that have arrived to the orders of this term.
    fn take_answers(&mut self, now: u64) {
        while let Ok(answered) = self.answers.try_recv() {
            self.metrics.count_order(&answered.order, answered.answer);
            if self.token != Some(answered.token) {
                continue;
            }
            if let Some(scaler) = self.scalers.get_mut(&answered.service) {
                scaler.answered(&answered.order, answered.answer, now);
            }
        }
    }
}

/// Sends the orders for one failure domain one after the other.
async fn send_orders(
    duties: Arc<Duties>,
    token: FencingToken,
    service: ServiceName,
    orders: Vec<Order>,
    sender: mpsc::UnboundedSender<Answered>,
) {
    for order in orders {
        let call = DutyCall::Scale {
            service: service.clone(),
            domain: order.domain.clone(),
            count: order.count,
            reclaimable: order.kind == Kind::Reclaimable,
        };
        let mut answer = OrderAnswer::Unsent;
        for _ in 0..SEND_ATTEMPTS {
            // A later term of this instance decides anew.
            if duties.token() != Some(token) {
                break;
            }
            answer = order_answer(&duties.call(&call).await);
            if answer != OrderAnswer::Unsent {
                break;
            }
            sleep(SEND_PAUSE).await;
        }
        let service = service.clone();
        let answered = Answered {
            token,
            service,
            order,
            answer,
        };
        if sender.send(answered).is_err() {
            return;
        }
    }
}

/// Returns the answer to an order as the decision takes it.
fn order_answer(answer: &DutyAnswer) -> OrderAnswer {
    match answer {
        DutyAnswer::Accepted => OrderAnswer::Accepted,
        DutyAnswer::Unavailable => OrderAnswer::Unavailable,
        DutyAnswer::Rejected(_) => OrderAnswer::Rejected,
        DutyAnswer::Limited => OrderAnswer::Limited,
        DutyAnswer::Unknown(_) => OrderAnswer::Unknown,
        DutyAnswer::Unsent(_) => OrderAnswer::Unsent,
    }
}

/// Logs an order with the numbers that it follows from.
fn log_order(service: &str, order: &Order, plan: &Plan, inputs: &ServiceInputs) {
    info!(
        service,
        failure_domain = order.domain,
        kind = order.kind.as_str(),
        count = order.count,
        registered = order.registered,
        needed = plan.needed,
        kept = plan.kept,
        expected = plan.expected,
        mean = plan.mean,
        peak = plan.peak,
        forecast = plan.forecast,
        wait_ms = plan.wait_ms,
        token_us = (inputs.capacity.token_ms * 1000.0) as u64,
        prefill = inputs.status.prefill,
        decode = inputs.status.decode,
        heard = inputs.heard,
        age_ms = inputs.age;
        "number of targets ordered"
    );
}
