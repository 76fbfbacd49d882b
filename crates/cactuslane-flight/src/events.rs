//! Whole events of a stream, and their ids.

/// Largest event that is held back until it is whole, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Cuts a stream of server-sent events into whole ones.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// The bytes after the last whole event.
    rest: Vec<u8>,
    /// The id of the last whole event.
    last: Option<u64>,
}

/// The reason why bytes are not a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event is larger than any that is held back.
    TooLong,
    /// An event's id does not follow the one before.
    OutOfOrder,
}

impl EventScanner {
    /// Creates a scanner for a stream that goes on after an event.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            rest: Vec::new(),
            last,
        }
    }

    /// Takes bytes and returns those that end with a whole event.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes are no stream of events with growing ids; what was
    /// returned before stays valid.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        self.rest.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(end) = event_end(&self.rest[whole..]) {
            let event = &self.rest[whole..whole + end];
            if let Some(id) = event_id(event) {
                if self.last.is_some_and(|last| id <= last) {
                    return Err(EventError::OutOfOrder);
                }
                self.last = Some(id);
            }
            whole += end;
        }
        if self.rest.len() - whole > MAX_EVENT {
            return Err(EventError::TooLong);
        }
        let left = self.rest.split_off(whole);
        Ok(std::mem::replace(&mut self.rest, left))
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the stream stands between two events.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.rest.is_empty()
    }
}

/// Returns the length of the first whole event, its empty line included.
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

/// Returns the id of an event.
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
