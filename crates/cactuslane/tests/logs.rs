//! Tests of the `logs` command, which prints the timeline of a request from saved logs.

use std::fs;
use std::process::{Command, Output};

/// Log lines of two instances in one file, with a line that is no log line and a truncated one.
const LINES: &str = r#"
front-1 {"at_ms":1000,"level":"INFO","event":"placed","request":"r1","target_id":"i-1","prefill":"i-9","expected_ms":80}
not a line of a log
front-2 {"at_ms":1005,"level":"INFO","event":"placed","request":"r2","target_id":"i-1"}
front-1 {"at_ms":1450,"level":"INFO","event":"no stream","request":"r1","target_id":"i-1","why":"status 421, not run"}
front-2 {"at_ms":1200,"level":"INFO","event":"another target has the address","target_id":"i-1"}
front-2 {"at_ms":1300,"level":"INFO","event":"target vanished","target_id":"i-7"}
front-1 {"at_ms":1460,"level":"INFO","event":"answered without succ
"#;

/// Runs the command on a file with [`LINES`] and returns its output.
fn logs(name: &str, arguments: &[&str]) -> Output {
    let folder = std::env::temp_dir().join(format!("cactuslane-logs-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the directory is created");
    let file = folder.join(name);
    fs::write(&file, LINES).expect("the log file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
        .arg("logs")
        .args(arguments)
        .arg(&file)
        .output();
    fs::remove_file(&file).expect("the log file is removed");
    output.expect("the program runs")
}

#[test]
fn a_timeline_has_the_lines_of_the_request_and_of_its_targets() {
    let output = logs("timeline", &["r1"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("0 ms  front-1  placed") && lines[0].contains("prefill=i-9"));
    assert!(lines[1].contains("200 ms  front-2  another target has the address"));
    assert!(lines[2].contains("450 ms  front-1  no stream") && lines[2].contains("421"));
}

#[test]
fn a_request_without_lines_is_an_error() {
    let output = logs("none", &["r3"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert!(text.contains("no line of request r3"), "{text}");
}
