//! Tests of the clients against the stand-in of the platform, with injected faults.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactuslane_standin::platform::Platform;
use cactuslane_standin::{Fault, FaultKind, Faults};
use cactuslane_store::list::{ListReader, ListedKind};
use cactuslane_store::{Compare, Op, Store, StoreError, Txn};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;
use yare::parameterized;

/// Starts a stand-in of the platform on a free port, whose list has no lag.
async fn platform(faults: &Faults) -> Platform {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Platform::bind(address, faults.clone(), Duration::ZERO)
        .await
        .expect("the stand-in binds a free port")
}

/// Builds a compare-and-swap: it writes `value` only if the key was last changed at `revision`, or
/// is absent if `revision` is 0, and reads the key otherwise.
fn put_if(key: &str, revision: u64, value: &str) -> Txn {
    let condition = match revision {
        0 => Compare::Absent(key.to_owned()),
        revision => Compare::Modified(key.to_owned(), revision),
    };
    Txn {
        compare: vec![condition],
        then: vec![Op::Put(key.to_owned(), value.as_bytes().to_vec(), None)],
        otherwise: vec![Op::Get(key.to_owned())],
    }
}

/// Runs a future to completion on a new single-threaded runtime.
fn block<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(future)
}

/// Of two compare-and-swaps that expect an absent key, only the first takes effect; the second
/// reads the value of the first. Two instances could claim the same key otherwise.
#[test]
fn a_compare_and_swap_takes_effect_once() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        let first = store
            .txn(&put_if("k", 0, "a"))
            .await
            .expect("the stand-in responds");
        assert!(first.succeeded);
        let second = store
            .txn(&put_if("k", 0, "b"))
            .await
            .expect("the stand-in responds");
        assert!(!second.succeeded);
        let read = second.reads[0].clone().expect("the key exists");
        assert_eq!(
            (read.value.as_slice(), read.modified),
            (b"a".as_slice(), first.revision)
        );
        assert_eq!(
            store.range("k").await.expect("the stand-in responds").len(),
            1
        );
    });
}

/// A write without a complete response is reported as [`StoreError::Lost`], whether the connection
/// was closed before it took effect (`down`) or the response was lost or cut off after that.
#[parameterized(
    down = { FaultKind::Down, false },
    lost = { FaultKind::Lost, true },
    cut = { FaultKind::Cut, true },
)]
fn a_failed_write_is_reported_as_lost(kind: FaultKind, in_effect: bool) {
    block(async {
        let faults = Faults::default();
        let platform = platform(&faults).await;
        let store = Store::open(platform.address());
        let fault = Fault {
            target: "platform".to_owned(),
            on: "write".to_owned(),
            kind,
            after: 0,
            count: 1,
            delay_ms: 0,
        };
        faults.add(fault);
        let error = store
            .txn(&put_if("k", 0, "a"))
            .await
            .expect_err("the write gets no complete response");
        assert!(matches!(error, StoreError::Lost(_)), "{error}");
        let read = store.get("k").await.expect("the stand-in responds");
        assert_eq!(read.is_some(), in_effect);
    });
}

/// A refused connection is reported as [`StoreError::Unreachable`], not as a lost response.
#[test]
fn a_refused_connection_is_unreachable() {
    block(async {
        let store = Store::open(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)));
        let error = store
            .get("k")
            .await
            .expect_err("no server listens on port 1");
        assert!(matches!(error, StoreError::Unreachable(_)), "{error}");
    });
}

/// A key is deleted when its lease expires, and has a higher creation revision when it is created
/// again. That revision serves as a fencing token, which must not repeat.
#[test]
fn an_expired_lease_deletes_its_keys() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        let lease = store
            .grant(Duration::from_mins(1))
            .await
            .expect("the stand-in responds");
        let put = Op::Put("o".to_owned(), b"x".to_vec(), Some(lease));
        let txn = Txn {
            compare: vec![Compare::Absent("o".to_owned())],
            then: vec![put],
            ..Txn::default()
        };
        let first = store.txn(&txn).await.expect("the stand-in responds");
        assert!(first.succeeded && store.renew(lease).await.expect("the stand-in responds"));
        platform.expire_all_leases();
        assert!(!store.renew(lease).await.expect("the stand-in responds"));
        assert_eq!(store.get("o").await.expect("the stand-in responds"), None);
        let lease = store
            .grant(Duration::from_mins(1))
            .await
            .expect("the stand-in responds");
        let put = Op::Put("o".to_owned(), b"y".to_vec(), Some(lease));
        let txn = Txn {
            then: vec![put],
            ..Txn::default()
        };
        let second = store.txn(&txn).await.expect("the stand-in responds");
        let record = store
            .get("o")
            .await
            .expect("the stand-in responds")
            .expect("the key exists");
        assert!(record.created > first.revision && record.created == second.revision);
        assert_eq!(record.modified, record.created);
    });
}

/// Nested transactions in one call evaluate their conditions independently of each other.
#[test]
fn nested_transactions_evaluate_their_own_conditions() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        store
            .txn(&put_if("b", 0, "x"))
            .await
            .expect("the stand-in responds");
        let nested = ["a", "b"].map(|key| Op::Txn(put_if(key, 0, "y")));
        let response = store
            .txn(&Txn {
                then: nested.to_vec(),
                ..Txn::default()
            })
            .await;
        let response = response.expect("the stand-in responds");
        let succeeded: Vec<bool> = response
            .nested
            .iter()
            .map(|inner| inner.succeeded)
            .collect();
        assert_eq!(succeeded, vec![true, false]);
    });
}

/// A watch reports the change after its revision, whether made before or after the watch starts.
#[test]
fn a_watch_reports_changes_before_and_after_its_start() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        let first = store
            .txn(&put_if("w", 0, "a"))
            .await
            .expect("the stand-in responds")
            .revision;
        store
            .txn(&put_if("w", first, "b"))
            .await
            .expect("the stand-in responds");
        let wait = Duration::from_secs(30);
        let seen = store
            .wait_for_change("w", first, wait)
            .await
            .expect("the stand-in responds")
            .expect("a change is reported");
        assert_eq!(seen.value, b"b");
        let writer = store.clone();
        let task = tokio::spawn(async move { writer.txn(&put_if("w", seen.modified, "c")).await });
        let next = store
            .wait_for_change("w", seen.modified, wait)
            .await
            .expect("the stand-in responds");
        assert_eq!(next.expect("a change is reported").value, b"c");
        assert!(
            task.await
                .expect("the task completes")
                .expect("the stand-in responds")
                .succeeded
        );
    });
}

/// A watch from a compacted revision is refused, so that the caller reads the key again instead of
/// missing changes.
#[test]
fn a_watch_of_compacted_history_is_refused() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        let first = store
            .txn(&put_if("w", 0, "a"))
            .await
            .expect("the stand-in responds")
            .revision;
        store
            .txn(&put_if("w", first, "b"))
            .await
            .expect("the stand-in responds");
        platform.compact();
        let result = store
            .wait_for_change("w", first, Duration::from_secs(30))
            .await;
        assert!(matches!(result, Err(StoreError::Refused(_))), "{result:?}");
        assert_eq!(
            store
                .get("w")
                .await
                .expect("the stand-in responds")
                .expect("the key exists")
                .value,
            b"b"
        );
    });
}

/// The instance list is read with its labels, instances of an unknown kind are skipped, and an
/// unchanged list is not returned again.
#[test]
fn the_list_skips_unknown_kinds_and_unchanged_lists() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_001));
        let labels = [
            ("kind", "engine"),
            ("failure_domain", "a"),
            ("service", "m"),
        ];
        platform.list_instance("engine-1", address, &labels);
        platform.list_instance("odd", address, &[("kind", "printer")]);
        platform.mark_leaving("engine-1");
        let mut reader = ListReader::open(platform.address());
        let listed = reader
            .read()
            .await
            .expect("the stand-in responds")
            .expect("the list has changed");
        assert_eq!(listed.len(), 1);
        assert_eq!(
            (listed[0].kind, listed[0].leaving),
            (ListedKind::Engine, true)
        );
        assert_eq!(listed[0].service, "m");
        assert_eq!(reader.read().await, Ok(None));
        platform.remove_instance("engine-1");
        assert_eq!(reader.read().await, Ok(Some(Vec::new())));
    });
}

/// An operation on a register, as called or with its result.
#[derive(Clone, Debug)]
enum RegisterOp {
    /// A read with its value (empty if the key is absent); `None` in the call.
    Read(Option<String>),
    /// A compare-and-swap with the old value, the new value and whether it took effect; `None` in
    /// the call.
    Swap(String, String, Option<bool>),
}

/// The sequential specification of a register with reads and compare-and-swaps.
struct RegisterSpec;

impl Specification for RegisterSpec {
    type State = String;
    type Operation = RegisterOp;

    fn init() -> Self::State {
        String::new()
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            RegisterOp::Read(read) => (read.as_ref() == Some(state), state.clone()),
            RegisterOp::Swap(old, new, succeeded) => {
                let succeeds = old == state;
                let next = if succeeds { new.clone() } else { state.clone() };
                (*succeeded == Some(succeeds), next)
            }
        }
    }
}

/// The history of concurrent reads and compare-and-swaps by several clients is linearizable.
#[test]
fn concurrent_swaps_are_linearizable() {
    /// Number of concurrent clients, each in its own task.
    const CLIENTS: usize = 4;
    /// Number of swaps attempted by each client.
    const SWAPS: usize = 12;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let actions = runtime.expect("the runtime starts").block_on(async {
        let platform = platform(&Faults::default()).await;
        let actions = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
        let mut clients = Vec::new();
        for client in 0..CLIENTS {
            let store = Store::open(platform.address());
            let actions = std::sync::Arc::clone(&actions);
            let record_action = move |action| {
                actions
                    .lock()
                    .expect("no client has panicked")
                    .push((client, action));
            };
            clients.push(tokio::spawn(async move {
                for turn in 0..SWAPS {
                    record_action(Action::Call(RegisterOp::Read(None)));
                    let record = store.get("r").await.expect("the stand-in responds");
                    let value = record
                        .as_ref()
                        .map(|r| String::from_utf8_lossy(&r.value).into_owned());
                    let value = value.unwrap_or_default();
                    record_action(Action::Response(RegisterOp::Read(Some(value.clone()))));
                    let new = format!("{client}-{turn}");
                    record_action(Action::Call(RegisterOp::Swap(
                        value.clone(),
                        new.clone(),
                        None,
                    )));
                    let revision = record.map_or(0, |record| record.modified);
                    let response = store
                        .txn(&put_if("r", revision, &new))
                        .await
                        .expect("the stand-in responds");
                    record_action(Action::Response(RegisterOp::Swap(
                        value,
                        new,
                        Some(response.succeeded),
                    )));
                }
            }));
        }
        for client in clients {
            client.await.expect("the task completes");
        }
        std::sync::Arc::into_inner(actions)
            .expect("all clients have completed")
            .into_inner()
            .expect("no client has panicked")
    });
    assert!(WGLChecker::<RegisterSpec>::is_linearizable(
        History::from_actions(actions)
    ));
}
