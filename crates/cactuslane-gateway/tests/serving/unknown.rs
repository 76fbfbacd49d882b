//! Requests that may have run at one instance and are refused by the next one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuslane_place::ReachReport;
use cactuslane_platform_standin::link::Cut;
use cactuslane_platform_standin::{Fault, caller};
use hyper::header::HeaderValue;
use hyper::{Request, Uri};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;
use yare::parameterized;

use crate::cut::Links;
use crate::deployment::{Deployment, deploy, read_answer, run_test, wait_until};

/// Names of the instances that are asked for help.
const HELPERS: [&str; 2] = ["front-2", "front-3"];
/// Header by which an instance states whether a request may have run before.
const MAY_HAVE_RUN: &str = "cactuslane-may-have-run";
/// Refusal of an instance, which is true of what it did itself.
const NOT_RUN: &str = "HTTP/1.1 503 Service Unavailable\r\nx-request-id: r1\r\nretry-after: 0.5\r\ncontent-length: 19\r\n\r\n{\"error\":\"not run\"}";

/// Instances of which the first that is asked takes a request and gives no answer, and the others refuse
/// it.
struct Helpers {
    /// What the requests that they got stated of runs before, in the order of their arrival.
    stated: Arc<Mutex<Vec<String>>>,
    /// Tasks that serve them, and report that they reach targets.
    _tasks: JoinSet<()>,
}

impl Helpers {
    /// Starts the instances, and cuts the one of a deployment off from all targets.
    async fn start(deployment: &Deployment) -> Self {
        let links = Links::lay(deployment, &deployment.running).await;
        links.cut(&deployment.running, Cut::Reset);
        let stated: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut tasks = JoinSet::new();
        for name in HELPERS {
            let listener = TcpListener::bind("127.0.0.1:0").await;
            let listener = listener.expect("a port can be bound");
            let address: SocketAddr = listener.local_addr().expect("it is bound");
            let entry = json!({
                "instance": name, "front": "127.0.0.1:9", "peer": address, "domain": "a",
                "leaving": false, "started": 1, "compares": true,
            });
            let key = format!("cactuslane/instances/{name}");
            deployment.store.write(&key, &entry);
            tasks.spawn(serve(listener, stated.clone()));
        }
        let gateway = deployment.running.gateway.clone();
        let reporting = gateway.clone();
        tasks.spawn(async move {
            loop {
                for name in HELPERS {
                    let now = reporting.now();
                    reporting.members().record_message(name, now);
                    let report = ReachReport {
                        heard_age: Some(0),
                        ..ReachReport::default()
                    };
                    let mut reach = reporting.pool.reach();
                    reach.apply_report(name, report, now);
                }
                sleep(Duration::from_millis(50)).await;
            }
        });
        while !gateway.pool.reach().is_cut() {
            deployment.ask("/lookup/7", "first").await;
        }
        let now = || gateway.now();
        let reached = |name| gateway.members().reachable_address(name, now()).is_some();
        wait_until(|| HELPERS.into_iter().all(reached)).await;
        stated
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
        Self {
            stated,
            _tasks: tasks,
        }
    }

    /// Returns what the requests stated of runs before.
    fn stated(&self) -> Vec<String> {
        let stated = self.stated.lock();
        stated.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Serves requests of other instances.
async fn serve(listener: TcpListener, stated: Arc<Mutex<Vec<String>>>) {
    loop {
        let (mut stream, _) = listener
            .accept()
            .await
            .expect("an instance can be accepted");
        let mut buffer = Vec::new();
        while !String::from_utf8_lossy(&buffer).contains("a body") {
            if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                break;
            }
        }
        let text = String::from_utf8_lossy(&buffer).into_owned();
        let mut lines = text.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(name, _)| *name == MAY_HAVE_RUN);
        let value = found.map_or("", |(_, value)| value).to_owned();
        let is_first = {
            let mut stated = stated.lock().unwrap_or_else(PoisonError::into_inner);
            stated.push(value);
            stated.len() == 1
        };
        if !is_first {
            let _ = stream.write_all(NOT_RUN.as_bytes()).await;
        }
    }
}

/// Guards against a caller who is told that its request did not run, as the second instance that was asked
/// says so, though the first one may have run it.
#[parameterized(
    plain = { "/lookup/7" },
    stream = { "/summary/7" },
)]
fn a_refusal_after_an_unknown_outcome_is_no_promise(path: &str) {
    run_test(async {
        let deployment = deploy().await;
        let helpers = Helpers::start(&deployment).await;
        let answer = deployment.ask(path, "r1").await;
        assert_eq!(helpers.stated(), ["0", "1"], "{answer:?}");
        assert_eq!((answer.status, answer.retry_after), (502, false));
    });
}

/// Guards against a request that must not be repeated and is sent to a second instance after an unknown
/// outcome.
#[parameterized(
    plain = { "/correction/7" },
    stream = { "/report/7" },
)]
fn a_request_that_must_not_be_repeated_is_passed_on_once(path: &str) {
    run_test(async {
        let deployment = deploy().await;
        let helpers = Helpers::start(&deployment).await;
        let answer = deployment.ask(path, "r1").await;
        assert_eq!(helpers.stated(), ["0"], "{answer:?}");
        assert_eq!((answer.status, answer.retry_after), (502, false));
    });
}

/// Guards against an instance that says of a request which was passed on to it that it did not run,
/// though it may have run before, and against one that says so for an instance that states nothing.
#[parameterized(
    has_not_run = { Some("0"), 503 },
    may_have_run = { Some("1"), 502 },
    is_not_stated = { None, 502 },
    is_unreadable = { Some("no"), 502 },
)]
fn an_instance_promises_no_more_than_the_one_that_passed_a_request_on(
    stated: Option<&'static str>,
    status: u16,
) {
    for path in ["/lookup/7", "/correction/7", "/summary/7", "/report/7"] {
        run_test(async {
            let deployment = deploy().await;
            for target in deployment.workers.iter().chain(&deployment.engines) {
                for _ in 0..8 {
                    target.inject_fault(Fault::Reject);
                }
            }
            let peer = deployment.running.gateway.settings().peer;
            let mut request: Request<_> = caller::request(deployment.front(), path, "r1");
            let uri = format!("http://{peer}{path}").parse::<Uri>();
            *request.uri_mut() = uri.expect("it is a URI");
            let headers = request.headers_mut();
            headers.insert("cactuslane-passed-by", HeaderValue::from_static("front-2"));
            let config = deployment.running.gateway.routing_config();
            let config = config.expect("one is in force").config_position();
            let config = HeaderValue::try_from(config.to_string()).expect("it is a value");
            headers.insert("cactuslane-configuration", config);
            if let Some(stated) = stated {
                headers.insert(MAY_HAVE_RUN, HeaderValue::from_static(stated));
            }
            let answer = deployment.client.send(request).await;
            let answer = read_answer(answer.expect("the request is answered")).await;
            assert_eq!(answer.status, status, "{path}: {answer:?}");
            assert_eq!(deployment.runs("r1"), 0);
        });
    }
}
