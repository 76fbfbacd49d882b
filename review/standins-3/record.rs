//! The record of a run: lines with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes lines to `record.txt`.
#[derive(Clone, Debug)]
pub struct Record {
    /// The time at which the run began.
    pub start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        });
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line; returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.now();
        let _ = writeln!(file, "{now:>7} {text}");
        now
    }
}
