//! How fast targets work now, and how many requests each of them takes well.

mod curve;
mod figure;
mod memory;

use std::collections::BTreeMap;

use cactuslane_flight::target::Target;
use cactuslane_types::{Millis, ServiceName, TargetId};

use self::curve::Curve;
use self::figure::Figure;
use self::memory::Memory;

/// Time between two estimates of what targets take well, in milliseconds.
const REFRESH_INTERVAL: Millis = 500;
/// Time for which what a target told of its load counts for an answer, in milliseconds.
const TOLD_LIFETIME: Millis = 1_500;
/// Largest number of requests that run or wait at a target, as a multiple of its slots, with which
/// an answer still shows how long its work took.
const MAX_QUEUE: u32 = 3;
/// Weight of a new answer in the moving average of the time that answers of a service take.
const USUAL_WEIGHT: f64 = 0.02;
/// Weight, in answers, of the service's time over that of a target's own answers.
const SERVICE_WEIGHT: f64 = 4.0;
/// Least and largest factor on the time of a service at a target, beside the figure that it tells.
const RATIO_RANGE: (f64, f64) = (0.05, 8.0);
/// Ratio of the factors before and after, from which a change is told.
const CHANGE_RATIO: f64 = 1.5;
/// Time between two changes of a target that are told, in milliseconds.
const CHANGE_INTERVAL: Millis = 10_000;
/// Largest number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 16;

/// What this instance believes of the speed of targets.
#[derive(Clone, Debug, Default)]
pub struct TargetPaces {
    /// Beliefs by target.
    targets: BTreeMap<TargetId, TargetPace>,
    /// Moving averages of the logarithm of the time that an answer of a service takes at a target
    /// that takes its requests well and works as fast as usual, in milliseconds.
    usual: BTreeMap<ServiceName, f64>,
    /// How long a figure goes on to say something.
    memory: Memory,
    /// Changes that were not taken yet, oldest first.
    changes: Vec<PaceChange>,
}

/// What this instance believes of the speed of one target.
#[derive(Clone, Debug, Default)]
struct TargetPace {
    /// Start of the process that the beliefs are about.
    started_at: Option<u64>,
    /// Figures that it told of its speed, if any.
    figure: Option<Figure>,
    /// Numbers of requests that it ran and that waited there, with the time of the answer.
    told: Option<(u32, u32, Millis)>,
    /// Times of its answers, if it belongs to a plain service.
    curve: Option<Curve>,
    /// Factor on the time of the service, beside the figure, by its answers.
    ratio: Option<f64>,
    /// Time of the last estimate of what it takes well.
    refreshed: Millis,
    /// Beliefs as last told by a change, with the time.
    last_change: Option<(Belief, Millis)>,
}

/// A belief that has changed by much.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// Target that it is about.
    pub target: TargetId,
    /// Belief when a change was last told, or before there was any.
    pub before: Belief,
    /// Belief now.
    pub now: Belief,
    /// Weight of the answers behind the capacity, in answers.
    pub answers: f64,
}

/// What is believed of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Number of requests that it takes well.
    pub capacity: f64,
    /// Factor by which work takes longer there than usual, on average.
    pub slowdown: f64,
}

impl TargetPaces {
    /// Records what an answer tells of its target: the numbers of requests that ran and that waited
    /// there, and the factor by which work takes longer there than usual.
    pub fn observe_told(
        &mut self,
        target: &Target,
        counts: Option<(u32, u32)>,
        slowdown: Option<f64>,
        now: Millis,
    ) {
        if counts.is_none() && slowdown.is_none() {
            return;
        }
        let Some(pace) = pace_of(&mut self.targets, target) else {
            return;
        };
        if let Some((running, waiting)) = counts {
            pace.told = Some((running, waiting, now));
        }
        if let Some(factor) = slowdown {
            let figure = pace.figure.get_or_insert_with(|| Figure::new(now));
            figure.observe(factor, &mut self.memory, now);
        }
    }

    /// Records the time of a successful answer of a plain target, in milliseconds.
    ///
    /// `known` is the number of requests that run there as far as instances know, which counts if
    /// the target tells nothing.
    pub fn observe_answer(&mut self, target: &Target, elapsed_ms: f64, known: u32, now: Millis) {
        let Some(pace) = pace_of(&mut self.targets, target) else {
            return;
        };
        let told = pace
            .told
            .filter(|(.., at)| now.saturating_sub(*at) <= TOLD_LIFETIME);
        let count = told.map_or(known, |(running, waiting, _)| {
            running.saturating_add(waiting)
        });
        let slots = target.slots.max(1);
        if count > slots.saturating_mul(MAX_QUEUE) {
            return;
        }
        let factor = pace
            .figure
            .map_or(1.0, |figure| figure.factor(0.0, &self.memory, now));
        // Without its wait, which is about as long as the requests beyond the slots take.
        let queue = (f64::from(count) / f64::from(slots)).max(1.0);
        let time = (elapsed_ms.max(0.1) / factor / queue).ln();
        let curve = pace.curve(target.slots, now);
        curve.observe(curve.level(count), time, now);
        let crowd = f64::from(count.min(slots)) / curve.capacity();
        let time = time - crowd.max(1.0).ln();
        let usual = self.usual.entry(target.service.clone()).or_insert(time);
        *usual += (time - *usual) * USUAL_WEIGHT;
    }

    /// Estimates anew what targets take well, unless that was done in the last 500 ms.
    pub fn refresh(&mut self, targets: &[&Target], now: Millis) {
        for target in targets {
            let Some(pace) = self.targets.get_mut(&target.id) else {
                continue;
            };
            if now.saturating_sub(pace.refreshed) < REFRESH_INTERVAL {
                continue;
            }
            pace.refreshed = now;
            let Some(curve) = &mut pace.curve else {
                continue;
            };
            curve.refresh(now);
            let (time, weight) = curve.base();
            pace.ratio = self.usual.get(&target.service).map(|usual| {
                let (low, high) = RATIO_RANGE;
                let trust = weight / (weight + SERVICE_WEIGHT);
                ((time - usual) * trust).exp().clamp(low, high)
            });
            if let Some(change) = pace.take_change(target, weight, now)
                && self.changes.len() < MAX_CHANGES
            {
                self.changes.push(change);
            }
        }
    }

    /// Returns whether a target has told how fast it works.
    #[must_use]
    pub fn tells(&self, target: &str) -> bool {
        let pace = self.targets.get(target);
        pace.is_some_and(|pace| pace.figure.is_some())
    }

    /// Returns the factor by which work takes longer at a target than usual over the next `span_ms`
    /// milliseconds, by what it told; 1 if it told nothing.
    #[must_use]
    pub fn factor(&self, target: &str, span_ms: f64, now: Millis) -> f64 {
        let figure = self.targets.get(target).and_then(|pace| pace.figure);
        figure.map_or(1.0, |figure| figure.factor(span_ms, &self.memory, now))
    }

    /// Returns the factor by which answers of a target take longer than those of its service
    /// usually do: by the figure that it tells, and by what its answers show beside it. It is 1 if
    /// the target tells no figure.
    #[must_use]
    pub fn service_factor(&self, target: &str, now: Millis) -> f64 {
        let Some(pace) = self.targets.get(target) else {
            return 1.0;
        };
        let figure = pace
            .figure
            .map(|figure| figure.factor(0.0, &self.memory, now));
        figure.map_or(1.0, |figure| figure * pace.ratio.unwrap_or(1.0))
    }

    /// Returns the number of requests that a target takes well, from 1 to its slots.
    #[must_use]
    pub fn capacity(&self, target: &Target) -> f64 {
        let slots = f64::from(target.slots.max(1));
        let pace = self.targets.get(&target.id);
        let curve = pace.and_then(|pace| pace.curve.as_ref());
        curve.map_or(slots, |curve| curve.capacity().min(slots))
    }

    /// Forgets a target that is gone or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Removes and returns the beliefs that have changed by much, at most one of a target in 10 s.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns what is believed of each target that tells its speed or takes fewer requests than it
    /// has slots.
    pub fn beliefs(&self, now: Millis) -> impl Iterator<Item = (&TargetId, Belief)> {
        let told = self.targets.iter().filter(|(_, pace)| {
            let full = |curve: &Curve| curve.capacity() >= f64::from(curve.slots());
            pace.figure.is_some() || !pace.curve.as_ref().is_none_or(full)
        });
        told.map(move |(target, pace)| (target, pace.belief(now)))
    }
}

impl TargetPace {
    /// Creates a record without observations.
    fn new(target: &Target) -> Self {
        Self {
            started_at: target.started_at,
            ..Self::default()
        }
    }

    /// Returns the curve for a number of slots; one for another number is discarded.
    fn curve(&mut self, slots: u32, now: Millis) -> &mut Curve {
        if self
            .curve
            .as_ref()
            .is_some_and(|curve| curve.slots() != slots)
        {
            self.curve = None;
        }
        self.curve.get_or_insert_with(|| Curve::new(slots, now))
    }

    /// Returns what is believed of the target.
    fn belief(&self, now: Millis) -> Belief {
        let average = self.figure.map_or(1.0, |figure| figure.average(now));
        Belief {
            capacity: self.curve.as_ref().map_or(0.0, Curve::capacity),
            slowdown: average * self.figure.and(self.ratio).unwrap_or(1.0),
        }
    }

    /// Returns the change since the last one that was returned, if it is large.
    fn take_change(&mut self, target: &Target, answers: f64, now: Millis) -> Option<PaceChange> {
        let belief = self.belief(now);
        let full = Belief {
            capacity: f64::from(target.slots.max(1)),
            slowdown: 1.0,
        };
        let (before, at) = self.last_change.unwrap_or((full, 0));
        let differs =
            |one: f64, other: f64| one / other >= CHANGE_RATIO || other / one >= CHANGE_RATIO;
        let is_large =
            differs(belief.capacity, before.capacity) || differs(belief.slowdown, before.slowdown);
        if !is_large || (self.last_change.is_some() && now.saturating_sub(at) < CHANGE_INTERVAL) {
            return None;
        }
        self.last_change = Some((belief, now));
        Some(PaceChange {
            target: target.id.clone(),
            before,
            now: belief,
            answers,
        })
    }
}

/// Returns what is known of a target; `None` if that is about a later process. What is known of an
/// earlier one is discarded.
fn pace_of<'p>(
    targets: &'p mut BTreeMap<TargetId, TargetPace>,
    target: &Target,
) -> Option<&'p mut TargetPace> {
    if !targets.contains_key(&target.id) {
        targets.insert(target.id.clone(), TargetPace::new(target));
    }
    let pace = targets.get_mut(&target.id)?;
    if pace.started_at > target.started_at {
        return None;
    }
    if pace.started_at != target.started_at {
        *pace = TargetPace::new(target);
    }
    Some(pace)
}
