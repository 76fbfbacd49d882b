//! Randomized fault injection against real instance processes, and an open-loop load generator.
//!
//! [`run()`] starts every instance as a separate process next to stand-ins for the platform's store
//! and targets, injects the faults that [`plan`] draws from a seed, and verifies the guarantees of
//! [`check`] from the answers that callers received and the runs that targets recorded. [`load`] is
//! the load generator, which is also usable without faults.

pub mod attempts;
pub mod check;
pub mod compare;
pub mod customers;
mod deployment;
pub mod faults;
pub mod figures;
pub mod findings;
pub mod follow_ups;
pub mod layout;
pub mod links;
pub mod load;
pub mod made;
pub mod options;
pub mod passed;
pub mod plan;
pub mod plot;
pub mod probes;
pub mod process;
pub mod proxy;
pub mod queries;
pub mod report;
pub mod run;
pub mod workers;

pub use check::Violation;
pub use load::{LoadSpec, RequestKind};
pub use options::Options;
pub use report::Report;
pub use run::run;
