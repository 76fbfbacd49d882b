//! Short soak runs with fixed seeds, without the guarantees that have a time bound.

use std::path::PathBuf;
use std::time::Duration;

use cactuslane_soak::{Options, Report, run};
use yare::parameterized;

/// Performs a run, writes its report and returns it.
async fn soak(seed: u64, target_processes: bool, links: bool) -> Report {
    let name = format!(
        "cactuslane-soak-{seed}-{target_processes}-{links}-{}",
        std::process::id()
    );
    let options = Options {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_cactuslane")),
        folder: std::env::temp_dir().join(name),
        seed,
        length: Duration::from_secs(8),
        instances: 3,
        rate: 30.0,
        timed: false,
        links,
        target_processes,
    };
    let report = run(&options).await.expect("the run completes");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(
        report.check_counts["own whole answer"] > 50,
        "{:?}",
        report.check_counts
    );
    report
        .write(&options.folder)
        .expect("the report is written");
    std::fs::remove_dir_all(&options.folder).expect("the directory is removed");
    report
}

#[parameterized(
    first = { 1 },
    second = { 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_guarantee_is_violated(seed: u64) {
    soak(seed, false, false).await;
}

// Guards against an answer that its target's process did not make to the end, as it was killed, and
// that its caller takes for whole.
#[parameterized(
    first = { 5 },
    second = { 6 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_answer_of_a_killed_target_passes_for_whole(seed: u64) {
    let report = soak(seed, true, false).await;
    assert!(
        report.processes.cut_without_length > 0,
        "{:?}",
        report.processes
    );
}

// Guards against an answer without a length that is withheld though its target lives on.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_a_length_of_living_targets_are_served() {
    let report = soak(3, true, false).await;
    assert_eq!(report.processes.kills, 0);
    let checks = &report.check_counts;
    assert!(
        checks["answers without a length are served"] > 10,
        "{checks:?}"
    );
}

// Guards against answers that break a guarantee while paths fail that no other run has: those of one
// instance to the targets, to the other instances and to its callers.
#[tokio::test(flavor = "multi_thread")]
async fn no_guarantee_is_violated_while_paths_fail() {
    let paths = soak(112, true, true).await.paths;
    assert!(!paths.faults.is_empty() && paths.unbound == 0, "{paths:?}");
}
