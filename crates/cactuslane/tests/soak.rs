//! Short soak runs with fixed seeds, without the guarantees that have a time bound.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

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

/// Returns the ids and states of the processes whose command line names a folder, by `/proc`.
fn processes_of(folder: &Path) -> Vec<(String, char)> {
    let folder = folder.to_str().expect("it is text");
    let entries = std::fs::read_dir("/proc").expect("processes can be listed");
    let process = |entry: std::io::Result<std::fs::DirEntry>| {
        let path = entry.ok()?.path();
        let line = std::fs::read(path.join("cmdline")).ok()?;
        let stat = std::fs::read_to_string(path.join("stat")).ok()?;
        let state = stat.rsplit_once(") ")?.1.chars().next()?;
        let id = path.file_name()?.to_str()?.to_owned();
        let is_one = String::from_utf8_lossy(&line).contains(folder);
        is_one.then_some((id, state))
    };
    entries.filter_map(process).collect()
}

/// Sends a signal, named without `SIG`, to a process.
fn send_signal(name: &str, id: &str) {
    let sent = Command::new("kill")
        .args([&format!("-{name}"), id])
        .status();
    assert!(sent.expect("kill runs").success());
}

// Guards against instances and targets that go on after the end of the soak that started them; one of
// them was stopped in its slice.
#[parameterized(
    terminated = { "TERM" },
    interrupted = { "INT" },
    hung_up = { "HUP" },
)]
fn a_soak_that_a_signal_ends_leaves_no_process(signal: &str) {
    let folder = format!("cactuslane-ended-{signal}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    let site = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/soak.toml");
    let mut soak = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
        .args(["soak", "--site", site, "--seed", "5", "--seconds", "60"])
        .arg("--output")
        .arg(&folder)
        .stdout(Stdio::null())
        .spawn()
        .expect("the soak starts");
    let id = soak.id().to_string();
    let others = || {
        let mut found = processes_of(&folder);
        found.retain(|(other, _)| *other != id);
        found
    };
    // Three instances and some targets, one of them stopped.
    loop {
        let found = others();
        if found.len() > 4 && found.iter().any(|(_, state)| *state == 'T') {
            break;
        }
        let ended = soak.try_wait().expect("its state is known");
        assert_eq!(ended, None, "the soak ended by itself");
        std::thread::sleep(Duration::from_millis(5));
    }
    send_signal(signal, &id);
    assert!(!soak.wait().expect("the soak ends").success());
    let since = Instant::now();
    let mut left = others();
    while !left.is_empty() && since.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(50));
        left = others();
    }
    for (id, _) in &left {
        send_signal("KILL", id);
    }
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    assert!(left.is_empty(), "{left:?} are left");
}
