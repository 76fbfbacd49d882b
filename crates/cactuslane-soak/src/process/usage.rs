//! Processor time and memory of processes, as the kernel counts them.

use std::fs;
use std::time::Duration;

/// Unit of the processor times that the kernel states.
const TICK: Duration = Duration::from_millis(10);
/// Number of the field with the user time, after the name of the process; that with the system time
/// follows.
const USER_FIELD: usize = 11;

/// Processor time and memory of processes that follow each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Number of processes.
    pub processes: u64,
    /// Processor time of the processes before the current one.
    earlier: Duration,
    /// Id of the current process.
    current: Option<u32>,
    /// Processor time of the current process.
    time: Duration,
    /// Memory of the current process in bytes.
    pub memory: u64,
}

impl ProcessUsage {
    /// Returns the processor time of all processes.
    #[must_use]
    pub fn cpu_time(&self) -> Duration {
        self.earlier + self.time
    }

    /// Reads the figures of a process, if there is one; those of a process that ended are the last ones
    /// that were read.
    pub fn read(&mut self, process: Option<u32>) {
        if process.is_some() && process != self.current {
            self.processes += 1;
            self.earlier += std::mem::take(&mut self.time);
            self.current = process;
        }
        self.memory = 0;
        let Some(id) = process else {
            return;
        };
        let read = |name: &str| fs::read_to_string(format!("/proc/{id}/{name}"));
        if let Some(time) = read("stat").ok().and_then(|text| parse_time(&text)) {
            self.time = self.time.max(time);
        }
        if let Some(memory) = read("status").ok().and_then(|text| parse_memory(&text)) {
            self.memory = memory;
        }
    }
}

/// Returns the processor time from the text of `/proc/PID/stat`.
#[must_use]
pub fn parse_time(text: &str) -> Option<Duration> {
    let (_, fields) = text.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_FIELD);
    let user: u32 = times.next()?.parse().ok()?;
    let system: u32 = times.next()?.parse().ok()?;
    Some(TICK * (user + system))
}

/// Returns the resident memory in bytes from the text of `/proc/PID/status`.
#[must_use]
pub fn parse_memory(text: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let number: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(number << 10)
}
