//! Requests with a prompt part on which engines crash, and requests that crash targets as a whole.

use std::time::Duration;

use cactuslane_gateway::GatewayHandle;
use cactuslane_platform_standin::{Target, TargetKind, caller};
use tokio::time::{Instant, sleep};
use yare::parameterized;

use crate::deployment::{CallerAnswer, Deployment, deploy, read_answer, run_test, start_fleet};

/// Part on which the engines crash.
const DEADLY: &str = "dead";
/// Number of engines that generate.
const ENGINES: usize = 6;
/// Number of crashes after which no more requests with the part may be sent.
const CRASHES: usize = 5;
/// Number of crashes after which a request may no longer be sent that crashes targets as a whole.
const REQUEST_CRASHES: usize = 3;
/// Time after these crashes from which that holds.
const REACTION_TIME: Duration = Duration::from_secs(3);
/// Number of requests with the part that may still arrive then.
const ALLOWED: usize = 3;
/// Pause between requests.
const INTERVAL: Duration = Duration::from_millis(40);

/// A deployment of several instances with engines that crash on a part.
struct Crashing {
    /// The stand-ins and the first instance.
    deployment: Deployment,
    /// The other instances.
    others: Vec<GatewayHandle>,
    /// Number of crashes that the store entries of the engines show.
    registered: usize,
    /// Number of requests sent.
    sent: usize,
}

impl Crashing {
    /// Starts the instances and the engines.
    async fn start() -> Self {
        let mut deployment = deploy().await;
        for number in deployment.engines.len()..ENGINES {
            let id = format!("i-d{}", number + 1);
            let engine = Target::bind(&id, TargetKind::Decode, &deployment.store).await;
            deployment
                .engines
                .push(engine.expect("a port can be bound"));
        }
        let others = start_fleet(&deployment).await;
        Self {
            deployment,
            others,
            registered: 0,
            sent: 0,
        }
    }

    /// Sends a request with these shared parts, which equals no other, to the next instance, and
    /// returns the answer.
    async fn ask(&mut self, shared: &[&str]) -> CallerAnswer {
        let path = format!("/summary/{}", self.sent);
        self.ask_path(&path, shared).await
    }

    /// Sends a request with this path and these shared parts to the next instance, and returns the
    /// answer.
    async fn ask_path(&mut self, path: &str, shared: &[&str]) -> CallerAnswer {
        sleep(INTERVAL).await;
        let crashes = self.crashes().len();
        if crashes > self.registered {
            self.registered = crashes;
            let engines = self.deployment.engines.iter();
            for engine in engines.chain(&self.deployment.workers) {
                engine.register(&self.deployment.store, "ready");
            }
        }
        self.sent += 1;
        let instance = match self.sent % (self.others.len() + 1) {
            0 => &self.deployment.running,
            number => &self.others[number - 1],
        };
        let front = instance.gateway.settings().front;
        let id = format!("r{}", self.sent);
        let request = caller::request_with_parts(front, path, &id, shared);
        let response = self.deployment.client.send(request).await;
        read_answer(response.expect("the request is answered")).await
    }

    /// Returns the times of all crashes, in order.
    fn crashes(&self) -> Vec<Instant> {
        let targets = self.deployment.engines.iter();
        let targets = targets.chain(&self.deployment.workers);
        let mut crashes: Vec<Instant> = targets.flat_map(Target::crashes).collect();
        crashes.sort();
        crashes
    }

    /// Returns the number of requests with the part that reached a target after a time.
    fn arrived_since(&self, since: Instant) -> usize {
        let engines = self.deployment.engines.iter();
        let targets = engines.chain(&self.deployment.workers);
        let targets = targets.chain([&self.deployment.prefill]);
        let arrivals = targets.flat_map(Target::deadly_arrivals);
        arrivals.filter(|at| *at > since).count()
    }
}

/// Guards against requests that go on crashing one engine after the other with the same part.
#[test]
fn requests_with_a_part_that_crashes_engines_stop_after_five_crashes() {
    run_test(async {
        let mut fleet = Crashing::start().await;
        let engines = fleet.deployment.engines.iter();
        for engine in engines.chain([&fleet.deployment.prefill]) {
            engine.crash_on(Some(DEADLY));
        }
        let began = Instant::now();
        while began.elapsed() < REACTION_TIME * 4 {
            fleet.ask(&["a1", DEADLY]).await;
            fleet.ask(&["a1"]).await;
            let fifth = fleet.crashes().get(CRASHES - 1).copied();
            if fifth.is_some_and(|fifth| fifth.elapsed() > REACTION_TIME * 2) {
                break;
            }
        }
        let crashes = fleet.crashes();
        if let Some(fifth) = crashes.get(CRASHES - 1) {
            let late = fleet.arrived_since(*fifth + REACTION_TIME);
            assert!(late <= ALLOWED, "{late} after {} crashes", crashes.len());
        }
        for _ in 0..20 {
            let answer = fleet.ask(&["a1"]).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        }
    });
}

/// Guards against equal requests that go on crashing one target after the other.
#[parameterized(
    idempotent = { "/lookup/" },
    not_repeatable = { "/correction/" },
    stream = { "/summary/" },
)]
fn equal_requests_that_crash_targets_stop_after_three_crashes(prefix: &str) {
    run_test(async {
        let mut fleet = Crashing::start().await;
        let (deadly, sound) = (format!("{prefix}dead"), format!("{prefix}7"));
        for target in fleet
            .deployment
            .engines
            .iter()
            .chain(&fleet.deployment.workers)
        {
            target.crash_on_path(&deadly);
        }
        let began = Instant::now();
        while began.elapsed() < REACTION_TIME * 4 {
            fleet.ask_path(&deadly, &["a1"]).await;
            fleet.ask_path(&sound, &["a1"]).await;
            let third = fleet.crashes().get(REQUEST_CRASHES - 1).copied();
            if third.is_some_and(|third| third.elapsed() > REACTION_TIME * 2) {
                break;
            }
        }
        let crashes = fleet.crashes();
        let third = crashes.get(REQUEST_CRASHES - 1).expect("targets crash");
        let late = fleet.arrived_since(*third + REACTION_TIME);
        assert!(late <= ALLOWED, "{late} after {} crashes", crashes.len());
        for _ in 0..20 {
            let answer = fleet.ask_path(&sound, &["a1"]).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        }
    });
}
