//! Stand-ins for the platform, model engines and plain services.
//!
//! Each is a small fake server that implements the published protocol of the real system. None of
//! them uses a crate of the product, so that a contract test compares two independent
//! implementations of a protocol.

pub mod batch;
pub mod deployment;
pub mod engine;
pub mod faults;
pub mod http;
pub mod kv;
pub mod platform;
pub mod service;

pub use batch::{Batch, BatchEvent, EngineParams, Work};
pub use deployment::{Deployment, TargetSpec};
pub use faults::{Fault, FaultKind, Faults};
