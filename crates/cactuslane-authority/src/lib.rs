//! Ownership of targets, orders to them and planned changes, as decisions without I/O.
//!
//! - [`ownership`] divides shards of targets among instances by leases with fencing tokens.
//! - [`orders`] brings one target to a wanted state: it writes an intent, sends the order, and
//!   marks the intent as done once a report of the target confirms the effect.
//! - [`plan`] decides which targets may be drained and when.
//! - [`window`] decides whether a maintenance window is open.
//! - [`reports`] decides which report of usage is made next.
//! - [`leader_term`] decides when a leader may send orders. `cactuslane-gateway` uses it, where one
//!   leader sends the orders to all engines, instead of the owners of shards.
//! - [`duties`] decides when the leader may call the platform.
//! - [`keys`] defines the keys of the records about configuration, operators, ownership, orders and
//!   plan in the key-value service.

pub mod duties;
pub mod keys;
pub mod leader_term;
pub mod orders;
pub mod ownership;
pub mod plan;
pub mod reports;
pub mod window;

pub use orders::{EngineReport, Hold, Intent, OrderKind, Wanted};
pub use plan::{Plan, Planned};
