//! Placement of requests on targets, as pure decisions.
//!
//! [`Placer`] chooses targets from a [`Picture`] of their load, which instances tell each other,
//! and from what it believes of their prefix caches ([`CacheEstimate`]).

pub mod cache;
pub mod observations;
pub mod picture;
pub mod placer;
pub mod roles;
pub mod speed;

pub use cache::CacheEstimate;
pub use observations::{Observation, Observed};
pub use picture::{CacheUpdate, Load, PeerUpdate, Picture, PlacedWork};
pub use placer::{Placement, Placer, Plan, Wanted};
pub use roles::RolePlan;
pub use speed::PromptSpeed;
