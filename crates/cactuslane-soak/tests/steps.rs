//! Steps that are applied late, and instances that start slowly.

use std::fs;
use std::net::Ipv4Addr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_platform_standin::{Store, TargetKind};
use cactuslane_soak::Options;
use cactuslane_soak::follow_ups::{FollowUp, FollowUps};
use cactuslane_soak::layout::TargetSpec;
use cactuslane_soak::process::Instance;
use cactuslane_soak::queries;
use cactuslane_soak::workers::Workers;
use rustix::process::Signal;
use tokio::sync::Barrier;
use tokio::time::{Instant, timeout};

// Seed 44008: a drain that was applied late ended in the middle of the next one of its target, which
// made the target ready.
#[test]
fn a_late_drain_ends_before_the_next_one_of_its_target() {
    let began = Instant::now();
    let late = Duration::from_millis(60);
    let mut follow_ups = FollowUps::default();
    for target in [4, 5] {
        let end = began + Duration::from_secs(4) + late;
        follow_ups.schedule(end, FollowUp::EndDrain(target, began + late));
    }
    let limit = FollowUp::EndLimit(5, 2.0, began);
    follow_ups.schedule(began + Duration::from_secs(8), limit.clone());
    let second = began + Duration::from_millis(4_044);
    assert!(follow_ups.take_due(second).is_empty());
    let ends = follow_ups.take_drain_ends(5);
    assert_eq!(ends, [FollowUp::EndDrain(5, began + late)]);
    let rest = follow_ups.take_due(second + late);
    assert_eq!(rest, [FollowUp::EndDrain(4, began + late)]);
    assert_eq!(follow_ups.take_limit_ends(5), [limit]);
}

/// Creates a folder with a program that logs nothing, and returns both paths.
fn silent_binary(name: &str) -> (PathBuf, PathBuf) {
    let folder = format!("cactuslane-steps-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    fs::create_dir_all(&folder).expect("the folder is created");
    let binary = folder.join("silent");
    fs::write(&binary, "#!/bin/sh\nexec sleep 60\n").expect("the program is written");
    let executable = fs::Permissions::from_mode(0o755);
    fs::set_permissions(&binary, executable).expect("the program is executable");
    (folder, binary)
}

// Guards against processes that go on after a panic of the soak.
#[test]
fn a_panic_ends_the_process_of_an_instance() {
    let (folder, binary) = silent_binary("panic");
    let id = folder.join("id");
    let script = format!("#!/bin/sh\necho $$ > {}\nexec sleep 60\n", id.display());
    fs::write(&binary, script).expect("the program is written");
    let store = ([127, 0, 0, 1], 1).into();
    let path = folder.clone();
    let ended = std::thread::spawn(move || {
        let mut instance =
            Instance::new("front-0", Ipv4Addr::LOCALHOST, &binary, &path, store, store);
        instance.start().expect("the process starts");
        while fs::read_to_string(&id).map_or(true, |id| !id.ends_with('\n')) {
            std::thread::yield_now();
        }
        panic!("as the test asks");
    });
    assert!(ended.join().is_err());
    let id = fs::read_to_string(folder.join("id")).expect("it was written");
    // The process is killed, and a thread waits for its end.
    let process = PathBuf::from("/proc").join(id.trim());
    while process.exists() {
        std::thread::yield_now();
    }
    fs::remove_dir_all(&folder).expect("the folder is removed");
}

// Seeds 44023 and 44026: no step was applied any more from some moment on. A start that waited for
// its process could stop the loop.
#[test]
fn an_instance_that_starts_slowly_does_not_block_the_soak() {
    let (folder, binary) = silent_binary("instance");
    let store = ([127, 0, 0, 1], 1).into();
    let mut instance = Instance::new(
        "front-0",
        Ipv4Addr::LOCALHOST,
        &binary,
        &folder,
        store,
        store,
    );
    instance.start().expect("the process starts");
    instance.poll_started().expect("it may still start");
    assert!(instance.has_process());
    assert_eq!(instance.addresses(), None);
    // A process that does not handle signals yet would be ended by this one.
    instance.signal(Signal::TERM);
    assert_eq!(instance.take_exit_code(), None);
    instance.kill();
    assert!(!instance.has_process());
    fs::remove_dir_all(&folder).expect("the folder is removed");
}

// Seed 63003, played again in the folder of a run that was ended: requests of both runs have the same
// ids, and those of the first one counted as second runs.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_of_an_earlier_run_does_not_count() {
    let (folder, binary) = silent_binary("log");
    let log = folder.join("i-x1-1.made");
    fs::write(&log, "a line of an earlier run\n").expect("the log is written");
    let store = Store::bind().await.expect("a port can be bound");
    let spec = TargetSpec {
        id: "i-x1".to_owned(),
        kind: TargetKind::Plain,
        place: None,
        is_second: false,
    };
    let options = Options {
        binary,
        folder: folder.clone(),
        seed: 1,
        length: Duration::from_secs(8),
        instances: 1,
        rate: 1.0,
        timed: false,
        links: false,
        entry_delay: None,
        target_processes: true,
        shape: None,
        unusual: 0.0,
        command: String::new(),
        cpu_share: None,
    };
    let mut workers = Workers::of(&[spec], &options);
    workers.tick(&store).expect("the processes start");
    assert_eq!(fs::read_to_string(&log).expect("the log is there"), "");
    drop(workers);
    fs::remove_dir_all(&folder).expect("the folder is removed");
}

// Seed 44023: three frozen instances were asked one after the other, and no step was applied for 1.2 s.
#[tokio::test]
async fn instances_are_asked_at_once() {
    let began = Arc::new(Barrier::new(3));
    let query = |number: u32| {
        let began = began.clone();
        async move {
            began.wait().await;
            number
        }
    };
    let asked = queries::all([1, 2, 3].map(query).into());
    let results = timeout(Duration::from_secs(30), asked).await;
    assert_eq!(results, Ok(vec![1, 2, 3]));
}
