//! Entry instances as processes of their own, which are paused, killed and told to stop.

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

/// Number of instances.
const ENTRIES: usize = 3;
/// Number of tokens of an answer.
const TOKENS: u32 = 40;
/// Path of calls that may not be repeated.
const PATH: &str = "/services/registru-anchete/counts";

/// An instance in a process of its own; dropping it kills the process.
struct Process {
    /// The process.
    child: Child,
    /// The instance's address for callers.
    address: SocketAddr,
}

impl Process {
    /// Starts an instance with settings from a file, and lists it.
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
        let output = child.stdout.take().expect("it has an output");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("it prints its address");
        let url = line.split_whitespace().nth(2).expect("a third word");
        let address = url
            .trim_start_matches("http://")
            .parse()
            .expect("an address");
        let gossip = gossip.to_string();
        let labels = [
            ("kind", "entry"),
            ("failure_domain", domain),
            ("gossip", gossip.as_str()),
        ];
        cluster.platform.list_instance(&name, address, &labels);
        Self { child, address }
    }

    /// Sends a signal by its name.
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until the instance takes work.
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

/// Returns an address whose port is free for UDP and TCP, below those that connections take.
fn free_address() -> SocketAddr {
    loop {
        let port = rand::random_range(10_000..30_000);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Spawns platform and targets in this process, and the instances in theirs.
async fn start() -> (Cluster, Vec<Process>) {
    let token = cactuslane_config::document::hash_token(cactuslane_demo::TOKEN);
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
    let cluster = cluster.expect("it starts");
    let processes: Vec<Process> = (0..ENTRIES)
        .map(|index| Process::start(&cluster, index))
        .collect();
    for process in &processes {
        process.ready().await;
    }
    (cluster, processes)
}

/// While instances are paused and killed, no correction runs twice, and every answer told as
/// whole is the same.
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
        let reply = call.await.expect("it ends");
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

/// SIGTERM ends an instance gracefully: its stream is whole, it exits with 0, and the others go
/// on.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_terminated_process_ends_whole() {
    let (cluster, mut processes) = start().await;
    let model = cluster.deployment.model.0;
    let leaving = processes.remove(0);
    let caller = Caller::new(leaving.address);
    let stream = tokio::spawn(async move { caller.complete(model, "whole", 600, true).await });
    while cluster.engines.values().map(Engine::streams).sum::<usize>() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    leaving.signal("TERM");
    let reply = stream.await.expect("it ends");
    assert_eq!(reply.streamed_text(), expected_text("whole", 600));
    let mut leaving = leaving;
    let status = tokio::task::spawn_blocking(move || leaving.child.wait()).await;
    assert!(status.expect("it ends").expect("it is known").success());
    let other = Caller::new(processes[0].address)
        .complete(model, "on", TOKENS, false)
        .await;
    assert_eq!(
        other.json()["choices"][0]["text"],
        expected_text("on", TOKENS)
    );
}

/// Wrong arguments and files end with exit code 2 and say what is wrong where.
#[test]
fn wrong_files_are_explained() {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let file = format!("{directory}/wrong.json");
    std::fs::write(&file, "{\n  \"models\": 7\n}").expect("it is written");
    let output = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
        .args(["check", &file])
        .output();
    let output = output.expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("wrong.json:2:13: models: expected an object"),
        "{text}"
    );
    let missing = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
        .args(["check", "/none"])
        .output();
    assert_eq!(missing.expect("it runs").status.code(), Some(2));
}
