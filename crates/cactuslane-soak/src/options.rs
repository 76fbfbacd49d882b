//! Parameters of a run.

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

use cactuslane_platform::Shape;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Executable of the gateway.
    pub binary: PathBuf,
    /// Folder for settings and logs, which is created if missing.
    pub folder: PathBuf,
    /// Seed of the plan and of the load.
    pub seed: u64,
    /// Time within which faults are injected and requests sent.
    pub length: Duration,
    /// Number of instances, which each run as a process.
    pub instances: usize,
    /// Mean number of requests per second outside the burst, which triples it for 3 s from 40 % of
    /// `length` on.
    pub rate: f64,
    /// Whether guarantees that bound a time are checked, which fail if the machine lacks CPU time.
    pub timed: bool,
    /// Whether each path between callers, instances and targets has a link, whose faults are injected.
    pub links: bool,
    /// Longest time by which the entry of a target follows its start under the same id with another
    /// version; no target starts so if `None`.
    pub entry_delay: Option<Duration>,
    /// Whether there are targets that run as processes, which are killed and stopped.
    pub target_processes: bool,
    /// Deployment that the run plays, with its own instances, targets, routes and load; that of the
    /// stand-ins if `None`.
    pub shape: Option<Shape>,
    /// Share of the requests that callers send or read in an unusual, but allowed form.
    pub unusual: f64,
    /// Command line of the run, which findings state.
    pub command: String,
    /// Share of a processor that each instance gets, between 0 and 1; not limited if `None`.
    pub cpu_share: Option<f64>,
}

impl Options {
    /// Returns the loopback address of the instances, which no run of another process or seed has at
    /// the same time.
    #[must_use]
    pub fn host(&self) -> Ipv4Addr {
        let [.., high, low] = std::process::id().to_be_bytes();
        Ipv4Addr::new(127, high % 254 + 1, low, (self.seed % 254) as u8 + 1)
    }

    /// Returns the loopback address of the targets that run as processes, at which no other server
    /// takes a port that one of them leaves.
    #[must_use]
    pub fn target_host(&self) -> Ipv4Addr {
        let [first, second, third, fourth] = self.host().octets();
        Ipv4Addr::new(
            first,
            second,
            third,
            ((u16::from(fourth) + 126) % 254 + 1) as u8,
        )
    }
}
