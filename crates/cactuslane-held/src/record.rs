//! What the instance holds on behalf of callers: guards of connections and bytes.
//!
//! The decisions are those of [`HeldBytes`]; this module carries them out.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuslane_flight::held_bytes::{FREE_BYTES, Opening, Reservation};
use cactuslane_flight::{Activity, ConnectionId, Door, HeldBytes, HeldLimits, Kind};
use cactuslane_types::Millis;
use hyper::body::Bytes;
use log::info;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Connection of bytes that are held for no caller's connection.
pub const NO_CONNECTION: ConnectionId = ConnectionId::MAX;

/// Longest time for which a reservation waits until a connection that is to be closed has released
/// its bytes.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest number of connections that are closed for one reservation.
const MAX_CLOSED: usize = 8;
/// Number of connections that were chosen to be closed and are still open, beyond which no more are
/// accepted.
const MAX_CLOSING: usize = 32;
/// Smallest number of bytes by which a buffer grows.
const MIN_GROWTH: usize = 32 << 10;
/// Shortest time between two log lines with the same reason, in milliseconds.
const LOG_INTERVAL: Millis = 200;

/// Record of all that is held, with the means to close connections.
#[derive(Debug)]
pub struct Held {
    /// Time at which the clock of the record shows 0.
    origin: Instant,
    /// The record.
    book: Mutex<Book>,
    /// Wakes reservations when bytes are released.
    released: Notify,
    /// Refusals and closed connections, by reason.
    pub refused: Family<Vec<(&'static str, &'static str)>, Counter>,
}

/// The record, with the signals that close connections.
#[derive(Debug)]
struct Book {
    /// What is held.
    held: HeldBytes,
    /// Signals by connection.
    closers: BTreeMap<ConnectionId, Arc<Notify>>,
    /// Times of the last log lines by reason.
    logged: BTreeMap<&'static str, Millis>,
}

/// Guard of an open connection.
#[derive(Debug)]
pub struct ConnectionGuard {
    /// Where it is recorded.
    held: Arc<Held>,
    /// Its number.
    pub id: ConnectionId,
    /// Signal that it must be closed.
    pub closer: Arc<Notify>,
}

/// Guard of reserved bytes.
#[derive(Debug)]
pub struct Reserved {
    /// Where they are recorded.
    held: Arc<Held>,
    /// Connection for which they are held.
    connection: ConnectionId,
    /// Their kind.
    kind: Kind,
    /// Their number.
    bytes: usize,
}

/// Guard of the time in which a connection serves a request.
#[derive(Debug)]
pub struct ServingGuard {
    /// Where that is recorded.
    held: Arc<Held>,
    /// The connection.
    connection: ConnectionId,
}

/// Bytes of one body or answer that arrive in pieces and are copied into one buffer.
#[derive(Debug)]
pub struct HeldBuffer {
    /// The bytes so far.
    bytes: Vec<u8>,
    /// Guard of the capacity beyond [`FREE_BYTES`].
    reserved: Reserved,
    /// Largest size, in bytes.
    limit: usize,
}

/// Reason why a piece was not added to a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferError {
    /// There are more bytes than the limit of the buffer.
    TooLarge,
    /// There is no space.
    NoSpace,
}

impl Held {
    /// Creates a record of nothing.
    #[must_use]
    pub fn new(limits: HeldLimits) -> Self {
        let book = Book {
            held: HeldBytes::new(limits),
            closers: BTreeMap::new(),
            logged: BTreeMap::new(),
        };
        Self {
            origin: Instant::now(),
            book: Mutex::new(book),
            released: Notify::new(),
            refused: Family::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: HeldLimits) {
        self.book().held.set_limits(limits);
    }

    /// Returns the number of bytes of a kind that are held.
    #[must_use]
    pub fn bytes(&self, kind: Kind) -> usize {
        self.book().held.bytes(kind)
    }

    /// Returns the number of connections at a door.
    #[must_use]
    pub fn count(&self, door: Door) -> usize {
        self.book().held.count(door)
    }

    /// Counts a connection until the guard is dropped; `None` if the door is full and no other
    /// connection can be closed for it.
    ///
    /// Waits while many others are still to be closed, so that descriptors stay bounded as well.
    pub async fn open(self: &Arc<Self>, door: Door) -> Option<ConnectionGuard> {
        let Opening::Opened(id, replaced) = self.book().held.open(door, self.now()) else {
            self.report("connection refused", door.label(), NO_CONNECTION);
            return None;
        };
        let closer = Arc::new(Notify::new());
        self.book().closers.insert(id, closer.clone());
        let guard = ConnectionGuard {
            held: self.clone(),
            id,
            closer,
        };
        if let Some(replaced) = replaced {
            self.book().close(replaced);
            self.report("connection replaced", door.label(), replaced);
            let _ = timeout(RELEASE_TIMEOUT, self.until_few_close()).await;
        }
        Some(guard)
    }

    /// Waits until fewer than [`MAX_CLOSING`] connections are to be closed.
    async fn until_few_close(&self) {
        loop {
            // Enabled before the check, so that no change after it is missed.
            let released = self.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            if self.book().held.closing() < MAX_CLOSING {
                return;
            }
            released.await;
        }
    }

    /// Returns whether a connection that was chosen may still be closed, without a request that has
    /// begun being cut.
    pub(crate) fn confirm_close(&self, connection: ConnectionId) -> bool {
        let now = self.now();
        let confirmed = self.book().held.confirm_close(connection, now);
        if !confirmed {
            // Reservations that wait for its bytes choose again.
            self.released.notify_waiters();
        }
        confirmed
    }

    /// Records what a connection does from now on.
    pub fn set_activity(&self, connection: ConnectionId, activity: Activity) {
        let now = self.now();
        self.book().held.set_activity(connection, activity, now);
    }

    /// Records that a connection serves a request until the guard is dropped.
    #[must_use]
    pub fn serve(self: &Arc<Self>, connection: ConnectionId) -> ServingGuard {
        self.set_activity(connection, Activity::Serving);
        ServingGuard {
            held: self.clone(),
            connection,
        }
    }

    /// Records whether a connection's caller takes no bytes of the answer.
    pub fn set_blocked(&self, connection: ConnectionId, blocked: bool) {
        let now = self.now();
        self.book().held.set_blocked(connection, blocked, now);
    }

    /// Records bytes that a connection received or sent.
    pub fn record_bytes(&self, connection: ConnectionId, bytes: usize) {
        let now = self.now();
        self.book().held.record_bytes(connection, bytes, now);
    }

    /// Reserves bytes; waits for a connection that stalls to be closed if there is no space.
    ///
    /// Returns false if there is none then.
    async fn reserve(&self, connection: ConnectionId, kind: Kind, bytes: usize) -> bool {
        for _ in 0..MAX_CLOSED {
            // Enabled before the decision, so that no release after it is missed.
            let released = self.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            match self.decide(connection, kind, bytes) {
                Reservation::Granted => return true,
                Reservation::Refused => return false,
                Reservation::Wait | Reservation::Close(_) => {}
            }
            let _ = timeout(RELEASE_TIMEOUT, released).await;
        }
        false
    }

    /// Reserves bytes until the guard is dropped, without waiting; `None` if there is no space.
    #[must_use]
    pub fn try_reserve(
        self: &Arc<Self>,
        connection: ConnectionId,
        kind: Kind,
        bytes: usize,
    ) -> Option<Reserved> {
        if self.decide(connection, kind, bytes) != Reservation::Granted {
            return None;
        }
        Some(Reserved {
            held: self.clone(),
            connection,
            kind,
            bytes,
        })
    }

    /// Reserves bytes until the guard is dropped; waits for a connection that stalls to be closed if
    /// there is no space, and returns `None` if there is none then.
    pub async fn hold(
        self: &Arc<Self>,
        connection: ConnectionId,
        kind: Kind,
        bytes: usize,
    ) -> Option<Reserved> {
        let granted = self.reserve(connection, kind, bytes).await;
        granted.then(|| Reserved {
            held: self.clone(),
            connection,
            kind,
            bytes,
        })
    }

    /// Decides on a reservation; signals the connection that is to be closed for it, if any.
    fn decide(&self, connection: ConnectionId, kind: Kind, bytes: usize) -> Reservation {
        let now = self.now();
        let mut book = self.book();
        let reservation = book.held.reserve(connection, kind, bytes, now);
        if let Reservation::Close(other) = reservation {
            book.close(other);
            drop(book);
            self.report("stalled connection closed", kind_label(kind), other);
        }
        reservation
    }

    /// Counts a refusal or a closed connection, and logs it at most once in [`LOG_INTERVAL`].
    pub fn report(&self, reason: &'static str, label: &'static str, connection: ConnectionId) {
        let labels = vec![("reason", reason), ("what", label)];
        self.refused.get_or_create(&labels).inc();
        let now = self.now();
        let mut book = self.book();
        let last = book.logged.get(reason).copied();
        if last.is_some_and(|last| now < last + LOG_INTERVAL) {
            return;
        }
        book.logged.insert(reason, now);
        let (bodies, answers) = (book.held.bytes(Kind::Body), book.held.bytes(Kind::Answer));
        let connections = book.closers.len();
        let limits = *book.held.limits();
        drop(book);
        info!(
            reason, what = label, connection, connections, bodies, answers,
            body_limit = limits.bodies, answer_limit = limits.answers;
            "limit on what callers hold"
        );
    }

    /// Returns the time on the clock of the record, in milliseconds.
    fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// Locks the record.
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Book {
    /// Signals a connection that it must be closed.
    fn close(&self, id: ConnectionId) {
        if let Some(closer) = self.closers.get(&id) {
            closer.notify_one();
        }
    }
}

impl ConnectionGuard {
    /// Returns the record in which the connection is counted.
    #[must_use]
    pub fn held(&self) -> &Arc<Held> {
        &self.held
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut book = self.held.book();
        book.held.close(self.id);
        book.closers.remove(&self.id);
        drop(book);
        self.held.released.notify_waiters();
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let mut book = self.held.book();
        book.held.release(self.connection, self.kind, self.bytes);
        drop(book);
        self.held.released.notify_waiters();
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.held.set_activity(self.connection, Activity::Waiting);
    }
}

impl HeldBuffer {
    /// Creates an empty buffer for at most `limit` bytes, held for a connection.
    #[must_use]
    pub fn new(held: &Arc<Held>, connection: ConnectionId, kind: Kind, limit: usize) -> Self {
        let reserved = Reserved {
            held: held.clone(),
            connection,
            kind,
            bytes: 0,
        };
        Self {
            bytes: Vec::new(),
            reserved,
            limit,
        }
    }

    /// Appends a piece; reserves the capacity that it needs.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffer would be larger than its limit, or if there is no space.
    pub async fn extend(&mut self, piece: &[u8]) -> Result<(), BufferError> {
        let size = self.bytes.len() + piece.len();
        if size > self.limit {
            return Err(BufferError::TooLarge);
        }
        if size > self.bytes.capacity() {
            self.grow(size).await?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes, which stay reserved until the last copy of the handle is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        if self.reserved.bytes == 0 {
            return Bytes::from(self.bytes);
        }
        Bytes::from_owner(self)
    }

    /// Increases the capacity to `size` bytes or more.
    async fn grow(&mut self, size: usize) -> Result<(), BufferError> {
        let capacity = if size <= FREE_BYTES {
            size.max(2 * self.bytes.capacity()).min(FREE_BYTES)
        } else {
            let step = (self.bytes.capacity() / 2).max(MIN_GROWTH);
            size.max(self.bytes.capacity() + step).min(self.limit)
        };
        let needed = capacity.saturating_sub(FREE_BYTES);
        let more = needed.saturating_sub(self.reserved.bytes);
        let (connection, kind) = (self.reserved.connection, self.reserved.kind);
        if more > 0 && !self.reserved.held.reserve(connection, kind, more).await {
            return Err(BufferError::NoSpace);
        }
        self.reserved.bytes += more;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the label of a kind of bytes in metrics and logs.
#[must_use]
pub fn kind_label(kind: Kind) -> &'static str {
    match kind {
        Kind::Body => "bodies",
        Kind::Answer => "answers",
    }
}
