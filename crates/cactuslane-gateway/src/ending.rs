//! How the answers of targets end, and how that is known.
//!
//! The end of an answer that has no length looks the same whether its target ended it or was killed:
//! the system closes the connections of a process that ends. Such an answer is whole only if there is a
//! [`Sign`](cactuslane_flight::Sign) that the process which sent it went on afterwards. A target also ends what it has not
//! finished when the time that it was given is over.

mod calls;
pub mod signs;

use std::time::Duration;

use cactuslane_flight::AttemptFailure;
use cactuslane_flight::target::Target;
use cactuslane_held::Framing;
use cactuslane_types::Millis;
use hyper::body::{Bytes, Incoming};
use log::info;
use tokio::time::{Instant, timeout};

use crate::bodies::read_body;
use crate::leadership::boot_millis;
use crate::request::CallerRequest;
use crate::state::Gateway;

/// An answer of a target whose head has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Answered<'a> {
    /// The target.
    pub target: &'a Target,
    /// What ends the body.
    pub framing: Framing,
    /// The end that the target was told.
    pub told: Told,
    /// Time at which the request was sent; the process had the address of the target then.
    pub sent: Instant,
    /// Whether the request can go on at another target if the answer is not whole.
    pub goes_on: bool,
}

/// The end of the time that a target is given, which it is told and by which its answer is judged.
///
/// Both come from one reading of the clocks: from two, a target can be told a time that ends before the
/// one by which its answer is judged, and an answer that it ends then would pass for whole.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// The end, in milliseconds of [`boot_millis`].
    deadline: Millis,
    /// Time until then when the clocks were read.
    left: Duration,
    /// Time at which they were read.
    read: Instant,
}

impl Told {
    /// Reads the clocks; `left` returns the time until the deadline of the request.
    #[must_use]
    pub fn read(left: impl FnOnce() -> Duration) -> Self {
        // First, so that the end is not later than the one that the target is told.
        let now = boot_millis();
        let left = left();
        Self {
            deadline: now + left.as_millis() as Millis,
            left,
            read: Instant::now(),
        }
    }

    /// Returns the end, in milliseconds of [`boot_millis`].
    #[must_use]
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Returns the time that a target is told now.
    #[must_use]
    pub fn left(&self) -> Duration {
        told_time(self.left, self.read.elapsed())
    }
}

/// Returns the time that a target is told, of which a part has passed; it is told in whole milliseconds,
/// and an earlier end than its answer is judged by would pass for a regular one.
#[must_use]
pub fn told_time(left: Duration, passed: Duration) -> Duration {
    let passed = Duration::from_millis(passed.as_millis() as Millis);
    left.saturating_sub(passed)
}

/// Reads the body of a target's answer, which must be whole.
///
/// # Errors
///
/// Returns [`AttemptFailure::Broken`] and the cause if the body is incomplete or cannot be held in
/// memory, and the errors of [`confirm`].
pub async fn read_whole(
    gateway: &Gateway,
    request: &CallerRequest,
    answered: Answered<'_>,
    body: Incoming,
) -> Result<Bytes, (AttemptFailure, String)> {
    let body = read_body(gateway, request.connection, body).await?;
    confirm(gateway, request, answered).await?;
    Ok(body)
}

/// Confirms that an answer whose body has ended is whole: by its length, by its last chunk or, if it
/// has neither, by a sign that the process which sent it went on.
///
/// # Errors
///
/// Returns [`AttemptFailure::Late`] if the target was to stop work before the end, so that it may have
/// ended an answer that is not whole, and [`AttemptFailure::Broken`] if the process has ended, or if there
/// is no sign of it while one may be awaited.
pub async fn confirm(
    gateway: &Gateway,
    request: &CallerRequest,
    answered: Answered<'_>,
) -> Result<(), (AttemptFailure, String)> {
    let Answered {
        target, framing, ..
    } = answered;
    if framing == Framing::Length {
        return Ok(());
    }
    if boot_millis() >= answered.told.deadline || request.time_left().is_zero() {
        let why = "the end came after the deadline".to_owned();
        return Err((AttemptFailure::Late, why));
    }
    if framing == Framing::Chunks {
        return Ok(());
    }
    let began = Instant::now();
    let finding = timeout(request.time_left(), signs::find(gateway, request, answered));
    let result = finding.await;
    let result = result.unwrap_or_else(|_| Err("no sign in time".to_owned()));
    gateway.metrics.count_end(result.is_ok());
    info!(
        request = request.info.id,
        target_id = target.id,
        process:? = target.started_at,
        confirmed = result.is_ok(),
        sign = result.as_ref().map_or("", |sign| sign.label()),
        why = result.as_ref().err().map_or("", String::as_str),
        elapsed_ms = began.elapsed().as_millis() as u64;
        "end without a length"
    );
    let broken = |why| format!("the end is not confirmed: {why}");
    match result {
        Ok(_) => Ok(()),
        Err(why) => Err((AttemptFailure::Broken, broken(why))),
    }
}
