//! Number of targets of a service: from the demand of all instances to orders by failure domain.
//!
//! [`Scaler`] holds the demand and the orders of one service. It takes the state and the time and
//! returns the orders to send; it does no I/O and reads no clock. What was weighed stands in
//! docs/design/scaling.md.

mod demand;
mod order_log;
mod scaler;
mod split;

pub use demand::{Capacity, Demand, Observation, Work};
pub use order_log::{Order, OrderAnswer};
pub use scaler::{Plan, Scaler, Status};
pub use split::{DomainTargets, Kind};
