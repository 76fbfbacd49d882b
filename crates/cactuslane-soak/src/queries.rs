//! Queries to the instances of a run.

use std::future::Future;
use std::time::Duration;

use cactuslane_store::http::Client;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use tokio::time::{Instant, timeout};

use crate::process::Instance;

/// Maximum time for an instance to answer a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// The answer of an instance to a query.
#[derive(Debug)]
pub struct Answer {
    /// Name of the instance and address of its process.
    pub process: String,
    /// Arrival time of the answer.
    pub at: Instant,
    /// Body of the answer.
    pub body: Bytes,
}

/// Sends a GET request to all instances that have started, and returns the answers in the order of
/// the instances.
///
/// They are asked at once: those that do not answer take 400 ms together, in which the run applies no
/// step.
pub async fn ask_all(instances: &[Instance], path: &str) -> Vec<Answer> {
    let mut queries = Vec::new();
    for instance in instances {
        let Some(addresses) = instance.addresses() else {
            continue;
        };
        let process = format!("{} at {}", instance.name, addresses.front);
        let address = format!("http://{}{path}", addresses.ready);
        queries.push(async move {
            let body = query(&address).await?;
            let at = Instant::now();
            Some(Answer { process, at, body })
        });
    }
    all(queries).await.into_iter().flatten().collect()
}

/// Runs queries at once and returns their results in order.
///
/// # Panics
///
/// Panics if a query panics.
pub async fn all<T, F>(queries: Vec<F>) -> Vec<T>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let tasks: Vec<_> = queries.into_iter().map(tokio::spawn).collect();
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await.expect("no query panics"));
    }
    results
}

/// Sends a GET request; returns the body, or `None` without a complete answer of status 200 within
/// [`QUERY_TIMEOUT`].
async fn query(address: &str) -> Option<Bytes> {
    let request = Request::get(address).body(Full::new(Bytes::new())).ok()?;
    let client = Client::open_unpooled();
    let answer = timeout(QUERY_TIMEOUT, client.send_and_collect(request)).await;
    let (status, body) = answer.ok()?.ok()?;
    (status == 200).then_some(body)
}
