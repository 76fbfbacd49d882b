//! Weighted fair queuing between callers when capacity is short.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_types::CallerId;

/// The id of a waiting request, unique within its queue.
pub type Ticket = u64;

/// A queue that orders requests by priority (lowest number first), then by virtual start time.
///
/// Each caller has a virtual time that advances by the cost of each of its requests divided by the
/// caller's weight; within a priority, the request with the lowest virtual start time goes first.
/// A caller that returns after being idle starts at the queue's virtual time, so that it cannot
/// accumulate credit.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// The waiting requests in the order of service.
    waiting: BTreeSet<(u8, Key, Ticket)>,
    /// The priority and sort key of each waiting ticket.
    keys: BTreeMap<Ticket, (u8, Key)>,
    /// The virtual finish time of each caller's last request, in tokens divided by weight.
    virtual_times: BTreeMap<CallerId, f64>,
    /// The virtual time of the queue: the latest virtual start time of a served request.
    virtual_now: f64,
    /// The last issued ticket; the first one is 1.
    last_ticket: Ticket,
}

/// The bits of a non-negative virtual time, which sort like the number itself.
type Key = u64;

/// Number of callers at which those not ahead of the queue's virtual time are dropped.
const MAX_CALLERS: usize = 4096;

impl FairQueue {
    /// Adds a request and returns its ticket.
    ///
    /// `cost` is the number of prompt tokens and reserved output tokens. It is divided by the
    /// caller's `weight`, which counts as at least 0.01.
    pub fn push(&mut self, caller: &str, priority: u8, cost: f64, weight: f64) -> Ticket {
        if self.virtual_times.len() >= MAX_CALLERS {
            let virtual_now = self.virtual_now;
            self.virtual_times.retain(|_, time| *time > virtual_now);
        }
        let time = self
            .virtual_times
            .entry(caller.to_owned())
            .or_insert(self.virtual_now);
        let start = time.max(self.virtual_now);
        *time = start + cost / weight.max(0.01);
        self.last_ticket += 1;
        // The bits of a non-negative float sort like its value.
        let key = start.to_bits();
        self.waiting.insert((priority, key, self.last_ticket));
        self.keys.insert(self.last_ticket, (priority, key));
        self.last_ticket
    }

    /// Returns the position of a ticket in the queue, from 0, or `None` if it is not waiting.
    #[must_use]
    pub fn position(&self, ticket: Ticket) -> Option<usize> {
        let (priority, key) = *self.keys.get(&ticket)?;
        Some(self.waiting.range(..(priority, key, ticket)).count())
    }

    /// Returns the ticket that is served next.
    #[must_use]
    pub fn first(&self) -> Option<Ticket> {
        self.waiting.first().map(|(_, _, ticket)| *ticket)
    }

    /// Returns the priority of a ticket, or `None` if it is not waiting.
    #[must_use]
    pub fn rank(&self, ticket: Ticket) -> Option<u8> {
        self.keys.get(&ticket).map(|(priority, _)| *priority)
    }

    /// Returns the tickets in the order of service.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiting.iter().map(|(_, _, ticket)| *ticket)
    }

    /// Removes a ticket; if it was served, advances the queue's virtual time to its start time.
    pub fn remove(&mut self, ticket: Ticket, served: bool) {
        let Some((priority, key)) = self.keys.remove(&ticket) else {
            return;
        };
        self.waiting.remove(&(priority, key, ticket));
        if served {
            self.virtual_now = self.virtual_now.max(f64::from_bits(key));
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
