//! The way of requests through a run: arrival, queue, dispatch, tokens, end.

use cactuslane_route::{Choice, Decision, Plan};
use cactuslane_standin::Work;

use super::run::Stage;
use super::{Event, Sim, index_of};
use crate::policy::Policy;

/// Time between two looks at a queue, in microseconds.
const LOOK_INTERVAL: u64 = 10_000;
/// Number of times that a refused caller comes back.
const COME_BACKS: u32 = 3;
/// Number of requests at the head of a queue that may be sent out of order.
const QUEUE_HEAD: usize = 4;

impl Sim<'_> {
    /// Takes in a request.
    pub(super) fn arrive(&mut self, index: usize) {
        let request = &self.trace[index];
        let entry = index % self.entries.len();
        let run = &mut self.runs[index];
        run.arrived = self.now;
        run.entry = entry;
        if run.come_backs == 0 {
            self.outcome.offered += 1;
            self.outcome.callers[request.caller].0 += 1;
        }
        self.demand.0 += f64::from(request.prompt);
        let expected = self.entries[entry].reserve(request);
        self.demand.1 += f64::from(expected);
        if self.policy.routes() {
            self.entries[entry].push(index, request, 0);
            self.look(entry);
            return;
        }
        let chosen = self.entries[entry].choose_simply(self.policy, self.scenario.fleet.engines);
        self.dispatch(
            index,
            &Choice {
                plan: Plan::Whole(self.names[chosen].clone()),
                first_token: 1.0,
                wait: 0.0,
                shortage: 0.0,
                cached: 0,
                work: cactuslane_route::Work::default(),
                decode_work: cactuslane_route::Work::default(),
            },
        );
    }

    /// Looks at an entry's queue.
    pub(super) fn look(&mut self, entry: usize) {
        if self.policy == Policy::Clairvoyant {
            self.report_all();
        }
        let now = self.now_ms();
        let waiting: Vec<(u64, usize)> = self.entries[entry].head(QUEUE_HEAD * 2);
        let mut sent = 0;
        for (ticket, index) in waiting {
            if sent >= QUEUE_HEAD {
                break;
            }
            let run = &self.runs[index];
            let waited = (self.now - run.arrived) as f64 / 1000.0;
            let waited = if run.tokens > 0 { 0.0 } else { waited };
            let request = &self.trace[index];
            let exact = self.policy == Policy::Clairvoyant;
            let route_request =
                self.entries[entry].route_request(request, run, &self.scenario.fleet, exact, now);
            match self.entries[entry]
                .router
                .decide(&route_request, waited, now)
            {
                Decision::Run(choice) => {
                    self.entries[entry].remove(ticket, true);
                    self.entries[entry].admitted(&self.trace[index], now);
                    self.dispatch(index, &choice);
                    sent += 1;
                }
                Decision::Refuse(wait) => {
                    self.entries[entry].remove(ticket, false);
                    self.refuse(index, wait.as_micros() as u64);
                }
                Decision::NoTarget if waited > 1_000.0 => {
                    self.entries[entry].remove(ticket, false);
                    self.refuse(index, 1_000_000);
                }
                Decision::Wait | Decision::NoTarget => {}
            }
        }
        if !self.entries[entry].queue.is_empty() && self.now >= self.entries[entry].next_look {
            let next = self.now + LOOK_INTERVAL;
            self.entries[entry].next_look = next;
            self.at(next, Event::Look(entry));
        }
    }

    /// Refuses a request; the caller comes back a few times.
    pub(super) fn refuse(&mut self, index: usize, wait: u64) {
        self.outcome.refused += 1;
        let run = &mut self.runs[index];
        if run.come_backs >= COME_BACKS || run.tokens > 0 {
            run.stage = Stage::Ended;
            self.outcome.turned_away += 1;
            self.outcome.wasted += u64::from(run.tokens);
            return;
        }
        run.come_backs += 1;
        self.at(self.now + wait, Event::Arrive(index));
    }

    /// Sends a request to the engines of a choice.
    pub(super) fn dispatch(&mut self, index: usize, choice: &Choice) {
        let now = self.now_ms();
        let entry = self.runs[index].entry;
        let (first, second) = match &choice.plan {
            Plan::Whole(target) => (target.clone(), None),
            Plan::Split { prefill, decode } => (prefill.clone(), Some(decode.clone())),
        };
        let engine = self.engine_of(&first);
        let fleet = &mut self.entries[entry].router.fleet;
        let id = fleet.sent(&first, choice.work, choice.first_token, now);
        let second = second.map(|target| {
            let id = fleet.sent(&target, choice.decode_work, choice.first_token, now);
            (target, id)
        });
        let run = &mut self.runs[index];
        run.attempt += 1;
        run.stage = Stage::Sent;
        run.first = Some((engine, id));
        run.second = second.map(|(target, id)| (index_of(&self.names, &target), id));
        if !self.engines[engine].up {
            self.broke(index);
            return;
        }
        let prefill_only = run.second.is_some();
        let work = Work {
            prefill_only,
            ..self.work(index)
        };
        self.engines[engine].add(work);
        self.start_step(engine);
        self.tell_soon(entry);
    }

    /// Returns the work that is left of a request.
    fn work(&self, index: usize) -> Work {
        let (request, run) = (&self.trace[index], &self.runs[index]);
        Work {
            id: run.stream(index),
            priority: 0,
            prompt: request.prompt + run.tokens,
            blocks: request.blocks.clone(),
            output: request.output - run.tokens,
            imported: 0,
            prefill_only: false,
        }
    }

    /// Starts the part of a request that another engine generates.
    pub(super) fn transferred(&mut self, index: usize, attempt: u32) {
        let run = &mut self.runs[index];
        let Some((engine, _)) = run.second.filter(|_| run.attempt == attempt) else {
            return;
        };
        if !self.engines[engine].up {
            self.broke(index);
            return;
        }
        let work = self.work(index);
        let work = Work {
            imported: work.prompt,
            blocks: Vec::new(),
            ..work
        };
        self.engines[engine].add(work);
        self.start_step(engine);
    }

    /// Sends a request whose engine broke to another one, from the token where it broke.
    pub(super) fn broke(&mut self, index: usize) {
        let now = self.now_ms();
        let run = &mut self.runs[index];
        self.outcome.cut += 1;
        let entry = run.entry;
        let fleet = &mut self.entries[entry].router.fleet;
        for (engine, id) in run.first.take().into_iter().chain(run.second.take()) {
            if self.engines[engine].up {
                fleet.done(id);
            } else {
                fleet.failed(id, now);
            }
        }
        run.attempt += 1;
        run.stage = Stage::Waiting;
        if self.policy.routes() {
            let request = &self.trace[index];
            let tokens = run.tokens;
            self.entries[entry].push(index, request, tokens);
            self.look(entry);
        } else {
            self.at(self.now + 50_000, Event::Arrive(index));
        }
    }

    /// Records a token.
    pub(super) fn token(&mut self, index: usize, engine: usize) {
        let now = self.now;
        let run = &mut self.runs[index];
        let request = &self.trace[index];
        let entry = run.entry;
        if run.tokens == 0 {
            run.first_ms = (now - run.arrived) as f64 / 1000.0;
            self.outcome
                .first
                .saturating_record(run.first_ms.max(1.0) as u64);
        } else if (now - run.last) as f64 / 1000.0 > self.scenario.fleet.itl_bound {
            run.slow_gaps += 1;
        }
        run.tokens += 1;
        run.last = now;
        if !run.answered {
            run.answered = true;
            let dispatch = run.second.or(run.first);
            if let Some((_, id)) = dispatch {
                self.entries[entry].router.fleet.first_token(id, now / 1000);
            }
        }
        if run.tokens >= request.output {
            self.end(index, engine);
        }
    }

    /// Ends a request whose answer is whole.
    pub(super) fn end(&mut self, index: usize, engine: usize) {
        let run = &mut self.runs[index];
        let request = &self.trace[index];
        run.stage = Stage::Ended;
        let entry = &mut self.entries[run.entry];
        for (_, id) in run.first.take().into_iter().chain(run.second.take()) {
            entry.router.fleet.done(id);
        }
        entry.finished(request, &self.names[engine], self.now / 1000);
        let bound = self.scenario.fleet.ttft_bound;
        let smooth = f64::from(run.slow_gaps) <= f64::from(run.tokens) * 0.05;
        if run.first_ms <= bound && smooth {
            self.outcome.good += 1;
            self.outcome.callers[request.caller].1 += 1;
        } else {
            self.outcome.late += 1;
            self.outcome.wasted += u64::from(run.tokens);
        }
    }
}
