//! A concurrent test with seeded faults, whose history is checked for linearizability.
//!
//! Callers send corrections to the plain service with keys of their own and with issued keys, some
//! of them twice concurrently, and again to a randomly chosen instance until one is answered or the
//! attempts are used up. Meanwhile instances are killed and replaced, the platform goes down, and
//! faults hit calls of targets and writes of the platform: connections are closed, and answers are
//! lost, cut off, or, if they come from targets, crossed with those of other requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactuslane_demo::caller::{Caller, Response};
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::service::RunCounter;
use cactuslane_standin::{Deployment, Fault, FaultKind, Faults};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;
use yare::parameterized;

/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Number of corrections that each caller sends.
const CORRECTIONS: usize = 100;
/// Maximum number of attempts at one correction; each may send it twice concurrently.
const MAX_ATTEMPTS: usize = 4;
/// Process number of all targets in the history; callers have 0 to 5, and the second ones of two
/// concurrent calls 100 to 105.
const TARGET_PROCESS: usize = 1_000;

/// An operation in the history of one correction.
#[derive(Clone, Debug)]
enum CallOp {
    /// A target executes the correction.
    Run,
    /// A caller sends the correction; the outcome is `None` in the action that starts the call.
    Send(Option<Outcome>),
}

/// What a response says about the execution of a correction.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// It was executed: the response has status 200 and is complete.
    Answered,
    /// It was not executed: the complete response has the outcome `not-run`.
    NotRun,
    /// It may have been executed, or no complete response was received.
    Unknown,
}

/// The specification of one correction, whose state is whether it has run: it runs at most once,
/// and each outcome is true at a moment between its call and its response.
struct CallSpec;

impl Specification for CallSpec {
    type State = bool;
    type Operation = CallOp;

    fn init() -> bool {
        false
    }

    fn apply(operation: &CallOp, has_run: &bool) -> (bool, bool) {
        match operation {
            CallOp::Run => (!has_run, true),
            CallOp::Send(Some(Outcome::Answered)) => (*has_run, *has_run),
            CallOp::Send(Some(Outcome::NotRun)) => (!has_run, *has_run),
            CallOp::Send(_) => (true, *has_run),
        }
    }
}

/// The history of each key: its actions in order, each with the number of its process.
type Log = Arc<Mutex<BTreeMap<String, Vec<(usize, Action<CallOp>)>>>>;

/// Appends an action to the history of a key.
fn record(log: &Log, key: &str, process: usize, action: Action<CallOp>) {
    let mut log = log.lock().expect("no holder of the lock panics");
    log.entry(key.to_owned())
        .or_default()
        .push((process, action));
}

/// Returns the outcome that a response reports.
fn reported_outcome(response: &Response) -> Outcome {
    match (
        response.status,
        response.complete,
        response.header("cactuslane-outcome"),
    ) {
        (200, true, _) => Outcome::Answered,
        (_, true, "not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

/// Sends a correction, records the call and the response, and returns the outcome and the body.
async fn send_correction(
    log: &Log,
    process: usize,
    caller: &Caller,
    key: &str,
) -> (Outcome, String) {
    record(log, key, process, Action::Call(CallOp::Send(None)));
    let response = caller
        .post_keyed("/services/registru-anchete/counts", key, key)
        .await;
    let outcome = reported_outcome(&response);
    record(
        log,
        key,
        process,
        Action::Response(CallOp::Send(Some(outcome.clone()))),
    );
    (outcome, response.text())
}

/// Sends the corrections of one caller.
///
/// # Panics
///
/// Panics if the body of a complete response lacks its key, or differs between the responses to a
/// key.
async fn send_corrections(log: Log, entries: Arc<Mutex<Vec<Caller>>>, process: usize, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for number in 0..CORRECTIONS {
        let random_entry = |random: &mut Pcg64Mcg| {
            let entries = entries.lock().expect("no holder of the lock panics");
            entries[random.random_range(0..entries.len())].clone()
        };
        let first = random_entry(&mut random);
        let mut key = format!("c{process}-{number}");
        if random.random_bool(0.5) {
            let addresses = first.get("/v1/addresses").await.json();
            if let Some(prefix) = addresses["addresses"][0]["idempotency_key_prefix"].as_str() {
                key = format!("{prefix}{key}");
            }
        }
        let mut answers = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let caller = if attempt == 0 {
                first.clone()
            } else {
                random_entry(&mut random)
            };
            if random.random_bool(0.3) {
                let other = random_entry(&mut random);
                let duplicate = process + 100;
                let both = tokio::join!(
                    send_correction(&log, process, &caller, &key),
                    send_correction(&log, duplicate, &other, &key)
                );
                answers.extend([both.0, both.1]);
            } else {
                answers.push(send_correction(&log, process, &caller, &key).await);
            }
            if answers
                .iter()
                .any(|(outcome, _)| *outcome == Outcome::Answered)
            {
                break;
            }
        }
        let mut texts = answers
            .into_iter()
            .filter(|(outcome, _)| *outcome == Outcome::Answered);
        if let Some((_, text)) = texts.next() {
            assert!(text.contains(&format!("\"echo\":\"{key}\"")), "{text}");
            assert!(
                texts.all(|(_, other)| other == text),
                "two answers to {key}"
            );
        }
    }
}

/// Waits for 5 to 59 ms, then kills and replaces an instance, takes the platform down or up, or
/// injects a fault into calls of targets or writes of the platform.
///
/// The seed and the turn determine the choice, but not the requests that it hits.
async fn inject_fault(cluster: &mut Cluster, entries: &Mutex<Vec<Caller>>, seed: u64, turn: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed * 1_000 + turn);
    tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    match random.random_range(0..10) {
        0..3 => {
            let index = random.random_range(0..cluster.deployment.entries);
            // Dropping an instance closes its connections immediately, as a crash does.
            cluster.entries.remove(&format!("entry-{}", index + 1));
            cluster.spawn_entry(index).await.expect("it starts");
            let all = cluster
                .entries
                .values()
                .map(|entry| Caller::new(entry.address()));
            *entries.lock().expect("no holder of the lock panics") = all.collect();
        }
        3 => cluster.platform.set_down(true),
        4..6 => cluster.platform.set_down(false),
        _ => {
            let kinds = [
                FaultKind::Lost,
                FaultKind::Cut,
                FaultKind::Crossed,
                FaultKind::Down,
            ];
            let on = if random.random_bool(0.7) {
                ("*", "call")
            } else {
                ("platform", "write")
            };
            cluster.faults.add(Fault {
                target: on.0.to_owned(),
                on: on.1.to_owned(),
                kind: kinds[random.random_range(0..kinds.len())],
                after: random.random_range(0..3),
                count: random.random_range(1..4),
                delay_ms: 0,
            });
        }
    }
}

/// No correction runs twice, every complete response is the target's, and every `not-run` is true.
///
/// Guards against a retry, a repeat or a restarted instance that runs a call again whose first
/// outcome was lost, and against an outcome that is reported as known when it is not.
#[parameterized(
    one = { 1 },
    two = { 2 },
    three = { 3 },
)]
fn corrections_run_at_most_once(seed: u64) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let (log, runs) = runtime.expect("the runtime starts").block_on(async {
        let log = Log::default();
        let observed = Arc::clone(&log);
        let run_counter = RunCounter::with_observer(move |key| {
            record(&observed, key, TARGET_PROCESS, Action::Call(CallOp::Run));
            record(
                &observed,
                key,
                TARGET_PROCESS,
                Action::Response(CallOp::Run),
            );
        });
        let options = Options {
            pace: 50.0,
            run_counter,
            ..Options::default()
        };
        let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
        let mut cluster = cluster.expect("it starts");
        assert!(cluster.wait_ready().await);
        let all = cluster
            .entries
            .values()
            .map(|entry| Caller::new(entry.address()));
        let entries = Arc::new(Mutex::new(all.collect::<Vec<_>>()));
        let mut callers = tokio::task::JoinSet::new();
        for process in 0..CALLERS {
            let seed = seed * 100 + process as u64;
            callers.spawn(send_corrections(
                Arc::clone(&log),
                Arc::clone(&entries),
                process,
                seed,
            ));
        }
        let mut turn = 0;
        while !callers.is_empty() {
            turn += 1;
            inject_fault(&mut cluster, &entries, seed, turn).await;
            while let Some(ended) = callers.try_join_next() {
                ended.expect("all responses to a key are the same");
            }
        }
        (log, cluster.run_counter.all())
    });
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    let log = std::mem::take(&mut *log.lock().expect("no holder of the lock panics"));
    let mut answered = 0;
    for (key, actions) in log {
        let is_answered = |action: &Action<CallOp>| {
            matches!(
                action,
                Action::Response(CallOp::Send(Some(Outcome::Answered)))
            )
        };
        answered += usize::from(actions.iter().any(|(_, action)| is_answered(action)));
        let history = format!("{key}: {actions:?}");
        let linearizable = WGLChecker::<CallSpec>::is_linearizable(History::from_actions(actions));
        assert!(linearizable, "{history}");
    }
    assert!(answered > 0);
}
