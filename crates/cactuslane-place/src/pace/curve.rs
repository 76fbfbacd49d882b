//! Times of a target's answers by the number of requests that it ran, and the number that it takes
//! well.

use cactuslane_types::Millis;

/// Largest number of levels into which the slots of a target are divided.
const MAX_LEVELS: u32 = 8;
/// Half-life of the answers behind a level, in milliseconds.
const HALF_LIFE: f64 = 10_000.0;
/// Largest weight of a level, in answers.
const MAX_WEIGHT: f64 = 40.0;
/// Weight that the levels on each side of a capacity need, in answers.
const MIN_WEIGHT: f64 = 8.0;
/// Largest power of the number of running requests with which the time may grow: a request that
/// is added then still gains more throughput than it costs time.
const GENTLE_POWER: f64 = 0.5;
/// Improvement of the squared errors over a gentle rise, in variances of one answer, from which a
/// capacity below the slots is believed.
const BELIEF: f64 = 9.0;
/// Weight of a new answer in the moving average of the variance.
const VARIANCE_WEIGHT: f64 = 0.05;
/// Variance of the logarithm of a time before answers have shown it, and its least value.
const VARIANCE_RANGE: (f64, f64) = (0.01, 0.25);
/// Time between two steps by which the capacity rises, in milliseconds.
const RAISE_INTERVAL: Millis = 2_000;

/// Answers of a target at one number of running requests, or at a few close ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Level {
    /// Weight of the answers.
    pub(super) weight: f64,
    /// Average of the natural logarithm of their times in milliseconds.
    pub(super) mean: f64,
}

/// Answers of a target by level, and what follows from them.
#[derive(Clone, Debug)]
pub(super) struct Curve {
    /// Number of slots of the target.
    slots: u32,
    /// Answers by level, as many levels as slots or [`MAX_LEVELS`].
    levels: Vec<Level>,
    /// Moving average of the squared distance of an answer from its level.
    variance: f64,
    /// Time up to which the weights have decayed.
    at: Millis,
    /// Number of levels that the target takes well.
    taken: usize,
    /// Time at which this number last rose, or could have.
    raised: Millis,
    /// Logarithm of the time of an answer at a number of requests that the target takes well.
    base: f64,
}

impl Level {
    /// Adds answers with a weight and the average of their logarithmic times.
    pub(super) fn add(&mut self, weight: f64, mean: f64) {
        self.weight = (self.weight + weight).min(MAX_WEIGHT.max(weight));
        self.mean += (mean - self.mean) * weight / self.weight;
    }
}

impl Curve {
    /// Creates a curve without answers, by which the target takes all its slots well.
    pub(super) fn new(slots: u32, now: Millis) -> Self {
        let count = slots.clamp(1, MAX_LEVELS) as usize;
        Self {
            slots,
            levels: vec![Level::default(); count],
            variance: VARIANCE_RANGE.1,
            at: now,
            taken: count,
            raised: now,
            base: 0.0,
        }
    }

    /// Returns the number of slots of the target.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the level of a number of running requests, which counts as 1 to the slots.
    pub(super) fn level(&self, running: u32) -> usize {
        let running = u64::from(running.clamp(1, self.slots.max(1)));
        let count = self.levels.len() as u64;
        ((running * count).div_ceil(u64::from(self.slots.max(1))) - 1) as usize
    }

    /// Returns the number of requests up to which a level reaches.
    fn top(&self, level: usize) -> f64 {
        f64::from(self.slots.max(1)) * (level + 1) as f64 / self.levels.len() as f64
    }

    /// Records an answer at a level by the logarithm of its time.
    pub(super) fn observe(&mut self, level: usize, time: f64, now: Millis) {
        let Some(known) = self.levels.get(level).copied() else {
            return;
        };
        if known.weight >= 1.0 {
            let error = time - known.mean;
            let step = (error * error).min(1.0) - self.variance;
            self.variance = (self.variance + step * VARIANCE_WEIGHT).max(VARIANCE_RANGE.0);
        }
        let answer = Level {
            weight: 1.0,
            mean: time,
        };
        self.add(level, answer, now);
    }

    /// Adds answers at a level.
    pub(super) fn add(&mut self, level: usize, answers: Level, now: Millis) {
        self.decay(now);
        if let Some(known) = self.levels.get_mut(level)
            && answers.weight > 0.0
        {
            known.add(answers.weight, answers.mean);
        }
    }

    /// Returns the number of requests that the target takes well, from 1 to the slots.
    pub(super) fn capacity(&self) -> f64 {
        self.top(self.taken - 1).max(1.0)
    }

    /// Returns the logarithm of the time of an answer while the target takes its requests well, in
    /// milliseconds, and the weight of the answers behind it.
    pub(super) fn base(&self) -> (f64, f64) {
        (
            self.base,
            self.levels.iter().map(|level| level.weight).sum(),
        )
    }

    /// Derives the capacity anew: it falls at once to the one that explains the times best, and
    /// rises by a level in [`RAISE_INTERVAL`].
    pub(super) fn refresh(&mut self, now: Millis) {
        self.decay(now);
        let (taken, base) = self.fit();
        self.base = base;
        if taken <= self.taken {
            self.taken = taken;
            self.raised = now;
        } else if now.saturating_sub(self.raised) >= RAISE_INTERVAL {
            self.taken += 1;
            self.raised = now;
        }
    }

    /// Returns the number of levels that explains the times best, and the logarithm of the time of
    /// an answer up to it.
    ///
    /// Up to a capacity the time stays, and beyond it grows with the number of requests, as no more
    /// of them end in a time. A capacity below the slots is taken only if that explains the times
    /// clearly better than a rise that is gentle at all levels.
    fn fit(&self) -> (usize, f64) {
        let count = self.levels.len();
        let power = self.gentle_power();
        let (gentle, base) = self.errors(|top| power * top.ln());
        let mut best = (count, gentle - BELIEF * self.variance, base);
        if power <= 0.0 {
            return (count, base);
        }
        for taken in (1..count).rev() {
            let weight = |levels: &[Level]| levels.iter().map(|level| level.weight).sum::<f64>();
            let (below, above) = self.levels.split_at(taken);
            if weight(below) < MIN_WEIGHT || weight(above) < MIN_WEIGHT {
                continue;
            }
            let capacity = self.top(taken - 1);
            let (errors, base) = self.errors(|top| (top / capacity).max(1.0).ln());
            if errors < best.1 {
                best = (taken, errors, base);
            }
        }
        (best.0, best.2)
    }

    /// Returns the power of the number of requests with which the time grows, from 0 to
    /// [`GENTLE_POWER`].
    fn gentle_power(&self) -> f64 {
        let (mut weights, mut sum, mut time_sum) = (0.0, 0.0, 0.0);
        for (index, level) in self.levels.iter().enumerate() {
            weights += level.weight;
            sum += level.weight * self.top(index).ln();
            time_sum += level.weight * level.mean;
        }
        if weights <= 0.0 {
            return 0.0;
        }
        let (mean, time_mean) = (sum / weights, time_sum / weights);
        let (mut square, mut product) = (0.0, 0.0);
        for (index, level) in self.levels.iter().enumerate() {
            let distance = self.top(index).ln() - mean;
            square += level.weight * distance * distance;
            product += level.weight * distance * (level.mean - time_mean);
        }
        if square <= 0.0 {
            return 0.0;
        }
        (product / square).clamp(0.0, GENTLE_POWER)
    }

    /// Returns the sum of the squared errors of a curve, and the logarithm of the time at its
    /// beginning that makes it least.
    ///
    /// `rise` returns by which logarithm the time has grown at a number of requests.
    fn errors(&self, rise: impl Fn(f64) -> f64) -> (f64, f64) {
        let (mut weights, mut sum, mut squares) = (0.0, 0.0, 0.0);
        for (index, level) in self.levels.iter().enumerate() {
            if level.weight <= 0.0 {
                continue;
            }
            let time = level.mean - rise(self.top(index));
            weights += level.weight;
            sum += level.weight * time;
            squares += level.weight * time * time;
        }
        if weights <= 0.0 {
            return (0.0, 0.0);
        }
        let base = sum / weights;
        ((squares - sum * base).max(0.0), base)
    }

    /// Lets the weights decay until now.
    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.at) as f64;
        if elapsed <= 0.0 {
            return;
        }
        self.at = now;
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE);
        for level in &mut self.levels {
            level.weight *= factor;
        }
    }
}
