//! A store that comes back from an older copy of its contents: what it acknowledged since is lost, and
//! it gives out the same revisions and leases again.

use std::time::Duration;

use cactuslane_gateway::GatewayHandle;
use cactuslane_gateway::leadership::boot_millis;
use cactuslane_platform_standin::{Mode, Store, document};
use serde_json::json;
use tokio::time::sleep;
use yare::parameterized;

use crate::deployment::{deploy, run_test, start_instance, wait_until};

/// Time for which the store is away.
const ABSENCE: Duration = Duration::from_millis(300);

/// Changes a key that no instance uses so many times.
fn change(store: &Store, times: u64) {
    for number in 0..times {
        store.write("op/other", &json!({ "number": number }));
    }
}

/// Returns the version of the configuration in force at an instance.
fn version(running: &GatewayHandle) -> Option<u64> {
    let config = running.gateway.routing_config();
    config.map(|config| config.version)
}

/// Guards against an acknowledged configuration that never comes into force: the store gives it a
/// revision that the instance had read before the store came back from an older copy.
#[parameterized(
    store_behind_the_known_revision = { 5, 0 },
    store_at_the_known_revision = { 0, 0 },
    store_beyond_the_known_revision = { 5, 30 },
)]
fn a_configuration_after_an_older_copy_comes_into_force(lost: u64, more: u64) {
    run_test(async move {
        let deployment = deploy().await;
        let store = &deployment.store;
        let backup = store.back_up();
        change(store, lost);
        store.configure(&document(4));
        wait_until(|| version(&deployment.running) == Some(4)).await;
        store.set_mode(Mode::Silent);
        sleep(ABSENCE).await;
        store.restore(backup);
        store.set_mode(Mode::Serving);
        // The operator writes what was lost again at once, and a newer version.
        store.configure(&document(4));
        store.configure(&document(5));
        change(store, more);
        wait_until(|| version(&deployment.running) == Some(5)).await;
        // All that follows is read as before.
        store.configure(&document(6));
        wait_until(|| version(&deployment.running) == Some(6)).await;
    });
}

/// Guards against two leaders after the store lost the acquisition of one of them, and against fencing
/// tokens that fall.
#[test]
fn one_instance_leads_after_an_older_copy() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        store.configure(&document(3));
        let mut running = Vec::new();
        for name in ["front-1", "front-2", "front-3"] {
            running.push(start_instance(name, &store).await);
        }
        let leads = |running: &GatewayHandle| {
            let mut leadership = running.gateway.leadership();
            leadership.is_held(boot_millis())
        };
        let token = |running: &GatewayHandle| running.gateway.leadership().token();
        wait_until(|| running.iter().any(leads)).await;
        let first = running.iter().position(leads).expect("one leads");
        let backup = store.back_up();
        change(&store, 20);
        // The leader stops, and another instance becomes the leader, which the copy does not have.
        let stopped = running.remove(first);
        let stopping = tokio::spawn(stopped.stop());
        wait_until(|| running.iter().any(leads)).await;
        let lost = running.iter().find_map(token).expect("one leads");
        store.set_mode(Mode::Silent);
        sleep(ABSENCE).await;
        store.restore(backup);
        store.set_mode(Mode::Serving);
        let mut ended = false;
        loop {
            let tokens: Vec<_> = running
                .iter()
                .filter(|it| leads(it))
                .filter_map(token)
                .collect();
            assert!(tokens.len() <= 1, "{tokens:?} lead at the same time");
            ended |= tokens.is_empty();
            if let Some(token) = tokens.first().filter(|token| **token != lost) {
                assert!(*token > lost, "{token} after {lost}");
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert!(ended, "the term that the store lost has ended");
        stopping.await.expect("the instance stops");
    });
}

/// Guards against an instance without an entry, or under a lease that the store gives to another one:
/// both are granted again after the store came back from an older copy.
#[test]
fn an_instance_registers_again_after_an_older_copy() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        store.configure(&document(3));
        let backup = store.back_up();
        let running = start_instance("front-1", &store).await;
        let keys = || store.keys("cactuslane/instances/");
        wait_until(|| !keys().is_empty()).await;
        store.restore(backup);
        assert!(keys().is_empty());
        wait_until(|| !keys().is_empty()).await;
        // An update that is conditional on the entry of the earlier era does not keep it there.
        running.stop().await;
        assert!(keys().is_empty());
    });
}

/// Guards against new work for a target that had left: the older copy lists it as it was before.
#[test]
fn a_target_that_was_leaving_gets_no_work_after_an_older_copy() {
    run_test(async {
        let deployment = deploy().await;
        let (store, gateway) = (&deployment.store, deployment.running.gateway.clone());
        let backup = store.back_up();
        deployment.workers[0].register(store, "draining");
        wait_until(|| gateway.target("i-w1").is_none()).await;
        store.remove_target("i-w2");
        wait_until(|| gateway.target("i-w2").is_none()).await;
        store.restore(backup);
        store.configure(&document(4));
        wait_until(|| version(&deployment.running) == Some(4)).await;
        assert!(
            store
                .read("servers/i-w1")
                .is_some_and(|entry| entry["state"] == "ready")
        );
        assert!(gateway.target("i-w1").is_none(), "it was draining");
        assert!(gateway.target("i-w2").is_none(), "it had left");
        assert!(gateway.target("i-d2").is_some(), "it has not");
    });
}
