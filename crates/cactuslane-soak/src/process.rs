//! Instances that run as separate processes, and the signals sent to them.

mod slices;
pub mod usage;

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, TryRecvError};
use std::time::{Duration, Instant};

use cactuslane_platform::site::Bounds;
use cactuslane_platform_standin::shape_settings;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use self::slices::Slicer;
use self::usage::ProcessUsage;

/// Maximum time from the start of a process until it logs the event `started`.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time within which a leaving target must stop receiving new requests, where no deployment states it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Length of a window of usage in seconds, in the settings of all instances.
pub const WINDOW_S: u64 = 2;

/// An instance, which may be started repeatedly with the same settings file and log.
#[derive(Debug)]
pub struct Instance {
    /// Node name in the settings, and base name of the files.
    pub name: String,
    /// Loopback address that it listens on.
    host: Ipv4Addr,
    /// Failure domain in the settings.
    domain: String,
    /// Bounds in the settings.
    bounds: Bounds,
    /// Share of a processor that its processes get, and the part of a period by which their slices are
    /// late; not limited if `None`.
    cpu_share: Option<(f64, f64)>,
    /// Number of times that its processes were stopped as their slice ended.
    slices: Arc<AtomicU64>,
    /// Processor time and memory of its processes.
    usage: ProcessUsage,
    /// Executable of the gateway.
    binary: PathBuf,
    /// Path of the settings file in TOML.
    settings: PathBuf,
    /// Path of the file that the process's log lines are appended to.
    log: PathBuf,
    /// Number of times that the settings were written, from which the drain time is derived.
    write_count: u32,
    /// Address of the store in the settings, which is that of the proxy in front of it.
    store: SocketAddr,
    /// Address of the platform in the settings, to which usage is reported.
    platform: SocketAddr,
    /// Process that was started last, until it is killed or found to have ended.
    process: Option<Process>,
}

/// A child process; dropping it kills the process, whose end a thread awaits.
#[derive(Debug)]
struct Process {
    /// Handle of the process; `None` once it is dropped.
    child: Option<Child>,
    /// Time at which it was started.
    since: Instant,
    /// Receives the addresses of its event `started`.
    started: Receiver<Addresses>,
    /// Addresses from that event, once it was logged.
    addresses: Option<Addresses>,
    /// Gives the process its share of a processor, once it has started.
    slicer: Option<Slicer>,
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for readiness checks, metrics and address queries.
    pub ready: SocketAddr,
}

impl Instance {
    /// Creates an instance without a process; its settings and log are files in `folder`.
    #[must_use]
    pub fn new(
        name: &str,
        host: Ipv4Addr,
        binary: &Path,
        folder: &Path,
        store: SocketAddr,
        platform: SocketAddr,
    ) -> Self {
        Self {
            name: name.to_owned(),
            host,
            domain: "a".to_owned(),
            bounds: Bounds::default(),
            cpu_share: None,
            slices: Arc::default(),
            usage: ProcessUsage::default(),
            binary: binary.to_owned(),
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            write_count: 0,
            store,
            platform,
            process: None,
        }
    }

    /// Sets the failure domain and the bounds in the settings.
    pub fn set_place(&mut self, domain: &str, bounds: Bounds) {
        domain.clone_into(&mut self.domain);
        self.bounds = bounds;
    }

    /// Limits the processes that are started from now on to a share of a processor; their slices are
    /// late by a part of a period, from 0 to 1.
    pub fn limit_cpu(&mut self, share: Option<f64>, phase: f64) {
        self.cpu_share = share.map(|share| (share, phase));
    }

    /// Returns the number of times that its processes were stopped as their slice ended.
    #[must_use]
    pub fn slices(&self) -> u64 {
        self.slices.load(Ordering::Relaxed)
    }

    /// Reads the processor time and memory of the process, and returns those of all processes of the
    /// instance so far.
    pub fn read_usage(&mut self) -> &ProcessUsage {
        let child = self
            .process
            .as_ref()
            .and_then(|process| process.child.as_ref());
        self.usage.read(child.map(Child::id));
        &self.usage
    }

    /// Returns the path of the log of all processes.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Starts a process, whose addresses are known once [`Self::poll_started`] has read them.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the process cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
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
            .ok_or_else(|| io::Error::other("the stdout of the process is not piped"))?;
        let mut log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(addresses) = parse_started(&line) {
                    // The receiver is dropped after the first `started` event.
                    let _ = sender.send(addresses);
                }
                if writeln!(log, "{line}").is_err() {
                    return;
                }
            }
        });
        self.process = Some(Process {
            child: Some(child),
            since: Instant::now(),
            started,
            addresses: None,
            slicer: None,
        });
        Ok(())
    }

    /// Reads the addresses that a process which is starting listens on, if it has logged them.
    ///
    /// # Errors
    ///
    /// Returns an error, and kills the process, if it has ended without logging its addresses or
    /// has not logged them within [`START_TIMEOUT`].
    pub fn poll_started(&mut self) -> io::Result<()> {
        let Some(process) = &mut self.process else {
            return Ok(());
        };
        if process.addresses.is_some() {
            return Ok(());
        }
        match process.started.try_recv() {
            Ok(addresses) => {
                process.addresses = Some(addresses);
                let id = process.child.as_ref().map(Child::id);
                if let (Some((share, phase)), Some(id)) = (self.cpu_share, id) {
                    let slicer = Slicer::spawn(id, share, phase, self.slices.clone());
                    process.slicer = Some(slicer?);
                }
            }
            Err(TryRecvError::Empty) if process.since.elapsed() < START_TIMEOUT => {}
            Err(_) => {
                self.process = None;
                return Err(io::Error::other(format!(
                    "instance {} ended or did not log the event `started` within {START_TIMEOUT:?}",
                    self.name
                )));
            }
        }
        Ok(())
    }

    /// Returns whether the instance has a process, which may still be starting.
    #[must_use]
    pub fn has_process(&self) -> bool {
        self.process.is_some()
    }

    /// Returns the addresses of the instance, or `None` if it has no process that has started.
    #[must_use]
    pub fn addresses(&self) -> Option<Addresses> {
        self.process.as_ref()?.addresses
    }

    /// Sends a signal to the process; does nothing if there is none that has started, as one that is
    /// starting does not handle signals yet.
    pub fn signal(&self, signal: Signal) {
        let Some(process) = &self.process else {
            return;
        };
        if process.addresses.is_none() {
            return;
        }
        if let Some(slicer) = &process.slicer
            && (signal == Signal::STOP || signal == Signal::CONT)
        {
            slicer.set_paused(signal == Signal::STOP);
            return;
        }
        let id = process.child.as_ref().map(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // The process may have exited in the meantime; its exit code is checked later.
            let _ = kill_process(pid, signal);
        }
    }

    /// Writes the settings file with another drain time (`drain_ms`, up to 100 below that of the
    /// bounds), so that each reload changes a setting.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_settings(&mut self) -> io::Result<()> {
        self.write_count += 1;
        let longest = self.bounds.drain.unwrap_or(DRAIN_TIME);
        let earlier = Duration::from_millis(u64::from(100 - self.write_count % 100));
        let bounds = Bounds {
            drain: Some(longest.saturating_sub(earlier)),
            ..self.bounds
        };
        let text = shape_settings(&self.name, self.store, &self.domain, &bounds);
        let windows = format!("[bounds]\nreport_window_s = {WINDOW_S}\nusage_late_s = 10");
        let duties = format!(
            "[cloud]\naddress = \"{}\"\nduties = [\"usage_reporting\"]\nduty_per_s = 20\n",
            self.platform
        );
        let text = text.replace("[bounds]", &windows) + &duties;
        // Callers of another run must not reach this one where ports are given out again.
        let text = text.replace("127.0.0.1:0", &format!("{}:0", self.host));
        fs::write(&self.settings, text)
    }

    /// Kills the process with SIGKILL; does nothing if there is none.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Returns the exit code of a process that has ended, once: `None` while it runs or if there is
    /// none, and `Some(None)` if a signal ended it.
    pub fn take_exit_code(&mut self) -> Option<Option<i32>> {
        let process = self.process.as_mut()?;
        let status = process.child.as_mut()?.try_wait().ok().flatten()?;
        self.process = None;
        Some(status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        // Killing fails if the process has already ended. On a machine that lacks memory the end may
        // take long, in which the run would apply no step.
        let _ = child.kill();
        std::thread::spawn(move || child.wait());
    }
}

/// Returns the addresses from the log line of the event `started`, or `None` for any other line.
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
