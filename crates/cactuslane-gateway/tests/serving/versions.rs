//! Streams while targets of several software versions serve side by side.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use cactuslane_flight::origin::stream_id;
use cactuslane_gateway::GatewayHandle;
use cactuslane_place::Load;
use cactuslane_platform_standin::{Fault, Target, TargetKind, caller, target};
use http_body_util::BodyExt;
use tokio::time::sleep;
use yare::parameterized;

use crate::deployment::{
    CallerAnswer, Deployment, all_events, deploy, read_answer, run_test, start_fleet,
    start_instance, wait_until,
};

/// Number of events that callers have received when a stream breaks off.
const EVENTS: u64 = 3;
/// Time for which an engine refuses connections.
const DOWN_TIME: Duration = Duration::from_millis(700);

/// Instances and three engines, of the versions v1, v2 and, unless it is gone, v1.
pub struct Versions {
    /// The stand-ins and the first instance.
    pub deployment: Deployment,
    /// The other instances.
    others: Vec<GatewayHandle>,
}

impl Versions {
    /// Starts the instances and the engines; all but the first engine are loaded, the second one
    /// less than the third.
    pub async fn start(keeps_third: bool) -> Self {
        let mut deployment = deploy().await;
        let third = Target::bind("i-d3", TargetKind::Decode, &deployment.store).await;
        deployment.engines.push(third.expect("a port can be bound"));
        deployment.engines[1].set_version("v2");
        deployment.engines[1].register(&deployment.store, "ready");
        let others = start_fleet(&deployment).await;
        let state = if keeps_third { "ready" } else { "draining" };
        deployment.engines[2].register(&deployment.store, state);
        let versions = Self { deployment, others };
        for instance in versions.instances() {
            let gateway = &instance.gateway;
            let version = |id: &str| gateway.target(id)?.version;
            wait_until(|| {
                version("i-d2").as_deref() == Some("v2")
                    && gateway.target("i-d3").is_some() == keeps_third
            })
            .await;
            versions.load(instance);
        }
        versions
    }

    /// Makes an instance prefer the first engine, then the second one.
    fn load(&self, instance: &GatewayHandle) {
        let mut placer = instance.gateway.placer();
        for (number, engine) in self.deployment.engines.iter().enumerate() {
            let running = 30 * number as u32;
            let load = Load {
                running,
                ..Load::default()
            };
            placer.load_view.add(&engine.id, load);
        }
    }

    /// Returns all instances.
    fn instances(&self) -> impl Iterator<Item = &GatewayHandle> {
        std::iter::once(&self.deployment.running).chain(&self.others)
    }

    /// Takes the stream of request `resumes` up again at an instance.
    pub async fn resume(&self, at: &GatewayHandle, id: &str, resumes: &str) -> CallerAnswer {
        let front = at.gateway.settings().front;
        let request = caller::resumption(front, "/summary/7", id, resumes, EVENTS);
        let response = self.deployment.client.send(request).await;
        read_answer(response.expect("the request is answered")).await
    }

    /// Begins a stream at the first engine, whose caller leaves after some events.
    pub async fn begin(&self, id: &str) {
        let fault = Fault::Mute(EVENTS);
        self.deployment
            .inject_fault(&self.deployment.engines[..1], fault);
        let mut body = self.deployment.send("/summary/7", id).await.into_body();
        let mut received = Vec::new();
        while received.len() < all_events().len() - rest().len() {
            let frame = body.frame().await.expect("there are more events");
            received.extend(frame.expect("it is sent").into_data().unwrap_or_default());
        }
        assert_eq!(self.deployment.engines[0].runs(id), 1);
    }
}

/// Returns an address at which connections are refused.
pub fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port can be bound");
    listener.local_addr().expect("it has an address")
}

/// Returns the events after the first [`EVENTS`].
fn rest() -> String {
    let all = all_events();
    let at = all.find("id: 4").expect("there is such an event");
    all[at..].to_owned()
}

/// Guards against an answer with events of two versions.
#[parameterized(another_is_left = { true }, none_is_left = { false })]
fn an_instance_resumes_a_stream_only_at_the_version_that_began_it(is_left: bool) {
    run_test(async {
        let versions = Versions::start(is_left).await;
        let engines = &versions.deployment.engines;
        // The first engine, which is left in any case, breaks off twice.
        for _ in 0..2 {
            versions
                .deployment
                .inject_fault(&engines[..1], Fault::Break(EVENTS));
        }
        let answer = versions.deployment.ask("/summary/7", "r1").await;
        assert_eq!(engines[1].runs("r1"), 0);
        assert_eq!(answer.complete, is_left);
        assert!(all_events().starts_with(&answer.body));
        assert_eq!(engines[2].runs("r1"), u32::from(is_left));
    });
}

/// Where a caller takes a stream up again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    /// At the instance that began it.
    Same,
    /// At an instance that ran all the while.
    Other,
    /// At an instance that has just started.
    Started,
}

/// Guards against a caller's answers that hold events of two versions, and against streams that end
/// although their version is left.
#[parameterized(
    same = { Place::Same, true },
    other = { Place::Other, true },
    started = { Place::Started, true },
    same_version_gone = { Place::Same, false },
    other_version_gone = { Place::Other, false },
    started_version_gone = { Place::Started, false },
)]
fn a_caller_resumes_a_stream_only_at_the_version_that_began_it(place: Place, is_left: bool) {
    run_test(async {
        let versions = Versions::start(is_left).await;
        versions.begin("r1").await;
        // The version is gone with the target that began the stream, unless another one has it.
        let engines = &versions.deployment.engines;
        engines[0].register(&versions.deployment.store, "draining");
        let started = start_instance("front-new", &versions.deployment.store).await;
        let gateway = &started.gateway;
        wait_until(|| gateway.is_ready() && gateway.target("i-d2").is_some()).await;
        wait_until(|| gateway.members().alive(gateway.now()).len() == 6).await;
        versions.load(&started);
        for instance in versions.instances().chain([&started]) {
            wait_until(|| instance.gateway.target("i-d1").is_none()).await;
        }
        let at = match place {
            Place::Same => &versions.deployment.running,
            Place::Other => &versions.others[2],
            Place::Started => &started,
        };
        let answer = versions.resume(at, "r2", "r1").await;
        assert_eq!(engines[1].runs("r2"), 0, "{answer:?}");
        if is_left {
            assert_eq!((answer.status, answer.complete), (200, true));
            assert_eq!(answer.body, rest());
        } else {
            assert_eq!((answer.status, answer.retry_after), (503, true));
        }
    });
}

/// Guards against a refusal because the only engine of a version refuses connections for a short
/// time.
#[test]
fn a_stream_waits_while_the_engine_of_its_version_refuses_connections() {
    run_test(async {
        let versions = Versions::start(false).await;
        versions.begin("r1").await;
        let deployment = &versions.deployment;
        let address = deployment.engines[0].address;
        let pool = &deployment.running.gateway.pool;
        pool.use_proxy(address, closed_address());
        let back = async {
            sleep(DOWN_TIME).await;
            pool.use_proxy(address, address);
        };
        let resumed = versions.resume(&deployment.running, "r2", "r1");
        let (answer, ()) = tokio::join!(resumed, back);
        assert_eq!((answer.status, answer.body), (200, rest()));
        assert_eq!(deployment.engines[1].runs("r2"), 0);
    });
}

/// Guards against a refusal because the entry of the only engine of a version lapsed while the
/// engine started again.
#[test]
fn a_stream_waits_while_the_engine_of_its_version_registers_again() {
    run_test(async {
        let versions = Versions::start(false).await;
        versions.begin("r1").await;
        let deployment = &versions.deployment;
        let gateway = &deployment.running.gateway;
        deployment.store.remove("servers/i-d1");
        wait_until(|| {
            let (fleet, now) = (gateway.fleet(), gateway.now());
            let targets = fleet.targets("model", None, now);
            targets.iter().all(|target| target.id != "i-d1")
        })
        .await;
        let back = async {
            sleep(DOWN_TIME).await;
            deployment.engines[0].register(&deployment.store, "ready");
        };
        let resumed = versions.resume(&deployment.running, "r2", "r1");
        let (answer, ()) = tokio::join!(resumed, back);
        assert_eq!((answer.status, answer.body), (200, rest()));
        assert_eq!(deployment.engines[1].runs("r2"), 0);
    });
}

/// Guards against the belief that an unknown version is the one that is asked for.
#[test]
fn a_stream_that_no_instance_knows_does_not_go_on_while_versions_differ() {
    run_test(async {
        let versions = Versions::start(true).await;
        let running = &versions.deployment.running;
        let answer = versions.resume(running, "r2", "unknown").await;
        assert_eq!((answer.status, answer.retry_after), (503, true));
        assert_eq!(versions.deployment.runs("r2"), 0);
    });
}

/// Guards against the belief that a stream whose first attempt has no name began as another one did.
#[test]
fn a_stream_that_is_not_named_does_not_go_on_at_the_version_of_another_one() {
    run_test(async {
        let versions = Versions::start(true).await;
        versions.begin("").await;
        let running = &versions.deployment.running;
        for instance in versions.instances() {
            let gateway = &instance.gateway;
            let version = gateway.origins().version(stream_id("")).cloned();
            assert_eq!(version, None);
        }
        let answer = versions.resume(running, "r2", "").await;
        assert_eq!((answer.status, answer.retry_after), (503, true));
        assert_eq!(versions.deployment.runs("r2"), 0);
    });
}

/// Guards against a version that is taken from a target's id instead of its process.
#[test]
fn a_stream_does_not_go_on_at_a_target_that_has_another_version_now() {
    run_test(async {
        let versions = Versions::start(false).await;
        versions.begin("r1").await;
        let first = &versions.deployment.engines[0];
        first.set_version("v3");
        first.register(&versions.deployment.store, "ready");
        let gateway = &versions.deployment.running.gateway;
        let version = || gateway.target("i-d1")?.version;
        wait_until(|| version().as_deref() == Some("v3")).await;
        let answer = versions
            .resume(&versions.deployment.running, "r2", "r1")
            .await;
        assert_eq!((answer.status, answer.retry_after), (503, true));
        assert_eq!(versions.deployment.runs("r2"), 0);
    });
}

/// Guards against the version of a process that registered after the one that began the stream.
#[test]
fn a_stream_whose_target_registers_another_process_goes_on_at_the_version_that_began_it() {
    run_test(async {
        let versions = Versions::start(true).await;
        let deployment = &versions.deployment;
        let first = &deployment.engines[0];
        deployment.inject_fault(&deployment.engines[..1], Fault::Slow(1_200));
        let response = deployment.send("/summary/7", "r1").await;
        let (kind, process) = (TargetKind::Decode, (2, "v2"));
        let (store, address) = (&deployment.store, first.address);
        target::register_version(store, "i-d1", kind, process, address, "ready");
        let gateway = &deployment.running.gateway;
        let process = || gateway.target("i-d1")?.started_at;
        wait_until(|| process() == Some(2)).await;
        assert_eq!(read_answer(response).await.body, all_events());
        let answer = versions.resume(&deployment.running, "r2", "r1").await;
        assert_eq!((answer.status, answer.body), (200, rest()));
        let ran = deployment.engines.iter().map(|engine| engine.runs("r2"));
        assert_eq!(ran.collect::<Vec<_>>(), [0, 0, 1]);
    });
}
