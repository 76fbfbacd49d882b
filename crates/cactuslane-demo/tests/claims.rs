//! Tests of idempotency keys: keys chosen by callers, which are claimed in the platform's key-value
//! store, and keys with a prefix issued by an instance, which need no claim.

use cactuslane_demo::caller::Caller;
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::{Deployment, Faults};
use tokio::task::JoinSet;

/// Path of the plain service that the calls are sent to.
const PATH: &str = "/services/registru-anchete/counts";
/// Number of concurrent calls.
const CALLS: usize = 100;

/// Starts the deployment of Cluj with a single entry instance, and waits until it is ready.
async fn cluster() -> Cluster {
    let options = Options {
        pace: 50.0,
        entries: Some(1),
        ..Options::default()
    };
    let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
    let cluster = cluster.expect("it starts");
    assert!(cluster.wait_ready().await);
    cluster
}

/// The claims of 100 concurrent calls are batched into fewer than 50 writes, each call runs once,
/// and each gets its own response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_claims_share_writes() {
    let cluster = cluster().await;
    let caller = Caller::new(cluster.entries["entry-1"].address());
    let before = cluster.platform.counts().writes;
    let mut calls = JoinSet::new();
    for number in 0..CALLS {
        let caller = caller.clone();
        calls.spawn(async move {
            let key = format!("own-{number}");
            let mut response = caller.post_keyed(PATH, &key, &key).await;
            // A connection may be refused on a busy machine; the key makes the retry safe.
            while response.status == 0 {
                response = caller.post_keyed(PATH, &key, &key).await;
            }
            assert_eq!(
                (response.status, &response.json()["echo"]),
                (200, &serde_json::json!(key))
            );
        });
    }
    while let Some(ended) = calls.join_next().await {
        ended.expect("every call gets its own response");
    }
    let writes = cluster.platform.counts().writes - before;
    assert!(writes < CALLS as u64 / 2, "{writes} writes");
    let runs = cluster.run_counter.all();
    assert_eq!(runs.len(), CALLS);
    assert!(runs.values().all(|count| *count == 1));
}

/// While the platform is down, a call with an issued key runs once and repeats get the response of
/// that run, whereas a call with a key of the caller's own is refused without a run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn issued_keys_need_no_store() {
    let cluster = cluster().await;
    let caller = Caller::new(cluster.entries["entry-1"].address());
    let answer = caller.get("/v1/addresses").await.json();
    let prefix = answer["addresses"][0]["idempotency_key_prefix"]
        .as_str()
        .expect("a prefix");
    cluster.platform.set_down(true);
    let key = format!("{prefix}one");
    for _ in 0..3 {
        let response = caller.post_keyed(PATH, &key, "x").await;
        assert_eq!(
            (response.status, &response.json()["run"]),
            (200, &serde_json::json!(1))
        );
    }
    let own = caller.post_keyed(PATH, "own", "x").await;
    assert_eq!(
        (own.status, own.header("cactuslane-outcome")),
        (503, "unknown")
    );
    assert_eq!(cluster.run_counter.runs("own"), 0);
}
