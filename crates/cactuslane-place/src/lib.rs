//! Placement of requests on targets, as pure decisions.
//!
//! [`Placer`] chooses targets from a [`LoadView`] of their load, which instances tell each other,
//! and from what it believes of their prefix caches ([`CacheEstimate`]).

pub mod cache;
pub mod load_view;
pub mod observations;
pub mod placer;
pub mod roles;
pub mod speed;

pub use cache::CacheEstimate;
pub use load_view::{CacheUpdate, Load, LoadView, PeerUpdate, PlacedWork};
pub use observations::{Observation, Observed};
pub use placer::{Placement, PlacementRequest, Placer, Plan};
pub use roles::RolePlanner;
pub use speed::PromptSpeed;
