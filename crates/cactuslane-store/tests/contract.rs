//! The contract with the key-value service, against the stand-in and its table of faults.

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

/// Binds a platform with a table of faults.
async fn platform(faults: &Faults) -> Platform {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Platform::bind(address, faults.clone(), Duration::ZERO)
        .await
        .expect("it binds")
}

/// Builds a write that holds only if a key has a revision, or is absent with 0.
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

/// Runs a future on a runtime of its own.
fn block<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(future)
}

/// A compare-and-swap takes effect once, and the loser reads the winner's value.
#[test]
fn a_compare_and_swap_takes_effect_once() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        let first = store.txn(&put_if("k", 0, "a")).await.expect("it answers");
        assert!(first.succeeded);
        let second = store.txn(&put_if("k", 0, "b")).await.expect("it answers");
        assert!(!second.succeeded);
        let read = second.reads[0].clone().expect("it is there");
        assert_eq!(
            (read.value.as_slice(), read.modified),
            (b"a".as_slice(), first.revision)
        );
        assert_eq!(store.range("k").await.expect("it answers").len(), 1);
    });
}

/// Each fault of a write is told as what it is: not sent, or perhaps in effect.
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
            .expect_err("it has no answer");
        assert!(matches!(error, StoreError::Lost(_)), "{error}");
        let read = store.get("k").await.expect("it answers");
        assert_eq!(read.is_some(), in_effect);
    });
}

/// A service that is not there is told apart from an answer that is lost.
#[test]
fn a_refused_connection_is_unreachable() {
    block(async {
        let store = Store::open(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)));
        let error = store.get("k").await.expect_err("nobody listens");
        assert!(matches!(error, StoreError::Unreachable(_)), "{error}");
    });
}

/// A key under a lease goes when the lease lapses, and its next creation has a higher revision.
#[test]
fn an_expired_lease_deletes_its_keys() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        let lease = store
            .grant(Duration::from_mins(1))
            .await
            .expect("it answers");
        let put = Op::Put("o".to_owned(), b"x".to_vec(), Some(lease));
        let txn = Txn {
            compare: vec![Compare::Absent("o".to_owned())],
            then: vec![put],
            ..Txn::default()
        };
        let first = store.txn(&txn).await.expect("it answers");
        assert!(first.succeeded && store.renew(lease).await.expect("it answers"));
        platform.lapse_all();
        assert!(!store.renew(lease).await.expect("it answers"));
        assert_eq!(store.get("o").await.expect("it answers"), None);
        let lease = store
            .grant(Duration::from_mins(1))
            .await
            .expect("it answers");
        let put = Op::Put("o".to_owned(), b"y".to_vec(), Some(lease));
        let txn = Txn {
            then: vec![put],
            ..Txn::default()
        };
        let second = store.txn(&txn).await.expect("it answers");
        let record = store
            .get("o")
            .await
            .expect("it answers")
            .expect("it is there");
        assert!(record.created > first.revision && record.created == second.revision);
        assert_eq!(record.modified, record.created);
    });
}

/// A nested transaction decides on its own, in one call with others.
#[test]
fn nested_transactions_evaluate_their_own_conditions() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        store.txn(&put_if("b", 0, "x")).await.expect("it answers");
        let nested = ["a", "b"].map(|key| Op::Txn(put_if(key, 0, "y")));
        let answer = store
            .txn(&Txn {
                then: nested.to_vec(),
                ..Txn::default()
            })
            .await;
        let answer = answer.expect("it answers");
        let held: Vec<bool> = answer.nested.iter().map(|inner| inner.succeeded).collect();
        assert_eq!(held, vec![true, false]);
    });
}

/// A watch sees the change after its revision, whether that came before or comes after the call.
#[test]
fn a_watch_reports_changes_before_and_after_its_start() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        let first = store
            .txn(&put_if("w", 0, "a"))
            .await
            .expect("it answers")
            .revision;
        store
            .txn(&put_if("w", first, "b"))
            .await
            .expect("it answers");
        let wait = Duration::from_secs(30);
        let seen = store
            .wait_for_change("w", first, wait)
            .await
            .expect("it answers")
            .expect("a change");
        assert_eq!(seen.value, b"b");
        let writer = store.clone();
        let task = tokio::spawn(async move { writer.txn(&put_if("w", seen.modified, "c")).await });
        let next = store
            .wait_for_change("w", seen.modified, wait)
            .await
            .expect("it answers");
        assert_eq!(next.expect("a change").value, b"c");
        assert!(task.await.expect("it ends").expect("it answers").succeeded);
    });
}

/// A watch below the compacted history is refused, so that its owner reads the key again.
#[test]
fn a_watch_of_compacted_history_is_refused() {
    block(async {
        let platform = platform(&Faults::default()).await;
        let store = Store::open(platform.address());
        let first = store
            .txn(&put_if("w", 0, "a"))
            .await
            .expect("it answers")
            .revision;
        store
            .txn(&put_if("w", first, "b"))
            .await
            .expect("it answers");
        platform.compact();
        let result = store
            .wait_for_change("w", first, Duration::from_secs(30))
            .await;
        assert!(matches!(result, Err(StoreError::Refused(_))), "{result:?}");
        assert_eq!(
            store
                .get("w")
                .await
                .expect("it answers")
                .expect("it is there")
                .value,
            b"b"
        );
    });
}

/// The instance list is read with its labels, and what is not understood is left out.
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
        platform.list("engine-1", address, &labels);
        platform.list("odd", address, &[("kind", "printer")]);
        platform.mark_leaving("engine-1");
        let mut reader = ListReader::open(platform.address());
        let listed = reader.read().await.expect("it answers").expect("it is new");
        assert_eq!(listed.len(), 1);
        assert_eq!(
            (listed[0].kind, listed[0].leaving),
            (ListedKind::Engine, true)
        );
        assert_eq!(listed[0].service, "m");
        assert_eq!(reader.read().await, Ok(None));
        platform.unlist("engine-1");
        assert_eq!(reader.read().await, Ok(Some(Vec::new())));
    });
}

/// An operation on one register.
#[derive(Clone, Debug)]
enum RegisterOp {
    /// Reads a value, empty where the key is absent; none before the answer.
    Read(Option<String>),
    /// Writes a value if the old one is as expected; none before the answer.
    Swap(String, String, Option<bool>),
}

/// Says what a register does.
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
            RegisterOp::Swap(old, new, held) => {
                let holds = old == state;
                let next = if holds { new.clone() } else { state.clone() };
                (*held == Some(holds), next)
            }
        }
    }
}

/// A concurrent run of swaps and reads is linearizable.
#[test]
fn concurrent_swaps_are_linearizable() {
    /// Number of clients.
    const CLIENTS: usize = 4;
    /// Number of swaps of each.
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
                    .expect("nobody panics")
                    .push((client, action));
            };
            clients.push(tokio::spawn(async move {
                for turn in 0..SWAPS {
                    record_action(Action::Call(RegisterOp::Read(None)));
                    let record = store.get("r").await.expect("it answers");
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
                    let answer = store
                        .txn(&put_if("r", revision, &new))
                        .await
                        .expect("it answers");
                    record_action(Action::Response(RegisterOp::Swap(
                        value,
                        new,
                        Some(answer.succeeded),
                    )));
                }
            }));
        }
        for client in clients {
            client.await.expect("it ends");
        }
        std::sync::Arc::into_inner(actions)
            .expect("all have ended")
            .into_inner()
            .expect("whole")
    });
    assert!(WGLChecker::<RegisterSpec>::is_linearizable(
        History::from_actions(actions)
    ));
}
