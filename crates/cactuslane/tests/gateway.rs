//! The gateway as a process of its own: settings that change, and a stop by signal.

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

/// A gateway in a process of its own; dropping it kills the process.
struct Process {
    /// The process.
    child: Child,
    /// Its log.
    log: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a gateway with a settings file.
    fn spawn(settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
            .arg("gateway")
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("it starts");
        let log = BufReader::new(child.stdout.take().expect("it is piped"));
        Self { child, log }
    }

    /// Reads the log until a line has an event, and returns the line.
    fn wait_for(&mut self, event: &str) -> Value {
        let wanted = format!("\"event\":\"{event}\"");
        let mut line = String::new();
        while !line.contains(&wanted) {
            line.clear();
            let read = self.log.read_line(&mut line).expect("it is text");
            assert!(read > 0, "the log ended before {event}");
        }
        serde_json::from_str(&line).expect("it is an object")
    }

    /// Sends a signal by its name.
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended by itself can't be killed any more.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a settings file.
fn settings_path(test: &str) -> PathBuf {
    let name = format!("cactuslane-gateway-{test}-{}.toml", std::process::id());
    std::env::temp_dir().join(name)
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_reloaded_and_invalid_ones_are_ignored() {
    let store = Store::bind().await.expect("it binds");
    let text = settings_text("front-1", store.address);
    let path = settings_path("changes");
    fs::write(&path, &text).expect("it is written");
    let mut process = Process::spawn(&path);
    process.wait_for("registered");
    fs::write(&path, text.replace("drain_ms = 2000", "drain_ms = 1500")).expect("it is written");
    process.signal("HUP");
    process.wait_for("settings read anew");
    fs::write(&path, text.replace("grace_s = 8", "grace_s = 'long'")).expect("it is written");
    process.signal("HUP");
    process.wait_for("settings are wrong, the old ones stay");
    // Without a signal the file is looked at now and then.
    fs::write(&path, text).expect("it is written");
    process.wait_for("settings read anew");
    process.signal("TERM");
    process.wait_for("stopped");
    let status = process.child.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
    assert!(store.keys("cactuslane/instances/").is_empty());
    fs::remove_file(&path).expect("it is removed");
}

/// Returns a number of the metrics.
async fn metric(client: &Client, ready: &str, name: &str) -> u64 {
    let request = Request::get(format!("http://{ready}/metrics"));
    let request = request
        .body(Full::new(Bytes::new()))
        .expect("it is a request");
    let (status, text) = client
        .send_and_collect(request)
        .await
        .expect("it is answered");
    assert_eq!(status, 200);
    let text = String::from_utf8(text.to_vec()).expect("it is text");
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value
        .and_then(|value| value.parse().ok())
        .expect("the metric is there")
}

/// An output that nobody reads holds no request up; lines are dropped and counted.
#[tokio::test(flavor = "multi_thread")]
async fn an_unread_log_does_not_block_requests() {
    let store = Store::bind().await.expect("it binds");
    let path = settings_path("unread");
    fs::write(&path, settings_text("front-1", store.address)).expect("it is written");
    let mut process = Process::spawn(&path);
    let started = process.wait_for("started");
    let text = |name: &str| started[name].as_str().expect("it is there").to_owned();
    let (front, ready) = (text("front"), text("ready"));
    let front = front.parse().expect("it is an address");
    let client = Client::open();
    let mut sent = 0;
    // Every refusal is a line: at some time the pipe and the queue are full.
    while sent < 100 || metric(&client, &ready, "cactuslane_log_lines_dropped").await < 100 {
        for _ in 0..100 {
            let request = caller::request(front, "/lookup/7", &format!("unread-{sent}"));
            let (status, _) = client
                .send_and_collect(request)
                .await
                .expect("it is answered");
            assert_eq!(status, 503);
            sent += 1;
        }
    }
    fs::remove_file(&path).expect("it is removed");
}
