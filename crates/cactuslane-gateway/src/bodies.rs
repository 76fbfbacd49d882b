//! Reading of whole answers into memory.

use cactuslane_flight::{AttemptFailure, ConnectionId, Kind};
use cactuslane_held::{BufferError, HeldBuffer};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};

use crate::state::Gateway;

/// Maximum size of an answer that is held in memory, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum number of pieces in which such an answer arrives.
const MAX_ANSWER_FRAMES: usize = 1 << 16;

/// Reads the body of an answer, of at most 16 MiB in 65,536 pieces, to its end; it is held for the
/// connection of a caller, if any.
///
/// # Errors
///
/// Returns [`AttemptFailure::Broken`] and the cause if the body is incomplete or too large, or if
/// there is no space for it.
pub async fn read_body(
    gateway: &Gateway,
    connection: ConnectionId,
    mut body: Incoming,
) -> Result<Bytes, (AttemptFailure, String)> {
    let broken = |why: String| (AttemptFailure::Broken, why);
    let mut read = HeldBuffer::new(&gateway.held, connection, Kind::Answer, MAX_ANSWER_BYTES);
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        frames += 1;
        if frames > MAX_ANSWER_FRAMES {
            let why = format!("{} bytes in {frames} pieces and more", read.len());
            return Err(broken(why));
        }
        if let Err(error) = read.extend(&data).await {
            let why = match error {
                BufferError::TooLarge => format!("more than {MAX_ANSWER_BYTES} bytes"),
                BufferError::NoSpace => format!("no space for more than {} bytes", read.len()),
            };
            return Err(broken(why));
        }
    }
    Ok(read.into_bytes())
}
