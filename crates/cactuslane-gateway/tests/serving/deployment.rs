//! A deployment of stand-ins and one instance, and what its caller gets.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_gateway::{Gateway, Running};
use cactuslane_place::Load;
use cactuslane_platform_standin::target::EVENTS;
use cactuslane_platform_standin::{Fault, Store, Target, TargetKind};
use cactuslane_platform_standin::{caller, document, settings};
use cactuslane_store::http::Client;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::{sleep, timeout};

/// Time after which a test that waits is hung.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The window of repeated sends in the settings of the stand-in, in milliseconds.
const BUDGET_WINDOW: u64 = 100;

/// A deployment of one instance.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The workers of the plain service.
    pub workers: Vec<Target>,
    /// The engine that computes prompts.
    pub prefill: Target,
    /// The engines that generate.
    pub engines: Vec<Target>,
    /// The instance.
    pub running: Running,
    /// The caller.
    pub client: Client,
}

/// What a caller got.
#[derive(Debug)]
pub struct CallerAnswer {
    /// The status.
    pub status: u16,
    /// When to come back, if that was said.
    pub retry_after: bool,
    /// The body, up to where it broke off.
    pub body: String,
    /// Whether the answer came to its end.
    pub complete: bool,
}

/// Runs a test on a runtime of its own, unless it hangs.
pub fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async { timeout(TEST_TIMEOUT, test).await.expect("the test hangs") });
}

/// Waits until something is so.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Starts a store, targets and an instance, and waits until it serves.
pub async fn deploy() -> Deployment {
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
    let running = start_instance("front-1", &store).await;
    let gateway = running.gateway.clone();
    wait_until(|| gateway.is_ready() && gateway.target("i-d2").is_some()).await;
    // An instance sends nothing again in its first moments.
    wait_until(|| gateway.now() >= BUDGET_WINDOW).await;
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
pub async fn start_instance(name: &str, store: &Store) -> Running {
    let settings = settings(name, store.address);
    Gateway::spawn(settings).await.expect("it starts")
}

impl Deployment {
    /// Returns the address for callers.
    pub fn front(&self) -> SocketAddr {
        self.running.gateway.settings().front
    }

    /// Sends a request and returns the head of the answer.
    pub async fn send(&self, path: &str, id: &str) -> Response<Incoming> {
        let request = caller::request(self.front(), path, id);
        self.client.send(request).await.expect("it is answered")
    }

    /// Sends a request and reads the answer.
    pub async fn ask(&self, path: &str, id: &str) -> CallerAnswer {
        read_answer(self.send(path, id).await).await
    }

    /// Returns the runs of a request at all workers.
    pub fn runs(&self, id: &str) -> u32 {
        let targets = self.workers.iter().chain(&self.engines);
        targets.map(|target| target.runs(id)).sum()
    }

    /// Has the first target of a kind be chosen first, as the others are busy.
    pub fn prefer_first(&self, targets: &[Target]) {
        let mut placer = self.running.gateway.placer();
        for target in &targets[1..] {
            let busy = Load {
                running: 30,
                ..Load::default()
            };
            placer.load_view.add(&target.id, busy);
        }
    }

    /// Has the next requests fail at all targets of a kind.
    pub fn inject_fault(&self, targets: &[Target], fault: Fault) {
        for target in targets {
            target.fault(fault);
        }
        assert!(!targets.is_empty(), "{}", self.front());
    }
}

/// Reads an answer to its end, or to where it breaks off.
pub async fn read_answer(response: Response<Incoming>) -> CallerAnswer {
    let (head, mut body) = response.into_parts();
    let (mut bytes, mut complete) = (Vec::new(), true);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            complete = false;
            break;
        };
        bytes.extend(frame.into_data().unwrap_or_default());
    }
    CallerAnswer {
        status: head.status.as_u16(),
        retry_after: head.headers.contains_key("retry-after"),
        body: String::from_utf8(bytes).expect("it is text"),
        complete,
    }
}

/// Returns the whole stream that engines generate.
pub fn all_events() -> String {
    let event = |id: u64| format!("id: {id}\ndata: piece {id}\n\n");
    (1..=EVENTS).map(event).collect()
}
