//! Decisions about requests that compete for too little room at the targets of a service.
//!
//! [`Admission`] lets a request run, lets it wait for a bounded time in a bounded queue, or refuses it
//! at once with the time to return. While the targets have room, every request runs. Under
//! pressure, which a request shows that would miss its latency objective by the queues at the
//! targets, requests are held to bounds on that queue: those that can still be in time go before
//! those that cannot, urgent priorities before the others, customers up to their fair shares before
//! those beyond them, and requests that return after a refusal before new ones.

mod kinds;
mod pressure;
mod returns;
mod shares;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cactuslane_flight::request_info::Fingerprint;
use cactuslane_route::fair::{FairQueue, Ticket};
use cactuslane_types::Millis;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::kinds::Kinds;
use self::pressure::Pressure;
use self::returns::{Returns, Timing};
pub use self::shares::{CustomerShares, ShareReport};

/// Largest number of requests that wait at one instance.
const MAX_WAITING: usize = 64;
/// Largest number of admitted requests that are remembered while they are not seen yet.
const MAX_RECENT: usize = 64;
/// Factor on the bound of new requests, so that those that return find room first.
const NEW_FACTOR: f64 = 0.9;
/// Factor on the bound of requests that return before the time they were told.
const EARLY_FACTOR: f64 = 0.5;
/// Longest wait under sustained pressure, as a share of the latency objective: a refusal that
/// follows is still early.
const WAIT_SHARE: f64 = 0.125;
/// Longest wait in a burst, as a share of the latency objective and of the time left.
const BURST_WAIT_SHARES: (f64, f64) = (0.5, 0.25);
/// Number of times that a waiting request looks for room, at most.
const LOOKS: f64 = 8.0;
/// Shortest time between two such looks, in milliseconds.
const MIN_LOOK: f64 = 15.0;

/// Decides about the requests to one service.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Whether the targets have too little room, and for how long.
    pressure: Pressure,
    /// Kinds of requests, with what was asked for and admitted of each.
    kinds: Kinds,
    /// Customers' shares of the admitted work.
    pub shares: CustomerShares,
    /// Refused requests and the times that they were told.
    returns: Returns,
    /// Order of the waiting requests.
    queue: FairQueue,
    /// Bounds on the queue at the targets by which the waiting requests were held at their last
    /// looks, in milliseconds.
    bounds: BTreeMap<Ticket, f64>,
    /// Own work that was admitted lately: times, and the times at targets in milliseconds.
    recent: VecDeque<(Millis, f64)>,
    /// Random generator for the times to return and for the shares of the room, with the seed given to `new`.
    random: Pcg64Mcg,
}

/// A request to decide about.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Customer that sent it; `None` where the configuration has no customers.
    pub customer: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Fingerprint, by which a repeat is recognized; 0 if not known.
    pub fingerprint: Fingerprint,
    /// Work that it brings: tokens of a generation, milliseconds of a plain request.
    pub work: f64,
    /// Expected time from now to the answer if nothing were queued at the best target, in
    /// milliseconds.
    pub service_ms: f64,
    /// Expected time in the queue at the best target, in milliseconds.
    pub wait_ms: f64,
    /// Time at a target for which others wait behind it, in milliseconds.
    pub target_ms: f64,
    /// Number of other instances for each target of the service.
    pub rivals: f64,
    /// Age of the view of the targets: what others have placed since then is not in `wait_ms`.
    pub view_age: Duration,
    /// Time that its caller states to wait; a repeat states what is left of it.
    pub stated: Option<Duration>,
    /// Time since its arrival.
    pub waited: Duration,
    /// Latency objective, from the arrival.
    pub objective: Duration,
    /// Time left until the deadline.
    pub left: Duration,
}

/// What becomes of a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to a target.
    Run,
    /// It waits and asks again after this time, with the same [`Waiting`].
    Wait(Duration),
    /// It is refused.
    Refuse {
        /// Time after which the caller should return.
        after: Duration,
        /// Cause of the refusal.
        cause: RefusalCause,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalCause {
    /// No target is expected to answer before its deadline.
    Deadline,
    /// Its customer has more than its fair share of the admitted work.
    Share,
    /// There is no room for it, and too many others wait.
    Room,
}

/// A decision with its grounds, for log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// What becomes of the request.
    pub decision: Decision,
    /// Rank of the request; lower ones go first.
    pub rank: u8,
    /// Ratio of the customer's share of the admitted work to its fair share; 1 without customers or
    /// without pressure.
    pub share: f64,
    /// Longest queue at the targets with which the request runs, in milliseconds; infinite without
    /// pressure.
    pub bound_ms: f64,
    /// Age of the oldest report of another instance that counted for the share, in milliseconds;
    /// `None` if none did.
    pub reports_age: Option<Millis>,
    /// Place in the queue, to be handed in with the next look and given back to
    /// [`Admission::leave`]; `None` unless the request waits.
    pub waiting: Option<Waiting>,
}

/// Place of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Ticket in the queue.
    pub ticket: Ticket,
    /// Time since which it waits.
    since: Millis,
    /// Whether and when it was refused before.
    timing: Timing,
    /// Random number by which the instance takes its share of the room.
    draw: f64,
}

impl Admission {
    /// Creates the state of a service without requests, with a seed for the times to return.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            pressure: Pressure::default(),
            kinds: Kinds::default(),
            shares: CustomerShares::default(),
            returns: Returns::default(),
            queue: FairQueue::default(),
            bounds: BTreeMap::new(),
            recent: VecDeque::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Decides about a request that has just arrived, or looks for room again with its `waiting`.
    ///
    /// A request whose decision is to run counts as admitted.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest<'_>,
        waiting: Option<Waiting>,
        now: Millis,
    ) -> Verdict {
        let objective = request.objective.as_secs_f64() * 1000.0;
        let left = request.left.as_secs_f64() * 1000.0;
        let tried = self.kinds.tried_ms(request, objective);
        let timing = match waiting {
            Some(waiting) => waiting.timing,
            None => self.returns.take_repeat(request.fingerprint, tried, now),
        };
        let expected = request.wait_ms + request.service_ms;
        let waited = request.waited.as_secs_f64() * 1000.0;
        let waited = timing.since_first(now).max(waited + tried);
        let is_late = waited + expected > objective;
        if waiting.is_none() {
            self.pressure.observe(is_squeezed(request, objective), now);
            self.kinds.ask(request, objective, now);
        }
        let rank = rank(is_late, request.priority, timing);
        let mut verdict = Verdict {
            decision: Decision::Run,
            rank,
            share: 1.0,
            bound_ms: f64::INFINITY,
            reports_age: None,
            waiting: None,
        };
        if request.wait_ms > 0.0 && expected > left {
            let excess = expected - left;
            let after = self.refuse(request, timing, rank, excess, now);
            let cause = RefusalCause::Deadline;
            verdict.decision = Decision::Refuse { after, cause };
            return self.conclude(verdict, waiting);
        }
        if !self.pressure.is_on(now) {
            self.returns.clear_bookings();
            self.admit(request, objective, now);
            return self.conclude(verdict, waiting);
        }
        if let Some(customer) = request.customer {
            (verdict.share, verdict.reports_age) = self.shares.over(customer, now);
        }
        let factor = factor(timing, verdict.share);
        let headroom = if is_late {
            self.kinds.late_headroom(request, objective, now)
        } else {
            self.kinds.headroom(request, objective, waited, now)
        };
        verdict.bound_ms = headroom * factor;
        let draw = match waiting {
            Some(waiting) => waiting.draw,
            None => self.random.random_range(0.0..1.0),
        };
        let queue = request.wait_ms + self.unseen_ms(request, draw, now);
        let has_room = request.wait_ms <= 0.0 || queue <= verdict.bound_ms;
        if has_room && !self.is_behind(queue, waiting, rank) {
            self.admit(request, objective, now);
            return self.conclude(verdict, waiting);
        }
        if !has_room && waiting.is_none() {
            // Bounds keep the queue short, so that pressure shows by the requests beyond them.
            self.pressure.prolong(now);
        }
        let since = waiting.map_or(now, |waiting| waiting.since);
        let held = now.saturating_sub(since) as f64;
        // After a longer time a refusal would be late, so that the request runs in the end.
        let is_early = held <= objective * WAIT_SHARE * 2.0;
        let is_sustained = self.pressure.is_sustained(now) && is_early;
        let limit = if is_sustained {
            objective * WAIT_SHARE
        } else {
            let (of_objective, of_left) = BURST_WAIT_SHARES;
            (objective * of_objective).min(left * of_left)
        };
        let remaining = limit - held;
        let is_full = waiting.is_none() && self.queue.len() >= MAX_WAITING;
        // There is room for late and early requests only once the others leave some.
        let is_hopeless = is_sustained && is_last(timing, is_late) && !has_room;
        if !is_full && !is_hopeless && remaining > 0.0 {
            let excess = queue - verdict.bound_ms;
            let look = excess.max(limit / LOOKS).max(MIN_LOOK).min(remaining);
            verdict.decision = Decision::Wait(Duration::from_secs_f64(look.max(1.0) / 1000.0));
            let place = waiting.unwrap_or_else(|| self.enqueue(request, rank, timing, draw, now));
            self.bounds.insert(place.ticket, verdict.bound_ms);
            verdict.waiting = Some(place);
            return verdict;
        }
        if !is_sustained || has_room {
            self.admit(request, objective, now);
            return self.conclude(verdict, waiting);
        }
        let excess = (queue - verdict.bound_ms).max(0.0);
        let is_over = verdict.share > 1.0 && queue <= headroom;
        let cause = if is_over {
            RefusalCause::Share
        } else {
            RefusalCause::Room
        };
        let after = self.refuse(request, timing, rank, excess, now);
        verdict.decision = Decision::Refuse { after, cause };
        self.conclude(verdict, waiting)
    }

    /// Removes a waiting request whose caller has left.
    pub fn leave(&mut self, ticket: Ticket) {
        self.queue.remove(ticket, false);
        self.bounds.remove(&ticket);
    }

    /// Returns the report of the customers' work for the other instances.
    ///
    /// There is one only while this instance or another one sees too little room, and this one has
    /// admitted work of customers.
    #[must_use]
    pub fn report(&self, service: &str, version: (u64, u64), now: Millis) -> Option<ShareReport> {
        let is_pressed = self.pressure.is_on(now);
        if !is_pressed && !self.shares.is_pressed(now) {
            return None;
        }
        self.shares.report(service, version, is_pressed, now)
    }

    /// Refuses a request that no target would answer before its deadline, and returns the time
    /// after which the caller should return; `excess_ms` is the time until room is expected.
    pub fn turn_away(
        &mut self,
        request: &AdmissionRequest<'_>,
        excess_ms: f64,
        now: Millis,
    ) -> Duration {
        let timing = self.returns.take(request.fingerprint, now);
        let rank = rank(true, request.priority, timing);
        self.refuse(request, timing, rank, excess_ms, now)
    }

    /// Returns whether the targets have too little room.
    #[must_use]
    pub fn is_under_pressure(&self, now: Millis) -> bool {
        self.pressure.is_on(now)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes a request that no longer waits out of the queue.
    fn conclude(&mut self, verdict: Verdict, waiting: Option<Waiting>) -> Verdict {
        if let Some(waiting) = waiting {
            let served = verdict.decision == Decision::Run;
            self.queue.remove(waiting.ticket, served);
            self.bounds.remove(&waiting.ticket);
        }
        verdict
    }

    /// Adds a request to the queue.
    fn enqueue(
        &mut self,
        request: &AdmissionRequest<'_>,
        rank: u8,
        timing: Timing,
        draw: f64,
        now: Millis,
    ) -> Waiting {
        let customer = request.customer.unwrap_or_default();
        Waiting {
            ticket: self.queue.push(customer, rank, request.work, 1.0),
            since: now,
            timing,
            draw,
        }
    }

    /// Returns whether a request that goes first waits and would run with the same queue.
    fn is_behind(&self, queue: f64, waiting: Option<Waiting>, rank: u8) -> bool {
        for ticket in self.queue.tickets() {
            if waiting.is_some_and(|waiting| waiting.ticket == ticket) {
                return false;
            }
            let ahead = waiting.is_some() || self.queue.rank(ticket) <= Some(rank);
            let bound = self.bounds.get(&ticket).copied().unwrap_or_default();
            if ahead && queue <= bound {
                return true;
            }
        }
        false
    }

    /// Returns the time in milliseconds by which the queue at each target is expected to be longer
    /// than the instance sees, if the others admit as this one does.
    ///
    /// Of a request of mean size a part counts that is drawn, whatever the size of this one: where less than one request of each
    /// instance finds room, the instances together fill it.
    fn unseen_ms(&self, request: &AdmissionRequest<'_>, draw: f64, now: Millis) -> f64 {
        let since = now.saturating_sub(request.view_age.as_millis() as Millis);
        let recent = self.recent.iter().filter(|(at, _)| *at >= since);
        let recent: f64 = recent.map(|(_, target_ms)| target_ms).sum();
        (recent + self.kinds.target_ms() * draw) * request.rivals
    }

    /// Counts a request as admitted.
    fn admit(&mut self, request: &AdmissionRequest<'_>, objective: f64, now: Millis) {
        if let Some(customer) = request.customer {
            self.shares.admitted(customer, request.work, now);
        }
        self.kinds.admitted(request, objective);
        self.recent.push_back((now, request.target_ms));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        self.returns.admitted(now);
    }

    /// Refuses a request and chooses the time to return; `excess` is the time in milliseconds until
    /// the queue at the targets is as short as it must be.
    fn refuse(
        &mut self,
        request: &AdmissionRequest<'_>,
        timing: Timing,
        rank: u8,
        excess: f64,
        now: Millis,
    ) -> Duration {
        let draw = self.random.random_range(0.0..1.0);
        let after = self.returns.book(rank, excess, request.left, draw, now);
        let waited = request.waited.as_millis() as Millis;
        let first = timing.first(now.saturating_sub(waited));
        self.returns.record(request.fingerprint, first, after, now);
        after
    }
}

/// Returns the factor on the bound of a request whose customer has `share` times its fair share.
fn factor(timing: Timing, share: f64) -> f64 {
    let timing = match timing {
        Timing::Returned { .. } => 1.0,
        Timing::New => NEW_FACTOR,
        Timing::Early { .. } => EARLY_FACTOR,
    };
    timing * cactuslane_route::share::bound_factor(share)
}

/// Returns whether the queue makes a request miss its objective, which is in milliseconds.
fn is_squeezed(request: &AdmissionRequest<'_>, objective: f64) -> bool {
    // One that is late with empty queues as well shows no lack of room by itself.
    let spare = if request.service_ms <= objective {
        objective - request.service_ms
    } else {
        objective
    };
    request.wait_ms > spare
}

/// Returns whether a request only gets room that others leave.
fn is_last(timing: Timing, is_late: bool) -> bool {
    match timing {
        Timing::Returned { .. } => false,
        Timing::New => is_late,
        Timing::Early { .. } => true,
    }
}

/// Returns the rank of a request; lower ones go first.
fn rank(is_late: bool, priority: u8, timing: Timing) -> u8 {
    let timing = match timing {
        Timing::Returned { .. } => 0,
        Timing::New => 1,
        Timing::Early { .. } => 2,
    };
    u8::from(is_late) << 7 | priority.min(31) << 2 | timing
}
