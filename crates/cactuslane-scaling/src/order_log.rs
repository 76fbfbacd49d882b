//! Orders that were sent and how far the registered targets follow them.

use std::collections::BTreeMap;

use cactuslane_types::{DomainName, Millis};

use crate::split::Kind;

/// Time beyond the boot time within which the registry follows an order, in milliseconds.
const FOLLOW_SLACK: Millis = 3_000;
/// Time until an order that was not accepted, or whose answer was lost, may be sent again, in
/// milliseconds.
const RETRY_DELAY: Millis = 1_000;
/// Time after which a call whose answer was never recorded no longer holds back others of its
/// domain, in milliseconds.
const CALL_LIMIT: Millis = 10_000;
/// Time without orders of a kind that a failure domain does not offer or has reclaimed, in boot
/// times.
const UNAVAILABLE_BOOTS: Millis = 5;
/// Time without orders after one that was refused as invalid, in boot times.
const REJECTED_BOOTS: Millis = 10;
/// Number of times that an order is repeated while the registry does not follow it.
const MAX_REPEATS: u32 = 2;

/// An order: the number of targets of a kind in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Failure domain of the targets.
    pub domain: DomainName,
    /// Whether the targets may be reclaimed.
    pub kind: Kind,
    /// Number of targets that the domain is to have.
    pub count: u32,
    /// Number of targets that are registered, for log lines.
    pub registered: u32,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It was accepted.
    Accepted,
    /// No such targets are available there at the moment.
    Unavailable,
    /// It was refused as invalid.
    Rejected,
    /// It was refused as there were too many calls.
    Limited,
    /// It may or may not have been accepted.
    Unknown,
    /// It was not sent.
    Unsent,
}

/// What is known of the orders for one kind in one failure domain.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Number that was ordered last, with the time and how often it was repeated.
    ordered: Option<(u32, Millis, u32)>,
    /// Whether the registry has followed the last order.
    followed: bool,
    /// Whether the last order must be sent again as its answer was lost.
    unconfirmed: bool,
    /// Number of registered targets at the last look.
    registered: Option<u32>,
    /// Number that the domain is thought to hold ready, with targets that are down: that of the last
    /// order, or the largest registered one.
    standing: u32,
    /// Time until which targets that vanished without an order may still be missing.
    lost_until: Millis,
    /// Time until which no order is sent.
    quiet_until: Millis,
    /// Time until which the domain gets no more targets of this kind.
    blocked_until: Millis,
}

/// Orders of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderLog {
    /// Orders by failure domain and kind.
    entries: BTreeMap<(DomainName, Kind), Entry>,
    /// Boot time of a target, in milliseconds.
    boot: Millis,
    /// Domains with calls in flight, with the times until which these hold back others.
    busy: BTreeMap<DomainName, Millis>,
    /// Time until which the registered numbers may be out of step after targets vanished.
    unsettled_until: Millis,
}

impl OrderLog {
    /// Sets the boot time of a target, in milliseconds.
    pub(crate) fn set_boot(&mut self, boot: Millis) {
        self.boot = boot;
    }

    /// Applies the number of registered targets; one that falls without an order makes the numbers
    /// unsettled, and blocks the kind in that domain if it is reclaimable.
    pub(crate) fn observe(&mut self, domain: &str, kind: Kind, registered: u32, now: Millis) {
        let entry = self.entry(domain, kind);
        let before = entry.registered.replace(registered);
        // Targets that an order gives up stay registered for a moment.
        if entry.ordered.is_none() || entry.followed {
            entry.standing = entry.standing.max(registered);
        }
        if entry.ordered.is_some_and(|(count, ..)| count == registered) {
            entry.followed = true;
            entry.unconfirmed = false;
        }
        let Some(before) = before.filter(|before| registered < *before) else {
            return;
        };
        let ordered = entry.ordered.map_or(before, |(count, ..)| count);
        if registered >= ordered {
            return;
        }
        let (boot, follow) = (self.boot, self.follow_time());
        self.unsettled_until = now + follow;
        let entry = self.entry(domain, kind);
        entry.lost_until = now + follow;
        if kind == Kind::Reclaimable {
            entry.ordered = None;
            entry.standing = registered;
            entry.blocked_until = now + UNAVAILABLE_BOOTS * boot;
        }
    }

    /// Returns the number of targets to expect: the ordered one while the registry may still follow
    /// the order, and otherwise the registered one.
    pub(crate) fn expected(&self, domain: &str, kind: Kind, registered: u32, now: Millis) -> u32 {
        let entry = self.entries.get(&(domain.to_owned(), kind));
        let pending = entry.filter(|entry| !entry.followed);
        match pending.and_then(|entry| entry.ordered) {
            Some((count, at, _)) if now < at + self.follow_time() => count,
            _ => registered,
        }
    }

    /// Returns the orders that are sent again: those whose answer was lost, and those that the
    /// registry does not follow in time.
    pub(crate) fn repeats(&mut self, now: Millis) -> Vec<Order> {
        let follow = self.follow_time();
        let mut orders = Vec::new();
        for ((domain, kind), entry) in &mut self.entries {
            let Some((count, at, repeated)) = entry.ordered else {
                continue;
            };
            let registered = entry.registered.unwrap_or(0);
            let late = now >= at + follow && !entry.followed;
            let busy = self.busy.get(domain).is_some_and(|until| now < *until);
            if busy || now < entry.quiet_until || !(entry.unconfirmed || late) {
                continue;
            }
            if late && repeated >= MAX_REPEATS {
                // More of the same is not followed either: the numbers start from what there is,
                // and other domains make up for it.
                if registered < count {
                    entry.blocked_until = now + UNAVAILABLE_BOOTS * self.boot;
                }
                entry.ordered = None;
                entry.standing = registered;
                continue;
            }
            let repeated = repeated + u32::from(late);
            let at = if late { now } else { at };
            entry.ordered = Some((count, at, repeated));
            entry.quiet_until = now + RETRY_DELAY;
            orders.push(Order {
                domain: domain.clone(),
                kind: *kind,
                count,
                registered,
            });
        }
        for order in &orders {
            self.busy.insert(order.domain.clone(), now + CALL_LIMIT);
        }
        orders
    }

    /// Returns whether an order may be sent now.
    pub(crate) fn may_send(&self, domain: &str, kind: Kind, now: Millis) -> bool {
        let entry = self.entries.get(&(domain.to_owned(), kind));
        let busy = self.busy.get(domain).is_some_and(|until| now < *until);
        !busy && entry.is_none_or(|entry| now >= entry.quiet_until)
    }

    /// Returns whether a domain gets no more targets of a kind for now.
    pub(crate) fn is_blocked(&self, domain: &str, kind: Kind, now: Millis) -> bool {
        let entry = self.entries.get(&(domain.to_owned(), kind));
        entry.is_some_and(|entry| now < entry.blocked_until)
    }

    /// Returns whether targets of a kind vanished from a domain lately without an order.
    pub(crate) fn has_lost(&self, domain: &str, kind: Kind, now: Millis) -> bool {
        let entry = self.entries.get(&(domain.to_owned(), kind));
        entry.is_some_and(|entry| now < entry.lost_until)
    }

    /// Returns how many targets beyond `expected` a domain is thought to hold that are down. An
    /// order counts them too, so that it removes no more than it means to.
    pub(crate) fn missing(&self, domain: &str, kind: Kind, expected: u32) -> u32 {
        let entry = self.entries.get(&(domain.to_owned(), kind));
        entry.map_or(0, |entry| entry.standing.saturating_sub(expected))
    }

    /// Returns whether the registered numbers have not changed without an order lately.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        now >= self.unsettled_until
    }

    /// Records an order that is about to be sent.
    pub(crate) fn sent(&mut self, order: &Order, now: Millis) {
        self.busy.insert(order.domain.clone(), now + CALL_LIMIT);
        let entry = self.entry(&order.domain, order.kind);
        entry.ordered = Some((order.count, now, 0));
        entry.unconfirmed = false;
        entry.followed = order.count == order.registered;
        entry.quiet_until = now + RETRY_DELAY;
    }

    /// Records the answer to an order.
    pub(crate) fn answered(&mut self, order: &Order, answer: OrderAnswer, now: Millis) {
        self.busy.remove(&order.domain);
        let boot = self.boot;
        let entry = self.entry(&order.domain, order.kind);
        if entry.ordered.is_none_or(|(count, ..)| count != order.count) {
            return;
        }
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Unknown => {
                entry.unconfirmed = answer == OrderAnswer::Unknown;
                entry.standing = order.count;
            }
            OrderAnswer::Unavailable => {
                entry.ordered = None;
                entry.blocked_until = now + UNAVAILABLE_BOOTS * boot;
            }
            OrderAnswer::Rejected => {
                entry.ordered = None;
                entry.blocked_until = now + REJECTED_BOOTS * boot;
                entry.quiet_until = now + REJECTED_BOOTS * boot;
            }
            OrderAnswer::Limited | OrderAnswer::Unsent => entry.ordered = None,
        }
        entry.quiet_until = entry.quiet_until.max(now + RETRY_DELAY);
    }

    /// Returns the time within which the registry follows an order, in milliseconds.
    fn follow_time(&self) -> Millis {
        self.boot + FOLLOW_SLACK
    }

    /// Returns the entry of a kind in a failure domain.
    fn entry(&mut self, domain: &str, kind: Kind) -> &mut Entry {
        self.entries.entry((domain.to_owned(), kind)).or_default()
    }
}
