//! Short soak runs with fixed seeds, without the guarantees that have a time bound.

use std::path::PathBuf;
use std::time::Duration;

use cactuslane_soak::{Options, run};
use yare::parameterized;

#[parameterized(
    first = { 1 },
    second = { 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_guarantee_is_violated(seed: u64) {
    let name = format!("cactuslane-soak-{seed}-{}", std::process::id());
    let options = Options {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_cactuslane")),
        folder: std::env::temp_dir().join(name),
        seed,
        length: Duration::from_secs(8),
        instances: 3,
        rate: 30.0,
        timed: false,
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
}
