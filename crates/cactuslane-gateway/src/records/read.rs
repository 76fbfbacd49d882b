//! How far the records of streams are known.

use cactuslane_types::Position;
use tokio::time::Instant;

/// How far the records of all instances are known.
#[derive(Debug, Default)]
pub struct RecordsRead {
    /// Time at which they were last asked for.
    pub(super) asked: Option<Instant>,
    /// Position up to which they are applied, and the time at which that was asked for.
    pub(super) known: Option<(Position, Instant)>,
}
