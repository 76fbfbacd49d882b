//! Placement of requests on targets, as pure decisions.
//!
//! [`Placer`] chooses targets from a [`Picture`] of their load, which instances tell each other,
//! and from what it believes of their prefix caches ([`CacheBelief`]).

pub mod cache;
pub mod observations;
pub mod picture;
pub mod placer;
pub mod roles;
pub mod speed;

pub use cache::CacheBelief;
pub use observations::{Observation, Observed};
pub use picture::{Load, Picture, Placed, Told, Use};
pub use placer::{Placement, Placer, Plan, Wanted};
pub use roles::RolePlan;
pub use speed::PromptSpeed;
