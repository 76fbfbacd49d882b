//! Connections to the store that go silent for good without being closed, while new ones work.

use cactuslane_gateway::{Gateway, GatewayHandle};
use cactuslane_platform_standin::link::Link;
use cactuslane_platform_standin::{Mode, Store, document, settings};

use crate::deployment::{run_test, wait_until};

/// Returns the number of calls of an operation that got no answer.
fn lost_calls(running: &GatewayHandle, operation: &'static str) -> u64 {
    count_calls(running, operation, "lost")
}

/// Returns the number of calls of an operation with a result.
fn count_calls(running: &GatewayHandle, operation: &'static str, result: &'static str) -> u64 {
    let labels = [("call", operation), ("result", result)];
    running.gateway.store.calls.get_or_create(&labels).get()
}

/// Guards against a configuration that comes into force late, and a registration that lapses, because
/// one kept connection after the other turns out to be silent, each after the time-out of a call.
#[test]
fn one_call_of_each_kind_is_lost_when_all_connections_go_silent() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        store.configure(&document(3));
        let link = Link::bind(store.address).await;
        let link = link.expect("a port can be bound");
        let running = Gateway::spawn(settings("front-1", link.address)).await;
        let running = running.expect("the instance starts");
        let version = || {
            let config = running.gateway.routing_config();
            config.map(|config| config.version)
        };
        // The instance has read all keys with several calls at a time, and registered.
        wait_until(|| version() == Some(3) && !store.keys("cactuslane/leader").is_empty()).await;
        link.silence();
        store.configure(&document(4));
        wait_until(|| version() == Some(4)).await;
        for operation in ["watch", "renew", "update", "grant"] {
            let lost = lost_calls(&running, operation);
            assert!(lost <= 1, "{lost} calls of {operation} got no answer");
        }
        assert_eq!(lost_calls(&running, "watch"), 1);
        assert_eq!(store.keys("cactuslane/instances/").len(), 1);
    });
}

/// Guards against a configuration that comes into force late, as the watch after a long pause is sent
/// on a connection that went silent during it.
#[test]
fn no_watch_is_lost_when_connections_go_silent_in_the_pause_after_a_refusal() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        store.configure(&document(3));
        let link = Link::bind(store.address).await;
        let link = link.expect("a port can be bound");
        let running = Gateway::spawn(settings("front-1", link.address)).await;
        let running = running.expect("the instance starts");
        let version = || {
            let config = running.gateway.routing_config();
            config.map(|config| config.version)
        };
        wait_until(|| version() == Some(3)).await;
        store.set_mode(Mode::Busy);
        let refused = || count_calls(&running, "watch", "refused");
        // The pause after the fourth refusal is at least 500 ms.
        wait_until(|| refused() == 4).await;
        link.silence();
        let lost = lost_calls(&running, "watch");
        store.set_mode(Mode::Serving);
        store.configure(&document(4));
        wait_until(|| version() == Some(4)).await;
        assert_eq!(lost_calls(&running, "watch"), lost);
    });
}
