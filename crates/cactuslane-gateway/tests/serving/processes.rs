//! Targets that start again under their ids, before their entries say so.

use std::time::Duration;

use cactuslane_gateway::GatewayHandle;
use cactuslane_place::Load;
use cactuslane_platform_standin::{Fault, Target, caller};
use http_body_util::BodyExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::deployment::{
    CallerAnswer, Deployment, all_events, deploy, read_answer, run_test, start_fleet, wait_until,
};

/// Number of events that callers have received when a stream breaks off.
const EVENTS: u64 = 3;
/// Time that a prompt takes while versions change, in milliseconds.
const SLOW_PROMPT_MS: u64 = 1_000;
/// Interval between two looks at whether a target accepts connections.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A deployment whose engines have the version v1; its instances prefer the first one, then the
/// second one.
struct Engines {
    /// The stand-ins and the first instance.
    deployment: Deployment,
    /// The other instances.
    others: Vec<GatewayHandle>,
}

impl Engines {
    /// Starts the instances and the engines.
    async fn start() -> Self {
        let deployment = deploy().await;
        let others = start_fleet(&deployment).await;
        let engines = Self { deployment, others };
        for instance in engines.instances() {
            let gateway = &instance.gateway;
            wait_until(|| gateway.target("i-d2").is_some()).await;
            let load = Load {
                running: 30,
                ..Load::default()
            };
            gateway.placer().load_view.add("i-d2", load);
        }
        engines
    }

    /// Returns all instances.
    fn instances(&self) -> impl Iterator<Item = &GatewayHandle> {
        std::iter::once(&self.deployment.running).chain(&self.others)
    }

    /// Writes the entry of an engine.
    fn register(&self, number: usize) {
        self.engine(number)
            .register(&self.deployment.store, "ready");
    }

    /// Returns an engine by its number, from 0.
    fn engine(&self, number: usize) -> &Target {
        &self.deployment.engines[number]
    }

    /// Begins a stream at the first engine, whose caller leaves after some events.
    async fn begin(&self, id: &str) {
        self.engine(0).inject_fault(Fault::Mute(EVENTS));
        let mut body = self.deployment.send("/summary/7", id).await.into_body();
        let mut received = Vec::new();
        while received.len() < all_events().len() - rest().len() {
            let frame = body.frame().await.expect("there are more events");
            received.extend(frame.expect("it is sent").into_data().unwrap_or_default());
        }
        assert_eq!(self.engine(0).runs(id), 1);
    }

    /// Takes the stream of request `resumes` up again at an instance.
    async fn resume(&self, at: &GatewayHandle, id: &str, resumes: &str) -> CallerAnswer {
        let front = at.gateway.settings().front;
        let request = caller::resumption(front, "/summary/7", id, resumes, EVENTS);
        let response = self.deployment.client.send(request).await;
        read_answer(response.expect("the request is answered")).await
    }
}

/// Starts a target again with the version v2, and waits until it accepts connections.
async fn restart(target: &Target) {
    target.restart("v2");
    while TcpStream::connect(target.address).await.is_ok() {
        sleep(POLL_INTERVAL).await;
    }
    while TcpStream::connect(target.address).await.is_err() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the events after the first [`EVENTS`].
fn rest() -> String {
    let all = all_events();
    let at = all.find("id: 4").expect("there is such an event");
    all[at..].to_owned()
}

/// Guards against an answer with events of two versions.
#[test]
fn a_stream_is_not_resumed_at_a_process_that_is_not_registered() {
    run_test(async {
        let engines = Engines::start().await;
        restart(engines.engine(1)).await;
        for _ in 0..3 {
            engines.engine(0).inject_fault(Fault::Break(EVENTS));
        }
        let answer = engines.deployment.ask("/summary/7", "r1").await;
        assert_eq!(engines.engine(1).runs("r1"), 0, "{answer:?}");
        assert_eq!(answer.status, 200);
        assert!(answer.body.len() >= all_events().len() - rest().len());
        assert!(all_events().starts_with(&answer.body));
    });
}

/// Guards against a caller's answers that hold events of two versions.
#[test]
fn a_stream_is_not_taken_up_at_a_process_that_is_not_registered() {
    run_test(async {
        let engines = Engines::start().await;
        engines.begin("r1").await;
        engines
            .engine(0)
            .register(&engines.deployment.store, "draining");
        restart(engines.engine(1)).await;
        for (number, instance) in engines.instances().enumerate() {
            wait_until(|| instance.gateway.target("i-d1").is_none()).await;
            let id = format!("again-{number}");
            let answer = engines.resume(instance, &id, "r1").await;
            assert_eq!(engines.engine(1).runs(&id), 0, "{answer:?}");
            assert_eq!((answer.status, answer.retry_after), (503, true));
        }
    });
}

/// Guards against a stream that counts as begun by the version of the process before.
#[test]
fn a_stream_does_not_begin_at_a_process_that_is_not_registered() {
    run_test(async {
        let engines = Engines::start().await;
        restart(engines.engine(0)).await;
        let answer = engines.deployment.ask("/summary/7", "r1").await;
        assert_eq!((answer.status, answer.body), (200, all_events()));
        assert_eq!(
            (engines.engine(0).runs("r1"), engines.engine(1).runs("r1")),
            (0, 1)
        );
        engines.register(0);
        let gateway = &engines.deployment.running.gateway;
        let version = || gateway.target("i-d1")?.version;
        wait_until(|| version().as_deref() == Some("v2")).await;
        engines
            .engine(1)
            .register(&engines.deployment.store, "draining");
        wait_until(|| gateway.target("i-d2").is_none()).await;
        let answer = engines.deployment.ask("/summary/7", "r2").await;
        assert_eq!((answer.status, answer.body), (200, all_events()));
        assert_eq!(engines.engine(0).runs("r2"), 1);
    });
}

/// Guards against a refusal of streams that the process which began them can go on with.
#[test]
fn a_stream_goes_on_at_the_process_that_began_it() {
    run_test(async {
        let engines = Engines::start().await;
        engines.begin("r1").await;
        for (number, instance) in engines.instances().enumerate() {
            let id = format!("again-{number}");
            let answer = engines.resume(instance, &id, "r1").await;
            assert_eq!((answer.status, answer.body), (200, rest()));
            assert_eq!(engines.engine(0).runs(&id), 1);
        }
    });
}

/// Guards against a prompt of one version from which another one generates.
#[test]
fn a_prompt_is_not_computed_by_a_process_that_is_not_registered() {
    run_test(async {
        let engines = Engines::start().await;
        let gateway = &engines.deployment.running.gateway;
        // With load on all decode engines the prompt is computed on the prefill engine.
        let load = Load {
            running: 20,
            ..Load::default()
        };
        gateway.placer().load_view.add("i-d1", load);
        let prefill = &engines.deployment.prefill;
        restart(prefill).await;
        for number in 0..3 {
            let id = format!("r{number}");
            let answer = engines.deployment.ask("/report/7", &id).await;
            assert_eq!((answer.status, answer.body), (200, all_events()));
        }
        assert_eq!(prefill.prompts(), 0);
    });
}

/// Guards against a generation at one version from a prompt that another one computed.
#[test]
fn a_prompt_is_not_used_at_a_version_that_registered_while_it_was_computed() {
    run_test(async {
        let engines = Engines::start().await;
        let deployment = &engines.deployment;
        let gateway = &deployment.running.gateway;
        let load = Load {
            running: 20,
            ..Load::default()
        };
        gateway.placer().load_view.add("i-d1", load);
        deployment.prefill.inject_fault(Fault::Slow(SLOW_PROMPT_MS));
        let register = async {
            wait_until(|| deployment.prefill.pending_faults() == 0).await;
            for engine in &deployment.engines {
                engine.set_version("v2");
                engine.replace_process();
                engine.register(&deployment.store, "ready");
            }
        };
        let (answer, ()) = tokio::join!(deployment.ask("/report/7", "r1"), register);
        assert_eq!((answer.status, answer.body), (200, all_events()));
        assert_eq!(deployment.prefill.prompts(), 1);
        for engine in &deployment.engines {
            let used = engine
                .headers()
                .iter()
                .any(|headers| headers.contains_key("x-kv-source"));
            assert!(!used);
        }
    });
}

/// Guards against a refusal because the only engine of a version started again and registers late.
#[test]
fn a_stream_waits_for_the_entry_of_a_process_that_started_again() {
    run_test(async {
        let engines = Engines::start().await;
        let store = &engines.deployment.store;
        let gateway = &engines.deployment.running.gateway;
        engines.begin("r1").await;
        engines.engine(1).register(store, "draining");
        wait_until(|| gateway.target("i-d2").is_none()).await;
        let first = engines.engine(0);
        first.replace_process();
        gateway.pool.close_all_idle();
        let register = async {
            wait_until(|| gateway.target("i-d1").is_none()).await;
            first.register(store, "ready");
        };
        let resumed = engines.resume(&engines.deployment.running, "r2", "r1");
        let (answer, ()) = tokio::join!(resumed, register);
        assert_eq!((answer.status, answer.body), (200, rest()));
        assert_eq!(first.runs("r2"), 1);
    });
}
