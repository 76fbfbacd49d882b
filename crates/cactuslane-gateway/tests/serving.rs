//! Whole instances against stand-ins of the platform: what callers and targets see.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_gateway::{Gateway, Running};
use cactuslane_place::Load;
use cactuslane_platform_standin::target::{self, EVENTS};
use cactuslane_platform_standin::{Fault, Mode, Store, Target, TargetKind};
use cactuslane_platform_standin::{caller, document, settings};
use cactuslane_store::http::Client;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use tokio::time::{sleep, timeout};
use yare::parameterized;

/// Time after which a test that waits is hung.
const HUNG: Duration = Duration::from_secs(30);

/// The window of repeated sends in the settings of the stand-in, in milliseconds.
const BUDGET_WINDOW: u64 = 100;

/// A deployment of one instance.
struct Deployment {
    /// The store.
    store: Store,
    /// The workers of the plain service.
    workers: Vec<Target>,
    /// The engine that computes prompts.
    prefill: Target,
    /// The engines that generate.
    engines: Vec<Target>,
    /// The instance.
    running: Running,
    /// The caller.
    client: Client,
}

/// What a caller got.
#[derive(Debug)]
struct Got {
    /// The status.
    status: u16,
    /// When to come back, if that was said.
    come_back: bool,
    /// The body, up to where it broke off.
    body: String,
    /// Whether the answer came to its end.
    whole: bool,
}

/// Runs a test on a runtime of its own, unless it hangs.
fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async { timeout(HUNG, test).await.expect("the test hangs") });
}

/// Waits until something is so.
async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Starts a store, targets and an instance, and waits until it serves.
async fn deploy() -> Deployment {
    let store = Store::bind().await.expect("it binds");
    store.configure(&document(3));
    let target = async |id, kind| Target::bind(id, kind, &store).await.expect("it binds");
    let workers = vec![
        target("i-w1", TargetKind::Plain).await,
        target("i-w2", TargetKind::Plain).await,
    ];
    let prefill = target("i-p1", TargetKind::Prefill).await;
    let engines = vec![
        target("i-d1", TargetKind::Decode).await,
        target("i-d2", TargetKind::Decode).await,
    ];
    let running = start("front-1", &store).await;
    let gateway = running.gateway.clone();
    until(|| gateway.is_ready() && gateway.target("i-d2").is_some()).await;
    // An instance sends nothing again in its first moments.
    until(|| gateway.now() >= BUDGET_WINDOW).await;
    Deployment {
        store,
        workers,
        prefill,
        engines,
        running,
        client: Client::open(),
    }
}

/// Starts an instance.
async fn start(name: &str, store: &Store) -> Running {
    let settings = settings(name, store.address);
    Gateway::spawn(settings).await.expect("it starts")
}

impl Deployment {
    /// Returns the address for callers.
    fn front(&self) -> SocketAddr {
        self.running.gateway.settings().front
    }

    /// Sends a request and returns the head of the answer.
    async fn send(&self, path: &str, id: &str) -> Response<Incoming> {
        let request = caller::request(self.front(), path, id);
        self.client.send(request).await.expect("it is answered")
    }

    /// Sends a request and reads the answer.
    async fn ask(&self, path: &str, id: &str) -> Got {
        read(self.send(path, id).await).await
    }

    /// Returns the runs of a request at all workers.
    fn runs(&self, id: &str) -> u32 {
        let targets = self.workers.iter().chain(&self.engines);
        targets.map(|target| target.runs(id)).sum()
    }

    /// Has the first target of a kind be chosen first, as the others are busy.
    fn prefer_first(&self, targets: &[Target]) {
        let mut placer = self.running.gateway.placer();
        for target in &targets[1..] {
            let busy = Load {
                running: 30,
                ..Load::default()
            };
            placer.picture.add(&target.id, busy);
        }
    }

    /// Has the next requests fail at all targets of a kind.
    fn fault(&self, targets: &[Target], fault: Fault) {
        for target in targets {
            target.fault(fault);
        }
        assert!(!targets.is_empty(), "{}", self.front());
    }
}

/// Reads an answer to its end, or to where it breaks off.
async fn read(response: Response<Incoming>) -> Got {
    let (head, mut body) = response.into_parts();
    let (mut bytes, mut whole) = (Vec::new(), true);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        bytes.extend(frame.into_data().unwrap_or_default());
    }
    Got {
        status: head.status.as_u16(),
        come_back: head.headers.contains_key("retry-after"),
        body: String::from_utf8(bytes).expect("it is text"),
        whole,
    }
}

/// Returns the whole stream that engines generate.
fn all_events() -> String {
    let event = |id: u64| format!("id: {id}\ndata: piece {id}\n\n");
    (1..=EVENTS).map(event).collect()
}

#[test]
fn a_stream_comes_whole_and_a_body_goes_unchanged() {
    run(async {
        let deployment = deploy().await;
        let got = deployment.ask("/summary/7", "r1").await;
        assert_eq!((got.status, got.whole), (200, true));
        assert_eq!(got.body, all_events());
        assert_eq!(deployment.runs("r1"), 1);
        let bodies: Vec<Bytes> = deployment.engines.iter().flat_map(Target::bodies).collect();
        assert_eq!(bodies, [Bytes::from_static(b"a body")]);
    });
}

#[parameterized(
    within_an_event = { Fault::Break(3) },
    before_any_event = { Fault::Break(0) },
    silent = { Fault::Mute(2) },
)]
fn a_stream_that_may_go_on_is_resumed_once(fault: Fault) {
    run(async {
        let deployment = deploy().await;
        // The resumed stream breaks as well: two attempts are all that the route allows.
        deployment.fault(&deployment.engines, fault);
        let got = deployment.ask("/summary/7", "r1").await;
        assert_eq!(deployment.runs("r1"), 2);
        assert!(all_events().starts_with(&got.body), "{}", got.body);
        let again = deployment.ask("/summary/7", "r2").await;
        assert_eq!((again.whole, again.body), (true, all_events()));
    });
}

#[test]
fn a_resumed_stream_is_whole() {
    run(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.engines);
        deployment.fault(&deployment.engines[..1], Fault::Break(3));
        let got = deployment.ask("/summary/7", "r1").await;
        assert_eq!((got.whole, got.body), (true, all_events()));
        assert_eq!(deployment.engines[0].runs("r1"), 1);
        assert_eq!(deployment.engines[1].runs("r1"), 1);
    });
}

#[test]
fn a_stream_that_may_not_go_on_breaks_off_visibly() {
    run(async {
        let deployment = deploy().await;
        deployment.fault(&deployment.engines, Fault::Break(2));
        let got = deployment.ask("/report/7", "r1").await;
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.body, all_events()[..got.body.len()]);
        assert_eq!(deployment.runs("r1"), 1);
    });
}

#[parameterized(
    answer_lost = { Fault::Lose, 502, 1 },
    answer_of_another = { Fault::Cross, 502, 1 },
    unsigned = { Fault::Unsigned, 502, 1 },
    failure = { Fault::Fail, 500, 1 },
    rejected = { Fault::Reject, 503, 0 },
)]
fn what_may_not_be_repeated_runs_at_most_once(fault: Fault, status: u16, runs: u32) {
    run(async {
        let deployment = deploy().await;
        for _ in 0..4 {
            deployment.fault(&deployment.workers, fault);
        }
        let got = deployment.ask("/correction/7", "r1").await;
        assert_eq!((got.status, deployment.runs("r1")), (status, runs));
        assert_eq!(got.come_back, status == 503);
    });
}

#[parameterized(
    answer_lost = { Fault::Lose },
    answer_of_another = { Fault::Cross },
    unsigned = { Fault::Unsigned },
    failure = { Fault::Fail },
    rejected = { Fault::Reject },
)]
fn what_may_be_repeated_is_sent_to_another_target(fault: Fault) {
    run(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.workers);
        deployment.fault(&deployment.workers[..1], fault);
        let got = deployment.ask("/lookup/7", "r1").await;
        assert_eq!(got.status, 200, "{got:?}");
        assert_eq!(deployment.workers[1].runs("r1"), 1);
    });
}

#[test]
fn a_slow_target_is_waited_for_where_no_attempt_is_left() {
    run(async {
        let deployment = deploy().await;
        deployment.fault(&deployment.workers, Fault::Slow(1_100));
        let got = deployment.ask("/lookup/7", "r1").await;
        assert_eq!((got.status, deployment.runs("r1")), (200, 2));
    });
}

#[test]
fn a_silent_stream_is_waited_for_where_no_attempt_is_left() {
    run(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.engines);
        deployment.fault(&deployment.engines[..1], Fault::Break(0));
        deployment.fault(&deployment.engines[1..], Fault::Slow(3_400));
        let got = deployment.ask("/summary/7", "r1").await;
        assert_eq!((got.whole, got.body), (true, all_events()));
    });
}

#[test]
fn a_rejected_correction_runs_elsewhere() {
    run(async {
        let deployment = deploy().await;
        deployment.prefer_first(&deployment.workers);
        deployment.fault(&deployment.workers[..1], Fault::Reject);
        assert_eq!(deployment.ask("/correction/7", "r1").await.status, 200);
        assert_eq!(deployment.workers[1].runs("r1"), 1);
    });
}

#[test]
fn a_computed_prompt_is_offered_to_another_engine() {
    run(async {
        let deployment = deploy().await;
        // Streams everywhere have the prompt be computed apart.
        deployment.prefer_first(&deployment.engines);
        let streams = Load {
            running: 20,
            ..Load::default()
        };
        let first = &deployment.engines[0];
        deployment
            .running
            .gateway
            .placer()
            .picture
            .add(&first.id, streams);
        deployment.fault(&deployment.engines[..1], Fault::Reject);
        let got = deployment.ask("/report/7", "r1").await;
        assert_eq!((got.whole, got.body), (true, all_events()));
        assert_eq!(deployment.prefill.prompts(), 1);
        assert_eq!(deployment.engines[1].runs("r1"), 1);
    });
}

#[test]
fn an_engine_that_was_replaced_while_the_store_is_away_costs_no_request() {
    run(async {
        let deployment = deploy().await;
        let address = deployment.prefill.address;
        // Another engine has the address now, and the store does not say so.
        deployment.store.remove_target("i-p1");
        let kind = TargetKind::Prefill;
        target::register(&deployment.store, "i-old", kind, address, "ready");
        let gateway = deployment.running.gateway.clone();
        until(|| gateway.target("i-old").is_some()).await;
        deployment.store.set_mode(Mode::Busy);
        deployment.prefer_first(&deployment.engines);
        let streams = Load {
            running: 20,
            ..Load::default()
        };
        gateway.placer().picture.add("i-d1", streams);
        for id in 0..3 {
            let got = deployment.ask("/report/7", &format!("r{id}")).await;
            assert_eq!((got.whole, got.body), (true, all_events()));
        }
        assert!(gateway.target("i-old").is_none());
    });
}

#[test]
fn a_caller_that_leaves_ends_its_run() {
    run(async {
        let deployment = deploy().await;
        deployment.fault(&deployment.engines, Fault::Mute(1));
        let response = deployment.send("/report/7", "r1").await;
        let streams = || deployment.engines.iter().map(Target::streams).sum::<u32>();
        assert_eq!(streams(), 1);
        drop(response);
        drop(deployment.client.clone());
        until(|| streams() == 0).await;
    });
}

#[test]
fn an_instance_without_configuration_says_not_run() {
    run(async {
        let store = Store::bind().await.expect("it binds");
        let running = start("front-1", &store).await;
        let front = running.gateway.settings().front;
        let request = || caller::request(front, "/lookup/7", "r1");
        let client = Client::open();
        let got = read(client.send(request()).await.expect("it is answered")).await;
        assert_eq!((got.status, got.come_back), (503, true));
        store.configure(&document(3));
        until(|| running.gateway.document().is_some()).await;
        // There is a route now, and no target.
        let got = read(client.send(request()).await.expect("it is answered")).await;
        assert_eq!((got.status, got.come_back), (503, true));
    });
}

#[test]
fn configurations_come_in_force_and_never_go_back() {
    run(async {
        let deployment = deploy().await;
        assert_eq!(deployment.ask("/new/7", "r1").await.status, 404);
        let mut newer = document(9);
        newer["routes"][0]["prefix"] = "/new/".into();
        deployment.store.configure(&newer);
        let gateway = deployment.running.gateway.clone();
        let version = || gateway.document().map(|document| document.version);
        until(|| version() == Some(9)).await;
        assert_eq!(deployment.ask("/new/7", "r2").await.status, 200);
        deployment.store.configure(&document(3));
        deployment
            .store
            .configure(&serde_json::json!({ "version": "none" }));
        deployment.store.garble_target("i-x");
        // The history goes in the middle of all this.
        deployment.store.compact();
        newer["version"] = 12.into();
        deployment.store.configure(&newer);
        until(|| version() != Some(9)).await;
        assert_eq!(version(), Some(12));
    });
}

#[test]
fn a_draining_target_gets_no_new_work() {
    run(async {
        let deployment = deploy().await;
        deployment.workers[0].register(&deployment.store, "draining");
        let gateway = deployment.running.gateway.clone();
        until(|| gateway.target("i-w1").is_none()).await;
        let before = deployment.workers[0].all_runs();
        for id in 0..8 {
            let got = deployment.ask("/lookup/7", &format!("r{id}")).await;
            assert_eq!(got.status, 200);
        }
        assert_eq!(deployment.workers[0].all_runs(), before);
    });
}

#[parameterized(
    refusing = { Mode::Busy },
    silent = { Mode::Silent },
    losing = { Mode::Losing },
)]
fn requests_are_served_while_the_store_is_away(mode: Mode) {
    run(async {
        let deployment = deploy().await;
        deployment.store.set_mode(mode);
        // Targets lapse with the store, as their entries are not renewed.
        for id in 0..6 {
            let got = deployment.ask("/correction/7", &format!("r{id}")).await;
            assert_eq!(got.status, 200);
        }
        deployment.store.set_mode(Mode::Serving);
        deployment.store.configure(&document(8));
        let gateway = deployment.running.gateway.clone();
        until(|| {
            gateway
                .document()
                .is_some_and(|document| document.version == 8)
        })
        .await;
    });
}

/// Asks an instance for addresses, or whether it is ready.
async fn question(address: SocketAddr, path: &str) -> (u16, String) {
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::new(Bytes::new()))
        .expect("it is a request");
    let got = read(Client::open().send(request).await.expect("it is answered")).await;
    (got.status, got.body)
}

#[test]
fn instances_find_each_other_and_an_instance_that_leaves_is_named_no_more() {
    run(async {
        let deployment = deploy().await;
        let other = start("front-2", &deployment.store).await;
        let here = deployment.running.gateway.settings();
        let there = other.gateway.settings();
        let directory = here.directory.expect("it answers callers");
        let named = async || question(directory, caller::ADDRESSES).await.1;
        let both = |text: &str| {
            text.contains(&here.front.to_string()) && text.contains(&there.front.to_string())
        };
        while !both(&named().await) {
            sleep(Duration::from_millis(20)).await;
        }
        let ready = there.ready;
        assert_eq!(question(ready, caller::READY).await.0, 200);
        let stopping = tokio::spawn(other.stop());
        while both(&named().await) {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(question(ready, caller::READY).await.0, 503);
        // Callers that still hold its address are served, and told to go.
        let request = caller::request(there.front, "/lookup/7", "r1");
        let response = Client::open().send(request).await.expect("it is answered");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["connection"], "close");
        stopping.await.expect("it stops");
        let instances = deployment.store.keys("cactuslane/instances/");
        assert_eq!(instances, ["cactuslane/instances/front-1"]);
    });
}

#[test]
fn a_planned_stop_cuts_no_stream() {
    run(async {
        let deployment = deploy().await;
        let response = deployment.send("/report/7", "r1").await;
        let stopping = tokio::spawn(deployment.running.stop());
        let got = read(response).await;
        assert_eq!((got.whole, got.body), (true, all_events()));
        stopping.await.expect("it stops");
    });
}
