//! Parsing of server-sent events.

/// Maximum size of an incomplete event, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// A parser that splits a byte stream into events and returns their data.
#[derive(Debug, Default)]
pub struct EventParser {
    /// The bytes after the last complete event.
    buffer: Vec<u8>,
}

/// An error: the incomplete event is larger than [`MAX_EVENT`], or an event is not UTF-8.
#[derive(Debug)]
pub struct InvalidEvent;

impl EventParser {
    /// Adds bytes and returns the data of the events that are complete; events without data are
    /// skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too large or not UTF-8; the stream cannot be parsed further.
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

/// Returns the length of the first event and the start of the next one, or `None` if no blank line
/// ends the first event yet.
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

/// Joins the values of the `data` fields of an event with line feeds.
fn event_data(event: &str) -> String {
    let mut lines = Vec::new();
    for line in event.lines() {
        if let Some(data) = line.strip_prefix("data:") {
            lines.push(data.strip_prefix(' ').unwrap_or(data));
        }
    }
    lines.join("\n")
}
