//! When the instance that holds the duties may make a call to the platform.
//!
//! The platform takes a number of calls a second from all instances together. As only the leader
//! makes any, the limit is kept by one [`CallGate`] in each instance.
//!
//! All times are in milliseconds on one clock of the process.

use std::collections::BTreeMap;
use std::fmt;

use cactuslane_types::{FencingToken, Millis};

/// What a call is about; calls of different subjects may overlap.
pub type Subject = String;

/// Share of the calls a second that may be made at once; the rest of them is the rate at which
/// further ones are allowed, so that no second has more than the whole.
const BURST_SHARE: f64 = 0.5;
/// Pause of a subject after the first call that failed.
const FIRST_PAUSE: Millis = 300;
/// Longest pause after any number of calls that failed.
const LONGEST_PAUSE: Millis = 4_000;

/// Number of calls in a row without an answer after which the instance may be cut off from the
/// platform.
const CUT_CALLS: u32 = 3;
/// Time since the first of them after which the duties are better held by another instance: a short
/// trouble of the platform itself has passed by then.
const CUT_TIME: Millis = 8_000;

/// How a call ended, as far as that decides when the next one may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The platform answered it.
    Answered,
    /// The platform took no notice of it, as there were too many.
    Limited,
    /// The answer was an error.
    Failed,
    /// It was not sent or not answered.
    Unanswered,
}

/// Why a call may not be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// A call of the same subject has not ended yet.
    InFlight,
    /// Earlier calls failed or the limit is reached; the time to wait at least, in milliseconds.
    Wait(Millis),
    /// A call under a higher fencing token was made before.
    OldToken,
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InFlight => f.write_str("another call of the subject has not ended"),
            Self::Wait(wait) => write!(f, "no call is allowed for {wait} ms"),
            Self::OldToken => f.write_str("a call under a higher fencing token was made before"),
        }
    }
}

/// The calls of one subject.
#[derive(Clone, Copy, Debug, Default)]
struct SubjectCalls {
    /// Whether a call has not ended yet.
    in_flight: bool,
    /// Number of calls in a row that failed.
    failures: u32,
    /// Time before which no call is made.
    not_before: Millis,
}

/// The calls of one instance: which subjects wait for an answer, and how many may be made.
#[derive(Clone, Debug, Default)]
pub struct CallGate {
    /// Number of calls that may be made now, and the time at which it was computed.
    allowance: Option<(f64, Millis)>,
    /// Number of calls in a row of which the platform took no notice.
    limited: u32,
    /// Time before which no call of any subject is made.
    not_before: Millis,
    /// Highest fencing token of a call.
    token: FencingToken,
    /// Number of calls in a row that were not answered, and the time at which the first one ended.
    unanswered: Option<(u32, Millis)>,
    /// Calls by subject.
    subjects: BTreeMap<Subject, SubjectCalls>,
}

impl CallGate {
    /// Begins a call under a fencing token where `rate` calls a second are allowed;
    /// [`CallGate::end`] must follow.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call may not be made now.
    pub fn begin(
        &mut self,
        subject: &str,
        token: FencingToken,
        rate: f64,
        now: Millis,
    ) -> Result<(), Denial> {
        if token < self.token {
            return Err(Denial::OldToken);
        }
        let calls = self.subjects.get(subject).copied().unwrap_or_default();
        if calls.in_flight {
            return Err(Denial::InFlight);
        }
        let wait = self.pause_left(subject, now);
        if wait > 0 {
            return Err(Denial::Wait(wait));
        }
        let burst = (rate * BURST_SHARE).max(1.0);
        let refill = rate * (1.0 - BURST_SHARE) / 1_000.0;
        let (left, since) = self.allowance.unwrap_or((burst, now));
        let left = (left + refill * now.saturating_sub(since) as f64).min(burst);
        self.allowance = Some((left, now));
        if left < 1.0 {
            let wait = ((1.0 - left) / refill).ceil();
            return Err(Denial::Wait((wait as Millis).clamp(1, LONGEST_PAUSE)));
        }
        self.allowance = Some((left - 1.0, now));
        self.token = token;
        let calls = self.subjects.entry(subject.to_owned()).or_default();
        calls.in_flight = true;
        Ok(())
    }

    /// Returns the time for which earlier calls that failed keep a call of a subject back.
    #[must_use]
    pub fn pause_left(&self, subject: &str, now: Millis) -> Millis {
        let calls = self.subjects.get(subject).copied().unwrap_or_default();
        let not_before = calls.not_before.max(self.not_before);
        not_before.saturating_sub(now)
    }

    /// Records how a call ended.
    pub fn end(&mut self, subject: &str, end: CallEnd, now: Millis) {
        let Some(calls) = self.subjects.get_mut(subject) else {
            return;
        };
        calls.in_flight = false;
        if end == CallEnd::Unanswered {
            let (number, since) = self.unanswered.unwrap_or((0, now));
            self.unanswered = Some((number + 1, since));
        } else {
            self.unanswered = None;
        }
        match end {
            CallEnd::Answered => {
                self.limited = 0;
                self.subjects.remove(subject);
            }
            CallEnd::Limited => {
                self.not_before = now + pause(self.limited);
                self.limited += 1;
            }
            CallEnd::Failed | CallEnd::Unanswered => {
                calls.not_before = now + pause(calls.failures);
                calls.failures += 1;
            }
        }
    }

    /// Returns whether this instance appears to be cut off from the platform, so that another one
    /// may do better.
    #[must_use]
    pub fn is_cut(&self, now: Millis) -> bool {
        self.unanswered
            .is_some_and(|(number, since)| number >= CUT_CALLS && now >= since + CUT_TIME)
    }

    /// Forgets the calls that were not answered, as the duties were given up for them.
    pub fn clear_unanswered(&mut self) {
        self.unanswered = None;
    }
}

/// Returns the pause after a call that failed, as `before` others in a row did.
fn pause(before: u32) -> Millis {
    (FIRST_PAUSE << before.min(8)).min(LONGEST_PAUSE)
}
