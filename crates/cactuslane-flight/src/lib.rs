//! Decisions about a single request, without I/O or clocks.
//!
//! [`RequestState`] tracks the attempts of one request. After each failed attempt it decides
//! whether the request is sent again, and otherwise what the caller gets; the answer is "not run"
//! only if no target can have run the request.
//!
//! [`routing_config`] holds the routing configuration, [`config_position`] orders its copies, [`customers`] the keys of customers, [`request_info`] the parameters of a
//! caller's request and [`target`] the targets. [`events`] splits event streams at event
//! boundaries, [`event_ids`] learns which event is likely next, [`gaps`] decides whether events are missing, [`origin`] keeps the versions that began streams, [`process`] tells the processes of a target apart, [`ends`] says what shows that one went on after an answer, [`budget`] limits retries to a
//! share of the requests, [`silence`] decides when streams of silent targets are resumed elsewhere, [`held_bytes`] what is held for callers, and [`stopping`] decides which requests an instance still accepts after
//! the signal to stop.

pub mod budget;
pub mod config_position;
pub mod customers;
pub mod ends;
pub mod event_ids;
pub mod events;
pub mod gaps;
pub mod held_bytes;
pub mod origin;
pub mod process;
pub mod request_info;
pub mod request_state;
pub mod routing_config;
pub mod silence;
pub mod stopping;
pub mod target;

pub use budget::WindowedRetryBudget;
pub use config_position::{ConfigPosition, ConfigPositionError};
pub use customers::{Customer, Customers, KeyConflict};
pub use ends::{Presence, Sign};
pub use event_ids::EventIds;
pub use events::EventScanner;
pub use gaps::{Gap, StatedRun};
pub use held_bytes::{Activity, ConnectionId, Door, HeldBytes, HeldLimits, Kind};
pub use origin::{BegunStreams, OriginTable, StreamOrigin, VersionHistory};
pub use process::ServingProcess;
pub use request_info::{PromptPart, RequestInfo};
pub use request_state::{AttemptFailure, Refusal, RequestState, Step};
pub use routing_config::{
    EngineSpec, Limits, RetryPolicy, Route, RoutingConfig, ScalingSpec, Service,
};
pub use silence::Silence;
pub use target::{Target, TargetState};
