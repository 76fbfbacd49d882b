//! Connections and bytes that an instance holds on behalf of callers.
//!
//! The decisions are those of [`HeldBytes`](cactuslane_flight::HeldBytes): [`record`] carries them
//! out with guards, and [`connections`] serves accepted connections with them.

pub mod connections;
pub mod record;

pub use connections::{BodyError, HeadLimits};
pub use record::{BufferError, ConnectionGuard, Held, HeldBuffer, NO_CONNECTION, Reserved};
