//! Benchmark of the gateway's log: the time of a request while its output is read and while it is
//! not, and the time of one log line. Compare the ratios of one run, not the times of several.

use std::fs;
use std::io::{BufRead, BufReader, Write, sink};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cactuslane_log::{LogFormat, NonBlockingLogger};
use cactuslane_platform_standin::{Store, caller, settings_text};
use cactuslane_store::http::Client;
use hdrhistogram::Histogram;
use log::{Level, Log, Record};
use serde_json::Value;

/// Requests to each process before the measurement, which fill the pipe and the queue of the unread
/// output.
const WARM_UP: u32 = 4_000;
/// Requests to each process that are measured.
const REQUESTS: u32 = 4_000;
/// Log lines over which the time of one line is averaged.
const LINES: u32 = 200_000;

/// A gateway in a separate process; dropping it kills the process.
struct Process {
    /// Handle to kill the process with.
    child: Child,
    /// Address for callers, from the first log line.
    front: SocketAddr,
}

impl Process {
    /// Starts a gateway and reads its output to the end, or only the first line.
    fn spawn(name: &str, store: &Store, reads: bool) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
        fs::write(&path, settings_text(name, store.address)).expect("the settings file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_cactuslane"))
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let mut output = BufReader::new(child.stdout.take().expect("the output is piped"));
        let mut line = String::new();
        output.read_line(&mut line).expect("the log is UTF-8");
        let started: Value = serde_json::from_str(&line).expect("a log line is a JSON object");
        let front = started["front"].as_str().and_then(|text| text.parse().ok());
        std::thread::spawn(move || {
            if reads {
                while output.read_line(&mut line).is_ok_and(|read| read > 0) {
                    line.clear();
                }
            } else {
                loop {
                    std::thread::park();
                }
            }
        });
        Self {
            child,
            front: front.expect("the first line has the address"),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends requests to both processes in turn and returns their times in nanoseconds.
async fn measure_requests(processes: &[Process; 2]) -> [Histogram<u64>; 2] {
    let client = Client::open();
    let histogram = || Histogram::new(3).expect("three significant digits are allowed");
    let mut times = [histogram(), histogram()];
    for number in 0..WARM_UP + REQUESTS {
        for (process, times) in processes.iter().zip(&mut times) {
            let request = caller::request(process.front, "/lookup/7", &format!("b{number}"));
            let start = Instant::now();
            client
                .send_and_collect(request)
                .await
                .expect("the request is answered");
            if number >= WARM_UP {
                let recorded = times.record(start.elapsed().as_nanos() as u64);
                recorded.expect("the histogram resizes itself");
            }
        }
    }
    times
}

/// Returns the mean time that the caller of the logger spends on one line.
fn mean_line_time(output: impl Write + Send + 'static) -> Duration {
    let lines = NonBlockingLogger::spawn(output, LogFormat::Json);
    let fields = [
        ("request", "r1"),
        ("target_id", "i-1"),
        ("uncached", "17020"),
    ];
    let start = Instant::now();
    for _ in 0..LINES {
        let record = Record::builder()
            .level(Level::Warn)
            .target("cactuslane")
            .key_values(&fields)
            .args(format_args!("placed"))
            .build();
        lines.log(&record);
    }
    start.elapsed() / LINES
}

/// An output whose writes block forever, like a full pipe that nobody reads.
struct Unread;

impl Write for Unread {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("the Tokio runtime starts");
    let times = runtime.block_on(async {
        let store = Store::bind().await.expect("the store binds");
        let processes = [true, false].map(|reads| Process::spawn("front-1", &store, reads));
        measure_requests(&processes).await
    });
    let [read, unread] = times;
    println!("{REQUESTS} refused requests, each with a log line; time with output unread / read:");
    for quantile in [0.5, 0.95, 0.99] {
        let (read_ns, unread_ns) = (
            read.value_at_quantile(quantile),
            unread.value_at_quantile(quantile),
        );
        let read = Duration::from_nanos(read_ns);
        println!(
            "  {quantile}: {:.2} ({read:?} read)",
            unread_ns as f64 / read_ns as f64
        );
    }
    let (read, unread) = (mean_line_time(sink()), mean_line_time(Unread));
    let ratio = unread.as_secs_f64() / read.as_secs_f64();
    println!("time of a log line: {read:?} read, {unread:?} unread (ratio {ratio:.2})");
}
