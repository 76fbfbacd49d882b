//! Which estimate of a target's load to trust.

use cactuslane_types::TargetId;

/// What each estimate says of the wait at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitEstimates {
    /// The target.
    pub target: TargetId,
    /// The wait by the last report, in milliseconds.
    pub by_report: f64,
    /// The wait by this instance's own dispatches, in milliseconds.
    pub by_own: f64,
    /// The request's own time to its first token, in milliseconds.
    pub service_time: f64,
}

/// Measures the errors of both estimates, since nobody tells how late reports are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct EstimateErrors {
    /// The mean error of the estimate by reports, in milliseconds.
    pub(super) report: f64,
    /// The mean error of the estimate by own dispatches, in milliseconds.
    pub(super) own: f64,
}

impl EstimateErrors {
    /// Records the time to a first token.
    pub(super) fn observe(&mut self, estimates: &WaitEstimates, observed: f64) {
        /// Weight of a new observation.
        const WEIGHT: f64 = 0.03;
        let wait = (observed - estimates.service_time).max(0.0);
        self.report += ((estimates.by_report - wait).abs() - self.report) * WEIGHT;
        self.own += ((estimates.by_own - wait).abs() - self.own) * WEIGHT;
    }
}
