//! A queue that is fair between callers when capacity is short.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_types::CallerId;

/// Identifies a waiting request.
pub type Ticket = u64;

/// Orders waiting requests by priority, then by how much their callers have had.
///
/// Each caller has a virtual time that grows with its cost divided by its weight; the request
/// with the least virtual time goes first. A caller that comes back after a while starts at the
/// virtual time of the queue, so that it cannot save up.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// Holds the waiting requests in their order.
    waiting: BTreeSet<(u8, Key, Ticket)>,
    /// Holds the place of each ticket.
    keys: BTreeMap<Ticket, (u8, Key)>,
    /// Holds the virtual time of each caller.
    virtual_times: BTreeMap<CallerId, f64>,
    /// The virtual time of the queue.
    virtual_now: f64,
    /// The last ticket.
    last_ticket: Ticket,
}

/// A virtual time as an ordered number.
type Key = u64;

/// Number of callers whose virtual times are remembered at most.
const MAX_CALLERS: usize = 4096;

impl FairQueue {
    /// Adds a request with its cost in tokens; the caller's weight divides it.
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
        // A start is not negative, so its bits sort as the number does.
        let key = start.to_bits();
        self.waiting.insert((priority, key, self.last_ticket));
        self.keys.insert(self.last_ticket, (priority, key));
        self.last_ticket
    }

    /// Returns the place of a ticket, from 0; none if it does not wait.
    #[must_use]
    pub fn position(&self, ticket: Ticket) -> Option<usize> {
        let (priority, key) = *self.keys.get(&ticket)?;
        Some(self.waiting.range(..(priority, key, ticket)).count())
    }

    /// Returns the next ticket.
    #[must_use]
    pub fn first(&self) -> Option<Ticket> {
        self.waiting.first().map(|(_, _, ticket)| *ticket)
    }

    /// Returns the tickets in their order.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiting.iter().map(|(_, _, ticket)| *ticket)
    }

    /// Removes a ticket; one that was served moves the queue's virtual time.
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

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
