//! Log lines about requests that end without success.

use std::collections::BTreeMap;
use std::sync::{Mutex, Once, PoisonError};

use cactuslane_platform_standin::{Fault, Mode};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

use crate::deployment::{CallerAnswer, deploy, run_test};

/// Number of requests in one test case.
const REQUESTS: u32 = 40;
/// Paths of all kinds of routes, and one without a route.
const PATHS: [&str; 5] = [
    "/report/7",
    "/summary/7",
    "/lookup/7",
    "/correction/7",
    "/none/7",
];
/// Faults that end an attempt without a time-out.
const FAULTS: [Fault; 6] = [
    Fault::Reject,
    Fault::Fail,
    Fault::Lose,
    Fault::Cross,
    Fault::Break(3),
    Fault::Unsigned,
];

/// Warnings and errors of all instances in this process, by request id.
static WARNINGS: Mutex<BTreeMap<String, Vec<Warning>>> = Mutex::new(BTreeMap::new());

/// Key that no log line may hold.
pub const SECRET: &str = "sk-secret-71";

/// Log lines of all levels that hold [`SECRET`].
static LEAKS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Beginning of the ids of requests all of whose log lines are collected.
pub const WATCHED: &str = "watched-";

/// Log lines of all levels about the requests whose ids begin with [`WATCHED`], by request id.
static LINES: Mutex<BTreeMap<String, Vec<Warning>>> = Mutex::new(BTreeMap::new());

/// A log line about a request.
#[derive(Clone, Debug, Default)]
pub struct Warning {
    /// Message of the log line.
    pub event: String,
    /// Fields of the log line by name.
    pub fields: BTreeMap<String, String>,
}

impl<'kvs> VisitSource<'kvs> for Warning {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.fields.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Logger that adds each warning or error with a request id to [`WARNINGS`], and each line with
/// [`SECRET`] to [`LEAKS`].
struct WarningCollector;

impl Log for WarningCollector {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut warning = Warning {
            event: record.args().to_string(),
            ..Warning::default()
        };
        let fields = record.key_values().visit(&mut warning);
        fields.expect("fields can be read");
        let text = format!("{} {:?}", warning.event, warning.fields);
        if text.contains(SECRET) {
            LEAKS
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(text);
        }
        let request = warning.fields.get("request");
        if let Some(request) = request.filter(|request| request.starts_with(WATCHED)) {
            let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
            let lines = lines.entry(request.clone()).or_default();
            lines.push(warning.clone());
        }
        if record.level() > Level::Warn {
            return;
        }
        if let Some(request) = warning.fields.get("request") {
            let mut warnings = WARNINGS.lock().unwrap_or_else(PoisonError::into_inner);
            warnings.entry(request.clone()).or_default().push(warning);
        }
    }

    fn flush(&self) {}
}

/// Installs the logger once per process.
fn collect_warnings() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        log::set_boxed_logger(Box::new(WarningCollector)).expect("no other logger is set");
        log::set_max_level(LevelFilter::Trace);
    });
}

/// Begins to collect the log lines that hold [`SECRET`].
pub fn collect_leaks() {
    collect_warnings();
}

/// Returns the log lines that held [`SECRET`] so far.
pub fn leaks() -> Vec<String> {
    LEAKS.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Begins to collect the log lines about requests whose ids begin with [`WATCHED`].
pub fn watch() {
    collect_warnings();
}

/// Returns the fields of the only log line with an event about a request that is watched.
pub fn watched(request: &str, event: &str) -> BTreeMap<String, String> {
    let mut lines = watched_all(request, event);
    assert_eq!(lines.len(), 1, "{event}: {lines:?}");
    lines.remove(0)
}

/// Returns the fields of all log lines with an event about a request that is watched.
pub fn watched_all(request: &str, event: &str) -> Vec<BTreeMap<String, String>> {
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    let lines = lines.get(request).cloned().unwrap_or_default();
    let of_event = lines.into_iter().filter(|line| line.event == event);
    of_event.map(|line| line.fields).collect()
}

/// Checks that an unsuccessful answer has exactly one warning, with its cause, and a successful one
/// has none.
fn check(id: &str, answer: &CallerAnswer) {
    let warnings = WARNINGS.lock().unwrap_or_else(PoisonError::into_inner);
    let warnings = warnings.get(id).cloned().unwrap_or_default();
    let event = match (answer.status, answer.complete) {
        (200, true) => {
            assert!(warnings.is_empty(), "{id} {answer:?} {warnings:?}");
            return;
        }
        (200, false) => "answer cut",
        _ => "answered without success",
    };
    let [warning] = &warnings[..] else {
        panic!("{id} {answer:?} {warnings:?}");
    };
    assert_eq!(warning.event, event, "{id}");
    assert!(!warning.fields["cause"].is_empty(), "{id} {warning:?}");
    if answer.status != 200 {
        assert_eq!(warning.fields["status"], answer.status.to_string(), "{id}");
    }
}

/// Guards against refusals and failures that leave no warning, or several, after random faults of
/// the targets and while the store is unavailable.
#[parameterized(
    first = { 1, Mode::Serving },
    second = { 2, Mode::Serving },
    third = { 3, Mode::Serving },
    store_away = { 4, Mode::Busy },
)]
fn each_unsuccessful_answer_logs_one_warning(seed: u64, mode: Mode) {
    collect_warnings();
    run_test(async {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let deployment = deploy().await;
        deployment.store.set_mode(mode);
        let mut failed = 0;
        for number in 0..REQUESTS {
            for target in deployment.workers.iter().chain(&deployment.engines) {
                for _ in 0..random.random_range(0..3) {
                    target.inject_fault(FAULTS[random.random_range(0..FAULTS.len())]);
                }
            }
            let id = format!("lines-{seed}-{number}");
            let answer = deployment
                .ask(PATHS[random.random_range(0..PATHS.len())], &id)
                .await;
            check(&id, &answer);
            failed += u32::from(answer.status != 200 || !answer.complete);
        }
        assert!(failed > REQUESTS / 4, "only {failed} requests failed");
    });
}
