//! A concurrent run with faults at seeded moments, whose history a library checks.
//!
//! Callers file corrections under keys of their own and under issued keys, twice at once or again
//! at another instance when the outcome is not known. Meanwhile instances are killed and
//! replaced, the platform goes down, and targets lose, cut and cross answers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactuslane_demo::caller::{Caller, Reply};
use cactuslane_demo::{Cluster, Options};
use cactuslane_standin::service::RunCounter;
use cactuslane_standin::{Deployment, Fault, FaultKind, Faults};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;
use yare::parameterized;

/// Number of callers at once.
const CALLERS: usize = 6;
/// Number of corrections of each.
const CORRECTIONS: usize = 100;
/// Number of times that a caller sends one correction.
const TRIES: usize = 4;
/// The process that stands for the targets in the history.
const TARGETS: usize = 1_000;

/// What happens to one correction.
#[derive(Clone, Debug)]
enum CallOp {
    /// A target executes it.
    Run,
    /// A caller sends it; the outcome is none before the answer.
    Send(Option<Outcome>),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// A whole answer.
    Answered,
    /// That it was not run.
    NotRun,
    /// That nobody knows, or nothing at all.
    Unknown,
}

/// Says what a correction does: it runs at most once, and what is told of it is true.
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

/// Records what happens to each key, in order.
type Log = Arc<Mutex<BTreeMap<String, Vec<(usize, Action<CallOp>)>>>>;

/// Adds an action to the log of a key.
fn note(log: &Log, key: &str, process: usize, action: Action<CallOp>) {
    let mut log = log.lock().expect("nobody panics");
    log.entry(key.to_owned())
        .or_default()
        .push((process, action));
}

/// Returns what a reply tells.
fn outcome(reply: &Reply) -> Outcome {
    match (
        reply.status,
        reply.whole,
        reply.header("cactuslane-outcome"),
    ) {
        (200, true, _) => Outcome::Answered,
        (_, true, "not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

/// Sends a correction and records it.
async fn send(log: &Log, process: usize, caller: &Caller, key: &str) -> (Outcome, String) {
    note(log, key, process, Action::Call(CallOp::Send(None)));
    let reply = caller
        .post_keyed("/services/registru-anchete/counts", key, key)
        .await;
    let told = outcome(&reply);
    note(
        log,
        key,
        process,
        Action::Response(CallOp::Send(Some(told.clone()))),
    );
    (told, reply.text())
}

/// Files corrections as one caller; every whole answer to a key must be the same.
async fn file(log: Log, entries: Arc<Mutex<Vec<Caller>>>, process: usize, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for number in 0..CORRECTIONS {
        let any = |random: &mut Pcg64Mcg| {
            let entries = entries.lock().expect("nobody panics");
            entries[random.random_range(0..entries.len())].clone()
        };
        let first = any(&mut random);
        let mut key = format!("c{process}-{number}");
        if random.random_bool(0.5) {
            let addresses = first.get("/v1/addresses").await.json();
            if let Some(prefix) = addresses["addresses"][0]["idempotency_key_prefix"].as_str() {
                key = format!("{prefix}{key}");
            }
        }
        let mut answers = Vec::new();
        for turn in 0..TRIES {
            let caller = if turn == 0 {
                first.clone()
            } else {
                any(&mut random)
            };
            if random.random_bool(0.3) {
                let other = any(&mut random);
                let twin = process + 100;
                let both = tokio::join!(
                    send(&log, process, &caller, &key),
                    send(&log, twin, &other, &key)
                );
                answers.extend([both.0, both.1]);
            } else {
                answers.push(send(&log, process, &caller, &key).await);
            }
            if answers.iter().any(|(told, _)| *told == Outcome::Answered) {
                break;
            }
        }
        let mut texts = answers
            .into_iter()
            .filter(|(told, _)| *told == Outcome::Answered);
        if let Some((_, text)) = texts.next() {
            assert!(text.contains(&format!("\"echo\":\"{key}\"")), "{text}");
            assert!(
                texts.all(|(_, other)| other == text),
                "two answers to {key}"
            );
        }
    }
}

/// Brings about one fault after another until told to stop.
async fn disturb(cluster: &mut Cluster, entries: &Mutex<Vec<Caller>>, seed: u64, turn: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed * 1_000 + turn);
    tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    match random.random_range(0..10) {
        0..3 => {
            let index = random.random_range(0..cluster.deployment.entries);
            // Dropping an instance ends its connections at once.
            cluster.entries.remove(&format!("entry-{}", index + 1));
            cluster.spawn_entry(index).await.expect("it starts");
            let all = cluster
                .entries
                .values()
                .map(|entry| Caller::new(entry.address()));
            *entries.lock().expect("nobody panics") = all.collect();
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

/// No correction runs twice, every whole answer is the target's, and every `not-run` is true.
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
            note(&observed, key, TARGETS, Action::Call(CallOp::Run));
            note(&observed, key, TARGETS, Action::Response(CallOp::Run));
        });
        let options = Options {
            pace: 50.0,
            run_counter,
            ..Options::default()
        };
        let cluster = Cluster::spawn(Deployment::cluj(), Faults::default(), options).await;
        let mut cluster = cluster.expect("it starts");
        assert!(cluster.ready().await);
        let all = cluster
            .entries
            .values()
            .map(|entry| Caller::new(entry.address()));
        let entries = Arc::new(Mutex::new(all.collect::<Vec<_>>()));
        let mut callers = tokio::task::JoinSet::new();
        for process in 0..CALLERS {
            let seed = seed * 100 + process as u64;
            callers.spawn(file(Arc::clone(&log), Arc::clone(&entries), process, seed));
        }
        let mut turn = 0;
        while !callers.is_empty() {
            turn += 1;
            disturb(&mut cluster, &entries, seed, turn).await;
            while let Some(ended) = callers.try_join_next() {
                ended.expect("the caller was content");
            }
        }
        (log, cluster.run_counter.all())
    });
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    let log = std::mem::take(&mut *log.lock().expect("nobody panics"));
    let mut answered = 0;
    for (key, actions) in log {
        let whole = |action: &Action<CallOp>| {
            matches!(
                action,
                Action::Response(CallOp::Send(Some(Outcome::Answered)))
            )
        };
        answered += usize::from(actions.iter().any(|(_, action)| whole(action)));
        let told = format!("{key}: {actions:?}");
        let linearizable = WGLChecker::<CallSpec>::is_linearizable(History::from_actions(actions));
        assert!(linearizable, "{told}");
    }
    assert!(answered > 0);
}
