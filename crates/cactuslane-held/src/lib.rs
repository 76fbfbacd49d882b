//! Connections and bytes that an instance holds on behalf of callers.
//!
//! The decisions are those of [`HeldBytes`](cactuslane_flight::HeldBytes): [`record`] carries them
//! out with guards, and [`connections`] serves accepted connections with them. [`chunks`] has the
//! bodies of answers that are sent while they arise, [`framing`] what ends those that are received,
//! and [`head_timer`] the time-out of callers' heads.

pub mod chunks;
pub mod connections;
pub mod framing;
pub mod head_timer;
pub mod record;

pub use chunks::{AnswerAborted, CallerLeft, ChunkSender, ChunkStream};
pub use connections::{BodyError, HeadLimits};
pub use framing::Framing;
pub use record::{BufferError, ConnectionGuard, Held, HeldBuffer, NO_CONNECTION, Reserved};
