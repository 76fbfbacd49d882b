//! Tests of requests from a caller through every part of a deployment without faults.

use cactuslane_demo::caller::{Caller, expected_text};
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::{Deployment, Faults};
use serde_json::{Value, json};

/// Starts the deployment of Cluj with engines 50 times as fast as real ones, and waits until all
/// entry instances are ready.
async fn cluster() -> Cluster {
    let options = Options {
        pace: 50.0,
        ..Options::default()
    };
    let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
    let cluster = cluster.expect("the deployment starts");
    assert!(cluster.wait_ready().await);
    cluster
}

/// Every entry instance answers a completion with the text that the engine generates, both in one
/// body and as a stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_entry_serves_completions() {
    let cluster = cluster().await;
    let model = cluster.deployment.model.0;
    for entry in cluster.entries.values() {
        let caller = Caller::new(entry.address());
        let whole = caller.complete(model, "count the cars", 6, false).await;
        assert_eq!(whole.status, 200, "{}", whole.text());
        let expected = expected_text("count the cars", 6);
        assert_eq!(
            whole.json()["choices"][0]["text"],
            Value::from(expected.clone())
        );
        let stream = caller.complete(model, "count the cars", 6, true).await;
        assert_eq!(stream.streamed_text(), expected);
        assert!(stream.text().ends_with("data: [DONE]\n\n"));
    }
}

/// `/v1/addresses` names entry instances with their serving addresses, a prefix for idempotency
/// keys that is bound to the instance, and the time for which the answer is valid.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn addresses_name_serving_instances() {
    let cluster = cluster().await;
    let entry = cluster.entries.values().next().expect("there is an entry");
    let answer = Caller::new(entry.address())
        .get("/v1/addresses")
        .await
        .json();
    let addresses = answer["addresses"].as_array().expect("a list").clone();
    assert!(!addresses.is_empty());
    for address in addresses {
        let name = address["instance"].as_str().expect("a name");
        let serving = cluster.entries[name].address();
        assert_eq!(address["url"], json!(format!("http://{serving}")));
        assert!(
            address["idempotency_key_prefix"]
                .as_str()
                .is_some_and(|key| key.len() > 20)
        );
    }
    assert!(
        answer["valid_for_seconds"]
            .as_f64()
            .is_some_and(|seconds| seconds > 0.0)
    );
}

/// A request with an invalid token is refused with status 401 on every path, whether it exists or
/// not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_token_is_refused() {
    let cluster = cluster().await;
    let entry = cluster.entries.values().next().expect("there is an entry");
    let mut caller = Caller::new(entry.address());
    caller.token = "wrong".to_owned();
    for path in [
        "/v1/models",
        "/v1/addresses",
        "/services/registru-anchete/x",
        "/nothing",
    ] {
        let answer = caller.get(path).await;
        assert_eq!(answer.status, 401);
        assert_eq!(answer.header("cactuslane-outcome"), "not-run");
    }
}
