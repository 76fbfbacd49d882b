//! Logger that never blocks its callers on its output.
//!
//! Lines, in JSON or as text, go through a bounded queue to a thread that writes them. If the
//! output is not read and the queue fills up, lines are dropped and counted; lines below `WARN` are
//! dropped first.

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

/// Number of lines, queued or being written, at which every further line is dropped.
pub const MAX_QUEUED_LINES: usize = 2000;
/// Number of lines of all levels, queued or being written, at which further lines below `WARN` are
/// dropped; the rest of the queue is reserved for warnings and errors.
pub const MAX_QUEUED_BELOW_WARN: usize = 1500;
/// Maximum time that a flush waits for the last lines of a process. The gateway flushes after it
/// has stopped, and the flush has to fit into what is left of its grace period.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a flush checks whether all lines have been written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Size in bytes from which no further line is added to a write.
const BATCH_BYTES: usize = 32 << 10;

/// Logger whose callers never wait for its output.
///
/// It logs only records whose target starts with `cactuslane`, those of this system's crates.
#[derive(Debug)]
pub struct NonBlockingLogger {
    /// Format of the lines.
    format: LogFormat,
    /// Sending end of the queue to the writer thread.
    sender: SyncSender<String>,
    /// Number of lines that are queued or being written.
    pending: Arc<AtomicUsize>,
    /// Number of lines dropped since the last one that was queued; the next line that is queued
    /// reports it as `lines_dropped`.
    unreported: AtomicU64,
    /// Number of lines dropped since the logger was created.
    dropped: Counter,
}

/// Format of the log lines, selected on the command line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Text for people: time, level and event, then the other fields as `name=value`.
    Text,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(format!(
                "unknown log format `{text}`; expected json or text"
            )),
        }
    }
}

impl LogFormat {
    /// Formats the fields of a record as a line without its line break.
    ///
    /// The first three fields are those that every line has: time, level and event. Text shows
    /// them without their names.
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

/// Visitor that adds the key-value pairs of a record to the fields of its line.
///
/// Non-negative integers of up to 64 bits and booleans keep their type; all other values become
/// strings.
struct FieldVisitor<'m>(&'m mut Map<String, serde_json::Value>);

impl NonBlockingLogger {
    /// Creates a logger and starts the thread that writes to `output`.
    ///
    /// When the logger is dropped, the thread writes the lines still queued and ends. It also ends
    /// when a write fails, such as when the output has been closed: the lines queued or being
    /// written at that time are lost without being counted, and all further lines are dropped and
    /// counted.
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

    /// Returns the counter of lines dropped since the logger was created, for the metrics.
    #[must_use]
    pub fn dropped(&self) -> Counter {
        self.dropped.clone()
    }

    /// Queues a line if the limit of its level allows it; returns whether it was queued.
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

    /// Waits until all lines have been written, for use at the end of a process.
    ///
    /// It waits for `FLUSH_TIMEOUT` at most, as the output may not be read.
    fn flush(&self) {
        let began = Instant::now();
        while self.pending.load(Ordering::Relaxed) > 0 && began.elapsed() < FLUSH_TIMEOUT {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Writes lines until the logger is dropped or a write fails.
///
/// Lines that are queued already are written together. They count as pending until the write is
/// complete, so that a flush waits for them.
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

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the clock is set to an
/// earlier time.
#[must_use]
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
