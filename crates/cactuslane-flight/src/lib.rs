//! The life of one request, as pure decisions.
//!
//! [`Flight`] says what may be sent again, when "not run" is true and what the caller gets.
//! [`document`] holds the routes that requests follow, [`ask`] what a caller asked for,
//! [`events`] cuts event streams at whole events, and [`budget`] bounds repeated work.
//! [`stopping`] says what is taken after the signal to stop.

pub mod ask;
pub mod budget;
pub mod document;
pub mod events;
pub mod flight;
pub mod stopping;
pub mod target;

pub use ask::{Ask, Part};
pub use budget::RepeatBudget;
pub use document::{Document, Engine, Limits, Repeat, Route, Service};
pub use events::EventScanner;
pub use flight::{Ending, Flight, Refusal, Step};
pub use target::{Target, TargetState};
