//! Queues of the pieces of an answer, with a bound on the bytes that a slow caller leaves in them.

use std::sync::Arc;

use cactuslane_flight::held_bytes::FREE_BYTES;
use cactuslane_flight::{ConnectionId, Kind};
use cactuslane_held::{CallerLeft, ChunkSender, ChunkStream, Held, Reserved, chunks};
use hyper::body::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of bytes of one queue beyond [`FREE_BYTES`], which are reserved.
const QUEUE_BYTES: usize = 240 << 10;
/// Largest size of one piece, in bytes; larger ones are split.
const MAX_PIECE: usize = 8 << 10;
/// Memory that a piece takes beside its bytes.
const PIECE_COST: usize = 192;
/// Largest number of pieces of one queue.
const MAX_PIECES: usize = (FREE_BYTES + QUEUE_BYTES) / PIECE_COST;

/// Sender of the pieces of one answer, which breaks off unless the sender is consumed by
/// [`finish`](Self::finish).
#[derive(Debug)]
pub struct AnswerSender {
    /// Channel to the body of the answer.
    sender: ChunkSender,
    /// Space that needs no reservation, in bytes.
    free: Arc<Semaphore>,
    /// Space whose bytes are reserved as well, in bytes.
    queue: Arc<Semaphore>,
    /// Where bytes are reserved.
    held: Arc<Held>,
    /// Connection of the caller.
    connection: ConnectionId,
}

/// A piece with the guards of its space.
#[derive(Debug)]
struct Piece {
    /// The bytes.
    bytes: Vec<u8>,
    /// Guard of the space in the queue.
    _space: OwnedSemaphorePermit,
    /// Guard of the reserved bytes, if they needed a reservation.
    _reserved: Option<Reserved>,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Opens a queue for an answer to the caller of a connection.
#[must_use]
pub fn open(held: &Arc<Held>, connection: ConnectionId) -> (AnswerSender, ChunkStream) {
    let (sender, body) = chunks::open(MAX_PIECES);
    let sender = AnswerSender {
        sender,
        free: Arc::new(Semaphore::new(FREE_BYTES)),
        queue: Arc::new(Semaphore::new(QUEUE_BYTES)),
        held: held.clone(),
        connection,
    };
    (sender, body)
}

impl AnswerSender {
    /// Queues bytes, and waits for space if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn send(&self, bytes: Vec<u8>) -> Result<(), CallerLeft> {
        if bytes.len() <= MAX_PIECE {
            return self.send_piece(bytes).await;
        }
        for piece in bytes.chunks(MAX_PIECE) {
            self.send_piece(piece.to_vec()).await?;
        }
        Ok(())
    }

    /// Ends the answer as whole.
    pub fn finish(self) {
        self.sender.finish();
    }

    /// Ends the answer as broken off, which closes the caller's connection.
    pub fn abort(self) {
        self.sender.abort();
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Queues one piece.
    async fn send_piece(&self, bytes: Vec<u8>) -> Result<(), CallerLeft> {
        let size = bytes.len() + PIECE_COST;
        let (space, reserved) = self.acquire(size).await?;
        let piece = Bytes::from_owner(Piece {
            bytes,
            _space: space,
            _reserved: reserved,
        });
        self.sender.send(piece).await
    }

    /// Acquires space for a piece; waits for the caller to take others if there is none.
    async fn acquire(
        &self,
        size: usize,
    ) -> Result<(OwnedSemaphorePermit, Option<Reserved>), CallerLeft> {
        let permits = size as u32;
        if let Ok(space) = self.free.clone().try_acquire_many_owned(permits) {
            return Ok((space, None));
        }
        if let Ok(space) = self.queue.clone().try_acquire_many_owned(permits)
            && let Some(reserved) = self.held.try_reserve(self.connection, Kind::Answer, size)
        {
            return Ok((space, Some(reserved)));
        }
        tokio::select! {
            space = self.free.clone().acquire_many_owned(permits) => {
                space.map(|space| (space, None)).map_err(|_| CallerLeft)
            }
            () = self.sender.closed() => Err(CallerLeft),
        }
    }
}
