//! Instances as processes of their own, and the signals that they get.

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use cactuslane_platform_standin::settings_text;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Time within which a process says where it serves.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// One instance, which may be started again and again.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// The program.
    binary: PathBuf,
    /// Its settings file.
    settings: PathBuf,
    /// The file that its log lines are added to.
    log: PathBuf,
    /// The number of times that its settings were written.
    write_count: u32,
    /// The store's address, as the instance sees it.
    store: SocketAddr,
    /// The process, if one runs.
    process: Option<Process>,
}

/// A running process; dropping it kills it.
#[derive(Debug)]
struct Process {
    /// The process.
    child: Child,
    /// Its addresses.
    addresses: Addresses,
}

/// Where an instance serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for questions.
    pub ready: SocketAddr,
}

impl Instance {
    /// Creates an instance that does not run yet, with its files in a folder.
    #[must_use]
    pub fn new(name: &str, binary: &Path, folder: &Path, store: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            binary: binary.to_owned(),
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            write_count: 0,
            store,
            process: None,
        }
    }

    /// Starts a process and waits until it says where it serves.
    ///
    /// # Errors
    ///
    /// Returns an error where the process or its files can't be made, or it says nothing.
    pub fn start(&mut self) -> io::Result<Addresses> {
        self.write_settings()?;
        let mut child = Command::new(&self.binary)
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no output"))?;
        let mut log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(addresses) = parse_started(&line) {
                    // Nobody waits for a second one.
                    let _ = sender.send(addresses);
                }
                if writeln!(log, "{line}").is_err() {
                    return;
                }
            }
        });
        let started = started.recv_timeout(START_TIMEOUT);
        let Ok(addresses) = started else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(io::Error::other(format!("{} did not start", self.name)));
        };
        self.process = Some(Process { child, addresses });
        Ok(addresses)
    }

    /// Returns where the instance serves, if a process runs.
    #[must_use]
    pub fn addresses(&self) -> Option<Addresses> {
        Some(self.process.as_ref()?.addresses)
    }

    /// Sends a signal to the process, if one runs.
    pub fn signal(&self, signal: Signal) {
        let Some(process) = &self.process else {
            return;
        };
        let pid = i32::try_from(process.child.id())
            .ok()
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may have ended by itself; its exit code is checked later.
            let _ = kill_process(pid, signal);
        }
    }

    /// Changes the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be written.
    pub fn write_settings(&mut self) -> io::Result<()> {
        self.write_count += 1;
        let drain = 1900 + self.write_count % 100;
        let text = settings_text(&self.name, self.store);
        let text = text.replace("drain_ms = 2000", &format!("drain_ms = {drain}"));
        fs::write(&self.settings, text)
    }

    /// Kills the process, if one runs.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Returns the exit code of a process that has ended: nothing while it runs, and an empty
    /// code where a signal ended it.
    pub fn take_exit_code(&mut self) -> Option<Option<i32>> {
        let process = self.process.as_mut()?;
        let status = process.child.try_wait().ok().flatten()?;
        self.process = None;
        Some(status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended by itself can't be killed any more.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the addresses of the line that a process writes at its start.
fn parse_started(line: &str) -> Option<Addresses> {
    let value: Value = serde_json::from_str(line).ok()?;
    if value["event"] != "started" {
        return None;
    }
    let address = |name: &str| value[name].as_str()?.parse().ok();
    Some(Addresses {
        front: address("front")?,
        ready: address("ready")?,
    })
}
