//! Measurements of whole deployments on loopback: overhead per call and token, memory, and traffic
//! and processor time without load.
//!
//! Instances, stand-ins and callers run in the measuring process, so that its processor time and
//! memory include all of them.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuslane_demo::caller::Caller;
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::platform::CallCounts;
use cactuslane_standin::{Deployment, Faults};
use hdrhistogram::Histogram;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

use super::{Point, Series};

/// Numbers of concurrent callers.
const CALLERS: [usize; 3] = [4, 16, 64];
/// Numbers of concurrent streams for which memory is measured.
const STREAMS: [usize; 3] = [200, 400, 800];
/// Number of measured calls of each caller.
const CALLS_PER_CALLER: usize = 100;
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page in `/proc/self/statm`, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Latencies and throughput of calls of one kind.
struct CallTimes {
    /// Times from sending a call to its complete answer, in microseconds.
    times: Histogram<u64>,
    /// Number of recorded calls of all callers per second; the time includes the unrecorded first
    /// call of each caller.
    rate: f64,
}

/// Measures deployments of several sizes, without load and during one configuration change.
#[must_use]
pub fn instances() -> Vec<Series> {
    /// Numbers of entry instances.
    const INSTANCES: [usize; 4] = [7, 30, 60, 120];
    /// Time that the instances get to discover each other before the measurement.
    const SETTLE_TIME: Duration = Duration::from_secs(12);
    /// Time over which traffic and processor time without load are measured.
    const IDLE_TIME: Duration = Duration::from_secs(8);
    let series_over = |name| Series {
        name,
        over: "instances",
        points: Vec::new(),
    };
    let mut spread =
        series_over("spreading: milliseconds from acceptance to in force on all instances");
    let mut calls = series_over("key-value service: calls a second of all instances at rest");
    let mut lists = series_over("instance list: readings a second of all instances at rest");
    let mut bytes =
        series_over("whole instances: payload bytes a second a node between instances at rest");
    let mut cpu = series_over(
        "whole instances: microseconds of a core a second a node at rest, stand-ins included",
    );
    for size in INSTANCES {
        let runtime = runtime();
        runtime.block_on(async {
            let cluster = cluster_with(50.0, Some(size)).await;
            tokio::time::sleep(SETTLE_TIME).await;
            let counts = cluster.platform.counts();
            let sent = || {
                cluster
                    .entries
                    .values()
                    .map(cactuslane_entry::Entry::peer_bytes)
                    .sum::<u64>()
            };
            let (bytes_before, cpu_before) = (sent(), cpu_seconds());
            tokio::time::sleep(IDLE_TIME).await;
            let (after, seconds) = (cluster.platform.counts(), IDLE_TIME.as_secs_f64());
            let all = |c: &CallCounts| c.reads + c.writes + c.watches;
            push(
                &mut calls,
                size,
                (all(&after) - all(&counts)) as f64 / seconds,
            );
            push(
                &mut lists,
                size,
                (after.lists - counts.lists) as f64 / seconds,
            );
            let per_node = seconds * size as f64;
            push(&mut bytes, size, (sent() - bytes_before) as f64 / per_node);
            push(
                &mut cpu,
                size,
                (cpu_seconds() - cpu_before) * 1e6 / per_node,
            );
            let old = cluster
                .entries
                .values()
                .map(cactuslane_entry::Entry::config_revision)
                .max();
            let text = document().replace("\"retry_share\": 0.1", "\"retry_share\": 0.2");
            cluster
                .platform
                .put(cactuslane_demo::CONFIG_KEY, text.as_bytes());
            let started = Instant::now();
            while cluster
                .entries
                .values()
                .any(|entry| Some(entry.config_revision()) <= old)
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            push(&mut spread, size, started.elapsed().as_secs_f64() * 1e3);
        });
        runtime.shutdown_background();
    }
    vec![spread, calls, lists, bytes, cpu]
}

/// Measures the processor time per streamed token, callers and stand-ins included.
fn token_cpu_time() -> Series {
    /// Number of tokens that each stream generates.
    const TOKENS: u32 = 2_000;
    let mut cost =
        series("streams: microseconds of a core a token, callers and stand-ins included");
    let runtime = runtime();
    runtime.block_on(async {
        let cluster = cluster(200.0).await;
        let entry = cluster
            .entries
            .values()
            .next()
            .map(cactuslane_entry::Entry::address);
        let Some(entry) = entry else { return };
        let model = cluster.deployment.model.0;
        for callers in CALLERS {
            let before = cpu_seconds();
            let mut tasks = JoinSet::new();
            for number in 0..callers {
                let caller = Caller::pooled(entry);
                let prompt = format!("tokens {number}");
                tasks.spawn(async move { caller.complete(model, &prompt, TOKENS, true).await });
            }
            let mut tokens = 0;
            while let Some(Ok(reply)) = tasks.join_next().await {
                tokens += reply.last_event_id();
            }
            push(
                &mut cost,
                callers,
                (cpu_seconds() - before) * 1e6 / f64::from(tokens.max(1)),
            );
        }
    });
    cost
}

/// Measures calls to a plain service, direct and through an entry instance, without idempotency
/// keys, with keys under a prefix that the instance issued and with keys that the callers chose,
/// which need a claim.
#[must_use]
pub fn proxy() -> Vec<Series> {
    let mut median = series("proxy: median of a GET through an entry, ratio to a direct one");
    let mut tail = series("proxy: 99th percentile, ratio to a direct one");
    let mut rate = series("proxy: calls a second, ratio to direct ones");
    let mut claim = series("proxy: median of a claimed call, ratio to one with an issued key");
    let mut cpu = series("proxy: microseconds of a core a call, callers and stand-ins included");
    let runtime = runtime();
    runtime.block_on(async {
        let cluster = cluster(50.0).await;
        let entry = cluster
            .entries
            .values()
            .next()
            .map(cactuslane_entry::Entry::address);
        let worker = cluster
            .workers
            .values()
            .next()
            .map(cactuslane_standin::service::Worker::address);
        let (Some(entry), Some(worker)) = (entry, worker) else {
            return;
        };
        for callers in CALLERS {
            let direct = call_many(worker, "/x", callers, None).await;
            let before = cpu_seconds();
            let path = "/services/registru-anchete/x";
            let proxied = call_many(entry, path, callers, None).await;
            let spent = cpu_seconds() - before;
            let prefix = issued_prefix(entry).await;
            let issued = call_many(entry, path, callers, Some(format!("{prefix}{callers}-"))).await;
            let claimed = call_many(entry, path, callers, Some(format!("own-{callers}-"))).await;
            let ratio = |a: &CallTimes, b: &CallTimes, at: f64| {
                a.times.value_at_quantile(at) as f64 / b.times.value_at_quantile(at).max(1) as f64
            };
            push(&mut median, callers, ratio(&proxied, &direct, 0.5));
            push(&mut tail, callers, ratio(&proxied, &direct, 0.99));
            push(&mut rate, callers, proxied.rate / direct.rate);
            push(&mut claim, callers, ratio(&claimed, &issued, 0.5));
            push(
                &mut cpu,
                callers,
                spent * 1e6 / (callers * CALLS_PER_CALLER) as f64,
            );
        }
    });
    vec![median, tail, rate, claim, cpu]
}

/// Measures the processor time per streamed token and the memory of open streams.
#[must_use]
pub fn streams() -> Vec<Series> {
    vec![token_cpu_time(), stream_memory()]
}

/// Measures the resident memory of the process with open streams, callers and stand-ins included.
/// Engines run at real speed, so that the streams of 2,000 tokens stay open.
fn stream_memory() -> Series {
    let name = "streams: megabytes of the process, callers and stand-ins included";
    let mut series = Series {
        name,
        over: "streams held",
        points: Vec::new(),
    };
    let runtime = runtime();
    runtime.block_on(async {
        let cluster = cluster(1.0).await;
        let entries: Vec<SocketAddr> = cluster
            .entries
            .values()
            .map(cactuslane_entry::Entry::address)
            .collect();
        let model = cluster.deployment.model.0;
        let mut held = JoinSet::new();
        for size in STREAMS {
            while held.len() < size {
                let caller = Caller::new(entries[held.len() % entries.len()]);
                let prompt = format!("held {}", held.len());
                held.spawn(async move { caller.complete(model, &prompt, 2_000, true).await });
            }
            let streaming = || {
                cluster
                    .engines
                    .values()
                    .map(cactuslane_standin::engine::Engine::streams)
                    .sum::<usize>()
            };
            let until = Instant::now() + Duration::from_secs(15);
            while streaming() < size && Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            series.points.push(Point {
                size: streaming(),
                value: resident_bytes() / 1e6,
            });
        }
    });
    series
}

/// Calls a path from several concurrent callers: by GET, or by POST with a unique idempotency key
/// for each call if `keys` gives a prefix for the keys.
async fn call_many(
    address: SocketAddr,
    path: &'static str,
    callers: usize,
    keys: Option<String>,
) -> CallTimes {
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    for number in 0..callers {
        let caller = Caller::pooled(address);
        let keys = keys.clone();
        tasks.spawn(async move {
            // The first call opens the connections; it is not recorded in the latencies.
            caller.get(path).await;
            let mut times = Vec::new();
            for turn in 0..CALLS_PER_CALLER {
                let started = Instant::now();
                let reply = match &keys {
                    Some(prefix) => {
                        caller
                            .post_keyed(path, &format!("{prefix}{number}-{turn}"), "x")
                            .await
                    }
                    None => caller.get(path).await,
                };
                assert_eq!(reply.status, 200, "{}", reply.text());
                times.push(started.elapsed().as_micros() as u64);
            }
            times
        });
    }
    let mut times = Histogram::new(2).expect("two significant digits are supported");
    while let Some(Ok(taken)) = tasks.join_next().await {
        for time in taken {
            times.record(time).expect("the histogram resizes itself");
        }
    }
    let rate = times.len() as f64 / started.elapsed().as_secs_f64();
    CallTimes { times, rate }
}

/// Requests a prefix for idempotency keys that are bound to an entry instance; returns an empty
/// string if the answer holds none.
async fn issued_prefix(entry: SocketAddr) -> String {
    let answer = Caller::pooled(entry).get("/v1/addresses").await.json();
    let url = format!("http://{entry}");
    let list = answer["addresses"].as_array().cloned().unwrap_or_default();
    let own = list.iter().find(|address| address["url"] == url.as_str());
    let prefix = own.and_then(|address| address["idempotency_key_prefix"].as_str());
    prefix.unwrap_or_default().to_owned()
}

/// Starts the deployment `cluj` with its own number of entry instances.
async fn cluster(pace: f64) -> Cluster {
    cluster_with(pace, None).await
}

/// Starts the deployment `cluj` and waits until it is ready. Engines run `pace` times as fast as
/// real ones. `entries` is the number of entry instances, or `None` for the deployment's own.
async fn cluster_with(pace: f64, entries: Option<usize>) -> Cluster {
    let options = Options {
        pace,
        entries,
        document: Some(document()),
        ..Options::default()
    };
    let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
    let cluster = cluster.expect("the deployment starts on loopback");
    cluster.wait_ready().await;
    cluster
}

/// Returns the configuration of `cluj` with a rate limit that the measured callers do not reach.
fn document() -> String {
    let token = cactuslane_config::document::hash_token(cactuslane_demo::CALLER_TOKEN);
    let document = Deployment::cluj().document(&token);
    document.replace("\"rate\": 500", "\"rate\": 1000000")
}

/// Creates a Tokio runtime with four worker threads.
fn runtime() -> Runtime {
    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    runtime.expect("the runtime starts")
}

/// Returns the user and system time that this process has used, in seconds.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // User and system time: fields 14 and 15 of the line, counted from field 3, the state.
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the resident memory of this process, in bytes; 0 if it cannot be read.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Creates an empty series over the number of concurrent callers.
fn series(name: &'static str) -> Series {
    Series {
        name,
        over: "callers at once",
        points: Vec::new(),
    }
}

/// Adds the value measured at a size to a series.
fn push(series: &mut Series, size: usize, value: f64) {
    series.points.push(Point { size, value });
}
