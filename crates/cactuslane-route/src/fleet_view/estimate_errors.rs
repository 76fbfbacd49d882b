//! The errors of the two load estimates, by which one of them is selected.

use cactuslane_types::TargetId;

/// Both estimates of the wait of a request at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitEstimates {
    /// The target to which the request is to be sent.
    pub target: TargetId,
    /// The wait estimated from the target's last report, in milliseconds.
    pub by_report: f64,
    /// The wait estimated from this instance's own dispatches, in milliseconds.
    pub by_own: f64,
    /// The expected time to the first token without the wait, in milliseconds.
    pub service_time: f64,
}

/// The errors of both estimates, measured because the delay of reports is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct EstimateErrors {
    /// The moving average of the absolute error of the wait estimated from reports, in ms.
    pub(super) report: f64,
    /// The moving average of the absolute error of the wait estimated from own dispatches, in ms.
    pub(super) own: f64,
}

impl EstimateErrors {
    /// Updates the errors with a measured time to the first token, in milliseconds.
    pub(super) fn observe(&mut self, estimates: &WaitEstimates, observed: f64) {
        /// Weight of a new error in the moving averages.
        const WEIGHT: f64 = 0.03;
        let wait = (observed - estimates.service_time).max(0.0);
        self.report += ((estimates.by_report - wait).abs() - self.report) * WEIGHT;
        self.own += ((estimates.by_own - wait).abs() - self.own) * WEIGHT;
    }
}
