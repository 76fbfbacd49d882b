//! Short soak runs with fixed seeds, without the guarantees that have a time bound.

use std::path::PathBuf;
use std::time::Duration;

use cactuslane_platform::Shape;
use cactuslane_soak::{Options, Report, run};
use yare::parameterized;

/// Returns the options of a run of the stand-ins' deployment.
fn options(seed: u64, target_processes: bool) -> Options {
    let name = format!(
        "cactuslane-soak-{seed}-{target_processes}-{}",
        std::process::id()
    );
    Options {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_cactuslane")),
        folder: std::env::temp_dir().join(name),
        seed,
        length: Duration::from_secs(8),
        instances: 3,
        rate: 30.0,
        timed: false,
        links: false,
        entry_delay: None,
        target_processes,
        shape: None,
        unusual: 0.0,
        command: String::new(),
        cpu_share: None,
    }
}

/// Performs a run, writes its report and returns it.
async fn soak(options: Options) -> Report {
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
    soak(options(seed, false)).await;
}

// Guards against an answer that its target's process did not make to the end, as it was killed, and
// that its caller takes for whole.
#[parameterized(
    first = { 5 },
    second = { 6 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_answer_of_a_killed_target_passes_for_whole(seed: u64) {
    let report = soak(options(seed, true)).await;
    assert!(
        report.processes.cut_without_length > 0,
        "{:?}",
        report.processes
    );
}

// Guards against an answer without a length that is withheld though its target lives on.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_a_length_of_living_targets_are_served() {
    let report = soak(options(3, true)).await;
    assert_eq!(report.processes.kills, 0);
    let checks = &report.check_counts;
    assert!(
        checks["answers without a length are served"] > 10,
        "{checks:?}"
    );
}

// Guards against a guarantee that holds only for instances with whole processors, in one failure
// domain, and for requests in the usual form.
#[tokio::test(flavor = "multi_thread")]
async fn no_guarantee_is_violated_in_the_deployment_of_a_site_file() {
    let shape = Shape::parse(include_str!("../../../deploy/soak.toml")).expect("it is valid");
    let report = soak(Options {
        instances: shape.domains().len(),
        cpu_share: Some(shape.cpu_share()),
        unusual: 0.5,
        shape: Some(shape),
        ..options(11, true)
    })
    .await;
    let paths: Vec<&str> = report.figures.kinds.keys().map(String::as_str).collect();
    assert_eq!(paths, ["/balance/1", "/digest/1", "/entry/1", "/minutes/1"]);
    let usage = &report.usage;
    assert!(
        usage.slices > 0 && usage.memory > 0 && usage.instances >= 3,
        "{usage:?}"
    );
}

// Guards against answers that break a guarantee while paths fail that no other run has: those of one
// instance to the targets, to the other instances and to its callers.
#[tokio::test(flavor = "multi_thread")]
async fn no_guarantee_is_violated_while_paths_fail() {
    let options = Options {
        links: true,
        ..options(112, true)
    };
    let paths = soak(options).await.paths;
    assert!(!paths.faults.is_empty() && paths.unbound == 0, "{paths:?}");
}
