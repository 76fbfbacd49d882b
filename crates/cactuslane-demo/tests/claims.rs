//! Claims of callers' own keys at the key-value service.

use cactuslane_demo::caller::Caller;
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::{Deployment, Faults};
use tokio::task::JoinSet;

/// Path of the calls.
const PATH: &str = "/services/registru-anchete/counts";
/// Number of calls at once.
const CALLS: usize = 100;

/// Spawns one entry instance with the targets of Cluj.
async fn cluster() -> Cluster {
    let options = Options {
        pace: 50.0,
        entries: Some(1),
        ..Options::default()
    };
    let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
    let cluster = cluster.expect("it starts");
    assert!(cluster.ready().await);
    cluster
}

/// Many calls at once are claimed in few writes, each runs once, and each gets its own answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_share_writes() {
    let cluster = cluster().await;
    let caller = Caller::new(cluster.entries["entry-1"].address());
    let before = cluster.platform.counts().writes;
    let mut calls = JoinSet::new();
    for number in 0..CALLS {
        let caller = caller.clone();
        calls.spawn(async move {
            let key = format!("own-{number}");
            let mut reply = caller.post_keyed(PATH, &key, &key).await;
            // A busy machine may refuse a connection; the key makes it safe to call again.
            while reply.status == 0 {
                reply = caller.post_keyed(PATH, &key, &key).await;
            }
            assert_eq!(
                (reply.status, &reply.json()["echo"]),
                (200, &serde_json::json!(key))
            );
        });
    }
    while let Some(ended) = calls.join_next().await {
        ended.expect("it has its own answer");
    }
    let writes = cluster.platform.counts().writes - before;
    assert!(writes < CALLS as u64 / 2, "{writes} writes");
    let runs = cluster.run_counter.all();
    assert_eq!(runs.len(), CALLS);
    assert!(runs.values().all(|count| *count == 1));
}

/// A call with an issued key needs no write, and runs while the service is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn issued_keys_need_no_service() {
    let cluster = cluster().await;
    let caller = Caller::new(cluster.entries["entry-1"].address());
    let answer = caller.get("/v1/addresses").await.json();
    let prefix = answer["addresses"][0]["idempotency_key_prefix"]
        .as_str()
        .expect("a prefix");
    cluster.platform.set_down(true);
    let key = format!("{prefix}one");
    for _ in 0..3 {
        let reply = caller.post_keyed(PATH, &key, "x").await;
        assert_eq!(
            (reply.status, &reply.json()["run"]),
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
