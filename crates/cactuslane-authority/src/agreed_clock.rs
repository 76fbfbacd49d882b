//! The time of day on which the instances of a deployment agree.
//!
//! Each instance tells others the time of day by its own clock. The agreed time is that of the own
//! clock while this is near the median of what was heard lately, and else the median, so that it does
//! not follow jumps of less than half of the clocks. The median is behind by the time that messages
//! take, which is why a clock near it is preferred, and why of the samples of an instance the one that
//! was least late counts. Between samples the time advances with a steady clock.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_types::{InstanceId, Millis};

/// Longest time for which a sample counts, in milliseconds.
const SAMPLE_AGE: Millis = 30_000;
/// Time in which the largest of an instance's samples is kept apart, in milliseconds.
const SAMPLE_PERIOD: Millis = SAMPLE_AGE / 2;
/// Number of samples, the own clock included, from which on their median is taken; with fewer it is
/// not known which of them is wrong.
const MIN_SAMPLES: usize = 3;
/// Difference between the own clock and the median, or the own clock before, up to which the own
/// clock is used, in milliseconds; longer than messages usually take.
const TOLERANCE: Millis = 250;
/// Microseconds of a millisecond.
const MICROS: i64 = 1_000;
/// Largest number of instances whose samples are kept.
const MAX_SAMPLES: usize = 512;

/// Difference between a time of day and the steady clock, in microseconds, so that no request counts
/// in the window beside its own as two times are rounded.
type Offset = i64;

/// The agreed time of day.
#[derive(Clone, Debug)]
pub struct AgreedClock {
    /// Offset in force.
    offset: Offset,
    /// Offsets of other instances by name.
    samples: BTreeMap<InstanceId, Samples>,
}

/// What one instance told of its clock in the current period and the one before.
///
/// A message can be late but not early, so that the largest offset is the nearest one.
#[derive(Clone, Debug)]
struct Samples {
    /// Largest offset of the current period.
    current: Offset,
    /// Steady time at which the current period began.
    began: Millis,
    /// Largest offset and beginning of the period before, if there was one.
    previous: Option<(Offset, Millis)>,
}

impl AgreedClock {
    /// Creates a clock that shows the own time of day, in Unix milliseconds, at the steady time
    /// `now`.
    #[must_use]
    pub fn new(own_unix: Millis, now: Millis) -> Self {
        Self::with_offset(offset(own_unix, now))
    }

    /// Creates a clock with a difference between the own time of day and the steady clock, in
    /// microseconds.
    #[must_use]
    pub fn with_offset(own: i64) -> Self {
        Self {
            offset: own,
            samples: BTreeMap::new(),
        }
    }

    /// Records the time of day that another instance told, in Unix milliseconds.
    pub fn record(&mut self, instance: &str, unix_time: Millis, now: Millis) {
        let offset = offset(unix_time, now);
        if let Some(samples) = self.samples.get_mut(instance) {
            samples.add(offset, now);
        } else if self.samples.len() < MAX_SAMPLES {
            self.samples
                .insert(instance.to_owned(), Samples::new(offset, now));
        }
    }

    /// Brings the offset in line with the samples; `own_unix` is the own time of day, in Unix
    /// milliseconds. Returns by how much it changed, in milliseconds.
    pub fn update(&mut self, own_unix: Millis, now: Millis) -> i64 {
        self.update_offset(offset(own_unix, now), now)
    }

    /// Does the same with the difference between the own time of day and the steady clock, in
    /// microseconds.
    pub fn update_offset(&mut self, own: i64, now: Millis) -> i64 {
        self.samples
            .retain(|_, samples| now.saturating_sub(samples.began) <= SAMPLE_AGE);
        let samples = self.samples.values();
        let mut offsets: Vec<Offset> = samples.map(|samples| samples.offset(now)).collect();
        offsets.push(own);
        if offsets.len() < MIN_SAMPLES {
            // A clock that is corrected by and by is followed, and a jump is not.
            let agreed = if is_near(own, self.offset) {
                own
            } else {
                self.offset
            };
            return self.replace(agreed);
        }
        offsets.sort_unstable();
        let median = offsets[(offsets.len() - 1) / 2];
        self.replace(if is_near(own, median) { own } else { median })
    }

    /// Replaces the offset, and returns by how much it changed, in milliseconds.
    fn replace(&mut self, agreed: Offset) -> i64 {
        agreed.saturating_sub(std::mem::replace(&mut self.offset, agreed)) / MICROS
    }

    /// Returns the number of instances whose samples count.
    #[must_use]
    pub fn sample_count(&self) -> usize {
        self.samples.len()
    }

    /// Returns the agreed time of day at a steady time, in Unix milliseconds.
    #[must_use]
    pub fn unix(&self, now: Millis) -> Millis {
        self.unix_at(Duration::from_millis(now))
    }

    /// Returns the agreed time of day at a steady time, in Unix milliseconds.
    #[must_use]
    pub fn unix_at(&self, now: Duration) -> Millis {
        let now = Offset::try_from(now.as_micros()).unwrap_or(Offset::MAX);
        (now.saturating_add(self.offset).max(0) / MICROS) as Millis
    }
}

/// Returns the difference between a time of day and a steady time.
fn offset(unix_time: Millis, now: Millis) -> Offset {
    let millis = (unix_time as i64).wrapping_sub(now as i64);
    millis.saturating_mul(MICROS)
}

/// Returns whether two offsets differ by at most [`TOLERANCE`].
fn is_near(one: Offset, other: Offset) -> bool {
    one.abs_diff(other) <= TOLERANCE * MICROS.unsigned_abs()
}

impl Samples {
    /// Creates the samples of an instance whose first one arrives now.
    fn new(offset: Offset, now: Millis) -> Self {
        Self {
            current: offset,
            began: now,
            previous: None,
        }
    }

    /// Adds a sample that arrives now.
    fn add(&mut self, offset: Offset, now: Millis) {
        if now.saturating_sub(self.began) >= SAMPLE_PERIOD {
            self.previous = Some((self.current, self.began));
            (self.current, self.began) = (offset, now);
        }
        self.current = self.current.max(offset);
    }

    /// Returns the offset of the sample that was least late.
    fn offset(&self, now: Millis) -> Offset {
        let previous = self.previous;
        let previous = previous.filter(|(_, began)| now.saturating_sub(*began) <= SAMPLE_AGE);
        previous.map_or(self.current, |(offset, _)| offset.max(self.current))
    }
}
