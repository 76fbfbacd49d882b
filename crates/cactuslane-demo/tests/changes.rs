//! Tests of a deployment during version changes, drains, stops, platform outages and invalid
//! configuration documents.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use cactuslane_demo::caller::{Caller, expected_text};
use cactuslane_demo::{CONFIG_KEY, Cluster, Options};
use cactuslane_standin::{Deployment, Fault, FaultKind, Faults};
use yare::parameterized;

/// Number of tokens requested for a completion.
const TOKENS: u32 = 60;

/// Runs a test with the deployment of Split on a runtime with 4 threads, once all instances are
/// ready.
fn with_cluster<F: Future<Output = ()>>(options: Options, test: impl FnOnce(Cluster) -> F) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(async {
        let cluster = Cluster::spawn(Deployment::split(), Faults::default(), options).await;
        let cluster = cluster.expect("it starts");
        assert!(cluster.wait_ready().await);
        test(cluster).await;
    });
}

/// Returns options with engines 20 times as fast as real ones, and with answers of `/v1/addresses`
/// that are valid for 500 ms, for which a stopping instance waits.
fn fast_options() -> Options {
    Options {
        pace: 20.0,
        address_validity: Duration::from_millis(500),
        ..Options::default()
    }
}

/// Returns the configuration document of Split without maintenance windows, so that planned work is
/// permitted at any time, and with `from` replaced by `to` unless `from` is empty.
fn document(from: &str, to: &str) -> String {
    let text = Deployment::split().document(&cactuslane_config::document::hash_token(
        cactuslane_demo::CALLER_TOKEN,
    ));
    let start = text.find("\"windows\": [").expect("it has windows");
    let end = start + text[start..].find('\n').expect("the line ends");
    let open = format!("{}\"windows\": [],{}", &text[..start], &text[end..]);
    if from.is_empty() {
        return open;
    }
    assert!(open.contains(from));
    open.replace(from, to)
}

/// Callers that request streamed completions from all entry instances until they are stopped.
struct Load {
    /// Set to make each caller stop after its current request.
    stop: Arc<AtomicBool>,
    /// The number of complete responses.
    completed: Arc<AtomicU64>,
    /// The tasks of the callers; a task panics on an unexpected response.
    callers: tokio::task::JoinSet<()>,
}

impl Load {
    /// Starts one caller per entry instance; every response must have the complete expected text.
    fn start(cluster: &Cluster) -> Self {
        let (stop, completed) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let mut callers = tokio::task::JoinSet::new();
        for (number, entry) in cluster.entries.values().enumerate() {
            let caller = Caller::new(entry.address());
            let (stop, completed) = (Arc::clone(&stop), Arc::clone(&completed));
            let model = cluster.deployment.model.0;
            callers.spawn(async move {
                let mut turn = 0;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let prompt = format!("{number} {turn}");
                    let response = caller.complete(model, &prompt, TOKENS, true).await;
                    let expected = expected_text(&prompt, TOKENS);
                    assert_eq!(
                        response.streamed_text(),
                        expected,
                        "{} {}",
                        response.status,
                        response.text()
                    );
                    completed.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        Self {
            stop,
            completed,
            callers,
        }
    }

    /// Stops the callers and returns the number of complete responses.
    ///
    /// # Panics
    ///
    /// Panics if a response did not have the complete expected text.
    async fn stop(mut self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.callers.join_next().await {
            ended.expect("every response is complete");
        }
        self.completed.load(Ordering::Relaxed)
    }
}

/// Waits until a condition holds; there is no timeout other than that of the test runner.
async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// After an edit of a model's version, every engine gets the new version under load without further
/// action, also if answers to orders are lost or engines crash during an order.
///
/// Guards against orders that are sent to an engine with streams in progress, which it cuts when it
/// restarts, and against orders that take effect twice or out of sequence.
#[parameterized(
    checked = { true, None },
    ignored = { false, None },
    lost_answers = { true, Some(FaultKind::Lost) },
    crashes = { false, Some(FaultKind::Crash) },
)]
fn a_version_change_cuts_no_stream(checks: bool, fault: Option<FaultKind>) {
    let fencing = if checks { "checked" } else { "ignored" };
    let start = document("", "").replace("\"ignored\"", &format!("\"{fencing}\""));
    let goal = start.replace("\"version\": \"1\"", "\"version\": \"2\"");
    let goal = goal
        .replace("\"at_once\": 1", "\"at_once\": 3")
        .replace("\"per_domain\": 1", "\"per_domain\": 2");
    let options = Options {
        document: Some(start),
        checks_fencing: Some(checks),
        ..fast_options()
    };
    with_cluster(options, |cluster| async move {
        let load = Load::start(&cluster);
        if let Some(kind) = fault {
            let (target, on) = ("*".to_owned(), "order".to_owned());
            cluster.faults.add(Fault {
                target,
                on,
                kind,
                after: 6,
                count: 2,
                delay_ms: 0,
            });
        }
        cluster.platform.put(CONFIG_KEY, goal.as_bytes());
        wait_until(|| {
            cluster
                .engines
                .values()
                .all(|engine| engine.orders().version == "2")
        })
        .await;
        assert!(load.stop().await > 0);
        for (name, engine) in &cluster.engines {
            let orders = engine.orders();
            let numbers: Vec<u64> = orders.history.iter().map(|record| record.order).collect();
            assert!(numbers.is_sorted_by(|a, b| a < b), "{name}: {numbers:?}");
            assert!(
                orders.history.iter().all(|record| record.streams == 0),
                "{name}: {orders:?}"
            );
            assert_eq!(engine.cut(), 0, "{name}");
        }
    });
}

/// A target that the platform's list shows as leaving, or that the configuration drains, gets no
/// new requests once no entry instance shows it as serving, and its streams are completed.
#[parameterized(
    listed = { true },
    drained = { false },
)]
fn a_leaving_target_gets_no_new_requests(listed: bool) {
    let options = Options {
        document: Some(document("", "")),
        ..fast_options()
    };
    with_cluster(options, |cluster| async move {
        let load = Load::start(&cluster);
        let counted = |cluster: &Cluster| cluster.engines["engine-2"].started();
        wait_until(|| counted(&cluster) > 0).await;
        if listed {
            cluster.platform.mark_leaving("engine-2");
        } else {
            let text = document("\"drains\": {}", "\"drains\": { \"engine-2\": \"now\" }");
            cluster.platform.put(CONFIG_KEY, text.as_bytes());
        }
        for name in cluster.entries.keys() {
            while is_serving(&cluster, name, "engine-2").await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        // Requests that were assigned to the engine before may not have reached it yet.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = counted(&cluster);
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(counted(&cluster), before);
        assert!(load.stop().await > 0);
        assert_eq!(cluster.engines["engine-2"].cut(), 0);
    });
}

/// A stopping instance still serves callers that use its address, completes the requests in
/// progress, and is no longer named in answers of `/v1/addresses`, neither its own nor another's.
#[test]
fn an_entry_stops_gracefully() {
    let options = Options {
        address_validity: Duration::from_secs(5),
        ..fast_options()
    };
    with_cluster(options, |mut cluster| async move {
        // The reference makes the async block capture the whole cluster. Otherwise it would capture
        // only the fields used below, and the drop of the others would stop the stand-ins.
        let cluster = &mut cluster;
        let other = Caller::new(cluster.entries["entry-2"].address());
        let leaving = cluster.entries.remove("entry-1").expect("it runs");
        let caller = Caller::new(leaving.address());
        let model = cluster.deployment.model.0;
        let started = caller.clone();
        let in_progress =
            tokio::spawn(async move { started.complete(model, "in progress", 1_000, true).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
        let stopping = tokio::spawn(leaving.stop());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let held = caller.complete(model, "held address", TOKENS, true).await;
        let expected = expected_text("held address", TOKENS);
        assert_eq!(
            held.streamed_text(),
            expected,
            "{} {}",
            held.status,
            held.text()
        );
        assert!(!lists_entry(&caller, "entry-1").await);
        while lists_entry(&other, "entry-1").await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let response = in_progress.await.expect("it ends");
        assert_eq!(
            response.streamed_text(),
            expected_text("in progress", 1_000)
        );
        stopping.await.expect("it ends");
    });
}

/// Returns whether the answer of `/v1/addresses` names an instance.
///
/// # Panics
///
/// Panics if the answer has no addresses: at least one instance must always be named.
async fn lists_entry(caller: &Caller, name: &str) -> bool {
    let answer = caller.get("/v1/addresses").await.json();
    let addresses = answer["addresses"].as_array().expect("a list");
    assert!(!addresses.is_empty());
    addresses.iter().any(|address| address["instance"] == name)
}

/// Returns whether an entry instance shows a target as serving, that is, sends new requests to it.
async fn is_serving(cluster: &Cluster, entry: &str, target: &str) -> bool {
    let mut operator = Caller::new(cluster.entries[entry].address());
    cactuslane_demo::OPERATOR_TOKEN.clone_into(&mut operator.token);
    let status = operator.get("/v1/operator/status").await.json();
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    targets
        .iter()
        .any(|known| known["target"] == target && known["serving"] == true)
}

/// Returns the revision of the configuration in force at an entry instance; 0 if its status has
/// none.
async fn revision(cluster: &Cluster, entry: &str) -> u64 {
    let mut operator = Caller::new(cluster.entries[entry].address());
    cactuslane_demo::OPERATOR_TOKEN.clone_into(&mut operator.token);
    operator.get("/v1/operator/status").await.json()["revision"]
        .as_u64()
        .unwrap_or_default()
}

/// During an outage of the platform, no instance reverts to an earlier configuration, and an edit
/// made afterwards comes into force at every instance, including one that starts in the outage.
///
/// The responses under load are not checked, as the caller of `entry-6` fails when this instance is
/// dropped. Nor is the configuration that the new instance has from its peers before the platform
/// is back.
#[test]
fn a_platform_outage_reverts_no_configuration() {
    with_cluster(fast_options(), |mut cluster| async move {
        let edited = document("\"retry_share\": 0.1", "\"retry_share\": 0.2");
        cluster.platform.put(CONFIG_KEY, edited.as_bytes());
        let names: Vec<String> = cluster.entries.keys().cloned().collect();
        let newest = loop {
            let first = revision(&cluster, "entry-1").await;
            let mut same = first > 2;
            for name in &names {
                same &= revision(&cluster, name).await == first;
            }
            if same {
                break first;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        cluster.platform.set_down(true);
        let load = Load::start(&cluster);
        cluster.entries.remove("entry-6");
        cluster.spawn_entry(6).await.expect("it starts");
        tokio::time::sleep(Duration::from_secs(8)).await;
        for name in &names[..5] {
            assert_eq!(revision(&cluster, name).await, newest);
        }
        cluster.platform.set_down(false);
        cluster.platform.put(
            CONFIG_KEY,
            document("\"retry_share\": 0.1", "\"retry_share\": 0.3").as_bytes(),
        );
        for name in names[..5].iter().chain([&"entry-7".to_owned()]) {
            while revision(&cluster, name).await <= newest {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        load.stop.store(true, Ordering::Relaxed);
    });
}

/// An invalid configuration document does not replace a valid one, and the next valid one does.
#[test]
fn an_invalid_document_does_not_come_into_force() {
    with_cluster(fast_options(), |cluster| async move {
        let before = revision(&cluster, "entry-1").await;
        cluster.platform.put(CONFIG_KEY, b"{ \"models\": ");
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(revision(&cluster, "entry-1").await, before);
        let caller = Caller::new(cluster.entries["entry-1"].address());
        let response = caller
            .complete(cluster.deployment.model.0, "still", TOKENS, true)
            .await;
        assert_eq!(response.streamed_text(), expected_text("still", TOKENS));
        cluster
            .platform
            .put(CONFIG_KEY, document("", "").as_bytes());
        while revision(&cluster, "entry-1").await <= before {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}
