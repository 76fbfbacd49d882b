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

/// How a call ended, as far as that decides when the next one may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The platform answered it.
    Answered,
    /// The platform took no notice of it, as there were too many.
    Limited,
    /// It was not sent, it was not answered, or the answer was an error.
    Failed,
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
        let not_before = calls.not_before.max(self.not_before);
        if now < not_before {
            return Err(Denial::Wait(not_before - now));
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

    /// Records how a call ended.
    pub fn end(&mut self, subject: &str, end: CallEnd, now: Millis) {
        let Some(calls) = self.subjects.get_mut(subject) else {
            return;
        };
        calls.in_flight = false;
        match end {
            CallEnd::Answered => {
                self.limited = 0;
                self.subjects.remove(subject);
            }
            CallEnd::Limited => {
                self.not_before = now + pause(self.limited);
                self.limited += 1;
            }
            CallEnd::Failed => {
                calls.not_before = now + pause(calls.failures);
                calls.failures += 1;
            }
        }
    }
}

/// Returns the pause after a call that failed, as `before` others in a row did.
fn pause(before: u32) -> Millis {
    (FIRST_PAUSE << before.min(8)).min(LONGEST_PAUSE)
}
