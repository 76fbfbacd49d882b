//! Budget for what is held on behalf of callers: connections, bodies of requests and answers.
//!
//! Each connection has a fixed cost, which covers its buffers, one head and the first
//! [`FREE_BYTES`] of one body, so that small requests need nothing else. Bytes beyond that are
//! reserved as they arrive. When there is no space, the connection that holds bytes without
//! progress is closed; if there is none, the reservation is refused.

use std::collections::BTreeMap;

use cactuslane_types::Millis;

/// Number of a connection, unique within an instance.
pub type ConnectionId = u64;

/// Number of bytes of each body and each answer that the cost of its connection covers.
pub const FREE_BYTES: usize = 16 << 10;
/// Memory that a connection may take without bodies and answers, in bytes: read and write buffers,
/// a head with all its headers, the task, and [`FREE_BYTES`].
pub const CONNECTION_COST: usize = 48 << 10;
/// Number of bytes that count as progress.
pub const PROGRESS_BYTES: usize = 8 << 10;
/// Time without progress after which a connection may be closed when space is short, in
/// milliseconds.
pub const STALL_TIME: Millis = 1000;

/// Memory of a process for which no limit is stated, in bytes.
const DEFAULT_MEMORY: u64 = 512 << 20;
/// Largest memory from which limits are derived, in bytes.
const MAX_MEMORY: u64 = 8 << 30;
/// Share of the memory for bodies of requests, in percent.
const BODY_SHARE: u64 = 15;
/// Share of the memory for answers, in percent.
const ANSWER_SHARE: u64 = 15;
/// Share of the memory for connections, in percent.
const CONNECTION_SHARE: u64 = 30;
/// Share of the space for bodies that is kept for requests that other instances pass on, in percent.
const KEPT_SHARE: usize = 20;
/// Smallest space for bodies or for answers, in bytes; the largest single answer fits.
const MIN_BYTES: u64 = 20 << 20;
/// Number of descriptors that are kept for files, listeners and the store.
const KEPT_DESCRIPTORS: u32 = 264;
/// Share of the other descriptors for connections that are accepted, in percent; the rest is for
/// connections to targets and to other instances.
const ACCEPTED_SHARE: u32 = 50;
/// Share of a door's connections, in percent, up to which those that were never served may take the
/// places of idle ones that were.
const UNSERVED_SHARE: usize = 50;
/// Smallest number of connections of one door.
const MIN_CONNECTIONS: usize = 16;

/// Listener at which a connection is accepted; each has a bound of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Door {
    /// Requests of callers.
    Front,
    /// Requests that other instances pass on.
    Instances,
    /// Requests for addresses.
    Directory,
    /// Readiness checks and requests for metrics.
    Ready,
}

impl Door {
    /// All doors.
    pub const ALL: [Self; 4] = [Self::Front, Self::Instances, Self::Directory, Self::Ready];

    /// Returns the label of the door in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Front => "front",
            Self::Instances => "instances",
            Self::Directory => "directory",
            Self::Ready => "ready",
        }
    }

    /// Returns the door's share of all accepted connections, in percent.
    fn share(self) -> usize {
        match self {
            Self::Front => 76,
            Self::Instances | Self::Directory | Self::Ready => 8,
        }
    }
}

/// Kind of bytes that are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Bodies of requests.
    Body,
    /// Answers that the caller has not taken yet.
    Answer,
}

/// Limits on what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLimits {
    /// Number of bytes of bodies beyond [`FREE_BYTES`] of each.
    pub bodies: usize,
    /// Number of bytes of answers beyond [`FREE_BYTES`] of each.
    pub answers: usize,
    /// Number of connections at all doors together.
    pub connections: usize,
}

impl HeldLimits {
    /// Returns the limits for a process with so much memory, in bytes, and so many descriptors.
    ///
    /// Together they allow 60% of the memory; the rest is for the program itself and for the
    /// allocator.
    #[must_use]
    pub fn of_process(memory: Option<u64>, descriptors: Option<u32>) -> Self {
        let memory = memory.unwrap_or(DEFAULT_MEMORY).min(MAX_MEMORY);
        let share = |percent: u64| memory * percent / 100;
        let by_memory = share(CONNECTION_SHARE) as usize / CONNECTION_COST;
        let by_descriptors = descriptors.map_or(usize::MAX, |count| {
            let open = u64::from(count.saturating_sub(KEPT_DESCRIPTORS));
            (open * u64::from(ACCEPTED_SHARE) / 100) as usize
        });
        Self {
            bodies: share(BODY_SHARE).max(MIN_BYTES) as usize,
            answers: share(ANSWER_SHARE).max(MIN_BYTES) as usize,
            connections: by_memory.min(by_descriptors),
        }
    }

    /// Returns the number of connections at a door.
    #[must_use]
    pub fn at_door(&self, door: Door) -> usize {
        (self.connections * door.share() / 100).max(MIN_CONNECTIONS)
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It is idle or receives a head.
    Waiting,
    /// It receives a body.
    Reading,
    /// Its request is being executed, or an answer is being sent.
    Serving,
}

/// An accepted connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Where it was accepted.
    door: Door,
    /// What it is doing.
    activity: Activity,
    /// Whether a request of it was answered.
    served: bool,
    /// Whether its caller takes no bytes of the answer at present.
    blocked: bool,
    /// Time of the last progress.
    progress: Millis,
    /// Number of bytes since then.
    since_progress: usize,
    /// Number of bytes of bodies that it holds.
    bodies: usize,
    /// Number of bytes of answers that it holds.
    answers: usize,
    /// Whether it was chosen to be closed.
    closing: bool,
}

impl Connection {
    /// Returns the time since its last progress.
    fn stalled(&self, now: Millis) -> Millis {
        now.saturating_sub(self.progress)
    }

    /// Returns whether it waits for its caller, for longer than [`STALL_TIME`] without progress.
    fn is_stalled(&self, now: Millis) -> bool {
        let waits = self.activity == Activity::Reading || self.blocked;
        waits && self.stalled(now) >= STALL_TIME
    }

    /// Returns whether it waits for a head and has nothing left to send.
    fn is_idle(&self) -> bool {
        self.activity == Activity::Waiting && !self.blocked
    }

    /// Returns the number of bytes of a kind that it holds.
    fn bytes(&mut self, kind: Kind) -> &mut usize {
        match kind {
            Kind::Body => &mut self.bodies,
            Kind::Answer => &mut self.answers,
        }
    }
}

/// Result of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are counted until they are released.
    Granted,
    /// There is no space until this connection, which stalls, has been closed.
    Close(ConnectionId),
    /// There is no space until another connection, chosen earlier, has been closed.
    Wait,
    /// There is no space.
    Refused,
}

/// Result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The connection is counted; if another one is named, it must be closed.
    Opened(ConnectionId, Option<ConnectionId>),
    /// The door has as many connections as it may have, all of them in use.
    Refused,
}

/// Record of all that is held.
#[derive(Debug)]
pub struct HeldBytes {
    /// Limits in force.
    limits: HeldLimits,
    /// Number of bytes of bodies.
    bodies: usize,
    /// Number of bytes of answers.
    answers: usize,
    /// Connections that are open.
    connections: BTreeMap<ConnectionId, Connection>,
    /// Numbers of connections by door, without those that are to be closed.
    counts: BTreeMap<Door, usize>,
    /// Number of connections that are to be closed.
    closing: usize,
    /// Number of the next connection.
    next: ConnectionId,
}

impl HeldBytes {
    /// Creates a record of nothing.
    #[must_use]
    pub fn new(limits: HeldLimits) -> Self {
        Self {
            limits,
            bodies: 0,
            answers: 0,
            connections: BTreeMap::new(),
            counts: BTreeMap::new(),
            closing: 0,
            next: 0,
        }
    }

    /// Returns the limits in force.
    #[must_use]
    pub fn limits(&self) -> &HeldLimits {
        &self.limits
    }

    /// Replaces the limits; what is held already stays.
    pub fn set_limits(&mut self, limits: HeldLimits) {
        self.limits = limits;
    }

    /// Returns the number of bytes of a kind that are held.
    #[must_use]
    pub fn bytes(&self, kind: Kind) -> usize {
        match kind {
            Kind::Body => self.bodies,
            Kind::Answer => self.answers,
        }
    }

    /// Returns the number of connections of a door, without those that are to be closed.
    #[must_use]
    pub fn count(&self, door: Door) -> usize {
        self.counts.get(&door).copied().unwrap_or(0)
    }

    /// Returns the number of connections that are to be closed and are still open.
    #[must_use]
    pub fn closing(&self) -> usize {
        self.closing
    }

    /// Opens a connection at a door.
    ///
    /// At a full door, it takes the place of the connection that has waited longest for a head, or
    /// of one that has stalled. Connections of which no request was answered yet go first where
    /// they have more than [`UNSERVED_SHARE`] of the door, the others where they have less.
    pub fn open(&mut self, door: Door, now: Millis) -> Opening {
        let mut replaced = None;
        if self.count(door) >= self.limits.at_door(door) {
            let Some(id) = self.replaceable(door, now) else {
                return Opening::Refused;
            };
            self.mark_closing(id);
            replaced = Some(id);
        }
        *self.counts.entry(door).or_default() += 1;
        let id = self.next;
        self.next += 1;
        self.connections.insert(
            id,
            Connection {
                door,
                activity: Activity::Waiting,
                served: false,
                blocked: false,
                progress: now,
                since_progress: 0,
                bodies: 0,
                answers: 0,
                closing: false,
            },
        );
        Opening::Opened(id, replaced)
    }

    /// Removes a connection; bytes that it reserved are counted until they are released.
    pub fn close(&mut self, id: ConnectionId) {
        self.mark_closing(id);
        if self.connections.remove(&id).is_some() {
            self.closing -= 1;
        }
    }

    /// Returns whether a connection that is to be closed may still be; otherwise its request has
    /// begun or gone on since it was chosen, and it keeps its place.
    pub fn confirm_close(&mut self, id: ConnectionId, now: Millis) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return true;
        };
        if connection.is_idle() || connection.is_stalled(now) {
            return true;
        }
        if std::mem::replace(&mut connection.closing, false) {
            self.closing -= 1;
            *self.counts.entry(connection.door).or_default() += 1;
        }
        false
    }

    /// Records what a connection does from now on, which counts as progress.
    pub fn set_activity(&mut self, id: ConnectionId, activity: Activity, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.served |= activity == Activity::Waiting;
        connection.activity = activity;
        connection.progress = now;
        connection.since_progress = 0;
    }

    /// Records whether a connection's caller takes no bytes of the answer.
    pub fn set_blocked(&mut self, id: ConnectionId, blocked: bool, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if blocked && !connection.blocked && connection.since_progress == 0 {
            connection.progress = now;
        }
        connection.blocked = blocked;
    }

    /// Records bytes that a connection received or sent; [`PROGRESS_BYTES`] of them are progress.
    pub fn record_bytes(&mut self, id: ConnectionId, bytes: usize, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.since_progress += bytes;
        if connection.since_progress >= PROGRESS_BYTES {
            connection.since_progress = 0;
            connection.progress = now;
        }
    }

    /// Reserves bytes of a body or an answer for a connection.
    pub fn reserve(
        &mut self,
        id: ConnectionId,
        kind: Kind,
        bytes: usize,
        now: Millis,
    ) -> Reservation {
        let door = self.connections.get(&id).map(|connection| connection.door);
        let limit = match kind {
            Kind::Answer => self.limits.answers,
            Kind::Body if door == Some(Door::Instances) => self.limits.bodies,
            Kind::Body => self.limits.bodies / 100 * (100 - KEPT_SHARE),
        };
        if self.bytes(kind) + bytes <= limit {
            match kind {
                Kind::Body => self.bodies += bytes,
                Kind::Answer => self.answers += bytes,
            }
            if let Some(connection) = self.connections.get_mut(&id) {
                *connection.bytes(kind) += bytes;
            }
            return Reservation::Granted;
        }
        let is_closing =
            |connection: &mut Connection| connection.closing && *connection.bytes(kind) > 0;
        if self.connections.values_mut().any(is_closing) {
            return Reservation::Wait;
        }
        let mut heaviest = None;
        for (&other, connection) in &mut self.connections {
            let may_close = other != id && !connection.closing && connection.is_stalled(now);
            if !may_close || *connection.bytes(kind) == 0 {
                continue;
            }
            let weight = *connection.bytes(kind) as u64 * connection.stalled(now);
            if heaviest.is_none_or(|(_, most)| weight > most) {
                heaviest = Some((other, weight));
            }
        }
        let Some((chosen, _)) = heaviest else {
            return Reservation::Refused;
        };
        self.mark_closing(chosen);
        Reservation::Close(chosen)
    }

    /// Releases reserved bytes.
    pub fn release(&mut self, id: ConnectionId, kind: Kind, bytes: usize) {
        match kind {
            Kind::Body => self.bodies = self.bodies.saturating_sub(bytes),
            Kind::Answer => self.answers = self.answers.saturating_sub(bytes),
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            let held = connection.bytes(kind);
            *held = held.saturating_sub(bytes);
        }
    }

    /// Records that a connection is to be closed.
    fn mark_closing(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut connection.closing, true) {
            self.closing += 1;
            let count = self.counts.entry(connection.door).or_default();
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the connection of a door whose place a new one may take.
    fn replaceable(&self, door: Door, now: Millis) -> Option<ConnectionId> {
        let mut unserved_count = 0;
        let (mut unserved, mut served, mut stalled) = (None, None, None);
        for (&id, connection) in &self.connections {
            if connection.door != door || connection.closing {
                continue;
            }
            let oldest = if connection.is_idle() && !connection.served {
                unserved_count += 1;
                &mut unserved
            } else if connection.is_idle() {
                &mut served
            } else if connection.is_stalled(now) {
                &mut stalled
            } else {
                continue;
            };
            if oldest.is_none_or(|(progress, _)| connection.progress < progress) {
                *oldest = Some((connection.progress, id));
            }
        }
        let most = self.limits.at_door(door) * UNSERVED_SHARE / 100;
        let idle = if unserved_count > most {
            unserved.or(served)
        } else {
            served.or(unserved)
        };
        idle.or(stalled).map(|(_, id)| id)
    }
}
