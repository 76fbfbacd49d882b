//! Instances that take the duties from each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_gateway::duties::DutyAnswer;
use cactuslane_gateway::{Gateway, GatewayHandle};
use cactuslane_platform_standin::link::{Cut, Link};
use cactuslane_platform_standin::{DutyEndpoint, Store, document};
use tokio::time::sleep;
use yare::parameterized;

use crate::holder::{duty_settings, order, run_test, wait_until};

/// `lease_ms` of the stand-in's settings, within which no holder acts between two calls of another.
const LEASE: Duration = Duration::from_secs(3);

/// Starts an instance that orders targets all the time while it holds the duties, with the link to
/// its store.
async fn start(name: &str, store: &Store, platform: SocketAddr) -> (GatewayHandle, Link) {
    let link = Link::bind(store.address)
        .await
        .expect("a port can be bound");
    let settings = duty_settings(name, link.address, platform);
    let running = Gateway::spawn(settings).await.expect("the instance starts");
    let gateway: Arc<Gateway> = running.gateway.clone();
    tokio::spawn(async move {
        for count in 0.. {
            if gateway.duties.call(&order("a", count)).await != DutyAnswer::Accepted {
                sleep(Duration::from_millis(20)).await;
            }
            sleep(Duration::from_millis(30)).await;
        }
    });
    (running, link)
}

/// Returns the names of the holders in the order of their calls.
fn holders(platform: &DutyEndpoint) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for call in platform.accepted() {
        if names.last() != Some(&call.holder) {
            names.push(call.holder);
        }
    }
    names
}

#[test]
fn a_holder_that_is_cut_off_from_the_store_stops_before_the_next_one_begins() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        store.configure(&document(3));
        let (_first, link) = start("front-1", &store, platform.address).await;
        wait_until(|| platform.accepted().len() > 3).await;
        let (_second, _other) = start("front-2", &store, platform.address).await;
        sleep(Duration::from_millis(500)).await;
        link.set_cut(Some(Cut::Hang));
        wait_until(|| holders(&platform) == ["front-1", "front-2"]).await;
        link.set_cut(None);
        let before = platform.accepted().len();
        wait_until(|| platform.accepted().len() > before + 20).await;
        assert_eq!(holders(&platform), ["front-1", "front-2"]);
        let found = platform.violations(LEASE);
        assert!(found.is_empty(), "{found:?}");
    });
}

#[test]
fn a_holder_that_leaves_makes_no_further_call() {
    run_test(async {
        let store = Store::bind().await.expect("a port can be bound");
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        store.configure(&document(3));
        let (first, _link) = start("front-1", &store, platform.address).await;
        wait_until(|| platform.accepted().len() > 3).await;
        let (_second, _other) = start("front-2", &store, platform.address).await;
        let stopping = tokio::spawn(first.stop());
        wait_until(|| holders(&platform) == ["front-1", "front-2"]).await;
        stopping.await.expect("it stops");
        assert_eq!(holders(&platform), ["front-1", "front-2"]);
        let found = platform.violations(LEASE);
        assert!(found.is_empty(), "{found:?}");
    });
}

/// What hangs in a link reaches the platform when the link heals, whoever closed the connection
/// meanwhile; the platform allows for that, so that only the link that closes connections heals here.
#[parameterized(
    hanging = { Cut::Hang, false },
    closing = { Cut::Reset, true },
)]
fn a_holder_that_is_cut_off_from_the_platform_gives_the_duties_up(cut: Cut, heals: bool) {
    run_test(async move {
        let store = Store::bind().await.expect("a port can be bound");
        let platform = DutyEndpoint::bind().await.expect("a port can be bound");
        store.configure(&document(3));
        let link = Link::bind(platform.address)
            .await
            .expect("a port can be bound");
        let (_first, _link) = start("front-1", &store, link.address).await;
        wait_until(|| platform.accepted().len() > 3).await;
        let (_second, _other) = start("front-2", &store, platform.address).await;
        link.set_cut(Some(cut));
        wait_until(|| holders(&platform) == ["front-1", "front-2"]).await;
        if heals {
            link.set_cut(None);
        }
        let before = platform.accepted().len();
        wait_until(|| platform.accepted().len() > before + 20).await;
        assert_eq!(holders(&platform), ["front-1", "front-2"]);
        let found = platform.violations(LEASE);
        assert!(found.is_empty(), "{found:?}");
    });
}
