//! Parsing of server-sent events.

/// Largest event that is accepted, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct EventParser {
    /// Holds bytes of an event that is not complete.
    buffer: Vec<u8>,
}

/// Says that an event is too large or no text.
#[derive(Debug)]
pub struct InvalidEvent;

impl EventParser {
    /// Takes in bytes and returns the data of the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, InvalidEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some((end, next)) = event_end(&self.buffer) {
            let event: Vec<u8> = self.buffer.drain(..next).collect();
            let text = std::str::from_utf8(&event[..end]).map_err(|_| InvalidEvent)?;
            let data = event_data(text);
            if !data.is_empty() {
                events.push(data);
            }
        }
        if self.buffer.len() > MAX_EVENT {
            return Err(InvalidEvent);
        }
        Ok(events)
    }
}

/// Returns the end of the first event and the start of the next.
fn event_end(buffer: &[u8]) -> Option<(usize, usize)> {
    for at in 0..buffer.len().saturating_sub(1) {
        if buffer[at..].starts_with(b"\n\n") {
            return Some((at, at + 2));
        }
        if buffer[at..].starts_with(b"\r\n\r\n") {
            return Some((at, at + 4));
        }
    }
    None
}

/// Joins the data lines of an event.
fn event_data(event: &str) -> String {
    let mut lines = Vec::new();
    for line in event.lines() {
        if let Some(data) = line.strip_prefix("data:") {
            lines.push(data.strip_prefix(' ').unwrap_or(data));
        }
    }
    lines.join("\n")
}
