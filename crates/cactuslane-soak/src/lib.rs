//! Randomized faults against real processes, and the load of callers.
//!
//! [`run`] starts instances as processes of their own beside stand-ins of the platform, plays the
//! faults that [`plan`] draws from a seed, and checks the promises of [`check`] by what callers
//! and targets saw. [`load`] is the open-loop load, usable alone.

pub mod check;
pub mod compare;
pub mod figures;
pub mod load;
pub mod plan;
pub mod plot;
pub mod process;
pub mod proxy;
pub mod report;
pub mod run;

pub use check::Broken;
pub use load::{Kind, LoadSpec};
pub use report::Report;
pub use run::{Options, run};
