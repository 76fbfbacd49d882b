//! Benchmarks of the decisions in virtual time, and of what grows with the fleet.
//!
//! [`sim`] runs the product's own routing and role decisions against the stand-in's model of an
//! engine, minutes of a fleet in seconds of a machine, seeded. [`trace`] makes the load,
//! [`policy`] names what is compared, [`outcome`] counts.

pub mod capacity;
pub mod fleet;
pub mod matrix;
pub mod network;
pub mod outcome;
pub mod planners;
pub mod policy;
pub mod scenario;
pub mod sim;
pub mod trace;

pub use matrix::{Row, run_matrix};
pub use outcome::Outcome;
pub use policy::Policy;
pub use scenario::Scenario;
