//! Tests of the `gateway` command as a separate process: reloaded settings, stopping on SIGTERM, and
//! an output that nobody reads.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use cactuslane_platform_standin::{Store, caller, settings_text};
use cactuslane_store::http::Client;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::Value;

/// A gateway in a separate process; dropping it kills the process.
struct Process {
    /// Handle for the exit status and the process id.
    child: Child,
    /// Standard output of the process, which holds its log.
    log: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a gateway that reads a settings file.
    fn spawn(settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
            .arg("gateway")
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let log = BufReader::new(child.stdout.take().expect("the output is piped"));
        Self { child, log }
    }

    /// Reads the log up to the next line with an event, and returns that line.
    fn wait_for(&mut self, event: &str) -> Value {
        let wanted = format!("\"event\":\"{event}\"");
        let mut line = String::new();
        while !line.contains(&wanted) {
            line.clear();
            let read = self.log.read_line(&mut line).expect("the log is UTF-8");
            assert!(read > 0, "the log ended before {event}");
        }
        serde_json::from_str(&line).expect("a log line is a JSON object")
    }

    /// Sends the process a signal, named without `SIG`.
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a path for the settings file of a test in the directory for temporary files.
fn settings_path(test: &str) -> PathBuf {
    let name = format!("cactuslane-gateway-{test}-{}.toml", std::process::id());
    std::env::temp_dir().join(name)
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_reloaded_and_invalid_ones_are_ignored() {
    let store = Store::bind().await.expect("the store binds");
    let text = settings_text("front-1", store.address);
    let path = settings_path("changes");
    fs::write(&path, &text).expect("the settings file is written");
    let mut process = Process::spawn(&path);
    process.wait_for("registered");
    fs::write(&path, text.replace("drain_ms = 2000", "drain_ms = 1500"))
        .expect("the settings file is written");
    process.signal("HUP");
    process.wait_for("settings read anew");
    fs::write(&path, text.replace("grace_s = 8", "grace_s = 'long'"))
        .expect("the settings file is written");
    process.signal("HUP");
    process.wait_for("settings are wrong, the old ones stay");
    // Without SIGHUP the gateway checks the file every 5 seconds.
    fs::write(&path, text).expect("the settings file is written");
    process.wait_for("settings read anew");
    process.signal("TERM");
    process.wait_for("stopped");
    let status = process.child.wait().expect("the gateway exits");
    assert_eq!(status.code(), Some(0));
    assert!(store.keys("cactuslane/instances/").is_empty());
    fs::remove_file(&path).expect("the settings file is removed");
}

/// Returns the value of a metric without labels from the gateway's `/metrics` page.
async fn metric(client: &Client, ready: &str, name: &str) -> u64 {
    let request = Request::get(format!("http://{ready}/metrics"));
    let request = request
        .body(Full::new(Bytes::new()))
        .expect("the request is valid");
    let (status, text) = client
        .send_and_collect(request)
        .await
        .expect("the request is answered");
    assert_eq!(status, 200);
    let text = String::from_utf8(text.to_vec()).expect("the metrics are UTF-8");
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value
        .and_then(|value| value.parse().ok())
        .expect("the metric has an integer value")
}

/// Guards against requests that block on the log: once the pipe and the queue of log lines are full
/// because nobody reads the output, lines must be dropped and counted, and requests answered.
#[tokio::test(flavor = "multi_thread")]
async fn an_unread_log_does_not_block_requests() {
    let store = Store::bind().await.expect("the store binds");
    let path = settings_path("unread");
    fs::write(&path, settings_text("front-1", store.address))
        .expect("the settings file is written");
    let mut process = Process::spawn(&path);
    let started = process.wait_for("started");
    let text = |name: &str| {
        started[name]
            .as_str()
            .expect("the line has the field")
            .to_owned()
    };
    let (front, ready) = (text("front"), text("ready"));
    let front = front.parse().expect("the field is an address");
    let client = Client::open();
    let mut sent = 0;
    // Each refused request logs a line, so the pipe and then the queue fill up.
    while sent < 100 || metric(&client, &ready, "cactuslane_log_lines_dropped").await < 100 {
        for _ in 0..100 {
            let request = caller::request(front, "/lookup/7", &format!("unread-{sent}"));
            let (status, _) = client
                .send_and_collect(request)
                .await
                .expect("the request is answered");
            assert_eq!(status, 503);
            sent += 1;
        }
    }
    fs::remove_file(&path).expect("the settings file is removed");
}
