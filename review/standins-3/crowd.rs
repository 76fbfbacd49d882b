//! Clients that do not behave, beside ordinary ones, and a platform that kills processes whose memory
//! exceeds that of their machine.

use std::collections::VecDeque;
use std::fs;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::caller::{self, Requests, HOST};
use crate::gateway::{Gateway, Ports};
use crate::record::Record;
use crate::silent::document;
use crate::store::Store;
use crate::worker::{Runs, Worker};

/// Memory of a machine, in bytes.
const MEMORY: u64 = 260 << 20;
/// Number of machines, and number of times that a process must end on each for the day to count 0.
const MACHINES: u8 = 2;
const ENDS: usize = 3;
const ROUNDS: usize = 3;
/// Connections of a crowd, by threads.
const CONNECTIONS: usize = 1400;
const THREADS: usize = 4;
/// Number of open files that this process needs.
const FILES: usize = 4000;
/// Largest number of bytes that a connection sends.
const MAX_SENT: usize = 256 << 10;
/// Time for which a crowd stays.
const STAY: Duration = Duration::from_secs(5);
/// Size of a body, well below the limit of 4 MiB.
const BODY: usize = 60_000;

/// Plays the case and returns its exit code.
pub fn run(folder: &str, trouble: bool) -> i32 {
    let record = Record::create(&format!("{folder}/record.txt"));
    let scratch = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let code = play(&record, &scratch, trouble);
    let _ = std::fs::remove_dir_all(&scratch);
    code
}

fn play(record: &Record, scratch: &Path, trouble: bool) -> i32 {
    if open_files() < FILES {
        eprintln!("the process needs {FILES} open files");
        return 2;
    }
    let store = Store::start();
    let (runs, requests) = (Runs::default(), Requests::default());
    store.write("op/config", &document(7));
    let mut workers = Vec::new();
    for number in 0..3 {
        let id = format!("i-{number:04}");
        let work = Duration::from_millis(60);
        let place = (id.as_str(), "permit", "hr-south-a");
        workers.push(Worker::start(place, (6, work), &store, record, &runs));
    }
    let ports = Ports::find(MACHINES);
    let start = |machine| Gateway::start(scratch, ports, machine, "hr-south-a", store.address);
    let mut gateways: Vec<Gateway> = (1..=MACHINES).map(start).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let mut ends = vec![0; gateways.len()];
    let mut largest = 0;
    for round in 0..ROUNDS {
        for gateway in &gateways {
            if !gateway.wait_ready(Duration::from_secs(15)) {
                eprintln!("{} is not ready", gateway.name);
                return 2;
            }
        }
        sleep(Duration::from_secs(2));
        if round == 0 {
            for number in 0..4u64 {
                let front = gateways[number as usize % gateways.len()].front;
                let place = (number, front, Duration::from_millis(100));
                clients.push(caller::start(place, record, &requests, &stop));
            }
        }
        for kind in ["bodies", "ahead"] {
            let left = Arc::new(AtomicBool::new(false));
            let mut crowd = Vec::new();
            if trouble {
                record.line(&format!(
                    "{CONNECTIONS} clients come to each machine: {kind}"
                ));
                for gateway in &gateways {
                    for _ in 0..THREADS {
                        let (front, left) = (gateway.front, left.clone());
                        crowd.push(thread::spawn(move || press(front, kind, &left)));
                    }
                }
            }
            let until = Instant::now() + STAY;
            while Instant::now() < until {
                sleep(Duration::from_millis(100));
                for (number, gateway) in gateways.iter_mut().enumerate() {
                    let (resident, unread) = memory(gateway);
                    largest = largest.max(resident + unread);
                    if resident + unread <= MEMORY {
                        continue;
                    }
                    let _ = gateway.child.kill();
                    let _ = gateway.child.wait();
                    ends[number] += 1;
                    record.line(&format!(
                        "{} has {} MiB and {} MiB unread, over {} MiB: the platform kills it",
                        gateway.name,
                        resident >> 20,
                        unread >> 20,
                        MEMORY >> 20
                    ));
                }
            }
            for gateway in &mut gateways {
                let (resident, unread) = memory(gateway);
                record.line(&format!(
                    "{} has {} MiB and {} MiB unread",
                    gateway.name,
                    resident >> 20,
                    unread >> 20
                ));
            }
            left.store(true, Ordering::SeqCst);
            for thread in crowd {
                let _ = thread.join();
            }
            sleep(Duration::from_millis(500));
        }
        for (machine, gateway) in (1..=MACHINES).zip(gateways.iter_mut()) {
            if gateway.child.try_wait().is_ok_and(|ended| ended.is_some()) {
                *gateway = start(machine);
            }
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
    let served = requests.iter().filter(|sent| sent.status == 200).count();
    let summary = format!(
        "ordinary requests {}, served {served}, processes killed for their memory {ends:?}, most memory {} MiB",
        requests.len(),
        largest >> 20
    );
    record.line(&summary);
    println!("{summary}");
    if served == 0 {
        return 2;
    }
    i32::from(ends.iter().all(|ends| *ends >= ENDS))
}

/// Returns the number of files that this process may have open.
fn open_files() -> usize {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find(|line| line.starts_with("Max open files"));
    let limit = line.and_then(|line| line.split_whitespace().nth(3)?.parse().ok());
    limit.unwrap_or(usize::MAX)
}

/// Returns the resident memory of a process and the bytes that lie unread on its callers'
/// connections; 0 for one that has ended.
fn memory(gateway: &mut Gateway) -> (u64, u64) {
    if gateway.child.try_wait().is_ok_and(|ended| ended.is_some()) {
        return (0, 0);
    }
    let status = format!("/proc/{}/status", gateway.child.id());
    let status = fs::read_to_string(status).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    let SocketAddr::V4(front) = gateway.front else {
        return (0, 0);
    };
    let address = u32::from_le_bytes(front.ip().octets());
    let local = format!("{address:08X}:{:04X}", front.port());
    let mut unread = 0;
    for line in fs::read_to_string("/proc/net/tcp")
        .unwrap_or_default()
        .lines()
    {
        let mut fields = line.split_whitespace().skip(1);
        let (is_local, state) = (fields.next() == Some(local.as_str()), fields.nth(1));
        let queues = fields.next().and_then(|queues| queues.split_once(':'));
        if let (true, Some("01"), Some((_, received))) = (is_local, state, queues) {
            unread += u64::from_str_radix(received, 16).unwrap_or(0);
        }
    }
    (kib.unwrap_or(0) << 10, unread)
}

/// Sends what a part of a crowd sends, without reading an answer, until it leaves.
fn press(front: SocketAddr, kind: &str, left: &AtomicBool) {
    let one = if kind == "bodies" {
        let mut request = format!(
            "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd\r\n\
             X-Deadline-Ms: 1500\r\nContent-Length: {BODY}\r\n\r\n"
        );
        request.push_str(&"z".repeat(BODY));
        request
    } else {
        format!("GET /none/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd\r\n\r\n")
    };
    let bytes = one.repeat(MAX_SENT / one.len()).into_bytes();
    let mut open = VecDeque::new();
    for _ in 0..CONNECTIONS / THREADS {
        let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            continue;
        };
        let _ = stream.set_nonblocking(true);
        open.push_back((stream, 0));
        send_more(&mut open, &bytes);
    }
    while !left.load(Ordering::SeqCst) {
        for _ in 0..open.len() {
            send_more(&mut open, &bytes);
        }
        sleep(Duration::from_millis(20));
    }
}

/// Sends as much as one connection takes, and keeps it unless it has ended.
fn send_more(open: &mut VecDeque<(TcpStream, usize)>, bytes: &[u8]) {
    let Some((mut stream, mut sent)) = open.pop_front() else {
        return;
    };
    while sent < bytes.len() {
        match stream.write(&bytes[sent..]) {
            Ok(count) => sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(_) => return,
        }
    }
    open.push_back((stream, sent));
}
