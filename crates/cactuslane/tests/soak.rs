//! A short run of the soak: the same seeds each time, and no promise with a time bound.

use std::path::PathBuf;
use std::time::Duration;

use cactuslane_soak::{Options, run};
use yare::parameterized;

#[parameterized(
    first = { 1 },
    second = { 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_promise_is_broken(seed: u64) {
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
    let report = run(&options).await.expect("it runs");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(
        report.check_counts["own whole answer"] > 50,
        "{:?}",
        report.check_counts
    );
    report.write(&options.folder).expect("it is written");
    std::fs::remove_dir_all(&options.folder).expect("it is removed");
}
