//! Which report of usage the holder of that duty makes next.
//!
//! A window's report has one content, whoever sends it: it is stored before it is first sent, on
//! condition that none is stored, and only what is stored is sent. The plan therefore asks for a
//! window's content to be stored, then for it to be sent.
//!
//! Times are in milliseconds since the Unix epoch, as windows are counted from it.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_types::{CustomerName, Millis};

/// Number of a window, counted from the Unix epoch.
pub type WindowNumber = u64;
/// Number of requests that began in a window, by customer.
pub type Counts = BTreeMap<CustomerName, u64>;

/// Time after the end of a window after which the counts of all instances have arrived: each tells
/// them several times in it.
const COLLECT_TIME: Millis = 2_000;
/// Largest share of the time until a report is due that [`COLLECT_TIME`] may take.
const COLLECT_SHARE: Millis = 4;
/// Number of windows for which a report is still sent after it was due.
const LATE_WINDOWS: Millis = 2;
/// Shortest time after the last moment at which a report is sent for which its content stays stored,
/// as clocks of instances differ.
const MIN_KEEP_TIME: Millis = 60_000;
/// Largest number of contents that are deleted at once.
const MAX_DELETES: usize = 16;

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Stores the content of a window's report, on condition that none is stored.
    Store(WindowNumber),
    /// Sends the stored content of a window's report.
    Send(WindowNumber, Counts),
}

/// When a report was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Punctuality {
    /// Before it was due.
    InTime,
    /// After it was due.
    Late,
}

/// A window whose report is ready to be sent and was not accepted yet.
#[derive(Clone, Debug, Default)]
struct Pending {
    /// Number of steps that failed.
    attempts: u32,
    /// Content that is stored; `None` if that is not known.
    counts: Option<Counts>,
}

/// The reports of one instance.
#[derive(Clone, Debug)]
pub struct ReportPlan {
    /// Length of a window.
    window: Millis,
    /// Time after its end at which a report is due.
    due: Millis,
    /// Start of the process: windows that ended before are left out, as it does not know them.
    started: Millis,
    /// Windows that are ready, while the duty is held.
    pending: BTreeMap<WindowNumber, Pending>,
    /// Windows that need no further step, as far as they are recent.
    done: BTreeSet<WindowNumber>,
    /// Windows whose content is stored, until it is deleted.
    stored: BTreeSet<WindowNumber>,
}

impl ReportPlan {
    /// Creates the plan of a process that started at `started`, for windows of a length of `window`
    /// whose reports are due `due` after their ends.
    #[must_use]
    pub fn new(window: Millis, due: Millis, started: Millis) -> Self {
        Self {
            window: window.max(1),
            due,
            started,
            pending: BTreeMap::new(),
            done: BTreeSet::new(),
            stored: BTreeSet::new(),
        }
    }

    /// Returns the windows that are no longer sent, for each of which the time has passed although
    /// this instance held the duty.
    pub fn expire(&mut self, now: Millis) -> Vec<WindowNumber> {
        let mut missed = Vec::new();
        let oldest = self.oldest(now);
        while let Some(entry) = self.pending.first_entry()
            && *entry.key() < oldest
        {
            missed.push(entry.remove_entry().0);
        }
        self.done = self.done.split_off(&oldest);
        missed
    }

    /// Returns the next step of the instance that holds the duty, if any.
    ///
    /// Reports that can still be in time go before late ones, and those that failed less often
    /// before the others: one that always fails keeps no other back.
    pub fn next(&mut self, now: Millis) -> Option<Step> {
        for window in self.oldest(now)..self.ended(now) {
            if !self.done.contains(&window) {
                self.pending.entry(window).or_default();
            }
        }
        let rank = |(window, pending): &(&WindowNumber, &Pending)| {
            (self.is_late(**window, now), pending.attempts, **window)
        };
        let (window, pending) = self.pending.iter().min_by_key(rank)?;
        Some(match &pending.counts {
            None => Step::Store(*window),
            Some(counts) => Step::Send(*window, counts.clone()),
        })
    }

    /// Records the content that is stored for a window.
    pub fn record_stored(&mut self, window: WindowNumber, counts: Counts) {
        self.stored.insert(window);
        if let Some(pending) = self.pending.get_mut(&window) {
            pending.counts = Some(counts);
        }
    }

    /// Records that the content that is stored for a window cannot be used, so that no report of it
    /// can be sent.
    pub fn record_unusable(&mut self, window: WindowNumber) {
        self.stored.insert(window);
        self.pending.remove(&window);
        self.done.insert(window);
    }

    /// Records that a step of a window failed.
    pub fn record_failure(&mut self, window: WindowNumber) {
        if let Some(pending) = self.pending.get_mut(&window) {
            pending.attempts += 1;
        }
    }

    /// Records that a report was accepted, and returns whether that was in time.
    pub fn record_accepted(&mut self, window: WindowNumber, now: Millis) -> Punctuality {
        self.pending.remove(&window);
        self.done.insert(window);
        if self.is_late(window, now) {
            Punctuality::Late
        } else {
            Punctuality::InTime
        }
    }

    /// Forgets the windows that are not reported yet, as the duty was lost.
    pub fn release(&mut self) {
        self.pending.clear();
    }

    /// Returns windows whose stored content no instance needs any more, the oldest ones first.
    #[must_use]
    pub fn obsolete(&self, now: Millis) -> Vec<WindowNumber> {
        let last_sent = self.due + self.window * LATE_WINDOWS;
        let kept = last_sent + last_sent.max(MIN_KEEP_TIME);
        let oldest = now.saturating_sub(kept) / self.window;
        let obsolete = self.stored.range(..oldest);
        obsolete.take(MAX_DELETES).copied().collect()
    }

    /// Records that the contents of windows are not stored any more, or that this is not known.
    pub fn forget_stored(&mut self, windows: &[WindowNumber]) {
        for window in windows {
            self.stored.remove(window);
        }
    }

    /// Returns the time since the end of a window.
    #[must_use]
    pub fn age(&self, window: WindowNumber, now: Millis) -> Millis {
        now.saturating_sub((window + 1).saturating_mul(self.window))
    }

    /// Returns whether the report of a window is due already.
    fn is_late(&self, window: WindowNumber, now: Millis) -> bool {
        self.age(window, now) >= self.due
    }

    /// Returns the first window of which a report may still be sent.
    fn oldest(&self, now: Millis) -> WindowNumber {
        let sent_for = self.due + self.window * LATE_WINDOWS;
        let first = now.saturating_sub(sent_for) / self.window;
        first.max(self.started / self.window)
    }

    /// Returns the window after the last one whose counts have arrived.
    fn ended(&self, now: Millis) -> WindowNumber {
        let collect = COLLECT_TIME.min(self.due / COLLECT_SHARE);
        now.saturating_sub(collect) / self.window
    }
}
