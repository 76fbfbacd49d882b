//! Changes of the store beside large values: the document and the records of streams.

use std::time::Duration;

use cactuslane_gateway::GatewayHandle;
use cactuslane_gateway::origins::reads;
use cactuslane_platform::store::CONFIG_KEY;
use tokio::time::sleep;

use crate::control::{RELAYED_FLEET, large_document, start_instances};
use crate::deployment::{deploy, run_test, start_instance, wait_until};

/// Guards against reads of a large document that begin again before they are complete.
#[test]
fn a_document_that_takes_longer_than_a_timeout_comes_into_force_at_all_instances() {
    run_test(async {
        let deployment = deploy().await;
        let fleet = start_instances(&deployment, RELAYED_FLEET).await;
        // 25 parts of 16 KiB take 1.5 s.
        deployment.store.set_part_time(Duration::from_millis(60));
        deployment.store.configure(&large_document(9, 1200));
        let version = |running: &GatewayHandle| {
            let config = running.gateway.routing_config();
            config.map(|config| config.version)
        };
        wait_until(|| fleet.iter().all(|running| version(running) == Some(9))).await;
        deployment.store.configure(&large_document(12, 1200));
        wait_until(|| fleet.iter().all(|running| version(running) == Some(12))).await;
    });
}

/// Guards against changes of targets that wait until a large document has been received.
#[test]
fn a_target_that_leaves_is_known_before_a_large_document_is_received() {
    run_test(async {
        let deployment = deploy().await;
        let fleet = start_instances(&deployment, RELAYED_FLEET).await;
        // The document takes longer than the test.
        deployment.store.set_part_time(Duration::from_millis(600));
        deployment.store.configure(&large_document(9, 6000));
        sleep(Duration::from_millis(50)).await;
        deployment.workers[0].register(&deployment.store, "draining");
        let uses = |running: &GatewayHandle| running.gateway.target("i-w1").is_some();
        wait_until(|| !fleet.iter().any(uses)).await;
        deployment.store.remove_target("i-w2");
        let knows = |running: &GatewayHandle| running.gateway.fleet().count_usable(0) > 0;
        let uses = |running: &GatewayHandle| running.gateway.target("i-w2").is_some();
        wait_until(|| !fleet.iter().any(uses)).await;
        assert!(fleet.iter().all(knows));
        let config = |running: &GatewayHandle| running.gateway.routing_config();
        assert!(
            fleet
                .iter()
                .all(|running| config(running).is_some_and(|config| config.version == 3))
        );
    });
}

/// Guards against changes of targets that wait until records of streams have been received.
#[test]
fn a_target_that_leaves_is_known_before_large_records_of_streams_are_received() {
    run_test(async {
        let deployment = deploy().await;
        let fleet = start_instances(&deployment, RELAYED_FLEET).await;
        // The records take longer than the test.
        deployment.store.set_part_time(Duration::from_millis(600));
        deployment.store.write(RECORD_KEY, &large_record(60_000));
        sleep(Duration::from_millis(50)).await;
        deployment.workers[0].register(&deployment.store, "draining");
        let uses = |running: &GatewayHandle| running.gateway.target("i-w1").is_some();
        wait_until(|| !fleet.iter().any(uses)).await;
    });
}

/// Guards against instances that read the document as records of streams take long to arrive.
#[test]
fn the_document_is_not_read_while_only_records_of_streams_arrive() {
    run_test(async {
        let deployment = deploy().await;
        let fleet = start_instances(&deployment, RELAYED_FLEET).await;
        // The records take 0.9 s.
        deployment.store.set_part_time(Duration::from_millis(30));
        let reads = || deployment.store.read_count(CONFIG_KEY);
        let before = reads();
        deployment.store.write(RECORD_KEY, &large_record(18_000));
        sleep(Duration::from_millis(500)).await;
        deployment.workers[0].register(&deployment.store, "draining");
        let uses = |running: &GatewayHandle| running.gateway.target("i-w1").is_some();
        wait_until(|| !fleet.iter().any(uses)).await;
        sleep(Duration::from_secs(1)).await;
        assert_eq!(reads(), before);
    });
}

/// Guards against instances that are not ready until records of streams have been received.
#[test]
fn an_instance_starts_before_large_records_of_streams_are_received() {
    run_test(async {
        let deployment = deploy().await;
        // The records take longer than the test.
        deployment.store.write(RECORD_KEY, &large_record(60_000));
        deployment.store.set_part_time(Duration::from_millis(600));
        let running = start_instance("front-late", &deployment.store).await;
        let gateway = running.gateway.clone();
        wait_until(|| gateway.is_ready() && gateway.target("i-d2").is_some()).await;
    });
}

/// Guards against reads of records that are given up and begin again from nothing.
#[test]
fn records_of_streams_that_take_longer_than_a_timeout_are_read() {
    /// Number of requests that need the records, at least 0.1 s after each other.
    const REQUESTS: u32 = 30;
    run_test(async {
        let deployment = deploy().await;
        let fleet = start_instances(&deployment, RELAYED_FLEET).await;
        // The records take 0.9 s.
        deployment.store.set_part_time(Duration::from_millis(30));
        deployment.store.write(RECORD_KEY, &large_record(18_000));
        // The instances that watch the store know them without asking.
        let lacks = |running: &&GatewayHandle| running.gateway.origins().version(17_999).is_none();
        sleep(Duration::from_secs(2)).await;
        let receiver = fleet.iter().find(lacks).expect("most receive relays");
        for _ in 0..REQUESTS {
            let gateway = &receiver.gateway;
            reads::read_since(gateway, gateway.elapsed()).await;
            if receiver.gateway.origins().version(17_999).is_some() {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("the records were not read");
    });
}

/// Key of a record of streams.
const RECORD_KEY: &str = "cactuslane/streams/front-x/1";

/// Returns a record of streams, each of which takes about 19 bytes.
fn large_record(streams: u64) -> serde_json::Value {
    let ids: Vec<String> = (0..streams).map(|id| format!("{id:016x}")).collect();
    serde_json::json!({ "begun": { "v1": ids } })
}
