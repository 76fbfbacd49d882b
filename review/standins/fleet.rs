//! The processes of the system, each at its own loopback address.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::guard::Guard;
use crate::http;
use crate::record::Record;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/cactuslane";
const ARGUMENTS: [&str; 3] = ["gateway", "--metrics-port", "9464"];

pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    zone: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
    guard: Arc<Guard>,
}

/// Returns a part of the loopback range that is not in use, as its second and third number.
pub fn free_range() -> (u8, u8) {
    let seed = std::process::id();
    for step in 0..200u32 {
        let number = seed.wrapping_mul(7919).wrapping_add(step * 104_729);
        let range = ((number >> 8) as u8 % 200 + 20, number as u8);
        let address = SocketAddr::new(ip(range, 1), 8149);
        if std::net::TcpListener::bind(address).is_ok() {
            return range;
        }
    }
    (77, 77)
}

pub fn ip(range: (u8, u8), last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, range.0, range.1, last))
}

impl Machine {
    pub fn new(
        name: &str,
        zone: &str,
        ip: IpAddr,
        store: SocketAddr,
        folder: &Path,
        record: &Arc<Record>,
        guard: &Arc<Guard>,
    ) -> io::Result<Self> {
        let text = format!(
            r#"node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "{zone}"
region = "hr-south"
internal_ports = [7380,7395]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
hr-south-a = "hr-south"
hr-south-b = "hr-south"
hr-south-c = "hr-south"
[listen]
front = "{ip}:8149"
ready = "{ip}:8141"
directory = "{ip}:8143"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 52
recover_s = 12
max_transit_ms = 120
reuse_window_s = 8.8
require_fence = false
lease_ms = 3000
thaw_slack_ms = 300
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        Ok(Self {
            name: name.to_owned(),
            ip,
            zone: zone.to_owned(),
            settings,
            log,
            child: None,
            record: record.clone(),
            guard: guard.clone(),
        })
    }

    /// Starts the process, unless it runs.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env_clear()
            .env("CACTUSLANE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!(
            "{} ({}): process {} started",
            self.name,
            self.zone,
            child.id()
        ));
        self.guard.started(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8149)
    }

    /// Waits until the machine says that it is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let address = SocketAddr::new(self.ip, 8141);
        let text =
            format!("GET /api/ready HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
        while Instant::now() < end {
            let answer = http::request(address, &text, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        self.record.line(&format!("{}: SIG{name}", self.name));
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", child.id()))
            .status();
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.guard.ended(child.id());
            self.record.line(&format!("{}: process ended", self.name));
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
