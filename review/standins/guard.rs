//! A second process that ends the processes of a run whose script was ended half-way.
//!
//! It reads the ids from its standard input, which closes with the script, and runs in a process
//! group of its own, so that a signal to the script's group doesn't end it.

use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

/// Argument that starts the program as a guard.
pub const ARGUMENT: &str = "guard";

pub struct Guard {
    input: Mutex<Option<ChildStdin>>,
    child: Mutex<Child>,
}

impl Guard {
    /// Starts a guard, which also removes a folder at the end.
    pub fn start(folder: &Path) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(ARGUMENT)
            .arg(folder)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()?;
        Ok(Self {
            input: Mutex::new(child.stdin.take()),
            child: Mutex::new(child),
        })
    }

    /// Tells the guard that a process was started.
    pub fn started(&self, id: u32) {
        self.tell(&format!("+{id}\n"));
    }

    /// Tells the guard that a process has ended.
    pub fn ended(&self, id: u32) {
        self.tell(&format!("-{id}\n"));
    }

    /// Ends the guard.
    pub fn stop(&self) {
        self.input.lock().unwrap().take();
        let _ = self.child.lock().unwrap().wait();
    }

    fn tell(&self, line: &str) {
        if let Some(input) = self.input.lock().unwrap().as_mut() {
            let _ = input.write_all(line.as_bytes());
        }
    }
}

/// Runs as a guard until the standard input closes.
pub fn run(folder: &str) {
    let mut ids = BTreeSet::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        match line.split_at_checked(1) {
            Some(("+", id)) => ids.insert(id.to_owned()),
            Some((_, id)) => ids.remove(id),
            None => false,
        };
    }
    for id in &ids {
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -KILL {id}"))
            .status();
    }
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(folder);
    }
}
