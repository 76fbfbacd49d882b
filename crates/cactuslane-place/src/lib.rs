//! Placement of requests on targets, as decisions without I/O.
//!
//! [`Placer`] chooses targets by their load ([`LoadView`]), which instances exchange with each
//! other, and by the estimated contents of their prefix caches ([`CacheEstimate`]). [`TargetLimits`]
//! keeps the limits that targets name for all instances together. [`TargetPaces`] holds how fast
//! targets work and how much each of them takes well. [`Admission`] decides who runs,
//! waits or is refused while there is too little room. [`CrashTracker`] finds requests
//! and prompt parts on which targets crash. [`Reach`] tells whether the instance itself is cut off,
//! and [`HelperSearch`] how a request then finds another instance that serves it.

pub mod admission;
pub mod cache;
pub mod crashes;
pub mod helpers;
pub mod limits;
pub mod load_view;
pub mod observations;
pub mod pace;
pub mod placer;
pub mod queues;
pub mod reach;
pub mod roles;
pub mod speed;

pub use admission::{
    Admission, AdmissionRequest, Decision, RefusalCause, ShareReport, Verdict, Waiting,
};
pub use cache::CacheEstimate;
pub use crashes::{CrashTracker, CrashUpdate, HoldChange, Screening, StoreChange, Suspect};
pub use helpers::{HelperSearch, SearchStep, Unserved};
pub use limits::{LimitAnswer, LimitNotice, PermitAnswer, TargetLimits};
pub use load_view::{CacheUpdate, Load, LoadView, PeerUpdate, PlacedWork};
pub use observations::{Observation, Observed};
pub use pace::{Belief, PaceChange, TargetPaces};
pub use placer::preview::{Candidate, Preview};
pub use placer::{Forecast, Placement, PlacementRequest, Placer, Plan};
pub use queues::TargetQueues;
pub use reach::{Reach, ReachChange, ReachReport};
pub use roles::RolePlanner;
pub use speed::PromptSpeed;
