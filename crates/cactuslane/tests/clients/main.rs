//! Tests of a gateway process with the memory and the descriptors of the smallest machine, before
//! clients that do not behave; its memory is watched from outside.

mod crowd;
mod entry;
mod process;

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_platform_standin::caller;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use yare::parameterized;

use crowd::{Crowd, Misuse};
use process::{Deployment, run_test};

/// Memory of the machine, in MiB.
pub const MEMORY_MB: u64 = 160;
/// Largest share of that memory that the process may ever have resident, in percent; the rest is
/// the margin for bytes in the kernel's buffers.
const MAX_SHARE: u64 = 80;
/// Largest size of a body, in bytes.
pub const MAX_BODY: usize = 4 << 20;
/// Number of calls of an ordinary caller while the crowd is there.
const ORDINARY_CALLS: usize = 20;
/// Number of these calls for each one that is a stream.
const CALLS_PER_STREAM: usize = 5;
/// Smallest share of these calls that are served, in percent; without the crowd all are.
const MIN_SERVED: usize = 95;
/// Memory that may stay resident once the crowd has left, in MiB.
const MAX_AFTER_MB: u64 = 100;
/// Number of descriptors that may be open beyond those before, for idle connections to targets.
const MAX_IDLE_DESCRIPTORS: usize = 12;

/// Time for which a slow but sound caller takes nothing.
const PAUSE: Duration = Duration::from_secs(5);

/// Door at which a crowd comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    /// Requests of callers.
    Front,
    /// Readiness checks and metrics.
    Ready,
    /// Requests for addresses.
    Directory,
    /// Requests that other instances pass on.
    Instances,
}

impl Door {
    /// Returns the number of connections beyond which a crowd is refused, with those that an instance
    /// opens itself.
    fn connections(self) -> usize {
        match self {
            Self::Front => 1000,
            Self::Ready | Self::Directory | Self::Instances => 150,
        }
    }

    /// Returns the address of the door.
    fn address(self, deployment: &Deployment) -> SocketAddr {
        match self {
            Self::Front => deployment.front,
            Self::Ready => deployment.ready,
            Self::Directory => deployment.directory,
            Self::Instances => deployment.peer,
        }
    }
}

/// Sends ordinary calls one after the other and returns how many of them are served.
async fn call_ordinarily(deployment: &Deployment, calls: usize, name: &str) -> usize {
    let mut served = 0;
    for number in 0..calls {
        let path = if number % CALLS_PER_STREAM == 0 {
            "/summary/7"
        } else {
            "/lookup/7"
        };
        let mut request = caller::request(deployment.front, path, &format!("{name}-{number}"));
        deployment.authorize(request.headers_mut());
        let Ok(response) = deployment.client.send(request).await else {
            continue;
        };
        let is_success = response.status().is_success();
        let body = response.into_body().collect().await;
        served += usize::from(is_success && body.is_ok());
    }
    served
}

/// Sends one request whose body, head and number of headers are as large as allowed, and returns
/// the status of the answer.
async fn call_at_the_limit(deployment: &Deployment) -> u16 {
    let mut request = Request::post(format!("http://{}/lookup/7", deployment.front))
        .header("host", cactuslane_platform_standin::HOST)
        .header("x-request-id", "largest")
        .header("x-deadline-ms", "60000");
    for number in 0..90 {
        request = request.header(format!("x-field-{number}"), "v".repeat(150));
    }
    let body = Full::new(Bytes::from(vec![b'b'; MAX_BODY]));
    let mut request = request.body(body).expect("the request is valid");
    deployment.authorize(request.headers_mut());
    let answer = deployment.client.send(request).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

/// Checks what holds while a crowd is there and after it has left; `key` is that of the crowd.
async fn face_crowd(
    deployment: &Deployment,
    misuse: Misuse,
    door: Door,
    path: &'static str,
    key: Option<&str>,
    size: usize,
) {
    let process = &deployment.process;
    let served = call_ordinarily(deployment, ORDINARY_CALLS, "before").await;
    assert_eq!(served, ORDINARY_CALLS, "calls served without the crowd");
    let descriptors = process.descriptors();
    let most = descriptors + door.connections();
    let crowd = Crowd::gather(misuse, door.address(deployment), path, key, size);
    let first = call_ordinarily(deployment, ORDINARY_CALLS / 2, "first").await;
    crowd.wait_until_sent().await;
    let second = call_ordinarily(deployment, ORDINARY_CALLS / 2, "second").await;
    // Connections are accepted in their order, so that those of the crowd are by now.
    assert!(process.descriptors() <= most, "connections are bounded");
    let peak = process.memory_mb("VmHWM");
    println!("peak {peak} MiB, {first} and {second} calls served");
    assert!(
        peak <= MEMORY_MB * MAX_SHARE / 100,
        "{peak} MiB were resident"
    );
    assert!((first + second) * 100 >= ORDINARY_CALLS * MIN_SERVED);
    let (refused, untrue) = crowd.leave().await;
    println!("{refused} of {size} refused");
    assert_eq!(untrue, 0, "refusals that lack what they promise");
    deployment.wait_until_released().await;
    process
        .wait_for_descriptors(descriptors + MAX_IDLE_DESCRIPTORS)
        .await;
    let after = process.memory_mb("VmRSS");
    println!("{after} MiB after");
    assert!(after <= MAX_AFTER_MB, "{after} MiB stayed resident");
    assert_eq!(call_at_the_limit(deployment).await, 200);
}

#[parameterized(
    bodies_stop_at_a_route = { Misuse::Stopped, Door::Front, "/lookup/7", 60 },
    bodies_stop_at_a_model = { Misuse::Stopped, Door::Front, "/summary/7", 60 },
    bodies_stop_without_a_route = { Misuse::Stopped, Door::Front, "/nothing", 60 },
    bodies_stop_at_ready = { Misuse::Stopped, Door::Ready, "/api/ready", 60 },
    bodies_stop_at_metrics = { Misuse::Stopped, Door::Ready, "/metrics", 60 },
    bodies_stop_at_addresses = { Misuse::Stopped, Door::Directory, caller::ADDRESSES_PATH, 60 },
    bodies_stop_between_instances = { Misuse::Stopped, Door::Instances, "/lookup/7", 60 },
    small_pieces = { Misuse::SmallPieces, Door::Front, "/lookup/7", 300 },
    small_chunks = { Misuse::SmallChunks, Door::Front, "/lookup/7", 60 },
    trickle = { Misuse::Trickle, Door::Front, "/lookup/7", 60 },
    announced_too_large = { Misuse::TooLarge, Door::Front, "/lookup/7", 60 },
    unannounced_too_large = { Misuse::Endless, Door::Front, "/lookup/7", 60 },
    announced_and_not_sent = { Misuse::Announced, Door::Front, "/lookup/7", 300 },
    many_headers = { Misuse::ManyHeaders, Door::Front, "/lookup/7", 300 },
    too_many_headers = { Misuse::TooManyHeaders, Door::Front, "/lookup/7", 300 },
    heads_stop = { Misuse::StoppedHead, Door::Front, "/lookup/7", 1500 },
    heads_stop_at_ready = { Misuse::StoppedHead, Door::Ready, "/api/ready", 500 },
    heads_stop_at_addresses = { Misuse::StoppedHead, Door::Directory, caller::ADDRESSES_PATH, 500 },
    heads_stop_between_instances = { Misuse::StoppedHead, Door::Instances, "/lookup/7", 500 },
    many_values = { Misuse::ManyValues, Door::Front, "/lookup/7", 60 },
    many_ahead = { Misuse::Pipelined, Door::Front, "/nothing", 10 },
    many_ahead_at_a_route = { Misuse::Pipelined, Door::Front, "/lookup/7", 10 },
    many_ahead_at_ready = { Misuse::Pipelined, Door::Ready, "/api/ready", 10 },
    many_ahead_at_metrics = { Misuse::Pipelined, Door::Ready, "/metrics", 10 },
    many_ahead_at_addresses = { Misuse::Pipelined, Door::Directory, caller::ADDRESSES_PATH, 10 },
    many_members = { Misuse::ManyMembers, Door::Front, "/lookup/7", 300 },
    many_members_at_addresses = { Misuse::ManyMembers, Door::Directory, caller::ADDRESSES_PATH, 300 },
    endless_query = { Misuse::EndlessQuery, Door::Front, "/lookup/7", 400 },
    many_prompt_parts = { Misuse::ManyParts, Door::Front, "/summary/7", 45 },
    answers_unread = { Misuse::Unread, Door::Front, "/summary/7", 300 },
)]
fn a_crowd_ends_nothing(misuse: Misuse, door: Door, path: &'static str, size: usize) {
    run_test(async move {
        let deployment = Deployment::start(&[]).await;
        face_crowd(&deployment, misuse, door, path, None, size).await;
    });
}

#[parameterized(
    of_one_customer = { Misuse::Stopped, "/lookup/7", Some("k-crowd"), 60 },
    of_one_customer_at_a_model = { Misuse::Stopped, "/summary/7", Some("k-crowd"), 60 },
    of_one_customer_in_pieces = { Misuse::SmallPieces, "/lookup/7", Some("k-crowd"), 300 },
    without_keys = { Misuse::Stopped, "/lookup/7", None, 60 },
    with_unknown_keys = { Misuse::Stopped, "/lookup/7", Some("k-unknown"), 60 },
)]
fn a_crowd_ends_nothing_where_customers_have_keys(
    misuse: Misuse,
    path: &'static str,
    key: Option<&'static str>,
    size: usize,
) {
    run_test(async move {
        let deployment = Deployment::start(&["k-ordinary", "k-crowd"]).await;
        face_crowd(&deployment, misuse, Door::Front, path, key, size).await;
    });
}

/// Guards against slow but sound callers that are cut: one that takes nothing for some seconds gets
/// the rest of its answers, as long as it is back within the time to take them.
#[test]
fn a_caller_that_pauses_gets_all_its_answers() {
    run_test(async {
        let deployment = Deployment::start(&[]).await;
        let answers = crowd::read_after_pause(deployment.front, "/nothing", PAUSE).await;
        let count = answers.matches("HTTP/1.1 404").count();
        assert_eq!(count, crowd::PAUSE_REQUESTS, "answers are missing");
    });
}
