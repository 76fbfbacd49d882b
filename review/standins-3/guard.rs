//! A process that ends the processes of a test if the test itself is ended.

use std::collections::BTreeSet;
use std::io::{BufRead, Write};
use std::os::unix::process::CommandExt;
use std::process::{ChildStdin, Command, Stdio};
use std::sync::{Mutex, PoisonError};

/// The input of the guard, which ends with this process.
static GUARD: Mutex<Option<ChildStdin>> = Mutex::new(None);

/// Starts the guard, in a process group of its own.
pub fn start() {
    let program = std::env::current_exe().expect("a program");
    let mut command = Command::new(program);
    let command = command.arg("guard").stdin(Stdio::piped()).process_group(0);
    let mut child = command.spawn().expect("a guard");
    *GUARD.lock().unwrap_or_else(PoisonError::into_inner) = child.stdin.take();
}

/// Has a process ended if this one is.
pub fn add(id: u32) {
    tell(&format!("+{id}"));
}

/// Forgets a process that has ended.
pub fn remove(id: u32) {
    tell(&format!("-{id}"));
}

fn tell(line: &str) {
    let mut guard = GUARD.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(input) = guard.as_mut() {
        let _ = writeln!(input, "{line}");
    }
}

/// Reads the processes until the test has ended, and ends those that are left.
pub fn serve() -> i32 {
    let mut open = BTreeSet::new();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match (line.strip_prefix('+'), line.strip_prefix('-')) {
            (Some(id), _) => {
                open.insert(id.to_owned());
            }
            (_, Some(id)) => {
                open.remove(id);
            }
            _ => {}
        }
    }
    for id in open {
        let _ = Command::new("kill").args(["-s", "KILL", &id]).status();
    }
    0
}
