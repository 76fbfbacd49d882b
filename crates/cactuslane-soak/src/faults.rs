//! The faults of a plan as the stand-ins know them.

use cactuslane_platform_standin::{Fault, Mode};

use crate::plan::{StoreFault, TargetFault};

/// Delay of a slow target in milliseconds: longer than the latency target of 400 ms that the
/// stand-in configuration sets for routes to the plain service.
const SLOW_DELAY_MS: u64 = 900;

/// Returns the mode of the stand-in store for a fault.
#[must_use]
pub fn store_mode(fault: StoreFault) -> Mode {
    match fault {
        StoreFault::Busy => Mode::Busy,
        StoreFault::Silent => Mode::Silent,
        StoreFault::Losing => Mode::Losing,
    }
}

/// Returns the fault of the stand-in target for a fault of the plan.
#[must_use]
pub fn standin_fault(fault: TargetFault) -> Fault {
    match fault {
        TargetFault::Reject => Fault::Reject,
        TargetFault::Fail => Fault::Fail,
        TargetFault::Lose => Fault::Lose,
        TargetFault::Cross => Fault::Cross,
        TargetFault::Break => Fault::Break(3),
        TargetFault::Unsigned => Fault::Unsigned,
        TargetFault::Slow => Fault::Slow(SLOW_DELAY_MS),
        TargetFault::Late => Fault::Late,
    }
}
