//! Streams that callers take up at an instance with an old view of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use cactuslane_gateway::{Gateway, GatewayHandle};
use cactuslane_place::Load;
use cactuslane_platform_standin::link::{Cut, Link};
use cactuslane_platform_standin::store::View;
use cactuslane_platform_standin::{Fault, Store, Target, TargetKind, caller, settings};
use cactuslane_store::http::Client;
use cactuslane_types::Position;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};
use yare::parameterized;

use crate::deployment::{CallerAnswer, all_events, read_answer, run_test, wait_until};
use crate::lost::{Process, short_document};

/// Name of the instance that gets an old view of the store.
const STALE: &str = "front-1";
/// Names of the other instances.
const OTHERS: [&str; 2] = ["front-2", "front-3"];
/// Number of events that callers have received when a stream breaks off.
const EVENTS: u64 = 3;
/// Key of the list of versions.
const LIST_KEY: &str = "cactuslane/stream-versions";
/// Time after trouble with its connections for which an instance need not be up to date; a watch
/// waits almost as long.
const CONTACT_GRACE: Duration = Duration::from_secs(6);
/// The same where the list of versions is written meanwhile.
const LONG_GRACE: Duration = Duration::from_secs(11);
/// Number of attempts of callers that wait at an instance that is woken.
const WAITING: usize = 8;
/// Number of callers that come back at once.
const MANY: usize = 60;
/// Interval between the reads of an instance for streams that are taken up, at least.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// How an instance gets an old view of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Its link to the store carries nothing; no call has failed yet.
    Cut,
    /// The same, for so long that the last failure of a call is no recent one.
    CutForLong,
    /// Its open connections to the store carry nothing, new ones work.
    Silenced,
    /// It does not run for a while.
    Stopped,
}

/// Instances of which one gets an old view of the store, and exchanges no messages with the others;
/// an engine of version v1, and later one of v2.
struct Release {
    /// Store.
    store: Store,
    /// Engines.
    engines: Vec<Target>,
    /// Instance that gets an old view.
    stale: Process,
    /// Its link to its view of the store.
    link: (Link, View),
    /// Other instances, with their view of the store.
    others: (Vec<GatewayHandle>, View),
    /// Socket to which the lost messages go.
    _lost: UdpSocket,
    /// HTTP client that sends the requests of callers.
    client: Client,
}

impl Release {
    /// Starts the instances and an engine of v1, and waits until all know that version as listed.
    async fn start(contact_grace: Duration) -> Self {
        let store = Store::bind().await.expect("a port can be bound");
        store.configure(&short_document());
        let lost = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let lost = lost.expect("a port can be bound");
        let sink = lost.local_addr().expect("it has an address");
        let route = |lost: &'static [&str]| {
            let route =
                move |entry: &str, address| if lost.contains(&entry) { sink } else { address };
            Arc::new(route) as Arc<dyn Fn(&str, SocketAddr) -> SocketAddr + Send + Sync>
        };
        let view = View::bind(&store, route(&OTHERS)).await;
        let view = view.expect("a port can be bound");
        let link = Link::bind(view.address).await.expect("a port can be bound");
        let mut stale_settings = settings(STALE, link.address);
        stale_settings.contact_grace = contact_grace;
        let stale = Process::start(stale_settings).await;
        let others_view = View::bind(&store, route(&[STALE])).await;
        let others_view = others_view.expect("a port can be bound");
        let mut others = Vec::new();
        for name in OTHERS {
            let running = Gateway::spawn(settings(name, others_view.address)).await;
            others.push(running.expect("the instance starts"));
        }
        let mut release = Self {
            store,
            engines: Vec::new(),
            stale,
            link: (link, view),
            others: (others, others_view),
            _lost: lost,
            client: Client::open(),
        };
        release.add_engine("i-d1", "v1").await;
        wait_until(|| !release.store.keys(LIST_KEY).is_empty()).await;
        for running in release.others.0.iter().chain([&release.stale.handle]) {
            let gateway = &running.gateway;
            let is_listed = || {
                let target = gateway.target("i-d1");
                let other = target.clone().map(|target| cactuslane_flight::Target {
                    version: Some("v2".to_owned()),
                    ..target
                });
                // A service that is not listed may begin streams at any version.
                other.is_some_and(|other| !gateway.fleet().is_listed(&other))
            };
            wait_until(|| gateway.is_ready() && is_listed()).await;
        }
        release
    }

    /// Starts an engine of a version.
    async fn add_engine(&mut self, id: &str, version: &str) {
        let engine = Target::bind(id, TargetKind::Decode, &self.store).await;
        let engine = engine.expect("a port can be bound");
        engine.set_version(version);
        engine.register(&self.store, "ready");
        self.engines.push(engine);
    }

    /// Begins the trouble of the instance that gets an old view; what is returned ends a stop.
    async fn begin(&self, trouble: Trouble) -> Option<mpsc::Sender<()>> {
        let gateway = &self.stale.handle.gateway;
        match trouble {
            Trouble::Stopped => return Some(self.stale.stop()),
            Trouble::Silenced => self.link.0.silence(),
            Trouble::Cut | Trouble::CutForLong => self.link.0.set_cut(Some(Cut::Hang)),
        }
        if trouble == Trouble::CutForLong {
            for expected in [true, false] {
                let failed = || gateway.fleet().store_failed_recently(gateway.now());
                wait_until(|| failed() == expected).await;
            }
        }
        None
    }

    /// Starts an engine of v2, waits until its version is listed, and begins a stream at it.
    async fn release(&mut self, id: &str) {
        self.add_engine("i-d2", "v2").await;
        wait_until(|| self.lists_both()).await;
        let gateway = &self.others.0[0].gateway;
        let is_listed = || {
            let target = gateway.target("i-d2");
            target.is_some_and(|target| gateway.fleet().is_listed(&target))
        };
        wait_until(is_listed).await;
        self.begin_at_second(id).await;
    }

    /// Begins a stream at the engine of v2.
    async fn begin_at_second(&self, id: &str) {
        let gateway = &self.others.0[0].gateway;
        let busy = Load {
            running: 30,
            ..Load::default()
        };
        gateway.placer().load_view.add("i-d1", busy);
        self.engines[1].inject_fault(Fault::Mute(EVENTS));
        let request = caller::request(gateway.settings().front, "/summary/7", id);
        let response = self.client.send(request).await;
        let mut body = response.expect("the request is answered").into_body();
        let mut received = Vec::new();
        while received.len() < all_events().len() - rest().len() {
            let frame = body.frame().await.expect("there are more events");
            received.extend(frame.expect("it is sent").into_data().unwrap_or_default());
        }
        assert_eq!(self.runs(id), [0, 1]);
    }

    /// Returns whether the store lists both versions.
    fn lists_both(&self) -> bool {
        let both = json!({"model": ["v1", "v2"]});
        self.store.read(LIST_KEY) == Some(both)
    }

    /// Takes a stream up at the instance with the old view, as several callers at once, and then ends
    /// its stop.
    async fn resume(
        &self,
        ids: &[String],
        resumes: &str,
        stopped: Option<mpsc::Sender<()>>,
    ) -> Vec<CallerAnswer> {
        let front = self.stale.handle.gateway.settings().front;
        let mut attempts = Vec::new();
        for id in ids {
            let request = caller::resumption(front, "/summary/7", id, resumes, EVENTS);
            let client = self.client.clone();
            attempts.push(tokio::spawn(async move {
                let response = client.send(request).await;
                read_answer(response.expect("the request is answered")).await
            }));
        }
        sleep(Duration::from_millis(20)).await;
        drop(stopped);
        let mut answers = Vec::new();
        for attempt in attempts {
            answers.push(attempt.await.expect("it does not panic"));
        }
        answers
    }

    /// Returns the numbers of runs of a request at the engines.
    fn runs(&self, id: &str) -> Vec<u32> {
        let engines = self.engines.iter();
        engines.map(|engine| engine.runs(id)).collect()
    }
}

/// Returns the events after the first [`EVENTS`].
fn rest() -> String {
    let all = all_events();
    let at = all.find("id: 4").expect("there is such an event");
    all[at..].to_owned()
}

/// Returns so many ids of requests.
fn ids(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("again-{number}")).collect()
}

/// Guards against a stream of v2 that goes on at v1, as the instance still knows v1 alone and no
/// other one answers it.
#[parameterized(
    cut = { Trouble::Cut },
    cut_for_long = { Trouble::CutForLong },
    silenced = { Trouble::Silenced },
    stopped = { Trouble::Stopped },
)]
fn a_stream_is_not_taken_up_at_the_version_of_an_old_view(trouble: Trouble) {
    run_test(async move {
        let mut release = Release::start(CONTACT_GRACE).await;
        let stopped = release.begin(trouble).await;
        release.release("r1").await;
        let ids = ids(WAITING);
        let answers = release.resume(&ids, "r1", stopped).await;
        for (id, answer) in ids.iter().zip(answers) {
            let runs = release.runs(id);
            assert_eq!(runs[0], 0, "{answer:?}");
            if runs[1] == 0 {
                assert_eq!((answer.status, answer.retry_after), (503, true));
            } else {
                assert_eq!((answer.status, answer.body), (200, rest()));
            }
        }
    });
}

/// Guards against a version that is dropped from the list although targets have it again, as the
/// instance that writes the list has not seen them.
#[test]
fn a_version_is_not_dropped_from_the_list_by_an_old_view() {
    run_test(async {
        let mut release = Release::start(LONG_GRACE).await;
        release.add_engine("i-d2", "v2").await;
        let gateway = release.stale.handle.gateway.clone();
        let knows = || {
            gateway
                .target("i-d2")
                .is_some_and(|it| gateway.fleet().is_listed(&it))
        };
        wait_until(|| release.lists_both() && knows()).await;
        release.store.remove_target("i-d2");
        wait_until(|| gateway.fleet().present().all(|target| target.id != "i-d2")).await;
        release.link.0.silence();
        release.engines[1].register(&release.store, "ready");
        // The view is old until its watch has failed.
        while !gateway.fleet().store_failed_recently(gateway.now()) {
            assert!(release.lists_both(), "v2 has been dropped");
            sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against a stream that goes on at v1 although streams begin at v2, which is not listed yet, as
/// up-to-date instances have no other target left.
#[test]
fn a_stream_is_not_taken_up_beside_a_version_that_is_not_listed_yet() {
    run_test(async {
        let mut release = Release::start(CONTACT_GRACE).await;
        for running in &release.others.0 {
            // No write of the store can have this revision as its condition.
            let list =
                BTreeMap::from([("model".to_owned(), BTreeSet::from([Some("v1".to_owned())]))]);
            let position = Position::new(1, u64::MAX);
            running.gateway.fleet().set_version_list(list, position);
        }
        release.begin(Trouble::Silenced).await;
        release.engines[0].register(&release.store, "draining");
        release.add_engine("i-d2", "v2").await;
        let gateway = &release.others.0[0].gateway;
        let is_only = || gateway.target("i-d1").is_none() && gateway.target("i-d2").is_some();
        wait_until(is_only).await;
        release.begin_at_second("r1").await;
        // The store has no record of the stream yet. The first reads are lost on silent connections.
        let reads = || release.store.read_count(LIST_KEY);
        let (before, mut number) = (reads(), 0);
        while reads() < before + 2 {
            let ids = [format!("again-{number}")];
            let answers = release.resume(&ids, "unrecorded", None).await;
            assert_eq!(release.runs(&ids[0]), [0, 0], "{answers:?}");
            assert_eq!((answers[0].status, answers[0].retry_after), (503, true));
            number += 1;
        }
    });
}

/// Guards against a store that is read once for each caller after a loss of all instances.
#[test]
fn take_ups_of_many_callers_share_the_reads_of_the_store() {
    run_test(async {
        let release = Release::start(CONTACT_GRACE).await;
        let reads = || release.store.read_count(LIST_KEY);
        let (before, started) = (reads(), Instant::now());
        let ids = ids(MANY);
        let answers = release.resume(&ids, "r0", None).await;
        let intervals = started.elapsed().as_millis() / READ_INTERVAL.as_millis();
        let made = reads() - before;
        assert!(
            u128::from(made) <= 1 + intervals,
            "{made} reads in {intervals} intervals"
        );
        for (id, answer) in ids.iter().zip(answers) {
            if answer.status == 200 {
                assert_eq!((release.runs(id), answer.body), (vec![1], rest()));
            } else {
                assert_eq!((answer.status, answer.retry_after), (503, true));
                assert_eq!(release.runs(id), [0]);
            }
        }
    });
}

/// Guards against a stream of v1 that goes on at v2: an instance and a target that are cut off from the
/// store begin it after v1 was removed from the list.
#[test]
fn a_stream_that_begins_at_a_removed_version_does_not_go_on_at_another_one() {
    run_test(async {
        let mut release = Release::start(CONTACT_GRACE).await;
        release.begin(Trouble::Cut).await;
        release.store.remove_target("i-d1");
        release.add_engine("i-d2", "v2").await;
        let newer = json!({"model": ["v2"]});
        wait_until(|| release.store.read(LIST_KEY).as_ref() == Some(&newer)).await;
        release.engines[0].inject_fault(Fault::Mute(EVENTS));
        let stale = release.stale.handle.gateway.settings().front;
        let response = release
            .client
            .send(caller::request(stale, "/summary/7", "r1"))
            .await;
        let mut body = response.expect("the request is answered").into_body();
        if body.frame().await.is_none() || release.runs("r1") != [1, 0] {
            return;
        }
        let gateway = &release.others.0[0].gateway;
        wait_until(|| gateway.target("i-d1").is_none() && gateway.target("i-d2").is_some()).await;
        let front = gateway.settings().front;
        let request = caller::resumption(front, "/summary/7", "r2", "r1", EVENTS);
        let response = release.client.send(request).await;
        let answer = read_answer(response.expect("the request is answered")).await;
        assert_eq!(release.runs("r2"), [0, 0], "{answer:?}");
        assert_eq!((answer.status, answer.retry_after), (503, true));
    });
}
