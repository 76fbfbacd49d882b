//! What happens at the instances of the fleet, and what they do then.

use std::time::Duration;

use cactuslane_gateway::ranking::top_ranked;
use cactuslane_place::limits::ISSUERS;
use cactuslane_place::{LimitAnswer, LimitNotice, PermitAnswer};
use cactuslane_types::Millis;
use rand::Rng;

use super::{Call, Event, Fleet, name, number};

/// Interval between the messages by which instances know that others are reachable.
const HEARTBEAT: Millis = 400;
/// Time after which an instance no longer waits for the answer of an issuer.
const ASK_TIMEOUT: Millis = 100;
/// Number of instances that it asks each time.
const QUERIED: usize = 3;
/// Range of the delays between a permit and the arrival of the request at the target.
const SEND_DELAY: std::ops::Range<Millis> = 1..60;
/// Range of the times in which the target answers.
const ANSWER_TIME: std::ops::Range<Millis> = 20..300;

impl Fleet {
    /// Handles an event, or puts it off while its instance is frozen.
    pub(super) fn handle(&mut self, event: Event) {
        let at = match event {
            Event::Demand | Event::Heartbeat | Event::Arrival(..) => None,
            Event::Alive(to, _)
            | Event::Joined(to, _)
            | Event::Leaving(to, _)
            | Event::Query(to)
            | Event::Queried(to, _)
            | Event::Notice(to, _)
            | Event::Ask(to, ..)
            | Event::Answered(to, ..)
            | Event::Answer(to, ..) => Some(to),
        };
        if let Some(instance) = at.map(|number| &self.instances[number]) {
            if instance.frozen > self.now {
                let delay = instance.frozen - self.now;
                return self.schedule(delay, event);
            }
            if !instance.up {
                return;
            }
        }
        let now = self.now;
        match event {
            Event::Demand => self.take_request(),
            Event::Heartbeat => self.beat(),
            Event::Alive(to, from) => self.instances[to].members.record_message(&name(from), now),
            Event::Joined(to, other) => {
                let member = self.member(other, false);
                self.instances[to].members.put(member, now);
            }
            Event::Leaving(to, other) if to != other => {
                let member = self.member(other, true);
                self.instances[to].members.put(member, now);
            }
            Event::Leaving(..) => {}
            Event::Query(from) => {
                for _ in 0..QUERIED {
                    let to = self.random.random_range(0..self.instances.len());
                    self.send(from, to, Event::Queried(to, from));
                }
            }
            Event::Queried(to, from) => {
                if let Some(notice) = self.instances[to].limits.notice(&self.target, now) {
                    self.send(to, from, Event::Notice(from, notice));
                }
            }
            Event::Notice(to, notice) => {
                self.instances[to].limits.apply_notice(&notice, now);
            }
            Event::Ask(to, call, from, notice) => {
                let answer = self.answer(to, &notice);
                self.send(to, from, Event::Answered(from, call, to, Some(answer)));
            }
            Event::Answered(to, call, issuer, answer) => self.resume(to, call, issuer, answer),
            Event::Arrival(from, process, sent) => {
                self.arrivals.push(now);
                let delay = self.random.random_range(ANSWER_TIME);
                self.schedule(delay, Event::Answer(from, process, sent, self.limit));
            }
            Event::Answer(to, process, sent, rate) => self.observe(to, process, sent, rate),
        }
    }

    /// Sends a caller's request to an instance that runs, and schedules the next one.
    fn take_request(&mut self) {
        let gap = -self.random.random::<f64>().ln() / self.demand * 1000.0;
        self.schedule(gap as Millis, Event::Demand);
        let at = self.random.random_range(0..self.instances.len());
        let instance = &self.instances[at];
        if !instance.up || instance.frozen > self.now {
            return;
        }
        if instance.limits.rate(&self.target).is_none() {
            return self.depart(at);
        }
        if instance.limits.wait(&self.target, self.now).is_some() {
            return;
        }
        let issuers = self.issuers_of(at);
        let draw = self.random.random_range(0..ISSUERS);
        let limits = &self.instances[at].limits;
        let order = limits.ask_order(&self.target, &name(at), &issuers, draw, self.now);
        self.created += 1;
        let number = self.created;
        let call = Call {
            asked: None,
            next: order.into(),
        };
        self.instances[at].calls.insert(number, call);
        self.ask_next(at, number);
    }

    /// Asks the next issuer for a permit, or gives up if there is none.
    fn ask_next(&mut self, at: usize, call: u64) {
        let issuers = self.issuers_of(at);
        let instance = &mut self.instances[at];
        let state = instance.calls.get_mut(&call).expect("it is open");
        let Some(issuer) = state.next.pop_front() else {
            instance.calls.remove(&call);
            let limits = &mut instance.limits;
            limits.record_exhausted(&self.target, &issuers, self.now);
            return;
        };
        let to = number(&issuer);
        state.asked = Some(to);
        if to == at {
            let (id, process) = (&self.target.id, self.target.started_at);
            let answer = instance.limits.issue(id, process, issuers.len(), self.now);
            return self.resume(at, call, at, Some(answer));
        }
        let notice = instance.limits.notice(&self.target, self.now);
        let notice = notice.expect("the limit is known");
        self.send(at, to, Event::Ask(to, call, at, notice));
        self.schedule(ASK_TIMEOUT, Event::Answered(at, call, to, None));
    }

    /// Goes on with a request after the answer of an issuer.
    fn resume(&mut self, at: usize, call: u64, issuer: usize, answer: Option<PermitAnswer>) {
        let instance = &mut self.instances[at];
        if instance.calls.get(&call).and_then(|call| call.asked) != Some(issuer) {
            return;
        }
        if answer == Some(PermitAnswer::Granted) {
            instance.calls.remove(&call);
            return self.depart(at);
        }
        let wait = answer.map(|answer| match answer {
            PermitAnswer::Granted => Duration::ZERO,
            PermitAnswer::Denied(wait) => Duration::from_millis(u64::from(wait)),
        });
        let limits = &mut instance.limits;
        limits.record_denial(&self.target, &name(issuer), wait, self.now);
        self.ask_next(at, call);
    }

    /// Sends a request to the target.
    fn depart(&mut self, at: usize) {
        let process = self.instances[at].process;
        let delay = self.random.random_range(SEND_DELAY);
        self.schedule(delay, Event::Arrival(at, process, self.now));
    }

    /// Applies an answer of the target, and notifies the others of a change.
    fn observe(&mut self, at: usize, process: u64, sent: Millis, rate: Option<f64>) {
        if self.instances[at].process != process {
            return;
        }
        let answer = LimitAnswer {
            rate,
            conclusive: true,
            sent,
        };
        let limits = &mut self.instances[at].limits;
        if !limits.observe_answer(&self.target, answer, self.now) {
            return;
        }
        let notice = limits.notice(&self.target, self.now);
        let notice = notice.expect("it was just recorded");
        for other in 0..self.instances.len() {
            if other != at {
                self.send(at, other, Event::Notice(other, notice.clone()));
            }
        }
    }

    /// Answers a request for a permit.
    fn answer(&mut self, at: usize, notice: &LimitNotice) -> PermitAnswer {
        let issuers = self.issuers_of(at);
        let limits = &mut self.instances[at].limits;
        limits.apply_notice(notice, self.now);
        if !issuers.contains(&name(at)) {
            return PermitAnswer::Denied(ASK_TIMEOUT as u32);
        }
        limits.issue(&notice.target, notice.process, issuers.len(), self.now)
    }

    /// Returns the instances that issue permits as an instance sees it.
    fn issuers_of(&self, at: usize) -> Vec<String> {
        let mut candidates = self.instances[at].members.issuer_candidates(self.now);
        if !self.instances[at].leaving {
            candidates.push(name(at));
        }
        top_ranked(candidates, &self.target.id, ISSUERS)
    }

    /// Sends a message of each instance to all others.
    fn beat(&mut self) {
        self.schedule(HEARTBEAT, Event::Heartbeat);
        for from in 0..self.instances.len() {
            if !self.instances[from].up || self.instances[from].frozen > self.now {
                continue;
            }
            for to in 0..self.instances.len() {
                if to != from {
                    self.send(from, to, Event::Alive(to, from));
                }
            }
        }
    }
}
