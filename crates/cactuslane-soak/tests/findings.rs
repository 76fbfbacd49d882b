//! Findings hold what callers, targets and instances observed of a violation on one time line.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_platform_standin::process::Framing;
use cactuslane_soak::Options;
use cactuslane_soak::check::{Observations, Violation};
use cactuslane_soak::findings::{self, RunRecords, Summary};
use cactuslane_soak::load::{Outcome, RequestRecord, TakenUp};
use cactuslane_soak::made::Made;
use cactuslane_soak::plan::{Action, PlanStep};
use tokio::time::Instant;

/// Returns the options of a run with a folder of its own, which is created.
fn options(name: &str) -> Options {
    let name = format!("cactuslane-findings-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("the folder is created");
    Options {
        binary: PathBuf::new(),
        folder,
        seed: 9,
        length: Duration::from_mins(1),
        instances: 1,
        rate: 1.0,
        timed: false,
        links: false,
        entry_delay: None,
        target_processes: true,
        shape: None,
        unusual: 0.0,
        command: "cactuslane soak --site a.toml".to_owned(),
        cpu_share: None,
    }
}

/// Returns a violation of a guarantee.
fn violation(guarantee: &'static str, subject: &str) -> Violation {
    Violation {
        guarantee,
        subject: subject.to_owned(),
        observed: "an event is missing".to_owned(),
    }
}

/// Returns the record of an attempt that was cut after its first event.
fn attempt(id: &str, due: Instant, taken_up: Option<TakenUp>) -> RequestRecord {
    RequestRecord {
        id: id.to_owned(),
        kind: 0,
        key: None,
        front: "127.0.0.1:81".parse().ok(),
        due,
        ended: due + Duration::from_secs(2),
        first_byte: Some(due + Duration::from_secs(1)),
        outcome: Outcome::Cut {
            status: Some(200),
            body: b"id: 1\n\n".to_vec(),
        },
        taken_up,
    }
}

#[test]
fn a_finding_has_attempts_runs_disruptions_and_log_lines_in_the_order_of_time() {
    let options = options("line");
    let began = Instant::now();
    let part = TakenUp {
        stream: "s9-4".to_owned(),
        last: 1,
    };
    let second = attempt("s9-4-1", began + Duration::from_secs(13), Some(part));
    let first = attempt("s9-4", began + Duration::from_secs(10), None);
    let other = attempt("s9-41", began + Duration::from_secs(10), None);
    let step = |at, action| PlanStep {
        at: Duration::from_secs(at),
        action,
    };
    let steps = [
        step(3, Action::Freeze(0, Duration::from_secs(1))),
        step(8, Action::Kill(0, Duration::from_secs(1))),
        step(11, Action::Compact),
        step(40, Action::Reload(0)),
    ];
    let mut observations = Observations::default();
    let made = Made {
        target: "i-x1".to_owned(),
        run: "a/1/1".to_owned(),
        tail: String::new(),
        version: "v1".to_owned(),
        at: began + Duration::from_millis(10_500),
        after: 0,
        framing: Framing::Close,
        copied: false,
        events: BTreeMap::from([(1, "id: 1\n\n".to_owned())]),
        body: None,
        ended: false,
        broken: true,
    };
    observations.made.insert("s9-4".to_owned(), vec![made]);
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("it is after 1970");
    let log = format!(
        "{{\"at_ms\":{0},\"event\":\"placed\",\"request\":\"s9-4\"}}\nno line\n\
         {{\"at_ms\":{0},\"event\":\"placed\",\"request\":\"s9-41\"}}\n",
        unix.as_millis() - 5
    );
    fs::write(options.folder.join("front-0.log"), log).expect("the log is written");
    let run = RunRecords {
        options: &options,
        began,
        steps: &steps,
        records: &[second, first, other],
        observations: &observations,
    };
    let violations = [violation("events in order", "s9-4-1")];
    let findings = findings::write(&run, &violations).expect("the finding is written");
    let text = fs::read_to_string(options.folder.join("finding-1.txt")).expect("it is there");
    fs::remove_dir_all(&options.folder).expect("the folder is removed");
    assert_eq!(text, findings[0].text);
    let parts = [
        "events in order: s9-4-1\nseed 9; command: cactuslane soak --site a.toml",
        "observed: an event is missing",
        "front-0        {\"at_ms\"",
        "disruption     Kill(0, 1s)",
        "caller         s9-4 is due, to 127.0.0.1:81",
        "i-x1           s9-4 runs, version v1, after event 0, Close",
        "caller         s9-4: first part of the body",
        "disruption     Compact",
        "s9-4 ends: cut, status Some(200), \"id: 1\\n\\n\"",
        "s9-4-1 is due, to 127.0.0.1:81, takes up s9-4 after event 1",
        "s9-4-1 ends: cut",
    ];
    let places = parts.map(|part| text.find(part));
    assert!(places.iter().all(Option::is_some), "{places:?} {text}");
    // The last but three parts happen at the same second as their neighbours.
    assert!(
        places[2] < places[3] && places[3] < places[4] && places[8] < places[9],
        "{text}"
    );
    for absent in ["s9-41", "Freeze", "Reload"] {
        assert!(!text.contains(absent), "{absent}: {text}");
    }
    let names: Vec<&str> = findings[0].disruptions.iter().map(String::as_str).collect();
    assert_eq!(names, ["Compact", "Kill"]);
}

#[test]
fn violations_are_counted_by_guarantee_and_disruption() {
    let options = options("summary");
    let began = Instant::now();
    let record = attempt("s9-4", began + Duration::from_secs(10), None);
    let steps = [PlanStep {
        at: Duration::from_secs(9),
        action: Action::Compact,
    }];
    let observations = Observations::default();
    let mut run = RunRecords {
        options: &options,
        began,
        steps: &steps,
        records: &[record],
        observations: &observations,
    };
    let violations = [
        violation("events in order", "s9-4"),
        violation("recovers", "the end"),
    ];
    let mut summary = Summary::default();
    summary.add(&findings::write(&run, &violations).expect("the findings are written"));
    run.steps = &[];
    summary.add(&findings::write(&run, &violations[..1]).expect("the finding is written"));
    let files = fs::read_dir(&options.folder).expect("it is there").count();
    fs::remove_dir_all(&options.folder).expect("the folder is removed");
    assert_eq!(files, 1);
    let lines = summary.lines();
    let expected = [
        "events in order: 2, by disruption: Compact 1, none 1",
        "recovers: 1, by disruption: Compact 1",
    ];
    assert_eq!(lines, expected);
}
