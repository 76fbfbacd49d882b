//! Which instances get the counts of this one, and when.

use std::collections::BTreeMap;

use cactuslane_authority::UsageBook;
use cactuslane_authority::usage::{ProcessId, Window, WindowCounts};
use cactuslane_types::{InstanceId, Millis};

use crate::leadership::LeaderRecord;
use crate::ranking::top_ranked;

/// Number of instances that keep the counts of all, besides the leader; with a third of the instances,
/// all four of them are lost in 1 of 81 cases.
pub const COLLECTORS: usize = 4;
/// Key for the choice of these instances.
pub const COLLECTORS_KEY: &str = "usage-counts";
/// Numbers of ticks after the end of a window at which its counts are sent as a whole, as an update
/// of what had changed may have been lost.
const WHOLE_TICKS: [u32; 2] = [1, 6];
/// Number of ticks at which an instance that begins to collect gets all counts; longer than it takes
/// to notice that an instance is gone.
const FIRST_TICKS: u8 = 4;
/// Largest number of spare instances that keep the counts of all while few others are alive.
const MAX_SPARE: usize = 12;
/// Largest number of parts of other processes' counts that are passed on at one tick to one instance.
const MAX_PASSED: usize = 64;

/// Counts to send to some instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sending {
    /// Instances that get the counts.
    pub to: Vec<InstanceId>,
    /// Process whose counts they are.
    pub process: ProcessId,
    /// The counts.
    pub windows: WindowCounts,
}

/// The state of sending counts.
#[derive(Debug, Default)]
pub struct Spread {
    /// Processes that collect, with the number of ticks at which they got all counts.
    receivers: BTreeMap<ProcessId, u8>,
    /// Window at the last tick.
    window: Window,
    /// Number of ticks since the window began.
    ticks: u32,
}

impl Spread {
    /// Decides what is sent at a tick.
    ///
    /// `alive` are the processes of the other instances that are reachable and not leaving, `spare` those that get
    /// counts while few are alive, the ones that are likely to last first, `leader` the one that reports the counts, and `unix_ms`
    /// the agreed time of day.
    pub fn tick(
        &mut self,
        book: &mut UsageBook,
        alive: &[ProcessId],
        spare: &[ProcessId],
        leader: Option<&LeaderRecord>,
        unix_ms: Millis,
    ) -> Vec<Sending> {
        book.sweep(unix_ms);
        let own = book.own().clone();
        let collectors = collectors(&own.0, alive, spare);
        let is_collector = collectors.contains(&own.0);
        let mut receivers: Vec<ProcessId> = alive
            .iter()
            .chain(spare)
            .filter(|(instance, _)| collectors.contains(instance))
            .cloned()
            .collect();
        // A leader that is not reached is forgotten, so that it gets all counts once it is.
        let leader = leader.map(|leader| (leader.instance.clone(), leader.started));
        receivers.extend(leader.filter(|leader| alive.contains(leader)));
        self.set_receivers(receivers, &own.0);
        let window = book.window_of(unix_ms);
        self.ticks = if window == self.window {
            self.ticks + 1
        } else {
            0
        };
        self.window = window;
        let mut sendings = Vec::new();
        let mut add = |to: &[InstanceId], process: &ProcessId, parts: Vec<WindowCounts>| {
            if to.is_empty() {
                return;
            }
            for windows in parts {
                sendings.push(Sending {
                    to: to.to_vec(),
                    process: process.clone(),
                    windows,
                });
            }
        };
        let (mut new, mut old) = (Vec::new(), Vec::new());
        for ((instance, _), ticks) in &mut self.receivers {
            if *ticks < FIRST_TICKS {
                *ticks += 1;
                new.push(instance.clone());
            } else {
                old.push(instance.clone());
            }
        }
        let mut changes = book.take_changes();
        if WHOLE_TICKS.contains(&self.ticks) {
            let last = window.saturating_sub(1);
            add(&old, &own, book.counts_of(&own, last));
            for part in &mut changes {
                part.retain(|(window, _)| *window < last);
            }
            changes.retain(|part| !part.is_empty());
        }
        add(&old, &own, changes);
        if new.is_empty() {
            return sendings;
        }
        add(&new, &own, book.counts_of(&own, 0));
        if is_collector {
            // What is gone sends its counts to nobody.
            let mut passed = 0;
            for process in book.processes() {
                if process == own || alive.contains(&process) || passed >= MAX_PASSED {
                    continue;
                }
                let parts = book.counts_of(&process, 0);
                passed += parts.len();
                add(&new, &process, parts);
            }
        }
        sendings
    }

    /// Returns the instances that get the counts.
    #[must_use]
    pub fn receivers(&self) -> Vec<InstanceId> {
        let receivers = self.receivers.keys();
        receivers.map(|(instance, _)| instance.clone()).collect()
    }

    /// Sets the processes that get the counts, and forgets those that no longer do.
    fn set_receivers(&mut self, processes: Vec<ProcessId>, me: &str) {
        let mut receivers = BTreeMap::new();
        for process in processes {
            if process.0 == me {
                continue;
            }
            let ticks = self.receivers.get(&process).copied().unwrap_or_default();
            receivers.insert(process, ticks);
        }
        self.receivers = receivers;
    }
}

/// Returns the instances that keep the counts of all.
///
/// While few are alive, the first spare ones do so too, more than there are places, as it is not known when each ends.
fn collectors(own: &str, alive: &[ProcessId], spare: &[ProcessId]) -> Vec<InstanceId> {
    let name = |(instance, _): &ProcessId| instance.clone();
    let mut candidates: Vec<InstanceId> = alive.iter().map(name).collect();
    candidates.push(own.to_owned());
    let mut chosen = top_ranked(candidates, COLLECTORS_KEY, COLLECTORS);
    if chosen.len() < COLLECTORS {
        chosen.extend(spare.iter().map(name).take(MAX_SPARE));
    }
    chosen
}
