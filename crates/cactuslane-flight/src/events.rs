//! Splitting of server-sent event streams at event boundaries.

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_PARTIAL_EVENT: usize = 256 << 10;

/// Returns only complete server-sent events of a stream and tracks their ids.
///
/// A stream that breaks off can be resumed at another target only from an event boundary.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// Bytes received after the last complete event.
    partial: Vec<u8>,
    /// Id of the last complete event that had one, or the id after which the stream was resumed.
    last_id: Option<u64>,
    /// Id of the first complete event that had one.
    first_id: Option<u64>,
    /// Whether each id so far was the one after the previous one; `None` if there was no id.
    by_one: Option<bool>,
    /// Whether an id that is not the next one is reported, as ids went up by one before.
    is_next_due: bool,
    /// Id after which the caller took the stream up, or the target was to go on.
    after: Option<u64>,
    /// Whether the caller took the stream up.
    is_taken_up: bool,
    /// Id that was not valid where it came.
    rejected_id: Option<u64>,
    /// Number of complete events.
    events: u64,
    /// Whether an event with data and without an id came after the last one with an id.
    unnumbered: bool,
}

/// The reason why a stream is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An incomplete event exceeds the buffer limit of 256 KiB.
    TooLong,
    /// An event's id is not larger than the previous one.
    OutOfOrder,
    /// Ids went up by one, and one is larger than the next: events may be missing, or this one has
    /// several tokens. The scanner goes on with it after [`EventScanner::accept_gap`].
    Missing,
    /// The lines before an empty line are not those of an event.
    NotAnEvent,
}

impl EventScanner {
    /// Creates a scanner for a stream that continues after the event `last_id`, or starts
    /// with its first event.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            after: last_id,
            is_taken_up: last_id.unwrap_or(0) > 0,
            ..Self::default()
        }
    }

    /// Creates a scanner for the same stream when another target goes on with it after the last
    /// complete event.
    #[must_use]
    pub fn resumed(&self) -> Self {
        Self {
            last_id: self.last_id,
            after: self.last_id,
            is_taken_up: self.is_taken_up,
            by_one: self.by_one,
            is_next_due: self.by_one == Some(true),
            ..Self::default()
        }
    }

    /// Reports ids other than the next one from now on, which is 1 first in a new stream, unless ids of
    /// the stream itself did not go up by one.
    pub fn expect_next(&mut self) {
        self.is_next_due = self.by_one != Some(false);
    }

    /// Accepts the id that was reported as [`EventError::Missing`], and any larger one after it.
    pub fn accept_gap(&mut self) {
        self.is_next_due = false;
        self.rejected_id = None;
    }

    /// Adds bytes of the stream and returns all complete events that are buffered now.
    ///
    /// # Errors
    ///
    /// Returns an error if event ids don't increase, if an id is larger than the next one
    /// where that is to be reported, if lines are not those of an event or if an incomplete event exceeds
    /// 256 KiB; events that earlier calls returned stay valid. Complete events that this call found
    /// before the fault are neither returned nor counted by `last_id`.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        self.partial.extend_from_slice(bytes);
        let (mut complete, mut events) = (0, 0);
        let (mut first_id, mut last_id) = (self.first_id, self.last_id);
        let (mut by_one, mut unnumbered) = (self.by_one, self.unnumbered);
        while let Some(end) = event_end(&self.partial[complete..]) {
            let event = &self.partial[complete..complete + end];
            if !is_event(event) {
                return Err(EventError::NotAnEvent);
            }
            if let Some(id) = event_id(event) {
                if last_id.is_some_and(|last| id <= last) {
                    self.rejected_id = Some(id);
                    return Err(EventError::OutOfOrder);
                }
                let is_next = last_id.unwrap_or(0).checked_add(1) == Some(id);
                if self.is_next_due && !is_next {
                    self.rejected_id = Some(id);
                    return Err(EventError::Missing);
                }
                by_one = Some(by_one.unwrap_or(true) && is_next);
                first_id.get_or_insert(id);
                last_id = Some(id);
                unnumbered = false;
            } else {
                unnumbered |= has_data(event);
            }
            complete += end;
            events += 1;
        }
        if self.partial.len() - complete > MAX_PARTIAL_EVENT {
            return Err(EventError::TooLong);
        }
        (self.first_id, self.last_id, self.by_one) = (first_id, last_id, by_one);
        self.unnumbered = unnumbered;
        self.events += events;
        let left = self.partial.split_off(complete);
        Ok(std::mem::replace(&mut self.partial, left))
    }

    /// Returns the id of the last complete event that had one, or the id given to `resume_after`.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the id of the first complete event that had one.
    #[must_use]
    pub fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Returns the id that is due first, if one is.
    #[must_use]
    pub fn due(&self) -> Option<u64> {
        let next = self.after.unwrap_or(0).checked_add(1);
        next.filter(|_| self.is_next_due)
    }

    /// Returns the id that was not valid where it came, if one was not.
    #[must_use]
    pub fn rejected_id(&self) -> Option<u64> {
        self.rejected_id
    }

    /// Returns whether the ids of a new stream are 1, 2, 3 and so on; `None` if it had none, or if its
    /// caller took it up.
    #[must_use]
    pub fn counts_by_one(&self) -> Option<bool> {
        self.by_one.filter(|_| !self.is_taken_up)
    }

    /// Returns the number of complete events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the stream can go on elsewhere after [`Self::last_id`]: an event with data and
    /// without an id that came since then would come twice.
    #[must_use]
    pub fn may_resume(&self) -> bool {
        !self.unnumbered
    }

    /// Returns whether no incomplete event is buffered.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns whether the bytes after the last complete event, if no more follow, are no part of an
    /// event: comments and empty lines.
    #[must_use]
    pub fn ends_with_comments(&self) -> bool {
        let mut lines = self.partial.split(|byte| *byte == b'\n');
        lines.all(|line| {
            line.starts_with(b":") || line.strip_suffix(b"\r").unwrap_or(line).is_empty()
        })
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }
}

/// Returns the length of the first complete event in bytes, its empty line included.
///
/// Lines may end with LF or CRLF.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(offset) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let line_end = at + offset + 1;
        let rest = &bytes[line_end..];
        if rest.starts_with(b"\n") {
            return Some(line_end + 1);
        }
        if rest.starts_with(b"\r\n") {
            return Some(line_end + 2);
        }
        at = line_end;
    }
    None
}

/// Returns whether all lines are fields or comments, and one of them is a field that events have, a
/// comment or empty. Fields of other names may be among them.
fn is_event(event: &[u8]) -> bool {
    let mut is_known = false;
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_".contains(byte);
        if !name.iter().all(is_name) {
            return false;
        }
        let is_comment = name.is_empty() && !line.is_empty();
        is_known |= is_comment || [&b"data"[..], b"id", b"event", b"retry"].contains(&name);
    }
    is_known || event.iter().all(|byte| b"\r\n".contains(byte))
}

/// Returns whether an event has data.
fn has_data(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .any(|line| line.starts_with(b"data"))
}

/// Returns the id in an event's first `id:` line; `None` if there is none or it is not numeric.
fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let text = std::str::from_utf8(value).ok()?;
        return text.trim().parse().ok();
    }
    None
}
