//! Tests of the logger on outputs that are read and on one that is never read.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use cactuslane_log::{LogFormat, MAX_QUEUED_BELOW_WARN, MAX_QUEUED_LINES, NonBlockingLogger};
use log::{Level, Log, Record};
use serde_json::Value;

/// Output that passes each write to the test through a channel.
struct Output {
    /// Sending end of the channel to the test.
    sender: Sender<Vec<u8>>,
    /// Whether a write blocks forever, as on a full pipe that is not read.
    unread: bool,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let sent = self.sender.send(bytes.to_vec());
        sent.map_err(io::Error::other)?;
        if self.unread {
            loop {
                std::thread::park();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Creates a logger, and the receiver of what it writes.
fn open(unread: bool) -> (NonBlockingLogger, Receiver<Vec<u8>>) {
    let (sender, receiver) = channel();
    (
        NonBlockingLogger::spawn(Output { sender, unread }, LogFormat::Json),
        receiver,
    )
}

/// Logs a record with the field `number`.
fn log(logger: &NonBlockingLogger, level: Level, target: &str, number: u64) {
    let fields = [("number", number)];
    let record = Record::builder()
        .level(level)
        .target(target)
        .key_values(&fields)
        .args(format_args!("something happened"))
        .build();
    logger.log(&record);
}

/// A JSON line holds the fields of its record; records with a target outside this system are not
/// logged.
#[test]
fn json_line_holds_the_fields_of_its_record() {
    let (logger, receiver) = open(false);
    log(&logger, Level::Info, "hyper", 1);
    log(&logger, Level::Info, "cactuslane_gateway", 2);
    let bytes = receiver.recv().expect("a line is written");
    let line: Value = serde_json::from_slice(&bytes).expect("the line is JSON");
    assert_eq!(line["number"], 2);
    assert_eq!(line["event"], "something happened");
    assert_eq!(line["level"], "INFO");
    assert!(line["at_ms"].is_u64());
}

/// Guards against a queue that grows while the output is not read, and against warnings that are
/// dropped because lines below them have filled the queue.
#[test]
fn unread_output_keeps_the_queue_bounded_with_room_for_warnings() {
    let (logger, receiver) = open(true);
    log(&logger, Level::Info, "cactuslane", 0);
    receiver.recv().expect("the first line is being written");
    for number in 0..10_000 {
        log(&logger, Level::Info, "cactuslane", number);
    }
    // The line that is being written counts as pending too.
    assert_eq!(
        10_000 - logger.dropped().get(),
        MAX_QUEUED_BELOW_WARN as u64 - 1
    );
    let reserved = (MAX_QUEUED_LINES - MAX_QUEUED_BELOW_WARN) as u64;
    let before = logger.dropped().get();
    for number in 0..reserved {
        log(&logger, Level::Warn, "cactuslane", number);
    }
    assert_eq!(logger.dropped().get(), before);
    log(&logger, Level::Info, "cactuslane", 0);
    log(&logger, Level::Warn, "cactuslane", 0);
    assert_eq!(logger.dropped().get(), before + 2);
}

/// Guards against the loss of the last lines of a process that ends after a flush.
#[test]
fn flush_waits_for_the_last_line() {
    let (logger, receiver) = open(false);
    for number in 0..100 {
        log(&logger, Level::Info, "cactuslane", number);
    }
    logger.flush();
    let written: Vec<u8> = receiver.try_iter().flatten().collect();
    let text = String::from_utf8(written).expect("the output is UTF-8");
    assert!(text.ends_with("\"number\":99}\n"), "{text}");
}

/// Guards against a process that cannot end because its output is not read.
#[test]
fn flush_returns_if_the_output_is_not_read() {
    let (logger, _receiver) = open(true);
    log(&logger, Level::Info, "cactuslane", 0);
    logger.flush();
}

/// The text format shows the first fields without names; the name of an unknown format is an
/// error.
#[test]
fn text_line_shows_level_event_and_fields() {
    let (sender, receiver) = channel();
    let output = Output {
        sender,
        unread: false,
    };
    let logger = NonBlockingLogger::spawn(output, "text".parse().expect("the format is known"));
    log(&logger, Level::Warn, "cactuslane", 7);
    let line = receiver.recv().expect("a line is written");
    let line = String::from_utf8(line).expect("the output is UTF-8");
    assert!(
        line.ends_with(" WARN something happened number=7\n"),
        "{line}"
    );
    assert!("xml".parse::<LogFormat>().is_err());
}
