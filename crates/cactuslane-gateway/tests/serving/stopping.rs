//! Planned stops of an instance.

use std::time::Duration;

use cactuslane_platform_standin::{Fault, Mode};
use tokio::time::sleep;

use crate::deployment::{deploy, read_answer, run_test, wait_until};

/// Guards against requests that are cut at the end of a planned stop: they arrive while the store is
/// slow to answer the instance's last call.
#[test]
fn a_request_that_arrives_during_the_last_call_to_the_store_is_answered() {
    run_test(async {
        let deployment = deploy().await;
        let gateway = deployment.running.gateway.clone();
        let front = deployment.front();
        deployment.inject_fault(&deployment.workers, Fault::Slow(1_500));
        let key = "cactuslane/instances/front-1";
        let stopping = tokio::spawn(deployment.running.stop());
        let is_leaving = || {
            let entry = deployment.store.read(key);
            entry.is_some_and(|entry| entry["leaving"] == true)
        };
        wait_until(is_leaving).await;
        deployment.store.set_mode(Mode::Silent);
        // No caller has the address any more, and the entry is being deleted.
        sleep(gateway.settings().address_ttl + Duration::from_millis(800)).await;
        let request = cactuslane_platform_standin::caller::request(front, "/lookup/7", "r1");
        let client = cactuslane_store::http::Client::open_unpooled();
        let answer = tokio::spawn(async move {
            let response = client.send(request).await.expect("the request is answered");
            read_answer(response).await
        });
        wait_until(|| gateway.requests() > 0).await;
        stopping.await.expect("the instance stops");
        assert_eq!(gateway.requests(), 0, "requests in progress at the end");
        let answer = answer.await.expect("the caller does not panic");
        assert_eq!((answer.status, answer.complete), (200, true));
    });
}
