//! Instances that are cut off from all targets while callers and other instances reach them.

use std::net::SocketAddr;

use cactuslane_gateway::GatewayHandle;
use cactuslane_place::ReachReport;
use cactuslane_platform_standin::link::{Blackhole, Cut, Link};
use cactuslane_platform_standin::{Fault, Target, caller};
use hyper::header::HeaderValue;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use yare::parameterized;

use crate::deployment::{
    Deployment, all_events, deploy, read_answer, run_test, start_fleet, start_instance, wait_until,
};
use crate::lines;

/// Address at which nothing listens.
const CLOSED: &str = "127.0.0.1:1";
/// Number of requests in a row that must be served by an instance that is cut off.
const SERVED: u32 = 12;

/// The links between an instance and all targets of a deployment.
pub struct Links {
    /// Address of each target, with the link to it.
    links: Vec<(SocketAddr, Link)>,
    /// Address to which no connection is made.
    blackhole: Blackhole,
}

impl Links {
    /// Leads the connections of an instance to all targets through links.
    pub async fn lay(deployment: &Deployment, running: &GatewayHandle) -> Self {
        let blackhole = Blackhole::bind().await.expect("a port can be bound");
        let mut links = Self {
            links: Vec::new(),
            blackhole,
        };
        let targets = deployment.workers.iter().chain(&deployment.engines);
        for target in targets.chain([&deployment.prefill]) {
            links.add(running, target.address).await;
            running.gateway.pool.close_idle(&target.id);
        }
        links
    }

    /// Leads the new connections of an instance to a target through a link.
    pub async fn add(&mut self, running: &GatewayHandle, target: SocketAddr) {
        let link = Link::bind(target).await.expect("a port can be bound");
        running.gateway.pool.use_proxy(target, link.address);
        self.links.push((target, link));
    }

    /// Cuts all links: new connections hang or are refused.
    pub fn cut(&self, running: &GatewayHandle, cut: Cut) {
        let unreachable = match cut {
            Cut::Hang => self.blackhole.address,
            Cut::Reset => CLOSED.parse().expect("it is an address"),
        };
        for (target, link) in &self.links {
            running.gateway.pool.use_proxy(*target, unreachable);
            link.set_cut(Some(cut));
        }
    }

    /// Restores all links.
    pub fn heal(&self, running: &GatewayHandle) {
        for (target, link) in &self.links {
            running.gateway.pool.use_proxy(*target, link.address);
            link.set_cut(None);
        }
    }
}

/// Sends requests of all kinds until so many in a row are served, and returns their ids.
pub async fn serve_in_a_row(deployment: &Deployment, name: &str) -> Vec<String> {
    let mut served = Vec::new();
    let mut number = 0;
    while served.len() < SERVED as usize {
        number += 1;
        let id = format!("{name}-{number}");
        let path = ["/lookup/7", "/correction/7", "/summary/7", "/report/7"][number % 4];
        let answer = deployment.ask(path, &id).await;
        let is_stream = number % 4 > 1;
        let whole = answer.complete && (!is_stream || answer.body == all_events());
        if answer.status == 200 && whole {
            served.push(id);
        } else {
            served.clear();
        }
    }
    served
}

/// Guards against refusals of callers by an instance that alone lost its links to all targets.
#[parameterized(
    hanging = { Cut::Hang },
    reset = { Cut::Reset },
)]
fn callers_of_an_instance_that_is_cut_off_from_all_targets_are_served(cut: Cut) {
    run_test(async move {
        let deployment = deploy().await;
        let _fleet = start_fleet(&deployment).await;
        let links = Links::lay(&deployment, &deployment.running).await;
        serve_in_a_row(&deployment, "before").await;
        let _streams = [
            deployment.send("/report/7", "open-1").await,
            deployment.send("/summary/7", "open-2").await,
        ];
        links.cut(&deployment.running, cut);
        for id in serve_in_a_row(&deployment, "during").await {
            assert_eq!(deployment.runs(&id), 1, "{id}");
        }
        // No target has crashed, so that no request or part of a prompt may be held.
        let gateway = &deployment.running.gateway;
        let crashes = gateway.crashes().update(gateway.now());
        assert_eq!((crashes.reports, crashes.held), (vec![], vec![]));
        links.heal(&deployment.running);
        for id in serve_in_a_row(&deployment, "after").await {
            assert_eq!(deployment.runs(&id), 1, "{id}");
        }
    });
}

/// Guards against requests that go from one instance to the next, and against one that waits for
/// its deadline when no instance can serve it.
#[test]
fn a_request_is_not_passed_on_twice() {
    run_test(async {
        let deployment = deploy().await;
        let other = start_instance("front-2", &deployment.store).await;
        let knows = |running: &GatewayHandle| running.gateway.alive_peers() == 1;
        wait_until(|| knows(&deployment.running) && knows(&other)).await;
        let links = Links::lay(&deployment, &deployment.running).await;
        serve_in_a_row(&deployment, "before").await;
        links.cut(&deployment.running, Cut::Reset);
        serve_in_a_row(&deployment, "during").await;
        let more_links = Links::lay(&deployment, &other).await;
        more_links.cut(&other, Cut::Reset);
        // The last answers of targets still count for the other instance until its links fail.
        let mut refused = 0;
        while refused < 3 {
            let id = format!("refused-{refused}");
            let answer = deployment.ask("/correction/7", &id).await;
            if answer.status == 503 {
                assert!(answer.retry_after);
                assert_eq!(deployment.runs(&id), 0);
                refused += 1;
            }
        }
        // Requests are passed on before it is certain that the instance is cut off.
        wait_until(|| deployment.running.gateway.pool.reach().is_cut()).await;
    });
}

/// Guards against a stream that begins once more, or goes on at another event, because the request that
/// takes it up loses its place when another instance serves it.
#[parameterized(
    plain = { None },
    named_by_connection = { Some("last-event-id, resumes") },
)]
fn a_stream_that_is_taken_up_goes_on_at_its_place_at_another_instance(connection: Option<&str>) {
    let connection = connection.map(|names| HeaderValue::from_str(names).expect("it is a value"));
    let is_odd = connection.is_some();
    let id = format!("{}{is_odd}", lines::WATCHED);
    lines::watch();
    run_test(async move {
        let deployment = deploy().await;
        let other = start_instance("front-2", &deployment.store).await;
        let knows = |running: &GatewayHandle| running.gateway.alive_peers() == 1;
        wait_until(|| knows(&deployment.running) && knows(&other)).await;
        let links = Links::lay(&deployment, &deployment.running).await;
        serve_in_a_row(&deployment, "before").await;
        let first = deployment.ask("/summary/7", "r1").await;
        assert_eq!((first.status, first.body), (200, all_events()));
        links.cut(&deployment.running, Cut::Reset);
        serve_in_a_row(&deployment, "during").await;
        wait_until(|| deployment.running.gateway.pool.reach().is_cut()).await;
        let mut request = caller::resumption(deployment.front(), "/summary/7", &id, "r1", 3);
        if let Some(names) = connection {
            request.headers_mut().insert("connection", names);
        }
        let response = deployment.client.send(request).await;
        let answer = read_answer(response.expect("it is answered")).await;
        let at = all_events().find("id: 4").expect("there is such an event");
        let whole = (answer.status, answer.complete, answer.body.as_str());
        assert_eq!(whole, (200, true, &all_events()[at..]));
        assert!(deployment.running.gateway.pool.reach().is_cut());
        // The log tells who passed the request on, whether its headers were odd and what came first.
        let odd = is_odd.to_string();
        for (event, fields) in [
            (
                "request passed on",
                &[
                    ("last_event", "3"),
                    ("resumes", "r1"),
                    ("odd_headers", odd.as_str()),
                ],
            ),
            (
                "stream is taken up",
                &[
                    ("passed_by", "front-1"),
                    ("odd_headers", "false"),
                    ("last_event", "3"),
                ],
            ),
            (
                "stream ended",
                &[
                    ("passed_by", "front-1"),
                    ("resumed_after", "3"),
                    ("first_event", "4"),
                ],
            ),
        ] {
            let line = lines::watched(&id, event);
            for (name, value) in fields {
                assert_eq!(
                    line.get(*name).map(String::as_str),
                    Some(*value),
                    "{event} {name}"
                );
            }
        }
        // The computation of a prompt names the same place as the run.
        let asked = deployment.engines.iter().chain([&deployment.prefill]);
        let headers: Vec<_> = asked.flat_map(Target::headers).collect();
        let of_caller = headers.iter().filter(|sent| sent["x-request-id"] == *id);
        for sent in of_caller {
            let text = |name: &str| sent[name].to_str().expect("it is text");
            assert_eq!((text("last-event-id"), text("resumes")), ("3", "r1"));
        }
    });
}

/// Guards against the claim that a request did not run which an instance took and did not answer,
/// and against its repetition.
#[parameterized(
    not_repeatable = { "/correction/7", 502, 1 },
    stream = { "/report/7", 502, 1 },
    repeatable = { "/lookup/7", 502, 2 },
)]
fn a_request_that_is_lost_with_other_instances_is_not_said_not_to_have_run(
    path: &str,
    status: u16,
    sent: usize,
) {
    let path = path.to_owned();
    run_test(async move {
        let deployment = deploy().await;
        let links = Links::lay(&deployment, &deployment.running).await;
        links.cut(&deployment.running, Cut::Reset);
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port can be bound");
        let peer = listener.local_addr().expect("it is bound");
        let gateway = deployment.running.gateway.clone();
        for name in ["lost-1", "lost-2"] {
            let entry = json!({
                "instance": name, "front": "127.0.0.1:9", "peer": peer, "domain": "a",
                "leaving": false, "started": 1, "compares": true,
            });
            let key = format!("cactuslane/instances/{name}");
            deployment.store.write(&key, &entry);
            wait_until(|| {
                let now = gateway.now();
                let mut members = gateway.members();
                members.record_message(name, now);
                members.reachable_address(name, now).is_some()
            })
            .await;
        }
        let reporting = tokio::spawn({
            let gateway = gateway.clone();
            async move {
                loop {
                    let now = gateway.now();
                    for name in ["lost-1", "lost-2"] {
                        gateway.members().record_message(name, now);
                        let report = ReachReport {
                            heard_age: Some(0),
                            ..ReachReport::default()
                        };
                        gateway.pool.reach().apply_report(name, report, now);
                    }
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            }
        });
        let taken = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut buffer = [0; 4096];
                let _ = stream.read(&mut buffer).await;
            }
        });
        let _ = deployment.ask("/lookup/7", "first").await;
        wait_until(|| gateway.pool.reach().is_cut()).await;
        let before = gateway.metrics.text(&gateway);
        let answer = deployment.ask(&path, "once").await;
        assert_eq!(answer.status, status, "{}", answer.body);
        let after = gateway.metrics.text(&gateway);
        let broken = |text: &str| {
            let line = text
                .lines()
                .find(|line| line.contains("passed_requests") && line.contains("broken"));
            line.and_then(|line| line.rsplit(' ').next()?.parse::<usize>().ok())
                .unwrap_or(0)
        };
        assert_eq!(broken(&after) - broken(&before), sent);
        assert_eq!(deployment.runs("once"), 0);
        reporting.abort();
        taken.abort();
    });
}

/// Guards against a target's answer that is taken for that of an instance which declines a request,
/// so that the request runs again.
#[test]
fn a_target_cannot_answer_for_an_instance() {
    run_test(async {
        let deployment = deploy().await;
        let _fleet = start_fleet(&deployment).await;
        let links = Links::lay(&deployment, &deployment.running).await;
        links.cut(&deployment.running, Cut::Reset);
        serve_in_a_row(&deployment, "during").await;
        // The faults are for the requests of this test alone, as there are no others.
        for number in 0..3 {
            for worker in &deployment.workers {
                while worker.pending_faults() == 0 {
                    worker.inject_fault(Fault::Decline);
                }
            }
            let id = format!("once-{number}");
            let response = deployment.send("/correction/7", &id).await;
            assert!(!response.headers().contains_key("cactuslane-declined"));
            assert_eq!(read_answer(response).await.status, 200);
            assert_eq!(deployment.runs(&id), 1);
        }
    });
}

/// Guards against a way for callers to be taken for another instance, whose requests are never
/// passed on.
#[test]
fn callers_cannot_claim_to_be_another_instance() {
    run_test(async {
        let deployment = deploy().await;
        let _fleet = start_fleet(&deployment).await;
        let links = Links::lay(&deployment, &deployment.running).await;
        links.cut(&deployment.running, Cut::Reset);
        let mut served = 0;
        while served < 3 {
            let id = format!("claim-{served}");
            let mut request = caller::request(deployment.front(), "/correction/7", &id);
            let name = "cactuslane-passed-by";
            request
                .headers_mut()
                .insert(name, HeaderValue::from_static("front-9"));
            let response = deployment
                .client
                .send(request)
                .await
                .expect("it is answered");
            if read_answer(response).await.status == 200 {
                assert_eq!(deployment.runs(&id), 1);
                served += 1;
            }
        }
    });
}
