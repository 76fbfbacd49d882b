//! Lines on outputs that are read, and on one that nobody reads.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use cactuslane_log::{LogFormat, MAX_QUEUED_BELOW_WARN, MAX_QUEUED_LINES, NonBlockingLogger};
use log::{Level, Log, Record};
use serde_json::Value;

/// An output that hands over what it gets.
struct Output {
    /// Takes what is written.
    sender: Sender<Vec<u8>>,
    /// Whether writing never ends.
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

/// Opens lines on an output.
fn open(unread: bool) -> (NonBlockingLogger, Receiver<Vec<u8>>) {
    let (sender, receiver) = channel();
    (
        NonBlockingLogger::spawn(Output { sender, unread }, LogFormat::Json),
        receiver,
    )
}

/// Logs one line.
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

#[test]
fn a_line_is_an_object_with_its_fields() {
    let (logger, receiver) = open(false);
    log(&logger, Level::Info, "hyper", 1);
    log(&logger, Level::Info, "cactuslane_gateway", 2);
    let bytes = receiver.recv().expect("a line comes");
    let line: Value = serde_json::from_slice(&bytes).expect("it is an object");
    assert_eq!(line["number"], 2);
    assert_eq!(line["event"], "something happened");
    assert_eq!(line["level"], "INFO");
    assert!(line["at_ms"].is_u64());
}

#[test]
fn a_flood_is_bounded_and_warnings_are_kept_longest() {
    let (logger, receiver) = open(true);
    log(&logger, Level::Info, "cactuslane", 0);
    receiver.recv().expect("the writer is at its first line");
    for number in 0..10_000 {
        log(&logger, Level::Info, "cactuslane", number);
    }
    // One line is at the writer.
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

#[test]
fn a_flush_waits_for_the_last_line() {
    let (logger, receiver) = open(false);
    for number in 0..100 {
        log(&logger, Level::Info, "cactuslane", number);
    }
    logger.flush();
    let written: Vec<u8> = receiver.try_iter().flatten().collect();
    let text = String::from_utf8(written).expect("it is text");
    assert!(text.ends_with("\"number\":99}\n"), "{text}");
}

#[test]
fn a_flush_does_not_wait_for_an_output_that_nobody_reads() {
    let (logger, _receiver) = open(true);
    log(&logger, Level::Info, "cactuslane", 0);
    logger.flush();
}

#[test]
fn a_line_for_people_has_words() {
    let (sender, receiver) = channel();
    let output = Output {
        sender,
        unread: false,
    };
    let logger = NonBlockingLogger::spawn(output, "text".parse().expect("it is a form"));
    log(&logger, Level::Warn, "cactuslane", 7);
    let line = receiver.recv().expect("a line comes");
    let line = String::from_utf8(line).expect("it is text");
    assert!(
        line.ends_with(" WARN something happened number=7\n"),
        "{line}"
    );
    assert!("xml".parse::<LogFormat>().is_err());
}
