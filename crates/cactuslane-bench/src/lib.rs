//! Benchmarks of routing and role decisions in virtual time, and measurements of costs that grow
//! with the size of a deployment.
//!
//! [`sim`] runs the routing and role planning of the product against the stand-in's engine model,
//! deterministically by seed: it simulates minutes of a fleet in seconds. [`trace`] generates the
//! requests of a [`scenario`], [`policy`] lists the policies that [`matrix`] compares, and
//! [`outcome`] counts the results. [`capacity`] measures costs by size, in part over the simulated
//! [`network`].

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
