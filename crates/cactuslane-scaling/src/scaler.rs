//! Decision on the number of targets of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_flight::routing_config::ScalingSpec;
use cactuslane_types::{DomainName, Millis};

use crate::demand::{Capacity, Demand, Observation, Work};
use crate::order_log::{Order, OrderAnswer, OrderLog};
use crate::split::{self, DomainTargets, Kind};

/// Factor by which demand may exceed its mean before ordered targets serve: bursts, and the load
/// that moves from lost targets.
const BURST_FACTOR: f64 = 1.9;
/// Factor by which demand may exceed its highest level within the window.
const PEAK_FACTOR: f64 = 1.1;
/// Factor by which the highest level must be carried after targets were reclaimed or given up.
const LOSS_FACTOR: f64 = 1.05;
/// Factor by which targets are kept beyond the needed number, so that noise leads to no orders.
const KEEP_FACTOR: f64 = 1.05;
/// Share of the number to keep that is added while nothing of the window has been observed.
const UNSEEN_FACTOR: f64 = 0.4;
/// Observed time before more targets are ordered, in boot times.
const MIN_BOOTS_UP: f64 = 0.75;
/// Observed time before fewer or other targets are ordered, in boot times.
const MIN_BOOTS_DOWN: f64 = 2.0;
/// Time for which there must be a surplus before targets are given up, and between two such steps,
/// in boot times.
const HOLD_BOOTS: f64 = 1.0;
/// Time after an order for more targets within which none are given up, in boot times.
const REVERSAL_BOOTS: f64 = 2.0;
/// Largest share of the targets that is given up in one step: callers bear the loss of as many
/// without notice.
const MAX_STEP_SHARE: f64 = 1.0 / 6.0;
/// Share of the targets by which the needed number must exceed the expected one for an order.
const UP_MARGIN: f64 = 0.08;
/// Share of the targets by which the expected number must exceed the one to keep for an order.
const DOWN_MARGIN: f64 = 0.06;
/// Time of queued prompts at a target, as a share of the latency objective, above which no targets
/// are given up.
const DOWN_WAIT_SHARE: f64 = 0.5;
/// Time of queued prompts at a target, as a share of the latency objective, above which more
/// targets are ordered whatever the demand.
const UP_WAIT_SHARE: f64 = 1.0;
/// Factor by which the number of targets grows while prompts wait for so long.
const WAIT_GROWTH: f64 = 1.2;
/// Smallest number of targets of each role.
const MIN_ROLE_TARGETS: f64 = 2.0;

/// What is known of a service's targets, and of how complete the demand is.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Registered targets that take new requests, by failure domain, also for domains without any.
    pub domains: BTreeMap<DomainName, DomainTargets>,
    /// Number of these that compute prompts; for services whose targets have separate roles.
    pub prefill: u32,
    /// Number of these that generate; for services whose targets have separate roles.
    pub decode: u32,
    /// Smallest latency objective of the service's routes.
    pub objective: Duration,
    /// Whether the registry and the demand of nearly all instances are known as of now. Otherwise
    /// no targets are given up.
    pub is_complete: bool,
}

/// The numbers behind a decision and the orders to send.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Number of targets that the demand needs, with headroom.
    pub needed: u32,
    /// Number of targets above which they are given up.
    pub kept: u32,
    /// Number of targets to expect once all orders are followed.
    pub expected: u32,
    /// Mean demand in targets at their highest use.
    pub mean: f64,
    /// Highest level of the demand in the same unit.
    pub peak: f64,
    /// Demand that is expected after the boot time in the same unit.
    pub forecast: f64,
    /// Time of queued prompts at a target, in milliseconds.
    pub wait_ms: f64,
    /// Numbers to expect once the orders are followed, by failure domain and kind.
    pub desired: BTreeMap<(DomainName, Kind), u32>,
    /// Orders to send, the most urgent first.
    pub orders: Vec<Order>,
}

/// Decides on the number of targets of one service.
///
/// Its record of demand and orders is that of one holder of the duty; the next holder starts with
/// an empty one and orders nothing until it has observed the demand.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    /// Demand over the window.
    demand: Demand,
    /// Orders that were sent.
    log: OrderLog,
    /// Time since which there has been a surplus without interruption.
    surplus_since: Option<Millis>,
    /// Time of the last step by which targets were given up.
    last_down: Option<Millis>,
    /// Time of the last order for more targets.
    last_up: Option<Millis>,
}

impl Scaler {
    /// Records the demand at `now`.
    pub fn observe(&mut self, observed: &Observation, spec: &ScalingSpec, now: Millis) {
        self.demand.observe(observed, spec.boot_time, now);
    }

    /// Returns the orders to send at `now` and the numbers behind them.
    ///
    /// An order counts as sent from then on; call [`Self::answered`] with its answer.
    pub fn plan(
        &mut self,
        spec: &ScalingSpec,
        capacity: &Capacity,
        status: &Status,
        now: Millis,
    ) -> Plan {
        self.log.set_boot(spec.boot_time.as_millis() as Millis);
        for (domain, targets) in &status.domains {
            for kind in [Kind::Ordinary, Kind::Reclaimable] {
                self.log.observe(domain, kind, targets.count(kind), now);
            }
        }
        let mut plan = Plan {
            orders: self.log.repeats(now),
            ..Plan::default()
        };
        plan.desired = self.expected(status, now);
        plan.expected = plan.desired.values().sum();
        if self.demand.observed_boots() < MIN_BOOTS_UP || status.domains.is_empty() {
            return plan;
        }
        self.assess(&mut plan, capacity, status);
        let margin = (f64::from(plan.expected) * UP_MARGIN).max(1.0);
        let orders = if f64::from(plan.needed) >= f64::from(plan.expected) + margin {
            self.surplus_since = None;
            let orders = self.grow(&plan, spec, status, now);
            if !orders.is_empty() {
                self.last_up = Some(now);
            }
            orders
        } else {
            let mut orders = self.shrink(&plan, spec, capacity, status, now);
            orders.extend(self.replace(&plan, spec, capacity, status, now));
            orders
        };
        for order in orders {
            if !self.log.may_send(&order.domain, order.kind, now) {
                continue;
            }
            self.log.sent(&order, now);
            let key = (order.domain.clone(), order.kind);
            plan.desired.insert(key, order.count);
            plan.orders.push(order);
        }
        plan
    }

    /// Records the answer to an order.
    pub fn answered(&mut self, order: &Order, answer: OrderAnswer, now: Millis) {
        self.log.answered(order, answer, now);
    }

    /// Returns the numbers of targets to expect once all orders are followed.
    fn expected(&self, status: &Status, now: Millis) -> BTreeMap<(DomainName, Kind), u32> {
        let mut expected = BTreeMap::new();
        for (domain, targets) in &status.domains {
            for kind in [Kind::Ordinary, Kind::Reclaimable] {
                let count = self.log.expected(domain, kind, targets.count(kind), now);
                expected.insert((domain.clone(), kind), count);
            }
        }
        expected
    }

    /// Sets the numbers of targets that the demand needs.
    fn assess(&self, plan: &mut Plan, capacity: &Capacity, status: &Status) {
        let levels = self.demand.levels(capacity);
        plan.mean = levels.mean.total();
        plan.peak = levels.peak.total();
        plan.forecast = levels.forecast.total();
        let registered: u32 = status.domains.values().map(DomainTargets::total).sum();
        let has_roles = status.prefill > 0 || status.decode > 0;
        let computing = if has_roles {
            status.prefill
        } else {
            registered
        };
        let queued_ms = self.demand.queued_tokens() * capacity.token_ms;
        plan.wait_ms = queued_ms / f64::from(computing.max(1));
        let count = status.domains.len() as f64;
        // What is left after the loss of a failure domain carries the mean.
        let loss_factor = if count > 1.0 {
            count / (count - 1.0)
        } else {
            1.0
        };
        let need = |role: fn(&Work) -> f64| {
            let least = if has_roles { MIN_ROLE_TARGETS } else { 0.0 };
            let mean = role(&levels.mean) * BURST_FACTOR.max(loss_factor);
            let peak = role(&levels.peak).max(role(&levels.forecast)) * PEAK_FACTOR;
            mean.max(peak).max(least)
        };
        let mut needed = need(|work| work.prefill) + need(|work| work.decode);
        let objective = status.objective.as_secs_f64() * 1000.0;
        if objective > 0.0 && plan.wait_ms > objective * UP_WAIT_SHARE {
            needed = needed.max(f64::from(registered) * WAIT_GROWTH);
        }
        let kept = needed * KEEP_FACTOR * (1.0 + UNSEEN_FACTOR * self.demand.unseen_share());
        plan.needed = needed.ceil() as u32;
        plan.kept = kept.ceil() as u32;
    }

    /// Returns the orders that raise the number of targets to the needed one.
    ///
    /// Domains below their part come first, then the others up to their limit, and those that lost
    /// targets lately only for the rest, as new ones may be lost there too.
    fn grow(&self, plan: &Plan, spec: &ScalingSpec, status: &Status, now: Millis) -> Vec<Order> {
        let domains: Vec<DomainName> = status.domains.keys().cloned().collect();
        let parts = split::by_domain(plan.needed, &domains, spec);
        let mut left = plan.needed.saturating_sub(plan.expected);
        let mut added: BTreeMap<&DomainName, u32> = BTreeMap::new();
        for (with_lost, to_limit) in [(false, false), (false, true), (true, false), (true, true)] {
            for domain in &domains {
                let lost = self.log.has_lost(domain, Kind::Ordinary, now);
                let blocked = self.log.is_blocked(domain, Kind::Ordinary, now);
                if blocked || lost != with_lost {
                    continue;
                }
                let so_far = added.get(domain).copied().unwrap_or(0);
                let total = expected_total(plan, domain) + so_far;
                let part = parts.get(domain).copied().unwrap_or(0);
                let goal = if to_limit {
                    spec.max
                } else {
                    part.min(spec.max)
                };
                let more = left.min(goal.saturating_sub(total));
                left -= more;
                added.insert(domain, so_far + more);
            }
        }
        let mut orders = Vec::new();
        for (domain, more) in added {
            if more > 0 {
                let count = expected_count(plan, domain, Kind::Ordinary) + more;
                orders.push(self.order(plan, spec, status, domain, Kind::Ordinary, count));
            }
        }
        orders
    }

    /// Returns the orders of a step by which targets are given up, if there has been a surplus for
    /// long enough.
    fn shrink(
        &mut self,
        plan: &Plan,
        spec: &ScalingSpec,
        capacity: &Capacity,
        status: &Status,
        now: Millis,
    ) -> Vec<Order> {
        let surplus = plan.expected.saturating_sub(plan.kept);
        let margin = (f64::from(plan.expected) * DOWN_MARGIN).max(1.0);
        let may_shrink = self.may_change(plan, status, now) && f64::from(surplus) >= margin;
        if !may_shrink {
            self.surplus_since = None;
            return Vec::new();
        }
        let since = *self.surplus_since.get_or_insert(now);
        let boots = |count: f64| (spec.boot_time.as_millis() as f64 * count) as Millis;
        let recent = |at: Option<Millis>, count: f64| at.is_some_and(|at| now < at + boots(count));
        if now < since + boots(HOLD_BOOTS)
            || recent(self.last_down, HOLD_BOOTS)
            || recent(self.last_up, REVERSAL_BOOTS)
        {
            return Vec::new();
        }
        let registered: u32 = status.domains.values().map(DomainTargets::total).sum();
        let step = (f64::from(registered) * MAX_STEP_SHARE).floor() as u32;
        let step = step
            .max(1)
            .min(surplus)
            .min(self.spare_role(capacity, status));
        let orders = self.take_from(plan, spec, status, step);
        if !orders.is_empty() {
            self.last_down = Some(now);
        }
        orders
    }

    /// Returns the orders for reclaimable targets that take the place of ordinary ones, which are
    /// given up as a surplus once the others serve.
    fn replace(
        &self,
        plan: &Plan,
        spec: &ScalingSpec,
        capacity: &Capacity,
        status: &Status,
        now: Millis,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        if !self.may_change(plan, status, now) {
            return orders;
        }
        let peak = self.demand.levels(capacity).peak.total() * LOSS_FACTOR;
        let spare = f64::from(plan.kept) - peak.max(plan.mean * LOSS_FACTOR);
        let spare = spare.max(0.0).floor() as u32;
        let domains: Vec<DomainName> = status.domains.keys().cloned().collect();
        for (domain, total) in split::by_domain(plan.kept, &domains, spec) {
            if self.log.is_blocked(&domain, Kind::Reclaimable, now) {
                continue;
            }
            let present = expected_count(plan, &domain, Kind::Reclaimable);
            let ordinary = expected_count(plan, &domain, Kind::Ordinary);
            let wanted = split::reclaimable_part(total, spare, spec);
            let wanted = wanted.min(spec.max.saturating_sub(ordinary));
            let step = (f64::from(total) * MAX_STEP_SHARE).ceil() as u32;
            let count = wanted.min(present + step);
            // An order for a few more isn't worth a call.
            let margin = (f64::from(total) * DOWN_MARGIN).ceil() as u32;
            if count >= present + margin.max(1) {
                orders.push(self.order(plan, spec, status, &domain, Kind::Reclaimable, count));
            }
        }
        orders
    }

    /// Returns whether knowledge and queues permit to give up or replace targets.
    fn may_change(&self, plan: &Plan, status: &Status, now: Millis) -> bool {
        let objective = status.objective.as_secs_f64() * 1000.0;
        let waits = objective > 0.0 && plan.wait_ms > objective * DOWN_WAIT_SHARE;
        let known = status.is_complete && self.log.is_settled(now);
        known && !waits && self.demand.observed_boots() >= MIN_BOOTS_DOWN
    }

    /// Returns how many targets of one role may vanish so that the others of this role carry the
    /// highest level of the demand.
    fn spare_role(&self, capacity: &Capacity, status: &Status) -> u32 {
        if status.prefill == 0 && status.decode == 0 {
            return u32::MAX;
        }
        let peak = self.demand.levels(capacity).peak;
        let spare = |count: u32, peak: f64| {
            let used = (peak * LOSS_FACTOR).max(MIN_ROLE_TARGETS).ceil();
            count.saturating_sub(used as u32)
        };
        spare(status.prefill, peak.prefill).min(spare(status.decode, peak.decode))
    }

    /// Returns the orders that reduce the number of targets by at most `step`.
    ///
    /// Each target is taken from the domain that has most above its part; ordinary ones first, as long
    /// as enough of these are left beside the reclaimable ones.
    fn take_from(&self, plan: &Plan, spec: &ScalingSpec, status: &Status, step: u32) -> Vec<Order> {
        let domains: Vec<DomainName> = status.domains.keys().cloned().collect();
        let parts = split::by_domain(plan.kept, &domains, spec);
        let mut counts = BTreeMap::new();
        for domain in &domains {
            let ordinary = expected_count(plan, domain, Kind::Ordinary);
            let reclaimable = expected_count(plan, domain, Kind::Reclaimable);
            counts.insert(
                domain.clone(),
                DomainTargets {
                    ordinary,
                    reclaimable,
                },
            );
        }
        let before = counts.clone();
        for _ in 0..step {
            let surplus = |(domain, targets): &(&DomainName, &mut DomainTargets)| {
                let part = parts.get(*domain).copied().unwrap_or(spec.min);
                targets.total().saturating_sub(part.max(spec.min))
            };
            let Some((domain, targets)) = counts.iter_mut().max_by_key(surplus) else {
                break;
            };
            let part = parts.get(domain).copied().unwrap_or(spec.min).max(spec.min);
            if targets.total() <= part {
                break;
            }
            let wanted = split::reclaimable_part(part, u32::MAX, spec);
            if targets.ordinary > (part - wanted).max(spec.min) {
                targets.ordinary -= 1;
            } else if targets.reclaimable > 0 {
                targets.reclaimable -= 1;
            } else {
                break;
            }
        }
        let mut orders = Vec::new();
        for (domain, targets) in counts {
            for kind in [Kind::Ordinary, Kind::Reclaimable] {
                if before.get(&domain).map(|before| before.count(kind)) != Some(targets.count(kind))
                {
                    let count = targets.count(kind);
                    orders.push(self.order(plan, spec, status, &domain, kind, count));
                }
            }
        }
        orders
    }

    /// Returns an order by which `count` targets of a kind are expected in a failure domain.
    fn order(
        &self,
        plan: &Plan,
        spec: &ScalingSpec,
        status: &Status,
        domain: &DomainName,
        kind: Kind,
        count: u32,
    ) -> Order {
        let targets = status.domains.get(domain);
        let expected = expected_count(plan, domain, kind);
        let others = expected_total(plan, domain) - expected;
        let missing = self.log.missing(domain, kind, expected);
        let most = spec.max.saturating_sub(others).max(count);
        Order {
            domain: domain.clone(),
            kind,
            count: (count + missing).min(most),
            registered: targets.map_or(0, |targets| targets.count(kind)),
        }
    }
}

/// Returns the number of targets of a kind in a failure domain to expect.
fn expected_count(plan: &Plan, domain: &DomainName, kind: Kind) -> u32 {
    let key = (domain.clone(), kind);
    plan.desired.get(&key).copied().unwrap_or(0)
}

/// Returns the number of targets of both kinds in a failure domain to expect.
fn expected_total(plan: &Plan, domain: &DomainName) -> u32 {
    let count = |kind| expected_count(plan, domain, kind);
    count(Kind::Ordinary) + count(Kind::Reclaimable)
}
