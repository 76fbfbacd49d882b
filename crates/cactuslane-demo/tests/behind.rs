//! Forwarded calls at an instance that has not read the forwarding instance's configuration yet.

use std::time::Duration;

use cactuslane_config::document::hash_token;
use cactuslane_demo::caller::{Caller, Response};
use cactuslane_demo::{CALLER_TOKEN, CONFIG_KEY, Cluster, Options};
use cactuslane_standin::{Deployment, Faults};
use cactuslane_wire::token::{ForwardProof, IssuedKey, decode, encode};
use cactuslane_wire::{ClusterKey, Purpose};
use hyper::body::Bytes;
use sha2::{Digest, Sha256};
use yare::parameterized;

/// Path of the call.
const PATH: &str = "/services/registru-anchete/counts";
/// Body of the call.
const BODY: &str = "x";
/// Part of the configuration that lets the caller use the service.
const ALLOWED: &str = "\"services\": [\"registru-anchete\"]";
/// Number by which the revisions that a test states exceed those of the store.
const BEYOND: u64 = 1_000_000;

/// What a forwarding instance states of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stated {
    /// Nothing, as earlier builds.
    Nothing,
    /// A revision that the store has not reached.
    Later,
    /// The revision that is written while the call waits.
    Next,
    /// The revision in force.
    Current,
}

/// Returns the configuration, with the caller allowed to use the service or not.
fn document(is_allowed: bool) -> String {
    let text = Deployment::cluj().document(&hash_token(CALLER_TOKEN));
    assert!(text.contains(ALLOWED), "{text}");
    if is_allowed {
        return text;
    }
    text.replace(ALLOWED, "\"services\": []")
}

/// Starts a deployment with one instance.
async fn cluster(is_allowed: bool) -> Cluster {
    let options = Options {
        pace: 50.0,
        entries: Some(1),
        document: Some(document(is_allowed)),
        ..Options::default()
    };
    let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
    let cluster = cluster.expect("it starts");
    assert!(cluster.wait_ready().await);
    cluster
}

/// Returns the hash of the call with a key, as instances compute it.
fn call_hash(key: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in ["POST", PATH, key, BODY] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Sends a call as another instance forwards it, with a key that only the instance may execute.
async fn forward(cluster: &Cluster, revision: Option<u64>) -> Response {
    let caller = Caller::new(cluster.entries["entry-1"].address());
    let answer = caller.get("/v1/addresses").await.json();
    let prefix = answer["addresses"][0]["idempotency_key_prefix"].as_str();
    let prefix = prefix.expect("it has a prefix");
    let secret = ClusterKey::new(&cluster.settings("entry-2", "ardeal-a").cluster_key);
    let text = prefix.split('.').nth(1).expect("it has a token");
    let token: IssuedKey = decode(&secret, Purpose::IssuedKey, text).expect("it is a token");
    let key = format!("{prefix}one");
    let proof = ForwardProof {
        from: "entry-2".to_owned(),
        from_incarnation: 1,
        sequence: 1,
        to: token.instance,
        to_incarnation: token.incarnation,
        caller: token.caller,
        call_hash: call_hash(&key),
    };
    let proof = encode(&secret, Purpose::Forward, &proof);
    let revision = revision.map(|revision| revision.to_string());
    let mut headers = vec![
        ("cactuslane-forward", proof.as_str()),
        ("idempotency-key", &key),
    ];
    if let Some(revision) = &revision {
        headers.push(("cactuslane-config-revision", revision));
    }
    caller.send("POST", PATH, &headers, Bytes::from(BODY)).await
}

/// Guards against an instance that decides on a forwarded call by an older configuration than that of
/// the forwarding instance: it does not know the service yet that the caller may use.
#[parameterized(
    nothing_stated = { Stated::Nothing, 503, "unknown" },
    never_read = { Stated::Later, 503, "unknown" },
    read_meanwhile = { Stated::Next, 200, "" },
    known_not_to_be_allowed = { Stated::Current, 404, "unknown" },
)]
fn a_forwarded_call_waits_for_its_configuration(stated: Stated, status: u16, outcome: &str) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let cluster = cluster(false).await;
        let current = cluster.entries["entry-1"].config_revision();
        let revision = match stated {
            Stated::Nothing => None,
            Stated::Later => Some(current + BEYOND),
            Stated::Next => Some(current + 1),
            Stated::Current => Some(current),
        };
        let writing = async {
            if stated == Stated::Next {
                tokio::time::sleep(Duration::from_millis(100)).await;
                cluster.platform.put(CONFIG_KEY, document(true).as_bytes());
            }
        };
        let (answer, ()) = tokio::join!(forward(&cluster, revision), writing);
        let seen = (answer.status, answer.header("cactuslane-outcome"));
        assert_eq!(seen, (status, outcome), "{}", answer.text());
    });
}
