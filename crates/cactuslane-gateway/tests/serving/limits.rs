//! Limits that targets name for the requests of all instances together.

use std::time::Duration;

use cactuslane_gateway::GatewayHandle;
use cactuslane_place::Load;
use cactuslane_platform_standin::{Target, TargetKind, caller};
use hyper::Response;
use hyper::body::Incoming;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use yare::parameterized;

use crate::deployment::{
    Deployment, deploy, read_answer, run_test, start_fleet, start_instance, wait_until,
};

/// Number of requests by which an instance should have got an answer that names the limit.
const FIRST_REQUESTS: usize = 5;
/// Number of requests to each instance while the limit is observed.
const REQUESTS: usize = 20;
/// Time after an answer that names a limit from which an instance must keep it.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Length of the window in which the limit is observed, in seconds.
const WINDOW: f64 = 4.0;

/// Sends a request to an instance and returns the answer once its head has arrived.
async fn send(
    deployment: &Deployment,
    to: &GatewayHandle,
    path: &str,
    id: &str,
) -> Response<Incoming> {
    let request = caller::request(to.gateway.settings().front, path, id);
    let response = deployment.client.send(request).await;
    response.expect("the request is answered")
}

/// Returns the number of orders of an instance that engines have refused.
fn refused_orders(instance: &GatewayHandle) -> u64 {
    let metrics = instance.gateway.metrics.text(&instance.gateway);
    let mut lines = metrics.lines();
    let count = lines.find_map(|line| line.split_once("orders_total{result=\"refused\"} "));
    count.map_or(0, |(_, count)| count.parse().expect("it is a count"))
}

/// Guards against instances that go on sending at their own rates to a target that has named a
/// limit for all of them together.
#[parameterized(
    plain = { "/lookup/7", |deployment| &deployment.workers[0], 2.0, 0 },
    decode_engine = { "/summary/7", |deployment| &deployment.engines[0], 2.0, 0 },
    prefill_engine = { "/summary/7", |deployment| &deployment.prefill, 2.0, 2 },
    below_one_request_an_instance = { "/lookup/7", |deployment| &deployment.workers[0], 0.5, 0 },
)]
fn a_target_gets_no_more_than_its_limit_from_all_instances(
    path: &str,
    limited: fn(&Deployment) -> &Target,
    limit: f64,
    orders: u64,
) {
    run_test(async {
        let deployment = deploy().await;
        let others = start_fleet(&deployment).await;
        let fleet: Vec<&GatewayHandle> = others.iter().chain([&deployment.running]).collect();
        limited(&deployment).name_limit(Some(limit));
        for (number, instance) in fleet.iter().enumerate() {
            for request in 0..FIRST_REQUESTS {
                let id = format!("first-{number}-{request}");
                let response = send(&deployment, instance, path, &id).await;
                let told = response.headers().contains_key(caller::LIMIT_HEADER);
                read_answer(response).await;
                if told {
                    break;
                }
            }
        }
        sleep(REACTION_TIME).await;
        // Without an engine for prompts that has no limit, each other one is asked once to become one,
        // and gets no new work meanwhile: the engine that is left may be too busy for all requests.
        wait_until(|| {
            fleet
                .iter()
                .map(|instance| refused_orders(instance))
                .sum::<u64>()
                >= orders
        })
        .await;
        let began = Instant::now();
        let mut requests = JoinSet::new();
        for (number, instance) in fleet.iter().enumerate() {
            let front = instance.gateway.settings().front;
            for request in 0..REQUESTS {
                let id = format!("later-{number}-{request}");
                let request = caller::request(front, path, &id);
                let client = deployment.client.clone();
                requests.spawn(async move {
                    let response = client.send(request).await;
                    read_answer(response.expect("the request is answered")).await
                });
            }
        }
        while let Some(answer) = requests.join_next().await {
            let answer = answer.expect("the request is sent");
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        let window = began.elapsed().as_secs_f64().max(WINDOW);
        let allowed = limit * window * 1.5 + 5.0;
        let arrivals = limited(&deployment).arrivals();
        let arrived = arrivals.iter().filter(|at| **at >= began).count();
        assert!(arrived as f64 <= allowed, "{arrived} of {allowed} allowed");
    });
}

/// Sends requests until an instance knows the limits of `count` targets.
async fn learn_limits(deployment: &Deployment, count: usize) {
    let gateway = &deployment.running.gateway;
    let mut number = 0;
    while gateway.placer().limits.count() != count {
        number += 1;
        deployment
            .ask("/lookup/7", &format!("learn-{count}-{number}"))
            .await;
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn requests_beyond_the_limits_of_all_targets_are_refused_without_a_run() {
    run_test(async {
        let deployment = deploy().await;
        for worker in &deployment.workers {
            worker.name_limit(Some(0.5));
        }
        learn_limits(&deployment, 2).await;
        let began = Instant::now();
        let mut served = 0;
        for number in 0..20 {
            let id = format!("r{number}");
            let answer = deployment.ask("/lookup/7", &id).await;
            if answer.status == 200 {
                served += 1;
                continue;
            }
            assert_eq!((answer.status, answer.retry_after), (503, true));
            assert_eq!(deployment.runs(&id), 0);
        }
        let allowed = 2.0 * (0.5 * began.elapsed().as_secs_f64() + 1.5);
        assert!(f64::from(served) <= allowed, "{served} of {allowed}");
    });
}

#[test]
fn no_request_is_refused_for_limits_while_a_target_without_one_is_left() {
    run_test(async {
        let deployment = deploy().await;
        let mut limited = Vec::new();
        for number in 3..9 {
            let id = format!("i-w{number}");
            let worker = Target::bind(&id, TargetKind::Plain, &deployment.store).await;
            limited.push(worker.expect("a port can be bound"));
            limited[number - 3].name_limit(Some(0.2));
        }
        deployment.workers[1].name_limit(Some(0.2));
        let gateway = deployment.running.gateway.clone();
        wait_until(|| gateway.target("i-w8").is_some()).await;
        learn_limits(&deployment, limited.len() + 1).await;
        // The target without a limit looks busy, so that the others are chosen first.
        let busy = Load {
            running: 30,
            ..Load::default()
        };
        let id = &deployment.workers[0].id;
        gateway.placer().load_view.add(id, busy);
        for number in 0..10 {
            let answer = deployment.ask("/lookup/7", &format!("r{number}")).await;
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn a_limit_ends_when_the_target_names_none() {
    run_test(async {
        let deployment = deploy().await;
        deployment.workers[0].name_limit(Some(4.0));
        learn_limits(&deployment, 1).await;
        deployment.workers[0].name_limit(None);
        learn_limits(&deployment, 0).await;
    });
}

#[test]
fn an_instance_that_starts_learns_of_limits_from_the_others() {
    run_test(async {
        let deployment = deploy().await;
        deployment.workers[0].name_limit(Some(4.0));
        learn_limits(&deployment, 1).await;
        let other = start_instance("front-2", &deployment.store).await;
        wait_until(|| other.gateway.placer().limits.count() == 1).await;
    });
}

/// Guards against an engine that is left idle beside an overloaded one, as its stand-in took an order for a
/// request.
#[test]
fn an_engine_that_refuses_an_order_is_used_as_before() {
    run_test(async {
        let deployment = deploy().await;
        deployment.prefill.name_limit(Some(2.0));
        let gateway = &deployment.running.gateway;
        let ordered = |result: &str| {
            let metrics = gateway.metrics.text(gateway);
            metrics.contains(&format!("orders_total{{result=\"{result}"))
        };
        // Without an engine for prompts that has no limit, one of the others is to become one.
        let mut number = 0;
        while !ordered("") {
            number += 1;
            deployment.ask("/summary/7", &format!("r{number}")).await;
        }
        assert!(ordered("refused"));
        assert_eq!(deployment.runs(""), 0);
    });
}
