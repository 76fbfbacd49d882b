//! Tests with entry instances in separate processes, which are paused, killed and terminated.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use cactuslane_demo::caller::{Caller, expected_text};
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::engine::Engine;
use cactuslane_standin::{Deployment, Faults};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of entry instances, each in its own process.
const ENTRIES: usize = 3;
/// Number of tokens of a completion that is not streamed.
const TOKENS: u32 = 40;
/// Path of calls of the plain service that must not run twice.
const PATH: &str = "/services/registru-anchete/counts";

/// An entry instance in a separate process; dropping it kills the process.
struct Process {
    /// Handle for the exit status and the process id.
    child: Child,
    /// Address for callers, as the process printed it.
    address: SocketAddr,
}

impl Process {
    /// Starts an instance with settings from a file, and adds it to the platform's instance list.
    fn start(cluster: &Cluster, index: usize) -> Self {
        let name = format!("entry-{}", index + 1);
        let domain = cluster.deployment.domain(index);
        let gossip = free_address();
        let platform = cluster.platform.address();
        let settings = format!(
            r#"{{
                // Written by a test.
                "instance": "{name}", "failure_domain": "{domain}",
                "listen": "127.0.0.1:0", "gossip": "{gossip}",
                "store": "{platform}", "instance_list": "{platform}", "weight_store": "{platform}",
                "cluster_key": "a key of the process tests", "address_validity_ms": 500
            }}"#
        );
        let directory = env!("CARGO_TARGET_TMPDIR");
        let file = format!("{directory}/{name}-{}.json", gossip.port());
        std::fs::write(&file, settings).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
            .args(["run", "--settings", &file])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the instance starts");
        let output = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the instance prints its address");
        let url = line
            .split_whitespace()
            .nth(2)
            .expect("the address is the third word");
        let address = url
            .trim_start_matches("http://")
            .parse()
            .expect("the URL holds an address");
        let gossip = gossip.to_string();
        let labels = [
            ("kind", "entry"),
            ("failure_domain", domain),
            ("gossip", gossip.as_str()),
        ];
        cluster.platform.list_instance(&name, address, &labels);
        Self { child, address }
    }

    /// Sends the process a signal, named without `SIG`.
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until the instance answers `/readyz` with 200.
    async fn ready(&self) {
        let caller = Caller::new(self.address);
        while caller.get("/readyz").await.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address whose port is free for UDP and TCP, below the range from which
/// outgoing connections get their ports.
fn free_address() -> SocketAddr {
    loop {
        let port = rand::random_range(10_000..30_000);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts the platform and targets in this process, and each instance in a process of its own.
async fn start() -> (Cluster, Vec<Process>) {
    let token = cactuslane_config::document::hash_token(cactuslane_demo::CALLER_TOKEN);
    let document = Deployment::cluj().document(&token);
    let document = document.replace("\"timeout_ms\": 5000", "\"timeout_ms\": 500");
    let options = Options {
        document: Some(document),
        pace: 20.0,
        entries: Some(0),
        list_lag: Duration::ZERO,
        ..Options::default()
    };
    let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
    let cluster = cluster.expect("the platform and targets start");
    let processes: Vec<Process> = (0..ENTRIES)
        .map(|index| Process::start(&cluster, index))
        .collect();
    for process in &processes {
        process.ready().await;
    }
    (cluster, processes)
}

/// Guards against duplicate runs of a correction with the same key, which is sent to two instances
/// while one of them is paused or killed. All answers with status 200 to a key must be the same, and
/// when the other instance answers `not-run`, the correction must not have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn corrections_run_once_across_pauses_and_kills() {
    let (cluster, mut processes) = start().await;
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut answers: BTreeMap<String, String> = BTreeMap::new();
    for round in 0..8 {
        let victim = random.random_range(0..ENTRIES);
        let key = format!("correction-{round}");
        let first = Caller::new(processes[victim].address);
        let (sent_key, sent) = (key.clone(), Arc::new(first));
        let sending = Arc::clone(&sent);
        let call = tokio::spawn(async move { sending.post_keyed(PATH, &sent_key, "once").await });
        tokio::time::sleep(Duration::from_millis(random.random_range(0..8))).await;
        let kill = random.random_bool(0.4);
        processes[victim].signal(if kill { "KILL" } else { "STOP" });
        {
            let other = Caller::new(processes[(victim + 1) % ENTRIES].address);
            let reply = other.post_keyed(PATH, &key, "once").await;
            if reply.status == 200 {
                let known = answers
                    .entry(key.clone())
                    .or_insert_with(|| reply.text())
                    .clone();
                assert_eq!(known, reply.text());
            } else if reply.header("cactuslane-outcome") == "not-run" {
                assert_eq!(cluster.run_counter.runs(&key), 0, "{}", reply.text());
            }
        }
        if kill {
            processes[victim] = Process::start(&cluster, victim);
            processes[victim].ready().await;
        } else {
            processes[victim].signal("CONT");
        }
        let reply = call.await.expect("the call does not panic");
        if reply.status == 200 {
            let known = answers
                .entry(key.clone())
                .or_insert_with(|| reply.text())
                .clone();
            assert_eq!(known, reply.text());
        }
        assert!(cluster.run_counter.runs(&key) <= 1, "{key}");
    }
    assert!(!answers.is_empty());
}

/// SIGTERM stops an instance gracefully: its stream is completed, it exits with code 0, and another
/// instance still answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_terminated_process_completes_its_streams() {
    let (cluster, mut processes) = start().await;
    let model = cluster.deployment.model.0;
    let leaving = processes.remove(0);
    let caller = Caller::new(leaving.address);
    let stream = tokio::spawn(async move { caller.complete(model, "whole", 600, true).await });
    while cluster.engines.values().map(Engine::streams).sum::<usize>() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    leaving.signal("TERM");
    let reply = stream.await.expect("the call does not panic");
    assert_eq!(reply.streamed_text(), expected_text("whole", 600));
    let mut leaving = leaving;
    let status = tokio::task::spawn_blocking(move || leaving.child.wait()).await;
    assert!(
        status
            .expect("waiting does not panic")
            .expect("the exit status is known")
            .success()
    );
    let other = Caller::new(processes[0].address)
        .complete(model, "on", TOKENS, false)
        .await;
    assert_eq!(
        other.json()["choices"][0]["text"],
        expected_text("on", TOKENS)
    );
}

/// An invalid or missing file ends with exit code 2; the error in an invalid one has its position.
#[test]
fn invalid_files_are_reported_with_their_position() {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let file = format!("{directory}/wrong.json");
    std::fs::write(&file, "{\n  \"models\": 7\n}").expect("the file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
        .args(["check", &file])
        .output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("wrong.json:2:13: models: expected an object"),
        "{text}"
    );
    let missing = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
        .args(["check", "/none"])
        .output();
    assert_eq!(missing.expect("the program runs").status.code(), Some(2));
}
