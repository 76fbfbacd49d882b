//! Whether the targets of a service have too little room, and for how long.

use cactuslane_types::Millis;

/// Time without a request that would miss its objective by queues after which there is no pressure,
/// in milliseconds.
const CALM_TIME: Millis = 1_000;
/// Time for which pressure must last to count as sustained, in milliseconds.
const BURST_TIME: Millis = 250;
/// Weight of a new request in the moving average of the share that would miss their objectives.
const SHARE_WEIGHT: f64 = 0.1;
/// Share of requests that would miss their objectives by queues from which pressure counts as
/// sustained.
const SUSTAINED_SHARE: f64 = 0.15;

/// Pressure at the targets of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pressure {
    /// Times of the first and of the last request that would miss its objective by queues, with
    /// less than [`CALM_TIME`] between such requests.
    span: Option<(Millis, Millis)>,
    /// Moving average of the share of such requests.
    share: f64,
}

impl Pressure {
    /// Records whether a request that arrives would miss its objective by queues.
    pub(super) fn observe(&mut self, is_squeezed: bool, now: Millis) {
        self.share += (f64::from(u8::from(is_squeezed)) - self.share) * SHARE_WEIGHT;
        if !self.is_on(now) {
            self.span = None;
        }
        if is_squeezed {
            let first = self.span.map_or(now, |(first, _)| first);
            self.span = Some((first, now));
        }
    }

    /// Records that a request that arrives while there is pressure finds no room.
    pub(super) fn prolong(&mut self, now: Millis) {
        if let Some((_, last)) = &mut self.span
            && *last < now
        {
            *last = now;
            self.share += (1.0 - self.share) * SHARE_WEIGHT;
        }
    }

    /// Returns whether there is pressure.
    pub(super) fn is_on(&self, now: Millis) -> bool {
        self.span
            .is_some_and(|(_, last)| now.saturating_sub(last) < CALM_TIME)
    }

    /// Returns whether the pressure has lasted so long that it is no burst.
    pub(super) fn is_sustained(&self, now: Millis) -> bool {
        let lasting = self.span.map_or(0, |(first, _)| now.saturating_sub(first));
        self.is_on(now) && self.share >= SUSTAINED_SHARE && lasting >= BURST_TIME
    }
}
