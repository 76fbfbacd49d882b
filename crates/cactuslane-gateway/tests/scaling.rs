//! Orders of numbers of targets by an instance that leads, at a platform that fails in one way at a
//! time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactuslane_flight::routing_config::{RoutingConfig, ScalingSpec, Service};
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_gateway::Gateway;
use cactuslane_gateway::leadership::boot_millis;
use cactuslane_gateway::progress::Progress;
use cactuslane_gateway::scaling;
use cactuslane_place::Load;
use cactuslane_platform::settings::DutySettings;
use cactuslane_store::kv::Lease;
use cactuslane_types::{Position, Role};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Time within which an expected call arrives.
const LIMIT: Duration = Duration::from_secs(20);

/// What the platform does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// It answers with a status.
    Status(u16),
    /// It has no reclaimable targets, and accepts all other orders.
    NoReclaimable,
    /// It closes the connection after it has read the call.
    Close,
}

/// A call that the platform received.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Call {
    /// Failure domain that the order is for.
    domain: String,
    /// Number of targets.
    count: u64,
    /// Whether they may be reclaimed.
    reclaimable: bool,
    /// Fencing token.
    token: String,
}

/// The calls that a platform received.
type Calls = Arc<Mutex<Vec<Call>>>;

/// Starts a platform that replies to its first calls as `first` says, and to all others with 200.
async fn open_platform(first: Vec<Reply>) -> (SocketAddr, Calls) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let calls = Calls::default();
    let received = calls.clone();
    tokio::spawn(async move {
        let mut replies = first.into_iter();
        while let Ok((stream, _)) = listener.accept().await {
            let reply = replies.next().unwrap_or(Reply::Status(200));
            tokio::spawn(answer(stream, reply, received.clone()));
        }
    });
    (address, calls)
}

/// Reads one call and replies to it.
async fn answer(mut stream: TcpStream, reply: Reply, calls: Calls) {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.ends_with('}') {
        let Ok(count @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    let (head, body) = text.split_once("\r\n\r\n").expect("a call has a head");
    assert!(head.starts_with("POST /scale "), "{head}");
    let body: serde_json::Value = serde_json::from_str(body).expect("it is JSON");
    let token = head
        .lines()
        .find_map(|line| line.strip_prefix("x-fence-token: "));
    let call = Call {
        domain: body["zone"].as_str().unwrap_or_default().to_owned(),
        count: body["desired_count"].as_u64().unwrap_or_default(),
        reclaimable: body["spot"] == true,
        token: token.unwrap_or_default().to_owned(),
    };
    let refused = call.reclaimable;
    calls.lock().expect("no test panicked").push(call);
    let status = match reply {
        Reply::Status(status) => status,
        Reply::NoReclaimable if refused => 409,
        Reply::NoReclaimable => 200,
        Reply::Close => return,
    };
    let head = format!("HTTP/1.1 {status} S\r\ncontent-length: 0\r\n\r\n");
    let _ = stream.write_all(head.as_bytes()).await;
}

/// Returns a target that serves.
fn target(id: &str, domain: &str) -> Target {
    Target {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        domain: domain.to_owned(),
        slots: 6,
        role: Role::Mixed,
        state: TargetState::Ready,
        started_at: Some(1),
        models: Vec::new(),
        version: None,
        reclaimable: false,
        leaves_in: None,
    }
}

/// Creates an instance with two targets in each of two failure domains, all of whose slots are
/// taken.
fn open_gateway(platform: SocketAddr) -> Arc<Gateway> {
    open_loaded_gateway(platform, 2, 6)
}

/// Creates an instance with `targets` targets in each of two failure domains that run `running`
/// requests each; reclaimable ones are cheap.
fn open_loaded_gateway(platform: SocketAddr, targets: usize, running: u32) -> Arc<Gateway> {
    let store = "127.0.0.1:1".parse().expect("it is an address");
    let mut settings = cactuslane_platform_standin::settings("front-1", store);
    settings.duties = Some(DutySettings {
        address: platform,
        call_rate: 10.0,
        usage: None,
        scale: true,
        gap: Duration::from_millis(300),
    });
    let gateway = Arc::new(Gateway::new(settings));
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        engine: None,
        scaling: Some(ScalingSpec {
            min: 1,
            max: 20,
            boot_time: Duration::from_secs(1),
            reclaimable_price: Some(0.2),
            prices: BTreeMap::new(),
        }),
    };
    let config = RoutingConfig {
        version: 1,
        services: BTreeMap::from([("desk".to_owned(), service)]),
        ..RoutingConfig::default()
    };
    gateway.fleet().set_routing_config(config);
    for index in 0..2 * targets {
        let id = format!("i-{index}");
        let domain = if index % 2 == 0 { "a" } else { "b" };
        gateway.fleet().put(target(&id, domain));
        let load = Load {
            running,
            ..Load::default()
        };
        gateway.placer().load_view.add(&id, load);
    }
    gateway.observe_progress(&Progress::at(Position::new(1, 1), gateway.now()));
    gateway
}

/// Makes the instance the leader under a fencing token.
fn lead(gateway: &Gateway, token: u64) {
    let now = boot_millis();
    gateway
        .leadership()
        .renewed(Lease { era: 1, id: 7 }, now, 600_000);
    gateway
        .leadership()
        .acquired(Position::new(1, token), 0, now);
}

/// Waits until the platform has received calls that fulfil a condition, and returns them all.
async fn wait_for(calls: &Calls, condition: impl Fn(&[Call]) -> bool) -> Vec<Call> {
    let began = Instant::now();
    loop {
        let now = calls.lock().expect("no test panicked").clone();
        if condition(&now) {
            return now;
        }
        assert!(began.elapsed() < LIMIT, "not the expected calls: {now:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the calls for a failure domain.
fn calls_for<'a>(calls: &'a [Call], domain: &str) -> Vec<&'a Call> {
    calls.iter().filter(|call| call.domain == domain).collect()
}

#[tokio::test]
async fn a_leader_orders_more_targets_for_full_ones() {
    let (platform, calls) = open_platform(Vec::new()).await;
    let gateway = open_gateway(platform);
    let task = tokio::spawn(scaling::run(gateway.clone()));
    sleep(Duration::from_millis(1_500)).await;
    assert!(
        calls.lock().expect("no test panicked").is_empty(),
        "before it leads"
    );
    lead(&gateway, 5);
    let seen = wait_for(&calls, |calls| {
        !calls_for(calls, "a").is_empty() && !calls_for(calls, "b").is_empty()
    });
    for call in seen.await {
        assert!(call.count > 2 && call.count <= 20, "{call:?}");
        assert_eq!(call.token, "5");
    }
    let text = gateway.metrics.text(&gateway);
    assert!(
        text.contains("cactuslane_scaling_desired{service=\"desk\",domain=\"a\""),
        "{text}"
    );
    task.abort();
}

#[tokio::test]
async fn an_order_whose_answer_was_lost_is_repeated_with_the_same_number() {
    let (platform, calls) = open_platform(vec![Reply::Close, Reply::Close]).await;
    let gateway = open_gateway(platform);
    lead(&gateway, 5);
    let task = tokio::spawn(scaling::run(gateway.clone()));
    let seen = wait_for(&calls, |calls| calls_for(calls, "a").len() >= 2).await;
    let counts: Vec<u64> = calls_for(&seen, "a")
        .iter()
        .map(|call| call.count)
        .collect();
    assert_eq!(counts[0], counts[1]);
    task.abort();
}

#[tokio::test]
async fn orders_that_were_too_many_are_sent_again() {
    let (platform, calls) = open_platform(vec![Reply::Status(429); 2]).await;
    let gateway = open_gateway(platform);
    lead(&gateway, 5);
    let task = tokio::spawn(scaling::run(gateway.clone()));
    wait_for(&calls, |calls| calls_for(calls, "a").len() >= 2).await;
    task.abort();
}

#[tokio::test]
async fn an_instance_that_no_longer_leads_orders_nothing() {
    let (platform, calls) = open_platform(vec![Reply::Status(429); 50]).await;
    let gateway = open_gateway(platform);
    lead(&gateway, 5);
    let task = tokio::spawn(scaling::run(gateway.clone()));
    wait_for(&calls, |calls| !calls.is_empty()).await;
    gateway.leadership().lapsed();
    sleep(Duration::from_millis(300)).await;
    let before = calls.lock().expect("no test panicked").len();
    sleep(Duration::from_millis(1_500)).await;
    let after = calls.lock().expect("no test panicked").clone();
    assert_eq!(after.len(), before, "{after:?}");
    lead(&gateway, 9);
    let seen = wait_for(&calls, |calls| calls.len() > before).await;
    assert_eq!(seen[before].token, "9");
    task.abort();
}

#[tokio::test]
async fn nothing_is_ordered_while_the_store_fails() {
    let (platform, calls) = open_platform(Vec::new()).await;
    let gateway = open_gateway(platform);
    lead(&gateway, 5);
    let task = tokio::spawn(scaling::run(gateway.clone()));
    for _ in 0..10 {
        gateway.fleet().record_store_failure(gateway.now());
        sleep(Duration::from_millis(250)).await;
    }
    assert!(calls.lock().expect("no test panicked").is_empty());
    task.abort();
}

#[tokio::test]
async fn fewer_are_ordered_for_little_load_and_none_that_are_not_available() {
    let (platform, calls) = open_platform(vec![Reply::NoReclaimable; 100]).await;
    let gateway = open_loaded_gateway(platform, 10, 1);
    lead(&gateway, 5);
    let task = tokio::spawn(scaling::run(gateway.clone()));
    let known = gateway.clone();
    let store = tokio::spawn(async move {
        loop {
            known.observe_progress(&Progress::at(Position::new(1, 1), known.now()));
            sleep(Duration::from_millis(200)).await;
        }
    });
    let both = |calls: &[Call]| {
        let reclaimable = calls.iter().filter(|call| call.reclaimable).count();
        (1..calls.len()).contains(&reclaimable)
    };
    let seen = wait_for(&calls, both).await;
    for call in seen.iter().filter(|call| !call.reclaimable) {
        assert!((7..10).contains(&call.count), "{call:?}");
    }
    sleep(Duration::from_secs(2)).await;
    let seen = calls.lock().expect("no test panicked").clone();
    for domain in ["a", "b"] {
        let asked = calls_for(&seen, domain);
        let refused = asked.iter().filter(|call| call.reclaimable).count();
        assert!(refused <= 1, "{refused} calls for {domain}");
    }
    task.abort();
    store.abort();
}

#[tokio::test]
async fn nothing_is_given_up_once_the_store_was_not_heard_of_for_long() {
    let (platform, calls) = open_platform(Vec::new()).await;
    let gateway = open_loaded_gateway(platform, 10, 1);
    gateway.observe_progress(&Progress::at(Position::new(1, 1), 0));
    let limit = gateway.knowledge_limit();
    sleep(limit + Duration::from_millis(100)).await;
    lead(&gateway, 5);
    let task = tokio::spawn(scaling::run(gateway.clone()));
    sleep(Duration::from_secs(5)).await;
    assert!(calls.lock().expect("no test panicked").is_empty());
    task.abort();
}
