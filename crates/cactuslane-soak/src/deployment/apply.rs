//! The steps of a plan, as they are applied to a deployment.

use std::io;
use std::time::Duration;

use cactuslane_platform_standin::{Fault, Mode};
use rustix::process::Signal;
use tokio::time::Instant;

use super::Deployment;
use crate::faults::{standin_fault, store_mode};
use crate::follow_ups::FollowUp;
use crate::plan::{Action, TargetFault};

/// Time after which the late ends of a step that no request has met are removed, so that their streams
/// end before the system must have recovered.
const LATE_TIME: Duration = Duration::from_secs(3);

impl Deployment {
    /// Applies a step, schedules its end and records it as a fault unless it is planned; faults of
    /// targets are recorded when requests have met all of them, those of target processes when the
    /// process serves again.
    pub(super) fn apply(&mut self, action: &Action) -> io::Result<()> {
        let now = Instant::now();
        let until = now + action.duration();
        self.observations.disruption_end = self.observations.disruption_end.max(Some(until));
        let planned = action.is_planned();
        let for_some = matches!(
            action,
            Action::Target(..)
                | Action::Limit(..)
                | Action::Process(..)
                | Action::Mood(..)
                | Action::Silence(..)
        );
        self.probes.record_fault(action, now);
        if !planned && !for_some {
            self.observations.faults.push((now, until));
        }
        match *action {
            Action::Kill(number, _) => {
                self.instances[number].kill();
                self.follow_ups.schedule(until, FollowUp::Start(number));
            }
            Action::KillAll(_) => {
                for number in 0..self.instances.len() {
                    self.instances[number].kill();
                    self.follow_ups.schedule(until, FollowUp::Start(number));
                }
            }
            Action::Stop(number) => self.instances[number].signal(Signal::TERM),
            Action::Freeze(number, _) => {
                self.instances[number].signal(Signal::STOP);
                self.follow_ups.schedule(until, FollowUp::Thaw(number));
            }
            Action::Reload(number) => {
                self.instances[number].write_settings()?;
                self.instances[number].signal(Signal::HUP);
            }
            Action::Store(fault, _) => {
                self.store.set_mode(store_mode(fault));
                self.follow_ups.schedule(until, FollowUp::HealStore);
            }
            Action::Compact => self.store.compact(),
            Action::StoreLink(number, fault, _) => {
                self.store_links[number].inject_fault(fault);
                self.follow_ups
                    .schedule(until, FollowUp::HealStoreLink(number));
            }
            Action::TargetLink(number, fault, _) => {
                self.target_links[number].inject_fault(fault);
                self.follow_ups
                    .schedule(until, FollowUp::HealTargetLink(number));
            }
            Action::Target(number, fault, count) => {
                for _ in 0..count {
                    self.targets[number].inject_fault(standin_fault(fault));
                }
                // A slow stream is no reason to cut an answer before its deadline.
                if fault == TargetFault::Late {
                    let end = now + LATE_TIME;
                    self.follow_ups.schedule(end, FollowUp::EndLate(number));
                } else {
                    self.target_faults.entry(number).or_insert(now);
                }
            }
            Action::Drain(number, _) => {
                for end in self.follow_ups.take_drain_ends(number) {
                    self.apply_follow_up(&end)?;
                }
                self.register(number, "draining");
                self.follow_ups
                    .schedule(until, FollowUp::EndDrain(number, now));
            }
            Action::Limit(number, rate, _) => {
                for end in self.follow_ups.take_limit_ends(number) {
                    self.apply_follow_up(&end)?;
                }
                self.targets[number].name_limit(Some(rate));
                self.follow_ups
                    .schedule(until, FollowUp::EndLimit(number, rate, now));
            }
            Action::Process(number, fault, time) => self.workers.disturb(number, fault, time),
            Action::Mood(number, mood, time) => self.workers.set_mood(number, mood, time),
            Action::Configure => self.configure(now),
            Action::Change(change) => {
                self.probes.change(change);
                self.configure(now);
            }
            Action::Silence(count, time) => self.probes.silence(count, time),
            Action::Path(scope, fault, _) => {
                if let Some(links) = &self.links {
                    let end = FollowUp::EndFault(links.inject(scope, fault));
                    self.follow_ups.schedule(until, end);
                }
            }
        }
        Ok(())
    }

    /// Writes the configuration with the next version number.
    fn configure(&mut self, now: Instant) {
        self.version += 1;
        self.store.configure(&self.probes.document(self.version));
        self.observations.revoked.get_or_insert(now);
    }

    /// Applies an action that ends or follows up a step.
    pub(super) fn apply_follow_up(&mut self, follow_up: &FollowUp) -> io::Result<()> {
        match *follow_up {
            FollowUp::Start(number) => {
                if !self.instances[number].has_process() {
                    self.start_instance(number)?;
                }
            }
            FollowUp::Thaw(number) => self.instances[number].signal(Signal::CONT),
            FollowUp::HealStore => self.store.set_mode(Mode::Serving),
            FollowUp::HealStoreLink(number) => self.store_links[number].heal(),
            FollowUp::HealTargetLink(number) => self.target_links[number].heal(),
            FollowUp::EndLate(number) => self.targets[number].remove_faults(Fault::Late),
            FollowUp::EndFault(id) => {
                if let Some(links) = &self.links {
                    links.end(id);
                }
            }
            FollowUp::EndDrain(number, from) => {
                let history = self.targets[number].run_times().into_values();
                let runs = history.flatten().filter(|run| *run >= from).collect();
                self.observations.drains.push((from, Instant::now(), runs));
                self.register(number, "ready");
            }
            FollowUp::EndLimit(number, rate, from) => {
                let arrivals = self.targets[number].arrivals();
                let arrivals = arrivals.into_iter().filter(|at| *at >= from).collect();
                self.observations.limits.push((from, rate, arrivals));
                self.targets[number].name_limit(None);
            }
        }
        Ok(())
    }

    /// Writes the entry of a target with a state, `ready` or `draining`, and the address of its
    /// proxy.
    fn register(&self, number: usize, state: &str) {
        let address = self.target_links[number].address;
        self.targets[number].register_at(&self.store, address, state);
    }

    /// Records the exit codes of processes that have ended, and schedules their restart.
    pub(super) fn collect_exits(&mut self) {
        for number in 0..self.instances.len() {
            let Some(code) = self.instances[number].take_exit_code() else {
                continue;
            };
            let name = self.instances[number].name.clone();
            self.observations.exits.push((name, code));
            self.follow_ups
                .schedule(Instant::now(), FollowUp::Start(number));
        }
    }

    /// Records the faults of targets that have no pending ones left, from the first injection until
    /// now.
    pub(super) fn record_target_faults(&mut self) {
        let targets = &self.targets;
        let applied = self
            .target_faults
            .extract_if(.., |number, _| targets[*number].pending_faults() == 0);
        let now = Instant::now();
        for (_, from) in applied {
            self.observations.faults.push((from, now));
            self.observations.disruption_end = self.observations.disruption_end.max(Some(now));
        }
    }
}
