//! Tests of the own entry as a process with the memory of the smallest machine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;

use cactuslane_demo::caller::Caller;
use cactuslane_demo::{CALLER_TOKEN, Cluster, Options};
use cactuslane_standin::{Deployment, Faults};
use tokio::time::sleep;
use yare::parameterized;

use crate::crowd::{Crowd, Misuse};
use crate::process::{Process, read_line_with, run_test};
use crate::{MAX_AFTER_MB, MAX_BODY, MAX_SHARE, MEMORY_MB};

/// Number of calls of an ordinary caller while the crowd is there.
const ORDINARY_CALLS: usize = 10;
/// Number of tokens of an ordinary call.
const TOKENS: u32 = 5;
/// Largest number of connections to one target that stay open: one to read its load, one for its
/// cache events, and one for calls.
const MAX_TO_TARGET: usize = 3;
/// Path of the completions.
const COMPLETIONS: &str = "/v1/completions";
/// Path of calls of the plain service.
const SERVICE: &str = "/services/registru-anchete/counts";

/// Starts the platform and targets in this process, and an entry in a process of its own.
async fn start() -> (Cluster, Process, SocketAddr) {
    let options = Options {
        pace: 20.0,
        entries: Some(0),
        list_lag: Duration::ZERO,
        ..Options::default()
    };
    let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
    let cluster = cluster.expect("the platform and targets start");
    let domain = cluster.deployment.domain(0);
    let platform = cluster.platform.address();
    let settings = format!(
        r#"{{
            "instance": "entry-1", "failure_domain": "{domain}",
            "listen": "127.0.0.1:0", "gossip": "127.0.0.1:0",
            "store": "{platform}", "instance_list": "{platform}", "weight_store": "{platform}",
            "cluster_key": "a key of the tests of clients", "address_validity_ms": 500,
            "max_body_bytes": {MAX_BODY}, "memory_mb": {MEMORY_MB}
        }}"#
    );
    let name = format!("cactuslane-clients-entry-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, settings).expect("the settings are written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
        .arg("run")
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the instance starts");
    let output = child.stdout.take().expect("the output is piped");
    let line = read_line_with(output, "http://");
    let url = line.split_whitespace().nth(2);
    let address = url.and_then(|url| url.trim_start_matches("http://").parse().ok());
    let address = address.expect("the third word is the address");
    let labels = [("kind", "entry"), ("failure_domain", domain)];
    cluster.platform.list_instance("entry-1", address, &labels);
    let caller = Caller::new(address);
    while caller.get("/readyz").await.status != 200 {
        sleep(Duration::from_millis(20)).await;
    }
    (cluster, Process { child }, address)
}

/// Sends ordinary calls one after the other and returns how many of them are served.
async fn call_ordinarily(cluster: &Cluster, address: SocketAddr, name: &str) -> usize {
    let caller = Caller::new(address);
    let model = cluster.deployment.model.0;
    let mut served = 0;
    for number in 0..ORDINARY_CALLS {
        let response = if number % 2 == 0 {
            caller.complete(model, "a prompt", TOKENS, true).await
        } else {
            let key = format!("{name}-{number}");
            caller.post_keyed(SERVICE, &key, "a body").await
        };
        let is_served = response.status == 200 && response.complete;
        if !is_served {
            println!("call {name}-{number} not served: {response:?}");
        }
        served += usize::from(is_served);
    }
    served
}

/// Returns the ports of all targets.
fn target_ports(cluster: &Cluster) -> BTreeSet<u16> {
    let engines = cluster
        .engines
        .values()
        .map(|engine| engine.address().port());
    let workers = cluster
        .workers
        .values()
        .map(|worker| worker.address().port());
    engines.chain(workers).collect()
}

/// Returns the number of descriptors of an entry without its connections to targets, which it
/// opens as it begins to poll their load.
fn count_others(cluster: &Cluster, process: &Process) -> usize {
    let targets = target_ports(cluster);
    let connections = process.connections();
    let to_targets = connections
        .iter()
        .filter(|(_, port)| targets.contains(port));
    process.descriptors() - to_targets.count()
}

/// Waits until an entry has no accepted connection, at most [`MAX_TO_TARGET`] to each target, and
/// at most so many other descriptors.
async fn wait_until_released(
    cluster: &Cluster,
    process: &Process,
    address: SocketAddr,
    others: usize,
) {
    let targets = target_ports(cluster);
    loop {
        let mut counts = BTreeMap::new();
        let mut accepted = 0;
        for (own, other) in process.connections() {
            accepted += usize::from(own == address.port());
            if targets.contains(&other) {
                *counts.entry(other).or_default() += 1;
            }
        }
        let is_bounded = counts.values().all(|&count: &usize| count <= MAX_TO_TARGET);
        if accepted == 0 && is_bounded && count_others(cluster, process) <= others {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

#[parameterized(
    bodies_stop_at_a_model = { Misuse::Stopped, COMPLETIONS, Some(CALLER_TOKEN), 60 },
    bodies_stop_at_a_service = { Misuse::Stopped, SERVICE, Some(CALLER_TOKEN), 60 },
    bodies_stop_without_a_token = { Misuse::Stopped, SERVICE, None, 60 },
    bodies_stop_without_a_path = { Misuse::Stopped, "/nothing", Some(CALLER_TOKEN), 60 },
    bodies_stop_at_ready = { Misuse::Stopped, "/readyz", None, 60 },
    small_pieces = { Misuse::SmallPieces, SERVICE, Some(CALLER_TOKEN), 300 },
    small_chunks = { Misuse::SmallChunks, COMPLETIONS, Some(CALLER_TOKEN), 60 },
    too_large = { Misuse::Endless, COMPLETIONS, Some(CALLER_TOKEN), 60 },
    many_values = { Misuse::ManyValues, COMPLETIONS, Some(CALLER_TOKEN), 30 },
    heads_stop = { Misuse::StoppedHead, COMPLETIONS, Some(CALLER_TOKEN), 1500 },
    many_ahead = { Misuse::Pipelined, "/readyz", None, 10 },
    many_ahead_at_models = { Misuse::Pipelined, "/v1/models", Some(CALLER_TOKEN), 10 },
)]
fn a_crowd_ends_no_entry(
    misuse: Misuse,
    path: &'static str,
    token: Option<&'static str>,
    size: usize,
) {
    run_test(async move {
        let (cluster, process, address) = start().await;
        let before = call_ordinarily(&cluster, address, "before").await;
        assert_eq!(before, ORDINARY_CALLS, "calls served without the crowd");
        let descriptors = process.descriptors();
        let others = count_others(&cluster, &process);
        let crowd = Crowd::gather(misuse, address, path, token, size);
        crowd.wait_until_sent().await;
        let served = call_ordinarily(&cluster, address, "meanwhile").await;
        assert!(process.descriptors() <= descriptors + 1000);
        let peak = process.memory_mb("VmHWM");
        println!("peak {peak} MiB, {served} calls served");
        assert!(
            peak <= MEMORY_MB * MAX_SHARE / 100,
            "{peak} MiB were resident"
        );
        assert_eq!(served, ORDINARY_CALLS, "calls served before the crowd");
        let (refused, untrue) = crowd.leave().await;
        println!("{refused} of {size} refused");
        assert_eq!(untrue, 0, "refusals that lack what they promise");
        wait_until_released(&cluster, &process, address, others + 8).await;
        let after = process.memory_mb("VmRSS");
        println!("{after} MiB after");
        assert!(after <= MAX_AFTER_MB, "{after} MiB stayed resident");
    });
}
