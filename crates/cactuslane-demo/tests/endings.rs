//! Answers of plain services that are cut, whose processes live on or end, and of engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cactuslane_demo::caller::{Caller, Response};
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::{Deployment, Faults};
use hyper::body::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};
use yare::parameterized;

/// Path of the service.
const SERVICE: &str = "/services/registru-anchete";
/// Body of a whole answer.
const BODY: &str = "a whole answer";
/// Head of an answer without a length.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n";
/// Head of an answer with a length.
const FRAMED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n";
/// Answer to a request for the load.
const LOAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
/// Length of an upload, which no socket buffers hold, in bytes.
const UPLOAD: usize = 7 << 20;
/// Length of a request for which it does not matter, in bytes.
const SHORT: usize = 100;
/// Time after which a test counts as hung and fails.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// A process of the service, which cuts its answers as the paths of requests say; dropping it closes
/// its listener and all connections.
struct Process {
    /// Number of requests that arrived.
    arrivals: Arc<AtomicUsize>,
    /// Task that accepts connections.
    task: JoinHandle<()>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Process {
    /// Starts a process on an address; port 0 selects a free port. Returns the address as well.
    async fn bind(address: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind(address).await;
        let listener = listener.expect("the address can be bound");
        let address = listener.local_addr().expect("it is bound");
        let arrivals: Arc<AtomicUsize> = Arc::default();
        let counter = arrivals.clone();
        let task = tokio::spawn(async move {
            let death = Arc::new(Notify::new());
            let mut connections = JoinSet::new();
            loop {
                let mut stream = tokio::select! {
                    accepted = listener.accept() => accepted.expect("a caller can be accepted").0,
                    // The end of the task closes the listener before the connections.
                    () = death.notified() => break drop(listener),
                };
                let (counter, death) = (counter.clone(), death.clone());
                connections.spawn(async move {
                    if serve(&mut stream, &counter).await {
                        death.notify_one();
                        std::future::pending::<()>().await;
                    }
                });
            }
        });
        (Self { arrivals, task }, address)
    }

    /// Returns the number of requests that arrived.
    fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::Relaxed)
    }
}

/// Serves one connection until it ends; returns whether the process ends, the connection being open
/// still.
///
/// A path ends with what is sent, `framed` or `unframed`, the number of its bytes and what then ends,
/// the `connection` or the `process`. Of a request for `early`, the answer is sent and the connection reset
/// before its body is read; `status` is followed by the status.
async fn serve(stream: &mut TcpStream, arrivals: &AtomicUsize) -> bool {
    let mut buffer = Vec::new();
    loop {
        let Some(path) = read_request(stream, &mut buffer).await else {
            return false;
        };
        if path == "/load" {
            if stream.write_all(LOAD.as_bytes()).await.is_err() {
                return false;
            }
            continue;
        }
        let words: Vec<&str> = path
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .split('-')
            .collect();
        if words[0] == "status" {
            arrivals.fetch_add(1, Ordering::Relaxed);
            let text = format!(
                "HTTP/1.1 {} Trouble\r\ncontent-length: 2\r\n\r\nno",
                words[1]
            );
            let _ = stream.write_all(text.as_bytes()).await;
            continue;
        }
        let head = if words[0] == "framed" {
            FRAMED
        } else {
            UNFRAMED
        };
        let text = format!("{head}{BODY}");
        let at: usize = words[1].parse().expect("a number of bytes");
        arrivals.fetch_add(1, Ordering::Relaxed);
        let _ = stream.write_all(&text.as_bytes()[..at]).await;
        if words[0] == "early" {
            let linger = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            linger.expect("it is a socket");
        }
        return words[2] == "process";
    }
}

/// Reads a request with its body and returns its path; `None` if the connection ends.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            let length = lines
                .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .find_map(|(_, value)| value.parse().ok());
            let is_early = head
                .lines()
                .next()
                .is_some_and(|line| line.contains("/early-"));
            let length: usize = if is_early {
                0
            } else {
                length.unwrap_or_default()
            };
            if rest.len() >= length {
                buffer.drain(..head.len() + 4 + length);
                return head.split(' ').nth(1).map(str::to_owned);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
        }
    }
}

/// Starts a deployment of one entry instance whose service has one process, and returns its address
/// as well.
async fn deploy() -> (Cluster, Process, SocketAddr) {
    let options = Options {
        pace: 50.0,
        entries: Some(1),
        ..Options::default()
    };
    let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
    let mut cluster = cluster.expect("it starts");
    assert!(cluster.wait_ready().await);
    cluster.workers.clear();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (process, address) = Process::bind(any).await;
    let targets = cluster.deployment.targets();
    let mut services = targets.iter().filter(|target| !target.is_engine);
    let target = services.next().expect("there is a service");
    let labels = [
        ("kind", "service"),
        ("failure_domain", target.domain),
        ("service", target.service),
    ];
    cluster
        .platform
        .list_instance(&target.name, address, &labels);
    for other in services {
        cluster.platform.mark_leaving(&other.name);
    }
    cluster.platform.publish_now();
    while process.arrivals() == 0 {
        ask(&cluster, "GET", "", "framed-53-connection").await;
        sleep(Duration::from_millis(20)).await;
    }
    (cluster, process, address)
}

/// Sends a request for an answer that is cut, with an idempotency key unless that is empty.
async fn ask(cluster: &Cluster, method: &str, key: &str, cut: &str) -> Response {
    upload(cluster, method, key, cut, Bytes::new()).await
}

/// Sends such a request with a body.
async fn upload(cluster: &Cluster, method: &str, key: &str, cut: &str, body: Bytes) -> Response {
    let entry = cluster.entries.values().next().expect("there is an entry");
    let headers = [("idempotency-key", key)];
    let headers = if key.is_empty() { &[][..] } else { &headers };
    let path = format!("{SERVICE}/{cut}");
    let caller = Caller::new(entry.address());
    caller.send(method, &path, headers, body).await
}

/// Guards against a part of an answer that reaches its caller as whole, as the service resets the
/// connection while the upload is still being written, and against an answer whose status is none.
#[parameterized(
    early = { "POST", "", &["early-58-connection", "early-44-connection"] },
    early_and_repeatable = { "GET", "", &["early-58-connection"] },
    early_and_keyed = { "POST", "key", &["early-50-connection"] },
    statuses = { "POST", "", &["status-000", "status-099", "status-20", "status-101", "status-600", "status-999"] },
    statuses_and_repeatable = { "GET", "", &["status-000", "status-700"] },
    statuses_and_keyed = { "POST", "key", &["status-000", "status-700"] },
)]
#[test_macro(tokio::test)]
async fn an_early_or_odd_answer_of_a_service_is_no_success(
    method: &str,
    key: &str,
    answers: &[&str],
) {
    let test = async {
        let (cluster, process, _) = deploy().await;
        for answer in answers {
            // A whole answer ends the pause after the failure before.
            let whole = ask(&cluster, "POST", "", "framed-53-connection").await;
            assert_eq!((whole.status, whole.text().as_str()), (200, BODY));
            let before = process.arrivals();
            let key = if key.is_empty() { "" } else { answer };
            let is_early = answer.starts_with("early");
            let body = Bytes::from(vec![b'u'; if is_early { UPLOAD } else { SHORT }]);
            let response = upload(&cluster, method, key, answer, body).await;
            assert!(process.arrivals() > before, "{answer}: {}", response.status);
            let status = response.status;
            assert!(
                [502, 504].contains(&status),
                "{answer}: {status} {}",
                response.text()
            );
        }
    };
    timeout(TEST_TIMEOUT, test).await.expect("the test hangs");
}

/// Guards against an answer of a process that ends and reaches its caller as a success.
#[parameterized(
    repeatable = { "GET", "", "unframed", &[45, 46] },
    not_repeatable = { "POST", "", "unframed", &[0, 9, 17, 20, 41, 44, 45, 46, 58, 59] },
    keyed = { "POST", "key", "unframed", &[44, 45, 46, 59] },
    with_length = { "POST", "", "framed", &[0, 17, 34, 35, 38, 39, 40, 52, 53] },
)]
#[test_macro(tokio::test)]
async fn an_answer_of_a_service_that_ends_is_no_success(
    method: &str,
    key: &str,
    framing: &str,
    cuts: &[usize],
) {
    let test = async {
        let (cluster, mut process, address) = deploy().await;
        let mut wrong = Vec::new();
        for at in cuts {
            // A whole answer ends the pause after the failure before.
            let whole = ask(&cluster, "POST", "", "framed-53-connection").await;
            assert_eq!((whole.status, whole.text().as_str()), (200, BODY));
            let before = process.arrivals();
            let cut = format!("{framing}-{at}-process");
            let key = if key.is_empty() { "" } else { &cut };
            let answer = ask(&cluster, method, key, &cut).await;
            assert_eq!(process.arrivals(), before + 1, "{}", answer.status);
            let is_whole = framing == "framed" && *at == FRAMED.len() + BODY.len();
            if (answer.complete && answer.status < 300) != is_whole {
                wrong.push((at, answer.status, answer.text()));
            }
            process = rebind(address).await;
        }
        assert!(wrong.is_empty(), "{method} {framing}: {wrong:?}");
    };
    timeout(TEST_TIMEOUT, test).await.expect("the test hangs");
}

/// Starts a process on the address of one that has ended.
async fn rebind(address: SocketAddr) -> Process {
    while TcpStream::connect(address).await.is_ok() {
        sleep(Duration::from_millis(1)).await;
    }
    Process::bind(address).await.0
}

/// Guards against a caller who is told that its call did not run, as no target takes it again, though the
/// first one may have run it.
#[tokio::test]
async fn a_refusal_after_an_unknown_outcome_is_no_promise() {
    let test = async {
        let (cluster, mut process, address) = deploy().await;
        for number in 0..4 {
            // A whole answer ends the pause after the failure before.
            let whole = ask(&cluster, "POST", "", "framed-53-connection").await;
            assert_eq!((whole.status, whole.text().as_str()), (200, BODY));
            let before = process.arrivals();
            let answer = ask(&cluster, "GET", "", "unframed-45-process").await;
            assert_eq!(process.arrivals(), before + 1);
            assert_eq!(answer.status, 502, "{number}: {}", answer.text());
            process = rebind(address).await;
        }
    };
    timeout(TEST_TIMEOUT, test).await.expect("the test hangs");
}

/// Guards against an answer that is withheld because it has no length, though its process lives on.
#[parameterized(
    repeatable = { "GET", "" },
    not_repeatable = { "POST", "" },
    keyed = { "POST", "key" },
)]
#[test_macro(tokio::test)]
async fn an_answer_without_length_of_a_service_that_lives_on_is_whole(method: &str, key: &str) {
    let test = async {
        let (cluster, process, _) = deploy().await;
        for at in [UNFRAMED.len(), UNFRAMED.len() + BODY.len()] {
            let before = process.arrivals();
            let key = if key.is_empty() {
                String::new()
            } else {
                format!("{key}-{at}")
            };
            let cut = format!("unframed-{at}-connection");
            let answer = ask(&cluster, method, &key, &cut).await;
            assert_eq!(
                (answer.status, answer.complete),
                (200, true),
                "{}",
                answer.text()
            );
            assert_eq!(answer.text(), BODY[..at - UNFRAMED.len()]);
            assert_eq!(process.arrivals(), before + 1);
        }
    };
    timeout(TEST_TIMEOUT, test).await.expect("the test hangs");
}

/// Guards against cache events of an engine that are never read, as the answer with them broke off.
#[tokio::test]
async fn cache_events_whose_answer_broke_off_are_asked_for_again() {
    let test = async {
        let options = Options {
            pace: 50.0,
            entries: Some(1),
            ..Options::default()
        };
        let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
        let cluster = cluster.expect("it starts");
        assert!(cluster.wait_ready().await);
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port can be bound");
        let address = listener.local_addr().expect("it is bound");
        let targets = cluster.deployment.targets();
        let mut engines = targets.iter().filter(|target| target.is_engine);
        let engine = engines.next().expect("there is an engine");
        let labels = [
            ("kind", "engine"),
            ("failure_domain", engine.domain),
            ("service", engine.service),
        ];
        cluster
            .platform
            .list_instance(&engine.name, address, &labels);
        cluster.platform.publish_now();
        let mut asked = 0;
        while asked < 2 {
            let (mut stream, _) = listener.accept().await.expect("an instance connects");
            let path = read_request(&mut stream, &mut Vec::new()).await;
            let path = path.unwrap_or_default();
            let answer = if path == "/load" {
                r#"{"named_metrics":{"queued_prefill_tokens":0,"free_pieces":9,"cache_event":2}}"#
            } else if path == "/cache-events?after=0" {
                asked += 1;
                r#"{"events":[{"seq":1"#
            } else {
                ""
            };
            let text = format!("HTTP/1.1 200 OK\r\n\r\n{answer}");
            // The instance may have given up the call.
            let _ = stream.write_all(text.as_bytes()).await;
        }
    };
    timeout(TEST_TIMEOUT, test).await.expect("the test hangs");
}
