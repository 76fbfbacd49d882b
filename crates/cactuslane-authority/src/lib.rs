//! Ownership of targets, orders to them and planned changes, as pure decisions.
//!
//! - [`ownership`] divides shards of targets among instances by leases with fencing numbers.
//! - [`orders`] brings one target to a wanted state: intent first, then the order, then proof.
//! - [`plan`] decides which targets may be away when.
//! - [`leader_term`] says when the one holder of an office may give orders.
//! - [`keys`] names the records in the key-value service.

pub mod keys;
pub mod leader_term;
pub mod orders;
pub mod ownership;
pub mod plan;
pub mod window;

pub use orders::{EngineReport, Hold, Intent, OrderKind, Wanted};
pub use plan::{Plan, Planned};
