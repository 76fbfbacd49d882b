//! JSON lines on an output that may never be waited for.
//!
//! Lines wait in a bounded queue for a thread that writes them. Where the output is not read, lines
//! are dropped and counted; news of what went well is dropped first.

use std::io::Write;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, Log, Metadata, Record};
use prometheus_client::metrics::counter::Counter;
use serde_json::{Map, json};

/// Lines that may wait for the output, in all.
pub const MAX_QUEUED_LINES: usize = 2000;
/// Lines that may wait before those that are no warnings are dropped.
pub const MAX_QUEUED_BELOW_WARN: usize = 1500;
/// Longest time for the last lines of a process, within the end of its grace.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a flush looks for its end.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Bytes that are written at once.
const BATCH_BYTES: usize = 32 << 10;

/// A logger that never waits for its output.
#[derive(Debug)]
pub struct NonBlockingLogger {
    /// The form of the lines.
    format: LogFormat,
    /// Takes the lines to the writer.
    sender: SyncSender<String>,
    /// The number of lines that wait or are being written.
    pending: Arc<AtomicUsize>,
    /// The lines that were dropped since one was queued.
    unreported: AtomicU64,
    /// The lines that were dropped in all.
    dropped: Counter,
}

/// The form of lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// A JSON object.
    #[default]
    Json,
    /// Words for people: time, level, event, then names and values.
    Text,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(format!("`{text}` is no form of lines; write json or text")),
        }
    }
}

impl LogFormat {
    /// Returns the line of some fields, the first three of which all lines have.
    fn format_line(self, fields: &Map<String, serde_json::Value>) -> String {
        let unquoted = |value: &serde_json::Value| {
            let text = value.as_str().map(str::to_owned);
            text.unwrap_or_else(|| value.to_string())
        };
        match self {
            Self::Json => serde_json::to_string(fields).unwrap_or_default(),
            Self::Text => {
                let mut parts = Vec::new();
                for (index, (name, value)) in fields.iter().enumerate() {
                    let value = unquoted(value);
                    parts.push(if index < 3 {
                        value
                    } else {
                        format!("{name}={value}")
                    });
                }
                parts.join(" ")
            }
        }
    }
}

/// The fields of a record.
struct FieldVisitor<'m>(&'m mut Map<String, serde_json::Value>);

impl NonBlockingLogger {
    /// Opens an output and starts the thread that writes to it, until the logger is dropped or the
    /// output is closed.
    pub fn spawn(output: impl Write + Send + 'static, format: LogFormat) -> Self {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let pending = Arc::new(AtomicUsize::new(0));
        let writer_pending = pending.clone();
        std::thread::spawn(move || write_lines(output, &receiver, &writer_pending));
        Self {
            format,
            sender,
            pending,
            unreported: AtomicU64::new(0),
            dropped: Counter::default(),
        }
    }

    /// Returns the counter of dropped lines.
    #[must_use]
    pub fn dropped(&self) -> Counter {
        self.dropped.clone()
    }

    /// Takes a line if there is capacity for its level.
    fn enqueue(&self, level: Level, line: String) -> bool {
        let capacity = if level <= Level::Warn {
            MAX_QUEUED_LINES
        } else {
            MAX_QUEUED_BELOW_WARN
        };
        if self.pending.load(Ordering::Relaxed) >= capacity {
            return false;
        }
        self.pending.fetch_add(1, Ordering::Relaxed);
        let queued = self.sender.try_send(line).is_ok();
        if !queued {
            self.pending.fetch_sub(1, Ordering::Relaxed);
        }
        queued
    }
}

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(flag) = value.to_bool() {
            json!(flag)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl Log for NonBlockingLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("cactuslane")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut fields = Map::new();
        fields.insert("at_ms".to_owned(), json!(unix_millis()));
        fields.insert("level".to_owned(), json!(record.level().as_str()));
        fields.insert("event".to_owned(), json!(record.args().to_string()));
        if record
            .key_values()
            .visit(&mut FieldVisitor(&mut fields))
            .is_err()
        {
            fields.insert("fields_lost".to_owned(), json!(true));
        }
        let unreported = self.unreported.swap(0, Ordering::Relaxed);
        if unreported > 0 {
            fields.insert("lines_dropped".to_owned(), json!(unreported));
        }
        let line = self.format.format_line(&fields);
        if !self.enqueue(record.level(), line) {
            self.unreported.fetch_add(unreported + 1, Ordering::Relaxed);
            self.dropped.inc();
        }
    }

    /// Waits until all lines are written, as at the end of a process, but not for long: the output
    /// may not be read.
    fn flush(&self) {
        let began = Instant::now();
        while self.pending.load(Ordering::Relaxed) > 0 && began.elapsed() < FLUSH_TIMEOUT {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Writes lines until the logger is gone or the output is closed.
fn write_lines(mut output: impl Write, receiver: &Receiver<String>, pending: &AtomicUsize) {
    while let Ok(line) = receiver.recv() {
        let (mut batch, mut count) = (line, 1);
        batch.push('\n');
        while batch.len() < BATCH_BYTES {
            let Ok(line) = receiver.try_recv() else {
                break;
            };
            batch.push_str(&line);
            batch.push('\n');
            count += 1;
        }
        let written = output.write_all(batch.as_bytes());
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
        pending.fetch_sub(count, Ordering::Relaxed);
    }
}

/// Returns the time of day in Unix milliseconds.
#[must_use]
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
