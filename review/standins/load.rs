//! Clients that send streams at a set rate, each on a new connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// What clients send now.
#[derive(Clone, Copy)]
pub struct Mix {
    pub per_s: f64,
    pub prompt: u32,
    pub output: u32,
    /// Time that clients wait for the whole answer.
    pub deadline_ms: u64,
    /// Gap in a stream after which they abandon it: four times the objective.
    pub gap_ms: u64,
}

/// A stream of a client that has ended.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    pub front: SocketAddr,
    pub from: f64,
    pub to: f64,
    pub result: Result<u16, String>,
}

pub struct Load {
    pub sent: Mutex<Vec<Sent>>,
    pub mix: Mutex<Mix>,
    /// Machines that take new connections.
    pub fronts: Mutex<Vec<SocketAddr>>,
    pub served: AtomicUsize,
    pub failed: AtomicUsize,
    stopped: AtomicBool,
    record: Arc<Record>,
}

impl Load {
    pub fn start(mix: Mix, fronts: Vec<SocketAddr>, record: &Arc<Record>) -> Arc<Self> {
        let load = Arc::new(Self {
            mix: Mutex::new(mix),
            fronts: Mutex::new(fronts),
            sent: Mutex::new(Vec::new()),
            served: AtomicUsize::new(0),
            failed: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            record: record.clone(),
        });
        let shared = load.clone();
        thread::spawn(move || {
            let mut number = 0u32;
            while !shared.stopped.load(Ordering::Relaxed) {
                let mix = *shared.mix.lock().unwrap();
                number += 1;
                let load = shared.clone();
                thread::spawn(move || load.send(number, mix));
                thread::sleep(Duration::from_secs_f64(1.0 / mix.per_s));
            }
        });
        load
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn send(&self, number: u32, mix: Mix) {
        let fronts = self.fronts.lock().unwrap().clone();
        let front = fronts[number as usize % fronts.len()];
        let id = format!("{:016x}", 0x5000_0000u64 + u64::from(number));
        let text = format!(
            "POST /bylaw/x HTTP/1.1\r\nhost: permits.example\r\nx-request-id: {id}\r\nx-model: m\r\n\
             x-token-counts: {},{}\r\nx-prompt-prefix: {id}:{}\r\nx-deadline-ms: {}\r\n\
             content-length: 2\r\nconnection: close\r\n\r\nhi",
            mix.prompt, mix.output, mix.prompt, mix.deadline_ms
        );
        let from = self.record.now();
        let result = stream(front, &text, Duration::from_millis(mix.gap_ms));
        match &result {
            Ok(_) => self.served.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.failed.fetch_add(1, Ordering::Relaxed),
        };
        self.record
            .line(&format!("client: {id} to {front}: {result:?}"));
        self.sent.lock().unwrap().push(Sent {
            id,
            front,
            from,
            to: self.record.now(),
            result,
        });
    }
}

/// Sends a request and reads a stream; returns the status, or why it is not whole.
fn stream(front: SocketAddr, text: &str, gap: Duration) -> Result<u16, String> {
    let fail = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(fail)?;
    stream.set_read_timeout(Some(gap)).map_err(fail)?;
    stream.write_all(text.as_bytes()).map_err(fail)?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)
        .map_err(fail)?
        .ok_or("closed")?;
    let status = head.status();
    http::read_body(&mut reader, &head).map_err(fail)?;
    if status == 200 {
        Ok(status)
    } else {
        Err(format!("status {status}"))
    }
}
