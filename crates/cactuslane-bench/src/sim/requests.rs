//! Events of requests: arrival, queueing, dispatch, tokens, failure and completion.

use cactuslane_route::{Choice, Decision, Plan};
use cactuslane_standin::Work;

use super::run::Stage;
use super::{Event, Sim, index_of};
use crate::policy::Policy;

/// Time between two checks of a queue that is not empty, in microseconds.
const CHECK_INTERVAL: u64 = 10_000;
/// Number of times that a caller retries a refused request.
const MAX_RETRIES: u32 = 3;
/// Maximum number of requests dispatched in one check of a queue. Twice as many are considered, as
/// requests may be dispatched out of order, past ones that must wait.
const QUEUE_HEAD: usize = 4;

impl Sim<'_> {
    /// Handles the arrival of a request: queues it, or dispatches it at once under a baseline
    /// policy.
    pub(super) fn arrive(&mut self, index: usize) {
        let request = &self.trace[index];
        let entry = index % self.entries.len();
        let state = &mut self.states[index];
        state.arrived = self.now;
        state.entry = entry;
        if state.retries == 0 {
            self.outcome.offered += 1;
            self.outcome.callers[request.caller].0 += 1;
        }
        self.demand.0 += f64::from(request.prompt);
        let expected = self.entries[entry].reserve(request);
        self.demand.1 += f64::from(expected);
        if self.policy.uses_router() {
            self.entries[entry].push(index, request, 0);
            self.check_queue(entry);
            return;
        }
        let chosen = self.entries[entry].choose_baseline(self.policy, self.scenario.fleet.engines);
        self.dispatch(
            index,
            &Choice {
                plan: Plan::Whole(self.engine_ids[chosen].clone()),
                first_token: 1.0,
                wait: 0.0,
                shortage: 0.0,
                cached: 0,
                work: cactuslane_route::Work::default(),
                decode_work: cactuslane_route::Work::default(),
            },
        );
    }

    /// Decides on the requests at the head of an entry instance's queue, and schedules the next
    /// check if requests remain.
    pub(super) fn check_queue(&mut self, entry: usize) {
        if self.policy == Policy::Clairvoyant {
            self.report_exact_loads();
        }
        let now = self.now_ms();
        let waiting: Vec<(u64, usize)> = self.entries[entry].head(QUEUE_HEAD * 2);
        let mut sent = 0;
        for (ticket, index) in waiting {
            if sent >= QUEUE_HEAD {
                break;
            }
            let state = &self.states[index];
            let waited = (self.now - state.arrived) as f64 / 1000.0;
            let waited = if state.tokens > 0 { 0.0 } else { waited };
            let request = &self.trace[index];
            let exact = self.policy == Policy::Clairvoyant;
            let route_request =
                self.entries[entry].route_request(request, state, &self.scenario.fleet, exact, now);
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
        if !self.entries[entry].queue.is_empty() && self.now >= self.entries[entry].next_check {
            let next = self.now + CHECK_INTERVAL;
            self.entries[entry].next_check = next;
            self.push_event(next, Event::CheckQueue(entry));
        }
    }

    /// Refuses a request. The caller retries it after `wait` microseconds, up to [`MAX_RETRIES`]
    /// times, but not if a part of the answer was streamed.
    pub(super) fn refuse(&mut self, index: usize, wait: u64) {
        self.outcome.refused += 1;
        let state = &mut self.states[index];
        if state.retries >= MAX_RETRIES || state.tokens > 0 {
            state.stage = Stage::Ended;
            self.outcome.rejected += 1;
            self.outcome.wasted_tokens += u64::from(state.tokens);
            return;
        }
        state.retries += 1;
        self.push_event(self.now + wait, Event::Arrive(index));
    }

    /// Dispatches a request to the engines of a choice: starts it at the first one, and reserves
    /// the second one of a split request.
    pub(super) fn dispatch(&mut self, index: usize, choice: &Choice) {
        let now = self.now_ms();
        let entry = self.states[index].entry;
        let (first, second) = match &choice.plan {
            Plan::Whole(target) => (target.clone(), None),
            Plan::Split { prefill, decode } => (prefill.clone(), Some(decode.clone())),
        };
        let engine = self.engine_index(&first);
        let fleet = &mut self.entries[entry].router.fleet;
        let id = fleet.sent(&first, choice.work, choice.first_token, now);
        let second = second.map(|target| {
            let id = fleet.sent(&target, choice.decode_work, choice.first_token, now);
            (target, id)
        });
        let state = &mut self.states[index];
        state.attempt += 1;
        state.stage = Stage::Sent;
        state.first_dispatch = Some((engine, id));
        state.decode_dispatch =
            second.map(|(target, id)| (index_of(&self.engine_ids, &target), id));
        if !self.engines[engine].up {
            self.retry_broken(index);
            return;
        }
        let prefill_only = state.decode_dispatch.is_some();
        let work = Work {
            prefill_only,
            ..self.remaining_work(index)
        };
        self.engines[engine].add(work);
        self.start_step(engine);
        self.publish_soon(entry);
    }

    /// Returns the remaining work of a request; tokens streamed so far count as part of the prompt.
    fn remaining_work(&self, index: usize) -> Work {
        let (request, state) = (&self.trace[index], &self.states[index]);
        Work {
            id: state.stream_id(index),
            priority: 0,
            prompt: request.prompt + state.tokens,
            blocks: request.block_hashes.clone(),
            output: request.output - state.tokens,
            imported: 0,
            prefill_only: false,
        }
    }

    /// Starts generation at the second engine of a split request once the KV cache has arrived,
    /// unless a later attempt has replaced the transferred one.
    pub(super) fn finish_transfer(&mut self, index: usize, attempt: u32) {
        let state = &mut self.states[index];
        let Some((engine, _)) = state.decode_dispatch.filter(|_| state.attempt == attempt) else {
            return;
        };
        if !self.engines[engine].up {
            self.retry_broken(index);
            return;
        }
        let work = self.remaining_work(index);
        let work = Work {
            imported: work.prompt,
            blocks: Vec::new(),
            ..work
        };
        self.engines[engine].add(work);
        self.start_step(engine);
    }

    /// Schedules a request whose engine is down for another dispatch, which continues after the
    /// last streamed token. Baseline policies dispatch it again after 50 ms.
    pub(super) fn retry_broken(&mut self, index: usize) {
        let now = self.now_ms();
        let state = &mut self.states[index];
        self.outcome.cut_streams += 1;
        let entry = state.entry;
        let fleet = &mut self.entries[entry].router.fleet;
        for (engine, id) in state
            .first_dispatch
            .take()
            .into_iter()
            .chain(state.decode_dispatch.take())
        {
            if self.engines[engine].up {
                fleet.done(id);
            } else {
                fleet.failed(id, now);
            }
        }
        state.attempt += 1;
        state.stage = Stage::Waiting;
        if self.policy.uses_router() {
            let request = &self.trace[index];
            let tokens = state.tokens;
            self.entries[entry].push(index, request, tokens);
            self.check_queue(entry);
        } else {
            self.push_event(self.now + 50_000, Event::Arrive(index));
        }
    }

    /// Records a token of a request, with the time to the first token or the gap since the last
    /// one.
    pub(super) fn record_token(&mut self, index: usize, engine: usize) {
        let now = self.now;
        let state = &mut self.states[index];
        let request = &self.trace[index];
        let entry = state.entry;
        if state.tokens == 0 {
            state.ttft_ms = (now - state.arrived) as f64 / 1000.0;
            self.outcome
                .ttft_ms
                .saturating_record(state.ttft_ms.max(1.0) as u64);
        } else if (now - state.last_token) as f64 / 1000.0 > self.scenario.fleet.itl_bound {
            state.slow_gaps += 1;
        }
        state.tokens += 1;
        state.last_token = now;
        if !state.answered {
            state.answered = true;
            let dispatch = state.decode_dispatch.or(state.first_dispatch);
            if let Some((_, id)) = dispatch {
                self.entries[entry].router.fleet.first_token(id, now / 1000);
            }
        }
        if state.tokens >= request.output {
            self.end(index, engine);
        }
    }

    /// Ends a request with a complete answer and counts it as good or late.
    pub(super) fn end(&mut self, index: usize, engine: usize) {
        let state = &mut self.states[index];
        let request = &self.trace[index];
        state.stage = Stage::Ended;
        let entry = &mut self.entries[state.entry];
        for (_, id) in state
            .first_dispatch
            .take()
            .into_iter()
            .chain(state.decode_dispatch.take())
        {
            entry.router.fleet.done(id);
        }
        entry.finished(request, &self.engine_ids[engine], self.now / 1000);
        let bound = self.scenario.fleet.ttft_bound;
        let smooth = f64::from(state.slow_gaps) <= f64::from(state.tokens) * 0.05;
        if state.ttft_ms <= bound && smooth {
            self.outcome.good += 1;
            self.outcome.callers[request.caller].1 += 1;
        } else {
            self.outcome.late += 1;
            self.outcome.wasted_tokens += u64::from(state.tokens);
        }
    }
}
