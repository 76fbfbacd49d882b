//! Stand-ins for the scripts of this review: the platform's store, workers and clients, in one
//! program that needs only the standard library. `rig CASE DIR` plays a case against gateway
//! processes and writes `DIR/record.txt`.
//!
//! Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;
mod json;
mod store;
mod workers;

use json::Value;

/// Host of all routes.
pub const HOST: &str = "permits.example";

/// Start of the program.
static START: OnceLock<Instant> = OnceLock::new();
/// Lines of the record.
static RECORD: Mutex<Vec<(u128, String)>> = Mutex::new(Vec::new());

/// Returns the time since the start of the program.
pub fn elapsed() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Adds a line to the record.
pub fn record(line: String) {
    RECORD.lock().unwrap().push((elapsed().as_micros(), line));
}

/// Returns a number that differs between calls and runs.
pub fn unique() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let seed = nanos.as_nanos() as u64 ^ (u64::from(std::process::id()) << 40);
    let mut value = seed ^ NEXT.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A request as a server reads it.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads the first line and the headers of a message; `None` at the end of the connection.
pub fn read_head(
    reader: &mut impl BufRead,
) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut parts = first.split(' ');
    let mut request = Request {
        method: parts.next().unwrap_or_default().to_owned(),
        path: parts.next().unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// An answer as a client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A whole answer.
    Whole(u16, Vec<u8>, bool),
    /// The connection ended or was reset after a head and this many bytes of a body, before its end.
    Cut(u16, usize),
    /// The connection ended or was reset before a whole head.
    None,
    /// No end of the answer came in time.
    Late,
}

/// Reads one answer, chunked or with a length.
pub fn read_answer(reader: &mut impl BufRead) -> Seen {
    let late = |error: &io::Error| {
        matches!(
            error.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        )
    };
    let (first, headers) = match read_head(reader) {
        Ok(Some(head)) => head,
        Ok(None) => return Seen::None,
        Err(error) if late(&error) => return Seen::Late,
        Err(_) => return Seen::None,
    };
    let status: u16 = first
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    let is_signed = headers.contains_key("x-server-stamp");
    let mut body = Vec::new();
    let chunked = headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let mut read = || -> io::Result<()> {
        if chunked {
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk)?;
                if size == 0 {
                    return Ok(());
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = headers
            .get("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let mut whole = vec![0; length];
        reader.read_exact(&mut whole)?;
        body = whole;
        Ok(())
    };
    match read() {
        Ok(()) => Seen::Whole(status, body, is_signed),
        Err(error) if late(&error) => Seen::Late,
        Err(_) => Seen::Cut(status, body.len()),
    }
}

/// Writes an answer with a JSON body.
pub fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// A client's connection to an instance.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// Number of answers that were read on it.
    pub answers: usize,
}

impl Connection {
    /// Connects within a second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self {
            stream,
            reader,
            answers: 0,
        })
    }

    /// Sends a request and returns what is seen of the answer until half a second after `deadline`.
    pub fn exchange(&mut self, text: &str, deadline: Duration) -> Seen {
        let wait = deadline + Duration::from_millis(500);
        if self.stream.set_read_timeout(Some(wait)).is_err()
            || self.stream.write_all(text.as_bytes()).is_err()
        {
            return Seen::None;
        }
        let seen = read_answer(&mut self.reader);
        if matches!(seen, Seen::Whole(..)) {
            self.answers += 1;
        }
        seen
    }
}

/// The loopback addresses of a run: one block, so that runs beside each other do not meet.
#[derive(Clone, Copy, Debug)]
pub struct Block(u8, u8);

impl Block {
    /// Chooses a block.
    pub fn choose() -> Self {
        let draw = unique();
        Self((draw % 100) as u8 + 64, (draw >> 16) as u8)
    }

    /// Returns an address of the block.
    pub fn ip(self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, last))
    }
}

/// Returns a port of an address that is free now.
pub fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address").port()
}

/// A gateway process.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: Child,
}

impl Instance {
    /// Starts a process as the deploy file says.
    pub fn start(
        name: &str,
        ip: IpAddr,
        zone: &str,
        store: SocketAddr,
        directory: &Path,
    ) -> io::Result<Self> {
        let front = SocketAddr::new(ip, free_port(ip));
        let ready = SocketAddr::new(ip, free_port(ip));
        let listed = SocketAddr::new(ip, free_port(ip));
        let settings = directory.join(format!("{name}.toml"));
        let peers = free_port(ip).clamp(1024, 65_000);
        let text = include_str!("settings.txt")
            .replace("@NAME", name)
            .replace("@IP", &ip.to_string())
            .replace("@ZONE", zone)
            .replace("@FIRST", &peers.to_string())
            .replace("@LAST", &(peers + 15).to_string())
            .replace("@FRONT", &front.to_string())
            .replace("@READY", &ready.to_string())
            .replace("@DIRECTORY", &listed.to_string())
            .replace("@STORE", &store.to_string());
        std::fs::write(&settings, text)?;
        let log = File::create(directory.join(format!("{name}.log")))?;
        let process = Command::new("target/release/cactuslane")
            .args(["gateway", "--metrics-port", "9464"])
            .env_clear()
            .env("CACTUSLANE_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            front,
            ready,
            process,
        })
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.ready) else {
            return false;
        };
        let text = format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        let seen = connection.exchange(&text, Duration::from_millis(500));
        matches!(seen, Seen::Whole(200, ..))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A process that ends the instances if this program ends without a word to it, however that is.
pub struct Guard {
    process: Child,
}

impl Guard {
    /// Starts the guard of instances.
    pub fn start(instances: &[Instance]) -> io::Result<Self> {
        let ids = instances.iter().map(|instance| instance.process.id());
        let ids: Vec<String> = ids.map(|id| id.to_string()).collect();
        // The signals that end a script by hand reach its whole group.
        let script = format!(
            "trap '' INT TERM HUP; read word || kill -9 {}",
            ids.join(" ")
        );
        let process = Command::new("sh")
            .args(["-c", &script])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { process })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(mut input) = self.process.stdin.take() {
            let _ = input.write_all(b"done\n");
        }
        let _ = self.process.wait();
    }
}

/// Waits until all instances are ready, 15 s at most.
pub fn await_ready(instances: &[Instance]) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        if instances.iter().all(Instance::is_ready) {
            return true;
        }
        sleep(Duration::from_millis(100));
    }
    false
}

/// Writes the record; returns the exit code of the case.
fn finish(directory: &Path, code: i32) -> i32 {
    let mut lines = std::mem::take(&mut *RECORD.lock().unwrap());
    lines.sort_by_key(|(at, _)| *at);
    let mut text = String::new();
    for (at, line) in lines {
        text.push_str(&format!("{:>10.4} s  {line}\n", at as f64 / 1e6));
    }
    match std::fs::write(directory.join("record.txt"), text) {
        Ok(()) => code,
        Err(error) => {
            eprintln!("record not written: {error}");
            2
        }
    }
}

fn main() {
    elapsed();
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(directory)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig CASE DIR");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let directory = PathBuf::from(directory);
    let scratch = std::env::temp_dir().join(format!("cactuslane-review-{:x}", unique()));
    if std::fs::create_dir_all(&scratch).is_err() {
        std::process::exit(2);
    }
    let code = cases::play(case, trouble, &scratch).unwrap_or_else(|error| {
        record(format!("the case could not run: {error}"));
        2
    });
    let code = finish(&directory, code);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        eprintln!("logs: {}", scratch.display());
    }
    std::process::exit(code);
}
