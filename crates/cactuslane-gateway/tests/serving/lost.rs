//! Streams that callers take up after all instances were lost at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc;
use std::time::Duration;

use cactuslane_gateway::GatewayHandle;
use cactuslane_place::Load;
use cactuslane_platform::Settings;
use cactuslane_platform_standin::{
    Fault, Mode, Store, Target, TargetKind, caller, document, settings,
};
use cactuslane_store::http::Client;
use cactuslane_types::Position;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;
use yare::parameterized;

use crate::deployment::{
    CallerAnswer, all_events, read_answer, run_test, start_instance, wait_until,
};

/// Number of instances.
const INSTANCES: usize = 3;
/// Number of events that callers have received when the instances are lost.
const EVENTS: u64 = 3;
/// Key of the list of versions.
const LIST_KEY: &str = "cactuslane/stream-versions";
/// Prefix of the keys of the records of streams.
const RECORDS_PREFIX: &str = "cactuslane/streams/";
/// Time-out of the routes, which bounds the lifetime of streams.
const TIMEOUT_MS: u64 = 1_500;

/// An instance on a runtime of its own; its drop ends all its tasks at once.
pub struct Process {
    /// The runtime, until the drop.
    runtime: Option<Runtime>,
    /// The instance.
    pub handle: GatewayHandle,
}

impl Process {
    /// Starts an instance.
    pub async fn start(settings: Settings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let started = runtime.spawn(cactuslane_gateway::Gateway::spawn(settings));
        let handle = started.await.expect("it does not panic");
        Self {
            runtime: Some(runtime),
            handle: handle.expect("the instance starts"),
        }
    }

    /// Stops all tasks of the instance until the sender that is returned is dropped.
    pub fn stop(&self) -> mpsc::Sender<()> {
        let (wake, woken) = mpsc::channel();
        let runtime = self.runtime.as_ref().expect("it is not dropped");
        runtime.spawn(async move {
            // This holds the only thread.
            let _ = woken.recv();
        });
        wake
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A fleet of instances, and engines of several versions.
struct Fleet {
    /// Store.
    store: Store,
    /// Engines, of which instances prefer the first one, then the second one.
    engines: Vec<Target>,
    /// Instances.
    processes: Vec<Process>,
    /// HTTP client that sends the requests of callers.
    client: Client,
}

impl Fleet {
    /// Starts the instances and one engine of each version.
    async fn start(versions: &[&str]) -> Self {
        let store = Store::bind().await.expect("a port can be bound");
        store.configure(&short_document());
        let mut engines = Vec::new();
        for (number, version) in versions.iter().enumerate() {
            let id = format!("i-d{number}");
            let engine = Target::bind(&id, TargetKind::Decode, &store).await;
            let engine = engine.expect("a port can be bound");
            engine.set_version(version);
            engine.register(&store, "ready");
            engines.push(engine);
        }
        let mut fleet = Self {
            store,
            engines,
            processes: Vec::new(),
            client: Client::open(),
        };
        fleet.restart().await;
        fleet
    }

    /// Loses all instances, and starts them again.
    async fn restart(&mut self) {
        self.processes.clear();
        for number in 1..=INSTANCES {
            let name = format!("front-{number}");
            self.processes
                .push(Process::start(settings(&name, self.store.address)).await);
        }
        for process in &self.processes {
            let gateway = &process.handle.gateway;
            wait_until(|| {
                gateway.is_ready()
                    && gateway.alive_peers() == INSTANCES - 1
                    && gateway.fleet().count_usable(gateway.now()) > 0
            })
            .await;
            for (number, engine) in self.engines.iter().enumerate() {
                let load = Load {
                    running: 20 * number as u32,
                    ..Load::default()
                };
                gateway.placer().load_view.add(&engine.id, load);
            }
        }
    }

    /// Begins a stream at the first engine, and returns its body once some events have arrived.
    async fn begin(&self, id: &str) -> Incoming {
        self.engines[0].inject_fault(Fault::Mute(EVENTS));
        let front = self.processes[0].handle.gateway.settings().front;
        let request = caller::request(front, "/summary/7", id);
        let response = self.client.send(request).await;
        let mut body = response.expect("the request is answered").into_body();
        let mut received = Vec::new();
        while received.len() < all_events().len() - rest().len() {
            let frame = body.frame().await.expect("there are more events");
            received.extend(frame.expect("it is sent").into_data().unwrap_or_default());
        }
        body
    }

    /// Takes a stream up again at one of the instances.
    async fn resume(&self, at: usize, id: &str, resumes: &str) -> CallerAnswer {
        let front = self.processes[at].handle.gateway.settings().front;
        let request = caller::resumption(front, "/summary/7", id, resumes, EVENTS);
        let response = self.client.send(request).await;
        read_answer(response.expect("the request is answered")).await
    }

    /// Returns the numbers of the engines that ran a request.
    fn ran(&self, id: &str) -> Vec<usize> {
        let engines = self.engines.iter().enumerate();
        let ran = engines.filter(|(_, engine)| engine.runs(id) > 0);
        ran.map(|(number, _)| number).collect()
    }
}

/// Returns a configuration whose routes have short time-outs.
pub fn short_document() -> Value {
    let mut document = document(3);
    let routes = document["routes"].as_array_mut().expect("it has routes");
    for route in routes {
        route["timeout_ms"] = json!(TIMEOUT_MS);
    }
    document
}

/// Returns the events after the first [`EVENTS`].
fn rest() -> String {
    let all = all_events();
    let at = all.find("id: 4").expect("there is such an event");
    all[at..].to_owned()
}

/// Guards against streams that end although targets of their version are left, and against joined
/// streams. The first engine began the stream.
#[parameterized(
    began_at_the_older = { &["v1", "v2"], 0, Some(0) },
    began_at_the_newer = { &["v2", "v1"], 0, Some(0) },
    another_of_its_version = { &["v1", "v2", "v1"], 1, Some(2) },
    three_versions = { &["v2", "v1", "v3"], 0, Some(0) },
    its_version_left = { &["v1", "v2"], 1, None },
)]
fn a_stream_goes_on_at_its_version_after_all_instances_were_lost(
    versions: &[&str],
    leaving: usize,
    expected: Option<usize>,
) {
    run_test(async {
        let mut fleet = Fleet::start(versions).await;
        let body = fleet.begin("r1").await;
        wait_until(|| !fleet.store.keys(RECORDS_PREFIX).is_empty()).await;
        for engine in &fleet.engines[..leaving] {
            engine.register(&fleet.store, "draining");
        }
        fleet.restart().await;
        drop(body);
        for at in 0..INSTANCES {
            let id = format!("again-{at}");
            let answer = fleet.resume(at, &id, "r1").await;
            let ran: Vec<usize> = expected.into_iter().collect();
            assert_eq!(fleet.ran(&id), ran, "{answer:?}");
            if expected.is_some() {
                assert_eq!((answer.status, answer.body), (200, rest()));
            } else {
                assert_eq!((answer.status, answer.retry_after), (503, true));
            }
        }
    });
}

/// Guards against the belief that a write without an answer is knowledge, and that a stream without
/// a record began at the present version.
#[test]
fn a_stream_without_a_record_does_not_go_on_after_all_instances_were_lost() {
    run_test(async {
        let mut fleet = Fleet::start(&["v1", "v2"]).await;
        fleet.store.set_mode(Mode::Busy);
        let body = fleet.begin("r1").await;
        fleet.store.set_mode(Mode::Serving);
        fleet.processes.clear();
        drop(body);
        for key in fleet.store.keys(RECORDS_PREFIX) {
            fleet.store.remove(&key);
        }
        fleet.restart().await;
        let answer = fleet.resume(0, "r2", "r1").await;
        assert_eq!((answer.status, answer.retry_after), (503, true));
        assert_eq!(fleet.ran("r2"), Vec::<usize>::new());
    });
}

/// Guards against refusals after a loss of all instances where there was one version all the while,
/// and against calls to the store that such a deployment does not need.
#[test]
fn a_stream_of_the_only_version_goes_on_without_a_record() {
    run_test(async {
        let mut fleet = Fleet::start(&["v1", "v1"]).await;
        wait_until(|| !fleet.store.keys(LIST_KEY).is_empty()).await;
        let body = fleet.begin("r1").await;
        fleet.restart().await;
        drop(body);
        let answer = fleet.resume(1, "r2", "r1").await;
        assert_eq!((answer.status, answer.body), (200, rest()));
        assert!(fleet.store.keys(RECORDS_PREFIX).is_empty());
    });
}

/// Guards against a list that lacks a version at which streams begin.
#[test]
fn a_new_version_is_listed() {
    run_test(async {
        let fleet = Fleet::start(&["v1", "v1"]).await;
        wait_until(|| !fleet.store.keys(LIST_KEY).is_empty()).await;
        let newer = Target::bind("i-new", TargetKind::Decode, &fleet.store).await;
        let newer = newer.expect("a port can be bound");
        newer.set_version("v2");
        newer.register(&fleet.store, "ready");
        let both = json!({"model": ["v1", "v2"]});
        wait_until(|| fleet.store.read(LIST_KEY).as_ref() == Some(&both)).await;
    });
}

/// Guards against streams at a version that the list lacks while others are left, and against a
/// service that is not served because the list cannot be written.
#[test]
fn a_stream_begins_at_a_version_that_is_not_listed_only_if_no_other_is_left() {
    run_test(async {
        let fleet = Fleet::start(&["v2", "v1"]).await;
        let gateway = &fleet.processes[0].handle.gateway;
        // No write of the store can have this revision as its condition.
        let list = BTreeMap::from([("model".to_owned(), BTreeSet::from([Some("v1".to_owned())]))]);
        gateway
            .fleet()
            .set_version_list(list, Position::new(1, u64::MAX));
        let front = gateway.settings().front;
        for (id, expected) in [("r1", 1), ("r2", 0)] {
            let request = caller::request(front, "/summary/7", id);
            let response = fleet.client.send(request).await;
            let answer = read_answer(response.expect("the request is answered")).await;
            assert_eq!((answer.status, answer.body), (200, all_events()));
            assert_eq!(fleet.ran(id), [expected]);
            fleet.engines[1].register(&fleet.store, "draining");
            wait_until(|| gateway.target("i-d1").is_none()).await;
        }
    });
}

/// Guards against a service that is not served while the only listed targets do not generate.
#[test]
fn a_stream_begins_at_a_version_that_is_not_listed_if_no_listed_target_generates() {
    run_test(async {
        let fleet = Fleet::start(&["v2"]).await;
        let older = Target::bind("i-old", TargetKind::Prefill, &fleet.store).await;
        let older = older.expect("a port can be bound");
        older.register(&fleet.store, "ready");
        let gateway = &fleet.processes[0].handle.gateway;
        wait_until(|| gateway.target("i-old").is_some()).await;
        let list = BTreeMap::from([("model".to_owned(), BTreeSet::from([Some("v1".to_owned())]))]);
        gateway
            .fleet()
            .set_version_list(list, Position::new(1, u64::MAX));
        let request = caller::request(gateway.settings().front, "/summary/7", "r1");
        let response = fleet.client.send(request).await;
        let answer = read_answer(response.expect("the request is answered")).await;
        assert_eq!((answer.status, answer.body), (200, all_events()));
    });
}

/// Guards against an end of the process, or of the instance's picture of the store, by entries that
/// cannot be read.
#[test]
fn damaged_records_change_nothing() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        store.write(LIST_KEY, &json!({"model": "v1"}));
        store.write(&format!("{RECORDS_PREFIX}front-1/1"), &json!([1]));
        store.write(
            &format!("{RECORDS_PREFIX}front-2/1"),
            &json!({"begun": {"v1": ["no"]}}),
        );
        store.configure(&short_document());
        let running = start_instance("front-1", &store).await;
        wait_until(|| running.gateway.is_ready()).await;
        sleep(Duration::from_millis(50)).await;
        assert!(running.gateway.stored_streams().is_empty());
    });
}
