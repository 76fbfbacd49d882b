//! Lines on outputs that are read, and on one that nobody reads.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use cactuslane_log::{Form, Lines, MAX_QUEUED_BELOW_WARN, MAX_QUEUED_LINES};
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
fn open(unread: bool) -> (Lines, Receiver<Vec<u8>>) {
    let (sender, receiver) = channel();
    (Lines::open(Output { sender, unread }, Form::Json), receiver)
}

/// Logs one line.
fn log(lines: &Lines, level: Level, target: &str, number: u64) {
    let fields = [("number", number)];
    let record = Record::builder()
        .level(level)
        .target(target)
        .key_values(&fields)
        .args(format_args!("something happened"))
        .build();
    lines.log(&record);
}

#[test]
fn a_line_is_an_object_with_its_fields() {
    let (lines, receiver) = open(false);
    log(&lines, Level::Info, "hyper", 1);
    log(&lines, Level::Info, "cactuslane_gateway", 2);
    let bytes = receiver.recv().expect("a line comes");
    let line: Value = serde_json::from_slice(&bytes).expect("it is an object");
    assert_eq!(line["number"], 2);
    assert_eq!(line["event"], "something happened");
    assert_eq!(line["level"], "INFO");
    assert!(line["at_ms"].is_u64());
}

#[test]
fn a_flood_is_bounded_and_warnings_are_kept_longest() {
    let (lines, receiver) = open(true);
    log(&lines, Level::Info, "cactuslane", 0);
    receiver.recv().expect("the writer is at its first line");
    for number in 0..10_000 {
        log(&lines, Level::Info, "cactuslane", number);
    }
    // One line is at the writer.
    assert_eq!(
        10_000 - lines.dropped().get(),
        MAX_QUEUED_BELOW_WARN as u64 - 1
    );
    let reserved = (MAX_QUEUED_LINES - MAX_QUEUED_BELOW_WARN) as u64;
    let before = lines.dropped().get();
    for number in 0..reserved {
        log(&lines, Level::Warn, "cactuslane", number);
    }
    assert_eq!(lines.dropped().get(), before);
    log(&lines, Level::Info, "cactuslane", 0);
    log(&lines, Level::Warn, "cactuslane", 0);
    assert_eq!(lines.dropped().get(), before + 2);
}

#[test]
fn a_flush_waits_for_the_last_line() {
    let (lines, receiver) = open(false);
    for number in 0..100 {
        log(&lines, Level::Info, "cactuslane", number);
    }
    lines.flush();
    let written: Vec<u8> = receiver.try_iter().flatten().collect();
    let text = String::from_utf8(written).expect("it is text");
    assert!(text.ends_with("\"number\":99}\n"), "{text}");
}

#[test]
fn a_flush_does_not_wait_for_an_output_that_nobody_reads() {
    let (lines, _receiver) = open(true);
    log(&lines, Level::Info, "cactuslane", 0);
    lines.flush();
}

#[test]
fn a_line_for_people_has_words() {
    let (sender, receiver) = channel();
    let output = Output {
        sender,
        unread: false,
    };
    let lines = Lines::open(output, "text".parse().expect("it is a form"));
    log(&lines, Level::Warn, "cactuslane", 7);
    let line = receiver.recv().expect("a line comes");
    let line = String::from_utf8(line).expect("it is text");
    assert!(
        line.ends_with(" WARN something happened number=7\n"),
        "{line}"
    );
    assert!("xml".parse::<Form>().is_err());
}
