//! Routing, admission control, rate limiting and retry budgets, without I/O.
//!
//! Nothing in this crate does I/O or reads a clock: the current time is passed in, in milliseconds,
//! and randomness comes from a seeded generator. [`Router`] is the entry point; [`fleet_view`]
//! holds the known state of the targets, [`fair`], [`limits`] and [`share`] divide their capacity
//! between callers, and [`retry`] bounds the number of retries.

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
