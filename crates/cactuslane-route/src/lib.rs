//! Routing, admission, limits and retries as pure decisions.
//!
//! Nothing here does I/O or reads a clock: the caller passes the time in milliseconds, and
//! randomness comes from a seeded generator. [`Router`] is the entrance; [`fleet_view`] holds what
//! is known of the fleet, [`fair`] and [`limits`] share it between callers, and [`retry`] bounds
//! repeated work.

pub mod fair;
pub mod fleet_view;
pub mod health;
pub mod limits;
pub mod output;
pub mod prefix;
pub mod retry;
pub mod router;
pub mod share;
pub mod speed;
pub mod subset;

pub use fair::FairQueue;
pub use fleet_view::{DispatchId, FleetView, Load, TargetFacts, Work};
pub use limits::{CallerLimit, CallerLimits, LimitError};
pub use output::OutputEstimator;
pub use retry::RetryBudget;
pub use router::{Choice, Decision, Plan, RouteParams, RouteRequest, Router};
pub use share::CallerShares;
pub use speed::Speed;
