//! The project's program, started as the deploy file starts it.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::guard;
use crate::http::Connection;

/// A process of the program; it is killed when this is dropped.
#[derive(Debug)]
pub struct Gateway {
    /// The name of its machine.
    pub name: String,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for readiness checks.
    pub ready: SocketAddr,
    /// The process.
    pub child: Child,
    /// The path of its settings.
    settings: PathBuf,
}

/// Returns the loopback address of a machine, and the same ports on all of them.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// The second and third byte of the machines' addresses.
    pub net: (u8, u8),
    /// The first of the ports.
    pub first: u16,
}

impl Ports {
    /// Finds ports that are free on a number of machines.
    pub fn find(machines: u8) -> Self {
        let seed = std::process::id();
        let net = (80 + (seed % 100) as u8, (seed / 100 % 250) as u8);
        for step in 0..200u16 {
            let first = 21_000 + (seed % 500) as u16 * 40 % 20_000 + step * 40;
            let is_free = (1..=machines).all(|machine| {
                let host = [127, net.0, net.1, machine];
                (0..24).all(|port| {
                    let address = SocketAddr::from((host, first + port));
                    TcpListener::bind(address).is_ok()
                })
            });
            let metrics = (1..=machines).all(|machine| {
                TcpListener::bind(SocketAddr::from(([127, net.0, net.1, machine], 9464))).is_ok()
            });
            if is_free && metrics {
                return Self { net, first };
            }
        }
        eprintln!("no free ports");
        std::process::exit(2);
    }
}

impl Gateway {
    /// Starts a process; its settings and its log lie in `folder`.
    pub fn start(folder: &Path, ports: Ports, machine: u8, zone: &str, store: SocketAddr) -> Self {
        let ip = format!("127.{}.{}.{machine}", ports.net.0, ports.net.1);
        let name = format!("front-{zone}-{machine}");
        let first = ports.first;
        let (front, ready, directory) = (first + 16, first + 17, first + 18);
        let settings = format!(
            r#"node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "hr-south"
internal_ports = [{first},{last}]
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
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
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
"#,
            last = first + 15
        );
        let path = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&path, settings).expect("settings");
        let log = fs::File::create(log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(program())
            .args(["gateway", "--metrics-port", "9464"])
            .env("CACTUSLANE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("target/release/cactuslane: {error}");
            std::process::exit(2);
        });
        guard::add(child.id());
        let parse = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Self {
            name,
            front: parse(front),
            ready: parse(ready),
            child,
            settings: path,
        }
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if get_status(self.ready, "/api/ready") == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Replaces the settings file as a whole.
    pub fn rewrite(&self, change: impl Fn(&str) -> String) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        let next = self.settings.with_extension("next");
        fs::write(&next, change(&text)).expect("settings");
        fs::rename(&next, &self.settings).expect("settings");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", signal, &id]).status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        guard::remove(self.child.id());
    }
}

/// Returns the path of the built program.
fn program() -> PathBuf {
    std::env::var_os("CACTUSLANE_PROGRAM")
        .map_or_else(|| "target/release/cactuslane".into(), PathBuf::from)
}

/// Returns the status of a GET request.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    use std::io::Write;
    let stream = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut connection = Connection::new(stream);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    connection.stream.write_all(request.as_bytes()).ok()?;
    Some(connection.read().ok()??.status())
}
