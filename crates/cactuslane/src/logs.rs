//! Logs: text for people or JSON for machines on standard error, and the gateway's JSON lines on
//! standard output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, json};

/// Lines that may wait for standard output; later ones are dropped and counted.
const WAITING_LINES: usize = 2000;
/// Bytes that are written to standard output at once.
const WRITE_BYTES: usize = 32 << 10;

/// Writes the gateway's lines without ever waiting for standard output.
struct Lines {
    /// Takes the lines to the writer.
    sender: SyncSender<String>,
    /// The lines that were dropped since one was taken.
    dropped: AtomicU64,
}

/// Collects the fields of a record.
struct Fields<'m>(&'m mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
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

impl Log for Lines {
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
        if record.key_values().visit(&mut Fields(&mut fields)).is_err() {
            fields.insert("fields_lost".to_owned(), json!(true));
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            fields.insert("lines_dropped".to_owned(), json!(dropped));
        }
        let line = serde_json::Value::Object(fields).to_string();
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Starts the gateway's lines on standard output; a second start has no effect.
pub fn start_lines() {
    let (sender, receiver) = sync_channel(WAITING_LINES);
    let lines = Lines {
        sender,
        dropped: AtomicU64::new(0),
    };
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Info)
        .chain(Box::new(lines) as Box<dyn Log>);
    if dispatch.apply().is_ok() {
        std::thread::spawn(move || write_lines(&receiver));
    }
}

/// Writes lines until the logger is gone or standard output is closed.
fn write_lines(receiver: &Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(line) = receiver.recv() {
        let mut text = line;
        text.push('\n');
        while text.len() < WRITE_BYTES {
            let Ok(line) = receiver.try_recv() else {
                break;
            };
            text.push_str(&line);
            text.push('\n');
        }
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns the time of day in Unix milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Starts logging; a second start has no effect.
pub fn start(json_lines: bool, level: LevelFilter) {
    let dispatch = fern::Dispatch::new().level(LevelFilter::Warn);
    // Only this system's own lines are shown below a warning.
    let dispatch = dispatch
        .level_for("cactuslane", level)
        .level_for("cactuslane_entry", level);
    let dispatch = dispatch.format(move |out, message, record| {
        let at = unix_millis();
        if json_lines {
            let line = json!({
                "at_ms": at,
                "level": record.level().as_str(),
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        } else {
            out.finish(format_args!(
                "{at} {:5} {}: {message}",
                record.level(),
                record.target()
            ));
        }
    });
    let _ = dispatch.chain(std::io::stderr()).apply();
}
