//! Keys of customers: who is served, what targets get, and what happens when a key is removed.

use std::net::IpAddr;
use std::time::Duration;

use cactuslane_platform_standin::link::Cut;
use cactuslane_platform_standin::{HOST, Mode, Target, caller, document};
use hyper::Request;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use yare::parameterized;

use crate::cut::Links;
use crate::deployment::{
    CallerAnswer, Deployment, all_events, deploy, read_answer, run_test, start_fleet,
    start_instance, wait_until,
};
use crate::lines::{SECRET, collect_leaks, leaks};

/// Time within which an answer must arrive that waits for nothing.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of requests that must be served by other instances.
const PASSED: u32 = 12;

/// Returns a document with customers, and one public route.
pub fn keyed(version: u64, customers: &Value) -> Value {
    let mut document = document(version);
    document["tenants"] = customers.clone();
    let routes = document["routes"].as_array_mut().expect("it has routes");
    let mut public = routes[0].clone();
    public["name"] = json!("open");
    public["prefix"] = json!("/open/");
    public["public"] = json!(true);
    routes.push(public);
    document
}

/// Returns two customers, the second of which has a priority.
pub fn two_customers() -> Value {
    json!([
        { "name": "acme", "api_keys": [SECRET, "k-2"] },
        { "name": "bolt", "api_keys": ["k-3"], "priority": 4 },
    ])
}

/// Starts a deployment with two customers.
pub async fn deploy_keyed() -> Deployment {
    let deployment = deploy().await;
    configure(&deployment, &keyed(4, &two_customers())).await;
    deployment
}

/// Writes a configuration and waits until the instance applies it.
pub async fn configure(deployment: &Deployment, document: &Value) {
    deployment.store.configure(document);
    let gateway = &deployment.running.gateway;
    let version = document["version"].as_u64();
    wait_until(|| gateway.routing_config().map(|config| config.version) == version).await;
}

/// Returns the head and body of a request on a connection of its own making.
fn raw(path: &str, id: &str, lines: &str, body: &str) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n{lines}\r\n");
    [head.as_bytes(), body.as_bytes()].concat()
}

/// Sends bytes and reads one answer whose body has a length; returns its status, head and body.
async fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> (u16, String) {
    stream.write_all(bytes).await.expect("it is sent");
    let mut read = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&read).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            if body.len() >= length.expect("it has a length") {
                let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
                return (status.expect("it has a status"), text);
            }
        }
        let mut chunk = [0; 1024];
        let length = timeout(ANSWER_TIMEOUT, stream.read(&mut chunk)).await;
        let length = length.expect("it is answered").expect("it can be read");
        assert!(length > 0, "closed after {text:?}");
        read.extend_from_slice(&chunk[..length]);
    }
}

/// Sends a request with headers and reads the answer.
pub async fn ask(
    deployment: &Deployment,
    path: &str,
    id: &str,
    lines: &[(&str, &str)],
) -> CallerAnswer {
    let request = caller::request(deployment.front(), path, id);
    send(deployment, with_headers(request, lines)).await
}

/// Sends a request and reads the answer.
pub async fn send<B>(deployment: &Deployment, request: Request<B>) -> CallerAnswer
where
    B: Into<http_body_util::Full<hyper::body::Bytes>>,
{
    let request = request.map(Into::into);
    let response = deployment.client.send(request).await;
    read_answer(response.expect("it is answered")).await
}

/// Adds headers to a request.
pub fn with_headers<B>(mut request: Request<B>, lines: &[(&str, &str)]) -> Request<B> {
    for (name, value) in lines {
        let name: HeaderName = name.parse().expect("it is a name");
        let value = HeaderValue::from_str(value).expect("it is a value");
        request.headers_mut().append(name, value);
    }
    request
}

/// Returns the headers that the targets of a deployment got.
fn headers_at_targets(deployment: &Deployment) -> Vec<HeaderMap> {
    let targets = deployment.workers.iter().chain(&deployment.engines);
    let targets = targets.chain([&deployment.prefill]);
    targets.flat_map(Target::headers).collect()
}

/// Returns all values of the customer's name in the headers of a request.
fn names(headers: &HeaderMap) -> Vec<&str> {
    let values = headers.get_all("x-tenant").iter();
    values.map(|value| value.to_str().unwrap_or("?")).collect()
}

/// Guards against a request that runs without a key, and against an answer that waits for the body.
#[parameterized(
    missing = { b"", "no key" },
    unknown = { b"authorization: Bearer sk-secret-70\r\n", "unknown key" },
    longer = { b"authorization: Bearer sk-secret-711\r\n", "unknown key" },
    other_case = { b"authorization: Bearer SK-SECRET-71\r\n", "unknown key" },
    no_scheme = { b"authorization: sk-secret-71\r\n", "malformed key" },
    other_scheme = { b"authorization: Basic sk-secret-71\r\n", "malformed key" },
    empty = { b"authorization: Bearer \r\n", "malformed key" },
    any_bytes = { b"authorization: Bearer \xff\xfe\x80\r\n", "unknown key" },
    not_credentials = { b"authorization: \xff\r\n", "malformed key" },
    twice = { b"authorization: Bearer sk-secret-71\r\nAuthorization: Bearer k-2\r\n", "malformed key" },
    elsewhere = { b"x-tenant: acme\r\nproxy-authorization: Bearer sk-secret-71\r\n", "no key" },
    passed_on = { b"cactuslane-passed-by: front-2\r\n", "no key" },
)]
fn a_request_without_a_known_key_is_rejected_before_its_body(line: &[u8], cause: &str) {
    run_test(async move {
        let deployment = deploy_keyed().await;
        for path in ["/lookup/7", "/correction/7", "/summary/7", "/report/7"] {
            let mut stream = TcpStream::connect(deployment.front())
                .await
                .expect("it accepts");
            let mut bytes = raw(path, "r1", "content-length: 1000\r\n", "");
            bytes.truncate(bytes.len() - 2);
            bytes.extend_from_slice(line);
            bytes.extend_from_slice(b"\r\n");
            let (status, text) = exchange(&mut stream, &bytes).await;
            assert_eq!(status, 401, "{text}");
            let lower = text.to_ascii_lowercase();
            assert!(lower.contains("x-request-id: r1"), "{text}");
            assert!(lower.contains("www-authenticate: bearer"), "{text}");
            assert!(
                text.contains(cause) && !text.contains("sk-secret"),
                "{text}"
            );
        }
        let seen = headers_at_targets(&deployment);
        assert_eq!(seen.len(), 0, "{seen:?}");
        let metrics = deployment
            .running
            .gateway
            .metrics
            .text(&deployment.running.gateway);
        let counted = format!("cause=\"{cause}\"}} 4");
        assert!(metrics.contains(&counted), "{metrics}");
        assert!(!metrics.contains("sk-secret"), "{metrics}");
    });
}

/// Guards against requests at a target that instances of another deployment send to one with its id,
/// whose port was free to be given again.
#[test]
fn deployments_share_no_address() {
    run_test(async {
        let (first, second) = (deploy().await, deploy().await);
        let hosts = |deployment: &Deployment| {
            let targets = deployment.workers.iter().chain(&deployment.engines);
            let targets = targets.chain([&deployment.prefill]);
            let mut hosts: Vec<IpAddr> = targets.map(|target| target.address.ip()).collect();
            hosts.extend([deployment.store.address.ip(), deployment.front().ip()]);
            hosts
        };
        let others = hosts(&second);
        for host in hosts(&first) {
            assert!(!others.contains(&host), "{host} of {others:?}");
        }
    });
}

/// Guards against keys at targets and names that callers choose, on each kind of route and at both
/// engines of a generation.
#[parameterized(
    key = { &[("authorization", "Bearer sk-secret-71")], "acme" },
    second_key = { &[("authorization", "bearer  k-2")], "acme" },
    other_customer = { &[("authorization", "Bearer k-3")], "bolt" },
    name_sent = { &[("authorization", "Bearer sk-secret-71"), ("X-Tenant", "bolt")], "acme" },
    name_sent_twice = { &[("x-tenant", "bolt"), ("x-tenant", "acme"), ("authorization", "Bearer k-3")], "bolt" },
    name_in_connection = { &[("authorization", "Bearer k-3"), ("x-tenant", "acme"), ("connection", "x-tenant")], "bolt" },
    underscore = { &[("authorization", "Bearer k-3"), ("x_tenant", "acme")], "bolt" },
    key_in_connection = { &[("authorization", "Bearer sk-secret-71"), ("connection", "authorization, x-tenant")], "acme" },
)]
fn targets_get_the_name_of_the_customer_and_no_key(
    lines: &'static [(&'static str, &'static str)],
    name: &'static str,
) {
    run_test(async move {
        let deployment = deploy_keyed().await;
        for path in ["/lookup/7", "/correction/7", "/summary/7", "/report/7"] {
            let answer = ask(&deployment, path, &format!("r{path}"), lines).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        }
        let seen = headers_at_targets(&deployment);
        assert!(
            seen.len() >= 6 && deployment.prefill.prompts() > 0,
            "{}",
            seen.len()
        );
        for headers in seen {
            assert_eq!(names(&headers), [name], "{headers:?}");
            let text = format!("{headers:?}");
            assert!(
                !text.contains("Bearer") && !text.contains("bearer"),
                "{text}"
            );
            assert!(
                !text.contains("x_tenant") && !text.contains(SECRET),
                "{text}"
            );
        }
    });
}

/// Guards against a name in a trailer, which a target may add to the headers.
#[test]
fn trailers_of_a_caller_do_not_reach_targets() {
    run_test(async {
        let deployment = deploy_keyed().await;
        let lines =
            "authorization: Bearer k-3\r\ntransfer-encoding: chunked\r\ntrailer: x-tenant\r\n";
        let body = "3\r\nabc\r\n0\r\nx-tenant: acme\r\nauthorization: Bearer k-2\r\n\r\n";
        let mut stream = TcpStream::connect(deployment.front())
            .await
            .expect("it accepts");
        let (status, text) = exchange(&mut stream, &raw("/lookup/7", "r1", lines, body)).await;
        assert_eq!(status, 200, "{text}");
        let seen = headers_at_targets(&deployment);
        assert_eq!(names(&seen[0]), ["bolt"]);
        assert!(!seen[0].contains_key("trailer") && !seen[0].contains_key("transfer-encoding"));
        let bodies: Vec<_> = deployment.workers.iter().flat_map(Target::bodies).collect();
        assert_eq!(bodies, [&b"abc"[..]]);
    });
}

/// Guards against a name that a caller chose in a deployment without customers, where credentials
/// are the targets' own.
#[test]
fn without_customers_the_name_is_removed_and_credentials_are_forwarded() {
    run_test(async {
        let deployment = deploy().await;
        let lines = [("authorization", "Basic abc"), ("x-tenant", "acme")];
        for path in ["/lookup/7", "/report/7"] {
            let answer = ask(&deployment, path, &format!("r{path}"), &lines).await;
            assert_eq!(answer.status, 200);
        }
        for headers in headers_at_targets(&deployment) {
            assert_eq!(names(&headers), Vec::<&str>::new());
            assert_eq!(headers["authorization"], "Basic abc");
        }
    });
}

#[parameterized(
    no_key = { &[], &[] },
    unknown_key = { &[("authorization", "Bearer sk-secret-70")], &[] },
    malformed = { &[("authorization", "sk-secret-70")], &[] },
    name_sent = { &[("x-tenant", "acme")], &[] },
    known_key = { &[("authorization", "Bearer k-3"), ("x-tenant", "acme")], &["bolt"] },
)]
fn public_routes_need_no_key(
    lines: &'static [(&'static str, &'static str)],
    expected: &'static [&'static str],
) {
    run_test(async move {
        let deployment = deploy_keyed().await;
        let answer = ask(&deployment, "/open/7", "r1", lines).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let seen = headers_at_targets(&deployment);
        assert_eq!(seen.len(), 1);
        assert_eq!(names(&seen[0]), expected);
        assert!(!seen[0].contains_key("authorization"));
    });
}

/// The priority of the customer goes before that of the route, at both engines of a generation.
#[parameterized(
    of_the_customer = { "Bearer k-3", "4" },
    of_the_route = { "Bearer k-2", "1" },
)]
fn a_customer_may_have_a_priority(credentials: &'static str, priority: &'static str) {
    run_test(async move {
        let deployment = deploy_keyed().await;
        let lines = [("authorization", credentials), ("x-request-priority", "0")];
        let answer = ask(&deployment, "/summary/7", "r1", &lines).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let seen = headers_at_targets(&deployment);
        assert_eq!(seen.len(), 2);
        for headers in seen {
            assert_eq!(headers["x-request-priority"], priority);
        }
    });
}

/// Guards against a key that goes on working on a connection that it opened, or for a stream that
/// began with it; a stream in progress is not cut.
#[test]
fn a_removed_key_stops_working_on_open_connections() {
    run_test(async {
        let deployment = deploy_keyed().await;
        let lines = "authorization: Bearer sk-secret-71\r\ncontent-length: 0\r\n";
        let mut stream = TcpStream::connect(deployment.front())
            .await
            .expect("it accepts");
        let (status, text) = exchange(&mut stream, &raw("/lookup/7", "r1", lines, "")).await;
        assert_eq!(status, 200, "{text}");
        let keyed_lines = [("authorization", "Bearer sk-secret-71")];
        let begun = caller::request(deployment.front(), "/summary/7", "s1");
        let begun = deployment
            .client
            .send(with_headers(begun, &keyed_lines))
            .await;
        let customers = json!([
            { "name": "acme", "api_keys": ["k-2", "k-new"] }, { "name": "bolt", "api_keys": ["k-3"] },
        ]);
        configure(&deployment, &keyed(5, &customers)).await;
        let (status, text) = exchange(&mut stream, &raw("/lookup/7", "r2", lines, "")).await;
        assert_eq!(status, 401, "{text}");
        let lines = lines.replace(SECRET, "k-new");
        let (status, text) = exchange(&mut stream, &raw("/lookup/7", "r3", &lines, "")).await;
        assert_eq!(status, 200, "{text}");
        let whole = read_answer(begun.expect("it is answered")).await;
        assert_eq!((whole.complete, whole.body), (true, all_events()));
        let resume = |id| caller::resumption(deployment.front(), "/summary/7", id, "s1", 3);
        let answer = send(&deployment, with_headers(resume("s2"), &keyed_lines)).await;
        assert_eq!(answer.status, 401);
        let answer = send(
            &deployment,
            with_headers(resume("s3"), &[("authorization", "Bearer k-new")]),
        )
        .await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!((deployment.runs("r2"), deployment.runs("s2")), (0, 0));
    });
}

/// Guards against a 401 where the customers are not known, and against a run without a key.
#[test]
fn without_configuration_requests_are_refused_and_not_rejected() {
    run_test(async {
        let deployment = deploy_keyed().await;
        deployment.store.set_mode(Mode::Busy);
        let fresh = start_instance("front-9", &deployment.store).await;
        let front = fresh.gateway.settings().front;
        for lines in [&[][..], &[("authorization", "Bearer k-3")]] {
            let request = with_headers(caller::request(front, "/lookup/7", "r1"), lines);
            let answer = send(&deployment, request).await;
            assert_eq!((answer.status, answer.retry_after), (503, true));
        }
        assert_eq!(deployment.runs("r1"), 0);
    });
}

/// Guards against an instance that finds no key in a request that another one passed on, and
/// against names that the first one's caller chose.
#[test]
fn a_request_that_is_passed_on_keeps_its_customer() {
    run_test(async {
        let deployment = deploy_keyed().await;
        let fleet = start_fleet(&deployment).await;
        let knows = |running: &cactuslane_gateway::GatewayHandle| {
            running
                .gateway
                .routing_config()
                .is_some_and(|config| config.customers.is_some())
        };
        wait_until(|| fleet.iter().all(knows)).await;
        let links = Links::lay(&deployment, &deployment.running).await;
        for path in ["/lookup/7", "/report/7"] {
            let sent = [("authorization", "Bearer sk-secret-71")];
            assert_eq!(ask(&deployment, path, path, &sent).await.status, 200);
        }
        links.cut(&deployment.running, Cut::Reset);
        let mut served = 0;
        // The first requests fail, until the instance knows that it is cut off.
        for number in 0.. {
            let sent = [
                ("authorization", "Bearer sk-secret-71"),
                ("connection", "authorization"),
                ("x-tenant", "bolt"),
            ];
            let path = ["/lookup/7", "/report/7"][number % 2];
            let answer = ask(&deployment, path, &format!("r{number}"), &sent).await;
            assert_ne!(answer.status, 401, "{answer:?}");
            served += u32::from(answer.status == 200);
            let answer = ask(&deployment, path, &format!("u{number}"), &sent[2..]).await;
            assert_eq!(answer.status, 401);
            if served == PASSED {
                break;
            }
        }
        for headers in headers_at_targets(&deployment) {
            assert_eq!(names(&headers), ["acme"]);
            assert!(!headers.contains_key("authorization"));
        }
    });
}

/// Guards against keys in log lines, the configuration's included.
#[test]
fn no_log_line_holds_a_key() {
    collect_leaks();
    run_test(async {
        let deployment = deploy_keyed().await;
        for credentials in [
            "Bearer sk-secret-71",
            "sk-secret-71",
            "Bearer sk-secret-712",
        ] {
            for (number, path) in ["/lookup/7", "/summary/7", "/none/7"].iter().enumerate() {
                let id = format!("leak-{number}");
                ask(&deployment, path, &id, &[("authorization", credentials)]).await;
            }
        }
        let shared = json!([
            { "name": "acme", "api_keys": [SECRET, ""] }, { "name": "bolt", "api_keys": [SECRET] },
        ]);
        configure(&deployment, &keyed(5, &shared)).await;
        let answer = ask(
            &deployment,
            "/lookup/7",
            "leak-9",
            &[("authorization", "Bearer sk-secret-71")],
        )
        .await;
        assert_eq!(answer.status, 200);
        for malformed in [
            json!(SECRET),
            json!([SECRET]),
            json!([{ "name": "a", "api_keys": SECRET }]),
        ] {
            deployment.store.configure(&keyed(6, &malformed));
        }
        configure(&deployment, &keyed(7, &two_customers())).await;
        assert_eq!(leaks(), Vec::<String>::new());
    });
}
